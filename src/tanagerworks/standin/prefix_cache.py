"""Prefix cache of the engine stand-in, and the cache events that the engine publishes."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from xxhash import xxh3_64_hexdigest

from tanagerworks.standin.answers import count_tokens, prompt_text

_MAX_EVENTS = 4096


@dataclass(frozen=True)
class CacheEvent:
    """One cache event; `kind` is ``stored`` or ``removed``, `occurred_at_s` is monotonic time."""

    number: int
    occurred_at_s: float
    kind: str
    prefix: str
    chat_key: str
    tokens: int

    def as_document(self) -> dict[str, Any]:
        """Returns the event as a JSON document."""
        return {
            "number": self.number,
            "kind": self.kind,
            "prefix": self.prefix,
            "chat_key": self.chat_key,
            "tokens": self.tokens,
        }


@dataclass(frozen=True)
class _CacheEntry:
    tokens: int
    chat_key: str


class PrefixCache:
    """Cache of chat prefixes, message by message, that evicts the least recently used ones.

    `capacity_tokens` limits the tokens of all entries; an entry counts its last message only.
    """

    def __init__(self, capacity_tokens: int, rng: random.Random) -> None:
        self.capacity_tokens = capacity_tokens
        self.rng = rng
        self.entries: OrderedDict[str, _CacheEntry] = OrderedDict()
        self.used_tokens = 0
        self.events: deque[CacheEvent] = deque(maxlen=_MAX_EVENTS)
        self.last_event_number = 0

    def count_cached_tokens(self, messages: Sequence[Any]) -> int:
        """Returns the number of tokens of the longest cached prefix of the messages."""
        total = 0
        for prefix, tokens in _hash_prefixes(messages):
            if prefix not in self.entries:
                break
            total += tokens
        return total

    def store_prefixes(
        self, messages: Sequence[Any], chat_key: str, now_s: float, gap_share: float = 0.0
    ) -> None:
        """Stores all prefixes of the messages and evicts entries beyond the capacity.

        Longer prefixes of a chat are evicted before the shorter ones on which they depend.
        `gap_share` is the probability that an event is omitted although its number is used.
        """
        for prefix, tokens in reversed(_hash_prefixes(messages)):
            if prefix not in self.entries:
                self.entries[prefix] = _CacheEntry(tokens, chat_key)
                self.used_tokens += tokens
                self._publish_event("stored", prefix, self.entries[prefix], now_s, gap_share)
            self.entries.move_to_end(prefix)
        while self.used_tokens > self.capacity_tokens:
            prefix, entry = self.entries.popitem(last=False)
            self.used_tokens -= entry.tokens
            self._publish_event("removed", prefix, entry, now_s, gap_share)

    def clear(self) -> None:
        """Removes all entries and events, as a restart does; event numbers restart at 1."""
        self.entries.clear()
        self.used_tokens = 0
        self.events.clear()
        self.last_event_number = 0

    def events_after(self, number: int, occurred_until_s: float) -> list[CacheEvent]:
        """Returns the events with higher numbers than `number` that occurred by the given time."""
        return [
            event
            for event in self.events
            if event.number > number and event.occurred_at_s <= occurred_until_s
        ]

    def _publish_event(
        self, kind: str, prefix: str, entry: _CacheEntry, now_s: float, gap_share: float
    ) -> None:
        self.last_event_number += 1
        if self.rng.random() < gap_share:
            return
        self.events.append(
            CacheEvent(self.last_event_number, now_s, kind, prefix, entry.chat_key, entry.tokens)
        )


def _hash_prefixes(messages: Sequence[Any]) -> list[tuple[str, int]]:
    prefixes: list[tuple[str, int]] = []
    prefix_hash = ""
    for message in messages:
        text = prompt_text([message])
        prefix_hash = xxh3_64_hexdigest((prefix_hash + text).encode())
        prefixes.append((prefix_hash, count_tokens(text)))
    return prefixes
