"""Fault: an answer that cannot have a body is framed as if it had one; its caller waits for it."""

import asyncio

import pytest

from tests.edge_builders import MODEL_SERVICE, configuration, route, stream_route
from tests.platform_standin import request_bytes, respond_with, response_head, run_scenario


def answer_without_body(status):
    """Sends a head without a body; the connection is kept."""

    async def action(server, headers, reader, writer):
        writer.write(response_head(headers, status))

    return action


async def read_head_then_next(port, raw):
    """Sends a request, then one for another answer on the same connection; returns both heads."""
    reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
    heads = []
    for data in (raw, request_bytes("/nowhere/x", "c2")):
        writer.write(data)
        async with asyncio.timeout(5):
            heads.append(await reader.readuntil(b"\r\n\r\n"))
    writer.close()
    return heads


def test_error_response_to_head_has_no_body():
    """Guards against an exception, and bytes that are taken for the next answer."""

    async def scenario(port, pipeline, servers):
        return await read_head_then_next(port, request_bytes("/nowhere/x", "c1", "HEAD"))

    first, second = run_scenario([[respond_with()]], scenario)
    assert first.startswith(b"HTTP/1.1 404")
    assert b"content-length: " in first
    assert second.startswith(b"HTTP/1.1 404")


@pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
@pytest.mark.parametrize("streams", [False, True])
def test_answer_without_a_body_is_complete_with_its_head(status, streams):
    """Guards against a caller that waits for chunks of an answer that cannot have any."""

    async def scenario(port, pipeline, servers):
        path = "/chat/x" if streams else "/desk-read/x"
        return await read_head_then_next(port, request_bytes(path, "c1", "POST"))

    first, second = run_scenario(
        [[answer_without_body(status)]],
        scenario,
        configuration(routes=[route(), stream_route()]),
        *([MODEL_SERVICE] if streams else []),
    )
    assert first.startswith(f"HTTP/1.1 {status[:3]}".encode())
    assert b"transfer-encoding" not in first
    assert b"content-length" not in first
    assert second.startswith(b"HTTP/1.1 404")
