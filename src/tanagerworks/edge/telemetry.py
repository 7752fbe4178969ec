"""OpenTelemetry metrics of the edge process."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from tanagerworks.dispatch.shutdown import RequestFate
from tanagerworks.edge.request_state import RequestKind, RetryDenial

if TYPE_CHECKING:
    # Importing the library takes a tenth of the start-up time and 3 MB, so it happens only when
    # somebody reads the metrics or many measurements are stored.
    from opentelemetry.metrics import Meter

# Bucket bounds of the histograms; the latency objectives of the routes are among them.
_DURATION_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 8.0, 15.0)
# Measurements that are stored before the library is imported for them.
MAX_PENDING = 2_000


class EdgeMetrics:
    """Counters and histograms of one process; names follow the OpenTelemetry conventions.

    Measurements made before `bind_meter` are stored and recorded by it.
    """

    def __init__(self) -> None:
        self.meter: Meter | None = None
        self.pending: list[Callable[[], None]] = []
        # Called once `MAX_PENDING` measurements are stored; has to call `bind_meter`.
        self.on_pending_full: Callable[[], None] = lambda: None

    def bind_meter(self, meter: Meter) -> None:
        """Creates the instruments and records the stored measurements."""
        self.requests = meter.create_counter(
            "tanager.requests", unit="{request}", description="Requests that ended, by outcome."
        )
        self.retries = meter.create_counter(
            "tanager.repeats", unit="{request}", description="Requests sent once more."
        )
        self.attempt_failures = meter.create_counter(
            "tanager.attempt.failures",
            unit="{attempt}",
            description="Sends to a server that failed, by error and why they were the last.",
        )
        self.server_crashes = meter.create_counter(
            "tanager.server.crashes",
            unit="{server}",
            description="Servers found to have ended while they ran requests of this node.",
        )
        self.hedges = meter.create_counter(
            "tanager.hedges",
            unit="{request}",
            description="Second servers asked beside a late first one, by result and reason.",
        )
        self.fleet_ejections = meter.create_counter(
            "tanager.server.fleet_ejections",
            unit="{server}",
            description="Servers ejected by the evidence of the fleet.",
        )
        self.store_calls = meter.create_counter(
            "tanager.store.calls", unit="{call}", description="Calls to the published store."
        )
        self.last_resort_requests = meter.create_counter(
            "tanager.last_resort.requests",
            unit="{request}",
            description="Requests placed at servers that are leaving or in zones out of service.",
        )
        self.forwarded_requests = meter.create_counter(
            "tanager.forwarded.requests",
            unit="{request}",
            description="Requests forwarded to other nodes, by service and result.",
        )
        self.shutdown_requests = meter.create_counter(
            "tanager.shutdown.requests",
            unit="{request}",
            description="Requests that ended while the node was shutting down, by what became.",
        )
        self.duration = meter.create_histogram(
            "http.server.request.duration",
            unit="s",
            description="Time from a request's arrival to the end of its answer.",
            explicit_bucket_boundaries_advisory=_DURATION_BOUNDS_S,
        )
        self.first_byte = meter.create_histogram(
            "tanager.request.first_byte",
            unit="s",
            description="Time from a request's arrival to the head of its answer.",
            explicit_bucket_boundaries_advisory=_DURATION_BOUNDS_S,
        )
        self.meter = meter
        for measurement in self.pending:
            measurement()
        self.pending.clear()

    def add_gauge(
        self, name: str, unit: str, description: str, read: Callable[[], dict[str, float]]
    ) -> None:
        """Adds a gauge; `read` returns its values by label whenever metrics are collected.

        Must not be called before `bind_meter`.
        """
        from opentelemetry.metrics import CallbackOptions, Observation

        def callback(_options: CallbackOptions) -> list[Observation]:
            return [Observation(value, {"of": label}) for label, value in read().items()]

        assert self.meter is not None
        self.meter.create_observable_gauge(
            name, callbacks=[callback], unit=unit, description=description
        )

    def _record_or_defer(self, measurement: Callable[[], None]) -> None:
        if self.meter is not None:
            measurement()
            return
        self.pending.append(measurement)
        if len(self.pending) >= MAX_PENDING:
            self.on_pending_full()

    def record_request_end(
        self,
        route: str,
        kind: RequestKind | None,
        result: str,
        duration_s: float,
        first_byte_s: float | None,
    ) -> None:
        """Counts a request that has ended and records its durations.

        `kind` is None for a request without a route. `result` is "answered", "server_error" or
        the code of an error. `first_byte_s` is the time from the arrival to the head of the
        response; None if the caller got no server's response.
        """
        name = kind.value if kind is not None else ""
        self._record_or_defer(
            lambda: self._add_request_end(route, name, result, duration_s, first_byte_s)
        )

    def _add_request_end(
        self,
        route: str,
        kind: str,
        result: str,
        duration_s: float,
        first_byte_s: float | None,
    ) -> None:
        attributes = {"route": route, "kind": kind, "outcome": result}
        self.requests.add(1, attributes)
        self.duration.record(duration_s, attributes)
        if first_byte_s is not None:
            self.first_byte.record(first_byte_s, {"route": route, "kind": kind})

    def record_attempt_failure(self, service: str, error: str, denial: RetryDenial | None) -> None:
        """Counts a failed attempt at a server; `denial` is None if the request is retried."""
        name = denial.name.lower() if denial is not None else "sent_again"
        attributes = {"service": service, "error": error, "reason": name}
        self._record_or_defer(lambda: self.attempt_failures.add(1, attributes))

    def record_retry(self, service: str) -> None:
        """Counts a retry of a request."""
        self._record_or_defer(lambda: self.retries.add(1, {"service": service}))

    def record_hedge(self, service: str, result: str, reason: str = "") -> None:
        """Counts a hedge; `result` is "sent", "won", "withdrawn" or "refused" with its reason."""
        attributes = {"service": service, "result": result, "reason": reason}
        self._record_or_defer(lambda: self.hedges.add(1, attributes))

    def record_server_crash(self, service: str) -> None:
        """Counts a server that ended while it ran requests of this node."""
        self._record_or_defer(lambda: self.server_crashes.add(1, {"service": service}))

    def record_last_resort(self, service: str) -> None:
        """Counts a request that was placed at a server out of service."""
        self._record_or_defer(lambda: self.last_resort_requests.add(1, {"service": service}))

    def record_forwarded(self, service: str, result: str) -> None:
        """Counts a request sent to another node; `result` is "answered" or the code of an error."""
        attributes = {"service": service, "result": result}
        self._record_or_defer(lambda: self.forwarded_requests.add(1, attributes))

    def record_shutdown_fate(self, fate: RequestFate) -> None:
        """Counts a request that ended while the node was shutting down."""
        attributes = {"fate": fate.value}
        self._record_or_defer(lambda: self.shutdown_requests.add(1, attributes))

    def record_fleet_ejection(self, service: str) -> None:
        """Counts a server that the evidence of the fleet ejects."""
        self._record_or_defer(lambda: self.fleet_ejections.add(1, {"service": service}))

    def record_store_call(self, call: str) -> None:
        """Counts a call to the published store; `call` is "list" or "changes"."""
        self._record_or_defer(lambda: self.store_calls.add(1, {"call": call}))
