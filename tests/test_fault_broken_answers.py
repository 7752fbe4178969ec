"""Fault: an answer that breaks off halfway reaches the caller as a complete success.

Servers break off by length, by chunk, by reset and by close, in plain responses, in responses that
are relayed as they arrive and in streams. Callers must see a failure, a complete response of
another server, or a response that is recognizably incomplete.
"""

import asyncio
import socket
import struct

import pytest

from tests.edge_builders import (
    MODEL_SERVICE,
    configuration,
    non_idempotent_route,
    route,
    stream_route,
)
from tests.platform_standin import (
    encode_chunk,
    refuse,
    request_bytes,
    reset_connection,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    single_request_scenario,
    stream_events,
)

# More than an edge process buffers before it relays a response as it arrives.
LARGE_BODY = b"0123456789" * 30_000


def reset(writer):
    """Closes the connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def break_off(kind, body, head_line):
    """Sends half of `body`, framed by length or in chunks, and closes or resets the connection."""

    async def action(server, headers, reader, writer):
        half = body[: len(body) // 2]
        if kind.startswith("length"):
            writer.write(
                response_head(headers, "200 OK", head_line, f"content-length: {len(body)}")
            )
            writer.write(half)
        elif kind.startswith("chunk"):
            writer.write(response_head(headers, "200 OK", head_line, "transfer-encoding: chunked"))
            whole_chunk = encode_chunk(half)
            # In the middle of a chunk, or after a complete one without the last chunk.
            writer.write(whole_chunk[:-9] if "middle" in kind else whole_chunk)
        else:
            writer.write(response_head(headers, "200 OK", head_line) + half)
        await writer.drain()
        if kind.endswith("reset"):
            # The bytes have to leave before the reset discards what is buffered.
            await asyncio.sleep(0.05)
            reset(writer)
        raise ConnectionResetError

    return action


KINDS = [
    "length, close",
    "length, reset",
    "chunk, close",
    "chunk middle, close",
    "chunk, reset",
    "none, reset",
]


@pytest.mark.parametrize("size", [1000, len(LARGE_BODY)])
@pytest.mark.parametrize("kind", KINDS)
def test_request_that_runs_once_gets_no_complete_answer(kind, size):
    """Guards against half a booking confirmation that looks complete."""
    config = configuration(routes=[non_idempotent_route(max_attempts=3)])
    broken = break_off(kind, LARGE_BODY[:size] * 2, "x-kind: plain")
    response, counts, _servers = run_scenario(
        [[broken], [broken]],
        single_request_scenario(request_bytes("/desk-book/x", method="POST")),
        config,
    )
    assert sum(counts) == 1
    assert response.status == 502 or not response.complete


@pytest.mark.parametrize("kind", KINDS)
def test_idempotent_request_gets_the_whole_answer_of_another_server(kind):
    """Guards against half an answer, or a failure, although a retry would succeed."""
    broken = break_off(kind, LARGE_BODY[:1000], "x-kind: plain")

    async def scenario(port, pipeline, servers):
        return [await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in range(4)]

    results = run_scenario([[broken], [respond_with()]], scenario)
    assert [(result.status, result.body) for result in results] == [(200, b"whole answer")] * 4


@pytest.mark.parametrize("kind", KINDS)
def test_stream_that_breaks_off_is_not_ended_as_complete(kind):
    """Guards against a stream whose missing events go unnoticed."""
    events = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(40))
    broken = break_off(kind, events, "content-type: text/event-stream")
    response, counts, _servers = run_scenario(
        [[broken], [broken]],
        single_request_scenario(request_bytes("/chat/x", method="POST")),
        configuration(routes=[stream_route(max_attempts=3)]),
        MODEL_SERVICE,
    )
    assert sum(counts) == 1
    assert response.status == 502 or not response.complete


def end_with_connection(sent):
    """Sends a stream with neither a length nor chunks, `sent` of it, and closes the connection."""

    async def action(server, headers, reader, writer):
        writer.write(response_head(headers, "200 OK", "content-type: text/event-stream") + sent)
        await writer.drain()
        raise ConnectionResetError

    return action


EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9))


@pytest.mark.parametrize("sent", [EVENTS[:-1], EVENTS[:-9], EVENTS[:5], b""])
@pytest.mark.parametrize("resumable", [False, True])
def test_stream_that_ends_inside_an_event_is_broken_off(sent, resumable, caplog):
    """Guards against a stream without a length that ends inside an event as a complete success."""
    config = configuration(routes=[stream_route(resumable=resumable, max_attempts=1)])
    response, _counts, _servers = run_scenario(
        [[end_with_connection(sent)]],
        single_request_scenario(request_bytes("/chat/x", method="POST")),
        config,
        MODEL_SERVICE,
    )
    assert response.status == 502 or not response.complete
    failures = [record for record in caplog.records if record.message == "attempt failed"]
    assert [record.error for record in failures] == ["backend_disconnected"]


@pytest.mark.parametrize("resumable", [False, True])
def test_stream_that_ends_with_its_connection_is_complete(resumable, caplog):
    """Guards against a failure for a stream without a length all of whose events are whole."""
    config = configuration(routes=[stream_route(resumable=resumable, max_attempts=1)])
    response, _counts, _servers = run_scenario(
        [[end_with_connection(EVENTS)]],
        single_request_scenario(request_bytes("/chat/x", method="POST")),
        config,
        MODEL_SERVICE,
    )
    assert (response.status, response.body, response.complete) == (200, EVENTS, True)
    assert "attempt failed" not in caplog.text


def answer_after_broken_stream(status, body):
    """The first of two servers breaks off in event 5, the other sends another answer."""

    async def scenario(port, pipeline, servers):
        script = [stream_events(1, 9, cut=5), respond_with(body, status)]

        async def action(server, headers, reader, writer):
            await script.pop(0)(server, headers, reader, writer)

        for server in servers:
            server.script = [action]
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(request_bytes("/plan/x", "c1", "POST"))
        received = await reader.read()
        writer.close()
        return received

    return scenario


@pytest.mark.parametrize("max_attempts", [2, 3])
@pytest.mark.parametrize("status", ["500 Broken", "404 Not Found", "200 OK", "503 Full"])
@pytest.mark.parametrize("size", [7, len(LARGE_BODY)])
def test_stream_that_has_begun_gets_no_second_response_head(status, size, max_attempts, caplog):
    """Guards against the error of a second server in the middle of the first server's stream.

    The stream must end incomplete, and the failure must be recorded as what it is.
    """
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=max_attempts)])
    received = run_scenario(
        [[respond_with()], [respond_with()]],
        answer_after_broken_stream(status, LARGE_BODY[:size]),
        config,
        MODEL_SERVICE,
    )
    assert received.count(b"HTTP/1.1 ") == 1
    assert b"piece 4" in received
    assert b"0123456" not in received
    assert not received.endswith(b"0\r\n\r\n")
    assert "request handler failed" not in caplog.text
    ended = [record for record in caplog.records if record.message == "request ended"]
    assert [record.outcome for record in ended] != ["caller_left"]


@pytest.mark.parametrize("status", ["500 Broken", "503 Full"])
def test_large_failure_of_an_idempotent_request_is_retried(status, caplog):
    """Guards against a large error response that is relayed and recorded as answered."""

    async def scenario(port, pipeline, servers):
        results = [
            await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in range(4)
        ]
        return results, pipeline.dispatcher.retry_budget("desk").retries

    results, retries = run_scenario(
        [[respond_with(LARGE_BODY, status)], [respond_with()]],
        scenario,
        configuration(routes=[route()]),
    )
    assert [result.body for result in results] == [b"whole answer"] * 4
    assert len(retries) >= 1


def test_large_failure_of_a_request_that_runs_once_is_relayed_and_recorded(caplog):
    """Guards against the server's large error response being counted as its success."""

    async def scenario(port, pipeline, servers):
        response = await send_request(port, request_bytes("/desk-book/x", method="POST"))
        return response, next(iter(pipeline.dispatcher.directory.servers.values()))

    caplog.set_level("INFO")
    response, state = run_scenario(
        [[respond_with(LARGE_BODY, "500 Broken")]],
        scenario,
        configuration(routes=[non_idempotent_route()]),
    )
    assert (response.status, response.body) == (500, LARGE_BODY)
    assert state.consecutive_failures == 1
    outcomes = [record.outcome for record in caplog.records if record.message == "request ended"]
    assert outcomes == ["server_error"]


