"""Metrics of the edge process, by OpenTelemetry."""

from opentelemetry.metrics import Meter

# Bounds of the histograms in seconds; they show the objectives of today's routes.
_DURATION_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 8.0, 15.0)


class EdgeMetrics:
    """Counters and histograms of one process; names follow the OpenTelemetry conventions."""

    def __init__(self, meter: Meter) -> None:
        self.requests = meter.create_counter(
            "tanager.requests", unit="{request}", description="Requests that ended, by outcome."
        )
        self.repeats = meter.create_counter(
            "tanager.repeats", unit="{request}", description="Requests sent once more."
        )
        self.store_calls = meter.create_counter(
            "tanager.store.calls", unit="{call}", description="Calls to the published store."
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

    def record(
        self, route: str, outcome: str, duration_s: float, first_byte_s: float | None
    ) -> None:
        """Counts a request that has ended."""
        attributes = {"route": route, "outcome": outcome}
        self.requests.add(1, attributes)
        self.duration.record(duration_s, attributes)
        if first_byte_s is not None:
            self.first_byte.record(first_byte_s, {"route": route})
