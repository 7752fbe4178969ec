"""Runs a small fleet of processes under load and injects faults in random order.

The seed determines the faults and their times. Violations of the invariants are counted at
engines, services and callers; if there is one, it is printed and the exit status is 1.
"""

import json
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from tempfile import mkdtemp
from types import FrameType
from typing import Any

from absl import flags

from tanagerworks.load.report import merge_reports
from tanagerworks.program import EXIT_FAILED, EXIT_OK, CommandLine
from tools.deployment import (
    CUSTOMERS,
    MODEL,
    SERVICE,
    ZONES,
    Deployment,
    DeploymentOptions,
    customer_key,
)
from tools.fleet import Fleet, FleetError, NodeAddresses
from tools.result_checks import ZONE_OUT_GRACE_S, PlannedStop, check_results

_DESCRIPTION = """Soak: a randomised run of a small fleet with all failures on.

Usage: python -m tools.soak [--seconds=N] [--seed=N]"""

_STOP_LIMIT_S = 20.0
_START_LIMIT_S = 15.0
_SETTLE_TIME_S = 2.0
_MAX_STEP_S = 1.5
_LOG_TAIL_LINES = 15

_ENGINE_FAULTS: tuple[dict[str, Any], ...] = (
    {"break_share": 0.2},
    {"stall_share": 0.2, "stall_s": 1.5},
    {"crossed_share": 0.1},
    {"crossed_events_share": 0.1},
    {"refuse_share": 0.3},
    {"drop_share": 0.3},
    {"extra_first_token_s": 0.5},
    {"cache_event_gap_share": 0.5},
    {"draining": True},
)
_SERVICE_FAULTS: tuple[dict[str, Any], ...] = (
    {"refuse_share": 0.3},
    {"break_before_share": 0.3},
    {"break_after_share": 0.3},
    {"late_answer_share": 0.3, "late_s": 1.0},
    {"late_execution_share": 0.3, "late_s": 1.0},
)


@dataclass(frozen=True)
class ScheduledUndo:
    """A function that ends a fault, or a step towards its end, and its time on CLOCK_MONOTONIC."""

    at_s: float
    undo: Callable[[], None]


