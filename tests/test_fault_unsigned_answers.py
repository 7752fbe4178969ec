"""Fault: a success without the server's signature, or one that contradicts itself, is passed on."""

import asyncio

import h11
import pytest
from adapter.backend_http import BackendHttp
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerworks.edge.answer_check import check_answer
from tanagerworks.edge.backend_connection import BackendConnection
from tanagerworks.edge.http_messages import RequestHead, find_header
from tanagerworks.errors import BackendError
from tests.edge_builders import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    non_idempotent_route,
    route,
    stream_route,
)
from tests.platform_standin import (
    encode_chunk,
    request_bytes,
    respond_with,
    response_head,
    resume_bytes,
    run_scenario,
    send_request,
    stream_events,
)
from tests.test_fault_broken_answers import EVENTS, LARGE_BODY
from tests.test_forwarding import run_fleet

SIGNATURE = b"x-tanagerworks-server-signature: server-a\r\n"
# What a spoiled head has in place of the signature, or beside it.
SPOILED = {
    "missing": b"",
    "garbled name": SIGNATURE.replace(b"-server-", b"-servar-"),
    "empty": b"x-tanagerworks-server-signature: \r\n",
    "twice": SIGNATURE * 2,
    "of two servers": SIGNATURE + SIGNATURE.replace(b"server-a", b"server-b"),
    "beside a refusal": SIGNATURE + b"x-tanagerworks-not-executed: 1\r\n",
    "beside a second id": SIGNATURE + b"x-tanagerworks-attempt-id: other\r\n",
}
KINDS = {
    "once": (non_idempotent_route(max_attempts=2), "/desk-book/x"),
    "repeatable": (route(max_attempts=1), "/desk-read/x"),
    "stream": (stream_route(max_attempts=1), "/chat/x"),
    "resumable": (stream_route("plan", resumable=True, max_attempts=1), "/plan/x"),
}


def answer_spoiled(how, body=b"whole answer", kind="x-kind: plain"):
    """Sends a success whose head is spoiled."""

    async def action(server, headers, reader, writer):
        head = response_head(headers, "200 OK", kind, f"content-length: {len(body)}")
        writer.write(head.replace(SIGNATURE, SPOILED[how]) + body)

    return action


@pytest.mark.parametrize("how", SPOILED)
@pytest.mark.parametrize("kind", KINDS)
def test_success_that_no_server_signed_is_a_failure(kind, how, caplog):
    """Guards against a success without a signature, in the ways that an answer can take."""
    used, path = KINDS[kind]
    body, content_type = b"whole answer", "x-kind: plain"
    if used.streams:
        body, content_type = EVENTS, "content-type: text/event-stream"

    async def scenario(port, pipeline, servers):
        response = await send_request(port, request_bytes(path, "c1", "POST"))
        return response, next(iter(pipeline.dispatcher.directory.servers.values()))

    response, state = run_scenario(
        [[answer_spoiled(how, body, content_type)]],
        scenario,
        configuration(routes=[used]),
        MODEL_SERVICE if used.streams else PLAIN_SERVICE,
    )
    assert (response.status, response.complete) == (502, True)
    assert state.consecutive_failures == 1
    (failure,) = [record for record in caplog.records if record.message == "attempt failed"]
    # The caller of a request that runs once must not take it for one that has not run.
    assert failure.outcome == "unknown"


def test_large_success_that_no_server_signed_is_a_failure():
    """Guards against an unsigned answer that is relayed as it arrives."""

    async def scenario(port, pipeline, servers):
        return await send_request(port, request_bytes("/desk-book/x", "c1", "POST"))

    config = configuration(routes=[non_idempotent_route()])
    response = run_scenario([[answer_spoiled("missing", LARGE_BODY)]], scenario, config)
    assert response.status == 502


def test_repeatable_request_gets_the_signed_answer_of_another_server():
    """Guards against a failure, or an unsigned answer, although a retry would succeed."""

    async def scenario(port, pipeline, servers):
        return [await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in range(4)]

    responses = run_scenario([[answer_spoiled("garbled name")], [respond_with()]], scenario)
    assert [(r.status, "x-tanagerworks-server-signature" in r.headers) for r in responses] == [
        (200, True)
    ] * 4


def test_stream_that_is_taken_up_goes_on_with_signed_events_only():
    """Guards against an unsigned continuation of a stream that a caller takes up."""

    async def scenario(port, pipeline, servers):
        pipeline.dispatcher.directory.versions.record_first_start()
        pipeline.stream_origins.record_begin("c1", MODEL_SERVICE, "v1")
        return await send_request(port, resume_bytes("d1", 4, "c1"))

    spoiled = answer_spoiled("missing", EVENTS, "content-type: text/event-stream")
    response = run_scenario(
        [[spoiled], [stream_events(1, 9)]],
        scenario,
        configuration(routes=[stream_route("plan", resumable=True, max_attempts=3)]),
        MODEL_SERVICE,
    )
    assert (response.status, response.body[:5]) == (200, b"id: 5")


