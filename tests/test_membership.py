"""Node table, gossip and peer selection, alone and in simulated fleets with a fake clock."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerworks.agent.gossip import Gossip
from tanagerworks.membership.entries import Entry, Liveness, next_incarnation
from tanagerworks.membership.packed_heartbeats import heartbeat_advance, pack_heartbeats
from tanagerworks.membership.peer_selection import PeerRotation, select_peers
from tanagerworks.membership.table import NodeTable
from tanagerworks.note.model import Note
from tests.builders import note_document


class _Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


def _build_note(count, serial=1):
    nodes = {
        f"n{number:03}": {
            "zone": "sfax-medina",
            "peer_address": f"10.0.{number // 200}.{number % 200 + 1}:7000",
        }
        for number in range(count)
    }
    return Note.model_validate(note_document(serial, nodes=nodes))


class _SimulatedFleet:
    """Gossip of several nodes without a network.

    `is_partitioned` returns whether exchanges between two nodes fail.
    """

    def __init__(self, count, seed=1, max_entry_bytes=300):
        self.clock = _Clock()
        self.random = Random(seed)
        self.note = _build_note(count)
        self.applied = {}
        self.forgotten = {}
        self.max_entry_bytes = max_entry_bytes
        self.nodes = {name: self._build_gossip(name, 100) for name in self.note.statement.nodes}
        self.rotations = {name: PeerRotation(self.random) for name in self.nodes}
        self.is_partitioned = lambda one, other: False
        self.largest_message_bytes = 0

    def _build_gossip(self, name, incarnation):
        self.applied[name], self.forgotten[name] = {}, []
        gossip = Gossip(
            NodeTable(name, incarnation, self.random),
            self.clock,
            max_entry_bytes=self.max_entry_bytes,
            fill_entry=lambda entry: entry.exceptions.add(chat_hash=len(name)),
            apply_entry=lambda entry: self.applied[name].update({entry.node_id: entry}),
            forget_node=self.forgotten[name].append,
        )
        gossip.set_note(self.note)
        return gossip

    def restart(self, name, incarnation):
        self.nodes[name] = self._build_gossip(name, incarnation)

    def run_round(self, stopped=()):
        self.clock.now_s += 1.0
        for name, gossip in self.nodes.items():
            if name not in stopped:
                gossip.advance_round()
        for name, gossip in self.nodes.items():
            if name in stopped:
                continue
            rotation = self.rotations[name]
            rotation.set_peers(select_peers(name, gossip.roster))
            peer = rotation.next_peer(
                lambda other, table=gossip.table: table.liveness(other, self.clock.now_s)
                is Liveness.DEAD
            )
            request, entries = gossip.build_request(peer)
            if peer in stopped or self.is_partitioned(name, peer):
                gossip.table.mark_undelivered(peer, entries)
                continue
            reply = self.nodes[peer].handle_request(request)
            self.largest_message_bytes = max(
                self.largest_message_bytes, request.ByteSize(), reply.ByteSize()
            )
            gossip.apply_reply(peer, reply)

    def liveness_seen_by(self, name):
        table = self.nodes[name].table
        return {other: table.liveness(other, self.clock.now_s) for other in self.nodes}


def test_nodes_detect_live_and_dead_nodes():
    """Guards against a failure detector that reports a live node as dead or a dead one as alive."""
    fleet = _SimulatedFleet(9)
    for _ in range(8):
        fleet.run_round()
    assert all(
        set(fleet.liveness_seen_by(name).values()) == {Liveness.ALIVE} for name in fleet.nodes
    )
    for _ in range(9):
        fleet.run_round(stopped={"n003"})
    assert fleet.liveness_seen_by("n000")["n003"] is Liveness.SUSPECT
    for _ in range(14):
        fleet.run_round(stopped={"n003"})
    for name in fleet.nodes.keys() - {"n003"}:
        seen = fleet.liveness_seen_by(name)
        assert seen.pop("n003") is Liveness.DEAD
        assert set(seen.values()) == {Liveness.ALIVE}
        assert fleet.forgotten[name] == ["n003"]


def test_large_fleet_keeps_message_sizes_and_suspects_no_live_node():
    """Guards against false suspicion and oversized messages in a fleet of 350 nodes.

    Heartbeats need several hops to reach all nodes, and the entries don't fit into one message.
    """
    fleet = _SimulatedFleet(350)
    for gossip in fleet.nodes.values():
        gossip.advance_round()
    for gossip in fleet.nodes.values():
        for name, other in fleet.nodes.items():
            gossip.table.merge_entry(other.table.own_entry, 2, name, fleet.clock.now_s)
    for _ in range(12):
        fleet.run_round()
    states = Counter()
    for _ in range(8):
        fleet.run_round()
        for name in list(fleet.nodes)[::10]:
            states.update(fleet.liveness_seen_by(name).values())
    assert set(states) == {Liveness.ALIVE}
    assert fleet.largest_message_bytes <= 300 + 350 + 60


def test_partition_heals_without_new_entries():
    """Guards against nodes that stay dead for their peers after a network partition ends.

    Their entries did not change during the partition, so they are not sent as changed entries.
    """
    fleet = _SimulatedFleet(6)
    for _ in range(8):
        fleet.run_round()
    partition = {"n000", "n001", "n002"}
    fleet.is_partitioned = lambda one, other: (one in partition) is not (other in partition)
    for _ in range(20):
        fleet.run_round()
    assert fleet.liveness_seen_by("n000")["n005"] is Liveness.DEAD
    assert sorted(fleet.forgotten["n000"]) == ["n003", "n004", "n005"]
    fleet.applied["n000"].clear()
    fleet.is_partitioned = lambda one, other: False
    for _ in range(20):
        fleet.run_round()
    assert set(fleet.liveness_seen_by("n000").values()) == {Liveness.ALIVE}
    assert set(fleet.applied["n000"]) >= {"n003", "n004", "n005"}


@pytest.mark.parametrize("clean", [True, False])
def test_restarted_node_receives_the_state_of_its_predecessor(clean):
    """Guards against a restarted node that uses slots in which its predecessor still has requests.

    The node must receive from its peers whether the process before it stopped cleanly.
    """
    fleet = _SimulatedFleet(4)
    if clean:
        fleet.nodes["n001"].leaving = fleet.nodes["n001"].clean_stop = True
    for _ in range(8):
        fleet.run_round()
    # The boot clock of the new VM is behind that of the old one.
    highest, unclean = fleet.nodes["n000"].table.predecessor_state("n001", 5)
    assert (highest, unclean) == (100, not clean)
    incarnation = next_incarnation(5, highest)
    assert incarnation == 101
    fleet.restart("n001", incarnation)
    for _ in range(8):
        fleet.run_round()
    assert fleet.liveness_seen_by("n002")["n001"] is Liveness.ALIVE
    assert fleet.nodes["n002"].table.predecessor_state("n001", incarnation) == (
        incarnation,
        not clean,
    )


def test_unreported_predecessor_with_a_higher_incarnation_is_superseded():
    """Guards against an earlier process whose entry replaces that of the running one for good.

    No peer has reported the earlier process, and its incarnation is higher.
    """
    fleet = _SimulatedFleet(4)
    for _ in range(8):
        fleet.run_round()
    fleet.restart("n001", 5)
    for _ in range(10):
        fleet.run_round()
    assert fleet.nodes["n001"].table.own_entry.incarnation > 100
    assert fleet.liveness_seen_by("n002")["n001"] is Liveness.ALIVE


_ENTRIES = st.builds(
    lambda incarnation, heartbeat: Entry("n9", (incarnation, heartbeat), payload=b"%d" % heartbeat),
    st.integers(1, 3),
    st.integers(1, 5),
)


@given(st.lists(_ENTRIES, max_size=12), st.randoms(use_true_random=False))
def test_merge_does_not_depend_on_the_order(entries, random):
    """Guards against tables that differ for good because entries arrived in different orders."""
    results = set()
    for _ in range(3):
        table = NodeTable("n0", 1, Random(1))
        for entry in entries:
            table.merge_entry(entry, entry.version[1], "n1", 0.0)
        member = table.members.get("n9")
        results.add(None if member is None else (member.entry.version, member.heartbeat))
        random.shuffle(entries)
    assert len(results) == 1
    if entries:
        assert results.pop()[0] == max(entry.version for entry in entries)


@given(st.integers(0, 10**9), st.integers(0, 200), st.floats(0, 1000))
def test_packed_heartbeat_is_accepted_only_if_the_advance_is_plausible(known, ahead, elapsed):
    """Guards against an old heartbeat that is accepted as a new one after the byte wraps around."""
    packed = pack_heartbeats([known + ahead])[0]
    advance = heartbeat_advance(known, packed, elapsed)
    assert advance in (0, ahead)
    if ahead <= min(elapsed, 127):
        assert advance == ahead
    assert (
        heartbeat_advance(known + ahead, pack_heartbeats([known])[0], 10.0) == 0
        or ahead == 0
        or (ahead > 240)
    )


@pytest.mark.parametrize("count", [1, 2, 16, 17, 350])
def test_selected_peers_connect_all_nodes(count):
    """Guards against nodes that no update reaches, and against too many peers per node.

    The number of peers must grow as the logarithm of the fleet size.
    """
    names = [f"n{number:03}" for number in range(count)]
    limit = count - 1 if count <= 16 else count.bit_length()
    reached, frontier = {names[0]}, [names[0]]
    while frontier:
        peers = select_peers(frontier.pop(), names)
        assert len(peers) == len(set(peers)) <= limit
        frontier += set(peers) - reached
        reached |= set(peers)
    assert reached == set(names)


def test_every_entry_is_sent_eventually_under_a_small_size_limit():
    """Guards against entries that are never sent because others always come first."""
    table = NodeTable("n0", 1, Random(3))
    table.set_own_entry(b"x" * 50)
    for number in range(1, 30):
        table.merge_entry(Entry(f"n{number}", (1, 1), payload=b"y" * 50), 1, "n1", 0.0)
    sent = set()
    for _ in range(60):
        updates = table.updates_for("n99", (), b"", 120, 0.0)
        assert sum(len(entry.payload) + 28 for entry, _heartbeat in updates) <= 120
        sent |= {entry.node_id for entry, _heartbeat in updates}
    assert sent == set(table.members) | {"n0"}
