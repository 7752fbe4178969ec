"""Stand-in for the platform: configuration service and VM list."""

import hashlib
import threading
import time
from urllib.parse import parse_qs

from tanagerworks.settings.loader import SettingsModel
from tanagerworks.standin.server import serve_routes
from tanagerworks.wsgi import Environ, Response, json_response, read_body


class PlatformSettings(SettingsModel):
    """Settings of the platform stand-in."""

    address: str
    threads: int = 64
    max_watch_s: float = 30.0


class PlatformState:
    """Values with revisions, and the list of VMs."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.vms: dict[str, str] = {}
        self.changed = threading.Condition()
        self.stopping = False

    def publish(self, key: str, value: bytes) -> str:
        """Stores a value and wakes its watchers; returns the revision."""
        with self.changed:
            self.values[key] = value
            self.changed.notify_all()
        return revision_of(value)

    def stop(self) -> None:
        """Ends all waits for a change."""
        with self.changed:
            self.stopping = True
            self.changed.notify_all()

    def read(self, key: str, after: str | None, wait_s: float) -> bytes | None:
        """Returns the value once its revision differs from `after`, or None after `wait_s`."""
        end = time.monotonic() + wait_s
        with self.changed:
            while True:
                value = self.values.get(key)
                if value is not None and revision_of(value) != after:
                    return value
                remaining = end - time.monotonic()
                if remaining <= 0 or self.stopping:
                    return None
                self.changed.wait(remaining)


def revision_of(value: bytes) -> str:
    """Returns the revision of a value."""
    return hashlib.sha256(value).hexdigest()[:16]


class PlatformStandin:
    """Routes of the platform stand-in."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.state = PlatformState()

    def handle(self, environ: Environ) -> Response:
        """Answers one request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path.startswith("/v1/values/") and method == "GET":
            return self._read(environ, path.removeprefix("/v1/values/"))
        if path.startswith("/control/values/") and method == "PUT":
            key = path.removeprefix("/control/values/")
            return json_response({"revision": self.state.publish(key, read_body(environ))})
        if path == "/v1/vms" and method == "GET":
            return json_response({"vms": self.state.vms})
        return json_response({"error": {"code": "not_found"}}, 404)

    def _read(self, environ: Environ, key: str) -> Response:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        after = query.get("after", [None])[0]
        wait_s = min(float(query.get("wait_s", ["0"])[0]), self.settings.max_watch_s)
        value = self.state.read(key, after, wait_s)
        if value is None:
            return Response(304 if after else 404, [("Content-Length", "0")])
        headers = [("ETag", revision_of(value)), ("Content-Length", str(len(value)))]
        return Response(200, headers, [value])


def serve_platform(settings: PlatformSettings) -> int:
    """Serves until a signal; returns the exit status."""
    standin = PlatformStandin(settings)
    return serve_routes(
        settings.address, standin.handle, threads=settings.threads, on_stop=standin.state.stop
    )
