"""Runs a small real fleet under load with all failures on, in random order, together and twice.

The seed decides which failures come when; the invariants are counted at engines, services and
callers. The exit status is 1 if one was violated, with what was seen.
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
from tools.deployment import CUSTOMERS, MODEL, SERVICE, ZONES, Deployment, Sizes, customer_key
from tools.fleet import Fleet, FleetError, NodeAddresses
from tools.verdict import OUT_GRACE_S, PlannedStop, judge

_DESCRIPTION = """Soak: a randomised run of a small fleet with all failures on.

Usage: python -m tools.soak [--seconds=N] [--seed=N]"""

_STOP_LIMIT_S = 20.0
_START_LIMIT_S = 15.0
_SETTLE_S = 2.0
_LONGEST_STEP_S = 1.5
_LOG_LINES = 15

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
class Due:
    """The end of a failure: what undoes it, and when."""

    at_s: float
    undo: Callable[[], None]


class Soak:
    """The failures of one run; a node that is disturbed is left alone until it is well again."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.fleet = deployment.fleet
        self.chance = random.Random(seed)
        self.started_s = time.monotonic()
        self.due: list[Due] = []
        self.disturbed: set[str] = set()
        self.ended_on_purpose: set[str] = set()
        self.planned_stops: list[PlannedStop] = []
        self.violations: list[str] = []
        self.done: Counter[str] = Counter()
        self.zone_out: str | None = None
        self.zone_changed_s = 0.0
        self.platform_lost = False
        self.actions: tuple[Callable[[], None], ...] = (
            self._kill_process,
            self._kill_node,
            self._pause_process,
            self._stop_node,
            self._fail_platform,
            self._fail_platform_for_all,
            self._cool_engine,
            self._fail_engine,
            self._fail_service,
            self._change_zone,
            self._change_vm,
            self._publish_note,
            self._publish_bad_note,
        )

    def run(self, seconds: float) -> None:
        """Causes failures for `seconds`, then ends them all."""
        end_s = self.started_s + seconds
        while time.monotonic() < end_s:
            action = self.chance.choice(self.actions)
            # Failures come alone, together or the same one twice.
            for chosen in self.chance.choice(
                ((action,), (action, action), (action, self.chance.choice(self.actions)))
            ):
                chosen()
            self._wait(self.chance.uniform(0.2, _LONGEST_STEP_S))
            if self.violations:
                break
        # The end of a stop and the start of a node come in several steps.
        end_s = time.monotonic() + _STOP_LIMIT_S + _START_LIMIT_S
        while self.due and time.monotonic() < end_s:
            item = min(self.due, key=lambda due: due.at_s)
            self.due.remove(item)
            item.undo()
            time.sleep(0.05)

    def _wait(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        while True:
            now_s = time.monotonic()
            for item in [item for item in self.due if item.at_s <= now_s]:
                self.due.remove(item)
                item.undo()
            self.check_processes()
            if now_s >= end_s:
                return
            time.sleep(0.05)

    def check_processes(self) -> None:
        """Notes a process that ended although nobody ended it."""
        for name, item in self.fleet.processes.items():
            status = item.process.poll()
            if status is None or name in self.ended_on_purpose or name == "load":
                continue
            self.ended_on_purpose.add(name)
            lines = item.log_path.read_text(encoding="utf-8").splitlines()[-_LOG_LINES:]
            self.violations.append(f"{name} ended with status {status}:\n" + "\n".join(lines))

    def _tell(self, text: str) -> None:
        self.done[text.split(" ")[0]] += 1
        print(f"[{time.monotonic() - self.started_s:6.1f} s] {text}", flush=True)

    def _later(self, low_s: float, high_s: float, undo: Callable[[], None]) -> float:
        duration_s = self.chance.uniform(low_s, high_s)
        self.due.append(Due(time.monotonic() + duration_s, undo))
        return duration_s

    def _pick_node(self) -> NodeAddresses | None:
        well = [node for node in self.deployment.nodes if node.node_id not in self.disturbed]
        # At least two nodes stay well, so that callers find one.
        if len(well) <= 2:
            return None
        node = self.chance.choice(well)
        self.disturbed.add(node.node_id)
        return node

    # Nodes

    def _kill_process(self) -> None:
        node = self._pick_node()
        if node is None:
            return
        item = self.chance.choice(self.fleet.node_processes(node))
        self.ended_on_purpose.add(item.name)
        item.kill()
        duration_s = self._later(0.2, 7.0, lambda: self._restart(node, [item.name]))
        self._tell(f"kill {item.name} for {duration_s:.1f} s")

    def _kill_node(self) -> None:
        node = self._pick_node()
        if node is None:
            return
        names = [item.name for item in self.fleet.node_processes(node)]
        self.ended_on_purpose.update(names)
        self.fleet.kill_node(node)
        duration_s = self._later(0.2, 7.0, lambda: self._restart(node, names))
        self._tell(f"kill-node {node.node_id} for {duration_s:.1f} s")

    def _restart(self, node: NodeAddresses, names: list[str]) -> None:
        for name in names:
            self.fleet.restart(name)
            self.ended_on_purpose.discard(name)
        self._wait_for_start(node)

    def _wait_for_start(self, node: NodeAddresses) -> None:
        """Leaves the node alone until it serves: a program that starts has no stop to observe."""
        for address in node.callers:
            if not self.fleet.answers(f"http://{address}/readyz"):
                self.due.append(Due(time.monotonic() + 0.2, lambda: self._wait_for_start(node)))
                return
        self.disturbed.discard(node.node_id)

    def _pause_process(self) -> None:
        node = self._pick_node()
        if node is None:
            return
        item = self.chance.choice(self.fleet.node_processes(node))
        item.process.send_signal(signal.SIGSTOP)

        def resume() -> None:
            item.process.send_signal(signal.SIGCONT)
            self.disturbed.discard(node.node_id)

        duration_s = self._later(0.3, 9.0, resume)
        self._tell(f"pause {item.name} for {duration_s:.1f} s")

    def _stop_node(self) -> None:
        node = self._pick_node()
        if node is None:
            return
        items = self.fleet.node_processes(node)
        self.ended_on_purpose.update(item.name for item in items)
        signalled_s = time.monotonic()
        for item in items:
            item.terminate()
        self._tell(f"stop {node.node_id} gracefully")
        self.due.append(Due(signalled_s + 0.2, lambda: self._end_stop(node, signalled_s)))

    def _end_stop(self, node: NodeAddresses, signalled_s: float) -> None:
        """Waits for the end of a planned stop, a little at a time, then restarts the node."""
        items = self.fleet.node_processes(node)
        now_s = time.monotonic()
        late = now_s - signalled_s > _STOP_LIMIT_S
        if not late and any(item.process.poll() is None for item in items):
            self.due.append(Due(now_s + 0.2, lambda: self._end_stop(node, signalled_s)))
            return
        statuses = tuple(item.stop(0.0) for item in items)
        callers = tuple(node.callers)
        self.planned_stops.append(
            PlannedStop(node.node_id, callers, signalled_s, time.monotonic(), statuses)
        )
        self._restart(node, [item.name for item in items])

    # Platform

    def _fail_platform(self) -> None:
        node = self.chance.choice(self.deployment.nodes)
        mode = self.chance.choice(("down", "slow", "stale"))
        self._platform(mode, [node.node_id])
        duration_s = self._later(1.0, 8.0, lambda: self._platform("ok", [node.node_id]))
        self._tell(f"platform {mode} for {node.node_id} for {duration_s:.1f} s")

    def _fail_platform_for_all(self) -> None:
        # A change that the platform shows to no node cannot be in force anywhere.
        if self.platform_lost or time.monotonic() - self.zone_changed_s < 2 * OUT_GRACE_S:
            return
        self.platform_lost = True
        mode = self.chance.choice(("down", "stale"))
        self._platform(mode, [])

        def restore() -> None:
            self._platform("ok", [])
            self.platform_lost = False

        duration_s = self._later(1.0, 8.0, restore)
        self._tell(f"platform {mode} for all readers for {duration_s:.1f} s")

    def _platform(self, mode: str, readers: list[str]) -> None:
        rule = {"mode": mode, "readers": readers, "delay_s": 0.5}
        self.fleet.control(self.fleet.platform_address, "readers", rule)

    # Backend servers

    def _cool_engine(self) -> None:
        engine = self.chance.choice(self.deployment.engines)
        breaks = self.chance.random() < 0.5
        self.fleet.control(engine.address, "cold", {"break_connections": breaks})
        self._tell(f"cold {engine.name}{', connections break' if breaks else ''}")

    def _fail_engine(self) -> None:
        engine = self.chance.choice(self.deployment.engines)
        faults = self.chance.choice(_ENGINE_FAULTS)
        self.fleet.control(engine.address, "faults", faults)
        self._fault_until(engine.name, engine.address, faults)

    def _fail_service(self) -> None:
        service = self.chance.choice(self.deployment.order_services)
        faults = self.chance.choice(_SERVICE_FAULTS)
        self.fleet.control(service.address, "faults", faults)
        self._fault_until(service.name, service.address, faults)

    def _fault_until(self, name: str, address: str, faults: dict[str, Any]) -> None:
        duration_s = self._later(
            1.0, 6.0, lambda: self.fleet.control(address, "faults", {}, "DELETE")
        )
        self._tell(f"fault {name} {json.dumps(faults)} for {duration_s:.1f} s")

    def _change_zone(self) -> None:
        if self.platform_lost:
            return
        zone, state = self.zone_out, "in"
        if zone is None:
            zone, state = self.chance.choice(ZONES), self.chance.choice(("out", "draining"))
        self.zone_out = None if state == "in" else zone
        self.zone_changed_s = time.monotonic()
        self.deployment.set_zone(zone, state)
        self._tell(f"zone {zone} {state}, serial {self.deployment.serial}")

    def _change_vm(self) -> None:
        engine = self.chance.choice(self.deployment.engines)
        platform = self.fleet.platform_address
        self.fleet.control(platform, "vms", {engine.name: "leaving"})
        duration_s = self._later(
            0.2, 6.0, lambda: self.fleet.control(platform, "vms", {engine.name: "live"})
        )
        self._tell(f"vm {engine.name} leaving for {duration_s:.1f} s")

    # Notes

    def _publish_note(self) -> None:
        customer = self.chance.choice(CUSTOMERS)
        item = dict(self.deployment.statement["customers"][customer])
        item["weight"] = round(self.chance.uniform(0.5, 4.0), 2)
        self.deployment.publish_change({"customers": {customer: item}})
        self._tell(f"note serial {self.deployment.serial}")

    def _publish_bad_note(self) -> None:
        """Publishes an old, a conflicting or an invalid note for a while; none may be applied."""
        deployment = self.deployment
        statement = {**deployment.statement, "zones": {zone: {"state": "out"} for zone in ZONES}}
        kind = self.chance.choice(("old", "conflicting", "invalid"))
        serial = deployment.serial
        if kind == "old":
            serial = max(1, serial - 1)
        if kind == "invalid":
            serial += 1
            statement = {**statement, "engines": {"m1": {"slots": -1}}}
        if kind == "old" and serial == deployment.serial:
            return
        # A node that starts while only the bad note can be read may take it: nobody refutes it.
        if kind != "invalid" and self.disturbed:
            return
        self.fleet.publish({"serial": serial, "statement": statement})
        self._wait(0.3)
        deployment.publish_full()
        self._tell(f"bad-note {kind} serial {serial}")


def soak_load(deployment: Deployment, seconds: float, seed: int) -> dict[str, Any]:
    """Returns the load of a soak."""
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
        "seconds": seconds + _SETTLE_S,
        "seed": seed,
        "chats": chats,
        "orders": orders,
        "answer_timeout_s": 20.0,
    }


