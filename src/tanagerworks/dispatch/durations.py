"""How long requests of a route take, for a node that has to end its work by a set time."""

from collections import deque

# Requests remembered for each route: some ten seconds of a route's requests at one node.
_REMEMBERED = 64
# Fewer requests say little about the longest one.
_MIN_REMEMBERED = 8


class RouteDurations:
    """Times that the last requests of each route took, in seconds."""

    def __init__(self) -> None:
        self.by_route: dict[str, deque[float]] = {}

    def record_duration(self, route: str, took_s: float) -> None:
        """Notes that a request was answered whole after `took_s`."""
        self.by_route.setdefault(route, deque(maxlen=_REMEMBERED)).append(took_s)

    def estimate_s(self, route: str, limit_s: float, margin: float) -> float:
        """Returns `margin` times the longest that was seen, in seconds, and `limit_s` at most.

        That is the limit while too few requests of the route have been seen.
        """
        seen = self.by_route.get(route, ())
        if len(seen) < _MIN_REMEMBERED:
            return limit_s
        return min(limit_s, margin * max(seen))
