"""Fault: a server answers late. A second one is asked, one answers and the other is withdrawn.

The servers are stand-ins on loopback; which of them is the first is up to the choice of servers.
"""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

from tanagerworks.dispatch.hedging import HedgingPolicy
from tanagerworks.edge import hedging
from tanagerworks.edge.hedging import Hedger
from tanagerworks.edge.route_times import RouteTimeTable
from tanagerworks.settings.edge import HedgingSettings
from tests.edge_builders import PLAIN_SERVICE, configuration, non_idempotent_route, route
from tests.edge_process_runner import publish_to_store, run_process
from tests.platform_standin import (
    encode_chunk,
    read_response,
    refuse,
    request_bytes,
    reset_connection,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    truncate_response,
    wait_until,
)
from tests.virtual_fleet import VirtualFleet, run_in_virtual_time

USUAL_S = 0.03
# Time within which the server of a withdrawn attempt has to stop working.
WITHDRAWAL_S = 0.5
LARGE = 400_000


class Arrivals:
    """Lets the first and the second arrival of a request follow different actions."""

    def __init__(self, *actions):
        self.actions = list(actions)
        self.servers = []
        self.bodies = []
        # Event loop time at which the server saw its connection close, by number of the arrival.
        self.closed_s = {}
        self.second_arrived = asyncio.Event()

    async def act(self, server, headers, reader, writer):
        number = len(self.servers)
        self.servers.append(server.server_id)
        self.bodies.append(server.bodies[-1])
        if number == 1:
            self.second_arrived.set()
        action = self.actions[min(number, len(self.actions) - 1)]
        running = asyncio.ensure_future(action(server, headers, reader, writer))
        # A server that sees its caller leave stops working.
        closing = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({running, closing}, return_when=asyncio.FIRST_COMPLETED)
        if closing.done() and not running.done():
            self.closed_s[number] = asyncio.get_running_loop().time()
            running.cancel()
            raise ConnectionResetError
        closing.cancel()
        await asyncio.wait({closing})
        running.result()
        raise ConnectionResetError

    def after_second(self, action, delay_s=0.0):
        """The action, once the second arrival is at its server."""

        async def waiting(*arguments):
            await self.second_arrived.wait()
            await asyncio.sleep(delay_s)
            await action(*arguments)

        return waiting


async def stay_silent(server, headers, reader, writer):
    await asyncio.sleep(60.0)


