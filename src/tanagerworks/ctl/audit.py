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
from tanagerworks.ctl.client import AdminClient, NodeFailure, gather_answers
from tanagerworks.ctl.command import MAX_ARGUMENTS, Command, Invocation, UsageError
from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.errors import TanagerError

_RECORD_HEADER = ("serial", "time", "node", "seq", "kind", "who", "subject", "before", "after")
# Long poll for events; must not exceed the limit of the agents, 30 s by default.
_LONG_POLL_S = 10.0
_RETRY_PERIOD_S = 1.0


def _record_row(record: AuditRecord) -> tuple[object, ...]:
    timestamp = datetime.fromtimestamp(record.time_s, UTC).isoformat(timespec="milliseconds")
    return (
        record.serial,
        timestamp,
        record.node_id,
        record.sequence,
        record.kind.value,
        record.who,
        record.subject,
        record.before[:40],
        (record.after[:40] + (f" ({record.reason})" if record.reason else "")),
    )


def fetch_trail(client: AdminClient, address: str) -> TrailExport:
    """Fetches the whole trail of one node page by page."""
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


def _print_merged_trail(
    invocation: Invocation,
    exports: Sequence[TrailExport],
    merged: MergedTrail,
    failures: Sequence[NodeFailure] = (),
) -> None:
    printer = invocation.printer
    printer.print_node_failures(failures)
    chains = [export.model_dump(mode="json", exclude={"records"}) for export in exports]
    chain_faults = [{**asdict(fault), "kind": fault.kind.value} for fault in merged.faults]
    printer.print_json(
        {
            "chains": chains,
            "unreachable": [failure.address for failure in failures],
            "faults": chain_faults,
            "records": [record.model_dump(mode="json") for record in merged.records],
        }
    )
    printer.print_table(
        "records", _RECORD_HEADER, [_record_row(record) for record in merged.records]
    )
    for fault in merged.faults:
        place = f"{fault.node_id}/{fault.incarnation} records {fault.first} to {fault.last}"
        printer.print_error(f"{place}: {fault.kind.value}: {fault.reason}")


def audit(invocation: Invocation) -> int:
    """Fetches the trails of the nodes, verifies and merges them."""
    client = invocation.client
    gathered = gather_answers(invocation.nodes, lambda address: fetch_trail(client, address))
    exports = list(gathered.answers.values())
    merged = merge_trails(exports)
    _print_merged_trail(invocation, exports, merged, gathered.failures)
    return gathered.exit_status(finding=bool(merged.faults))


def read_saved_trails(paths: Iterable[str]) -> list[TrailExport]:
    """Returns the trails in files: JSON log lines, or the JSON output of ``audit``.

    Raises:
        UsageError: a file cannot be read or holds invalid records.
    """
    lines: list[str] = []
    exports: list[TrailExport] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"{path}: cannot be read") from error
        saved = _parse_saved_output(text)
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


def _parse_saved_output(text: str) -> Iterable[TrailExport] | None:
    try:
        document = json.loads(text)
    except ValueError:
        return None
    if not isinstance(document, dict) or "chains" not in document:
        return None
    return _parse_exports(document)


def _parse_exports(document: dict[str, list[dict[str, object]]]) -> Iterable[TrailExport]:
    records: dict[tuple[object, object], list[dict[str, object]]] = defaultdict(list)
    for record in document["records"]:
        records[record["node_id"], record["incarnation"]].append(record)
    for chain in document["chains"]:
        chain_records = records[chain["node_id"], chain["incarnation"]]
        yield TrailExport.model_validate_json(json.dumps({**chain, "records": chain_records}))


def replay(invocation: Invocation) -> int:
    """Verifies saved trails and prints the last state of every subject."""
    exports = read_saved_trails(invocation.arguments)
    merged = merge_trails(exports)
    last_serial = invocation.flag_values["at_serial"].value
    states: dict[str, AuditRecord] = {}
    selected = []
    for record in merged.records:
        if last_serial is not None and record.serial > last_serial:
            continue
        selected.append(record)
        states[record.subject] = record
    _print_merged_trail(invocation, exports, MergedTrail(tuple(selected), merged.faults))
    rows = [
        (subject, record.after, record.serial, record.node_id, record.who)
        for subject, record in sorted(states.items())
    ]
    header = ("subject", "state", "serial", "node", "who")
    invocation.printer.print_table("last states", header, rows)
    if not merged.records:
        invocation.printer.print_error("the files hold no audit records")
        return ExitStatus.FINDING
    return ExitStatus.FINDING if merged.faults else ExitStatus.OK


class EventFollower(threading.Thread):
    """Thread that polls one node for events and puts them into a queue."""

    def __init__(
        self,
        client: AdminClient,
        address: str,
        event_queue: "queue.Queue[AuditRecord | NodeFailure]",
    ) -> None:
        super().__init__(name=f"events-{address}", daemon=True)
        self.client = client
        self.address = address
        self.event_queue = event_queue
        self.stopping = threading.Event()

    def run(self) -> None:
        """Polls until `stopping` is set; an unreachable node is polled again after a pause."""
        position: EventsReport | None = None
        reachable = True
        while not self.stopping.is_set():
            try:
                report = self._fetch_next(position)
            except TanagerError as error:
                if reachable:
                    self.event_queue.put(NodeFailure(self.address, error.code, error.message))
                reachable = False
                self.stopping.wait(_RETRY_PERIOD_S)
                continue
            reachable = True
            if position is not None:
                for record in report.records:
                    self.event_queue.put(record)
            position = report

    def _fetch_next(self, position: EventsReport | None) -> EventsReport:
        if position is None:
            # The first answer only gives the position; earlier records are printed by `audit`.
            return self.client.get(self.address, "events", EventsReport, {"after": str(2**53 - 1)})
        after = position.records[-1].sequence if position.records else position.head_sequence
        return self.client.get(
            self.address,
            "events",
            EventsReport,
            {
                "after": str(after),
                "incarnation": str(position.incarnation),
                "wait_s": str(_LONG_POLL_S),
            },
            wait_s=_LONG_POLL_S,
        )


def events(invocation: Invocation) -> int:
    """Prints audit records of the nodes as they happen."""
    event_queue: queue.Queue[AuditRecord | NodeFailure] = queue.Queue()
    followers = [
        EventFollower(invocation.client, address, event_queue) for address in invocation.nodes
    ]
    for follower in followers:
        follower.start()
    follow_s = invocation.seconds_flag("follow_s")
    end_s = time.monotonic() + follow_s if follow_s else float("inf")
    status = ExitStatus.OK
    try:
        while (remaining_s := end_s - time.monotonic()) > 0:
            try:
                item = event_queue.get(timeout=min(remaining_s, _RETRY_PERIOD_S))
            except queue.Empty:
                continue
            if isinstance(item, NodeFailure):
                invocation.printer.print_node_failures([item])
                status = max(status, item.exit_status)
                continue
            invocation.printer.print_json_line(item.model_dump(mode="json"))
            invocation.printer.print_text("  ".join(str(value) for value in _record_row(item)))
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
        (1, MAX_ARGUMENTS),
        replay,
    ),
    Command("events", "", "prints audit records as they happen", (0, 0), events),
)
