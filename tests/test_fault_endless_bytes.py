"""Fault: bytes that are no answer come without end, until the edge process closes the connection.

The source is a backend server (head, informational responses, chunk extensions, trailers, events,
body, bytes behind an answer or on an idle connection) or a caller. The process must close the
connection after a bounded number of bytes and within a bounded time, and serve others meanwhile.
"""

import asyncio
import time

import pytest

from tanagerworks.edge.event_stream import MAX_EVENT_BYTES, EventSplitter
from tanagerworks.edge.http_client import HttpClient
from tanagerworks.errors import BackendProtocolError, PublishedStoreError
from tanagerworks.published.model import CallerLimits
from tests.edge_builders import (
    MODEL_SERVICE,
    configuration,
    non_idempotent_route,
    route,
    stream_route,
)
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

# What a process may read of such bytes: its own limits plus the buffers of both sockets.
MAX_BYTES_READ = 12_000_000
# Far more than that; the source stops here so that a failing test ends.
SENT_AT_MOST = 60_000_000
PIECE = b"a" * 16_384


class EndlessServer:
    """Sends `start` (a function of the request's headers), then `piece` until it is cut off."""

    def __init__(self, start, piece):
        self.start = start
        self.piece = piece
        self.sent = 0
        self.cut_off = asyncio.Event()

    async def act(self, server, headers, reader, writer):
        writer.write(self.start(headers))
        try:
            while self.sent < SENT_AT_MOST:
                writer.write(self.piece)
                self.sent += len(self.piece)
                await writer.drain()
                # On one event loop, the process needs a turn to read.
                await asyncio.sleep(0)
        except ConnectionError:
            self.cut_off.set()
            raise
        await reader.read()
        self.cut_off.set()
        raise ConnectionResetError


def chunked_head(headers):
    return response_head(headers, "200 OK", "transfer-encoding: chunked")


