"""Acceptance of release notes: serials, not clocks, order them."""

from tanagerworks.errors import NoteBaseMissingError, SerialConflictError, StaleSerialError
from tanagerworks.note.delta import Delta, apply_delta
from tanagerworks.note.model import Note


class NoteInForce:
    """The note in force at one node; it changes only to a higher serial.

    `digest` is the SHA-256 of the note's canonical form; `delta` is the delta that led to it, or
    None after a full statement.
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

    def accept_note(self, offered: Note | Delta) -> bool:
        """Puts `offered` in force if the rule allows; returns False for the note in force itself.

        A refused note changes nothing.

        Raises:
            StaleSerialError: a higher serial is in force.
            SerialConflictError: another note with this serial is in force.
            NoteBaseMissingError: a delta on another base than the note in force.
            NoteInvalidError: a delta that does not lead to a valid statement.
        """
        if offered.serial < self.serial:
            raise StaleSerialError(f"serial {offered.serial} is below {self.serial} in force")
        if offered.serial == self.serial:
            self._check_same(offered)
            return False
        if isinstance(offered, Note):
            self._put(offered, None)
            return True
        self._check_base(offered)
        assert self.note is not None
        self._put(apply_delta(self.note, offered), offered)
        return True

    def _put(self, note: Note, delta: Delta | None) -> None:
        self.base_digest = self.digest if delta else ""
        self.digest = note.digest()
        self.delta = delta
        self.note = note

    def _check_same(self, offered: Note | Delta) -> None:
        if isinstance(offered, Note):
            same = offered.digest() == self.digest
        else:
            # After a full statement the delta's effect cannot be compared; a difference then
            # shows when the full statement of the other publication arrives.
            same = self.delta is None or offered.digest() == self.delta.digest()
        if not same:
            raise SerialConflictError(f"another note with serial {offered.serial} is in force")

    def _check_base(self, delta: Delta) -> None:
        if delta.base != self.serial:
            raise NoteBaseMissingError(
                f"serial {delta.serial} builds on {delta.base}, in force is {self.serial}"
            )
        if delta.base_digest not in (None, self.digest):
            raise NoteBaseMissingError(f"another note with serial {delta.base} is in force")
