"""Which node gets a request that this node can send to no server."""

import random
from collections.abc import Collection, Iterable, Mapping

from tanagerworks.membership.peer_table import Peer


def choose_node(
    peers: Iterable[Peer],
    zone: str,
    tried: Collection[str],
    in_progress: Mapping[str, int],
    generator: random.Random,
) -> Peer | None:
    """Returns the peer that gets a request, or None if all have been tried.

    Peers of the own `zone` come first, as traffic between zones is slower. Among them this node
    divides its requests equally: it chooses one with the fewest of its requests `in_progress`.
    """
    found = [peer for peer in peers if peer.name not in tried]
    if not found:
        return None
    near = [peer for peer in found if peer.zone == zone] or found
    least = min(in_progress.get(peer.name, 0) for peer in near)
    return generator.choice([peer for peer in near if in_progress.get(peer.name, 0) == least])
