"""Fault: a server stops in the middle of its answer's head and closes or resets the connection.

The caller must not get an empty or short answer that looks complete.
"""

import asyncio

import pytest

from tests.edge_builders import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    non_idempotent_route,
    route,
    stream_route,
)
from tests.platform_standin import (
    request_bytes,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    stream_events,
)
from tests.test_fault_broken_answers import reset

BODY = b"whole answer"


def stop_in_head(share, ending):
    """Sends a share of a head, all but its last two bytes at most, and ends the connection."""

    async def action(server, headers, reader, writer):
        head = response_head(headers, "200 OK", f"content-length: {len(BODY)}", "x-last: header")
        writer.write(head[: int(share * (len(head) - 2))])
        await writer.drain()
        if ending == "reset":
            await asyncio.sleep(0.02)
            reset(writer)
        raise ConnectionResetError

    return action


@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("share", [0.05, 0.13, 0.5, 0.9, 1.0])
@pytest.mark.parametrize(
    "request_route",
    [
        route(),
        non_idempotent_route(),
        stream_route(),
        stream_route("plan", resumable=True, max_attempts=2),
    ],
)
def test_head_that_stops_in_the_middle_is_no_answer(request_route, share, ending):
    """Guards against a 200 with an empty body in place of an answer that was never sent."""
    otherwise = stream_events(1, 3) if request_route.streams else respond_with(BODY)
    script = [stop_in_head(share, ending), otherwise]

    async def act(server, headers, reader, writer):
        await script.pop(0)(server, headers, reader, writer)

    async def scenario(port, pipeline, servers):
        return await send_request(port, request_bytes(f"/{request_route.name}/x", "c1", "POST"))

    response = run_scenario(
        [[act], [act]],
        scenario,
        configuration(routes=[request_route]),
        MODEL_SERVICE if request_route.streams else PLAIN_SERVICE,
    )
    if request_route.max_attempts == 1:
        assert response.status == 502
    else:
        assert (response.status, response.complete) == (200, True)
        assert response.body == BODY or b"piece 3" in response.body


@pytest.mark.parametrize("share", [0.13, 0.9, 1.0])
def test_head_that_stops_on_a_kept_connection_is_no_answer(share):
    """Guards against the same on a connection that has been used before."""

    async def act(server, headers, reader, writer):
        action = respond_with(BODY) if len(server.requests) == 1 else stop_in_head(share, "close")
        await action(server, headers, reader, writer)

    async def scenario(port, pipeline, servers):
        return [await send_request(port, request_bytes("/desk-read/x", f"c{n}")) for n in range(2)]

    first, second = run_scenario(
        [[act]], scenario, configuration(routes=[route(max_attempts=1)]), PLAIN_SERVICE
    )
    assert (first.status, second.status) == (200, 502)
