"""Slot ledger of one node: slots that it owns, uses, lends and borrows.

Slot *i* of an engine is one right to have one request at that engine. Ownership is divided over
the nodes by the release note, so the capacity of an engine holds without fresh numbers from
other nodes. Source: the escrow method (O'Neil 1986). All times are seconds on the node's own
CLOCK_BOOTTIME.
"""

import heapq
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from tanagerworks.errors import TanagerError
from tanagerworks.note.model import Statement
from tanagerworks.routing.ranking import rank_equally

# Up to this many nodes every node owns slots of every engine.
ALL_OWNERS_LIMIT = 16
MIN_OWNERS = 3
SLOTS_PER_OWNER = 8
# Covers the pause between the last check of a router and its write, and clock rate differences.
HOLD_MARGIN_S = 2.0
# Used for a slot that a router reports before the note with its engine is known.
UNKNOWN_MAX_WORK_S = 600.0
# Ended claim ids are remembered so that a delayed Borrow cannot take a slot for a claim that ended.
MAX_ENDED_CLAIMS = 4096


class LedgerError(TanagerError):
    """The ledger broke one of its invariants."""

    code = "ledger_invariant"


@dataclass(frozen=True, order=True, slots=True)
class SlotId:
    """One slot of one engine."""

    engine_id: str
    index: int


