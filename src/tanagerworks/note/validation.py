"""Turns faults that pydantic finds in a note into typed errors with place and remedy."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any

from pydantic import ValidationError

from tanagerworks.errors import NoteFaultError, NoteInvalidError
from tanagerworks.note.model import MAX_CANONICAL_BYTES, Note, ReferenceFaultsError, Statement

_MAX_INPUT_CHARS = 60
_SECRET_FIELD = "key_sha256"

PlaceOf = Callable[[str], str]


def validate_statement(document: Mapping[str, Any], place_of: PlaceOf) -> Statement:
    """Returns the checked statement; `place_of` maps a place in it to one in the note.

    Raises:
        NoteInvalidError: with one fault for every place that is wrong.
    """
    try:
        return Statement.model_validate(document)
    except ValidationError as error:
        raise NoteInvalidError(list(note_faults(error, place_of))) from error


def check_size(note: Note) -> None:
    """Checks that peers can send the note in one message.

    Raises:
        NoteInvalidError: the canonical form is too long.
    """
    size = len(note.canonical_json())
    if size > MAX_CANONICAL_BYTES:
        fault = NoteFaultError(
            "statement",
            f"{size} bytes in canonical form",
            f"keep it at or under {MAX_CANONICAL_BYTES} bytes",
        )
        raise NoteInvalidError([fault])


def note_faults(error: ValidationError, place_of: PlaceOf) -> Iterator[NoteFaultError]:
    """Yields one typed error for each fault of a validation."""
    for detail in error.errors(include_url=False):
        place = ".".join(str(part) for part in detail["loc"] if part != "[key]")
        cause = detail.get("ctx", {}).get("error")
        if isinstance(cause, ReferenceFaultsError):
            prefix = f"{place}." if place else ""
            for inner, reason, remedy in cause.faults:
                yield NoteFaultError(place_of(prefix + inner), reason, remedy)
            continue
        kind = detail["type"]
        if kind == "missing":
            yield NoteFaultError(place_of(place), "is missing", "add it")
        elif kind == "extra_forbidden":
            yield NoteFaultError(place_of(place), "is not known here", "remove it or fix its name")
        elif kind == "value_error":
            yield NoteFaultError(place_of(place), _shown(place, detail["input"]), str(cause))
        else:
            yield NoteFaultError(place_of(place), _shown(place, detail["input"]), detail["msg"])


def _shown(place: str, value: object) -> str:
    if _SECRET_FIELD in place:
        # An operator may put a bearer key there by mistake, and faults go to logs.
        return "does not fit"
    text = repr(value)
    if len(text) > _MAX_INPUT_CHARS:
        text = text[:_MAX_INPUT_CHARS] + "..."
    return f"is {text}"
