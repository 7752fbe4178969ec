"""Fault: the bodies of running requests take more memory than a node has."""

import asyncio
import gc
import signal
import tracemalloc
from pathlib import Path

import pytest

from tests.edge_builders import API_KEY, MODEL_SERVICE, configuration, stream_route
from tests.edge_node import EdgeNode
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    ServerStandin,
    StoreStandin,
    encode_chunk,
    never_respond,
    read_response,
    request_bytes,
    response_head,
    run_scenario,
    wait_until,
)

BODY_BYTES = 4_000_000
# The memory of a node in the site files.
MEMORY_LIMIT_MB = 300
EVENT = b"id: 1\ndata: piece\n\n"


def held_during_stream(stream_changes):
    """Returns the bytes that a node holds while a stream runs whose request has a large body."""

    async def scenario(port, pipeline, servers):
        first_event, release = asyncio.Event(), asyncio.Event()

        async def stream(server, headers, reader, writer):
            server.bodies.clear()
            head = response_head(
                headers, "200 OK", "content-type: text/event-stream", "transfer-encoding: chunked"
            )
            writer.write(head + encode_chunk(EVENT))
            first_event.set()
            await release.wait()
            writer.write(b"0\r\n\r\n")

        servers[0].script = [stream]
        raw = request_bytes("/chat/x", "c1", "POST", b"b" * BODY_BYTES)
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        tracemalloc.start()
        writer.write(raw)
        await writer.drain()
        await first_event.wait()
        head = await reader.readuntil(b"\r\n\r\n")
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        release.set()
        body = await reader.readuntil(b"0\r\n\r\n")
        writer.close()
        assert head.startswith(b"HTTP/1.1 200")
        assert EVENT in body
        # The stand-in of the server holds the body as well.
        return held - BODY_BYTES

    return run_scenario(
        [[never_respond()]],
        scenario,
        configuration(routes=[stream_route(**stream_changes)]),
        MODEL_SERVICE,
    )


@pytest.mark.parametrize(
    ("stream_changes", "copies"), [({}, 0), ({"resumable": True, "max_attempts": 2}, 1)]
)
def test_body_is_held_once_and_only_while_it_can_be_sent_again(stream_changes, copies):
    """Guards against a node that is killed for its memory by bodies that nobody needs any more."""
    assert held_during_stream(stream_changes) < (copies + 0.5) * BODY_BYTES


def test_bodies_of_running_requests_have_a_bound(tmp_path):
    """Guards against a node that is killed for its memory by bodies that wait for their answers."""

    async def run():
        store = await StoreStandin().start()
        store.page_size = 500
        server = await ServerStandin("a", never_respond()).start()
        route = WIRE_CONFIGURATION["routes"][0] | {
            "weighted-services": [{"service": "models", "weight": 1}]
        }
        store.put("op/config", WIRE_CONFIGURATION | {"routes": [route]})
        store.put("servers/a", WIRE_ENTRY | {"address": f"127.0.0.1:{server.port}"})
        node = EdgeNode(1, tmp_path, store.address, [])
        await node.start()
        host, _colon, port = node.callers.partition(":")
        await wait_until(lambda: b'"started"' in node.log.read_bytes())
        headers = "\r\n".join(
            [
                "host: host.example",
                "x-tanagerworks-deadline-ms: 4000",
                f"authorization: Bearer {API_KEY}",
            ]
        )

        async def upload(number):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"POST /chat/x HTTP/1.1\r\n{headers}\r\nx-tanagerworks-attempt-id: c{number}\r\n"
                f"content-length: {BODY_BYTES}\r\n\r\n".encode() + b"b" * BODY_BYTES
            )
            status = (await read_response(reader)).status
            writer.close()
            return status

        statuses = await asyncio.gather(*(upload(number) for number in range(100)))
        status = Path(f"/proc/{node.process.pid}/status").read_text(encoding="ascii")
        peak_mb = int(status.partition("VmHWM:")[2].split()[0]) / 1024
        await node.end(signal.SIGTERM)
        store.server.close_listener()
        server.server.close()
        return statuses, peak_mb

    statuses, peak_mb = asyncio.run(run())
    assert all(statuses)
    assert peak_mb < MEMORY_LIMIT_MB
