"""Deltas of a release note: their model, and how one is applied to its base."""

import hashlib
import json
from collections.abc import Iterator, Mapping
from copy import deepcopy
from typing import Any

from tanagerworks.errors import NoteFaultError, NoteInvalidError
from tanagerworks.fields import Name
from tanagerworks.note.model import Note, NoteModel, Serial, Sha256Hex, Statement
from tanagerworks.note.validation import check_canonical_size, validate_statement

_RULES = "rules"
ITEM_SECTIONS = tuple(name for name in Statement.model_fields if name != _RULES)


class Delta(NoteModel):
    """Changes that turn the note with serial `base` into the one with `serial`.

    `added` and `changed` map section and name to fields; `withdrawn` lists names by section.
    `base_digest`, if given, is the SHA-256 of the base's canonical form, so that the delta is
    refused on a different note that was published under the same serial.
    """

    serial: Serial
    base: Serial
    base_digest: Sha256Hex | None = None
    added: dict[Name, dict[Name, dict[str, Any]]] = {}
    changed: dict[Name, dict[Name, Any]] = {}
    withdrawn: dict[Name, tuple[Name, ...]] = {}

    def digest(self) -> str:
        """Returns the SHA-256 of the delta's canonical JSON in hex."""
        document = json.dumps(self.model_dump(mode="json"), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(document.encode()).hexdigest()


def apply_delta(base: Note, delta: Delta) -> Note:
    """Returns `base` with `delta` applied; `base` is not modified.

    A nested mapping in `changed` is merged field by field. Null removes a field, so that an
    optional field returns to its default, as in a JSON merge patch (RFC 7396).

    Raises:
        NoteInvalidError: the delta or the resulting note is invalid; `faults` lists every
            violation.
    """
    document = base.statement.model_dump(mode="json")
    faults = [*_find_structure_faults(delta), *_find_name_faults(delta, document)]
    if faults:
        raise NoteInvalidError(faults)
    for section, names in delta.withdrawn.items():
        for name in names:
            del document[section][name]
    for section, items in delta.changed.items():
        if section == _RULES:
            document[_RULES] = merge_fields(document[_RULES], items)
            continue
        for name, fields in items.items():
            document[section][name] = merge_fields(document[section][name], fields)
    for section, added in delta.added.items():
        document[section].update(deepcopy(added))
    statement = validate_statement(document, lambda place: _map_place_to_delta(delta, place))
    note = Note(serial=delta.serial, statement=statement)
    check_canonical_size(note)
    return note


def merge_fields(old: Any, new: Mapping[str, Any]) -> dict[str, Any]:
    """Returns `old` with the fields of `new` merged in, nested mappings field by field.

    None removes a field. An `old` that is not a mapping is replaced.
    """
    merged = dict(old) if isinstance(old, Mapping) else {}
    for key, value in new.items():
        if value is None:
            merged.pop(key, None)
        elif isinstance(value, Mapping):
            merged[key] = merge_fields(merged.get(key), value)
        else:
            merged[key] = value
    return merged


def _find_structure_faults(delta: Delta) -> Iterator[NoteFaultError]:
    if delta.base >= delta.serial:
        yield NoteFaultError(
            "base", f"{delta.base} is not below serial {delta.serial}", "use the serial in force"
        )
    for part, sections in (
        ("added", delta.added),
        ("changed", delta.changed),
        ("withdrawn", delta.withdrawn),
    ):
        for section in sections:
            if section in ITEM_SECTIONS or (section == _RULES and part == "changed"):
                continue
            remedy = f"use one of: {', '.join(ITEM_SECTIONS)}"
            if section == _RULES:
                remedy = "rules always exist; set them under changed, null restores a default"
            yield NoteFaultError(f"{part}.{section}", "this section is not allowed here", remedy)


def _find_name_faults(delta: Delta, document: Mapping[str, Any]) -> Iterator[NoteFaultError]:
    for section, added in delta.added.items():
        for name in added:
            if name in document.get(section, {}) and section != _RULES:
                yield NoteFaultError(
                    f"added.{section}.{name}", "it already exists in the base", "move it to changed"
                )
    for section, changed in delta.changed.items():
        if section == _RULES:
            continue
        for name, fields in changed.items():
            place = f"changed.{section}.{name}"
            if not isinstance(fields, Mapping):
                yield NoteFaultError(
                    place, "it is not a mapping of fields", "list fields, or use withdrawn"
                )
            elif name not in document.get(section, {}):
                yield NoteFaultError(place, "it is not in the base", "move it to added")
    for section, names in delta.withdrawn.items():
        for position, name in enumerate(names):
            place = f"withdrawn.{section}.{name}"
            if name not in document.get(section, {}):
                yield NoteFaultError(place, "it is not in the base", "leave it out")
            elif name in names[:position]:
                yield NoteFaultError(place, "it is listed twice", "list it once")
            elif name in delta.added.get(section, {}) or name in delta.changed.get(section, {}):
                yield NoteFaultError(
                    place, "it is also added or changed", "keep it in one part only"
                )


def _map_place_to_delta(delta: Delta, place: str) -> str:
    section, _, rest = place.partition(".")
    # Names may contain dots, so the names in the delta are compared as prefixes.
    for part, sections in (("added", delta.added), ("changed", delta.changed)):
        for name in sections.get(section, {}):
            if rest == name or rest.startswith(f"{name}."):
                return f"{part}.{place}"
    return f"statement.{place}"
