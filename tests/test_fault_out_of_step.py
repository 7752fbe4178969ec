"""Fault: a node that is out of step concludes at which software version a stream began.

Other nodes know a version that has just joined, and callers that began streams there come to this
node: it is cut off, stands still, or its copy of the store is simply not up to date.
"""

import asyncio

import pytest
from adapter.store import MetadataStore

from tanagerworks.edge.copy_check import CopyCheck
from tanagerworks.edge.follower import StoreView
from tanagerworks.edge.telemetry import EdgeMetrics
from tests.edge_builders import MODEL_SERVICE, configuration, server_entry, stream_route
from tests.edge_process_runner import run_process
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    StoreStandin,
    resume_bytes,
    run_scenario,
    send_request,
    stream_events,
    wait_until,
)
from tests.virtual_fleet import VirtualFleet, run_in_virtual_time

RESUMABLE = stream_route("plan", resumable=True, max_attempts=3)


def run_with_store(scenario):
    """Runs `scenario(port, pipeline, servers, store, copy_check)` at a node with a copy of a store.

    The node knows one version for as long as streams last. Its one server is in its copy only.
    """

    async def run(port, pipeline, servers):
        store = await StoreStandin().start()
        store.put("servers/other", WIRE_ENTRY | {"service": "other"})
        dispatcher = pipeline.dispatcher
        dispatcher.directory.versions.record_first_start()
        client = MetadataStore(store.address)
        view = StoreView(client, dispatcher)
        page = await client.list_page("", 1.0)
        view.replace(page.items, page.revision, "store", page.era)
        view.confirm(asyncio.get_running_loop().time())
        copy_check = CopyCheck(client.with_own_connection(), view, EdgeMetrics())
        pipeline.catch_up = copy_check.catch_up
        result = await scenario(port, pipeline, servers, store, copy_check)
        store.server.close_listener()
        return result

    return run_scenario(
        [[stream_events(1, 9)]], run, configuration(routes=[RESUMABLE]), MODEL_SERVICE
    )


@pytest.mark.parametrize("believed_age_s", [0.5, 0.0, -1.0])
def test_version_that_has_just_joined_is_noticed_before_a_stream_goes_on(believed_age_s):
    """Guards against joined streams at a node whose copy of the store is not up to date.

    It may believe that its copy is young, or newer than it is: a peer or a follower that was cut
    off or paused has confirmed it, or the node itself has just woken.
    """

    async def scenario(port, pipeline, servers, store, copy_check):
        now_s = asyncio.get_running_loop().time()
        pipeline.dispatcher.directory.confirmed_s = now_s - believed_age_s
        store.put("servers/new", WIRE_ENTRY | {"service": MODEL_SERVICE, "version": "v2"})
        response = await send_request(port, resume_bytes("d1", 4, "c1"))
        return response.status, servers[0].requests

    assert run_with_store(scenario) == (503, [])


def test_version_that_has_joined_and_left_is_noticed_before_a_stream_goes_on():
    """Guards against joined streams at a node that was cut off for all the life of a version."""

    async def scenario(port, pipeline, servers, store, copy_check):
        store.put("servers/new", WIRE_ENTRY | {"service": MODEL_SERVICE, "version": "v2"})
        store.delete("servers/new")
        response = await send_request(port, resume_bytes("d1", 4, "c1"))
        return response.status, servers[0].requests

    assert run_with_store(scenario) == (503, [])


@pytest.mark.parametrize("mode", ["silent", "busy", "garbage", "restored", "compacted", "gone"])
def test_node_that_cannot_read_the_store_concludes_nothing(mode):
    """Guards against joined streams at a node that is cut off from the store, alone or with peers.

    Whatever peers it hears may know no more than it does.
    """

    async def scenario(port, pipeline, servers, store, copy_check):
        if mode == "gone":
            store.server.close_listener()
        elif mode == "restored":
            store.restore(store.copy())
        elif mode == "compacted":
            store.put("servers/new", WIRE_ENTRY)
            store.compact()
        else:
            store.mode = mode
        began_s = asyncio.get_running_loop().time()
        responses = await asyncio.gather(
            *(send_request(port, resume_bytes(f"d{number}", 4, "c1")) for number in range(8))
        )
        took_s = asyncio.get_running_loop().time() - began_s
        statuses = {response.status for response in responses}
        return statuses, servers[0].requests, took_s < 1.0

    assert run_with_store(scenario) == ({503}, [], True)


