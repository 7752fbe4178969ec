"""Fault: a node stops while a request is between two steps of the pipeline.

Each test holds a request in one state of the table in docs/design/graceful_shutdown.md.
"""

import asyncio
import os
import signal
from dataclasses import replace

import pytest

from tanagerworks.edge.forwarded_headers import ForwardedRequest
from tanagerworks.edge.http_server import HttpServer
from tanagerworks.edge.stall import StallLimits
from tanagerworks.published.model import CallerLimits
from tests.edge_builders import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    dispatch_request,
    peer,
    stream_route,
)
from tests.edge_process_runner import publish_to_store, run_process
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    ServerStandin,
    encode_chunk,
    never_respond,
    refuse,
    request_bytes,
    respond_with,
    response_head,
    resume_bytes,
    run_scenario,
    send_request,
    stream_events,
    wait_until,
)
from tests.test_forwarding import run_fleet

RESUMABLE = stream_route("plan", resumable=True, max_attempts=2)
SHORT_LIMITS = StallLimits(1.0, 0.1, 0.1, 0.1, 0.1)


def stop(pipeline, left_s=0.1):
    """Begins a shutdown that leaves less time than a stream of unknown length needs."""
    now_s = asyncio.get_running_loop().time()
    pipeline.begin_shutdown(now_s + left_s, now_s)


def start(port, raw):
    return asyncio.ensure_future(send_request(port, raw))


def ended(caplog, *call_ids):
    """Returns the log records of the ends of requests."""
    records = [record for record in caplog.records if record.message == "request ended"]
    return [record for record in records if getattr(record, "call", None) in call_ids]


def arrivals(servers, call_id):
    """Returns how often the servers got the request."""
    ids = [
        headers["x-tanagerworks-attempt-id"] for server in servers for _, headers in server.requests
    ]
    return ids.count(call_id)


def publish_model_server(store, server, slots, **changes):
    """Publishes a model server, and a route of streams that it gets once."""
    stream = WIRE_CONFIGURATION["routes"][0] | {
        "weighted-services": [{"service": "models", "weight": 1}],
        "max-attempts": 1,
        "resumable": False,
        **changes,
    }
    store.put("op/config", WIRE_CONFIGURATION | {"routes": [stream]})
    entry = {"address": f"127.0.0.1:{server.port}", "capacity": slots, "cold-remaining-ms": 0}
    store.put("servers/a", WIRE_ENTRY | entry)


def stream_until(ended, events=1):
    """Sends some events at the start and the last one once `ended()` returns."""

    async def action(server, headers, reader, writer):
        kind = ("content-type: text/event-stream", "transfer-encoding: chunked")
        event = encode_chunk(b"id: 1\ndata: x\n\n")
        writer.write(response_head(headers, "200 OK", *kind) + event * events)
        await ended()
        writer.write(event + b"0\r\n\r\n")

    return action


def stream_for(duration_s):
    return stream_until(lambda: asyncio.sleep(duration_s))


def hold_until(released, then):
    """Follows `then` once `released` is set."""

    async def action(*arguments):
        await released.wait()
        await then(*arguments)

    return action


async def wait_for_server(port, pipeline, servers, bound):
    """Fills the only server, holds a second stream in a queue and stops; returns its response."""
    released = asyncio.Event()
    servers[0].script = [hold_until(released, stream_events(1, 3))]
    directory = pipeline.dispatcher.directory
    directory.put(replace(directory.servers["server-0"].entry, slots=1), 0.0)
    for name in ("c1", "c2"):
        pipeline.stream_origins.record_begin(name, MODEL_SERVICE, "v1")
    holder = start(port, request_bytes("/plan/x", "holder", "POST"))
    await wait_until(lambda: servers[0].requests)
    raw = resume_bytes("late", 1, "c1") if bound else request_bytes("/plan/x", "late", "POST")
    late = start(port, raw)
    placer = pipeline.placer
    await wait_until(lambda: placer.version_waiters.get(MODEL_SERVICE) or placer.waiters)
    assert bool(placer.waiters) is not bound
    stop(pipeline)
    await asyncio.wait({late}, timeout=1.0)
    released.set()
    await holder
    return await late


async def wait_for_origin(port, pipeline, servers):
    async def catch_up(_since_s):
        stop(pipeline)
        return True

    # Otherwise the version of the stream is known only once this machine runs for ten minutes.
    pipeline.dispatcher.directory.versions.record_first_start()
    pipeline.catch_up = catch_up
    return await send_request(port, resume_bytes("late", 1, None))


