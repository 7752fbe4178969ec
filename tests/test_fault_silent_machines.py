"""Fault: work of a machine that is silent or slow to report is started again or given up.

The silent machine is a backend server whose response or store entry stays away for a while, a peer
whose messages stay away, or the node itself, which was paused and wakes up late.
"""

import asyncio
import time

import pytest

from tanagerworks.edge.pause_timeout import PauseTolerantTimeout
from tanagerworks.edge.stall import StallLimits
from tanagerworks.membership.peer_table import PEER_EXPIRY_S, PeerTable
from tests.edge_builders import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    non_idempotent_route,
    peer,
    server_entry,
    stream_route,
)
from tests.platform_standin import (
    encode_chunk,
    request_bytes,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    wait_until,
)
from tests.test_edge_peers import run_with_fleet


def silent_between(silent_s):
    """Sends the head and half of the body, is silent, then sends the rest."""

    async def action(server, headers, reader, writer):
        writer.write(response_head(headers, "200 OK", "content-length: 12") + b"whole ")
        await writer.drain()
        await asyncio.sleep(silent_s)
        writer.write(b"answer")

    return action


def test_request_at_a_silent_server_runs_once_and_is_answered():
    """Guards against a booking that is sent again, or given up, while its server is silent."""
    config = configuration(routes=[non_idempotent_route(timeout_s=10.0, max_attempts=3)])

    async def scenario(port, pipeline, servers):
        raw = request_bytes("/desk-book/x", "c1", "POST").replace(b"1500", b"9000")
        response = await send_request(port, raw)
        return response, sum(len(server.requests) for server in servers)

    response, runs = run_scenario([[silent_between(2.0)]] * 2, scenario, config)
    assert (response.status, response.body, runs) == (200, b"whole answer", 1)


