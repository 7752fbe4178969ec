"""Sends a chat request to its engine and relays the response."""

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
from tanagerworks.router.backend_response import BackendResponse
from tanagerworks.router.chat_request import ChatRequest
from tanagerworks.router.engine_client import EngineClient, check_request_id
from tanagerworks.router.engine_exchange import MAX_RESUMES, Exchange, iter_complete_events
from tanagerworks.router.metrics import RouterMetrics
from tanagerworks.router.request_watcher import RequestWatcher
from tanagerworks.rpc.tanager_pb2 import Evidence
from tanagerworks.wsgi import Response, error_document

_LOGGER = logging.getLogger(__name__)

_RESUME_PAUSE_S = 0.05
_HTTP_OK = 200
_HTTP_ERROR = 400
_HTTP_SERVER_ERROR = 500
_REFUSAL_STATUSES = (429, 503)


class StreamBody:
    """Body of a streamed response; `close` always ends the exchange."""

    def __init__(self, pieces: Iterator[bytes], on_close: Callable[[], None]) -> None:
        self.pieces = pieces
        self.on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        """Yields pieces of the body as they arrive."""
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
    """Relays responses of engines to callers."""

    def __init__(
        self, link: AgentLink, client: EngineClient, metrics: RouterMetrics, max_answer_bytes: int
    ) -> None:
        self.link = link
        self.client = client
        self.metrics = metrics
        self.max_answer_bytes = max_answer_bytes
        # Exchanges in progress, which the end of a shutdown interrupts.
        self.exchanges: dict[int, Exchange] = {}
        self.request_watcher = RequestWatcher()

    def send_request(self, request: ChatRequest) -> Response:
        """Sends the request and returns the response for the caller.

        A stream is relayed as it is read; any other response is read completely and checked first.

        Raises:
            TanagerError: there is no complete response. The slot is released, at the latest when
                the work must have ended.
        """
        assert request.engine is not None
        assert request.grant is not None
        engine, grant = request.engine, request.grant
        try:
            connection = self.client.acquire_connection(engine, grant)
        except TanagerError as error:
            self.link.release_slot(grant, self._build_failure_evidence(request, error))
            raise
        except BaseException:
            self.link.release_slot(grant)
            raise
        now_s = time.monotonic()
        exchange = Exchange(request, engine, grant, connection, now_s, now_s + grant.max_work_s)
        self.exchanges[id(exchange)] = exchange
        try:
            self.request_watcher.add(exchange, request.caller_socket)
            return self._run_exchange(exchange)
        except TanagerError as error:
            exchange.failure = error
            self._end_exchange(exchange)
            raise
        except OSError as error:
            outcome = Outcome.RAN if exchange.response is not None else Outcome.UNKNOWN
            exchange.failure = _backend_error(error, outcome)
            self._end_exchange(exchange)
            raise exchange.failure from error
        except BaseException:
            exchange.failure = BackendError("the exchange was abandoned")
            self._end_exchange(exchange)
            raise

    def _run_exchange(self, exchange: Exchange) -> Response:
        request, connection = exchange.request, exchange.connection
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.request_id,
            "X-Priority": str(self._priority(request)),
        }
        response = connection.send_request(
            "POST", "/v1/chat/completions", request.body, headers, exchange.deadline_s
        )
        check_request_id(response, request.request_id)
        exchange.response = response
        exchange.boot_id = self.client.record_boot_id(connection, response)
        if response.status in _REFUSAL_STATUSES and exchange.engine.trust_refusal:
            raise BackendRefusedError("the engine refused the request")
        if response.status >= _HTTP_SERVER_ERROR or response.status in _REFUSAL_STATUSES:
            raise BackendError(f"the engine answered {response.status}")
        content_type = response.headers.get("Content-Type", "application/json")
        caller_headers = [("Content-Type", content_type), ("X-Request-Id", request.request_id)]
        if request.streamed and response.status == _HTTP_OK:
            if not content_type.startswith("text/event-stream"):
                raise BackendProtocolError(
                    "the response is not an event stream", outcome=Outcome.RAN
                )
            connection.reader.disable_deadline()
            caller_headers.append(("Cache-Control", "no-cache"))
            body = StreamBody(self._stream_events(exchange), lambda: self._end_exchange(exchange))
            return Response(response.status, caller_headers, body)
        return self._buffered_response(exchange, response, caller_headers)

    def _priority(self, request: ChatRequest) -> int:
        assert request.index is not None
        assert request.customer is not None
        return request.index.note.statement.classes[request.customer.request_class].priority

    def _buffered_response(
        self, exchange: Exchange, response: BackendResponse, headers: list[tuple[str, str]]
    ) -> Response:
        try:
            if not response.framed:
                raise BackendProtocolError("the response has no length")
            body = response.read_all(self.max_answer_bytes)
        except BackendProtocolError as error:
            raise BackendProtocolError(error.message, outcome=Outcome.RAN) from error
        exchange.first_token_s = time.monotonic() - exchange.sent_at_s
        exchange.complete = True
        self._end_exchange(exchange)
        if response.status >= _HTTP_ERROR:
            headers = [*headers, ("X-Outcome", Outcome.RAN.value)]
        return Response(response.status, [*headers, ("Content-Length", str(len(body)))], [body])

    def _stream_events(self, exchange: Exchange) -> Iterator[bytes]:
        while True:
            try:
                yield from iter_complete_events(exchange)
                return
            except BackendProtocolError as error:
                exchange.failure = error
            except OSError as error:
                exchange.failure = _backend_error(error, Outcome.RAN)
            if exchange.caller_disconnected:
                return
            if exchange.timed_out:
                exchange.failure = BackendTimeoutError("the request exceeded its time limit")
                break
            exchange.connection.close()
            if not self._resume_stream(exchange):
                break
        assert exchange.failure is not None
        exchange.failure.outcome = Outcome.RAN
        document = error_document(exchange.failure)
        yield b"event: error\ndata: " + json.dumps(document).encode() + b"\n\n"

    def _resume_stream(self, exchange: Exchange) -> bool:
        request = exchange.request
        while exchange.resumes < MAX_RESUMES and time.monotonic() < exchange.deadline_s:
            exchange.resumes += 1
            try:
                connection, response = self.client.resume_stream(
                    exchange.engine,
                    request.request_id,
                    exchange.relayed_events,
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
            connection.reader.disable_deadline()
            exchange.connection, exchange.response = connection, response
            exchange.failure = None
            self.metrics.resumed.add(1)
            return True
        return False

    def _end_exchange(self, exchange: Exchange) -> None:
        """Releases connection and slot; cancels a request that may still be running."""
        if exchange.closed:
            return
        exchange.closed = True
        self.exchanges.pop(id(exchange), None)
        self.request_watcher.remove(exchange)
        request, grant, response = exchange.request, exchange.grant, exchange.response
        if exchange.complete and response is not None:
            self.client.release_connection(exchange.connection, response)
        else:
            exchange.connection.close()
        evidence = self._build_evidence(exchange)
        not_run = exchange.failure is not None and exchange.failure.outcome is Outcome.NOT_RUN
        if exchange.complete or not_run:
            self.link.release_slot(grant, evidence)
            return
        self.metrics.cancelled.add(1)
        if self.client.cancel_request(exchange.engine, request.request_id, response is not None):
            self.link.release_slot(grant, evidence)
        else:
            self.link.release_slot_after_work(grant, evidence)

    def _build_evidence(self, exchange: Exchange) -> Evidence:
        request = exchange.request
        evidence = self._build_failure_evidence(request, exchange.failure)
        if exchange.caller_disconnected:
            evidence.failure = ""
        evidence.boot_id = exchange.boot_id
        evidence.whole = exchange.complete
        evidence.first_token_s = exchange.first_token_s
        if exchange.first_token_s:
            self.metrics.first_token.record(exchange.first_token_s)
        return evidence

    def _build_failure_evidence(self, request: ChatRequest, error: TanagerError | None) -> Evidence:
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

    def interrupt_exchanges(self) -> int:
        """Interrupts all exchanges in progress; returns their number."""
        exchanges = list(self.exchanges.values())
        for exchange in exchanges:
            exchange.resumes = MAX_RESUMES
            exchange.connection.abort()
        return len(exchanges)


def _backend_error(error: OSError, outcome: Outcome) -> BackendError:
    if isinstance(error, TimeoutError):
        return BackendTimeoutError(
            "the engine did not complete its response in time", outcome=outcome
        )
    return BackendError(f"the connection failed: {type(error).__name__}", outcome=outcome)
