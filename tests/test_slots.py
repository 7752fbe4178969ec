"""The slot ledger: single cases, and a state machine of several ledgers on a lossy network."""

from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tanagerworks.note.model import Note
from tanagerworks.routing.slots import Grant, LedgerError, SlotId, SlotLedger, owned_indexes
from tests.builders import note_document

SLOTS = 4
NODES = ["n1", "n2", "n3", "n4"]
# max_lent_s + max_work_s + margin of the notes below.
HOLD_S = 2.0 + 3.0 + 2.0
WORK_S = 3.0


def _note(serial=1, nodes=NODES[:3], slots=SLOTS):
    document = note_document(
        serial,
        nodes={n: {"zone": "sfax-medina", "peer_address": f"127.0.0.1:70{n[1]}"} for n in nodes},
        rules={"max_lent_s": 2.0},
    )
    document["statement"]["engines"]["m1"].update(slots=slots, max_work_s=WORK_S)
    return Note.model_validate(document)


def _ready_ledger(node="n1", note=None):
    note = note or _note()
    ledger = SlotLedger(node)
    ledger.apply_statement(note.statement, note.serial, 0.0)
    for peer in note.statement.nodes:
        ledger.update_serials(peer, note.serial, note.serial, 0)
    ledger.end_start_hold(0.0)
    ledger.check_invariants()
    return ledger


def test_all_slots_have_one_owner():
    """Guards against a slot that has two owners or none."""
    for count in (3, 16, 17, 350):
        nodes = [f"n{number}" for number in range(count)]
        owned = [index for node in nodes for index in owned_indexes(node, "m1", 40, nodes)]
        assert sorted(owned) == list(range(40))


def test_repeated_borrow_gets_the_same_slot_until_it_ends():
    """Guards against two slots for one borrow id, and against a loan for a delayed retry."""
    ledger = _ready_ledger()
    first = ledger.lend_slot("n2", 1, "c", [("m1", SLOTS)], 1.0)
    again = ledger.lend_slot("n2", 1, "c", [("m1", SLOTS)], 2.0)
    assert first is again
    assert first.expires_at_s == 2.0 + HOLD_S
    assert ledger.accept_returned_slot("n2", first.slot, first.loan_id)
    assert ledger.lend_slot("n2", 1, "c", [("m1", SLOTS)], 3.0) is None


def test_cancelled_borrow_gets_no_slot_later():
    """Guards against a delayed Borrow that gets a slot after the borrower cancelled it."""
    ledger = _ready_ledger()
    ledger.cancel_loan("n2", 1, "c")
    assert ledger.lend_slot("n2", 1, "c", [("m1", SLOTS)], 1.0) is None
    assert ledger.lend_slot("n2", 1, "d", [("m1", SLOTS)], 1.0) is not None


def test_start_waits_for_the_hold_time():
    """Guards against a grant of a slot that a router of a crashed predecessor still uses."""
    note = _note(nodes=["n1"])
    ledger = SlotLedger("n1")
    ledger.apply_statement(note.statement, 1, 0.0)
    assert ledger.drained_serial(HOLD_S - 0.1) == 0
    ledger.tick(HOLD_S - 0.1)
    assert ledger.claim_slot("m1", SLOTS, "r", HOLD_S - 0.1) is None
    ledger.tick(HOLD_S)
    assert ledger.claim_slot("m1", SLOTS, "r", HOLD_S) is not None


def test_gained_slots_wait_for_every_node():
    """Guards against use of a gained slot while its former owner still uses it."""
    ledger = _ready_ledger()
    before = set(ledger.engines["m1"].owned)
    fewer = _note(2, nodes=["n1", "n2"])
    ledger.apply_statement(fewer.statement, 2, 10.0)
    gained = ledger.engines["m1"].owned - before
    assert gained
    ledger.update_serials("n2", 2, 2, 0)
    ledger.tick(10.0 + HOLD_S - 0.1)
    # n3 was withdrawn without a clean stop.
    assert set(ledger.engines["m1"].pending) == gained
    ledger.tick(10.0 + HOLD_S)
    assert not ledger.engines["m1"].pending
    ledger.check_invariants()


