"""Small pieces that all HTTP servers of the project share, on top of cheroot."""

import json
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from cheroot.wsgi import Server

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

JSON_CONTENT_TYPE = "application/json"


@dataclass
class Response:
    """An HTTP response; `body` is sent piece by piece."""

    status: int = 200
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: Iterable[bytes] = ()

    @property
    def status_line(self) -> str:
        """Status code and reason phrase."""
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


def read_body(environ: Environ) -> bytes:
    """Returns the whole request body; the server bounds its size."""
    return environ["wsgi.input"].read() or b""


def parse_address(address: str) -> tuple[str, int]:
    """Splits ``IP:PORT``."""
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
) -> Server:
    """Returns a cheroot server for `app`; call ``start`` to serve and ``stop`` to end."""
    server = Server(
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
