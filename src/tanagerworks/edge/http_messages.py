"""Plain HTTP values that the ports, the pipeline and the adapters share."""

from dataclasses import dataclass

# Header names in lower case, in the order in which they came.
HeaderList = list[tuple[bytes, bytes]]

# Headers that concern one connection only (RFC 9110, section 7.6.1), and the framing.
_CONNECTION_HEADERS = frozenset(
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
    """Method, target and headers of a request as they came."""

    method: bytes
    target: bytes
    headers: HeaderList
    # Whether the caller announced a body by a length or by chunks.
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
    """Returns the headers without those that concern one connection or its framing."""
    excluded = set(_CONNECTION_HEADERS)
    for key, value in headers:
        if key != b"connection":
            continue
        excluded.update(token.strip().lower() for token in value.split(b","))
    return [(key, value) for key, value in headers if key not in excluded]
