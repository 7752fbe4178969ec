"""Fault: slow but sound streams are cut, and stalled ones that send a byte now and then never end.

Progress is counted in complete events. The limits of the tests are shorter than those of the
product; their proportions are the same.
"""

import asyncio
import itertools
import time

import pytest

from tanagerworks.edge.event_stream import EventCounter
from tanagerworks.edge.stall import StallLimits
from tests.edge_builders import MODEL_SERVICE, configuration, route, stream_route
from tests.platform_standin import (
    encode_chunk,
    read_response,
    request_bytes,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    stream_events,
)

# A tenth of the product's limits: streams resume after 0.1 s and end after 0.3 s.
SHORT_LIMITS = StallLimits(min_resume_s=0.1, min_patience_s=0.2)
FAST = {"objective_s": 0.01, "gap_objective_s": 0.01, "timeout_s": 15.0}
END_AFTER_S = SHORT_LIMITS.end_after_s(stream_route(**FAST))


def chunked_head(headers):
    return response_head(headers, "200 OK", "transfer-encoding: chunked")


def slow_events(pause_s, count):
    """Sends an event each `pause_s` seconds, in two pieces."""

    async def action(server, headers, reader, writer):
        writer.write(chunked_head(headers))
        for number in range(count):
            await asyncio.sleep(pause_s)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(encode_chunk(event[:7]) + encode_chunk(event[7:]))
        writer.write(b"0\r\n\r\n")

    return action


def stall_after(events, filler, pause_s=0.02):
    """Sends some events, then `filler` every `pause_s` seconds until the connection closes."""

    async def action(server, headers, reader, writer):
        writer.write(chunked_head(headers))
        for number in range(events):
            writer.write(encode_chunk(b"id: %d\ndata: piece %d\n\n" % (number, number)))
        for _number in itertools.count():
            writer.write(encode_chunk(filler))
            await writer.drain()
            await asyncio.sleep(pause_s)

    return action


def with_short_limits(scenario):
    async def run(port, pipeline, servers):
        pipeline.backend_exchange.stall_limits = SHORT_LIMITS
        return await scenario(port, pipeline, servers)

    return run


def stream_request(path):
    return request_bytes(path, "c1", "POST").replace(b"1500", b"15000")


def timed_request(path):
    async def scenario(port, pipeline, servers):
        started_s = time.monotonic()
        response = await send_request(port, stream_request(path))
        return response, time.monotonic() - started_s

    return with_short_limits(scenario)


def test_slow_sound_stream_is_complete():
    """Guards against a stream that is cut although its events keep coming.

    It lasts several times as long as a stream may go without an event.
    """
    config = configuration(routes=[stream_route(**FAST)])
    script = slow_events(0.6 * END_AFTER_S, 6)
    response, took_s = run_scenario([[script]], timed_request("/chat/x"), config, MODEL_SERVICE)
    assert (response.status, response.complete) == (200, True)
    assert response.body.count(b"data:") == 6
    assert took_s > 3 * END_AFTER_S


def test_slow_sound_stream_that_could_resume_is_complete_without_another_server():
    """Guards against a stream that is cut to resume it elsewhere although no other server can.

    Its events are further apart than the limit after which streams resume.
    """
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=3, **FAST)])
    pause_s = 0.6 * END_AFTER_S
    assert pause_s > SHORT_LIMITS.resume_after_s(config.routes[0], first=False)
    response, _took_s = run_scenario(
        [[slow_events(pause_s, 6)]], timed_request("/plan/x"), config, MODEL_SERVICE
    )
    assert (response.status, response.complete) == (200, True)
    assert response.body.count(b"data:") == 6


def test_slow_sound_stream_is_complete_when_the_retry_budget_is_used_up():
    """Guards against a stream that is cut to resume it elsewhere although the budget forbids it."""
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=3, **FAST)])
    script = slow_events(0.6 * END_AFTER_S, 4)

    async def scenario(port, pipeline, servers):
        budget = pipeline.dispatcher.retry_budget(MODEL_SERVICE)
        budget.set_bounds(0.0, 0.0, 10.0)
        response = await send_request(port, stream_request("/plan/x"))
        return response, sum(len(server.requests) for server in servers)

    response, runs = run_scenario(
        [[script], [script]], with_short_limits(scenario), config, MODEL_SERVICE
    )
    assert (response.status, response.complete, runs) == (200, True, 1)
    assert response.body.count(b"data:") == 4


def test_slow_idempotent_request_is_answered_without_another_server():
    """Guards against an answer that is given up at half of its time though no retry is possible."""

    async def scenario(port, pipeline, servers):
        async def slow(server, headers, reader, writer):
            await asyncio.sleep(0.8)
            writer.write(response_head(headers, "200 OK", "content-length: 2") + b"ok")

        servers[0].script = [slow]
        return await send_request(port, request_bytes("/desk-read/x"))

    response = run_scenario(
        [[respond_with()]], scenario, configuration(routes=[route(timeout_s=1.2, max_attempts=3)])
    )
    assert (response.status, response.body) == (200, b"ok")


