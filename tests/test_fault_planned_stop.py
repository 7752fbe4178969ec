"""Fault: a planned stop under load cuts off requests that have just been accepted.

Requests are sent in the last milliseconds before and after the stop signal, on kept and on new
connections, until the process has ended. Each request that was read gets a complete answer.
"""

import asyncio
import fcntl
import os
import signal
import time
from dataclasses import dataclass, replace

import pytest

from tests.edge_node import EdgeNode
from tests.edge_process_runner import edge_settings, publish_to_store, run_process
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    StoreStandin,
    encode_chunk,
    never_respond,
    read_response,
    request_bytes,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    wait_until,
)

# Answers that promise that the request has not run, and those of the server.
COMPLETE_STATUSES = (200, 503)


def respond_after(delay_s):
    async def action(server, headers, reader, writer):
        await asyncio.sleep(delay_s)
        writer.write(response_head(headers, "200 OK", "content-length: 2") + b"ok")

    return action


class Caller:
    """Sends requests one after the other on one connection, until the process closes it.

    The first response with `connection: close` ends the use of the connection.
    """

    def __init__(self, address, name):
        self.address = address
        self.name = name
        self.responses = []
        # Requests that were written and got no complete response.
        self.cut = 0

    async def run(self, pause_s):
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except ConnectionResetError as error:
            # The port was closed while the connection waited to be accepted; nothing was sent.
            raise ConnectionRefusedError("closed while connecting") from error
        for number in range(1000):
            writer.write(request_bytes("/book/x", f"{self.name}-{number}", "POST"))
            response = await read_response(reader)
            if not response.complete:
                self.cut += 1
                break
            self.responses.append(response)
            if response.headers.get("connection") == "close":
                break
            await asyncio.sleep(pause_s)
        writer.close()


def test_requests_around_the_stop_signal_get_complete_answers():
    """Guards against requests that are accepted around the signal and never answered.

    Every few milliseconds a request arrives on a new connection, and others on kept ones.
    """

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        server.script = [respond_after(0.05)]
        await wait_until(process.is_ready)
        address = process.caller_server.listener.sockets[0].getsockname()
        kept = [Caller(address, f"kept-{n}") for n in range(10)]
        tasks = [asyncio.ensure_future(caller.run(0.02)) for caller in kept]
        refused = 0
        new = []
        for number in range(250):
            if number == 40:
                os.kill(os.getpid(), signal.SIGTERM)
            caller = Caller(address, f"new-{number}")
            new.append(caller)
            tasks.append(asyncio.ensure_future(caller.run(0.5)))
            await asyncio.sleep(0.002 if 20 < number < 60 else 0.015)
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, ConnectionRefusedError):
                refused += 1
            else:
                assert result is None
        assert refused < len(new) / 2
        assert sum(caller.cut for caller in new) == 0
        # A kept connection may be closed while its next request is on the way, but only once the
        # caller was told so; all callers here stop at that answer.
        assert sum(caller.cut for caller in kept) == 0
        responses = [response for caller in kept + new for response in caller.responses]
        assert len(responses) >= 200
        assert {response.status for response in responses} <= set(COMPLETE_STATUSES)

    run_process(scenario)


def test_connection_that_has_just_been_opened_is_not_closed_as_idle():
    """Guards against a new caller whose connection is closed before its request arrives.

    After the drain notice the process closes idle connections in short intervals.
    """

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        address = process.caller_server.listener.sockets[0].getsockname()
        server.script = [respond_after(3.5), respond_after(0.0)]
        # Keeps the process from ending before the others have been served.
        raw = request_bytes("/book/x", "c", "POST").replace(b"1500", b"9000")
        holder = asyncio.ensure_future(send_request(process.caller_server, raw))
        await wait_until(lambda: server.requests)
        process.stop_requested.set()
        await wait_until(lambda: process.drain_notice_over)
        responses = []
        for number in range(3):
            reader, writer = await asyncio.open_connection(*address)
            # Longer than the interval in which idle connections are closed.
            await asyncio.sleep(0.15)
            writer.write(request_bytes("/book/x", f"c{number}", "POST"))
            responses.append(await read_response(reader))
            writer.close()
        await holder
        assert all(response.complete for response in responses)
        assert {response.status for response in responses} <= set(COMPLETE_STATUSES)

    run_process(scenario, route_timeout_ms=60_000, stop_limit_s=8.0)


@pytest.mark.parametrize("path", ["/book/x"])
def test_request_that_outlasts_the_stop_is_answered(path):
    """Guards against a request that is cut when the time for the stop is over.

    The server never responds. The caller has to learn that the request may have run.
    """

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        server.script = [never_respond()]
        raw = request_bytes(path, "c1", "POST").replace(b"1500", b"60000")
        pending = asyncio.ensure_future(send_request(process.caller_server, raw))
        await wait_until(lambda: server.requests)
        process.stop_requested.set()
        response = await pending
        assert (response.status, response.complete) == (504, True)

    run_process(scenario, route_timeout_ms=60_000)


