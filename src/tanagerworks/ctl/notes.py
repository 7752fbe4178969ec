"""Subcommands on release notes: check, diff."""

import json
from dataclasses import asdict
from pathlib import Path

import yaml
from pydantic import ValidationError

from tanagerworks.agent.admin_models import NoteReport
from tanagerworks.audit.changes import note_changes
from tanagerworks.ctl.client import NodeRefusedError, NodeUnreachableError, gather
from tanagerworks.ctl.command import Command, Invocation
from tanagerworks.ctl.exits import ExitStatus
from tanagerworks.errors import NoteError
from tanagerworks.note.model import MAX_NOTE_BYTES, Note


class NoteFaultsError(NoteError):
    """A note file that cannot be accepted; `faults` holds a place and a reason for each fault."""

    def __init__(self, path: str, faults: list[tuple[str, str]]) -> None:
        super().__init__(f"{path}: {len(faults)} faults")
        self.path = path
        self.faults = faults


def read_full_note(path: str) -> Note:
    """Returns the full note in a YAML file.

    Raises:
        NoteFaultsError: the file cannot be read or the note cannot be accepted.
    """
    try:
        content = Path(path).read_bytes()
        document = yaml.safe_load(content)
    except OSError as error:
        raise NoteFaultsError(path, [("", f"cannot be read: {error.strerror}")]) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise NoteFaultsError(path, [("", f"is not valid YAML: {error}")]) from error
    if len(content) > MAX_NOTE_BYTES:
        raise NoteFaultsError(path, [("", f"is over {MAX_NOTE_BYTES} bytes")])
    try:
        return Note.model_validate_json(json.dumps(document))
    except (TypeError, ValueError) as error:
        if not isinstance(error, ValidationError):
            raise NoteFaultsError(path, [("", f"has no JSON form: {error}")]) from error
        faults = []
        for fault in error.errors(include_input=False, include_url=False):
            faults.append((".".join(str(part) for part in fault["loc"]), fault["msg"]))
        raise NoteFaultsError(path, faults) from error


def _print_faults(invocation: Invocation, error: NoteFaultsError) -> int:
    rows = [{"place": place, "reason": reason} for place, reason in error.faults]
    invocation.printer.document({"file": error.path, "accepted": False, "faults": rows})
    for place, reason in error.faults:
        invocation.printer.error(f"{error.path}: {place or '(document)'}: {reason}")
    return ExitStatus.FINDING


def check(invocation: Invocation) -> int:
    """Checks a note and prints every fault."""
    try:
        note = read_full_note(invocation.arguments[0])
    except NoteFaultsError as error:
        return _print_faults(invocation, error)
    path = invocation.arguments[0]
    invocation.printer.document(
        {"file": path, "accepted": True, "serial": note.serial, "digest": note.digest()}
    )
    invocation.printer.text(f"{path}: serial {note.serial}, digest {note.digest()}")
    return ExitStatus.OK


def _base_note(invocation: Invocation) -> Note:
    base = invocation.flag("base")
    if base is not None:
        return read_full_note(base)
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


def diff(invocation: Invocation) -> int:
    """Prints what a note changes in the note in force, or in the one in --base."""
    try:
        note = read_full_note(invocation.arguments[0])
        base = _base_note(invocation)
    except NoteFaultsError as error:
        return _print_faults(invocation, error)
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


COMMANDS = (
    Command("check", "FILE", "checks a release note and prints every fault", (1, 1), check),
    Command("diff", "FILE", "compares a note with --base or the one in force", (1, 1), diff),
)
