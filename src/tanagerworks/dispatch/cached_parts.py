"""Estimates which prompt parts each model server has cached, from the requests of all nodes.

Nodes announce to each other the servers to which they sent prompt parts, a few bytes per request.
The servers' own cache events would be more exact, but they are late and each call for them has a
cost.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

# A part that no request has used for this long is assumed to be evicted.
ASSUMED_EVICTION_S = 120.0
# Parts in the index; the least recently used are dropped first. One takes about 300 bytes.
MAX_PARTS = 20_000
# Servers recorded per part, the most recent ones. The limit only bounds memory: few parts reach it,
# those with which all prompts of a route begin and which every server has cached.
_MAX_SERVERS_PER_PART = 64


def part_key(model: str, part_id: str) -> int:
    """Returns the 64-bit hash that identifies a part of a model's prompts at all nodes."""
    return xxh3_64_intdigest(f"{model}\0{part_id}".encode())


class CachedPartIndex:
    """Servers that have probably cached each part, with the time of its last use there."""

    def __init__(self) -> None:
        # Times of last use by server id, by part key; the least recently used part first.
        self.servers_by_key: OrderedDict[int, dict[str, float]] = OrderedDict()

    def record_parts(self, keys: Iterable[int], server_id: str, now_s: float) -> None:
        """Records that a server has been sent all of the parts, which it then caches."""
        for key in keys:
            servers = self.servers_by_key.setdefault(key, {})
            servers[server_id] = now_s
            self.servers_by_key.move_to_end(key)
            if len(servers) > _MAX_SERVERS_PER_PART:
                del servers[min(servers, key=lambda known_id: servers[known_id])]
        while len(self.servers_by_key) > MAX_PARTS:
            self.servers_by_key.popitem(last=False)

    def leading_cached_parts(self, keys: Sequence[int], now_s: float) -> dict[str, int]:
        """Returns the number of leading parts of a prompt that each server has cached, if any.

        A server that has cached a part has also cached all parts before it. Only the deepest
        recorded part counts, because hot parts before it may not list all of their servers.
        """
        counts: dict[str, int] = {}
        for count in range(len(keys), 0, -1):
            for server_id, last_used_s in self.servers_by_key.get(keys[count - 1], {}).items():
                if now_s - last_used_s <= ASSUMED_EVICTION_S:
                    counts.setdefault(server_id, count)
        return counts

    def keys_by_server(self) -> dict[str, list[int]]:
        """Returns the keys of the parts recorded for each server, by server id, also old ones."""
        found: dict[str, list[int]] = {}
        for key, servers in self.servers_by_key.items():
            for server_id in servers:
                found.setdefault(server_id, []).append(key)
        return found

    def drop_server(self, server_id: str) -> None:
        """Removes a server from all parts; its cache is lost when its process ends."""
        for servers in self.servers_by_key.values():
            servers.pop(server_id, None)
