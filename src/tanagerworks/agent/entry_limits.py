"""Limits the size of a node's entry in the gossip, whatever the number of engines."""

from collections.abc import Callable, Iterable, Mapping
from heapq import nlargest

from tanagerworks.note.model import Engine
from tanagerworks.rpc.tanager_pb2 import NodeEntry

# Each count takes a byte. With more engines than this, totals by pool are sent instead.
_MAX_ENGINE_COUNTS = 64
# A WarmAnswers item takes about 45 bytes.
_MAX_WARM_ITEMS = 6
# Only the engines whose count changed last are considered: the others have nothing new to report.
_MAX_CHANGED_ITEMS = 32


class EntryLimiter:
    """Selects what an entry contains when not everything fits.

    Counts of warm answers only grow and are merged by maximum, so leaving some out is safe. The
    engines that are still in cold start come first, then those whose count changed last.
    """

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], int] = {}
        self.changed_in_round: dict[tuple[str, str], int] = {}
        self.round_number = 0

    def limit_entry(
        self,
        entry: NodeEntry,
        engines: Mapping[str, Engine],
        pools: list[list[int]],
        allowance: Callable[[str], int],
    ) -> None:
        """Limits the running counts and the counts of warm answers in `entry`, in place."""
        if len(engines) > _MAX_ENGINE_COUNTS:
            entry.running_by_pool[:] = _pool_totals(entry.running_by_engine, pools)
            del entry.running_by_engine[:]
        if len(entry.warm) <= _MAX_WARM_ITEMS:
            return
        self.round_number += 1
        keys = [(item.engine_id, item.boot_id) for item in entry.warm]
        for key, item in zip(keys, entry.warm, strict=True):
            if self.counts.get(key) != item.answers:
                self.counts[key] = item.answers
                self.changed_in_round[key] = self.round_number
        current = set(keys)
        for mapping in (self.counts, self.changed_in_round):
            for key in mapping.keys() - current:
                del mapping[key]

        def sort_key(key: tuple[str, str]) -> tuple[bool, int, tuple[str, str]]:
            engine = engines.get(key[0])
            warm = engine is None or allowance(key[0]) >= engine.slots
            return warm, -self.changed_in_round[key], key

        recent = nlargest(_MAX_CHANGED_ITEMS, keys, key=self.changed_in_round.__getitem__)
        chosen = set(sorted(recent, key=sort_key)[:_MAX_WARM_ITEMS])
        kept = [item for key, item in zip(keys, entry.warm, strict=True) if key in chosen]
        del entry.warm[:]
        entry.warm.extend(kept)


def expand_counts(entry: NodeEntry, engines: Mapping[str, Engine], pools: list[list[int]]) -> None:
    """Distributes totals by pool evenly over the pool's engines, which preserves their mean."""
    if not entry.running_by_pool or len(entry.running_by_pool) != len(pools):
        return
    counts = [0] * len(engines)
    for total, members in zip(entry.running_by_pool, pools, strict=True):
        share, remainder = divmod(total, len(members))
        for index in members[:remainder]:
            counts[index] = share + 1
        if share:
            for index in members[remainder:]:
                counts[index] = share
    entry.running_by_engine[:] = counts


def engine_pools(engines: Mapping[str, Engine]) -> list[list[int]]:
    """Returns the positions of each pool's engines among the sorted engine ids.

    A pool is the engines of one model and version; pools are sorted by these.
    """
    pools: dict[tuple[str, str], list[int]] = {}
    for index, engine_id in enumerate(sorted(engines)):
        engine = engines[engine_id]
        pools.setdefault((engine.model, engine.version), []).append(index)
    return [pools[key] for key in sorted(pools)]


def _pool_totals(counts: Iterable[int], pools: list[list[int]]) -> list[int]:
    by_index = list(counts)
    return [sum(by_index[index] for index in pool if index < len(by_index)) for pool in pools]
