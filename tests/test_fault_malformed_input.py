"""Fault: one malformed message or unexpected error takes a whole process down.

Callers, backend servers, peers and writers to the store send what no one expects. The process logs
it and goes on: it serves callers, keeps sending messages to its peers, and shuts down gracefully.
"""

import asyncio
import struct
import tracemalloc
import zlib

import pytest

from tanagerworks.edge import peers as peers_module
from tanagerworks.edge.store_copies import MAX_COPY_REQUEST_BYTES, fetch_store_copy
from tanagerworks.errors import PeerError
from tanagerworks.published.model import CallerLimits
from tanagerworks.rpc.edge_pb2 import NodeState, StoreCopy, StoreCopyRequest
from tests.edge_builders import (
    MODEL_SERVICE,
    configuration,
    non_idempotent_route,
    route,
    stream_route,
)
from tests.edge_process_runner import publish_to_store, run_process
from tests.platform_standin import (
    request_bytes,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    single_request_scenario,
    wait_until,
)
from tests.test_edge_peers import run_with_fleet

UNUSABLE_ADDRESSES = [
    "",
    "no-port",
    "127.0.0.1:",
    "127.0.0.1:port",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "300.1.1.1:80",
    "localhost:80",
    "::1:80",
    "127.0.0.1:80\x00",
]


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
@pytest.mark.parametrize("field", ["address", "known_addresses"])
def test_unusable_address_in_a_message_does_not_stop_the_exchange(address, field):
    """Guards against a node whose messages fail from one bad address on, so that it seems lost."""

    async def scenario(nodes):
        first, second = nodes
        state = NodeState(
            name="node-x", address="127.0.0.1:9", zone="zone-b", incarnation=1, sequence=1
        )
        if field == "address":
            state.address = address
        else:
            state.known_addresses.append(address)
        first.exchange.datagram_received(state.SerializeToString(), ("127.0.0.1", 9))
        sequence = second.dispatcher.peer_table.peers["node-0"].sequence
        # Two rounds: both still send their state to each other.
        await wait_until(
            lambda: second.dispatcher.peer_table.peers["node-0"].sequence >= sequence + 2
        )
        first.exchange.announce()

    run_with_fleet(scenario, count=2)


def test_number_of_addresses_in_a_message_is_bounded():
    """Guards against a message that makes a node send datagrams to thousands of addresses."""

    async def scenario(nodes):
        first = nodes[0]
        state = NodeState(
            name="node-1", address=nodes[1].exchange.address, zone="zone-b", incarnation=1
        )
        state.sequence = 10_000
        state.known_addresses.extend(f"127.0.1.{n}:{p}" for n in range(250) for p in range(1, 9))
        first.exchange.datagram_received(state.SerializeToString(), ("127.0.0.1", 9))
        assert len(first.exchange.introduction_attempts) <= 16

    run_with_fleet(scenario, count=2)


def test_message_interval_of_a_peer_is_bounded():
    """Guards against a peer that counts as live for weeks after one malformed message."""

    async def scenario(nodes):
        first = nodes[0]
        state = NodeState(
            name="node-x",
            address="127.0.0.1:9",
            zone="zone-b",
            incarnation=1,
            sequence=1,
            interval_ms=2**32 - 1,
        )
        first.exchange.datagram_received(state.SerializeToString(), ("127.0.0.1", 9))
        peer = first.dispatcher.peer_table.peers["node-x"]
        assert not peer.is_live(peer.last_seen_s + 300.0)

    run_with_fleet(scenario, count=2)


def framed(data):
    return struct.pack("!I", len(data)) + data


def endless_copy():
    """A copy of the store that takes 400 MB after decompression."""
    compressor = zlib.compressobj(9)
    data = b"".join(compressor.compress(b"\0" * 4_000_000) for _piece in range(100))
    return framed(data + compressor.flush())


