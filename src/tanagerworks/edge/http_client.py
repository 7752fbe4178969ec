"""HTTP client for GET requests to one address over a persistent connection."""

import asyncio
from dataclasses import dataclass

import h11

from tanagerworks.edge.backend_connection import BackendConnection, open_connection
from tanagerworks.edge.http_messages import HeaderList, RequestHead, find_header
from tanagerworks.errors import BackendError, PublishedStoreError, ResponseTooLargeError

# A page of the store has about 1 MB before it is encoded; listings of caches are far smaller.
_MAX_BODY_BYTES = 8_000_000


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: HeaderList
    body: bytes

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return find_header(self.headers, name)


class HttpClient:
    """Sends GET requests to one address, one at a time over a persistent connection."""

    def __init__(self, address: str) -> None:
        host, _colon, port = address.rpartition(":")
        self.host = host
        self.port = int(port)
        self.connection: BackendConnection | None = None

    def close(self) -> None:
        """Closes the connection."""
        self._close()

    async def get(self, target: str, timeout_s: float) -> HttpResponse:
        """Returns the complete response.

        Raises:
            ResponseTooLargeError: the body exceeds the size limit.
            PublishedStoreError: no complete response within `timeout_s` seconds, also if the
                address is not that of the store.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._get(target)
        except (BackendError, TimeoutError) as error:
            self._close()
            raise PublishedStoreError(f"{self.host}:{self.port}: {error or 'timed out'}") from error
        except BaseException:
            self._close()
            raise

    async def _get(self, target: str) -> HttpResponse:
        if self.connection is None or not self.connection.is_reusable():
            self._close()
            self.connection = await open_connection(self.host, self.port, 1.0)
        host = f"{self.host}:{self.port}".encode()
        head = RequestHead(b"GET", target.encode(), [], has_body=False)
        self.connection.send_request(head, [(b"host", host)], b"")
        response = await self.connection.next_event()
        assert isinstance(response, h11.Response)
        body = bytearray()
        while True:
            event = await self.connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return HttpResponse(response.status_code, list(response.headers), bytes(body))
            assert isinstance(event, h11.Data)
            body += event.data
            if len(body) > _MAX_BODY_BYTES:
                raise ResponseTooLargeError(f"the body exceeds {_MAX_BODY_BYTES} bytes")

    def _close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
