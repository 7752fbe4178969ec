"""Estimates how long requests of a route take, for a node that has to stop by a set time."""

import itertools
from collections import deque

# Durations kept per route: about ten seconds of the requests of a route at one node.
_MAX_SAMPLES = 64
# The maximum of fewer requests is a poor estimate of the longest one.
_MIN_SAMPLES = 8


class RouteDurations:
    """Durations of the most recent requests of each route, and ages of those in progress.

    All times are in seconds of one clock.
    """

    def __init__(self) -> None:
        self.by_route: dict[str, deque[float]] = {}
        # Arrival times of the requests in progress of each route, by number.
        self.in_progress: dict[str, dict[int, float]] = {}
        self.numbers = itertools.count()

    def record_start(self, route: str, arrived_s: float) -> int:
        """Records a request in progress; returns its number for `record_end`."""
        number = next(self.numbers)
        self.in_progress.setdefault(route, {})[number] = arrived_s
        return number

    def record_end(self, route: str, number: int) -> None:
        """Records that a request is no longer in progress."""
        del self.in_progress[route][number]

    def record_duration(self, route: str, took_s: float) -> None:
        """Records that the response to a request was complete `took_s` after its arrival."""
        self.by_route.setdefault(route, deque(maxlen=_MAX_SAMPLES)).append(took_s)

    def estimate_s(self, route: str, limit_s: float, margin: float) -> float:
        """Returns `margin` times the longest recorded duration, at most `limit_s`.

        Returns `limit_s` if fewer than `_MIN_SAMPLES` requests of the route were recorded.
        """
        samples = self.by_route.get(route, ())
        if len(samples) < _MIN_SAMPLES:
            return limit_s
        return min(limit_s, margin * max(samples))

    def oldest_s(self, route: str, now_s: float) -> float:
        """Returns the age of the oldest request of a route in progress; 0 if there is none."""
        arrivals = self.in_progress.get(route, {}).values()
        return now_s - min(arrivals, default=now_s)

    def sample_count(self, route: str) -> int:
        """Returns the number of recorded durations of a route."""
        return len(self.by_route.get(route, ()))
