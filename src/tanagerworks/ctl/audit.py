"""Subcommands on the audit trail: audit, replay, events."""

import json
import queue
import threading
import time
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path

from pydantic import ValidationError

from tanagerworks.agent.admin_models import EventsReport
from tanagerworks.audit.merge import MergedTrail, exports_from_log, join_pages, merge_trails
from tanagerworks.audit.trail import AuditRecord, TrailExport
from tanagerworks.ctl.client import AdminClient, NodeFault, gather
from tanagerworks.ctl.command import MANY, Command, Invocation, UsageError
from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.errors import TanagerError

_RECORD_HEADER = ("serial", "time", "node", "seq", "kind", "who", "subject", "before", "after")
# One wait of a follower; agents allow 30 s by default.
_WAIT_S = 10.0
_RETRY_S = 1.0


def _record_row(record: AuditRecord) -> tuple[object, ...]:
    moment = datetime.fromtimestamp(record.time_s, UTC).isoformat(timespec="milliseconds")
    return (
        record.serial,
        moment,
        record.node_id,
        record.sequence,
        record.kind.value,
        record.who,
        record.subject,
        record.before[:40],
        (record.after[:40] + (f" ({record.reason})" if record.reason else "")),
    )


def fetch_trail(client: AdminClient, address: str) -> TrailExport:
    """Returns the whole trail of one node, read page by page."""
    pages = [client.get(address, "audit", TrailExport)]
    while pages[-1].records:
        last = pages[-1].records[-1].sequence
        if last >= (pages[-1].head_sequence or 0):
            break
        page = client.get(address, "audit", TrailExport, {"after": str(last)})
        if page.incarnation != pages[-1].incarnation:
            # The agent restarted between two pages; only the new trail can be verified.
            pages = []
        pages.append(page)
    return join_pages(pages)


def _print_merged(
    invocation: Invocation,
    exports: Sequence[TrailExport],
    merged: MergedTrail,
    faults: Sequence[NodeFault] = (),
) -> None:
    printer = invocation.printer
    printer.node_faults(faults)
    chains = [export.model_dump(mode="json", exclude={"records"}) for export in exports]
    found = [{**asdict(fault), "kind": fault.kind.value} for fault in merged.faults]
    printer.document(
        {
            "chains": chains,
            "unreachable": [fault.address for fault in faults],
            "faults": found,
            "records": [record.model_dump(mode="json") for record in merged.records],
        }
    )
    printer.table("records", _RECORD_HEADER, [_record_row(record) for record in merged.records])
    for fault in merged.faults:
        place = f"{fault.node_id}/{fault.incarnation} records {fault.first} to {fault.last}"
        printer.error(f"{place}: {fault.kind.value}: {fault.reason}")


def audit(invocation: Invocation) -> int:
    """Fetches the trails of the nodes, verifies and merges them."""
    client = invocation.client
    gathered = gather(invocation.nodes, lambda address: fetch_trail(client, address))
    exports = list(gathered.answers.values())
    merged = merge_trails(exports)
    _print_merged(invocation, exports, merged, gathered.faults)
    return gathered.exit_status(finding=bool(merged.faults))


def read_saved_trails(paths: Iterable[str]) -> list[TrailExport]:
    """Returns the trails in files: JSON log lines, or the JSON output of ``audit``.

    Raises:
        UsageError: a file cannot be read or holds records of the wrong shape.
    """
    lines: list[str] = []
    exports: list[TrailExport] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"{path}: cannot be read") from error
        saved = _saved_output(text)
        if saved is None:
            lines.extend(text.splitlines())
            continue
        try:
            exports.extend(saved)
        except (ValidationError, KeyError) as error:
            raise UsageError(f"{path}: is not the output of audit") from error
    try:
        exports.extend(exports_from_log(lines))
    except ValueError as error:
        raise UsageError(str(error)) from error
    return exports


def _saved_output(text: str) -> Iterable[TrailExport] | None:
    try:
        document = json.loads(text)
    except ValueError:
        return None
    if not isinstance(document, dict) or "chains" not in document:
        return None
    return _exports_of(document)


