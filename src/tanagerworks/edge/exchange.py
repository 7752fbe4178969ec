"""One attempt at one backend server: connect, send, read the answer, relay it."""

import asyncio
import contextlib
import logging

import h11

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.backend_connection import BackendConnection, ConnectionPool, connect
from tanagerworks.edge.http_messages import HeaderList, find_header
from tanagerworks.edge.interfaces import AnswerFacts, BackendDialect, Sending
from tanagerworks.edge.request_state import RETURN_S, Answer, Attempt, RequestState, RetryDenial
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
_WHOLE_ANSWER_BYTES = 262_144
# A repeatable request that has no answer after this part of its route's timeout is tried at
# another server while there is time for one.
_PATIENCE_SHARE = 0.5
# A resumable stream goes on elsewhere after a pause of this many times the objective, but no less
# than the minimum, which a server with a long prompt to read stays under.
_STALL_OBJECTIVES = 4.0
_STALL_MIN_S = 1.0
# Outcome of a request whose answer is a server's own error.
SERVER_ERROR = "server_error"


class BackendExchange:
    """Sends requests to backend servers over kept or new connections."""

    def __init__(self, dispatcher: Dispatcher, backends: BackendDialect) -> None:
        self.dispatcher = dispatcher
        self.backends = backends
        self.pool = ConnectionPool()

    async def attempt(self, request: RequestState, attempt: Attempt) -> str:
        """Sends a request to one server and passes its answer on; returns the outcome.

        Raises:
            BackendError: the attempt failed; the error says whether the request ran.
        """
        loop = asyncio.get_running_loop()
        state = attempt.state
        connection = await self._connection(request, state)
        fresh = connection.requests == 0
        whole = False
        headers: HeaderList = []
        try:
            self._check_sendable(state)
            now_s = loop.time()
            remaining_s = request.deadline_s - now_s - RETURN_S
            service = self.dispatcher.service(request.service)
            engine = service is not None and service.runs_models
            sending = Sending(
                state.server_id,
                request.customer,
                remaining_s,
                min(9, request.priority) if engine else None,
                request.splitter.last_event_id if request.splitter else request.call.last_event_id,
                attempt.copy_from,
            )
            connection.send(
                request.head,
                self.backends.request_headers(request.head, request.route, sending),
                request.body,
            )
            attempt.sent_s = now_s
            if request.sends == 0:
                self.dispatcher.budget(request.service).record_request(now_s)
            request.sends += 1
            request.demand.tried.add(state.server_id)
            self.dispatcher.sent(request.demand, state.server_id, now_s)
            headers, result = await self._read_answer(request, attempt, connection, fresh)
            whole = True
            return result
        except BackendRefusedError:
            whole = True
            raise
        finally:
            if whole:
                self.pool.put(_pool_key(state), connection, headers, loop.time())
            else:
                connection.close()

    def _check_sendable(self, state: ServerState) -> None:
        """Raises BackendConnectError if the server must get no new work any more."""
        if (
            state.entry.leaving
            or state.gone
            or state.entry.zone in self.dispatcher.directory.zones_out
        ):
            raise BackendConnectError("the server has left while the connection was made")

    async def _connection(self, request: RequestState, state: ServerState) -> BackendConnection:
        loop = asyncio.get_running_loop()
        if request.repeatable():
            # A kept connection may break under a request without telling whether it has run.
            kept = self.pool.take(_pool_key(state), loop.time())
            if kept is not None:
                return kept
        try:
            return await connect(state.entry.host, state.entry.port, _CONNECT_TIMEOUT_S)
        except BackendConnectError:
            request.demand.tried.add(state.server_id)
            raise

    def _stall_s(self, request: RequestState, first: bool) -> float | None:
        """Returns how long to wait for the next part of an answer; None without limit."""
        if not request.repeatable() or request.sends >= request.route.max_attempts:
            return None
        if not request.route.streams:
            return _PATIENCE_SHARE * request.route.timeout_s
        objective_s = request.route.objective_s if first else request.route.gap_objective_s
        return max(_STALL_MIN_S, _STALL_OBJECTIVES * objective_s)

    async def _next_event(
        self, connection: BackendConnection, limit_s: float | None
    ) -> h11.Response | h11.Data | h11.EndOfMessage:
        if limit_s is None:
            return await connection.next_event()
        try:
            async with asyncio.timeout(limit_s):
                return await connection.next_event()
        except TimeoutError as error:
            raise BackendTimeoutError(f"no part of the answer for {limit_s:.1f} s") from error

    async def _read_answer(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        fresh: bool,
    ) -> tuple[HeaderList, str]:
        event = await self._next_event(connection, self._stall_s(request, first=True))
        if not isinstance(event, h11.Response):
            raise BackendProtocolError("the answer has no head")
        headers = list(event.headers)
        facts = self.backends.read_answer(event.status_code, headers)
        self._check_belongs(request, facts, event.status_code, fresh)
        if facts.load is not None:
            attempt.state.reported_running = facts.load
            attempt.state.reported_at_s = asyncio.get_running_loop().time()
        answer = Answer(event.status_code, headers, facts=facts)
        if request.route.streams and 200 <= event.status_code < 300:
            return headers, await self._relay_stream(request, attempt, connection, answer)
        result = await self._relay_whole(request, attempt, connection, answer)
        return headers, result

    def _check_belongs(
        self, request: RequestState, facts: AnswerFacts, status: int, fresh: bool
    ) -> None:
        """Raises BackendProtocolError for an answer that may be another request's."""
        if facts.call_id is not None and facts.call_id != request.call.call_id:
            raise BackendProtocolError("the answer bears another request's id")
        if facts.call_id is None and (not fresh or 200 <= status < 300):
            raise BackendProtocolError("the answer bears no id")

    async def _relay_whole(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        answer: Answer,
    ) -> str:
        body = bytearray()
        while True:
            event = await self._next_event(connection, self._stall_s(request, first=False))
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            body += event.data
            if len(body) > _WHOLE_ANSWER_BYTES:
                return await self._relay_long(request, attempt, connection, answer, bytes(body))
        answer.body = bytes(body)
        facts = answer.facts
        assert facts is not None
        if facts.wrong_server:
            # Its entry is stale; a new one, or a new word of this one, makes it usable again.
            attempt.state.gone = True
            raise BackendMisdirectedError("another server has the address")
        if facts.not_run:
            raise BackendRefusedError("the server is full")
        if answer.status >= 500:
            attempt.answers.append(answer)
            error = BackendError(f"the server answered {answer.status}", outcome=Outcome.RAN)
            if request.repeatable():
                raise error
            attempt.failed = True
            log_failure(request, error, RetryDenial.HAS_RUN)
            return self.send_answer(request, answer)
        self._succeeded(attempt)
        return self.send_answer(request, answer)

    async def _relay_long(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        answer: Answer,
        begun: bytes,
    ) -> str:
        self._start_answer(request, answer)
        request.responder.write(begun)
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            request.responder.write(bytes(event.data))
            await request.responder.drain()
        request.responder.finish()
        self._succeeded(attempt)
        return "answered"

    def _start_answer(self, request: RequestState, answer: Answer) -> None:
        length = find_header(answer.headers, b"content-length")
        headers = self.backends.answer_headers(answer.headers)
        request.status = answer.status
        request.responder.start(answer.status, headers, int(length) if length is not None else None)
        request.first_byte_s = asyncio.get_running_loop().time() - request.arrived_s

    def send_answer(self, request: RequestState, answer: Answer) -> str:
        """Passes an answer on that has been read whole; returns the outcome."""
        headers = self.backends.answer_headers(answer.headers)
        request.status = answer.status
        request.first_byte_s = asyncio.get_running_loop().time() - request.arrived_s
        if request.head.method == b"HEAD":
            request.responder.start(answer.status, headers, 0)
            request.responder.finish()
        else:
            request.responder.send_whole(answer.status, headers, answer.body)
        return "answered" if answer.status < 500 else SERVER_ERROR

    async def _relay_stream(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        answer: Answer,
    ) -> str:
        responder = request.responder
        splitter = request.splitter
        first = True
        while True:
            event = await self._next_event(connection, self._stall_s(request, first=first))
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            attempt.answer_began()
            first = False
            data = bytes(event.data)
            if splitter is not None:
                data = splitter.feed(data)
            if not responder.started:
                self._start_answer(request, answer)
            responder.write(data)
            await responder.drain()
        if splitter is not None and splitter.rest:
            raise BackendProtocolError("the stream ended inside an event")
        if not responder.started:
            self._start_answer(request, answer)
        responder.finish()
        self._succeeded(attempt)
        return "answered"

    # account

    def _succeeded(self, attempt: Attempt) -> None:
        now_s = asyncio.get_running_loop().time()
        attempt.state.succeeded(now_s - attempt.sent_s)

    async def trim_connections(self, interval_s: float) -> None:
        """Closes kept connections that are idle for long or lead to servers that are gone."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(interval_s)
            servers = self.dispatcher.directory.servers.values()
            with contextlib.suppress(RuntimeError):
                self.pool.trim({_pool_key(state) for state in servers}, loop.time())


def log_failure(request: RequestState, error: BackendError, reason: RetryDenial | None) -> None:
    """Logs why an attempt failed and why the request is not sent again, None if it is."""
    _LOGGER.warning(
        "attempt failed",
        extra={
            "call": request.call.call_id,
            "server": request.server,
            "error": error.code,
            "reason": error.message,
            "outcome": error.outcome.value,
            "sends": request.sends,
            "not_again": reason.value if reason is not None else None,
        },
    )


def _pool_key(state: ServerState) -> str:
    return f"{state.server_id}/{state.entry.started_ms}/{state.entry.host}:{state.entry.port}"
