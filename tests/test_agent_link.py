"""Checks before sending, loss of the node agent, and release of slots."""

import json
import logging
import threading

import pytest

from tanagerworks.clock import boot_time_s
from tanagerworks.errors import DeadlineError, InvariantError
from tanagerworks.router.held_slots import Grant, HeldSlots
from tanagerworks.router.invariants import Invariants
from tanagerworks.rpc.tanager_pb2 import Candidate, ClaimRequest, Slot
from tests.builders import note_with_backends
from tests.fakes import BOOT_ID, FakeAgent, FakeBackend, RouterUnderTest, wait_until
from tests.test_engine_relay import FakeEngine, _error


@pytest.fixture(name="engine")
def fake_engine():
    return FakeEngine()


@pytest.fixture(name="backend")
def engine_backend(engine):
    with FakeBackend(engine) as backend:
        yield backend


@pytest.fixture(name="router")
def router_before_engine(backend):
    note = note_with_backends(engines={"m1": backend.address})
    with RouterUnderTest(note, agent_loss_grace_s=600.0) as router:
        yield router


def _chats(backend):
    return len(backend.requests_with_method("POST"))


def test_old_view_is_refreshed_before_bytes_are_sent(router, backend):
    """Guards against sending with a view that was buffered while the process was paused."""
    router.agent.view_delay_s = 60.0
    wait_until(lambda: router.router.link.view_age_s > 0.2)
    view = router.router.link.view
    router.router.link.view = type(view)(**{**vars(view), "known_at_s": view.known_at_s - 60})
    assert _error(router.chat()) == ("not_ready", "not_run")
    assert router.agent.refreshes
    assert router.request("GET", "/readyz").status == 503
    router.agent.view_delay_s = 0.0
    assert router.chat(stream=True).status == 200
    assert _chats(backend) == 1


def test_engine_out_of_service_after_the_claim_gets_nothing(router, backend):
    """Guards against new work for an engine taken out of service during the wait for a slot."""

    def take_out_of_service():
        router.agent.out_of_service.add("m1")
        wait_until(lambda: "m1" not in router.router.link.view.eligible)

    router.agent.before_grant = take_out_of_service
    assert _error(router.chat()) == ("no_capacity", "not_run")
    assert not _chats(backend)
    wait_until(lambda: len(router.agent.released) == 1)


def test_borrowed_slot_is_not_used_after_its_time(router, backend):
    """Guards against work in a borrowed slot that its owner may use again."""
    router.agent.start_by_s = 1e-9
    assert _error(router.chat()) == ("deadline_exceeded", "not_run")
    assert not _chats(backend)


def test_slot_above_the_cold_limit_needs_a_confirmed_boot_id(router, engine, backend):
    """Guards against full load on an engine that restarted unnoticed and is cold."""
    router.agent.index = 5
    assert router.chat(stream=True).status == 200
    targets = [request.target for request in backend.requests]
    assert targets == ["/v1/boot", "/v1/chat/completions"]
    assert len({request.connection for request in backend.requests}) == 1
    engine.boot_id = "boot-2"
    wait_until(lambda: router.router.link.now() - _last_proof(router) > 0.5)
    assert _error(router.chat(stream=True)) == ("backend_restarted", "not_run")
    assert _chats(backend) == 1
    router.agent.boot_id = ""
    assert _error(router.chat(stream=True)) == ("backend_restarted", "not_run")
    router.agent.index = 1
    assert router.chat(stream=True).status == 200


def _last_proof(router):
    pools = router.router.connections.idle_by_address.values()
    return max(connection.boot_confirmed_at_s for pool in pools for connection in pool)


def test_lost_agent_leaves_held_slots_for_the_grace_period(router, backend, caplog, monkeypatch):
    """Guards against a router without its agent that stops at once, or that never stops."""
    with caplog.at_level(logging.WARNING):
        gate, chat_started = threading.Event(), threading.Event()

        def chat(request, conn):
            chat_started.set()
            gate.wait(10)
            return FakeEngine().stream_whole(request, conn)

        backend.handle.chat = chat
        first = []
        thread = threading.Thread(target=lambda: first.append(router.chat(stream=True)))
        thread.start()
        assert chat_started.wait(5)
        router.agent.stop()
        wait_until(lambda: router.request("GET", "/readyz").status == 503)
        gate.set()
        thread.join()
        assert first[0].status == 200
        wait_until(lambda: router.router.link.held_slots.reusable_grants)
        assert router.chat(stream=True).status == 200
        assert [record.message for record in caplog.records].count(
            "lost the node agent; held slots are reused for the grace period"
        ) == 1
        # The agent's absence exceeds the grace period on the router's clock.
        monkeypatch.setattr(router.router.link, "now", lambda: boot_time_s() + 1000.0)
        assert _error(router.chat(stream=True)) == ("not_ready", "not_run")
        assert _chats(backend) == 2
    monkeypatch.undo()
    router.agent.held.clear()
    router.agent.start()
    wait_until(lambda: router.request("GET", "/readyz").status == 200)
    # The slot is reported as held, and then released once.
    assert [slot.grant_id for slot in router.agent.held[0]] == [1]
    wait_until(lambda: router.agent.released)
    assert [ended.slot.grant_id for ended in router.agent.released] == [1]


