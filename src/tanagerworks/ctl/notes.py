"""Subcommands on release notes: check, diff, render."""

import json
from dataclasses import asdict
from pathlib import Path

import yaml

from tanagerworks.agent.admin_models import NoteReport
from tanagerworks.audit.changes import note_changes
from tanagerworks.ctl.client import NodeRefusedError, NodeUnreachableError, gather
from tanagerworks.ctl.command import Command, Invocation, UsageError
from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.errors import NoteError, NoteInvalidError
from tanagerworks.note.acceptance import NoteInForce
from tanagerworks.note.delta import Delta
from tanagerworks.note.model import Note
from tanagerworks.note.parsing import parse_note


def read_note(path: str) -> Note | Delta:
    """Returns the full note or delta in a file.

    Raises:
        UsageError: the file cannot be read.
        NoteInvalidError: the content is no note.
    """
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise UsageError(f"{path}: cannot be read: {error.strerror}") from error
    return parse_note(content)


def _print_refusal(invocation: Invocation, path: str, error: NoteError) -> int:
    faults = error.faults if isinstance(error, NoteInvalidError) else ()
    rows = [
        {"place": fault.place, "reason": fault.reason, "remedy": fault.remedy} for fault in faults
    ]
    invocation.printer.document(
        {
            "file": path,
            "accepted": False,
            "code": error.code,
            "message": error.message,
            "faults": rows,
        }
    )
    for fault in faults:
        invocation.printer.error(f"{path}: {error.code}: {fault.message}")
    if not faults:
        invocation.printer.error(f"{path}: {error.code}: {error.message}")
    return ExitStatus.FINDING


def _note_in_force(invocation: Invocation) -> Note:
    client = invocation.client
    gathered = gather(
        invocation.nodes,
        lambda address: client.get(address, "note", NoteReport),
    )
    invocation.printer.node_faults(gathered.faults)
    if not gathered.answers:
        if gathered.exit_status() is ExitStatus.REFUSED:
            raise NodeRefusedError("no node told its note", gathered.faults[0].code)
        raise NodeUnreachableError("no node told its note; --base names a file instead")
    newest = max(gathered.answers.values(), key=lambda report: report.serial)
    document = {"serial": newest.serial, "statement": newest.statement}
    return Note.model_validate_json(json.dumps(document))


def _base_note(invocation: Invocation) -> Note | None:
    base = invocation.flag("base")
    if base is not None:
        note = read_note(base)
        if isinstance(note, Delta):
            raise UsageError(f"{base}: --base takes a full note")
        return note
    if invocation.flag_values["nodes"].value:
        return _note_in_force(invocation)
    return None


def _required_base(invocation: Invocation) -> Note:
    base = _base_note(invocation)
    if base is None:
        raise UsageError("give --base=FILE, or --nodes for the note in force")
    return base


def check(invocation: Invocation) -> int:
    """Checks a note as the nodes do and prints every fault.

    With a base, the serial and the effect of a delta are checked, too.
    """
    path = invocation.arguments[0]
    try:
        offered = read_note(path)
        base = _base_note(invocation)
        result = offered if isinstance(offered, Note) else None
        if base is not None:
            in_force = NoteInForce()
            in_force.accept_note(base)
            in_force.accept_note(offered)
            result = in_force.note
    except NoteError as error:
        return _print_refusal(invocation, path, error)
    digest = result.digest() if result else None
    invocation.printer.document(
        {"file": path, "accepted": True, "serial": offered.serial, "digest": digest}
    )
    if digest is not None:
        invocation.printer.text(f"{path}: serial {offered.serial}, digest {digest}")
        return ExitStatus.OK
    invocation.printer.text(f"{path}: serial {offered.serial}, a delta; only its form is checked")
    invocation.printer.error("give --base=FILE or --nodes to check what the delta leads to")
    return ExitStatus.OK


def diff(invocation: Invocation) -> int:
    """Prints what a note changes in the one in --base or in the one in force."""
    path = invocation.arguments[0]
    try:
        offered = read_note(path)
        base = _required_base(invocation)
        note = offered if isinstance(offered, Note) else _apply(base, offered)
    except NoteError as error:
        return _print_refusal(invocation, path, error)
    changes = note_changes(base, note)
    invocation.printer.document(
        {
            "base_serial": base.serial,
            "serial": note.serial,
            "changes": [asdict(change) for change in changes],
        }
    )
    rows = [(change.place, change.before, change.after) for change in changes]
    title = f"serial {base.serial} to {note.serial}, {len(changes)} changes"
    invocation.printer.table(title, ("place", "before", "after"), rows)
    return ExitStatus.FINDING if changes else ExitStatus.OK


def render(invocation: Invocation) -> int:
    """Prints the full note that a delta makes of its base, ready to be published."""
    path = invocation.arguments[0]
    try:
        offered = read_note(path)
        note = offered
        if isinstance(offered, Delta):
            note = _apply(_required_base(invocation), offered)
    except NoteError as error:
        return _print_refusal(invocation, path, error)
    document = note.model_dump(mode="json")
    invocation.printer.document(document)
    invocation.printer.text(yaml.safe_dump(document, sort_keys=False).rstrip())
    return ExitStatus.OK


def _apply(base: Note, delta: Delta) -> Note:
    in_force = NoteInForce()
    in_force.accept_note(base)
    if not in_force.accept_note(delta) or in_force.note is None:
        raise UsageError(f"the base has serial {base.serial} already")
    return in_force.note


COMMANDS = (
    Command(
        "check",
        "FILE",
        "checks a full note or a delta, against --base or --nodes if given",
        (1, 1),
        check,
    ),
    Command("diff", "FILE", "compares a note with --base or the one in force", (1, 1), diff),
    Command(
        "render",
        "FILE",
        "prints the full note that a delta makes of --base or the one in force",
        (1, 1),
        render,
    ),
)
