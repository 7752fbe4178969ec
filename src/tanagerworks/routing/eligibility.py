"""Eligibility of engines for new work: zone state, leaving VMs, probes and flap damping."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from tanagerworks.note.model import Statement, ZoneState


class Ineligible(Enum):
    """Reason for which an engine gets no new work."""

    ZONE = "zone"
    LEAVING = "leaving"
    DOWN = "down"
    DAMPED = "damped"


@dataclass(slots=True)
class _EngineState:
    up: bool = True
    changed_at_s: float = float("-inf")
    damping_s: float = 0.0
    eligible_from_s: float = float("-inf")


class Eligibility:
    """Eligibility of the engines of one note, without the ejection of outliers.

    Times are seconds on the node's CLOCK_BOOTTIME.
    """

    def __init__(self) -> None:
        self.statement: Statement | None = None
        self.leaving: frozenset[str] = frozenset()
        self.down: set[str] = set()
        self.engines: dict[str, _EngineState] = {}

    def set_statement(self, statement: Statement) -> None:
        """Applies the zones, engines and damping rules of a note."""
        self.statement = statement
        for engine_id in self.engines.keys() - statement.engines.keys():
            del self.engines[engine_id]
        for engine_id in statement.engines:
            self.engines.setdefault(engine_id, _EngineState())

    def set_leaving(self, engine_ids: Collection[str], now_s: float) -> None:
        """Replaces the engines whose VM the platform's list marks as leaving."""
        self.leaving = frozenset(engine_ids)
        self._update_damping(now_s)

    def set_down(self, engine_id: str, down: bool, now_s: float) -> None:
        """Records the result of the probes of an engine."""
        if down:
            self.down.add(engine_id)
        else:
            self.down.discard(engine_id)
        self._update_damping(now_s)

    def _update_damping(self, now_s: float) -> None:
        # A change soon after the previous one doubles the damping time, a later one resets it. An
        # engine that is up again gets no work until its damping time has passed.
        assert self.statement is not None
        rules = self.statement.rules
        for engine_id, state in self.engines.items():
            up = engine_id not in self.leaving and engine_id not in self.down
            if up == state.up:
                continue
            state.up = up
            if now_s - state.changed_at_s <= max(rules.vm_damping_s, 2 * state.damping_s):
                doubled = max(rules.vm_damping_s, 2 * state.damping_s)
                state.damping_s = min(rules.max_damping_s, doubled)
            else:
                state.damping_s = 0.0
            state.changed_at_s = now_s
            if up:
                state.eligible_from_s = now_s + state.damping_s

    def ineligible_reason(self, engine_id: str, now_s: float) -> Ineligible | None:
        """Returns why an engine may not receive new work, None if it may.

        An engine that is not in the note counts as leaving.
        """
        assert self.statement is not None
        engine = self.statement.engines.get(engine_id)
        state = self.engines.get(engine_id)
        if engine is None or state is None:
            return Ineligible.LEAVING
        if self.statement.zones[engine.zone].state is not ZoneState.IN:
            return Ineligible.ZONE
        if engine_id in self.leaving:
            return Ineligible.LEAVING
        if not state.up:
            return Ineligible.DOWN
        if now_s < state.eligible_from_s:
            return Ineligible.DAMPED
        return None
