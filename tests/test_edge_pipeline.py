"""One request from a caller's socket to a backend server's and back, under failure.

Runs are counted at the server; what a caller gets is read at its socket.
"""

import asyncio
import socket
import struct

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
    ServerStandin,
    encode_chunk,
    never_respond,
    read_response,
    refuse,
    request_bytes,
    reset_connection,
    respond_whole,
    response_head,
    send_request,
    start_edge,
    stream_events,
    truncate_response,
    wait_until,
)


def run_scenario(scripts, scenario, config=None, service=PLAIN_SERVICE):
    """Runs `scenario(port, pipeline, servers)` before servers that follow `scripts`."""

    async def run():
        servers = []
        entries = []
        for number, script in enumerate(scripts):
            name = f"server-{number}"
            server = await ServerStandin(name, *script).start()
            servers.append(server)
            entries.append(server_entry(name, service=service, port=server.port))
        port, pipeline = await start_edge(servers, config, entries)
        async with asyncio.timeout(20):
            result = await scenario(port, pipeline, servers)
        port.close_listener()
        for server in servers:
            server.server.close()
        return result

    return asyncio.run(run())


PROMPT = ("x-tanagerworks-model: m", "x-tanagerworks-prefix-hash: a1:500,b2:4000,c3:20")


def single_request(raw):
    async def scenario(port, pipeline, servers):
        response = await send_request(port, raw)
        return response, [len(server.requests) for server in servers], servers

    return scenario


def test_whole_answer_and_headers():
    """Guards against a changed request, a key that is passed on, headers that a caller forged."""
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
    response, _counts, servers = run_scenario([[respond_whole()]], single_request(raw))
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
def test_refused_without_route_or_key(path, key, status):
    """Guards against requests that run although no configuration allows them."""
    raw = request_bytes(path)
    if key is not None:
        raw = raw.replace(b"Bearer key-1", b"Bearer " + key.encode())
    response, counts, _servers = run_scenario([[respond_whole()]], single_request(raw))
    assert response.status == status
    assert counts == [0]


@pytest.mark.parametrize(
    "failure",
    [reset_connection, truncate_response, refuse, lambda: respond_whole(b"x", "500 Broken")],
)
def test_idempotent_request_is_repeated_at_another_server(failure):
    """Guards against a failure that a second server would have spared the caller."""
    config = configuration(routes=[route()])

    async def scenario(port, pipeline, servers):
        results = [
            await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in range(6)
        ]
        return results, [len(server.requests) for server in servers]

    results, counts = run_scenario([[failure()], [respond_whole()]], scenario, config)
    assert [response.status for response in results] == [200] * 6
    assert counts[1] == 6


@pytest.mark.parametrize(("failure", "status"), [(reset_connection, 502), (truncate_response, 502)])
def test_request_that_may_have_run_is_sent_once(failure, status):
    """Guards against a booking that lands twice, and against saying that it has not run."""
    config = configuration(routes=[non_idempotent_route(max_attempts=3)])
    response, counts, _servers = run_scenario(
        [[failure()], [failure()]],
        single_request(request_bytes("/desk-book/x", method="POST")),
        config,
    )
    assert sum(counts) == 1
    assert response.status == status


def test_refusal_is_repeated_only_within_the_attempts():
    """Guards against more servers than the route allows."""
    config = configuration(routes=[non_idempotent_route(max_attempts=1)])
    response, counts, _servers = run_scenario(
        [[refuse()], [refuse()]],
        single_request(request_bytes("/desk-book/x", method="POST")),
        config,
    )
    assert sum(counts) == 1
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0


def test_request_that_reached_another_server_is_sent_to_the_right_one():
    """Guards against refusals, one after the other, by a server that took over an address."""
    config = configuration(routes=[non_idempotent_route(max_attempts=1)])

    async def scenario(port, pipeline, servers):
        raw = [request_bytes("/desk-book/x", f"c{n}", "POST") for n in range(6)]
        results = [await send_request(port, raw_request) for raw_request in raw]
        return results, [len(server.requests) for server in servers]

    results, counts = run_scenario(
        [[refuse("421 Misdirected Request")], [respond_whole()]], scenario, config
    )
    assert [response.status for response in results] == [200] * 6
    assert counts[0] <= 1
    assert counts[1] == 6


def test_refused_request_that_may_be_sent_again_is():
    """Guards against a refusal although another server is free."""
    config = configuration(routes=[non_idempotent_route(max_attempts=2)])

    async def scenario(port, pipeline, servers):
        raw = [request_bytes("/desk-book/x", f"c{n}", "POST") for n in range(4)]
        return [await send_request(port, raw_request) for raw_request in raw]

    results = run_scenario([[refuse()], [respond_whole()]], scenario, config)
    assert [response.status for response in results] == [200] * 4


