"""Fault: one request comes again and again and crashes each server that begins to run it.

It has another id each time, but the same path, customer and body. Sound requests share its path,
its customer and the parts of its prompt.
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
    crash_on_body,
    request_bytes,
    respond_with,
    run_scenario,
    send_request,
    stream_events,
)

SERVERS = 8
# The operators allow three retries once the request has crashed three servers.
MAX_CRASHES = 3
# Time between two requests.
INTERVAL_S = 0.3
DEADLY_BODY = b"deadly"
PROMPT = ("x-tanagerworks-model: m", "x-tanagerworks-prefix-hash: a1:500,b2:500,c3:20")


def run_deadly_requests(path, request_route, headers=()):
    """Returns the responses to deadly and sound requests, and the number of crashed servers."""
    service = MODEL_SERVICE if request_route.streams else PLAIN_SERVICE
    otherwise = stream_events(1, 3) if request_route.streams else respond_with()

    async def scenario(port, pipeline, servers):
        deadly, sound = [], []
        for number in range(SERVERS):
            raw = request_bytes(path, f"d{number}", "POST", DEADLY_BODY, *headers)
            deadly.append(await send_request(port, raw))
            raw = request_bytes(path, f"s{number}", "POST", b"sound %d" % number, *headers)
            sound.append(await send_request(port, raw))
            await asyncio.sleep(INTERVAL_S)
        crashed = sum(not server.server.is_serving() for server in servers)
        return deadly, sound, crashed

    scripts = [[crash_on_body(DEADLY_BODY, otherwise)] for _ in range(SERVERS)]
    return run_scenario(scripts, scenario, configuration(routes=[request_route]), service)


@pytest.mark.parametrize(
    ("path", "request_route", "headers"),
    [
        ("/desk-read/x", route(), ()),
        ("/desk-book/x", non_idempotent_route(), ()),
        ("/chat/x", stream_route(), PROMPT),
        ("/plan/x", stream_route("plan", resumable=True, max_attempts=2), PROMPT),
    ],
)
def test_deadly_request_stops_reaching_servers(path, request_route, headers):
    """Guards against a request that crashes one server after the other, whatever its kind."""
    deadly, sound, crashed = run_deadly_requests(path, request_route, headers)
    assert crashed <= MAX_CRASHES
    # The last request was refused before it was sent.
    assert deadly[-1].status == 503
    assert float(deadly[-1].headers["retry-after"]) > 0.0
    # Requests with the same path, customer and parts are served until the end.
    assert [response.status for response in sound[-3:]] == [200] * 3
