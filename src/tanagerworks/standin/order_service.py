"""Stand-in for an order service: bookings and debits, counted by request."""

import threading
from collections import Counter

from tanagerworks.settings.loader import SettingsModel
from tanagerworks.standin.server import serve_routes
from tanagerworks.wsgi import Environ, Response, json_response, read_body


class OrderServiceSettings(SettingsModel):
    """Settings of the order service stand-in."""

    address: str
    server_id: str
    threads: int = 32


class OrderServiceStandin:
    """Routes of the order service stand-in."""

    def __init__(self, settings: OrderServiceSettings) -> None:
        self.settings = settings
        self.lock = threading.Lock()
        # Executions by the caller's own number of the booking or debit.
        self.executions: Counter[str] = Counter()

    def handle(self, environ: Environ) -> Response:
        """Answers one request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/control/executions":
            with self.lock:
                return json_response({"executions": dict(self.executions)})
        if method == "POST" and path in ("/bookings", "/debits"):
            read_body(environ)
            number = str(environ.get("HTTP_X_ORDER_NUMBER") or environ.get("HTTP_X_REQUEST_ID"))
            with self.lock:
                self.executions[number] += 1
            return json_response({"order": number, "server": self.settings.server_id}, 201)
        if method == "GET" and path.startswith(("/stock/", "/orders/")):
            return json_response({"item": path.rpartition("/")[2], "quantity": 7})
        return json_response({"error": {"code": "not_found"}}, 404)


def serve_order_service(settings: OrderServiceSettings) -> int:
    """Serves until a signal; returns the exit status."""
    return serve_routes(
        settings.address, OrderServiceStandin(settings).handle, threads=settings.threads
    )
