"""Fault: a second copy of an answer arrives late on a connection that is in use again.

The next caller must not get it, neither as a whole nor one byte of it, whether it arrives while the
connection is idle or after the next request was sent.
"""

import asyncio

import pytest

from tests.edge_builders import configuration, non_idempotent_route, route
from tests.platform_standin import (
    request_bytes,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    wait_until,
)

OWN_BODY = b"for this caller"


def answer(headers, body=OWN_BODY):
    return response_head(headers, "200 OK", f"content-length: {len(body)}") + body


class LateCopies:
    """Answers each request, and repeats bytes of an answer on its connection at a set moment."""

    def __init__(self, moment, late_size):
        self.moment = moment
        self.late_size = late_size
        # The last answer on each connection.
        self.answers = {}
        self.late = 0

    async def act(self, server, headers, reader, writer):
        copy = self.answers.get(writer, b"")[: self.late_size]
        if copy and self.moment == "before the answer":
            self.late += 1
            writer.write(copy)
        own = self.answers[writer] = answer(headers, headers["x-tanagerworks-attempt-id"].encode())
        writer.write(own)
        if self.moment == "with the answer":
            self.late += 1
            writer.write(own[: self.late_size])
        await writer.drain()
        if self.moment == "while idle":
            # The edge process has relayed the answer when the next request is sent or the
            # connection waits in the pool.
            await asyncio.sleep(0.05)
            self.late += 1
            writer.write(own[: self.late_size])


@pytest.mark.parametrize("late_size", [1, 20, 10_000])
@pytest.mark.parametrize("moment", ["before the answer", "with the answer", "while idle"])
@pytest.mark.parametrize("pause_s", [0.0, 0.1])
def test_caller_gets_only_the_answer_to_its_own_request(moment, late_size, pause_s):
    """Guards against the answer of another caller on a connection that is used again."""
    faulty = LateCopies(moment, late_size)

    async def scenario(port, pipeline, servers):
        bodies = []
        for number in range(8):
            raw = request_bytes("/desk-read/x", f"call-{number}")
            response = await send_request(port, raw)
            bodies.append((response.status, response.body))
            await asyncio.sleep(pause_s)
        return bodies

    async def act_soundly(server, headers, reader, writer):
        writer.write(answer(headers, headers["x-tanagerworks-attempt-id"].encode()))

    bodies = run_scenario([[faulty.act], [act_soundly]], scenario, configuration(routes=[route()]))
    assert faulty.late
    assert bodies == [(200, f"call-{number}".encode()) for number in range(8)]


@pytest.mark.parametrize("size", [1, 100])
def test_connection_with_bytes_of_no_request_is_closed_at_once(size):
    """Guards against an idle connection that collects what a faulty server sends on it."""

    async def scenario(port, pipeline, servers):
        release = asyncio.Event()

        async def send_more_while_idle(server, headers, reader, writer):
            writer.write(answer(headers))
            await writer.drain()
            await release.wait()
            writer.write(b"x" * size)

        servers[0].script = [send_more_while_idle]
        response = await send_request(port, request_bytes("/desk-read/x"))
        pool = pipeline.backend_exchange.pool
        (connection,) = next(iter(pool.idle.values()))
        assert connection.is_reusable()
        release.set()
        await wait_until(lambda: connection.closed)
        await wait_until(lambda: servers[0].open == 0)
        return response

    assert run_scenario([[respond_with()]], scenario).body == OWN_BODY


def test_request_that_runs_once_never_uses_a_connection_again():
    """Guards against an answer of unknown origin to a request that must not be repeated."""
    faulty = LateCopies("while idle", 10_000)

    async def scenario(port, pipeline, servers):
        results = []
        for number in range(4):
            raw = request_bytes("/desk-book/x", f"call-{number}", "POST")
            results.append(await send_request(port, raw))
        return [(result.status, result.body) for result in results]

    results = run_scenario([[faulty.act]], scenario, configuration(routes=[non_idempotent_route()]))
    assert results == [(200, f"call-{number}".encode()) for number in range(4)]
