"""Measures the scheduling decisions against baselines and a central router with exact state.

All routers get the same trace with the same seed, and the simulated engines take the counts.
"""

import heapq
import sys
import time
from collections.abc import Callable
from random import Random
from typing import Any

from tanagerworks.note.model import Note
from tools.fleet_simulation import (
    DECODE_TOKENS_PER_S,
    MODEL,
    PREFILL_TOKENS_PER_S,
    CentralRouter,
    Counters,
    DirectRouter,
    Router,
    SchedulerFleet,
    SimulatedRequest,
    Simulation,
    choose_by_hash,
    choose_least_loaded,
    choose_random,
)

NODES = 9
ENGINES = 10
SLOTS = 16
ZONES = ("regina", "saskatoon", "brandon")
CUSTOMERS = 10
WARM_UP_S = 20.0
SURGING_CUSTOMER = "customer-0"

# By request class: share of requests, prompt tokens of the first turn, prompt tokens that a later
# turn adds, mean answer tokens.
_REQUEST_KINDS = {
    "patient": (0.2, 6000, 400, 400),
    "counter": (0.5, 600, 120, 150),
    "quick": (0.3, 300, 60, 10),
}
_DEADLINES_S = {"patient": 60.0, "counter": 15.0, "quick": 5.0}
_RESUME_SHARE = 0.8
# Mean time of a caller between an answer and the next turn.
_PAUSE_S = 15.0

RouterFactory = Callable[[Simulation], Router]
ROUTERS: dict[str, RouterFactory] = {
    "": SchedulerFleet,
    "random": lambda simulation: DirectRouter(simulation, choose_random),
    "least_loaded": lambda simulation: DirectRouter(simulation, choose_least_loaded),
    "hashing": lambda simulation: DirectRouter(simulation, choose_by_hash),
    "central": CentralRouter,
}


def build_note() -> Note:
    """Returns the release note of the simulated deployment."""
    customers = {
        f"customer-{n}": {"key_sha256": [f"{n:064x}"], "models": [MODEL]} for n in range(CUSTOMERS)
    }
    engines = {
        f"m{n}": {
            "address": f"127.0.0.1:{8000 + n}",
            "zone": ZONES[n % len(ZONES)],
            "model": MODEL,
            "version": "v1",
            "slots": SLOTS,
            "cold_slots": 2,
            "max_work_s": 60.0,
        }
        for n in range(ENGINES)
    }
    nodes = {
        f"n{n}": {"zone": ZONES[n % len(ZONES)], "peer_address": f"127.0.0.1:{7000 + n}"}
        for n in range(NODES)
    }
    statement = {
        "nodes": nodes,
        "zones": {zone: {} for zone in ZONES},
        "models": {MODEL: {"versions": {"v1": 1.0}}},
        "customers": customers,
        "engines": engines,
    }
    return Note.model_validate({"serial": 1, "statement": statement})


def _mean_work_s() -> float:
    total_s = 0.0
    for share, _first, later, answer in _REQUEST_KINDS.values():
        total_s += share * (later / PREFILL_TOKENS_PER_S + answer / DECODE_TOKENS_PER_S)
    return total_s


def make_trace(
    seed: int, utilisation: float, until_s: float, surge: float = 1.0, surge_from_s: float = 0.0
) -> list[SimulatedRequest]:
    """Returns requests with exponential gaps until `until_s`.

    `utilisation` is the share of the slots that the requests need on average. From `surge_from_s`
    on, the request rate of the surging customer is multiplied by `surge`.
    """
    random = Random(seed)
    rate = utilisation * ENGINES * SLOTS / _mean_work_s()
    trace: list[SimulatedRequest] = []
    # Heaps of (time of the next turn, chat, prefix tokens) by customer and request class.
    chats: dict[tuple[str, str], list[tuple[float, int, int]]] = {}
    names = [f"customer-{n}" for n in range(CUSTOMERS)]
    kinds, shares = list(_REQUEST_KINDS), [kind[0] for kind in _REQUEST_KINDS.values()]
    now_s = 0.0
    chat_count = 0
    while True:
        now_s += random.expovariate(rate * (1.0 + (surge - 1.0) / CUSTOMERS))
        if now_s >= until_s:
            return trace
        weights = [surge if name == SURGING_CUSTOMER else 1.0 for name in names]
        customer = random.choices(names, weights)[0]
        if customer == SURGING_CUSTOMER and now_s < surge_from_s and random.random() > 1.0 / surge:
            continue
        kind = random.choices(kinds, shares)[0]
        _share, first, later, answer = _REQUEST_KINDS[kind]
        idle_chats = chats.setdefault((customer, kind), [])
        if idle_chats and idle_chats[0][0] <= now_s and random.random() < _RESUME_SHARE:
            _resumes_at_s, chat, prefix_tokens = heapq.heappop(idle_chats)
        else:
            chat_count += 1
            chat, prefix_tokens = chat_count, 0
        new_tokens = int(random.uniform(0.5, 1.5) * (later if prefix_tokens else first))
        output_tokens = min(2000, 1 + int(random.expovariate(1.0 / answer)))
        work_s = (first + new_tokens) / PREFILL_TOKENS_PER_S + output_tokens / DECODE_TOKENS_PER_S
        pause_s = random.expovariate(1.0 / _PAUSE_S)
        heapq.heappush(
            idle_chats,
            (now_s + 2.0 * work_s + pause_s, chat, prefix_tokens + new_tokens + output_tokens),
        )
        trace.append(
            SimulatedRequest(
                number=len(trace),
                at_s=now_s,
                node=random.randrange(NODES),
                chat=chat,
                customer=customer,
                request_class=kind,
                prefix_tokens=prefix_tokens,
                prompt_tokens=prefix_tokens + new_tokens,
                output_tokens=output_tokens,
                deadline_s=_DEADLINES_S[kind],
            )
        )


