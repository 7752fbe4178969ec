"""Fault: one part of a prompt crashes each server that begins to answer it.

Requests with the part come one after the other, among sound requests that share its other parts.
"""

import asyncio

import pytest

from tests.edge_builders import MODEL_SERVICE, configuration, stream_route
from tests.platform_standin import (
    crash_at_start,
    request_bytes,
    run_scenario,
    send_request,
    stream_events,
)

SERVERS = 8
# The operators allow three requests to reach servers once five have crashed.
MAX_CRASHES = 5
# Time between two requests with the part.
INTERVAL_S = 0.3


def prompt_headers(*part_ids):
    parts = ",".join(f"{part_id}:500" for part_id in part_ids)
    return ("x-tanagerworks-model: m", f"x-tanagerworks-prefix-hash: {parts}")


def run_deadly_requests(path, route, count=SERVERS):
    """Returns the responses to deadly and sound requests, and the number of crashed servers."""

    async def scenario(port, pipeline, servers):
        deadly, sound = [], []
        for number in range(count):
            parts = prompt_headers("a1", "b2", "dead", f"own-{number}")
            raw = request_bytes(path, f"d{number}", "POST", b"", *parts)
            deadly.append(await send_request(port, raw))
            parts = prompt_headers("a1", "b2", f"sound-{number}")
            raw = request_bytes(path, f"s{number}", "POST", b"", *parts)
            sound.append(await send_request(port, raw))
            await asyncio.sleep(INTERVAL_S)
        crashed = sum(not server.server.is_serving() for server in servers)
        return deadly, sound, crashed

    scripts = [[crash_at_start("dead", stream_events(1, 3))] for _ in range(SERVERS)]
    return run_scenario(scripts, scenario, configuration(routes=[route]), MODEL_SERVICE)


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_deadly_part_stops_reaching_servers(max_attempts):
    """Guards against a kind of request that crashes one server after the other."""
    route = stream_route("plan", resumable=max_attempts > 1, max_attempts=max_attempts)
    deadly, sound, crashed = run_deadly_requests("/plan/x", route)
    assert crashed < MAX_CRASHES
    # The last request was refused before it was sent.
    assert deadly[-1].status == 503
    assert float(deadly[-1].headers["retry-after"]) > 0.0
    # Requests with the other parts are served until the end.
    assert [response.status for response in sound[-3:]] == [200] * 3
