"""Requests from a caller's socket to a backend server and back, with failures.

Runs are counted at the servers; responses are read at the caller's socket.
"""

import asyncio
import socket
import struct
from dataclasses import replace

import pytest

from tanagerworks.dispatch.cached_parts import part_key
from tanagerworks.edge.backend_connection import MAX_IDLE_CONNECTIONS
from tanagerworks.edge.early_listen import listen_early
from tanagerworks.edge.http_server import HttpServer
from tanagerworks.published.model import CallerLimits
from tests.edge_builders import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    non_idempotent_route,
    route,
    server_entry,
    stream_route,
)
from tests.platform_standin import (
    encode_chunk,
    never_respond,
    read_response,
    refuse,
    request_bytes,
    reset_connection,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    single_request_scenario,
    stream_events,
    truncate_response,
    wait_until,
)

PROMPT = ("x-tanagerworks-model: m", "x-tanagerworks-prefix-hash: a1:500,b2:4000,c3:20")


def test_complete_response_and_headers():
    """Guards against a changed request and against headers that must not be forwarded.

    The API key, hop-by-hop headers and values that a caller sets in the system's own headers would
    reach the backend server if they were copied from the request.
    """
    raw = request_bytes(
        "/desk-read/a?b=c",
        "c0ffee",
        "POST",
        b"the body",
        "x-tanagerworks-tenant: forged",
        "x-tanagerworks-expect-instance: forged",
        "x-tanagerworks-retain: forged",
        "kv-from: forged",
        "connection: keep-alive, x-hop",
        "x-hop: 1",
        "x-kept: 2",
    )
    response, _counts, servers = run_scenario([[respond_with()]], single_request_scenario(raw))
    assert (response.status, response.body) == (200, b"whole answer")
    assert response.headers["x-tanagerworks-server-signature"] == "server-a"
    line, headers = servers[0].requests[0]
    assert line == "POST /desk-read/a?b=c HTTP/1.1"
    assert servers[0].bodies == [b"the body"]
    assert headers["x-tanagerworks-attempt-id"] == "c0ffee"
    assert headers["x-tanagerworks-tenant"] == "customer-1"
    assert headers["x-tanagerworks-expect-instance"] == "server-0"
    assert int(headers["x-tanagerworks-deadline-ms"]) <= 1500
    assert headers["x-kept"] == "2"
    for dropped in ("authorization", "x-hop", "x-tanagerworks-retain", "kv-from"):
        assert dropped not in headers


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/", None, 404), ("/desk-read/", "wrong", 401), ("/desk-read/", "", 401)],
)
def test_request_without_route_or_valid_key_is_refused(path, key, status):
    """Guards against requests that run although the configuration does not allow them."""
    raw = request_bytes(path)
    if key is not None:
        raw = raw.replace(b"Bearer key-1", b"Bearer " + key.encode())
    response, counts, _servers = run_scenario([[respond_with()]], single_request_scenario(raw))
    assert response.status == status
    assert counts == [0]


def test_internal_error_is_not_logged_as_a_caller_that_left(caplog):
    """Guards against faults of the node that its log and metrics ascribe to callers."""

    async def scenario(port, pipeline, servers):
        pipeline.placer.place_request = None
        return await send_request(port, request_bytes("/desk-read/x", "c1"))

    assert run_scenario([[respond_with()]], scenario).status == 500
    (line,) = [record for record in caplog.records if record.message == "request ended"]
    assert (line.call, line.outcome) == ("c1", "internal_error")


@pytest.mark.parametrize(
    "failure",
    [reset_connection, truncate_response, refuse, lambda: respond_with(b"x", "500 Broken")],
)
def test_idempotent_request_is_retried_at_another_server(failure):
    """Guards against a failed request although a retry at another server would succeed."""
    config = configuration(routes=[route()])

    async def scenario(port, pipeline, servers):
        results = [
            await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in range(6)
        ]
        return results, [len(server.requests) for server in servers]

    results, counts = run_scenario([[failure()], [respond_with()]], scenario, config)
    assert [response.status for response in results] == [200] * 6
    assert counts[1] == 6


