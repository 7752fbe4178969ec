"""The peers of a node, discovered by address, with the state that each announced last.

No list of node names is configured. A peer is live while its messages arrive. It counts towards the
assumed size of the fleet for longer, since a peer behind a network partition may still serve
callers.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest, xxh32_intdigest

# A peer is live for this time after its last message or for this number of its message intervals,
# whichever is longer, so that the loss of a few datagrams has no effect. After that it is lost.
LIVE_TIMEOUT_S = 1.5
_LIVE_TIMEOUT_INTERVALS = 4.0
# Datagrams of an earlier process of a peer may arrive this long after those of a later one. A lower
# incarnation that arrives after a longer pause is a new process whose clock was set back.
_MAX_REORDERING_S = 0.5
# Nodes per availability zone that follow the published store themselves. The other nodes get its
# changes from peers, since each read of the store has a price. In a fleet of one or two zones, a
# second follower covers the loss of the first; in a larger one, those of the other zones do.
STORE_FOLLOWERS_PER_ZONE = 2
_ZONES_WITH_ONE_FOLLOWER = 3
# A lost peer counts towards the size of the fleet for this time after its last message.
PEER_EXPIRY_S = 60.0
# Minimum size of the fleet that is assumed until peers had time to answer, so that a new node does
# not use limits of the whole fleet for itself alone. In a larger fleet, a new node uses more than
# its share until it has received messages of its peers.
ASSUMED_NODES_AT_START = 16
# Time after the start in which peers are discovered.
DISCOVERY_PERIOD_S = 2.0


@dataclass(slots=True)
class Peer:
    """State of another node's process as received in its last message.

    `incarnation` orders the processes of a node, `sequence` the messages of one process. `era` and
    `revision` are those of the peer's copy of the published store. `message_interval_s` is the
    longest time until its next message to this node, as announced by the peer in this message.
    """

    name: str
    address: str
    zone: str
    incarnation: int
    sequence: int
    last_seen_s: float
    revision: int
    stopping: bool
    follows_store: bool = False
    message_interval_s: float = 0.0
    # Requests in the peer's queues of all priorities, by service.
    queued_requests: Mapping[str, int] = field(default_factory=dict)
    # 0 if the peer does not state it.
    era: int = 0
    # Version of the peer's configuration in force.
    configuration_version: int = 0
    # Event loop time of this node up to which the peer's copy of the store has all changes.
    copy_confirmed_s: float = float("-inf")
    # Whether the peer is cut off from all backend servers.
    reaches_no_server: bool = False
    # Port at which the peer takes forwarded requests, at the host of its address; 0 for none.
    forwarding_port: int = 0

    def is_live(self, now_s: float) -> bool:
        """Returns whether the last message of the peer arrived recently."""
        return now_s - self.last_seen_s <= max(
            LIVE_TIMEOUT_S, _LIVE_TIMEOUT_INTERVALS * self.message_interval_s
        )


class PeerTable:
    """The peers of a node by name, each with the state of its last message.

    Times are in seconds of the event loop's clock; `started_s` is the start of this node.
    """

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.peers: dict[str, Peer] = {}
        # Addresses of the peers, also of lost ones.
        self.addresses: set[str] = set()
        # Names of peers by `name_hash`.
        self.names_by_hash: dict[int, str] = {}
        # Requests queued in other zones by service, by zone, as their last summaries state.
        self.queued_by_zone: dict[str, Mapping[str, int]] = {}

    def record_message(self, received: Peer) -> str:
        """Records a peer's state from a message; returns how the state of the peer changed.

        The result is "joined" for the first message of a peer, "known" for the next message of a
        live peer, "back" for one of a lost peer, and "restarted" for the first message of a new
        process of a peer. It is "old" for a message that arrives after a later one; its state is
        ignored.
        """
        known = self.peers.get(received.name)
        self.names_by_hash[name_hash(received.name)] = received.name
        self.addresses.add(received.address)
        if known is None:
            self.peers[received.name] = received
            return "joined"
        silent_s = received.last_seen_s - known.last_seen_s
        if received.incarnation < known.incarnation and silent_s < _MAX_REORDERING_S:
            return "old"
        if received.incarnation == known.incarnation:
            if received.sequence <= known.sequence:
                return "old"
            was_live = known.is_live(received.last_seen_s)
            self.peers[received.name] = received
            return "known" if was_live else "back"
        self.peers[received.name] = received
        return "restarted"

    def record_members(
        self, zone: str, hashes: Iterable[int], now_s: float, interval_s: float
    ) -> None:
        """Records that a node of another zone hears these peers of its zone, by `name_hash`.

        The next such message is expected within `interval_s`. Unknown peers are left out; their own
        messages introduce them.
        """
        for member in hashes:
            peer = self.peers.get(self.names_by_hash.get(member, ""))
            if peer is not None and peer.zone == zone:
                peer.last_seen_s = now_s
                peer.message_interval_s = interval_s

    def queued_requests(self, service: str, now_s: float) -> int:
        """Returns the requests that peers have queued for a service."""
        at_peers = sum(peer.queued_requests.get(service, 0) for peer in self.live_peers(now_s))
        return at_peers + sum(queued.get(service, 0) for queued in self.queued_by_zone.values())

    def record_pause(self, paused_s: float) -> None:
        """Leaves the time in which this node was paused out of the silence of its peers.

        Their messages of this time are still to be read, or were dropped by the paused node.
        """
        for peer in self.peers.values():
            peer.last_seen_s += paused_s

    def live_peers(self, now_s: float) -> Iterator[Peer]:
        """Yields the peers whose last message arrived recently."""
        for peer in self.peers.values():
            if peer.is_live(now_s):
                yield peer

    def forwarding_peers(self, now_s: float) -> Iterator[Peer]:
        """Yields the live peers that take forwarded requests and reach servers."""
        for peer in self.live_peers(now_s):
            if peer.forwarding_port and not (peer.stopping or peer.reaches_no_server):
                yield peer

    def lost_peers(self, now_s: float) -> Iterator[Peer]:
        """Yields the peers from which no message has arrived recently."""
        for peer in self.peers.values():
            if not peer.is_live(now_s):
                yield peer

    def remove_expired_peers(self, now_s: float) -> None:
        """Removes lost peers that announced a stop or were last seen over `PEER_EXPIRY_S` ago."""
        for peer in list(self.lost_peers(now_s)):
            silent_s = now_s - peer.last_seen_s
            if peer.stopping or silent_s > PEER_EXPIRY_S:
                del self.peers[peer.name]
                self.names_by_hash.pop(name_hash(peer.name), None)
                self.addresses.discard(peer.address)

    def assumed_fleet_size(self, now_s: float) -> int:
        """Returns the number of nodes to divide limits of the fleet by, including this node.

        Lost peers are counted until they expire, as they may still serve callers. During the first
        `DISCOVERY_PERIOD_S`, the result is at least `ASSUMED_NODES_AT_START`.
        """
        known = len(self.peers) + 1
        if now_s - self.started_s < DISCOVERY_PERIOD_S:
            return max(ASSUMED_NODES_AT_START, known)
        return known

    def must_follow_store(self, name: str, zone: str, now_s: float) -> bool:
        """Returns whether this node, called `name`, has to follow the store itself.

        In each zone, the nodes with the lowest hash follow the store: one if live peers are in
        enough other zones, otherwise `STORE_FOLLOWERS_PER_ZONE`. Peers to which the store does not
        respond are skipped. A node that receives no messages from other zones follows the store as
        well, to detect whether it is isolated.
        """
        followers_before = 0
        zones = {zone}
        for peer in self.live_peers(now_s):
            if peer.zone != zone:
                zones.add(peer.zone)
            elif peer.follows_store and not peer.stopping and _rank(peer.name) < _rank(name):
                followers_before += 1
        if len(zones) == 1:
            return True
        needed = 1 if len(zones) >= _ZONES_WITH_ONE_FOLLOWER else STORE_FOLLOWERS_PER_ZONE
        return followers_before < needed


def name_hash(name: str) -> int:
    """Returns the 32-bit hash that identifies a node in summaries of zones."""
    return xxh32_intdigest(name.encode())


def _rank(name: str) -> int:
    return xxh3_64_intdigest(name.encode())
