"""Hash-chained audit trail of one node, kept in a bounded buffer and also written to the log."""

import hashlib
import json
import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

_LOGGER = logging.getLogger("tanagerworks.audit")

# Bounds the memory of a record, as texts may come from refused notes or from callers.
MAX_TEXT_CHARS = 512

Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class EventKind(Enum):
    """What an audit record is about."""

    NODE_STARTED = "node_started"
    NODE_STOPPED = "node_stopped"
    INCARNATION_RAISED = "incarnation_raised"
    NOTE_ACCEPTED = "note_accepted"
    NOTE_REFUSED = "note_refused"
    ZONE_CHANGED = "zone_changed"
    VM_CHANGED = "vm_changed"
    ORDER_SENT = "order_sent"
    ORDER_REFUSED = "order_refused"
    KEY_ROTATED = "key_rotated"
    OPERATOR_DRAIN = "operator_drain"
    OPERATOR_UNDRAIN = "operator_undrain"


class AuditModel(BaseModel):
    """Base of the trail's published models; unknown keys are errors and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class AuditRecord(AuditModel):
    """One event: who changed what from one state to another, on which note.

    `time_s` is UNIX time; `serial` is the serial of the note in force, 0 before the first one;
    `previous` is the digest of the record before, for the first record that of the chain's start.
    """

    node_id: str
    incarnation: int
    sequence: int = Field(ge=1)
    time_s: float
    serial: int = Field(ge=0)
    kind: EventKind
    who: str
    subject: str
    before: str
    after: str
    reason: str
    # Digest of the preceding record; the first record has the chain's start digest.
    previous: Digest
    digest: Digest


class TrailExport(AuditModel):
    """Consecutive records of one node, with what is needed to notice that some are missing.

    Records before `first_sequence` have left the bounded trail or were not requested.
    `head_sequence` and `head_digest` belong to the newest record at the time of the export; they
    are absent when the records were collected from log lines.
    """

    node_id: str
    incarnation: int
    first_sequence: int = Field(ge=1)
    head_sequence: int | None = Field(default=None, ge=0)
    head_digest: Digest | None = None
    records: tuple[AuditRecord, ...] = ()


def _canonical_sha256(document: object) -> str:
    canonical = json.dumps(document, sort_keys=True, separators=(",", ":")).encode()
    return hashlib.sha256(canonical).hexdigest()


def chain_start_digest(node_id: str, incarnation: int) -> str:
    """Returns the digest that the first record of a node's incarnation has as `previous`."""
    return _canonical_sha256({"node_id": node_id, "incarnation": incarnation})


def record_digest(record: AuditRecord) -> str:
    """Returns the SHA-256, in hex, of everything in a record except its own digest."""
    return _canonical_sha256(record.model_dump(mode="json", exclude={"digest"}))


def truncate_text(text: str) -> str:
    """Returns `text`, truncated to `MAX_TEXT_CHARS`."""
    if len(text) <= MAX_TEXT_CHARS:
        return text
    return text[: MAX_TEXT_CHARS - 3] + "..."


class AuditTrail:
    """The newest audit records of one node; thread-safe."""

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        *,
        max_records: int = 2048,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.node_id = node_id
        self.incarnation = incarnation
        self.records: deque[AuditRecord] = deque(maxlen=max_records)
        self.head_sequence = 0
        self.head_digest = chain_start_digest(node_id, incarnation)
        self.export_failures = 0
        self.clock = clock
        self.closed = False
        self._record_added = threading.Condition()

    def record(
        self,
        kind: EventKind,
        *,
        who: str,
        subject: str,
        serial: int,
        before: str = "",
        after: str = "",
        reason: str = "",
    ) -> AuditRecord:
        """Appends a record, writes it to the log and returns it.

        An exception from a log handler is counted in `export_failures` and not passed on.
        """
        with self._record_added:
            draft = AuditRecord(
                node_id=self.node_id,
                incarnation=self.incarnation,
                sequence=self.head_sequence + 1,
                time_s=round(self.clock(), 6),
                serial=serial,
                kind=kind,
                who=truncate_text(who),
                subject=truncate_text(subject),
                before=truncate_text(before),
                after=truncate_text(after),
                reason=truncate_text(reason),
                previous=self.head_digest,
                digest=self.head_digest,
            )
            record = draft.model_copy(update={"digest": record_digest(draft)})
            self.records.append(record)
            self.head_sequence = record.sequence
            self.head_digest = record.digest
            self._record_added.notify_all()
        try:
            _LOGGER.info(kind.value, extra={"audit": record.model_dump(mode="json")})
        except Exception:
            self.export_failures += 1
        return record

    def records_newest_first(self) -> tuple[AuditRecord, ...]:
        """Returns all records that the trail still has, newest first."""
        with self._record_added:
            return tuple(reversed(self.records))

    def export(self, after: int = 0, limit: int | None = None) -> TrailExport:
        """Returns at most `limit` records with a sequence number above `after`."""
        with self._record_added:
            return self._select_records(after, limit)

    def wait_for_records(
        self, after: int, timeout_s: float, limit: int | None = None
    ) -> TrailExport:
        """Like `export`, but first waits up to `timeout_s` for a record above `after`.

        The result has no records if none is added before the timeout or `close`.
        """
        with self._record_added:
            self._record_added.wait_for(
                lambda: self.closed or self.head_sequence > after, timeout_s
            )
            return self._select_records(after, limit)

    def close(self) -> None:
        """Ends all current and later waits; records are still appended."""
        with self._record_added:
            self.closed = True
            self._record_added.notify_all()

    def _select_records(self, after: int, limit: int | None) -> TrailExport:
        selected = [record for record in self.records if record.sequence > after][:limit]
        first = selected[0].sequence if selected else self.head_sequence + 1
        return TrailExport(
            node_id=self.node_id,
            incarnation=self.incarnation,
            first_sequence=first,
            head_sequence=self.head_sequence,
            head_digest=self.head_digest,
            records=tuple(selected),
        )