BAD_COPIES = {
    "garbage": framed(b"garbage"),
    "too long": struct.pack("!I", 2**32 - 1),
    "ends early": struct.pack("!I", 100) + b"a",
    "not a copy": framed(zlib.compress(b"\xff" * 50)),
    "nothing": b"",
}


@pytest.mark.parametrize("kind", [*BAD_COPIES, "grows without end"])
def test_bad_copy_of_a_peer_raises_peer_error(kind):
    """Guards against a copy of the store that ends a task or takes all memory."""
    answer = BAD_COPIES.get(kind) or (endless_copy() if kind == "grows without end" else b"")

    async def run():
        async def respond(reader, writer):
            await reader.read(10)
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(PeerError):
            await fetch_store_copy(f"127.0.0.1:{port}", StoreCopyRequest())
        server.close()

    tracemalloc.start()
    try:
        asyncio.run(run())
        _now, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # The limit of a copy is 32 MB.
    assert peak_bytes < 100_000_000


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
def test_fetch_from_an_unusable_address_raises_peer_error(address):
    """Guards against an exception that the callers of the fetch do not handle."""
    with pytest.raises(PeerError):
        asyncio.run(fetch_store_copy(address, StoreCopyRequest()))


@pytest.mark.parametrize(
    "request_data",
    [b"garbage" * 100, struct.pack("!I", 2**31), framed(b"\xff" * 20), b"", b"\0"],
)
def test_bad_request_for_a_copy_leaves_the_next_one_served(request_data, caplog):
    """Guards against a copy server that ends, or waits for gigabytes, after a bad request."""

    async def scenario(nodes):
        host, port = nodes[0].exchange.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_data)
        writer.write_eof()
        assert await reader.read() == b""
        writer.close()
        copy = await fetch_store_copy(
            nodes[0].exchange.address, StoreCopyRequest(with_placements=True)
        )
        assert copy.revision == 0

    run_with_fleet(scenario, count=2)
    assert "Unhandled exception" not in caplog.text


def test_request_for_a_copy_is_small():
    """Guards against peers that make a node buffer what no valid request contains."""
    request = StoreCopyRequest(after=2**64 - 1, with_placements=True).SerializeToString()
    assert len(request) < MAX_COPY_REQUEST_BYTES < 10_000


def test_failed_fetch_is_logged_and_tried_again(caplog):
    """Guards against an unexpected error that keeps a node from the store's changes for good."""

    async def scenario(nodes):
        first, second = nodes
        calls = []
        fetch = peers_module.fetch_store_copy

        async def fail_once(address, request):
            calls.append(address)
            if len(calls) == 1:
                raise RuntimeError("unforeseen")
            return await fetch(address, request)

        peers_module.fetch_store_copy = fail_once
        try:
            first.store_view.replica.revision = 5
            await wait_until(lambda: second.store_view.replica.revision == 5)
        finally:
            peers_module.fetch_store_copy = fetch

    run_with_fleet(scenario, count=2)
    assert "unforeseen" in caplog.text


MALFORMED_HEADERS = [
    "x-tanagerworks-prefix-hash: a1:" + "9" * 5000,
    "x-tanagerworks-prefix-hash: a1:" + "9" * 400,
    "x-tanagerworks-prefix-hash: a1:\xb2,b:\xb9",
    "x-tanagerworks-prefix-hash: ,,:,a:,:5,a:-5",
    "x-tanagerworks-prefix-hash: " + ",".join(f"{n}:4000000000" for n in range(800)),
    "x-tanagerworks-deadline-ms: " + "9" * 5000,
    "x-tanagerworks-deadline-ms: \xb2",
    "x-tanagerworks-deadline-ms: .",
    "last-event-id: \xff",
    "authorization: Bearer",
    "connection: \xff,,,",
    "x-tanagerworks-model: \xff",
]


