"""Measures the latency that the routers of one VM add to engine calls, and their throughput.

A load runs against the engine stand-ins directly and then through the routers. The difference is
due to the routers, as the load tool and the stand-ins cost the same in both runs. The programs run
without invariant checks, as in production.
"""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from tanagerworks.load.report import ObservedOutcome, Report, merge_reports
from tools.deployment import CUSTOMERS, MODEL, Deployment, DeploymentOptions, customer_key
from tools.fleet import Fleet

_ROUTERS = 4
_ENGINES = 4
_LOAD_PROCESSES = 4
# Tokens per second and stream at the target size: 3.3 million tokens/s over 260,000 streams.
_TOKENS_PER_S = 12.5
_STREAMS = 1000
_STREAM_TOKENS = 75
_STREAM_STEPS = (400, 550)
# Number of streams that is tried if the first step exceeds the bounds.
_FALLBACK_STREAMS = 325
_MAX_TOKEN_DELAY_MS = 5.0
_MAX_FIRST_TOKEN_S = 0.25
_SMALL_SLOTS = 8
_OVERLOAD_ANSWER_S = 0.4
_OVERLOAD_FACTOR = 10
_KIB_PER_MIB = 1024


@dataclass(frozen=True)
class ChatLoad:
    """A load of identical callers that send one-turn chats, `pause_s` after each answer.

    The callers are split over `processes` load processes and start within `ramp_s`.
    """

    name: str
    targets: Sequence[str]
    callers: int
    seconds: float
    max_tokens: int
    processes: int = 1
    streamed: bool = True
    pause_s: float = 0.0
    ramp_s: float = 0.1
    attempts: int = 1


def _run_load(fleet: Fleet, seed: int, load: ChatLoad) -> Report:
    """Runs a load in its processes and returns the merged report."""
    names = [f"{load.name}-{number}" for number in range(load.processes)]
    paths = []
    for number, name in enumerate(names):
        callers = load.callers // load.processes
        customer = CUSTOMERS[number % len(CUSTOMERS)]
        settings: dict[str, Any] = {
            "nodes": list(load.targets),
            "seconds": load.seconds,
            "health_period_s": 0,
            "seed": seed + number,
            "ramp_s": load.ramp_s,
            "attempts": load.attempts,
            "grace_s": 0.0,
            "chats": [
                {
                    "customer": customer,
                    "key": customer_key(customer),
                    "model": MODEL,
                    "callers": callers,
                    "turns": 1,
                    "pause_s": load.pause_s,
                    "prompt_words": 20,
                    "max_tokens": load.max_tokens,
                    "streamed_share": 1.0 if load.streamed else 0.0,
                }
            ],
        }
        paths.append(fleet.start_load(name, settings))
    for name in names:
        fleet.wait_for_load(name, load.seconds + 40.0)
    return merge_reports(json.loads(path.read_text(encoding="utf-8")) for path in paths)


