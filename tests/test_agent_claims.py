"""The claim path of agents over real gRPC connections on loopback."""

import asyncio
from contextlib import asynccontextmanager

import grpc
import pytest
from grpc.aio import insecure_channel
from grpc.aio import server as create_grpc_server

from tanagerworks.agent.router_service import RouterService
from tanagerworks.agent.slot_lending import PeerSlotBorrower, SlotLending
from tanagerworks.agent.state import AgentState
from tanagerworks.errors import CapacityError, DeadlineError, RateLimitError
from tanagerworks.note.model import Note
from tanagerworks.rpc.tanager_pb2 import (
    Candidate,
    ClaimRequest,
    Ended,
    Evidence,
    NodeEntry,
    ReleaseRequest,
    Slot,
    WatchRequest,
)
from tanagerworks.rpc.tanager_pb2_grpc import (
    NodeAgentStub,
    PeerExchangeStub,
    add_NodeAgentServicer_to_server,
    add_PeerExchangeServicer_to_server,
)
from tests.builders import note_document

WAIT_S = 20.0


def _build_note(nodes, slots):
    document = note_document(
        1,
        nodes={
            name: {"zone": "sfax-medina", "peer_address": f"127.0.0.1:{7001 + number}"}
            for number, name in enumerate(nodes)
        },
    )
    document["statement"]["engines"]["m1"].update(slots=slots, cold_slots=slots)
    return Note.model_validate(document)


@asynccontextmanager
async def _running_agents(names, slots):
    """Yields agents by name, past the hold after their start, each with a router service stub."""
    servers, channels, tickers, agents, peers = [], [], [], {}, {}
    for name in names:
        state = AgentState(name, invariants=True)
        server = create_grpc_server()
        add_NodeAgentServicer_to_server(RouterService(state), server)
        add_PeerExchangeServicer_to_server(SlotLending(state), server)
        channel = insecure_channel(f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}")
        await server.start()
        servers.append(server)
        channels.append(channel)
        peers[name] = PeerExchangeStub(channel)
        agents[name] = (state, NodeAgentStub(channel))
        state.slot_borrower = PeerSlotBorrower(state, peers.get)
        tickers.append(asyncio.create_task(state.run_ticks()))
    states = [state for state, _stub in agents.values()]
    try:
        for state in states:
            state.apply_note(_build_note(names, slots))
            state.end_start_hold()
        _exchange_entries(states)
        _exchange_entries(states)
        yield agents
    finally:
        # A server that is left running after a failure blocks the end of the test run.
        for ticker in tickers:
            ticker.cancel()
        for channel in channels:
            await channel.close()
        for server in servers:
            await server.stop(None)


def _exchange_entries(states):
    for state in states:
        entry = NodeEntry(node_id=state.node_id)
        state.fill_entry(entry)
        for other in states:
            if other is not state:
                other.apply_entry(entry)


def _claim_request(request_id, deadline_s=WAIT_S, explain=False):
    return ClaimRequest(
        instance_id="r1",
        request_id=request_id,
        customer="club-carthage",
        request_class="counter",
        deadline_s=deadline_s,
        candidates=[Candidate(engine_id="m1")],
        explain=explain,
    )


def _release_request(slot):
    evidence = Evidence(engine_id="m1", boot_id="b1", whole=True)
    return ReleaseRequest(instance_id="r1", ended=[Ended(slot=slot, evidence=evidence)])


async def _wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_claim_waits_and_is_served_when_a_slot_frees():
    """Guards against a refusal although a slot becomes free within the deadline."""

    async def scenario():
        async with _running_agents(["n1"], 1) as agents:
            state, stub = agents["n1"]
            first = await stub.Claim(_claim_request("a"))
            waiting = asyncio.ensure_future(stub.Claim(_claim_request("b")))
            await _wait_until(lambda: len(state.scheduler.queue) == 1)
            await stub.Release(_release_request(first.slot))
            second = await waiting
            assert second.slot.index == first.slot.index
            assert second.slot.grant_id != first.slot.grant_id
            assert second.boot_id == "b1"

    asyncio.run(scenario())


def test_cancelled_claim_leaves_the_queue():
    """Guards against a slot that is granted to a caller that no longer waits, and stays used."""

    async def scenario():
        async with _running_agents(["n1"], 1) as agents:
            state, stub = agents["n1"]
            first = await stub.Claim(_claim_request("a"))
            call = stub.Claim(_claim_request("b"))
            await _wait_until(lambda: len(state.scheduler.queue) == 1)
            call.cancel()
            await _wait_until(lambda: not state.scheduler.claims)
            await stub.Release(_release_request(first.slot))
            assert not state.ledger.grants

    asyncio.run(scenario())


