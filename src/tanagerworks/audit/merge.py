"""Verification of the hash chains of several nodes' audit trails, and merging of the trails."""

import json
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from pydantic import ValidationError

from tanagerworks.audit.trail import AuditRecord, TrailExport, chain_start_digest, record_digest


class FaultKind(Enum):
    """How a trail differs from the records that its node wrote."""

    EDITED = "edited"
    MISSING = "missing"
    OUT_OF_ORDER = "out_of_order"
    BROKEN_LINK = "broken_link"
    FOREIGN = "foreign"


@dataclass(frozen=True)
class ChainFault:
    """A place at which a chain does not verify.

    `first` and `last` are the sequence numbers concerned.
    """

    kind: FaultKind
    node_id: str
    incarnation: int
    first: int
    last: int
    reason: str


@dataclass(frozen=True)
class MergedTrail:
    """Records of several nodes in one order, and all faults found in their chains."""

    records: tuple[AuditRecord, ...]
    faults: tuple[ChainFault, ...]


def verify_chain(export: TrailExport) -> list[ChainFault]:
    """Returns the places at which records are changed, missing or out of order.

    An edit, a removal, a swap or an insertion is detected unless all later digests, including the
    head, were recomputed; copies of the records in the log collector guard against that.
    """
    faults: list[ChainFault] = []

    def add_fault(kind: FaultKind, first: int, last: int, reason: str) -> None:
        faults.append(ChainFault(kind, export.node_id, export.incarnation, first, last, reason))

    expected = export.first_sequence
    previous = chain_start_digest(export.node_id, export.incarnation) if expected == 1 else None
    for record in export.records:
        sequence = record.sequence
        if (record.node_id, record.incarnation) != (export.node_id, export.incarnation):
            owner = f"{record.node_id}/{record.incarnation}"
            add_fault(FaultKind.FOREIGN, sequence, sequence, f"the record belongs to {owner}")
        if record_digest(record) != record.digest:
            add_fault(FaultKind.EDITED, sequence, sequence, "the content does not match its digest")
        if sequence > expected:
            add_fault(FaultKind.MISSING, expected, sequence - 1, "the records are missing")
        elif sequence < expected:
            add_fault(
                FaultKind.OUT_OF_ORDER, sequence, sequence, f"comes after record {expected - 1}"
            )
        elif previous is not None and record.previous != previous:
            reason = f"does not continue record {sequence - 1}; one of the two was replaced"
            add_fault(FaultKind.BROKEN_LINK, sequence, sequence, reason)
        expected = sequence + 1
        previous = record.digest
    if export.head_sequence is None:
        return faults
    if export.head_sequence >= expected:
        add_fault(
            FaultKind.MISSING, expected, export.head_sequence, "the newest records are missing"
        )
    elif previous is not None and previous != export.head_digest:
        head = export.head_sequence
        add_fault(
            FaultKind.BROKEN_LINK, head, head, "the newest record is not the head of the trail"
        )
    return faults


def merge_trails(exports: Iterable[TrailExport]) -> MergedTrail:
    """Verifies every export and merges the records by serial, time, node and sequence.

    A node's clock may step back, so each record is sorted by the highest serial and time of its
    chain so far, which keeps the order of the chain. The serial restarts at 0 only with a new
    incarnation, which starts a new chain.
    """
    entries = []
    faults: list[ChainFault] = []
    for export in exports:
        faults.extend(verify_chain(export))
        serial, time_s = 0, 0.0
        for record in export.records:
            serial = max(serial, record.serial)
            time_s = max(time_s, record.time_s)
            position = (record.node_id, record.incarnation, record.sequence)
            entries.append(((serial, time_s, position), record))
    entries.sort(key=lambda pair: pair[0])
    return MergedTrail(tuple(record for _key, record in entries), tuple(faults))


def join_pages(pages: Sequence[TrailExport]) -> TrailExport:
    """Joins pages of the trail of one node into one export.

    There is at least one page; all are of the same incarnation, consecutive and in order.
    """
    records = tuple(record for page in pages for record in page.records)
    return pages[-1].model_copy(
        update={"first_sequence": pages[0].first_sequence, "records": records}
    )


def exports_from_log(lines: Iterable[str]) -> list[TrailExport]:
    """Collects audit records from JSON log lines of any number of nodes.

    Lines without an audit record are skipped. Log lines may arrive out of order and more than
    once, so the records of a chain are sorted and duplicates are dropped.

    Raises:
        ValueError: a line holds an invalid audit record.
    """
    chains: dict[tuple[str, int], set[AuditRecord]] = defaultdict(set)
    for line_number, line in enumerate(lines, start=1):
        try:
            document = json.loads(line)
        except ValueError:
            continue
        if not isinstance(document, dict) or "audit" not in document:
            continue
        try:
            record = AuditRecord.model_validate_json(json.dumps(document["audit"]))
        except ValidationError as error:
            first_error = error.errors(include_input=False, include_url=False)[0]
            place = ".".join(str(part) for part in first_error["loc"])
            raise ValueError(f"line {line_number}: audit.{place}: {first_error['msg']}") from error
        chains[record.node_id, record.incarnation].add(record)
    exports = []
    for (node_id, incarnation), records in sorted(chains.items()):
        chain = sorted(records, key=lambda record: (record.sequence, record.digest))
        exports.append(
            TrailExport(
                node_id=node_id,
                incarnation=incarnation,
                first_sequence=chain[0].sequence,
                records=tuple(chain),
            )
        )
    return exports