def _resident_mb(fleet: Fleet, names: Sequence[str]) -> float:
    total_kib = 0
    for name in names:
        status = Path(f"/proc/{fleet.processes[name].process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
        total_kib += int(line.split()[1])
    return total_kib / _KIB_PER_MIB


def _large_options() -> DeploymentOptions:
    return DeploymentOptions(
        nodes=1,
        routers_per_node=_ROUTERS,
        engines=_ENGINES,
        order_services=0,
        # More slots than streams; all of them may be used directly after an engine has started.
        slots=600,
        cold_slots=600,
        max_work_s=30.0,
        engine={
            "tokens_per_s": _TOKENS_PER_S,
            "first_token_s": 0.005,
            "starts_warm": True,
            "stamps_events": True,
        },
        agent={"invariants": False},
        router={"max_streams": 800, "invariants": False},
        max_streams_per_customer=5000,
        requests_per_s_per_customer=100_000.0,
    )


def _small_options() -> DeploymentOptions:
    return DeploymentOptions(
        nodes=1,
        routers_per_node=_ROUTERS,
        engines=1,
        order_services=0,
        slots=_SMALL_SLOTS,
        cold_slots=_SMALL_SLOTS,
        engine={"first_token_s": 0.002, "starts_warm": True},
        agent={"invariants": False},
        # Few threads, so that all of them have been used before memory is compared.
        router={"max_streams": 100, "invariants": False},
        max_streams_per_customer=5000,
        requests_per_s_per_customer=100_000.0,
        max_queue=16,
    )


class SpeedMeasurement:
    """Runs the loads against one deployment with large engines."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.seed = seed
        self.engines = [engine.address for engine in deployment.engines]
        self.routers = deployment.caller_addresses()
        self.figures: dict[str, float] = {}
        self._thousand_within_bounds = False

    def run(self) -> dict[str, float]:
        """Runs all loads and returns the figures."""
        self._measure_idle_latency()
        self._measure_request_rate()
        self._measure_thousand_streams()
        self._measure_streams_per_process()
        return self.figures

    def _run_load(self, load: ChatLoad) -> Report:
        report = _run_load(self.deployment.fleet, self.seed, load)
        wrong = report.counts[ObservedOutcome.WRONG.value]
        self.figures["speed.wrong_answers"] = self.figures.get("speed.wrong_answers", 0.0) + wrong
        return report

    def _measure_idle_latency(self) -> None:
        direct = self._run_load(ChatLoad("idle-direct", self.engines, 1, 2.5, 2))
        routed = self._run_load(ChatLoad("idle-routed", self.routers, 1, 2.5, 2))
        for percentile in (50, 95):
            added = routed.percentile_ms("first_token", percentile)
            added -= direct.percentile_ms("first_token", percentile)
            self.figures[f"speed.added_p{percentile}_ms"] = added

    def _measure_request_rate(self) -> None:
        seconds = 4.0
        one = ChatLoad("rate-one", self.routers[:1], 32, seconds, 1, 2, streamed=False)
        four = ChatLoad("rate-four", self.routers, 128, seconds, 1, 4, streamed=False)
        for name, load in (("_one_process", one), ("", four)):
            report = self._run_load(load)
            rate = report.counts[ObservedOutcome.WHOLE.value] / report.seconds
            self.figures[f"speed.requests_per_s{name}"] = rate

    def _run_streams(self, name: str, targets: Sequence[str], streams: int) -> Report:
        # Callers start spread over the duration of an answer, so that answers end spread as well.
        answer_s = _STREAM_TOKENS / _TOKENS_PER_S
        return self._run_load(
            ChatLoad(
                name,
                targets,
                streams,
                answer_s + 2.5,
                _STREAM_TOKENS,
                _LOAD_PROCESSES,
                ramp_s=answer_s,
            )
        )

    def _added_latency(self, routed: Report, direct: Report) -> tuple[float, float]:
        """Returns the added p95 delay of a token in ms and of a first token in seconds."""
        token_ms = routed.percentile_ms("token_delay", 95) - direct.percentile_ms("token_delay", 95)
        first_ms = routed.percentile_ms("first_token", 95) - direct.percentile_ms("first_token", 95)
        return token_ms, first_ms / 1000

    def _measure_thousand_streams(self) -> None:
        direct = self._run_streams("streams-direct", self.engines, _STREAMS)
        routed = self._run_streams("streams-routed", self.routers, _STREAMS)
        token_ms, first_s = self._added_latency(routed, direct)
        whole_share = routed.counts[ObservedOutcome.WHOLE.value] / max(1, routed.counts["requests"])
        self.figures["speed.token_delay_p95_ms_1000"] = token_ms
        self.figures["speed.token_delay_routed_p95_ms_1000"] = routed.percentile_ms(
            "token_delay", 95
        )
        self.figures["speed.token_delay_direct_p95_ms_1000"] = direct.percentile_ms(
            "token_delay", 95
        )
        self.figures["speed.first_token_added_p95_s_1000"] = first_s
        self.figures["speed.whole_share_1000"] = whole_share
        self._thousand_within_bounds = _within_bounds(routed, token_ms, first_s)

    def _measure_streams_per_process(self) -> None:
        """Finds the largest step of `_STREAM_STEPS` that one process serves within the bounds."""
        max_streams = _STREAMS // _ROUTERS if self._thousand_within_bounds else 0
        direct = self._run_streams("process-direct", self.engines, _STREAM_STEPS[0])
        steps = list(_STREAM_STEPS)
        while steps:
            streams = steps.pop(0)
            routed = self._run_streams(f"process-{streams}", self.routers[:1], streams)
            token_ms, first_s = self._added_latency(routed, direct)
            self.figures[f"speed.token_delay_p95_ms_process_{streams}"] = token_ms
            self.figures[f"speed.first_token_added_p95_s_process_{streams}"] = first_s
            if _within_bounds(routed, token_ms, first_s):
                max_streams = max(max_streams, streams)
            elif streams == _STREAM_STEPS[0]:
                steps = [_FALLBACK_STREAMS]
        self.figures["speed.streams_per_process"] = max_streams


def _within_bounds(routed: Report, token_ms: float, first_s: float) -> bool:
    whole = routed.counts[ObservedOutcome.WHOLE.value] == routed.counts["requests"]
    return whole and token_ms < _MAX_TOKEN_DELAY_MS and first_s < _MAX_FIRST_TOKEN_S


def _measure_memory(deployment: Deployment, seed: int) -> dict[str, float]:
    """Compares the memory of agent and routers before and after about 1000 requests or more."""
    fleet = deployment.fleet
    names = [item.name for item in fleet.node_processes(deployment.nodes[0])]
    completed = 0
    measured_mb: list[float] = []
    for number in range(4):
        name = f"rounds-{number}"
        load = ChatLoad(name, deployment.caller_addresses(), 8, 2.0, 1, streamed=False)
        whole = _run_load(fleet, seed, load).counts[ObservedOutcome.WHOLE.value]
        measured_mb.append(_resident_mb(fleet, names))
        # During the first two loads the processes grow to their normal size.
        completed += whole if number >= 2 else 0
    growth_mb = measured_mb[-1] - measured_mb[1]
    return {
        "speed.memory_rounds": float(completed),
        "speed.memory_mb": measured_mb[-1],
        "speed.memory_agent_mb": _resident_mb(fleet, names[:1]),
        "speed.memory_growth_mb_per_1000": growth_mb * 1000 / max(1, completed),
    }


def _measure_overload(deployment: Deployment, seed: int) -> dict[str, float]:
    """Offers ten times the capacity and returns figures of the refusals."""
    fleet = deployment.fleet
    fleet.send_control(
        deployment.engines[0].address, "faults", {"extra_first_token_s": _OVERLOAD_ANSWER_S}
    )
    capacity = _SMALL_SLOTS / _OVERLOAD_ANSWER_S
    pause_s = 1.0
    load = ChatLoad(
        "overload",
        deployment.caller_addresses(),
        int(_OVERLOAD_FACTOR * capacity * pause_s),
        5.0,
        1,
        2,
        streamed=False,
        pause_s=pause_s,
        ramp_s=pause_s,
    )
    report = _run_load(fleet, seed, load)
    counters = deployment.engine_counters()
    refused = report.counts[ObservedOutcome.NOT_RUN.value]
    whole = report.counts[ObservedOutcome.WHOLE.value]
    return {
        "speed.refused_share_at_10x": refused / max(1, report.counts["requests"]),
        "speed.refusals_per_s_at_10x": refused / report.seconds,
        "speed.refusal_p95_ms_at_10x": report.percentile_ms("refusal_s", 95),
        "speed.goodput_ratio_at_10x": whole / report.seconds / capacity,
        "speed.overloaded_samples_at_10x": float(
            sum(item["overloaded_samples"] for item in counters.values())
        ),
    }


def measure_speed(seed: int) -> dict[str, float]:
    """Returns the figures of the routers' latency, throughput and memory by dotted name."""
    with TemporaryDirectory(prefix="tanager-speed-") as directory:
        with Fleet(Path(directory)) as fleet:
            deployment = Deployment(fleet, _large_options())
            deployment.start_all()
            figures = SpeedMeasurement(deployment, seed).run()
    with TemporaryDirectory(prefix="tanager-speed-") as directory:
        with Fleet(Path(directory)) as fleet:
            deployment = Deployment(fleet, _small_options())
            deployment.start_all()
            figures.update(_measure_memory(deployment, seed))
            figures.update(_measure_overload(deployment, seed))
    return figures
