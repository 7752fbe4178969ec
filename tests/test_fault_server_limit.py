"""Fault: a server gets more requests than the limit that it names for all nodes together."""

import asyncio
import random

import pytest

from tanagerworks.dispatch.directory import Directory, server_key
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.limit_reports import all_limit_reports, merge_limit_reports
from tanagerworks.rpc.edge_pb2 import LimitReport, NodeState
from tests.edge_builders import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    dispatch_request,
    dispatcher,
    peer,
    prompt,
    server_entry,
)
from tests.virtual_fleet import VirtualFleet, run_in_virtual_time

WINDOW_S = 4.0
LIMITED = ("server-0", "server-1", "server-2")
SERVERS = (*LIMITED, "server-3")


def allowed_in_window(limit_per_s):
    """Requests that the operators allow a server in the window, with their tolerance."""
    return 1.5 * WINDOW_S * limit_per_s + 5


def most_in_window(times):
    return max(sum(1 for time in times if start <= time < start + WINDOW_S) for start in times)


def fleet_of(count, service):
    names = [f"node-{number}" for number in range(count)]
    entries = [server_entry(server_id, service) for server_id in SERVERS]
    return [
        dispatcher(
            name, entries, [peer(other, last_seen_s=1e9) for other in names if other != name]
        )
        for name in names
    ]


def send_requests(fleet, service, limit_per_s, requests_per_s, limited=LIMITED, duration_s=20.0):
    """Returns the times of the requests sent, by server; each takes 0.2 s, some go to no server."""
    chooser = random.Random(1)
    for node in fleet:
        for server_id in limited:
            node.directory.servers[server_id].record_limit(limit_per_s, 0.0)
    sent = {server_id: [] for server_id in SERVERS}
    running = []
    for number in range(int(requests_per_s * duration_s)):
        now_s = number / requests_per_s
        while running and running[0][0] <= now_s:
            _end_s, state, call_id = running.pop(0)
            state.record_end(call_id)
        node = chooser.choice(fleet)
        request = dispatch_request(f"call-{number}", service)
        choice = node.choose_server(request, now_s)
        if choice.state is None:
            continue
        node.record_start(request, choice, now_s)
        running.append((now_s + 0.2, choice.state, request.call_id))
        sent[choice.state.server_id].append(now_s)
    return sent


@pytest.mark.parametrize("service", [MODEL_SERVICE, PLAIN_SERVICE])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 2.6, 12.0])
@pytest.mark.parametrize("nodes", [1, 6, 60])
def test_limit_of_a_server_holds_for_all_nodes_together(nodes, limit_per_s, service):
    """Guards against a server that gets far more requests than the limit that it has named."""
    sent = send_requests(fleet_of(nodes, service), service, limit_per_s, 40.0 + 6.0 * limit_per_s)
    for server_id in LIMITED:
        assert most_in_window(sent[server_id] or [0.0]) <= allowed_in_window(limit_per_s)
    # The server without a limit takes what the others do not.
    assert len(sent["server-3"]) > len(sent["server-0"])


def test_state_keeps_the_latest_limit():
    """Guards against an old answer, or an old report of a peer, that revives a limit."""
    state = ServerState(server_entry("server-0"), 0.0)
    assert state.record_limit(2.5, 10.0)
    assert not state.record_limit(2.5, 11.0)
    assert state.record_limit(None, 12.0)
    assert not state.record_limit(2.5, 11.5)
    assert state.limit_per_s is None


# From this time after the first answer with a limit, all nodes have to keep it.
CONTACT_S = 3.0


def known_limits(fleet):
    return [
        node.dispatcher.directory.servers["server-0"].limit_per_s for node in fleet.live_nodes()
    ]


@pytest.mark.parametrize(("count", "zones", "loss"), [(6, 3, 0.1), (60, 3, 0.0)])
def test_all_nodes_learn_of_a_limit_and_of_its_end(count, zones, loss):
    """Guards against nodes that exceed a limit until a server names it to each of them."""

    async def scenario():
        fleet = VirtualFleet(count, zones)
        fleet.put_servers([server_entry(server_id) for server_id in SERVERS])
        fleet.start()
        await asyncio.sleep(6.0)
        fleet.loss = loss
        state = fleet.nodes[0].dispatcher.directory.servers["server-0"]
        for limit_per_s in (2.6, 1.7, None):
            state.record_limit(limit_per_s, fleet.loop.time())
            await asyncio.sleep(CONTACT_S)
            assert known_limits(fleet) == [limit_per_s] * count

    run_in_virtual_time(scenario())


