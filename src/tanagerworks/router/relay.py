"""Sends a chat request to its engine and relays the answer."""

import json
import logging
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tanagerworks.errors import (
    BackendError,
    BackendProtocolError,
    BackendRefusedError,
    BackendTimeoutError,
    TanagerError,
)
from tanagerworks.note.model import Engine
from tanagerworks.outcome import Outcome
from tanagerworks.router.agent_link import AgentLink
from tanagerworks.router.answer import Answer, CallerGoneError, CallerWatch
from tanagerworks.router.backend import BackendConnection
from tanagerworks.router.engine_client import EngineClient, check_answer
from tanagerworks.router.metrics import RouterMetrics
from tanagerworks.router.request import ChatRequest
from tanagerworks.router.slot_book import Grant
from tanagerworks.rpc.tanager_pb2 import Evidence
from tanagerworks.wsgi import Response, error_document

_LOGGER = logging.getLogger(__name__)

END_MARK = b"data: [DONE]\n\n"
_EVENT_END = b"\n\n"
_COMMENT = b"\n\n:"
_MAX_EVENT_BYTES = 1_000_000
_MAX_RESUMES = 2
_RESUME_PAUSE_S = 0.05
# Time for an engine to end the framing after the end mark.
_END_TIMEOUT_S = 1.0
_HTTP_OK = 200
_HTTP_ERROR = 400
_HTTP_SERVER_ERROR = 500
_REFUSAL_STATUSES = (429, 503)


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
    failure: TanagerError | None = None
    ended: bool = False


class StreamBody:
    """Body of a streamed response; `close` ends the exchange in every case."""

    def __init__(self, pieces: Iterator[bytes], on_close: Callable[[], None]) -> None:
        self.pieces = pieces
        self.on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        """Returns the pieces as they arrive."""
        return self.pieces

    def close(self) -> None:
        """Ends the exchange; the server calls it after the last piece or a failed write."""
        try:
            close = getattr(self.pieces, "close", None)
            if close is not None:
                close()
        finally:
            self.on_close()


