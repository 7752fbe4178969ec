"""Fault: a server writes an earlier refusal once more on a kept connection.

The next request on it runs. Its caller must not be told that it has not run.
"""

import asyncio

import pytest

from tests.edge_builders import MODEL_SERVICE, PLAIN_SERVICE, configuration, route, stream_route
from tests.platform_standin import (
    request_bytes,
    respond_with,
    run_scenario,
    send_request,
    stream_events,
)

# The statuses by which callers know that a request has not run.
REFUSALS = ["503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"]


class RepeatedRefusals:
    """Refuses the first request of a connection, and once more at a set moment."""

    def __init__(self, status, moment, with_id, otherwise):
        self.status = status
        self.moment = moment
        self.with_id = with_id
        self.otherwise = otherwise
        # The refusal on each connection.
        self.refusals = {}
        self.repeated = 0
        # Ids of the requests that run.
        self.run = []

    async def act(self, server, headers, reader, writer):
        call_id = headers["x-tanagerworks-attempt-id"]
        if writer not in self.refusals:
            echoed = f"x-tanagerworks-attempt-id: {call_id}\r\n" if self.with_id else ""
            self.refusals[writer] = (
                f"HTTP/1.1 {self.status}\r\n{echoed}x-tanagerworks-not-executed: 1\r\n"
                "retry-after: 1\r\ncontent-length: 0\r\n\r\n"
            ).encode()
            writer.write(self.refusals[writer])
            if self.moment == "with the refusal":
                await self.repeat(writer)
            if self.moment == "while idle":
                await writer.drain()
                await asyncio.sleep(0.02)
                await self.repeat(writer)
            return
        self.run.append(call_id)
        if self.moment == "before the answer":
            await self.repeat(writer)
        await self.otherwise(server, headers, reader, writer)

    async def repeat(self, writer):
        self.repeated += 1
        writer.write(self.refusals[writer])


@pytest.mark.parametrize("with_id", [True, False])
@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("moment", ["with the refusal", "while idle", "before the answer"])
@pytest.mark.parametrize("streams", [False, True])
def test_request_that_runs_is_not_reported_as_not_run(moment, status, with_id, streams):
    """Guards against a caller that repeats a request which has run, as it is told that it has not.

    The routes are those whose requests use kept connections.
    """
    otherwise = stream_events(1, 3) if streams else respond_with()
    server_script = RepeatedRefusals(status, moment, with_id, otherwise)
    request_route = (
        stream_route("plan", resumable=True, max_attempts=1) if streams else route(max_attempts=1)
    )

    async def scenario(port, pipeline, servers):
        answers = {}
        for number in range(6):
            raw = request_bytes(f"/{request_route.name}/x", f"c{number}", "POST")
            answers[f"c{number}"] = await send_request(port, raw)
            # A 421 takes the server out of use until its entry is written again.
            for state in pipeline.dispatcher.directory.servers.values():
                state.removed = False
            await asyncio.sleep(0.01)
        return answers

    answers = run_scenario(
        [[server_script.act]],
        scenario,
        configuration(routes=[request_route]),
        MODEL_SERVICE if streams else PLAIN_SERVICE,
    )
    assert server_script.repeated
    for call_id in server_script.run:
        assert answers[call_id].status in (200, 502)
        if answers[call_id].status == 200:
            assert answers[call_id].complete
