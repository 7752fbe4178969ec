"""Retry rules, backoff and retry budgets for failed requests.

Retries to a backend are bounded by a share of the requests that it recently received (token
bucket), so failing backends cannot multiply the load on the others.
"""

from dataclasses import dataclass
from random import Random

from tanagerworks.outcome import Outcome

# Size of a backend's token bucket, in retries.
_BURST_RETRIES = 10.0
# Initial tokens of a backend, because one with few requests earns too few. With more, retries to
# many backends would add up to more than the share.
INITIAL_RETRIES = 5.0
# A backend that failed is chosen last for this time, which doubles with each further consecutive
# failure.
_FIRST_AVOID_S = 0.5
_MAX_AVOID_S = 8.0
_BASE_DELAY_S = 0.02
_MAX_DELAY_S = 0.5
MAX_ATTEMPTS = 4


def may_retry(outcome: Outcome, repeatable: bool) -> bool:
    """Returns whether a request may be retried after a failure with `outcome`.

    A request that has run is never retried. A request of unknown outcome is retried only if it is
    `repeatable`.
    """
    if outcome is Outcome.RAN:
        return False
    return outcome is Outcome.NOT_RUN or repeatable


def backoff_s(attempt: int, random: Random) -> float:
    """Returns the delay in seconds before retry number `attempt`, which counts from 1.

    It is drawn between 0 and a limit that starts at twice `_BASE_DELAY_S` and doubles with each
    retry, up to `_MAX_DELAY_S` (exponential backoff with full jitter).
    """
    return random.uniform(0.0, min(_MAX_DELAY_S, _BASE_DELAY_S * 2.0**attempt))


@dataclass
class _Bucket:
    tokens: float


class RecentFailures:
    """Backends that failed recently, so that calls try others first.

    This changes only the order of choice and never excludes a backend. Not thread-safe: the caller
    serialises the calls.
    """

    def __init__(self) -> None:
        # By backend: consecutive failures and the time until which it is avoided.
        self.failures: dict[str, tuple[int, float]] = {}

    def is_avoided(self, backend: str, now_s: float) -> bool:
        """Returns whether other backends should be tried first."""
        failure = self.failures.get(backend)
        return failure is not None and now_s < failure[1]

    def record_attempt(self, backend: str, failed: bool, now_s: float) -> None:
        """Records the result of an attempt."""
        if not failed:
            self.failures.pop(backend, None)
            return
        count = self.failures.get(backend, (0, 0.0))[0] + 1
        avoid_s = min(_MAX_AVOID_S, _FIRST_AVOID_S * 2.0 ** min(count - 1, 10))
        self.failures[backend] = (count, now_s + avoid_s)


class RetryBudget:
    """Token buckets by backend: each first attempt adds a share of a token, each retry takes one.

    `share` is the number of tokens that a first attempt adds, `burst` the size of a bucket.
    `retain_backends` removes the buckets of backends that are no longer in use. Not thread-safe:
    the caller serialises the calls.
    """

    def __init__(self, share: float, burst: float = _BURST_RETRIES) -> None:
        self.share = share
        self.burst = burst
        self.buckets: dict[str, _Bucket] = {}

    def _bucket(self, backend: str) -> _Bucket:
        return self.buckets.setdefault(backend, _Bucket(INITIAL_RETRIES))

    def record_request(self, backend: str) -> None:
        """Counts a first attempt at a backend."""
        bucket = self._bucket(backend)
        bucket.tokens = min(self.burst, bucket.tokens + self.share)

    def acquire_retry(self, backend: str) -> bool:
        """Takes a token for one retry at a backend; returns whether there was one."""
        bucket = self._bucket(backend)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def retain_backends(self, backends: set[str]) -> None:
        """Removes the buckets of all other backends."""
        for backend in set(self.buckets) - backends:
            del self.buckets[backend]
