"""Ejection of engines that fail far more often than the others."""

from collections.abc import Collection
from dataclasses import dataclass

# Consecutive failures that eject an engine; fewer occur by chance when callers are cut off.
FAILURES_TO_EJECT = 5
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0


@dataclass(slots=True)
class _EngineFailures:
    consecutive: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")


class OutlierDetector:
    """Counts consecutive failures per engine and ejects for a time that doubles."""

    def __init__(self) -> None:
        self.engines: dict[str, _EngineFailures] = {}

    def record_success(self, engine_id: str) -> None:
        """Counts a complete answer."""
        known = self.engines.get(engine_id)
        if known is not None:
            known.consecutive = 0
            known.ejections = 0

    def record_failure(
        self, engine_id: str, eligible: Collection[str], max_share: float, now_s: float
    ) -> bool:
        """Counts a failure; returns whether the engine is ejected by it.

        Never more than `max_share` of the eligible engines is ejected at once.
        """
        known = self.engines.setdefault(engine_id, _EngineFailures())
        known.consecutive += 1
        if known.consecutive < FAILURES_TO_EJECT or self.is_ejected(engine_id, now_s):
            return False
        ejected = sum(self.is_ejected(other, now_s) for other in eligible)
        if ejected + 1 > max_share * len(eligible):
            return False
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2.0**known.ejections)
        known.ejections += 1
        known.consecutive = 0
        known.ejected_until_s = now_s + duration_s
        return True

    def is_ejected(self, engine_id: str, now_s: float) -> bool:
        """Returns whether an engine is ejected."""
        known = self.engines.get(engine_id)
        return known is not None and now_s < known.ejected_until_s

    def retain_engines(self, engine_ids: Collection[str]) -> None:
        """Drops engines that are no longer in the note."""
        for engine_id in [engine for engine in self.engines if engine not in engine_ids]:
            del self.engines[engine_id]
