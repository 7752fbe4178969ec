"""What callers see of their connections when a node stops, down to the bytes in its buffers."""

import asyncio
import os
import signal
import socket
from types import SimpleNamespace

import pytest

from tanagerworks.published.model import CallerLimits
from tests.edge_builders import configuration
from tests.edge_node import EdgeNode
from tests.edge_process_runner import publish_to_store, run_process
from tests.platform_standin import (
    ReceivedResponse,
    ServerStandin,
    StoreStandin,
    read_response,
    request_bytes,
    respond_with,
    run_scenario,
    send_request,
    wait_until,
)
from tests.test_fault_planned_stop import StreamShape, publish_stream_route, stream_of


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


def run_beside_node(directory, scenario, stop_limit_s, script, streams=False):
    """Runs `scenario(node, address, server)` beside a process of its own, and waits for its end."""

    async def run():
        store = await StoreStandin().start()
        store.route_timeout_ms = 3_000
        server = await ServerStandin("a", script).start()
        publish_to_store(store, server)
        if streams:
            publish_stream_route(store)
        node = EdgeNode(1, directory, store.address, [], stop_limit_s=stop_limit_s)
        await node.start()
        address = node.callers.split(":")
        try:
            async with asyncio.timeout(60):
                while (
                    await exchange(address, [request_bytes("/book/x", "c", "POST")])
                ).status != 200:
                    await asyncio.sleep(0.05)
                await scenario(node, address, server)
                await node.process.wait()
        finally:
            await node.end(signal.SIGKILL)
            store.server.close_listener()
            server.server.close()

    asyncio.run(run())


async def exchange(address, pieces, times_s=(), first=b""):
    """Sends the pieces of a request at event loop times; returns the response, 0 without one.

    `first` is a request that is sent and answered before.
    """
    loop = asyncio.get_running_loop()
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*address)
        if first:
            writer.write(first)
            await read_response(reader)
        for number, piece in enumerate(pieces):
            if number < len(times_s):
                await asyncio.sleep(times_s[number] - loop.time())
            writer.write(piece)
        return await read_response(reader)
    except OSError:
        return ReceivedResponse(0, {}, b"", False)
    finally:
        if writer is not None:
            writer.close()


@pytest.mark.parametrize(
    ("begin_s", "stop_limit_s", "answer_s"), [(2.5, 8.0, 0.05), (3.2, 4.0, 0.3)]
)
def test_requests_around_the_ends_of_connections_are_answered(
    tmp_path, begin_s, stop_limit_s, answer_s
):
    """Guards against requests that are passed on, or read in part, and cut as connections end.

    They come on kept and on new connections, 5 ms apart, while the node closes idle connections
    (2.6 s after the signal) and exits (3.3 s after it in the second case). Others have begun 0.5 s
    after the signal and are completed then.
    """
    responses = {}
    body = b"b" * 60_000

    async def scenario(node, address, server):
        loop = asyncio.get_running_loop()
        began_s = loop.time() + 0.7

        async def send(call_id, kind, at_s):
            raw = request_bytes("/book/x", call_id, "POST", body)
            raw = raw.replace(b"-ms: 1500", b"-ms: 500")
            cut = {"head": 40, "body": 20_000}.get(kind)
            if cut is not None:
                sending = exchange(address, [raw[:cut], raw[cut:]], (began_s + 0.5, at_s))
            elif kind == "kept":
                first = request_bytes("/book/x", call_id + "-first", "POST")
                sending = exchange(address, [raw], (at_s,), first)
            else:
                await asyncio.sleep(at_s - loop.time())
                sending = exchange(address, [raw[:30_000], raw[30_000:]])
            responses[call_id] = await sending

        async with asyncio.TaskGroup() as group:
            for number in range(60):
                kind = ("kept", "head", "body", "new")[number % 4]
                at_s = began_s + begin_s + 0.005 * number
                group.create_task(send(f"{kind}-{number}", kind, at_s))
            await asyncio.sleep(began_s - loop.time())
            node.signal(signal.SIGTERM)
        passed_on = {headers["x-tanagerworks-attempt-id"] for _line, headers in server.requests}
        complete = {call_id for call_id, response in responses.items() if response.complete}
        assert not {call_id for call_id in responses if call_id in passed_on} - complete
        assert {responses[call_id].status for call_id in complete} <= {200, 503}
        if stop_limit_s == 8.0:
            begun = {call_id for call_id in responses if call_id.startswith(("head", "body"))}
            assert begun <= complete

    run_beside_node(tmp_path, scenario, stop_limit_s, respond_late(answer_s))


