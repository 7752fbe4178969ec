"""Discrete-event simulation of a fleet in one process: schedulers, virtual clock, message delays.

The simulated engines hold the actual state (running requests, cached prefixes, boot id), and all
counters are taken there, not from the views of nodes. `tools.measure_routing` builds the workload.
"""

import heapq
import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from tanagerworks.note.model import Note
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
)
from tanagerworks.routing.load_bound import mean_running, slot_index_limit
from tanagerworks.routing.placement import Candidate
from tanagerworks.routing.ranking import chat_hash, rank_engines
from tanagerworks.routing.scheduler import NodeScheduler

MODEL = "wax"
MESSAGE_LATENCY_S = 0.001
TICK_PERIOD_S = 0.1
GOSSIP_PERIOD_S = 1.0
# A node stops waiting for the reply to a Borrow request after this time.
BORROW_TIMEOUT_S = 0.25
PREFILL_TOKENS_PER_S = 4000.0
DECODE_TOKENS_PER_S = 50.0
CACHE_TOKENS = 400_000
RETRY_DELAY_S = 0.05
MAX_ATTEMPTS = 20
# Queued requests that the central policy tries to place after each end of a request.
CENTRAL_QUEUE_SCAN_LIMIT = 30


@dataclass(slots=True)
class SimulatedRequest:
    """One request of a trace; the first `prefix_tokens` of the prompt come from earlier turns."""

    number: int
    at_s: float
    node: int
    chat: int
    customer: str
    request_class: str
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    deadline_s: float
    attempts: int = 0