@pytest.mark.parametrize("header", MALFORMED_HEADERS)
def test_malformed_caller_header_does_not_fail_the_request(header, caplog):
    """Guards against an unexpected error of the handler, and against numbers no message can hold.

    The number of prompt tokens goes into the messages to the peers.
    """
    raw = request_bytes("/chat/x", "c1", "POST", b"", "x-tanagerworks-model: m")
    raw = raw.replace(b"\r\n\r\n", b"\r\n" + header.encode("latin-1") + b"\r\n\r\n")

    async def scenario(port, pipeline, servers):
        response = await send_request(port, raw)
        for state in pipeline.dispatcher.directory.servers.values():
            assert 0 <= state.prefill_tokens < 2**31
        return response

    response = run_scenario(
        [[respond_with()]], scenario, configuration(routes=[stream_route()]), MODEL_SERVICE
    )
    assert response.status in (200, 400, 401)
    assert "request handler failed" not in caplog.text


@pytest.mark.parametrize("tokens", ["9" * 400, "4000000000", "2147483647"])
def test_prompt_of_any_stated_length_fits_into_the_messages_to_peers(tokens):
    """Guards against a prompt that stops the messages of its node while the request runs."""
    raw = request_bytes(
        "/chat/x",
        "c1",
        "POST",
        b"",
        "x-tanagerworks-model: m",
        "x-tanagerworks-prefix-hash: " + ",".join(f"{n}:{tokens}" for n in range(4)),
    )

    async def scenario(port, pipeline, servers):
        largest = []

        async def action(server, headers, reader, writer):
            for state in pipeline.dispatcher.directory.servers.values():
                largest.append(state.prefill_tokens)
                NodeState().loads.add(server_id="a", running=1, prefill_tokens=state.prefill_tokens)
            writer.write(response_head(headers, "200 OK", "content-length: 0"))

        servers[0].script = [action]
        response = await send_request(port, raw)
        assert largest
        return response

    response = run_scenario(
        [[respond_with()]], scenario, configuration(routes=[stream_route()]), MODEL_SERVICE
    )
    assert response.status == 200


MALFORMED_ANSWERS = [
    b"HTTP/1.1 099 Odd\r\n\r\n",
    b"HTTP/1.1 1000 Odd\r\n\r\n",
    b"HTTP/9.9 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n: no name\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: " + b"9" * 5000 + b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n",
    b"\x00" * 100,
    b"\r\n\r\n",
]


@pytest.mark.parametrize("answer", MALFORMED_ANSWERS)
def test_malformed_answer_is_a_typed_failure(answer, caplog):
    """Guards against bytes of a server that fail the handler or reach the caller."""

    async def action(server, headers, reader, writer):
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        raise ConnectionResetError

    response = run_scenario(
        [[action]],
        single_request_scenario(request_bytes("/desk-book/x", method="POST")),
        configuration(routes=[non_idempotent_route()]),
    )[0]
    assert response.status == 502
    assert b"backend_" in response.body
    assert "request handler failed" not in caplog.text


@pytest.mark.parametrize(
    "load", ["9" * 5000 + ",1,2", "1,2", ",,", "-1,2,3", "1,\xb2,3", "9" * 400 + ",0,1"]
)
def test_malformed_load_of_a_server_is_ignored(load):
    """Guards against a request that fails, or a server that seems full, because of its load."""

    async def action(server, headers, reader, writer):
        writer.write(
            response_head(
                headers, "200 OK", "content-length: 2", f"x-tanagerworks-server-load: {load}"
            ).replace("\xb2".encode(), b"\xb2")
            + b"ok"
        )

    async def scenario(port, pipeline, servers):
        return [await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in range(3)]

    results = run_scenario([[action]], scenario, configuration(routes=[route()]))
    assert [result.status for result in results] == [200] * 3


