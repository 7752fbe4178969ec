"""Peers that are found by address and known by what they last said.

Nodes have no names beforehand. A peer is live while it is heard; it counts towards the assumed
size of the fleet for longer, since a peer that cannot be heard may still serve callers.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

# A peer is live for this long after its last message, or for several of its intervals between
# messages if that is longer, so that a few lost datagrams do not matter.
LIVE_TIMEOUT_S = 1.5
_LIVE_TIMEOUT_INTERVALS = 4.0
# A message of an earlier process arrives this much later at most. After a longer silence a lower
# incarnation is a new process whose clock was set back.
_MAX_REORDERING_S = 0.5
# Nodes of an availability zone that read the published store; the others follow them, since the
# store counts every read. A second one takes over when the first is lost.
STORE_FOLLOWERS_PER_ZONE = 2
# A silent peer counts towards the size of the fleet for this long.
PEER_EXPIRY_S = 60.0
# Nodes assumed before the first peers had time to answer: more than either fleet of today has.
ASSUMED_NODES_AT_START = 16
DISCOVERY_PERIOD_S = 2.0


@dataclass(slots=True)
class Peer:
    """One process of another node."""

    name: str
    address: str
    zone: str
    incarnation: int
    sequence: int
    last_seen_s: float
    revision: int
    stopping: bool
    follows_store: bool = False
    interval_s: float = 0.0
    # Requests that wait there, by service.
    waiting: Mapping[str, int] = field(default_factory=dict)

    def is_live(self, now_s: float) -> bool:
        """Whether the peer was heard a short time ago."""
        return now_s - self.last_seen_s <= max(
            LIVE_TIMEOUT_S, _LIVE_TIMEOUT_INTERVALS * self.interval_s
        )


class Roster:
    """Peers by name."""

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.peers: dict[str, Peer] = {}

    def record_message(self, heard: Peer) -> str:
        """Takes in a peer's message; returns "old", "known", "joined" or "restarted"."""
        known = self.peers.get(heard.name)
        if known is None:
            self.peers[heard.name] = heard
            return "joined"
        silent_s = heard.last_seen_s - known.last_seen_s
        if heard.incarnation < known.incarnation and silent_s < _MAX_REORDERING_S:
            return "old"
        if heard.incarnation == known.incarnation:
            if heard.sequence <= known.sequence:
                return "old"
            was_live = known.is_live(heard.last_seen_s)
            self.peers[heard.name] = heard
            return "known" if was_live else "back"
        self.peers[heard.name] = heard
        return "restarted"

    def live_peers(self, now_s: float) -> Iterator[Peer]:
        """Yields the peers that were heard a short time ago."""
        for peer in self.peers.values():
            if peer.is_live(now_s):
                yield peer

    def lost_peers(self, now_s: float) -> Iterator[Peer]:
        """Yields the peers that fell silent."""
        for peer in self.peers.values():
            if not peer.is_live(now_s):
                yield peer

    def remove_expired_peers(self, now_s: float) -> None:
        """Drops peers that said they stop, once silent, and those silent for very long."""
        for peer in list(self.lost_peers(now_s)):
            silent_s = now_s - peer.last_seen_s
            if peer.stopping or silent_s > PEER_EXPIRY_S:
                del self.peers[peer.name]

    def fleet_size(self, now_s: float) -> int:
        """Returns how many nodes to assume for bounds that hold over the fleet."""
        known = len(self.peers) + 1
        if now_s - self.started_s < DISCOVERY_PERIOD_S:
            return max(ASSUMED_NODES_AT_START, known)
        return known

    def must_follow_store(self, name: str, zone: str, now_s: float) -> bool:
        """Whether the node `name` has to read the store itself.

        In each zone the first nodes of a rank do, which passes over those without answers. A node
        that hears nobody outside its zone finds out for itself whether it is cut off.
        """
        following = 0
        hears_outside = False
        for peer in self.live_peers(now_s):
            if peer.zone != zone:
                hears_outside = True
            elif peer.follows_store and not peer.stopping and _rank(peer.name) < _rank(name):
                following += 1
        return following < STORE_FOLLOWERS_PER_ZONE or not hears_outside


def _rank(name: str) -> int:
    return xxh3_64_intdigest(name.encode())
