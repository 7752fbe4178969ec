"""HTTP server for callers: cheroot with strict parsing, time limits and graceful shutdown."""

import io
import logging
import re
import select
import socket
import time
import uuid
from typing import Any

from cheroot.makefile import StreamReader
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server

from tanagerworks.errors import (
    NotFoundError,
    NotReadyError,
    PayloadTooLargeError,
    RequestError,
    RequestTimeoutError,
    TanagerError,
)
from tanagerworks.wsgi import Environ, error_response

_LOGGER = logging.getLogger(__name__)

CALLER_SOCKET = "tanager.caller_socket"
_HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_HEADER_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
_DIGITS = re.compile(rb"[0-9]{1,15}\Z")
_HTTP_VERSION = re.compile(rb"HTTP/1\.[01]\Z")
# If one of these is repeated, this server and the next one could read different requests.
_SINGLE_VALUE_HEADERS = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Content-Type",
        b"Host",
        b"Idempotency-Key",
        b"Transfer-Encoding",
        b"X-Chat-Key",
    }
)
_MAX_HEADERS = 128
_POLL_INTERVAL_S = 0.1


class StrictHeaderReader(HeaderReader):
    """Reads the headers and refuses whatever two HTTP parsers could read differently."""

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> dict[bytes, bytes]:
        """Returns the header values by title-cased name.

        Raises:
            ValueError: a header is not strictly valid.
        """
        headers: dict[bytes, bytes] = {} if hdict is None else hdict
        for _ in range(_MAX_HEADERS):
            line = rfile.readline()
            if line == b"\r\n":
                _check_framing(headers)
                return headers
            if not line.endswith(b"\r\n"):
                raise ValueError("header lines must end in CRLF")
            name, colon, value = line[:-2].partition(b":")
            if not colon or not _HEADER_NAME.match(name):
                raise ValueError("malformed header line")
            value = value.strip(b" \t")
            if not _HEADER_VALUE.match(value):
                raise ValueError("malformed header value")
            if b"_" in name:
                # WSGI does not distinguish it from the name with hyphens.
                continue
            name = name.title()
            if name in headers:
                if name in _SINGLE_VALUE_HEADERS:
                    raise ValueError("header given twice")
                value = headers[name] + b", " + value
            headers[name] = value
        raise ValueError("too many header lines")


def _check_framing(headers: dict[bytes, bytes]) -> None:
    length, encoding = headers.get(b"Content-Length"), headers.get(b"Transfer-Encoding")
    if length is not None and encoding is not None:
        raise ValueError("Content-Length and Transfer-Encoding exclude each other")
    if length is not None and not _DIGITS.match(length):
        raise ValueError("malformed Content-Length")
    if encoding is not None and encoding.lower() != b"chunked":
        raise ValueError("the only transfer encoding is chunked")


class _DeadlineIO(socket.SocketIO):
    """Socket reads with a common deadline, in addition to the timeout of each read.

    `deadline_s` is on the clock time.monotonic; None disables it.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "r")
        self.caller_socket = sock
        self.deadline_s: float | None = None

    def readinto(self, buffer: Any) -> int | None:
        if self.deadline_s is None:
            return super().readinto(buffer)
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        timeout_s = self.caller_socket.gettimeout()
        self.caller_socket.settimeout(
            remaining_s if timeout_s is None else min(timeout_s, remaining_s)
        )
        try:
            return super().readinto(buffer)
        finally:
            self.caller_socket.settimeout(timeout_s)


class _DeadlineReader(StreamReader):
    def __init__(self, raw: _DeadlineIO, buffer_size: int) -> None:
        # The initializer of StreamReader would create its own raw reader.
        io_base: Any = StreamReader.__mro__[1]
        io_base.__init__(self, raw, buffer_size)
        self.bytes_read = 0


class _CallerWriter:
    """Writes to a caller; the headers are sent together with the first piece of the body."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.defers_header = False
        self.deferred_data = b""
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        if self.defers_header:
            self.deferred_data += data
        elif self.deferred_data:
            data, self.deferred_data = self.deferred_data + data, b""
            self.sock.sendall(data)
        else:
            self.sock.sendall(data)
        return len(data)

    def flush(self) -> None:
        if self.deferred_data:
            self.write(b"")