def test_answer_of_another_request_never_reaches_the_caller():
    """Guards against a late extra answer on a kept connection."""

    async def respond_twice(server, headers, reader, writer):
        body = response_head(headers, "200 OK", "content-length: 3") + b"one"
        writer.write(body + response_head(headers, "200 OK", "content-length: 5") + b"extra")

    async def scenario(port, pipeline, servers):
        first = await send_request(port, request_bytes("/desk-read/x", "c1"))
        second = await send_request(port, request_bytes("/desk-read/x", "c2"))
        return first, second

    first, second = run_scenario([[respond_twice, respond_whole(b"two")]], scenario)
    assert (first.status, first.body) == (200, b"one")
    assert (second.status, second.body) == (200, b"two")


def test_answer_with_another_id_is_not_passed_on():
    """Guards against crossed answers."""

    async def respond_with_other_id(server, headers, reader, writer):
        other = headers | {"x-tanagerworks-attempt-id": "other"}
        writer.write(response_head(other, "200 OK", "content-length: 3") + b"bad")

    config = configuration(routes=[non_idempotent_route()])
    response, _counts, _servers = run_scenario(
        [[respond_with_other_id]],
        single_request(request_bytes("/desk-book/x", method="POST")),
        config,
    )
    assert response.status == 502
    assert b"bad" not in response.body


def test_answer_without_length_ends_with_its_connection():
    """Guards against answers that look cut because the server closes after them."""

    async def respond_without_length(server, headers, reader, writer):
        writer.write(response_head(headers) + b"until the end")
        await writer.drain()
        raise ConnectionResetError

    response, _counts, _servers = run_scenario(
        [[respond_without_length]], single_request(request_bytes("/desk-read/x"))
    )
    assert (response.status, response.body, response.whole) == (200, b"until the end", True)


def test_reset_answer_without_length_does_not_look_complete():
    """Guards against half an answer that a caller takes for the whole."""

    async def reset(server, headers, reader, writer):
        writer.write(response_head(headers) + b"half")
        await writer.drain()
        # Linger 0 makes the close a reset.
        linger = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        raise ConnectionResetError

    config = configuration(routes=[stream_route()])
    response, _counts, _servers = run_scenario(
        [[reset]], single_request(request_bytes("/chat/x", method="POST")), config, MODEL_SERVICE
    )
    assert not response.whole


def test_stream_is_passed_on_as_it_arrives():
    """Guards against events that wait for the events after them."""

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
        [[respond_whole()]], scenario, configuration(routes=[stream_route()]), MODEL_SERVICE
    )
    assert b"data: b" in rest


def test_resumable_stream_goes_on_elsewhere_without_gap_or_double():
    """Guards against missing or doubled events after a server broke inside an event."""
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=2)])
    response, counts, servers = run_scenario(
        [[stream_events(1, 9, cut=5)], [stream_events(1, 9, cut=5)]],
        single_request(request_bytes("/plan/x", method="POST")),
        config,
        MODEL_SERVICE,
    )
    assert sorted(counts) == [1, 1]
    second = next(s for s in servers if "last-event-id" in s.requests[0][1])
    assert second.requests[0][1]["last-event-id"] == "4"
    # The second server is cut at the same event; the caller sees whole events only, and no end.
    assert response.body == b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))
    assert not response.whole


def test_resumable_stream_that_fails_before_its_first_event_is_repeated():
    """Guards against an error of one server that another would have spared the caller."""
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=2)])

    async def scenario(port, pipeline, servers):
        return [
            await send_request(port, request_bytes("/plan/x", f"c{n}", "POST")) for n in range(4)
        ]

    scripts = [[respond_whole(b"broken", "500 Broken")], [stream_events(1, 3)]]
    results = run_scenario(scripts, scenario, config, MODEL_SERVICE)
    assert [response.status for response in results] == [200] * 4


def test_resumed_stream_is_whole():
    """Guards against a resumed stream that loses its end."""
    config = configuration(routes=[stream_route("plan", resumable=True, max_attempts=2)])

    async def scenario(port, pipeline, servers):
        script = [stream_events(1, 9, cut=5), stream_events(1, 9)]

        async def action(server, headers, reader, writer):
            await script.pop(0)(server, headers, reader, writer)

        for server in servers:
            server.script = [action]
        return await send_request(port, request_bytes("/plan/x", "c1", "POST"))

    response = run_scenario([[respond_whole()], [respond_whole()]], scenario, config, MODEL_SERVICE)
    assert response.whole
    assert response.body == b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 10))