def run_scenario(
    name: str,
    seed: int,
    until_s: float,
    events: list[tuple[float, str, Any]] | None = None,
    **trace_options: Any,
) -> Counters:
    """Returns the counts of the simulated engines while router `name` of `ROUTERS` served a trace.

    `events` are (seconds, ``restart``, engine id) or (seconds, zone state, zone); `trace_options`
    are arguments of `make_trace`.
    """
    simulation = Simulation(build_note(), seed)
    simulation.measure_from_s = WARM_UP_S
    for engine in simulation.engines.values():
        # All engines start warm, so that cold starts are not part of the steady state.
        engine.answers = 1000
    router = ROUTERS[name](simulation)
    if isinstance(router, SchedulerFleet):
        for node in router.nodes:
            for engine in simulation.engines.values():
                node.scheduler.cold_starts.merge_peer_answers(
                    "n0", engine.engine_id, engine.boot_id, 1000
                )
    for at_s, action, argument in events or []:
        if action == "restart":
            simulation.events.schedule(at_s, simulation.engines[argument].restart)
        else:
            simulation.events.schedule(at_s, simulation.set_zone_state, argument, action)
    return simulation.run_trace(router, make_trace(seed, until_s=until_s, **trace_options), until_s)


def churn_events(seed: int, until_s: float) -> list[tuple[float, str, Any]]:
    """Returns engine restarts at random times, and a zone that is taken out and returned."""
    random = Random(seed + 1)
    events: list[tuple[float, str, Any]] = []
    at_s = WARM_UP_S
    while (at_s := at_s + random.expovariate(1 / 15.0)) < until_s:
        events.append((at_s, "restart", f"m{random.randrange(ENGINES)}"))
    events.append((until_s * 0.4, "out", ZONES[1]))
    events.append((until_s * 0.6, "in", ZONES[1]))
    return events


def measure_routing(seed: int) -> dict[str, float]:
    """Returns figures by dotted name; the name of a baseline's figure ends in the baseline."""
    figures: dict[str, float] = {}

    def set_figure(figure: str, name: str, value: float) -> None:
        figures[f"{figure}.{name}" if name else figure] = value

    steady = {name: run_scenario(name, seed, 80.0, utilisation=0.7) for name in ROUTERS}
    events = churn_events(seed, 100.0)
    churn = {name: run_scenario(name, seed, 100.0, events, utilisation=0.5) for name in ROUTERS}
    saturated = {name: run_scenario(name, seed, 50.0, utilisation=1.3) for name in ROUTERS}
    without_surge = {name: run_scenario(name, seed, 60.0, utilisation=0.5) for name in ROUTERS}
    surge = {
        name: run_scenario(name, seed, 60.0, utilisation=0.5, surge=20.0, surge_from_s=WARM_UP_S)
        for name in ROUTERS
    }
    for name in ROUTERS:
        runs = (steady[name], churn[name], saturated[name], surge[name])
        set_figure(
            "reuse.steady_ratio", name, steady[name].reuse_share / steady["central"].reuse_share
        )
        set_figure(
            "reuse.churn_ratio", name, churn[name].reuse_share / churn["central"].reuse_share
        )
        set_figure("load.overloaded_samples", name, sum(run.overloads for run in runs))
        within_share = steady[name].samples_within_bound / steady[name].time_samples
        set_figure("load.skew_within_bound_share", name, within_share)
        utilisation_ratio = saturated[name].running_samples / saturated["central"].running_samples
        set_figure("load.utilisation_ratio", name, utilisation_ratio)
        set_figure("cold.overrun_samples", name, sum(run.cold_overruns for run in runs))
        set_figure("zone.new_work_after_5s", name, churn[name].late_zone_starts)
        p95_ratio = surge[name].p95_latency_s(SURGING_CUSTOMER) / without_surge[name].p95_latency_s(
            SURGING_CUSTOMER
        )
        set_figure("customers.p95_ratio", name, p95_ratio)
        set_figure("steady.p95_s", name, steady[name].p95_latency_s(""))
        set_figure("steady.refused", name, steady[name].refused)
        set_figure("surge.refused", name, surge[name].refused)
    return figures


def main() -> None:
    """Prints the figures of the seeds on the command line, or of seed 1."""
    for seed in [int(argument) for argument in sys.argv[1:]] or [1]:
        started_s = time.monotonic()
        figures = measure_routing(seed)
        print(f"seed {seed}, {time.monotonic() - started_s:.1f} s")
        for name in sorted(figures):
            print(f"  {name:45} {figures[name]:.4f}")


if __name__ == "__main__":
    main()