@pytest.mark.parametrize("size", [8_000, 3_000_000])
def test_answer_to_a_slow_caller_is_whole(tmp_path, size):
    """Guards against a complete answer that the end of the process destroys.

    The small one is in the kernel's buffers when the process exits; the large one is read slowly
    while the node stops.
    """

    async def scenario(node, address, server):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect((address[0], int(address[1])))
        reader, writer = await asyncio.open_connection(sock=sock, limit=2_048)
        requests_before = len(server.requests)
        writer.write(request_bytes("/book/x", "c1", "POST").replace(b"-ms: 1500", b"-ms: 9000"))
        await wait_until(lambda: len(server.requests) > requests_before)
        node.signal(signal.SIGTERM)
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" in head
        received = 0
        if size < 10_000:
            await node.process.wait()
        while data := await reader.read(30_000):
            received += len(data)
            if received < size / 2:
                await asyncio.sleep(0.001)
        assert received == size
        writer.close()

    run_beside_node(tmp_path, scenario, 8.0, respond_late(0.2, b"x" * size))


@pytest.mark.parametrize("delays_s", [[0.0, 0.02, 0.04, 0.06, 0.08], [-0.5] * 2])
def test_connection_of_a_stream_from_before_the_signal_can_be_used(tmp_path, delays_s):
    """Guards against a next request that is read on a kept connection and gets no answer.

    The head of the stream did not tell the caller to leave. The next request comes just after the
    stream, while the node closes the connection, or before its end.
    """

    async def scenario(node, address, server):
        async def call(number, delay_s):
            reader, writer = await asyncio.open_connection(*address)
            raw = request_bytes("/chat/x", f"stream-{number}", "POST")
            writer.write(raw.replace(b"-ms: 1500", b"-ms: 15000"))
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert b"connection" not in head
            begun.add(number)
            if delay_s < 0.0:
                await stopping.wait()
                writer.write(request_bytes("/book/x", f"next-{number}", "POST"))
            await reader.readuntil(b"\r\n0\r\n\r\n")
            if delay_s >= 0.0:
                await asyncio.sleep(delay_s)
                writer.write(request_bytes("/book/x", f"next-{number}", "POST"))
            response = await read_response(reader)
            writer.close()
            passed_on = {headers["x-tanagerworks-attempt-id"] for _line, headers in server.requests}
            assert response.complete or (f"next-{number}" not in passed_on and delay_s >= 0.0)

        begun, stopping = set(), asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for number, delay_s in enumerate(delays_s):
                group.create_task(call(number, delay_s))
            await wait_until(lambda: len(begun) == len(delays_s))
            node.signal(signal.SIGTERM)
            stopping.set()

    async def answer(server, headers, reader, writer):
        kind = headers["x-tanagerworks-attempt-id"].partition("-")[0]
        action = stream_of(StreamShape(10, 0.4)) if kind == "stream" else respond_with()
        await action(server, headers, reader, writer)

    run_beside_node(tmp_path, scenario, 8.0, answer, streams=True)


def respond_late(delay_s, body=b"ok"):
    """Sends a complete response after some time, or at once to `c`, which waits for the node."""

    async def action(server, headers, reader, writer):
        await asyncio.sleep(delay_s if headers["x-tanagerworks-attempt-id"] != "c" else 0.0)
        await respond_with(body)(server, headers, reader, writer)

    return action


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
