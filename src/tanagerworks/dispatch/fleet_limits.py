"""Limits on the requests of the whole fleet, which each node enforces for its own share.

A node's share of a limit is the limit divided by the number of nodes that it assumes. A node that
underestimates this number would use too much, so the assumed number includes lost peers.
"""

import math
from collections import deque
from typing import Protocol

# Share of a limit that the nodes use together. The rest covers nodes that differ in their view of
# the fleet, and requests that arrive at a server closer together than they were sent.
_USED_SHARE = 0.8
# A server that names a limit bears what it takes in this time, and a few requests, on top of it.
_BURST_S = 2.0
_EXTRA_SENDERS = 3
# A server that names a lower limit gets this many requests a second, so that the end of the limit
# is noticed.
_MIN_NAMED_LIMIT_PER_S = 0.1


class SenderLimiter(Protocol):
    """Limits the requests of the fleet to one backend server.

    Only some nodes, its senders, may send to it; each may send its share of the limit.
    """

    def sender_count(self, nodes: int) -> int:
        """Returns how many of the `nodes` nodes are senders, at least 1."""

    def has_token(self, nodes: int, now_s: float) -> bool:
        """Returns whether this node, a sender, may send one more request now."""

    def use_token(self) -> None:
        """Uses the token that `has_token` reported."""


class _TokenBucket:
    """A token bucket with one token at most; the rate may change with each check."""

    def __init__(self) -> None:
        self.tokens = 1.0
        self.refilled_at_s = float("-inf")

    def refill(self, rate_per_s: float, now_s: float) -> bool:
        """Adds the tokens since the last refill; returns whether there is a whole one."""
        if math.isfinite(self.refilled_at_s):
            self.tokens = min(1.0, self.tokens + rate_per_s * (now_s - self.refilled_at_s))
        self.refilled_at_s = now_s
        return self.tokens >= 1.0

    def use_token(self) -> None:
        """Uses one token."""
        self.tokens -= 1.0


class ColdStartLimiter:
    """Limits this node's requests to one cold backend server.

    A server accepts `bound_per_s` requests in any second, of which the fleet uses `_USED_SHARE`.
    Each of k senders may send one request at once and its share of the rest over the second, so k
    is at most half of what the fleet uses.
    """

    def __init__(self, bound_per_s: float) -> None:
        self.set_bound(bound_per_s)
        self.bucket = _TokenBucket()

    def set_bound(self, bound_per_s: float) -> None:
        """Changes the bound; tokens that were used stay used."""
        self.bound_per_s = bound_per_s * _USED_SHARE

    def sender_count(self, nodes: int) -> int:
        """Returns how many of the `nodes` nodes are senders, at least 1."""
        return max(1, min(nodes, int(self.bound_per_s // 2)))

    def has_token(self, nodes: int, now_s: float) -> bool:
        """Returns whether this node, a sender, may send one more request now."""
        senders = self.sender_count(nodes)
        rate_per_s = max(0.0, self.bound_per_s - senders) / senders
        return self.bucket.refill(rate_per_s, now_s)

    def use_token(self) -> None:
        """Uses the token that `has_token` reported."""
        self.bucket.use_token()


class NamedLimitLimiter:
    """Limits this node's requests to a backend server that names how many it takes a second.

    `limit_per_s` is in requests per second from all nodes together, times are in seconds.
    The senders use the whole limit, in equal shares. Each may send one request at once, so there
    are fewer senders than requests that the server has to bear beyond its limit.
    """

    def __init__(self, limit_per_s: float) -> None:
        self.set_limit(limit_per_s)
        self.bucket = _TokenBucket()

    def set_limit(self, limit_per_s: float) -> None:
        """Changes the limit; tokens that were used stay used."""
        self.limit_per_s = max(_MIN_NAMED_LIMIT_PER_S, limit_per_s)

    def sender_count(self, nodes: int) -> int:
        """Returns how many of the `nodes` nodes are senders, at least 1."""
        return max(1, min(nodes, int(_BURST_S * self.limit_per_s) + _EXTRA_SENDERS))

    def has_token(self, nodes: int, now_s: float) -> bool:
        """Returns whether this node, a sender, may send one more request now."""
        return self.bucket.refill(self.limit_per_s / self.sender_count(nodes), now_s)

    def use_token(self) -> None:
        """Uses the token that `has_token` reported."""
        self.bucket.use_token()


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
