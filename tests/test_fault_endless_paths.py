"""Fault: bytes that are no answer come without end, on each path by which a node reads.

`test_fault_endless_bytes.py` has the attempts of ordinary requests. Here are hedged requests,
probes, checks of connections, listings of caches, pages of the store, and other nodes.
"""

import asyncio

import pytest
from adapter.store import MetadataStore

from tanagerworks.dispatch.server_state import FAILURES_TO_EJECT
from tanagerworks.edge.http_client import HttpClient
from tanagerworks.edge.store_copies import fetch_store_copy
from tanagerworks.errors import PeerError, PublishedStoreError
from tanagerworks.rpc.edge_pb2 import StoreCopyRequest
from tests.edge_builders import configuration, peer, route
from tests.platform_standin import (
    encode_chunk,
    request_bytes,
    respond_with,
    response_head,
    run_scenario,
    wait_until,
)
from tests.test_fault_endless_bytes import MAX_BYTES_READ, PIECE, EndlessServer, chunked_head
from tests.test_hedged_requests import run_hedged, stay_silent

# A copy of the store may have up to 32 MB; the sockets hold some more.
MAX_COPY_BYTES_READ = 40_000_000


def head_without_end(_headers):
    return b"HTTP/1.1 200 OK\r\nx-a: "


def endless(part):
    """A source whose head, or whose body, has no end."""
    if part == "head":
        return EndlessServer(head_without_end, PIECE)
    return EndlessServer(chunked_head, encode_chunk(PIECE))


async def write_until_closed(writer, most):
    """Writes pieces until the reader closes; returns the bytes written, `most` at the most."""
    sent = 0
    try:
        while sent < most:
            writer.write(PIECE)
            sent += len(PIECE)
            await writer.drain()
            # On one event loop, the reader needs a turn.
            await asyncio.sleep(0)
    except ConnectionError:
        pass
    writer.close()
    return sent


async def send_without_reading(port, raw):
    """Sends a request whose response the caller does not take; returns the open connection."""
    address = port.listener.sockets[0].getsockname()
    _reader, writer = await asyncio.open_connection(*address, limit=1024)
    writer.write(raw)
    return writer


@pytest.mark.parametrize("part", ["head", "body"])
def test_second_attempt_of_a_hedged_request(part):
    """Guards against a hedged request whose second server fills the memory of the node."""
    source = endless(part)

    async def scenario(port, pipeline, arrivals):
        arrivals.actions = [stay_silent, source.act]
        writer = await send_without_reading(port, request_bytes("/desk-read/x"))
        await source.cut_off.wait()
        await wait_until(lambda: not pipeline.active_requests)
        writer.close()

    run_hedged(scenario)
    assert source.sent < MAX_BYTES_READ


@pytest.mark.parametrize("part", ["head", "body"])
def test_probe_of_an_ejected_server(part):
    """Guards against a faulty server that fills the memory of the node that probes it."""
    source = endless(part)

    async def scenario(port, pipeline, servers):
        state = pipeline.dispatcher.directory.servers["server-0"]
        probes = []

        async def act(*arguments):
            probes.append(state.probe_call_id)
            await source.act(*arguments)

        servers[0].script = [act]
        now_s = asyncio.get_running_loop().time()
        for _failure in range(FAILURES_TO_EJECT):
            state.record_failure(now_s - 10.0)
        writer = await send_without_reading(port, request_bytes("/desk-read/x"))
        await source.cut_off.wait()
        await wait_until(lambda: not pipeline.active_requests)
        assert probes == ["c0ffee"]
        writer.close()

    run_scenario([[respond_with()]], scenario, configuration(routes=[route(max_attempts=1)]))
    assert source.sent < MAX_BYTES_READ


def test_check_of_a_connection():
    """Guards against a check that reads what a server sends without a request."""

    async def scenario(port, pipeline, servers):
        sent = asyncio.get_running_loop().create_future()

        async def send(_reader, writer):
            sent.set_result(await write_until_closed(writer, MAX_BYTES_READ))

        servers[0].server.close()
        server = await asyncio.start_server(send, "127.0.0.1", servers[0].port)
        state = pipeline.dispatcher.directory.servers["server-0"]
        assert await pipeline.reachability_check._accepts(state)
        try:
            return await sent
        finally:
            server.close()

    assert run_scenario([[respond_with()]], scenario) < MAX_BYTES_READ


@pytest.mark.parametrize("part", ["head", "body"])
@pytest.mark.parametrize("read", ["listing", "page"])
def test_listing_of_a_cache_and_page_of_the_store(read, part):
    """Guards against a node that starts and is filled by the first server that it asks."""

    def start(headers):
        return head_without_end(headers) if part == "head" else _unsigned_chunked(headers)

    source = EndlessServer(start, PIECE if part == "head" else encode_chunk(PIECE))

    async def scenario(port, pipeline, servers):
        servers[0].script = [source.act]
        address = f"127.0.0.1:{servers[0].port}"
        if read == "listing":
            reading = HttpClient(address).get("/kv-list", 15.0)
        else:
            reading = MetadataStore(address).list_page("", 15.0)
        with pytest.raises(PublishedStoreError):
            await reading
        await source.cut_off.wait()

    run_scenario([[respond_with()]], scenario)
    assert source.sent < MAX_BYTES_READ


def _unsigned_chunked(_headers):
    return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("start", [b"", (30_000_000).to_bytes(4, "big")])
def test_copy_from_a_peer(start):
    """Guards against a peer that answers with anything but a copy of the store."""

    async def run():
        sent = asyncio.get_running_loop().create_future()

        async def send(_reader, writer):
            writer.write(start)
            sent.set_result(await write_until_closed(writer, 2 * MAX_COPY_BYTES_READ))

        server = await asyncio.start_server(send, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        with pytest.raises(PeerError):
            await fetch_store_copy(f"{host}:{port}", StoreCopyRequest())
        server.close()
        return await sent

    assert asyncio.run(run()) < MAX_COPY_BYTES_READ


@pytest.mark.parametrize("part", ["head", "body"])
def test_node_to_which_a_request_is_forwarded(part):
    """Guards against a node that fills the memory of those that are cut off from the servers."""

    def start(headers):
        if part == "head":
            return head_without_end(headers)
        extra = ("transfer-encoding: chunked", "tanager-software: v1")
        return response_head(headers, "200 OK", *extra)

    source = EndlessServer(start, PIECE if part == "head" else encode_chunk(PIECE))

    async def scenario(port, pipeline, servers):
        servers[0].script = [source.act]
        now_s = asyncio.get_running_loop().time()
        other = peer("node-2", now_s, message_interval_s=9.0, forwarding_port=servers[0].port)
        pipeline.dispatcher.peer_table.record_message(other)
        pipeline.reachability_check.reachability.record_check(0, 6, now_s)
        assert pipeline.reachability_check.is_cut_off
        writer = await send_without_reading(port, request_bytes("/desk-read/x"))
        await source.cut_off.wait()
        await wait_until(lambda: not pipeline.active_requests)
        writer.close()

    run_scenario([[respond_with()]], scenario)
    assert source.sent < MAX_BYTES_READ
