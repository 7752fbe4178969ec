"""Chooses the peer of each exchange."""

from collections.abc import Callable, Sequence
from random import Random

# Up to this many nodes every other node is a peer; beyond it, connections to all would be many.
FULL_MESH_MAX_NODES = 16
# Share of turns in which a peer that seems dead is tried, so that a healed partition is noticed.
_DEAD_TRY_SHARE = 0.2


def neighbours(node_id: str, node_ids: Sequence[str]) -> list[str]:
    """Returns the peers of a node: all up to 16 nodes, else those at distances 1, 2, 4, ...

    `node_ids` is sorted and seen as a ring. A node that is not part of it takes the place where
    it would be.
    """
    others = [other for other in node_ids if other != node_id]
    if len(others) < FULL_MESH_MAX_NODES:
        return others
    # Position of the first name behind this node in the ring without it.
    start = sum(1 for other in others if other < node_id)
    chosen = []
    distance = 1
    while distance <= len(others):
        chosen.append(others[(start + distance - 1) % len(others)])
        distance *= 2
    return chosen


class PeerRotation:
    """Goes through the peers in rounds of random order.

    Every peer gets its turn in each round, so that news travel over every edge; independent
    random choices leave an edge unused for several times as long.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.peers: list[str] = []
        self.round: list[str] = []

    def set_peers(self, peers: list[str]) -> None:
        """Replaces the peers; a change starts a new round."""
        if peers == self.peers:
            return
        self.peers = list(peers)
        self.round = []

    def next_peer(self, is_dead: Callable[[str], bool]) -> str | None:
        """Returns the next peer, or None without peers; mostly passes over dead ones."""
        for _attempt in range(2 * len(self.peers)):
            if not self.round:
                self.round = self.random.sample(self.peers, len(self.peers))
            peer = self.round.pop()
            if is_dead(peer) and self.random.random() > _DEAD_TRY_SHARE:
                continue
            return peer
        return self.random.choice(self.peers) if self.peers else None
