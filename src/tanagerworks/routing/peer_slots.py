"""Free slots that a node believes its peers to have."""

from collections.abc import Iterable, Mapping

# Lowest free index and number of free slots, by engine id.
FreeSlotCounts = Mapping[str, tuple[int, int]]


class PeerFreeSlots:
    """Beliefs by engine and by peer, so that a report touches only the engines that it concerns."""

    def __init__(self) -> None:
        self.by_engine: dict[str, dict[str, tuple[int, int]]] = {}
        self.engines_of: dict[str, set[str]] = {}

    def replace(self, node_id: str, free: FreeSlotCounts) -> None:
        """Replaces all beliefs about a peer."""
        self.update(node_id, self.engines_of.get(node_id, set()) | free.keys(), free)

    def update(self, node_id: str, engine_ids: Iterable[str], free: FreeSlotCounts) -> None:
        """Replaces the beliefs about some engines; one without an entry has no free slot."""
        known = self.engines_of.setdefault(node_id, set())
        for engine_id in engine_ids:
            beliefs = self.by_engine.setdefault(engine_id, {})
            if engine_id in free:
                beliefs[node_id] = free[engine_id]
                known.add(engine_id)
                continue
            beliefs.pop(node_id, None)
            known.discard(engine_id)

    def remove_node(self, node_id: str) -> None:
        """Drops all beliefs about a peer."""
        for engine_id in self.engines_of.pop(node_id, set()):
            self.by_engine[engine_id].pop(node_id, None)

    def free_by_peer(self, engine_id: str) -> FreeSlotCounts:
        """Returns lowest free index and number of free slots, by peer."""
        return self.by_engine.get(engine_id, {})

    def lowest_index(self, engine_id: str) -> int | None:
        """Returns the lowest index that some peer has free, or None."""
        beliefs = self.free_by_peer(engine_id).values()
        return min((index for index, count in beliefs if count > 0), default=None)
