"""The configuration and the backend servers as every node of the fleet sees them.

All values are immutable. Times are seconds (float), sizes are bytes unless a name says tokens.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class ExecutionSemantics(Enum):
    """What a route says about running one request more than once."""

    # Any number of runs has the effect of one.
    IDEMPOTENT = "idempotent"
    # At most one run for each attempt of the caller.
    AT_MOST_ONCE = "once"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One target of a route; weights are relative to their sum."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One entry point for callers and what its operator asks of it."""

    name: str
    host: str
    prefix: str
    execution: ExecutionSemantics
    streams: bool
    # The stream may go on at another backend server after its last event.
    resumable: bool
    anonymous: bool
    # 0 is the most urgent.
    priority: int
    max_attempts: int
    # Longest time that a caller is kept waiting.
    timeout_s: float
    # Time to the whole answer, or to the first event of a stream, that earns full credit.
    objective_s: float
    # Longest pause between events of a stream that is still on time.
    gap_objective_s: float
    targets: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of backend servers that do the same work."""

    name: str
    max_connections: int
    # Requests a second that one cold server bears; 0 is no limit.
    cold_requests_per_s: float
    # Model servers, which batch requests, keep parts of prompts and know priorities.
    runs_models: bool


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer; `priority` takes precedence over that of the route when it is not None."""

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all that operators decide, except zones taken out."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    # By API key. None when callers need no key.
    customers: Mapping[str, Customer] | None
    limits: CallerLimits
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of `host` with the longest prefix of `path`, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(routes: tuple[Route, ...]) -> dict[str, tuple[Route, ...]]:
    """Returns the routes of each host, those with the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in by_host.items()
    }


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """What a backend server says of itself."""

    server_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool
    # How much longer the server is cold, counted from when the entry was written.
    cold_s: float
    # Start of the process, Unix milliseconds; None when the entry does not say.
    started_ms: int | None


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """An availability zone that operators have taken out of service."""

    zone: str


@dataclass(frozen=True, slots=True)
class Unusable:
    """A published value that names nothing to use, with the reason."""

    reason: str


PublishedValue = Configuration | ServerEntry | ZoneOut | Unusable
