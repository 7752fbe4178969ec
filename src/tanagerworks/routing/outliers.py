"""Ejection of engines that fail several times in a row (outlier detection)."""

from collections.abc import Collection
from dataclasses import dataclass

# Consecutive failures that eject an engine; fewer can occur by chance when callers disconnect.
FAILURES_TO_EJECT = 5
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0


@dataclass(slots=True)
class _EngineFailures:
    consecutive: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")


class OutlierDetector:
    """Counts consecutive failures per engine; the duration of ejections doubles each time.

    Times are seconds on the node's CLOCK_BOOTTIME.
    """

    def __init__(self) -> None:
        self.engines: dict[str, _EngineFailures] = {}

    def record_success(self, engine_id: str) -> None:
        """Resets the counts of failures and ejections of an engine after a complete answer."""
        failures = self.engines.get(engine_id)
        if failures is not None:
            failures.consecutive = 0
            failures.ejections = 0

    def record_failure(
        self, engine_id: str, eligible: Collection[str], max_share: float, now_s: float
    ) -> bool:
        """Counts a failure; returns whether it ejects the engine.

        At most `max_share` of the eligible engines are ejected at the same time.
        """
        failures = self.engines.setdefault(engine_id, _EngineFailures())
        failures.consecutive += 1
        if failures.consecutive < FAILURES_TO_EJECT or self.is_ejected(engine_id, now_s):
            return False
        ejected_count = sum(self.is_ejected(other, now_s) for other in eligible)
        if ejected_count + 1 > max_share * len(eligible):
            return False
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2.0**failures.ejections)
        failures.ejections += 1
        failures.consecutive = 0
        failures.ejected_until_s = now_s + duration_s
        return True

    def is_ejected(self, engine_id: str, now_s: float) -> bool:
        """Returns whether an engine is ejected."""
        failures = self.engines.get(engine_id)
        return failures is not None and now_s < failures.ejected_until_s

    def retain_engines(self, engine_ids: Collection[str]) -> None:
        """Removes engines that are no longer in the note."""
        for engine_id in [engine for engine in self.engines if engine not in engine_ids]:
            del self.engines[engine_id]
