"""Stand-in for the platform: configuration service, VM list and store of model weights."""

import asyncio
import hashlib
import time
from collections import deque
from enum import Enum

from pydantic import Field
from xxhash import xxh3_64_intdigest

from tanagerworks.settings.loader import SettingsModel
from tanagerworks.standin.server import Request, ResponseWriter, serve_standin, wait_forever
from tanagerworks.wsgi import Response, json_response

_MAX_VALUE_BYTES = 1_000_000
_READER_HEADER = "x-reader"
_WEIGHT_CHUNK_BYTES = 65_536


class PlatformSettings(SettingsModel):
    """Settings of the platform stand-in."""

    address: str
    max_watch_s: float = 30.0
    # Limit for all readers together; a watch counts as one call, however long it waits.
    calls_per_s: float = 2000.0
    # A reader sees a change of the VM list after between 0.5 and 1 times this delay.
    vm_lag_s: float = 1.0
    # Size of every download in bytes.
    weight_bytes: int = 4_000_000
    weight_bytes_per_s: float = 20_000_000.0
    # Maximum concurrent downloads, which share `weight_bytes_per_s`.
    weight_downloads: int = 4


class ReaderMode(Enum):
    """How the platform responds to a reader.

    ``OK``: normally. ``DOWN``: by closing the connection. ``SLOW``: late. ``STALE``: with the
    values and the VM list at the time the rule was set.
    """

    OK = "ok"
    DOWN = "down"
    SLOW = "slow"
    STALE = "stale"


class ReaderRule(SettingsModel):
    """Mode of the readers selected by name or client port, or of all readers if neither is set."""

    mode: ReaderMode
    readers: tuple[str, ...] = ()
    # First and last port, both included.
    ports: tuple[int, int] | None = None
    delay_s: float = Field(default=1.0, ge=0)

    def matches_reader(self, reader: str, port: int) -> bool:
        """Returns whether the rule applies to a reader with this name and client port."""
        if not self.readers and self.ports is None:
            return True
        in_range = self.ports is not None and self.ports[0] <= port <= self.ports[1]
        return reader in self.readers or in_range


class TokenBucket:
    """Rate limit shared by all readers.

    A token permits one call; the bucket holds at most the calls of one second.
    """

    def __init__(self, calls_per_s: float, now_s: float) -> None:
        self.calls_per_s = calls_per_s
        self.tokens = calls_per_s
        self.refilled_at_s = now_s

    def take_token(self, now_s: float) -> bool:
        """Removes one token; returns False if the bucket has none."""
        added_tokens = (now_s - self.refilled_at_s) * self.calls_per_s
        self.tokens = min(self.calls_per_s, self.tokens + added_tokens)
        self.refilled_at_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Snapshot:
    """Values and VM list at one time."""

    def __init__(self, values: dict[str, bytes], vms: dict[str, str]) -> None:
        self.values = values
        self.vms = vms


def compute_revision(value: bytes) -> str:
    """Returns the revision of a value, a prefix of its SHA-256 digest."""
    return hashlib.sha256(value).hexdigest()[:16]


