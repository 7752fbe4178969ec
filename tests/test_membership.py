"""Node table, gossip and peer choice: pure rules, and many tables with a fake clock."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerworks.agent.gossip import Gossip
from tanagerworks.membership.entries import Entry, Liveness, next_incarnation
from tanagerworks.membership.packed_heartbeats import heartbeat_advance, pack_heartbeats
from tanagerworks.membership.peer_selection import PeerRotation, neighbours
from tanagerworks.membership.table import NodeTable
from tanagerworks.note.model import Note
from tests.builders import note_document


class _Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


def _note(count, serial=1):
    nodes = {
        f"n{number:03}": {
            "zone": "sfax-medina",
            "peer_address": f"10.0.{number // 200}.{number % 200 + 1}:7000",
        }
        for number in range(count)
    }
    return Note.model_validate(note_document(serial, nodes=nodes))


class _Fleet:
    """Gossip of several nodes without a network; `cut` holds pairs that cannot exchange."""

    def __init__(self, count, seed=1, max_entry_bytes=300):
        self.clock = _Clock()
        self.random = Random(seed)
        self.note = _note(count)
        self.taken = {}
        self.gone = {}
        self.max_entry_bytes = max_entry_bytes
        self.nodes = {name: self._node(name, 100) for name in self.note.statement.nodes}
        self.rotations = {name: PeerRotation(self.random) for name in self.nodes}
        self.cut = lambda one, other: False
        self.largest = 0

    def _node(self, name, incarnation):
        self.taken[name], self.gone[name] = {}, []
        gossip = Gossip(
            NodeTable(name, incarnation, self.random),
            self.clock,
            max_entry_bytes=self.max_entry_bytes,
            fill_entry=lambda entry: entry.exceptions.add(chat_hash=len(name)),
            apply_entry=lambda entry: self.taken[name].update({entry.node_id: entry}),
            forget_node=self.gone[name].append,
        )
        gossip.set_note(self.note)
        return gossip

    def restart(self, name, incarnation):
        self.nodes[name] = self._node(name, incarnation)

    def round(self, stopped=()):
        self.clock.now_s += 1.0
        for name, gossip in self.nodes.items():
            if name not in stopped:
                gossip.advance_round()
        for name, gossip in self.nodes.items():
            if name in stopped:
                continue
            rotation = self.rotations[name]
            rotation.set_peers(neighbours(name, gossip.roster))
            peer = rotation.next_peer(
                lambda other, table=gossip.table: table.liveness(other, self.clock.now_s)
                is Liveness.DEAD
            )
            request, entries = gossip.build_request(peer)
            if peer in stopped or self.cut(name, peer):
                gossip.table.mark_undelivered(peer, entries)
                continue
            reply = self.nodes[peer].handle_request(request)
            self.largest = max(self.largest, request.ByteSize(), reply.ByteSize())
            gossip.apply_reply(peer, reply)

    def seen(self, name):
        table = self.nodes[name].table
        return {other: table.liveness(other, self.clock.now_s) for other in self.nodes}


def test_nodes_find_each_other_and_the_dead():
    """Guards against a live node taken for dead and a dead one taken for alive."""
    fleet = _Fleet(9)
    for _ in range(8):
        fleet.round()
    assert all(set(fleet.seen(name).values()) == {Liveness.ALIVE} for name in fleet.nodes)
    for _ in range(9):
        fleet.round(stopped={"n003"})
    assert fleet.seen("n000")["n003"] is Liveness.SUSPECT
    for _ in range(14):
        fleet.round(stopped={"n003"})
    for name in fleet.nodes.keys() - {"n003"}:
        seen = fleet.seen(name)
        assert seen.pop("n003") is Liveness.DEAD
        assert set(seen.values()) == {Liveness.ALIVE}
        assert fleet.gone[name] == ["n003"]


def test_large_fleet_keeps_its_bound_and_suspects_nobody():
    """Guards against false suspicion at 350 nodes, and against messages over their bound."""
    fleet = _Fleet(350)
    for gossip in fleet.nodes.values():
        gossip.advance_round()
    for gossip in fleet.nodes.values():
        for name, other in fleet.nodes.items():
            gossip.table.merge_entry(other.table.own_entry, 2, name, fleet.clock.now_s)
    for _ in range(12):
        fleet.round()
    wrong = Counter()
    for _ in range(8):
        fleet.round()
        for name in list(fleet.nodes)[::10]:
            wrong.update(fleet.seen(name).values())
    assert set(wrong) == {Liveness.ALIVE}
    assert fleet.largest <= 300 + 350 + 60


def test_partition_heals_without_new_entries():
    """Guards against a node that stays forgotten since its entry did not change."""
    fleet = _Fleet(6)
    for _ in range(8):
        fleet.round()
    side = {"n000", "n001", "n002"}
    fleet.cut = lambda one, other: (one in side) is not (other in side)
    for _ in range(20):
        fleet.round()
    assert fleet.seen("n000")["n005"] is Liveness.DEAD
    assert sorted(fleet.gone["n000"]) == ["n003", "n004", "n005"]
    fleet.taken["n000"].clear()
    fleet.cut = lambda one, other: False
    for _ in range(20):
        fleet.round()
    assert set(fleet.seen("n000").values()) == {Liveness.ALIVE}
    assert set(fleet.taken["n000"]) >= {"n003", "n004", "n005"}


@pytest.mark.parametrize("clean", [True, False])
def test_restarted_node_learns_of_its_predecessor(clean):
    """Guards against a restarted node that uses slots at which its predecessor still works."""
    fleet = _Fleet(4)
    if clean:
        fleet.nodes["n001"].leaving = fleet.nodes["n001"].clean_stop = True
    for _ in range(8):
        fleet.round()
    # The clock of the new VM is behind that of the old one.
    highest, unclean = fleet.nodes["n000"].table.predecessor("n001", 5)
    assert (highest, unclean) == (100, not clean)
    incarnation = next_incarnation(5, highest)
    assert incarnation == 101
    fleet.restart("n001", incarnation)
    for _ in range(8):
        fleet.round()
    assert fleet.seen("n002")["n001"] is Liveness.ALIVE
    assert fleet.nodes["n002"].table.predecessor("n001", incarnation) == (incarnation, not clean)


def test_forgotten_predecessor_with_a_higher_number_does_not_win():
    """Guards against an old process's entry that hides the running one for good."""
    fleet = _Fleet(4)
    for _ in range(8):
        fleet.round()
    fleet.restart("n001", 5)
    for _ in range(10):
        fleet.round()
    assert fleet.nodes["n001"].table.own_entry.incarnation > 100
    assert fleet.seen("n002")["n001"] is Liveness.ALIVE