def test_large_refusal_is_taken_as_not_run():
    """Guards against a refusal that is relayed as an answer because its body is large."""

    async def refuse_at_length(server, headers, reader, writer):
        writer.write(
            response_head(
                headers,
                "503 Full",
                "x-tanagerworks-not-executed: 1",
                f"content-length: {len(LARGE_BODY)}",
            )
            + LARGE_BODY
        )

    async def scenario(port, pipeline, servers):
        raw_requests = [request_bytes("/desk-book/x", f"c{n}", "POST") for n in range(4)]
        return [await send_request(port, raw_request) for raw_request in raw_requests]

    config = configuration(routes=[non_idempotent_route(max_attempts=2)])
    results = run_scenario([[refuse_at_length], [respond_with()]], scenario, config)
    assert [result.body for result in results] == [b"whole answer"] * 4


def test_response_to_head_states_the_length_of_the_server():
    """Guards against callers that take a resource for empty because of `content-length: 0`."""

    async def respond_to_head(server, headers, reader, writer):
        writer.write(response_head(headers, "200 OK", "content-length: 1234"))

    async def scenario(port, pipeline, servers):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        for number in range(2):
            writer.write(request_bytes("/desk-read/x", f"c{number}", "HEAD"))
            head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head

    head = run_scenario([[respond_to_head]], scenario)
    assert b"content-length: 1234\r\n" in head


@pytest.mark.parametrize("max_attempts", [2, 3])
def test_refusal_after_an_attempt_that_may_have_run_is_not_passed_on(max_attempts):
    """Guards against a 503, which promises that the request has not run, when it may have run.

    The first server resets the connection after it has read the request, the second one refuses.
    """

    async def scenario(port, pipeline, servers):
        script = [reset_connection(), refuse()]

        async def action(server, headers, reader, writer):
            await script.pop(0)(server, headers, reader, writer)

        for server in servers:
            server.script = [action]
        return await send_request(port, request_bytes("/desk-read/x"))

    config = configuration(routes=[route(max_attempts=max_attempts)])
    response = run_scenario([[respond_with()], [respond_with()]], scenario, config)
    assert response.status == 502
