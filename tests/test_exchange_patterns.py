"""What nodes know of each other in fleets of any size: loads, live peers, dead peers.

The fleets run in virtual time. The patterns: the start of a whole fleet after a loss of power, the
loss of a node and of a zone, a paused node that wakes up with an outdated view, a one-way cut
between two zones, lost datagrams, and random sequences of these.
"""

import asyncio
import logging
import random

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests.edge_builders import server_entry
from tests.virtual_fleet import VirtualFleet, VirtualTimeLoop, run_in_virtual_time

# Time within which a fleet that is left alone agrees, from the loss of the last datagram on. In a
# zone of 39 nodes a peer is lost after four messages of 0.8 s, in other zones after four more.
SETTLE_S = 9.0
# Age of what a node knows of a peer, at the 95th percentile.
MAX_AGE_P95_S = 1.0
SERVERS = [server_entry(f"i-{number:010x}") for number in range(44)]
BIG_FLEET = (195, 5)


class LostPeers(logging.Handler):
    """Collects the names of peers that are logged as lost."""

    def __init__(self):
        super().__init__()
        self.names = []

    def emit(self, record):
        if record.getMessage() == "peer lost":
            self.names.append(record.peer)


@pytest.fixture
def lost_peers():
    handler = LostPeers()
    logger = logging.getLogger("tanagerworks.edge.peers")
    logger.addHandler(handler)
    yield handler.names
    logger.removeHandler(handler)


def load_servers(fleet, seed=1):
    """Starts three requests at each node, at random servers; returns the true load by server."""
    chooser = random.Random(seed)
    truth = dict.fromkeys((entry.server_id for entry in SERVERS), 0)
    fleet.put_servers(SERVERS)
    for node in fleet.nodes:
        for number in range(3):
            server_id = chooser.choice(SERVERS).server_id
            node.dispatcher.directory.servers[server_id].record_start(f"c{number}", 100)
            truth[server_id] += 1
    return truth


def believed_loads(node):
    return {
        server_id: state.total_running
        for server_id, state in node.dispatcher.directory.servers.items()
    }


def ages(fleet):
    now_s = fleet.loop.time()
    return sorted(
        now_s - peer.last_seen_s
        for node in fleet.live_nodes()
        for peer in node.table.peers.values()
    )


def assert_agreement(fleet, truth):
    names = {node.name for node in fleet.live_nodes()}
    for node in fleet.live_nodes():
        assert node.live_names() == names - {node.name}
        assert believed_loads(node) == truth


@pytest.mark.parametrize(("count", "zones"), [(6, 3), (9, 3), (60, 3), BIG_FLEET])
def test_fleet_that_starts_together_agrees_and_loses_nobody(count, zones, lost_peers):
    """Guards against a restarted fleet that flaps, or does not know itself, for seconds.

    The issue was shown with 60 nodes: 267 live peers logged as lost within 3 s.
    """

    async def scenario():
        fleet = VirtualFleet(count, zones)
        truth = load_servers(fleet)
        fleet.start()
        await asyncio.sleep(4.0)
        assert_agreement(fleet, truth)
        before = [node.datagrams_sent for node in fleet.nodes]
        samples = []
        for _sample in range(10):
            await asyncio.sleep(0.37)
            samples.extend(ages(fleet))
        assert sorted(samples)[int(0.95 * len(samples))] < MAX_AGE_P95_S
        for node, sent in zip(fleet.nodes, before, strict=True):
            # States to 38 peers at 50 a second, summaries at 8 a second, and some introductions.
            assert (node.datagrams_sent - sent) / 3.7 <= 75
        assert_agreement(fleet, truth)

    run_in_virtual_time(scenario())
    assert lost_peers == []


@pytest.mark.parametrize("seed", [1, 2])
def test_fleet_of_many_zones_that_starts_together_loses_nobody(seed, lost_peers):
    """Guards against live peers that are lost as summaries come at longer intervals at first.

    The issue was shown with 350 nodes in ten zones; the intervals grow with the zones.
    """

    async def scenario():
        VirtualFleet(160, 16, seed).start()
        await asyncio.sleep(9.0)

    run_in_virtual_time(scenario())
    assert lost_peers == []


