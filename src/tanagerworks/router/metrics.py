"""Metrics of a router process; none of them is updated per token."""

from collections.abc import Callable, Iterable

from opentelemetry.metrics import CallbackOptions, Meter, Observation


class RouterMetrics:
    """Instruments of the router."""

    def __init__(self, meter: Meter) -> None:
        self.meter = meter
        self.requests = meter.create_counter(
            "tanager_router_requests", description="Answers to callers by kind, code and outcome."
        )
        self.retries = meter.create_counter(
            "tanager_router_retries", description="Requests that were sent again."
        )
        self.retries_refused = meter.create_counter(
            "tanager_router_retries_refused", description="Retries that the budget did not allow."
        )
        self.resumed = meter.create_counter(
            "tanager_router_streams_resumed", description="Broken streams that were resumed."
        )
        self.cancelled = meter.create_counter(
            "tanager_router_requests_cancelled", description="Requests cancelled at an engine."
        )
        self.interrupted = meter.create_counter(
            "tanager_router_requests_interrupted",
            description="Requests that the end of a shutdown interrupted.",
        )
        self.first_token = meter.create_histogram(
            "tanager_router_first_token_seconds",
            unit="s",
            description="Time from sending to the first event of the engine.",
        )

    def add_gauge(self, name: str, description: str, read_value: Callable[[], float]) -> None:
        """Adds a gauge whose value is read when the metrics are collected."""

        def callback(_options: CallbackOptions) -> Iterable[Observation]:
            yield Observation(read_value())

        self.meter.create_observable_gauge(name, callbacks=[callback], description=description)