def respond_large(letter, delay_s=0.0, status="200 OK"):
    """Sends a body of one letter that is larger than what is buffered, in pieces."""

    async def action(server, headers, reader, writer):
        writer.write(response_head(headers, status, "transfer-encoding: chunked"))
        for _number in range(LARGE // 10_000):
            writer.write(encode_chunk(letter * 10_000))
            await writer.drain()
            await asyncio.sleep(delay_s)
        writer.write(b"0\r\n\r\n")

    return action


def run_hedged(scenario, *, routes=(), servers=2):
    """Runs `scenario(port, pipeline, arrivals)` at an edge that hedges after `USUAL_S`."""

    async def prepared(port, pipeline, standins):
        policy = HedgingPolicy(quantile=0.95, min_delay_s=0.01, max_share=1.0)
        pipeline.hedger = Hedger(pipeline, "zone-a", policy)
        now_s = asyncio.get_running_loop().time()
        for _number in range(100):
            pipeline.hedger.route_times.record("desk-read", USUAL_S, now_s)
            pipeline.dispatcher.retry_budget(PLAIN_SERVICE).record_request(now_s)
        pipeline.hedges = []
        pipeline.metrics.record_hedge = lambda *arguments: pipeline.hedges.append(arguments[1:])
        arrivals = Arrivals()
        for standin in standins:
            standin.script = [arrivals.act]
        result = await scenario(port, pipeline, arrivals)
        await wait_until(lambda: not pipeline.active_requests)
        for state in pipeline.dispatcher.directory.servers.values():
            assert (state.running, state.prefill_tokens) == (0, 0)
        return result

    config = configuration(routes=list(routes) or [route(max_attempts=2)])
    return run_scenario([[respond_with()]] * servers, prepared, config)


def states_of(pipeline, arrivals):
    return [pipeline.dispatcher.directory.servers[name] for name in arrivals.servers]


@pytest.mark.parametrize("winner", [0, 1])
def test_one_answers_and_the_other_is_withdrawn(winner):
    """Guards against slow answers of one slow server, and against work that nobody waits for.

    The withdrawn attempt must not count as a failure, a crash or a service time.
    """

    async def scenario(port, pipeline, arrivals):
        arrivals.actions = [stay_silent, stay_silent]
        arrivals.actions[winner] = arrivals.after_second(respond_with(b"%d" % winner))
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(request_bytes("/desk-read/x"))
        response = await read_response(reader)
        answered_s = asyncio.get_running_loop().time()
        loser = 1 - winner
        await wait_until(lambda: loser in arrivals.closed_s)
        assert (response.status, response.body) == (200, b"%d" % winner)
        assert arrivals.closed_s.keys() == {loser}
        assert arrivals.closed_s[loser] - answered_s < WITHDRAWAL_S
        assert len(set(arrivals.servers)) == 2
        lost = states_of(pipeline, arrivals)[loser]
        assert (lost.consecutive_failures, lost.failure_share) == (0, 0.0)
        assert lost.service_time_s == type(lost)(lost.entry, 0.0).service_time_s
        assert not pipeline.crash_detector.checks
        assert not pipeline.dispatcher.crash_evidence.crashes
        assert len(pipeline.dispatcher.retry_budget(PLAIN_SERVICE).retries) == 1
        won = [("won",)] if winner == 1 else []
        assert pipeline.hedges == [("sent",), ("withdrawn",), *won]
        writer.close()

    run_hedged(scenario)


def test_late_request_that_must_not_run_twice_stays_at_its_server():
    """Guards against a second run of a request that is not idempotent."""

    async def scenario(port, pipeline, arrivals):
        async def late(*arguments):
            await asyncio.sleep(5 * USUAL_S)
            await respond_with()(*arguments)

        arrivals.actions = [late]
        response = await send_request(port, request_bytes("/desk-read/x", method="POST"))
        return response.status, len(arrivals.servers), pipeline.hedges

    routes = [non_idempotent_route("desk-read", max_attempts=2)]
    assert run_hedged(scenario, routes=routes) == (200, 1, [])


def test_caller_never_gets_pieces_of_two_answers():
    """Guards against mixed answers of two servers that send large bodies at the same time."""

    async def scenario(port, pipeline, arrivals):
        arrivals.actions = [
            arrivals.after_second(respond_large(b"a", 0.001)),
            respond_large(b"b", 0.001),
        ]
        response = await send_request(port, request_bytes("/desk-read/x"))
        await wait_until(lambda: arrivals.closed_s)
        return response

    response = run_hedged(scenario)
    assert response.complete
    assert response.body in (b"a" * LARGE, b"b" * LARGE)


def test_answers_that_arrive_together_are_both_normal():
    """Guards against a server whose answer counts for nothing as the other one was read first."""

    async def scenario(port, pipeline, arrivals):
        writers = []

        async def hold(server, headers, reader, writer):
            writers.append(writer)
            await asyncio.sleep(60.0)

        async def respond_for_both(server, headers, reader, writer):
            answer = response_head(headers, "200 OK", "content-length: 4") + b"both"
            for each in (*writers, writer):
                each.write(answer)
            await asyncio.sleep(60.0)

        arrivals.actions = [hold, respond_for_both]
        response = await send_request(port, request_bytes("/desk-read/x"))
        await wait_until(lambda: not pipeline.active_requests)
        assert (response.status, response.body) == (200, b"both")
        assert ("withdrawn",) not in pipeline.hedges
        for state in states_of(pipeline, arrivals):
            assert state.failure_share == 0.0
            assert state.service_time_s != type(state)(state.entry, 0.0).service_time_s

    run_hedged(scenario)


FAILURES = [
    respond_with(b"broken", "500 Broken"),
    reset_connection(),
    truncate_response(),
    refuse(),
]


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("failing", [0, 1])
def test_failure_of_one_leaves_the_other(failure, failing):
    """Guards against an error although the other server answers a little later."""

    async def scenario(port, pipeline, arrivals):
        arrivals.actions = [None, None]
        arrivals.actions[failing] = arrivals.after_second(failure)
        arrivals.actions[1 - failing] = arrivals.after_second(respond_with(b"good"), 0.05)
        response = await send_request(port, request_bytes("/desk-read/x"))
        assert (response.status, response.body) == (200, b"good")
        assert len(arrivals.servers) == 2
        failures = [state.consecutive_failures for state in states_of(pipeline, arrivals)]
        assert failures[1 - failing] == 0
        assert failures[failing] == (failure is not FAILURES[3])

    run_hedged(scenario)


@pytest.mark.parametrize("broken", [0, 1])
@pytest.mark.parametrize("first_to_fail", [0, 1])
def test_complete_error_response_is_better_than_none(broken, first_to_fail):
    """Guards against a 502 of this node in place of the response of a server, in either order."""

    async def scenario(port, pipeline, arrivals):
        actions = [reset_connection(), reset_connection()]
        actions[broken] = respond_with(b"broken", "500 Broken")
        arrivals.actions = [
            arrivals.after_second(action, 0.0 if number == first_to_fail else 0.05)
            for number, action in enumerate(actions)
        ]
        response = await send_request(port, request_bytes("/desk-read/x"))
        assert (response.status, response.body) == (500, b"broken")
        assert [state.consecutive_failures for state in states_of(pipeline, arrivals)] == [1, 1]
        assert len(arrivals.servers) == 2

    run_hedged(scenario)


def test_large_error_response_of_the_last_attempt_reaches_the_caller():
    """Guards against a 502 of this node since the attempt that failed before still counts."""

    async def scenario(port, pipeline, arrivals):
        arrivals.actions = [
            arrivals.after_second(reset_connection()),
            arrivals.after_second(respond_large(b"e", status="500 Broken"), 0.05),
        ]
        response = await send_request(port, request_bytes("/desk-read/x"))
        return response.status, len(response.body)

    assert run_hedged(scenario) == (500, LARGE)


def test_body_is_kept_while_it_may_be_sent_again():
    """Guards against a retry with an empty body.

    The second server fails the request; the first one then says that it is another server, which
    gives back an attempt.
    """

    async def scenario(port, pipeline, arrivals):
        arrivals.actions = [
            arrivals.after_second(refuse("421 Misdirected Request"), 0.05),
            respond_with(b"broken", "500 Broken"),
            respond_with(b"good"),
        ]
        raw = request_bytes("/desk-read/x", "c1", "POST", b"the body")
        response = await send_request(port, raw)
        return response.body, arrivals.bodies

    assert run_hedged(scenario, servers=3) == (b"good", [b"the body"] * 3)


@pytest.mark.parametrize("end", ["caller leaves", "node stops"])
def test_both_attempts_end_with_their_request(end):
    """Guards against servers that work for a request that has ended."""

    async def scenario(port, pipeline, arrivals):
        arrivals.actions = [stay_silent]
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(request_bytes("/desk-read/x"))
        await arrivals.second_arrived.wait()
        if end == "caller leaves":
            writer.close()
        else:
            pipeline.expire_requests()
            assert b" 504 " in await reader.readline()
        await wait_until(lambda: len(arrivals.closed_s) == 2)
        assert all(state.failure_share == 0.0 for state in states_of(pipeline, arrivals))

    run_hedged(scenario)


def test_second_server_that_leaves_meanwhile_is_not_asked():
    """Guards against a request that reaches a server that leaves, or fails, because of a hedge."""

    async def scenario(port, pipeline, arrivals):
        async def late(*arguments):
            await asyncio.sleep(5 * USUAL_S)
            await respond_with(b"first")(*arguments)

        create_attempt = pipeline.create_attempt

        def create_at_leaving_server(request, choice):
            attempt = create_attempt(request, choice)
            choice.state.leaving_said_at_s = 0.0 if arrivals.servers else None
            return attempt

        pipeline.create_attempt = create_at_leaving_server
        arrivals.actions = [late]
        response = await send_request(port, request_bytes("/desk-read/x"))
        return response.body, len(arrivals.servers), pipeline.hedges

    assert run_hedged(scenario) == (b"first", 1, [("sent",)])


@pytest.mark.parametrize("enabled", [False, True])
def test_times_of_routes_reach_the_whole_fleet(enabled):
    """Guards against nodes that never hedge, since each sees too few requests of a route."""

    async def scenario():
        fleet = VirtualFleet(48, 3)
        if enabled:
            for node in fleet.nodes:
                node.exchange.route_times = RouteTimeTable(node.zone)
        fleet.start()
        for _second in range(20):
            await asyncio.sleep(1.0)
            for node in fleet.nodes if enabled else ():
                node.exchange.route_times.record("desk-read", USUAL_S, fleet.loop.time())
        return fleet, fleet.loop.time()

    fleet, now_s = run_in_virtual_time(scenario())
    for node in fleet.nodes if enabled else ():
        found = node.exchange.route_times.quantile("desk-read", 0.95, now_s)
        assert found.time_s == pytest.approx(USUAL_S, rel=0.02)
        assert found.samples > 0.5 * 10 * len(fleet.nodes)
    # The bound for everything together, though only one route has times here.
    assert max(node.bytes_sent / now_s for node in fleet.nodes) < 6_000


def test_broken_withdrawal_is_noticed(monkeypatch):
    """Guards against a test of the withdrawal that passes without it: the broken variant of it."""
    monkeypatch.setattr(hedging._Race, "_withdraw_others", lambda _race: None)
    with pytest.raises(AssertionError):
        test_one_answers_and_the_other_is_withdrawn(1)


def test_settings_turn_hedging_on_and_off():
    """Guards against settings without effect, and against hedging that is on by default."""

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        assert process.pipeline.hedger is None
        for enabled in (True, False):
            changed = HedgingSettings(enabled=enabled, min_delay_ms=20.0)
            settings_versions.append(settings_versions[0].model_copy(update={"hedging": changed}))
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: process.settings.hedging == settings_versions[-1].hedging)
            hedger = process.pipeline.hedger
            assert (hedger is not None) is enabled
            assert process.peer_exchange.route_times is (hedger and hedger.route_times)
            assert hedger is None or hedger.policy == HedgingPolicy(0.95, 0.02, 0.05)

    run_process(scenario)


