"""HTTP/1.1 server based on asyncio and h11.

A handler gets the complete request and a `Responder`. When the caller disconnects, the handler's
task is cancelled at once, even before the first byte of the response.
"""

import asyncio
import json
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable

import h11

from tanagerworks.edge.body_budget import SMALL_BODY_BYTES, BodyReservation
from tanagerworks.edge.connection_ends import ConnectionEnds
from tanagerworks.edge.http_messages import (
    MAX_EVENTS_PER_TURN,
    HeaderList,
    RequestHead,
    find_header,
)
from tanagerworks.edge.memory_budget import (
    CONNECTION_SHARE,
    FIRST_REQUEST_GRACE_S,
    LINGER_S,
    PROGRESS_BYTES,
    EndReason,
    MemoryBudget,
    input_share,
)
from tanagerworks.edge.receive_buffer import RECEIVE_BYTES, BoundedReader
from tanagerworks.errors import BodyMemoryError, CallerMemoryError, TanagerError
from tanagerworks.published.model import CallerLimits

_LOGGER = logging.getLogger(__name__)

# Pipelined request bytes that are read from a caller while a handler runs.
_READ_AHEAD_BYTES = 16_384
# Unsent response bytes above which `Responder.drain` waits for a slow caller.
_WRITE_BUFFER_BYTES = 65_536
# What a connection takes besides its input and output: transport, parser, timer, socket. Measured
# at 6 to 8 KB with heads of an ordinary size.
_CONNECTION_BYTES = 8_192
# What a request in progress takes besides its body: task, state, the connection to a server and log
# records.
_RUNNING_BYTES = 32_768
# What is read ahead of a server's answer while the caller reads slowly.
_READ_AHEAD_OF_CALLER_BYTES = 65_536
# Memory of one header line besides its bytes: the objects of its name, its value and their pairs.
_HEADER_OBJECT_BYTES = 256
# Bytes that one byte of growing input takes, with the gaps that the allocator leaves.
_GROWTH_FACTOR = 1.25
# Connections whose waiting input is parsed in one turn of the event loop.
_PARSED_PER_TURN = 4
# Connections that are accepted in one turn of the event loop; each takes a descriptor before the
# limit on connections can refuse it.
_ACCEPTED_PER_TURN = 64
# Longest time in which a whole body has to arrive, whatever the idle timeout. A body of 4 MiB takes
# seconds on a slow link.
DEFAULT_BODY_TIMEOUT_S = 30.0
# Connections of a server that is given no limit.
_DEFAULT_MAX_CONNECTIONS = 1_000
# A connection that is refused as it opens; nothing has been read from it.
_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1.000\r\n"
    b"connection: close\r\ncontent-length: 0\r\n\r\n"
)
# Bytes beyond the limit on a head that are accepted: the parser counts what follows a head as well.
_HEAD_TOLERANCE_BYTES = 1_024
# Bytes of a head besides the method, the target and the headers, and besides a header's name and
# value, at least.
_REQUEST_LINE_BYTES = 12
_HEADER_LINE_BYTES = 3
# Longest time that a request waits for memory for its body; its caller then comes back, maybe to
# another node.
_MAX_ROOM_WAIT_S = 0.5
# Memory of a server that is given no budget.
_DEFAULT_BUDGET_BYTES = 64_000_000
# Timers may fire this much early.
_TIMER_RESOLUTION_S = 0.01
# Responses of a connection that do not close it although the node is closing its connections, since
# further requests are in the buffer. A caller that always sends ahead would never leave otherwise.
_MAX_PIPELINED_RESPONSES = 16
_STATUSES_WITHOUT_BODY = (204, 304)
_CHUNKED = (b"transfer-encoding", b"chunked")
_CLOSE = (b"connection", b"close")


