"""Administration port of the agent: HTTP and JSON on cheroot's own threads.

Calls that read or change the agent's state run on its event loop, which alone accesses the state.
"""

import asyncio
import hashlib
import hmac
import logging
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import parse_qs

from cheroot.ssl.builtin import BuiltinSSLAdapter
from pydantic import BaseModel, ValidationError

from tanagerworks.agent.admin_models import (
    ActionReport,
    ActionRequest,
    ErrorDetail,
    ErrorReport,
    EventsReport,
    HealthReport,
    published_schema,
)
from tanagerworks.agent.operations import AgentOperations
from tanagerworks.audit.trail import TrailExport
from tanagerworks.errors import (
    AuthenticationError,
    NotFoundError,
    PermissionDeniedError,
    RequestError,
    TanagerError,
)
from tanagerworks.outcome import Outcome
from tanagerworks.settings.admin import AdminSettings, Role
from tanagerworks.telemetry.metrics import METRICS_CONTENT_TYPE, render_metrics
from tanagerworks.wsgi import (
    Environ,
    Response,
    StartResponse,
    create_server,
    json_response,
    read_body,
)

_LOGGER = logging.getLogger(__name__)
_BEARER = "Bearer "
# Keeps one page of the audit trail well below 1 MB.
MAX_PAGE_RECORDS = 500
MAX_FIELD_CHARS = 512
# Period of the comments in an idle event stream; writing one reveals a broken connection.
_KEEPALIVE_PERIOD_S = 5.0

# Longer waits are refused; waits above max_wait_s of the settings are shortened to it.
_MAX_QUERY_WAIT_S = 3600.0
_MAX_PROMPT_TOKENS = 10_000_000

ResultT = TypeVar("ResultT")


class MethodNotAllowedError(RequestError):
    """The path exists, but not with this method."""

    code = "method_not_allowed"
    status = 405


class FollowersError(RequestError):
    """The limit of calls that wait for events (``max_followers``) is reached."""

    code = "too_many_followers"
    status = 503
    retry_after_s = 5.0


class AgentBusyError(TanagerError):
    """The agent's event loop did not answer in time; an action may have been executed."""

    code = "agent_busy"
    status = 503
    outcome = Outcome.UNKNOWN
    retry_after_s = 1.0


@dataclass(frozen=True)
class Operator:
    """Name and role of the administration key that authenticated a call."""

    name: str
    role: Role


@dataclass(frozen=True)
class AdminCall:
    """One authenticated call."""

    operator: Operator
    environ: Environ
    query: Mapping[str, str]

    def required_field(self, name: str) -> str:
        """Returns a required query field.

        Raises:
            RequestError: the field is missing or too long.
        """
        value = self.query.get(name, "")
        if not value or len(value) > MAX_FIELD_CHARS:
            raise RequestError(f"the query needs {name!r} with 1 to {MAX_FIELD_CHARS} characters")
        return value

    def number_field(self, name: str, default: float, highest: float) -> float:
        """Returns a query field as a number between 0 and `highest`.

        Raises:
            RequestError: the field is not such a number.
        """
        text = self.query.get(name)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 <= value <= highest:
            raise RequestError(f"the query field {name!r} must be between 0 and {highest:g}")
        return value


Handler = Callable[[AdminCall], Response]


def model_response(model: BaseModel, status: int = 200) -> Response:
    """Returns a response with `model` as its JSON body."""
    return json_response(model.model_dump(mode="json"), status, [("Cache-Control", "no-store")])