async def be_refused(port, pipeline, servers):
    async def refuse_and_stop(*arguments):
        stop(pipeline)
        await refuse()(*arguments)

    for server in servers:
        server.script = [refuse_and_stop]
    return await send_request(port, request_bytes("/plan/x", "late", "POST"))


@pytest.mark.parametrize(
    "state",
    [
        lambda *held: wait_for_server(*held, bound=False),
        lambda *held: wait_for_server(*held, bound=True),
        wait_for_origin,
        be_refused,
    ],
    ids=["queue", "version", "origin", "refused"],
)
def test_request_that_no_longer_fits_is_not_sent(state):
    """Guards against a request that is passed on late, and cut at the deadline of the stop.

    It fitted when it arrived; what kept it since has used the time.
    """

    async def scenario(port, pipeline, servers):
        response = await state(port, pipeline, servers)
        return response, arrivals(servers, "late")

    scripts = [[stream_events(1, 3)]] * (2 if state is be_refused else 1)
    response, sent = run_scenario(
        scripts, scenario, configuration(routes=[RESUMABLE]), MODEL_SERVICE
    )
    assert (response.status, b"stopping" in response.body) == (503, True)
    assert sent == (1 if state is be_refused else 0)


@pytest.mark.parametrize("events", [0, 1], ids=["no event", "an event"])
def test_stream_of_a_silent_server_has_until_the_deadline_of_the_stop(events):
    """Guards against a stream that the node ends during a stop since its server is silent."""
    ends = asyncio.Event()

    async def scenario(port, pipeline, servers):
        servers[0].script = [stream_until(ends.wait, events)]
        pipeline.backend_exchange.stall_limits = SHORT_LIMITS
        pending = start(port, request_bytes("/chat/x", "c1", "POST"))
        await wait_until(lambda: servers[0].requests)
        stop(pipeline)
        await asyncio.wait({pending}, timeout=3.0 * SHORT_LIMITS.end_after_s(stream_route()))
        ends.set()
        response = await pending
        return response.status, response.complete

    assert run_scenario([[refuse()]], scenario, service=MODEL_SERVICE) == (200, True)


def test_streams_that_wait_for_a_server_of_a_stopping_node_are_not_cut():
    """Guards against streams that leave the queue too late, in a process with its real times."""

    async def scenario(process, store, server, settings_versions):
        # The first request lists the contents of the cache.
        server.script = [refuse("404 Not Found"), stream_for(0.05)]
        publish_model_server(store, server, 1)
        await wait_until(process.pipeline.caches_recovered.is_set)
        raw = request_bytes("/chat/x", "{}", "POST").replace(b"1500", b"15000")
        port = process.caller_server
        for number in range(8):
            await send_request(port, raw.replace(b"{}", b"early-%d" % number))
        # The sixth of them begins 0.3 s before the deadline of the stop.
        server.script = [stream_for(0.8)]
        process.stop_requested.set()
        await wait_until(lambda: process.pipeline.shutdown)
        late = [start(port, raw.replace(b"{}", b"late-%d" % number)) for number in range(8)]
        responses = await asyncio.gather(*late)
        assert {response.complete for response in responses} == {True}
        assert responses[0].status == 200
        assert responses[-1].status == 503

    run_process(scenario, stop_limit_s=5.0)


def test_request_that_waits_for_room_for_its_body_is_read_and_answered():
    """Guards against a connection that is closed as idle while its body waits for memory."""

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        bodies = process.caller_memory.bodies
        held = bodies.reserve(bodies.limit_bytes, lambda: None)
        process.stop_requested.set()
        await wait_until(lambda: process.pipeline.shutdown)
        raw = request_bytes("/book/x", "large", "POST", b"x" * 100_000)
        pending = start(process.caller_server, raw)
        await wait_until(lambda: bodies.waiting)
        process.caller_server.close_idle_connections()
        held.release()
        assert (await pending).status == 200

    run_process(scenario)


