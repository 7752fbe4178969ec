"""Starts a small deployment, runs load and faults on it, and shows what its callers observed.

The last line of the output is one JSON object with figures counted at callers, engines and
services. The exit status is 1 if a figure that must be zero is not.
"""

import json
import shutil
import signal
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from types import FrameType
from typing import Any

from urllib3.exceptions import HTTPError

from tanagerworks.load.report import Report, merge_reports
from tools.demo_report import Sample, write_report
from tools.deployment import CUSTOMERS, MODEL, SERVICE, Deployment, DeploymentOptions, customer_key
from tools.fleet import Fleet, FleetError, NodeAddresses
from tools.result_checks import ZERO_FIGURES, PlannedStop, RunResult, check_results

LOAD_S = 30.0
_SEED = 7
_BUILD_DIRECTORY = Path("build")
# Settings and logs of all processes of the last run.
_LOG_DIRECTORY = _BUILD_DIRECTORY / "demo-logs"
_SAMPLE_PERIOD_S = 0.25
_STOP_LIMIT_S = 12.0
_ZONE = "sfax-thyna"


@dataclass
class RunTimeline:
    """Events, load samples and planned stops of a run; times are of CLOCK_MONOTONIC."""

    started_s: float
    events: list[tuple[float, str]] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)

    def record_event(self, text: str) -> None:
        """Prints a progress line and stores it for the report."""
        now_s = time.monotonic()
        self.events.append((now_s, text))
        print(f"[{now_s - self.started_s:5.1f} s] {text}", flush=True)


def build_load_settings(deployment: Deployment) -> dict[str, Any]:
    """Returns a mixed load: long drafts, one-token tagging, a surge, and orders with tickets."""
    chats: list[dict[str, Any]] = []
    for number, customer in enumerate(CUSTOMERS):
        common = {"customer": customer, "key": customer_key(customer), "model": MODEL}
        chat: dict[str, Any] = {"callers": 3, "streamed_share": 0.7, "pause_s": 0.6, "turns": 5}
        if number == 0:
            # Long contract drafts, some of them read slowly.
            chat = {
                "callers": 4,
                "prompt_words": 400,
                "max_tokens": 60,
                "pause_s": 1.0,
                "slow_reader_share": 0.2,
                "turns": 6,
            }
        elif number in (1, 2):
            # Letter tagging: the answer is one token, yes or no.
            chat = {"callers": 4, "max_tokens": 1, "streamed_share": 0.0, "pause_s": 0.3}
        elif number == 3:
            chat = {**chat, "surge": {"start_s": 8.0, "seconds": 5.0, "factor": 4}}
        elif number == 4:
            chat = {**chat, "disconnect_share": 0.2}
        chats.append({**common, **chat})
    orders = [
        {
            "customer": customer,
            "key": customer_key(customer),
            "service": SERVICE,
            "callers": 2,
            "pause_s": 0.4,
            "ticket_share": share,
        }
        for customer, share in (("regie-centrale", 1.0), ("ligue-du-sud", 0.5))
    ]
    return {
        "nodes": deployment.caller_addresses(),
        "seconds": LOAD_S,
        "seed": _SEED,
        "chats": chats,
        "orders": orders,
        "answer_timeout_s": 12.0,
    }


def demo_options() -> DeploymentOptions:
    """Returns 6 nodes, 5 engines and 3 order services."""
    return DeploymentOptions(
        engine={"tokens_per_s": 80.0, "first_token_s": 0.04},
        agent={"drain_limit_s": 10.0, "drain_notice_s": 1.0},
    )


class LoadSampler:
    """Samples the load of the engines in a background thread."""

    def __init__(self, deployment: Deployment, timeline: RunTimeline) -> None:
        self.deployment = deployment
        self.timeline = timeline
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._sample_loads, name="sampler")

    def __enter__(self) -> "LoadSampler":
        """Starts the thread."""
        self.thread.start()
        return self

    def __exit__(self, *_error: object) -> None:
        """Stops the thread."""
        self.stopped.set()
        self.thread.join()

    def _sample_loads(self) -> None:
        while not self.stopped.wait(_SAMPLE_PERIOD_S):
            try:
                counters = self.deployment.engine_counters()
            except HTTPError:
                continue
            running = {name: item["running"] + item["waiting"] for name, item in counters.items()}
            self.timeline.samples.append(Sample(time.monotonic(), running))


def inject_faults(deployment: Deployment, timeline: RunTimeline) -> None:
    """Takes a zone out and returns it, makes an engine cold, stops a node and kills another."""
    fleet = deployment.fleet
    cold_engine, stopped_node, killed_node = (
        deployment.engines[0],
        deployment.nodes[4],
        deployment.nodes[5],
    )
    _sleep_until(timeline, 4.0)
    timeline.record_event(f"taking zone {_ZONE} out of service (serial {deployment.serial + 1})")
    deployment.set_zone_state(_ZONE, "out")
    _sleep_until(timeline, 11.5)
    timeline.record_event(f"returning zone {_ZONE} to service (serial {deployment.serial + 1})")
    deployment.set_zone_state(_ZONE, "in")
    _sleep_until(timeline, 14.0)
    timeline.record_event(
        f"engine {cold_engine.name} goes cold without notice: connections break, cache is lost"
    )
    fleet.send_control(cold_engine.address, "cold", {"break_connections": True})
    _sleep_until(timeline, 17.0)
    with ThreadPoolExecutor(1) as threads:
        stop_future = threads.submit(_stop_node, deployment, timeline, stopped_node)
        _sleep_until(timeline, 23.0)
        timeline.record_event(f"killing node {killed_node.node_id}")
        fleet.kill_node(killed_node)
        stop_future.result()


