"""Subcommands that act on nodes: drain, undrain."""

from tanagerworks.agent.admin_models import ActionReport
from tanagerworks.ctl.client import gather_answers
from tanagerworks.ctl.command import Command, Invocation, UsageError


def _post_action(invocation: Invocation, path: str) -> int:
    reason = invocation.string_flag("reason") or ""
    client = invocation.client
    gathered = gather_answers(
        invocation.nodes,
        lambda address: client.post_action(address, path, ActionReport, reason),
    )
    printer = invocation.printer
    printer.print_node_failures(gathered.failures)
    printer.print_json(
        {address: report.model_dump(mode="json") for address, report in gathered.answers.items()}
    )
    rows = [
        (report.node_id, address, report.ready, report.drained_by, report.changed)
        for address, report in gathered.answers.items()
    ]
    printer.print_table("", ("node", "address", "ready", "drained by", "changed"), rows)
    return gathered.exit_status()


def drain(invocation: Invocation) -> int:
    """Marks one node as not ready and stops new work on it.

    Raises:
        UsageError: not exactly one node is named; a mistake could drain the whole fleet.
    """
    if len(invocation.nodes) != 1:
        raise UsageError(
            "drain takes exactly one node; to drain a whole zone, publish a release note"
        )
    return _post_action(invocation, "drain")


def undrain(invocation: Invocation) -> int:
    """Ends a drain, so that the node gets new work again."""
    return _post_action(invocation, "undrain")


COMMANDS = (
    Command("drain", "", "marks one node as not ready and stops new work on it", (0, 0), drain),
    Command("undrain", "", "ends a drain, so that the node gets new work again", (0, 0), undrain),
)
