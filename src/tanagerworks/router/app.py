"""The router's caller port as a WSGI application."""

import logging
import uuid
from collections.abc import Iterable, Sequence

from tanagerworks.errors import NotFoundError, TanagerError
from tanagerworks.router.agent_link import AgentLink
from tanagerworks.router.pipeline import Stage
from tanagerworks.router.request import ChatRequest
from tanagerworks.telemetry.metrics import METRICS_CONTENT_TYPE, render_metrics
from tanagerworks.wsgi import Environ, Response, StartResponse, json_response, read_body

_LOGGER = logging.getLogger(__name__)


class CallerApp:
    """Dispatches callers' requests to the stages that serve them."""

    def __init__(self, link: AgentLink, stages: Sequence[Stage]) -> None:
        self.link = link
        self.stages = stages
        self.draining = False

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serves one request."""
        request_id = uuid.uuid4().hex
        try:
            response = self._dispatch(environ, request_id)
        except TanagerError as error:
            response = error_response(error, request_id)
        except Exception:
            _LOGGER.exception("request failed", extra={"request_id": request_id})
            response = error_response(TanagerError("internal error"), request_id)
        start_response(response.status_line, response.headers)
        return response.body

    def _dispatch(self, environ: Environ, request_id: str) -> Response:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if (method, path) == ("POST", "/v1/chat/completions"):
            return self._chat(environ, request_id)
        if (method, path) == ("GET", "/livez"):
            return json_response({"live": True})
        if (method, path) == ("GET", "/readyz"):
            ready = self.link.view.note is not None and not self.draining
            return json_response({"ready": ready}, 200 if ready else 503)
        if (method, path) == ("GET", "/metrics"):
            body = render_metrics()
            headers = [("Content-Type", METRICS_CONTENT_TYPE), ("Content-Length", str(len(body)))]
            return Response(200, headers, [body])
        raise NotFoundError("no such path")

    def _chat(self, environ: Environ, request_id: str) -> Response:
        request = ChatRequest(
            request_id=request_id,
            authorization=environ.get("HTTP_AUTHORIZATION", ""),
            chat_key_header=environ.get("HTTP_X_CHAT_KEY", ""),
            body=read_body(environ),
        )
        for stage in self.stages:
            stage.run(request)
        assert request.response is not None
        return request.response


def error_response(error: TanagerError, request_id: str) -> Response:
    """Returns an error in the published shape, with its stable code and outcome."""
    headers = [("X-Request-Id", request_id), ("X-Outcome", error.outcome.value)]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    document = {
        "error": {
            "message": error.message,
            "type": type(error).__name__,
            "code": error.code,
            "param": None,
            "outcome": error.outcome.value,
        }
    }
    return json_response(document, error.status, headers)
