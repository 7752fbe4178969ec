"""Memory for the bodies of requests: who gets it, who waits, who is refused."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagerworks.edge.body_budget import SMALL_BODY_BYTES, BodyBudget
from tests.edge_builders import configuration, non_idempotent_route
from tests.platform_standin import (
    never_respond,
    read_response,
    request_bytes,
    respond_with,
    run_scenario,
    send_request,
    wait_until,
)

LIMIT = 1_000_000


class BudgetMachine(RuleBasedStateMachine):
    """Bodies of any size come, wait, are read and let go in any order."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.budget = BodyBudget(LIMIT)
        self.held = []
        self.called_back = set()

    def teardown(self):
        self.loop.close()

    def run(self, action):
        """Calls `action` in the event loop, and what it schedules."""

        async def call():
            result = action()
            await asyncio.sleep(0)
            return result

        return self.loop.run_until_complete(call())

    @rule(size=st.integers(0, 2 * LIMIT))
    def reserve(self, size):
        number = len(self.held)
        reservation = self.run(
            lambda: self.budget.reserve(size, lambda: self.called_back.add(number))
        )
        self.held.append((reservation, reservation.granted))

    @rule(choice=st.integers(0, 1_000), size=st.integers(0, LIMIT))
    def shrink(self, choice, size):
        if self.held:
            self.run(lambda: self.held[choice % len(self.held)][0].shrink(size))

    @rule(choice=st.integers(0, 1_000))
    def release(self, choice):
        if self.held:
            self.run(self.held[choice % len(self.held)][0].release)

    @invariant()
    def counts_what_is_held(self):
        live = [reservation for reservation, _ in self.held if not reservation.released]
        granted = [reservation for reservation in live if reservation.granted]
        assert self.budget.reserved_bytes == sum(reservation.size for reservation in granted)
        assert list(self.budget.waiting) == [r for r in live if not r.granted]

    @invariant()
    def large_bodies_stay_within_the_limit(self):
        large = [r.size for r, _ in self.held if r.granted and not r.released]
        large = [size for size in large if size > SMALL_BODY_BYTES]
        assert len(large) <= 1 or sum(large) <= LIMIT

    @invariant()
    def nobody_waits_for_room_that_is_free(self):
        assert not self.budget.waiting or self.budget.reserved_bytes

    @invariant()
    def those_that_waited_are_told(self):
        for number, (reservation, at_once) in enumerate(self.held):
            assert (number in self.called_back) == (reservation.granted and not at_once)


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(derandomize=True, max_examples=60, deadline=None)


def large_upload(number, chunked=False):
    body = b"b" * 600_000
    if chunked:
        head = request_bytes(
            "/desk-book/x", f"c{number}", "POST", b"", "transfer-encoding: chunked"
        )
        return (
            head
            + b"".join(b"%x\r\n%s\r\n" % (60_000, body[:60_000]) for _ in range(10))
            + (b"0\r\n\r\n")
        )
    return request_bytes("/desk-book/x", f"c{number}", "POST", body)


def run_beside_a_held_body(scenario):
    """Runs `scenario(port, release)` while a large body takes all memory, until `release()`."""

    async def run(port, pipeline, servers):
        port.memory.bodies = BodyBudget(LIMIT)
        release = asyncio.Event()

        async def hold_first(server, headers, reader, writer):
            if headers["x-tanagerworks-attempt-id"] == "c1":
                await release.wait()
            await respond_with()(server, headers, reader, writer)

        servers[0].script = [hold_first]
        async with asyncio.TaskGroup() as group:
            first = group.create_task(send_request(port, large_upload(1)))
            await wait_until(lambda: servers[0].requests)
            result = await scenario(port, release.set)
            release.set()
        assert first.result().status == 200
        assert not port.memory.bodies.reserved_bytes
        return result

    config = configuration(routes=[non_idempotent_route(timeout_s=10.0)])
    return run_scenario([[never_respond()]], run, config)


def test_large_body_without_memory_is_refused_at_once_and_small_ones_are_served():
    """Guards against a node that takes bodies until it is killed, or keeps callers waiting."""

    async def scenario(port, release):
        refused = [await send_request(port, large_upload(2, chunked)) for chunked in (False, True)]
        small = await send_request(port, request_bytes("/desk-book/x", "c3", "POST", b"b" * 999))
        return refused, small

    refused, small = run_beside_a_held_body(scenario)
    for response in refused:
        assert response.status == 503
        assert b"no_body_memory" in response.body
        assert b"not_run" in response.body
        assert float(response.headers["retry-after"]) > 0.0
        assert response.headers["connection"] == "close"
    assert small.status == 200


def test_large_body_is_read_once_there_is_memory():
    """Guards against a connection that is not read again after it has waited for memory."""

    async def scenario(port, release):
        waiting = [
            asyncio.create_task(send_request(port, large_upload(2, chunked)))
            for chunked in (False, True)
        ]
        await wait_until(lambda: len(port.memory.bodies.waiting) == 2)
        release()
        return [(await task).status for task in waiting]

    assert run_beside_a_held_body(scenario) == [200, 200]


def test_caller_that_leaves_while_it_waits_for_memory_frees_its_place():
    """Guards against memory that is reserved for callers that have left."""

    async def scenario(port, release):
        _reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(large_upload(2)[:1000])
        await wait_until(lambda: port.memory.bodies.waiting)
        writer.transport.abort()
        await wait_until(lambda: not port.memory.bodies.waiting)
        return True

    assert run_beside_a_held_body(scenario)


def test_refused_caller_gets_its_answer_while_it_still_sends():
    """Guards against a reset that takes the refusal from a caller with an unread body."""

    async def scenario(port, release):
        reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
        writer.write(large_upload(2))
        response = await read_response(reader)
        writer.close()
        return response.status

    assert run_beside_a_held_body(scenario) == 503