class EngineRelay:
    """Relays answers of engines to callers."""

    def __init__(
        self, link: AgentLink, client: EngineClient, metrics: RouterMetrics, max_answer_bytes: int
    ) -> None:
        self.link = link
        self.client = client
        self.metrics = metrics
        self.max_answer_bytes = max_answer_bytes
        # Exchanges in progress, so that the end of a shutdown can interrupt them.
        self.exchanges: dict[int, Exchange] = {}

    def open(self, request: ChatRequest) -> Response:
        """Sends the request and returns the response.

        A streamed answer is relayed as it is read; any other is read whole and checked first.

        Raises:
            TanagerError: no whole answer; the slot is given back.
        """
        assert request.engine is not None
        assert request.grant is not None
        engine, grant = request.engine, request.grant
        try:
            connection = self.client.ready_connection(engine, grant)
        except TanagerError as error:
            self.link.release(grant, self._evidence_of_failure(request, error))
            raise
        except BaseException:
            self.link.release(grant)
            raise
        now_s = time.monotonic()
        exchange = Exchange(request, engine, grant, connection, now_s, now_s + grant.max_work_s)
        self.exchanges[id(exchange)] = exchange
        try:
            return self._send(exchange)
        except TanagerError as error:
            exchange.failure = error
            self._end(exchange)
            raise
        except OSError as error:
            outcome = Outcome.RAN if exchange.answer is not None else Outcome.UNKNOWN
            exchange.failure = _read_failure(error, outcome)
            self._end(exchange)
            raise exchange.failure from error
        except BaseException:
            exchange.failure = BackendError("the exchange was given up")
            self._end(exchange)
            raise

    def _send(self, exchange: Exchange) -> Response:
        request, connection = exchange.request, exchange.connection
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "X-Priority": str(self._priority(request)),
        }
        answer = connection.exchange(
            "POST", "/v1/chat/completions", request.body, headers, exchange.deadline_s
        )
        check_answer(answer, request.request_id)
        exchange.answer = answer
        exchange.boot_id = self.client.note_answer(connection, answer)
        if answer.status in _REFUSAL_STATUSES and exchange.engine.trust_refusal:
            raise BackendRefusedError("the engine refused the request")
        if answer.status >= _HTTP_SERVER_ERROR or answer.status in _REFUSAL_STATUSES:
            raise BackendError(f"the engine answered {answer.status}")
        connection.reader.watch = CallerWatch(request.caller)
        content_type = answer.headers.get("Content-Type", "application/json")
        caller_headers = [("Content-Type", content_type), ("X-Request-Id", request.request_id)]
        if request.streamed and answer.status == _HTTP_OK:
            if not content_type.startswith("text/event-stream"):
                raise BackendProtocolError("the answer is not a stream", outcome=Outcome.RAN)
            connection.sock.settimeout(None)
            caller_headers.append(("Cache-Control", "no-cache"))
            body = StreamBody(self._pieces(exchange), lambda: self._end(exchange))
            return Response(answer.status, caller_headers, body)
        return self._whole_response(exchange, answer, caller_headers)

    def _priority(self, request: ChatRequest) -> int:
        assert request.index is not None
        assert request.customer is not None
        return request.index.note.statement.classes[request.customer.request_class].priority

    def _whole_response(
        self, exchange: Exchange, answer: Answer, headers: list[tuple[str, str]]
    ) -> Response:
        try:
            if not answer.framed:
                raise BackendProtocolError("nothing shows where the answer ends")
            body = answer.read_whole(self.max_answer_bytes)
        except CallerGoneError:
            exchange.caller_gone = True
            raise BackendError("the caller disconnected", outcome=Outcome.RAN) from None
        except BackendProtocolError as error:
            raise BackendProtocolError(error.message, outcome=Outcome.RAN) from error
        exchange.first_token_s = time.monotonic() - exchange.sent_at_s
        exchange.whole = True
        self._end(exchange)
        if answer.status >= _HTTP_ERROR:
            headers = [*headers, ("X-Outcome", Outcome.RAN.value)]
        return Response(answer.status, [*headers, ("Content-Length", str(len(body)))], [body])

    def _pieces(self, exchange: Exchange) -> Iterator[bytes]:
        while True:
            try:
                yield from _whole_events(exchange)
                return
            except CallerGoneError:
                exchange.caller_gone = True
                return
            except BackendProtocolError as error:
                exchange.failure = error
            except OSError as error:
                exchange.failure = _read_failure(error, Outcome.RAN)
            exchange.connection.close()
            if not self._resume(exchange):
                break
        assert exchange.failure is not None
        exchange.failure.outcome = Outcome.RAN
        document = error_document(exchange.failure)
        yield b"event: error\ndata: " + json.dumps(document).encode() + b"\n\n"

    def _resume(self, exchange: Exchange) -> bool:
        request = exchange.request
        while exchange.resumes < _MAX_RESUMES and time.monotonic() < exchange.deadline_s:
            exchange.resumes += 1
            try:
                connection, answer = self.client.resume(
                    exchange.engine,
                    request.request_id,
                    exchange.events,
                    exchange.boot_id,
                    exchange.deadline_s,
                )
            except (BackendError, OSError) as error:
                _LOGGER.info(
                    "cannot resume a stream",
                    extra={"request_id": request.request_id, "error": type(error).__name__},
                )
                time.sleep(_RESUME_PAUSE_S)
                continue
            connection.reader.watch = CallerWatch(request.caller)
            connection.sock.settimeout(None)
            exchange.connection, exchange.answer = connection, answer
            exchange.failure = None
            self.metrics.resumed.add(1)
            return True
        return False

    def _end(self, exchange: Exchange) -> None:
        """Gives back connection and slot; cancels a request that may still be running."""
        if exchange.ended:
            return
        exchange.ended = True
        self.exchanges.pop(id(exchange), None)
        request, grant, answer = exchange.request, exchange.grant, exchange.answer
        if exchange.whole and answer is not None:
            self.client.give_back(exchange.connection, answer)
        else:
            exchange.connection.close()
        evidence = self._evidence(exchange)
        never_sent = exchange.failure is not None and exchange.failure.outcome is Outcome.NOT_RUN
        if exchange.whole or never_sent:
            self.link.release(grant, evidence)
            return
        self.metrics.cancelled.add(1)
        if self.client.cancel(exchange.engine, request.request_id, answer is not None):
            self.link.release(grant, evidence)
        else:
            self.link.release_after_work(grant, evidence)

    def _evidence(self, exchange: Exchange) -> Evidence:
        request = exchange.request
        evidence = self._evidence_of_failure(request, exchange.failure)
        if exchange.caller_gone:
            evidence.failure = ""
        evidence.boot_id = exchange.boot_id
        evidence.whole = exchange.whole
        evidence.first_token_s = exchange.first_token_s
        if exchange.first_token_s:
            self.metrics.first_token.record(exchange.first_token_s)
        return evidence

    def _evidence_of_failure(self, request: ChatRequest, error: TanagerError | None) -> Evidence:
        assert request.engine is not None
        assert request.grant is not None
        backend_failed = isinstance(error, BackendError)
        return Evidence(
            engine_id=request.grant.engine_id,
            failure=error.code if error is not None and backend_failed else "",
            expected_first_token_s=request.prompt_tokens / request.engine.prefill_tokens_per_s,
            chat_hash=request.chat_hash,
            first_choice=request.first_choice,
            customer=request.customer_name,
        )

    def interrupt(self) -> int:
        """Breaks all exchanges in progress; returns their number."""
        exchanges = list(self.exchanges.values())
        for exchange in exchanges:
            exchange.resumes = _MAX_RESUMES
            exchange.connection.interrupt()
        return len(exchanges)


def _read_failure(error: OSError, outcome: Outcome) -> BackendError:
    if isinstance(error, TimeoutError):
        return BackendTimeoutError("the engine did not end its answer in time", outcome=outcome)
    return BackendError(f"the connection failed: {type(error).__name__}", outcome=outcome)


def _whole_events(exchange: Exchange) -> Iterator[bytes]:
    """Yields the stream in the largest pieces of whole events that are ready.

    Only whole events go to the caller, so that a resumed stream continues after the last one.

    Raises:
        BackendProtocolError: the stream ended without its end mark, or an event is too long.
        OSError: the connection failed.
        CallerGoneError: the caller disconnected.
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
    answer.reader.watch = None
    answer.reader.deadline_s = time.monotonic() + _END_TIMEOUT_S
    try:
        answer.read()
    except (BackendProtocolError, OSError):
        return
