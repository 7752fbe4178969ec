"""HTTP headers and request heads, shared by the servers, the pipeline and the adapters."""

from dataclasses import dataclass

# Pairs of a lower-case header name and its value, in the order of the message.
HeaderList = list[tuple[bytes, bytes]]

# Events of one connection that are parsed in one turn of the event loop. A chunk may have a single
# byte and takes as long to parse as a large one.
MAX_EVENTS_PER_TURN = 16

# Hop-by-hop headers (RFC 9110, section 7.6.1) and framing headers.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers of a request as received."""

    method: bytes
    target: bytes
    headers: HeaderList
    # Whether the request has a Content-Length or a Transfer-Encoding.
    has_body: bool

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return find_header(self.headers, name)


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Returns the first value of the header `name` (lower case), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(headers: HeaderList) -> HeaderList:
    """Returns the headers without hop-by-hop and framing headers."""
    excluded = set(_HOP_BY_HOP_HEADERS)
    for key, value in headers:
        if key != b"connection":
            continue
        excluded.update(token.strip().lower() for token in value.split(b","))
    return [(key, value) for key, value in headers if key not in excluded]
