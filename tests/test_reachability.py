"""Pattern: the connections of one node to all servers fail, or those of many nodes to some."""

import asyncio
import random

import pytest

from tanagerworks.dispatch.reachability import ServerReachability
from tanagerworks.dispatch.server_state import FAILURES_TO_EJECT
from tanagerworks.edge.backend_connection import BackendConnection
from tanagerworks.edge.crash_detector import CrashDetector
from tanagerworks.edge.health_reports import HealthExchange
from tanagerworks.edge.reachability_check import ReachabilityCheck
from tanagerworks.edge.request_state import Attempt
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import BackendConnectionRefusedError
from tanagerworks.rpc.edge_pb2 import HealthReport, NodeState
from tests.edge_builders import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    dispatch_request,
    dispatcher,
    peer,
    server_entry,
)
from tests.platform_standin import respond_with, run_scenario


def servers(count=4, service=MODEL_SERVICE, port=1):
    """Entries of servers; nothing listens at port 1."""
    return [server_entry(f"{service}-{n}", service, port=port) for n in range(count)]


def refused(reachability, *names, now_s=10.0):
    for name in names:
        reachability.record_failure(name, now_s, now_s)


def test_node_is_cut_off_only_if_servers_of_all_services_refuse_it():
    """Guards against a crash of one service that counts as a fault of the node."""
    reachability = ServerReachability()
    refused(reachability, "a", "a")
    assert not reachability.needs_check(10.0)
    refused(reachability, "b")
    assert reachability.needs_check(10.0)
    node = dispatcher(servers=[*servers(9), *servers(2, PLAIN_SERVICE)])
    checked = reachability.choose_checked(node.directory.servers.values(), random.Random(1))
    assert [state.entry.service for state in checked].count(PLAIN_SERVICE) == 2
    assert not reachability.record_check(1, 6, 10.2)
    assert not reachability.is_suspect
    refused(reachability, "a", "b", now_s=11.0)
    assert reachability.record_check(0, 6, 11.2)
    assert reachability.cut_off_since_s == 11.0


def test_one_connection_does_not_end_the_conclusion():
    """Guards against a node that turns back and forth while a single server accepts it."""
    reachability = ServerReachability()
    refused(reachability, "a", "b")
    reachability.record_check(0, 6, 10.2)
    reachability.record_connected(10.3)
    assert reachability.is_cut_off
    assert not reachability.record_check(1, 3, 10.5)
    assert reachability.record_check(2, 3, 10.8)
    assert not reachability.is_suspect


def test_failure_of_an_attempt_that_began_before_a_success_is_no_evidence():
    """Guards against a check for each server that is slow to fail."""
    reachability = ServerReachability()
    reachability.record_connected(10.0)
    reachability.record_failure("a", 9.9, 10.05)
    reachability.record_failure("b", 9.9, 10.05)
    assert not reachability.is_suspect


def cut_off_node(**changes):
    """A node with servers that refuse it, and its check."""
    node = dispatcher(servers=[*servers(), *servers(2, PLAIN_SERVICE)], **changes)
    check = ReachabilityCheck(node)
    health = node.fleet_health
    health.is_connection_suspect = lambda: check.reachability.is_suspect
    return node, check


def fail_at(node, check, state, now_s):
    check.reachability.record_failure(state.server_id, now_s, now_s)
    node.fleet_health.record_failure(state, False, now_s)
    state.record_failure(now_s)


def test_failures_of_a_node_that_is_cut_off_are_no_evidence():
    """Guards against servers that the fleet ejects by reports of nodes without a way to them."""

    async def scenario():
        node, check = cut_off_node()
        now_s = asyncio.get_running_loop().time()
        for state in node.directory.servers.values():
            for _failure in range(FAILURES_TO_EJECT):
                fail_at(node, check, state, now_s)
            # Not even before the check has ended.
            assert not list(node.fleet_health.own_reports(now_s))
        assert await check.settle()
        states = list(node.directory.servers.values())
        assert not any(state.is_ejected(now_s) for state in states)
        # Nothing of that time is left to report once the node reaches servers again.
        known = node.fleet_health.servers.values()
        assert known
        assert not [failed for health in known for _at_s, failed in health.own if failed]

    asyncio.run(scenario())


@pytest.mark.parametrize("reaches_no_server", [False, True])
def test_reports_of_a_peer_that_is_cut_off_are_ignored(reaches_no_server):
    """Guards against sound nodes that believe those without a way to servers."""
    node = dispatcher(servers=servers(), peers=[peer("b", 10.0), peer("c", 10.0)])
    health = node.fleet_health
    exchange = HealthExchange("node-1", "zone-b", health, node.peer_table)
    (key, state), *_ = node.directory.by_key.items()
    report = HealthReport(server_key=key, failures=3, failing_nodes=1)
    report.process = health._find(state).process

    async def scenario():
        for name in ("b", "c"):
            exchange.receive(NodeState(name=name, zone="zone-b", health=[report]), 10.1)
        if reaches_no_server:
            for name in ("b", "c"):
                node.peer_table.peers[name].reaches_no_server = True
                exchange.receive(NodeState(name=name, zone="zone-b", health=[report]), 10.2)

    asyncio.run(scenario())
    health.evaluate(10.3)
    assert state.fleet_ejected is not reaches_no_server


def test_node_that_is_cut_off_takes_no_server_for_crashed(monkeypatch):
    """Guards against prompts in quarantine because a cut resets and refuses all connections."""

    async def scenario():
        node, check = cut_off_node()

        async def refuse(_state):
            check.record_failure(_state, asyncio.get_running_loop().time())
            raise BackendConnectionRefusedError("refused")

        monkeypatch.setattr(check, "open_connection", refuse)
        detector = CrashDetector(node, EdgeMetrics(), check)
        states = list(node.directory.servers.values())[:3]
        checks = [
            detector.record_disconnect(dispatch_request(f"c{n}"), Attempt(state, 0, 0.0, None))
            for n, state in enumerate(states)
        ]
        await asyncio.gather(*checks)
        return [state.crashed for state in states], check.is_cut_off

    crashed, cut_off = asyncio.run(scenario())
    assert cut_off
    assert not any(crashed)


def test_open_connections_show_that_a_node_is_not_cut_off():
    """Guards against a node that takes itself for cut off because some servers are down."""

    async def scenario(port, pipeline, standins):
        for entry in servers(3):
            pipeline.dispatcher.directory.put(entry, 0.0)
        check = pipeline.reachability_check
        states = pipeline.dispatcher.directory.servers
        for name in ("models-0", "models-1"):
            with pytest.raises(BackendConnectionRefusedError):
                await check.open_connection(states[name])
        assert check.reachability.is_suspect
        assert not await check.settle()
        connection = await check.open_connection(states["server-0"])
        assert isinstance(connection, BackendConnection)
        connection.close()
        return check.reachability.is_suspect

    assert run_scenario([[respond_with()]], scenario) is False
