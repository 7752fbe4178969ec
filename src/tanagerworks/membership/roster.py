"""Peers that are found by address and known by what they last said.

Nodes have no names beforehand. A peer is live while it is heard; it counts towards the assumed
size of the fleet for longer, since a peer that cannot be heard may still serve callers.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

# A peer is live for this long after its last message, or for several of its intervals between
# messages if that is longer, so that a few lost datagrams do not matter.
LIVE_S = 1.5
_LIVE_INTERVALS = 4.0
# A message of an earlier process arrives this much later at most. After a longer silence a lower
# incarnation is a new process whose clock was set back.
_OVERTAKEN_S = 0.5
# Nodes of an availability zone that read the published store; the others follow them, since the
# store counts every read. A second one takes over when the first is lost.
STORE_FOLLOWERS = 2
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
    follows_store: bool = False
    interval_s: float = 0.0
    # Requests that wait there, by service.
    waiting: Mapping[str, int] = field(default_factory=dict)

    def is_live(self, now_s: float) -> bool:
        """Whether the peer was heard a short time ago."""
        return now_s - self.heard_s <= max(LIVE_S, _LIVE_INTERVALS * self.interval_s)


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
        silent_s = heard.heard_s - known.heard_s
        if heard.incarnation < known.incarnation and silent_s < _OVERTAKEN_S:
            return "old"
        if heard.incarnation == known.incarnation:
            if heard.sequence <= known.sequence:
                return "old"
            was_live = known.is_live(heard.heard_s)
            self.peers[heard.name] = heard
            return "known" if was_live else "back"
        self.peers[heard.name] = heard
        return "restarted"

    def live(self, now_s: float) -> Iterator[Peer]:
        """Yields the peers that were heard a short time ago."""
        for peer in self.peers.values():
            if peer.is_live(now_s):
                yield peer

    def lost(self, now_s: float) -> Iterator[Peer]:
        """Yields the peers that fell silent."""
        for peer in self.peers.values():
            if not peer.is_live(now_s):
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

    def must_follow_store(self, name: str, zone: str, now_s: float) -> bool:
        """Whether the node `name` has to read the store itself.

        In each zone the first nodes of a rank do, which passes over those without answers. A node
        that hears nobody outside its zone finds out for itself whether it is cut off.
        """
        following = 0
        hears_outside = False
        for peer in self.live(now_s):
            if peer.zone != zone:
                hears_outside = True
            elif peer.follows_store and not peer.stopping and _rank(peer.name) < _rank(name):
                following += 1
        return following < STORE_FOLLOWERS or not hears_outside


def _rank(name: str) -> int:
    return xxh3_64_intdigest(name.encode())
