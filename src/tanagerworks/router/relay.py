"""Sends a chat request to its engine and relays the answer."""

import json
import logging
import time
from collections.abc import Callable, Iterator

from tanagerworks.errors import (
    BackendError,
    BackendProtocolError,
    BackendRefusedError,
    BackendTimeoutError,
    TanagerError,
)
from tanagerworks.outcome import Outcome
from tanagerworks.router.agent_link import AgentLink
from tanagerworks.router.answer import Answer
from tanagerworks.router.engine_client import EngineClient, check_answer
from tanagerworks.router.events import MAX_RESUMES, Exchange, whole_events
from tanagerworks.router.metrics import RouterMetrics
from tanagerworks.router.request import ChatRequest
from tanagerworks.router.stream_watch import StreamWatch
from tanagerworks.rpc.tanager_pb2 import Evidence
from tanagerworks.wsgi import Response, error_document

_LOGGER = logging.getLogger(__name__)

_RESUME_PAUSE_S = 0.05
_HTTP_OK = 200
_HTTP_ERROR = 400
_HTTP_SERVER_ERROR = 500
_REFUSAL_STATUSES = (429, 503)


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
        self.watch = StreamWatch()

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
            self.watch.add(exchange, request.caller)
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
        content_type = answer.headers.get("Content-Type", "application/json")
        caller_headers = [("Content-Type", content_type), ("X-Request-Id", request.request_id)]
        if request.streamed and answer.status == _HTTP_OK:
            if not content_type.startswith("text/event-stream"):
                raise BackendProtocolError("the answer is not a stream", outcome=Outcome.RAN)
            connection.reader.wait_without_deadline()
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
                yield from whole_events(exchange)
                return
            except BackendProtocolError as error:
                exchange.failure = error
            except OSError as error:
                exchange.failure = _read_failure(error, Outcome.RAN)
            if exchange.caller_gone:
                return
            if exchange.timed_out:
                exchange.failure = BackendTimeoutError("the request took longer than it may")
                break
            exchange.connection.close()
            if not self._resume(exchange):
                break
        assert exchange.failure is not None
        exchange.failure.outcome = Outcome.RAN
        document = error_document(exchange.failure)
        yield b"event: error\ndata: " + json.dumps(document).encode() + b"\n\n"

    def _resume(self, exchange: Exchange) -> bool:
        request = exchange.request
        while exchange.resumes < MAX_RESUMES and time.monotonic() < exchange.deadline_s:
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
            connection.reader.wait_without_deadline()
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
        self.watch.remove(exchange)
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
            exchange.resumes = MAX_RESUMES
            exchange.connection.interrupt()
        return len(exchanges)


def _read_failure(error: OSError, outcome: Outcome) -> BackendError:
    if isinstance(error, TimeoutError):
        return BackendTimeoutError("the engine did not end its answer in time", outcome=outcome)
    return BackendError(f"the connection failed: {type(error).__name__}", outcome=outcome)