def test_stream_that_may_not_be_resumed_is_cut():
    """Guards against pieces of two runs in one answer."""
    config = configuration(routes=[stream_route(max_attempts=3)])
    response, counts, _servers = run_scenario(
        [[stream_events(1, 9, cut=5)], [stream_events(1, 9, cut=5)]],
        single_request(request_bytes("/chat/x", method="POST")),
        config,
        MODEL_SERVICE,
    )
    assert sum(counts) == 1
    assert not response.whole


def test_caller_that_leaves_ends_its_request_before_the_first_byte():
    """Guards against servers that work for callers who have left."""

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
        run_scenario([[respond_whole()]], scenario, configuration(routes=[non_idempotent_route()]))
        == 0
    )


def test_route_timeout_is_kept():
    """Guards against callers that wait longer than the operator wants."""
    config = configuration(routes=[non_idempotent_route(timeout_s=0.2)])
    response, _counts, _servers = run_scenario(
        [[never_respond()]], single_request(request_bytes("/desk-book/x", method="POST")), config
    )
    assert response.status == 504


def test_silent_server_does_not_hold_an_idempotent_request():
    """Guards against a hanging server that keeps a caller to the end of its time."""
    config = configuration(routes=[route(timeout_s=1.0)])

    async def scenario(port, pipeline, servers):
        return [await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in range(3)]

    results = run_scenario([[never_respond()], [respond_whole()]], scenario, config)
    assert [response.status for response in results] == [200] * 3


def test_idle_connections_do_not_use_up_what_a_server_accepts():
    """Guards against a server that resets requests since idle connections of nodes fill it."""
    config = configuration(routes=[non_idempotent_route()])

    async def scenario(port, pipeline, servers):
        async def slow(server, headers, reader, writer):
            await asyncio.sleep(0.1)
            writer.write(response_head(headers, "200 OK", "content-length: 2") + b"ok")

        servers[0].script = [slow]
        raw = [request_bytes("/desk-book/x", f"c{n}", "POST") for n in range(8)]
        results = await asyncio.gather(*(send_request(port, raw_request) for raw_request in raw))
        await wait_until(lambda: servers[0].open <= MAX_IDLE_CONNECTIONS)
        return [response.status for response in results]

    assert run_scenario([[respond_whole()]], scenario, config) == [200] * 8


def test_refused_at_once_when_no_server_is_left():
    """Guards against a wait for what cannot come; the refusal says when to come back."""
    response, _counts, _servers = run_scenario([], single_request(request_bytes("/desk-read/x")))
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0


def test_unreachable_server_is_passed_over():
    """Guards against a request that fails although nothing was sent."""

    async def scenario(port, pipeline, servers):
        servers[0].server.close()
        await servers[0].server.wait_closed()
        return [
            await send_request(port, request_bytes("/desk-book/x", f"c{n}", "POST"))
            for n in range(3)
        ]

    config = configuration(routes=[non_idempotent_route()])
    results = run_scenario([[respond_whole()], [respond_whole()]], scenario, config)
    assert [response.status for response in results] == [200] * 3


def test_request_that_comes_while_the_node_prepares_is_held():
    """Guards against refusing callers in the moment before the configuration is known."""

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

    assert run_scenario([[respond_whole()]], scenario).status == 200


def test_port_that_is_open_before_the_program_is_loaded():
    """Guards against callers that are turned away while a process starts."""
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

    assert run_scenario([[respond_whole()]], scenario).status == 404
    assert listen_early(["program"]) is None
    assert listen_early(["program", "--callers=nonsense"]) is None


def test_no_configuration_is_a_refusal_that_may_come_back():
    """Guards against 404 or 401 from a process that knows no configuration yet."""

    async def scenario(port, pipeline, servers):
        limits = pipeline.dispatcher.configuration.limits
        pipeline.dispatcher.configuration = None
        port.limits = lambda: limits
        return await send_request(port, request_bytes("/desk-read/x"))

    response = run_scenario([[respond_whole()]], scenario)
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
def test_bad_input_is_refused_and_changes_nothing(raw, status):
    """Guards against smuggled requests and against input without bounds."""
    limits = CallerLimits(max_header_bytes=8_000, max_body_bytes=1_000)
    config = configuration(limits=limits)
    response, counts, _servers = run_scenario([[respond_whole()]], single_request(raw), config)
    assert response.status == status
    assert counts == [0]