def test_reassigned_slot_in_use_holds_back_the_drained_serial():
    """Guards against reporting a note as drained while a slot that it reassigned is in use.

    The drained serial is the highest serial up to which the node uses no slot that it lost by a
    note.
    """
    ledger = _ready_ledger("n1", _note(nodes=["n1"]))
    grants = [ledger.claim_slot("m1", SLOTS, "r", 0.0) for _ in range(SLOTS)]
    more = _note(2, nodes=["n1", "n2"])
    ledger.apply_statement(more.statement, 2, 1.0)
    assert ledger.drained_serial(1.0) == 1
    for grant in grants:
        ledger.check_invariants()
        ledger.release_slot(grant.slot, grant.grant_id)
    assert ledger.drained_serial(1.0) == 2


def test_router_slots_survive_an_agent_restart():
    """Guards against a second grant of a slot that a router holds during an agent restart."""
    note = _note(nodes=["n1"])
    ledger = SlotLedger("n1", 1000)
    ledger.restore_grant(SlotId("m1", 0), 7, "r", 0.0)
    ledger.apply_statement(note.statement, 1, 0.1)
    ledger.end_start_hold(0.2)
    ledger.check_invariants()
    assert ledger.claim_slot("m1", 1, "r", 0.3) is None
    assert ledger.release_slot(SlotId("m1", 0), 7) is not None
    assert ledger.claim_slot("m1", 1, "r", 0.4).slot.index == 0
    ledger.check_invariants()


def test_slots_of_a_lost_router_stay_used():
    """Guards against reuse of a slot whose request may still run at the engine."""
    ledger = _ready_ledger("n1", _note(nodes=["n1"]))
    grant = ledger.claim_slot("m1", 1, "r", 0.0)
    ledger.mark_holder_lost("r", 1.0)
    ledger.tick(1.0 + WORK_S)
    assert ledger.claim_slot("m1", 1, "r2", 1.0 + WORK_S) is None
    ledger.tick(1.0 + WORK_S + 2.0)
    assert ledger.claim_slot("m1", 1, "r2", 1.0 + WORK_S + 2.0).slot == grant.slot


@dataclass
class _RunningRequest:
    """A request that runs at the engine; it ends by the engine's limit."""

    slot: SlotId
    ends_at_s: float


@dataclass
class _Node:
    """One node: its agent's ledger, and the routers, which keep running if the agent crashes."""

    name: str
    ledger: SlotLedger
    incarnation: int = 1
    grants: list[Grant] = field(default_factory=list)
    work: dict[int, _RunningRequest] = field(default_factory=dict)
    pending_borrows: dict[str, float] = field(default_factory=dict)
    alive: bool = True
    # Newest report of each node: (incarnation, note serial, drained, all drained).
    reports: dict[str, tuple[int, int, int, int]] = field(default_factory=dict)


