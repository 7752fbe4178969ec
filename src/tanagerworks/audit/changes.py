"""Differences between two notes, and the audit records of accepted and refused notes."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from tanagerworks.audit.trail import AuditTrail, EventKind, truncate_text
from tanagerworks.note.model import Note, Statement

_ABSENT = ""


@dataclass(frozen=True, order=True)
class Change:
    """A value that differs between two notes; `before` or `after` is empty where it is absent."""

    place: str
    before: str
    after: str


def _flatten(value: Any, place: str, values: dict[str, str]) -> None:
    if isinstance(value, Mapping) and value:
        for key, inner in value.items():
            _flatten(inner, f"{place}.{key}" if place else str(key), values)
        return
    if isinstance(value, list):
        values[place] = "[" + ", ".join(str(item) for item in value) + "]"
        return
    values[place] = str(value)


def diff_notes(old: Note | None, new: Note) -> list[Change]:
    """Returns every value that differs between two statements, sorted by place.

    A place is the path of section, name and field, such as ``zones.sfax-thyna.state``.
    """
    before: dict[str, str] = {}
    after: dict[str, str] = {}
    if old is not None:
        _flatten(old.statement.model_dump(mode="json"), "", before)
    _flatten(new.statement.model_dump(mode="json"), "", after)
    changes = []
    for place in sorted(before.keys() | after.keys()):
        old_value, new_value = before.get(place, _ABSENT), after.get(place, _ABSENT)
        if old_value != new_value:
            changes.append(Change(place, old_value, new_value))
    return changes


def _describe_vm(vm: Any) -> str:
    if vm is None:
        return _ABSENT
    address = getattr(vm, "address", None) or getattr(vm, "peer_address", _ABSENT)
    return f"{address} in {vm.zone}"


def record_note_accepted(trail: AuditTrail, old: Note | None, new: Note, source: str) -> None:
    """Records a note that was put in force, and the zones, VMs and keys that it changes.

    `source` is the platform or the peer that the note came from. For the first note of a process
    the VMs are not recorded, only its digest: every VM would count as changed, and 1,060 records
    would displace older ones from the bounded trail.
    """
    serial = new.serial
    trail.record(
        EventKind.NOTE_ACCEPTED,
        who=source,
        subject="release-note",
        serial=serial,
        before="" if old is None else f"{old.serial} {old.digest()}",
        after=f"{new.serial} {new.digest()}",
    )
    old_statement, new_statement = old.statement if old is not None else None, new.statement
    changes = [
        *_zone_changes(old_statement, new_statement),
        *_vm_changes(old_statement, new_statement),
        *_key_rotations(old_statement, new_statement),
    ]
    for kind, change in changes:
        trail.record(
            kind,
            who=source,
            subject=change.place,
            serial=serial,
            before=change.before,
            after=change.after,
            reason="release note",
        )


def _zone_changes(old: Statement | None, new: Statement) -> Iterator[tuple[EventKind, Change]]:
    zones_before = old.zones if old is not None else {}
    for name in sorted(zones_before.keys() | new.zones.keys()):
        before, after = (
            zones[name].state.value if name in zones else _ABSENT
            for zones in (zones_before, new.zones)
        )
        if before != after:
            yield EventKind.ZONE_CHANGED, Change(f"zones.{name}", before, after)


def _vm_changes(old: Statement | None, new: Statement) -> Iterator[tuple[EventKind, Change]]:
    if old is None:
        return
    for section in ("nodes", "engines"):
        vms_before, vms_after = getattr(old, section), getattr(new, section)
        for name in sorted(vms_before.keys() | vms_after.keys()):
            before = _describe_vm(vms_before.get(name))
            after = _describe_vm(vms_after.get(name))
            if before != after:
                yield EventKind.VM_CHANGED, Change(f"{section}.{name}", before, after)


def _key_rotations(old: Statement | None, new: Statement) -> Iterator[tuple[EventKind, Change]]:
    for name, customer in sorted(new.customers.items()):
        known = old.customers.get(name) if old is not None else None
        if known is None or known.key_sha256 == customer.key_sha256:
            continue
        before, after = (
            " ".join(digest[:8] for digest in keys)
            for keys in (known.key_sha256, customer.key_sha256)
        )
        yield EventKind.KEY_ROTATED, Change(f"customers.{name}", before, after)


def record_note_refused(
    trail: AuditTrail, in_force: Note | None, serial: int | None, reason: str, source: str
) -> None:
    """Records a note that was refused.

    `serial` is that of the refused note, None if it could not be read. The platform and peers send
    the same note repeatedly, so a refusal is not recorded again if the trail has an equal one since
    the last accepted note.
    """
    after = "" if serial is None else str(serial)
    reason = truncate_text(reason)
    for record in trail.records_newest_first():
        if record.kind is EventKind.NOTE_ACCEPTED:
            break
        if record.kind is not EventKind.NOTE_REFUSED:
            continue
        if (record.who, record.after, record.reason) == (source, after, reason):
            return
    trail.record(
        EventKind.NOTE_REFUSED,
        who=source,
        subject="release-note",
        serial=in_force.serial if in_force else 0,
        before=str(in_force.serial) if in_force else "",
        after=after,
        reason=reason,
    )