@pytest.mark.parametrize("path", ["/book/x", "/read/x", "/chat/x"])
def test_unsigned_success_is_not_passed_on_behind_another_node(path):
    """Guards against a node that forwards a request and takes any success for that of a server."""
    body = EVENTS if path == "/chat/x" else b"part"
    kind = "content-type: text/event-stream" if path == "/chat/x" else "x-kind: plain"
    spoiled = answer_spoiled("missing", body, kind)

    async def scenario(fleet):
        await fleet.cut("refuse")
        response = await fleet.send(path, "c1", "POST")
        assert fleet.is_cut_off()
        assert fleet.runs("c1")
        return response

    response = run_fleet(scenario, {name: [spoiled] for name in ("d0", "d1", "m0", "m1")})
    assert response.status == 502


# Answers of which one place is spoiled


class _Transport(asyncio.Transport):
    """Takes what is written, and nothing else."""

    def __init__(self):
        super().__init__()
        self.closing = False

    def write(self, data):
        pass

    def abort(self):
        self.closing = True

    def is_closing(self):
        return self.closing

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


def receive(data, pieces=1):
    """Returns the status, the signature and the body of an answer that a caller would get.

    It arrives in some pieces. Raises BackendError if there is none.
    """
    connection = BackendConnection()
    connection.transport = _Transport()
    connection.send_request(
        RequestHead(b"GET", b"/x", [(b"host", b"h")], False), [(b"host", b"h")], b""
    )
    size = max(1, len(data) // pieces)
    for start in range(0, len(data), size):
        connection.data_received(data[start : start + size])
    if not connection.transport.closing:
        connection.eof_received()

    async def read():
        head = await connection.next_event()
        headers = list(head.headers)
        metadata = BackendHttp().parse_response_head(head.status_code, headers)
        check_answer("c1", head.status_code, headers, metadata, is_new=True)
        body = b""
        while isinstance(event := await connection.next_event(), h11.Data):
            body += bytes(event.data)
        return head.status_code, find_header(headers, SIGNATURE.split(b":")[0]), body

    return asyncio.run(read())


BODY = b"the whole body of the answer"
HEADS = {
    "length": b"content-length: %d\r\n" % len(BODY),
    "chunks": b"transfer-encoding: chunked\r\n",
}


def sound_answer(framing):
    """Returns the head and the body of an answer, and which places of the head frame the body."""
    id_line = b"x-tanagerworks-attempt-id: c1\r\n"
    head = b"HTTP/1.1 200 OK\r\n" + id_line + SIGNATURE
    framed = head + HEADS[framing] + b"\r\n"
    body = encode_chunk(BODY) + b"0\r\n\r\n" if framing == "chunks" else BODY
    return framed, body, range(len(head), len(framed))


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.data(), st.sampled_from([*HEADS]), st.sampled_from(["spoil", "drop", "repeat", "cut"]))
def test_answer_with_a_spoiled_head_is_whole_and_signed_or_an_error(data, framing, how):
    """Guards against a success that is not both, whatever byte of its head is wrong.

    The line that frames the body is left out: an answer with too short a length cannot be told from
    a sound one. Nor can a signature with another value.
    """
    head, body, frame = sound_answer(framing)
    places = [place for place in range(len(head)) if place not in frame]
    place = data.draw(st.sampled_from(places))
    spoiled = {
        "spoil": lambda: head[:place]
        + data.draw(st.binary(min_size=1, max_size=1))
        + head[place + 1 :],
        "drop": lambda: head[:place] + head[place + 1 :],
        "repeat": lambda: head[:place] + head[place : place + 1] * 2 + head[place + 1 :],
        "cut": lambda: head[:place],
    }[how]()
    try:
        status, signature, received = receive(spoiled + (b"" if how == "cut" else body))
    except BackendError:
        return
    if 200 <= status < 300:
        assert signature is not None
        assert received == BODY


@pytest.mark.parametrize("pieces", [1, 7, 1000])
@pytest.mark.parametrize("before", [b"", b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"])
def test_line_feed_in_a_head_does_not_end_it(before, pieces):
    """Guards against the lines that state the length as part of a body, after a stray line feed."""
    head, body, _frame = sound_answer("length")
    stray = head.replace(SIGNATURE, SIGNATURE + b"\n")
    assert receive(before + head + body, pieces) == (200, b"server-a", BODY)
    with pytest.raises(BackendError, match="line feed"):
        receive(before + stray + body, pieces)
