"""One attempt at one backend server: connect, send the request, relay the response."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import replace

import h11

from tanagerworks.dispatch.choice import Prompt
from tanagerworks.dispatch.directory import ServerProcess, process_of
from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.answer_check import check_answer, is_success
from tanagerworks.edge.backend_connection import BackendConnection, ConnectionPool
from tanagerworks.edge.event_stream import EventCounter
from tanagerworks.edge.forwarded_headers import to_forwarded_response
from tanagerworks.edge.http_messages import HeaderList, find_header
from tanagerworks.edge.interfaces import BackendDialect, BackendRequestContext, ResponseMetadata
from tanagerworks.edge.limit_reports import log_limit
from tanagerworks.edge.load_reports import record_answer_load
from tanagerworks.edge.pause_timeout import PauseTolerantTimeout
from tanagerworks.edge.reachability_check import ReachabilityCheck
from tanagerworks.edge.request_state import (
    ANSWER_START_S,
    MAX_LOGGED_ID_LENGTH,
    MAX_LOGGED_PARTS,
    RESPONSE_MARGIN_S,
    Attempt,
    BackendResponse,
    RequestState,
    RetryDenial,
)
from tanagerworks.edge.stall import StallLimits
from tanagerworks.errors import (
    BackendConnectError,
    BackendDisconnectedError,
    BackendError,
    BackendMisdirectedError,
    BackendProtocolError,
    BackendRefusedError,
    BackendTimeoutError,
)
from tanagerworks.outcome import Outcome

_LOGGER = logging.getLogger(__name__)

# All responses except successful streams are buffered up to this size before the caller gets the
# status, so that the request can be retried if the response is truncated.
_MAX_BUFFERED_BYTES = 262_144
# The same while memory is short.
_MIN_BUFFERED_BYTES = 16_384
# A retryable request that gets no data for this share of its route's timeout is retried at another
# server, which then still has time to respond.
_READ_TIMEOUT_SHARE = 0.5
# Random factor on the time for which a server wants no requests, so that nodes do not return to it
# together.
_PAUSE_SPREAD = (1.0, 1.5)
# Result of a request whose buffered response has a 5xx status.
SERVER_ERROR = "server_error"


class BackendExchange:
    """Runs attempts of requests at backend servers, over pooled or new connections."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        backend_dialect: BackendDialect,
        reachability_check: ReachabilityCheck,
    ) -> None:
        self.dispatcher = dispatcher
        self.backend_dialect = backend_dialect
        self.reachability_check = reachability_check
        self.pool = ConnectionPool()
        self.stall_limits = StallLimits()
        self.random = random.Random()
        # Called before a time of the past is compared with the clock; see `StoreView`.
        self.account_for_suspension: Callable[[], None] = lambda: None
        # Called with a server that wants no requests until `paused_until_s`.
        self.on_pause: Callable[[ServerState], None] = lambda _state: None
        # Called with the attempt, the service and the server's software version when the first
        # event of a resumable stream has arrived.
        self.on_stream_begun: Callable[[str, str, str, ServerProcess | None], None] = (
            lambda *_: None
        )
        # Whether a stream ends if its server is silent and no other server can go on with it.
        self.ends_stalled_streams: Callable[[], bool] = lambda: True

    async def run_attempt(self, request: RequestState, attempt: Attempt) -> str:
        """Sends a request to one server, relays the response and returns the result.

        The result is "answered", or `SERVER_ERROR` if the caller got a buffered 5xx response.

        Raises:
            BackendError: the attempt failed; its `outcome` says whether the request has run.
        """
        loop = asyncio.get_running_loop()
        state = attempt.state
        connection = await self._acquire_connection(request, state)
        is_new = connection.request_count == 0
        complete = False
        headers: HeaderList = []
        try:
            self._check_accepts_work(attempt)
            now_s = loop.time()
            connection.send_request(
                request.head, self._request_headers(request, attempt, now_s), request.body
            )
            attempt.sent_s = now_s
            request.send_count += 1
            self._record_sent(request, state, now_s)
            headers, result = await self._read_response(request, attempt, connection, is_new)
            complete = True
            return result
        except BackendRefusedError as error:
            complete = True
            if not isinstance(error, BackendMisdirectedError):
                self._record_rejection(state)
            raise
        except BackendDisconnectedError:
            self._record_disconnect(state)
            raise
        finally:
            if complete:
                self._release_connection(state, connection, headers)
            else:
                connection.close()

    def _request_headers(self, request: RequestState, attempt: Attempt, now_s: float) -> HeaderList:
        """Returns the headers of a request that is sent now, without the framing headers."""
        service = self.dispatcher.find_service(request.service)
        is_model_service = service is not None and service.runs_models
        context = BackendRequestContext(
            attempt.state.server_id,
            request.customer,
            request.deadline_s - now_s - RESPONSE_MARGIN_S,
            min(9, request.priority) if is_model_service else None,
            request.last_event_id,
            attempt.copy_from,
        )
        return self.backend_dialect.request_headers(request.head, request.route, context)

    def _record_sent(self, request: RequestState, state: ServerState, now_s: float) -> None:
        """Records that a request has been written to a server."""
        if not request.in_retry_budget:
            request.in_retry_budget = True
            self.dispatcher.retry_budget(request.service).record_request(now_s)
        request.sent_to.add(state.server_id)
        request.dispatch_request.tried_server_ids.add(state.server_id)
        self.dispatcher.record_sent(request.dispatch_request, state.server_id, now_s)

    def _release_connection(
        self, state: ServerState, connection: BackendConnection, headers: HeaderList
    ) -> None:
        """Keeps a connection for another request if that is possible."""
        now_s = asyncio.get_running_loop().time()
        self.pool.release(_pool_key(state), connection, headers, now_s)

    def _record_rejection(self, state: ServerState) -> None:
        now_s = asyncio.get_running_loop().time()
        nodes = self.dispatcher.peer_table.assumed_fleet_size(now_s)
        if state.record_rejection(nodes, now_s):
            self.on_pause(state)
            _LOGGER.info(
                "brittle server rejected a request",
                extra={
                    "server": state.server_id,
                    "rejections_per_s": state.rejections_per_s,
                    "until_s": round(state.paused_until_s - now_s, 2),
                },
            )

    def _record_disconnect(self, state: ServerState) -> None:
        self.reachability_check.record_failure(state, asyncio.get_running_loop().time())

    def has_recent_connection(self, state: ServerState, now_s: float) -> bool:
        """Whether there is a connection to a server that has not been idle for long."""
        return self.pool.has_recent(_pool_key(state), now_s)

    def _check_accepts_work(self, attempt: Attempt) -> None:
        """Raises BackendConnectError if the server must not get new work."""
        state, now_s = attempt.state, asyncio.get_running_loop().time()
        if attempt.last_resort:
            self.account_for_suspension()
            out_of_service = now_s >= self.dispatcher.last_resort_end_s(state)
        else:
            out_of_service = self.dispatcher.directory.is_out_of_service(state)
        if out_of_service or state.removed or state.is_paused(now_s):
            raise BackendConnectError("the server went out of service while connecting to it")

    async def _acquire_connection(
        self, request: RequestState, state: ServerState
    ) -> BackendConnection:
        loop = asyncio.get_running_loop()
        if request.is_retryable():
            # Only retryable requests use pooled connections: if one breaks during a request, it is
            # unknown whether the request has run.
            pooled = self.pool.acquire(_pool_key(state), loop.time())
            if pooled is not None:
                return pooled
        try:
            return await self.reachability_check.open_connection(state)
        except BackendConnectError:
            request.dispatch_request.tried_server_ids.add(state.server_id)
            raise

    def _can_retry(self, request: RequestState) -> bool:
        """Whether the request may be sent once more if its present attempt fails."""
        return request.is_retryable() and request.send_count < request.route.max_attempts

    def _can_move(self, request: RequestState) -> bool:
        """Whether the request may be sent once more, and another server could take it now.

        If not, a slow server is better than none.
        """
        now_s = asyncio.get_running_loop().time()
        return self._can_retry(request) and self.dispatcher.has_alternative(
            request.dispatch_request, now_s
        )

    def _read_timeout_s(self, request: RequestState) -> float | None:
        """Returns the time to wait for the head or the next data, or None for no limit.

        The limits on the events of a stream come on top.
        """
        if not self._can_retry(request):
            return None
        if request.route.streams:
            return self.stall_limits.resume_after_s(request.route, first=True)
        return _READ_TIMEOUT_SHARE * request.route.timeout_s

    def _stall_timeout_s(self, request: RequestState, first: bool) -> float:
        """Returns the time to wait for the next complete event of a stream."""
        if self._can_retry(request):
            return self.stall_limits.resume_after_s(request.route, first)
        return self.stall_limits.end_after_s(request.route)

    async def _read_event(
        self, request: RequestState, connection: BackendConnection
    ) -> h11.Response | h11.Data | h11.EndOfMessage:
        """Returns the next event; waits for longer than the read timeout only without a choice.

        Raises:
            BackendTimeoutError: the server is silent, and another one could take the request.
        """
        timeout_s = self._read_timeout_s(request)
        if timeout_s is None:
            return await connection.next_event()
        try:
            now_s = asyncio.get_running_loop().time()
            async with PauseTolerantTimeout(now_s + timeout_s, timeout_s):
                return await connection.next_event()
        except TimeoutError as error:
            if self._can_move(request):
                raise BackendTimeoutError(f"no response data for {timeout_s:.1f} s") from error
        return await connection.next_event()

    async def _read_response(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        is_new: bool,
    ) -> tuple[HeaderList, str]:
        event = await self._read_event(request, connection)
        if not isinstance(event, h11.Response):
            raise BackendProtocolError("the response has no head")
        headers, metadata = self._parse_head(request, attempt, event, is_new)
        # While another attempt is in progress, that one may still have to send the body.
        is_only = attempt.claim_answer is None
        if is_only and not (metadata.not_run or metadata.wrong_server or self._can_retry(request)):
            request.body = b""
            request.responder.release_body()
        response = BackendResponse(
            event.status_code,
            headers,
            metadata=metadata,
            software_version=attempt.state.entry.version,
        )
        if request.route.streams and is_success(event.status_code):
            return headers, await self._relay_stream(request, attempt, connection, response)
        result = await self._relay_buffered(request, attempt, connection, response)
        return headers, result

    def _parse_head(
        self, request: RequestState, attempt: Attempt, event: h11.Response, is_new: bool
    ) -> tuple[HeaderList, ResponseMetadata]:
        """Returns the headers of a response and what they say; records what the server states.

        Raises:
            BackendProtocolError: the response is no answer to the request.
        """
        headers = list(event.headers)
        metadata = self.backend_dialect.parse_response_head(event.status_code, headers)
        check_answer(request.call.call_id, event.status_code, headers, metadata, is_new)
        if metadata.is_own:
            self._record_statement(attempt.state, metadata)
        return headers, metadata

    def _record_statement(self, state: ServerState, metadata: ResponseMetadata) -> None:
        """Records what a server says of itself in an answer."""
        now_s = asyncio.get_running_loop().time()
        statement = metadata.statement
        if statement.load is not None:
            record_answer_load(state, statement, now_s)
        if statement.unreadable_load is not None and not state.unreadable_load_logged:
            state.unreadable_load_logged = True
            _LOGGER.warning(
                "load of a server cannot be read",
                extra={"server": state.server_id, "value": statement.unreadable_load},
            )
        if statement.leaving and state.record_leaving(now_s):
            _LOGGER.info(
                "server says that it leaves",
                extra={"server": state.server_id, "running": state.running},
            )
        if statement.pause_s:
            until_s = now_s + statement.pause_s * self.random.uniform(*_PAUSE_SPREAD)
            state.record_pause(until_s, now_s)
            self.on_pause(state)
            _LOGGER.info(
                "server wants no requests",
                extra={
                    "server": state.server_id,
                    "named_s": statement.pause_s,
                    "until_s": round(until_s - now_s, 2),
                },
            )
        else:
            state.record_acceptance(now_s)
        limit_per_s, rejections_per_s = statement.limit_per_s, statement.rejections_per_s
        if not metadata.signed:
            # A refusal without a signature may leave out a limit that is in force.
            limit_per_s = state.limit_per_s if limit_per_s is None else limit_per_s
            rejections_per_s = (
                state.rejections_per_s if rejections_per_s is None else rejections_per_s
            )
        if state.record_limit(limit_per_s, now_s, rejections_per_s):
            log_limit(state, "answer")

    async def _relay_buffered(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        response: BackendResponse,
    ) -> str:
        """Relays a response once it is complete, or as it arrives if it is large.

        Raises:
            BackendMisdirectedError: the request reached another server.
            BackendRefusedError: the server has not run the request.
            BackendError: a 5xx response to a retryable request, an incomplete response, or a
                response to a stream that the caller has already received in part.

        Another attempt may have answered the caller meanwhile; then nothing is relayed.
        """
        response.body, complete = await self._read_buffered_body(request, connection)
        self._check_executed(attempt, response)
        if response.status >= 500:
            self._handle_server_error(request, attempt, response, complete)
        if attempt.claim_answer is not None and not attempt.claim_answer():
            if complete:
                self._record_success(request, attempt)
            return "answered"
        if request.responder.started:
            raise BackendProtocolError(
                f"the server responded with status {response.status} instead of resuming the stream"
            )
        if not complete:
            await self._relay_rest(request, connection, response)
        else:
            self.send_response(request, response)
        if response.status >= 500:
            return SERVER_ERROR
        self._record_success(request, attempt)
        return "answered"

    async def _read_buffered_body(
        self, request: RequestState, connection: BackendConnection
    ) -> tuple[bytes, bool]:
        """Returns the body and whether it is complete; a large one is only read in part."""
        body = bytearray()
        limit = _MAX_BUFFERED_BYTES
        while len(body) <= limit:
            event = await self._read_event(request, connection)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body), True
            assert isinstance(event, h11.Data)
            body += event.data
            if request.responder.hold_answer(len(body)):
                limit = _MIN_BUFFERED_BYTES
        return bytes(body), False

    def _check_executed(self, attempt: Attempt, response: BackendResponse) -> None:
        """Raises BackendRefusedError or a subclass if the server has not run the request."""
        metadata = response.metadata
        assert metadata is not None
        if metadata.wrong_server:
            # The published entry is stale; the next published one makes the server usable again.
            attempt.state.removed = True
            raise BackendMisdirectedError("another server uses this address")
        if metadata.not_run:
            raise BackendRefusedError("the server refused the request without running it")

    def _handle_server_error(
        self, request: RequestState, attempt: Attempt, response: BackendResponse, complete: bool
    ) -> None:
        """Raises BackendError if a request with a 5xx response may be retried.

        Otherwise records the failure; the caller gets the response.
        """
        error = BackendError(
            f"the server responded with status {response.status}", outcome=Outcome.RAN
        )
        if complete:
            attempt.responses.append(response)
        has_other = attempt.claim_answer is not None
        if has_other or self._can_retry(request) or (request.is_retryable() and complete):
            # Without a retry, the pipeline sends the complete response to the caller.
            raise error
        attempt.failed = True
        denial = RetryDenial.ATTEMPTS_USED if request.is_retryable() else RetryDenial.HAS_RUN
        log_attempt_failure(request, attempt, error, denial)

    async def _relay_rest(
        self, request: RequestState, connection: BackendConnection, response: BackendResponse
    ) -> None:
        """Relays the buffered start of a large response and the rest as it arrives.

        Such a response cannot be retried, so it may take until the deadline of the request.
        """
        self._start_response(request, response, _stated_length(response.headers))
        request.responder.write_body(response.body)
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            request.responder.write_body(bytes(event.data))
            await request.responder.drain()
        request.responder.finish()

    def _start_response(
        self, request: RequestState, response: BackendResponse, body_bytes: int | None = None
    ) -> None:
        """Sends the head; a body of unknown length is sent in chunks."""
        headers = self.backend_dialect.response_headers(response.headers)
        if request.forwarded_by is not None:
            headers = to_forwarded_response(headers, response.software_version)
        request.status = response.status
        request.content_type = find_header(response.headers, b"content-type") or b""
        request.responder.start(response.status, headers, body_bytes)
        request.first_byte_s = asyncio.get_running_loop().time() - request.arrived_s

    def send_response(self, request: RequestState, response: BackendResponse) -> str:
        """Sends a completely read response to the caller; returns the result."""
        is_head = request.head.method == b"HEAD"
        body_bytes = _stated_length(response.headers) if is_head else len(response.body)
        self._start_response(request, response, body_bytes)
        request.responder.write_body(response.body)
        request.responder.finish()
        return "answered" if response.status < 500 else SERVER_ERROR

    async def _relay_stream(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        response: BackendResponse,
    ) -> str:
        """Relays a successful stream as it arrives, a resumable one in complete events.

        Raises:
            BackendTimeoutError: no complete event within the stall limit.
            BackendProtocolError: the response does not continue the stream that has begun.
            BackendError: the stream is incomplete.
        """
        loop = asyncio.get_running_loop()
        if request.responder.started:
            _check_continuation(request, response)
        attempt.last_event_s = loop.time()
        limit_s = self._stall_timeout_s(request, first=True)
        end_after_s = self.stall_limits.end_after_s(request.route)
        # Keeps its state when the stream goes on after a timeout inside an event.
        event_counter = EventCounter()
        while True:
            try:
                async with PauseTolerantTimeout(loop.time() + limit_s, limit_s) as stall_timeout:
                    await self._relay_events(
                        request, attempt, connection, response, event_counter, stall_timeout
                    )
                    break
            except TimeoutError as error:
                limit_s = end_after_s - (loop.time() - attempt.last_event_s)
                if limit_s <= 0.0 and not self.ends_stalled_streams():
                    limit_s = end_after_s
                if limit_s <= 0.0 or self._can_move(request):
                    raise BackendTimeoutError(
                        "the stream stalled without a complete event"
                    ) from error
        if not request.responder.started:
            self._start_response(request, response, _stated_length(response.headers))
        request.responder.finish()
        self._record_success(request, attempt)
        return "answered"

    async def _relay_events(
        self,
        request: RequestState,
        attempt: Attempt,
        connection: BackendConnection,
        response: BackendResponse,
        event_counter: EventCounter,
        stall_timeout: PauseTolerantTimeout,
    ) -> None:
        """Relays data until the end; postpones the timeout with each complete event.

        The time for which a slow caller keeps the node from reading does not count as a stall.

        Raises:
            BackendDisconnectedError: the server has broken off the stream.
        """
        loop = asyncio.get_running_loop()
        responder = request.responder
        event_splitter = request.event_splitter
        stall_timeout_s = self._stall_timeout_s(request, first=False)
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                _check_stream_end(request, attempt, response, event_counter)
                return
            assert isinstance(event, h11.Data)
            attempt.end_prefill()
            data = bytes(event.data)
            if event_counter.feed(data):
                self._record_event(request, attempt)
                stall_timeout.reschedule(loop.time() + stall_timeout_s)
            if event_splitter is not None:
                data = event_splitter.feed(data)
                if data and request.dispatch_request.software_version is None:
                    self._record_stream_begin(request, attempt)
            if not responder.started:
                self._start_response(request, response, _stated_length(response.headers))
            responder.write_body(data)
            if responder.is_writable():
                continue
            stall_timeout.reschedule(None)
            await responder.drain()
            attempt.last_event_s = loop.time()
            stall_timeout.reschedule(loop.time() + stall_timeout_s)

    # Accounting and cleanup

    def _record_event(self, request: RequestState, attempt: Attempt) -> None:
        """Records a complete event of a stream."""
        now_s = asyncio.get_running_loop().time()
        attempt.last_event_s = now_s
        if attempt.first_event_s is None:
            attempt.first_event_s = now_s
        if now_s - attempt.first_event_s >= ANSWER_START_S:
            self._record_answer(request, attempt)

    def _record_stream_begin(self, request: RequestState, attempt: Attempt) -> None:
        """Binds a resumable stream to the software version that brings its first event."""
        entry = attempt.state.entry
        request.dispatch_request = replace(request.dispatch_request, software_version=entry.version)
        process = self._serving_process(attempt)
        self.on_stream_begun(request.call.call_id, request.service, entry.version, process)

    def _serving_process(self, attempt: Attempt) -> ServerProcess | None:
        """Returns the process that serves an attempt, or None if this node does not know it."""
        return process_of(attempt.state.entry)

    def _record_answer(self, request: RequestState, attempt: Attempt) -> None:
        """Records, once per attempt, that the server has outlived the start of its answer."""
        if attempt.answer_under_way:
            return
        attempt.answer_under_way = True
        now_s = asyncio.get_running_loop().time()
        self.dispatcher.record_answer(request.dispatch_request, now_s)
        self.dispatcher.fleet_health.record_answer(attempt.state, attempt.sent_s, now_s)

    def _record_success(self, request: RequestState, attempt: Attempt) -> None:
        now_s = asyncio.get_running_loop().time()
        self._record_answer(request, attempt)
        slowdown = attempt.state.slowdown(now_s)
        attempt.state.record_success((now_s - attempt.sent_s) / slowdown)

    async def run_connection_cleanup(self, interval_s: float) -> None:
        """Closes expired idle connections and those to removed servers, every `interval_s`."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(interval_s)
            servers = self.dispatcher.directory.servers.values()
            try:
                self.pool.close_expired({_pool_key(state) for state in servers}, loop.time())
            except Exception:
                # An error while a connection is closed must not end the loop.
                _LOGGER.exception("cleanup of idle connections failed; continuing with the next")


def log_attempt_failure(
    request: RequestState, attempt: Attempt, error: BackendError, denial: RetryDenial | None
) -> None:
    """Logs why an attempt failed; `denial` is None if the request is retried."""
    prompt = request.call.prompt
    _LOGGER.warning(
        "attempt failed",
        extra={
            "call": request.call.call_id,
            "server": attempt.state.server_id,
            "error": error.code,
            "reason": error.message,
            "outcome": error.outcome.value,
            "identity": request.dispatch_request.identity,
            "under_way": attempt.answer_under_way,
            "first_event": attempt.first_event_s is not None,
            "parts": _logged_part_ids(prompt) if prompt is not None else None,
            "sends": request.send_count,
            "not_again": denial.value if denial is not None else None,
        },
    )


def _stated_length(headers: HeaderList) -> int | None:
    """Returns the length of a body, or None if the response does not state it or is chunked."""
    length = find_header(headers, b"content-length")
    if length is None or find_header(headers, b"transfer-encoding") is not None:
        return None
    return int(length)


def _check_continuation(request: RequestState, response: BackendResponse) -> None:
    """Raises BackendProtocolError if a success does not continue the stream that has begun.

    A server can answer with the text of an error under a status of success.
    """
    content_type = find_header(response.headers, b"content-type") or b""
    has_events = content_type.startswith(b"text/event-stream")
    if has_events or content_type == request.content_type:
        return
    raise BackendProtocolError(
        f"the response of type {content_type!r} does not continue a stream of type"
        f" {request.content_type!r}"
    )


def _check_stream_end(
    request: RequestState, attempt: Attempt, response: BackendResponse, event_counter: EventCounter
) -> None:
    """Raises BackendDisconnectedError if a stream that seems to be complete is not.

    The body of a response with neither a length nor chunks ends with the connection, for whatever
    reason that ends.
    """
    content_type = find_header(response.headers, b"content-type") or b""
    has_events = content_type.startswith(b"text/event-stream") or request.event_splitter is not None
    if has_events and event_counter.is_inside_event():
        raise BackendDisconnectedError("the stream ended inside an event")
    has_length = find_header(response.headers, b"content-length") is not None
    is_chunked = find_header(response.headers, b"transfer-encoding") is not None
    if attempt.first_event_s is None and has_events and not (has_length or is_chunked):
        raise BackendDisconnectedError("the stream ended without an event")


def _pool_key(state: ServerState) -> str:
    """Returns a key that changes when the server restarts or moves to another address."""
    return f"{state.server_id}/{state.entry.started_ms}/{state.entry.host}:{state.entry.port}"


def _logged_part_ids(prompt: Prompt) -> list[str]:
    """Returns the ids of the first shared parts of a prompt, shortened."""
    ids = prompt.shared_part_ids[:MAX_LOGGED_PARTS]
    return [part_id[:MAX_LOGGED_ID_LENGTH] for part_id in ids]
