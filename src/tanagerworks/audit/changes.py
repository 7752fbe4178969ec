"""What differs between two notes, and the audit records of a note that comes into force."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from tanagerworks.audit.trail import AuditTrail, EventKind, bounded_text
from tanagerworks.note.model import Note, Statement

_ABSENT = ""


@dataclass(frozen=True, order=True)
class Change:
    """One value that differs; `before` or `after` is empty for an item that did not exist."""

    place: str
    before: str
    after: str


def _flatten(value: Any, place: str, flat: dict[str, str]) -> None:
    if isinstance(value, Mapping) and value:
        for key, inner in value.items():
            _flatten(inner, f"{place}.{key}" if place else str(key), flat)
        return
    if isinstance(value, list):
        flat[place] = "[" + ", ".join(str(item) for item in value) + "]"
        return
    flat[place] = str(value)


def note_changes(old: Note | None, new: Note) -> list[Change]:
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
        was, is_now = before.get(place, _ABSENT), after.get(place, _ABSENT)
        if was != is_now:
            changes.append(Change(place, was, is_now))
    return changes


def _describe_member(member: Any) -> str:
    if member is None:
        return _ABSENT
    address = getattr(member, "address", None) or getattr(member, "peer_address", _ABSENT)
    return f"{address} in {member.zone}"


def record_note_accepted(trail: AuditTrail, old: Note | None, new: Note, source: str) -> None:
    """Records a note that came into force, and the zones, VMs and keys that it changes.

    `source` says where the note came from: the platform or a peer. The first note of a process
    changes every VM, so its digest has to do: 1,060 records would push out everything else.
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
    was, now = old.statement if old is not None else None, new.statement
    changes = [*_zone_changes(was, now), *_vm_changes(was, now), *_key_rotations(was, now)]
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


def _zone_changes(was: Statement | None, now: Statement) -> Iterator[tuple[EventKind, Change]]:
    zones_before = was.zones if was is not None else {}
    for name in sorted(zones_before.keys() | now.zones.keys()):
        before, after = (
            zones[name].state.value if name in zones else _ABSENT
            for zones in (zones_before, now.zones)
        )
        if before != after:
            yield EventKind.ZONE_CHANGED, Change(f"zones.{name}", before, after)


def _vm_changes(was: Statement | None, now: Statement) -> Iterator[tuple[EventKind, Change]]:
    if was is None:
        return
    for section in ("nodes", "engines"):
        members_before, members_after = getattr(was, section), getattr(now, section)
        for name in sorted(members_before.keys() | members_after.keys()):
            before = _describe_member(members_before.get(name))
            after = _describe_member(members_after.get(name))
            if before != after:
                yield EventKind.VM_CHANGED, Change(f"{section}.{name}", before, after)


def _key_rotations(was: Statement | None, now: Statement) -> Iterator[tuple[EventKind, Change]]:
    for name, customer in sorted(now.customers.items()):
        known = was.customers.get(name) if was is not None else None
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
    """Records a note that was refused; `serial` is its own one, None if it could not be read.

    The platform and peers offer the same note again and again; a refusal that stands in the ring
    since the last accepted note is not recorded twice.
    """
    after = "" if serial is None else str(serial)
    reason = bounded_text(reason)
    for record in trail.newest_first():
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
