"""One chat at its engine, and the events of its answer."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

from tanagerworks.errors import BackendProtocolError, TanagerError
from tanagerworks.note.model import Engine
from tanagerworks.router.answer import Answer
from tanagerworks.router.backend import BackendConnection
from tanagerworks.router.request import ChatRequest
from tanagerworks.router.slot_book import Grant

END_MARK = b"data: [DONE]\n\n"
MAX_RESUMES = 2
_EVENT_END = b"\n\n"
_COMMENT = b"\n\n:"
_MAX_EVENT_BYTES = 1_000_000
# Time for an engine to end the framing after the end mark.
_END_TIMEOUT_S = 1.0


@dataclass
class Exchange:
    """One request at one engine, from the moment before its first byte is sent."""

    request: ChatRequest
    engine: Engine
    grant: Grant
    connection: BackendConnection
    sent_at_s: float
    deadline_s: float
    answer: Answer | None = None
    boot_id: str = ""
    first_token_s: float = 0.0
    events: int = 0
    # How the events show the request's id; empty if the engine gives them ids of its own.
    id_mark: bytes = b""
    resumes: int = 0
    whole: bool = False
    caller_gone: bool = False
    timed_out: bool = False
    failure: TanagerError | None = None
    ended: bool = False

    def end_early(self, caller_gone: bool) -> None:
        """Breaks the request off under the thread that waits for the engine."""
        self.caller_gone |= caller_gone
        self.timed_out |= not caller_gone
        self.resumes = MAX_RESUMES
        self.connection.interrupt()


def whole_events(exchange: Exchange) -> Iterator[bytes]:
    """Yields the stream in the largest pieces of whole events that are ready.

    Only whole events go to the caller, so that a resumed stream continues after the last one.

    Raises:
        BackendProtocolError: the stream ended without its end mark, or an event is too long.
        OSError: the connection failed.
    """
    answer = exchange.answer
    assert answer is not None
    read = answer.read
    tail = b""
    mark = exchange.id_mark
    while piece := read():
        data = tail + piece if tail else piece
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            if len(data) > _MAX_EVENT_BYTES:
                raise BackendProtocolError("an event of the stream is too long")
            tail = data
            continue
        if end == len(data):
            events, tail = data, b""
        else:
            events, tail = data[:end], data[end:]
        count = _count_events(events)
        if not exchange.events:
            mark = exchange.id_mark = _id_mark(events, exchange.request.request_id)
        if mark and events.count(mark) < count:
            _check_ids(events, mark)
        exchange.events += count
        if not exchange.first_token_s:
            exchange.first_token_s = time.monotonic() - exchange.sent_at_s
        if events.endswith(END_MARK):
            exchange.whole = True
            yield events
            _read_end(answer)
            return
        yield events
    raise BackendProtocolError("the stream ended without its end mark")


def _count_events(events: bytes) -> int:
    """Returns the number of events; comments, which keep a connection alive, are none."""
    comments = events.count(_COMMENT) + events.startswith(b":")
    return events.count(_EVENT_END) - comments


def _id_mark(events: bytes, request_id: str) -> bytes:
    for form in ('"id":"%s"', '"id": "%s"'):
        mark = (form % request_id).encode()
        if mark in events:
            return mark
    return b""


def _check_ids(events: bytes, mark: bytes) -> None:
    """Raises BackendProtocolError for an event that shows another request's id.

    Comments and the end mark hold no document, so no id.
    """
    for event in events.split(_EVENT_END):
        if event.startswith(b"data: {") and mark not in event:
            raise BackendProtocolError("an event of the stream belongs to another request")


def _read_end(answer: Answer) -> None:
    """Reads the end of the framing; an answer that does not end stays unfit for reuse."""
    answer.reader.deadline_s = time.monotonic() + _END_TIMEOUT_S
    try:
        answer.read()
    except (BackendProtocolError, OSError):
        return
