"""The node table: newest entry and heartbeat of every node, merged from gossip messages.

Entries and heartbeats spread by anti-entropy gossip: a pair of nodes exchanges what the other one
lacks. A node whose heartbeat no longer advances is first suspect, then dead.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from tanagerworks.membership.entries import LIVE_STATES, Entry, EntryVersion, Liveness
from tanagerworks.membership.packed_heartbeats import (
    UNKNOWN_HEARTBEAT,
    heartbeat_advance,
    pack_heartbeats,
)

# Encoded size of an entry in a message without its name and payload: field tags, numbers, lengths.
_ENTRY_OVERHEAD_BYTES = 28
# A node that is not in the release note is removed this long after its heartbeat last advanced, so
# that the table stays bounded while VMs are replaced.
_NODE_EXPIRY_S = 600.0


@dataclass(slots=True)
class Member:
    """Newest entry and heartbeat that were received for another node.

    `heartbeat` may be ahead of the heartbeat in `entry.version`, since an entry is announced again
    only when its content changes. `heartbeat_advanced_at_s` is the local time of the last advance.
    """

    entry: Entry
    heartbeat: int
    heartbeat_advanced_at_s: float
    # The previous process of the node ended without a clean stop.
    unclean_predecessor: bool = False


class NodeTable:
    """State of all nodes as one node has received it; does no I/O and reads no clock.

    Times are passed in, in seconds of a clock that also counts while the VM is suspended. A node
    whose heartbeat has not advanced is suspect after `suspect_after_s` and dead after
    `dead_after_s`.
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
        # By peer and node: version of the entry last sent to or received from the peer.
        self.shared_versions: dict[str, dict[str, EntryVersion]] = {}

    @property
    def node_id(self) -> str:
        """Id of this node."""
        return self.own_entry.node_id

    # State of this node.

    def advance_heartbeat(self) -> None:
        """Advances the heartbeat of this node by one."""
        self.heartbeat += 1

    def set_own_entry(
        self, payload: bytes, *, leaving: bool = False, clean_stop: bool = False
    ) -> None:
        """Replaces the entry of this node if its content has changed."""
        own = self.own_entry
        if (payload, leaving, clean_stop) == (own.payload, own.leaving, own.clean_stop):
            return
        # Peers ignore an entry whose version they have, so new content needs a new version.
        self.heartbeat = max(self.heartbeat, own.version[1] + 1)
        version = (own.incarnation, self.heartbeat)
        self.own_entry = Entry(self.node_id, version, leaving, clean_stop, payload)

    def raise_incarnation(self, incarnation: int) -> None:
        """Raises the incarnation of this node; a value that is not higher is ignored.

        Called so that the entries of this process replace those of an earlier process whose
        incarnation, as reported by a peer, is at least as high.
        """
        if incarnation <= self.own_entry.incarnation:
            return
        own = self.own_entry
        version = (incarnation, self.heartbeat)
        self.own_entry = Entry(self.node_id, version, own.leaving, own.clean_stop, own.payload)

    # State received from peers.

    def merge_entry(self, entry: Entry, heartbeat: int, peer: str, now_s: float) -> bool:
        """Merges an entry and a heartbeat received from `peer`.

        Returns whether the stored entry of another node changed.
        """
        if entry.node_id == self.node_id:
            if entry.incarnation > self.own_entry.incarnation:
                # No peer reported this predecessor when this process started. Without a higher
                # incarnation its old entry would replace that of this process on all nodes.
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
        """Merges packed heartbeats received from a peer.

        The peer must have packed them for the same `node_ids`: compare `hash_node_ids` first.
        """
        for node_id, value in zip(node_ids, packed, strict=False):
            member = self.members.get(node_id)
            if member is None or value == UNKNOWN_HEARTBEAT:
                continue
            elapsed_periods = (now_s - member.heartbeat_advanced_at_s) / self.heartbeat_period_s
            advance = heartbeat_advance(member.heartbeat, value, elapsed_periods)
            if advance:
                member.heartbeat += advance
                member.heartbeat_advanced_at_s = now_s

    # Updates sent to peers.

    def packed_heartbeats(self, node_ids: Sequence[str], now_s: float) -> bytes:
        """Returns the heartbeats of the sorted `node_ids`, one byte each."""
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
        """Returns entries to send to `peer`, each with its heartbeat, and marks them as sent to it.

        `peer_heartbeats` are the peer's packed heartbeats of `node_ids`. If they are not available,
        or the peer packed them for other nodes, `node_ids` is empty.

        The entry of this node comes first if the peer lacks it, then those of nodes that the peer
        does not know, then changed ones, each group in random order, so that every entry is sent
        eventually if they don't fit into one message. If both groups are empty, the entry of a
        random node is added, unless that node is dead. The entries have at most `max_bytes` in
        total, but the first one is returned even if it alone exceeds them.

        Call `mark_undelivered` if the exchange with the peer fails.
        """
        unknown_ids = {
            node_id
            for node_id, value in zip(node_ids, peer_heartbeats, strict=False)
            if value == UNKNOWN_HEARTBEAT and node_id != peer
        }
        shared = self.shared_versions.setdefault(peer, {})
        oldest_s = now_s - self.dead_after_s
        unknown, changed = [], []
        for node_id, member in self.members.items():
            if node_id == peer or member.heartbeat_advanced_at_s < oldest_s:
                continue
            if node_id in unknown_ids:
                unknown.append(member)
            elif shared.get(node_id) != member.entry.version:
                changed.append(member)
        max_entries = max_bytes // _ENTRY_OVERHEAD_BYTES + 1
        candidates = self.random.sample(unknown, min(len(unknown), max_entries))
        candidates += self.random.sample(changed, min(len(changed), max_entries))
        updates = [(member.entry, member.heartbeat) for member in candidates]
        if not updates and self.members:
            # An entry in a lost reply stays marked as sent; a random one corrects that eventually.
            member = self.members[self.random.choice(list(self.members))]
            if now_s - member.heartbeat_advanced_at_s <= self.dead_after_s:
                updates.append((member.entry, member.heartbeat))
        if shared.get(self.node_id) != self.own_entry.version or self.node_id in unknown_ids:
            updates.insert(0, (self.own_entry, self.heartbeat))
        chosen: list[tuple[Entry, int]] = []
        size = 0
        for entry, heartbeat in updates:
            size += len(entry.payload) + len(entry.node_id) + _ENTRY_OVERHEAD_BYTES
            if chosen and size > max_bytes:
                break
            chosen.append((entry, heartbeat))
            shared[entry.node_id] = entry.version
        return chosen

    def mark_undelivered(self, peer: str, entries: Iterable[Entry]) -> None:
        """Marks entries of a failed exchange with `peer` to be sent again."""
        shared = self.shared_versions.get(peer, {})
        for entry in entries:
            shared.pop(entry.node_id, None)

    # Failure detector.

    def liveness(self, node_id: str, now_s: float) -> Liveness:
        """Returns the state of a node; an unknown node is dead, this node itself is alive."""
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
        """Returns those of `node_ids` that are alive or suspect, in the same order."""
        return [node_id for node_id in node_ids if self.liveness(node_id, now_s) in LIVE_STATES]

    def predecessor_state(self, node_id: str, incarnation: int) -> tuple[int, bool]:
        """Returns what is known about the process of a node before the one with `incarnation`.

        The result is the node's highest known incarnation and whether the earlier process ended
        without a clean stop. The first value is `incarnation` itself if the entry of the present
        process has already been received. For an unknown node the result is (0, False).
        """
        member = self.members.get(node_id)
        if member is None:
            return 0, False
        if member.entry.incarnation == incarnation:
            return incarnation, member.unclean_predecessor
        return member.entry.incarnation, not member.entry.clean_stop

    def cleanly_stopped_nodes(self) -> list[str]:
        """Returns the ids of the nodes whose process announced its end after all its work."""
        return [name for name, member in self.members.items() if member.entry.clean_stop]

    def remove_expired_nodes(self, node_ids: Iterable[str], now_s: float) -> list[str]:
        """Removes nodes not in `node_ids` whose heartbeat last advanced over `_NODE_EXPIRY_S` ago.

        `node_ids` are the nodes of the release note, which are always kept. Returns the ids of the
        removed nodes.
        """
        kept = set(node_ids)
        expired = [
            node_id
            for node_id, member in self.members.items()
            if node_id not in kept and now_s - member.heartbeat_advanced_at_s > _NODE_EXPIRY_S
        ]
        for node_id in expired:
            del self.members[node_id]
        self.shared_versions = {
            peer: {name: version for name, version in versions.items() if name not in expired}
            for peer, versions in self.shared_versions.items()
            if peer in self.members
        }
        return expired
