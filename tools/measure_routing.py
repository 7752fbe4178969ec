"""Measures the scheduling decisions against baselines and an exact central chooser.

Each figure comes from the same trace with the same seed through every router, counted at the
modelled engines.
"""

import heapq
import sys
import time
from collections.abc import Callable
from random import Random
from typing import Any

from tanagerworks.note.model import Note
from tools.fleet_model import (
    DECODE_TOKENS_PER_S,
    MODEL,
    PREFILL_TOKENS_PER_S,
    CentralRouter,
    Counters,
    DirectRouter,
    ModelRequest,
    Router,
    SchedulerFleet,
    World,
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
SURGING = "customer-0"

# Share of requests, prompt tokens of a first turn, further tokens per turn, answer tokens.
_KINDS = {
    "patient": (0.2, 6000, 400, 400),
    "counter": (0.5, 600, 120, 150),
    "quick": (0.3, 300, 60, 10),
}
_DEADLINES_S = {"patient": 60.0, "counter": 15.0, "quick": 5.0}
_RESUME_SHARE = 0.8
# Mean pause of a caller between an answer and the next turn.
_PAUSE_S = 15.0

RouterFactory = Callable[[World], Router]
ROUTERS: dict[str, RouterFactory] = {
    "": SchedulerFleet,
    "random": lambda world: DirectRouter(world, choose_random),
    "least_loaded": lambda world: DirectRouter(world, choose_least_loaded),
    "hashing": lambda world: DirectRouter(world, choose_by_hash),
    "central": CentralRouter,
}


def model_note() -> Note:
    """Returns the note of the modelled deployment."""
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
    for share, _first, more, answer in _KINDS.values():
        total_s += share * (more / PREFILL_TOKENS_PER_S + answer / DECODE_TOKENS_PER_S)
    return total_s


def make_trace(
    seed: int, utilisation: float, until_s: float, surge: float = 1.0, surge_from_s: float = 0.0
) -> list[ModelRequest]:
    """Returns requests with exponential gaps; `surge` multiplies one customer's requests."""
    random = Random(seed)
    rate = utilisation * ENGINES * SLOTS / _mean_work_s()
    trace: list[ModelRequest] = []
    # Chats of each customer and kind that have ended their turn, by the time of the next one.
    chats: dict[tuple[str, str], list[tuple[float, int, int]]] = {}
    names = [f"customer-{n}" for n in range(CUSTOMERS)]
    kinds, shares = list(_KINDS), [kind[0] for kind in _KINDS.values()]
    now_s = 0.0
    chat_count = 0
    while True:
        now_s += random.expovariate(rate * (1.0 + (surge - 1.0) / CUSTOMERS))
        if now_s >= until_s:
            return trace
        weights = [surge if name == SURGING else 1.0 for name in names]
        customer = random.choices(names, weights)[0]
        if customer == SURGING and now_s < surge_from_s and random.random() > 1.0 / surge:
            continue
        kind = random.choices(kinds, shares)[0]
        _share, first, more, answer = _KINDS[kind]
        idle = chats.setdefault((customer, kind), [])
        if idle and idle[0][0] <= now_s and random.random() < _RESUME_SHARE:
            _resumes_at_s, chat, prefix = heapq.heappop(idle)
        else:
            chat_count += 1
            chat, prefix = chat_count, 0
        grown = int(random.uniform(0.5, 1.5) * (more if prefix else first))
        output = min(2000, 1 + int(random.expovariate(1.0 / answer)))
        work_s = (first + grown) / PREFILL_TOKENS_PER_S + output / DECODE_TOKENS_PER_S
        pause_s = random.expovariate(1.0 / _PAUSE_S)
        heapq.heappush(idle, (now_s + 2.0 * work_s + pause_s, chat, prefix + grown + output))
        trace.append(
            ModelRequest(
                number=len(trace),
                at_s=now_s,
                node=random.randrange(NODES),
                chat=chat,
                customer=customer,
                request_class=kind,
                prefix_tokens=prefix,
                prompt_tokens=prefix + grown,
                output_tokens=output,
                deadline_s=_DEADLINES_S[kind],
            )
        )


def play(
    name: str,
    seed: int,
    until_s: float,
    events: list[tuple[float, str, Any]] | None = None,
    **traits: Any,
) -> Counters:
    """Returns what the modelled engines counted while a router of `ROUTERS` served a trace.

    `events` are (seconds, ``restart``, engine id) or (seconds, zone state, zone); `traits` go to
    `make_trace`.
    """
    world = World(model_note(), seed)
    world.measure_from_s = WARM_UP_S
    for engine in world.engines.values():
        # The run starts with warm engines, so that the warm-up is not part of the steady state.
        engine.answers = 1000
    router = ROUTERS[name](world)
    if isinstance(router, SchedulerFleet):
        for node in router.nodes:
            for engine in world.engines.values():
                node.scheduler.cold_starts.merge_peer_answers(
                    "n0", engine.engine_id, engine.boot_id, 1000
                )
    for at_s, action, argument in events or []:
        if action == "restart":
            world.events.after(at_s, world.engines[argument].restart)
        else:
            world.events.after(at_s, world.set_zone, argument, action)
    return world.play(router, make_trace(seed, until_s=until_s, **traits), until_s)


def churn_events(seed: int, until_s: float) -> list[tuple[float, str, Any]]:
    """Returns engine restarts, and a zone that leaves and returns."""
    random = Random(seed + 1)
    events: list[tuple[float, str, Any]] = []
    at_s = WARM_UP_S
    while (at_s := at_s + random.expovariate(1 / 15.0)) < until_s:
        events.append((at_s, "restart", f"m{random.randrange(ENGINES)}"))
    events.append((until_s * 0.4, "out", ZONES[1]))
    events.append((until_s * 0.6, "in", ZONES[1]))
    return events


def measure_routing(seed: int) -> dict[str, float]:
    """Returns figures with dotted names; those of a baseline end in its name."""
    figures: dict[str, float] = {}

    def put(figure: str, name: str, value: float) -> None:
        figures[f"{figure}.{name}" if name else figure] = value

    steady = {name: play(name, seed, 80.0, utilisation=0.7) for name in ROUTERS}
    events = churn_events(seed, 100.0)
    churn = {name: play(name, seed, 100.0, events, utilisation=0.5) for name in ROUTERS}
    full = {name: play(name, seed, 50.0, utilisation=1.3) for name in ROUTERS}
    calm = {name: play(name, seed, 60.0, utilisation=0.5) for name in ROUTERS}
    surge = {
        name: play(name, seed, 60.0, utilisation=0.5, surge=20.0, surge_from_s=WARM_UP_S)
        for name in ROUTERS
    }
    for name in ROUTERS:
        runs = (steady[name], churn[name], full[name], surge[name])
        put("reuse.steady_ratio", name, steady[name].reuse / steady["central"].reuse)
        put("reuse.churn_ratio", name, churn[name].reuse / churn["central"].reuse)
        put("load.overloaded_samples", name, sum(run.overloaded for run in runs))
        within = steady[name].within_bound / steady[name].time_samples
        put("load.skew_within_bound_share", name, within)
        busy = full[name].busy_samples / full["central"].busy_samples
        put("load.utilisation_ratio", name, busy)
        put("cold.overrun_samples", name, sum(run.cold_overruns for run in runs))
        put("zone.new_work_after_5s", name, churn[name].late_zone_starts)
        ratio = surge[name].p95_s(SURGING) / calm[name].p95_s(SURGING)
        put("customers.p95_ratio", name, ratio)
        put("steady.p95_s", name, steady[name].p95_s(""))
        put("steady.refused", name, steady[name].refused)
        put("surge.refused", name, surge[name].refused)
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