@pytest.mark.parametrize(("failure", "status"), [(reset_connection, 502), (truncate_response, 502)])
def test_request_that_may_have_run_is_sent_once(failure, status):
    """Guards against a request that runs twice.

    The connection breaks after the server read the request, so it may have run.
    """
    config = configuration(routes=[non_idempotent_route(max_attempts=3)])
    response, counts, _servers = run_scenario(
        [[failure()], [failure()]],
        single_request_scenario(request_bytes("/desk-book/x", method="POST")),
        config,
    )
    assert sum(counts) == 1
    assert response.status == status


def test_refusal_is_not_retried_beyond_the_attempts():
    """Guards against more attempts than the route allows, even after a refusal.

    A refusal proves that the request did not run, so a retry would be safe; the route still allows
    one attempt only.
    """
    config = configuration(routes=[non_idempotent_route(max_attempts=1)])
    response, counts, _servers = run_scenario(
        [[refuse()], [refuse()]],
        single_request_scenario(request_bytes("/desk-book/x", method="POST")),
        config,
    )
    assert sum(counts) == 1
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0


def test_request_that_reached_another_server_is_sent_to_the_right_one():
    """Guards against repeated requests to a server that took over the address of another one.

    The published entry of the old server still names the address. A 421 proves that the request did
    not run, so it must not use up the only attempt.
    """
    config = configuration(routes=[non_idempotent_route(max_attempts=1)])

    async def scenario(port, pipeline, servers):
        raw_requests = [request_bytes("/desk-book/x", f"c{n}", "POST") for n in range(6)]
        results = [await send_request(port, raw_request) for raw_request in raw_requests]
        return results, [len(server.requests) for server in servers]

    results, counts = run_scenario(
        [[refuse("421 Misdirected Request")], [respond_with()]], scenario, config
    )
    assert [response.status for response in results] == [200] * 6
    assert counts[0] <= 1
    assert counts[1] == 6


def test_request_that_reached_another_server_counts_once_in_the_retry_budget():
    """Guards against more retries than the budget allows, because of requests counted twice."""
    config = configuration(routes=[route()])

    async def scenario(port, pipeline, servers):
        for number in range(4):
            await send_request(port, request_bytes("/desk-read/x", f"c{number}"))
        return pipeline.dispatcher.retry_budget(PLAIN_SERVICE)

    budget = run_scenario([[refuse("421 Misdirected Request")], [respond_with()]], scenario, config)
    assert len(budget.requests) == 4
    assert len(budget.retries) == 1


def test_refused_request_is_retried_within_the_attempts():
    """Guards against a caller that gets a refusal although another server has free capacity.

    A refused request did not run, so it may be retried even if it is not idempotent.
    """
    config = configuration(routes=[non_idempotent_route(max_attempts=2)])

    async def scenario(port, pipeline, servers):
        raw_requests = [request_bytes("/desk-book/x", f"c{n}", "POST") for n in range(4)]
        return [await send_request(port, raw_request) for raw_request in raw_requests]

    results = run_scenario([[refuse()], [respond_with()]], scenario, config)
    assert [response.status for response in results] == [200] * 4


def test_response_to_another_request_never_reaches_the_caller():
    """Guards against a second response on a persistent connection.

    The server sends two responses to one request. The second one must not be taken for the response
    to the next request.
    """

    async def respond_twice(server, headers, reader, writer):
        body = response_head(headers, "200 OK", "content-length: 3") + b"one"
        writer.write(body + response_head(headers, "200 OK", "content-length: 5") + b"extra")

    async def scenario(port, pipeline, servers):
        first = await send_request(port, request_bytes("/desk-read/x", "c1"))
        second = await send_request(port, request_bytes("/desk-read/x", "c2"))
        return first, second

    first, second = run_scenario([[respond_twice, respond_with(b"two")]], scenario)
    assert (first.status, first.body) == (200, b"one")
    assert (second.status, second.body) == (200, b"two")


