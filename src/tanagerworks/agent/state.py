"""State of the node agent, changed only on its event loop."""

import asyncio
import logging
import os
from collections.abc import Callable, Coroutine, Iterable, Sequence
from random import Random
from typing import Protocol

from tanagerworks.clock import boot_time_s
from tanagerworks.note.model import Note, ZoneState
from tanagerworks.program import EXIT_FAILED
from tanagerworks.routing.claims import (
    Claim,
    Decision,
    Effect,
    Evidence,
    Granted,
    MustBorrow,
    NodeReport,
    Refused,
    ReturnSlot,
)
from tanagerworks.routing.scheduler import NodeScheduler
from tanagerworks.routing.slots import LedgerError, Loan, SlotId, SlotLedger
from tanagerworks.rpc.tanager_pb2 import (
    ChatException,
    EngineView,
    FreeSlots,
    NodeEntry,
    ServiceView,
    View,
    WarmAnswers,
)

_LOGGER = logging.getLogger(__name__)
# Interval at which waiting claims are retried and expired ones are refused.
TICK_PERIOD_S = 0.1
# A node without peers cannot ask them for earlier processes of its own, so it gives its routers
# this long to report the slots that they hold.
ROUTER_REPORT_TIMEOUT_S = 0.5


class SlotBorrower(Protocol):
    """Interface for borrowing slots from peers."""

    async def borrow_slot(
        self, lender: str, borrow_id: str, wanted_slots: Sequence[tuple[str, int]]
    ) -> tuple[SlotId, int, float, float] | None:
        """Asks `lender` for one of `wanted_slots`, pairs of engine id and slot index limit.

        Returns (slot, loan id, seconds after the sending of the request in which work may start,
        max_work_s), or None.
        """

    async def return_slot(self, lender: str, slot: SlotId, loan_id: int) -> None:
        """Returns a borrowed slot."""