def test_histogram_library_is_imported_only_with_hedging():
    """Guards against memory that nodes without hedging would pay for."""
    code = (
        "import sys; import tanagerworks.edge.main; assert 'hdrh' not in sys.modules;"
        "import tanagerworks.edge.hedging; assert 'hdrh' in sys.modules"
    )
    subprocess.run([sys.executable, "-c", code], check=True)


def test_servers_that_stay_silent_until_the_deadline_have_failed():
    """Guards against hung servers that nobody notices, since both attempts end together."""

    async def scenario(port, pipeline, arrivals):
        arrivals.actions = [stay_silent]
        response = await send_request(port, request_bytes("/desk-read/x", "c1"))
        await wait_until(lambda: not pipeline.active_requests)
        failures = [state.consecutive_failures for state in states_of(pipeline, arrivals)]
        return response.status, failures

    routes = [route(max_attempts=2, timeout_s=0.5)]
    assert run_hedged(scenario, routes=routes) == (504, [1, 1])


def test_attempts_are_ended_if_the_caller_leaves_during_a_crash_check():
    """Guards against a request that counts at its server for good after both attempts failed."""

    async def scenario(port, pipeline, arrivals):
        checking = asyncio.Event()

        async def check():
            checking.set()
            await asyncio.sleep(60.0)

        tasks = []

        def record_disconnect(*_):
            tasks.append(asyncio.ensure_future(check()))
            return tasks[-1]

        pipeline.crash_detector.record_disconnect = record_disconnect
        arrivals.actions = [
            arrivals.after_second(reset_connection()),
            arrivals.after_second(reset_connection(), 0.1),
        ]
        _reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(request_bytes("/desk-read/x", "c1"))
        await checking.wait()
        # The second attempt, which decides the request, fails as well.
        await asyncio.sleep(0.3)
        writer.transport.abort()
        await wait_until(lambda: not pipeline.active_requests)
        for task in tasks:
            task.cancel()

    run_hedged(scenario)