def _exports_of(document: dict[str, list[dict[str, object]]]) -> Iterable[TrailExport]:
    records: dict[tuple[object, object], list[dict[str, object]]] = defaultdict(list)
    for record in document["records"]:
        records[record["node_id"], record["incarnation"]].append(record)
    for chain in document["chains"]:
        own = records[chain["node_id"], chain["incarnation"]]
        yield TrailExport.model_validate_json(json.dumps({**chain, "records": own}))


def replay(invocation: Invocation) -> int:
    """Verifies saved trails and prints the last state of every subject."""
    exports = read_saved_trails(invocation.arguments)
    merged = merge_trails(exports)
    highest = invocation.flag_values["at_serial"].value
    states: dict[str, AuditRecord] = {}
    taken = []
    for record in merged.records:
        if highest is not None and record.serial > highest:
            continue
        taken.append(record)
        states[record.subject] = record
    _print_merged(invocation, exports, MergedTrail(tuple(taken), merged.faults))
    rows = [
        (subject, record.after, record.serial, record.node_id, record.who)
        for subject, record in sorted(states.items())
    ]
    header = ("subject", "state", "serial", "node", "who")
    invocation.printer.table("last states", header, rows)
    if not merged.records:
        invocation.printer.error("the files hold no audit records")
        return ExitStatus.FINDING
    return ExitStatus.FINDING if merged.faults else ExitStatus.OK


class EventFollower(threading.Thread):
    """Waits for the events of one node and puts them into a queue."""

    def __init__(
        self,
        client: AdminClient,
        address: str,
        found: "queue.Queue[AuditRecord | NodeFault]",
    ) -> None:
        super().__init__(name=f"events-{address}", daemon=True)
        self.client = client
        self.address = address
        self.found = found
        self.stopping = threading.Event()

    def run(self) -> None:
        """Follows until it is stopped; a node that is gone is asked again."""
        position: EventsReport | None = None
        reachable = True
        while not self.stopping.is_set():
            try:
                report = self._next(position)
            except TanagerError as error:
                if reachable:
                    self.found.put(NodeFault(self.address, error.code, error.message))
                reachable = False
                self.stopping.wait(_RETRY_S)
                continue
            reachable = True
            if position is not None:
                for record in report.records:
                    self.found.put(record)
            position = report

    def _next(self, position: EventsReport | None) -> EventsReport:
        if position is None:
            # The first answer only gives the position: what happened before is for `audit`.
            return self.client.get(self.address, "events", EventsReport, {"after": str(2**53 - 1)})
        after = position.records[-1].sequence if position.records else position.head_sequence
        return self.client.get(
            self.address,
            "events",
            EventsReport,
            {
                "after": str(after),
                "incarnation": str(position.incarnation),
                "wait_s": str(_WAIT_S),
            },
            wait_s=_WAIT_S,
        )


def events(invocation: Invocation) -> int:
    """Prints audit records of the nodes as they happen."""
    found: queue.Queue[AuditRecord | NodeFault] = queue.Queue()
    followers = [EventFollower(invocation.client, address, found) for address in invocation.nodes]
    for follower in followers:
        follower.start()
    follow_s = invocation.seconds("follow_s")
    end = time.monotonic() + follow_s if follow_s else float("inf")
    status = ExitStatus.OK
    try:
        while (left := end - time.monotonic()) > 0:
            try:
                item = found.get(timeout=min(left, _RETRY_S))
            except queue.Empty:
                continue
            if isinstance(item, NodeFault):
                invocation.printer.node_faults([item])
                status = max(status, item.exit_status)
                continue
            invocation.printer.line_document(item.model_dump(mode="json"))
            invocation.printer.text("  ".join(str(value) for value in _record_row(item)))
    except KeyboardInterrupt:
        pass
    for follower in followers:
        follower.stopping.set()
    return status


COMMANDS = (
    Command("audit", "", "fetches, verifies and merges the audit trails", (0, 0), audit),
    Command(
        "replay",
        "FILE...",
        "verifies trails from logs or saved audit output; shows the last states",
        (1, MANY),
        replay,
    ),
    Command("events", "", "prints audit records as they happen", (0, 0), events),
)