def test_callers_that_wait_for_the_store_share_its_reads():
    """Guards against a read of the store for each of many callers that come back at once."""

    async def scenario(port, pipeline, servers, store, copy_check):
        calls = store.calls
        responses = await asyncio.gather(
            *(send_request(port, resume_bytes(f"d{number}", 4, "c1")) for number in range(12))
        )
        first_reads = store.calls - calls
        store.mode = "busy"
        calls = store.calls
        for number in range(5):
            await send_request(port, resume_bytes(f"e{number}", 4, "c2"))
        return [response.status for response in responses], first_reads, store.calls - calls

    statuses, first_reads, failed_reads = run_with_store(scenario)
    assert statuses == [200] * 12
    assert first_reads <= 4
    assert failed_reads == 1


def test_read_that_began_before_a_caller_came_does_not_count():
    """Guards against an answer of the store from before the version of the stream joined."""

    async def scenario(port, pipeline, servers, store, copy_check):
        loop = asyncio.get_running_loop()
        read_changes, calls, answer = copy_check.store.wait_for_changes, [], asyncio.Event()

        async def answer_first_call_late(*arguments):
            calls.append(arguments)
            change_set = await read_changes(*arguments)
            if len(calls) == 1:
                await answer.wait()
            return change_set

        copy_check.store.wait_for_changes = answer_first_call_late
        early = loop.create_task(copy_check.catch_up(loop.time()))
        await wait_until(lambda: calls)
        late = loop.create_task(copy_check.catch_up(loop.time()))
        await asyncio.sleep(0)
        answer.set()
        return await early, await late, len(calls)

    assert run_with_store(scenario) == (True, True, 2)


async def settled_fleet(count):
    """Returns a fleet in three zones that knows one server and has read the store just now."""
    fleet = VirtualFleet(count, 3)
    fleet.put_servers([server_entry("s-1")])
    fleet.start()
    await asyncio.sleep(3.0)
    for node in fleet.nodes:
        node.store_view.confirm(fleet.loop.time())
    return fleet


def test_streams_go_on_while_the_store_is_down():
    """Guards against the loss of all streams that break off during an outage of the store.

    Nobody can conclude anything then, so nodes share where their streams began.
    """

    async def scenario():
        fleet = await settled_fleet(24)
        first = fleet.nodes[0]
        for number in range(40):
            first.exchange.stream_origins.record_begin(f"c{number}", MODEL_SERVICE, "v1")
        await asyncio.sleep(3.0)
        first.stop()
        for number in range(40):
            table = fleet.nodes[12].exchange.stream_origins
            assert await table.find_version(f"c{number}") == "v1"

    run_in_virtual_time(scenario())


def test_node_cut_off_from_the_store_alone_asks_those_that_began_the_streams():
    """Guards against the loss of streams at a node that the store turns away."""

    async def scenario():
        fleet = await settled_fleet(6)
        fleet.nodes[0].exchange.stream_origins.record_begin("c1", MODEL_SERVICE, "v1")
        assert await fleet.nodes[4].exchange.stream_origins.find_version("c1") == "v1"

    run_in_virtual_time(scenario())


@pytest.mark.parametrize(("mode", "status"), [("", 200), ("silent", 503)])
def test_process_asks_the_store_before_a_stream_goes_on(mode, status):
    """Guards against a process that is wired without the read of the store."""

    async def scenario(process, store, server, _settings_versions):
        server.script = [stream_events(1, 9)]
        route = WIRE_CONFIGURATION["routes"][0] | {
            "weighted-services": [{"service": "models", "weight": 1}]
        }
        store.put("op/config", WIRE_CONFIGURATION | {"routes": [route]})
        store.put("servers/a", WIRE_ENTRY | {"address": f"127.0.0.1:{server.port}"})
        await wait_until(process.is_ready)
        process.dispatcher.directory.versions.record_first_start()
        store.mode = mode
        raw = resume_bytes("d1", 4, "c1").replace(b"/plan/", b"/chat/")
        response = await send_request(process.caller_server, raw)
        store.mode = ""
        assert response.status == status

    run_process(scenario)
