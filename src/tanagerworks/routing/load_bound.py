"""Bound on the load of an engine, as a multiple of the mean load of its model's engines."""

import math
from collections.abc import Mapping


def mean_running(running: Mapping[str, int]) -> float:
    """Returns the mean number of running requests per serving engine; 0 without engines."""
    if not running:
        return 0.0
    return sum(running.values()) / len(running)


def slot_index_limit(load_multiple: float, mean: float, headroom: int = 0) -> int:
    """Returns the slot index below which slots may be used, at least 1."""
    return max(1, math.ceil(load_multiple * mean) - headroom)


# Requests by which the bound stays below the configured multiple. The mean can fall while requests
# run, and reported counts lag; without it, 13% of the samples at 70% utilisation exceed the
# multiple.
HEADROOM_REQUESTS = 1


class RunningCounts:
    """Running requests per engine, as last reported by each node."""

    def __init__(self) -> None:
        self.by_node: dict[str, dict[str, int]] = {}
        self.stamps_s: dict[str, float] = {}
        self.totals: dict[str, int] = {}

    def replace_counts(self, node_id: str, running: Mapping[str, int], stamp_s: float) -> None:
        """Replaces all counts of a node unless they are older; `stamp_s` is on the node's clock."""
        if stamp_s < self.stamps_s.get(node_id, -math.inf):
            return
        self.remove_node(node_id)
        self.stamps_s[node_id] = stamp_s
        counts = {engine_id: count for engine_id, count in running.items() if count}
        self.by_node[node_id] = counts
        for engine_id, count in counts.items():
            self.totals[engine_id] = self.totals.get(engine_id, 0) + count

    def update_counts(self, node_id: str, running: Mapping[str, int], stamp_s: float) -> None:
        """Replaces a node's counts of the given engines unless they are older."""
        if stamp_s < self.stamps_s.get(node_id, -math.inf):
            return
        self.stamps_s[node_id] = stamp_s
        counts = self.by_node.setdefault(node_id, {})
        for engine_id, count in running.items():
            change = count - counts.get(engine_id, 0)
            self.totals[engine_id] = self.totals.get(engine_id, 0) + change
            counts[engine_id] = count

    def remove_node(self, node_id: str) -> None:
        """Removes the counts of a node."""
        self.stamps_s.pop(node_id, None)
        for engine_id, count in self.by_node.pop(node_id, {}).items():
            self.totals[engine_id] -= count

    def total_running(self, engine_id: str) -> int:
        """Returns the running requests at an engine, summed over the nodes that reported."""
        return self.totals.get(engine_id, 0)
