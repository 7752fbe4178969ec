"""Asynchronous HTTP/1.1 client on h11 that opens one connection for each request."""

import asyncio
from collections.abc import Mapping
from typing import Any

import h11

from tanagerworks.wsgi import parse_address

_READ_BYTES = 65_536
_CONNECT_TIMEOUT_S = 2.0


class CallNotSentError(Exception):
    """The connection could not be established, so no byte of the request was sent."""


class CallBrokenError(Exception):
    """The connection failed after bytes of the request were sent."""


class Call:
    """One request on its own connection, and its response.

    `status` and `headers` (names in lower case) are set by `send_request`.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: dict[str, str] = {}

    @classmethod
    async def connect(cls, address: str) -> "Call":
        """Opens a connection to `address`, given as ``host:port``.

        Raises:
            CallNotSentError: the connection was refused or timed out.
        """
        host, port = parse_address(address)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as error:
            raise CallNotSentError(str(error)) from error
        return cls(reader, writer)

    async def send_request(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes = b""
    ) -> None:
        """Sends the request and receives the status and headers of the response.

        Raises:
            CallBrokenError: the connection ended before the response began.
        """
        all_headers = {
            "Host": "fleet",
            "Content-Length": str(len(body)),
            "Content-Type": "application/json",
            **headers,
        }
        request = h11.Request(method=method, target=path, headers=list(all_headers.items()))
        data = (self.http.send(request) or b"") + (self.http.send(h11.Data(data=body)) or b"")
        self.writer.write(data + (self.http.send(h11.EndOfMessage()) or b""))
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise CallBrokenError("no answer")
        self.status = event.status_code
        self.headers = {
            name.decode("ascii"): value.decode("latin-1") for name, value in event.headers
        }

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the response body; empty at its end.

        Raises:
            CallBrokenError: the connection ended before the body did.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return b""

    async def read_body(self) -> bytes:
        """Returns the rest of the response body.

        Raises:
            CallBrokenError: the connection ended before the body did.
        """
        chunks = []
        while chunk := await self.read_chunk():
            chunks.append(chunk)
        return b"".join(chunks)

    async def _next_event(self) -> Any:
        try:
            while (event := self.http.next_event()) is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(_READ_BYTES))
        except (OSError, h11.ProtocolError) as error:
            raise CallBrokenError(f"{type(error).__name__}: {error}") from error
        if isinstance(event, h11.ConnectionClosed):
            raise CallBrokenError("connection closed")
        return event

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
