"""HTTP connections to backend servers.

Redirects, retries and decompression of the client library are not used: whether and where a
request is retried is decided by the retry rules alone, and bodies are relayed as they are.
"""

import http.client
import socket
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from tanagerworks.errors import (
    BackendConnectError,
    BackendError,
    BackendProtocolError,
    BackendTimeoutError,
    RequestError,
)
from tanagerworks.outcome import Outcome
from tanagerworks.router.backend_response import BackendResponse, ResponseReader, Socket
from tanagerworks.wsgi import parse_address

Connect = Callable[[str, float], Socket]

# Servers close idle connections after a few seconds at the earliest. Reusing connections only
# below that age makes the race between the close and the next request rare.
MAX_IDLE_S = 4.0


def connect_tcp(address: str, timeout_s: float) -> Socket:
    """Returns a TCP connection with Nagle's algorithm disabled."""
    sock = socket.create_connection(parse_address(address), timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class _CountingSocket:
    """A socket that counts the bytes that the kernel accepted; `http.client` writes to it."""

    def __init__(self, sock: Socket, now: Callable[[], float]) -> None:
        self.sock = sock
        self.reader = ResponseReader(sock, now)
        self.bytes_written = 0

    def sendall(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            sent = self.sock.send(view)
            self.bytes_written += sent
            view = view[sent:]

    def makefile(self, *_arguments: Any) -> ResponseReader:
        return self.reader

    def settimeout(self, timeout_s: float | None) -> None:
        self.sock.settimeout(timeout_s)

    def close(self) -> None:
        """Does nothing: the response may still be read after `http.client` closes its side."""


class _HttpConnection(HTTPConnection):
    # The library must not open a second connection for a request on its own.
    auto_open = 0

    def __init__(self, address: str, counting_socket: _CountingSocket) -> None:
        host, port = parse_address(address)
        super().__init__(host, port)
        self.sock = counting_socket

    def send(self, data: Any) -> None:
        if self.sock is None:
            raise http.client.NotConnected
        self.sock.sendall(data)


class BackendConnection:
    """One connection to a backend server, for one request at a time."""

    def __init__(self, address: str, sock: Socket, now: Callable[[], float]) -> None:
        self.address = address
        self.sock = sock
        self.now = now
        self.counting_socket = _CountingSocket(sock, now)
        self.http = _HttpConnection(address, self.counting_socket)
        self.idle_since_s = now()
        # Boot id that the engine last reported on this connection, and when (CLOCK_BOOTTIME).
        self.boot_id = ""
        self.boot_confirmed_at_s = 0.0

    @property
    def reader(self) -> ResponseReader:
        """Reader of the responses."""
        return self.counting_socket.reader

    def is_usable(self) -> bool:
        """Whether the server neither closed the idle connection nor sent data on it."""
        if self.reader.buffer:
            return False
        try:
            self.sock.settimeout(0.0)
            self.sock.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()

    def abort(self) -> None:
        """Shuts down the connection, which ends the wait of a thread that reads from it."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def send_request(
        self, method: str, target: str, body: bytes, headers: Mapping[str, str], deadline_s: float
    ) -> BackendResponse:
        """Sends one request and returns the response with its body still unread.

        `deadline_s` (on the clock `now`) applies to the complete response. The connection is
        closed if the request fails.

        Raises:
            RequestError: the request cannot be written as HTTP; no byte was sent.
            BackendError: the connection failed; the outcome is NOT_RUN only if the kernel
                accepted no byte of the request.
        """
        self.counting_socket.bytes_written = 0
        self.reader.deadline_s = deadline_s
        try:
            remaining_s = deadline_s - self.now()
            if remaining_s <= 0:
                raise TimeoutError("the deadline passed")
            self.sock.settimeout(remaining_s)
            self.http.putrequest(method, target, skip_accept_encoding=True)
            for name, value in headers.items():
                self.http.putheader(name, value)
            if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
                self.http.putheader("Content-Length", str(len(body)))
            self.http.endheaders(body or None)
            response = http.client.HTTPConnection.getresponse(self.http)
        except (ValueError, UnicodeError) as error:
            self.close()
            if self.counting_socket.bytes_written:
                raise BackendProtocolError("the response cannot be parsed") from error
            raise RequestError("the request cannot be written as HTTP") from error
        except (HTTPError, http.client.HTTPException, OSError) as error:
            self.close()
            raise self._backend_error(error) from error
        return BackendResponse(response, self.reader)

    def _backend_error(self, error: Exception) -> BackendError:
        outcome = Outcome.UNKNOWN if self.counting_socket.bytes_written else Outcome.NOT_RUN
        name = type(error).__name__
        if isinstance(error, TimeoutError):
            return BackendTimeoutError(f"no response in time: {name}", outcome=outcome)
        if isinstance(error, OSError):
            return BackendError(f"the connection failed: {name}", outcome=outcome)
        return BackendProtocolError(f"the response cannot be parsed: {name}", outcome=outcome)


class BackendConnectionPool:
    """Idle connections by address; only connections with a complete response are reused."""

    def __init__(
        self,
        connect_timeout_s: float,
        max_idle_per_address: int = 64,
        connect: Connect = connect_tcp,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.max_idle_per_address = max_idle_per_address
        self.connect = connect
        self.now = now
        self.lock = threading.Lock()
        self.idle_by_address: dict[str, list[BackendConnection]] = defaultdict(list)

    def open_connection(self, address: str) -> BackendConnection:
        """Returns a new connection.

        Raises:
            BackendConnectError: the connection attempt failed; no byte was sent.
        """
        try:
            sock = self.connect(address, self.connect_timeout_s)
        except OSError as error:
            raise BackendConnectError(f"cannot connect: {type(error).__name__}") from error
        return BackendConnection(address, sock, self.now)

    def acquire(self, address: str) -> BackendConnection:
        """Returns an idle connection that the server has not closed, or a new one.

        Raises:
            BackendConnectError: the connection attempt failed; no byte was sent.
        """
        while True:
            with self.lock:
                idle = self.idle_by_address[address]
                connection = idle.pop() if idle else None
            if connection is None:
                return self.open_connection(address)
            if self.now() - connection.idle_since_s < MAX_IDLE_S and connection.is_usable():
                return connection
            connection.close()

    def release(self, connection: BackendConnection, response: BackendResponse) -> None:
        """Keeps a connection whose response was read to the end for reuse; closes any other."""
        if response.reusable:
            connection.idle_since_s = self.now()
            with self.lock:
                idle = self.idle_by_address[connection.address]
                if len(idle) < self.max_idle_per_address:
                    idle.append(connection)
                    return
        connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self.lock:
            connections = [item for idle in self.idle_by_address.values() for item in idle]
            self.idle_by_address.clear()
        for connection in connections:
            connection.close()