def test_release_is_retried_until_the_agent_has_it(backend):
    """Guards against a slot that stays used forever because its release was lost."""
    agent = FakeAgent(note_with_backends(engines={"m1": backend.address}))
    agent.fail_releases = 3
    agent.start()
    with RouterUnderTest(agent.note, agent) as router:
        assert router.chat(stream=True).status == 200
        wait_until(lambda: agent.released)
        assert [ended.slot.grant_id for ended in agent.released] == [1]
        assert not agent.fail_releases


@pytest.mark.parametrize(
    ("refusal", "status"),
    [("no_capacity", 503), ("rate_limit_exceeded", 429), ("deadline_exceeded", 503)],
)
def test_refusal_of_the_agent_keeps_its_code(router, refusal, status):
    """Guards against refusals with different reasons that look the same to the caller."""
    router.agent.refusal = refusal
    response = router.chat()
    assert response.status == status
    assert _error(response) == (refusal, "not_run")
    assert response.headers["Retry-After"] == "1"


def test_slot_granted_too_late_is_reported_as_not_held(router):
    """Guards against a slot that stays used because its grant arrived after the claim timed out."""
    claim = ClaimRequest(request_id="r", deadline_s=0.0, candidates=[Candidate(engine_id="m1")])
    router.agent.before_grant = lambda: threading.Event().wait(1.0)
    link = router.router.link
    wait_until(lambda: link.view.index is not None)
    watches = len(router.agent.held)
    with pytest.raises(DeadlineError):
        link.claim_slot(claim, link.view.index.note.statement)
    wait_until(lambda: len(router.agent.held) > watches)
    assert router.agent.held[-1] == []
    assert not link.agent_lost


def _grant(number):
    return Grant(Slot(engine_id="m1", index=number, grant_id=number), BOOT_ID)


def test_each_slot_is_held_and_released_once():
    """Guards against a slot that is released twice, lost, or used though a report lacked it."""
    held_slots = HeldSlots()
    first, late = _grant(1), _grant(2)
    assert held_slots.add_grant(first, held_slots.epoch)
    epoch = held_slots.epoch
    assert [slot.grant_id for slot in held_slots.start_epoch()] == [1]
    assert not held_slots.add_grant(late, epoch)
    held_slots.end_grant(first, None)
    held_slots.end_grant(first, None)
    held_slots.end_grant_later(first, None, 0.0)
    ended = held_slots.wait_for_releases(1.0, 10, 0.0)
    assert [item.slot.grant_id for item in ended] == [2, 1]
    assert sorted(slot.grant_id for slot in held_slots.start_epoch()) == [1, 2]
    held_slots.remove_released(ended)
    assert not held_slots.start_epoch()


def test_slot_that_is_granted_twice_is_detected():
    """Guards against an agent that grants a slot again while its request is running."""
    violations = []
    held_slots = HeldSlots(Invariants(True, lambda: violations.append(1)))
    assert held_slots.add_grant(_grant(1), held_slots.epoch)
    again = Grant(Slot(engine_id="m1", index=1, grant_id=7), BOOT_ID)
    with pytest.raises(InvariantError):
        held_slots.add_grant(again, held_slots.epoch)
    assert violations == [1]


def test_delayed_end_waits_for_the_longest_work():
    """Guards against a slot that is released while its request may still be at the engine."""
    held_slots = HeldSlots()
    grant = _grant(1)
    held_slots.add_grant(grant, held_slots.epoch)
    held_slots.end_grant_later(grant, None, 10.0)
    assert not held_slots.wait_for_releases(9.9, 10, 0.0)
    assert len(held_slots.start_epoch()) == 1
    assert len(held_slots.wait_for_releases(10.0, 10, 0.0)) == 1


def test_note_never_reverts(router):
    """Guards against applying an older note from an agent that restarted with stale data."""
    document = router.agent.note.model_dump(mode="json")
    newer = {**document, "serial": 3}
    router.agent.note = type(router.agent.note).model_validate_json(json.dumps(newer))
    wait_until(lambda: router.router.link.view.index.note.serial == 3)
    router.agent.note = type(router.agent.note).model_validate_json(json.dumps(document))
    before = router.router.link.view.known_at_s
    wait_until(lambda: router.router.link.view.known_at_s > before + 0.2)
    assert router.router.link.view.index.note.serial == 3
