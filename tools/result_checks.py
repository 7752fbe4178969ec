"""What a run amounts to, counted at callers, engines and services."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from tanagerworks.load.report import Report, Seen

# A zone or VM taken out of service gets no new work after this time.
ZONE_OUT_GRACE_S = 5.0
# Figures that must be zero, by their names in the demo's last line.
ZERO_FIGURES = (
    "wrong_answers",
    "double_executions",
    "cut_by_planned_stop",
    "overloaded_engine_samples",
    "new_work_in_zone_out",
)
_CUT_CODES = frozenset({"connection_broken", "truncated"})


@dataclass(frozen=True)
class PlannedStop:
    """The time from the signal to the exit of a node that was stopped as planned."""

    node_id: str
    callers: tuple[str, ...]
    signalled_s: float
    exited_s: float
    # Of its processes; not 0 if one did not end by itself in time.
    statuses: tuple[int, ...]


@dataclass
class RunResult:
    """Figures of a run; `details` names what was seen behind those that should be zero."""

    figures: dict[str, int]
    # Also zero in a faultless run, but not part of the demo's last line.
    other_figures: dict[str, int]
    details: list[str] = field(default_factory=list)

    def violations(self) -> list[str]:
        """Returns the figures of the last line that must be zero and are not."""
        return [
            f"{name} = {self.figures[name]}" for name in ZERO_FIGURES if self.figures[name] != 0
        ]


def check_results(
    report: Report,
    engines: dict[str, dict[str, Any]],
    services: dict[str, dict[str, Any]],
    planned_stops: Iterable[PlannedStop] = (),
) -> RunResult:
    """Returns the verdict of a run."""
    details: list[str] = []
    planned_stops = list(planned_stops)
    executions: Counter[str] = Counter()
    for counters in services.values():
        executions.update(counters["executions"])
    doubles = [f"order {number}: {count}" for number, count in executions.items() if count > 1]
    details += [f"executed more than once: {item}" for item in doubles]
    false_not_run = [
        number
        for number, order in report.orders.items()
        if order.seen == Seen.NOT_RUN.value and executions[number]
    ]
    details += [f"reported as not run but executed: order {number}" for number in false_not_run]
    lost = [
        number
        for number, order in report.orders.items()
        if order.seen == Seen.WHOLE.value and not executions[number]
    ]
    details += [f"answered but never executed: order {number}" for number in lost]
    cut = _cut(report, planned_stops)
    details += [f"cut by a planned stop: {item}" for item in cut]
    wrong = [item for item in report.failures if item.seen == Seen.WRONG.value]
    details += [f"wrong answer: {item}" for item in wrong]
    ungraceful = [stop for stop in planned_stops if any(stop.statuses)]
    details += [f"not a graceful stop: {stop}" for stop in ungraceful]
    late_work = _late_work(engines, services)
    details += late_work
    figures = {
        "requests": report.counts["requests"],
        **{
            seen.value: report.counts[seen.value]
            for seen in (Seen.WHOLE, Seen.NOT_RUN, Seen.UNKNOWN, Seen.WRONG)
        },
        "double_executions": sum(count - 1 for count in executions.values() if count > 1),
        "cut_by_planned_stop": len(cut),
        "overloaded_engine_samples": _total(engines, "overloaded_samples"),
        "new_work_in_zone_out": len(late_work),
    }
    other_figures = {
        "cold_overruns": _total(engines, "cold_overruns"),
        "cold_overruns_unseen": _total(engines, "cold_overruns_unseen"),
        "false_not_run": len(false_not_run),
        "lost_orders": len(lost),
        "ungraceful_planned_stops": len(ungraceful),
        "ticket_repeats_differing": report.counts["ticket_repeats_differing"],
    }
    return RunResult(figures, other_figures, details)


def _total(engines: dict[str, dict[str, Any]], name: str) -> int:
    return sum(int(counters[name]) for counters in engines.values())


def _cut(report: Report, planned_stops: Iterable[PlannedStop]) -> list[str]:
    cut = []
    for stop in planned_stops:
        for failure in report.failures:
            if failure.node not in stop.callers or failure.code not in _CUT_CODES:
                continue
            # The end of a process and the last bytes of its connections may be seen in any order.
            if stop.signalled_s <= failure.ended_s <= stop.exited_s + 0.5:
                cut.append(f"{stop.node_id} {failure}")
    return cut


def _late_work(
    engines: dict[str, dict[str, Any]], services: dict[str, dict[str, Any]]
) -> list[str]:
    return [
        f"{name} got new work {after_s:.2f} s after its zone was taken out"
        for name, counters in {**engines, **services}.items()
        for after_s in counters["new_work_out_s"]
        if after_s > ZONE_OUT_GRACE_S
    ]
