"""Checks of the counts that callers, engines and services made during a run."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from tanagerworks.load.report import ObservedOutcome, Report

# Time after which servers in a zone or VM taken out of service must get no new work.
ZONE_OUT_GRACE_S = 5.0
# Names of the figures in the demo's last line that must be zero.
ZERO_FIGURES = (
    "wrong_answers",
    "double_executions",
    "cut_by_planned_stop",
    "overloaded_engine_samples",
    "new_work_in_zone_out",
)
_INTERRUPTION_CODES = frozenset({"connection_broken", "truncated"})


@dataclass(frozen=True)
class PlannedStop:
    """A planned stop of a node, from the signal to the exit; times are of CLOCK_MONOTONIC."""

    node_id: str
    callers: tuple[str, ...]
    signalled_s: float
    exited_s: float
    # Exit statuses of the processes; not 0 for one that failed or was killed after the limit.
    statuses: tuple[int, ...]


@dataclass
class RunResult:
    """Figures of a run; `details` describes each case behind a figure that should be zero."""

    figures: dict[str, int]
    # Also zero in a run without faults, but not part of the demo's last line.
    other_figures: dict[str, int]
    details: list[str] = field(default_factory=list)

    def violations(self) -> list[str]:
        """Returns the figures of the demo's last line that must be zero and are not."""
        return [
            f"{name} = {self.figures[name]}" for name in ZERO_FIGURES if self.figures[name] != 0
        ]


def check_results(
    report: Report,
    engines: dict[str, dict[str, Any]],
    services: dict[str, dict[str, Any]],
    planned_stops: Iterable[PlannedStop] = (),
) -> RunResult:
    """Returns the figures of a run.

    `engines` and `services` map names to the counters that the stand-ins returned.
    """
    details: list[str] = []
    planned_stops = list(planned_stops)
    executions: Counter[str] = Counter()
    for counters in services.values():
        executions.update(counters["executions"])
    repeated = [f"order {number}: {count}" for number, count in executions.items() if count > 1]
    details += [f"executed more than once: {item}" for item in repeated]
    false_not_run = [
        number
        for number, order in report.orders.items()
        if order.seen == ObservedOutcome.NOT_RUN.value and executions[number]
    ]
    details += [f"reported as not run but executed: order {number}" for number in false_not_run]
    lost = [
        number
        for number, order in report.orders.items()
        if order.seen == ObservedOutcome.WHOLE.value and not executions[number]
    ]
    details += [f"answered but never executed: order {number}" for number in lost]
    interrupted = _interrupted_requests(report, planned_stops)
    details += [f"cut by a planned stop: {item}" for item in interrupted]
    wrong = [item for item in report.failures if item.seen == ObservedOutcome.WRONG.value]
    details += [f"wrong answer: {item}" for item in wrong]
    ungraceful = [stop for stop in planned_stops if any(stop.statuses)]
    details += [f"not a graceful stop: {stop}" for stop in ungraceful]
    late_work = _late_zone_work(engines, services)
    details += late_work
    figures = {
        "requests": report.counts["requests"],
        **{
            seen.value: report.counts[seen.value]
            for seen in (
                ObservedOutcome.WHOLE,
                ObservedOutcome.NOT_RUN,
                ObservedOutcome.UNKNOWN,
                ObservedOutcome.WRONG,
            )
        },
        "double_executions": sum(count - 1 for count in executions.values() if count > 1),
        "cut_by_planned_stop": len(interrupted),
        "overloaded_engine_samples": _sum_counter(engines, "overloaded_samples"),
        "new_work_in_zone_out": len(late_work),
    }
    other_figures = {
        "cold_overruns": _sum_counter(engines, "cold_overruns"),
        "cold_overruns_unseen": _sum_counter(engines, "cold_overruns_unseen"),
        "false_not_run": len(false_not_run),
        "lost_orders": len(lost),
        "ungraceful_planned_stops": len(ungraceful),
        "ticket_repeats_differing": report.counts["ticket_repeats_differing"],
    }
    return RunResult(figures, other_figures, details)


def _sum_counter(engines: dict[str, dict[str, Any]], name: str) -> int:
    return sum(int(counters[name]) for counters in engines.values())


def _interrupted_requests(report: Report, planned_stops: Iterable[PlannedStop]) -> list[str]:
    interrupted = []
    for stop in planned_stops:
        for failure in report.failures:
            if failure.node not in stop.callers or failure.code not in _INTERRUPTION_CODES:
                continue
            # The exit of a process and the last bytes of its connections may be observed in either
            # order.
            if stop.signalled_s <= failure.ended_s <= stop.exited_s + 0.5:
                interrupted.append(f"{stop.node_id} {failure}")
    return interrupted


def _late_zone_work(
    engines: dict[str, dict[str, Any]], services: dict[str, dict[str, Any]]
) -> list[str]:
    return [
        f"{name} got new work {after_s:.2f} s after its zone was taken out"
        for name, counters in {**engines, **services}.items()
        for after_s in counters["new_work_out_s"]
        if after_s > ZONE_OUT_GRACE_S
    ]