ENDLESS_ANSWERS = {
    "head without a line end": (lambda headers: b"HTTP/1.1 200 OK", PIECE),
    "garbage": (lambda headers: b"", PIECE),
    "header lines": (lambda headers: b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n" * 2000),
    "informational responses": (lambda headers: b"", b"HTTP/1.1 102 P\r\n\r\n" * 900),
    "chunk extension": (lambda headers: chunked_head(headers) + b"5;", PIECE),
    "trailers": (lambda headers: chunked_head(headers) + b"0\r\n", b"x-a: b\r\n" * 2000),
    "empty lines": (lambda headers: b"", b"\r\n" * 8000),
}


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_endless_answer_ends_with_an_error_and_a_closed_connection(kind, caplog):
    """Guards against memory and time without bound for one response that never ends."""
    start, piece = ENDLESS_ANSWERS[kind]
    config = configuration(routes=[non_idempotent_route(timeout_s=10.0)])

    async def scenario(port, pipeline, servers):
        source = EndlessServer(start, piece)
        servers[0].script = [source.act]
        raw = request_bytes("/desk-book/x", "c1", "POST").replace(b"1500", b"9000")
        response = await send_request(port, raw)
        await source.cut_off.wait()
        return response, source.sent

    started_s = time.process_time()
    response, sent = run_scenario([[respond_with()]], scenario, config)
    assert response.status == 502
    assert sent < MAX_BYTES_READ
    failures = [record.error for record in caplog.records if record.message == "attempt failed"]
    assert failures == ["backend_protocol"]
    assert time.process_time() - started_s < 5.0


@pytest.mark.parametrize("piece", [PIECE, b"b"])
def test_endless_bytes_on_an_idle_connection_close_it(piece):
    """Guards against an idle connection that collects bytes until the next cleanup."""

    async def scenario(port, pipeline, servers):
        source = EndlessServer(
            lambda headers: response_head(headers, "200 OK", "content-length: 2") + b"ok", piece
        )
        servers[0].script = [source.act]
        response = await send_request(port, request_bytes("/desk-read/x"))
        await source.cut_off.wait()
        idle = pipeline.backend_exchange.pool.idle.values()
        assert not any(kept.is_reusable() for connections in idle for kept in connections)
        return response.body, source.sent

    body, sent = run_scenario([[respond_with()]], scenario)
    assert body == b"ok"
    assert sent < MAX_BYTES_READ


def test_endless_body_of_a_plain_response_ends_at_the_deadline():
    """Guards against a response without end that is relayed for longer than its request may take.

    The bytes buffered for a slow caller stay bounded, and the caller gets no complete response.
    """
    config = configuration(routes=[non_idempotent_route(timeout_s=1.0)])

    async def scenario(port, pipeline, servers):
        source = EndlessServer(chunked_head, encode_chunk(PIECE))
        servers[0].script = [source.act]
        _reader, writer = await asyncio.open_connection(
            *port.listener.sockets[0].getsockname(), limit=1024
        )
        writer.write(request_bytes("/desk-book/x", "c1", "POST"))
        await source.cut_off.wait()
        writer.close()
        return source.sent

    assert run_scenario([[respond_with()]], scenario, config) < MAX_BYTES_READ


def test_endless_error_body_is_not_waited_for():
    """Guards against a 5xx response without end that uses up the time for a retry."""

    async def scenario(port, pipeline, servers):
        source = EndlessServer(
            lambda headers: response_head(headers, "500 Broken", "transfer-encoding: chunked"),
            encode_chunk(PIECE),
        )
        servers[0].script = [source.act]
        results = [await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in "ab"]
        await source.cut_off.wait()
        return [result.body for result in results], source.sent

    bodies, sent = run_scenario(
        [[respond_with()], [respond_with()]], scenario, configuration(routes=[route()])
    )
    assert bodies == [b"whole answer"] * 2
    assert sent < MAX_BYTES_READ


@pytest.mark.parametrize("resumable", [False, True])
def test_event_without_end_ends_the_stream(resumable):
    """Guards against a stream whose only event never ends."""
    config = configuration(
        routes=[stream_route("plan", resumable=resumable, timeout_s=15.0, objective_s=0.1)]
    )

    async def scenario(port, pipeline, servers):
        source = EndlessServer(chunked_head, encode_chunk(b"data: " + PIECE))
        servers[0].script = [source.act]
        raw = request_bytes("/plan/x", "c1", "POST").replace(b"1500", b"15000")
        response = await send_request(port, raw)
        await source.cut_off.wait()
        return response

    assert not run_scenario([[respond_with()]], scenario, config, MODEL_SERVICE).complete


@pytest.mark.parametrize("framing", ["chunked", "none"])
def test_endless_body_for_a_get_of_the_process_itself_ends_with_an_error(framing):
    """Guards against a listing of a cache, or a page of the store, that takes all memory."""

    async def scenario(port, pipeline, servers):
        if framing == "chunked":
            source = EndlessServer(
                lambda headers: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                encode_chunk(PIECE),
            )
        else:
            source = EndlessServer(lambda headers: b"HTTP/1.1 200 OK\r\n\r\n", PIECE)
        servers[0].script = [source.act]
        client = HttpClient(f"127.0.0.1:{servers[0].port}")
        with pytest.raises(PublishedStoreError):
            await client.get("/kv-list", 15.0)
        await source.cut_off.wait()
        return source.sent

    assert run_scenario([[respond_with()]], scenario) < MAX_BYTES_READ


def test_cost_of_an_event_without_end_grows_with_its_size_only():
    """Guards against a server that occupies the event loop with small pieces of a long event.

    The work is counted as bytes searched, not as time.
    """
    splitter = EventSplitter(None)
    searched = 0

    class CountingBuffer(bytearray):
        def rfind(self, sub, start=0, *rest):
            nonlocal searched
            searched += len(self) - start
            return super().rfind(sub, start, *rest)

    splitter.partial_event = CountingBuffer()
    for _piece in range(MAX_EVENT_BYTES // 100):
        assert splitter.feed(b"d" * 100) == b""
    with pytest.raises(BackendProtocolError):
        splitter.feed(b"d" * 100)
    # Each of the two kinds of event end is searched for once, with a short overlap.
    assert 0 < searched <= 3 * MAX_EVENT_BYTES


def test_event_end_is_found_across_pieces():
    """Guards against an event end that is missed because it arrives in two pieces."""
    whole = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4"
    for size in range(1, len(whole)):
        splitter = EventSplitter(None)
        events = b"".join(
            splitter.feed(whole[start : start + size]) for start in range(0, len(whole), size)
        )
        assert events == whole[: whole.index(b"id: 4")]
        assert splitter.last_event_id == "3"
        assert splitter.partial_event == b"id: 4"


ENDLESS_REQUESTS = {
    "head": (b"GET /desk-read/ HTTP/1.1\r\nx-a: ", PIECE),
    "header lines": (b"GET /desk-read/ HTTP/1.1\r\n", b"x-a: b\r\n" * 2000),
    "method": (b"", PIECE),
    "body": (
        request_bytes("/desk-read/x", "c1", "POST", b"", "transfer-encoding: chunked"),
        encode_chunk(PIECE),
    ),
    "chunk extension": (
        request_bytes("/desk-read/x", "c1", "POST", b"", "transfer-encoding: chunked") + b"5;",
        PIECE,
    ),
    "trailers": (
        request_bytes("/desk-read/x", "c1", "POST", b"", "transfer-encoding: chunked") + b"0\r\n",
        b"x-a: b\r\n" * 2000,
    ),
}


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
def test_endless_request_is_refused_and_its_connection_closed(kind):
    """Guards against a caller that fills the memory of the process for all others."""
    start, piece = ENDLESS_REQUESTS[kind]
    limits = CallerLimits(
        max_header_bytes=8_000, max_body_bytes=100_000, header_timeout_s=2.0, idle_timeout_s=2.0
    )

    async def scenario(port, pipeline, servers):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        reading = asyncio.ensure_future(read_response(reader))
        writer.write(start)
        sent = 0
        try:
            while sent < SENT_AT_MOST:
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            pass
        response = await reading
        writer.close()
        await wait_until(lambda: not port.connections)
        return response, sent, len(servers[0].requests)

    response, _sent, runs = run_scenario([[respond_with()]], scenario, configuration(limits=limits))
    assert response.status in (400, 413, 431)
    assert runs == 0
