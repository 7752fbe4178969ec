"""A node's copy of the published store, ordered by the store's revision.

A revision counts every change of the store, so two copies compare by one number, and a node may
take over a peer's copy whenever that one is newer. Nothing here can go back.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

# Changes kept for peers that are some revisions behind; older ones take the whole copy.
_LOGGED_CHANGES = 256


@dataclass(frozen=True, slots=True)
class Change:
    """One key as it was written at a revision; `value` is None for a deletion."""

    key: str
    revision: int
    value: bytes | None


class Replica:
    """All items of the store as of `revision`; 0 before the first listing."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, Change] = {}
        self.log: deque[Change] = deque()
        # The log holds all changes after this revision.
        self.logged_after = 0

    def changes_after(self, revision: int) -> list[Change] | None:
        """Returns the changes after a revision, or None if the log does not reach back to it."""
        if revision < self.logged_after:
            return None
        return [change for change in self.log if change.revision > revision]

    def _record(self, change: Change) -> None:
        self.log.append(change)
        while len(self.log) > _LOGGED_CHANGES:
            self.logged_after = max(self.logged_after, self.log.popleft().revision)

    def apply_changes(self, changes: Iterable[Change], revision: int) -> list[Change]:
        """Applies changes that lead up to `revision`; returns those that were news.

        Changes may arrive again or out of order: per key the highest revision stays.
        """
        news = []
        for change in changes:
            if change.revision > self.revision:
                self._record(change)
            known = self.items.get(change.key)
            if known is not None and known.revision >= change.revision:
                continue
            if known is None and change.revision <= self.revision:
                # A deletion that this copy has already passed.
                continue
            if change.value is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = change
            if known is not None or change.value is not None:
                news.append(change)
        self.revision = max(self.revision, revision)
        return news

    def replace_items(self, items: Iterable[Change], revision: int) -> list[Change]:
        """Takes over a whole listing as of `revision`; returns what differs from before.

        A listing older than this copy is ignored. Items that the listing lacks are deleted,
        except those that were written after it.
        """
        if revision < self.revision:
            return []
        self.log.clear()
        self.logged_after = revision
        listed = {item.key: item for item in items}
        news = []
        for key, known in list(self.items.items()):
            if key in listed or known.revision > revision:
                continue
            del self.items[key]
            news.append(Change(key, revision, None))
        for key, item in listed.items():
            known_item = self.items.get(key)
            if known_item is not None and known_item.revision >= item.revision:
                continue
            self.items[key] = item
            news.append(item)
        self.revision = revision
        return news
