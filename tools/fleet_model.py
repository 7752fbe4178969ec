"""A fleet in one process: schedulers, a fake clock and a queue of delayed messages.

The engines keep the truth: what runs, what is cached, which boot they are in. All figures are
counted there. Source of the workload: the deployments in docs/design.md.
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
LATENCY_S = 0.001
TICK_S = 0.1
GOSSIP_S = 1.0
# A Borrow without an answer is given up after this time.
BORROW_TIMEOUT_S = 0.25
PREFILL_TOKENS_PER_S = 4000.0
DECODE_TOKENS_PER_S = 50.0
CACHE_TOKENS = 400_000
RETRY_S = 0.05
MAX_TRIES = 20
# Waiting requests that the central chooser tries after each end of a request.
CENTRAL_TRIES = 30


@dataclass(slots=True)
class ModelRequest:
    """One request of a trace; `prefix_tokens` of the prompt were sent in earlier turns."""

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
    tries: int = 0


class EventQueue:
    """Calls functions in the order of a fake clock."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = 0

    def after(self, delay_s: float, function: Callable[..., None], *arguments: Any) -> None:
        """Calls a function later."""
        self.sequence += 1
        heapq.heappush(self.heap, (self.now_s + delay_s, self.sequence, function, arguments))

    def run(self, until_s: float) -> None:
        """Runs all events up to a time."""
        while self.heap and self.heap[0][0] <= until_s:
            self.now_s, _sequence, function, arguments = heapq.heappop(self.heap)
            function(*arguments)
        self.now_s = until_s


