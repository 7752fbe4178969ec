"""Reads responses of backend servers from a connection and checks their framing.

`http.client` reads the status line and the headers through `ResponseReader`. The body is decoded
here: a stream is relayed in pieces as large as are available and its framing is checked to the
end, which `http.client.HTTPResponse` does not allow.
"""

import re
import time
from collections.abc import Callable
from http.client import HTTPMessage, HTTPResponse
from typing import Protocol

from tanagerworks.errors import BackendProtocolError

_RECEIVE_BYTES = 65_536
_MAX_CHUNK_LINE_BYTES = 1024
_MAX_TRAILER_BYTES = 8192
_CRLF = b"\r\n"
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}\Z")


class Socket(Protocol):
    """The part of a socket that connections to backend servers use."""

    def send(self, data: memoryview, /) -> int:
        """Sends some of `data`; returns the number of bytes that the kernel accepted."""

    def recv(self, size: int, /) -> bytes:
        """Receives up to `size` bytes; empty at the end of the connection."""

    def settimeout(self, timeout_s: float | None, /) -> None:
        """Sets the timeout of each call; None disables it."""

    def shutdown(self, how: int, /) -> None:
        """Shuts down the connection for all threads that use it."""

    def fileno(self) -> int:
        """Returns the file descriptor, negative if there is none."""

    def close(self) -> None:
        """Closes the connection."""


class ResponseReader:
    """Receives data of a connection within a deadline; a file object for `http.client`."""

    def __init__(self, sock: Socket, now: Callable[[], float] = time.monotonic) -> None:
        self.sock = sock
        self.now = now
        self.buffer = b""
        # None if another thread ends the wait by shutting down the connection.
        self.deadline_s: float | None = 0.0

    def receive(self) -> bytes:
        """Returns the available data, waiting if there is none; empty at the end of the connection.

        Raises:
            OSError: the connection failed or the deadline passed.
        """
        if self.deadline_s is not None:
            remaining_s = self.deadline_s - self.now()
            if remaining_s <= 0:
                raise TimeoutError("the deadline passed")
            self.sock.settimeout(remaining_s)
        return self.sock.recv(_RECEIVE_BYTES)

    def disable_deadline(self) -> None:
        """Leaves ending a wait to another thread, which saves system calls for each piece."""
        self.deadline_s = None
        self.sock.settimeout(None)

    def readline(self, limit: int = -1) -> bytes:
        """Returns a line with its line end, or `limit` bytes of a longer one."""
        while True:
            end = self.buffer.find(b"\n") + 1
            if not end and 0 <= limit <= len(self.buffer):
                end = limit
            if end:
                if limit >= 0:
                    end = min(end, limit)
                line, self.buffer = self.buffer[:end], self.buffer[end:]
                return line
            data = self.receive()
            if not data:
                line, self.buffer = self.buffer, b""
                return line
            self.buffer += data

    def flush(self) -> None:
        """Does nothing; `http.client` calls it."""

    def close(self) -> None:
        """Does nothing; the connection owns the socket."""


class BackendResponse:
    """Status, headers and body of one response."""

    def __init__(self, response: HTTPResponse, reader: ResponseReader) -> None:
        self.status = response.status
        self.headers: HTTPMessage = response.headers
        self.reader = reader
        self.chunked = bool(response.chunked)
        self.will_close = response.will_close
        # Bytes of the body, or of the current chunk, still to be read; None if the body extends to
        # the end of the connection.
        self.remaining_bytes: int | None = 0 if self.chunked else response.length
        self.complete = not self.chunked and self.remaining_bytes == 0
        self.expects_crlf = False
        self.trailer_bytes = 0
        response.close()

    @property
    def framed(self) -> bool:
        """Whether the framing states where the body ends."""
        return self.chunked or self.remaining_bytes is not None

    @property
    def reusable(self) -> bool:
        """Whether the connection can be used for another request."""
        return self.complete and not self.will_close and not self.reader.buffer

    def read(self) -> bytes:
        """Returns the next piece of the body, as large as is available; empty at its end.

        Raises:
            BackendProtocolError: the framing is invalid.
            OSError: the connection failed or the deadline passed.
        """
        while not self.complete:
            piece = self._decode_chunks() if self.chunked else self._decode_identity()
            if piece or self.complete:
                return piece
            data = self.reader.receive()
            if data:
                self.reader.buffer += data
                continue
            if self.framed:
                raise BackendProtocolError("the connection ended within the response")
            self.complete = True
        return b""

    def read_all(self, max_bytes: int) -> bytes:
        """Returns the complete body.

        Raises:
            BackendProtocolError: the body is longer than `max_bytes` or its framing is invalid.
            OSError: the connection failed or the deadline passed.
        """
        pieces = []
        size = 0
        while piece := self.read():
            size += len(piece)
            if size > max_bytes:
                raise BackendProtocolError("the response exceeds the size limit")
            pieces.append(piece)
        return b"".join(pieces)

    def _decode_identity(self) -> bytes:
        buffer = self.reader.buffer
        if self.remaining_bytes is None:
            self.reader.buffer = b""
            return buffer
        piece, self.reader.buffer = buffer[: self.remaining_bytes], buffer[self.remaining_bytes :]
        self.remaining_bytes -= len(piece)
        self.complete = self.remaining_bytes == 0
        return piece

    def _decode_chunks(self) -> bytes:
        buffer = self.reader.buffer
        position = 0
        parts = []
        while not self.complete:
            if self.remaining_bytes:
                part = buffer[position : position + self.remaining_bytes]
                if not part:
                    break
                parts.append(part)
                position += len(part)
                self.remaining_bytes -= len(part)
                self.expects_crlf = self.remaining_bytes == 0
                continue
            if self.expects_crlf:
                if len(buffer) - position < len(_CRLF):
                    break
                if buffer[position : position + 2] != _CRLF:
                    if parts:
                        # Returns the data of complete chunks first; the next call raises.
                        break
                    raise BackendProtocolError("a chunk of the response has no end")
                position += 2
                self.expects_crlf = False
            end = buffer.find(_CRLF, position)
            if end < 0:
                if len(buffer) - position > _MAX_CHUNK_LINE_BYTES:
                    raise BackendProtocolError("a chunk header of the response is too long")
                break
            line = buffer[position:end]
            if self.trailer_bytes:
                position = end + 2
                self._parse_trailer_line(line)
                continue
            size = line.partition(b";")[0].strip()
            if not _CHUNK_SIZE.match(size):
                if parts:
                    break
                raise BackendProtocolError("a chunk size of the response is not a number")
            position = end + 2
            self.remaining_bytes = int(size, 16)
            if self.remaining_bytes == 0:
                self.trailer_bytes = 1
        self.reader.buffer = buffer[position:]
        return b"".join(parts)

    def _parse_trailer_line(self, line: bytes) -> None:
        self.trailer_bytes += len(line)
        if self.trailer_bytes > _MAX_TRAILER_BYTES:
            raise BackendProtocolError("the trailer of the response is too long")
        self.complete = not line
