"""Distribution of release notes among agent processes, read from the views they serve."""

import time

import grpc
import pytest

from tanagerworks.rpc.tanager_pb2 import RefreshRequest
from tanagerworks.rpc.tanager_pb2_grpc import NodeAgentStub
from tests.builders import note_document
from tools.fleet import Fleet, free_address, new_node

IN_FORCE_LIMIT_S = 12.0
ZONE = "sfax-medina"


class AgentProcesses:
    """Agents without routers; the test reads their views over the router link."""

    def __init__(self, fleet, count):
        self.fleet = fleet
        self.nodes = [new_node(f"n{number}", ZONE, routers=0) for number in range(count)]
        self.stubs = {
            node.node_id: NodeAgentStub(grpc.insecure_channel(node.router_link_address))
            for node in self.nodes
        }

    def build_note(self, serial, **rules):
        nodes = {n.node_id: {"zone": ZONE, "peer_address": n.peer_address} for n in self.nodes}
        return note_document(serial, nodes=nodes, rules=rules)

    def start_agent(self, node, platform=None, **settings):
        settings.setdefault("seed_peers", [n.peer_address for n in self.nodes if n is not node])
        platform_address = platform or self.fleet.platform_address
        self.fleet.start_node(node, [], platform_url=f"http://{platform_address}", **settings)

    def read_serials(self):
        """Returns the serial that each agent serves; 0 for one that is not ready."""
        served = {}
        for name, stub in self.stubs.items():
            try:
                served[name] = stub.Refresh(RefreshRequest(), timeout=2.0).note_serial
            except grpc.RpcError:
                served[name] = 0
        return served

    def wait_for_serial(self, serial, limit_s, names=None):
        """Returns the seconds until the agents serve `serial`; fails after `limit_s`."""
        started_s = time.monotonic()
        while True:
            served = self.read_serials()
            if all(served[name] == serial for name in names or served):
                return time.monotonic() - started_s
            assert time.monotonic() - started_s < limit_s, served
            time.sleep(0.05)


@pytest.fixture(name="fleet")
def empty_fleet(tmp_path):
    with Fleet(tmp_path) as fleet:
        fleet.start_platform()
        yield fleet


def test_note_reaches_nodes_cut_off_from_the_platform(fleet):
    """Guards against a note that is not in force on all nodes within 12 s.

    Nodes that do not reach the platform get the note from their peers only.
    """
    agents = AgentProcesses(fleet, 9)
    unused_address = free_address()
    fleet.publish_note(agents.build_note(1))
    # The seed peers do not reach the platform, so they have to get the first note from others.
    seeds = [node.peer_address for node in agents.nodes[:3]]
    for number, node in enumerate(agents.nodes):
        agents.start_agent(node, platform=unused_address if number < 3 else None, seed_peers=seeds)
    agents.wait_for_serial(1, 30.0)
    fleet.publish_note(
        {"serial": 2, "base": 1, "changed": {"rules": {"warm_answers": 5}}}, "release-note"
    )
    assert agents.wait_for_serial(2, IN_FORCE_LIMIT_S) < IN_FORCE_LIMIT_S
    # No node has the base of this delta, so all have to read the full statement first.
    fleet.publish_note(
        {"serial": 9, "base": 8, "changed": {"rules": {"warm_answers": 6}}}, "release-note"
    )
    fleet.publish_note(agents.build_note(8))
    assert agents.wait_for_serial(9, IN_FORCE_LIMIT_S) < IN_FORCE_LIMIT_S


def test_new_node_takes_note_of_peer_and_ignores_stale_platform(fleet, tmp_path):
    """Guards against a new or restarted node that serves an older note than its peers.

    The platform that the new node reads is stale, so the node must take the note of its peers.
    """
    agents = AgentProcesses(fleet, 3)
    fleet.publish_note(agents.build_note(5))
    first, second, third = agents.nodes
    agents.start_agent(first, peer_learn_timeout_s=0.2)
    agents.start_agent(second, peer_learn_timeout_s=0.2)
    agents.wait_for_serial(5, 30.0, ["n0", "n1"])
    with Fleet(tmp_path / "stale") as stale:
        (tmp_path / "stale").mkdir()
        stale.start_platform()
        stale.publish_note(agents.build_note(3))
        agents.start_agent(third, platform=stale.platform_address)
        agents.wait_for_serial(5, 30.0, ["n2"])
        stale.publish_note(agents.build_note(4))
        fleet.publish_note({"serial": 6, "base": 5}, "release-note")
        served_serials = set()
        while served_serials.isdisjoint({6}):
            served_serials |= set(agents.read_serials().values())
        agents.wait_for_serial(6, IN_FORCE_LIMIT_S)
        assert served_serials <= {5, 6}
    # The stale platform has stopped; the node starts again without a platform.
    fleet.processes["n2-agent"].kill()
    agents.start_agent(third, platform=free_address())
    started_s = time.monotonic()
    while not (served := agents.read_serials()["n2"]):
        assert time.monotonic() - started_s < 30.0
    assert served == 6