class CallerRequest(HTTPRequest):
    """One request; refusals before the application is called are typed errors too."""

    header_reader = StrictHeaderReader()

    def read_request_headers(self) -> bool:
        """Reads the headers; returns whether the request can be served."""
        if not _HTTP_VERSION.match(self.request_protocol):
            self.simple_response("400 Bad Request", "malformed HTTP version")
            return False
        if not super().read_request_headers():
            return False
        if self.chunked_read:
            # The server does not read trailers, so what follows may not be a new request.
            self.close_connection = True
        if self.server.draining:
            self.close_connection = True
        return True

    def send_headers(self) -> None:
        """Sends the headers; a draining server announces that it closes the connection."""
        if self.server.draining:
            self.close_connection = True
        if getattr(self.rfile, "remaining", 0):
            # The unread rest of a body must not be parsed as the next request.
            self.close_connection = True
        writer = self.conn.wfile
        writer.defers_header = True
        try:
            super().send_headers()
        finally:
            writer.defers_header = False

    def respond(self) -> None:
        """Serves the request and writes the complete response."""
        super().respond()
        self.conn.wfile.flush()

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Sends a typed error instead of the server's plain text."""
        self.close_connection = True
        code = int(str(status)[:3])
        text = msg.decode("latin-1") if isinstance(msg, bytes) else str(msg)
        error = _typed_error(code, text or str(status)[4:])
        response = error_response(error, uuid.uuid4().hex)
        lines = [f"HTTP/1.1 {response.status_line}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in response.headers]
        payload = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + b"".join(response.body)
        try:
            self.conn.wfile.write(payload)
        except OSError:
            return


def _typed_error(status: int, message: str) -> TanagerError:
    error: TanagerError
    if status in (413, 414, 431):
        error = PayloadTooLargeError(message)
    elif status == 408:
        error = RequestTimeoutError("the request did not arrive in time")
    elif status == 404:
        error = NotFoundError(message)
    elif status == 503:
        error = NotReadyError("the server has no thread for the connection")
    elif status >= 500 and status not in (501, 505):
        error = TanagerError("internal error")
    else:
        error = RequestError(message)
        error.status = status
    return error


class CallerConnection(HTTPConnection):
    """A caller's connection; each request must arrive within a time limit."""

    RequestHandlerClass = CallerRequest

    def __init__(self, server: "CallerServer", sock: socket.socket, *arguments: Any) -> None:
        super().__init__(server, sock, *arguments)
        self.raw = _DeadlineIO(sock)
        self.rfile = _DeadlineReader(self.raw, io.DEFAULT_BUFFER_SIZE)
        # cheroot's writer copies each piece through several layers of Python code.
        self.wfile = _CallerWriter(sock)
        self.has_waited = False

    def communicate(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        self.raw.deadline_s = time.monotonic() + self.server.request_read_timeout_s
        stays_open = bool(super().communicate())
        if not stays_open:
            self._discard_input()
        return stays_open

    def _discard_input(self) -> None:
        """Discards what the caller still sends.

        Closing a socket with unread input resets the connection, and the caller could lose the
        response.
        """
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(_POLL_INTERVAL_S)
            for _ in range(self.server.max_discarded_reads):
                if not self.socket.recv(65_536):
                    return
        except OSError:
            return


class CallerGateway(Gateway_10):
    """WSGI gateway that passes the caller's socket to the application."""

    def get_environ(self) -> Any:
        """Returns the WSGI environment."""
        environ: Environ = super().get_environ()
        environ[CALLER_SOCKET] = self.req.conn.socket
        return environ


class CallerServer(Server):
    """HTTP server for callers or for other router processes."""

    ConnectionClass = CallerConnection
    expiration_interval = _POLL_INTERVAL_S
    request_read_timeout_s = 20.0
    max_discarded_reads = 8
    # Created by `prepare`; missing in the type stubs of cheroot.
    _connections: Any

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.gateway = CallerGateway
        self.draining = False

    def process_conn(self, conn: CallerConnection) -> None:
        """Passes a connection to a worker thread once it has sent data.

        Connections without a request occupy no thread.
        """
        if not conn.has_waited:
            conn.has_waited = True
            self._connections.put(conn)
            return
        super().process_conn(conn)

    def prepare(self) -> None:
        """Binds the port and starts the worker threads."""
        super().prepare()
        close_connections = self._connections.close

        def close() -> None:
            self._queue_arrived_requests()
            close_connections()

        self._connections.close = close

    def _queue_arrived_requests(self) -> None:
        """Queues connections whose request arrived while the server was stopping."""
        selector = self._connections._selector
        for descriptor, conn in list(selector.connections):
            if conn is self or not select.select([conn.socket], [], [], 0)[0]:
                continue
            selector.unregister(descriptor)
            self.requests.put(conn)

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Logs that the server failed; `msg` may quote the request, so it is not logged."""
        if level >= logging.WARNING:
            _LOGGER.log(level, "the HTTP server failed to handle a request", exc_info=False)