class Responder:
    """Writes the response to one request."""

    def __init__(self, connection: "HttpServerConnection") -> None:
        self.connection = connection
        self.started = False
        self.finished = False
        # Whether the response that has started has a body, by its request and its status.
        self.has_body = True

    def start(self, status: int, headers: HeaderList, length: int | None) -> None:
        """Sends the head; `length` is that of the body, None for a chunked body.

        A response to HEAD states the length of the body that it leaves out; one with the status 204
        or 304 has no body whose length it could state (RFC 9110, section 8.6).
        """
        framing = [_CHUNKED if length is None else (b"content-length", b"%d" % length)]
        if status in _STATUSES_WITHOUT_BODY:
            framing = []
        self.has_body = bool(framing) and not self.connection.is_head_request()
        closing = [_CLOSE] if self.connection.closes_after_response() else []
        if self.connection.server.closing_connections:
            self.connection.responses_while_closing += 1
        self.started = True
        self.connection.send_event(
            h11.Response(status_code=status, headers=[*headers, *framing, *closing])
        )

    def write_body(self, data: bytes) -> None:
        """Sends body data, unless the response has no body; call `drain` to limit buffering."""
        if data and self.has_body:
            self.connection.send_event(h11.Data(data=data))

    def is_writable(self) -> bool:
        """Whether the write buffer has room, so that `drain` would return at once."""
        return self.connection.can_write.is_set()

    async def drain(self) -> None:
        """Waits until the write buffer has room, as the caller may read slowly."""
        if self.connection.can_write.is_set():
            return
        self.connection.hold_answer(_READ_AHEAD_OF_CALLER_BYTES)
        await self.connection.can_write.wait()
        self.connection.hold_answer(0)

    def hold_answer(self, size: int) -> bool:
        """States how many bytes of the answer the handler holds; returns whether memory is short.

        The handler then holds no more than it has to.
        """
        return self.connection.hold_answer(size)

    def finish(self) -> None:
        """Completes the response."""
        self.finished = True
        self.connection.send_event(h11.EndOfMessage())

    def send_response(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Sends a complete response."""
        self.start(status, headers, len(body))
        self.write_body(body)
        self.finish()

    def send_error(self, error: TanagerError) -> None:
        """Sends a JSON response with the code, message and outcome of the error."""
        headers: HeaderList = [(b"content-type", b"application/json")]
        if error.retry_after_s is not None:
            headers.append((b"retry-after", b"%.3f" % error.retry_after_s))
        headers.extend(self.connection.server.error_headers(error))
        detail = {"code": error.code, "message": error.message, "outcome": error.outcome.value}
        self.send_response(error.status, headers, json.dumps({"error": detail}).encode())

    @property
    def caller_host(self) -> str:
        """IP address of the caller; "" if the connection is closed."""
        transport = self.connection.transport
        return transport.get_extra_info("peername")[0] if transport is not None else ""

    def release_body(self) -> None:
        """States that the handler holds the body of the request no longer."""
        self.connection.release_body()
        self.connection.count_memory()

    def abort(self) -> None:
        """Resets the connection, so that a partial response cannot appear complete."""
        self.finished = True
        self.connection.abort()


Handler = Callable[[RequestHead, bytes, Responder], Awaitable[None]]


class HttpServerConnection(BoundedReader):
    """One connection of a caller; handles one request at a time."""

    def __init__(self, server: "HttpServer") -> None:
        self.server = server
        self.limits = server.limits()
        self.http = _new_parser(self.limits)
        self.transport: asyncio.Transport | None = None
        self.head: RequestHead | None = None
        self.head_started = False
        self.body = bytearray()
        # Memory for the body of the request in progress, and the timer that ends the wait for it.
        self.reservation: BodyReservation | None = None
        self.room_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.can_write = asyncio.Event()
        self.can_write.set()
        self.timer: asyncio.TimerHandle | None = None
        self.lingering = False
        self.read_ahead_bytes = 0
        # Whether the rest of the input is parsed in a later turn of the event loop.
        self.parsing = False
        # Whether the response that starts next is the last one, whatever the input.
        self.refusing = False
        # Responses since the server closes its connections.
        self.responses_while_closing = 0
        # What the budget counts for this connection, and parts of that.
        self.held_bytes = 0
        self.head_bytes = 0
        # Bytes of a small body that the handler holds.
        self.handed_bytes = 0
        self.answer_bytes = 0
        self.unsent_bytes = 0
        # Whether the budget knows that the request in progress is incomplete.
        self.awaited = False
        # Input of the request in progress since it last counted as progress.
        self.new_bytes = 0
        self.last_piece_s = 0.0
        self.body_began_s = 0.0
        # Event loop time.
        self.opened_s = asyncio.get_running_loop().time()
        # Since when no request is in progress, if none is; event loop time.
        self.idle_since_s = self.opened_s
        self.had_request = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket options and starts the idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)
        reason = self.server.find_room_for_connection(_CONNECTION_BYTES)
        if reason is not None:
            self.server.ends.record(reason)
            self.lingering = True
            transport.write(_REFUSAL)
            transport.close()
            return
        memory = self.server.memory
        memory.update(self, _CONNECTION_BYTES)
        memory.idle.put(self, self.opened_s)
        self._start_timer(self.limits.idle_timeout_s, self._idle_timeout)

    def max_read_bytes(self) -> int:
        """Returns how many bytes the next read may return."""
        return RECEIVE_BYTES if self.task is None else _READ_AHEAD_BYTES

    def data_received(self, data: memoryview | bytes) -> None:
        """Parses input; input received while a handler runs is processed when it has ended."""
        if self.lingering:
            return
        self.http.receive_data(data)  # type: ignore[arg-type]
        if self.parsing or self._waits_for_room():
            self._account_input()
            return
        if self.task is not None:
            self.read_ahead_bytes += len(data)
            if self.read_ahead_bytes > _READ_AHEAD_BYTES and self.transport is not None:
                self.transport.pause_reading()
            self.count_memory()
            return
        self._record_progress(len(data))
        self._process_input()

    def _record_progress(self, size: int) -> None:
        """Records input of the request in progress, whose connection is stalled without it."""
        self.last_piece_s = asyncio.get_running_loop().time()
        self.new_bytes += size
        if self.new_bytes >= PROGRESS_BYTES and (self.head is not None or self.head_started):
            self.new_bytes = 0
            self._await_input()

    def eof_received(self) -> bool:
        """Cancels the running handler, as the caller has disconnected."""
        self._cancel_handler()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the running handler and removes the connection from the server."""
        self.server.connections.discard(self)
        self._forget()
        self.can_write.set()
        self._cancel_timer()
        self._cancel_handler()
        self.release_body()
        self.transport = None
        self.server.memory.update(self, 0)

    def pause_writing(self) -> None:
        """Makes `Responder.drain` wait."""
        self.can_write.clear()

    def resume_writing(self) -> None:
        """Lets `Responder.drain` return."""
        self.can_write.set()
        self.check_unsent(asyncio.get_running_loop().time())

    # Requests

    def _process_input(self) -> None:
        self.parsing = False
        self._parse_input()
        self._account_input()

    def parse_waiting_input(self) -> None:
        """Goes on with input that was left for a later turn of the event loop."""
        self.last_piece_s = asyncio.get_running_loop().time()
        self._process_input()

    def _parse_input(self) -> None:
        """Parses input, as much as one turn of the event loop may take.

        The rest is parsed in later turns, which all connections share; until then, nothing more is
        read.
        """
        transport = self.transport
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                if transport is None or self.task is not None or self.lingering:
                    return
                if self._waits_for_room():
                    transport.pause_reading()
                    return
                if not self._process_next_event():
                    transport.resume_reading()
                    return
            assert transport is not None
            transport.pause_reading()
            self.parsing = True
            self.server.parse_later(self)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            _LOGGER.info("request cannot be parsed", extra={"reason": str(error)})
            self._reject_request(status if status in (408, 413, 431, 501) else 400)

    def _process_next_event(self) -> bool:
        """Handles one parsed event; returns whether more events may follow without more input."""
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            if self.http.they_are_waiting_for_100_continue:
                self.send_event(h11.InformationalResponse(status_code=100, headers=[]))
            if self.head is None and not self.head_started and self.http.trailing_data[0]:
                # One timeout for the whole head, so that single bytes cannot extend it.
                self.head_started = True
                self._start_timer(self.limits.header_timeout_s, self._header_timeout)
            return False
        if event is h11.PAUSED:
            return False
        if isinstance(event, h11.Request):
            return self._begin_request(event)
        if isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > self.limits.max_body_bytes:
                self._reject_request(413)
                return False
            if self.reservation is None and len(self.body) > SMALL_BODY_BYTES:
                # Chunks do not tell the length of the body.
                self._reserve_room(self.limits.max_body_bytes)
            return True
        if isinstance(event, h11.EndOfMessage):
            self._cancel_timer()
            own_bytes = 0
            if self.reservation is not None:
                self.reservation.shrink(len(self.body))
                # A body that is alone may be larger than the budget; it has been let in.
                own_bytes = self.reservation.size
            assert self.head is not None
            self._forget_input()
            memory, now_s = self.server.memory, self.last_piece_s
            if not memory.make_room(_RUNNING_BYTES, 1.0, now_s, self, own_bytes):
                self._refuse_for_memory()
                return False
            self.task = asyncio.get_running_loop().create_task(self._run_handler(self.head))
            return False
        return False

    def _begin_request(self, event: h11.Request) -> bool:
        """Stores the head of a request; returns false if the request is rejected."""
        self.head_started = False
        self.had_request = True
        headers = list(event.headers)
        names = [key for key, _value in headers]
        chunked = b"transfer-encoding" in names
        if chunked and b"content-length" in names:
            # Ambiguous framing allows request smuggling (RFC 9112, section 11.2).
            self._reject_request(400)
            return False
        if _head_bytes(event) > self.limits.max_header_bytes + _HEAD_TOLERANCE_BYTES:
            # The parser only checks a head that arrives in pieces.
            self._reject_request(431)
            return False
        if _stated_body_bytes(headers) > self.limits.max_body_bytes:
            self._reject_request(413)
            return False
        has_body = chunked or b"content-length" in names
        self.head = RequestHead(event.method, event.target, headers, has_body)
        self.head_bytes = _head_bytes(event) + _HEADER_OBJECT_BYTES * len(headers)
        self.body = bytearray()
        self.body_began_s = self.last_piece_s = asyncio.get_running_loop().time()
        first_s = min(self.limits.idle_timeout_s, self.server.body_timeout_s)
        self._start_timer(first_s, self._body_timeout)
        if _stated_body_bytes(headers) > SMALL_BODY_BYTES:
            self._reserve_room(_stated_body_bytes(headers))
        return True

    # Accounts of memory

    def _await_input(self) -> None:
        """Records that the request in progress is incomplete and has just delivered input."""
        memory = self.server.memory
        self.awaited = True
        memory.idle.discard(self)
        now_s = asyncio.get_running_loop().time()
        if self.reservation is not None and self.reservation.granted:
            memory.incomplete.discard(self)
            memory.incomplete_large.put(self, now_s)
        else:
            memory.incomplete.put(self, now_s)

    def _forget_input(self) -> None:
        """Takes the connection out of those that may be ended for their input."""
        memory = self.server.memory
        memory.idle.discard(self)
        if self.awaited:
            self.awaited = False
            memory.incomplete.discard(self)
            memory.incomplete_large.discard(self)

    def _forget(self) -> None:
        """Takes the connection out of those that may be ended for what they hold."""
        memory = self.server.memory
        self._forget_input()
        memory.unread.discard(self)
        memory.closing.discard(self)

    def count_memory(self) -> int:
        """Tells the budget what the connection holds; returns the bytes of its input."""
        if self.transport is None or self.lingering and not self.held_bytes:
            return 0
        size = len(self.http.trailing_data[0])
        if self.reservation is None or not self.reservation.granted:
            size += len(self.body)
        size = self.head_bytes + int(_GROWTH_FACTOR * size)
        running = _RUNNING_BYTES if self.task is not None else 0
        output = self.handed_bytes + self.answer_bytes + self.unsent_bytes
        self.server.memory.update(self, _CONNECTION_BYTES + size + running + output)
        return size

    def _account_input(self) -> None:
        """Tells the budget what the connection holds, and refuses the request if that is too much.

        The input is held already, so room is needed for nothing further.
        """
        if self.lingering or self.transport is None:
            return
        size = self.count_memory()
        if self.task is not None or (self.head is None and not self.head_started):
            return
        if not self.awaited:
            self._await_input()
        if self.reservation is not None and self.reservation.granted:
            # A large body that has begun can be read to its end.
            return
        now_s = asyncio.get_running_loop().time()
        if not self.server.memory.make_room(0, input_share(size), now_s, self):
            self._refuse_for_memory()

    def hold_answer(self, size: int) -> bool:
        """Counts `size` bytes that the handler holds of an answer; whether memory is short then."""
        self.answer_bytes = size
        self.count_memory()
        return self.server.memory.is_short()

    def check_unsent(self, now_s: float) -> None:
        """Counts the output that the caller has not taken; less than before is progress."""
        transport = self.transport
        if transport is None:
            return
        unsent = transport.get_write_buffer_size()
        unread = self.server.memory.unread
        if not unsent:
            unread.discard(self)
            if self.unsent_bytes and self._waits_for_request():
                self.server.memory.idle.put(self, now_s)
        elif unsent < self.unsent_bytes or not self.unsent_bytes:
            unread.put(self, now_s)
        if unsent != self.unsent_bytes:
            self.unsent_bytes = unsent
            self.count_memory()

    def _refuse_for_memory(self) -> None:
        self.server.ends.record(EndReason.NO_MEMORY)
        self._refuse(CallerMemoryError("what callers hold takes all memory"))

    def _refuse(self, error: TanagerError) -> None:
        """Refuses a request that the handler has not got, and closes the connection."""
        self.refusing = True
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            Responder(self).send_error(error)
        self._start_lingering_close()

    def end(self, reason: EndReason) -> None:
        """Ends the connection, as its memory or its descriptor is needed."""
        self.server.ends.record(reason)
        if reason is EndReason.STALLED_INPUT and self.task is None and not self.lingering:
            self._refuse(CallerMemoryError("the request is incomplete and memory is short"))
            return
        self.lingering = True
        self._forget()
        # The event loop closes the transport in its next turn; what needs the room is here now.
        self.server.memory.update(self, 0)
        self.abort()

    # Memory for bodies

    def _reserve_room(self, size: int) -> None:
        """Reserves memory for a body of `size` bytes in place of a former reservation.

        If there is none now, the request waits for up to `_MAX_ROOM_WAIT_S`.
        """
        self.release_body()
        bodies = self.server.memory.bodies
        now_s = asyncio.get_running_loop().time()
        self.server.memory.make_room_for_body(size, now_s, self)
        self.reservation = bodies.reserve(size, self._continue_with_room)
        if not self.reservation.granted:
            loop = asyncio.get_running_loop()
            self.room_timer = loop.call_later(_MAX_ROOM_WAIT_S, self._refuse_for_room)

    def _waits_for_room(self) -> bool:
        return self.reservation is not None and not self.reservation.granted

    def _continue_with_room(self) -> None:
        if self.reservation is None or not self.reservation.granted or self.parsing:
            # The call may have been for a former reservation.
            return
        if self.task is not None:
            # The rest of the body came between the grant and this call.
            return
        self._cancel_room_timer()
        self._await_input()
        self._process_input()

    def _refuse_for_room(self) -> None:
        assert self.reservation is not None
        now_s = asyncio.get_running_loop().time()
        if self.server.memory.make_room_for_body(self.reservation.size, now_s, self):
            self.server.memory.bodies.grant_waiting()
        if self.reservation.granted:
            return
        self.server.ends.record(EndReason.NO_MEMORY)
        self._refuse(BodyMemoryError("bodies of other requests take all memory"))

    def release_body(self) -> None:
        """Gives back the memory that is reserved for the body of the request in progress."""
        self._cancel_room_timer()
        self.handed_bytes = 0
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None

    def _cancel_room_timer(self) -> None:
        if self.room_timer is not None:
            self.room_timer.cancel()
            self.room_timer = None

    # Responses

    async def _run_handler(self, head: RequestHead) -> None:
        responder = Responder(self)
        try:
            await self.server.handler(head, self._take_body(), responder)
        except asyncio.CancelledError:
            if self.transport is not None:
                self.transport.abort()
            raise
        except TanagerError as error:
            if not responder.started:
                responder.send_error(error)
            elif not responder.finished:
                responder.abort()
        except Exception:
            _LOGGER.exception("request handler failed")
            if responder.started:
                responder.abort()
            else:
                responder.send_error(TanagerError("internal error"))
        self._finish_request()

    def _take_body(self) -> bytes:
        """Returns the body, which this connection no longer holds then."""
        body = bytes(self.body)
        self.body = bytearray()
        self.handed_bytes = len(body) if self.reservation is None else 0
        return body

    def _finish_request(self) -> None:
        self.task = None
        self.head = None
        self.body = bytearray()
        self.release_body()
        self.read_ahead_bytes = self.head_bytes = self.answer_bytes = self.new_bytes = 0
        if self.transport is None:
            return
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            self._start_lingering_close()
            return
        self.http.start_next_cycle()
        self.idle_since_s = asyncio.get_running_loop().time()
        if not self.transport.get_write_buffer_size():
            # A caller that still reads its answer is not idle; `check_unsent` tells when it is.
            self.server.memory.idle.put(self, self.idle_since_s)
        self._start_timer(self.limits.idle_timeout_s, self._idle_timeout)
        self.apply_limits()
        self.transport.resume_reading()
        self._process_input()

    def apply_limits(self) -> None:
        """Puts the server's present limits in force; a request in progress keeps its own."""
        limits = self.server.limits()
        if limits == self.limits or self.transport is None or self.lingering:
            return
        if self.parsing or self.task is not None:
            return
        if self.head is not None or self.head_started:
            return
        self.limits = limits
        unparsed, _closed = self.http.trailing_data
        self.http = _new_parser(limits)
        if unparsed:
            self.http.receive_data(unparsed)
        idle_s = asyncio.get_running_loop().time() - self.idle_since_s
        self._start_timer(max(0.0, limits.idle_timeout_s - idle_s), self._idle_timeout)

    def is_head_request(self) -> bool:
        """Whether the request in progress asks for the head of the response only."""
        return self.head is not None and self.head.method == b"HEAD"

    def closes_after_response(self) -> bool:
        """Whether a response that starts now is the last one of the connection."""
        if self.refusing or self.http.their_state is h11.SEND_BODY:
            return True
        if not self.server.closing_connections:
            return False
        # A request that is in the buffer already would not be answered.
        is_pipelined = bool(self.http.trailing_data[0])
        return not is_pipelined or self.responses_while_closing >= _MAX_PIPELINED_RESPONSES

    # Output and closing

    def send_event(self, event: h11.Event) -> None:
        """Writes an event unless the connection is closed."""
        if self.transport is None or self.transport.is_closing():
            return
        data = self.http.send(event)
        if data:
            self.transport.write(data)
            if self.unsent_bytes or self.transport.get_write_buffer_size():
                self.check_unsent(asyncio.get_running_loop().time())

    def _reject_request(self, status: int) -> None:
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), _CLOSE]
            self.send_event(h11.Response(status_code=status, headers=headers))
            self.send_event(h11.EndOfMessage())
        self._start_lingering_close()

    def _start_lingering_close(self) -> None:
        """Closes the output now and the connection after `LINGER_S`; input is discarded."""
        self.body = bytearray()
        self.release_body()
        if self.transport is None or self.transport.is_closing():
            return
        self.lingering = True
        # The old parser may hold input that nobody parses any more.
        self.http = _new_parser(self.limits)
        self.head = None
        self.head_bytes = self.answer_bytes = 0
        self._forget_input()
        if not self.unsent_bytes:
            self.server.memory.closing.put(self, asyncio.get_running_loop().time())
        self.count_memory()
        try:
            self.transport.write_eof()
        except OSError as error:
            # A reset is not noticed while the rest of the input waits to be parsed.
            _LOGGER.info("caller has reset the connection", extra={"reason": str(error)})
            self.abort()
            return
        self.transport.resume_reading()
        self._start_timer(LINGER_S, self.close)

    def _idle_timeout(self) -> None:
        """Closes the connection, but not while its caller still reads the last response.

        `HttpServer.check_memory` ends it if the caller makes no progress.
        """
        if self.transport is not None and self.transport.get_write_buffer_size():
            self._start_timer(self.limits.idle_timeout_s, self._idle_timeout)
        else:
            self.close()

    def _header_timeout(self) -> None:
        self._reject_request(408)

    def _body_timeout(self) -> None:
        """Rejects a body whose next piece is late, or that takes too long as a whole."""
        now_s = asyncio.get_running_loop().time()
        idle_left_s = self.last_piece_s + self.limits.idle_timeout_s - now_s
        whole_left_s = self.body_began_s + self.server.body_timeout_s - now_s
        left_s = min(idle_left_s, whole_left_s)
        if left_s > _TIMER_RESOLUTION_S:
            self._start_timer(left_s, self._body_timeout)
            return
        self.server.ends.record(EndReason.BODY_TIMEOUT)
        self._reject_request(408)

    def abort(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes the connection after the buffered output has been sent."""
        if self.transport is not None:
            self.transport.close()

    def close_if_idle(self) -> bool:
        """Closes the connection unless a request is in progress; returns whether it did.

        The first request of a new connection counts as in progress for a short time, and a response
        until it is written: a request that arrives while the rest is sent would make the end of the
        connection a reset. A lingering connection ends by itself for the same reason.
        """
        if self.lingering or not self._waits_for_request():
            return False
        if self.transport is not None and self.transport.get_write_buffer_size():
            return False
        age_s = asyncio.get_running_loop().time() - self.opened_s
        if not self.had_request and age_s < FIRST_REQUEST_GRACE_S:
            return False
        self.close()
        return True

    def is_reading_request(self) -> bool:
        """Whether a request has begun to arrive that its handler has not got yet."""
        return self.task is None and not (self.lingering or self._waits_for_request())

    def _waits_for_request(self) -> bool:
        return self.task is None and self.head is None and not self.head_started

    def _cancel_handler(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def _start_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        self._cancel_timer()
        self.timer = asyncio.get_running_loop().call_later(delay_s, action)

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def _new_parser(limits: CallerLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.max_header_bytes + _HEAD_TOLERANCE_BYTES
    )


def _head_bytes(event: h11.Request) -> int:
    """Returns the least number of bytes that the head of a request can have had."""
    size = len(event.method) + len(event.target) + _REQUEST_LINE_BYTES
    return size + sum(len(name) + len(value) + _HEADER_LINE_BYTES for name, value in event.headers)


def _stated_body_bytes(headers: HeaderList) -> int:
    """Returns the length of the body that the head states, 0 if it states none."""
    return int(find_header(headers, b"content-length") or 0)


class HttpServer:
    """One listening address and the connections accepted on it."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        memory: MemoryBudget | None = None,
        max_connections: int = _DEFAULT_MAX_CONNECTIONS,
        body_timeout_s: float = DEFAULT_BODY_TIMEOUT_S,
        connections: set[HttpServerConnection] | None = None,
    ) -> None:
        """`connections` are those of another server with which this one shares its limit."""
        self.handler = handler
        self.memory = memory or MemoryBudget(_DEFAULT_BUDGET_BYTES)
        self.max_connections = max_connections
        self.body_timeout_s = body_timeout_s
        self.ends = ConnectionEnds()
        # Connections with input that is left to parse.
        self.parse_queue: deque[HttpServerConnection] = deque()
        self.limits = limits
        self.connections = connections if connections is not None else set()
        # Returns further headers of the response to a request that fails with an error.
        self.error_headers: Callable[[TanagerError], HeaderList] = lambda _error: []
        # While set, responses carry `Connection: close`, so that callers move to other nodes.
        self.closing_connections = False
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int, backlog: int) -> None:
        """Opens the address and starts to accept connections.

        Raises:
            OSError: the address cannot be bound.
        """
        await self.accept_from(socket.create_server((host, port)), backlog)

    async def accept_from(self, listener: socket.socket, backlog: int) -> None:
        """Starts to accept connections on a bound socket, of which `backlog` may wait."""
        loop = asyncio.get_running_loop()
        listener.setblocking(False)
        self.listener = await loop.create_server(
            lambda: HttpServerConnection(self), sock=listener, backlog=_ACCEPTED_PER_TURN
        )
        # The event loop uses one number for the connections that wait and those that it accepts in
        # one turn.
        listener.listen(backlog)

    def find_room_for_connection(self, size: int) -> EndReason | None:
        """Returns why a new connection has to be refused, or None if there is room for it.

        Connections that deliver nothing are ended for it.
        """
        now_s = asyncio.get_running_loop().time()
        if len(self.connections) > self.max_connections and not self.memory.end_connection(now_s):
            return EndReason.NO_DESCRIPTOR
        if not self.memory.make_room(size, CONNECTION_SHARE, now_s):
            return EndReason.NO_MEMORY
        return None

    def parse_later(self, connection: HttpServerConnection) -> None:
        """Lets a connection go on parsing in a later turn of the event loop, after the others."""
        if not self.parse_queue:
            asyncio.get_running_loop().call_soon(self._parse_waiting)
        self.parse_queue.append(connection)

    def _parse_waiting(self) -> None:
        waiting, self.parse_queue = self.parse_queue, deque()
        for _ in range(min(_PARSED_PER_TURN, len(waiting))):
            connection = waiting.popleft()
            try:
                connection.parse_waiting_input()
            except Exception:
                # The other connections go on; nothing would parse their input any more.
                _LOGGER.exception("input of a caller cannot be processed")
                connection.abort()
        if waiting and not self.parse_queue:
            asyncio.get_running_loop().call_soon(self._parse_waiting)
        # Those that have just had a turn come after those that have not.
        waiting.extend(self.parse_queue)
        self.parse_queue = waiting

    def check_memory(self) -> None:
        """Ends answers that nobody reads; to be called every second or so."""
        now_s = asyncio.get_running_loop().time()
        for connection, since_s in list(self.memory.unread.since_s.items()):
            assert isinstance(connection, HttpServerConnection)
            connection.check_unsent(now_s)
            if connection.task is None and now_s - since_s > connection.limits.idle_timeout_s:
                # Nothing else ends a connection whose caller never takes the last response.
                connection.end(EndReason.UNREAD_OUTPUT)
        self.memory.end_unread(now_s)
        self.ends.log()

    def apply_limits(self) -> None:
        """Puts changed limits in force on the connections that are open."""
        for connection in list(self.connections):
            connection.apply_limits()

    def has_unsent_output(self) -> bool:
        """Whether callers have yet to take output that the kernel does not hold."""
        transports = [connection.transport for connection in self.connections]
        return any(transport and transport.get_write_buffer_size() for transport in transports)

    def close_listener(self) -> None:
        """Stops accepting connections."""
        if self.listener is not None:
            self.listener.close()

    def close_idle_connections(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()