def test_attempts_have_until_the_deadline_of_the_stop(caplog):
    """Guards against attempts that end sooner, or whose end no line of the log shows."""
    caplog.set_level("INFO")
    last_event = asyncio.Event()

    async def scenario(process, store, server, settings_versions):
        server.script = [
            refuse("404 Not Found"),
            stream_until(last_event.wait, events=0),
            stream_until(last_event.wait),
        ]
        # Streams count as stalled after 3.0 s, sooner than the stop limit.
        publish_model_server(store, server, 9, **{"target-latency-ms": 100, "target-gap-ms": 50})
        await wait_until(process.pipeline.caches_recovered.is_set)
        pending = []
        for number in range(2):
            raw = request_bytes("/chat/x", f"c{number}", "POST").replace(b"1500", b"15000")
            pending.append(start(process.caller_server, raw))
            await wait_until(lambda count=number + 2: len(server.requests) == count)
        process.stop_requested.set()
        before, after = await asyncio.gather(*pending)
        assert (before.status, before.complete) == (504, True)
        assert (after.status, after.complete) == (200, False)

    run_process(scenario)
    for line in ended(caplog, "c0", "c1"):
        assert line.outcome == "route_timeout"
        assert line.ended_after_signal_ms >= 3_250.0


def test_requests_end_in_time_if_the_stop_limit_is_shorter_than_the_drain_notice(caplog):
    """Guards against a process that is killed with its requests while it waits for the balancer."""
    caplog.set_level("INFO")

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        server.script = [never_respond()]
        raw = request_bytes("/book/x", "c1", "POST").replace(b"1500", b"60000")
        pending = start(process.caller_server, raw)
        await wait_until(lambda: server.requests)
        process.stop_requested.set()
        assert (await pending).status == 504

    run_process(scenario, route_timeout_ms=60_000, stop_limit_s=1.5)
    (line,) = ended(caplog, "c1")
    assert line.ended_after_signal_ms < 1_500.0


def test_failed_announcement_of_a_stop_ends_no_request(caplog):
    """Guards against a process that exits with its requests as it cannot tell its peers."""

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        released = asyncio.Event()
        server.script = [hold_until(released, respond_with())]

        def announce():
            released.set()
            raise ValueError("value out of range")

        process.peer_exchange.announce = announce
        pending = start(process.caller_server, request_bytes("/book/x", "c1", "POST"))
        await wait_until(lambda: server.requests)
        process.stop_requested.set()
        assert (await pending).status == 200

    run_process(scenario)
    assert "shutdown not announced to the peers" in caplog.messages


@pytest.mark.parametrize("stopping", [0, 1], ids=["to another node", "from another node"])
def test_forwarded_requests_have_until_the_deadline_of_either_node(caplog, stopping):
    """Guards against a node that stops while it has forwarded requests, or serves those of others.

    One request is answered once the idle connections are closed, the other one never.
    """
    caplog.set_level("INFO")
    answer, left = asyncio.Event(), asyncio.Event()

    async def act(server, headers, reader, writer):
        if headers["x-tanagerworks-attempt-id"] == "whole":
            await answer.wait()
            await respond_with()(server, headers, reader, writer)
        else:
            await never_respond(left)(server, headers, reader, writer)

    async def scenario(fleet):
        await fleet.cut("refuse")
        assert (await fleet.send("/read/x", "first")).status == 200
        for server in fleet.servers:
            server.script = [act]
        pending = []
        for call_id in ("whole", "late"):
            raw = request_bytes("/book/x", call_id, "POST").replace(b"1500", b"4000")
            pending.append(start(fleet.first.caller_server, raw))
            await wait_until(lambda call_id=call_id: fleet.runs(call_id))
        process = fleet.processes[stopping]
        process.stop_requested.set()
        await wait_until(lambda: process.drain_notice_over)
        answer.set()
        whole, late = await asyncio.gather(*pending)
        assert (whole.status, late.status, late.complete) == (200, 504, True)
        await left.wait()

    run_fleet(scenario)
    lines = ended(caplog, "whole", "late")
    assert {(line.forwarded_to, line.forwarded_by) for line in lines} == {
        ("node-1", None),
        (None, "node-0"),
    }
    assert max(getattr(line, "ended_after_signal_ms", 0.0) for line in lines) >= 3_250.0


def answer_as_node():
    async def action(server, headers, reader, writer):
        writer.write(response_head(headers, "200 OK", "tanager-software: v1", "content-length: 0"))

    return action