def test_slow_header_is_ended():
    """Guards against connections that are held by a head which never ends."""
    config = configuration(limits=CallerLimits(header_timeout_s=0.2))
    response, _counts, _servers = run_scenario(
        [[respond_whole()]], single_request(b"GET /desk-read/ HT"), config
    )
    assert response.status == 408


def test_head_that_comes_byte_by_byte_is_ended():
    """Guards against a head whose every byte starts the time-out anew."""
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

    assert run_scenario([[respond_whole()]], scenario, config).status == 408


def test_several_requests_on_one_connection():
    """Guards against requests that are lost or crossed on a kept or pipelined connection."""

    async def scenario(port, pipeline, servers):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        for n in range(3):
            writer.write(request_bytes("/desk-read/x", f"c{n}", "POST", b"body %d" % n))
        responses = [await read_response(reader) for _n in range(3)]
        writer.close()
        return responses, servers[0].bodies

    responses, bodies = run_scenario([[respond_whole()]], scenario)
    assert [response.status for response in responses] == [200] * 3
    assert bodies == [b"body 0", b"body 1", b"body 2"]


def test_request_body_in_chunks():
    """Guards against a changed body when the framing differs."""
    raw = (
        request_bytes("/desk-read/x", "c0ffee", "POST", b"", "transfer-encoding: chunked")
        + encode_chunk(b"two ")
        + encode_chunk(b"pieces")
        + b"0\r\n\r\n"
    )
    _response, _counts, servers = run_scenario([[respond_whole()]], single_request(raw))
    assert servers[0].bodies == [b"two pieces"]


def test_server_that_cannot_be_reached_is_not_told_to_hold_the_prompt():
    """Guards against prompts that follow a connection which was never made."""

    async def scenario(port, pipeline, servers):
        servers[0].server.close()
        await servers[0].server.wait_closed()
        raw = request_bytes("/chat/x", "c1", "POST", b"", *PROMPT)
        await send_request(port, raw)
        return pipeline.dispatcher

    dispatcher = run_scenario([[stream_events(1, 3)]], scenario, service=MODEL_SERVICE)
    assert not dispatcher.unannounced
    assert not dispatcher.cached_parts.servers_by_key


def test_deepest_shared_part_is_told_once_the_request_is_sent():
    """Guards against messages with parts that no other request has."""
    raw = request_bytes("/chat/x", "c1", "POST", b"", *PROMPT)

    async def scenario(port, pipeline, servers):
        await send_request(port, raw)
        return pipeline.dispatcher

    dispatcher = run_scenario([[stream_events(1, 3)]], scenario, service=MODEL_SERVICE)
    assert dispatcher.unannounced == {"server-0": {part_key("m", "b2")}}
    assert len(dispatcher.cached_parts.servers_by_key) == 3


def test_stopping_node_closes_connections_and_begins_no_long_stream():
    """Guards against streams that are cut when the process ends."""

    async def scenario(port, pipeline, servers):
        port.closing_connections = True
        now_s = asyncio.get_running_loop().time()
        pipeline.begin_shutdown(now_s + 1.0, now_s + 0.5)
        stream = await send_request(port, request_bytes("/chat/x", "c1", "POST"))
        plain = await send_request(port, request_bytes("/desk-read/x", "c2"))
        return stream, plain

    stream, plain = run_scenario([[respond_whole()]], scenario)
    assert stream.status == 503
    assert plain.status == 200
    assert plain.headers["connection"] == "close"


def test_stopping_node_begins_streams_of_known_length_during_the_notice():
    """Guards against refusing callers that the balancer still sends, twice if two nodes stop."""

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


def test_waiting_request_is_served_when_a_place_is_free():
    """Guards against refusals while places become free in time."""

    async def scenario(port, pipeline, servers):
        async def slow(server, headers, reader, writer):
            await asyncio.sleep(0.05)
            writer.write(response_head(headers, "200 OK", "content-length: 2") + b"ok")

        servers[0].script = [slow]
        raw = [request_bytes("/desk-read/x", f"c{n}") for n in range(30)]
        return await asyncio.gather(*(send_request(port, raw_request) for raw_request in raw))

    results = run_scenario([[respond_whole()]], scenario)
    assert [response.status for response in results] == [200] * 30


def test_request_for_a_server_that_has_left_meanwhile_goes_elsewhere():
    """Guards against new work for a server that left while a connection was made."""

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

    results, sent = run_scenario([[respond_whole()], [respond_whole()]], scenario)
    assert [response.status for response in results] == [200] * 4
    assert sent == 0
