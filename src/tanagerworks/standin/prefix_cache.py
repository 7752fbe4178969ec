"""Prefix cache of the engine stand-in and the events it publishes."""

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
    """One published event; `kind` is ``stored`` or ``removed``."""

    number: int
    occurred_s: float
    kind: str
    prefix: str
    chat_key: str
    tokens: int

    def as_document(self) -> dict[str, Any]:
        """Returns the event as it is published."""
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
    """Least recently used prefixes of chats, message by message, within a number of tokens."""

    def __init__(self, capacity_tokens: int, rng: random.Random) -> None:
        self.capacity_tokens = capacity_tokens
        self.rng = rng
        self.entries: OrderedDict[str, _CacheEntry] = OrderedDict()
        self.used_tokens = 0
        self.events: deque[CacheEvent] = deque(maxlen=_MAX_EVENTS)
        self.last_event_number = 0

    def count_cached_tokens(self, messages: Sequence[Any]) -> int:
        """Returns the tokens of the longest cached prefix of the messages."""
        total = 0
        for prefix, tokens in _hash_prefixes(messages):
            if prefix not in self.entries:
                break
            total += tokens
        return total

    def store_prefixes(
        self, messages: Sequence[Any], chat_key: str, now_s: float, gap_share: float = 0.0
    ) -> None:
        """Keeps all prefixes of the messages; longer ones are dropped first."""
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
        """Forgets everything, as after a restart: event numbers start again."""
        self.entries.clear()
        self.used_tokens = 0
        self.events.clear()
        self.last_event_number = 0

    def events_after(self, number: int, occurred_until_s: float) -> list[CacheEvent]:
        """Returns the events after `number` that are old enough to be visible."""
        return [
            event
            for event in self.events
            if event.number > number and event.occurred_s <= occurred_until_s
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
