"""Fault: one part of a prompt crashes each server that begins to answer it.

Requests with the part come one after the other, among sound requests that share its other parts.
"""

import asyncio

import pytest

from tanagerworks.dispatch.crash_evidence import CrashEvidence, suspect_key
from tanagerworks.edge.crash_reports import merge_crash_reports, recent_crash_reports
from tanagerworks.rpc.edge_pb2 import NodeState, StoreCopyRequest
from tests.edge_builders import MODEL_SERVICE, configuration, crash, server_entry, stream_route
from tests.platform_standin import (
    crash_at_start,
    request_bytes,
    run_scenario,
    send_request,
    stream_events,
)
from tests.virtual_fleet import VirtualFleet, run_in_virtual_time

SERVERS = 8
# The operators allow three requests to reach servers once five have crashed.
MAX_CRASHES = 5
# Time between two requests with the part.
INTERVAL_S = 0.3


def prompt_headers(*part_ids):
    parts = ",".join(f"{part_id}:500" for part_id in part_ids)
    return ("x-tanagerworks-model: m", f"x-tanagerworks-prefix-hash: {parts}")


def run_deadly_requests(path, route, count=SERVERS):
    """Returns the responses to deadly and sound requests, and the number of crashed servers."""

    async def scenario(port, pipeline, servers):
        deadly, sound = [], []
        for number in range(count):
            parts = prompt_headers("a1", "b2", "dead", f"own-{number}")
            raw = request_bytes(path, f"d{number}", "POST", b"", *parts)
            deadly.append(await send_request(port, raw))
            parts = prompt_headers("a1", "b2", f"sound-{number}")
            raw = request_bytes(path, f"s{number}", "POST", b"", *parts)
            sound.append(await send_request(port, raw))
            await asyncio.sleep(INTERVAL_S)
        crashed = sum(not server.server.is_serving() for server in servers)
        return deadly, sound, crashed

    scripts = [[crash_at_start("dead", stream_events(1, 3))] for _ in range(SERVERS)]
    return run_scenario(scripts, scenario, configuration(routes=[route]), MODEL_SERVICE)


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_deadly_part_stops_reaching_servers(max_attempts):
    """Guards against a kind of request that crashes one server after the other."""
    route = stream_route("plan", resumable=max_attempts > 1, max_attempts=max_attempts)
    deadly, sound, crashed = run_deadly_requests("/plan/x", route)
    assert crashed < MAX_CRASHES
    # The last request was refused before it was sent.
    assert deadly[-1].status == 503
    assert float(deadly[-1].headers["retry-after"]) > 0.0
    # Requests with the other parts are served until the end.
    assert [response.status for response in sound[-3:]] == [200] * 3


def refusing_nodes(fleet):
    """Returns the live nodes that refuse requests with the part."""
    return [
        node
        for node in fleet.live_nodes()
        if node.dispatcher.crash_evidence.find_quarantines(["dead"])
    ]


def crash_server(node, number):
    """Lets a node see the crash of a server while it sends a request with the part."""
    state = node.dispatcher.directory.servers[f"server-{number}"]
    now_s = node.fleet.loop.time()
    node.dispatcher.record_crash(state, crash(now_s, "a1", "dead").suspects, now_s)


# Within this time of the fifth crash, requests with the part must not reach servers any more.
CONTACT_S = 3.0


async def fleet_with_two_crashes(count, zones, loss=0.0):
    """Returns a fleet in which two nodes have each seen a crash, the second one just now."""
    fleet = VirtualFleet(count, zones)
    fleet.put_servers([server_entry(f"server-{number}") for number in range(2)])
    fleet.start()
    await asyncio.sleep(6.0)
    fleet.loss = loss
    crash_server(fleet.nodes[0], 0)
    await asyncio.sleep(1.0)
    crash_server(fleet.nodes[1], 1)
    return fleet


