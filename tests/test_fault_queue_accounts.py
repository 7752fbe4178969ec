"""Accounts of the router's queue: why a claim that waited is refused."""

import asyncio
import itertools

from tanagerworks.agent.state import AgentState
from tanagerworks.errors import CapacityError
from tanagerworks.note.model import Note
from tanagerworks.routing.claims import Claim, Refused
from tanagerworks.routing.placement import Candidate
from tests.builders import OTHER_CUSTOMER_KEY, note_document
from tools.fleet import key_sha256

CUSTOMERS = ("club-carthage", "club-other")


def agent_state(slots=1, max_queue=1):
    """The state of an agent with one engine and two customers, past the hold after its start."""
    document = note_document(1)
    statement = document["statement"]
    statement["engines"]["m1"].update(slots=slots, cold_slots=slots)
    statement["classes"] = {"counter": {"priority": 1, "deadline_s": 15.0, "max_queue": max_queue}}
    statement["customers"][CUSTOMERS[1]] = {
        "key_sha256": [key_sha256(OTHER_CUSTOMER_KEY)],
        "models": ["wax"],
    }
    state = AgentState("n1", invariants=True)
    state.apply_note(Note.model_validate(document))
    state.end_start_hold()
    return state


NUMBERS = itertools.count()


def claim(customer, now_s):
    return Claim(
        claim_id=f"claim-{next(NUMBERS)}",
        holder="r1",
        customer=customer,
        request_class="counter",
        deadline_s=now_s + 20.0,
        candidates=[Candidate("m1")],
        arrived_at_s=now_s,
    )


def test_claim_dropped_from_a_full_queue_is_refused_for_lack_of_capacity():
    """Guards against a caller who is told that a deadline has passed that has not."""

    async def run():
        state = agent_state()
        subject, now_s = state.scheduler, state.clock()
        first, second = (claim(CUSTOMERS[0], now_s) for _ in range(2))
        subject.decide_claim(first, now_s)
        subject.decide_claim(second, now_s)
        subject.decide_claim(claim(CUSTOMERS[1], now_s), now_s)
        effects = subject.tick(now_s + 0.1)
        refusals = [effect for effect in effects if isinstance(effect, Refused)]
        assert [(refusal.claim, refusal.error) for refusal in refusals] == [(second, CapacityError)]

    asyncio.run(run())
