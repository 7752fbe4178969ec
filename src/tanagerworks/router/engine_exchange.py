"""One chat at its engine, and the events of its answer."""

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
# Time for an engine to end the framing after the end mark.
_BODY_END_TIMEOUT_S = 1.0


@dataclass
class Exchange:
    """One request at one engine, from the moment before its first byte is sent."""

    request: ChatRequest
    engine: Engine
    grant: Grant
    connection: BackendConnection
    sent_at_s: float
    deadline_s: float
    response: BackendResponse | None = None
    boot_id: str = ""
    first_token_s: float = 0.0
    events: int = 0
    # How the events show the request's id; empty if the engine gives them ids of its own.
    id_field: bytes = b""
    resumes: int = 0
    complete: bool = False
    caller_disconnected: bool = False
    timed_out: bool = False
    failure: TanagerError | None = None
    closed: bool = False

    def abort(self, caller_disconnected: bool) -> None:
        """Breaks the request off under the thread that waits for the engine."""
        self.caller_disconnected |= caller_disconnected
        self.timed_out |= not caller_disconnected
        self.resumes = MAX_RESUMES
        self.connection.abort()


def iter_whole_events(exchange: Exchange) -> Iterator[bytes]:
    """Yields the stream in the largest pieces of whole events that are ready.

    Only whole events go to the caller, so that a resumed stream continues after the last one.

    Raises:
        BackendProtocolError: the stream ended without its end mark, or an event is too long.
        OSError: the connection failed.
    """
    response = exchange.response
    assert response is not None
    read = response.read
    partial = b""
    id_field = exchange.id_field
    while data_part := read():
        data = partial + data_part if partial else data_part
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
        if not exchange.events:
            id_field = exchange.id_field = _find_id_field(events, exchange.request.request_id)
        if id_field and events.count(id_field) < count:
            _check_event_ids(events, id_field)
        exchange.events += count
        if not exchange.first_token_s:
            exchange.first_token_s = time.monotonic() - exchange.sent_at_s
        if events.endswith(DONE_EVENT):
            exchange.complete = True
            yield events
            _read_body_end(response)
            return
        yield events
    raise BackendProtocolError("the stream ended without its end mark")


def _count_events(events: bytes) -> int:
    """Returns the number of events; comments, which keep a connection alive, are none."""
    comments = events.count(_COMMENT) + events.startswith(b":")
    return events.count(_EVENT_END) - comments


def _find_id_field(events: bytes, request_id: str) -> bytes:
    for form in ('"id":"%s"', '"id": "%s"'):
        id_field = (form % request_id).encode()
        if id_field in events:
            return id_field
    return b""


def _check_event_ids(events: bytes, id_field: bytes) -> None:
    """Raises BackendProtocolError for an event that shows another request's id.

    Comments and the end mark hold no document, so no id.
    """
    for event in events.split(_EVENT_END):
        if event.startswith(b"data: {") and id_field not in event:
            raise BackendProtocolError("an event of the stream belongs to another request")


def _read_body_end(response: BackendResponse) -> None:
    """Reads the end of the framing; an answer that does not end stays unfit for reuse."""
    response.reader.deadline_s = time.monotonic() + _BODY_END_TIMEOUT_S
    try:
        response.read()
    except (BackendProtocolError, OSError):
        return
