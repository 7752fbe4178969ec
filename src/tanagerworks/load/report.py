"""Outcomes and latencies that callers observed.

A report is written as one JSON document; reports of several processes can be merged.
"""

import json
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

_MAX_MICROSECONDS = 600_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 95.0, 99.0, 100.0)


class ObservedOutcome(Enum):
    """How a request ended as its caller observed it; values are keys of the report's counts."""

    WHOLE = "whole_answers"
    NOT_RUN = "refused_not_run"
    UNKNOWN = "unknown_outcome"
    WRONG = "wrong_answers"
    # The caller closed the connection before the answer was complete.
    DISCONNECTED = "disconnected"


@dataclass(frozen=True)
class Failure:
    """An attempt with an unknown outcome, or a request that did not run or got a wrong answer.

    Times are seconds of CLOCK_MONOTONIC. `seen` is the value of an `ObservedOutcome`.
    """

    started_s: float
    ended_s: float
    node: str
    kind: str
    seen: str
    code: str


@dataclass
class OrderRecord:
    """Outcome of one booking or debit for its caller.

    `ticket` is true if it was sent with a ticket, `seen` is the value of an `ObservedOutcome`
    and `calls` is the number of attempts.
    """

    ticket: bool
    seen: str
    calls: int


@dataclass
class Report:
    """Counts, latency histograms and failures of one run."""

    counts: Counter[str] = field(default_factory=Counter)
    by_customer: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    # Failed attempts that were followed by a retry, by code.
    failed_attempts: Counter[str] = field(default_factory=Counter)
    failures: list[Failure] = field(default_factory=list)
    orders: dict[str, OrderRecord] = field(default_factory=dict)
    histograms: dict[str, HdrHistogram] = field(default_factory=dict)
    # Number of ended requests by second of CLOCK_MONOTONIC and outcome.
    timeline: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    seconds: float = 0.0

    def record_duration(self, name: str, seconds: float) -> None:
        """Adds a duration in seconds to the histogram `name`, clamped to the histogram's range."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = HdrHistogram(
                1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS
            )
        histogram.record_value(min(_MAX_MICROSECONDS, max(1, round(seconds * 1e6))))

    def record_outcome(self, customer: str, kind: str, outcome: ObservedOutcome) -> None:
        """Counts a request that ended with `outcome`.

        A request that the caller ended by disconnecting is not part of the count `requests`.
        """
        if outcome is not ObservedOutcome.DISCONNECTED:
            self.counts["requests"] += 1
        self.counts[outcome.value] += 1
        self.counts[f"kind_{kind}"] += 1
        self.by_customer[customer][outcome.value] += 1
        self.timeline[int(time.monotonic())][outcome.value] += 1

    def percentile_ms(self, name: str, percentile: float) -> float:
        """Returns a percentile (0 to 100) of a histogram in milliseconds, 0 if it is empty."""
        histogram = self.histograms.get(name)
        if histogram is None or histogram.total_count == 0:
            return 0.0
        return float(histogram.get_value_at_percentile(percentile)) / 1000

    def as_document(self) -> dict[str, Any]:
        """Returns the report as a JSON document; histograms are in HdrHistogram's encoded form."""
        latencies = {}
        for name, histogram in sorted(self.histograms.items()):
            percentiles = {
                f"p{value:g}_ms": self.percentile_ms(name, value) for value in _PERCENTILES
            }
            encoded = histogram.encode().decode("ascii")
            count = histogram.total_count
            latencies[name] = {"count": count, **percentiles, "histogram": encoded}
        return {
            "counts": {
                **{outcome.value: 0 for outcome in ObservedOutcome},
                "requests": 0,
                **self.counts,
            },
            "by_customer": {name: dict(counts) for name, counts in self.by_customer.items()},
            "failed_attempts": dict(self.failed_attempts),
            "failures": [asdict(failure) for failure in self.failures],
            "orders": {number: asdict(order) for number, order in self.orders.items()},
            "latencies": latencies,
            "timeline": {str(second): dict(ends) for second, ends in self.timeline.items()},
            "seconds": self.seconds,
        }


def parse_report(document: dict[str, Any]) -> Report:
    """Returns the report of a document that `Report.as_document` returned."""
    report = Report(
        counts=Counter(document["counts"]),
        failed_attempts=Counter(document["failed_attempts"]),
        failures=[Failure(**item) for item in document["failures"]],
        orders={number: OrderRecord(**item) for number, item in document["orders"].items()},
        seconds=document["seconds"],
    )
    for name, counts in document["by_customer"].items():
        report.by_customer[name] = Counter(counts)
    for second, ends in document["timeline"].items():
        report.timeline[int(second)] = Counter(ends)
    for name, item in document["latencies"].items():
        report.histograms[name] = HdrHistogram.decode(item["histogram"])
    return report


def merge_reports(documents: Iterable[dict[str, Any]]) -> Report:
    """Returns one report for several load processes that ran at the same time."""
    merged = Report()
    for report in map(parse_report, documents):
        merged.counts.update(report.counts)
        merged.failed_attempts.update(report.failed_attempts)
        merged.failures.extend(report.failures)
        merged.orders.update(report.orders)
        merged.seconds = max(merged.seconds, report.seconds)
        for name, counts in report.by_customer.items():
            merged.by_customer[name].update(counts)
        for second, ends in report.timeline.items():
            merged.timeline[second].update(ends)
        for name, histogram in report.histograms.items():
            if name in merged.histograms:
                merged.histograms[name].add(histogram)
            else:
                merged.histograms[name] = histogram
    return merged


def compare_reports(paths: tuple[Path, Path]) -> str:
    """Returns a table of the counts and percentiles of two reports and their differences.

    A difference is the value of the second report minus that of the first.
    """
    first_report, second_report = (json.loads(path.read_text(encoding="utf-8")) for path in paths)
    rows: list[tuple[str, float, float]] = []
    for name in sorted({*first_report["counts"], *second_report["counts"]}):
        rows.append(
            (name, first_report["counts"].get(name, 0), second_report["counts"].get(name, 0))
        )
    for name in sorted({*first_report["latencies"], *second_report["latencies"]}):
        for percentile in _PERCENTILES:
            key = f"p{percentile:g}_ms"
            pair = [
                report["latencies"].get(name, {}).get(key, 0.0)
                for report in (first_report, second_report)
            ]
            rows.append((f"{name} {key}", pair[0], pair[1]))
    titles = [path.stem[-16:] for path in paths]
    lines = [f"{'':32}{titles[0]:>18}{titles[1]:>18}{'difference':>14}"]
    for name, first, second in rows:
        lines.append(f"{name:32}{first:>18.6g}{second:>18.6g}{second - first:>+14.6g}")
    return "\n".join(lines)
