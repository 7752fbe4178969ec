"""Acceptance of release notes, which are ordered by serial and not by time."""

from tanagerworks.errors import NoteBaseMissingError, SerialConflictError, StaleSerialError
from tanagerworks.note.delta import Delta, apply_delta
from tanagerworks.note.model import Note


class NoteInForce:
    """The note in force at one node, which only a note with a higher serial replaces.

    `digest` is the SHA-256 of the note's canonical form. `delta` is the delta that was applied to
    reach it and `base_digest` the digest of that delta's base; after a full statement they are
    None and empty.
    """

    def __init__(self) -> None:
        self.note: Note | None = None
        self.digest = ""
        self.base_digest = ""
        self.delta: Delta | None = None

    @property
    def serial(self) -> int:
        """Serial in force; 0 without a note."""
        return self.note.serial if self.note else 0

    def accept_note(self, submitted: Note | Delta) -> bool:
        """Puts `submitted` in force and returns True, or returns False if it already is in force.

        A refused note changes nothing.

        Raises:
            StaleSerialError: a higher serial is in force.
            SerialConflictError: another note with this serial is in force.
            NoteBaseMissingError: the base of the delta is not the note in force.
            NoteInvalidError: the delta or the note that it results in is invalid.
        """
        if submitted.serial < self.serial:
            raise StaleSerialError(f"serial {submitted.serial} is below {self.serial} in force")
        if submitted.serial == self.serial:
            self._check_same_content(submitted)
            return False
        if isinstance(submitted, Note):
            self._set_note(submitted, None)
            return True
        self._check_base(submitted)
        assert self.note is not None
        self._set_note(apply_delta(self.note, submitted), submitted)
        return True

    def _set_note(self, note: Note, delta: Delta | None) -> None:
        self.base_digest = self.digest if delta else ""
        self.digest = note.digest()
        self.delta = delta
        self.note = note

    def _check_same_content(self, submitted: Note | Delta) -> None:
        if isinstance(submitted, Note):
            same = submitted.digest() == self.digest
        else:
            # After a full statement there is no delta to compare with. A conflict is detected
            # when the full statement of the other publication arrives.
            same = self.delta is None or submitted.digest() == self.delta.digest()
        if not same:
            raise SerialConflictError(f"another note with serial {submitted.serial} is in force")

    def _check_base(self, delta: Delta) -> None:
        if delta.base != self.serial:
            raise NoteBaseMissingError(
                f"serial {delta.serial} needs base {delta.base}, in force is serial {self.serial}"
            )
        if delta.base_digest not in (None, self.digest):
            raise NoteBaseMissingError(f"another note with serial {delta.base} is in force")