@pytest.mark.parametrize(("count", "zones", "loss"), [(6, 3, 0.1), (60, 3, 0.0), (195, 5, 0.0)])
def test_all_nodes_learn_of_crashes_that_different_nodes_have_seen(count, zones, loss):
    """Guards against a part that crashes servers once at every node of the fleet."""

    async def scenario():
        fleet = await fleet_with_two_crashes(count, zones, loss)
        await asyncio.sleep(CONTACT_S)
        assert len(refusing_nodes(fleet)) == count

    run_in_virtual_time(scenario())


def test_node_that_starts_later_learns_of_the_part():
    """Guards against a restarted node that brings the part to servers again."""

    async def scenario():
        fleet = await fleet_with_two_crashes(6, 3)
        # Longer than crashes without a quarantined part are reported.
        await asyncio.sleep(20.0)
        fleet.nodes[2].stop()
        await asyncio.sleep(2.0)
        fleet.restart(fleet.nodes[2])
        await asyncio.sleep(0.5)
        assert len(refusing_nodes(fleet)) == 6

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("after_s", [1.0, 25.0])
def test_answer_at_one_node_ends_the_quarantine_at_all(after_s):
    """Guards against a sound part that other nodes go on refusing after it was cleared."""

    async def scenario():
        fleet = await fleet_with_two_crashes(6, 3)
        await asyncio.sleep(after_s)
        assert len(refusing_nodes(fleet)) == 6
        fleet.nodes[3].dispatcher.crash_evidence.record_answer(["dead"], fleet.loop.time())
        await asyncio.sleep(1.0)
        assert not refusing_nodes(fleet)

    run_in_virtual_time(scenario())


def test_old_crashes_cost_no_bytes():
    """Guards against messages that repeat for minutes what all nodes know."""

    async def bytes_per_s(fleet):
        before = sum(node.bytes_sent for node in fleet.nodes)
        await asyncio.sleep(5.0)
        return (sum(node.bytes_sent for node in fleet.nodes) - before) / 5.0

    async def scenario():
        fleet = await fleet_with_two_crashes(6, 3)
        recent = await bytes_per_s(fleet)
        await asyncio.sleep(15.0)
        for node in fleet.nodes:
            node.dispatcher.directory.servers["server-0"].record_limit(2.6, 6.0)
        old = await bytes_per_s(fleet)
        for node in fleet.nodes:
            node.dispatcher.crash_evidence.crashes.clear()
            node.dispatcher.directory.servers["server-0"].limit_per_s = None
        return recent, old, await bytes_per_s(fleet)

    recent, old, without = run_in_virtual_time(scenario())
    assert recent > 1.1 * without
    assert old < 1.05 * without


def test_reports_fit_into_a_datagram_and_tell_all_suspects_in_turn():
    """Guards against reports that IP fragments, and against a part that no report ever names."""
    evidence = CrashEvidence()
    parts = [f"part-{number}" for number in range(80)]
    evidence.merge_crash(1, crash(0.0, *parts), 0.0)
    told = set()
    for _message in range(50):
        reports = recent_crash_reports(evidence, 6.0, 400)
        assert NodeState(crashes=reports).ByteSize() <= 400
        told.update(suspect.part for report in reports for suspect in report.suspects)
    assert told == {suspect_key(part_id) for part_id in parts}


def test_likely_suspects_are_reported_first():
    """Guards against reports full of parts that answers have cleared."""
    evidence = CrashEvidence()
    parts = [f"part-{number}" for number in range(80)]
    evidence.merge_crash(1, crash(0.0, *parts, "dead"), 0.0)
    evidence.record_answer(parts, 1.0)
    first = recent_crash_reports(evidence, 6.0, 400)[0].suspects[0]
    assert first.part == suspect_key("dead")


def test_copy_for_a_starting_node_has_all_evidence():
    """Guards against a node that starts between two crashes and counts only the second."""

    async def scenario():
        fleet = await fleet_with_two_crashes(2, 1)
        request = StoreCopyRequest(with_placements=True)
        return fleet.nodes[1].exchange._build_copy(request), fleet.loop.time()

    copy, now_s = run_in_virtual_time(scenario())
    evidence = CrashEvidence()
    merge_crash_reports(evidence, copy.crashes, now_s)
    assert len(evidence.crashes) == 2
    assert evidence.find_quarantines(["a1", "dead"]).keys() == {"dead"}
