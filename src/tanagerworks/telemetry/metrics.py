"""OpenTelemetry metrics, exposed in the Prometheus text format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

METRICS_CONTENT_TYPE = CONTENT_TYPE_LATEST


def create_meter(program: str) -> Meter:
    """Returns the meter of this process, with `program` as its service name.

    Call it once per process, as it registers a reader with the global Prometheus registry.
    """
    provider = MeterProvider(
        metric_readers=[PrometheusMetricReader()],
        resource=Resource.create({"service.name": program}),
    )
    return provider.get_meter(program)


def render_metrics() -> bytes:
    """Returns all metrics of the process in the Prometheus text format."""
    return generate_latest(REGISTRY)