def test_node_that_starts_later_learns_of_the_limit():
    """Guards against a restarted node that sends a server as much as one without a limit."""

    async def scenario():
        fleet = VirtualFleet(6, 3)
        fleet.put_servers([server_entry(server_id) for server_id in SERVERS])
        fleet.start()
        await asyncio.sleep(6.0)
        state = fleet.nodes[0].dispatcher.directory.servers["server-0"]
        state.record_limit(2.5, fleet.loop.time())
        await asyncio.sleep(20.0)
        fleet.nodes[2].stop()
        await asyncio.sleep(2.0)
        fleet.restart(fleet.nodes[2])
        await asyncio.sleep(0.5)
        assert known_limits(fleet) == [2.5] * 6

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0])
def test_invalid_limit_of_a_peer_is_ignored(value):
    """Guards against arithmetic with a value that no server can have named."""
    directory = fleet_of(1, MODEL_SERVICE)[0].directory
    report = LimitReport(server_key=server_key("server-0"), requests_per_s=value)
    merge_limit_reports(directory, [report], 10.0, "peer")
    assert directory.servers["server-0"].limit_per_s is None


def test_reports_of_many_limits_fit_into_a_datagram():
    """Guards against reports that IP fragments; the limits that changed last have to be sent."""
    directory = Directory()
    for number in range(700):
        directory.put(server_entry(f"server-{number}"), 0.0)
        directory.servers[f"server-{number}"].record_limit(2.5, float(number))
    reports = all_limit_reports(directory, 700.0, 300)
    assert NodeState(limits=reports).ByteSize() <= 300
    assert reports[0].server_key == server_key("server-699")


def test_caller_is_told_to_come_back_as_fast_as_the_limits_allow():
    """Guards against callers who return at once to servers that take few requests."""
    node = fleet_of(1, MODEL_SERVICE)[0]
    request = dispatch_request("call-1", MODEL_SERVICE)
    unlimited_s = node.estimate_retry_after_s(request, 1.0)
    for state in node.directory.servers.values():
        state.record_limit(0.25, 0.0)
    assert node.estimate_retry_after_s(request, 1.0) == pytest.approx(1.0)
    assert unlimited_s < 0.1


def test_prompts_stay_where_they_are_cached_while_other_servers_are_limited():
    """Guards against prompts that move between servers because limited ones have little to do."""
    node = fleet_of(1, MODEL_SERVICE)[0]
    node.directory.put(server_entry("server-4"), 0.0)
    for server_id in LIMITED:
        node.directory.servers[server_id].record_limit(0.0, 0.0)
    for server_id, running in (("server-3", 14), ("server-4", 12)):
        node.directory.servers[server_id].running = running
    request = dispatch_request("call-1", MODEL_SERVICE, prompt(("a", 9000), ("b", 100)))
    node.record_sent(request, "server-3", 0.0)
    # The first requests use what the limited servers take.
    for number in range(len(LIMITED)):
        first = dispatch_request(f"first-{number}", MODEL_SERVICE)
        choice = node.choose_server(first, 0.1)
        assert choice.state.server_id in LIMITED
        node.record_start(first, choice, 0.1)
    assert node.choose_server(request, 0.2).state.server_id == "server-3"


def test_request_that_cannot_start_while_its_caller_waits_is_refused():
    """Guards against callers who wait in a queue that their node's share of limits cannot serve."""
    node = fleet_of(6, MODEL_SERVICE)[0]
    for state in node.directory.servers.values():
        state.record_limit(2.0, 0.0)
    # Creates the limiters of the servers.
    node.choose_server(dispatch_request("call-0", MODEL_SERVICE), 0.0)
    # The fleet sends eight requests a second, this node a sixth of them.
    in_time = dispatch_request("call-1", MODEL_SERVICE, start_by_s=2.0)
    late = dispatch_request("call-2", MODEL_SERVICE, start_by_s=0.5)
    assert node.can_finish_in_time(in_time, 0.0)
    assert not node.can_finish_in_time(late, 0.0)
    queue = node.queue(MODEL_SERVICE)
    for number in range(2):
        queue.push(f"queued-{number}", 1, "customer-1", 100.0, 10)
    assert not node.can_finish_in_time(in_time, 0.0)
