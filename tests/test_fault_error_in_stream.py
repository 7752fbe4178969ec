"""Fault: a stream has begun and breaks off, and the server that resumes it answers with an error.

The caller must see a stream that is incomplete, without a byte of the error. Errors with a status
of their own are in `test_fault_broken_answers`; these come with a success status.
"""

import asyncio

import pytest

from tests.edge_builders import MODEL_SERVICE, configuration, stream_route
from tests.platform_standin import (
    encode_chunk,
    request_bytes,
    response_head,
    run_scenario,
    stream_events,
)

ERROR_TEXT = b"error: the upstream has gone\n\nerror: try again later\n\n"
HEAD_TEXT = b"HTTP/1.1 500 Broken\r\ncontent-type: text/plain\r\n\r\nerror: broken\n\n"


def answer_200(content_type, body, chunked):
    """A success whose body is no stream of events."""

    async def action(server, headers, reader, writer):
        framing = "transfer-encoding: chunked" if chunked else f"content-length: {len(body)}"
        writer.write(response_head(headers, "200 OK", f"content-type: {content_type}", framing))
        writer.write(encode_chunk(body) + b"0\r\n\r\n" if chunked else body)

    return action


@pytest.mark.parametrize("chunked", [True, False])
@pytest.mark.parametrize("body", [ERROR_TEXT, HEAD_TEXT, b""])
@pytest.mark.parametrize("content_type", ["text/plain", "application/json"])
def test_error_text_does_not_continue_a_stream(content_type, body, chunked):
    """Guards against the text of an error inside a stream, and against a stream it completes."""
    script = [stream_events(1, 9, cut=5), answer_200(content_type, body, chunked)]

    async def act(server, headers, reader, writer):
        await script.pop(0)(server, headers, reader, writer)

    async def scenario(port, pipeline, servers):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(request_bytes("/plan/x", "c1", "POST"))
        received = await reader.read()
        writer.close()
        return received

    received = run_scenario(
        [[act], [act]],
        scenario,
        configuration(routes=[stream_route("plan", resumable=True, max_attempts=2)]),
        MODEL_SERVICE,
    )
    assert b"piece 4" in received
    assert b"error" not in received
    assert received.count(b"HTTP/1.1 ") == 1
    assert not received.endswith(b"0\r\n\r\n")
