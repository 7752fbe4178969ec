"""Subcommands that show the fleet: status, explain."""

from collections.abc import Iterable, Sequence

from tanagerworks.agent.admin_models import (
    CustomerStatus,
    EngineStatus,
    ExplainReport,
    StatusReport,
)
from tanagerworks.ctl.client import gather_answers
from tanagerworks.ctl.command import Command, Invocation, UsageError
from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.ctl.request_timeline import build_timeline, print_timeline, read_log_lines


def _max_reported(values: Iterable[int | None]) -> int | None:
    return max((value for value in values if value is not None), default=None)


def merge_engines(reports: Sequence[StatusReport]) -> list[dict[str, object]]:
    """Returns one row per engine.

    `eligible_at`, `seen_by` and `used_slots` are sums over the nodes, `reported_running` and
    `warm_answers` the highest values and `allowance` the lowest. `boot_id` is None if the nodes
    disagree or report none, and `cache_reuse` is the unweighted mean of the reported values.
    """
    views: dict[str, list[EngineStatus]] = {}
    for report in reports:
        for engine in report.engines:
            views.setdefault(engine.engine_id, []).append(engine)
    rows: list[dict[str, object]] = []
    for engine_id, reported in sorted(views.items()):
        boots = {engine.boot_id for engine in reported if engine.boot_id is not None}
        reuse = [engine.cache_reuse for engine in reported if engine.cache_reuse is not None]
        rows.append(
            {
                "engine_id": engine_id,
                "zone": reported[0].zone,
                "model": reported[0].model,
                "version": reported[0].version,
                "eligible_at": sum(engine.eligible for engine in reported),
                "seen_by": len(reported),
                "slots": reported[0].slots,
                "used_slots": sum(engine.used_slots for engine in reported),
                "reported_running": _max_reported(engine.running for engine in reported),
                "allowance": min(engine.allowance for engine in reported),
                "warm_answers": _max_reported(engine.warm_answers for engine in reported),
                "boot_id": boots.pop() if len(boots) == 1 else None,
                "cache_reuse": sum(reuse) / len(reuse) if reuse else None,
            }
        )
    return rows


def merge_customers(reports: Sequence[StatusReport]) -> list[dict[str, object]]:
    """Returns one row per customer; its streams are summed over the nodes."""
    views: dict[str, list[CustomerStatus]] = {}
    for report in reports:
        for customer in report.customers:
            views.setdefault(customer.customer, []).append(customer)
    return [
        {
            "customer": name,
            "request_class": reported[0].request_class,
            "streams": sum(customer.streams for customer in reported),
            "max_streams": reported[0].max_streams,
            "requests_per_s": reported[0].requests_per_s,
            "weight": reported[0].weight,
        }
        for name, reported in sorted(views.items())
    ]


def _newest_report(reports: Sequence[StatusReport]) -> StatusReport:
    # The node with the highest serial has the newest note, which the others apply later.
    return max(reports, key=lambda report: report.serial)


def status(invocation: Invocation) -> int:
    """Prints nodes, zones, engines and customers, merged from the views of several nodes."""
    client = invocation.client
    gathered = gather_answers(
        invocation.nodes,
        lambda address: client.get(address, "status", StatusReport),
    )
    printer = invocation.printer
    printer.print_node_failures(gathered.failures)
    if not gathered.answers:
        return gathered.exit_status()
    reports = list(gathered.answers.values())
    serials_agree = len({(report.serial, report.digest) for report in reports}) == 1
    engines = merge_engines(reports)
    customers = merge_customers(reports)
    newest = _newest_report(reports)
    zones = [zone.model_dump() for zone in newest.zones]
    printer.print_json(
        {
            "serials_agree": serials_agree,
            "nodes": {
                address: report.model_dump(mode="json", exclude={"engines", "customers", "zones"})
                for address, report in gathered.answers.items()
            },
            "unreachable": [failure.address for failure in gathered.failures],
            "zones": zones,
            "engines": engines,
            "customers": customers,
        }
    )
    node_rows = [
        (
            report.node_id,
            address,
            report.zone,
            report.serial,
            (report.digest or "")[:12],
            report.ready,
            report.drained_by,
            report.uptime_s,
        )
        for address, report in gathered.answers.items()
    ]
    header = ("node", "address", "zone", "serial", "digest", "ready", "drained by", "uptime s")
    printer.print_table("nodes", header, node_rows)
    member_rows = [
        (node.node_id, node.zone, node.state, node.incarnation, node.serial, node.running)
        for node in newest.nodes
    ]
    printer.print_table(
        f"nodes of the note as {newest.node_id} sees them",
        ("node", "zone", "state", "incarnation", "serial", "running"),
        member_rows,
    )
    printer.print_table(
        "zones",
        ("zone", "region", "state", "engines", "eligible"),
        [tuple(row.values()) for row in zones],
    )
    engine_header = (
        "engine",
        "zone",
        "model",
        "version",
        "eligible",
        "seen",
        "slots",
        "used",
        "reported",
        "allowance",
        "warm",
        "boot",
        "reuse",
    )
    printer.print_table("engines", engine_header, [tuple(row.values()) for row in engines])
    customer_header = ("customer", "class", "streams", "max", "max rate", "weight")
    printer.print_table("customers", customer_header, [tuple(row.values()) for row in customers])
    if not serials_agree:
        printer.print_error("the nodes do not have the same note in force")
    return gathered.exit_status(finding=not serials_agree)


def explain(invocation: Invocation) -> int:
    """Prints a request's timeline from logs, or the routing decision for a chat at every node.

    Raises:
        UsageError: neither one argument nor three are given.
    """
    if len(invocation.arguments) == 1:
        return _explain_request(invocation, invocation.arguments[0])
    if len(invocation.arguments) != 3:
        raise UsageError("usage: tanagerctl explain REQUEST_ID | CUSTOMER MODEL CHAT_KEY")
    customer, model, chat_key = invocation.arguments
    tokens = str(invocation.flag_values["prompt_tokens"].value)
    client = invocation.client
    gathered = gather_answers(
        invocation.nodes,
        lambda address: client.get(
            address,
            "explain",
            ExplainReport,
            {
                "customer": customer,
                "model": model,
                "chat_key": chat_key,
                "prompt_tokens": tokens,
            },
        ),
    )
    printer = invocation.printer
    printer.print_node_failures(gathered.failures)
    printer.print_json(
        {address: report.model_dump(mode="json") for address, report in gathered.answers.items()}
    )
    for address, report in gathered.answers.items():
        rows = [(stage.stage, stage.passed, stage.reason) for stage in report.stages]
        decision = f"{report.way} {report.engine_id}" if report.way else "refused"
        title = f"{report.node_id} at {address}, serial {report.serial}: {decision}"
        printer.print_table(title, ("stage", "passed", "reason"), rows)
    unserved = any(report.way in (None, "wait") for report in gathered.answers.values())
    return gathered.exit_status(finding=unserved)


def _explain_request(invocation: Invocation, request_id: str) -> int:
    logs = invocation.flag_values["logs"].value or []
    print_timeline(invocation.printer, build_timeline(read_log_lines(logs), request_id))
    return ExitStatus.OK


COMMANDS = (
    Command("status", "", "shows nodes, zones, engines and customers", (0, 0), status),
    Command(
        "explain",
        "REQUEST_ID | CUSTOMER MODEL CHAT_KEY",
        "shows a request's timeline from --logs, or the decision for a chat; nothing is sent",
        (1, 3),
        explain,
    ),
)