def test_load_with_four_figures_is_used_and_a_false_one_logged_once(caplog):
    """Guards against the loss of loads and speeds that servers state, and against a log line each.

    Guards also against slowness that counts twice, in the average of the times and as the factor.
    """
    loads = iter(["2,3,8,280", "2,3,8,0", "2,3,8,oops", "0,0,8"])

    async def action(server, headers, reader, writer):
        await asyncio.sleep(0.1)
        head = f"x-tanagerworks-server-load: {next(loads)}"
        writer.write(response_head(headers, "200 OK", "content-length: 2", head) + b"ok")

    async def scenario(port, pipeline, servers):
        state = pipeline.dispatcher.directory.servers["server-0"]
        seen = []
        for number in range(4):
            sent_s = asyncio.get_running_loop().time()
            await send_request(port, request_bytes("/desk-read/x", f"c{number}"))
            took_s = asyncio.get_running_loop().time() - sent_s
            latest = state.reports.latest
            seen.append((latest.running, latest.waiting, latest.work_time_factor))
            if number == 0:
                slowdown = state.slowdown(latest.reported_at_s)
                assert slowdown > 1.5
                # The average begins at 0.05 s; a tenth of the new time is taken into it.
                assert state.service_time_s < 0.045 + 0.1 * took_s * 1.1 / slowdown
        return seen

    seen = run_scenario([[action]], scenario, configuration(routes=[route()]))
    assert seen == [(2, 3, 2.8)] * 3 + [(0, 0, None)]
    messages = [record.getMessage() for record in caplog.records]
    assert messages.count("load of a server cannot be read") == 1


def test_answer_framed_twice_is_relayed_by_its_chunks():
    """Guards against a `content-length` that contradicts the chunks of the same response."""

    async def action(server, headers, reader, writer):
        head = response_head(headers, "200 OK", "content-length: 500", "transfer-encoding: chunked")
        writer.write(head + b"5\r\nwhole\r\n0\r\n\r\n")

    for path, config, service in [
        ("/desk-read/x", configuration(routes=[route()]), "desk"),
        ("/chat/x", configuration(routes=[stream_route()]), MODEL_SERVICE),
    ]:
        response, _counts, _servers = run_scenario(
            [[action]], single_request_scenario(request_bytes(path, method="POST")), config, service
        )
        assert (response.status, response.body, response.complete) == (200, b"whole", True)


def test_route_without_a_target_is_refused_as_not_run(caplog):
    """Guards against an unexpected error for a route whose services all have weight 0."""
    config = configuration(routes=[route(targets=())])
    response = run_scenario(
        [[respond_with()]], single_request_scenario(request_bytes("/desk-read/x")), config
    )[0]
    assert response.status == 503
    assert "request handler failed" not in caplog.text


BAD_VALUES = [
    b"",
    b"\xff\xfe",
    b"null",
    b"[]",
    b"{",
    b"[" * 100_000,
    b'{"version": 1e400, "routes": [], "services": []}',
    b'{"version": 9, "routes": [{}], "services": []}',
    b'{"version": 9, "routes": {}, "services": null, "limits": 5}',
]


@pytest.mark.parametrize("value", BAD_VALUES)
def test_bad_values_in_the_store_leave_the_others_in_force(value):
    """Guards against a value of another writer that ends the following of the store."""

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        for key in ("op/config", "servers/b", "servers/", "op/evacuate/", "odd/key", "servers/a/b"):
            store.put(key, value)
        store.put("servers/last", {"service": "desk"})
        store.put("op/evacuate/zone-x", value)
        await wait_until(lambda: "zone-x" in process.dispatcher.directory.zones_out)
        response = await send_request(process.caller_server, request_bytes("/book/x"))
        assert (response.status, process.dispatcher.version) == (200, 7)
        process.stop_requested.set()

    run_process(scenario)


