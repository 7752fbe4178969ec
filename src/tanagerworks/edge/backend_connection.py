"""HTTP/1.1 connections to backend servers on asyncio and h11; one request at a time."""

import asyncio
import contextlib
import socket
from collections import deque

import h11

from tanagerworks.edge.http_messages import HeaderList, RequestHead
from tanagerworks.errors import BackendConnectError, BackendError, BackendProtocolError

# Bytes of an answer that wait for the caller before the server is read no further.
_READ_AHEAD_BYTES = 262_144
# A peer that acknowledges nothing for this long counts as gone.
_TCP_USER_TIMEOUT_MS = 3_000
# Kept connections whose server states no timeout are reused for this long.
_DEFAULT_KEEP_S = 2.0
# Reuse ends this long before the server's own timeout, so that no request crosses its close.
_KEEP_MARGIN_S = 0.8
# Idle connections that a node keeps to one server. Servers count idle connections of all nodes
# towards what they accept, and reset what comes beyond.
MAX_IDLE_CONNECTIONS = 2


class BackendConnection(asyncio.Protocol):
    """One connection to one server."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.events: deque[h11.Event] = deque()
        self.event_bytes = 0
        self.waiter: asyncio.Future[None] | None = None
        self.error: Exception | None = None
        self.lost = False
        self.spoiled = False
        self.requests = 0
        self.idle_since_s = 0.0
        self.keep_s = _DEFAULT_KEEP_S

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the options of the socket."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parses the answer. Bytes that no request waits for spoil the connection."""
        if self.requests == 0 or self.http.our_state is h11.IDLE:
            self.spoiled = True
            return
        self.http.receive_data(data)
        self._parse()

    def eof_received(self) -> bool:
        """Ends an answer that has no length; any other answer is cut."""
        if self.http.our_state is not h11.IDLE:
            self.http.receive_data(b"")
            self._parse()
        self.lost = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes the reader."""
        self.lost = True
        if exc is not None and self.error is None:
            self.error = exc
        self._wake()

    def _parse(self) -> None:
        try:
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    break
                if event is h11.PAUSED:
                    self.spoiled = True
                    break
                if isinstance(event, h11.InformationalResponse):
                    continue
                assert not isinstance(event, type)
                self.events.append(event)
                if isinstance(event, h11.Data):
                    self._count(len(event.data))
                if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    break
        except h11.RemoteProtocolError as error:
            self.error = error
        if self.http.trailing_data[0] and self.http.their_state is h11.DONE:
            self.spoiled = True
        self._wake()

    def _count(self, size: int) -> None:
        self.event_bytes += size
        if self.event_bytes > _READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    # Requests

    def send(self, head: RequestHead, headers: HeaderList, body: bytes) -> None:
        """Writes a whole request.

        Raises:
            BackendConnectError: the connection has ended before a byte was written.
        """
        if self.transport is None or self.lost or self.transport.is_closing():
            raise BackendConnectError("the connection ended before the request was sent")
        if self.requests:
            self.http.start_next_cycle()
        self.requests += 1
        self.events.clear()
        framed = list(headers)
        if head.has_body or body:
            framed.append((b"content-length", b"%d" % len(body)))
        data = self.http.send(h11.Request(method=head.method, target=head.target, headers=framed))
        data = data or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self.transport.write(data)

    async def next_event(self) -> h11.Response | h11.Data | h11.EndOfMessage:
        """Returns the next part of the answer.

        Raises:
            BackendError: the answer ended early or cannot be parsed.
        """
        while not self.events:
            if self.error is not None:
                if isinstance(self.error, h11.RemoteProtocolError):
                    raise BackendProtocolError(f"answer cannot be parsed: {self.error}")
                raise BackendError(f"connection broke: {self.error}")
            if self.lost:
                raise BackendError("connection closed before the answer was complete")
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        event = self.events.popleft()
        if isinstance(event, h11.Data):
            self.event_bytes -= len(event.data)
            if self.event_bytes <= _READ_AHEAD_BYTES and self.transport is not None:
                self.transport.resume_reading()
        if isinstance(event, h11.ConnectionClosed):
            raise BackendError("connection closed before the answer was complete")
        assert isinstance(event, h11.Response | h11.Data | h11.EndOfMessage)
        return event

    def reusable(self) -> bool:
        """Whether another request may be sent on the connection after a whole answer."""
        if self.lost or self.spoiled or self.error is not None or self.transport is None:
            return False
        if self.transport.is_closing() or self.transport.get_write_buffer_size():
            return False
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def close(self) -> None:
        """Closes the connection at once, which makes the server drop its request."""
        if self.transport is not None:
            self.transport.abort()


async def connect(host: str, port: int, timeout_s: float) -> BackendConnection:
    """Returns a new connection.

    Raises:
        BackendConnectError: no connection within `timeout_s` seconds.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _transport, connection = await loop.create_connection(BackendConnection, host, port)
    except (OSError, TimeoutError) as error:
        raise BackendConnectError(f"{host}:{port}: {error or 'timed out'}") from error
    return connection


class ConnectionPool:
    """Kept connections by server incarnation; the most recently used is taken first."""

    def __init__(self) -> None:
        self.idle: dict[str, list[BackendConnection]] = {}

    def take(self, key: str, now_s: float) -> BackendConnection | None:
        """Returns a kept connection that its server has not closed, or None."""
        kept = self.idle.get(key, [])
        while kept:
            connection = kept.pop()
            if connection.reusable() and now_s - connection.idle_since_s < connection.keep_s:
                return connection
            connection.close()
        return None

    def put(
        self, key: str, connection: BackendConnection, headers: HeaderList, now_s: float
    ) -> None:
        """Keeps a connection after a whole answer with `headers`, or closes it."""
        if not connection.reusable():
            connection.close()
            return
        kept = self.idle.setdefault(key, [])
        if len(kept) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        connection.keep_s = _keep_time_s(headers)
        connection.idle_since_s = now_s
        kept.append(connection)

    def trim(self, keys: set[str], now_s: float) -> None:
        """Closes connections to servers other than `keys` and those idle for too long."""
        for key, kept in list(self.idle.items()):
            for connection in list(kept):
                fresh = now_s - connection.idle_since_s < connection.keep_s
                if key in keys and fresh and connection.reusable():
                    continue
                kept.remove(connection)
                connection.close()
            if not kept:
                del self.idle[key]


def _keep_time_s(headers: HeaderList) -> float:
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _equals, number = part.strip().partition(b"=")
            if key == b"timeout":
                with contextlib.suppress(ValueError):
                    return max(0.0, int(number) - _KEEP_MARGIN_S)
    return _DEFAULT_KEEP_S
