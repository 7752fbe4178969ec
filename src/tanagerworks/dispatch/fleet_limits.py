"""Limits on the requests of the whole fleet, which each node enforces for its own share.

A node's share of a limit is the limit divided by the number of nodes that it assumes. A node that
underestimates this number would use too much, so the assumed number includes lost peers.
"""

import math
from collections import deque

# Share of a limit that the nodes use together. The rest covers nodes that differ in their view of
# the fleet, and requests that arrive at a server closer together than they were sent.
_USED_SHARE = 0.8


class ColdStartLimiter:
    """Limits this node's requests to one cold backend server; a token bucket with one token.

    A server accepts `bound_per_s` requests in any second, of which the fleet uses `_USED_SHARE`.
    Only some nodes, its senders, may send to it. Each of k senders may send one request at once and
    its share of the rest over the second, so k is at most half of what the fleet uses.
    """

    def __init__(self, bound_per_s: float) -> None:
        self.set_bound(bound_per_s)
        self.tokens = 1.0
        self.refilled_at_s = float("-inf")

    def set_bound(self, bound_per_s: float) -> None:
        """Changes the bound; tokens that were used stay used."""
        self.bound_per_s = bound_per_s * _USED_SHARE

    def sender_count(self, nodes: int) -> int:
        """Returns how many of the `nodes` nodes are senders, at least 1."""
        return max(1, min(nodes, int(self.bound_per_s // 2)))

    def _refill(self, nodes: int, now_s: float) -> None:
        senders = self.sender_count(nodes)
        rate = max(0.0, self.bound_per_s - senders) / senders
        if math.isfinite(self.refilled_at_s):
            self.tokens = min(1.0, self.tokens + rate * (now_s - self.refilled_at_s))
        self.refilled_at_s = now_s

    def has_token(self, nodes: int, now_s: float) -> bool:
        """Refills the bucket; returns whether one more request may be sent now."""
        self._refill(nodes, now_s)
        return self.tokens >= 1.0

    def use_token(self) -> None:
        """Uses the token that `has_token` reported."""
        self.tokens -= 1.0


class RetryBudget:
    """This node's share of the retries that one service may get in a sliding time window.

    The fleet may retry the share `ratio` of the requests in the window plus `minimum` requests. A
    node may retry `ratio` of its own requests plus its share of the minimum, times `_USED_SHARE`.
    """

    def __init__(self, ratio: float, minimum: float, window_s: float) -> None:
        self.set_bounds(ratio, minimum, window_s)
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def set_bounds(self, ratio: float, minimum: float, window_s: float) -> None:
        """Changes the bounds; requests and retries that were counted stay counted."""
        self.ratio = ratio
        self.minimum = minimum
        self.window_s = window_s

    def record_request(self, now_s: float) -> None:
        """Counts the first attempt of a request."""
        self.requests.append(now_s)
        self._drop_expired(now_s)

    def _drop_expired(self, now_s: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()

    def remaining_retries(self, nodes: int, now_s: float) -> int:
        """Returns how many more retries may be sent in the window that ends now."""
        self._drop_expired(now_s)
        allowed = _USED_SHARE * (self.ratio * len(self.requests) + self.minimum / nodes)
        return max(0, math.floor(allowed) - len(self.retries))

    def acquire_retry(self, nodes: int, now_s: float) -> bool:
        """Takes one retry from the budget; returns whether there was one left."""
        if self.remaining_retries(nodes, now_s) < 1:
            return False
        self.retries.append(now_s)
        return True
