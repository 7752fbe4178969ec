"""Parsing of release notes in YAML or JSON."""

import json
import math
from collections.abc import Hashable, Iterator
from typing import Any

import yaml
from pydantic import ValidationError

from tanagerworks.errors import NoteFaultError, NoteInvalidError
from tanagerworks.note.delta import Delta
from tanagerworks.note.model import MAX_CANONICAL_BYTES, MAX_NOTE_BYTES, Note
from tanagerworks.note.validation import check_canonical_size, iter_note_faults

# A statement nests six levels deep. The limit keeps hostile input from exhausting the stack.
_MAX_DEPTH = 24


class _StructureError(yaml.MarkedYAMLError):
    """Valid YAML that is not accepted in a note; `mark` is its position in the text."""

    def __init__(self, problem: str, mark: Any) -> None:
        super().__init__(problem=problem, problem_mark=mark)


class _NoteLoader(yaml.CSafeLoader):
    """Safe loader that refuses duplicate keys, which YAML loaders otherwise drop silently."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Hashable, Any]:
        """Returns the mapping that `node` describes.

        Raises:
            _StructureError: a key is not a string or occurs twice.
        """
        seen: set[Any] = set()
        for key_node, _value_node in node.value:
            key = self.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                raise _StructureError(f"key {key!r} is not a string; quote it", key_node.start_mark)
            if key in seen:
                raise _StructureError(f"key {key!r} occurs twice", key_node.start_mark)
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def parse_note(content: bytes) -> Note | Delta:
    """Returns the full note or the delta that an operator published as YAML or JSON.

    Raises:
        NoteInvalidError: the content is invalid; `faults` lists every violation.
    """
    document = parse_document(content)
    model = Note if "statement" in document else Delta
    try:
        note = model.model_validate(document)
    except ValidationError as error:
        raise NoteInvalidError(list(iter_note_faults(error, str))) from error
    if isinstance(note, Note):
        check_canonical_size(note)
    return note


def parse_canonical_note(content: bytes) -> Note:
    """Returns the note in canonical JSON that a peer sent.

    Raises:
        NoteInvalidError: the content is too long or not a full note.
    """
    if len(content) > MAX_CANONICAL_BYTES:
        raise _whole_note_error(
            f"{len(content)} bytes", f"keep it at or under {MAX_CANONICAL_BYTES} bytes"
        )
    try:
        return Note.model_validate_json(content)
    except ValidationError as error:
        raise NoteInvalidError(list(iter_note_faults(error, str))) from error


def parse_document(content: bytes) -> dict[str, Any]:
    """Returns the mapping in YAML or JSON `content`, with string keys and finite numbers only.

    Raises:
        NoteInvalidError: the content is too long, is neither YAML nor JSON, nests too deeply, or
            has aliases, duplicate keys or values of other types.
    """
    if len(content) >= MAX_NOTE_BYTES:
        raise _whole_note_error(f"{len(content)} bytes", f"keep it under {MAX_NOTE_BYTES} bytes")
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        raise _whole_note_error(f"not UTF-8 at byte {error.start}", "encode it as UTF-8") from error
    try:
        document = _load_text(text)
        faults = list(_find_value_faults(document, ""))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        place = f"line {mark.line + 1}, column {mark.column + 1}" if mark else ""
        raise NoteInvalidError(
            [NoteFaultError(place, str(error.problem), "write valid YAML or JSON")]
        ) from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise _whole_note_error(str(error), "write valid YAML or JSON") from error
    if not isinstance(document, dict):
        raise _whole_note_error("it is not a mapping", "start with serial, base, added and so on")
    if faults:
        raise NoteInvalidError(faults)
    return document


def _whole_note_error(reason: str, remedy: str) -> NoteInvalidError:
    return NoteInvalidError([NoteFaultError("", reason, remedy)])


def _load_text(text: str) -> Any:
    if text.lstrip().startswith("{"):
        try:
            return json.loads(text, object_pairs_hook=_reject_duplicate_keys)
        except json.JSONDecodeError:
            # A YAML flow mapping also starts with a brace.
            pass
    _check_structure(text)
    return yaml.load(text, Loader=_NoteLoader)  # noqa: S506 - a subclass of the safe loader


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) < len(pairs):
        keys = [key for key, _value in pairs]
        duplicate = next(key for key in keys if keys.count(key) > 1)
        raise ValueError(f"key {duplicate!r} occurs twice")
    return document


def _check_structure(text: str) -> None:
    # Checks the event stream, so that an alias is refused before it is expanded.
    depth = 0
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.AliasEvent):
            raise _StructureError("aliases are not allowed; repeat the value", event.start_mark)
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
            if depth > _MAX_DEPTH:
                raise _StructureError(f"nested more than {_MAX_DEPTH} levels", event.start_mark)
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1


def _find_value_faults(value: Any, place: str) -> Iterator[NoteFaultError]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _find_value_faults(item, f"{place}.{key}" if place else str(key))
    elif isinstance(value, list):
        for position, item in enumerate(value):
            yield from _find_value_faults(item, f"{place}.{position}")
    elif isinstance(value, float) and not math.isfinite(value):
        yield NoteFaultError(place, f"is {value}", "use a finite number")
    elif not isinstance(value, (str, int, float, type(None))):
        # YAML loads unquoted dates and tagged values as types that JSON does not have.
        yield NoteFaultError(place, f"is a {type(value).__name__}", "quote it to make it a string")
