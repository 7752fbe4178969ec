"""Decides whether and when a failed request is sent again.

Retries to a back end are bounded by a share of the requests that it recently received (token
bucket), so a failing part of the fleet cannot multiply the load of the rest.
"""

from dataclasses import dataclass
from random import Random

from tanagerworks.outcome import Outcome

# Retries that a back end may receive at once after a quiet time.
_BURST_RETRIES = 10.0
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


class RetryBudget:
    """Token buckets by back end: each first attempt adds a share of a token, each retry takes one.

    The caller serialises the calls. Back ends that are no longer in use are dropped by `keep`.
    """

    def __init__(self, share: float, burst: float = _BURST_RETRIES) -> None:
        self.share = share
        self.burst = burst
        self.buckets: dict[str, _Bucket] = {}

    def _bucket(self, backend: str) -> _Bucket:
        return self.buckets.setdefault(backend, _Bucket(self.burst))

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

    def keep(self, backends: set[str]) -> None:
        """Drops the buckets of all other back ends."""
        for backend in set(self.buckets) - backends:
            del self.buckets[backend]
