"""Report of the demo: one HTML page with embedded plots."""

import base64
import html
import io
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tanagerworks.load.report import ObservedOutcome, Report
from tools.result_checks import RunResult

_COLOURS = {
    ObservedOutcome.WHOLE: "#3a7d44",
    ObservedOutcome.NOT_RUN: "#d9a441",
    ObservedOutcome.UNKNOWN: "#7a6fb0",
    ObservedOutcome.WRONG: "#b3261e",
    ObservedOutcome.DISCONNECTED: "#8c8c8c",
}


@dataclass(frozen=True)
class Sample:
    """Number of requests at each engine at a time of CLOCK_MONOTONIC."""

    at_s: float
    running: dict[str, int]


def write_report(
    directory: Path,
    result: RunResult,
    report: Report,
    started_s: float,
    events: Sequence[tuple[float, str]],
    samples: Sequence[Sample],
) -> Path:
    """Writes ``demo.html`` and returns its path."""
    figures = {**result.figures, **result.other_figures}
    rows = "".join(f"<tr><td>{name}</td><td>{value}</td></tr>" for name, value in figures.items())
    items = "".join(
        f"<li>{at_s - started_s:.1f} s: {html.escape(text)}</li>" for at_s, text in events
    )
    plots = "".join(
        f'<img alt="{name}" src="data:image/png;base64,{image}">'
        for name, image in _plots(report, started_s, events, samples)
    )
    details = "".join(f"<li>{html.escape(line)}</li>" for line in result.details)
    page = (
        '<!doctype html><meta charset="utf-8"><title>Tanagerworks demo</title>'
        "<style>body{font:15px sans-serif;max-width:62em;margin:2em auto}"
        "td{padding:.1em 1em .1em 0}img{width:100%}</style>"
        f"<h1>Tanagerworks demo</h1><table>{rows}</table><ul>{items}</ul><ul>{details}</ul>{plots}"
    )
    path = directory / "demo.html"
    path.write_text(page, encoding="utf-8")
    return path


def _plots(
    report: Report,
    started_s: float,
    events: Sequence[tuple[float, str]],
    samples: Sequence[Sample],
) -> list[tuple[str, str]]:
    # Imported here because the import alone takes about a second.
    from matplotlib.figure import Figure

    def draw_events(axes: Any) -> None:
        for at_s, text in events:
            axes.axvline(at_s - started_s, color="#999999", linewidth=0.8)
            axes.annotate(
                text[:34],
                (at_s - started_s, 0.98),
                xycoords=("data", "axes fraction"),
                rotation=90,
                fontsize=6,
                va="top",
                ha="right",
            )
        axes.set_xlabel("seconds")

    ends_figure = Figure(figsize=(10, 4))
    axes = ends_figure.subplots()
    seconds = sorted(report.timeline)
    bottoms = [0] * len(seconds)
    for seen, colour in _COLOURS.items():
        counts = [report.timeline[second][seen.value] for second in seconds]
        offsets = [second - started_s for second in seconds]
        axes.bar(offsets, counts, 1.0, bottoms, align="edge", color=colour, label=seen.value)
        bottoms = [bottom + count for bottom, count in zip(bottoms, counts, strict=True)]
    axes.set_ylabel("requests ended per second")
    axes.legend(fontsize=7, loc="lower right")
    draw_events(axes)

    running_figure = Figure(figsize=(10, 4))
    axes = running_figure.subplots()
    for name in sorted(samples[0].running) if samples else []:
        times = [sample.at_s - started_s for sample in samples]
        axes.plot(times, [sample.running[name] for sample in samples], label=name, linewidth=1)
    axes.set_ylabel("requests at each engine")
    axes.legend(fontsize=7, loc="lower right")
    draw_events(axes)

    latency_figure = Figure(figsize=(10, 4))
    axes = latency_figure.subplots()
    shares = [*range(1, 100), 99.5, 99.9]
    for name in sorted(report.histograms):
        axes.plot(shares, [report.percentile_ms(name, share) for share in shares], label=name)
    axes.set_yscale("log")
    axes.set_xlabel("percentile")
    axes.set_ylabel("milliseconds")
    axes.legend(fontsize=7)
    named_figures = (
        ("ends of requests", ends_figure),
        ("requests at engines", running_figure),
        ("latencies", latency_figure),
    )
    return [(name, _png(figure)) for name, figure in named_figures]


def _png(figure: Any) -> str:
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format="png", dpi=110)
    return base64.b64encode(buffer.getvalue()).decode("ascii")