class LedgerMachine(RuleBasedStateMachine):
    """Several ledgers on a network that delays, repeats and loses messages."""

    ledger_class = SlotLedger
    # Weighted by repetition: faults show only if work and time pass between the rare actions.
    actions = (
        ["pass_time"] * 5
        + ["claim", "borrow"] * 5
        + ["deliver", "start_work", "gossip", "take_note"] * 3
        + ["end_work", "split", "restart_agent", "lose_router", "publish"]
    )

    @initialize()
    def start(self):
        """Starts three of the four nodes on the first note."""
        self.now = 0.0
        self.notes = {1: _note(1)}
        self.nodes = {name: self._new_node(name, 1) for name in NODES[:3]}
        self.messages = []
        self.claims = 0
        self.splits = set()
        self.choose = None
        for node in self.nodes.values():
            node.ledger.apply_statement(self.notes[1].statement, 1, 0.0)
            node.ledger.end_start_hold(0.0)
        for node in self.nodes.values():
            for peer in self.nodes.values():
                self._receive_reports(node, peer)

    def _new_node(self, name, incarnation):
        return _Node(name, self.ledger_class(name, incarnation * 1_000_000), incarnation)

    def _receive_reports(self, node, peer):
        """Applies the reports of a peer, its own and those it received, as in gossip."""
        ledger = peer.ledger
        peer.reports[peer.name] = (
            peer.incarnation,
            ledger.serial,
            ledger.drained_serial(self.now),
            ledger.all_drained_serial,
        )
        for name, report in peer.reports.items():
            if name != node.name and report > node.reports.get(name, (0, 0, 0, 0)):
                node.reports[name] = report
                node.ledger.update_serials(name, *report[1:])
        node.ledger.tick(self.now)

    @rule(data=st.data(), action=st.sampled_from(actions))
    def act(self, data, action):
        """Runs one action; its parameters are drawn by Hypothesis too."""
        self.choose = lambda options: data.draw(st.sampled_from(list(options)))
        getattr(self, action)()

    def _choose_live_node(self):
        names = sorted(name for name, node in self.nodes.items() if node.alive)
        return self.nodes[self.choose(names)]

    def pass_time(self):
        """Advances the clock; routers end their work at its limit."""
        self.now += self.choose([0.1, 1.9, 8.0])
        for node in self.nodes.values():
            for work_id, work in list(node.work.items()):
                if work.ends_at_s <= self.now:
                    del node.work[work_id]
                    if node.alive:
                        self._release(node, work.slot, work_id)

    def claim(self):
        """A router claims an own slot and starts work at once or later."""
        node = self._choose_live_node()
        node.ledger.tick(self.now)
        grant = node.ledger.claim_slot("m1", SLOTS, "r", self.now)
        if grant is not None:
            node.grants.append(grant)
            if self.choose([True, False]):
                self._start(node, grant)

    def borrow(self):
        """A Borrow is answered at once, or is sent twice and delivered at any time."""
        node, lender = self._choose_live_node(), self._choose_live_node()
        if node is lender:
            return
        self.claims += 1
        key = f"c{self.claims}"
        node.pending_borrows[key] = self.now
        ask = (node.name, node.incarnation, lender.name, key, self.now)
        if self.choose([False, True]):
            self.messages += [("borrow", *ask)] * 2
            return
        self._on_borrow(*ask)
        if self.messages and self.messages[-1][0] == "lent":
            self._on_lent(*self.messages.pop()[1:])

    def deliver(self):
        """A message is delivered out of order, lost, or delivered and kept for another delivery."""
        if not self.messages:
            return
        message = self.choose(self.messages)
        fate = self.choose(["once", "again", "lost"])
        if fate != "again":
            self.messages.remove(message)
        if fate != "lost":
            getattr(self, f"_on_{message[0]}")(*message[1:])

    def _on_borrow(self, borrower, incarnation, lender, key, sent_at):
        node = self.nodes[lender]
        if not node.alive or frozenset((borrower, lender)) in self.splits:
            return
        loan = node.ledger.lend_slot(borrower, incarnation, key, [("m1", SLOTS)], self.now)
        if loan is not None:
            reply = (loan.slot, loan.loan_id, loan.max_lent_s, loan.max_work_s)
            self.messages.append(("lent", borrower, incarnation, lender, key, sent_at, reply))

    def _on_lent(self, borrower, incarnation, lender, key, sent_at, reply):
        node = self.nodes[borrower]
        slot, loan_id, start_by_s, max_work_s = reply
        if not node.alive or node.incarnation != incarnation:
            return
        if node.pending_borrows.pop(key, None) is None:
            return
        grant = node.ledger.grant_borrowed(
            slot, lender, loan_id, sent_at + start_by_s, max_work_s, "r", self.now
        )
        if grant is not None:
            node.grants.append(grant)
        else:
            self.messages.append(("return", borrower, lender, slot, loan_id))

    def _on_return(self, borrower, lender, slot, loan_id):
        if self.nodes[lender].alive:
            self.nodes[lender].ledger.accept_returned_slot(borrower, slot, loan_id)

    def start_work(self):
        """A router starts work if the time allows it."""
        node = self._choose_live_node()
        if not node.grants:
            return
        self._start(node, self.choose(node.grants))

    def _start(self, node, grant):
        node.grants.remove(grant)
        if self.now < grant.start_by_s:
            ends = self.now + grant.max_work_s
            node.work[grant.grant_id] = _RunningRequest(grant.slot, ends)
        else:
            self._release(node, grant.slot, grant.grant_id)

    def end_work(self):
        """Work ends early."""
        node = self._choose_live_node()
        if node.work:
            work_id = self.choose(sorted(node.work))
            self._release(node, node.work.pop(work_id).slot, work_id)

    def _release(self, node, slot, grant_id):
        grant = node.ledger.release_slot(slot, grant_id)
        if grant is not None and grant.lender:
            self.messages.append(("return", node.name, grant.lender, slot, grant.loan_id))

    def gossip(self):
        """One node receives the reports of another."""
        node, peer = self._choose_live_node(), self._choose_live_node()
        self._gossip(node, peer)

    def _gossip(self, node, peer):
        pair = frozenset((node.name, peer.name))
        if node is not peer and peer.alive and pair not in self.splits:
            self._receive_reports(node, peer)

    def split(self):
        """A link is cut, or all links are restored."""
        pair = frozenset(self.choose(NODES) for _ in range(2))
        self.splits = set() if len(pair) == 1 else self.splits | {pair}

    def restart_agent(self):
        """An agent crashes; its routers report their grants to the new process."""
        node = self._choose_live_node()
        serial = node.ledger.serial
        node.incarnation += 1
        node.ledger = self.ledger_class(node.name, node.incarnation * 1_000_000)
        node.pending_borrows.clear()
        node.reports = {}
        node.ledger.apply_statement(self.notes[serial].statement, serial, self.now)
        held = [(grant.slot, grant.grant_id) for grant in node.grants]
        held += [(work.slot, work_id) for work_id, work in node.work.items()]
        for slot, grant_id in held:
            node.ledger.restore_grant(slot, grant_id, "r", self.now)
        for peer in self.nodes.values():
            self._gossip(node, peer)

    def lose_router(self):
        """A router crashes while its requests continue at the engine."""
        node = self._choose_live_node()
        node.grants.clear()
        for work_id, work in list(node.work.items()):
            # A negative id keeps the work without a grant that a router would release.
            self.nodes[node.name].work[-work_id] = node.work.pop(work_id)
            assert work.ends_at_s <= self.now + WORK_S
        node.ledger.mark_holder_lost("r", self.now)

    def publish(self):
        """Operators publish a note; withdrawn nodes have been stopped before."""
        nodes = self.choose([NODES[:3], NODES, ["n1", "n2", "n4"]])
        serial = max(self.notes) + 1
        self.notes[serial] = _note(serial, nodes)
        for name, node in self.nodes.items():
            if name not in nodes and node.alive:
                node.alive = False
                node.grants.clear()
        for name in nodes:
            known = self.nodes.get(name)
            if known is not None and known.alive:
                continue
            fresh = self._new_node(name, known.incarnation + 1 if known else 1)
            if known is not None:
                fresh.work = known.work
            self.nodes[name] = fresh
            fresh.ledger.apply_statement(self.notes[serial].statement, serial, self.now)

    def take_note(self):
        """One node puts a newer note in force."""
        node = self._choose_live_node()
        serial = self.choose(range(node.ledger.serial, max(self.notes) + 1))
        if serial > node.ledger.serial and node.name in self.notes[serial].statement.nodes:
            node.ledger.apply_statement(self.notes[serial].statement, serial, self.now)

    @invariant()
    def engine_is_never_over_its_slots(self):
        """The engine never runs more requests than it has slots, and no slot is used twice."""
        running_slots = [
            work.slot
            for node in getattr(self, "nodes", {}).values()
            for work in node.work.values()
            if work.ends_at_s > self.now
        ]
        assert len(running_slots) <= SLOTS
        assert len(set(running_slots)) == len(running_slots)

    @invariant()
    def ledgers_are_consistent(self):
        """No ledger counts a slot twice."""
        for node in getattr(self, "nodes", {}).values():
            node.ledger.check_invariants()


