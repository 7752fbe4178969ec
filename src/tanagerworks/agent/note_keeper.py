"""Accepts release notes from the platform and from peers, by the same rule."""

import logging
import zlib
from collections.abc import Callable
from enum import Enum

from tanagerworks.agent.daemon_call import call_in_daemon_thread
from tanagerworks.errors import (
    NoteBaseMissingError,
    NoteError,
    NoteFaultError,
    NoteInvalidError,
    SerialConflictError,
    StaleSerialError,
)
from tanagerworks.note.acceptance import NoteInForce
from tanagerworks.note.delta import Delta
from tanagerworks.note.model import MAX_CANONICAL_BYTES, Note
from tanagerworks.note.parsing import parse_canonical_note, parse_note

_LOGGER = logging.getLogger(__name__)


class SubmitResult(Enum):
    """Result of submitting a note.

    KNOWN: it is in force already. STALE: a higher serial is in force. BASE_MISSING: the delta is
    stored until its base is accepted.
    """

    ACCEPTED = "accepted"
    KNOWN = "known"
    STALE = "stale"
    BASE_MISSING = "base_missing"
    REFUSED = "refused"


class NoteKeeper:
    """Keeps the newest acceptable note and puts it in force; used on the event loop only.

    `apply_note` gets each accepted note and its source, once `start_applying_notes` was called.
    `on_refused` gets the source, the serial (0 if unknown) and the error of every refused note.
    """

    def __init__(
        self,
        apply_note: Callable[[Note, str], None],
        on_refused: Callable[[str, int, NoteError], None] = lambda source, serial, error: None,
    ) -> None:
        self.in_force = NoteInForce()
        self.apply_note = apply_note
        self.on_refused = on_refused
        self.applies_notes = False
        self.source = ""
        # A delta that waits for its base, and its source.
        self.pending_delta: tuple[Delta, str] | None = None
        self.packed_note = b""
        self.packed_serial = 0
        self.last_refusal = ""

    @property
    def serial(self) -> int:
        """Highest accepted serial; 0 without a note."""
        return self.in_force.serial

    def start_applying_notes(self) -> None:
        """Puts the newest note in force, and from now on every accepted one.

        Called after the survey of the seed peers, since one of them may have a newer note.
        """
        if self.applies_notes:
            return
        self.applies_notes = True
        if self.in_force.note is not None:
            self.apply_note(self.in_force.note, self.source)

    async def submit_published_note(self, content: bytes, source: str) -> SubmitResult:
        """Submits a full note or a delta as operators publish it, in YAML or JSON."""
        try:
            # Parsing a large note would block the event loop for too long.
            note = await call_in_daemon_thread(parse_note, content, name="parse-note")
        except NoteInvalidError as error:
            return self._report_refusal(source, 0, error)
        return self.submit_note(note, source)

    async def submit_packed_note(self, content: bytes, source: str) -> SubmitResult:
        """Submits a full note as packed by a peer."""
        try:
            note = await call_in_daemon_thread(_unpack_note, content, name="parse-note")
        except NoteInvalidError as error:
            return self._report_refusal(source, 0, error)
        return self.submit_note(note, source)

    def submit_note(self, submitted: Note | Delta, source: str) -> SubmitResult:
        """Submits a parsed note or delta; the note in force changes only if it is accepted."""
        try:
            changed = self.in_force.accept_note(submitted)
        except StaleSerialError as error:
            self.on_refused(source, submitted.serial, error)
            return SubmitResult.STALE
        except NoteBaseMissingError:
            assert isinstance(submitted, Delta)
            if self.pending_delta is None or submitted.serial > self.pending_delta[0].serial:
                self.pending_delta = (submitted, source)
            return SubmitResult.BASE_MISSING
        except NoteError as error:
            return self._report_refusal(source, submitted.serial, error)
        if not changed:
            return SubmitResult.KNOWN
        self.source = source
        _LOGGER.info("release note accepted", extra={"serial": self.serial, "source": source})
        self._submit_pending_delta()
        if self.applies_notes and self.in_force.note is not None:
            self.apply_note(self.in_force.note, self.source)
        return SubmitResult.ACCEPTED

    def _submit_pending_delta(self) -> None:
        if self.pending_delta is None:
            return
        (delta, source), self.pending_delta = self.pending_delta, None
        if delta.serial > self.serial:
            self.submit_note(delta, source)

    def _report_refusal(self, source: str, serial: int, error: NoteError) -> SubmitResult:
        self.on_refused(source, serial, error)
        # The platform and peers send the same note repeatedly; its refusal is logged once.
        if error.message != self.last_refusal:
            self.last_refusal = error.message
            log = _LOGGER.error if isinstance(error, SerialConflictError) else _LOGGER.warning
            log(
                "refused a release note",
                extra={"code": error.code, "source": source, "error": error.message},
            )
        return SubmitResult.REFUSED

    def pack_note(self) -> bytes:
        """Returns the note in force as zlib-compressed canonical JSON; empty without a note."""
        if self.in_force.note is None:
            return b""
        if self.packed_serial != self.serial:
            self.packed_note = zlib.compress(self.in_force.note.canonical_json())
            self.packed_serial = self.serial
        return self.packed_note


def _unpack_note(content: bytes) -> Note:
    reader = zlib.decompressobj()
    try:
        # The limit prevents a small message from expanding until memory runs out.
        canonical = reader.decompress(content, MAX_CANONICAL_BYTES + 1)
    except zlib.error as error:
        fault = NoteFaultError("", "not packed as a note", "send zlib-compressed canonical JSON")
        raise NoteInvalidError([fault]) from error
    return parse_canonical_note(canonical)
