"""The writes that a node has seen, to tell older ones that a restored store shows again.

A store that is restored from an older copy gives revisions out again, so they do not order
writes of different eras. What orders them is what their writers count: the start of a server's
process and the number of its write. A zone out of service has no such number; the same revision
shows the same write.
"""

from collections.abc import Callable

from tanagerworks.published.model import PublishedValue, ServerEntry
from tanagerworks.published.replica import Change

# Deleted keys whose last write is remembered. A copy is some seconds old, in which fewer keys are
# deleted.
_MAX_DELETED_KEYS = 1_024


class SeenWrites:
    """The last write of each key, also of keys that have been deleted since."""

    def __init__(self, decode: Callable[[Change], PublishedValue | None]) -> None:
        self.decode = decode
        self.last_writes: dict[str, Change] = {}
        # In the order of their deletion.
        self.deleted_keys: dict[str, None] = {}

    def record(self, change: Change) -> None:
        """Records a write or a deletion that follows everything recorded for its key."""
        if change.value is not None:
            self.deleted_keys.pop(change.key, None)
            self.last_writes[change.key] = change
            return
        if change.key not in self.last_writes:
            return
        self.deleted_keys[change.key] = None
        if len(self.deleted_keys) > _MAX_DELETED_KEYS:
            oldest = next(iter(self.deleted_keys))
            del self.deleted_keys[oldest]
            del self.last_writes[oldest]

    def supersedes(self, restored: Change) -> bool:
        """Returns whether an item of a restored store is older than what is recorded for its key.

        The deletion of a key that the restored store lacks is never superseded.
        """
        seen = self.last_writes.get(restored.key)
        if seen is None or restored.value is None:
            return False
        if restored == seen and restored.key in self.deleted_keys:
            return True
        seen_value, restored_value = self.decode(seen), self.decode(restored)
        if isinstance(seen_value, ServerEntry) and isinstance(restored_value, ServerEntry):
            return _is_older(restored_value, seen_value)
        return False


def _is_older(entry: ServerEntry, than: ServerEntry) -> bool:
    """Returns whether an entry of a server was written no later than another one of its id."""
    if entry.started_ms == than.started_ms:
        return entry.sequence <= than.sequence
    if entry.started_ms is None or than.started_ms is None:
        return False
    return entry.started_ms < than.started_ms
