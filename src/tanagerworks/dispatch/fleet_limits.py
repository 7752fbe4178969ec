"""Bounds that hold over the whole fleet, kept by each node's part of them.

Every node gets an equal part of a bound by the number of nodes that it assumes. A node that
underestimates that number would take too much, so the assumption counts peers that fell silent.
"""

import math
from collections import deque

# Part of the tolerance that the nodes plan to use; the rest covers differing views of the fleet
# and requests that bunch up on the way.
_USED_TOLERANCE = 0.8


class ColdStartLimiter:
    """The right to send to one cold backend server: a token bucket with room for one token.

    A server bears `bound` requests in any second. With k entitled nodes each may send one at
    once and its part of the rest over the second, so k is at most half of the bound.
    """

    def __init__(self, bound_per_s: float) -> None:
        self.bound_per_s = bound_per_s * _USED_TOLERANCE
        self.tokens = 1.0
        self.filled_at_s = float("-inf")

    def entitled_nodes(self, nodes: int) -> int:
        """Returns how many of `nodes` may send to the server at all."""
        return max(1, min(nodes, int(self.bound_per_s // 2)))

    def _refill(self, nodes: int, now_s: float) -> None:
        entitled = self.entitled_nodes(nodes)
        rate = max(0.0, self.bound_per_s - entitled) / entitled
        if math.isfinite(self.filled_at_s):
            self.tokens = min(1.0, self.tokens + rate * (now_s - self.filled_at_s))
        self.filled_at_s = now_s

    def has_token(self, nodes: int, now_s: float) -> bool:
        """Whether one more request may be sent now."""
        self._refill(nodes, now_s)
        return self.tokens >= 1.0

    def use_token(self) -> None:
        """Uses the token that `available` has shown."""
        self.tokens -= 1.0


class RetryBudget:
    """This node's part of the repeats that one service may get in a window.

    The fleet may repeat `ratio` of the requests of a window and `minimum` more. A node may repeat
    `ratio` of its own requests and its part of the minimum.
    """

    def __init__(self, ratio: float, minimum: float, window_s: float) -> None:
        self.ratio = ratio
        self.minimum = minimum
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Counts the first send of a request."""
        self.requests.append(now_s)
        self._drop_expired(now_s)

    def _drop_expired(self, now_s: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()

    def remaining_retries(self, nodes: int, now_s: float) -> int:
        """Returns how many repeats may still be sent in the window that ends now."""
        self._drop_expired(now_s)
        allowed = _USED_TOLERANCE * (self.ratio * len(self.requests) + self.minimum / nodes)
        return max(0, math.floor(allowed) - len(self.retries))

    def acquire_retry(self, nodes: int, now_s: float) -> bool:
        """Takes the right to send one repeat."""
        if self.remaining_retries(nodes, now_s) < 1:
            return False
        self.retries.append(now_s)
        return True
