"""Values of the published store: the configuration, backend servers and zones out of service.

All values are immutable. Times are seconds (float); sizes are bytes unless the name says tokens.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class ExecutionSemantics(Enum):
    """How often one request of a route may be executed."""

    # Any number of executions has the effect of one.
    IDEMPOTENT = "idempotent"
    # At most one execution per attempt of the caller.
    AT_MOST_ONCE = "once"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One target of a route; its share is the weight divided by the sum of the weights."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One entry point for callers, matched by host and path prefix, with its requirements."""

    name: str
    host: str
    prefix: str
    execution: ExecutionSemantics
    # The response is a stream of events.
    streams: bool
    # A broken stream may continue after its last event at another backend server.
    resumable: bool
    # Callers need no API key.
    anonymous: bool
    # 0 is the most urgent.
    priority: int
    # How often one request may be sent to a server.
    max_attempts: int
    # Longest time that a request may take.
    timeout_s: float
    # Latency objective: time to the complete response, or to the first event of a stream.
    objective_s: float
    # Objective for the longest pause between events of a stream.
    gap_objective_s: float
    targets: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of backend servers that do the same work."""

    name: str
    # Connections that one server accepts from the whole fleet; 0 means no limit.
    max_connections: int
    # Requests per second that one cold server accepts; 0 means no limit.
    cold_requests_per_s: float
    # The servers run models: they batch requests, cache prompt parts and support priorities.
    runs_models: bool


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer; a `priority` other than None overrides that of the route."""

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the duration of what a caller sends.

    `header_timeout_s` is the time from the first byte of a request to the end of its headers.
    `idle_timeout_s` is the time between two pieces of its body, and between two requests of a
    connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration; zones out of service are separate values."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    # By API key; None if callers need no key.
    customers: Mapping[str, Customer] | None
    limits: CallerLimits
    # As returned by `index_routes`.
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of `host` with the longest prefix that `path` begins with, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    """Returns the routes by host, those with the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in by_host.items()
    }


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server as it registered itself."""

    server_id: str
    service: str
    host: str
    port: int
    zone: str
    # Requests that the server processes at the same time.
    slots: int
    # The server is shutting down and gets no new requests.
    leaving: bool
    # Remaining time of the cold start when the entry was written.
    cold_s: float
    # Start of the process in Unix milliseconds; None if the entry does not state it.
    started_ms: int | None
    # Number of the write, counted by the process.
    sequence: int = 0
    # Version of the server's software. Versions have no order, and a stream that one began cannot
    # go on at another.
    version: str = ""


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """An availability zone that operators have taken out of service."""

    zone: str


@dataclass(frozen=True, slots=True)
class UnusableValue:
    """A published value that is invalid, with the reason."""

    reason: str


PublishedValue = Configuration | ServerEntry | ZoneOut | UnusableValue