def test_unexpected_error_in_each_task_is_logged_and_the_task_goes_on(caplog):
    """Guards against a background task that ends, or takes the process down, with one error."""

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        failures = []

        def fail_once(owner, name):
            original = getattr(owner, name)

            def fail(*arguments, **keywords):
                setattr(owner, name, original)
                failures.append(name)
                raise RuntimeError(f"unforeseen in {name}")

            setattr(owner, name, fail)

        steps = [
            (process.dispatcher.directory, "apply_held_deletions"),
            (process.peer_exchange, "_send_round"),
            (process.store_view, "apply"),
            (process.pipeline.backend_exchange.pool, "close_expired"),
            (process, "reload_settings"),
        ]
        for owner, name in steps:
            fail_once(owner, name)
        store.put("op/evacuate/zone-x", b"1")
        await wait_until(lambda: len(failures) == len(steps))
        await wait_until(lambda: "zone-x" in process.dispatcher.directory.zones_out)
        response = await send_request(process.caller_server, request_bytes("/book/x"))
        assert response.status == 200
        # The recovery of the caches and the installation of the metrics end by themselves.
        lasting = [*process.tasks[:4], process.tasks[-1]]
        assert not any(task.done() for task in lasting)
        for name in failures:
            assert f"unforeseen in {name}" in caplog.text

    run_process(scenario)


def test_unexpected_error_in_a_handler_is_answered_and_leaves_the_connection_usable(caplog):
    """Guards against a caller that waits for ever, or a connection that is never released."""

    async def scenario(port, pipeline, servers):
        choose = pipeline.dispatcher.choose_server

        def fail_once(*arguments):
            pipeline.dispatcher.choose_server = choose
            raise RuntimeError("unforeseen")

        pipeline.dispatcher.choose_server = fail_once
        first = await send_request(port, request_bytes("/desk-read/x", "c1"))
        second = await send_request(port, request_bytes("/desk-read/x", "c2"))
        await wait_until(lambda: not port.connections)
        return first, second, pipeline.active_requests

    first, second, active = run_scenario([[respond_with()]], scenario)
    assert (first.status, second.status, active) == (500, 200, 0)
    assert "unforeseen" in caplog.text


def test_empty_copy_is_valid():
    """Guards against a check of copies that refuses those of a peer without any item."""

    async def scenario(nodes):
        copy = await fetch_store_copy(
            nodes[0].exchange.address, StoreCopyRequest(with_placements=True)
        )
        assert copy == StoreCopy()

    run_with_fleet(scenario, count=2)


HEAD_LIMITS = CallerLimits(max_header_bytes=8_000, max_body_bytes=1_000)


@pytest.mark.parametrize(
    "extra",
    [("x-long: " + "a" * 64_000,), tuple(f"x-{number}: a" for number in range(10_000))],
)
def test_head_over_the_limit_is_refused_also_if_it_arrives_whole(extra):
    """Guards against a head of any size that reaches a server because it came in one piece."""
    config = configuration(limits=HEAD_LIMITS)
    raw = request_bytes("/desk-read/x", "c1", "GET", b"", *extra)
    response, counts, _servers = run_scenario(
        [[respond_with()]], single_request_scenario(raw), config
    )
    assert response.status == 431
    assert counts == [0]


def test_head_at_the_limit_is_served():
    """Guards against the refusal of a head that the operators allow."""
    config = configuration(limits=HEAD_LIMITS)
    short = request_bytes("/desk-read/x", "c1", "GET", b"", "x-long: ")
    filler = "a" * (HEAD_LIMITS.max_header_bytes - len(short))
    raw = request_bytes("/desk-read/x", "c1", "GET", b"", "x-long: " + filler)
    assert len(raw) == HEAD_LIMITS.max_header_bytes
    response, _counts, _servers = run_scenario(
        [[respond_with()]], single_request_scenario(raw), config
    )
    assert response.status == 200


def test_body_of_a_stated_length_over_the_limit_is_refused_before_it_arrives():
    """Guards against a caller who sends a body for nothing, and waits for the refusal."""
    config = configuration(limits=HEAD_LIMITS)
    raw = request_bytes("/desk-book/x", "c1", "POST", b"", "content-length: 1001")
    response, counts, _servers = run_scenario(
        [[respond_with()]], single_request_scenario(raw), config
    )
    assert response.status == 413
    assert counts == [0]
