"""Scheduler of one node: slots, load bounds, cold starts, admission and placement."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from random import Random

from tanagerworks.errors import (
    CapacityError,
    DeadlineError,
    NotReadyError,
    RateLimitError,
    RequestError,
    TanagerError,
)
from tanagerworks.note.model import Engine, Note, Statement
from tanagerworks.routing.admission import AdmissionQueue, CustomerLimits
from tanagerworks.routing.claims import (
    Claim,
    Decision,
    Effect,
    Evidence,
    Granted,
    MustBorrow,
    NodeReport,
    Queued,
    Refused,
    ReturnSlot,
)
from tanagerworks.routing.cold_start import ColdStartTracker, is_warm_first_token
from tanagerworks.routing.eligibility import Eligibility
from tanagerworks.routing.freshness import Freshness
from tanagerworks.routing.load_bound import (
    HEADROOM_REQUESTS,
    RunningCounts,
    mean_running,
    slot_index_limit,
)
from tanagerworks.routing.outliers import OutlierDetector
from tanagerworks.routing.peer_slots import PeerFreeSlots
from tanagerworks.routing.placement import (
    CandidateState,
    Placement,
    PlacementRule,
    choose_placement,
    prefer_cached,
)
from tanagerworks.routing.placement_overrides import PlacementOverrides
from tanagerworks.routing.slots import Grant, LedgerError, Loan, SlotId, SlotLedger

# Waiting claims of a class that are tried after a change; a long queue must not block the node.
QUEUE_ATTEMPTS = 8
# After no peer lent a slot of the wanted engines, a claim does not ask for these engines for this
# time.
BORROW_RETRY_S = 0.1
# A claim asks peers that report no free slot in rounds. The interval after a round starts at twice
# ASK_RETRY_S and doubles with each round, up to MAX_ASK_RETRY_S. Without it, the waiting claims of
# an overloaded node would ask continuously.
ASK_RETRY_S = 0.2
MAX_ASK_RETRY_S = 5.0
# Peers with reported free slots that are asked for a claim before it waits.
MAX_PEERS_ASKED = 4
# Owners of wanted slots, chosen at random, that are asked although they report no free slot.
MAX_OWNERS_ASKED = 4
# Largest pool whose running counts are sent with a Borrow and its answer.
MAX_POOL_COUNTS = 16
# A borrowed slot with less time left to start work is returned instead of reused.
MIN_START_S = 1.0
# Weight of the newest duration in the moving average of an engine's request durations.
_DURATION_WEIGHT = 0.05
_INITIAL_DURATION_S = 1.0


class NodeScheduler:
    """Decides on the claims of one node.

    Every method that can free slots returns the effects on waiting claims. Times are seconds on the
    node's CLOCK_BOOTTIME.
    """

    def __init__(self, node_id: str, random: Random, first_grant_id: int = 1) -> None:
        self.node_id = node_id
        self.random = random
        self.note: Note | None = None
        self.ledger = SlotLedger(node_id, first_grant_id)
        self.cold_starts = ColdStartTracker(node_id)
        self.running_counts = RunningCounts()
        self.queue = AdmissionQueue()
        self.limits = CustomerLimits()
        self.outliers = OutlierDetector()
        self.eligibility = Eligibility()
        self.placement_overrides = PlacementOverrides()
        self.freshness = Freshness()
        # Waiting and borrowing claims.
        self.claims: dict[str, Claim] = {}
        self.claims_by_borrow_id: dict[str, Claim] = {}
        self.customer_by_grant: dict[int, str] = {}
        self.start_times_s: dict[int, float] = {}
        # Moving average of the time from grant to release, by engine.
        self.mean_duration_s: dict[str, float] = {}
        # Number of waiting and borrowing claims by their first choice.
        self.waiting_by_engine: Counter[str] = Counter()
        self.peer_free = PeerFreeSlots()
        self.live_peers: set[str] = set()
        # Pools in which the last claim found no free slot at all.
        self.full_pools: set[tuple[str, str]] = set()
        # Engine ids by model and version.
        self.pools: dict[tuple[str, str], list[str]] = {}

    # Notes and state of the fleet.

    def apply_note(
        self, note: Note, now_s: float, clean_nodes: Collection[str] = ()
    ) -> list[Effect]:
        """Puts a note in force.

        `clean_nodes` are nodes that stopped cleanly; see `SlotLedger.apply_statement`.
        """
        statement = note.statement
        self.note = note
        self.ledger.apply_statement(statement, note.serial, now_s, clean_nodes)
        self.eligibility.set_statement(statement)
        self.queue.set_classes(statement.classes)
        self.cold_starts.retain_engines(set(statement.engines))
        self.outliers.retain_engines(statement.engines)
        self.live_peers &= statement.nodes.keys()
        self.pools = {}
        for engine_id, engine in statement.engines.items():
            self.pools.setdefault((engine.model, engine.version), []).append(engine_id)
        for node_id in self.running_counts.by_node.keys() - statement.nodes.keys():
            self.remove_node(node_id)
        return self._serve_queue(now_s)

    def end_start_hold(self, now_s: float) -> list[Effect]:
        """Ends the hold after a start; no earlier process may have work that is not reported."""
        self.ledger.end_start_hold(now_s)
        return self._serve_queue(now_s)

    def build_report(self, now_s: float, max_overrides: int = 64) -> NodeReport:
        """Returns the state that this node reports to its peers."""
        running = {}
        free = {}
        for engine_id in self.ledger.engines:
            count = self.ledger.running_count(engine_id)
            if count:
                running[engine_id] = count
            lowest = self.ledger.lowest_free(engine_id, now_s)
            if lowest is not None:
                free[engine_id] = (lowest, self.ledger.free_count(engine_id, now_s))
        return NodeReport(
            note_serial=self.ledger.serial,
            stamp_s=now_s,
            drained_serial=self.ledger.drained_serial(now_s),
            all_drained_serial=self.ledger.all_drained_serial,
            running=running,
            free=free,
            warm_answers=self.cold_starts.own_answers(),
            placement_overrides=self.placement_overrides.newest_changes(max_overrides),
        )

    def apply_report(self, node_id: str, report: NodeReport, now_s: float) -> list[Effect]:
        """Applies the newest report of a live peer."""
        if node_id == self.node_id:
            return []
        self.live_peers.add(node_id)
        self.ledger.update_serials(
            node_id, report.note_serial, report.drained_serial, report.all_drained_serial
        )
        self.running_counts.replace_counts(node_id, report.running, report.stamp_s)
        self.peer_free.replace_free_slots(node_id, report.free)
        for engine_id, boot_id, answers in report.warm_answers:
            self.cold_starts.merge_peer_answers(node_id, engine_id, boot_id, answers)
        for chat_hash, engine_id in report.placement_overrides:
            self.placement_overrides.set_override(chat_hash, engine_id)
        self.ledger.tick(now_s)
        return self._serve_queue(now_s)

    def remove_node(self, node_id: str) -> None:
        """Removes the state of a dead or withdrawn node."""
        self.live_peers.discard(node_id)
        self.running_counts.remove_node(node_id)
        self.peer_free.remove_node(node_id)

    def set_leaving(self, engine_ids: Collection[str], now_s: float) -> list[Effect]:
        """Replaces the engines whose VM is leaving."""
        if self.note is None:
            return []
        self.eligibility.set_leaving(engine_ids, now_s)
        return self._serve_queue(now_s)

    def set_engine_down(self, engine_id: str, down: bool, now_s: float) -> None:
        """Records the result of the probes of an engine."""
        if self.note is not None:
            self.eligibility.set_down(engine_id, down, now_s)

    def record_boot_id(self, engine_id: str, boot_id: str) -> None:
        """Records a boot id that an engine sent to this node; a new one means a lost cache."""
        previous = self.cold_starts.boot_id(engine_id)
        if self.cold_starts.record_boot_id(engine_id, boot_id) and previous:
            self.placement_overrides.remove_engine(engine_id)

    # Claims.

    def decide_claim(self, claim: Claim, now_s: float) -> Decision:
        """Returns the decision on a new claim.

        It is Granted or Refused; MustBorrow if the caller has to ask peers for a slot and pass
        their replies to `handle_borrow_reply`; or Queued, then effects of later calls decide it.
        """
        if self.note is None:
            return self._refuse(claim, NotReadyError, "no release note is in force")
        statement = self.note.statement
        customer = statement.customers.get(claim.customer)
        request_class = statement.classes.get(claim.request_class)
        if customer is None or request_class is None:
            return self._refuse(claim, RequestError, "unknown customer or request class")
        nodes = self.live_node_count(statement)
        if self.limits.is_at_stream_limit(claim.customer, customer, nodes):
            return self._refuse(claim, RateLimitError, "the customer is over max_streams")
        wait_s = self.limits.take_token(claim.customer, customer, nodes, now_s)
        if wait_s:
            reason = "the customer is over requests_per_s"
            return self._refuse(claim, RateLimitError, reason, wait_s)
        claim.add_trace_step("admit", "within the customer's limits")
        if claim.chat_hash:
            cached_engine_id = self.placement_overrides.get(claim.chat_hash)
            claim.candidates = prefer_cached(claim.candidates, cached_engine_id)
        decision = self._try_claim(claim, now_s)
        return decision if decision is not None else self._enqueue(claim, now_s)

    def live_node_count(self, statement: Statement) -> int:
        """Returns the number of nodes over which the customers' limits are divided."""
        # Without a live peer, as before the first report or in a partition, it is the number of all
        # nodes of the note.
        return 1 + len(self.live_peers) if self.live_peers else len(statement.nodes)

    def _refuse(
        self,
        claim: Claim,
        error: type[TanagerError],
        reason: str,
        retry_after_s: float | None = None,
    ) -> Refused:
        claim.add_trace_step("refuse", reason)
        self._remove_claim(claim)
        after_s = error.retry_after_s if retry_after_s is None else retry_after_s
        return Refused(claim, error, reason, after_s or 0.0)

    def _refuse_ended(self, claim: Claim) -> Refused:
        """Refuses a claim that the full queue has dropped, or whose deadline has passed."""
        if claim.dropped:
            reason = "dropped from the full queue for another customer's claim"
            return self._refuse(claim, CapacityError, reason)
        return self._refuse(claim, DeadlineError, "the deadline passed")

    def _remove_claim(self, claim: Claim) -> None:
        if self.claims.pop(claim.claim_id, None) is not None:
            self.waiting_by_engine[claim.candidates[0].engine_id] -= 1
        self._end_borrowing(claim)
        self.queue.remove(claim.claim_id)

    def _store_claim(self, claim: Claim) -> None:
        if claim.claim_id not in self.claims:
            self.claims[claim.claim_id] = claim
            self.waiting_by_engine[claim.candidates[0].engine_id] += 1

    def _enqueue(self, claim: Claim, now_s: float) -> Decision:
        assert self.note is not None
        statement = self.note.statement
        customer = statement.customers.get(claim.customer)
        request_class = statement.classes.get(claim.request_class)
        if claim.claim_id in self.queue:
            return Queued(claim)
        if customer is None or request_class is None:
            return self._refuse(claim, RequestError, "customer or class was withdrawn")
        if claim.deadline_s <= now_s or claim.dropped:
            return self._refuse_ended(claim)
        self._store_claim(claim)
        dropped = self.queue.push(
            claim.request_class,
            claim.claim_id,
            claim.customer,
            customer.weight,
            claim.deadline_s,
            request_class.max_queue,
        )
        if dropped == claim.claim_id:
            return self._refuse(claim, CapacityError, "the queue of the class is full")
        if dropped is not None:
            # Refused at the next tick: this call answers only for the new claim.
            self.claims[dropped].dropped = True
        claim.add_trace_step("queue", "waits for a slot")
        return Queued(claim)

    def _try_claim(self, claim: Claim, now_s: float) -> Granted | MustBorrow | Refused | None:
        """Tries to place a claim; returns None if it has to wait."""
        placement = self._place_claim(claim, now_s)
        if placement is None:
            return self._refuse(claim, CapacityError, "no engine is in service")
        if placement.rule is PlacementRule.OWN:
            grant = self.ledger.claim_slot(*placement.wanted_slots[0], claim.holder, now_s)
            if grant is not None:
                return self._record_grant(claim, grant, now_s)
        if placement.rule is PlacementRule.BORROW:
            return self._borrow(claim, placement, now_s)
        pool = self._preferred_pool(claim)
        if placement.no_free_slot and pool is not None:
            self.full_pools.add(pool)
        return None

    def _place_claim(self, claim: Claim, now_s: float) -> Placement | None:
        states = self._candidate_states(claim, now_s)
        if not states:
            return None
        mean_index_limit, load_index_limit = self._load_index_limits(states[0].engine_id, now_s)
        placement = choose_placement(
            states, mean_index_limit, load_index_limit, now_s - claim.arrived_at_s
        )
        claim.add_trace_step(
            "place",
            f"{placement.rule.value} {placement.wanted_slots[0][0]}"
            f" below {placement.wanted_slots[0][1]},"
            f" bound {load_index_limit}: {placement.reason}",
        )
        return placement

    def preview_placement(self, claim: Claim, now_s: float) -> Placement | None:
        """Returns the placement that a claim would get now, None without an eligible engine.

        No slot is claimed. The stages are in the claim's trace.
        """
        cached_engine_id = self.placement_overrides.engines.get(claim.chat_hash)
        claim.candidates = prefer_cached(claim.candidates, cached_engine_id)
        return self._place_claim(claim, now_s)

    def _candidate_states(self, claim: Claim, now_s: float) -> list[CandidateState]:
        assert self.note is not None
        states = []
        if now_s >= claim.borrow_retry_at_s:
            claim.refused_engines.clear()
        may_ask = bool(self.ledger.peers) and now_s >= claim.ask_retry_at_s
        for candidate in claim.candidates:
            engine_id = candidate.engine_id
            engine = self.note.statement.engines.get(engine_id)
            if engine is None:
                continue
            reason = self.ineligible_reason(engine_id, now_s)
            if reason is not None:
                claim.add_trace_step("rank", f"{engine_id} gets no new work: {reason}")
                continue
            peer_index = None
            if engine_id not in claim.refused_engines:
                peer_index = self.peer_free.lowest_index(engine_id)
            allowance = self._allowance(engine_id, engine)
            states.append(
                CandidateState(
                    engine_id,
                    candidate.recompute_s,
                    allowance,
                    self.ledger.lowest_free(engine_id, now_s),
                    peer_index,
                    self._expected_wait_s(engine_id, allowance),
                    load=self._load(engine_id),
                    may_ask_peers=may_ask and engine_id not in claim.refused_engines,
                )
            )
        return states

    def allowance(self, engine_id: str) -> int:
        """Returns the slot index below which an engine's slots may be used, 0 if it is unknown."""
        engine = self.note.statement.engines.get(engine_id) if self.note else None
        return self._allowance(engine_id, engine) if engine else 0

    def _allowance(self, engine_id: str, engine: Engine) -> int:
        assert self.note is not None
        answers = self.note.statement.rules.warm_answers
        return self.cold_starts.allowance(engine_id, engine.slots, engine.cold_slots, answers)

    def _expected_wait_s(self, engine_id: str, allowance: int) -> float:
        duration_s = self.mean_duration_s.get(engine_id, _INITIAL_DURATION_S)
        return duration_s * (1 + self.waiting_by_engine[engine_id]) / max(1, allowance)

    def _load(self, engine_id: str) -> int:
        """Returns the number of requests at an engine: own ones and those that peers reported."""
        return self.running_counts.total_running(engine_id) + self.ledger.running_count(engine_id)

    def _load_index_limits(self, engine_id: str, now_s: float) -> tuple[int, int]:
        """Returns the slot index limits at the mean load and at the load bound of an engine's pool.

        The pool is all eligible engines with the same model version.
        """
        assert self.note is not None
        statement = self.note.statement
        engine = statement.engines[engine_id]
        running = {}
        for other in self.pools[(engine.model, engine.version)]:
            if self.is_eligible(other, now_s):
                running[other] = self._load(other)
        mean = mean_running(running)
        load_index_limit = slot_index_limit(statement.rules.load_multiple, mean, HEADROOM_REQUESTS)
        return slot_index_limit(1.0, mean), load_index_limit

    def is_eligible(self, engine_id: str, now_s: float) -> bool:
        """Returns whether an engine may receive new work."""
        return self.ineligible_reason(engine_id, now_s) is None

    def ineligible_reason(self, engine_id: str, now_s: float) -> str | None:
        """Returns why an engine may not receive new work, None if it may."""
        if self.note is None:
            return "no release note is in force"
        reason = self.eligibility.ineligible_reason(engine_id, now_s)
        if reason is not None:
            return reason.value
        return "ejected" if self.outliers.is_ejected(engine_id, now_s) else None

    def _charge_unqueued(self, claim: Claim) -> None:
        """Charges the customer for a slot without a wait, as the queue does for those that wait."""
        assert self.note is not None
        customer = self.note.statement.customers.get(claim.customer)
        queue = self.queue.queues.get(claim.request_class)
        if customer is not None and queue is not None:
            queue.charge_customer(claim.customer, customer.weight)

    def _record_grant(self, claim: Claim, grant: Grant, now_s: float) -> Granted:
        assert self.note is not None
        engine_id = grant.slot.engine_id
        if claim.claim_id in self.queue:
            self.queue.remove_served(claim.claim_id)
        else:
            self._charge_unqueued(claim)
        self._remove_claim(claim)
        self.limits.record_start(claim.customer)
        self.customer_by_grant[grant.grant_id] = claim.customer
        self.start_times_s[grant.grant_id] = now_s
        cold = grant.slot.index < self.note.statement.engines[engine_id].cold_slots
        claim.add_trace_step(
            "grant", f"{engine_id} slot {grant.slot.index} {grant.lender or 'own'}"
        )
        return Granted(claim, grant, self.cold_starts.boot_id(engine_id), cold)

    def cancel_claim(self, claim_id: str) -> bool:
        """Removes a claim whose caller has left; returns whether it was known."""
        claim = self.claims.get(claim_id)
        if claim is None:
            return False
        self._remove_claim(claim)
        return True

    # Borrowing and lending.

    def _borrow(self, claim: Claim, placement: Placement, now_s: float) -> MustBorrow | None:
        free_counts: Counter[str] = Counter()
        for engine_id, index_limit in placement.wanted_slots:
            for node_id, (lowest, count) in self.peer_free.free_by_peer(engine_id).items():
                if lowest < index_limit:
                    free_counts[node_id] += count
        # Peers with many free slots come first, as some are probably still free.
        by_free_count = sorted(
            free_counts, key=lambda node: (-free_counts[node], self.random.random())
        )
        peers = by_free_count[:MAX_PEERS_ASKED]
        if placement.ask_other_owners:
            claim.ask_rounds += 1
            claim.ask_retry_at_s = now_s + min(MAX_ASK_RETRY_S, ASK_RETRY_S * 2.0**claim.ask_rounds)
            owners: set[str] = set()
            for engine_id, index_limit in placement.wanted_slots:
                owners.update(self.ledger.owners(engine_id)[:index_limit])
            others = sorted(owners - {self.node_id, *peers})
            peers += self.random.sample(others, min(len(others), MAX_OWNERS_ASKED))
        if not peers:
            return None
        claim.peers = peers
        claim.wanted_slots = placement.wanted_slots
        claim.borrowing = True
        claim.borrow_attempts += 1
        self._store_claim(claim)
        self.claims_by_borrow_id[claim.borrow_id] = claim
        return MustBorrow(claim, claim.borrow_id, tuple(claim.peers), claim.wanted_slots)

    def handle_borrow_reply(
        self,
        borrow_id: str,
        lender: str,
        loan: tuple[SlotId, int, float, float] | None,
        sent_at_s: float,
        now_s: float,
    ) -> tuple[Decision | None, list[Effect]]:
        """Applies a peer's answer to a Borrow.

        `loan` is None or (slot, loan id, seconds in which work may start, max_work_s); the seconds
        count from `sent_at_s`, the sending of the request. Returns the decision on the claim, None
        if the claim is no longer waiting, and further effects.
        """
        claim = self.claims_by_borrow_id.get(borrow_id)
        if loan is not None:
            slot, loan_id, start_within_s, max_work_s = loan
            if claim is None:
                return None, [ReturnSlot(lender, slot, loan_id)]
            self._end_borrowing(claim)
            grant = None
            if self.is_eligible(slot.engine_id, now_s):
                start_by_s = sent_at_s + start_within_s
                grant = self.ledger.grant_borrowed(
                    slot, lender, loan_id, start_by_s, max_work_s, claim.holder, now_s
                )
            if grant is not None:
                return self._record_grant(claim, grant, now_s), []
            return self._retry_after_borrow(claim, now_s), [ReturnSlot(lender, slot, loan_id)]
        if claim is None:
            return None, []
        claim.add_trace_step("borrow", f"{lender} lends no slot of {claim.wanted_slots[0][0]}")
        claim.peers = [peer for peer in claim.peers if peer != lender]
        if claim.peers and claim.deadline_s > now_s and not claim.dropped:
            return MustBorrow(claim, borrow_id, tuple(claim.peers), claim.wanted_slots), []
        self._end_borrowing(claim)
        return self._retry_after_borrow(claim, now_s), []

    def _end_borrowing(self, claim: Claim) -> None:
        claim.borrowing = False
        self.claims_by_borrow_id.pop(claim.borrow_id, None)

    def pool_counts(self, engine_id: str) -> dict[str, int]:
        """Returns this node's running requests at each engine of the pool of `engine_id`.

        They are sent with a Borrow and its answer, since reports between nodes lag by seconds.
        """
        engine = self.note.statement.engines.get(engine_id) if self.note else None
        if engine is None:
            return {}
        pool = self.pools[(engine.model, engine.version)]
        if len(pool) > MAX_POOL_COUNTS:
            # Large fleets exchange totals by pool, which counts of single engines would distort.
            return {}
        return {other: self.ledger.running_count(other) for other in pool}

    def update_running_counts(
        self, node_id: str, counts: Mapping[str, int], stamp_s: float
    ) -> None:
        """Applies the counts that came with a Borrow or its answer."""
        if node_id in self.live_peers:
            self.running_counts.update_counts(node_id, counts, stamp_s)

    def update_free_slots(
        self, node_id: str, engine_ids: Iterable[str], free: Mapping[str, tuple[int, int]]
    ) -> None:
        """Applies the free slots that a lender reported with its answer."""
        self.peer_free.update_free_slots(node_id, engine_ids, free)

    def _retry_after_borrow(self, claim: Claim, now_s: float) -> Decision:
        if not claim.refused_engines:
            claim.borrow_retry_at_s = now_s + BORROW_RETRY_S
        claim.refused_engines.update(engine_id for engine_id, _index_limit in claim.wanted_slots)
        decision = self._try_claim(claim, now_s)
        return decision if decision is not None else self._enqueue(claim, now_s)

    def lend_slot(
        self,
        borrower: str,
        incarnation: int,
        borrow_id: str,
        wanted_slots: Iterable[tuple[str, int]],
        now_s: float,
    ) -> Loan | None:
        """Lends one of `wanted_slots`, pairs of engine id and slot index limit, to a peer.

        Returns None if no slot within the allowance of its engine is free.
        """
        if self.note is None or borrower not in self.note.statement.nodes:
            return None
        allowed = []
        for engine_id, index_limit in wanted_slots:
            engine = self.note.statement.engines.get(engine_id)
            if engine is not None and self.is_eligible(engine_id, now_s):
                allowed.append((engine_id, min(index_limit, self._allowance(engine_id, engine))))
        return self.ledger.lend_slot(borrower, incarnation, borrow_id, allowed, now_s)

    def accept_returned_slot(
        self, borrower: str, slot: SlotId, loan_id: int, now_s: float
    ) -> list[Effect]:
        """Ends the loan of a slot that a borrower returns."""
        self.ledger.accept_returned_slot(borrower, slot, loan_id)
        return self._serve_queue(now_s)

    def cancel_loan(
        self, borrower: str, incarnation: int, borrow_id: str, now_s: float
    ) -> list[Effect]:
        """Ends the loan of a Borrow whose reply did not reach the borrower."""
        self.ledger.cancel_loan(borrower, incarnation, borrow_id)
        return self._serve_queue(now_s)

    # End of work.

    def release_slot(
        self, slot: SlotId, grant_id: int, evidence: Evidence | None, now_s: float
    ) -> list[Effect]:
        """Ends a grant and applies what the router observed."""
        if evidence is not None:
            self._apply_evidence(evidence, now_s)
        grant = self.ledger.release_slot(slot, grant_id)
        if grant is None:
            return []
        start_s = self.start_times_s.pop(grant_id, None)
        if start_s is not None:
            average_s = self.mean_duration_s.get(slot.engine_id, now_s - start_s)
            change_s = (now_s - start_s) - average_s
            self.mean_duration_s[slot.engine_id] = average_s + _DURATION_WEIGHT * change_s
        self.limits.record_end(self.customer_by_grant.pop(grant_id, ""))
        effects: list[Effect] = []
        if grant.lender:
            effects.append(self._reuse_borrowed_slot(grant, now_s))
        return effects + self._serve_queue(now_s)

    def _reuse_borrowed_slot(self, grant: Grant, now_s: float) -> Granted | ReturnSlot:
        """Grants a borrowed slot to the next claim that waits for its engine, or returns it."""
        slot = grant.slot
        returned = ReturnSlot(grant.lender, slot, grant.loan_id)
        if grant.start_by_s - now_s < MIN_START_S or not self.is_eligible(slot.engine_id, now_s):
            return returned
        for claim_id in self.queue.claims_in_order(QUEUE_ATTEMPTS):
            claim = self.claims[claim_id]
            if claim.borrowing or claim.candidates[0].engine_id != slot.engine_id:
                continue
            assert self.note is not None
            engine = self.note.statement.engines[slot.engine_id]
            _mean_index_limit, load_index_limit = self._load_index_limits(slot.engine_id, now_s)
            if slot.index >= min(load_index_limit, self._allowance(slot.engine_id, engine)):
                return returned
            regrant = self.ledger.grant_borrowed(
                slot,
                grant.lender,
                grant.loan_id,
                grant.start_by_s,
                grant.max_work_s,
                claim.holder,
                now_s,
            )
            return returned if regrant is None else self._record_grant(claim, regrant, now_s)
        return returned

    def _apply_evidence(self, evidence: Evidence, now_s: float) -> None:
        if self.note is None or evidence.engine_id not in self.note.statement.engines:
            return
        engine_id = evidence.engine_id
        if evidence.boot_id:
            self.record_boot_id(engine_id, evidence.boot_id)
        if evidence.failure:
            self.cold_starts.suspect_restart(engine_id)
            eligible = [e for e in self.note.statement.engines if self.is_eligible(e, now_s)]
            share = self.note.statement.rules.max_ejected_share
            self.outliers.record_failure(engine_id, eligible, share, now_s)
            return
        if not evidence.whole:
            return
        self.outliers.record_success(engine_id)
        if is_warm_first_token(evidence.first_token_s, evidence.expected_first_token_s):
            self.cold_starts.record_answer(engine_id, evidence.boot_id)
        else:
            self.cold_starts.suspect_restart(engine_id)
        if evidence.first_choice:
            self.placement_overrides.record_served(
                evidence.chat_hash, engine_id, evidence.first_choice
            )

    def restore_grant(self, slot: SlotId, grant_id: int, holder: str, now_s: float) -> None:
        """Restores the grant of a slot that a router reports to hold."""
        self.ledger.restore_grant(slot, grant_id, holder, now_s)

    def mark_holder_lost(self, holder: str, now_s: float) -> None:
        """Limits the grants of a lost router to the time by which its work must have ended."""
        self.ledger.mark_holder_lost(holder, now_s)

    # Time.

    def tick(self, now_s: float) -> list[Effect]:
        """Ends expired grants and loans, refuses expired claims and serves waiting ones.

        The agent calls it every `TICK_PERIOD_S`.
        """
        self.freshness.tick(now_s)
        if self.note is None:
            return []
        used = set(self.customer_by_grant)
        self.ledger.tick(now_s)
        for grant_id in used - {grant.grant_id for grant in self.ledger.grants.values()}:
            self.limits.record_end(self.customer_by_grant.pop(grant_id))
            self.start_times_s.pop(grant_id, None)
        effects: list[Effect] = []
        ended = [c for c in self.claims.values() if c.deadline_s <= now_s or c.dropped]
        for claim in ended:
            if not claim.borrowing:
                effects.append(self._refuse_ended(claim))
        for queue in self.queue.queues.values():
            queue.drop_past_tags()
        return effects + self._serve_queue(now_s)

    def _serve_queue(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        if not len(self.queue):
            return effects
        self.full_pools.clear()
        for claim_id in list(self.queue.claims_in_order(QUEUE_ATTEMPTS)):
            claim = self.claims[claim_id]
            if claim.borrowing or claim.deadline_s <= now_s or claim.dropped:
                continue
            if self.full_pools and self._preferred_pool(claim) in self.full_pools:
                continue
            decision = self._try_claim(claim, now_s)
            if decision is not None:
                effects.append(decision)
        return effects

    def _preferred_pool(self, claim: Claim) -> tuple[str, str] | None:
        assert self.note is not None
        engine = self.note.statement.engines.get(claim.candidates[0].engine_id)
        return (engine.model, engine.version) if engine else None

    def check_invariants(self) -> None:
        """Raises LedgerError if an invariant is violated."""
        self.ledger.check_invariants()
        running = Counter(self.customer_by_grant.values())
        for name, use in self.limits.customers.items():
            if use.running != running[name]:
                raise LedgerError(f"customer {name}: wrong count of running requests")
        for claim_id in self.queue.class_by_claim:
            if claim_id not in self.claims:
                raise LedgerError(f"claim {claim_id} waits but is not known")
