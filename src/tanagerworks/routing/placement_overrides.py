"""Chats that were last served by another engine than their first choice."""

from collections import OrderedDict
from itertools import islice

MAX_RECENT_CHANGES = 256


class PlacementOverrides:
    """Bounded map from a chat's 64-bit hash to the engine that holds its prefix."""

    def __init__(self, max_entries: int = 100_000) -> None:
        self.max_entries = max_entries
        # Least recently used first.
        self.engines: OrderedDict[int, str] = OrderedDict()
        # Newest changes of this node; an empty engine id means the first choice again. They are
        # told more than once, because a report reaches only some of the peers.
        self.recent_changes: OrderedDict[int, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self.engines)

    def get(self, chat_hash: int) -> str | None:
        """Returns the engine that served the chat last, if that is not its first choice."""
        engine_id = self.engines.get(chat_hash)
        if engine_id is not None:
            self.engines.move_to_end(chat_hash)
        return engine_id

    def record_served(self, chat_hash: int, engine_id: str, first_choice: str) -> None:
        """Records where this node served a chat."""
        told = engine_id if engine_id != first_choice else ""
        if (self.engines.get(chat_hash) or "") != told:
            self.recent_changes[chat_hash] = told
            self.recent_changes.move_to_end(chat_hash)
            if len(self.recent_changes) > MAX_RECENT_CHANGES:
                self.recent_changes.popitem(last=False)
        self.set_override(chat_hash, told)

    def set_override(self, chat_hash: int, engine_id: str) -> None:
        """Takes an exception from a peer; an empty engine id means the first choice again."""
        if not engine_id:
            self.engines.pop(chat_hash, None)
            return
        self.engines[chat_hash] = engine_id
        self.engines.move_to_end(chat_hash)
        if len(self.engines) > self.max_entries:
            self.engines.popitem(last=False)

    def newest_changes(self, limit: int) -> list[tuple[int, str]]:
        """Returns up to `limit` of this node's changes, the newest first."""
        return list(islice(reversed(self.recent_changes.items()), limit))

    def remove_engine(self, engine_id: str) -> None:
        """Forgets the chats of an engine that lost its cache or left."""
        for chat_hash in [chat for chat, engine in self.engines.items() if engine == engine_id]:
            del self.engines[chat_hash]
