"""Starts a small deployment, loads it, disturbs it and shows what its callers saw.

The last line of the output is one JSON object. Every figure in it is counted at callers, engines
and services. The exit status is 1 if a figure that must be zero is not.
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
from tools.deployment import CUSTOMERS, MODEL, SERVICE, Deployment, Sizes, customer_key
from tools.fleet import Fleet, FleetError, NodeAddresses
from tools.result_checks import ZERO_FIGURES, PlannedStop, RunResult, check_results

LOAD_S = 30.0
_SEED = 7
_BUILD = Path("build")
# Settings and logs of all processes of the newest run.
_LOGS = _BUILD / "demo-logs"
_SAMPLE_PERIOD_S = 0.25
_STOP_LIMIT_S = 12.0
_ZONE = "sfax-thyna"


@dataclass
class Story:
    """What happened while the load ran; times are of CLOCK_MONOTONIC."""

    started_s: float
    events: list[tuple[float, str]] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)

    def tell(self, text: str) -> None:
        """Prints a progress line and keeps it for the report."""
        now_s = time.monotonic()
        self.events.append((now_s, text))
        print(f"[{now_s - self.started_s:5.1f} s] {text}", flush=True)


def load_settings(deployment: Deployment) -> dict[str, Any]:
    """Returns a mixed load: large and small customers, tickets, drafts, orders."""
    chats: list[dict[str, Any]] = []
    for number, customer in enumerate(CUSTOMERS):
        base = {"customer": customer, "key": customer_key(customer), "model": MODEL}
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
        chats.append({**base, **chat})
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


def demo_sizes() -> Sizes:
    """Returns 6 nodes, 5 engines and 3 order services."""
    return Sizes(
        engine={"tokens_per_s": 80.0, "first_token_s": 0.04},
        agent={"drain_limit_s": 10.0, "drain_notice_s": 1.0},
    )


class Sampler:
    """Reads the engines' counters in the background."""

    def __init__(self, deployment: Deployment, story: Story) -> None:
        self.deployment = deployment
        self.story = story
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._sample, name="sampler")

    def __enter__(self) -> "Sampler":
        """Starts to sample."""
        self.thread.start()
        return self

    def __exit__(self, *_error: object) -> None:
        """Stops to sample."""
        self.stopped.set()
        self.thread.join()

    def _sample(self) -> None:
        while not self.stopped.wait(_SAMPLE_PERIOD_S):
            try:
                counters = self.deployment.engine_counters()
            except HTTPError:
                continue
            running = {name: item["running"] + item["waiting"] for name, item in counters.items()}
            self.story.samples.append(Sample(time.monotonic(), running))


def disturb(deployment: Deployment, story: Story) -> None:
    """Takes a zone out and back, makes an engine cold, stops a node and kills another."""
    fleet = deployment.fleet
    cold, stopping, killed = deployment.engines[0], deployment.nodes[4], deployment.nodes[5]
    _sleep_until(story, 4.0)
    story.tell(f"taking zone {_ZONE} out of service (serial {deployment.serial + 1})")
    deployment.set_zone_state(_ZONE, "out")
    _sleep_until(story, 11.5)
    story.tell(f"returning zone {_ZONE} to service (serial {deployment.serial + 1})")
    deployment.set_zone_state(_ZONE, "in")
    _sleep_until(story, 14.0)
    story.tell(f"engine {cold.name} goes cold without notice: connections break, cache is lost")
    fleet.send_control(cold.address, "cold", {"break_connections": True})
    _sleep_until(story, 17.0)
    with ThreadPoolExecutor(1) as threads:
        stopped = threads.submit(_stop_node, deployment, story, stopping)
        _sleep_until(story, 23.0)
        story.tell(f"killing node {killed.node_id}")
        fleet.kill_node(killed)
        stopped.result()


def _stop_node(deployment: Deployment, story: Story, node: NodeAddresses) -> None:
    story.tell(f"stopping node {node.node_id} gracefully")
    signalled_s = time.monotonic()
    statuses = deployment.fleet.stop_node(node, _STOP_LIMIT_S)
    exited_s = time.monotonic()
    stop = PlannedStop(
        node.node_id, tuple(node.caller_addresses), signalled_s, exited_s, tuple(statuses)
    )
    story.planned_stops.append(stop)
    took_s = exited_s - signalled_s
    story.tell(f"node {node.node_id} ended after {took_s:.1f} s, exit statuses {statuses}")
    for item, status in zip(deployment.fleet.node_processes(node), statuses, strict=True):
        if status != 0:
            story.tell(f"last log lines of {item.name}: {item.log_path.read_text()[-1500:]}")


def _sleep_until(story: Story, seconds: float) -> None:
    time.sleep(max(0.0, story.started_s + seconds - time.monotonic()))


def run_demo(directory: Path) -> tuple[RunResult, Report, Story]:
    """Runs the deployment under load and returns what was counted."""
    story = Story(time.monotonic())
    with Fleet(directory) as fleet:
        deployment = Deployment(fleet, demo_sizes())
        sizes = deployment.sizes
        print(
            f"starting {sizes.engines} engines, {sizes.order_services} order services and"
            f" {sizes.nodes} nodes in {len(deployment.statement['zones'])} zones",
            flush=True,
        )
        deployment.start()
        print(f"all nodes ready after {time.monotonic() - story.started_s:.1f} s", flush=True)
        _check_nodes(deployment.nodes, fleet)
        story.started_s = time.monotonic()
        story.tell("load begins")
        report_path = fleet.start_load("load", load_settings(deployment))
        with Sampler(deployment, story):
            disturb(deployment, story)
            fleet.wait_for_load("load", LOAD_S + 20.0)
        story.tell("load ended")
        report = merge_reports([json.loads(report_path.read_text(encoding="utf-8"))])
        engines, services = deployment.engine_counters(), deployment.service_counters()
        verdict = check_results(report, engines, services, story.planned_stops)
    return verdict, report, story


def _check_nodes(nodes: list[NodeAddresses], fleet: Fleet) -> None:
    for node in nodes:
        for item in fleet.node_processes(node):
            if item.process.poll() is not None:
                raise FleetError(f"{item.name} ended: {item.log_path.read_text()[-2000:]}")


def print_table(verdict: RunResult, report: Report) -> None:
    """Prints the figures and the latencies."""
    print()
    for name, value in {**verdict.figures, **verdict.other_figures}.items():
        must_be_zero = name in ZERO_FIGURES or name in verdict.other_figures
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
    for line in verdict.details[:20]:
        print(f"  {line}")


def _interrupt(_signal: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """Runs the demo and returns its exit status."""
    signal.signal(signal.SIGTERM, _interrupt)
    started_s = time.monotonic()
    _BUILD.mkdir(exist_ok=True)
    try:
        shutil.rmtree(_LOGS, ignore_errors=True)
        _LOGS.mkdir()
        verdict, report, story = run_demo(_LOGS)
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return 130
    except FleetError as error:
        print(f"demo failed: {error}", file=sys.stderr)
        return 1
    print_table(verdict, report)
    page = write_report(_BUILD, verdict, report, story.started_s, story.events, story.samples)
    print(f"\nreport: {page}")
    seconds = round(time.monotonic() - started_s, 1)
    print(json.dumps({**verdict.figures, "seconds": seconds}), flush=True)
    return 1 if verdict.violations() else 0


if __name__ == "__main__":
    sys.exit(main())
