"""Calls to plain services: choice of the server, at most once, retries of repeatable calls."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Protocol

from tanagerworks.errors import (
    BackendError,
    BackendProtocolError,
    BackendRefusedError,
    BackendTimeoutError,
    CapacityError,
    TanagerError,
)
from tanagerworks.note.model import ServiceServer
from tanagerworks.outcome import Outcome
from tanagerworks.router.answer import Answer
from tanagerworks.router.backend import BackendConnections
from tanagerworks.router.http_rules import passed_answer_headers
from tanagerworks.router.invariants import Invariants
from tanagerworks.routing.retries import MAX_ATTEMPTS, RecentFailures, backoff_s, may_retry
from tanagerworks.wsgi import Response

_REFUSAL_STATUSES = (429, 503)
_HTTP_ERROR = 400
_HTTP_SERVER_ERROR = 500
_NO_BODY_STATUSES = (204, 304)


class RetryLimit(Protocol):
    """Bounds the retries by back end."""

    def record_request(self, backend: str) -> None:
        """Counts a first attempt."""

    def take_retry(self, backend: str) -> bool:
        """Takes the right to send one retry."""


@dataclass(frozen=True)
class ServiceCall:
    """One call to a plain service; `target` is the raw path and query behind the service name."""

    request_id: str
    service_name: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    repeatable: bool
    trust_refusal: bool = False
    timeout_s: float = 10.0


@dataclass(frozen=True)
class ServiceAnswer:
    """A whole answer of a service; `outcome` is set if it reports a failure."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: Outcome | None = None
    # Content-Length of the answer to a HEAD request.
    head_length: str = ""

    def response(self, request_id: str) -> Response:
        """Returns the answer for the caller."""
        headers = [*self.headers, ("X-Request-Id", request_id)]
        if self.outcome is not None:
            headers.append(("X-Outcome", self.outcome.value))
        if self.status not in _NO_BODY_STATUSES:
            headers.append(("Content-Length", self.head_length or str(len(self.body))))
        return Response(self.status, headers, [self.body])


