"""A node's replica of the published store, versioned by the store's era and revision.

The revision counts every change of the store. A store that is restored from an older copy starts a
new era, in which it gives out the revisions after that copy again. So of two replicas the one with
the higher pair of era and revision is newer, and a node may copy a peer's replica if it is newer. A
replica never returns to an older state of an era, nor to an earlier era. The era 0 stands for the
replica's own era: stores and peers of earlier versions do not state one.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

# Changes kept for peers that are a few revisions behind; peers further behind fetch all items.
_MAX_RECENT_CHANGES = 256
# A change with a larger value is dropped when its key changes again: a configuration may have
# hundreds of kilobytes, and operators may publish several a second. All changes of server entries,
# which are small, are kept: they show peers which software versions have come and gone.
_MAX_KEPT_VALUE_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class Change:
    """The write or the deletion of one key at a revision; `value` is None for a deletion.

    `acknowledged_after_s` is an event loop time before which the store cannot have acknowledged it;
    -infinity if unknown.
    """

    key: str
    revision: int
    value: bytes | None
    acknowledged_after_s: float = field(default=-math.inf, compare=False)


class Replica:
    """All items of the store as of `revision`, which is 0 before the first listing."""

    def __init__(self) -> None:
        self.era = 0
        self.revision = 0
        # The last write of each key that exists.
        self.items: dict[str, Change] = {}
        self.recent_changes: deque[Change] = deque()
        # `recent_changes` contains all changes after this revision, except large ones that a later
        # one has replaced.
        self.recent_after_revision = 0

    def is_older_than(self, era: int, revision: int) -> bool:
        """Returns whether a replica at `era` and `revision` is newer than this one."""
        return (self.era, self.revision) < (era or self.era, revision)

    def record_suspension(self, suspended_s: float) -> None:
        """Moves the times of all changes back after a time that the node's clock has left out."""
        moved = {
            id(change): replace(
                change, acknowledged_after_s=change.acknowledged_after_s - suspended_s
            )
            for change in (*self.items.values(), *self.recent_changes)
        }
        self.items = {key: moved[id(change)] for key, change in self.items.items()}
        self.recent_changes = deque(moved[id(change)] for change in self.recent_changes)

    def changes_after(self, revision: int, era: int = 0) -> list[Change] | None:
        """Returns the changes after a revision of an era, or None if not all of them are kept."""
        if era not in (0, self.era) or revision < self.recent_after_revision:
            return None
        return [change for change in self.recent_changes if change.revision > revision]

    def _record(self, change: Change) -> None:
        replaced = self.items.get(change.key)
        if replaced is not None and _is_large(replaced) and replaced in self.recent_changes:
            self.recent_changes.remove(replaced)
        self.recent_changes.append(change)
        while len(self.recent_changes) > _MAX_RECENT_CHANGES:
            self.recent_after_revision = max(
                self.recent_after_revision, self.recent_changes.popleft().revision
            )

    def apply_changes(self, changes: Iterable[Change], revision: int, era: int = 0) -> list[Change]:
        """Applies the changes up to `revision`; returns those that changed an item.

        Changes of another era are ignored, as they do not follow this replica's items. Those of its
        era may arrive repeatedly, late and in any order: for each key, the change with the highest
        revision stays. A change of an unknown key at or below the replica's revision is ignored,
        because the key has been deleted since.
        """
        if era not in (0, self.era):
            return []
        applied = []
        for change in sorted(changes, key=lambda change: change.revision):
            if change.revision > self.revision:
                self._record(change)
            known = self.items.get(change.key)
            if known is not None and known.revision >= change.revision:
                continue
            if known is None and change.revision <= self.revision:
                # The key was deleted later, at a revision that this replica includes.
                continue
            if change.value is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = change
            if known is not None or change.value is not None:
                applied.append(change)
        self.revision = max(self.revision, revision)
        return applied

    def replace_items(self, items: Iterable[Change], revision: int, era: int = 0) -> list[Change]:
        """Replaces all items by a listing as of `revision`; returns the changes that this makes.

        A listing older than this replica is ignored. Items missing from the listing are deleted,
        except those that were written after it in the same era.
        """
        era = era or self.era
        if (era, revision) < (self.era, self.revision):
            return []
        if era > self.era:
            return self._begin_era(items, revision, era)
        self.recent_changes.clear()
        self.recent_after_revision = revision
        listed = {item.key: item for item in items}
        applied = []
        for key, known in list(self.items.items()):
            if key in listed or known.revision > revision:
                continue
            del self.items[key]
            applied.append(Change(key, revision, None))
        for key, item in listed.items():
            known_item = self.items.get(key)
            if known_item is not None and known_item.revision >= item.revision:
                continue
            self.items[key] = item
            applied.append(item)
        self.revision = revision
        return applied

    def _begin_era(self, items: Iterable[Change], revision: int, era: int) -> list[Change]:
        """Replaces all items by the first listing of an era; returns the changes that this makes.

        Only the same write, with its revision and its value, leaves an item unchanged.
        """
        listed = {item.key: item for item in items}
        applied = [Change(key, revision, None) for key in self.items if key not in listed]
        for key, item in listed.items():
            if self.items.get(key) != item:
                applied.append(item)
        self.items = listed
        self.era = era
        self.revision = revision
        self.recent_changes.clear()
        self.recent_after_revision = revision
        return applied


def _is_large(change: Change) -> bool:
    return change.value is not None and len(change.value) > _MAX_KEPT_VALUE_BYTES
