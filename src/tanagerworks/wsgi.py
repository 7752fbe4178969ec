"""Helpers shared by the WSGI servers of the project, which run on cheroot."""

import json
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from cheroot.errors import MaxSizeExceeded
from cheroot.wsgi import Server

from tanagerworks.errors import (
    PayloadTooLargeError,
    RequestError,
    RequestTimeoutError,
    TanagerError,
)

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

JSON_CONTENT_TYPE = "application/json"


@dataclass
class Response:
    """An HTTP response; `body` yields the bytes to send."""

    status: int = 200
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: Iterable[bytes] = ()

    @property
    def status_line(self) -> str:
        """Status code and reason phrase, as WSGI expects them."""
        try:
            phrase = HTTPStatus(self.status).phrase
        except ValueError:
            phrase = "Status"
        return f"{self.status} {phrase}"


def json_response(
    document: object, status: int = 200, headers: Iterable[tuple[str, str]] = ()
) -> Response:
    """Returns a response with `document` as JSON."""
    payload = json.dumps(document).encode()
    return Response(
        status,
        [
            ("Content-Type", JSON_CONTENT_TYPE),
            ("Content-Length", str(len(payload))),
            *headers,
        ],
        [payload],
    )


def error_document(error: TanagerError) -> dict[str, object]:
    """Returns the JSON document of an error, with its code and outcome."""
    return {
        "error": {
            "message": error.message,
            "type": type(error).__name__,
            "code": error.code,
            "param": None,
            "outcome": error.outcome.value,
        }
    }


def error_response(error: TanagerError, request_id: str) -> Response:
    """Returns the response for a failed request.

    ``Retry-After`` is rounded to whole seconds and is at least 1.
    """
    headers = [("X-Request-Id", request_id), ("X-Outcome", error.outcome.value)]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    return json_response(error_document(error), error.status, headers)


def read_body(environ: Environ) -> bytes:
    """Returns the complete request body; the server limits its size.

    Raises:
        RequestError: the body is too long, malformed, incomplete or too slow.
    """
    source = environ["wsgi.input"]
    try:
        body = source.read() or b""
    except MaxSizeExceeded as error:
        raise PayloadTooLargeError("the body is over the size limit") from error
    except TimeoutError as error:
        raise RequestTimeoutError("the body did not arrive in time") from error
    except ConnectionError as error:
        raise RequestError("the connection ended within the body") from error
    except OSError as error:
        # cheroot raises a plain OSError for a chunk that exceeds the size limit.
        raise PayloadTooLargeError("the body is over the size limit") from error
    except ValueError as error:
        raise RequestError("the chunked body is malformed") from error
    if getattr(source, "remaining", 0):
        raise RequestError("the connection ended within the body")
    return body


def parse_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def create_server(
    address: str,
    app: WsgiApp,
    *,
    threads: int,
    max_header_bytes: int = 32_768,
    max_body_bytes: int = 8_000_000,
    idle_timeout_s: float = 30.0,
    shutdown_timeout_s: float = 5.0,
    reuse_port: bool = False,
    server_class: type[Server] = Server,
) -> Server:
    """Returns a cheroot server for `app`; call ``start`` to serve and ``stop`` to shut down.

    At most `threads` requests are served at the same time. Timeouts are rounded up to whole
    seconds.
    """
    server = server_class(
        parse_address(address),
        app,
        numthreads=threads,
        max=threads,
        request_queue_size=1024,
        timeout=math.ceil(idle_timeout_s),
        shutdown_timeout=math.ceil(shutdown_timeout_s),
        reuse_port=reuse_port,
    )
    server.max_request_header_size = max_header_bytes
    server.max_request_body_size = max_body_bytes
    return server