class EventQueue:
    """Calls functions in the order of their times on a virtual clock."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = 0

    def schedule(self, delay_s: float, function: Callable[..., None], *arguments: Any) -> None:
        """Calls `function` with `arguments` after `delay_s` of virtual time."""
        self.sequence += 1
        heapq.heappush(self.heap, (self.now_s + delay_s, self.sequence, function, arguments))

    def run_until(self, until_s: float) -> None:
        """Runs all events that are due by `until_s` and sets the clock to it."""
        while self.heap and self.heap[0][0] <= until_s:
            self.now_s, _sequence, function, arguments = heapq.heappop(self.heap)
            function(*arguments)
        self.now_s = until_s


class SimulatedEngine:
    """An engine with slots, a prefix cache of limited size, and cold starts."""

    def __init__(self, engine_id: str, zone: str, note: Note) -> None:
        entry = note.statement.engines[engine_id]
        self.engine_id, self.zone = engine_id, zone
        self.slots, self.cold_slots = entry.slots, entry.cold_slots
        self.warm_answers = note.statement.rules.warm_answers
        self.boot_number = 1
        self.answers = 0
        self.up = True
        self.running: dict[int, SimulatedRequest] = {}
        self.waiting: deque[tuple[SimulatedRequest, Callable[[bool], None]]] = deque()
        self.cache: OrderedDict[int, int] = OrderedDict()
        self.cached_tokens = 0

    @property
    def boot_id(self) -> str:
        """The boot id that the engine reports."""
        return f"{self.engine_id}-{self.boot_number}"

    @property
    def load(self) -> int:
        """Requests at the engine, running and waiting."""
        return len(self.running) + len(self.waiting)

    def allowance(self) -> int:
        """Returns how many requests the engine can run, by its answers since it started."""
        return min(self.slots, self.cold_slots << min(12, self.answers // self.warm_answers))

    def cached_prefix_tokens(self, request: SimulatedRequest) -> int:
        """Returns how many prefix tokens of a request are in the cache."""
        return min(self.cache.get(request.chat, 0), request.prefix_tokens)

    def service_times_s(self, request: SimulatedRequest) -> tuple[float, float]:
        """Returns the time to the first token and the total time of a request."""
        prefill_s = (
            request.prompt_tokens - self.cached_prefix_tokens(request)
        ) / PREFILL_TOKENS_PER_S
        return prefill_s, prefill_s + request.output_tokens / DECODE_TOKENS_PER_S

    def store_in_cache(self, request: SimulatedRequest) -> None:
        """Caches the prompt and the answer of a request; evicts the least recently used chats."""
        self.cached_tokens -= self.cache.pop(request.chat, 0)
        self.cache[request.chat] = request.prompt_tokens + request.output_tokens
        self.cached_tokens += self.cache[request.chat]
        while self.cached_tokens > CACHE_TOKENS:
            self.cached_tokens -= self.cache.popitem(last=False)[1]

    def restart(self) -> None:
        """Restarts without notice: the cache and all requests at the engine are lost."""
        self.boot_number += 1
        self.answers = 0
        self.cache.clear()
        self.cached_tokens = 0
        self.running.clear()
        self.waiting.clear()


@dataclass
class Counters:
    """Counts taken at the engines."""

    starts: int = 0
    completed: int = 0
    refused: int = 0
    prefix_tokens: int = 0
    reused_tokens: int = 0
    # How often a request was queued at an engine without a free slot, or started at an engine that
    # had more requests, running and waiting, than slots.
    overloads: int = 0
    # Requests started at an engine beyond its allowance.
    cold_overruns: int = 0
    # Requests started more than 5 s after the engine's zone was taken out of service.
    late_zone_starts: int = 0
    time_samples: int = 0
    samples_within_bound: int = 0
    running_samples: float = 0.0
    latencies_s: dict[str, list[float]] = field(default_factory=dict)

    @property
    def reuse_share(self) -> float:
        """Share of the prefix tokens that were in the cache of the engine that ran the request."""
        return self.reused_tokens / max(1, self.prefix_tokens)

    def p95_latency_s(self, excluded_customer: str) -> float:
        """Returns the 95th percentile of the total request time, without one customer.

        The result is NaN if no request was completed.
        """
        times = sorted(
            t
            for name, customer_times in self.latencies_s.items()
            if name != excluded_customer
            for t in customer_times
        )
        return times[int(0.95 * (len(times) - 1))] if times else math.nan


class RoutingPolicy(Protocol):
    """A policy that assigns requests to engines."""

    def submit_request(self, request: SimulatedRequest) -> None:
        """Handles a request from a caller."""

    def publish_note(self, note: Note) -> None:
        """Handles a release note that the operators have published."""

    def handle_request_end(self) -> None:
        """Called after each end of a request at any engine."""


class Simulation:
    """Engines, clock and counters of one run, the same for each policy under comparison."""

    def __init__(self, note: Note, seed: int) -> None:
        self.events = EventQueue()
        self.random = Random(seed)
        self.note = note
        self.engines = {
            engine_id: SimulatedEngine(engine_id, engine.zone, note)
            for engine_id, engine in note.statement.engines.items()
        }
        self.counters = Counters()
        self.zone_out_at_s: dict[str, float] = {}
        self.policy: RoutingPolicy | None = None
        self.measure_from_s = 0.0

    def run_trace(
        self, policy: RoutingPolicy, trace: list[SimulatedRequest], until_s: float
    ) -> Counters:
        """Assigns the requests of a trace to engines by a policy and returns the counts."""
        self.policy = policy
        for request in trace:
            self.events.schedule(request.at_s, policy.submit_request, request)
        self.events.schedule(TICK_PERIOD_S, self._sample_load)
        self.events.run_until(until_s)
        return self.counters

    def set_zone_state(self, zone: str, state: str) -> None:
        """Publishes a note with another state of a zone, as the operators would."""
        document = self.note.model_dump(mode="json")
        document["serial"] += 1
        document["statement"]["zones"][zone]["state"] = state
        self.note = Note.model_validate(document)
        if state == "in":
            self.zone_out_at_s.pop(zone, None)
        else:
            self.zone_out_at_s[zone] = self.events.now_s
        assert self.policy is not None
        self.policy.publish_note(self.note)

    def start_request(
        self, engine: SimulatedEngine, request: SimulatedRequest, on_end: Callable[[bool], None]
    ) -> None:
        """Starts a request at an engine; `on_end` gets whether the answer was complete."""
        engine.running[request.number] = request
        counters, now_s = self.counters, self.events.now_s
        counters.overloads += engine.load > engine.slots
        counters.cold_overruns += engine.load > engine.allowance()
        taken_out_at_s = self.zone_out_at_s.get(engine.zone, math.inf)
        counters.late_zone_starts += now_s > taken_out_at_s + 5.0
        if now_s >= self.measure_from_s:
            counters.starts += 1
            counters.prefix_tokens += request.prefix_tokens
            counters.reused_tokens += engine.cached_prefix_tokens(request)
        _first_token_s, work_s = engine.service_times_s(request)
        self.events.schedule(work_s, self._end_request, engine, engine.boot_number, request, on_end)

    def _end_request(
        self,
        engine: SimulatedEngine,
        boot_number: int,
        request: SimulatedRequest,
        on_end: Callable[[bool], None],
    ) -> None:
        complete = engine.boot_number == boot_number
        if complete:
            del engine.running[request.number]
            engine.store_in_cache(request)
            engine.answers += 1
            if self.events.now_s >= self.measure_from_s:
                self.counters.completed += 1
                times = self.counters.latencies_s.setdefault(request.customer, [])
                times.append(self.events.now_s - request.at_s)
        on_end(complete)
        if self.policy is not None:
            self.policy.handle_request_end()

    def engines_in_service(self) -> list[SimulatedEngine]:
        """Returns the engines of the zones that are in service."""
        zones = self.note.statement.zones
        return [e for e in self.engines.values() if zones[e.zone].state.value == "in"]

    def _sample_load(self) -> None:
        self.events.schedule(TICK_PERIOD_S, self._sample_load)
        if self.events.now_s < self.measure_from_s:
            return
        serving = self.engines_in_service()
        loads = [engine.load for engine in serving]
        mean = sum(loads) / len(loads)
        self.counters.time_samples += 1
        self.counters.running_samples += sum(len(engine.running) for engine in serving)
        # One request above the bound is tolerated, as a bound that is not an integer can only be
        # reached by crossing it.
        self.counters.samples_within_bound += (
            max(loads) <= self.note.statement.rules.load_multiple * mean + 1
        )


@dataclass
class _Node:
    node_id: str
    scheduler: NodeScheduler
    reports: dict[str, tuple[int, NodeReport]] = field(default_factory=dict)
    platform_unreachable: bool = False


class SchedulerFleet:
    """Nodes with a `NodeScheduler` each; messages take `MESSAGE_LATENCY_S` with jitter.

    The first `nodes_without_platform` nodes do not reach the platform.
    """

    def __init__(
        self,
        simulation: Simulation,
        *,
        nodes_without_platform: int = 0,
        checks_invariants: bool = False,
    ) -> None:
        self.simulation, self.events, self.checks_invariants = (
            simulation,
            simulation.events,
            checks_invariants,
        )
        self.nodes = [
            _Node(
                node_id, NodeScheduler(node_id, Random(f"{node_id}-{simulation.random.random()}"))
            )
            for node_id in simulation.note.statement.nodes
        ]
        self.nodes_by_id = {node.node_id: node for node in self.nodes}
        self.requests: dict[str, tuple[_Node, SimulatedRequest]] = {}
        self.ranked_engines: dict[int, list[str]] = {}
        self.version = 0
        self.borrows = 0
        for node in self.nodes[:nodes_without_platform]:
            node.platform_unreachable = True
        for node in self.nodes:
            node.scheduler.apply_note(simulation.note, 0.0)
            node.scheduler.end_start_hold(0.0)
            for engine in simulation.engines.values():
                node.scheduler.record_boot_id(engine.engine_id, engine.boot_id)
        for _round in range(2):
            for node in self.nodes:
                self._refresh_report(node)
                for other in self.nodes:
                    self._merge_reports(other, node)
        for node in self.nodes:
            self.events.schedule(simulation.random.random() * TICK_PERIOD_S, self._tick, node)
            self.events.schedule(
                simulation.random.random() * GOSSIP_PERIOD_S, self._gossip_round, node
            )

    # Messages between nodes.

    def _latency_s(self) -> float:
        return MESSAGE_LATENCY_S * (0.5 + self.simulation.random.random())

    def _tick(self, node: _Node) -> None:
        self.events.schedule(TICK_PERIOD_S, self._tick, node)
        self._apply_effects(node, node.scheduler.tick(self.events.now_s))

    def _refresh_report(self, node: _Node) -> None:
        self.version += 1
        node.reports[node.node_id] = (self.version, node.scheduler.build_report(self.events.now_s))

    def _gossip_round(self, node: _Node) -> None:
        self.events.schedule(GOSSIP_PERIOD_S, self._gossip_round, node)
        peer = self.simulation.random.choice([other for other in self.nodes if other is not node])
        self._refresh_report(node)
        self._refresh_report(peer)
        self.events.schedule(self._latency_s(), self._merge_reports, peer, node)
        self.events.schedule(2 * self._latency_s(), self._merge_reports, node, peer)

    def _merge_reports(self, node: _Node, peer: _Node) -> None:
        if node is peer:
            return
        for node_id, (version, report) in peer.reports.items():
            if node_id == node.node_id or version <= node.reports.get(node_id, (0, report))[0]:
                continue
            node.reports[node_id] = (version, report)
            effects = node.scheduler.apply_report(node_id, report, self.events.now_s)
            self._apply_effects(node, effects)
        peer_note = peer.scheduler.note
        if peer_note is not None:
            self._apply_note(node, peer_note)

    def publish_note(self, note: Note) -> None:
        """Delivers a note to the nodes that reach the platform, 0.1 s to 1 s later."""
        for node in self.nodes:
            if not node.platform_unreachable:
                delay_s = 0.1 + 0.9 * self.simulation.random.random()
                self.events.schedule(delay_s, self._apply_note, node, note)

    def _apply_note(self, node: _Node, note: Note) -> None:
        current_note = node.scheduler.note
        if current_note is None or current_note.serial < note.serial:
            self._apply_effects(node, node.scheduler.apply_note(note, self.events.now_s))

    # Requests.

    def submit_request(self, request: SimulatedRequest) -> None:
        """Claims a slot for a request at its node, as a router does."""
        node = self.nodes[request.node]
        request.attempts += 1
        key = f"{request.number}.{request.attempts}"
        self.requests[key] = (node, request)
        ranked = self.ranked_engines.get(request.chat)
        if ranked is None:
            weights = {e.engine_id: float(e.slots) for e in self.simulation.engines.values()}
            ranked = self.ranked_engines[request.chat] = rank_engines(str(request.chat), weights)
        now_s = self.events.now_s
        eligible = [e for e in ranked if node.scheduler.is_eligible(e, now_s)]
        recompute_s = request.prefix_tokens / PREFILL_TOKENS_PER_S
        claim = Claim(
            claim_id=key,
            holder="r",
            customer=request.customer,
            request_class=request.request_class,
            deadline_s=request.at_s + request.deadline_s,
            candidates=[Candidate(e, recompute_s if n else 0.0) for n, e in enumerate(eligible)],
            arrived_at_s=now_s,
            chat_hash=chat_hash(str(request.chat)),
        )
        self._apply_decision(node, node.scheduler.decide_claim(claim, now_s))

    def handle_request_end(self) -> None:
        """Does nothing: each node releases the slots of its own requests."""

    def _apply_effects(self, node: _Node, effects: list[Effect]) -> None:
        if self.checks_invariants:
            node.scheduler.check_invariants()
        for effect in effects:
            if isinstance(effect, Granted | MustBorrow | Refused):
                self._apply_decision(node, effect)
                continue
            lender = self.nodes_by_id[effect.lender]
            arguments = (lender, node.node_id, effect.slot, effect.loan_id)
            self.events.schedule(self._latency_s(), self._accept_returned_slot, *arguments)

    def _accept_returned_slot(self, lender: _Node, borrower: str, slot: Any, loan_id: int) -> None:
        now_s = self.events.now_s
        self._apply_effects(
            lender, lender.scheduler.accept_returned_slot(borrower, slot, loan_id, now_s)
        )

    def _apply_decision(self, node: _Node, decision: Decision | None) -> None:
        if decision is None or isinstance(decision, Queued):
            return
        if isinstance(decision, MustBorrow):
            self.borrows += 1
            lender = self.nodes_by_id[decision.peers[0]]
            borrower_counts = node.scheduler.pool_counts(decision.wanted_slots[0][0])
            arguments = (lender, node, decision, borrower_counts, self.events.now_s)
            self.events.schedule(self._latency_s(), self._handle_borrow_request, *arguments)
            return
        _node, request = self.requests.pop(decision.claim.claim_id)
        if isinstance(decision, Refused):
            self.simulation.counters.refused += 1
            return
        self.events.schedule(self._latency_s(), self._send_request, node, request, decision)

    def _handle_borrow_request(
        self,
        lender: _Node,
        node: _Node,
        borrow: MustBorrow,
        borrower_counts: dict[str, int],
        sent_at_s: float,
    ) -> None:
        now_s = self.events.now_s
        scheduler = lender.scheduler
        scheduler.update_running_counts(node.node_id, borrower_counts, sent_at_s)
        loan = scheduler.lend_slot(node.node_id, 1, borrow.borrow_id, borrow.wanted_slots, now_s)
        loan_terms = (loan.slot, loan.loan_id, loan.max_lent_s, loan.max_work_s) if loan else None
        free = {}
        for engine_id, _below_index in borrow.wanted_slots:
            lowest = scheduler.ledger.lowest_free(engine_id, now_s)
            if lowest is not None:
                free[engine_id] = (lowest, scheduler.ledger.free_count(engine_id, now_s))
        lender_counts = scheduler.pool_counts(borrow.wanted_slots[0][0])
        arguments = (
            node,
            lender.node_id,
            borrow,
            loan_terms,
            free,
            lender_counts,
            sent_at_s,
            now_s,
        )
        self.events.schedule(self._latency_s(), self._handle_borrow_reply, *arguments)

    def _handle_borrow_reply(
        self,
        node: _Node,
        lender: str,
        borrow: MustBorrow,
        loan_terms: Any,
        free: dict[str, tuple[int, int]],
        lender_counts: dict[str, int],
        sent_at_s: float,
        replied_at_s: float,
    ) -> None:
        node.scheduler.update_running_counts(lender, lender_counts, replied_at_s)
        node.scheduler.update_free_slots(
            lender, [engine for engine, _below in borrow.wanted_slots], free
        )
        decision, effects = node.scheduler.handle_borrow_reply(
            borrow.borrow_id, lender, loan_terms, sent_at_s, self.events.now_s
        )
        self._apply_effects(node, effects)
        self._apply_decision(node, decision)

    def _send_request(self, node: _Node, request: SimulatedRequest, granted: Granted) -> None:
        """Starts the request, after the checks that a router makes before it sends any byte."""
        grant, engine_id = granted.grant, granted.grant.slot.engine_id
        engine = self.simulation.engines[engine_id]
        boot_id_ok = granted.cold or granted.boot_id == engine.boot_id
        if not boot_id_ok or self.events.now_s >= grant.start_by_s:
            evidence = Evidence(engine_id, boot_id=engine.boot_id)
            self._release_slot(node, granted, evidence)
            self._retry_request(request)
            return
        first_token_s, _work_s = engine.service_times_s(request)
        boot_id = engine.boot_id
        first_choice = self.ranked_engines[request.chat][0]

        def on_end(complete: bool) -> None:
            evidence = Evidence(
                engine_id,
                boot_id=boot_id if complete else "",
                whole=complete,
                first_token_s=first_token_s,
                expected_first_token_s=first_token_s,
                failure="" if complete else "backend_protocol",
                chat_hash=granted.claim.chat_hash,
                first_choice=first_choice,
            )
            self._release_slot(node, granted, evidence)
            if not complete:
                # A router learns the new boot id from its next connection to the engine.
                node.scheduler.record_boot_id(engine_id, engine.boot_id)
                self._retry_request(request)

        self.simulation.start_request(engine, request, on_end)

    def _release_slot(self, node: _Node, granted: Granted, evidence: Evidence) -> None:
        grant = granted.grant
        now_s = self.events.now_s
        effects = node.scheduler.release_slot(grant.slot, grant.grant_id, evidence, now_s)
        self._apply_effects(node, effects)

    def _retry_request(self, request: SimulatedRequest) -> None:
        if request.attempts < MAX_ATTEMPTS:
            self.events.schedule(RETRY_DELAY_S, self.submit_request, request)
        else:
            self.simulation.counters.refused += 1


class DirectPolicy:
    """Baseline without claims: sends at once, and an engine without a free slot queues the request.

    `choose_engine` gets the request, the engines in service and the loads last reported to the
    node.
    """

    def __init__(
        self,
        simulation: Simulation,
        choose_engine: Callable[[SimulatedRequest, list[str], dict[str, int], Random], str],
    ) -> None:
        self.simulation, self.events, self.choose_engine = (
            simulation,
            simulation.events,
            choose_engine,
        )
        self.notes = [simulation.note] * len(simulation.note.statement.nodes)
        self.loads: list[dict[str, int]] = [{} for _ in self.notes]
        for number in range(len(self.notes)):
            self.events.schedule(
                simulation.random.random() * GOSSIP_PERIOD_S, self._update_loads, number
            )

    def _update_loads(self, number: int) -> None:
        """Reads the load of the engines once per gossip period."""
        self.events.schedule(GOSSIP_PERIOD_S, self._update_loads, number)
        self.loads[number] = {e.engine_id: e.load for e in self.simulation.engines.values()}

    def publish_note(self, note: Note) -> None:
        """Delivers a note to the nodes 0.1 s to 1 s later."""
        for number in range(len(self.notes)):
            delay_s = 0.1 + 0.9 * self.simulation.random.random()
            self.events.schedule(delay_s, self.notes.__setitem__, number, note)

    def submit_request(self, request: SimulatedRequest) -> None:
        """Sends a request to the engine that `choose_engine` returns."""
        request.attempts += 1
        statement = self.notes[request.node].statement
        zones = statement.zones
        serving = [e for e, t in statement.engines.items() if zones[t.zone].state.value == "in"]
        chosen = self.choose_engine(
            request, serving, self.loads[request.node], self.simulation.random
        )
        engine = self.simulation.engines[chosen]

        def on_end(complete: bool) -> None:
            if not complete and request.attempts < MAX_ATTEMPTS:
                self.events.schedule(RETRY_DELAY_S, self.submit_request, request)

        if len(engine.running) < engine.slots:
            self.simulation.start_request(engine, request, on_end)
            return
        engine.waiting.append((request, on_end))
        self.simulation.counters.overloads += 1

    def handle_request_end(self) -> None:
        """Starts requests that wait at engines with free slots."""
        for engine in self.simulation.engines.values():
            while engine.waiting and len(engine.running) < engine.slots:
                request, on_end = engine.waiting.popleft()
                self.simulation.start_request(engine, request, on_end)


def choose_random(
    _request: SimulatedRequest, serving: list[str], _loads: dict[str, int], random: Random
) -> str:
    """Returns an engine chosen uniformly at random."""
    return random.choice(serving)


def choose_least_loaded(
    _request: SimulatedRequest, serving: list[str], loads: dict[str, int], random: Random
) -> str:
    """Returns the engine with the least reported load; ties are broken at random."""
    return min(serving, key=lambda engine_id: (loads.get(engine_id, 0), random.random()))


def choose_by_hash(
    request: SimulatedRequest, serving: list[str], _loads: dict[str, int], _random: Random
) -> str:
    """Returns the engine that consistent hashing gives a chat, without regard to load."""
    return rank_engines(str(request.chat), dict.fromkeys(serving, 1.0))[0]


class CentralPolicy:
    """Reference: a central policy that sees the current state of all engines without delay."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation, self.events = simulation, simulation.events
        self.waiting: deque[SimulatedRequest] = deque()

    def publish_note(self, note: Note) -> None:
        """Does nothing: the policy reads the simulation's note without delay."""

    def submit_request(self, request: SimulatedRequest) -> None:
        """Starts a request, or appends it to the queue."""
        request.attempts += 1
        if not self._place_request(request):
            self.waiting.append(request)

    def handle_request_end(self) -> None:
        """Starts queued requests in order, as far as engines can run them."""
        still_waiting = []
        for _ in range(min(len(self.waiting), CENTRAL_QUEUE_SCAN_LIMIT)):
            request = self.waiting.popleft()
            if self.events.now_s > request.at_s + request.deadline_s:
                self.simulation.counters.refused += 1
            elif not self._place_request(request):
                still_waiting.append(request)
        self.waiting.extendleft(reversed(still_waiting))

    def _place_request(self, request: SimulatedRequest) -> bool:
        """Starts a request if an engine may run it; returns whether it was started.

        If the engine that caches the prefix is at its limit, the request waits for it while both
        the wait so far and the expected wait are shorter than recomputing the prefix.
        """
        serving = self.simulation.engines_in_service()
        mean = mean_running({engine.engine_id: engine.load for engine in serving})
        bound = slot_index_limit(self.simulation.note.statement.rules.load_multiple, mean)
        cached_engine = max(serving, key=lambda engine: engine.cached_prefix_tokens(request))
        waited_s = self.events.now_s - request.at_s
        open_engines = [e for e in serving if e.load < min(bound, e.allowance())]
        if cached_engine not in open_engines and cached_engine.cached_prefix_tokens(request):
            recompute_s = cached_engine.cached_prefix_tokens(request) / PREFILL_TOKENS_PER_S
            if (
                max(waited_s, cached_engine.service_times_s(request)[1] / cached_engine.slots)
                < recompute_s
            ):
                return False
        if not open_engines:
            open_engines = [e for e in serving if e.load < e.allowance()]
        if not open_engines:
            return False
        engine = max(open_engines, key=lambda e: (e.cached_prefix_tokens(request), -e.load))

        def on_end(complete: bool) -> None:
            if not complete and request.attempts < MAX_ATTEMPTS:
                self.events.schedule(RETRY_DELAY_S, self.submit_request, request)

        self.simulation.start_request(engine, request, on_end)
        return True