def test_brittle_server_gets_requests_while_the_nodes_that_may_send_to_it_stop():
    """Guards against requests that all nodes refuse as the only senders of a server are stopping.

    The other nodes forward no requests to nodes that stop.
    """

    async def scenario(port, pipeline, servers):
        other = await ServerStandin("node", answer_as_node()).start()
        now_s = asyncio.get_running_loop().time()
        table = pipeline.dispatcher.peer_table
        fields = {"forwarding_port": other.port, "message_interval_s": 9.0}
        names = [f"peer-{number:02}" for number in range(59)]
        for name in names:
            table.record_message(peer(name, now_s, **fields))
        pipeline.dispatcher.directory.servers["server-0"].record_limit(None, now_s + 1.0, 2.0)
        wanted = dispatch_request(service=PLAIN_SERVICE)
        senders = pipeline.dispatcher.find_senders(wanted, now_s)
        assert senders
        for name in senders:
            table.record_message(peer(name, now_s, sequence=2, stopping=True, **fields))
        response = await send_request(port, request_bytes("/desk-read/x", "c1"))
        other.server.close()
        return response.status

    assert run_scenario([[respond_with()]], scenario) == 200


def become_sender(pipeline, other):
    """Makes the server brittle, with one slot, and this node the one of two that sends to it."""
    subject, now_s = pipeline.dispatcher, asyncio.get_running_loop().time()
    state = subject.directory.servers["server-0"]
    state.entry = replace(state.entry, slots=1)
    state.record_limit(None, now_s + 1.0, 1.0)
    # Of two nodes, this one is the sender with some names of the other one.
    for number in range(20):
        subject.peer_table.peers.clear()
        fields = {"forwarding_port": other.port, "message_interval_s": 9.0}
        subject.peer_table.record_message(peer(f"peer-{number}", now_s, **fields))
        if not subject.find_senders(dispatch_request(service=PLAIN_SERVICE), now_s):
            break


async def forwarded_port(pipeline):
    """Opens a port whose requests count as forwarded by another node."""

    async def serve(head, body, responder):
        forwarded = ForwardedRequest("peer-0", 1.5, 1, 0, frozenset(), None, None)
        await pipeline.handle_request(head, body, responder, forwarded)

    port = HttpServer(serve, CallerLimits)
    await port.listen("127.0.0.1", 0, 16)
    return port


@pytest.mark.parametrize("forwarded", [False, True], ids=["caller", "node"])
def test_node_that_stops_gives_away_what_waits_for_a_brittle_server(forwarded):
    """Guards against requests that wait in vain at the former sender of a server until it ends.

    Those of callers are forwarded, those of other nodes refused, as these know further nodes.
    """
    released = asyncio.Event()

    async def scenario(port, pipeline, servers):
        servers[0].script = [hold_until(released, respond_with())]
        other = await ServerStandin("node", answer_as_node()).start()
        become_sender(pipeline, other)
        holder = start(port, request_bytes("/desk-read/x", "holder"))
        await wait_until(lambda: servers[0].requests)
        entry = await forwarded_port(pipeline) if forwarded else port
        waiting = start(entry, request_bytes("/desk-read/x", "waiting"))
        await wait_until(lambda: pipeline.placer.waiters)
        assert not other.requests
        stop(pipeline, left_s=5.0)
        done, _waiting = await asyncio.wait({waiting}, timeout=1.0)
        assert done
        statuses = [(await waiting).status, len(other.requests)]
        released.set()
        statuses.append((await holder).status)
        other.server.close()
        return statuses

    expected = [503, 0, 200] if forwarded else [200, 1, 200]
    assert run_scenario([[respond_with()]], scenario) == expected


def test_stream_of_a_silent_server_outlasts_a_reload():
    """Guards against a stream that the node ends around a SIGHUP since its server is silent."""

    async def scenario(process, store, server, settings_versions):
        last_event = asyncio.Event()
        server.script = [refuse("404 Not Found"), stream_until(last_event.wait)]
        process.pipeline.backend_exchange.stall_limits = SHORT_LIMITS
        publish_model_server(store, server, 9, **{"target-latency-ms": 10, "target-gap-ms": 10})
        await wait_until(process.pipeline.caches_recovered.is_set)
        raw = request_bytes("/chat/x", "c1", "POST").replace(b"1500", b"15000")
        pending = start(process.caller_server, raw)
        await wait_until(lambda: len(server.requests) == 2)
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.wait({pending}, timeout=5.0 * SHORT_LIMITS.end_after_s(stream_route()))
        last_event.set()
        assert (await pending).complete

    run_process(scenario)
