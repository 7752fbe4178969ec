"""Free slots last reported by each peer."""

from collections.abc import Iterable, Mapping

# Lowest free index and number of free slots, by engine id.
FreeSlotCounts = Mapping[str, tuple[int, int]]


class PeerFreeSlots:
    """Reported free slots, indexed by engine and by peer, so that updates touch few engines."""

    def __init__(self) -> None:
        self.by_engine: dict[str, dict[str, tuple[int, int]]] = {}
        self.engines_by_peer: dict[str, set[str]] = {}

    def replace_free_slots(self, node_id: str, free: FreeSlotCounts) -> None:
        """Replaces all free slots of a peer."""
        self.update_free_slots(
            node_id, self.engines_by_peer.get(node_id, set()) | free.keys(), free
        )

    def update_free_slots(
        self, node_id: str, engine_ids: Iterable[str], free: FreeSlotCounts
    ) -> None:
        """Replaces a peer's free slots of the given engines; one without an entry has none."""
        reported_engines = self.engines_by_peer.setdefault(node_id, set())
        for engine_id in engine_ids:
            reported = self.by_engine.setdefault(engine_id, {})
            if engine_id in free:
                reported[node_id] = free[engine_id]
                reported_engines.add(engine_id)
                continue
            reported.pop(node_id, None)
            reported_engines.discard(engine_id)

    def remove_node(self, node_id: str) -> None:
        """Removes the free slots of a peer."""
        for engine_id in self.engines_by_peer.pop(node_id, set()):
            self.by_engine[engine_id].pop(node_id, None)

    def free_by_peer(self, engine_id: str) -> FreeSlotCounts:
        """Returns the lowest free index and the number of free slots, by peer."""
        return self.by_engine.get(engine_id, {})

    def lowest_index(self, engine_id: str) -> int | None:
        """Returns the lowest index that a peer reports as free, or None."""
        reported = self.free_by_peer(engine_id).values()
        return min((index for index, count in reported if count > 0), default=None)