class AdminApp:
    """WSGI application of the administration port: routing, authentication and limits."""

    def __init__(
        self,
        operations: AgentOperations,
        settings: AdminSettings,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.operations = operations
        self.trail = operations.trail
        self.settings = settings
        self.loop = loop
        self.stopping = threading.Event()
        self.followers = threading.BoundedSemaphore(settings.max_followers)
        self.routes: dict[str, tuple[str, Role, Handler]] = {
            "/admin/v1/status": ("GET", Role.READ, self._status),
            "/admin/v1/note": ("GET", Role.READ, self._note),
            "/admin/v1/explain": ("GET", Role.READ, self._explain),
            "/admin/v1/audit": ("GET", Role.READ, self._audit),
            "/admin/v1/events": ("GET", Role.READ, self._events),
            "/admin/v1/schema": ("GET", Role.READ, self._schema),
            "/admin/v1/drain": ("POST", Role.ACT, self._drain),
            "/admin/v1/undrain": ("POST", Role.ACT, self._undrain),
        }

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handles one request as a WSGI application."""
        try:
            response = self._dispatch(environ)
        except TanagerError as error:
            response = error_response(error)
        except Exception:
            _LOGGER.exception("administration call failed")
            response = error_response(TanagerError("internal error"))
        start_response(response.status_line, response.headers)
        return response.body

    def _dispatch(self, environ: Environ) -> Response:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/livez":
            return self._livez()
        if path == "/readyz":
            health = self._run_on_loop(self.operations.health)
            return model_response(health, 200 if health.ok else 503)
        if path == "/metrics":
            # The gauges read the agent's state.
            body = self._run_on_loop(render_metrics)
            headers = [("Content-Type", METRICS_CONTENT_TYPE), ("Content-Length", str(len(body)))]
            return Response(200, headers, [body])
        # The key is checked before the path, so that callers without one cannot probe for paths.
        operator = self._authenticate(environ.get("HTTP_AUTHORIZATION", ""))
        if path not in self.routes:
            raise NotFoundError("no such path")
        allowed_method, role, handler = self.routes[path]
        if method != allowed_method:
            raise MethodNotAllowedError(f"this path only accepts {allowed_method}")
        if role is Role.ACT and operator.role is not Role.ACT:
            raise PermissionDeniedError("the key may read but not act")
        fields = parse_qs(environ.get("QUERY_STRING", ""), max_num_fields=16)
        query = {name: values[-1] for name, values in fields.items()}
        return handler(AdminCall(operator, environ, query))

    def _authenticate(self, authorization: str) -> Operator:
        operator = None
        if authorization.startswith(_BEARER):
            digest = hashlib.sha256(authorization.removeprefix(_BEARER).encode()).hexdigest()
            # All keys are compared, so that the response time does not reveal which one matched.
            for name, key in self.settings.keys.items():
                for known_digest in key.sha256:
                    if hmac.compare_digest(known_digest, digest):
                        operator = Operator(name, key.role)
        if operator is None:
            raise AuthenticationError("the administration key is not valid")
        return operator

    def _run_on_loop(self, call: Callable[..., ResultT], *arguments: object) -> ResultT:
        async def run() -> ResultT:
            return call(*arguments)

        coroutine = run()
        try:
            future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        except RuntimeError as error:
            coroutine.close()
            raise AgentBusyError("the agent has stopped", outcome=Outcome.NOT_RUN) from error
        try:
            return future.result(self.settings.call_timeout_s)
        except FutureTimeoutError as error:
            future.cancel()
            raise AgentBusyError("the agent did not answer in time") from error

    def _livez(self) -> Response:
        try:
            self._run_on_loop(self.operations.health)
        except AgentBusyError as error:
            return model_response(HealthReport(ok=False, reason=error.message), error.status)
        return model_response(HealthReport(ok=True))

    def _status(self, call: AdminCall) -> Response:
        return model_response(self._run_on_loop(self.operations.status))

    def _note(self, call: AdminCall) -> Response:
        return model_response(self._run_on_loop(self.operations.note))

    def _explain(self, call: AdminCall) -> Response:
        report = self._run_on_loop(
            self.operations.explain,
            call.required_field("customer"),
            call.required_field("model"),
            call.required_field("chat_key"),
            int(call.number_field("prompt_tokens", 0, _MAX_PROMPT_TOKENS)),
        )
        return model_response(report)

    def _drain(self, call: AdminCall) -> Response:
        return self._run_action(call, self.operations.drain)

    def _undrain(self, call: AdminCall) -> Response:
        return self._run_action(call, self.operations.undrain)

    def _run_action(self, call: AdminCall, action: Callable[[str, str], ActionReport]) -> Response:
        body = read_body(call.environ)
        try:
            request = ActionRequest.model_validate_json(body or b"{}")
        except ValidationError as error:
            fault = error.errors(include_input=False, include_url=False)[0]
            place = ".".join(str(part) for part in fault["loc"]) or "body"
            raise RequestError(f"{place}: {fault['msg']}") from error
        return model_response(self._run_on_loop(action, call.operator.name, request.reason))

    def _schema(self, call: AdminCall) -> Response:
        return json_response(published_schema())

    def _audit(self, call: AdminCall) -> Response:
        limit = int(call.number_field("limit", MAX_PAGE_RECORDS, MAX_PAGE_RECORDS))
        return model_response(self.trail.export(self._start_position(call), max(1, limit)))

    def _start_position(self, call: AdminCall) -> int:
        after = int(call.number_field("after", 0, 2**53))
        incarnation = call.query.get("incarnation")
        if incarnation is not None and incarnation != str(self.trail.incarnation):
            # The position belongs to an earlier process of this node, whose trail is gone.
            return 0
        return after

    def _events(self, call: AdminCall) -> Response:
        if not self.followers.acquire(blocking=False):
            raise FollowersError("too many calls wait for events; try another node")
        try:
            wait_s = min(
                call.number_field("wait_s", 0, _MAX_QUERY_WAIT_S), self.settings.max_wait_s
            )
            if "text/event-stream" in call.environ.get("HTTP_ACCEPT", ""):
                headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")]
                stream = _EventStream(self, self._resume_position(call))
                return Response(200, headers, stream)
            export = self.trail.wait_for_records(
                self._start_position(call), wait_s, MAX_PAGE_RECORDS
            )
        except BaseException:
            self.followers.release()
            raise
        self.followers.release()
        return model_response(
            EventsReport(
                node_id=export.node_id,
                incarnation=export.incarnation,
                head_sequence=export.head_sequence or 0,
                records=export.records,
            )
        )

    def _resume_position(self, call: AdminCall) -> int:
        last = call.environ.get("HTTP_LAST_EVENT_ID", "")
        if not last:
            return self._start_position(call)
        incarnation, _, sequence = last.partition(":")
        if incarnation != str(self.trail.incarnation) or not sequence.isdecimal():
            return 0
        return int(sequence)


class _EventStream:
    """Body of a server-sent event stream; closing it makes room for another follower."""

    def __init__(self, app: AdminApp, after: int) -> None:
        self.app = app
        self.chunks = self._generate(after)
        self.closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self.chunks

    def close(self) -> None:
        """Ends the stream; the server also calls this when the client has disconnected."""
        self.chunks.close()  # type: ignore[attr-defined]
        if not self.closed:
            self.closed = True
            self.app.followers.release()

    def _generate(self, after: int) -> Iterator[bytes]:
        trail = self.app.trail
        yield b": tanagerworks\n\n"
        while not self.app.stopping.is_set():
            export: TrailExport = trail.wait_for_records(
                after, _KEEPALIVE_PERIOD_S, MAX_PAGE_RECORDS
            )
            if not export.records:
                yield b": no events\n\n"
                continue
            for record in export.records:
                after = record.sequence
                data = record.model_dump_json()
                text = f"id: {record.incarnation}:{after}\nevent: {record.kind.value}\ndata: {data}"
                yield f"{text}\n\n".encode()


def error_response(error: TanagerError) -> Response:
    """Returns an error response in the published format, with the stable code and outcome."""
    report = ErrorReport(
        error=ErrorDetail(
            message=error.message,
            type=type(error).__name__,
            code=error.code,
            outcome=error.outcome.value,
        )
    )
    response = model_response(report, error.status)
    if error.retry_after_s is not None:
        response.headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    return response


class AdminServer:
    """HTTP server of the administration port, on threads of its own."""

    def __init__(
        self,
        address: str,
        settings: AdminSettings,
        operations: AgentOperations,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.app = AdminApp(operations, settings, loop)
        self.server = create_server(
            address,
            self.app,
            threads=settings.threads,
            max_body_bytes=settings.max_body_bytes,
            shutdown_timeout_s=1.0,
        )
        if settings.certificate_file is not None:
            self.server.ssl_adapter = BuiltinSSLAdapter(
                settings.certificate_file, settings.private_key_file
            )
        self.thread = threading.Thread(target=self.server.serve, name="administration", daemon=True)

    def start(self) -> None:
        """Binds the port and starts serving.

        Raises:
            OSError: the address cannot be bound.
        """
        self.server.prepare()
        self.thread.start()

    def stop(self) -> None:
        """Ends the event streams and closes the port; blocks, so call it off the event loop."""
        self.app.stopping.set()
        self.app.trail.close()
        self.server.stop()
        self.thread.join()