class FaultInjector:
    """Injects the faults of one run; a node with a fault gets no other until it is ready again."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.fleet = deployment.fleet
        self.rng = random.Random(seed)
        self.started_s = time.monotonic()
        self.scheduled_undos: list[ScheduledUndo] = []
        self.faulted_nodes: set[str] = set()
        self.expected_exits: set[str] = set()
        self.planned_stops: list[PlannedStop] = []
        self.violations: list[str] = []
        self.action_counts: Counter[str] = Counter()
        self.zone_out_of_service: str | None = None
        self.zone_changed_s = 0.0
        self.platform_unavailable = False
        self.actions: tuple[Callable[[], None], ...] = (
            self._kill_process,
            self._kill_node,
            self._pause_process,
            self._stop_node,
            self._fail_platform,
            self._fail_platform_for_all,
            self._make_engine_cold,
            self._fail_engine,
            self._fail_service,
            self._change_zone,
            self._change_vm,
            self._publish_note,
            self._publish_bad_note,
        )

    def run(self, seconds: float) -> None:
        """Injects faults for `seconds`, then ends those that last."""
        end_s = self.started_s + seconds
        while time.monotonic() < end_s:
            action = self.rng.choice(self.actions)
            # One fault, the same fault twice, or two faults at once.
            for chosen in self.rng.choice(
                ((action,), (action, action), (action, self.rng.choice(self.actions)))
            ):
                chosen()
            self._run_undos(self.rng.uniform(0.2, _MAX_STEP_S))
            if self.violations:
                break
        # A stop and a start schedule further steps, each when the one before has run.
        end_s = time.monotonic() + _STOP_LIMIT_S + _START_LIMIT_S
        while self.scheduled_undos and time.monotonic() < end_s:
            item = min(self.scheduled_undos, key=lambda scheduled: scheduled.at_s)
            self.scheduled_undos.remove(item)
            item.undo()
            time.sleep(0.05)

    def _run_undos(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        while True:
            now_s = time.monotonic()
            for item in [item for item in self.scheduled_undos if item.at_s <= now_s]:
                self.scheduled_undos.remove(item)
                item.undo()
            self.record_unexpected_exits()
            if now_s >= end_s:
                return
            time.sleep(0.05)

    def record_unexpected_exits(self) -> None:
        """Records a violation for each process that ended without being stopped or killed."""
        for name, item in self.fleet.processes.items():
            status = item.process.poll()
            if status is None or name in self.expected_exits or name == "load":
                continue
            self.expected_exits.add(name)
            lines = item.log_path.read_text(encoding="utf-8").splitlines()[-_LOG_TAIL_LINES:]
            self.violations.append(f"{name} ended with status {status}:\n" + "\n".join(lines))

    def _record_action(self, text: str) -> None:
        self.action_counts[text.split(" ")[0]] += 1
        print(f"[{time.monotonic() - self.started_s:6.1f} s] {text}", flush=True)

    def _schedule_undo(self, low_s: float, high_s: float, undo: Callable[[], None]) -> float:
        duration_s = self.rng.uniform(low_s, high_s)
        self.scheduled_undos.append(ScheduledUndo(time.monotonic() + duration_s, undo))
        return duration_s

    def _choose_healthy_node(self) -> NodeAddresses | None:
        healthy = [node for node in self.deployment.nodes if node.node_id not in self.faulted_nodes]
        # At least two nodes stay healthy, so that callers can reach one.
        if len(healthy) <= 2:
            return None
        node = self.rng.choice(healthy)
        self.faulted_nodes.add(node.node_id)
        return node

    # Nodes

    def _kill_process(self) -> None:
        node = self._choose_healthy_node()
        if node is None:
            return
        item = self.rng.choice(self.fleet.node_processes(node))
        self.expected_exits.add(item.name)
        item.kill()
        duration_s = self._schedule_undo(
            0.2, 7.0, lambda: self._restart_processes(node, [item.name])
        )
        self._record_action(f"kill {item.name} for {duration_s:.1f} s")

    def _kill_node(self) -> None:
        node = self._choose_healthy_node()
        if node is None:
            return
        names = [item.name for item in self.fleet.node_processes(node)]
        self.expected_exits.update(names)
        self.fleet.kill_node(node)
        duration_s = self._schedule_undo(0.2, 7.0, lambda: self._restart_processes(node, names))
        self._record_action(f"kill-node {node.node_id} for {duration_s:.1f} s")

    def _restart_processes(self, node: NodeAddresses, names: list[str]) -> None:
        for name in names:
            self.fleet.restart_process(name)
            self.expected_exits.discard(name)
        self._release_when_ready(node)

    def _release_when_ready(self, node: NodeAddresses) -> None:
        """Allows new faults on a node once it is ready; reschedules itself until then.

        A program that is still starting has no graceful shutdown that could be checked.
        """
        for address in node.caller_addresses:
            if not self.fleet.responds(f"http://{address}/readyz"):
                self.scheduled_undos.append(
                    ScheduledUndo(time.monotonic() + 0.2, lambda: self._release_when_ready(node))
                )
                return
        self.faulted_nodes.discard(node.node_id)

    def _pause_process(self) -> None:
        node = self._choose_healthy_node()
        if node is None:
            return
        item = self.rng.choice(self.fleet.node_processes(node))
        item.process.send_signal(signal.SIGSTOP)

        def resume() -> None:
            item.process.send_signal(signal.SIGCONT)
            self.faulted_nodes.discard(node.node_id)

        duration_s = self._schedule_undo(0.3, 9.0, resume)
        self._record_action(f"pause {item.name} for {duration_s:.1f} s")

    def _stop_node(self) -> None:
        node = self._choose_healthy_node()
        if node is None:
            return
        items = self.fleet.node_processes(node)
        self.expected_exits.update(item.name for item in items)
        signalled_s = time.monotonic()
        for item in items:
            item.terminate()
        self._record_action(f"stop {node.node_id} gracefully")
        self.scheduled_undos.append(
            ScheduledUndo(signalled_s + 0.2, lambda: self._finish_stop(node, signalled_s))
        )

    def _finish_stop(self, node: NodeAddresses, signalled_s: float) -> None:
        """Restarts a node after its planned stop; reschedules itself until the stop has ended."""
        items = self.fleet.node_processes(node)
        now_s = time.monotonic()
        overdue = now_s - signalled_s > _STOP_LIMIT_S
        if not overdue and any(item.process.poll() is None for item in items):
            self.scheduled_undos.append(
                ScheduledUndo(now_s + 0.2, lambda: self._finish_stop(node, signalled_s))
            )
            return
        statuses = tuple(item.stop(0.0) for item in items)
        callers = tuple(node.caller_addresses)
        self.planned_stops.append(
            PlannedStop(node.node_id, callers, signalled_s, time.monotonic(), statuses)
        )
        self._restart_processes(node, [item.name for item in items])

    # Platform

    def _fail_platform(self) -> None:
        node = self.rng.choice(self.deployment.nodes)
        mode = self.rng.choice(("down", "slow", "stale"))
        self._set_platform_mode(mode, [node.node_id])
        duration_s = self._schedule_undo(
            1.0, 8.0, lambda: self._set_platform_mode("ok", [node.node_id])
        )
        self._record_action(f"platform {mode} for {node.node_id} for {duration_s:.1f} s")

    def _fail_platform_for_all(self) -> None:
        # Nodes cannot apply a change of a zone in time if none of them can read it.
        if (
            self.platform_unavailable
            or time.monotonic() - self.zone_changed_s < 2 * ZONE_OUT_GRACE_S
        ):
            return
        self.platform_unavailable = True
        mode = self.rng.choice(("down", "stale"))
        self._set_platform_mode(mode, [])

        def restore() -> None:
            self._set_platform_mode("ok", [])
            self.platform_unavailable = False

        duration_s = self._schedule_undo(1.0, 8.0, restore)
        self._record_action(f"platform {mode} for all readers for {duration_s:.1f} s")

    def _set_platform_mode(self, mode: str, readers: list[str]) -> None:
        rule = {"mode": mode, "readers": readers, "delay_s": 0.5}
        self.fleet.send_control(self.fleet.platform_address, "readers", rule)

    # Backend servers

    def _make_engine_cold(self) -> None:
        engine = self.rng.choice(self.deployment.engines)
        breaks_connections = self.rng.random() < 0.5
        self.fleet.send_control(engine.address, "cold", {"break_connections": breaks_connections})
        self._record_action(
            f"cold {engine.name}{', connections break' if breaks_connections else ''}"
        )

    def _fail_engine(self) -> None:
        engine = self.rng.choice(self.deployment.engines)
        faults = self.rng.choice(_ENGINE_FAULTS)
        self.fleet.send_control(engine.address, "faults", faults)
        self._schedule_fault_removal(engine.name, engine.address, faults)

    def _fail_service(self) -> None:
        service = self.rng.choice(self.deployment.order_services)
        faults = self.rng.choice(_SERVICE_FAULTS)
        self.fleet.send_control(service.address, "faults", faults)
        self._schedule_fault_removal(service.name, service.address, faults)

    def _schedule_fault_removal(self, name: str, address: str, faults: dict[str, Any]) -> None:
        duration_s = self._schedule_undo(
            1.0, 6.0, lambda: self.fleet.send_control(address, "faults", {}, "DELETE")
        )
        self._record_action(f"fault {name} {json.dumps(faults)} for {duration_s:.1f} s")

    def _change_zone(self) -> None:
        if self.platform_unavailable:
            return
        zone, state = self.zone_out_of_service, "in"
        if zone is None:
            zone, state = self.rng.choice(ZONES), self.rng.choice(("out", "draining"))
        self.zone_out_of_service = None if state == "in" else zone
        self.zone_changed_s = time.monotonic()
        self.deployment.set_zone_state(zone, state)
        self._record_action(f"zone {zone} {state}, serial {self.deployment.serial}")

    def _change_vm(self) -> None:
        engine = self.rng.choice(self.deployment.engines)
        platform = self.fleet.platform_address
        self.fleet.send_control(platform, "vms", {engine.name: "leaving"})
        duration_s = self._schedule_undo(
            0.2, 6.0, lambda: self.fleet.send_control(platform, "vms", {engine.name: "live"})
        )
        self._record_action(f"vm {engine.name} leaving for {duration_s:.1f} s")

    # Notes

    def _publish_note(self) -> None:
        customer = self.rng.choice(CUSTOMERS)
        item = dict(self.deployment.statement["customers"][customer])
        item["weight"] = round(self.rng.uniform(0.5, 4.0), 2)
        self.deployment.publish_change({"customers": {customer: item}})
        self._record_action(f"note serial {self.deployment.serial}")

    def _publish_bad_note(self) -> None:
        """Publishes an old, a conflicting or an invalid note for 0.3 s; no node may apply it."""
        deployment = self.deployment
        statement = {**deployment.statement, "zones": {zone: {"state": "out"} for zone in ZONES}}
        kind = self.rng.choice(("old", "conflicting", "invalid"))
        serial = deployment.serial
        if kind == "old":
            serial = max(1, serial - 1)
        if kind == "invalid":
            serial += 1
            statement = {**statement, "engines": {"m1": {"slots": -1}}}
        if kind == "old" and serial == deployment.serial:
            return
        # A node that starts while the platform serves only the bad note may apply it, as it has no
        # newer note to compare it with.
        if kind != "invalid" and self.faulted_nodes:
            return
        self.fleet.publish_note({"serial": serial, "statement": statement})
        self._run_undos(0.3)
        deployment.publish_statement()
        self._record_action(f"bad-note {kind} serial {serial}")


def build_load_settings(deployment: Deployment, seconds: float, seed: int) -> dict[str, Any]:
    """Returns the settings of the load process."""
    chats = [
        {
            "customer": customer,
            "key": customer_key(customer),
            "model": MODEL,
            "callers": 3,
            "turns": 4,
            "pause_s": 0.3,
            "max_tokens": 16 if number % 2 else 30,
            "streamed_share": 0.7,
            "disconnect_share": 0.1,
            "slow_reader_share": 0.05,
        }
        for number, customer in enumerate(CUSTOMERS[:6])
    ]
    orders = [
        {
            "customer": customer,
            "key": customer_key(customer),
            "service": SERVICE,
            "callers": 4,
            "pause_s": 0.2,
            "ticket_share": 0.7,
        }
        for customer in CUSTOMERS[6:8]
    ]
    return {
        "nodes": deployment.caller_addresses(),
        "seconds": seconds + _SETTLE_TIME_S,
        "seed": seed,
        "chats": chats,
        "orders": orders,
        "answer_timeout_s": 20.0,
    }


def soak_options() -> DeploymentOptions:
    """Returns a small fleet with short limits, so that slots are free again soon after a crash."""
    return DeploymentOptions(
        nodes=5,
        engines=4,
        order_services=2,
        slots=12,
        cold_slots=3,
        max_work_s=5.0,
        engine={"tokens_per_s": 60.0, "first_token_s": 0.03, "checks_fencing": True},
        rules={"max_lent_s": 2.0, "vm_damping_s": 0.5},
        agent={"drain_limit_s": 12.0, "drain_notice_s": 1.0},
    )


def run_soak(directory: Path, seconds: float, seed: int) -> int:
    """Runs the fleet with load and faults, prints the results and returns the exit status."""
    with Fleet(directory) as fleet:
        deployment = Deployment(fleet, soak_options())
        deployment.start_all()
        injector = FaultInjector(deployment, seed)
        report_path = fleet.start_load("load", build_load_settings(deployment, seconds, seed))
        injector.run(seconds)
        if not injector.violations:
            fleet.wait_for_load("load", _SETTLE_TIME_S + 60.0)
        else:
            fleet.processes["load"].terminate()
            fleet.wait_for_load("load", 60.0)
        injector.record_unexpected_exits()
        engines, services = deployment.engine_counters(), deployment.service_counters()
        report = merge_reports([json.loads(report_path.read_text(encoding="utf-8"))])
        result = check_results(report, engines, services, injector.planned_stops)
    violations = [*injector.violations, *result.violations()]
    # A router notices a cold start that keeps its connections only at the next answer or probe.
    must_be_zero = {
        name: count
        for name, count in result.other_figures.items()
        if name != "cold_overruns_unseen"
    }
    violations += [f"{name} = {count}" for name, count in must_be_zero.items() if count]
    for line in [*violations, *result.details]:
        print(line)
    if report.failed_attempts:
        print(f"failed attempts that were repeated: {dict(report.failed_attempts)}")
    incomplete = Counter(f"{item.kind} {item.seen} {item.code}" for item in report.failures)
    print(f"requests without a whole answer: {dict(incomplete.most_common(12))}")
    print(f"failures caused: {dict(injector.action_counts)}")
    print(json.dumps({"seed": seed, "seconds": seconds, **result.figures, **result.other_figures}))
    return EXIT_FAILED if violations else EXIT_OK


def _raise_keyboard_interrupt(_signal: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """Runs a soak with the options of the command line and returns the exit status."""
    command_line = CommandLine("soak", _DESCRIPTION)
    values = command_line.flag_values
    flags.DEFINE_float("seconds", 60.0, "Duration of the failures.", 1.0, flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seed of the failures and the load.", flag_values=values)
    command_line.parse_arguments()
    seconds, seed = float(values["seconds"].value or 0), int(values["seed"].value or 0)
    signal.signal(signal.SIGTERM, _raise_keyboard_interrupt)
    # Not deleted after the run, as the logs are needed to explain a violation.
    directory = Path(mkdtemp(prefix=f"tanager-soak-{seed}-"))
    print(f"soak of {seconds:g} s, seed {seed}, logs in {directory}", flush=True)
    try:
        return run_soak(directory, seconds, seed)
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return 130
    except FleetError as error:
        print(f"soak failed, seed {seed}: {error}", file=sys.stderr)
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
