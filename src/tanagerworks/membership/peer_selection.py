"""Selects the peers of a node and the peer of its next exchange."""

from collections.abc import Callable, Sequence
from random import Random

# Up to this many nodes form a full mesh. In a larger fleet each node has only a few peers, since
# the number of connections in a full mesh grows with the square of the number of nodes.
FULL_MESH_MAX_NODES = 16
# Probability that a dead peer is contacted in its turn, so that nodes detect that a network
# partition has ended.
_DEAD_PEER_CONTACT_PROBABILITY = 0.2


def select_peers(node_id: str, node_ids: Sequence[str]) -> list[str]:
    """Returns the ids of a node's peers, with which it exchanges messages.

    Up to `FULL_MESH_MAX_NODES` nodes these are all other nodes. In a larger fleet the sorted
    `node_ids` form a ring, and the peers are the first, second, fourth, ... node that follows
    `node_id`, so that their number is the logarithm of the fleet size. `node_id` need not be in
    `node_ids`.
    """
    other_ids = [other_id for other_id in node_ids if other_id != node_id]
    if len(other_ids) < FULL_MESH_MAX_NODES:
        return other_ids
    # Index in `other_ids` of the node that follows `node_id` on the ring.
    start = sum(1 for other_id in other_ids if other_id < node_id)
    peers = []
    distance = 1
    while distance <= len(other_ids):
        peers.append(other_ids[(start + distance - 1) % len(other_ids)])
        distance *= 2
    return peers


class PeerRotation:
    """Selects peers in rounds; each round visits every peer once in random order.

    With independent random choices some peers would stay unvisited for several rounds, which
    delays the spread of updates.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.peers: list[str] = []
        self.remaining: list[str] = []

    def set_peers(self, peers: list[str]) -> None:
        """Replaces the peers and starts a new round, unless they are unchanged."""
        if peers == self.peers:
            return
        self.peers = list(peers)
        self.remaining = []

    def next_peer(self, is_dead: Callable[[str], bool]) -> str | None:
        """Returns the next peer, or None if there are no peers.

        Dead peers are skipped most of the time. If every attempt skips one, the result is a random
        peer.
        """
        for _attempt in range(2 * len(self.peers)):
            if not self.remaining:
                self.remaining = self.random.sample(self.peers, len(self.peers))
            peer = self.remaining.pop()
            if is_dead(peer) and self.random.random() > _DEAD_PEER_CONTACT_PROBABILITY:
                continue
            return peer
        return self.random.choice(self.peers) if self.peers else None