def test_response_with_another_id_is_not_relayed():
    """Guards against a response that belongs to another request, as its id shows."""

    async def respond_with_other_id(server, headers, reader, writer):
        other = headers | {"x-tanagerworks-attempt-id": "other"}
        writer.write(response_head(other, "200 OK", "content-length: 3") + b"bad")

    config = configuration(routes=[non_idempotent_route()])
    response, _counts, _servers = run_scenario(
        [[respond_with_other_id]],
        single_request_scenario(request_bytes("/desk-book/x", method="POST")),
        config,
    )
    assert response.status == 502
    assert b"bad" not in response.body


def test_response_without_length_ends_with_its_connection():
    """Guards against responses that look truncated because the server closes the connection."""

    async def respond_without_length(server, headers, reader, writer):
        writer.write(response_head(headers) + b"until the end")
        await writer.drain()
        raise ConnectionResetError

    response, _counts, _servers = run_scenario(
        [[respond_without_length]], single_request_scenario(request_bytes("/desk-read/x"))
    )
    assert (response.status, response.body, response.complete) == (200, b"until the end", True)


def test_reset_response_without_length_does_not_look_complete():
    """Guards against half a response that the caller takes for the complete one.

    Without a length only the kind of close, reset or end of file, shows whether it is complete.
    """

    async def reset(server, headers, reader, writer):
        writer.write(response_head(headers) + b"half")
        await writer.drain()
        # SO_LINGER with timeout 0 makes the close a reset.
        linger = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        raise ConnectionResetError

    config = configuration(routes=[stream_route()])
    response, _counts, _servers = run_scenario(
        [[reset]],
        single_request_scenario(request_bytes("/chat/x", method="POST")),
        config,
        MODEL_SERVICE,
    )
    assert not response.complete


def test_stream_is_relayed_as_it_arrives():
    """Guards against events that are held back until later events arrive."""

    async def scenario(port, pipeline, servers):
        release = asyncio.Event()

        async def respond_in_two_parts(server, headers, reader, writer):
            writer.write(response_head(headers, "200 OK", "transfer-encoding: chunked"))
            writer.write(encode_chunk(b"id: 1\ndata: a\n\n"))
            await writer.drain()
            await release.wait()
            writer.write(encode_chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n")

        servers[0].script = [respond_in_two_parts]
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(request_bytes("/chat/x", "c1", "POST"))
        await reader.readuntil(b"data: a\n\n")
        release.set()
        rest = await reader.readuntil(b"0\r\n\r\n")
        writer.close()
        return rest

    rest = run_scenario(
        [[respond_with()]], scenario, configuration(routes=[stream_route()]), MODEL_SERVICE
    )
    assert b"data: b" in rest


def test_resumable_stream_resumes_without_gap_or_duplicate():
    """Guards against missing or duplicate events.

    The first server closes the connection in the middle of an event; the second one resumes.
    """
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=2)])
    response, counts, servers = run_scenario(
        [[stream_events(1, 9, cut=5)], [stream_events(1, 9, cut=5)]],
        single_request_scenario(request_bytes("/plan/x", method="POST")),
        config,
        MODEL_SERVICE,
    )
    assert sorted(counts) == [1, 1]
    second = next(s for s in servers if "last-event-id" in s.requests[0][1])
    assert second.requests[0][1]["last-event-id"] == "4"
    # The second server breaks off at the same event: the caller gets complete events only, and no
    # end of the stream.
    assert response.body == b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))
    assert not response.complete


