"""Fault: one connection sends so many small chunks that its node answers nobody else.

Each chunk costs the node the same, whatever its size. What is parsed and relayed of one connection
between two turns of the event loop is counted here; times depend on the machine.
"""

import asyncio
from collections import Counter

import h11
import pytest

from tanagerworks.edge.http_server import Responder
from tests.edge_builders import MODEL_SERVICE, configuration, stream_route
from tests.platform_standin import (
    encode_chunk,
    request_bytes,
    response_head,
    run_scenario,
    send_request,
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
