"""Validates notes; converts pydantic errors to `NoteFaultError` with place, reason and remedy."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any

from pydantic import ValidationError

from tanagerworks.errors import NoteFaultError, NoteInvalidError
from tanagerworks.note.model import MAX_CANONICAL_BYTES, Note, ReferenceFaultsError, Statement

_MAX_INPUT_CHARS = 60
_SECRET_FIELD = "key_sha256"

PlaceMapper = Callable[[str], str]


def validate_statement(document: Mapping[str, Any], map_place: PlaceMapper) -> Statement:
    """Returns the validated statement; `map_place` maps a place in it to one in the note.

    Raises:
        NoteInvalidError: the statement is invalid; `faults` lists every violation.
    """
    try:
        return Statement.model_validate(document)
    except ValidationError as error:
        raise NoteInvalidError(list(iter_note_faults(error, map_place))) from error


def check_canonical_size(note: Note) -> None:
    """Checks that the note is short enough for one message between peers.

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


def iter_note_faults(error: ValidationError, map_place: PlaceMapper) -> Iterator[NoteFaultError]:
    """Yields a `NoteFaultError` for each fault in a pydantic validation error."""
    for detail in error.errors(include_url=False):
        place = ".".join(str(part) for part in detail["loc"] if part != "[key]")
        cause = detail.get("ctx", {}).get("error")
        if isinstance(cause, ReferenceFaultsError):
            prefix = f"{place}." if place else ""
            for inner, reason, remedy in cause.faults:
                yield NoteFaultError(map_place(prefix + inner), reason, remedy)
            continue
        kind = detail["type"]
        if kind == "missing":
            yield NoteFaultError(map_place(place), "is missing", "add it")
        elif kind == "extra_forbidden":
            yield NoteFaultError(
                map_place(place), "is not a known field", "remove it or fix its name"
            )
        elif kind == "value_error":
            yield NoteFaultError(
                map_place(place), _describe_input(place, detail["input"]), str(cause)
            )
        else:
            yield NoteFaultError(
                map_place(place), _describe_input(place, detail["input"]), detail["msg"]
            )


def _describe_input(place: str, value: object) -> str:
    if _SECRET_FIELD in place:
        # An operator may enter the bearer key itself by mistake, and faults are logged.
        return "is not valid"
    text = repr(value)
    if len(text) > _MAX_INPUT_CHARS:
        text = text[:_MAX_INPUT_CHARS] + "..."
    return f"is {text}"