def test_refusals_are_typed():
    """Guards against refusals whose reasons a caller cannot distinguish."""

    async def scenario():
        async with _running_agents(["n1"], 1) as agents:
            _state, stub = agents["n1"]
            await stub.Claim(_claim_request("a"))
            late = await stub.Claim(_claim_request("b", deadline_s=0.3, explain=True))
            assert late.refusal == DeadlineError.code
            assert any(step.startswith("place: wait m1") for step in late.trace)
            unknown = _claim_request("c")
            del unknown.candidates[:]
            assert (await stub.Claim(unknown)).refusal == CapacityError.code
            for number in range(200):
                reply = await stub.Claim(_claim_request(f"d{number}", deadline_s=0.0))
                if reply.refusal == RateLimitError.code:
                    return
            pytest.fail("requests_per_s was not enforced")

    asyncio.run(scenario())


def test_slot_is_borrowed_from_a_peer_and_returned():
    """Guards against a node that cannot use the free slots of its peers."""

    async def scenario():
        async with _running_agents(["n1", "n2"], 2) as agents:
            state, stub = agents["n1"]
            peer, _peer_stub = agents["n2"]
            first = await stub.Claim(_claim_request("a"))
            second = await stub.Claim(_claim_request("b"))
            assert {first.slot.index, second.slot.index} == {0, 1}
            assert 0.0 < second.start_by_s < 10.5
            assert len(peer.ledger.loans) == 1
            borrowed = next(g.slot for g in state.ledger.grants.values() if g.lender)
            ended = first.slot if first.slot.index == borrowed.index else second.slot
            await stub.Release(_release_request(ended))
            await _wait_until(lambda: not peer.ledger.loans)

    asyncio.run(scenario())


def test_customer_is_charged_for_a_slot_that_was_borrowed_at_once():
    """Guards against a customer whose borrowed slots cost nothing in the fair queue."""

    async def scenario():
        async with _running_agents(["n1", "n2"], 2) as agents:
            state, stub = agents["n1"]
            await stub.Claim(_claim_request("a"))
            await stub.Claim(_claim_request("b"))
            assert any(grant.lender for grant in state.ledger.grants.values())
            queue = state.scheduler.queue.queues["counter"]
            assert queue.finish_tags["club-carthage"] == 2.0

    asyncio.run(scenario())


def test_lost_router_keeps_its_slots_and_gets_them_back():
    """Guards against reuse of a lost router's slots while its requests may still run."""

    async def scenario():
        async with _running_agents(["n1"], 1) as agents:
            state, stub = agents["n1"]
            watch = stub.Watch(WatchRequest(instance_id="r1"))
            await watch.read()
            claimed = await stub.Claim(_claim_request("a"))
            grant = next(iter(state.ledger.grants.values()))
            before = grant.ends_by_s
            watch.cancel()
            await _wait_until(lambda: grant.ends_by_s < before)
            assert state.ledger.grants
            again = stub.Watch(WatchRequest(instance_id="r1", held=[claimed.slot]))
            await again.read()
            assert grant.ends_by_s == before

    asyncio.run(scenario())


def test_agent_restart_learns_the_held_slots():
    """Guards against a restarted agent that grants a slot which a router still holds."""

    async def scenario():
        async with _running_agents(["n1"], 1) as agents:
            state, stub = agents["n1"]
            held = Slot(engine_id="m1", index=0, grant_id=5)
            await stub.Watch(WatchRequest(instance_id="r1", held=[held])).read()
            late = await stub.Claim(_claim_request("b", deadline_s=0.3))
            assert late.refusal == DeadlineError.code
            await stub.Release(_release_request(held))
            assert not (await stub.Claim(_claim_request("c"))).refusal

    asyncio.run(scenario())


def test_watch_ends_at_shutdown():
    """Guards against a stop that waits for streams that never end."""

    async def scenario():
        async with _running_agents(["n1"], 1) as agents:
            state, stub = agents["n1"]
            watch = stub.Watch(WatchRequest(instance_id="r1"))
            await watch.read()
            claimed = await stub.Claim(_claim_request("a"))
            drained = asyncio.ensure_future(state.drain_for_shutdown(0.0, WAIT_S))
            await _wait_until(lambda: state.refuses_claims)
            assert (await stub.Claim(_claim_request("b"))).refusal == "not_ready"
            await stub.Release(_release_request(claimed.slot))
            assert await drained
            async with asyncio.timeout(WAIT_S):
                while await watch.read() is not grpc.aio.EOF:
                    continue

    asyncio.run(scenario())
