"""Which model servers have read which parts of prompts, by what all nodes have sent them.

Nodes tell each other where they sent the parts of a prompt, a few bytes for each request. The
servers' own cache events would say more, but late and at a price for each call.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

# A part that no request has used for this long counts as evicted.
KEPT_S = 120.0
# Parts remembered; the least recently used go first. One takes some 300 bytes.
MAX_PARTS = 20_000
# Servers remembered for one part, those that used it last. Hot parts are few, so this bounds
# memory only; parts that all prompts of a route begin with are held by every server.
_MAX_HOLDERS = 64


def part_key(model: str, part_id: str) -> int:
    """Returns the 64-bit key under which nodes speak of a part."""
    return xxh3_64_intdigest(f"{model}\0{part_id}".encode())


class CachedPartIndex:
    """Servers that hold each part, with the time of the last use there."""

    def __init__(self) -> None:
        self.servers_by_key: OrderedDict[int, dict[str, float]] = OrderedDict()

    def record_parts(self, keys: Iterable[int], server_id: str, now_s: float) -> None:
        """Notes that a server reads or has read all of the parts."""
        for key in keys:
            holders = self.servers_by_key.setdefault(key, {})
            holders[server_id] = now_s
            self.servers_by_key.move_to_end(key)
            if len(holders) > _MAX_HOLDERS:
                del holders[min(holders, key=lambda held: holders[held])]
        while len(self.servers_by_key) > MAX_PARTS:
            self.servers_by_key.popitem(last=False)

    def leading_cached_parts(self, keys: Sequence[int], now_s: float) -> dict[str, int]:
        """Returns how many leading parts of a prompt each server holds that holds any.

        A server that has read a part has read all before it; of those that many servers hold, not
        all holders may be remembered.
        """
        held: dict[str, int] = {}
        for place in range(len(keys), 0, -1):
            for server_id, used_s in self.servers_by_key.get(keys[place - 1], {}).items():
                if now_s - used_s <= KEPT_S:
                    held.setdefault(server_id, place)
        return held

    def keys_by_server(self) -> dict[str, list[int]]:
        """Returns the parts that each server holds."""
        found: dict[str, list[int]] = {}
        for key, holders in self.servers_by_key.items():
            for server_id in holders:
                found.setdefault(server_id, []).append(key)
        return found

    def drop_server(self, server_id: str) -> None:
        """Forgets what a server held, since its process has ended."""
        for holders in self.servers_by_key.values():
            holders.pop(server_id, None)
