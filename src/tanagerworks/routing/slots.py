"""Slot ledger of one node: which engine slots it owns and which of them are in use.

Slot *i* of an engine is one right to have one request at that engine. Ownership is divided over
the nodes by the release note, so the capacity of an engine holds without fresh numbers from
other nodes. Source: the escrow method (O'Neil 1986).
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from tanagerworks.note.model import Statement
from tanagerworks.routing.ranking import rank_engines

# Up to this many nodes every node owns slots of every engine.
ALL_OWNERS_LIMIT = 16
MIN_OWNERS = 3
SLOTS_PER_OWNER = 8


@dataclass(frozen=True, order=True)
class SlotId:
    """One slot of one engine."""

    engine_id: str
    index: int


def slot_owners(engine_id: str, slots: int, node_ids: Collection[str]) -> list[str]:
    """Returns the owners of an engine's slots; slot *i* belongs to owner ``i % len(owners)``."""
    ranked = rank_engines(engine_id, dict.fromkeys(node_ids, 1.0))
    if len(ranked) <= ALL_OWNERS_LIMIT:
        return ranked
    return ranked[: max(MIN_OWNERS, math.ceil(slots / SLOTS_PER_OWNER))]


def owned_slots(node_id: str, statement: Statement) -> set[SlotId]:
    """Returns the slots that `statement` gives to a node."""
    owned = set()
    for engine_id, engine in statement.engines.items():
        owners = slot_owners(engine_id, engine.slots, statement.nodes)
        for index in range(engine.slots):
            if owners[index % len(owners)] == node_id:
                owned.add(SlotId(engine_id, index))
    return owned


class SlotLedger:
    """The slots that a node owns, and those of them in use by its routers."""

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.owned: set[SlotId] = set()
        # Grant id by slot in use.
        self.used: dict[SlotId, int] = {}
        self.next_grant_id = 1

    def apply(self, statement: Statement) -> None:
        """Takes over the ownership that a new statement gives."""
        self.owned = owned_slots(self.node_id, statement)

    def claim(self, engine_id: str, below_index: int) -> tuple[SlotId, int] | None:
        """Marks the free slot with the lowest index as used; returns it with a grant id."""
        free = [
            slot
            for slot in self.owned
            if slot.engine_id == engine_id and slot.index < below_index and slot not in self.used
        ]
        if not free:
            return None
        slot = min(free)
        grant_id = self.next_grant_id
        self.next_grant_id += 1
        self.used[slot] = grant_id
        return slot, grant_id

    def release(self, slot: SlotId, grant_id: int) -> bool:
        """Frees a slot; returns False if the grant is not the one in use."""
        if self.used.get(slot) != grant_id:
            return False
        del self.used[slot]
        return True