def test_resumable_stream_that_fails_before_its_first_event_is_retried():
    """Guards against an error response although a retry at another server would succeed."""
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=2)])

    async def scenario(port, pipeline, servers):
        return [
            await send_request(port, request_bytes("/plan/x", f"c{n}", "POST")) for n in range(4)
        ]

    scripts = [[respond_with(b"broken", "500 Broken")], [stream_events(1, 3)]]
    results = run_scenario(scripts, scenario, config, MODEL_SERVICE)
    assert [response.status for response in results] == [200] * 4


def test_resumed_stream_is_complete():
    """Guards against a resumed stream that lacks its last events."""
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=2)])

    async def scenario(port, pipeline, servers):
        script = [stream_events(1, 9, cut=5), stream_events(1, 9)]

        async def action(server, headers, reader, writer):
            await script.pop(0)(server, headers, reader, writer)

        for server in servers:
            server.script = [action]
        return await send_request(port, request_bytes("/plan/x", "c1", "POST"))

    response = run_scenario([[respond_with()], [respond_with()]], scenario, config, MODEL_SERVICE)
    assert response.complete
    assert response.body == b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 10))


def test_stream_that_must_not_resume_is_truncated():
    """Guards against a stream that joins events of two runs.

    Its server closes the connection in the middle of an event. A second run may give other events,
    so the stream must end there although the route allows more attempts.
    """
    config = configuration(routes=[stream_route(max_attempts=3)])
    response, counts, _servers = run_scenario(
        [[stream_events(1, 9, cut=5)], [stream_events(1, 9, cut=5)]],
        single_request_scenario(request_bytes("/chat/x", method="POST")),
        config,
        MODEL_SERVICE,
    )
    assert sum(counts) == 1
    assert not response.complete


def test_caller_that_disconnects_cancels_its_request_before_the_first_byte():
    """Guards against servers that work for callers who have disconnected."""

    async def scenario(port, pipeline, servers):
        closed = asyncio.Event()
        servers[0].script = [never_respond(closed)]
        _reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(request_bytes("/desk-book/x", method="POST"))
        while not servers[0].requests:
            await asyncio.sleep(0.01)
        writer.close()
        await asyncio.wait_for(closed.wait(), 2.0)
        while pipeline.active_requests:
            await asyncio.sleep(0.01)
        return next(iter(pipeline.dispatcher.directory.servers.values())).running

    assert (
        run_scenario([[respond_with()]], scenario, configuration(routes=[non_idempotent_route()]))
        == 0
    )


def test_route_timeout_is_enforced():
    """Guards against callers that wait longer than the timeout of the route."""
    config = configuration(routes=[non_idempotent_route(timeout_s=0.2)])
    response, _counts, _servers = run_scenario(
        [[never_respond()]],
        single_request_scenario(request_bytes("/desk-book/x", method="POST")),
        config,
    )
    assert response.status == 504


def test_idempotent_request_is_retried_if_a_server_does_not_respond():
    """Guards against a server that delays a request until the timeout of the route.

    The server reads the request, but sends no response. While the request has attempts left, the
    wait for a response is shorter than the timeout.
    """
    config = configuration(routes=[route(timeout_s=1.0)])

    async def scenario(port, pipeline, servers):
        return [await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in range(3)]

    results = run_scenario([[never_respond()], [respond_with()]], scenario, config)
    assert [response.status for response in results] == [200] * 3


def test_idle_connections_to_a_server_are_limited():
    """Guards against a server that resets requests at its connection limit.

    The idle connections of all nodes count towards that limit.
    """
    config = configuration(routes=[non_idempotent_route()])

    async def scenario(port, pipeline, servers):
        async def slow(server, headers, reader, writer):
            await asyncio.sleep(0.1)
            writer.write(response_head(headers, "200 OK", "content-length: 2") + b"ok")

        servers[0].script = [slow]
        raw_requests = [request_bytes("/desk-book/x", f"c{n}", "POST") for n in range(8)]
        results = await asyncio.gather(
            *(send_request(port, raw_request) for raw_request in raw_requests)
        )
        await wait_until(lambda: servers[0].open <= MAX_IDLE_CONNECTIONS)
        return [response.status for response in results]

    assert run_scenario([[respond_with()]], scenario, config) == [200] * 8


