"""Peers that are found by address and known by what they last said.

Nodes have no names beforehand. A peer is live while it is heard; it counts towards the assumed
size of the fleet for longer, since a peer that cannot be heard may still serve callers.
"""

from collections.abc import Iterator
from dataclasses import dataclass

# A peer is live for this long after its last message: several intervals between messages, so
# that a few lost datagrams do not matter.
LIVE_S = 1.5
# A silent peer counts towards the size of the fleet for this long.
REMEMBERED_S = 60.0
# Nodes assumed before the first peers had time to answer: more than either fleet of today has.
ASSUMED_AT_START = 16
START_S = 2.0


@dataclass(slots=True)
class Peer:
    """One process of another node."""

    name: str
    address: str
    zone: str
    incarnation: int
    sequence: int
    heard_s: float
    revision: int
    stopping: bool


class Roster:
    """Peers by name."""

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.peers: dict[str, Peer] = {}

    def hear(self, heard: Peer) -> str:
        """Takes in a peer's message; returns "old", "known", "joined" or "restarted"."""
        known = self.peers.get(heard.name)
        if known is None:
            self.peers[heard.name] = heard
            return "joined"
        if heard.incarnation < known.incarnation:
            return "old"
        if heard.incarnation == known.incarnation:
            if heard.sequence <= known.sequence:
                return "old"
            was_live = heard.heard_s - known.heard_s <= LIVE_S
            self.peers[heard.name] = heard
            return "known" if was_live else "back"
        self.peers[heard.name] = heard
        return "restarted"

    def live(self, now_s: float) -> Iterator[Peer]:
        """Yields the peers that were heard a short time ago."""
        for peer in self.peers.values():
            if now_s - peer.heard_s <= LIVE_S:
                yield peer

    def lost(self, now_s: float) -> Iterator[Peer]:
        """Yields the peers that fell silent."""
        for peer in self.peers.values():
            if now_s - peer.heard_s > LIVE_S:
                yield peer

    def forget(self, now_s: float) -> None:
        """Drops peers that said they stop, once silent, and those silent for very long."""
        for peer in list(self.lost(now_s)):
            silent_s = now_s - peer.heard_s
            if peer.stopping or silent_s > REMEMBERED_S:
                del self.peers[peer.name]

    def fleet_size(self, now_s: float) -> int:
        """Returns how many nodes to assume for bounds that hold over the fleet."""
        known = len(self.peers) + 1
        if now_s - self.started_s < START_S:
            return max(ASSUMED_AT_START, known)
        return known
