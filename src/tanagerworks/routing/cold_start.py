"""How far engines have recovered from a cold start, per boot id.

Counts per boot id only grow, so they merge as a grow-only counter: the maximum per reporting
node, then the sum over nodes (Shapiro et al., "Conflict-free replicated data types", 2011).
"""

from collections import OrderedDict
from dataclasses import dataclass, field

# An answer within this multiple of the expected time to the first token, plus the constant, is
# proof of a warm engine. The constant covers scheduling noise of short prompts.
FIRST_TOKEN_MULTIPLE = 3.0
FIRST_TOKEN_ALLOWANCE_S = 1.0
_MAX_RETIRED_BOOT_IDS = 16


@dataclass
class _EngineBoot:
    boot_id: str = ""
    # Seen by this node itself, as opposed to reported by a peer.
    seen_locally: bool = False
    # A sign of a restart was seen; the engine counts as cold until it shows its boot id.
    suspected: bool = False
    answers: dict[str, int] = field(default_factory=dict)
    retired_boot_ids: OrderedDict[str, None] = field(default_factory=OrderedDict)


def is_warm_first_token(first_token_s: float, expected_s: float) -> bool:
    """Returns whether a first token came within the bounds of a warm engine."""
    return first_token_s <= FIRST_TOKEN_MULTIPLE * expected_s + FIRST_TOKEN_ALLOWANCE_S


class ColdStartTracker:
    """Boot ids and warm answers of the engines, as known to one node."""

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.engines: dict[str, _EngineBoot] = {}

    def boot_id(self, engine_id: str) -> str:
        """Returns the boot id believed current; empty if unknown."""
        known = self.engines.get(engine_id)
        return known.boot_id if known else ""

    def record_boot_id(self, engine_id: str, boot_id: str) -> bool:
        """Takes a boot id that the engine itself sent; returns whether it is a new boot.

        A boot id that was replaced before is ignored: its answer was late.
        """
        known = self.engines.setdefault(engine_id, _EngineBoot())
        if not boot_id or boot_id in known.retired_boot_ids:
            return False
        if boot_id == known.boot_id:
            known.seen_locally, known.suspected = True, False
            return False
        self._set_boot(known, boot_id, seen_locally=True)
        return True

    def _set_boot(self, known: _EngineBoot, boot_id: str, seen_locally: bool) -> None:
        if known.boot_id:
            known.retired_boot_ids[known.boot_id] = None
            if len(known.retired_boot_ids) > _MAX_RETIRED_BOOT_IDS:
                known.retired_boot_ids.popitem(last=False)
        known.boot_id, known.seen_locally, known.suspected = boot_id, seen_locally, False
        known.answers = {}

    def suspect_restart(self, engine_id: str) -> None:
        """Treats the engine as cold after a sign of a restart, until it shows its boot id."""
        known = self.engines.get(engine_id)
        if known is not None:
            known.suspected = True

    def record_answer(self, engine_id: str, boot_id: str) -> None:
        """Counts a complete answer in time, seen by this node."""
        self.record_boot_id(engine_id, boot_id)
        known = self.engines[engine_id]
        if boot_id and boot_id == known.boot_id:
            known.answers[self.node_id] = known.answers.get(self.node_id, 0) + 1

    def merge_peer_answers(self, node_id: str, engine_id: str, boot_id: str, answers: int) -> None:
        """Takes the count of a peer.

        A peer's boot id is believed only while this node has not seen one itself, because the
        peer's report may be older than what this node saw.
        """
        known = self.engines.setdefault(engine_id, _EngineBoot())
        if boot_id != known.boot_id:
            if known.seen_locally or not boot_id or boot_id in known.retired_boot_ids:
                return
            self._set_boot(known, boot_id, seen_locally=False)
        known.answers[node_id] = max(known.answers.get(node_id, 0), answers)

    def own_answers(self) -> list[tuple[str, str, int]]:
        """Returns (engine id, boot id, answers seen by this node) for the peers."""
        own = []
        for engine_id, known in self.engines.items():
            if known.boot_id:
                own.append((engine_id, known.boot_id, known.answers.get(self.node_id, 0)))
        return own

    def answer_count(self, engine_id: str) -> int:
        """Returns the complete answers of the current boot id that all nodes have reported."""
        known = self.engines.get(engine_id)
        return sum(known.answers.values()) if known else 0

    def allowance(self, engine_id: str, slots: int, cold_slots: int, warm_answers: int) -> int:
        """Returns the slot index below which slots may be used.

        It doubles after each `warm_answers` complete answers of the current boot id.
        """
        known = self.engines.get(engine_id)
        if known is None or not known.boot_id or known.suspected:
            return min(cold_slots, slots)
        doublings = sum(known.answers.values()) // warm_answers
        # Beyond 12 doublings the allowance exceeds the largest number of slots of a note.
        return min(slots, cold_slots << min(doublings, 12))

    def retain_engines(self, engine_ids: set[str]) -> None:
        """Drops engines that are no longer in the note."""
        for engine_id in self.engines.keys() - engine_ids:
            del self.engines[engine_id]