_ENTRIES = st.builds(
    lambda incarnation, heartbeat: Entry("n9", (incarnation, heartbeat), payload=b"%d" % heartbeat),
    st.integers(1, 3),
    st.integers(1, 5),
)


@given(st.lists(_ENTRIES, max_size=12), st.randoms(use_true_random=False))
def test_merge_does_not_depend_on_the_order(entries, random):
    """Guards against tables that differ for good because messages crossed."""
    outcomes = set()
    for _ in range(3):
        table = NodeTable("n0", 1, Random(1))
        for entry in entries:
            table.merge_entry(entry, entry.version[1], "n1", 0.0)
        member = table.members.get("n9")
        outcomes.add(None if member is None else (member.entry.version, member.heartbeat))
        random.shuffle(entries)
    assert len(outcomes) == 1
    if entries:
        assert outcomes.pop()[0] == max(entry.version for entry in entries)


@given(st.integers(0, 10**9), st.integers(0, 200), st.floats(0, 1000))
def test_pulse_is_read_only_as_plausible_progress(known, ahead, elapsed):
    """Guards against an old heartbeat that is read as a new one after the byte wraps."""
    pulse = pack_heartbeats([known + ahead])[0]
    read = heartbeat_advance(known, pulse, elapsed)
    assert read in (0, ahead)
    if ahead <= min(elapsed, 127):
        assert read == ahead
    assert (
        heartbeat_advance(known + ahead, pack_heartbeats([known])[0], 10.0) == 0
        or ahead == 0
        or (ahead > 240)
    )


@pytest.mark.parametrize("count", [1, 2, 16, 17, 350])
def test_neighbours_connect_all_nodes(count):
    """Guards against nodes that no news reach, and against connections that grow with the fleet."""
    names = [f"n{number:03}" for number in range(count)]
    limit = count - 1 if count <= 16 else count.bit_length()
    reached, frontier = {names[0]}, [names[0]]
    while frontier:
        peers = neighbours(frontier.pop(), names)
        assert len(peers) == len(set(peers)) <= limit
        frontier += set(peers) - reached
        reached |= set(peers)
    assert reached == set(names)


def test_every_change_gets_its_turn_under_a_tight_bound():
    """Guards against entries that never fit because others always go first."""
    table = NodeTable("n0", 1, Random(3))
    table.set_own_entry(b"x" * 50)
    for number in range(1, 30):
        table.merge_entry(Entry(f"n{number}", (1, 1), payload=b"y" * 50), 1, "n1", 0.0)
    sent = set()
    for _ in range(60):
        news = table.updates_for("n99", (), b"", 120, 0.0)
        assert sum(len(entry.payload) + 28 for entry, _heartbeat in news) <= 120
        sent |= {entry.node_id for entry, _heartbeat in news}
    assert sent == set(table.members) | {"n0"}