class AgentState:
    """The note in force, the node's scheduler and the claims that wait for a decision."""

    def __init__(
        self,
        node_id: str,
        *,
        invariants: bool = False,
        clock: Callable[[], float] = boot_time_s,
        random: Random | None = None,
    ) -> None:
        self.node_id = node_id
        self.invariants = invariants
        self.clock = clock
        random = random or Random()
        # Grant ids of two processes of one node must not collide, so they start at a random number.
        self.scheduler = NodeScheduler(node_id, random, (random.getrandbits(40) << 20) + 1)
        self.incarnation = int(clock() * 1000)
        self.note: Note | None = None
        self.slot_borrower: SlotBorrower | None = None
        # True during a drain by an operator and the shutdown: routers report not ready, and peers
        # get no slots.
        self.draining = False
        # True after the notice period of a drain or shutdown: claims of routers are refused.
        self.refuses_claims = False
        # Names in the platform's VM list that are marked as leaving.
        self.leaving_servers: frozenset[str] = frozenset()
        self.stopping = asyncio.Event()
        self.changed = asyncio.Event()
        self.waiting_claims: dict[str, asyncio.Future[Granted | Refused]] = {}
        self.incarnations: dict[str, int] = {}
        # Running counts last written to this node's entry, their time stamp, and whether a Borrow
        # or its reply has carried counts since then.
        self.reported_counts: dict[str, int] | None = None
        self.counts_reported_at_s = 0.0
        self.counts_sent_in_borrow = False
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def ledger(self) -> SlotLedger:
        """The node's slot ledger."""
        return self.scheduler.ledger

    # Notes and views.

    def apply_note(self, note: Note, clean_nodes: Iterable[str] = ()) -> None:
        """Puts a note in force."""
        self.note = note
        self.apply_effects(self.scheduler.apply_note(note, self.clock(), list(clean_nodes)))
        if not self.ledger.start_hold_ended and not self.ledger.peers:
            asyncio.get_running_loop().call_later(ROUTER_REPORT_TIMEOUT_S, self.end_start_hold)
        self.notify_watchers()

    def end_start_hold(self) -> None:
        """Ends the hold after a start; no earlier process may have work that is not reported."""
        if not self.ledger.start_hold_ended:
            self.apply_effects(self.scheduler.end_start_hold(self.clock()))

    def notify_watchers(self) -> None:
        """Wakes all watchers of the view."""
        self.changed.set()
        self.changed = asyncio.Event()

    def record_contact(self) -> None:
        """Records contact with the platform or a peer, which shows that the state is current."""
        self.scheduler.freshness.record_contact(self.clock())

    def build_view(self, known_serial: int) -> View:
        """Returns the view for a router that has the note `known_serial`."""
        view = View(node_id=self.node_id, draining=self.draining, ready=self.note is not None)
        view.incarnation = self.incarnation
        view.sent_at_boot_s = boot_time_s()
        if self.note is None:
            return view
        now_s = self.clock()
        freshness = self.scheduler.freshness
        if freshness.was_ever_seen:
            view.age_s = freshness.age_s(now_s)
        view.note_serial = self.note.serial
        if self.note.serial != known_serial:
            view.note = self.note.canonical_json()
        for engine_id in self.note.statement.engines:
            view.engines.append(
                EngineView(
                    engine_id=engine_id,
                    eligible=self.scheduler.is_eligible(engine_id, now_s),
                    boot_id=self.scheduler.cold_starts.boot_id(engine_id),
                    allowance=self.scheduler.allowance(engine_id),
                )
            )
        for name, service in self.note.statement.services.items():
            addresses = [
                server.address
                for server_name, server in service.servers.items()
                if server_name not in self.leaving_servers
                and self.note.statement.zones[server.zone].state is ZoneState.IN
            ]
            view.services.append(ServiceView(service=name, addresses=addresses))
        view.exceptions.extend(
            _override_messages(self.scheduler.placement_overrides.newest_changes(64))
        )
        return view

    # Claims.

    async def claim_slot(self, claim: Claim) -> Granted | Refused:
        """Waits until the claim is decided; cancelling the wait removes the claim."""
        decision = self.scheduler.decide_claim(claim, self.clock())
        self._check_invariants()
        if isinstance(decision, Granted | Refused):
            return decision
        future: asyncio.Future[Granted | Refused] = asyncio.get_running_loop().create_future()
        self.waiting_claims[claim.claim_id] = future
        if isinstance(decision, MustBorrow):
            self.spawn_task(self._borrow(decision))
        try:
            return await future
        except asyncio.CancelledError:
            self.scheduler.cancel_claim(claim.claim_id)
            if future.done() and not future.cancelled():
                self._release_abandoned_grant(future.result())
            raise
        finally:
            del self.waiting_claims[claim.claim_id]

    def _release_abandoned_grant(self, decision: Granted | Refused) -> None:
        """Releases a slot that was granted to a caller that no longer waits."""
        if isinstance(decision, Granted):
            self.release_slot(decision.grant.slot, decision.grant.grant_id, None)

    def release_slot(self, slot: SlotId, grant_id: int, evidence: Evidence | None) -> None:
        """Ends a grant and applies what the router observed at the engine, if anything."""
        self.apply_effects(self.scheduler.release_slot(slot, grant_id, evidence, self.clock()))

    def apply_effects(self, effects: Iterable[Effect]) -> None:
        """Carries out the scheduler's effects: borrows, returns and decisions on waiting claims."""
        self._check_invariants()
        for effect in effects:
            if isinstance(effect, MustBorrow):
                self.spawn_task(self._borrow(effect))
            elif isinstance(effect, ReturnSlot):
                if self.slot_borrower is not None:
                    self.spawn_task(
                        self.slot_borrower.return_slot(effect.lender, effect.slot, effect.loan_id)
                    )
            else:
                self._resolve_claim(effect)

    def _resolve_claim(self, decision: Granted | Refused) -> None:
        future = self.waiting_claims.get(decision.claim.claim_id)
        if future is None or future.done():
            self._release_abandoned_grant(decision)
            return
        future.set_result(decision)

    async def _borrow(self, wanted: MustBorrow) -> None:
        decision: Decision | None = wanted
        while isinstance(decision, MustBorrow):
            peer = decision.peers[0]
            sent_at_s = self.clock()
            loan = None
            if self.slot_borrower is not None:
                loan = await self.slot_borrower.borrow_slot(
                    peer, decision.borrow_id, decision.wanted_slots
                )
            decision, effects = self.scheduler.handle_borrow_reply(
                decision.borrow_id, peer, loan, sent_at_s, self.clock()
            )
            self.apply_effects(effects)
        if isinstance(decision, Granted | Refused):
            self._resolve_claim(decision)

    def lend_slot(
        self, borrower: str, incarnation: int, borrow_id: str, wanted_slots: list[tuple[str, int]]
    ) -> Loan | None:
        """Lends a slot to a peer; returns None while this node is drained or shutting down."""
        if self.draining:
            return None
        loan = self.scheduler.lend_slot(
            borrower, incarnation, borrow_id, wanted_slots, self.clock()
        )
        self._check_invariants()
        return loan

    def spawn_task(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine in the background; a failure is logged."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error("background task failed", exc_info=task.exception())

    def _check_invariants(self) -> None:
        if not self.invariants:
            return
        try:
            self.scheduler.check_invariants()
        except LedgerError:
            _LOGGER.critical("ledger invariant violated; the process exits", exc_info=True)
            logging.shutdown()
            os._exit(EXIT_FAILED)

    # Time and shutdown.

    async def run_ticks(self) -> None:
        """Ticks the scheduler until cancelled."""
        while True:
            self.apply_effects(self.scheduler.tick(self.clock()))
            await asyncio.sleep(TICK_PERIOD_S)

    async def drain_for_shutdown(self, notice_s: float, limit_s: float) -> bool:
        """Serves for `notice_s`, then refuses claims and waits up to `limit_s` for running work.

        Returns whether all work has ended, so that the stop is clean.
        """
        self.draining = True
        self.notify_watchers()
        await asyncio.sleep(notice_s)
        self.refuses_claims = True
        ends_at_s = self.clock() + limit_s
        while self.clock() < ends_at_s and (not self.ledger.is_idle() or self.tasks):
            await asyncio.sleep(TICK_PERIOD_S)
        self.stopping.set()
        self.notify_watchers()
        return self.ledger.is_idle()

    # Peers.

    def fill_entry(self, entry: NodeEntry, max_overrides: int = 64) -> None:
        """Writes the scheduler's part of this node's entry."""
        report = self.scheduler.build_report(self.clock(), max_overrides)
        entry.note_serial = report.note_serial
        entry.stamp_s = self._counts_time_s(report)
        entry.drained_serial = report.drained_serial
        entry.all_drained_serial = report.all_drained_serial
        entry.running = sum(report.running.values())
        if self.note is not None:
            engine_ids = sorted(self.note.statement.engines)
            entry.running_by_engine[:] = [report.running.get(e, 0) for e in engine_ids]
        del entry.free[:], entry.warm[:], entry.exceptions[:]
        for engine_id, (lowest, count) in report.free.items():
            entry.free.append(FreeSlots(engine_id=engine_id, lowest=lowest, count=count))
        for engine_id, boot_id, answers in report.warm_answers:
            entry.warm.append(WarmAnswers(engine_id=engine_id, boot_id=boot_id, answers=answers))
        entry.exceptions.extend(_override_messages(report.placement_overrides))

    def _counts_time_s(self, report: NodeReport) -> float:
        """Returns the time stamp of the running counts, the same as long as they are the same.

        An entry without other changes then need not be sent. A Borrow or its reply sends counts
        with a newer time stamp, and peers ignore older counts, so the next entry needs a new one.
        """
        counts = dict(report.running)
        if counts != self.reported_counts or self.counts_sent_in_borrow:
            self.reported_counts, self.counts_sent_in_borrow = counts, False
            self.counts_reported_at_s = report.stamp_s
        return self.counts_reported_at_s

    def apply_entry(self, entry: NodeEntry) -> None:
        """Applies the newest entry of a live peer."""
        if self.incarnations.get(entry.node_id) != entry.incarnation:
            # A new process may run on a new VM, whose clock is not comparable with the earlier one.
            self.scheduler.remove_node(entry.node_id)
            self.incarnations[entry.node_id] = entry.incarnation
        running: dict[str, int] = {}
        # The counts are in the order of the engine ids in the sender's note.
        if self.note is not None and entry.note_serial == self.note.serial:
            engine_ids = sorted(self.note.statement.engines)
            running = dict(zip(engine_ids, entry.running_by_engine, strict=False))
        else:
            running = self.scheduler.running_counts.by_node.get(entry.node_id, {})
        report = NodeReport(
            note_serial=entry.note_serial,
            stamp_s=entry.stamp_s,
            drained_serial=entry.drained_serial,
            all_drained_serial=entry.all_drained_serial,
            running=running,
            free={free.engine_id: (free.lowest, free.count) for free in entry.free},
            warm_answers=[(warm.engine_id, warm.boot_id, warm.answers) for warm in entry.warm],
            placement_overrides=[(item.chat_hash, item.engine_id) for item in entry.exceptions],
        )
        self.apply_effects(self.scheduler.apply_report(entry.node_id, report, self.clock()))


def _override_messages(items: Iterable[tuple[int, str]]) -> list[ChatException]:
    return [ChatException(chat_hash=chat, engine_id=engine_id) for chat, engine_id in items]
