"""Validation of request paths, and the headers relayed between callers and plain services."""

import re
from http.client import HTTPMessage
from urllib.parse import unquote

from tanagerworks.errors import BadPathError
from tanagerworks.note.model import Service
from tanagerworks.wsgi import Environ

IDEMPOTENCY_KEY = "Idempotency-Key"
INSTANCE_HEADER = "X-Tanager-Instance"

# RFC 9110, section 7.6.1, and headers that in practice apply to one connection only.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Set by the router itself or meant for it alone; the caller's key must not reach a backend server.
_ROUTER_REQUEST_HEADERS = frozenset(
    {
        "host",
        "content-length",
        "expect",
        "authorization",
        "x-request-id",
        "idempotency-key",
        INSTANCE_HEADER.lower(),
    }
)
_ROUTER_RESPONSE_HEADERS = frozenset(
    {"content-length", "date", "server", "x-request-id", "x-outcome", "idempotent-replayed"}
)
_TARGET = re.compile(r"/[!$&'()*+,\-./0-9:;=@A-Z_a-z~%]*\Z")
_QUERY = re.compile(r"[!$&'()*+,\-./0-9:;=?@A-Z_a-z~%\[\]|{}^`]*\Z")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*\Z")
# Idempotent methods (RFC 9110, section 9.2.2).
_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
# A backend server may decode a path more often than the router.
_DECODE_ROUNDS = 3


def split_target(target: str) -> tuple[str, str]:
    """Returns the decoded path and the raw query of a request target.

    Raises:
        BadPathError: the target is not an absolute path, or decoding changes its segments.
    """
    raw_path, _, query = target.partition("?")
    if not _TARGET.match(raw_path) or not _QUERY.match(query) or _BAD_ESCAPE.search(target):
        raise BadPathError("the path has characters that are not allowed")
    path = raw_path
    segments = raw_path.count("/")
    for _ in range(_DECODE_ROUNDS):
        parts = path.split("/")
        # Some servers remove the parameters of a segment, which follow a semicolon, first.
        names = [part.partition(";")[0] for part in parts[1:]]
        if any(name in (".", "..") for name in names) or "//" in path or "\\" in path:
            raise BadPathError("the path must not have empty or dot segments")
        if path.count("/") != segments or not path.isprintable():
            raise BadPathError("the path must not have encoded slashes or control characters")
        try:
            path = unquote(path, errors="strict")
        except UnicodeDecodeError as error:
            raise BadPathError("the path is not valid UTF-8") from error
    return unquote(raw_path), query


def is_repeatable(service: Service, method: str, path: str) -> bool:
    """Returns whether a call may be sent twice: the route with the longest path prefix decides.

    A prefix ends at a segment boundary. Without a matching route, idempotent methods are
    repeatable.
    """
    best = -1
    repeatable = method in _REPEATABLE_METHODS
    for route in service.routes:
        prefix = route.path_prefix
        if route.method != method or len(prefix) <= best:
            continue
        if path == prefix or path.startswith(prefix if prefix.endswith("/") else f"{prefix}/"):
            best, repeatable = len(prefix), route.repeatable
    return repeatable


def relayed_request_headers(environ: Environ) -> dict[str, str]:
    """Returns the caller's headers that are relayed to a backend server."""
    dropped = _HOP_BY_HOP | _ROUTER_REQUEST_HEADERS | _connection_options(environ)
    headers = {}
    for key, value in environ.items():
        if key == "CONTENT_TYPE":
            name = "Content-Type"
        elif key.startswith("HTTP_"):
            name = key.removeprefix("HTTP_").replace("_", "-").title()
        else:
            continue
        if name.lower() not in dropped and _HEADER_VALUE.match(value):
            headers[name] = value
    return headers


def _connection_options(environ: Environ) -> frozenset[str]:
    value = environ.get("HTTP_CONNECTION", "")
    return frozenset(option.strip().lower() for option in value.split(","))


def relayed_response_headers(headers: HTTPMessage) -> list[tuple[str, str]]:
    """Returns the headers of a response that are relayed to the caller."""
    options = ",".join(headers.get_all("Connection", []))
    dropped = _HOP_BY_HOP | _ROUTER_RESPONSE_HEADERS
    dropped |= {option.strip().lower() for option in options.split(",")}
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped and _HEADER_VALUE.match(value)
    ]