@pytest.mark.parametrize(("count", "zones"), [(9, 3), BIG_FLEET])
def test_dead_node_is_gone_everywhere_and_nobody_else(count, zones):
    """Guards against the load of a dead node that stays, or is spread by the summaries."""

    async def scenario():
        fleet = VirtualFleet(count, zones)
        truth = load_servers(fleet)
        fleet.start()
        await asyncio.sleep(4.0)
        dead = fleet.nodes[count // 2]
        for server_id, state in dead.dispatcher.directory.servers.items():
            truth[server_id] -= state.running
        dead.stop()
        await asyncio.sleep(SETTLE_S)
        assert_agreement(fleet, truth)

    run_in_virtual_time(scenario())


def test_lost_zone_is_gone_and_comes_back():
    """Guards against the load of a whole zone that stays after the zone has lost power."""

    async def scenario():
        fleet = VirtualFleet(30, 3)
        truth = load_servers(fleet)
        fleet.start()
        await asyncio.sleep(4.0)
        lost = [node for node in fleet.nodes if node.zone == "zone-1"]
        for node in lost:
            for server_id, state in node.dispatcher.directory.servers.items():
                truth[server_id] -= state.running
            node.stop()
        await asyncio.sleep(SETTLE_S)
        assert_agreement(fleet, truth)
        for node in lost:
            fleet.restart(node)
        await asyncio.sleep(SETTLE_S)
        assert_agreement(fleet, truth)

    run_in_virtual_time(scenario())


def test_summary_of_a_node_that_was_paused_does_not_bring_back_ended_requests():
    """Guards against a paused node that wakes up and spreads the loads from before its pause.

    All requests end during the pause, so no node may believe in any load afterwards.
    """

    async def scenario():
        fleet = VirtualFleet(30, 3)
        load_servers(fleet)
        fleet.start()
        await asyncio.sleep(4.0)
        paused = [node for node in fleet.nodes if node.zone == "zone-2"][:5]
        for node in paused:
            node.pause()
        for node in fleet.nodes:
            for state in node.dispatcher.directory.servers.values():
                while state.running:
                    state.record_end("c")
        await asyncio.sleep(5.0)
        others = [node for node in fleet.nodes if node not in paused]
        for node in others:
            assert sum(believed_loads(node).values()) == 0
        for node in paused:
            node.wake()
        for _check in range(100):
            await asyncio.sleep(0.05)
            for node in others:
                assert sum(believed_loads(node).values()) == 0

    run_in_virtual_time(scenario())


def test_paused_node_keeps_what_it_knew_of_other_zones():
    """Guards against a node that wakes up and takes the servers for idle until the next summary."""

    async def scenario():
        fleet = VirtualFleet(18, 3)
        truth = load_servers(fleet)
        fleet.start()
        # Beyond the time in which longer intervals are announced.
        await asyncio.sleep(10.0)
        paused = fleet.nodes[4]
        paused.pause()
        await asyncio.sleep(6.0)
        paused.wake()
        # The first round after the pause comes before the datagrams are read.
        for _check in range(50):
            await asyncio.sleep(0.0005)
            assert believed_loads(paused) == truth

    run_in_virtual_time(scenario())


def test_one_way_cut_between_zones_keeps_both_views_right():
    """Guards against a view that grows, or a node that is lost, where datagrams still arrive."""

    async def scenario():
        fleet = VirtualFleet(18, 3)
        truth = load_servers(fleet)
        fleet.start()
        await asyncio.sleep(4.0)
        fleet.cut_zones.add(("zone-0", "zone-1"))
        for _check in range(30):
            await asyncio.sleep(0.3)
            for node in fleet.nodes:
                believed = believed_loads(node)
                assert all(believed[server_id] <= truth[server_id] for server_id in truth)
                if node.zone != "zone-1":
                    assert believed == truth
                    assert len(node.live_names()) == 17
        fleet.cut_zones.clear()
        await asyncio.sleep(SETTLE_S)
        assert_agreement(fleet, truth)

    run_in_virtual_time(scenario())


def test_lost_datagrams_lose_no_peer(lost_peers):
    """Guards against peers that flap on a network which loses one datagram in fifty."""

    async def scenario():
        fleet = VirtualFleet(60, 3)
        load_servers(fleet)
        fleet.loss = 0.02
        fleet.start()
        await asyncio.sleep(15.0)

    run_in_virtual_time(scenario())
    assert lost_peers == []


def test_parts_reach_every_node_of_a_large_fleet():
    """Guards against nodes that never learn which server has cached a prompt."""

    async def scenario():
        fleet = VirtualFleet(60, 3)
        fleet.put_servers(SERVERS)
        fleet.start()
        await asyncio.sleep(4.0)
        unannounced = fleet.nodes[7].dispatcher.unannounced_keys_by_server
        unannounced[SERVERS[0].server_id] = set(range(1, 401))
        unannounced[SERVERS[1].server_id] = {1001}
        await asyncio.sleep(3.0)
        for node in fleet.nodes:
            if node is fleet.nodes[7]:
                continue
            parts = node.dispatcher.cached_parts.keys_by_server()
            assert set(parts[SERVERS[0].server_id]) == set(range(1, 401))
            assert parts[SERVERS[1].server_id] == [1001]

    run_in_virtual_time(scenario())


class FleetMachine(RuleBasedStateMachine):
    """Nodes in three zones with random requests, kills, restarts, pauses and cuts."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.servers = SERVERS[:5]
        self.fleet = self.loop.run_until_complete(self.create_fleet())
        self.requests = []
        self.advance(4.0)

    async def create_fleet(self):
        fleet = VirtualFleet(9, 3)
        fleet.put_servers(self.servers)
        fleet.start()
        return fleet

    def teardown(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def advance(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def running_nodes(self):
        return [node for node in self.fleet.live_nodes() if node.waiting is None]

    def most_running(self):
        """Returns the requests in progress, per server."""
        truth = dict.fromkeys((entry.server_id for entry in self.servers), 0)
        for node in self.fleet.live_nodes():
            for server_id, state in node.dispatcher.directory.servers.items():
                truth[server_id] += state.running
        return truth

    @rule(data=st.data(), server=st.integers(0, 4))
    @precondition(lambda self: self.running_nodes())
    def request_starts(self, data, server):
        node = data.draw(st.sampled_from(self.running_nodes()))
        state = node.dispatcher.directory.servers[self.servers[server].server_id]
        state.record_start("c", 10)
        self.requests.append((node, state))

    @rule(data=st.data())
    @precondition(lambda self: self.requests)
    def request_ends(self, data):
        node, state = self.requests.pop(data.draw(st.integers(0, len(self.requests) - 1)))
        if node.waiting is None:
            state.record_end("c")

    @rule(data=st.data())
    @precondition(lambda self: len(self.running_nodes()) > 2)
    def node_dies(self, data):
        node = data.draw(st.sampled_from(self.running_nodes()))
        node.stop()
        self.requests = [request for request in self.requests if request[0] is not node]

    @rule(data=st.data())
    @precondition(lambda self: len(self.fleet.live_nodes()) < len(self.fleet.nodes))
    def node_restarts(self, data):
        dead = [node for node in self.fleet.nodes if not node.alive]
        self.loop.run_until_complete(self.restart(data.draw(st.sampled_from(dead))))

    async def restart(self, node):
        self.fleet.restart(node)

    @rule(data=st.data())
    @precondition(lambda self: len(self.running_nodes()) > 2)
    def node_pauses(self, data):
        data.draw(st.sampled_from(self.running_nodes())).pause()

    @rule(data=st.data())
    @precondition(lambda self: len(self.running_nodes()) < len(self.fleet.live_nodes()))
    def node_wakes(self, data):
        paused = [node for node in self.fleet.live_nodes() if node.waiting is not None]
        self.loop.run_until_complete(self.wake(data.draw(st.sampled_from(paused))))

    async def wake(self, node):
        node.wake()

    @rule(one=st.integers(0, 2), other=st.integers(0, 2))
    def zones_are_cut_one_way(self, one, other):
        if one != other:
            self.fleet.cut_zones.add((f"zone-{one}", f"zone-{other}"))

    @rule()
    def cuts_end(self):
        self.fleet.cut_zones.clear()

    @rule(tenths=st.integers(1, 30))
    def time_passes(self, tenths):
        self.advance(tenths / 10)

    @rule()
    def fleet_settles(self):
        """All faults end; then every node knows who is live and what runs, without doubles."""
        self.fleet.cut_zones.clear()
        for node in self.fleet.live_nodes():
            if node.waiting is not None:
                self.loop.run_until_complete(self.wake(node))
        self.advance(SETTLE_S)
        assert_agreement(self.fleet, self.most_running())


FleetMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=25, deadline=None, derandomize=True
)
TestFleetMachine = FleetMachine.TestCase


def test_agreement_check_notices_a_load_that_counts_twice():
    """Guards against a check that cannot fail: here a zone's load is added instead of replaced."""

    async def scenario():
        fleet = VirtualFleet(9, 3)
        truth = load_servers(fleet)
        fleet.start()
        await asyncio.sleep(4.0)
        directory = fleet.nodes[0].dispatcher.directory
        for state in directory.servers.values():
            state.peers_running += state.peer_loads.get("zone/zone-1", state).running
        with pytest.raises(AssertionError):
            assert_agreement(fleet, truth)

    run_in_virtual_time(scenario())
