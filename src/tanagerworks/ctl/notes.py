"""Subcommands on release notes: check, diff, render."""

import json
from dataclasses import asdict
from pathlib import Path

import yaml

from tanagerworks.agent.admin_models import NoteReport
from tanagerworks.audit.changes import diff_notes
from tanagerworks.ctl.client import NodeRefusedError, NodeUnreachableError, gather_answers
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
        NoteInvalidError: the content is not a valid note.
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
    invocation.printer.print_json(
        {
            "file": path,
            "accepted": False,
            "code": error.code,
            "message": error.message,
            "faults": rows,
        }
    )
    for fault in faults:
        invocation.printer.print_error(f"{path}: {error.code}: {fault.message}")
    if not faults:
        invocation.printer.print_error(f"{path}: {error.code}: {error.message}")
    return ExitStatus.FINDING


def _fetch_note_in_force(invocation: Invocation) -> Note:
    client = invocation.client
    gathered = gather_answers(
        invocation.nodes,
        lambda address: client.get(address, "note", NoteReport),
    )
    invocation.printer.print_node_failures(gathered.failures)
    if not gathered.answers:
        if gathered.exit_status() is ExitStatus.REFUSED:
            raise NodeRefusedError("no node returned its note", gathered.failures[0].code)
        raise NodeUnreachableError("no node returned its note; use --base for a file instead")
    newest = max(gathered.answers.values(), key=lambda report: report.serial)
    document = {"serial": newest.serial, "statement": newest.statement}
    return Note.model_validate_json(json.dumps(document))


def _read_base_note(invocation: Invocation) -> Note | None:
    base = invocation.string_flag("base")
    if base is not None:
        note = read_note(base)
        if isinstance(note, Delta):
            raise UsageError(f"{base}: --base takes a full note")
        return note
    if invocation.flag_values["nodes"].value:
        return _fetch_note_in_force(invocation)
    return None


def _require_base_note(invocation: Invocation) -> Note:
    base = _read_base_note(invocation)
    if base is None:
        raise UsageError("give --base=FILE, or --nodes for the note in force")
    return base


def check(invocation: Invocation) -> int:
    """Checks a note as the nodes do and prints every fault.

    With a base, the serial and the result of a delta are checked as well.
    """
    path = invocation.arguments[0]
    try:
        parsed = read_note(path)
        base = _read_base_note(invocation)
        result = parsed if isinstance(parsed, Note) else None
        if base is not None:
            in_force = NoteInForce()
            in_force.accept_note(base)
            in_force.accept_note(parsed)
            result = in_force.note
    except NoteError as error:
        return _print_refusal(invocation, path, error)
    digest = result.digest() if result else None
    invocation.printer.print_json(
        {"file": path, "accepted": True, "serial": parsed.serial, "digest": digest}
    )
    if digest is not None:
        invocation.printer.print_text(f"{path}: serial {parsed.serial}, digest {digest}")
        return ExitStatus.OK
    invocation.printer.print_text(
        f"{path}: serial {parsed.serial}, a delta; only its form is checked"
    )
    invocation.printer.print_error(
        "give --base=FILE or --nodes to check the note that the delta results in"
    )
    return ExitStatus.OK


def diff(invocation: Invocation) -> int:
    """Prints the differences between the note in --base, or the one in force, and another note."""
    path = invocation.arguments[0]
    try:
        parsed = read_note(path)
        base = _require_base_note(invocation)
        note = parsed if isinstance(parsed, Note) else _apply_delta_to_base(base, parsed)
    except NoteError as error:
        return _print_refusal(invocation, path, error)
    changes = diff_notes(base, note)
    invocation.printer.print_json(
        {
            "base_serial": base.serial,
            "serial": note.serial,
            "changes": [asdict(change) for change in changes],
        }
    )
    rows = [(change.place, change.before, change.after) for change in changes]
    title = f"serial {base.serial} to {note.serial}, {len(changes)} changes"
    invocation.printer.print_table(title, ("place", "before", "after"), rows)
    return ExitStatus.FINDING if changes else ExitStatus.OK


def render(invocation: Invocation) -> int:
    """Prints the full note that a delta results in, ready to be published."""
    path = invocation.arguments[0]
    try:
        parsed = read_note(path)
        note = parsed
        if isinstance(parsed, Delta):
            note = _apply_delta_to_base(_require_base_note(invocation), parsed)
    except NoteError as error:
        return _print_refusal(invocation, path, error)
    document = note.model_dump(mode="json")
    invocation.printer.print_json(document)
    invocation.printer.print_text(yaml.safe_dump(document, sort_keys=False).rstrip())
    return ExitStatus.OK


def _apply_delta_to_base(base: Note, delta: Delta) -> Note:
    in_force = NoteInForce()
    in_force.accept_note(base)
    if not in_force.accept_note(delta) or in_force.note is None:
        raise UsageError(f"serial {base.serial} is already the serial of the base")
    return in_force.note


COMMANDS = (
    Command(
        "check",
        "FILE",
        "checks a full note or a delta, against --base or --nodes if given",
        (1, 1),
        check,
    ),
    Command("diff", "FILE", "compares a note with --base or the note in force", (1, 1), diff),
    Command(
        "render",
        "FILE",
        "applies a delta to --base or the note in force and prints the full note",
        (1, 1),
        render,
    ),
)
