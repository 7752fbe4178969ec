"""Release notes among real agents, seen in what each agent serves to its routers."""

import time

import grpc
import pytest

from tanagerworks.rpc.tanager_pb2 import RefreshRequest
from tanagerworks.rpc.tanager_pb2_grpc import NodeAgentStub
from tests.builders import note_document
from tools.fleet import Fleet, free_address, new_node

IN_FORCE_LIMIT_S = 12.0
ZONE = "sfax-medina"


class Agents:
    """Agents without routers; their views are read over the link that routers use."""

    def __init__(self, fleet, count):
        self.fleet = fleet
        self.nodes = [new_node(f"n{number}", ZONE, routers=0) for number in range(count)]
        self.stubs = {
            node.node_id: NodeAgentStub(grpc.insecure_channel(node.router_link_address))
            for node in self.nodes
        }

    def document(self, serial, **rules):
        nodes = {n.node_id: {"zone": ZONE, "peer_address": n.peer_address} for n in self.nodes}
        return note_document(serial, nodes=nodes, rules=rules)

    def start(self, node, platform=None, **settings):
        settings.setdefault("seed_peers", [n.peer_address for n in self.nodes if n is not node])
        platform_address = platform or self.fleet.platform_address
        self.fleet.start_node(node, [], platform_url=f"http://{platform_address}", **settings)

    def serials(self):
        """Returns the serial that each agent serves; 0 for one that is not ready."""
        served = {}
        for name, stub in self.stubs.items():
            try:
                served[name] = stub.Refresh(RefreshRequest(), timeout=2.0).note_serial
            except grpc.RpcError:
                served[name] = 0
        return served

    def wait_for_serial(self, serial, limit_s, names=None):
        """Returns after how many seconds the agents serve `serial`."""
        started_s = time.monotonic()
        while True:
            served = self.serials()
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
    """Guards against a note that is not in force everywhere within 12 s."""
    agents = Agents(fleet, 9)
    nowhere = free_address()
    fleet.publish_note(agents.document(1))
    # The seeds are the nodes that are cut off, so they have to learn the first note from others.
    seeds = [node.peer_address for node in agents.nodes[:3]]
    for number, node in enumerate(agents.nodes):
        agents.start(node, platform=nowhere if number < 3 else None, seed_peers=seeds)
    agents.wait_for_serial(1, 30.0)
    fleet.publish_note(
        {"serial": 2, "base": 1, "changed": {"rules": {"warm_answers": 5}}}, "release-note"
    )
    assert agents.wait_for_serial(2, IN_FORCE_LIMIT_S) < IN_FORCE_LIMIT_S
    # A delta on a base that no node has: the full statement brings everyone up to date.
    fleet.publish_note(
        {"serial": 9, "base": 8, "changed": {"rules": {"warm_answers": 6}}}, "release-note"
    )
    fleet.publish_note(agents.document(8))
    assert agents.wait_for_serial(9, IN_FORCE_LIMIT_S) < IN_FORCE_LIMIT_S


def test_fresh_node_learns_from_a_peer_and_no_stale_platform_reverts_it(fleet, tmp_path):
    """Guards against a fresh or restarted node that serves an older note than its peers."""
    agents = Agents(fleet, 3)
    fleet.publish_note(agents.document(5))
    first, second, fresh = agents.nodes
    agents.start(first, peer_learn_timeout_s=0.2)
    agents.start(second, peer_learn_timeout_s=0.2)
    agents.wait_for_serial(5, 30.0, ["n0", "n1"])
    with Fleet(tmp_path / "stale") as stale:
        (tmp_path / "stale").mkdir()
        stale.start_platform()
        stale.publish_note(agents.document(3))
        agents.start(fresh, platform=stale.platform_address)
        agents.wait_for_serial(5, 30.0, ["n2"])
        stale.publish_note(agents.document(4))
        fleet.publish_note({"serial": 6, "base": 5}, "release-note")
        seen = set()
        while seen.isdisjoint({6}):
            seen |= set(agents.serials().values())
        agents.wait_for_serial(6, IN_FORCE_LIMIT_S)
        assert seen <= {5, 6}
    # The stale platform is down now; the node starts again without any.
    fleet.processes["n2-agent"].kill()
    agents.start(fresh, platform=free_address())
    started_s = time.monotonic()
    while not (served := agents.serials()["n2"]):
        assert time.monotonic() - started_s < 30.0
    assert served == 6
