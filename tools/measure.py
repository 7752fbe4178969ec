"""Runs all measurements with a fixed seed and prints each goal with the measured figure.

Writes ``build/measure.json``, a flat map of dotted names to numbers. The exit status is 1 if a
measurement failed; a missed target does not change it.
"""

import json
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from tools.measure_control import measure_control
from tools.measure_full_size import measure_full_size
from tools.measure_outcomes import measure_outcomes
from tools.measure_routing import measure_routing
from tools.measure_speed import measure_speed

_BUILD_DIRECTORY = Path("build")
_SEED = 20261

_MEASUREMENTS: tuple[Callable[[int], dict[str, float]], ...] = (
    measure_routing,
    measure_outcomes,
    measure_control,
    measure_full_size,
    measure_speed,
)


@dataclass(frozen=True)
class Goal:
    """A figure and its target in the design.

    `relation` is ``>=``, ``<=``, ``<`` or ``=``, or empty if the figure has no target.
    """

    name: str
    relation: str = ""
    target: float = 0.0

    def compare_figure(self, figure: float) -> str:
        """Returns ``met`` or ``MISSED``, or ``-`` if there is no target."""
        met = {
            ">=": figure >= self.target,
            "<=": figure <= self.target,
            "<": figure < self.target,
            "=": figure == self.target,
            "": None,
        }[self.relation]
        if met is None:
            return "-"
        return "met" if met else "MISSED"


_GOALS = (
    Goal("reuse.steady_ratio", ">=", 0.95),
    Goal("reuse.churn_ratio", ">=", 0.85),
    Goal("load.overloaded_samples", "=", 0),
    Goal("load.skew_within_bound_share", ">=", 0.999),
    Goal("load.utilisation_ratio", ">=", 0.90),
    Goal("cold.overrun_samples", "=", 0),
    Goal("zone.new_work_after_5s", "=", 0),
    Goal("outcome.double_executions", "=", 0),
    Goal("outcome.false_not_run", "=", 0),
    Goal("customers.p95_ratio", "<=", 1.2),
    Goal("retries.amplification", "<=", 1.1),
    Goal("control.bytes_per_s_at_350", "<=", 6000),
    Goal("control.core_share_at_350", "<=", 0.034),
    Goal("control.memory_mb_at_350", "<=", 64),
    Goal("full_size.bytes_per_s", "<=", 6000),
    Goal("full_size.core_share", "<=", 0.034),
    Goal("full_size.memory_mb", "<=", 64),
    Goal("config.seconds_to_all", "<=", 12),
    Goal("config.reversions", "=", 0),
    Goal("speed.token_delay_p95_ms_1000", "<", 5),
    Goal("speed.first_token_added_p95_s_1000", "<", 0.25),
    Goal("speed.streams_per_process", ">=", 400),
    Goal("speed.added_p50_ms", "<", 2),
    Goal("speed.requests_per_s"),
)


def baseline_figures(name: str, figures: dict[str, float]) -> dict[str, float]:
    """Returns the figures named ``GOAL.BASELINE`` of a goal by the name of the baseline."""
    prefix = f"{name}."
    return {
        key.removeprefix(prefix): figure
        for key, figure in figures.items()
        if key.startswith(prefix)
    }


def format_table(figures: dict[str, float]) -> str:
    """Returns a table of the goals with target, figure and baselines, then all other figures."""
    lines = [f"{'goal':36}{'target':>12}{'figure':>14}  {'verdict':8}baselines"]
    for goal in _GOALS:
        target = f"{goal.relation} {goal.target:g}" if goal.relation else "-"
        if goal.name not in figures:
            lines.append(f"{goal.name:36}{target:>12}{'-':>14}  not run")
            continue
        figure = figures[goal.name]
        baselines = baseline_figures(goal.name, figures).items()
        shown = ", ".join(f"{name} {value:.4g}" for name, value in baselines)
        lines.append(
            f"{goal.name:36}{target:>12}{figure:>14.6g}  {goal.compare_figure(figure):8}{shown}"
        )
    goals = {goal.name for goal in _GOALS}
    baseline_prefixes = tuple(f"{name}." for name in goals)
    lines.append("other figures")
    for name, figure in sorted(figures.items()):
        if name not in goals and not name.startswith(baseline_prefixes):
            lines.append(f"  {name:46}{figure:>14.6g}")
    return "\n".join(lines)


def main() -> int:
    """Runs the measurements and returns the exit status."""
    figures: dict[str, float] = {}
    failed: list[str] = []
    for measure in _MEASUREMENTS:
        started_s = time.monotonic()
        print(f"running {measure.__name__} with seed {_SEED}", flush=True)
        try:
            figures.update(measure(_SEED))
        except Exception:
            # The other measurements still run; the exit status reports the failure.
            traceback.print_exc()
            failed.append(measure.__name__)
        print(f"{measure.__name__} took {time.monotonic() - started_s:.0f} s", flush=True)
    print(format_table(figures))
    _BUILD_DIRECTORY.mkdir(exist_ok=True)
    path = _BUILD_DIRECTORY / "measure.json"
    path.write_text(json.dumps(figures, indent=2, sort_keys=True) + "\n", encoding="utf-8")
    for name in failed:
        print(f"{name} failed", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
