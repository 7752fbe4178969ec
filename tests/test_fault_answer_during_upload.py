"""Fault: part of an answer, or an answer that is none, reaches a caller as a complete one.

A server answers while the request's body is still being written, and resets the connection; a
server in trouble sends a status that does not exist.
"""

import asyncio
import socket

import pytest

from tanagerworks.edge.backend_connection import BackendConnection
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
    response_head,
    run_scenario,
    send_request,
)
from tests.test_fault_broken_answers import EVENTS, LARGE_BODY, reset
from tests.test_forwarding import run_fleet

# Far more than the buffers of the connection hold.
UPLOAD = b"u" * 3_000_000
SEND_BUFFER_BYTES = 16_384
DELAYS_S = (0.0, 0.001, 0.004, 0.012)
ROUTES = {
    "once": (non_idempotent_route(max_attempts=2), "/desk-book/x"),
    "repeatable": (route(max_attempts=1), "/desk-read/x"),
    "repeated": (route(max_attempts=2), "/desk-read/x"),
    "stream": (stream_route(max_attempts=1), "/chat/x"),
    "resumable": (stream_route(resumable=True, max_attempts=2), "/chat/x"),
}


def answer_early(framing, body, content_type):
    """Answers with part of `body` at once, then resets the connection after one of the delays."""
    delays = iter(DELAYS_S * 1000)

    async def action(server, headers, reader, writer):
        lines = {"none": [], "length": [f"content-length: {len(body) + 9}"]}
        lines = lines.get(framing, ["transfer-encoding: chunked"])
        sent = encode_chunk(body) if framing == "chunked" else body
        writer.write(response_head(headers, "200 OK", content_type, *lines) + sent)
        await asyncio.sleep(next(delays))
        reset(writer)
        raise ConnectionResetError

    return action


@pytest.fixture
def unwritten_bytes(monkeypatch):
    """What was left of the requests when data arrived, with small buffers in the kernel."""
    connected, received = BackendConnection.connection_made, BackendConnection.data_received
    found = []

    def connection_made(self, transport):
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        connected(self, transport)

    def data_received(self, data):
        found.append(self.transport.get_write_buffer_size())
        received(self, data)

    monkeypatch.setattr(BackendConnection, "connection_made", connection_made)
    monkeypatch.setattr(BackendConnection, "data_received", data_received)
    return found


@pytest.mark.parametrize("size", ["small", "large"])
@pytest.mark.parametrize("framing", ["none", "length", "chunked"])
@pytest.mark.parametrize("kind", ROUTES)
def test_part_of_an_answer_during_an_upload_is_not_complete(kind, framing, size, unwritten_bytes):
    """Guards against a success without its end, after a reset while the request is being written.

    The reset may reach the process with the write, so that the read sees the end of the data.
    """
    used, path = ROUTES[kind]
    streams = used.streams
    body = (EVENTS if streams else b"part") if size == "small" else LARGE_BODY
    if streams and size == "large":
        body = EVENTS * 2_000
    action = answer_early(framing, body, "content-type: text/event-stream" if streams else "x-y: z")

    async def scenario(port, pipeline, servers):
        for server in servers:
            server.answers_early = True
        return [
            await send_request(port, request_bytes(path, f"c{number}", "POST", UPLOAD))
            for number in range(2 * len(DELAYS_S))
        ]

    responses = run_scenario(
        [[action], [action]],
        scenario,
        configuration(routes=[used]),
        MODEL_SERVICE if streams else PLAIN_SERVICE,
    )
    assert {(r.status, r.complete) for r in responses} <= {(502, True), (200, False)}
    assert any(unwritten_bytes)


STATUSES = ["000", "001", "099", "600", "999", "20", "2000", "-20", "abc", "", "101"]


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("kind", ["once", "repeatable", "stream"])
def test_status_that_does_not_exist_is_no_answer(kind, status):
    """Guards against an answer with a status outside of the protocol that reaches a caller."""
    used, path = ROUTES[kind]

    async def action(server, headers, reader, writer):
        writer.write(response_head(headers, f"{status} Trouble", "content-length: 4") + b"part")

    async def scenario(port, pipeline, servers):
        return await send_request(port, request_bytes(path, "c1", "POST"))

    service = MODEL_SERVICE if used.streams else PLAIN_SERVICE
    response = run_scenario([[action]], scenario, configuration(routes=[used]), service)
    assert (response.status, response.complete) == (502, True)
    assert "x-tanagerworks-server-signature" not in response.headers


@pytest.mark.parametrize("path", ["/book/x", "/read/x", "/chat/x"])
@pytest.mark.parametrize("framing", ["none", "length", "chunked"])
def test_part_of_an_answer_is_not_complete_behind_another_node(framing, path):
    """Guards against a part that the node that forwards a request takes for the whole answer."""
    streams = path == "/chat/x"
    body = EVENTS if streams else b"part"
    action = answer_early(framing, body, "content-type: text/event-stream" if streams else "x-y: z")

    async def scenario(fleet):
        await fleet.cut("refuse")
        for server in fleet.servers:
            server.answers_early = True
        responses = [
            await fleet.send(path, f"c{number}", "POST", body=UPLOAD)
            for number in range(len(DELAYS_S))
        ]
        assert fleet.is_cut_off()
        assert any(fleet.runs(f"c{number}") for number in range(len(DELAYS_S)))
        return responses

    responses = run_fleet(scenario, {name: [action] for name in ("d0", "d1", "m0", "m1")})
    assert not [r for r in responses if r.complete and r.status == 200]
