"""Slot ledger of one node: the slots that it owns, uses, lends and borrows.

Slot *i* of an engine is the right to have one request at that engine. The release note divides
the slots among the nodes, so an engine never gets more requests than its capacity, even while nodes
have an outdated view of each other. Source: the escrow method (O'Neil 1986). All times are seconds
on the node's own CLOCK_BOOTTIME.
"""

import heapq
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from tanagerworks.errors import TanagerError
from tanagerworks.note.model import Statement
from tanagerworks.routing.ranking import rank_equally

# Up to this many nodes, the slots of every engine are divided among all nodes. With more nodes, an
# engine has one owner for every SLOTS_PER_OWNER slots, at least MIN_OWNERS.
ALL_OWNERS_LIMIT = 16
MIN_OWNERS = 3
SLOTS_PER_OWNER = 8
# Covers a pause of a router between its check of the time and its write, and clock drift.
HOLD_MARGIN_S = 2.0
# Used for a slot that a router reports while no note with its engine is in force.
UNKNOWN_MAX_WORK_S = 600.0
# The ids of ended borrows are stored, so that a delayed Borrow gets no slot for an ended attempt.
MAX_ENDED_BORROWS = 4096


class LedgerError(TanagerError):
    """An invariant of the ledger or the scheduler is violated."""

    code = "ledger_invariant"


@dataclass(frozen=True, order=True, slots=True)
class SlotId:
    """One slot of one engine."""

    engine_id: str
    index: int


@dataclass(slots=True)
class Grant:
    """A slot in use by a router; `lender` is empty for a slot that the node owns.

    The router may start work until `start_by_s`. Own slots have this limit too, so that the hold
    after a restart of the node covers work that a paused router starts late. A slot whose release
    was lost is free again at `ends_by_s`. `loan_id` identifies the loan at the lender.
    """

    slot: SlotId
    grant_id: int
    holder: str
    max_work_s: float
    start_by_s: float
    ends_by_s: float
    lender: str = ""
    loan_id: int = 0


@dataclass(slots=True)
class Loan:
    """A slot lent to a peer until the peer returns it, at most until `expires_at_s`.

    The peer may start work on it for `max_lent_s` after it sent its request; the work may take
    `max_work_s` more. `borrow_key` is (borrower, its incarnation, borrow id).
    """

    slot: SlotId
    loan_id: int
    borrower: str
    borrow_key: tuple[str, int, str]
    max_lent_s: float
    max_work_s: float
    expires_at_s: float


@dataclass(slots=True)
class _EngineSlots:
    slots: int
    max_work_s: float
    owned: set[int] = field(default_factory=set)
    # Owned slots that are neither used, lent nor pending; a heap of indexes.
    free: list[int] = field(default_factory=list)
    # Slots gained by a note that other nodes may still use, with the serial of that note.
    pending: dict[int, int] = field(default_factory=dict)
    running: int = 0


def slot_owners(engine_id: str, slots: int, node_ids: Collection[str]) -> list[str]:
    """Returns the owners of an engine's slots; slot *i* belongs to owner ``i % len(owners)``."""
    owners = len(node_ids)
    if owners > ALL_OWNERS_LIMIT:
        owners = max(MIN_OWNERS, math.ceil(slots / SLOTS_PER_OWNER))
    return rank_equally(engine_id, node_ids, owners)


def owned_indexes(node_id: str, engine_id: str, slots: int, node_ids: Collection[str]) -> set[int]:
    """Returns the indexes of an engine's slots that belong to a node."""
    owners = slot_owners(engine_id, slots, node_ids)
    if node_id not in owners:
        return set()
    return set(range(owners.index(node_id), slots, len(owners)))


def hold_time_s(statement: Statement, max_work_s: float) -> float:
    """Returns the time after which no work of a lost node can still run at an engine."""
    return statement.rules.max_lent_s + max_work_s + HOLD_MARGIN_S


