"""Serves a stand-in's routes until SIGTERM or SIGINT."""

import signal
from collections.abc import Callable, Iterable
from types import FrameType

from tanagerworks.program import EXIT_OK
from tanagerworks.wsgi import Environ, Response, StartResponse, create_server, json_response

Handler = Callable[[Environ], Response]


def serve_routes(
    address: str, handle: Handler, *, threads: int, on_stop: Callable[[], None] | None = None
) -> int:
    """Serves `handle` at `address` and returns the exit status after a signal.

    `on_stop` ends the waits of handlers, because the server joins their threads.
    """

    def app(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        try:
            response = handle(environ)
        except (KeyError, ValueError) as error:
            response = json_response({"error": {"code": "bad_request", "message": str(error)}}, 400)
        start_response(response.status_line, response.headers)
        return response.body

    server = create_server(address, app, threads=threads, shutdown_timeout_s=1.0)

    def stop(_signal: int, _frame: FrameType | None) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        server.start()
    except KeyboardInterrupt:
        pass
    finally:
        if on_stop is not None:
            on_stop()
        server.stop()
    return EXIT_OK
