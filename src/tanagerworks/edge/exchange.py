"""One attempt at one backend server: connect, send, read the answer, relay it."""

import asyncio
import contextlib
import logging

import h11

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.backend_connection import BackendConnection, ConnectionPool, open_connection
from tanagerworks.edge.http_messages import HeaderList, find_header
from tanagerworks.edge.interfaces import BackendDialect, BackendRequestContext, ResponseMetadata
from tanagerworks.edge.request_state import (
    RESPONSE_MARGIN_S,
    Attempt,
    BackendResponse,
    RequestState,
    RetryDenial,
)
from tanagerworks.errors import (
    BackendConnectError,
    BackendError,
    BackendMisdirectedError,
    BackendProtocolError,
    BackendRefusedError,
    BackendTimeoutError,
)
from tanagerworks.outcome import Outcome

_LOGGER = logging.getLogger(__name__)

# A new connection takes two crossings of a zone, some 2 ms. A lost opening packet is sent again
# after a second, so a new try elsewhere is sooner.
_CONNECT_TIMEOUT_S = 0.15
# Answers of plain services up to this size are read whole before the caller sees their status,
# so that a broken one can be repeated.
_MAX_BUFFERED_BYTES = 262_144
# A repeatable request that has no answer after this part of its route's timeout is tried at
# another server while there is time for one.
_READ_TIMEOUT_SHARE = 0.5
# A resumable stream goes on elsewhere after a pause of this many times the objective, but no less
# than the minimum, which a server with a long prompt to read stays under.
_STALL_FACTOR = 4.0
_MIN_STALL_S = 1.0
# Outcome of a request whose answer is a server's own error.
SERVER_ERROR = "server_error"