def _stop_node(deployment: Deployment, timeline: RunTimeline, node: NodeAddresses) -> None:
    timeline.record_event(f"stopping node {node.node_id} gracefully")
    signalled_s = time.monotonic()
    statuses = deployment.fleet.stop_node(node, _STOP_LIMIT_S)
    exited_s = time.monotonic()
    stop = PlannedStop(
        node.node_id, tuple(node.caller_addresses), signalled_s, exited_s, tuple(statuses)
    )
    timeline.planned_stops.append(stop)
    took_s = exited_s - signalled_s
    timeline.record_event(
        f"node {node.node_id} ended after {took_s:.1f} s, exit statuses {statuses}"
    )
    for item, status in zip(deployment.fleet.node_processes(node), statuses, strict=True):
        if status != 0:
            timeline.record_event(
                f"last log lines of {item.name}: {item.log_path.read_text()[-1500:]}"
            )


def _sleep_until(timeline: RunTimeline, seconds: float) -> None:
    time.sleep(max(0.0, timeline.started_s + seconds - time.monotonic()))


def run_demo(directory: Path) -> tuple[RunResult, Report, RunTimeline]:
    """Runs the deployment with load and faults; returns the figures, the report and the events."""
    timeline = RunTimeline(time.monotonic())
    with Fleet(directory) as fleet:
        deployment = Deployment(fleet, demo_options())
        options = deployment.options
        print(
            f"starting {options.engines} engines, {options.order_services} order services and"
            f" {options.nodes} nodes in {len(deployment.statement['zones'])} zones",
            flush=True,
        )
        deployment.start_all()
        print(f"all nodes ready after {time.monotonic() - timeline.started_s:.1f} s", flush=True)
        _check_nodes(deployment.nodes, fleet)
        timeline.started_s = time.monotonic()
        timeline.record_event("load begins")
        report_path = fleet.start_load("load", build_load_settings(deployment))
        with LoadSampler(deployment, timeline):
            inject_faults(deployment, timeline)
            fleet.wait_for_load("load", LOAD_S + 20.0)
        timeline.record_event("load ended")
        report = merge_reports([json.loads(report_path.read_text(encoding="utf-8"))])
        engines, services = deployment.engine_counters(), deployment.service_counters()
        result = check_results(report, engines, services, timeline.planned_stops)
    return result, report, timeline


def _check_nodes(nodes: list[NodeAddresses], fleet: Fleet) -> None:
    for node in nodes:
        for item in fleet.node_processes(node):
            if item.process.poll() is not None:
                raise FleetError(f"{item.name} ended: {item.log_path.read_text()[-2000:]}")


def print_table(result: RunResult, report: Report) -> None:
    """Prints the figures and the latencies."""
    print()
    for name, value in {**result.figures, **result.other_figures}.items():
        must_be_zero = name in ZERO_FIGURES or name in result.other_figures
        mark = "" if not must_be_zero else ("  ok" if value == 0 else "  NOT ZERO")
        print(f"  {name:28}{value:>8}{mark}")
    for name in ("disconnected", "ticket_repeats", "ticket_repeats_not_answered"):
        print(f"  {name:28}{report.counts[name]:>8}")
    print(f"\n  {'milliseconds':28}{'p50':>8}{'p95':>8}{'p99':>8}")
    for name in sorted(report.histograms):
        values = [report.percentile_ms(name, value) for value in (50, 95, 99)]
        print(f"  {name:28}" + "".join(f"{value:>8.1f}" for value in values))
    if report.failed_attempts:
        codes = ", ".join(f"{code} {count}" for code, count in report.failed_attempts.items())
        print(f"\n  failed attempts that were repeated: {codes}")
    for line in result.details[:20]:
        print(f"  {line}")


def _raise_keyboard_interrupt(_signal: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """Runs the demo and returns its exit status."""
    signal.signal(signal.SIGTERM, _raise_keyboard_interrupt)
    started_s = time.monotonic()
    _BUILD_DIRECTORY.mkdir(exist_ok=True)
    try:
        shutil.rmtree(_LOG_DIRECTORY, ignore_errors=True)
        _LOG_DIRECTORY.mkdir()
        result, report, timeline = run_demo(_LOG_DIRECTORY)
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return 130
    except FleetError as error:
        print(f"demo failed: {error}", file=sys.stderr)
        return 1
    print_table(result, report)
    page = write_report(
        _BUILD_DIRECTORY, result, report, timeline.started_s, timeline.events, timeline.samples
    )
    print(f"\nreport: {page}")
    seconds = round(time.monotonic() - started_s, 1)
    print(json.dumps({**result.figures, "seconds": seconds}), flush=True)
    return 1 if result.violations() else 0


if __name__ == "__main__":
    sys.exit(main())