@pytest.mark.parametrize("events", [0, 3])
@pytest.mark.parametrize("filler", [b"x", b": still here\n\n", b"\n\n", b"\r\n", b":"])
def test_stalled_stream_ends_although_it_sends_bytes(filler, events):
    """Guards against a stream without progress that occupies caller, node and server."""
    config = configuration(routes=[stream_route(**FAST)])
    response, took_s = run_scenario(
        [[stall_after(events, filler)]], timed_request("/chat/x"), config, MODEL_SERVICE
    )
    assert not response.complete
    # Far below the timeout of the route and of the caller.
    assert took_s < 5.0


@pytest.mark.parametrize("filler", [b"x", b": still here\n\n"])
def test_stalled_resumable_stream_resumes_at_another_server(filler):
    """Guards against a stream that stays at a server which only sends comments."""
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=2, **FAST)])

    async def scenario(port, pipeline, servers):
        script = [stall_after(5, filler), stream_events(1, 9)]

        async def action(server, headers, reader, writer):
            await script.pop(0)(server, headers, reader, writer)

        for server in servers:
            server.script = [action]
        return await send_request(port, stream_request("/plan/x"))

    response = run_scenario(
        [[respond_with()], [respond_with()]], with_short_limits(scenario), config, MODEL_SERVICE
    )
    assert response.complete
    # Comments that arrived before the stall may have been relayed.
    pieces = [line for line in response.body.split(b"\n") if line.startswith(b"data: ")]
    assert pieces == [b"data: piece %d" % number for number in range(10)]


def test_last_attempt_of_a_resumable_stream_ends_when_it_stalls():
    """Guards against a last attempt that waits for ever as no other server may be tried."""
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=1, **FAST)])
    response, took_s = run_scenario(
        [[stall_after(2, b"x")]], timed_request("/plan/x"), config, MODEL_SERVICE
    )
    assert not response.complete
    assert took_s < 5.0


def test_caller_that_reads_slowly_does_not_stall_its_stream():
    """Guards against a stream that is cut because its caller, not its server, is slow."""
    config = configuration(routes=[stream_route(**FAST)])
    event = b"data: " + b"d" * 100_000 + b"\n\n"
    count = 60

    async def send_much(server, headers, reader, writer):
        writer.write(chunked_head(headers))
        for _number in range(count):
            writer.write(encode_chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def scenario(port, pipeline, servers):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(stream_request("/chat/x"))
        # The caller reads nothing for longer than a stream may stall.
        await asyncio.sleep(2 * END_AFTER_S)
        response = await read_response(reader)
        writer.close()
        return response

    response = run_scenario([[send_much]], with_short_limits(scenario), config, MODEL_SERVICE)
    assert response.complete
    assert response.body == event * count


@pytest.mark.parametrize(("size", "expected"), [(1, 2), (2, 2), (5, 2), (100, 1)])
def test_complete_events_are_counted_across_pieces(size, expected):
    """Guards against events that are missed, and comments that are counted, by their pieces.

    The body has two events with fields; `feed` reports whether there was any in a piece.
    """
    body = b": note\n\nid: 1\r\ndata: a\r\n\r\n\n\n: x\ndata: b\n: y\n\n:\n\ndata: c\n"
    counter = EventCounter()
    found = [counter.feed(body[start : start + size]) for start in range(0, len(body), size)]
    assert found.count(True) == expected
    assert not counter.feed(b": only a comment\n")
    assert counter.feed(b"\n")


def test_limits_of_the_product_exceed_the_patience_of_callers():
    """Guards against limits that end a stream for which its caller still waits.

    Callers give up after two seconds, four times the objective for the first event or eight times
    the longest pause, whichever is longest.
    """
    for objective_s, gap_s in [(0.25, 0.2), (0.8, 0.25), (3.0, 0.1), (0.1, 2.0)]:
        route = stream_route(objective_s=objective_s, gap_objective_s=gap_s)
        assert StallLimits().end_after_s(route) > max(2.0, 4 * objective_s, 8 * gap_s)


def test_stream_that_breaks_off_inside_an_event_after_a_pause_is_not_complete():
    """Guards against a stream that looks complete as its server paused in the event it broke off.

    The response has neither a length nor chunks. Its pause is longer than the limit after which
    streams resume, and there is no other server.
    """
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=3, **FAST)])
    pause_s = 0.5 * (SHORT_LIMITS.min_resume_s + END_AFTER_S)

    async def break_off(server, headers, reader, writer):
        writer.write(response_head(headers, "200 OK", "content-type: text/event-stream"))
        writer.write(b"id: 0\ndata: piece 0\n\nid: 1\ndata: pi")
        await asyncio.sleep(pause_s)
        raise ConnectionResetError

    response, _took_s = run_scenario([[break_off]], timed_request("/plan/x"), config, MODEL_SERVICE)
    assert (response.status, response.complete) == (200, False)