class ServiceCaller:
    """Sends calls to the servers of plain services."""

    def __init__(
        self,
        connections: BackendConnections,
        budget: RetryLimit,
        zone: str,
        random: Random,
        *,
        max_answer_bytes: int = 16_000_000,
        now: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        check_view: Callable[[], None] = lambda: None,
        invariants: Invariants | None = None,
    ) -> None:
        self.connections = connections
        self.budget = budget
        self.zone = zone
        self.random = random
        self.max_answer_bytes = max_answer_bytes
        self.now = now
        self.sleep = sleep
        # Last check before bytes are sent; raises an error with the outcome NOT_RUN.
        self.check_view = check_view
        self.invariants = invariants or Invariants()
        self.lock = threading.Lock()
        self.open_calls: Counter[str] = Counter()
        self.failures = RecentFailures()

    def call(self, call: ServiceCall, servers: Mapping[str, ServiceServer]) -> ServiceAnswer:
        """Returns the whole answer to a call.

        A call that is not repeatable goes once, over a fresh connection, to one server. Any other
        is retried at further servers within the retry budget and the deadline.

        Raises:
            TanagerError: there is no whole answer; the outcome says what is known.
        """
        deadline_s = self.now() + call.timeout_s
        tried: list[str] = []
        failure: BackendError | None = None
        attempts = MAX_ATTEMPTS if call.repeatable else 1
        for attempt in range(attempts):
            address = self._choose(servers, tried)
            if failure is None:
                self.budget.record_request(address)
            elif not self.budget.take_retry(address):
                raise failure
            tried.append(address)
            self.invariants.require(
                call.repeatable or len(tried) == 1, "a call that is not repeatable went twice"
            )
            try:
                answer = self._attempt(call, address, deadline_s)
                self._record(address, failed=False)
                return answer
            except TanagerError as error:
                self._record(address, failed=isinstance(error, BackendError))
                left_open = failure is not None and failure.outcome is Outcome.UNKNOWN
                if left_open and error.outcome is Outcome.NOT_RUN:
                    # What an earlier attempt left open stays open.
                    error.outcome = Outcome.UNKNOWN
                if not isinstance(error, BackendError):
                    raise
                failure = error
            if not may_retry(failure.outcome, call.repeatable):
                break
            delay_s = backoff_s(attempt + 1, self.random)
            if attempt + 1 == attempts or self.now() + delay_s >= deadline_s:
                break
            self.sleep(delay_s)
        assert failure is not None
        raise failure

    def _choose(self, servers: Mapping[str, ServiceServer], tried: list[str]) -> str:
        """Returns the address of an untried server that did not fail just now.

        The own zone comes first, then the least busy server.
        """
        if not servers:
            raise CapacityError("no server of the service is in service")
        now_s = self.now()
        with self.lock:
            return min(
                servers.values(),
                key=lambda server: (
                    tried.count(server.address),
                    self.failures.is_avoided(server.address, now_s),
                    server.zone != self.zone,
                    self.open_calls[server.address],
                    self.random.random(),
                ),
            ).address

    def _record(self, address: str, failed: bool) -> None:
        with self.lock:
            self.failures.record_attempt(address, failed, self.now())

    def _attempt(self, call: ServiceCall, address: str, deadline_s: float) -> ServiceAnswer:
        if call.repeatable:
            connection = self.connections.take(address)
        else:
            connection = self.connections.open(address)
        answer: Answer | None = None
        with self.lock:
            self.open_calls[address] += 1
        try:
            self.check_view()
            answer = connection.exchange(
                call.method, call.target, call.body, call.headers, deadline_s
            )
            return self._read(call, answer)
        except BackendError as error:
            unsent = connection.counted.bytes_written == 0
            self.invariants.require(
                unsent or error.outcome is not Outcome.NOT_RUN or call.trust_refusal,
                "a request of which bytes were sent is reported as not run",
            )
            raise
        except TimeoutError as error:
            raise BackendTimeoutError("no whole answer in time", outcome=_known(answer)) from error
        except OSError as error:
            raise BackendError(
                f"the connection failed: {type(error).__name__}", outcome=_known(answer)
            ) from error
        finally:
            with self.lock:
                self.open_calls[address] -= 1
                if not self.open_calls[address]:
                    del self.open_calls[address]
            if answer is not None and answer.done:
                self.connections.give_back(connection, answer)
            else:
                connection.close()

    def _read(self, call: ServiceCall, answer: Answer) -> ServiceAnswer:
        echoed = answer.headers.get("X-Request-Id")
        if echoed is not None and echoed != call.request_id:
            raise BackendProtocolError("the answer belongs to another request")
        if not answer.framed:
            raise BackendProtocolError(
                "nothing shows where the answer ends", outcome=_known(answer)
            )
        try:
            body = answer.read_whole(self.max_answer_bytes)
        except BackendProtocolError as error:
            raise BackendProtocolError(error.message, outcome=_known(answer)) from error
        if answer.status in _REFUSAL_STATUSES and call.trust_refusal:
            raise BackendRefusedError("the service refused the call")
        if answer.status in _REFUSAL_STATUSES and call.repeatable:
            raise BackendError(f"the service answered {answer.status}")
        outcome = None
        if answer.status in _REFUSAL_STATUSES or answer.status >= _HTTP_SERVER_ERROR:
            outcome = Outcome.UNKNOWN
        elif answer.status >= _HTTP_ERROR:
            outcome = Outcome.RAN
        headers = tuple(passed_answer_headers(answer.headers))
        length = answer.headers.get("Content-Length", "") if call.method == "HEAD" else ""
        return ServiceAnswer(answer.status, headers, body, outcome, length)


def _known(answer: Answer | None) -> Outcome:
    """Returns what an answer shows that broke off after its header."""
    if answer is None or answer.status in _REFUSAL_STATUSES:
        return Outcome.UNKNOWN
    return Outcome.RAN if answer.status < _HTTP_SERVER_ERROR else Outcome.UNKNOWN