class BackendExchange:
    """Sends requests to backend servers over kept or new connections."""

    def __init__(self, dispatcher: Dispatcher, backend_dialect: BackendDialect) -> None:
        self.dispatcher = dispatcher
        self.backend_dialect = backend_dialect
        self.pool = ConnectionPool()

    async def run_attempt(self, request: RequestState, attempt: Attempt) -> str:
        """Sends a request to one server and passes its answer on; returns the outcome.

        Raises:
            BackendError: the attempt failed; the error says whether the request ran.
        """
        loop = asyncio.get_running_loop()
        state = attempt.state
        connection = await self._acquire_connection(request, state)
        is_new = connection.request_count == 0
        complete = False
        headers: HeaderList = []
        try:
            self._check_accepts_work(state)
            now_s = loop.time()
            remaining_s = request.deadline_s - now_s - RESPONSE_MARGIN_S
            service = self.dispatcher.service(request.service)
            engine = service is not None and service.runs_models
            context = BackendRequestContext(
                state.server_id,
                request.customer,
                remaining_s,
                min(9, request.priority) if engine else None,
                (
                    request.event_splitter.last_event_id
                    if request.event_splitter
                    else request.call.last_event_id
                ),
                attempt.copy_from,
            )
            connection.send_request(
                request.head,
                self.backend_dialect.request_headers(request.head, request.route, context),
                request.body,
            )
            attempt.sent_s = now_s
            if request.send_count == 0:
                self.dispatcher.budget(request.service).record_request(now_s)
            request.send_count += 1
            request.demand.tried.add(state.server_id)
            self.dispatcher.sent(request.demand, state.server_id, now_s)
            headers, outcome = await self._read_response(request, attempt, connection, is_new)
            complete = True
            return outcome
        except BackendRefusedError:
            complete = True
            raise
        finally:
            if complete:
                self.pool.release(_pool_key(state), connection, headers, loop.time())
            else:
                connection.close()

    def _check_accepts_work(self, state: ServerState) -> None:
        """Raises BackendConnectError if the server must get no new work any more."""
        if (
            state.entry.leaving
            or state.gone
            or state.entry.zone in self.dispatcher.directory.zones_out
        ):
            raise BackendConnectError("the server has left while the connection was made")

    async def _acquire_connection(
        self, request: RequestState, state: ServerState
    ) -> BackendConnection:
        loop = asyncio.get_running_loop()
        if request.is_retryable():
            # A kept connection may break under a request without telling whether it has run.
            pooled = self.pool.acquire(_pool_key(state), loop.time())
            if pooled is not None:
                return pooled
        try:
            return await open_connection(state.entry.host, state.entry.port, _CONNECT_TIMEOUT_S)
        except BackendConnectError:
            request.demand.tried.add(state.server_id)
            raise

    def _read_timeout_s(self, request: RequestState, first: bool) -> float | None:
        """Returns how long to wait for the next part of an answer; None without limit."""
        if not request.is_retryable() or request.send_count >= request.route.max_attempts:
            return None
        if not request.route.streams:
            return _READ_TIMEOUT_SHARE * request.route.timeout_s
        objective_s = request.route.objective_s if first else request.route.gap_objective_s
        return max(_MIN_STALL_S, _STALL_FACTOR * objective_s)

    async def _read_event(
        self, connection: BackendConnection, limit_s: float | None
    ) -> h11.Response | h11.Data | h11.EndOfMessage:
        if limit_s is None:
            return await connection.next_event()
        try:
            async with asyncio.timeout(limit_s):
                return await connection.next_event()
        except TimeoutError as error:
            raise BackendTimeoutError(f"no part of the answer for {limit_s:.1f} s") from error

    async def _read_response(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        is_new: bool,
    ) -> tuple[HeaderList, str]:
        event = await self._read_event(connection, self._read_timeout_s(request, first=True))
        if not isinstance(event, h11.Response):
            raise BackendProtocolError("the answer has no head")
        headers = list(event.headers)
        metadata = self.backend_dialect.parse_response_head(event.status_code, headers)
        self._check_request_id(request, metadata, event.status_code, is_new)
        if metadata.load is not None:
            attempt.state.reported_running = metadata.load
            attempt.state.reported_at_s = asyncio.get_running_loop().time()
        response = BackendResponse(event.status_code, headers, metadata=metadata)
        if request.route.streams and 200 <= event.status_code < 300:
            return headers, await self._relay_stream(request, attempt, connection, response)
        outcome = await self._relay_buffered(request, attempt, connection, response)
        return headers, outcome

    def _check_request_id(
        self, request: RequestState, metadata: ResponseMetadata, status: int, is_new: bool
    ) -> None:
        """Raises BackendProtocolError for an answer that may be another request's."""
        if metadata.call_id is not None and metadata.call_id != request.call.call_id:
            raise BackendProtocolError("the answer bears another request's id")
        if metadata.call_id is None and (not is_new or 200 <= status < 300):
            raise BackendProtocolError("the answer bears no id")

    async def _relay_buffered(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        response: BackendResponse,
    ) -> str:
        body = bytearray()
        while True:
            event = await self._read_event(connection, self._read_timeout_s(request, first=False))
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            body += event.data
            if len(body) > _MAX_BUFFERED_BYTES:
                return await self._relay_large(request, attempt, connection, response, bytes(body))
        response.body = bytes(body)
        metadata = response.metadata
        assert metadata is not None
        if metadata.wrong_server:
            # Its entry is stale; a new one, or a new word of this one, makes it usable again.
            attempt.state.gone = True
            raise BackendMisdirectedError("another server has the address")
        if metadata.not_run:
            raise BackendRefusedError("the server is full")
        if response.status >= 500:
            attempt.responses.append(response)
            error = BackendError(f"the server answered {response.status}", outcome=Outcome.RAN)
            if request.is_retryable():
                raise error
            attempt.failed = True
            log_attempt_failure(request, error, RetryDenial.HAS_RUN)
            return self.send_response(request, response)
        self._record_success(attempt)
        return self.send_response(request, response)

    async def _relay_large(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        response: BackendResponse,
        buffered: bytes,
    ) -> str:
        self._start_response(request, response)
        request.responder.write_body(buffered)
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            request.responder.write_body(bytes(event.data))
            await request.responder.drain()
        request.responder.finish()
        self._record_success(attempt)
        return "answered"

    def _start_response(self, request: RequestState, response: BackendResponse) -> None:
        length = find_header(response.headers, b"content-length")
        headers = self.backend_dialect.response_headers(response.headers)
        request.status = response.status
        request.responder.start(
            response.status, headers, int(length) if length is not None else None
        )
        request.first_byte_s = asyncio.get_running_loop().time() - request.arrived_s

    def send_response(self, request: RequestState, response: BackendResponse) -> str:
        """Passes an answer on that has been read whole; returns the outcome."""
        headers = self.backend_dialect.response_headers(response.headers)
        request.status = response.status
        request.first_byte_s = asyncio.get_running_loop().time() - request.arrived_s
        if request.head.method == b"HEAD":
            request.responder.start(response.status, headers, 0)
            request.responder.finish()
        else:
            request.responder.send_response(response.status, headers, response.body)
        return "answered" if response.status < 500 else SERVER_ERROR

    async def _relay_stream(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        response: BackendResponse,
    ) -> str:
        responder = request.responder
        event_splitter = request.event_splitter
        first = True
        while True:
            event = await self._read_event(connection, self._read_timeout_s(request, first=first))
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            attempt.record_response_start()
            first = False
            data = bytes(event.data)
            if event_splitter is not None:
                data = event_splitter.feed(data)
            if not responder.started:
                self._start_response(request, response)
            responder.write_body(data)
            await responder.drain()
        if event_splitter is not None and event_splitter.partial_event:
            raise BackendProtocolError("the stream ended inside an event")
        if not responder.started:
            self._start_response(request, response)
        responder.finish()
        self._record_success(attempt)
        return "answered"

    # account

    def _record_success(self, attempt: Attempt) -> None:
        now_s = asyncio.get_running_loop().time()
        attempt.state.succeeded(now_s - attempt.sent_s)

    async def run_connection_cleanup(self, interval_s: float) -> None:
        """Closes kept connections that are idle for long or lead to servers that are gone."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(interval_s)
            servers = self.dispatcher.directory.servers.values()
            with contextlib.suppress(RuntimeError):
                self.pool.close_expired({_pool_key(state) for state in servers}, loop.time())


def log_attempt_failure(
    request: RequestState, error: BackendError, reason: RetryDenial | None
) -> None:
    """Logs why an attempt failed and why the request is not sent again, None if it is."""
    _LOGGER.warning(
        "attempt failed",
        extra={
            "call": request.call.call_id,
            "server": request.server_id,
            "error": error.code,
            "reason": error.message,
            "outcome": error.outcome.value,
            "sends": request.send_count,
            "not_again": reason.value if reason is not None else None,
        },
    )


def _pool_key(state: ServerState) -> str:
    return f"{state.server_id}/{state.entry.started_ms}/{state.entry.host}:{state.entry.port}"