def test_request_without_any_server_is_refused():
    """Guards against a refusal that does not state when to retry.

    No server exists for the service of the route.
    """
    response, _counts, _servers = run_scenario(
        [], single_request_scenario(request_bytes("/desk-read/x"))
    )
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0


def test_unreachable_server_is_skipped():
    """Guards against a request that fails at an unreachable server although none of it was sent."""

    async def scenario(port, pipeline, servers):
        servers[0].server.close()
        await servers[0].server.wait_closed()
        return [
            await send_request(port, request_bytes("/desk-book/x", f"c{n}", "POST"))
            for n in range(3)
        ]

    config = configuration(routes=[non_idempotent_route()])
    results = run_scenario([[respond_with()], [respond_with()]], scenario, config)
    assert [response.status for response in results] == [200] * 3


def test_request_during_startup_waits_for_the_configuration():
    """Guards against refusals just before the first configuration arrives."""

    async def scenario(port, pipeline, servers):
        config = pipeline.dispatcher.configuration
        pipeline.dispatcher.configuration = None
        pipeline.view_complete.clear()
        port.limits = CallerLimits
        pending = asyncio.ensure_future(send_request(port, request_bytes("/desk-read/x")))
        while not pipeline.active_requests:
            await asyncio.sleep(0.005)
        pipeline.dispatcher.configuration = config
        pipeline.view_complete.set()
        return await pending

    assert run_scenario([[respond_with()]], scenario).status == 200


def test_port_is_open_before_the_program_is_imported():
    """Guards against connections that are refused while a process starts."""
    listener = listen_early(["program", "--settings=x", "--callers=127.0.0.1:0"])
    assert listener is not None
    waiting = socket.create_connection(listener.getsockname())
    waiting.sendall(request_bytes("/nowhere/"))

    async def scenario(port, pipeline, servers):
        server = HttpServer(pipeline.handle_request, CallerLimits)
        await server.accept_from(listener, 8)
        reader, _writer = await asyncio.open_connection(sock=waiting)
        response = await read_response(reader)
        server.close_listener()
        return response

    assert run_scenario([[respond_with()]], scenario).status == 404
    assert listen_early(["program"]) is None
    assert listen_early(["program", "--callers=nonsense"]) is None


def test_request_without_configuration_is_refused_with_retry_after():
    """Guards against 404 or 401 from a process that has no configuration yet."""

    async def scenario(port, pipeline, servers):
        limits = pipeline.dispatcher.configuration.limits
        pipeline.dispatcher.configuration = None
        port.limits = lambda: limits
        return await send_request(port, request_bytes("/desk-read/x"))

    response = run_scenario([[respond_with()]], scenario)
    assert response.status == 503
    assert float(response.headers["retry-after"]) >= 1.0


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"POST /desk-read/ HTTP/1.1\r\nhost: host.example\r\ncontent-length: 3\r\n"
         b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"GET /desk-read/ HTTP/1.1\r\nhost: host.example\r\nx-a: " + b"a" * 40_000, 431),
        (b"not http at all\r\n\r\n", 400),
        (b"POST /desk-read/ HTTP/1.1\r\nhost: host.example\r\ncontent-length: 2000\r\n\r\n"
         + b"a" * 2000, 413),
        (b"GET /desk-read/ HTTP/1.1\r\nhost: host.example\r\n\r\n", 400),
    ],
)  # fmt: skip
def test_invalid_input_is_refused_and_not_forwarded(raw, status):
    """Guards against request smuggling and against input of unlimited size."""
    limits = CallerLimits(max_header_bytes=8_000, max_body_bytes=1_000)
    config = configuration(limits=limits)
    response, counts, _servers = run_scenario(
        [[respond_with()]], single_request_scenario(raw), config
    )
    assert response.status == status
    assert counts == [0]


