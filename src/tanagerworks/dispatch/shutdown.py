"""Which requests a node that is shutting down still starts, and what becomes of them."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from tanagerworks.dispatch.durations import RouteDurations
from tanagerworks.published.model import ExecutionSemantics, Route

# A stream that came before the end of the drain notice is started only if this multiple of the
# longest recorded stream of the route still fits before the shutdown deadline. During the notice
# the balancer may send all callers of a zone here, so the factor is smaller: about one stream in 65
# lasts longer than the longest of 64. Servers that become slower do not show in the recorded
# streams until a slow one has ended.
_NOTICE_MARGIN_FACTOR = 1.0
_WAITING_MARGIN_FACTOR = 4.0
# Repeatable requests are assumed to take at most this multiple of the latency objective.
_OBJECTIVE_FACTOR = 2.0


class RequestFate(Enum):
    """What became of a request during a shutdown."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    CALLER_LEFT = "caller_left"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Expectation:
    """How long a request is assumed to take at most, in seconds.

    `samples` is the number of recorded durations behind that, None if it does not depend on any.
    """

    needed_s: float
    samples: int | None = None


@dataclass(slots=True)
class Shutdown:
    """Times of a shutdown, in seconds of the event loop's clock, and what became of requests."""

    # When the stop signal came.
    signalled_s: float
    # By when all requests have to end.
    deadline_s: float
    # Until when the balancer may still send new callers.
    notice_until_s: float
    fates: Counter[RequestFate] = field(default_factory=Counter)

    def expect(
        self,
        route: Route,
        durations: RouteDurations,
        arrived_s: float,
        now_s: float,
        limit_s: float,
    ) -> Expectation:
        """Returns how long a request that starts at `now_s` is assumed to take.

        `arrived_s` and `now_s` are event loop times, `limit_s` the time in seconds until the
        request's own deadline.

        Only its deadline bounds how long a stream takes: neither the length nor the pace of the
        next one follows from those before it. One that came after the drain notice gets all its
        time. One that came before, when its caller could not know of the shutdown, is estimated, as
        refusing all of them would send callers to other nodes that are shutting down as well.
        Requests that must not run twice get all their time, as their callers could not tell
        whether they have run.
        """
        if not route.streams:
            if route.execution is ExecutionSemantics.AT_MOST_ONCE:
                return Expectation(limit_s)
            return Expectation(min(limit_s, _OBJECTIVE_FACTOR * route.objective_s))
        if arrived_s >= self.notice_until_s:
            return Expectation(limit_s)
        samples = durations.sample_count(route.name)
        if now_s < self.notice_until_s:
            needed_s = durations.estimate_s(route.name, limit_s, _NOTICE_MARGIN_FACTOR)
            return Expectation(needed_s, samples)
        longest_s = durations.estimate_s(route.name, limit_s, _WAITING_MARGIN_FACTOR)
        oldest_s = _WAITING_MARGIN_FACTOR * durations.oldest_s(route.name, now_s)
        return Expectation(min(limit_s, max(longest_s, oldest_s)), samples)

    def fits(self, expectation: Expectation, now_s: float) -> bool:
        """Whether a request that starts at `now_s` (event loop time) ends before the deadline."""
        return now_s + expectation.needed_s <= self.deadline_s
