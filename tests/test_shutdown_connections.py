"""What callers see of their connections when a node stops, down to the bytes in its buffers."""

import asyncio
import os
import signal
import socket
from types import SimpleNamespace

from tanagerworks.published.model import CallerLimits
from tests.edge_builders import configuration
from tests.edge_process_runner import publish_to_store, run_process
from tests.platform_standin import (
    read_response,
    request_bytes,
    respond_with,
    run_scenario,
    send_request,
    wait_until,
)


def test_request_that_is_read_after_the_last_moment_is_refused():
    """Guards against a request that reaches a server although the process is about to exit."""

    async def scenario(port, pipeline, servers):
        now_s = asyncio.get_running_loop().time()
        pipeline.begin_shutdown(now_s + 60.0, now_s)
        pipeline.expire_requests()
        response = await send_request(port, request_bytes("/desk-read/x"))
        return response.status, len(servers[0].requests)

    assert run_scenario([[respond_with()]], scenario) == (503, 0)


async def connect_with_small_buffers(process):
    """Connects a caller that reads little at a time; returns its streams and the connection."""
    address = process.caller_server.listener.sockets[0].getsockname()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect(address)
    reader, writer = await asyncio.open_connection(sock=sock, limit=4_096)
    await wait_until(lambda: process.caller_server.connections)
    (connection,) = process.caller_server.connections
    own_socket = connection.transport.get_extra_info("socket")
    own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    return reader, writer, connection


def test_answer_is_written_to_its_end_before_the_exit():
    """Guards against the loss of output that a slow caller has not taken when the time is over."""

    async def scenario(process, store, server, settings_versions):
        server.script = [respond_with(b"x" * 60_000)]
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        reader, writer, connection = await connect_with_small_buffers(process)
        writer.write(request_bytes("/book/x", "c1", "POST"))
        await wait_until(lambda: connection.unsent_bytes and connection.task is None)
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: not process.caller_server.listener.is_serving())
        reading = asyncio.ensure_future(read_response(reader))
        await wait_until(lambda: process.pipeline.exiting)
        assert not process.caller_server.has_unsent_output()
        assert (await reading).complete

    run_process(scenario)


def test_refusal_lingers_while_the_node_stops():
    """Guards against a reset that destroys a refusal whose caller still sends its body."""

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        reader, writer, connection = await connect_with_small_buffers(process)
        head = request_bytes("/book/x", "c1", "POST", b"", "content-length: 5000000")
        writer.write(head[:20])
        await wait_until(lambda: connection.head_started)
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: process.drain_notice_over)
        writer.write(head[20:])
        await wait_until(lambda: connection.lingering)
        for _ in range(25):
            writer.write(b"x" * 1_000)
            await writer.drain()
            await asyncio.sleep(0.01)
        response = await read_response(reader)
        assert (response.status, response.complete) == (413, True)
        writer.close()

    run_process(scenario)


def test_answer_that_is_being_read_keeps_its_connection():
    """Guards against a reset that destroys a complete answer, as its caller sends a request early.

    The stop closes connections without a request in progress; this one still has output to write.
    """

    async def scenario(process, store, server, settings_versions):
        body = b"x" * 60_000
        server.script = [respond_with(body)]
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        reader, writer, connection = await connect_with_small_buffers(process)
        writer.write(request_bytes("/book/x", "c1", "POST"))
        await wait_until(lambda: connection.unsent_bytes and connection.task is None)
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: process.drain_notice_over)
        writer.write(request_bytes("/book/x", "c2", "POST"))
        responses = [await read_response(reader) for _ in range(2)]
        assert [len(response.body) for response in responses] == [len(body), len(body)]
        assert responses[1].headers["connection"] == "close"

    run_process(scenario, stop_limit_s=6.0)


def test_pipelined_requests_are_answered_while_the_node_stops():
    """Guards against a request that is read and dropped behind a response that ends a connection.

    The first response starts with the second request in the buffer; the second one is the last.
    """

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: process.pipeline.shutdown)
        reader, writer, _connection = await connect_with_small_buffers(process)
        writer.write(b"".join(request_bytes("/book/x", f"c{n}", "POST") for n in range(2)))
        responses = [await read_response(reader) for _ in range(2)]
        assert [response.status for response in responses] == [200, 200]
        assert [response.headers.get("connection") for response in responses] == [None, "close"]

    run_process(scenario)


def test_answer_that_is_being_read_outlasts_the_idle_timeout():
    """Guards against a reset that destroys an answer which its caller reads slowly.

    The time without a request runs out while the answer is read; then the next request comes.
    """
    body = b"x" * 60_000

    async def scenario(port, pipeline, servers):
        reader, writer, connection = await connect_with_small_buffers(
            SimpleNamespace(caller_server=port)
        )
        writer.write(request_bytes("/desk-read/x", "c1"))
        await wait_until(lambda: connection.unsent_bytes and connection.task is None)
        await asyncio.sleep(1.5 * connection.limits.idle_timeout_s)
        writer.write(request_bytes("/desk-read/x", "c2"))
        return [len((await read_response(reader)).body) for _ in range(2)]

    config = configuration(limits=CallerLimits(idle_timeout_s=0.2))
    assert run_scenario([[respond_with(body)]], scenario, config) == [len(body), len(body)]


def test_caller_that_always_sends_ahead_is_told_to_leave():
    """Guards against a connection that stays at an isolated node for as long as its caller likes.

    The caller sends its next request before it has read the response to the last one.
    """

    async def scenario(port, pipeline, servers):
        port.closing_connections = True
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(2 * request_bytes("/desk-read/x"))
        closing = False
        for _ in range(100):
            closing = closing or (await read_response(reader)).headers.get("connection") == "close"
            if closing:
                break
            writer.write(request_bytes("/desk-read/x"))
        writer.close()
        return closing

    assert run_scenario([[respond_with()]], scenario)