class SlotLedger:
    """The slots of one node: owned, used by its routers, lent to peers and borrowed from them.

    `first_grant_id` differs between incarnations, so that grants of an earlier process are never
    mistaken for grants of this one. A new ledger is on hold: it grants no own slot until the hold
    time is over or `end_start_hold` is called.
    """

    def __init__(self, node_id: str, first_grant_id: int = 1) -> None:
        self.node_id = node_id
        self.next_id = first_grant_id
        self.serial = 0
        self.max_lent_s = 0.0
        self.engines: dict[str, _EngineSlots] = {}
        self.owners_by_engine: dict[str, list[str]] = {}
        self.node_ids: list[str] = []
        self.grants: dict[SlotId, Grant] = {}
        self.loans: dict[SlotId, Loan] = {}
        self.loans_by_borrow: dict[tuple[str, int, str], Loan] = {}
        self.ended_borrows: OrderedDict[tuple[str, int, str], None] = OrderedDict()
        # Slots in use or lent that a note reassigned to other nodes, with the serial of that note;
        # 0 if no note is in force yet.
        self.reassigned_slots: dict[SlotId, int] = {}
        # (serial, time): a note that withdrew nodes counts as drained from this time on.
        self.withdrawn_holds: list[tuple[int, float]] = []
        # Engines with pending slots, and engines to remove when their work has ended.
        self.engines_with_pending: set[str] = set()
        self.retiring_engines: set[str] = set()
        self.start_hold_ended = False
        self.hold_until_s = math.inf
        self.peers: frozenset[str] = frozenset()
        self.drained_serials: dict[str, int] = {}
        # The note with this serial is drained at all of its nodes; see `drained_serial`.
        self.all_drained_serial = 0
        self.newest_serial = 0

    # Notes.

    def apply_statement(
        self, statement: Statement, serial: int, now_s: float, clean_nodes: Collection[str] = ()
    ) -> None:
        """Applies the ownership of slots in a note.

        `clean_nodes` are nodes known to have ended all work; no hold is needed if the note
        withdraws them.
        """
        first_note = self.serial == 0
        self._hold_for_withdrawn(statement, serial, now_s, clean_nodes)
        self.serial = serial
        self.max_lent_s = statement.rules.max_lent_s
        self.peers = frozenset(statement.nodes) - {self.node_id}
        self.owners_by_engine = {}
        self.node_ids = list(statement.nodes)
        for engine_id, engine in statement.engines.items():
            engine_slots = self.engines.get(engine_id)
            if engine_slots is None:
                engine_slots = self.engines[engine_id] = _EngineSlots(
                    engine.slots, engine.max_work_s
                )
            engine_slots.slots = engine.slots
            engine_slots.max_work_s = engine.max_work_s
            self.retiring_engines.discard(engine_id)
            owned = owned_indexes(self.node_id, engine_id, engine.slots, statement.nodes)
            self._set_owned(engine_id, engine_slots, owned, serial)
        for engine_id in self.engines.keys() - statement.engines.keys():
            self.engines[engine_id].slots = 0
            self.retiring_engines.add(engine_id)
            self._set_owned(engine_id, self.engines[engine_id], set(), serial)
        for slot, reassigning_serial in self.reassigned_slots.items():
            self.reassigned_slots[slot] = reassigning_serial or serial
        if first_note:
            work_s = max((e.max_work_s for e in statement.engines.values()), default=0.0)
            self.hold_until_s = now_s + hold_time_s(statement, work_s)
        self.tick(now_s)

    def _hold_for_withdrawn(
        self, statement: Statement, serial: int, now_s: float, clean_nodes: Collection[str]
    ) -> None:
        withdrawn = self.peers - statement.nodes.keys() - set(clean_nodes)
        if withdrawn:
            work_s = [engine_slots.max_work_s for engine_slots in self.engines.values()]
            lent_s = max(self.max_lent_s, statement.rules.max_lent_s)
            until_s = now_s + lent_s + max(work_s, default=0.0) + HOLD_MARGIN_S
            self.withdrawn_holds.append((serial, until_s))

    def _set_owned(
        self, engine_id: str, engine_slots: _EngineSlots, owned: set[int], serial: int
    ) -> None:
        for index in engine_slots.owned - owned:
            engine_slots.pending.pop(index, None)
            slot = SlotId(engine_id, index)
            if slot in self.grants or slot in self.loans:
                self.reassigned_slots[slot] = serial
        for index in owned - engine_slots.owned:
            engine_slots.pending[index] = serial
            slot = SlotId(engine_id, index)
            # A router reported the slot before the first note was in force.
            if self.reassigned_slots.get(slot) == 0:
                del self.reassigned_slots[slot]
        if engine_slots.pending:
            self.engines_with_pending.add(engine_id)
        else:
            self.engines_with_pending.discard(engine_id)
        if owned != engine_slots.owned:
            engine_slots.owned = owned
            self._rebuild_free(engine_id, engine_slots)

    def _rebuild_free(self, engine_id: str, engine_slots: _EngineSlots) -> None:
        engine_slots.free = [
            index
            for index in engine_slots.owned
            if index not in engine_slots.pending
            and SlotId(engine_id, index) not in self.grants
            and SlotId(engine_id, index) not in self.loans
        ]
        heapq.heapify(engine_slots.free)

    def end_start_hold(self, now_s: float) -> None:
        """Ends the hold after a start; no earlier process may have work that is not reported."""
        self.start_hold_ended = True
        self.hold_until_s = now_s
        self.tick(now_s)

    def is_on_hold(self, now_s: float) -> bool:
        """Returns whether own slots are withheld because a predecessor's work may still run."""
        return now_s < self.hold_until_s

    def update_serials(
        self, node_id: str, note_serial: int, drained_serial: int, all_drained_serial: int
    ) -> None:
        """Applies a peer's newest report: the serials of its note and of the drained notes.

        The drained serial of a node can decrease, as a new process may start with an older note.
        """
        self.drained_serials[node_id] = drained_serial
        self.all_drained_serial = max(self.all_drained_serial, all_drained_serial)
        self.newest_serial = max(self.newest_serial, note_serial)

    def drained_serial(self, now_s: float) -> int:
        """Returns the highest serial up to which all notes are drained at this node.

        A note is drained at a node once none of the slots that it reassigned is in use by the
        node's routers or lent by the node. A note that withdrew nodes counts only after the hold
        time, since their work may still run. The serial is 0 for a node on hold, which does not
        know the slots in use by routers of its predecessor.
        """
        if now_s < self.hold_until_s:
            return 0
        undrained = list(self.reassigned_slots.values())
        undrained += [serial for serial, until_s in self.withdrawn_holds if now_s < until_s]
        return min(undrained) - 1 if undrained else self.serial

    def tick(self, now_s: float) -> None:
        """Ends expired loans and grants, and frees pending slots once all nodes have drained."""
        for loan in [loan for loan in self.loans.values() if loan.expires_at_s <= now_s]:
            self._end_loan(loan)
        for grant in [grant for grant in self.grants.values() if grant.ends_by_s <= now_s]:
            self._end_grant(grant)
        for engine_id in [e for e in self.retiring_engines if not self.engines[e].running]:
            self.retiring_engines.remove(engine_id)
            del self.engines[engine_id]
        self.withdrawn_holds = [hold for hold in self.withdrawn_holds if now_s < hold[1]]
        if self.all_drained_serial < self.serial and self._all_drained(now_s):
            self.all_drained_serial = self.serial
        for engine_id in list(self.engines_with_pending):
            engine_slots = self.engines[engine_id]
            if self._free_pending(engine_slots):
                self._rebuild_free(engine_id, engine_slots)
            if not engine_slots.pending:
                self.engines_with_pending.remove(engine_id)

    def _all_drained(self, now_s: float) -> bool:
        if self.drained_serial(now_s) < self.serial:
            return False
        # Only reports for the note in force count, since its nodes are the ones that are checked.
        return all(self.drained_serials.get(peer, 0) >= self.serial for peer in self.peers)

    def _free_pending(self, engine_slots: _EngineSlots) -> bool:
        if self.newest_serial > self.serial:
            # A newer note may have given the slots to another node.
            return False
        freed = [
            i for i, serial in engine_slots.pending.items() if serial <= self.all_drained_serial
        ]
        for index in freed:
            del engine_slots.pending[index]
        return bool(freed)

    # Claims of the node's own routers.

    def claim_slot(
        self, engine_id: str, index_limit: int, holder: str, now_s: float
    ) -> Grant | None:
        """Grants the node's lowest free slot, or returns None if it is not below `index_limit`."""
        index = self.lowest_free(engine_id, now_s)
        if index is None or index >= index_limit:
            return None
        engine_slots = self.engines[engine_id]
        heapq.heappop(engine_slots.free)
        slot = SlotId(engine_id, index)
        start_by_s = now_s + self.max_lent_s
        return self._grant(slot, engine_slots.max_work_s, start_by_s, holder)

    def _grant(
        self,
        slot: SlotId,
        max_work_s: float,
        start_by_s: float,
        holder: str,
        lender: str = "",
        loan_id: int = 0,
    ) -> Grant:
        ends_by_s = start_by_s + max_work_s + HOLD_MARGIN_S
        grant = Grant(
            slot, self._new_id(), holder, max_work_s, start_by_s, ends_by_s, lender, loan_id
        )
        self.grants[slot] = grant
        self.engines[slot.engine_id].running += 1
        return grant

    def lowest_free(self, engine_id: str, now_s: float) -> int | None:
        """Returns the lowest index of the node's free slots of an engine, or None."""
        engine_slots = self.engines.get(engine_id)
        if engine_slots is None or not engine_slots.free or now_s < self.hold_until_s:
            return None
        return engine_slots.free[0]

    def free_count(self, engine_id: str, now_s: float) -> int:
        """Returns the number of the node's free slots of an engine."""
        engine_slots = self.engines.get(engine_id)
        if engine_slots is None or now_s < self.hold_until_s:
            return 0
        return len(engine_slots.free)

    def owned_count(self, engine_id: str) -> int:
        """Returns the number of an engine's slots that the node owns."""
        engine_slots = self.engines.get(engine_id)
        return len(engine_slots.owned) if engine_slots else 0

    def owners(self, engine_id: str) -> list[str]:
        """Returns the nodes that own slots of an engine in the note in force."""
        owners = self.owners_by_engine.get(engine_id)
        if owners is None:
            engine_slots = self.engines.get(engine_id)
            owners = slot_owners(
                engine_id, engine_slots.slots if engine_slots else 0, self.node_ids
            )
            self.owners_by_engine[engine_id] = owners
        return owners

    def running_count(self, engine_id: str) -> int:
        """Returns the number of this node's requests at an engine, on own and borrowed slots."""
        engine_slots = self.engines.get(engine_id)
        return engine_slots.running if engine_slots else 0

    def release_slot(self, slot: SlotId, grant_id: int) -> Grant | None:
        """Ends a grant; returns it, or None if it has ended already."""
        grant = self.grants.get(slot)
        if grant is None or grant.grant_id != grant_id:
            return None
        self._end_grant(grant)
        return grant

    def _end_grant(self, grant: Grant) -> None:
        del self.grants[grant.slot]
        self.engines[grant.slot.engine_id].running -= 1
        self._mark_free(grant.slot)

    def _mark_free(self, slot: SlotId) -> None:
        self.reassigned_slots.pop(slot, None)
        engine_slots = self.engines.get(slot.engine_id)
        if (
            engine_slots is None
            or slot.index not in engine_slots.owned
            or slot.index in engine_slots.pending
        ):
            return
        heapq.heappush(engine_slots.free, slot.index)

    def restore_grant(self, slot: SlotId, grant_id: int, holder: str, now_s: float) -> Grant:
        """Restores the grant of a slot that a router reports, as after a restart of the agent.

        A slot that is in use keeps its grant, which is returned.
        """
        current = self.grants.get(slot)
        if current is not None:
            if current.grant_id == grant_id:
                current.holder = holder
                current.ends_by_s = current.start_by_s + current.max_work_s + HOLD_MARGIN_S
            return current
        engine_slots = self.engines.get(slot.engine_id)
        if engine_slots is None:
            engine_slots = self.engines[slot.engine_id] = _EngineSlots(0, UNKNOWN_MAX_WORK_S)
            self.retiring_engines.add(slot.engine_id)
        if slot.index in engine_slots.owned:
            if slot.index in engine_slots.free:
                engine_slots.free.remove(slot.index)
                heapq.heapify(engine_slots.free)
        else:
            # Reassigned by a note or borrowed by the predecessor: not drained until the grant ends.
            self.reassigned_slots[slot] = self.serial
        # The router may not have started the work yet. Before the first note the lending time is
        # unknown; UNKNOWN_MAX_WORK_S is far above its default of 10 s.
        lent_s = self.max_lent_s or UNKNOWN_MAX_WORK_S
        grant = self._grant(slot, engine_slots.max_work_s, now_s + lent_s, holder)
        grant.grant_id = grant_id
        return grant

    def mark_holder_lost(self, holder: str, now_s: float) -> None:
        """Limits the grants of a lost router to the time by which its work must have ended."""
        for grant in self.grants.values():
            if grant.holder == holder:
                grant.ends_by_s = min(grant.ends_by_s, now_s + grant.max_work_s + HOLD_MARGIN_S)

    # Loans to and from peers.

    def lend_slot(
        self,
        borrower: str,
        incarnation: int,
        borrow_id: str,
        wanted_slots: Iterable[tuple[str, int]],
        now_s: float,
    ) -> Loan | None:
        """Lends the first free slot that fits one of `wanted_slots` ``(engine id, index limit)``.

        A repeated request with the same borrow id gets the same slot, and its expiry counts from
        the new reply.
        """
        key = (borrower, incarnation, borrow_id)
        loan = self.loans_by_borrow.get(key)
        if loan is not None:
            loan.expires_at_s = self._expiry_s(loan, now_s)
            return loan
        if key in self.ended_borrows:
            return None
        for engine_id, index_limit in wanted_slots:
            index = self.lowest_free(engine_id, now_s)
            if index is None or index >= index_limit:
                continue
            engine_slots = self.engines[engine_id]
            heapq.heappop(engine_slots.free)
            slot = SlotId(engine_id, index)
            loan = Loan(
                slot, self._new_id(), borrower, key, self.max_lent_s, engine_slots.max_work_s, 0.0
            )
            loan.expires_at_s = self._expiry_s(loan, now_s)
            self.loans[slot] = self.loans_by_borrow[key] = loan
            return loan
        return None

    @staticmethod
    def _expiry_s(loan: Loan, now_s: float) -> float:
        # The borrower counts from the sending of its request, which is earlier than this reply.
        return now_s + loan.max_lent_s + loan.max_work_s + HOLD_MARGIN_S

    def accept_returned_slot(self, borrower: str, slot: SlotId, loan_id: int) -> bool:
        """Ends a loan that the borrower returns; returns False if it has ended already."""
        loan = self.loans.get(slot)
        if loan is None or loan.loan_id != loan_id or loan.borrower != borrower:
            return False
        self._end_loan(loan)
        return True

    def cancel_loan(self, borrower: str, incarnation: int, borrow_id: str) -> None:
        """Ends the loan of a Borrow; a later request with the same borrow id gets no slot."""
        key = (borrower, incarnation, borrow_id)
        loan = self.loans_by_borrow.get(key)
        if loan is not None:
            self._end_loan(loan)
        else:
            self._record_ended_borrow(key)

    def _end_loan(self, loan: Loan) -> None:
        del self.loans[loan.slot]
        del self.loans_by_borrow[loan.borrow_key]
        self._record_ended_borrow(loan.borrow_key)
        self._mark_free(loan.slot)

    def _record_ended_borrow(self, key: tuple[str, int, str]) -> None:
        self.ended_borrows[key] = None
        if len(self.ended_borrows) > MAX_ENDED_BORROWS:
            self.ended_borrows.popitem(last=False)

    def grant_borrowed(
        self,
        slot: SlotId,
        lender: str,
        loan_id: int,
        start_by_s: float,
        max_work_s: float,
        holder: str,
        now_s: float,
    ) -> Grant | None:
        """Grants a borrowed slot to a router; returns None if it can no longer be used."""
        if now_s >= start_by_s or slot in self.grants:
            return None
        engine_slots = self.engines.get(slot.engine_id)
        if engine_slots is None:
            return None
        work_s = min(max_work_s, engine_slots.max_work_s)
        return self._grant(slot, work_s, start_by_s, holder, lender, loan_id)

    def _new_id(self) -> int:
        self.next_id += 1
        return self.next_id - 1

    def is_idle(self) -> bool:
        """Returns whether no slot is in use or lent, so that a stop of the node is clean."""
        return not self.grants and not self.loans

    def check_invariants(self) -> None:
        """Raises LedgerError if a slot is counted twice or not at all, or a count is wrong."""
        for engine_id, engine_slots in self.engines.items():
            free = set(engine_slots.free)
            if len(free) != len(engine_slots.free):
                raise LedgerError(f"{engine_id}: a slot is twice in the free list")
            for index in engine_slots.owned:
                slot = SlotId(engine_id, index)
                grant = self.grants.get(slot)
                states = [index in free, slot in self.loans, bool(grant and not grant.lender)]
                if sum(states) > 1 or (index in engine_slots.pending and index in free):
                    raise LedgerError(f"{slot}: more than one of free, pending, lent and in use")
                if index not in engine_slots.pending and not any(states) and grant is None:
                    raise LedgerError(f"{slot}: neither free, pending, lent nor in use")
            if free - engine_slots.owned:
                raise LedgerError(f"{engine_id}: free slots that the node does not own")
        running: dict[str, int] = {}
        for slot in self.grants:
            running[slot.engine_id] = running.get(slot.engine_id, 0) + 1
        for engine_id, engine_slots in self.engines.items():
            if engine_slots.running != running.get(engine_id, 0):
                raise LedgerError(f"{engine_id}: wrong count of running requests")
        for slot in self.reassigned_slots:
            if slot not in self.grants and slot not in self.loans:
                raise LedgerError(f"{slot}: listed as reassigned, but neither in use nor lent")
