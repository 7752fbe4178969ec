"""Recovery of engines from a cold start, by boot id.

The count of answers for a boot id only grows, so counts merge as a grow-only counter: the maximum
per reporting node, then the sum over nodes (Shapiro et al., "Conflict-free replicated data types",
2011).
"""

from collections import OrderedDict
from dataclasses import dataclass, field

# An engine counts as warm if its first token comes within this multiple of the expected time, plus
# a margin, which covers scheduling delays with short prompts.
FIRST_TOKEN_MULTIPLE = 3.0
FIRST_TOKEN_MARGIN_S = 1.0
_MAX_RETIRED_BOOT_IDS = 16


@dataclass
class _EngineBoot:
    boot_id: str = ""
    # The engine sent its boot id to this node; otherwise it was reported by a peer.
    seen_locally: bool = False
    # The engine may have restarted; it counts as cold until it sends its boot id.
    suspected: bool = False
    answers: dict[str, int] = field(default_factory=dict)
    retired_boot_ids: OrderedDict[str, None] = field(default_factory=OrderedDict)


def is_warm_first_token(first_token_s: float, expected_s: float) -> bool:
    """Returns whether a first token came as early as one of a warm engine."""
    return first_token_s <= FIRST_TOKEN_MULTIPLE * expected_s + FIRST_TOKEN_MARGIN_S


class ColdStartTracker:
    """Boot ids of the engines and their answers since the start, in the view of one node."""

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.engines: dict[str, _EngineBoot] = {}

    def boot_id(self, engine_id: str) -> str:
        """Returns the current boot id in the view of this node, empty if unknown."""
        engine = self.engines.get(engine_id)
        return engine.boot_id if engine else ""

    def record_boot_id(self, engine_id: str, boot_id: str) -> bool:
        """Records a boot id that the engine itself sent; returns whether it is a new one.

        A boot id that was replaced before is ignored: it comes from a late answer.
        """
        engine = self.engines.setdefault(engine_id, _EngineBoot())
        if not boot_id or boot_id in engine.retired_boot_ids:
            return False
        if boot_id == engine.boot_id:
            engine.seen_locally, engine.suspected = True, False
            return False
        self._set_boot(engine, boot_id, seen_locally=True)
        return True

    def _set_boot(self, engine: _EngineBoot, boot_id: str, seen_locally: bool) -> None:
        if engine.boot_id:
            engine.retired_boot_ids[engine.boot_id] = None
            if len(engine.retired_boot_ids) > _MAX_RETIRED_BOOT_IDS:
                engine.retired_boot_ids.popitem(last=False)
        engine.boot_id, engine.seen_locally, engine.suspected = boot_id, seen_locally, False
        engine.answers = {}

    def suspect_restart(self, engine_id: str) -> None:
        """Treats the engine as cold until it sends its boot id, as it may have restarted."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.suspected = True

    def record_answer(self, engine_id: str, boot_id: str) -> None:
        """Counts a complete answer whose first token came as early as from a warm engine."""
        self.record_boot_id(engine_id, boot_id)
        engine = self.engines[engine_id]
        if boot_id and boot_id == engine.boot_id:
            engine.answers[self.node_id] = engine.answers.get(self.node_id, 0) + 1

    def merge_peer_answers(self, node_id: str, engine_id: str, boot_id: str, answers: int) -> None:
        """Merges a peer's count of answers.

        A peer's boot id is accepted only while the engine has sent none to this node, because the
        peer's report may be older.
        """
        engine = self.engines.setdefault(engine_id, _EngineBoot())
        if boot_id != engine.boot_id:
            if engine.seen_locally or not boot_id or boot_id in engine.retired_boot_ids:
                return
            self._set_boot(engine, boot_id, seen_locally=False)
        engine.answers[node_id] = max(engine.answers.get(node_id, 0), answers)

    def own_answers(self) -> list[tuple[str, str, int]]:
        """Returns (engine id, boot id, answers counted by this node), to report to peers."""
        own = []
        for engine_id, engine in self.engines.items():
            if engine.boot_id:
                own.append((engine_id, engine.boot_id, engine.answers.get(self.node_id, 0)))
        return own

    def answer_count(self, engine_id: str) -> int:
        """Returns the number of answers of the current boot id, summed over all nodes."""
        engine = self.engines.get(engine_id)
        return sum(engine.answers.values()) if engine else 0

    def allowance(self, engine_id: str, slots: int, cold_slots: int, warm_answers: int) -> int:
        """Returns the slot index below which slots may be used.

        It starts at `cold_slots` and doubles after every `warm_answers` answers of the current boot
        id.
        """
        engine = self.engines.get(engine_id)
        if engine is None or not engine.boot_id or engine.suspected:
            return min(cold_slots, slots)
        doublings = sum(engine.answers.values()) // warm_answers
        # 12 doublings exceed the largest number of slots that a note allows.
        return min(slots, cold_slots << min(doublings, 12))

    def retain_engines(self, engine_ids: set[str]) -> None:
        """Removes engines that are no longer in the note."""
        for engine_id in self.engines.keys() - engine_ids:
            del self.engines[engine_id]
