"""Builds and applies the messages of the gossip between agents."""

from collections.abc import Callable, Iterable

from tanagerworks.membership.entries import LIVE_STATES, Entry
from tanagerworks.membership.packed_heartbeats import hash_node_ids
from tanagerworks.membership.table import NodeTable
from tanagerworks.note.model import Note
from tanagerworks.rpc.tanager_pb2 import ExchangeReply, ExchangeRequest, NodeEntry

# In a large fleet an entry takes several seconds to reach all nodes, so renewing it every second
# would cost CPU time without benefit. Heartbeats still advance in every round.
_LARGE_FLEET_NODES = 64
_LARGE_FLEET_RENEWAL_ROUNDS = 3


class Gossip:
    """Converts between the node table and messages; used on the event loop only.

    `fill_entry` writes the scheduler's part of this node's entry, `apply_entry` applies the entry
    of a live peer, and `forget_node` is called when a node is dead or has stopped.
    """

    def __init__(
        self,
        table: NodeTable,
        clock: Callable[[], float],
        *,
        max_entry_bytes: int,
        fill_entry: Callable[[NodeEntry], None],
        apply_entry: Callable[[NodeEntry], None],
        forget_node: Callable[[str], None],
    ) -> None:
        self.table = table
        self.clock = clock
        self.max_entry_bytes = max_entry_bytes
        self.fill_entry = fill_entry
        self.apply_entry = apply_entry
        self.forget_node = forget_node
        self.live_nodes: set[str] = set()
        self.roster: list[str] = []
        self.roster_hash = hash_node_ids([])
        self.addresses: dict[str, str] = {}
        self.note_serial = 0
        self.rounds_until_renewal = 1
        self.leaving = False
        self.clean_stop = False

    def set_note(self, note: Note) -> None:
        """Uses the nodes of a new note; the next round renews this node's entry."""
        nodes = note.statement.nodes
        self.roster = sorted(nodes)
        self.roster_hash = hash_node_ids(self.roster)
        self.addresses = {name: node.peer_address for name, node in nodes.items()}
        self.note_serial = note.serial
        self.rounds_until_renewal = 0

    def advance_round(self) -> None:
        """Advances this node's heartbeat, renews its entry if due and updates the live nodes."""
        self.table.advance_heartbeat()
        self.rounds_until_renewal -= 1
        if self.rounds_until_renewal <= 0:
            self.renew_own_entry()
        now_s = self.clock()
        live = set(self.table.live_nodes(self.table.members, now_s))
        for node_id in sorted(self.live_nodes - live):
            self.forget_node(node_id)
        for node_id in sorted(live - self.live_nodes):
            # After a partition, a node may be alive again without a change of its entry.
            member = self.table.members[node_id]
            self.apply_entry(_entry_message(member.entry, member.heartbeat))
        self.live_nodes = live

    def renew_own_entry(self) -> None:
        """Rebuilds this node's entry from the scheduler's state."""
        large = len(self.roster) > _LARGE_FLEET_NODES
        self.rounds_until_renewal = _LARGE_FLEET_RENEWAL_ROUNDS if large else 1
        entry = NodeEntry()
        self.fill_entry(entry)
        entry.note_serial = self.note_serial
        payload = entry.SerializeToString(deterministic=True)
        self.table.set_own_entry(payload, leaving=self.leaving, clean_stop=self.clean_stop)

    def build_request(self, peer: str) -> tuple[ExchangeRequest, list[Entry]]:
        """Returns the message for `peer` and the entries in it.

        What the peer lacks is not known before its reply, so only recent changes are sent.
        """
        now_s = self.clock()
        updates = self.table.updates_for(peer, (), b"", self.max_entry_bytes, now_s)
        request = ExchangeRequest(
            sender=self.table.node_id,
            incarnation=self.table.own_entry.incarnation,
            entries=_entry_messages(updates),
            roster=self.roster_hash,
            pulses=self.table.packed_heartbeats(self.roster, now_s),
            note_serial=self.note_serial,
        )
        return request, [entry for entry, _heartbeat in updates]

    def handle_request(self, request: ExchangeRequest) -> ExchangeReply:
        """Merges a peer's message and returns the reply."""
        now_s = self.clock()
        highest, unclean = self.table.predecessor_state(request.sender, request.incarnation)
        reply = ExchangeReply(
            highest_incarnation=highest,
            unclean_predecessor=unclean,
            note_serial=self.note_serial,
        )
        if request.survey:
            reply.sender = self.table.node_id
            return reply
        self._merge_entries(request.sender, request.entries)
        same_roster = request.roster == self.roster_hash
        if same_roster:
            self.table.merge_heartbeats(self.roster, request.pulses, now_s)
        updates = self.table.updates_for(
            request.sender,
            self.roster if same_roster else (),
            request.pulses,
            self.max_entry_bytes,
            now_s,
        )
        reply.entries.extend(_entry_messages(updates))
        reply.roster = self.roster_hash
        reply.pulses = self.table.packed_heartbeats(self.roster, now_s)
        return reply

    def apply_reply(self, peer: str, reply: ExchangeReply) -> None:
        """Merges the reply of `peer`."""
        self._merge_entries(peer, reply.entries)
        if reply.roster == self.roster_hash:
            self.table.merge_heartbeats(self.roster, reply.pulses, self.clock())

    def _merge_entries(self, peer: str, entries: Iterable[NodeEntry]) -> None:
        now_s = self.clock()
        for message in entries:
            entry = _parse_entry(message)
            # In a message, `pulse` is the newest heartbeat of the node and `heartbeat` the one at
            # which its entry was written.
            if not self.table.merge_entry(
                entry, max(message.pulse, message.heartbeat), peer, now_s
            ):
                continue
            if self.table.liveness(entry.node_id, now_s) in LIVE_STATES:
                self.live_nodes.add(entry.node_id)
                self.apply_entry(message)


def _parse_entry(message: NodeEntry) -> Entry:
    body = NodeEntry()
    body.CopyFrom(message)
    # An Entry has these beside the payload, so that a table compares and relays without decoding.
    for name in ("node_id", "incarnation", "heartbeat", "pulse", "leaving", "clean_stop"):
        body.ClearField(name)
    return Entry(
        message.node_id,
        (message.incarnation, message.heartbeat),
        message.leaving,
        message.clean_stop,
        body.SerializeToString(deterministic=True),
    )


def _entry_message(entry: Entry, heartbeat: int) -> NodeEntry:
    message = NodeEntry.FromString(entry.payload)
    message.node_id = entry.node_id
    message.incarnation, message.heartbeat = entry.version
    message.pulse = heartbeat
    message.leaving = entry.leaving
    message.clean_stop = entry.clean_stop
    return message


def _entry_messages(updates: Iterable[tuple[Entry, int]]) -> list[NodeEntry]:
    return [_entry_message(entry, heartbeat) for entry, heartbeat in updates]