def test_incomplete_head_times_out():
    """Guards against connections that stay open with an incomplete head."""
    config = configuration(limits=CallerLimits(header_timeout_s=0.2))
    response, _counts, _servers = run_scenario(
        [[respond_with()]], single_request_scenario(b"GET /desk-read/ HT"), config
    )
    assert response.status == 408


def test_head_sent_byte_by_byte_times_out():
    """Guards against a head whose every byte restarts the timeout."""
    config = configuration(limits=CallerLimits(header_timeout_s=0.3))

    async def scenario(port, pipeline, servers):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        reading = asyncio.ensure_future(read_response(reader))
        for byte in request_bytes("/desk-read/x") * 20:
            if reading.done():
                break
            writer.write(bytes([byte]))
            await asyncio.sleep(0.02)
        writer.close()
        return await reading

    assert run_scenario([[respond_with()]], scenario, config).status == 408


def test_several_requests_on_one_connection():
    """Guards against requests that are lost or mixed up when they are pipelined."""

    async def scenario(port, pipeline, servers):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        for n in range(3):
            writer.write(request_bytes("/desk-read/x", f"c{n}", "POST", b"body %d" % n))
        responses = [await read_response(reader) for _n in range(3)]
        writer.close()
        return responses, servers[0].bodies

    responses, bodies = run_scenario([[respond_with()]], scenario)
    assert [response.status for response in responses] == [200] * 3
    assert bodies == [b"body 0", b"body 1", b"body 2"]


def test_request_body_in_chunks():
    """Guards against a body that changes when a chunked request is sent on with a length."""
    raw = (
        request_bytes("/desk-read/x", "c0ffee", "POST", b"", "transfer-encoding: chunked")
        + encode_chunk(b"two ")
        + encode_chunk(b"pieces")
        + b"0\r\n\r\n"
    )
    _response, _counts, servers = run_scenario([[respond_with()]], single_request_scenario(raw))
    assert servers[0].bodies == [b"two pieces"]


def test_unreachable_server_is_not_recorded_as_caching_the_prompt():
    """Guards against requests that are routed to a server for a prompt it has never received.

    The connection to the server was never opened.
    """

    async def scenario(port, pipeline, servers):
        servers[0].server.close()
        await servers[0].server.wait_closed()
        raw = request_bytes("/chat/x", "c1", "POST", b"", *PROMPT)
        await send_request(port, raw)
        return pipeline.dispatcher

    dispatcher = run_scenario([[stream_events(1, 3)]], scenario, service=MODEL_SERVICE)
    assert not dispatcher.unannounced_keys_by_server
    assert not dispatcher.cached_parts.servers_by_key


def test_deepest_shared_part_is_announced_once_the_request_is_sent():
    """Guards against announcing prompt parts that no other request shares."""
    raw = request_bytes("/chat/x", "c1", "POST", b"", *PROMPT)

    async def scenario(port, pipeline, servers):
        await send_request(port, raw)
        return pipeline.dispatcher

    dispatcher = run_scenario([[stream_events(1, 3)]], scenario, service=MODEL_SERVICE)
    assert dispatcher.unannounced_keys_by_server == {"server-0": {part_key("m", "b2")}}
    assert len(dispatcher.cached_parts.servers_by_key) == 3


def test_shutdown_closes_connections_and_starts_no_stream_of_unknown_length():
    """Guards against streams that are truncated when the process ends.

    The duration of the route's streams is unknown as none has ended yet, so the node must assume
    that a stream lasts until its deadline, after the end of the process.
    """

    async def scenario(port, pipeline, servers):
        port.closing_connections = True
        now_s = asyncio.get_running_loop().time()
        pipeline.begin_shutdown(now_s + 1.0, now_s + 0.5)
        stream = await send_request(port, request_bytes("/chat/x", "c1", "POST"))
        plain = await send_request(port, request_bytes("/desk-read/x", "c2"))
        return stream, plain

    stream, plain = run_scenario([[respond_with()]], scenario)
    assert stream.status == 503
    assert plain.status == 200
    assert plain.headers["connection"] == "close"


