"""Calls to plain services: choice of a server, at-most-once calls, retries of repeatable calls."""

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
from tanagerworks.router.backend_connection import BackendConnectionPool
from tanagerworks.router.backend_response import BackendResponse
from tanagerworks.router.http_rules import relayed_response_headers
from tanagerworks.router.invariants import Invariants
from tanagerworks.routing.retries import MAX_ATTEMPTS, RecentFailures, backoff_s, may_retry
from tanagerworks.wsgi import Response

_REFUSAL_STATUSES = (429, 503)
_HTTP_ERROR = 400
_HTTP_SERVER_ERROR = 500
_NO_BODY_STATUSES = (204, 304)


class RetryLimit(Protocol):
    """Limits the retries of each backend server."""

    def record_request(self, backend: str) -> None:
        """Counts a first attempt."""

    def acquire_retry(self, backend: str) -> bool:
        """Returns whether a retry may be sent; counts it if so."""


@dataclass(frozen=True)
class ServiceCall:
    """One call to a plain service; `target` is the raw path and query after the service name."""

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
class ServiceResponse:
    """A complete response of a service; `outcome` is set if it reports a failure."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: Outcome | None = None
    # Content-Length of the response to a HEAD request.
    head_length: str = ""

    def to_caller_response(self, request_id: str) -> Response:
        """Returns the HTTP response for the caller."""
        headers = [*self.headers, ("X-Request-Id", request_id)]
        if self.outcome is not None:
            headers.append(("X-Outcome", self.outcome.value))
        if self.status not in _NO_BODY_STATUSES:
            headers.append(("Content-Length", self.head_length or str(len(self.body))))
        return Response(self.status, headers, [self.body])


class ServiceCaller:
    """Sends calls to the servers of plain services; safe to use from several threads.

    Times are seconds on the clock `now`, `time.monotonic` unless a test replaces it.
    """

    def __init__(
        self,
        connections: BackendConnectionPool,
        retry_budget: RetryLimit,
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
        self.retry_budget = retry_budget
        self.zone = zone
        self.random = random
        self.max_answer_bytes = max_answer_bytes
        self.now = now
        self.sleep = sleep
        # Called directly before a call is sent; raises an error with the outcome NOT_RUN if the
        # view is too old.
        self.check_view = check_view
        self.invariants = invariants or Invariants()
        self.lock = threading.Lock()
        self.open_calls: Counter[str] = Counter()
        self.failures = RecentFailures()

    def call(self, call: ServiceCall, servers: Mapping[str, ServiceServer]) -> ServiceResponse:
        """Returns the complete response to a call.

        A call that is not repeatable is sent once, on a new connection, to one server. Any other
        is retried at further servers within the retry budget and the deadline.

        Raises:
            TanagerError: there is no complete response; the outcome states what is known.
        """
        deadline_s = self.now() + call.timeout_s
        tried: list[str] = []
        failure: BackendError | None = None
        attempts = MAX_ATTEMPTS if call.repeatable else 1
        for attempt in range(attempts):
            address = self._choose_server(servers, tried)
            if failure is None:
                self.retry_budget.record_request(address)
            elif not self.retry_budget.acquire_retry(address):
                raise failure
            tried.append(address)
            self.invariants.require(
                call.repeatable or len(tried) == 1, "a call that is not repeatable went twice"
            )
            try:
                response = self._send_attempt(call, address, deadline_s)
                self._record_result(address, failed=False)
                return response
            except TanagerError as error:
                self._record_result(address, failed=isinstance(error, BackendError))
                was_unknown = failure is not None and failure.outcome is Outcome.UNKNOWN
                if was_unknown and error.outcome is Outcome.NOT_RUN:
                    # An earlier attempt may have run, even if this one did not.
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

    def _choose_server(self, servers: Mapping[str, ServiceServer], tried: list[str]) -> str:
        """Returns the address of the server for the next attempt.

        Untried servers are preferred, then those without a recent failure, then the router's own
        zone, then the fewest open calls.

        Raises:
            CapacityError: no server is in service.
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

    def _record_result(self, address: str, failed: bool) -> None:
        with self.lock:
            self.failures.record_attempt(address, failed, self.now())

    def _send_attempt(self, call: ServiceCall, address: str, deadline_s: float) -> ServiceResponse:
        if call.repeatable:
            connection = self.connections.acquire(address)
        else:
            connection = self.connections.open_connection(address)
        response: BackendResponse | None = None
        with self.lock:
            self.open_calls[address] += 1
        try:
            self.check_view()
            response = connection.send_request(
                call.method, call.target, call.body, call.headers, deadline_s
            )
            return self._read_response(call, response)
        except BackendError as error:
            nothing_sent = connection.counting_socket.bytes_written == 0
            self.invariants.require(
                nothing_sent or error.outcome is not Outcome.NOT_RUN or call.trust_refusal,
                "a request of which bytes were sent is reported as not run",
            )
            raise
        except TimeoutError as error:
            raise BackendTimeoutError(
                "no complete response in time", outcome=_outcome_of_partial(response)
            ) from error
        except OSError as error:
            raise BackendError(
                f"the connection failed: {type(error).__name__}",
                outcome=_outcome_of_partial(response),
            ) from error
        finally:
            with self.lock:
                self.open_calls[address] -= 1
                if not self.open_calls[address]:
                    del self.open_calls[address]
            if response is not None and response.complete:
                self.connections.release(connection, response)
            else:
                connection.close()

    def _read_response(self, call: ServiceCall, response: BackendResponse) -> ServiceResponse:
        echoed_id = response.headers.get("X-Request-Id")
        if echoed_id is not None and echoed_id != call.request_id:
            raise BackendProtocolError("the response belongs to another request")
        if not response.framed:
            raise BackendProtocolError(
                "the response has no length", outcome=_outcome_of_partial(response)
            )
        try:
            body = response.read_all(self.max_answer_bytes)
        except BackendProtocolError as error:
            raise BackendProtocolError(
                error.message, outcome=_outcome_of_partial(response)
            ) from error
        if response.status in _REFUSAL_STATUSES and call.trust_refusal:
            raise BackendRefusedError("the service refused the call")
        if response.status in _REFUSAL_STATUSES and call.repeatable:
            raise BackendError(f"the service answered {response.status}")
        outcome = None
        if response.status in _REFUSAL_STATUSES or response.status >= _HTTP_SERVER_ERROR:
            outcome = Outcome.UNKNOWN
        elif response.status >= _HTTP_ERROR:
            outcome = Outcome.RAN
        headers = tuple(relayed_response_headers(response.headers))
        length = response.headers.get("Content-Length", "") if call.method == "HEAD" else ""
        return ServiceResponse(response.status, headers, body, outcome, length)


def _outcome_of_partial(response: BackendResponse | None) -> Outcome:
    """Returns the outcome of a call whose response, if any, is incomplete."""
    if response is None or response.status in _REFUSAL_STATUSES:
        return Outcome.UNKNOWN
    return Outcome.RAN if response.status < _HTTP_SERVER_ERROR else Outcome.UNKNOWN