class ModelEngine:
    """An engine: slots, a prefix cache with limited memory, and cold starts."""

    def __init__(self, engine_id: str, zone: str, note: Note) -> None:
        traits = note.statement.engines[engine_id]
        self.engine_id, self.zone = engine_id, zone
        self.slots, self.cold_slots = traits.slots, traits.cold_slots
        self.warm_answers = note.statement.rules.warm_answers
        self.boot = 1
        self.answers = 0
        self.up = True
        self.running: dict[int, ModelRequest] = {}
        self.waiting: deque[tuple[ModelRequest, Callable[[bool], None]]] = deque()
        self.cache: OrderedDict[int, int] = OrderedDict()
        self.cached_tokens = 0

    @property
    def boot_id(self) -> str:
        """The boot id that the engine shows."""
        return f"{self.engine_id}-{self.boot}"

    @property
    def load(self) -> int:
        """Requests at the engine, running and waiting."""
        return len(self.running) + len(self.waiting)

    def allowance(self) -> int:
        """Number of requests that the engine can bear, given its own answers since its start."""
        return min(self.slots, self.cold_slots << min(12, self.answers // self.warm_answers))

    def cached(self, request: ModelRequest) -> int:
        """Returns the prefix tokens of a request that are in the cache."""
        return min(self.cache.get(request.chat, 0), request.prefix_tokens)

    def work_s(self, request: ModelRequest) -> tuple[float, float]:
        """Returns the time to the first token and the whole time of a request."""
        prefill_s = (request.prompt_tokens - self.cached(request)) / PREFILL_TOKENS_PER_S
        return prefill_s, prefill_s + request.output_tokens / DECODE_TOKENS_PER_S

    def remember(self, request: ModelRequest) -> None:
        """Caches the prompt and the answer of a request."""
        self.cached_tokens -= self.cache.pop(request.chat, 0)
        self.cache[request.chat] = request.prompt_tokens + request.output_tokens
        self.cached_tokens += self.cache[request.chat]
        while self.cached_tokens > CACHE_TOKENS:
            self.cached_tokens -= self.cache.popitem(last=False)[1]

    def restart(self) -> None:
        """Goes cold without notice: the cache and the running requests are lost."""
        self.boot += 1
        self.answers = 0
        self.cache.clear()
        self.cached_tokens = 0
        self.running.clear()
        self.waiting.clear()


@dataclass
class Counters:
    """What was seen at the engines."""

    starts: int = 0
    done: int = 0
    refused: int = 0
    prefix_tokens: int = 0
    reused_tokens: int = 0
    overloaded: int = 0
    cold_overruns: int = 0
    late_zone_starts: int = 0
    time_samples: int = 0
    within_bound: int = 0
    busy_samples: float = 0.0
    latencies_s: dict[str, list[float]] = field(default_factory=dict)

    @property
    def reuse(self) -> float:
        """Share of the earlier turns' tokens that came from a cache."""
        return self.reused_tokens / max(1, self.prefix_tokens)

    def p95_s(self, skipped: str) -> float:
        """Returns the 95th percentile of the whole time of all customers but one."""
        times = sorted(
            t for name, all_t in self.latencies_s.items() if name != skipped for t in all_t
        )
        return times[int(0.95 * (len(times) - 1))] if times else math.nan


class Router(Protocol):
    """Something that brings requests to engines."""

    def arrive(self, request: ModelRequest) -> None:
        """Takes a request from a caller."""

    def publish(self, note: Note) -> None:
        """Takes a new note from the operators."""

    def ended(self) -> None:
        """Takes the news that some request ended."""


class World:
    """Engines, clock and counters that all routers under comparison share."""

    def __init__(self, note: Note, seed: int) -> None:
        self.events = EventQueue()
        self.random = Random(seed)
        self.note = note
        self.engines = {
            engine_id: ModelEngine(engine_id, engine.zone, note)
            for engine_id, engine in note.statement.engines.items()
        }
        self.counters = Counters()
        self.zone_out_at_s: dict[str, float] = {}
        self.router: Router | None = None
        self.measure_from_s = 0.0

    def play(self, router: Router, trace: list[ModelRequest], until_s: float) -> Counters:
        """Runs a trace through a router."""
        self.router = router
        for request in trace:
            self.events.after(request.at_s, router.arrive, request)
        self.events.after(TICK_S, self._sample)
        self.events.run(until_s)
        return self.counters

    def set_zone(self, zone: str, state: str) -> None:
        """Operators publish a note with another state of a zone."""
        document = self.note.model_dump(mode="json")
        document["serial"] += 1
        document["statement"]["zones"][zone]["state"] = state
        self.note = Note.model_validate(document)
        if state == "in":
            self.zone_out_at_s.pop(zone, None)
        else:
            self.zone_out_at_s[zone] = self.events.now_s
        assert self.router is not None
        self.router.publish(self.note)

    def start(
        self, engine: ModelEngine, request: ModelRequest, ended: Callable[[bool], None]
    ) -> None:
        """Starts work at an engine; `ended` is told whether the answer was whole."""
        engine.running[request.number] = request
        counters, now_s = self.counters, self.events.now_s
        counters.overloaded += engine.load > engine.slots
        counters.cold_overruns += engine.load > engine.allowance()
        out_at_s = self.zone_out_at_s.get(engine.zone, math.inf)
        counters.late_zone_starts += now_s > out_at_s + 5.0
        if now_s >= self.measure_from_s:
            counters.starts += 1
            counters.prefix_tokens += request.prefix_tokens
            counters.reused_tokens += engine.cached(request)
        _first_s, work_s = engine.work_s(request)
        self.events.after(work_s, self._end, engine, engine.boot, request, ended)

    def _end(
        self, engine: ModelEngine, boot: int, request: ModelRequest, ended: Callable[[bool], None]
    ) -> None:
        whole = engine.boot == boot
        if whole:
            del engine.running[request.number]
            engine.remember(request)
            engine.answers += 1
            if self.events.now_s >= self.measure_from_s:
                self.counters.done += 1
                times = self.counters.latencies_s.setdefault(request.customer, [])
                times.append(self.events.now_s - request.at_s)
        ended(whole)
        if self.router is not None:
            self.router.ended()

    def serving(self) -> list[ModelEngine]:
        """Returns the engines in zones that are in."""
        zones = self.note.statement.zones
        return [e for e in self.engines.values() if zones[e.zone].state.value == "in"]

    def _sample(self) -> None:
        self.events.after(TICK_S, self._sample)
        if self.events.now_s < self.measure_from_s:
            return
        serving = self.serving()
        loads = [engine.load for engine in serving]
        mean = sum(loads) / len(loads)
        self.counters.time_samples += 1
        self.counters.busy_samples += sum(len(engine.running) for engine in serving)
        # Granularity one request: a bound that is not whole allows the request that crosses it.
        self.counters.within_bound += (
            max(loads) <= self.note.statement.rules.load_multiple * mean + 1
        )


@dataclass
class _Node:
    node_id: str
    scheduler: NodeScheduler
    reports: dict[str, tuple[int, NodeReport]] = field(default_factory=dict)
    cut_off: bool = False


class SchedulerFleet:
    """Nodes with one `NodeScheduler` each; messages take `LATENCY_S` with jitter."""

    def __init__(self, world: World, *, cut_off: int = 0, check: bool = False) -> None:
        self.world, self.events, self.check = world, world.events, check
        self.nodes = [
            _Node(node_id, NodeScheduler(node_id, Random(f"{node_id}-{world.random.random()}")))
            for node_id in world.note.statement.nodes
        ]
        self.by_id = {node.node_id: node for node in self.nodes}
        self.requests: dict[str, tuple[_Node, ModelRequest]] = {}
        self.ranked: dict[int, list[str]] = {}
        self.version = 0
        self.borrows = 0
        for node in self.nodes[:cut_off]:
            node.cut_off = True
        for node in self.nodes:
            node.scheduler.apply_note(world.note, 0.0)
            node.scheduler.end_start_hold(0.0)
            for engine in world.engines.values():
                node.scheduler.record_boot_id(engine.engine_id, engine.boot_id)
        for _round in range(2):
            for node in self.nodes:
                self._refresh(node)
                for other in self.nodes:
                    self._merge(other, node)
        for node in self.nodes:
            self.events.after(world.random.random() * TICK_S, self._tick, node)
            self.events.after(world.random.random() * GOSSIP_S, self._gossip, node)

    # Messages between nodes.

    def _latency_s(self) -> float:
        return LATENCY_S * (0.5 + self.world.random.random())

    def _tick(self, node: _Node) -> None:
        self.events.after(TICK_S, self._tick, node)
        self._carry_out(node, node.scheduler.tick(self.events.now_s))

    def _refresh(self, node: _Node) -> None:
        self.version += 1
        node.reports[node.node_id] = (self.version, node.scheduler.build_report(self.events.now_s))

    def _gossip(self, node: _Node) -> None:
        self.events.after(GOSSIP_S, self._gossip, node)
        peer = self.world.random.choice([other for other in self.nodes if other is not node])
        self._refresh(node)
        self._refresh(peer)
        self.events.after(self._latency_s(), self._merge, peer, node)
        self.events.after(2 * self._latency_s(), self._merge, node, peer)

    def _merge(self, node: _Node, peer: _Node) -> None:
        if node is peer:
            return
        for node_id, (version, report) in peer.reports.items():
            if node_id == node.node_id or version <= node.reports.get(node_id, (0, report))[0]:
                continue
            node.reports[node_id] = (version, report)
            effects = node.scheduler.apply_report(node_id, report, self.events.now_s)
            self._carry_out(node, effects)
        theirs = peer.scheduler.note
        if theirs is not None:
            self._take_note(node, theirs)

    def publish(self, note: Note) -> None:
        """Brings a note to the nodes that reach the platform, with its delay."""
        for node in self.nodes:
            if not node.cut_off:
                delay_s = 0.1 + 0.9 * self.world.random.random()
                self.events.after(delay_s, self._take_note, node, note)

    def _take_note(self, node: _Node, note: Note) -> None:
        known = node.scheduler.note
        if known is None or known.serial < note.serial:
            self._carry_out(node, node.scheduler.apply_note(note, self.events.now_s))

    # Requests.

    def arrive(self, request: ModelRequest) -> None:
        """Claims a slot for a request, as a router does."""
        node = self.nodes[request.node]
        request.tries += 1
        key = f"{request.number}.{request.tries}"
        self.requests[key] = (node, request)
        ranked = self.ranked.get(request.chat)
        if ranked is None:
            weights = {e.engine_id: float(e.slots) for e in self.world.engines.values()}
            ranked = self.ranked[request.chat] = rank_engines(str(request.chat), weights)
        now_s = self.events.now_s
        eligible = [e for e in ranked if node.scheduler.is_eligible(e, now_s)]
        rebuild_s = request.prefix_tokens / PREFILL_TOKENS_PER_S
        claim = Claim(
            claim_id=key,
            holder="r",
            customer=request.customer,
            request_class=request.request_class,
            deadline_s=request.at_s + request.deadline_s,
            candidates=[Candidate(e, rebuild_s if n else 0.0) for n, e in enumerate(eligible)],
            arrived_at_s=now_s,
            chat_hash=chat_hash(str(request.chat)),
        )
        self._decide(node, node.scheduler.decide_claim(claim, now_s))

    def ended(self) -> None:
        """Does nothing: each node learns of its own requests."""

    def _carry_out(self, node: _Node, effects: list[Effect]) -> None:
        if self.check:
            node.scheduler.check_invariants()
        for effect in effects:
            if isinstance(effect, Granted | MustBorrow | Refused):
                self._decide(node, effect)
                continue
            lender = self.by_id[effect.lender]
            arguments = (lender, node.node_id, effect.slot, effect.loan_id)
            self.events.after(self._latency_s(), self._take_back, *arguments)

    def _take_back(self, lender: _Node, borrower: str, slot: Any, loan_id: int) -> None:
        now_s = self.events.now_s
        self._carry_out(
            lender, lender.scheduler.accept_returned_slot(borrower, slot, loan_id, now_s)
        )

    def _decide(self, node: _Node, decision: Decision | None) -> None:
        if decision is None or isinstance(decision, Queued):
            return
        if isinstance(decision, MustBorrow):
            self.borrows += 1
            lender = self.by_id[decision.peers[0]]
            counts = node.scheduler.pool_counts(decision.wanted_slots[0][0])
            arguments = (lender, node, decision, counts, self.events.now_s)
            self.events.after(self._latency_s(), self._lend, *arguments)
            return
        _node, request = self.requests.pop(decision.claim.claim_id)
        if isinstance(decision, Refused):
            self.world.counters.refused += 1
            return
        self.events.after(self._latency_s(), self._send, node, request, decision)

    def _lend(
        self,
        lender: _Node,
        node: _Node,
        wanted: MustBorrow,
        counts: dict[str, int],
        sent_at_s: float,
    ) -> None:
        now_s = self.events.now_s
        scheduler = lender.scheduler
        scheduler.update_running_counts(node.node_id, counts, sent_at_s)
        loan = scheduler.lend_slot(node.node_id, 1, wanted.borrow_id, wanted.wanted_slots, now_s)
        answer = (loan.slot, loan.loan_id, loan.max_lent_s, loan.max_work_s) if loan else None
        free = {}
        for engine_id, _below_index in wanted.wanted_slots:
            lowest = scheduler.ledger.lowest_free(engine_id, now_s)
            if lowest is not None:
                free[engine_id] = (lowest, scheduler.ledger.free_count(engine_id, now_s))
        counts = scheduler.pool_counts(wanted.wanted_slots[0][0])
        arguments = (node, lender.node_id, wanted, answer, free, counts, sent_at_s, now_s)
        self.events.after(self._latency_s(), self._lent, *arguments)

    def _lent(
        self,
        node: _Node,
        lender: str,
        wanted: MustBorrow,
        answer: Any,
        free: dict[str, tuple[int, int]],
        counts: dict[str, int],
        sent_at_s: float,
        replied_at_s: float,
    ) -> None:
        node.scheduler.update_running_counts(lender, counts, replied_at_s)
        node.scheduler.update_free_slots(
            lender, [engine for engine, _below in wanted.wanted_slots], free
        )
        decision, effects = node.scheduler.handle_borrow_reply(
            wanted.borrow_id, lender, answer, sent_at_s, self.events.now_s
        )
        self._carry_out(node, effects)
        self._decide(node, decision)

    def _send(self, node: _Node, request: ModelRequest, granted: Granted) -> None:
        """Starts the work, after the checks that a router makes before it sends bytes."""
        grant, engine_id = granted.grant, granted.grant.slot.engine_id
        engine = self.world.engines[engine_id]
        proved = granted.cold or granted.boot_id == engine.boot_id
        if not proved or self.events.now_s >= grant.start_by_s:
            evidence = Evidence(engine_id, boot_id=engine.boot_id)
            self._release(node, granted, evidence)
            self._retry(request)
            return
        first_s, _work_s = engine.work_s(request)
        boot_id = engine.boot_id
        first_choice = self.ranked[request.chat][0]

        def ended(whole: bool) -> None:
            evidence = Evidence(
                engine_id,
                boot_id=boot_id if whole else "",
                whole=whole,
                first_token_s=first_s,
                expected_first_token_s=first_s,
                failure="" if whole else "backend_protocol",
                chat_hash=granted.claim.chat_hash,
                first_choice=first_choice,
            )
            self._release(node, granted, evidence)
            if not whole:
                # The next connection shows the new boot id.
                node.scheduler.record_boot_id(engine_id, engine.boot_id)
                self._retry(request)

        self.world.start(engine, request, ended)

    def _release(self, node: _Node, granted: Granted, evidence: Evidence) -> None:
        grant = granted.grant
        now_s = self.events.now_s
        effects = node.scheduler.release_slot(grant.slot, grant.grant_id, evidence, now_s)
        self._carry_out(node, effects)

    def _retry(self, request: ModelRequest) -> None:
        if request.tries < MAX_TRIES:
            self.events.after(RETRY_S, self.arrive, request)
        else:
            self.world.counters.refused += 1


class DirectRouter:
    """Baselines that send at once; an engine without a free slot queues the request itself.

    `choose` gets the request, the engines in service and the loads last reported to the node.
    """

    def __init__(
        self,
        world: World,
        choose: Callable[[ModelRequest, list[str], dict[str, int], Random], str],
    ) -> None:
        self.world, self.events, self.choose = world, world.events, choose
        self.notes = [world.note] * len(world.note.statement.nodes)
        self.loads: list[dict[str, int]] = [{} for _ in self.notes]
        for number in range(len(self.notes)):
            self.events.after(world.random.random() * GOSSIP_S, self._report, number)

    def _report(self, number: int) -> None:
        """Takes the load that the engines report, once a second."""
        self.events.after(GOSSIP_S, self._report, number)
        self.loads[number] = {e.engine_id: e.load for e in self.world.engines.values()}

    def publish(self, note: Note) -> None:
        """Brings a note to the nodes with the platform's delay."""
        for number in range(len(self.notes)):
            delay_s = 0.1 + 0.9 * self.world.random.random()
            self.events.after(delay_s, self.notes.__setitem__, number, note)

    def arrive(self, request: ModelRequest) -> None:
        """Sends a request to the engine that the baseline chooses."""
        request.tries += 1
        statement = self.notes[request.node].statement
        zones = statement.zones
        serving = [e for e, t in statement.engines.items() if zones[t.zone].state.value == "in"]
        chosen = self.choose(request, serving, self.loads[request.node], self.world.random)
        engine = self.world.engines[chosen]

        def ended(whole: bool) -> None:
            if not whole and request.tries < MAX_TRIES:
                self.events.after(RETRY_S, self.arrive, request)

        if len(engine.running) < engine.slots:
            self.world.start(engine, request, ended)
            return
        engine.waiting.append((request, ended))
        self.world.counters.overloaded += 1

    def ended(self) -> None:
        """Lets the engines start what waits at them."""
        for engine in self.world.engines.values():
            while engine.waiting and len(engine.running) < engine.slots:
                request, ended = engine.waiting.popleft()
                self.world.start(engine, request, ended)


def choose_random(
    _request: ModelRequest, serving: list[str], _loads: dict[str, int], random: Random
) -> str:
    """Uniformly random choice."""
    return random.choice(serving)


def choose_least_loaded(
    _request: ModelRequest, serving: list[str], loads: dict[str, int], random: Random
) -> str:
    """Least loaded engine by the last report."""
    return min(serving, key=lambda engine_id: (loads.get(engine_id, 0), random.random()))


def choose_by_hash(
    request: ModelRequest, serving: list[str], _loads: dict[str, int], _random: Random
) -> str:
    """Plain consistent hashing, without regard to load."""
    return rank_engines(str(request.chat), dict.fromkeys(serving, 1.0))[0]


class CentralRouter:
    """Exact central chooser: knows loads, caches, boots and zones of this very moment."""

    def __init__(self, world: World) -> None:
        self.world, self.events = world, world.events
        self.waiting: deque[ModelRequest] = deque()

    def publish(self, note: Note) -> None:
        """Does nothing: the world's note is known at once."""

    def arrive(self, request: ModelRequest) -> None:
        """Starts a request, or lets it wait in one queue."""
        request.tries += 1
        if not self._place(request):
            self.waiting.append(request)

    def ended(self) -> None:
        """Serves what waits, in order."""
        still_waiting = []
        for _ in range(min(len(self.waiting), CENTRAL_TRIES)):
            request = self.waiting.popleft()
            if self.events.now_s > request.at_s + request.deadline_s:
                self.world.counters.refused += 1
            elif not self._place(request):
                still_waiting.append(request)
        self.waiting.extendleft(reversed(still_waiting))

    def _place(self, request: ModelRequest) -> bool:
        serving = self.world.serving()
        mean = mean_running({engine.engine_id: engine.load for engine in serving})
        bound = slot_index_limit(self.world.note.statement.rules.load_multiple, mean)
        home = max(serving, key=lambda engine: engine.cached(request))
        waited_s = self.events.now_s - request.at_s
        open_engines = [e for e in serving if e.load < min(bound, e.allowance())]
        if home not in open_engines and home.cached(request):
            rebuild_s = home.cached(request) / PREFILL_TOKENS_PER_S
            if max(waited_s, home.work_s(request)[1] / home.slots) < rebuild_s:
                return False
        if not open_engines:
            open_engines = [e for e in serving if e.load < e.allowance()]
        if not open_engines:
            return False
        engine = max(open_engines, key=lambda e: (e.cached(request), -e.load))

        def ended(whole: bool) -> None:
            if not whole and request.tries < MAX_TRIES:
                self.events.after(RETRY_S, self.arrive, request)

        self.world.start(engine, request, ended)
        return True