_SETTINGS = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_no_schedule_overloads_an_engine():
    """Guards against more running requests at an engine than it has slots."""
    run_state_machine_as_test(LedgerMachine, settings=_SETTINGS)


class _EarlyExpiryLedger(SlotLedger):
    """Expires a loan at the borrower's start limit, not after the end of its work."""

    @staticmethod
    def _expiry_s(loan, now_s):
        return now_s + loan.max_lent_s


class _NoDrainLedger(SlotLedger):
    """Uses gained slots without waiting for the other nodes."""

    def _free_pending(self, engine_slots):
        freed = bool(engine_slots.pending)
        engine_slots.pending.clear()
        return freed


class _NoHoldLedger(SlotLedger):
    """Grants slots at once after a start, without waiting for the hold time."""

    def apply_statement(self, statement, serial, now_s, clean_nodes=()):
        super().apply_statement(statement, serial, now_s, clean_nodes)
        self.end_start_hold(now_s)


@pytest.mark.parametrize("broken", [_EarlyExpiryLedger, _NoDrainLedger, _NoHoldLedger])
def test_the_state_machine_finds_broken_ledgers(broken):
    """Guards against a state machine that does not find overloads."""

    class BrokenMachine(LedgerMachine):
        ledger_class = broken

    more = settings(
        _SETTINGS, max_examples=1500, print_blob=False, phases=[Phase.generate], database=None
    )
    # The ledger's invariants may fail before the engine is overloaded.
    with pytest.raises((AssertionError, LedgerError)):
        run_state_machine_as_test(BrokenMachine, settings=more)
