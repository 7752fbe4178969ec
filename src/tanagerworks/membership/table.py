"""The node table: newest entry and heartbeat of every node, merged from exchanges."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from tanagerworks.membership.entries import LIVE_STATES, Entry, Liveness, Version
from tanagerworks.membership.packed_heartbeats import (
    UNKNOWN_HEARTBEAT,
    heartbeat_advance,
    pack_heartbeats,
)

# Tags, numbers and lengths of an entry inside a message, besides the name and the payload.
_ENTRY_OVERHEAD_BYTES = 28
# Nodes outside the release note are forgotten this long after their last heartbeat, so that the
# table stays bounded while VMs are replaced.
_NODE_EXPIRY_S = 600.0


@dataclass(slots=True)
class Member:
    """The newest that is known of a node.

    `heartbeat` may be ahead of the entry's own: an entry is sent only when its content changes.
    """

    entry: Entry
    heartbeat: int
    heartbeat_advanced_at_s: float
    # An earlier process of the node ended without a clean stop.
    unclean_predecessor: bool = False


class NodeTable:
    """State of all nodes as one node has received it; pure, the caller passes the time.

    Times are in seconds on a clock that also counts while the VM is suspended.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        random: Random,
        *,
        heartbeat_period_s: float = 1.0,
        suspect_after_s: float = 5.0,
        dead_after_s: float = 15.0,
    ) -> None:
        self.random = random
        self.heartbeat_period_s = heartbeat_period_s
        self.suspect_after_s = suspect_after_s
        self.dead_after_s = dead_after_s
        self.own_entry = Entry(node_id, (incarnation, 1))
        self.heartbeat = 1
        self.members: dict[str, Member] = {}
        # Version last sent to or received from a peer, by peer and node.
        self.shared_versions: dict[str, dict[str, Version]] = {}

    @property
    def node_id(self) -> str:
        """Name of the node itself."""
        return self.own_entry.node_id

    # The node itself.

    def advance_heartbeat(self) -> None:
        """Advances the own heartbeat."""
        self.heartbeat += 1

    def set_own_entry(
        self, payload: bytes, *, leaving: bool = False, clean_stop: bool = False
    ) -> None:
        """Replaces the own entry if its content changed."""
        own = self.own_entry
        if (payload, leaving, clean_stop) == (own.payload, own.leaving, own.clean_stop):
            return
        # Two contents must not share a version.
        self.heartbeat = max(self.heartbeat, own.version[1] + 1)
        version = (own.incarnation, self.heartbeat)
        self.own_entry = Entry(self.node_id, version, leaving, clean_stop, payload)

    def raise_incarnation(self, incarnation: int) -> None:
        """Takes a higher number, after peers reported one at or above the own."""
        if incarnation <= self.own_entry.incarnation:
            return
        own = self.own_entry
        version = (incarnation, self.heartbeat)
        self.own_entry = Entry(self.node_id, version, own.leaving, own.clean_stop, own.payload)

    # What peers tell.

    def merge_entry(self, entry: Entry, heartbeat: int, peer: str, now_s: float) -> bool:
        """Takes an entry that `peer` sent; returns whether it is news of another node."""
        if entry.node_id == self.node_id:
            if entry.incarnation > self.own_entry.incarnation:
                # A predecessor that no peer reported at the start; its entry must not win.
                self.raise_incarnation(entry.incarnation + 1)
            return False
        self.shared_versions.setdefault(peer, {})[entry.node_id] = entry.version
        member = self.members.get(entry.node_id)
        if member is None:
            self.members[entry.node_id] = Member(entry, heartbeat, now_s)
            return True
        if entry.incarnation > member.entry.incarnation:
            unclean = not member.entry.clean_stop
            self.members[entry.node_id] = Member(entry, heartbeat, now_s, unclean)
            return True
        if entry.incarnation < member.entry.incarnation:
            return False
        if heartbeat > member.heartbeat:
            member.heartbeat = heartbeat
            member.heartbeat_advanced_at_s = now_s
        if entry.version <= member.entry.version:
            return False
        member.entry = entry
        return True

    def merge_heartbeats(self, node_ids: Sequence[str], packed: bytes, now_s: float) -> None:
        """Takes the heartbeats that a peer with the same node_ids packed."""
        for node_id, pulse in zip(node_ids, packed, strict=False):
            member = self.members.get(node_id)
            if member is None or pulse == UNKNOWN_HEARTBEAT:
                continue
            elapsed_periods = (now_s - member.heartbeat_advanced_at_s) / self.heartbeat_period_s
            ahead = heartbeat_advance(member.heartbeat, pulse, elapsed_periods)
            if ahead:
                member.heartbeat += ahead
                member.heartbeat_advanced_at_s = now_s

    # What peers are told.

    def packed_heartbeats(self, node_ids: Sequence[str], now_s: float) -> bytes:
        """Returns the heartbeats of the nodes of `node_ids`, one byte each."""
        return pack_heartbeats(self._heartbeat_of(node_id, now_s) for node_id in node_ids)

    def _heartbeat_of(self, node_id: str, now_s: float) -> int | None:
        if node_id == self.node_id:
            return self.heartbeat
        member = self.members.get(node_id)
        if member is None or now_s - member.heartbeat_advanced_at_s > self.dead_after_s:
            return None
        return member.heartbeat

    def updates_for(
        self,
        peer: str,
        node_ids: Sequence[str],
        peer_heartbeats: bytes,
        max_bytes: int,
        now_s: float,
    ) -> list[tuple[Entry, int]]:
        """Returns entries with heartbeats that the peer lacks, at most `max_bytes` of them.

        The own entry goes first, then nodes that the peer does not know, then a random choice of
        those that changed, so that under a tight bound every change gets its turn. A first entry
        may be over the bound alone.
        """
        unknown = {
            node_id
            for node_id, pulse in zip(node_ids, peer_heartbeats, strict=False)
            if pulse == UNKNOWN_HEARTBEAT and node_id != peer
        }
        shared = self.shared_versions.setdefault(peer, {})
        oldest_s = now_s - self.dead_after_s
        urgent, changed = [], []
        for node_id, member in self.members.items():
            if node_id == peer or member.heartbeat_advanced_at_s < oldest_s:
                continue
            if node_id in unknown:
                urgent.append(member)
            elif shared.get(node_id) != member.entry.version:
                changed.append(member)
        most = max_bytes // _ENTRY_OVERHEAD_BYTES + 1
        waiting = self.random.sample(urgent, min(len(urgent), most))
        waiting += self.random.sample(changed, min(len(changed), most))
        news = [(member.entry, member.heartbeat) for member in waiting]
        if not news and self.members:
            # A lost answer leaves an entry marked as shared; sending one at random repairs that.
            member = self.members[self.random.choice(list(self.members))]
            if now_s - member.heartbeat_advanced_at_s <= self.dead_after_s:
                news.append((member.entry, member.heartbeat))
        if shared.get(self.node_id) != self.own_entry.version or self.node_id in unknown:
            news.insert(0, (self.own_entry, self.heartbeat))
        chosen: list[tuple[Entry, int]] = []
        size = 0
        for entry, heartbeat in news:
            size += len(entry.payload) + len(entry.node_id) + _ENTRY_OVERHEAD_BYTES
            if chosen and size > max_bytes:
                break
            chosen.append((entry, heartbeat))
            shared[entry.node_id] = entry.version
        return chosen

    def mark_undelivered(self, peer: str, entries: Iterable[Entry]) -> None:
        """Marks entries for another attempt after a failed exchange."""
        shared = self.shared_versions.get(peer, {})
        for entry in entries:
            shared.pop(entry.node_id, None)

    # Judgement.

    def liveness(self, node_id: str, now_s: float) -> Liveness:
        """Returns how a node looks; an unknown one counts as dead."""
        if node_id == self.node_id:
            return Liveness.ALIVE
        member = self.members.get(node_id)
        if member is None:
            return Liveness.DEAD
        if member.entry.clean_stop:
            return Liveness.STOPPED
        silent_s = now_s - member.heartbeat_advanced_at_s
        if silent_s > self.dead_after_s:
            return Liveness.DEAD
        if silent_s > self.suspect_after_s:
            return Liveness.SUSPECT
        return Liveness.ALIVE

    def live_nodes(self, node_ids: Iterable[str], now_s: float) -> list[str]:
        """Returns the nodes that are alive or only suspect."""
        return [node_id for node_id in node_ids if self.liveness(node_id, now_s) in LIVE_STATES]

    def predecessor(self, node_id: str, incarnation: int) -> tuple[int, bool]:
        """Returns the highest number known of a node, and whether a process ended uncleanly.

        Asked by the process `incarnation` of that node about itself and those before it.
        """
        member = self.members.get(node_id)
        if member is None:
            return 0, False
        if member.entry.incarnation == incarnation:
            return incarnation, member.unclean_predecessor
        return member.entry.incarnation, not member.entry.clean_stop

    def cleanly_stopped_nodes(self) -> list[str]:
        """Returns the nodes that have stopped cleanly."""
        return [name for name, member in self.members.items() if member.entry.clean_stop]

    def remove_expired_nodes(self, node_ids: Iterable[str], now_s: float) -> list[str]:
        """Drops nodes outside `node_ids`, the release note, that are long gone; returns them."""
        kept = set(node_ids)
        gone = [
            node_id
            for node_id, member in self.members.items()
            if node_id not in kept and now_s - member.heartbeat_advanced_at_s > _NODE_EXPIRY_S
        ]
        for node_id in gone:
            del self.members[node_id]
        self.shared_versions = {
            peer: {name: v for name, v in versions.items() if name not in gone}
            for peer, versions in self.shared_versions.items()
            if peer in self.members
        }
        return gone
