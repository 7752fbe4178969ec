"""Fault: a server says in its answers that it leaves, and still gets new requests.

The store does not say so, or this node reaches neither the store nor any peer.
"""

import asyncio

import pytest

from tests.edge_builders import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    dispatch_request,
    dispatcher,
    non_idempotent_route,
    route,
    server_entry,
    stream_route,
)
from tests.platform_standin import (
    encode_chunk,
    request_bytes,
    response_head,
    run_scenario,
    send_request,
    stream_events,
    wait_until,
)

LEAVING = "server-leaving: 1"


def leave_with(status="200 OK", body=b"last answers", signed=True):
    """Answers each request with the statement that the server leaves."""

    async def action(server, headers, reader, writer):
        if signed:
            head = response_head(headers, status, LEAVING, f"content-length: {len(body)}")
        else:
            head = f"HTTP/1.1 {status}\r\n{LEAVING}\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        writer.write(head + body)

    return action


def run_requests(scripts, request_route, count=6, service=PLAIN_SERVICE):
    """Sends requests one after the other; returns the responses and the requests by server."""

    async def scenario(port, pipeline, servers):
        path = f"/{request_route.name}/x"
        responses = [
            await send_request(port, request_bytes(path, f"c{n}", "POST")) for n in range(count)
        ]
        return responses, [len(server.requests) for server in servers]

    return run_scenario(scripts, scenario, configuration(routes=[request_route]), service)


@pytest.mark.parametrize("status", ["200 OK", "500 Broken", "429 Too Many Requests"])
@pytest.mark.parametrize("request_route", [route(max_attempts=1), non_idempotent_route()])
def test_leaving_server_gets_nothing_new(request_route, status):
    """Guards against requests to a server that leaves; only its answers say so."""
    responses, counts = run_requests([[leave_with(status)]], request_route)
    assert counts == [1]
    # Callers are told at once, and truly, that nothing ran.
    assert [response.status for response in responses[1:]] == [503] * 5
    assert all(float(response.headers["retry-after"]) > 0.0 for response in responses[1:])


def test_only_the_remaining_server_is_used():
    """Guards against requests that fail although another server can run them."""
    responses, counts = run_requests([[leave_with()], [leave_with(), leave_with()]], route())
    assert counts == [1, 1]
    assert [response.status for response in responses] == [200, 200, 503, 503, 503, 503]


def test_unsigned_answer_of_another_process_does_not_count():
    """Guards against a process at a reused address that takes a server out of use."""
    answer = leave_with("500 Broken", signed=False)
    _responses, counts = run_requests([[answer]], route(max_attempts=1), count=2)
    assert counts == [2]


def test_broken_stream_is_not_resumed_at_a_leaving_server():
    """Guards against a stream that goes on at a server which ends before it does."""
    said = asyncio.Event()

    async def scenario(port, pipeline, servers):
        states = pipeline.dispatcher.directory.servers

        async def break_off(server, headers, reader, writer):
            for server_id, state in states.items():
                # The other server has said meanwhile, to another request, that it leaves.
                if server_id != server.server_id:
                    state.record_leaving(asyncio.get_running_loop().time())
            said.set()
            await stream_events(1, 9, cut=5)(server, headers, reader, writer)

        for server in servers:
            server.script = [break_off]
        response = await send_request(port, request_bytes("/plan/x", "c1", "POST"))
        return response, [len(server.requests) for server in servers]

    response, counts = run_scenario(
        [[leave_with()], [leave_with()]],
        scenario,
        configuration(routes=[stream_route("plan", resumable=True, max_attempts=2)]),
        MODEL_SERVICE,
    )
    assert said.is_set()
    assert sorted(counts) == [0, 1]
    assert not response.complete


def test_requests_in_the_queue_are_refused_when_the_last_server_leaves():
    """Guards against requests that wait until their deadline for a server that leaves."""
    release = asyncio.Event()

    async def answer_late(server, headers, reader, writer):
        await release.wait()
        await leave_with()(server, headers, reader, writer)

    async def scenario(port, pipeline, servers):
        pipeline.dispatcher.directory.servers["server-0"].entry = server_entry(
            "server-0", port=servers[0].port, slots=1
        )
        sent = [
            asyncio.create_task(send_request(port, request_bytes("/chat/x", f"c{n}", "POST")))
            for n in range(4)
        ]
        await wait_until(lambda: len(pipeline.dispatcher.queue(MODEL_SERVICE)) == 3)
        released_s = asyncio.get_running_loop().time()
        release.set()
        responses = [await task for task in sent]
        took_s = asyncio.get_running_loop().time() - released_s
        return responses, took_s, len(servers[0].requests)

    responses, took_s, count = run_scenario(
        [[answer_late]], scenario, configuration(routes=[stream_route()]), MODEL_SERVICE
    )
    assert sorted(response.status for response in responses) == [200, 503, 503, 503]
    assert count == 1
    # The deadline of the requests is 1.5 s.
    assert took_s < 1.0


def test_stream_at_a_leaving_server_goes_on():
    """Guards against streams cut because their server has said that it leaves."""

    async def stream(server, headers, reader, writer):
        chunked = ("content-type: text/event-stream", "transfer-encoding: chunked")
        writer.write(response_head(headers, "200 OK", LEAVING, *chunked))
        for number in range(1, 6):
            writer.write(encode_chunk(b"id: %d\ndata: piece\n\n" % number))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    responses, counts = run_requests([[stream]], stream_route(), 2, MODEL_SERVICE)
    assert (responses[0].status, responses[0].complete, responses[1].status) == (200, True, 503)
    assert counts == [1]


def usable(node_dispatcher):
    request = dispatch_request(service=PLAIN_SERVICE)
    return node_dispatcher.choose_server(request, 10.0).state is not None


def test_word_of_a_server_holds_until_its_process_ends():
    """Guards against a leaving server that is used again, and against its successor that is not.

    The store still says that it is ready, and loses its entry for a time.
    """
    entry = server_entry("a", PLAIN_SERVICE)
    node_dispatcher = dispatcher(servers=[entry])
    directory = node_dispatcher.directory
    directory.servers["a"].record_leaving(1.0)
    directory.put(entry, 2.0)
    assert not usable(node_dispatcher)
    directory.delete("a", 3.0)
    directory.put(entry, 4.0)
    assert not usable(node_dispatcher)
    directory.put(server_entry("a", PLAIN_SERVICE, started_ms=2), 5.0)
    assert usable(node_dispatcher)


def test_address_used_again_by_another_service_is_in_use():
    """Guards against a statement that outlives its process at an address."""
    node_dispatcher = dispatcher(servers=[server_entry("a", MODEL_SERVICE)])
    directory = node_dispatcher.directory
    directory.servers["a"].record_leaving(1.0)
    directory.delete("a", 2.0)
    directory.put(server_entry("b", PLAIN_SERVICE, started_ms=2), 3.0)
    assert usable(node_dispatcher)