def test_stream_at_a_silent_server_is_complete():
    """Guards against a stream that is cut or started again while its caller still waits."""
    route = stream_route(timeout_s=15.0, objective_s=0.2, max_attempts=3)
    silent_s = 0.6 * StallLimits().end_after_s(route)

    async def action(server, headers, reader, writer):
        writer.write(response_head(headers, "200 OK", "transfer-encoding: chunked"))
        writer.write(encode_chunk(b"id: 1\ndata: a\n\n"))
        await writer.drain()
        await asyncio.sleep(silent_s)
        writer.write(encode_chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n")

    async def scenario(port, pipeline, servers):
        raw = request_bytes("/chat/x", "c1", "POST").replace(b"1500", b"15000")
        response = await send_request(port, raw)
        return response, sum(len(server.requests) for server in servers)

    response, runs = run_scenario(
        [[action]] * 2, scenario, configuration(routes=[route]), MODEL_SERVICE
    )
    assert response.complete
    assert response.body.count(b"data: ") == 2
    assert runs == 1


def test_running_request_survives_the_expiry_of_its_server_entry():
    """Guards against work that is given up, or no longer counted, when an entry expires.

    The store removes the entry of a server that has not renewed it. The server is alive, runs the
    request to its end and registers again.
    """
    config = configuration(routes=[non_idempotent_route(timeout_s=10.0)])

    async def scenario(port, pipeline, servers):
        release = asyncio.Event()

        async def action(server, headers, reader, writer):
            await release.wait()
            writer.write(response_head(headers, "200 OK", "content-length: 2") + b"ok")

        servers[0].script = [action]
        directory = pipeline.dispatcher.directory
        pending = asyncio.ensure_future(
            send_request(port, request_bytes("/desk-book/x", method="POST"))
        )
        await wait_until(lambda: servers[0].requests)
        entry = directory.servers["server-0"].entry
        assert directory.delete("server-0", 0.0) == "gone"
        assert "server-0" not in directory.servers
        directory.put(entry, 0.0)
        running = directory.servers["server-0"].running
        release.set()
        response = await pending
        await wait_until(lambda: not pipeline.active_requests)
        return response, running, directory.servers["server-0"].running

    response, running, left = run_scenario([[respond_with()]], scenario, config)
    assert (response.status, running, left) == (200, 1, 0)


def test_other_process_under_the_id_of_a_removed_server_starts_without_load():
    """Guards against the load of an ended process being counted at its successor."""
    config = configuration(routes=[non_idempotent_route()])

    async def scenario(port, pipeline, servers):
        directory = pipeline.dispatcher.directory
        state = directory.servers["server-0"]
        state.record_start("call-1", 0)
        directory.delete("server-0", 0.0)
        directory.put(server_entry("server-0", PLAIN_SERVICE, started_ms=2), 0.0)
        return directory.servers["server-0"].running

    assert run_scenario([[respond_with()]], scenario, config) == 0


def pause_process(seconds):
    """Blocks the event loop, as a suspended VM does."""
    time.sleep(seconds)


@pytest.mark.parametrize("kind", ["plain", "stream"])
def test_answer_that_arrived_during_a_pause_of_the_node_is_delivered(kind):
    """Guards against answers that are ready when the node wakes up, but are thrown away.

    The deadline of the plain request, and the stall limit of the stream, pass during the pause.
    """
    routes = [non_idempotent_route(timeout_s=0.5), stream_route(timeout_s=0.5)]

    async def scenario(port, pipeline, servers):
        pipeline.backend_exchange.stall_limits = StallLimits(min_patience_s=0.2)

        async def action(server, headers, reader, writer):
            if kind == "plain":
                writer.write(response_head(headers, "200 OK", "content-length: 2") + b"ok")
            else:
                writer.write(response_head(headers, "200 OK", "transfer-encoding: chunked"))
                await writer.drain()
                await asyncio.sleep(0.1)
                writer.write(encode_chunk(b"data: ok\n\n") + b"0\r\n\r\n")
            await writer.drain()
            pause_process(1.2)

        servers[0].script = [action]
        path = "/desk-book/x" if kind == "plain" else "/chat/x"
        raw = request_bytes(path, "c1", "POST").replace(b"1500", b"9000")
        return await send_request(port, raw)

    service = PLAIN_SERVICE if kind == "plain" else MODEL_SERVICE
    response = run_scenario([[respond_with()]], scenario, configuration(routes=routes), service)
    assert (response.status, response.complete) == (200, True)
    assert b"ok" in response.body


def test_timeout_expires_in_time_without_a_pause():
    """Guards against requests that outlast their deadline."""

    async def run():
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with pytest.raises(TimeoutError):
            async with PauseTolerantTimeout(started_s + 0.1, 30.0):
                await asyncio.sleep(60)
        assert loop.time() - started_s < 10.0

    asyncio.run(run())


def test_timeout_is_extended_once_only():
    """Guards against a busy process whose timeouts never expire."""

    async def run():
        async with PauseTolerantTimeout(asyncio.get_running_loop().time() + 0.05, 0.05):
            for _pause in range(20):
                pause_process(0.4)
                await asyncio.sleep(0)
                await asyncio.sleep(0)

    with pytest.raises(TimeoutError):
        asyncio.run(run())


def test_cancellation_from_outside_is_not_taken_for_a_timeout():
    """Guards against a caller that disconnects and is recorded as timed out."""

    async def run():
        async def work():
            async with PauseTolerantTimeout(asyncio.get_running_loop().time() + 30.0, 1.0):
                await asyncio.sleep(60)

        task = asyncio.ensure_future(work())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(run())


def test_rescheduled_timeout_expires_at_the_new_time():
    """Guards against a stream that keeps its first limit, or loses it, when events arrive."""

    async def run():
        loop = asyncio.get_running_loop()
        async with PauseTolerantTimeout(loop.time() + 0.05, 1.0) as timeout:
            timeout.reschedule(None)
            await asyncio.sleep(0.2)
            timeout.reschedule(loop.time() + 30.0)
            await asyncio.sleep(0.1)
        reached.append("kept its later expiry")
        async with PauseTolerantTimeout(loop.time() + 30.0, 1.0) as timeout:
            timeout.reschedule(loop.time() + 0.05)
            await asyncio.sleep(60)

    reached = []
    with pytest.raises(TimeoutError):
        asyncio.run(run())
    assert reached


def test_peers_are_not_lost_because_the_node_was_paused():
    """Guards against a node that wakes up, takes all peers for lost and claims their limits."""

    async def scenario(nodes):
        first = nodes[0]
        before = first.live_peer_names()
        pause_process(3.0)
        table = first.dispatcher.peer_table
        lost = []
        remove = table.remove_expired_peers

        def record_lost(now_s):
            lost.extend(peer.name for peer in table.lost_peers(now_s))
            remove(now_s)

        table.remove_expired_peers = record_lost
        sequence = first.exchange.sequence
        await wait_until(lambda: first.exchange.sequence >= sequence + 5)
        assert lost == []
        assert first.live_peer_names() == before

    run_with_fleet(scenario)


def test_fleet_size_outlasts_a_long_pause_of_the_node():
    """Guards against a node that divides the limits of the fleet by one after a long pause."""
    table = PeerTable(0.0)
    for number in range(9):
        table.record_message(peer(f"node-{number}", 100.0))
    table.record_pause(PEER_EXPIRY_S + 5.0)
    now_s = 100.0 + PEER_EXPIRY_S + 5.1
    table.remove_expired_peers(now_s)
    assert table.assumed_fleet_size(now_s) == 10
    assert len(list(table.live_peers(now_s))) == 9
