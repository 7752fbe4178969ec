"""Splits a `text/event-stream` body into events, for streams that can resume at another server."""

import re

from tanagerworks.errors import BackendProtocolError

# An event ends with an empty line. The second form also matches the end of `\r\n\r\n`.
_EVENT_ENDS = (b"\n\n", b"\n\r\n")
# Bytes of an event end that may have arrived with earlier data.
_OVERLAP_BYTES = max(len(end) for end in _EVENT_ENDS) - 1
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# Maximum size of an incomplete event, which is buffered in memory.
MAX_EVENT_BYTES = 1_000_000


class EventSplitter:
    """Splits a body into complete events and records the id of the last one."""

    def __init__(self, last_event_id: str | None) -> None:
        self.last_event_id = last_event_id
        self.partial_event = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Returns the events that are complete after `data`.

        Searches only `data`, so the cost of a long event does not depend on the number of pieces
        in which it arrives.

        Raises:
            BackendProtocolError: an incomplete event exceeds the size limit.
        """
        buffer = self.partial_event
        start = max(0, len(buffer) - _OVERLAP_BYTES)
        buffer += data
        end = 0
        for event_end in _EVENT_ENDS:
            position = buffer.rfind(event_end, start)
            if position >= 0:
                end = max(end, position + len(event_end))
        events = bytes(buffer[:end])
        del buffer[:end]
        if len(buffer) > MAX_EVENT_BYTES:
            raise BackendProtocolError("an event of the stream exceeds the size limit")
        ids = _EVENT_ID.findall(events)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1")
        return events

    def discard_partial_event(self) -> None:
        """Discards the incomplete event at the end, before the stream resumes at another server."""
        self.partial_event.clear()


class EventCounter:
    """Detects complete events in a body of any size without storing them.

    Comments and empty events are not counted: servers send them to keep a connection open while
    they make no progress.
    """

    def __init__(self) -> None:
        # Whether the current line is empty so far, and whether the current event has a field.
        self.line_empty = True
        self.has_field = False

    def is_inside_event(self) -> bool:
        """Returns whether the body so far ends inside a line or an event."""
        return self.has_field or not self.line_empty

    def feed(self, data: bytes) -> bool:
        """Returns whether an event with at least one field is complete after `data`."""
        complete = False
        for number, line in enumerate(data.replace(b"\r", b"").split(b"\n")):
            if number:
                if self.line_empty:
                    complete = complete or self.has_field
                    self.has_field = False
                self.line_empty = True
            if not line:
                continue
            if self.line_empty and not line.startswith(b":"):
                self.has_field = True
            self.line_empty = False
        return complete
