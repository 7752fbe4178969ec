"""Splits a `text/event-stream` body into events, for streams that can resume at another server."""

import re

from tanagerworks.errors import BackendProtocolError

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# Maximum size of an incomplete event, which is buffered in memory.
_MAX_EVENT_BYTES = 1_000_000


class EventSplitter:
    """Splits a body into complete events and records the id of the last one."""

    def __init__(self, last_event_id: str | None) -> None:
        self.last_event_id = last_event_id
        self.partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the events that are complete after `data`.

        Raises:
            BackendProtocolError: an incomplete event exceeds the size limit.
        """
        buffered = self.partial_event + data
        end = 0
        for match in _EVENT_END.finditer(buffered):
            end = match.end()
        events, self.partial_event = buffered[:end], buffered[end:]
        if len(self.partial_event) > _MAX_EVENT_BYTES:
            raise BackendProtocolError("an event of the stream exceeds the size limit")
        ids = _EVENT_ID.findall(events)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1")
        return events

    def discard_partial_event(self) -> None:
        """Discards the incomplete event at the end, before the stream resumes at another server."""
        self.partial_event = b""