class PlatformStandin:
    """Request handler and state of the platform stand-in."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.values: dict[str, bytes] = {}
        self.vm_history: deque[tuple[float, dict[str, str]]] = deque([(0.0, {})], maxlen=1000)
        self.changed = asyncio.Event()
        self.call_budget = TokenBucket(settings.calls_per_s, time.monotonic())
        # The newest matching rule applies. The snapshot, taken when the rule was set, is what
        # stale readers get.
        self.rules: list[tuple[ReaderRule, Snapshot]] = []
        self.calls = 0
        self.calls_over_rate = 0
        self.calls_by_reader: dict[str, int] = {}
        self.active_downloads = 0

    async def run_background(self) -> None:
        """Waits until it is cancelled; this stand-in has no background work."""
        await wait_forever()

    async def handle_request(self, request: Request, writer: ResponseWriter) -> Response | None:
        """Handles one request; see `RequestHandler.handle_request`."""
        if request.path.startswith("/control/"):
            return self._handle_control(request)
        if request.method != "GET":
            return json_response({"error": {"code": "not_found"}}, 404)
        reader = request.headers.get(_READER_HEADER, "")
        self.calls += 1
        self.calls_by_reader[reader] = self.calls_by_reader.get(reader, 0) + 1
        if not self.call_budget.take_token(time.monotonic()):
            self.calls_over_rate += 1
            return json_response({"error": {"code": "rate_limit"}}, 429, [("Retry-After", "1")])
        rule, _snapshot = self._find_rule(reader, request.client_port)
        if rule.mode is ReaderMode.SLOW:
            await asyncio.sleep(rule.delay_s)
        if rule.mode is ReaderMode.DOWN:
            writer.abort()
            return None
        if request.path.startswith("/v1/values/"):
            return await self._read_value(request, writer, reader)
        if request.path == "/v1/vms":
            return json_response({"vms": self._visible_vms(reader, request.client_port)})
        if request.path.startswith("/v1/weights/"):
            return await self._send_weights(writer)
        return json_response({"error": {"code": "not_found"}}, 404)

    def _find_rule(self, reader: str, port: int) -> tuple[ReaderRule, Snapshot]:
        for rule, snapshot in reversed(self.rules):
            if rule.matches_reader(reader, port):
                return rule, snapshot
        return ReaderRule(mode=ReaderMode.OK), Snapshot(self.values, self.vm_history[-1][1])

    async def _read_value(
        self, request: Request, writer: ResponseWriter, reader: str
    ) -> Response | None:
        key = request.path.removeprefix("/v1/values/")
        after = request.query.get("after")
        wait_s = min(float(request.query.get("wait_s", "0")), self.settings.max_watch_s)
        deadline_s = time.monotonic() + wait_s
        while True:
            changed = self.changed
            rule, snapshot = self._find_rule(reader, request.client_port)
            if rule.mode is ReaderMode.DOWN:
                writer.abort()
                return None
            values = snapshot.values if rule.mode is ReaderMode.STALE else self.values
            value = values.get(key)
            if value is not None and compute_revision(value) != after:
                headers = [("ETag", compute_revision(value)), ("Content-Length", str(len(value)))]
                return Response(200, headers, [value])
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                status = 404 if value is None else 304
                return Response(status, [("Content-Length", "0")])
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _visible_vms(self, reader: str, port: int) -> dict[str, str]:
        rule, snapshot = self._find_rule(reader, port)
        if rule.mode is ReaderMode.STALE:
            return snapshot.vms
        # The lag differs between readers, so that they disagree for a while after a change.
        share = 0.5 + 0.5 * (xxh3_64_intdigest((reader or str(port)).encode()) % 1000) / 1000
        visible_s = time.monotonic() - self.settings.vm_lag_s * share
        visible_vms: dict[str, str] = {}
        for at_s, vms in self.vm_history:
            if at_s <= visible_s:
                visible_vms = vms
        return visible_vms

    async def _send_weights(self, writer: ResponseWriter) -> Response | None:
        if self.active_downloads >= self.settings.weight_downloads:
            return json_response({"error": {"code": "rate_limit"}}, 429, [("Retry-After", "1")])
        self.active_downloads += 1
        try:
            remaining_bytes = self.settings.weight_bytes
            writer.start_response(200, [("Content-Length", str(remaining_bytes))])
            while remaining_bytes > 0:
                chunk = bytes(min(remaining_bytes, _WEIGHT_CHUNK_BYTES))
                writer.write_body(chunk)
                remaining_bytes -= len(chunk)
                await asyncio.sleep(
                    len(chunk) * self.active_downloads / self.settings.weight_bytes_per_s
                )
                while writer.paused:
                    await asyncio.sleep(0.01)
            writer.end_response()
        finally:
            self.active_downloads -= 1
        return None

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _handle_control(self, request: Request) -> Response:
        method, path = request.method, request.path
        if method == "PUT" and path.startswith("/control/values/"):
            if len(request.body) > _MAX_VALUE_BYTES:
                return json_response({"error": {"code": "value_too_large"}}, 413)
            key = path.removeprefix("/control/values/")
            # Replaces the mapping, as snapshots share the old one.
            self.values = {**self.values, key: request.body}
            self._wake_watches()
            return json_response({"revision": compute_revision(request.body)})
        if (method, path) == ("POST", "/control/vms"):
            vms = {**self.vm_history[-1][1], **request.json()}
            # A state other than these removes the VM from the list.
            listed_vms = {
                name: state for name, state in vms.items() if state in ("live", "leaving")
            }
            self.vm_history.append((time.monotonic(), listed_vms))
            return json_response({"vms": listed_vms})
        if (method, path) == ("POST", "/control/readers"):
            rule = ReaderRule.model_validate(request.json())
            snapshot = Snapshot(self.values, self.vm_history[-1][1])
            self.rules = [item for item in self.rules if not _replaces(rule, item[0])]
            self.rules.append((rule, snapshot))
            self._wake_watches()
            return json_response(rule.model_dump(mode="json"))
        if (method, path) == ("DELETE", "/control/readers"):
            self.rules = []
            self._wake_watches()
            return json_response({})
        if (method, path) == ("GET", "/control/counters"):
            return json_response(
                {
                    "calls": self.calls,
                    "calls_over_rate": self.calls_over_rate,
                    "calls_by_reader": self.calls_by_reader,
                }
            )
        return json_response({"error": {"code": "not_found"}}, 404)


def _replaces(new: ReaderRule, old: ReaderRule) -> bool:
    matches_all = not new.readers and new.ports is None
    return matches_all or (new.readers, new.ports) == (old.readers, old.ports)


def serve_platform(settings: PlatformSettings) -> int:
    """Serves until a signal arrives; returns the exit status."""
    return serve_standin(settings.address, lambda: PlatformStandin(settings))
