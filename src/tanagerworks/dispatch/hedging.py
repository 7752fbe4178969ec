"""Decides whether a second server is asked for a late answer (a hedged request), and which one.

Hedged requests are described in Dean and Barroso, "The Tail at Scale" (2013). A request may be
hedged if it is idempotent and no stream. It is late after a high quantile of the recent times of
its route, so few requests are hedged, and their number is limited besides.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from tanagerworks.dispatch.choice import Choice
from tanagerworks.dispatch.dispatcher import Dispatcher, DispatchRequest
from tanagerworks.dispatch.server_state import FAILURES_TO_EJECT

# Requests and their times are counted over this time.
WINDOW_S = 10.0
# The 0.95 quantile of fewer times rests on one or two of them.
MIN_SAMPLES = 50
# Share of the slots of a service from which on its servers get no hedges: a second request would
# delay others.
_MAX_LOAD_SHARE = 0.7
# Share of the retry budget of a service that hedges leave to retries.
_BUDGET_SHARE_FOR_RETRIES = 0.5


class HedgeRefusal(Enum):
    """Why no second server is asked although the first is late."""

    NO_ATTEMPT_LEFT = "the route allows no more attempts"
    NO_TIME = "less time is left than answers usually take"
    SHARE_USED = "the share of hedged requests is used up"
    QUARANTINED = "the request or a part of it may have crashed a server"
    REQUESTS_WAIT = "other requests wait for a server"
    BUDGET_USED = "half of the budget of repeats is used up"
    SERVICE_LOADED = "the servers of the service are loaded"
    NO_SERVER = "no other server may take the request now"
    SERVERS_FULL = "the other servers are full"


@dataclass(frozen=True, slots=True)
class HedgingPolicy:
    """When a second server is asked; fields are named as in the settings."""

    quantile: float
    min_delay_s: float
    max_share: float


@dataclass(frozen=True, slots=True)
class RouteQuantile:
    """A quantile of the times of a route over the fleet, in seconds."""

    time_s: float
    # Number of times within the last `WINDOW_S`; estimated for those that peers reported.
    samples: float


@dataclass(frozen=True, slots=True)
class HedgeDecision:
    """The second server, or why there is none; exactly one of the two is set."""

    choice: Choice | None = None
    refusal: HedgeRefusal | None = None


class HedgeShare:
    """Keeps the hedges of this node to a share of its requests that may be hedged.

    Times are in seconds of one clock; requests and hedges count for `WINDOW_S`.
    """

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.hedges: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Counts a request that may be hedged."""
        self.requests.append(now_s)
        self._drop_expired(now_s)

    def record_hedge(self, now_s: float) -> None:
        """Counts a hedge."""
        self.hedges.append(now_s)

    def allows_hedge(self, max_share: float, now_s: float) -> bool:
        """Whether one more hedge keeps to `max_share` of the requests."""
        self._drop_expired(now_s)
        return len(self.hedges) + 1 <= max_share * len(self.requests)

    def _drop_expired(self, now_s: float) -> None:
        for times in (self.requests, self.hedges):
            while times and times[0] <= now_s - WINDOW_S:
                times.popleft()


def hedge_delay_s(policy: HedgingPolicy, quantile: RouteQuantile | None) -> float | None:
    """Returns the time after which a request is late; None if too little is known of its route."""
    if quantile is None or quantile.samples < MIN_SAMPLES:
        return None
    return max(policy.min_delay_s, quantile.time_s)


def decide_hedge(
    dispatcher: Dispatcher,
    dispatch_request: DispatchRequest,
    attempts_left: int,
    delay_s: float,
    share: HedgeShare,
    policy: HedgingPolicy,
    now_s: float,
) -> HedgeDecision:
    """Returns the second server for a request whose first server is late, or why there is none.

    `attempts_left` is the number of servers that the request may still be sent to, `delay_s` the
    time after which it became late. Nothing is counted; the caller counts a hedge that it sends.
    """
    refusal = _refusal_by_limits(
        dispatcher, dispatch_request, attempts_left, delay_s, share, policy, now_s
    )
    if refusal is not None:
        return HedgeDecision(refusal=refusal)
    choice = dispatcher.choose_server(dispatch_request, now_s)
    state = choice.state
    # A hedge does not probe a server that was ejected: if it is withdrawn, it shows nothing.
    if state is None or state.consecutive_failures >= FAILURES_TO_EJECT:
        return HedgeDecision(refusal=HedgeRefusal.NO_SERVER)
    if state.load(now_s) >= state.entry.slots:
        return HedgeDecision(refusal=HedgeRefusal.SERVERS_FULL)
    return HedgeDecision(choice=choice)


def _refusal_by_limits(
    dispatcher: Dispatcher,
    dispatch_request: DispatchRequest,
    attempts_left: int,
    delay_s: float,
    share: HedgeShare,
    policy: HedgingPolicy,
    now_s: float,
) -> HedgeRefusal | None:
    service = dispatch_request.service
    if attempts_left < 1:
        return HedgeRefusal.NO_ATTEMPT_LEFT
    if dispatch_request.deadline_s - now_s < delay_s:
        return HedgeRefusal.NO_TIME
    if not share.allows_hedge(policy.max_share, now_s):
        return HedgeRefusal.SHARE_USED
    if dispatcher.crash_evidence.find_quarantines(dispatch_request.suspect_ids):
        return HedgeRefusal.QUARANTINED
    if len(dispatcher.queue(service)):
        return HedgeRefusal.REQUESTS_WAIT
    if not _budget_allows_hedge(dispatcher, service, now_s):
        return HedgeRefusal.BUDGET_USED
    if _is_loaded(dispatcher, service, now_s):
        return HedgeRefusal.SERVICE_LOADED
    return None


def _budget_allows_hedge(dispatcher: Dispatcher, service: str, now_s: float) -> bool:
    """Whether one more hedge leaves its part of the retry budget to retries.

    Hedges and retries count alike, so hedges end when both together have used their half.
    """
    budget = dispatcher.retry_budget(service)
    nodes = dispatcher.peer_table.assumed_fleet_size(now_s)
    remaining = budget.remaining_retries(nodes, now_s)
    allowed = remaining + len(budget.retries)
    return remaining >= 1 and remaining - 1 >= _BUDGET_SHARE_FOR_RETRIES * allowed


def _is_loaded(dispatcher: Dispatcher, service: str, now_s: float) -> bool:
    load = 0
    slots = 0
    for state in dispatcher.directory.usable_servers(service, now_s):
        load += state.load(now_s)
        slots += state.entry.slots
    return load >= _MAX_LOAD_SHARE * slots
