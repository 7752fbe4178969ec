"""Subcommands that act on nodes: drain, undrain."""

from tanagerworks.agent.admin_models import ActionReport
from tanagerworks.ctl.client import gather
from tanagerworks.ctl.command import Command, Invocation, UsageError


def _act(invocation: Invocation, path: str) -> int:
    reason = invocation.flag("reason") or ""
    client = invocation.client
    gathered = gather(
        invocation.nodes,
        lambda address: client.act(address, path, ActionReport, reason),
    )
    printer = invocation.printer
    printer.node_faults(gathered.faults)
    printer.document(
        {address: report.model_dump(mode="json") for address, report in gathered.answers.items()}
    )
    rows = [
        (report.node_id, address, report.ready, report.drained_by, report.changed)
        for address, report in gathered.answers.items()
    ]
    printer.table("", ("node", "address", "ready", "drained by", "changed"), rows)
    return gathered.exit_status()


def drain(invocation: Invocation) -> int:
    """Makes one node not ready and stops new work on it.

    Raises:
        UsageError: several nodes are named; a slip would take the whole fleet out of service.
    """
    if len(invocation.nodes) != 1:
        raise UsageError("drain takes one node at a time; a whole zone goes by a release note")
    return _act(invocation, "drain")


def undrain(invocation: Invocation) -> int:
    """Takes a drain back."""
    return _act(invocation, "undrain")


COMMANDS = (
    Command("drain", "", "makes one node not ready and stops new work on it", (0, 0), drain),
    Command("undrain", "", "takes a drain back", (0, 0), undrain),
)
