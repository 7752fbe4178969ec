"""Decides whether and when a failed request is sent again.

Retries to a back end are bounded by a share of the requests that it recently received (token
bucket), so a failing part of the fleet cannot multiply the load of the rest.
"""

from dataclasses import dataclass
from random import Random

from tanagerworks.outcome import Outcome

# Retries that a back end may receive at once after many requests.
_BURST_RETRIES = 10.0
# A back end may receive this many retries before it has seen requests, because a quiet one earns
# too few. More would add up over many back ends to more than the share.
FIRST_RETRIES = 5.0
# A back end that failed is chosen last for this long, and twice as long after each further
# failure in a row.
_FIRST_AVOID_S = 0.5
_MAX_AVOID_S = 8.0
_FIRST_DELAY_S = 0.02
_MAX_DELAY_S = 0.5
MAX_ATTEMPTS = 4


def may_retry(outcome: Outcome, repeatable: bool) -> bool:
    """Whether a request may be sent again after a failure with `outcome`.

    Nothing is repeated after a proof that it ran. A request of unknown outcome is repeated only
    if that is harmless.
    """
    if outcome is Outcome.RAN:
        return False
    return outcome is Outcome.NOT_RUN or repeatable


def backoff_s(attempt: int, random: Random) -> float:
    """Returns the delay before retry number `attempt` (from 1): exponential, fully jittered."""
    return random.uniform(0.0, min(_MAX_DELAY_S, _FIRST_DELAY_S * 2.0**attempt))


@dataclass
class _Bucket:
    tokens: float


class RecentFailures:
    """Back ends that failed a short time ago, so that calls try others first.

    It changes the order of choice only and never excludes a back end. The caller serialises the
    calls.
    """

    def __init__(self) -> None:
        # By back end: failures in a row and the time until which it is avoided.
        self.failures: dict[str, tuple[int, float]] = {}

    def is_avoided(self, backend: str, now_s: float) -> bool:
        """Whether other back ends should be tried first."""
        found = self.failures.get(backend)
        return found is not None and now_s < found[1]

    def record_attempt(self, backend: str, failed: bool, now_s: float) -> None:
        """Records the end of an attempt."""
        if not failed:
            self.failures.pop(backend, None)
            return
        count = self.failures.get(backend, (0, 0.0))[0] + 1
        avoid_s = min(_MAX_AVOID_S, _FIRST_AVOID_S * 2.0 ** min(count - 1, 10))
        self.failures[backend] = (count, now_s + avoid_s)


class RetryBudget:
    """Token buckets by back end: each first attempt adds a share of a token, each retry takes one.

    The caller serialises the calls. Backends that are no longer in use are dropped by
    `retain_backends`.
    """

    def __init__(self, share: float, burst: float = _BURST_RETRIES) -> None:
        self.share = share
        self.burst = burst
        self.buckets: dict[str, _Bucket] = {}

    def _bucket(self, backend: str) -> _Bucket:
        return self.buckets.setdefault(backend, _Bucket(FIRST_RETRIES))

    def record_request(self, backend: str) -> None:
        """Counts a first attempt at a back end."""
        bucket = self._bucket(backend)
        bucket.tokens = min(self.burst, bucket.tokens + self.share)

    def take_retry(self, backend: str) -> bool:
        """Takes the right to send one retry to a back end."""
        bucket = self._bucket(backend)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def retain_backends(self, backends: set[str]) -> None:
        """Drops the buckets of all other back ends."""
        for backend in set(self.buckets) - backends:
            del self.buckets[backend]
