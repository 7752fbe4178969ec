"""What callers get when memory or descriptors are short, and how long their bodies may take."""

import asyncio

import pytest

from tanagerworks.edge.memory_budget import FIRST_REQUEST_GRACE_S
from tanagerworks.edge.process_limits import open_files_limit
from tanagerworks.published.model import CallerLimits
from tests.edge_builders import configuration, non_idempotent_route
from tests.edge_process_runner import edge_settings
from tests.platform_standin import (
    StoreStandin,
    never_respond,
    read_response,
    request_bytes,
    respond_with,
    run_scenario,
    send_request,
    wait_until,
)

UPLOAD = request_bytes("/desk-book/x", "c1", "POST", b"b" * 50_000)


async def connect(port):
    return await asyncio.open_connection(*port.listener.sockets[0].getsockname())


@pytest.mark.parametrize(
    "raw",
    [
        UPLOAD[:-1],
        b"GET /desk-read/x HTTP/1.1\r\nx-a: " + b"a" * 15_000,
        request_bytes("/desk-book/x", "c1", "POST", b"b" * 99, *["a:b"] * 1_500)[:-1],
    ],
    ids=["body", "head", "lines"],
)
def test_request_without_memory_is_refused_as_not_run_and_a_small_one_is_served(raw):
    """Guards against refusals that callers cannot repeat, and against a crowd that stops others."""

    async def scenario(port, pipeline, servers):
        port.memory.limit_bytes = 105_000
        holder_reader, holder_writer = await connect(port)
        holder_writer.write(UPLOAD[:40_000])
        await wait_until(lambda: port.memory.held_bytes > 40_000)
        reader, writer = await connect(port)
        writer.write(raw)
        refused = await read_response(reader)
        served = await send_request(port, request_bytes("/desk-read/x"))
        writer.close()
        holder_writer.close()
        await wait_until(lambda: not port.connections)
        return refused, served, len(servers[0].requests), port.memory.held_bytes

    refused, served, runs, held = run_scenario([[respond_with()]], scenario)
    assert (refused.status, refused.headers["connection"]) == (503, "close")
    assert float(refused.headers["retry-after"]) > 0.0
    assert b'"no_memory"' in refused.body
    assert b'"not_run"' in refused.body
    assert (served.status, runs) == (200, 1)
    assert held == 0


def test_stalled_request_is_ended_for_the_next_one():
    """Guards against memory that belongs to incomplete requests until their timeout."""

    async def scenario(port, pipeline, servers):
        port.memory.limit_bytes = 100_000
        reader, writer = await connect(port)
        writer.write(UPLOAD[:-1])
        await asyncio.sleep(0.6)
        served = await send_request(port, UPLOAD)
        ended = await read_response(reader)
        writer.close()
        return served.status, ended.status, dict(port.ends.total)

    served, ended, reasons = run_scenario([[respond_with()]], scenario)
    assert (served, ended) == (200, 503)
    assert reasons == {"stalled_input": 1}


def test_body_may_take_longer_than_the_idle_timeout_but_not_without_end():
    """Guards against slow callers that are refused, and against bodies that never end."""
    config = configuration(
        routes=[non_idempotent_route(timeout_s=10.0)], limits=CallerLimits(idle_timeout_s=0.5)
    )

    async def scenario(port, pipeline, servers):
        statuses = []
        for port.body_timeout_s in (30.0, 0.6):
            reader, writer = await connect(port)
            for start in range(0, len(UPLOAD), 15_000):
                writer.write(UPLOAD[start : start + 15_000])
                await asyncio.sleep(0.3)
            statuses.append((await read_response(reader)).status)
            writer.close()
        return statuses

    assert run_scenario([[respond_with()]], scenario, config) == [200, 408]


def test_connection_beyond_the_limit_takes_the_place_of_an_idle_one_or_is_refused():
    """Guards against connections that leave no descriptors to servers, and against ended requests.

    Requests that run keep their connections.
    """

    async def scenario(port, pipeline, servers):
        port.max_connections = 2
        idle_reader, _idle_writer = await connect(port)
        # A younger connection is about to send its first request, and is not ended.
        await asyncio.sleep(FIRST_REQUEST_GRACE_S)
        running = [await connect(port)]
        for number in (1, 2):
            running[-1][1].write(request_bytes("/desk-book/x", f"c{number}", "POST"))
            await wait_until(lambda count=number: len(servers[0].requests) == count)
            running.append(await connect(port))
        assert await idle_reader.read() == b""
        refused = await read_response(running[-1][0])
        return refused, servers[0].open, dict(port.ends.total)

    refused, running, reasons = run_scenario([[never_respond()]], scenario)
    assert (refused.status, running) == (503, 2)
    assert float(refused.headers["retry-after"]) > 0.0
    assert reasons == {"idle": 1, "no_descriptor": 1}


def test_descriptors_come_from_the_settings_or_the_system():
    """Guards against a limit that is rendered as null, or that the system does not grant."""
    store = StoreStandin()
    store.address = "127.0.0.1:1"
    assert edge_settings(store, max_open_files=None).max_open_files is None
    assert edge_settings(store, max_open_files=4_100).max_open_files == 4_100
    granted = open_files_limit(None)
    assert open_files_limit(10**9) == granted
    assert open_files_limit(300) == min(300, granted)
