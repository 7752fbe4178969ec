"""Fault: a connection keeps the limits of the configuration under which it was opened."""

import asyncio

import pytest

from tanagerworks.published.model import CallerLimits
from tests.edge_builders import configuration
from tests.platform_standin import (
    read_response,
    request_bytes,
    respond_with,
    run_scenario,
    wait_until,
)

SMALL = CallerLimits(max_body_bytes=1_000, max_header_bytes=2_000, idle_timeout_s=0.4)
LARGE = CallerLimits(max_body_bytes=100_000, max_header_bytes=20_000, idle_timeout_s=30.0)
BODY = b"b" * 5_000
LONG_HEADER = "x-long: " + "h" * 8_000


def run_with_changed_limits(before, after, scenario):
    """Runs `scenario(send, wait_closed)` on a connection that is kept over a change of limits."""

    async def run(port, pipeline, servers):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())

        async def send(call_id, body=b"", *extra):
            writer.write(request_bytes("/desk-book/x", call_id, "POST", body, *extra))
            return (await read_response(reader)).status

        assert await send("c1") == 200
        # The connection is idle once the handler has ended.
        await wait_until(lambda: not pipeline.active_requests)
        await asyncio.sleep(0)
        pipeline.dispatcher.apply_configuration(configuration(2, limits=after))
        port.apply_limits()
        result = await scenario(send, reader.read)
        writer.close()
        return result

    return run_scenario([[respond_with()]], run, configuration(limits=before))


@pytest.mark.parametrize(("before", "after", "status"), [(SMALL, LARGE, 200), (LARGE, SMALL, 413)])
def test_kept_connection_follows_the_limit_of_bodies(before, after, status):
    """Guards against a body that is refused although the limit was raised, or the reverse."""
    assert run_with_changed_limits(before, after, lambda send, _: send("c2", BODY)) == status


@pytest.mark.parametrize(("before", "after", "status"), [(SMALL, LARGE, 200), (LARGE, SMALL, 431)])
def test_kept_connection_follows_the_limit_of_heads(before, after, status):
    """Guards against a head that is refused although the limit was raised, or the reverse."""
    statuses = run_with_changed_limits(before, after, lambda send, _: send("c2", b"b", LONG_HEADER))
    assert statuses == status


def test_kept_connection_follows_a_longer_idle_timeout():
    """Guards against a connection that is closed while its caller may still use it."""

    async def scenario(send, _wait_closed):
        await asyncio.sleep(2 * SMALL.idle_timeout_s)
        return await send("c2")

    assert run_with_changed_limits(SMALL, LARGE, scenario) == 200


def test_kept_connection_follows_a_shorter_idle_timeout():
    """Guards against idle connections that stay open after the timeout was shortened."""

    async def scenario(_send, wait_closed):
        return await asyncio.wait_for(wait_closed(), 5.0)

    assert run_with_changed_limits(LARGE, SMALL, scenario) == b""