def test_shutdown_starts_streams_of_known_length_during_the_notice():
    """Guards against refusing callers that the balancer still sends during the drain notice.

    If two nodes shut down, a refused caller may reach the second one and be refused twice.
    """

    async def scenario(port, pipeline, servers):
        now_s = asyncio.get_running_loop().time()
        for _repetition in range(10):
            pipeline.durations.record_duration("chat", 0.7)
        pipeline.begin_shutdown(now_s + 1.0, now_s + 0.5)
        early = await send_request(port, request_bytes("/chat/x", "c1", "POST"))
        pipeline.begin_shutdown(now_s + 1.0, now_s - 0.5)
        late = await send_request(port, request_bytes("/chat/x", "c2", "POST"))
        return early, late

    early, late = run_scenario([[stream_events(1, 3)]], scenario, service=MODEL_SERVICE)
    assert early.status == 200
    assert late.status == 503


def test_queued_request_is_served_when_capacity_is_free():
    """Guards against refusals although capacity becomes free before the deadline."""

    async def scenario(port, pipeline, servers):
        async def slow(server, headers, reader, writer):
            await asyncio.sleep(0.05)
            writer.write(response_head(headers, "200 OK", "content-length: 2") + b"ok")

        servers[0].script = [slow]
        raw_requests = [request_bytes("/desk-read/x", f"c{n}") for n in range(30)]
        return await asyncio.gather(
            *(send_request(port, raw_request) for raw_request in raw_requests)
        )

    results = run_scenario([[respond_with()]], scenario)
    assert [response.status for response in results] == [200] * 30


def test_request_avoids_a_server_that_leaves_while_connecting():
    """Guards against new work for a server that starts to drain while a connection is opened."""

    async def scenario(port, pipeline, servers):
        directory = pipeline.dispatcher.directory
        choose = pipeline.dispatcher.choose_server

        def choose_and_leave(wanted, now_s):
            choice = choose(wanted, now_s)
            if choice.state is not None and choice.state.server_id == "server-0":
                directory.put(
                    server_entry(
                        "server-0", service=PLAIN_SERVICE, port=servers[0].port, leaving=True
                    ),
                    now_s,
                )
            return choice

        pipeline.dispatcher.choose_server = choose_and_leave
        results = [
            await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in range(4)
        ]
        return results, len(servers[0].requests)

    results, sent = run_scenario([[respond_with()], [respond_with()]], scenario)
    assert [response.status for response in results] == [200] * 4
    assert sent == 0


def test_queued_requests_with_the_same_id_are_refused_or_served():
    """Guards against an internal error at a caller whose attempt id another request has."""
    release = asyncio.Event()

    async def answer_late(server, headers, reader, writer):
        await release.wait()
        await respond_with()(server, headers, reader, writer)

    async def scenario(port, pipeline, servers):
        state = pipeline.dispatcher.directory.servers["server-0"]
        state.entry = replace(state.entry, slots=1)
        calls = [request_bytes("/chat/x", call_id, "POST") for call_id in ("c0", "c1", "c1")]
        sent = []
        for count, call in enumerate(calls):
            sent.append(asyncio.create_task(send_request(port, call)))
            await wait_until(lambda count=count: pipeline.active_requests == count + 1)
        await wait_until(lambda: pipeline.placer.waiters)
        release.set()
        return [(await task).status for task in sent]

    statuses = run_scenario(
        [[answer_late, respond_with()]],
        scenario,
        configuration(routes=[stream_route(timeout_s=4.0)]),
        MODEL_SERVICE,
    )
    assert statuses[0] == 200
    assert set(statuses) <= {200, 503}