def soak_sizes() -> Sizes:
    """Returns a small fleet whose slots come back soon after a crash."""
    return Sizes(
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
    """Runs a soak and returns the exit status."""
    with Fleet(directory) as fleet:
        deployment = Deployment(fleet, soak_sizes())
        deployment.start()
        soak = Soak(deployment, seed)
        report_path = fleet.start_load("load", soak_load(deployment, seconds, seed))
        soak.run(seconds)
        if not soak.violations:
            fleet.finish_load("load", _SETTLE_S + 60.0)
        else:
            fleet.processes["load"].terminate()
            fleet.finish_load("load", 60.0)
        soak.check_processes()
        engines, services = deployment.engine_counters(), deployment.service_counters()
        report = merge_reports([json.loads(report_path.read_text(encoding="utf-8"))])
        verdict = judge(report, engines, services, soak.planned_stops)
    violations = [*soak.violations, *verdict.violations()]
    # A cold start that keeps the connections is unseen until the next answer or probe.
    must_be_zero = {
        name: count for name, count in verdict.further.items() if name != "cold_overruns_unseen"
    }
    violations += [f"{name} = {count}" for name, count in must_be_zero.items() if count]
    for line in [*violations, *verdict.details]:
        print(line)
    if report.failed_attempts:
        print(f"failed attempts that were repeated: {dict(report.failed_attempts)}")
    unknown = Counter(f"{item.kind} {item.seen} {item.code}" for item in report.failures)
    print(f"requests without a whole answer: {dict(unknown.most_common(12))}")
    print(f"failures caused: {dict(soak.done)}")
    print(json.dumps({"seed": seed, "seconds": seconds, **verdict.figures, **verdict.further}))
    return EXIT_FAILED if violations else EXIT_OK


def _interrupt(_signal: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """Runs the soak that the command line describes."""
    command_line = CommandLine("soak", _DESCRIPTION)
    values = command_line.flag_values
    flags.DEFINE_float("seconds", 60.0, "Duration of the failures.", 1.0, flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seed of the failures and the load.", flag_values=values)
    command_line.parse_arguments()
    seconds, seed = float(values["seconds"].value or 0), int(values["seed"].value or 0)
    signal.signal(signal.SIGTERM, _interrupt)
    # Kept after the run: a violation is explained by the logs.
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