def test_stop_is_counted_from_the_signal_while_the_event_loop_is_held_up():
    """Guards against a process that is killed in its stop, as it has seen the signal late.

    Whoever sent the signal kills the process when the time for the stop is over.
    """

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        server.script = [never_respond()]
        raw = request_bytes("/book/x", "c1", "POST").replace(b"1500", b"60000")
        pending = asyncio.ensure_future(send_request(process.caller_server, raw))
        await wait_until(lambda: server.requests)
        os.kill(os.getpid(), signal.SIGTERM)
        signalled_s = time.monotonic()
        while time.monotonic() < signalled_s + 1.2:
            pass
        response = await pending
        assert (response.status, response.complete) == (504, True)
        assert time.monotonic() < signalled_s + 4.0

    run_process(scenario, route_timeout_ms=60_000, stop_limit_s=4.0)


def test_stop_without_requests_is_short():
    """Guards against a stop that lasts longer than the balancer needs to notice it."""

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        process.stop_requested.set()
        await wait_until(lambda: not process.caller_server.listener.is_serving())
        assert loop.time() - started_s < edge_settings(store).bounds.stop_limit_s

    run_process(scenario)


def test_held_deletion_is_applied_while_the_node_stops():
    """Guards against a stopping node that sends requests to a server that has left."""

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        directory = process.dispatcher.directory
        directory.hold_deletions(asyncio.get_running_loop().time() - 1.0)
        store.delete("servers/a")
        await wait_until(lambda: directory.held_deletions)
        # A request in progress keeps the process from ending.
        async with asyncio.TaskGroup() as group:
            server.script = [respond_after(1.3)]
            answer = group.create_task(
                send_request(process.caller_server, request_bytes("/book/x", "last", "POST"))
            )
            await wait_until(lambda: process.pipeline.active_requests)
            os.kill(os.getpid(), signal.SIGTERM)
            await wait_until(lambda: "a" not in directory.servers)
            assert process.pipeline.active_requests
        assert answer.result().status == 200

    run_process(scenario, route_timeout_ms=4000)


def test_late_request_that_may_not_be_repeated_is_refused_while_the_node_stops():
    """Guards against a request that is cut at the end of the stop, when it may have run.

    The node still takes such a request if it has all its time, and repeatable ones for longer.
    """

    async def scenario(port, pipeline, servers):
        now_s = asyncio.get_running_loop().time()
        pipeline.begin_shutdown(now_s + 1.0, now_s)
        late = await send_request(port, request_bytes("/desk-book/x", "c1", "POST"))
        requests_before = len(servers[0].requests)
        repeatable = await send_request(port, request_bytes("/desk-read/x", "c2"))
        pipeline.begin_shutdown(now_s + 5.0, now_s)
        early = await send_request(port, request_bytes("/desk-book/x", "c3", "POST"))
        return late, requests_before, repeatable, early

    late, requests_before, repeatable, early = run_scenario([[respond_with()]], scenario)
    assert (late.status, requests_before) == (503, 0)
    assert (repeatable.status, early.status) == (200, 200)


def publish_stream_route(store):
    """Publishes a route of streams that one server gets once, for 15 s at most."""
    stream, plain = WIRE_CONFIGURATION["routes"]
    stream = stream | {
        "weighted-services": [{"service": "desk", "weight": 1}],
        "max-attempts": 1,
        "resumable": False,
    }
    changes = {"version": WIRE_CONFIGURATION["version"] + 1, "routes": [stream, plain]}
    store.put("op/config", WIRE_CONFIGURATION | changes)


@dataclass
class StreamShape:
    """Length and pace of the streams that a server sends from now on."""

    events: int
    gap_s: float


def stream_of(shape):
    """Sends a stream with `shape.gap_s` before each event, both as they are at that moment."""

    async def action(server, headers, reader, writer):
        kind = ("content-type: text/event-stream", "transfer-encoding: chunked")
        writer.write(response_head(headers, "200 OK", *kind))
        for number in range(1, shape.events + 1):
            await asyncio.sleep(shape.gap_s)
            writer.write(encode_chunk(b"id: %d\ndata: x\n\n" % number))
        writer.write(b"0\r\n\r\n")

    return action