@dataclass(slots=True)
class Grant:
    """A slot in use by a router; `lender` is empty for a slot that the node owns.

    The router may start work until `start_by_s`. Own slots have this limit too: with it, a hold
    time after a restart is enough even if a router was paused, and a slot whose release was lost
    is free again at `ends_by_s`. `loan_id` names the loan at the lender.
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
    """A slot that a peer holds, until it returns it or `expires_at_s`."""

    slot: SlotId
    loan_id: int
    borrower: str
    claim_key: tuple[str, int, str]
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
    # Gained slots that wait for the other nodes, with the serial that gave them.
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
    """Returns the time after which no work of a lost node can still be at an engine."""
    return statement.rules.max_lent_s + max_work_s + HOLD_MARGIN_S


class SlotLedger:
    """The slots of one node: owned, used by its routers, lent to peers and borrowed from them.

    `first_grant_id` differs between incarnations, so that a grant of an earlier process is never
    taken for one of this process. A ledger starts on hold; see `confirm_start`.
    """

    def __init__(self, node_id: str, first_grant_id: int = 1) -> None:
        self.node_id = node_id
        self.next_id = first_grant_id
        self.serial = 0
        self.max_lent_s = 0.0
        self.engines: dict[str, _EngineSlots] = {}
        self.owners_of: dict[str, list[str]] = {}
        self.node_ids: list[str] = []
        self.grants: dict[SlotId, Grant] = {}
        self.loans: dict[SlotId, Loan] = {}
        self.loans_by_claim: dict[tuple[str, int, str], Loan] = {}
        self.ended_claims: OrderedDict[tuple[str, int, str], None] = OrderedDict()
        # Slots in use or lent that a note gave to another node, with the serial of that note.
        self.reassigned_in_use: dict[SlotId, int] = {}
        # Own notes may count as drained from these times on: (serial, time).
        self.withdrawn_holds: list[tuple[int, float]] = []
        # Engines with gained slots that wait, and engines that leave once their work has ended.
        self.engines_with_pending: set[str] = set()
        self.retiring_engines: set[str] = set()
        self.confirmed = False
        self.hold_until_s = math.inf
        self.peers: frozenset[str] = frozenset()
        self.drained_serials: dict[str, int] = {}
        # Every node of the note with this serial was seen to have drained its lost slots.
        self.all_drained_serial = 0
        self.newest_serial = 0

    # Notes.

    def apply_statement(
        self, statement: Statement, serial: int, now_s: float, clean_nodes: Collection[str] = ()
    ) -> None:
        """Takes over the ownership that a note gives.

        `clean_nodes` are nodes known to have ended all work; they need no hold time when the note
        withdraws them.
        """
        first = self.serial == 0
        self._hold_for_withdrawn(statement, serial, now_s, clean_nodes)
        self.serial = serial
        self.max_lent_s = statement.rules.max_lent_s
        self.peers = frozenset(statement.nodes) - {self.node_id}
        self.owners_of = {}
        self.node_ids = list(statement.nodes)
        for engine_id, engine in statement.engines.items():
            account = self.engines.get(engine_id)
            if account is None:
                account = self.engines[engine_id] = _EngineSlots(engine.slots, engine.max_work_s)
            account.slots = engine.slots
            account.max_work_s = engine.max_work_s
            self.retiring_engines.discard(engine_id)
            owned = owned_indexes(self.node_id, engine_id, engine.slots, statement.nodes)
            self._set_owned(engine_id, account, owned, serial)
        for engine_id in self.engines.keys() - statement.engines.keys():
            self.engines[engine_id].slots = 0
            self.retiring_engines.add(engine_id)
            self._set_owned(engine_id, self.engines[engine_id], set(), serial)
        for slot, lost_serial in self.reassigned_in_use.items():
            self.reassigned_in_use[slot] = lost_serial or serial
        if first:
            work_s = max((e.max_work_s for e in statement.engines.values()), default=0.0)
            self.hold_until_s = now_s + hold_time_s(statement, work_s)
        self.tick(now_s)

    def _hold_for_withdrawn(
        self, statement: Statement, serial: int, now_s: float, clean_nodes: Collection[str]
    ) -> None:
        withdrawn = self.peers - statement.nodes.keys() - set(clean_nodes)
        if withdrawn:
            work_s = [account.max_work_s for account in self.engines.values()]
            lent_s = max(self.max_lent_s, statement.rules.max_lent_s)
            until_s = now_s + lent_s + max(work_s, default=0.0) + HOLD_MARGIN_S
            self.withdrawn_holds.append((serial, until_s))

    def _set_owned(
        self, engine_id: str, account: _EngineSlots, owned: set[int], serial: int
    ) -> None:
        for index in account.owned - owned:
            account.pending.pop(index, None)
            slot = SlotId(engine_id, index)
            if slot in self.grants or slot in self.loans:
                self.reassigned_in_use[slot] = serial
        for index in owned - account.owned:
            account.pending[index] = serial
            slot = SlotId(engine_id, index)
            # Reported by a router before any note was in force.
            if self.reassigned_in_use.get(slot) == 0:
                del self.reassigned_in_use[slot]
        if account.pending:
            self.engines_with_pending.add(engine_id)
        else:
            self.engines_with_pending.discard(engine_id)
        if owned != account.owned:
            account.owned = owned
            self._rebuild_free(engine_id, account)

    def _rebuild_free(self, engine_id: str, account: _EngineSlots) -> None:
        account.free = [
            index
            for index in account.owned
            if index not in account.pending
            and SlotId(engine_id, index) not in self.grants
            and SlotId(engine_id, index) not in self.loans
        ]
        heapq.heapify(account.free)

    def confirm_start(self, now_s: float) -> None:
        """Ends the hold after a start: every peer knows of no unclean predecessor."""
        self.confirmed = True
        self.hold_until_s = now_s
        self.tick(now_s)

    def is_on_hold(self, now_s: float) -> bool:
        """Returns whether the own slots still wait because of a predecessor's work."""
        return now_s < self.hold_until_s

    def update_serials(
        self, node_id: str, note_serial: int, drained_serial: int, all_drained_serial: int
    ) -> None:
        """Takes a peer's newest report of its note, its drained serial and that of all nodes.

        The drained serial of a node can go back: a new process may start on an older note.
        """
        self.drained_serials[node_id] = drained_serial
        self.all_drained_serial = max(self.all_drained_serial, all_drained_serial)
        self.newest_serial = max(self.newest_serial, note_serial)

    def drained_serial(self, now_s: float) -> int:
        """Returns the highest serial whose lost slots are all out of use at this node.

        A node on hold does not know what its predecessor's routers use, so it reports 0. A note
        that withdrew nodes counts only after the hold time, since their work may still run.
        """
        if now_s < self.hold_until_s:
            return 0
        waiting = list(self.reassigned_in_use.values())
        waiting += [serial for serial, until_s in self.withdrawn_holds if now_s < until_s]
        return min(waiting) - 1 if waiting else self.serial

    def tick(self, now_s: float) -> None:
        """Ends expired loans and grants of lost routers, and opens gained slots."""
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
            account = self.engines[engine_id]
            if self._open_pending(account):
                self._rebuild_free(engine_id, account)
            if not account.pending:
                self.engines_with_pending.remove(engine_id)

    def _all_drained(self, now_s: float) -> bool:
        if self.drained_serial(now_s) < self.serial:
            return False
        # A report counts only for the note in force: its node list is the one that was checked.
        return all(self.drained_serials.get(peer, 0) >= self.serial for peer in self.peers)

    def _open_pending(self, account: _EngineSlots) -> bool:
        if self.newest_serial > self.serial:
            # A newer note exists and may have given the slots to another node.
            return False
        opened = [i for i, serial in account.pending.items() if serial <= self.all_drained_serial]
        for index in opened:
            del account.pending[index]
        return bool(opened)

    # Claims of the node's own routers.

    def claim_slot(
        self, engine_id: str, below_index: int, holder: str, now_s: float
    ) -> Grant | None:
        """Grants the node's free slot with the lowest index, if that is below `below_index`."""
        index = self.lowest_free(engine_id, now_s)
        if index is None or index >= below_index:
            return None
        account = self.engines[engine_id]
        heapq.heappop(account.free)
        slot = SlotId(engine_id, index)
        start_by_s = now_s + self.max_lent_s
        return self._grant(slot, account.max_work_s, start_by_s, holder)

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
        """Returns the lowest index of the node's free slots of an engine."""
        account = self.engines.get(engine_id)
        if account is None or not account.free or now_s < self.hold_until_s:
            return None
        return account.free[0]

    def free_count(self, engine_id: str, now_s: float) -> int:
        """Returns the number of the node's free slots of an engine."""
        account = self.engines.get(engine_id)
        if account is None or now_s < self.hold_until_s:
            return 0
        return len(account.free)

    def owned_count(self, engine_id: str) -> int:
        """Returns the number of an engine's slots that the node owns."""
        account = self.engines.get(engine_id)
        return len(account.owned) if account else 0

    def owners(self, engine_id: str) -> list[str]:
        """Returns the nodes that own slots of an engine by the note in force."""
        owners = self.owners_of.get(engine_id)
        if owners is None:
            account = self.engines.get(engine_id)
            owners = slot_owners(engine_id, account.slots if account else 0, self.node_ids)
            self.owners_of[engine_id] = owners
        return owners

    def running_count(self, engine_id: str) -> int:
        """Returns the number of this node's requests at an engine, on own and borrowed slots."""
        account = self.engines.get(engine_id)
        return account.running if account else 0

    def release_slot(self, slot: SlotId, grant_id: int) -> Grant | None:
        """Ends a grant; returns it, or None if it is not the one in use."""
        grant = self.grants.get(slot)
        if grant is None or grant.grant_id != grant_id:
            return None
        self._end_grant(grant)
        return grant

    def _end_grant(self, grant: Grant) -> None:
        del self.grants[grant.slot]
        self.engines[grant.slot.engine_id].running -= 1
        self._add_to_free(grant.slot)

    def _add_to_free(self, slot: SlotId) -> None:
        self.reassigned_in_use.pop(slot, None)
        account = self.engines.get(slot.engine_id)
        if account is None or slot.index not in account.owned or slot.index in account.pending:
            return
        heapq.heappush(account.free, slot.index)

    def restore_grant(self, slot: SlotId, grant_id: int, holder: str, now_s: float) -> Grant:
        """Takes a slot that a router reports to hold, for instance after an agent restart."""
        known = self.grants.get(slot)
        if known is not None:
            if known.grant_id == grant_id:
                known.holder = holder
                known.ends_by_s = known.start_by_s + known.max_work_s + HOLD_MARGIN_S
            return known
        account = self.engines.get(slot.engine_id)
        if account is None:
            account = self.engines[slot.engine_id] = _EngineSlots(0, UNKNOWN_MAX_WORK_S)
            self.retiring_engines.add(slot.engine_id)
        if slot.index in account.owned:
            if slot.index in account.free:
                account.free.remove(slot.index)
                heapq.heapify(account.free)
        else:
            # Lost by a note or borrowed by the predecessor; the note counts as drained after it.
            self.reassigned_in_use[slot] = self.serial
        # The router may not have started yet.
        lent_s = self.max_lent_s or UNKNOWN_MAX_WORK_S
        grant = self._grant(slot, account.max_work_s, now_s + lent_s, holder)
        grant.grant_id = grant_id
        return grant

    def mark_holder_lost(self, holder: str, now_s: float) -> None:
        """Keeps the slots of a lost router as used until its work must have ended."""
        for grant in self.grants.values():
            if grant.holder == holder:
                grant.ends_by_s = min(grant.ends_by_s, now_s + grant.max_work_s + HOLD_MARGIN_S)

    # Loans to and from peers.

    def lend_slot(
        self,
        borrower: str,
        incarnation: int,
        claim_id: str,
        wishes: Iterable[tuple[str, int]],
        now_s: float,
    ) -> Loan | None:
        """Lends the first slot that fits the wishes ``(engine id, below index)``.

        A repeated claim id gets the same slot again, and its expiry moves with the new reply.
        """
        key = (borrower, incarnation, claim_id)
        loan = self.loans_by_claim.get(key)
        if loan is not None:
            loan.expires_at_s = self._expiry_s(loan, now_s)
            return loan
        if key in self.ended_claims:
            return None
        for engine_id, below_index in wishes:
            index = self.lowest_free(engine_id, now_s)
            if index is None or index >= below_index:
                continue
            account = self.engines[engine_id]
            heapq.heappop(account.free)
            slot = SlotId(engine_id, index)
            loan = Loan(
                slot, self._new_id(), borrower, key, self.max_lent_s, account.max_work_s, 0.0
            )
            loan.expires_at_s = self._expiry_s(loan, now_s)
            self.loans[slot] = self.loans_by_claim[key] = loan
            return loan
        return None

    @staticmethod
    def _expiry_s(loan: Loan, now_s: float) -> float:
        # The borrower counts from the sending of its request, which came before this reply.
        return now_s + loan.max_lent_s + loan.max_work_s + HOLD_MARGIN_S

    def accept_returned_slot(self, borrower: str, slot: SlotId, loan_id: int) -> bool:
        """Ends a loan that the borrower returns; False if it is not the one in force."""
        loan = self.loans.get(slot)
        if loan is None or loan.loan_id != loan_id or loan.borrower != borrower:
            return False
        self._end_loan(loan)
        return True

    def cancel_loan(self, borrower: str, incarnation: int, claim_id: str) -> None:
        """Ends the loan of a claim whose borrower gave up; a later Borrow for it gets nothing."""
        key = (borrower, incarnation, claim_id)
        loan = self.loans_by_claim.get(key)
        if loan is not None:
            self._end_loan(loan)
        else:
            self._record_ended_claim(key)

    def _end_loan(self, loan: Loan) -> None:
        del self.loans[loan.slot]
        del self.loans_by_claim[loan.claim_key]
        self._record_ended_claim(loan.claim_key)
        self._add_to_free(loan.slot)

    def _record_ended_claim(self, key: tuple[str, int, str]) -> None:
        self.ended_claims[key] = None
        if len(self.ended_claims) > MAX_ENDED_CLAIMS:
            self.ended_claims.popitem(last=False)

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
        """Grants a borrowed slot to a router; None if it cannot be used any more."""
        if now_s >= start_by_s or slot in self.grants:
            return None
        account = self.engines.get(slot.engine_id)
        if account is None:
            return None
        work_s = min(max_work_s, account.max_work_s)
        return self._grant(slot, work_s, start_by_s, holder, lender, loan_id)

    def _new_id(self) -> int:
        self.next_id += 1
        return self.next_id - 1

    def is_idle(self) -> bool:
        """Returns whether no slot is used or lent, so that the node may announce a clean stop."""
        return not self.grants and not self.loans

    def check_invariants(self) -> None:
        """Raises LedgerError if a slot is counted twice or not at all."""
        for engine_id, account in self.engines.items():
            free = set(account.free)
            if len(free) != len(account.free):
                raise LedgerError(f"{engine_id}: a slot is free twice")
            for index in account.owned:
                slot = SlotId(engine_id, index)
                grant = self.grants.get(slot)
                places = [index in free, slot in self.loans, bool(grant and not grant.lender)]
                if sum(places) > 1 or (index in account.pending and index in free):
                    raise LedgerError(f"{slot}: free, lent and used overlap")
                if index not in account.pending and not any(places) and grant is None:
                    raise LedgerError(f"{slot}: neither free, lent nor used")
            if free - account.owned:
                raise LedgerError(f"{engine_id}: free slots that the node does not own")
        running: dict[str, int] = {}
        for slot in self.grants:
            running[slot.engine_id] = running.get(slot.engine_id, 0) + 1
        for engine_id, account in self.engines.items():
            if account.running != running.get(engine_id, 0):
                raise LedgerError(f"{engine_id}: wrong count of running requests")
        for slot in self.reassigned_in_use:
            if slot not in self.grants and slot not in self.loans:
                raise LedgerError(f"{slot}: counted as left over, but not in use")
