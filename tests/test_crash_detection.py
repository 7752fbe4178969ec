"""Detection of crashed servers by the connections that they close and refuse."""

import logging

import pytest

from tests.edge_builders import MODEL_SERVICE, configuration, stream_route
from tests.platform_standin import (
    crash_at_start,
    request_bytes,
    reset_connection,
    run_scenario,
    send_request,
    stream_events,
    wait_until,
)

DEADLY_PROMPT = ("x-tanagerworks-model: m", "x-tanagerworks-prefix-hash: a1:500,dead:4000,c3:20")


def records(caplog, message):
    return [record for record in caplog.records if record.message == message]


@pytest.mark.parametrize(
    ("action", "message", "crashed"),
    [
        (crash_at_start("dead", stream_events(1, 3)), "server crashed", True),
        (reset_connection(), "server closed a connection and accepts new ones", False),
    ],
)
def test_crash_is_told_from_a_reset(action, message, crashed, caplog):
    """Guards against logs that do not say whether a server that broke off has crashed."""

    async def scenario(port, pipeline, servers):
        await send_request(port, request_bytes("/chat/x", "c1", "POST", b"", *DEADLY_PROMPT))
        await wait_until(lambda: not pipeline.crash_detector.checks)
        return pipeline.dispatcher.directory.servers["server-0"].crashed

    config = configuration(routes=[stream_route()])
    with caplog.at_level(logging.INFO):
        assert run_scenario([[action]], scenario, config, MODEL_SERVICE) is crashed
    assert len(records(caplog, message)) == 1
    if crashed:
        # The last part is the request's own, so it is no suspect.
        *parts, identity = sorted(records(caplog, message)[0].before_answer)
        assert parts == ["a1", "dead"]
        assert identity.startswith("request:")


def test_server_that_leaves_is_not_reported_as_crashed(caplog):
    """Guards against evidence of a crash from a server that was stopped on purpose."""

    async def scenario(port, pipeline, servers):
        state = pipeline.dispatcher.directory.servers["server-0"]

        async def action(server, headers, reader, writer):
            state.removed = True
            server.crash()
            raise ConnectionResetError

        servers[0].script = [action]
        await send_request(port, request_bytes("/chat/x", "c1", "POST", b"", *DEADLY_PROMPT))
        await wait_until(lambda: not pipeline.crash_detector.checks)
        return state.crashed

    config = configuration(routes=[stream_route()])
    with caplog.at_level(logging.INFO):
        assert run_scenario([[reset_connection()]], scenario, config, MODEL_SERVICE) is False
    assert not records(caplog, "server crashed")