@pytest.mark.parametrize(
    ("early", "late"),
    [
        (StreamShape(10, 0.05), StreamShape(10, 0.175)),
        (StreamShape(10, 0.02), StreamShape(10, 0.4)),
        (StreamShape(10, 0.02), StreamShape(200, 0.02)),
    ],
    ids=["slower", "far slower", "longer"],
)
def test_stream_that_comes_late_in_a_stop_is_refused_or_whole(early, late):
    """Guards against streams that are taken late and cut, as they last longer than those before.

    The balancer sends new callers to a node during its whole stop if too few others are left.
    """

    async def scenario(process, store, server, settings_versions):
        shape = replace(early)
        server.script = [stream_of(shape)]
        publish_to_store(store, server)
        publish_stream_route(store)
        await wait_until(process.is_ready)

        def send(call_id):
            raw = request_bytes("/chat/x", call_id, "POST").replace(b"1500", b"15000")
            return asyncio.ensure_future(send_request(process.caller_server, raw))

        for batch in ("a", "b"):
            ended = [send(f"early-{batch}{number}") for number in range(4)]
            assert all(response.complete for response in await asyncio.gather(*ended))
        process.stop_requested.set()
        # Keeps the process from ending before the late ones come.
        await asyncio.sleep(2.3)
        shape.events, shape.gap_s = 10, 0.05
        holder = send("holder")
        await wait_until(lambda: process.drain_notice_over)
        shape.events, shape.gap_s = late.events, late.gap_s
        sent = {f"late-{number}": send(f"late-{number}") for number in range(4)}
        await asyncio.gather(holder, *sent.values(), return_exceptions=True)
        passed_on = {headers["x-tanagerworks-attempt-id"] for _line, headers in server.requests}
        cut = [
            call_id
            for call_id, sending in sent.items()
            if call_id in passed_on and (sending.exception() or not sending.result().complete)
        ]
        assert cut == []

    run_process(scenario, stop_limit_s=5.0)


def test_stream_that_comes_late_is_refused_although_the_signal_was_seen_late():
    """Guards against a notice that begins when a busy event loop sees the signal.

    Callers count from the signal, so the streams that came 2.6 s after it have to be whole.
    """

    async def scenario(process, store, server, settings_versions):
        shape = StreamShape(1, 0.02)
        server.script = [stream_of(shape)]
        publish_to_store(store, server)
        publish_stream_route(store)
        await wait_until(process.is_ready)
        raw = request_bytes("/chat/x", "{}", "POST").replace(b"1500", b"15000")
        for number in range(8):
            await send_request(process.caller_server, raw.replace(b"{}", b"early-%d" % number))
        os.kill(os.getpid(), signal.SIGTERM)
        signalled_s = time.monotonic()
        while time.monotonic() < signalled_s + 1.0:
            pass
        shape.events, shape.gap_s = 10, 0.4
        await asyncio.sleep(signalled_s + 2.8 - time.monotonic())
        assert not process.drain_notice_over
        response = await send_request(process.caller_server, raw.replace(b"{}", b"late"))
        assert (response.status, b"stopping" in response.body) == (503, True)

    run_process(scenario, stop_limit_s=5.0)


def test_copy_that_is_requested_at_the_exit_is_no_error(caplog):
    """Guards against a traceback in the log as a peer's request is cancelled with the process."""
    # Stay open until the loop has ended.
    connections = []

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        server.script = [respond_after(3.0)]
        await wait_until(process.is_ready)
        # Keeps the process from ending at once.
        raw = request_bytes("/book/x", "c1", "POST").replace(b"1500", b"9000")
        holder = asyncio.ensure_future(send_request(process.caller_server, raw))
        await wait_until(lambda: server.requests)
        process.stop_requested.set()
        await wait_until(lambda: process.drain_notice_over)
        connections.append(
            await asyncio.open_connection(*process.settings.addresses.peers.split(":"))
        )
        await wait_until(lambda: process.peer_exchange.copy_tasks)
        assert (await holder).status == 200

    run_process(scenario, route_timeout_ms=60_000, stop_limit_s=8.0)
    # The stand-ins' own servers end with the loop, too.
    assert not [record for record in caplog.records if "peers.py" in record.getMessage()]


def test_signals_during_the_exit_do_not_end_the_process(tmp_path):
    """Guards against a process that a reload ends by a signal while it writes its last lines.

    Nobody reads the log, so the exit waits for it after the event loop is closed.
    """

    async def scenario():
        store = await StoreStandin().start()
        node = EdgeNode(0, tmp_path, store.address, [])
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4_096)
        os.write(writer, b"\n" * 4_000)
        await node.start(writer)
        os.close(writer)
        async with asyncio.timeout(20):
            await wait_until_open(node.readiness, True)
            node.process.send_signal(signal.SIGTERM)
            await wait_until_open(node.callers, False)
            while node.process.returncode is None:
                node.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.05)
        os.close(reader)
        store.server.close_listener()
        return node.process.returncode

    assert asyncio.run(scenario()) == 0


async def wait_until_open(address, is_open):
    """Waits until a port is open, or closed."""
    host, port = address.split(":")
    while True:
        try:
            _reader, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            found = True
        except ConnectionRefusedError:
            found = False
        if found is is_open:
            return
        await asyncio.sleep(0.02)
