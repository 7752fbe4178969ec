"""The router's caller port as a WSGI application."""

import logging
import threading
import uuid
from collections.abc import Callable, Iterable, Iterator, Sequence

from tanagerworks.errors import NotFoundError, StreamLimitError, TanagerError
from tanagerworks.router.agent_link import AgentLink
from tanagerworks.router.caller_server import CALLER_SOCKET
from tanagerworks.router.chat_request import ChatRequest
from tanagerworks.router.metrics import RouterMetrics
from tanagerworks.router.pipeline import Stage
from tanagerworks.router.relay import StreamBody
from tanagerworks.router.service_endpoint import SERVICES_PREFIX, ServiceEndpoint
from tanagerworks.telemetry.metrics import METRICS_CONTENT_TYPE, render_metrics
from tanagerworks.wsgi import (
    Environ,
    Response,
    StartResponse,
    error_response,
    json_response,
    read_body,
)

_LOGGER = logging.getLogger(__name__)


class CallerApp:
    """Dispatches callers' requests by method and path."""

    def __init__(
        self,
        link: AgentLink,
        stages: Sequence[Stage],
        services: ServiceEndpoint,
        metrics: RouterMetrics,
        max_streams: int,
    ) -> None:
        self.link = link
        self.stages = stages
        self.services = services
        self.metrics = metrics
        self.max_streams = max_streams
        self.draining = False
        self.lock = threading.Lock()
        self.open_chats = 0
        # Requests of any kind whose response has not been written completely.
        self.open_requests = 0

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serves one request."""
        return self._serve(environ, start_response, forwarded=False)

    def serve_forwarded(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serves a request that another router process forwarded."""
        return self._serve(environ, start_response, forwarded=True)

    def _serve(
        self, environ: Environ, start_response: StartResponse, forwarded: bool
    ) -> Iterable[bytes]:
        request_id = uuid.uuid4().hex
        with self.lock:
            self.open_requests += 1
        code = ""
        try:
            if forwarded:
                response = self._dispatch_forwarded(environ, request_id)
            else:
                response = self._dispatch(environ, request_id)
        except TanagerError as error:
            code = error.code
            response = error_response(error, request_id)
        except BaseException as error:
            code = TanagerError.code
            # The message of an unexpected error may quote the request, so only the type is logged.
            _LOGGER.error(
                "request failed",
                extra={"request_id": request_id, "error": type(error).__name__},
            )
            response = error_response(TanagerError("internal error"), request_id)
        self.metrics.requests.add(1, {"status": response.status, "code": code})
        start_response(response.status_line, response.headers)
        return _TrackedBody(response.body, self)

    def _dispatch(self, environ: Environ, request_id: str) -> Response:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if (method, path) == ("POST", "/v1/chat/completions"):
            return self._chat(environ, request_id)
        if environ["REQUEST_URI"].startswith(SERVICES_PREFIX):
            return self.services.serve_call(environ, request_id)
        if (method, path) == ("POST", "/v1/tickets"):
            return self.services.issue_ticket(environ, request_id)
        if (method, path) == ("GET", "/v1/models"):
            return self._models(environ, request_id)
        if (method, path) == ("GET", "/livez"):
            return json_response({"live": True})
        if (method, path) == ("GET", "/readyz"):
            ready = self.link.ready and not self.draining
            return json_response({"ready": ready}, 200 if ready else 503)
        if (method, path) == ("GET", "/metrics"):
            body = render_metrics()
            headers = [("Content-Type", METRICS_CONTENT_TYPE), ("Content-Length", str(len(body)))]
            return Response(200, headers, [body])
        raise NotFoundError("no such path")

    def _dispatch_forwarded(self, environ: Environ, request_id: str) -> Response:
        if environ["REQUEST_URI"].startswith(SERVICES_PREFIX):
            return self.services.serve_call(environ, request_id, forwarded=True)
        raise NotFoundError("no such path")

    def _models(self, environ: Environ, request_id: str) -> Response:
        index = self.link.view.require_index()
        _, customer = index.authenticate_customer(environ.get("HTTP_AUTHORIZATION", ""))
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": index.models[name].model}
            for name in index.allowed_model_names(customer)
        ]
        return json_response(
            {"object": "list", "data": data}, headers=[("X-Request-Id", request_id)]
        )

    def _chat(self, environ: Environ, request_id: str) -> Response:
        with self.lock:
            if self.open_chats >= self.max_streams:
                raise StreamLimitError("the router serves its maximum number of streams")
            self.open_chats += 1
        try:
            request = ChatRequest(
                request_id=request_id,
                authorization=environ.get("HTTP_AUTHORIZATION", ""),
                chat_key_header=environ.get("HTTP_X_CHAT_KEY", ""),
                body=read_body(environ),
                caller_socket=environ.get(CALLER_SOCKET),
            )
            for stage in self.stages:
                stage.run(request)
        except BaseException:
            self._record_chat_end()
            raise
        response = request.response
        assert response is not None
        if isinstance(response.body, StreamBody):
            end_exchange = response.body.on_close

            def end_chat() -> None:
                try:
                    end_exchange()
                finally:
                    self._record_chat_end()

            response.body.on_close = _CallOnce(end_chat)
        else:
            self._record_chat_end()
        return response

    def _record_chat_end(self) -> None:
        with self.lock:
            self.open_chats -= 1

    def record_request_end(self) -> None:
        """Records that the response of a request was written or abandoned."""
        with self.lock:
            self.open_requests -= 1


class _CallOnce:
    """Calls a function the first time it is called itself, and never again."""

    def __init__(self, function: Callable[[], None]) -> None:
        self.function: Callable[[], None] | None = function

    def __call__(self) -> None:
        function, self.function = self.function, None
        if function is not None:
            function()


class _TrackedBody:
    """A response body that records the end of its request when it is closed."""

    def __init__(self, body: Iterable[bytes], app: CallerApp) -> None:
        self.body = body
        self.on_close = _CallOnce(app.record_request_end)

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.body)

    def close(self) -> None:
        try:
            close = getattr(self.body, "close", None)
            if close is not None:
                close()
        finally:
            self.on_close()
