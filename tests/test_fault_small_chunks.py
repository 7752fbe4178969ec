"""Fault: one connection sends so many small chunks that its node answers nobody else.

Each chunk costs the node the same, whatever its size. What is parsed and relayed of one connection
between two turns of the event loop is counted here; times depend on the machine.
"""

import asyncio
from collections import Counter
from dataclasses import replace

import h11
import pytest

from tanagerworks.edge.http_server import Responder
from tests.edge_builders import MODEL_SERVICE, configuration, non_idempotent_route, stream_route
from tests.platform_standin import (
    encode_chunk,
    read_response,
    request_bytes,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    wait_until,
)

CHUNKS = 4_000
MAX_EVENTS_IN_A_ROW = 40
MAX_BYTES_IN_A_ROW = 65_536
EVENT = b"data: x\n\n"


@pytest.fixture
def in_a_row(monkeypatch):
    """Counts, for each connection and turn of the event loop, events parsed and bytes relayed."""
    events, relayed = Counter(), Counter()
    turn = 0

    def current_turn():
        """Returns the number of the turn; turns are counted while somebody asks."""
        if not current_turn.waiting:
            current_turn.waiting = True
            asyncio.get_running_loop().call_soon(next_turn)
        return turn

    def next_turn():
        nonlocal turn
        turn += 1
        current_turn.waiting = False

    current_turn.waiting = False
    next_event, write_body = h11.Connection.next_event, Responder.write_body

    def counting_next_event(connection):
        event = next_event(connection)
        events[id(connection), current_turn()] += not isinstance(event, type)
        return event

    def counting_write_body(responder, data):
        relayed[id(responder), current_turn()] += len(data)
        write_body(responder, data)

    monkeypatch.setattr(h11.Connection, "next_event", counting_next_event)
    monkeypatch.setattr(Responder, "write_body", counting_write_body)
    return events, relayed


def send_stream(*data):
    """Sends a stream whose chunks arrive at once, and its end."""

    async def action(server, headers, reader, writer):
        head = response_head(
            headers, "200 OK", "content-type: text/event-stream", "transfer-encoding: chunked"
        )
        writer.write(head + b"".join(map(encode_chunk, data)) + b"0\r\n\r\n")

    return action


@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize(
    "data",
    [[EVENT] * CHUNKS, [b"x"] * CHUNKS + [b"\n\n"], [EVENT * CHUNKS * 8]],
    ids=["events", "bytes", "one chunk"],
)
def test_answer_in_small_chunks_leaves_others_their_turns(data, resumable, in_a_row):
    """Guards against an answer that keeps its node from answering the requests of others."""
    events, relayed = in_a_row

    async def scenario(port, pipeline, servers):
        return await send_request(port, request_bytes("/chat/x", "c1", "POST"))

    response = run_scenario(
        [[send_stream(*data)]],
        scenario,
        configuration(routes=[stream_route(resumable=resumable)]),
        MODEL_SERVICE,
    )
    assert response.complete
    assert response.body == b"".join(data)
    assert max(events.values()) <= MAX_EVENTS_IN_A_ROW
    assert max(relayed.values()) <= MAX_BYTES_IN_A_ROW


def test_body_in_small_chunks_leaves_others_their_turns(in_a_row):
    """Guards against an upload that keeps its node from answering the requests of others."""
    events, _relayed = in_a_row
    raw = request_bytes("/desk-book/x", "c1", "POST", b"", "transfer-encoding: chunked")
    raw += b"1\r\nb\r\n" * CHUNKS + b"0\r\n\r\n"

    async def scenario(port, pipeline, servers):
        response = await send_request(port, raw)
        return response, servers[0].bodies

    response, bodies = run_scenario([[respond_with()]], scenario)
    assert response.complete
    assert bodies == [b"b" * CHUNKS]
    assert max(events.values()) <= MAX_EVENTS_IN_A_ROW


def test_next_request_behind_a_body_in_small_chunks_is_answered():
    """Guards against a connection that is not read again after a body that took several turns."""
    body = b"transfer-encoding: chunked"
    first = request_bytes("/desk-book/x", "c1", "POST", b"", body.decode())
    first += b"1\r\nb\r\n" * 200 + b"0\r\n\r\n"

    async def scenario(port, pipeline, servers):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(first + request_bytes("/desk-book/x", "c2", "POST", b"b"))
        answers = [await read_response(reader) for _ in range(2)]
        writer.write(request_bytes("/desk-book/x", "c3", "POST", b"b"))
        answers.append(await read_response(reader))
        writer.close()
        return [answer.complete for answer in answers]

    assert run_scenario([[respond_with()]], scenario) == [True] * 3


def test_body_over_the_limit_in_small_chunks_gets_one_refusal():
    """Guards against the rest of a rejected body that is parsed in later turns."""
    limits = configuration().limits
    raw = request_bytes("/desk-book/x", "c1", "POST", b"", "transfer-encoding: chunked")
    chunk = encode_chunk(b"b" * 1024)

    async def scenario(port, pipeline, servers):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(raw + chunk * (limits.max_body_bytes // 1024 + 40) + b"0\r\n\r\n")
        answer = await read_response(reader)
        rest = await reader.read()
        writer.close()
        await wait_until(lambda: not port.connections)
        return answer.status, rest, servers[0].requests

    assert run_scenario([[respond_with()]], scenario) == (413, b"", [])


def test_answer_that_ends_with_its_connection_is_whole_if_it_took_several_turns():
    """Guards against the loss of what is not parsed yet when the connection ends."""
    data = [EVENT] * CHUNKS

    async def broken_off(server, headers, reader, writer):
        head = response_head(
            headers, "200 OK", "content-type: text/event-stream", "transfer-encoding: chunked"
        )
        writer.write(head + b"".join(map(encode_chunk, data)))
        await writer.drain()
        raise ConnectionResetError

    async def scenario(port, pipeline, servers):
        return await send_request(port, request_bytes("/chat/x", "c1", "POST"))

    response = run_scenario(
        [[broken_off]], scenario, configuration(routes=[stream_route()]), MODEL_SERVICE
    )
    assert not response.complete
    assert response.body == b"".join(data)


def test_caller_that_leaves_amid_small_chunks_leaves_no_connection(caplog):
    """Guards against an exception in a timer, after which the connection is never closed.

    The reset that answers the refusal is not noticed while the rest of the body waits.
    """
    limits = replace(configuration().limits, idle_timeout_s=1.0)

    async def scenario(port, pipeline, servers):
        _reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(request_bytes("/desk-book/x", "c1", "POST", b"", "transfer-encoding: chunked"))
        for _ in range(60):
            writer.write(b"1\r\nb\r\n" * 5_000)
            await asyncio.sleep(0)
        writer.close()
        await wait_until(lambda: port.connections)
        await wait_until(lambda: not port.connections)

    run_scenario([[respond_with()]], scenario, configuration(limits=limits))
    assert not [record for record in caplog.records if record.name == "asyncio"]


def test_upload_that_its_caller_gives_up_is_not_served():
    """Guards against a request of a caller that has left while its body was parsed."""
    raw = request_bytes("/desk-book/x", "c1", "POST", b"", "transfer-encoding: chunked")

    async def scenario(port, pipeline, servers):
        _reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(raw + b"1\r\nb\r\n" * 2000)
        await wait_until(lambda: port.connections)
        writer.transport.abort()
        await wait_until(lambda: not port.connections)
        return servers[0].requests

    config = configuration(routes=[non_idempotent_route()])
    assert run_scenario([[respond_with()]], scenario, config) == []
