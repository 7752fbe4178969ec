"""The exchange of one chat request with its engine, and the events of the response."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

from tanagerworks.errors import BackendProtocolError, TanagerError
from tanagerworks.note.model import Engine
from tanagerworks.router.backend_connection import BackendConnection
from tanagerworks.router.backend_response import BackendResponse
from tanagerworks.router.chat_request import ChatRequest
from tanagerworks.router.held_slots import Grant

DONE_EVENT = b"data: [DONE]\n\n"
MAX_RESUMES = 2
_EVENT_END = b"\n\n"
_COMMENT = b"\n\n:"
_MAX_EVENT_BYTES = 1_000_000
# Time in which an engine has to end the body after the last event.
_BODY_END_TIMEOUT_S = 1.0


@dataclass
class Exchange:
    """One request to one engine, from just before its first byte is sent."""

    request: ChatRequest
    engine: Engine
    grant: Grant
    connection: BackendConnection
    sent_at_s: float
    deadline_s: float
    response: BackendResponse | None = None
    boot_id: str = ""
    first_token_s: float = 0.0
    relayed_events: int = 0
    # JSON field with the request id as the events have it; empty if the engine uses other ids.
    id_field: bytes = b""
    resumes: int = 0
    complete: bool = False
    caller_disconnected: bool = False
    timed_out: bool = False
    failure: TanagerError | None = None
    closed: bool = False

    def abort(self, caller_disconnected: bool) -> None:
        """Ends the exchange from another thread than the one that waits for the engine."""
        self.caller_disconnected |= caller_disconnected
        self.timed_out |= not caller_disconnected
        self.resumes = MAX_RESUMES
        self.connection.abort()


def iter_complete_events(exchange: Exchange) -> Iterator[bytes]:
    """Yields the complete events of the stream, as many at a time as are available.

    The caller gets only complete events, so that a resumed stream continues after the last one.

    Raises:
        BackendProtocolError: the stream ended without its last event, an event is too long, or an
            event belongs to another request.
        OSError: the connection failed.
    """
    response = exchange.response
    assert response is not None
    read = response.read
    partial = b""
    id_field = exchange.id_field
    while piece := read():
        data = partial + piece if partial else piece
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            if len(data) > _MAX_EVENT_BYTES:
                raise BackendProtocolError("an event of the stream is too long")
            partial = data
            continue
        if end == len(data):
            events, partial = data, b""
        else:
            events, partial = data[:end], data[end:]
        count = _count_events(events)
        if not exchange.relayed_events:
            id_field = exchange.id_field = _find_id_field(events, exchange.request.request_id)
        if id_field and events.count(id_field) < count:
            _check_event_ids(events, id_field)
        exchange.relayed_events += count
        if not exchange.first_token_s:
            exchange.first_token_s = time.monotonic() - exchange.sent_at_s
        if events.endswith(DONE_EVENT):
            exchange.complete = True
            yield events
            _read_body_end(response)
            return
        yield events
    raise BackendProtocolError("the stream ended without its last event")


def _count_events(events: bytes) -> int:
    """Returns the number of events; comments, which keep a connection alive, do not count."""
    comments = events.count(_COMMENT) + events.startswith(b":")
    return events.count(_EVENT_END) - comments


def _find_id_field(events: bytes, request_id: str) -> bytes:
    for form in ('"id":"%s"', '"id": "%s"'):
        id_field = (form % request_id).encode()
        if id_field in events:
            return id_field
    return b""


def _check_event_ids(events: bytes, id_field: bytes) -> None:
    """Raises BackendProtocolError if an event does not have the id of the request.

    Comments and the last event are no JSON objects, so they have no id.
    """
    for event in events.split(_EVENT_END):
        if event.startswith(b"data: {") and id_field not in event:
            raise BackendProtocolError("an event of the stream belongs to another request")


def _read_body_end(response: BackendResponse) -> None:
    """Reads the end of the body; without it the connection is not reused."""
    response.reader.deadline_s = time.monotonic() + _BODY_END_TIMEOUT_S
    try:
        response.read()
    except (BackendProtocolError, OSError):
        return
