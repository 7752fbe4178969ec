"""The way of one request through an edge process.

The stages, in order: `admit` (configuration, shutdown), `classify` (route, customer, deadline),
`place` (a backend server, perhaps after a wait), `send`, `relay`, `account`. A request that fails
at a server goes back to `place` while its route, its deadline and the fleet's budget allow it.
"""

import asyncio
import contextlib
import logging
import random
import time
from dataclasses import dataclass, field

import h11

from tanagerworks.dispatch.choice import Choice
from tanagerworks.dispatch.dispatcher import MAX_WAITING, Demand, Dispatcher
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.backend_connection import BackendConnection, ConnectionPool, connect
from tanagerworks.edge.event_stream import EventSplitter
from tanagerworks.edge.http_messages import HeaderList, RequestHead, find_header
from tanagerworks.edge.http_server import Responder
from tanagerworks.edge.seams import (
    AnswerFacts,
    BackendDialect,
    Call,
    CallerDialect,
    Sending,
)
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import (
    AuthenticationError,
    BackendConnectError,
    BackendError,
    BackendProtocolError,
    BackendRefusedError,
    BackendTimeoutError,
    CapacityError,
    DeadlineError,
    NoConfigurationError,
    NoServerError,
    NotFoundError,
    RouteTimeoutError,
    StoppingError,
    TanagerError,
)
from tanagerworks.outcome import Outcome
from tanagerworks.published.model import Repeat, Route

_LOGGER = logging.getLogger(__name__)

# A new connection takes two crossings of a zone, some 2 ms. A lost opening packet is sent again
# after a second, so a new try elsewhere is sooner.
_CONNECT_TIMEOUT_S = 0.15
# Answers of plain services up to this size are read whole before the caller sees their status,
# so that a broken one can be repeated.
_WHOLE_ANSWER_BYTES = 262_144
# A repeatable request that has no answer after this part of its route's timeout is tried at
# another server while there is time for one.
_PATIENCE_SHARE = 0.5
# A resumable stream goes on elsewhere after a pause of this many times the objective, but no less
# than the minimum, which a server with a long prompt to read stays under.
_STALL_OBJECTIVES = 4.0
_STALL_MIN_S = 1.0
# Part of the time left that is kept for the way back to the caller.
_RETURN_S = 0.005
# Retry-After of a refusal for lack of places: spread, so that callers do not come back together.
_RETRY_AFTER_SPREAD = (0.5, 1.5)
# Retry-After while the node has no configuration: the store that it waits for may be out for
# seconds, and a caller that comes back too soon is refused once more.
_NO_CONFIGURATION_RETRY_S = (1.0, 3.0)
# A store that answers tells a new process all within some 20 ms. In the first second requests
# are held for a few times that before they are refused.
_PREPARE_S = 1.0
_PREPARE_HOLD_S = 0.1


@dataclass(slots=True)
class RequestState:
    """One request on its way; stages fill it in."""

    head: RequestHead
    body: bytes
    responder: Responder
    arrived_s: float
    call: Call
    route: Route
    customer: str | None
    priority: int
    service: str
    # Steady time at which the caller or the route gives up.
    deadline_s: float
    demand: Demand
    sends: int = 0
    server: str = ""
    splitter: EventSplitter | None = None
    # Status that the caller got from a server and the time until its head; None without.
    status: int | None = None
    first_byte_s: float | None = None

    def repeatable(self) -> bool:
        """Whether the request may run again although it may have run."""
        if self.route.streams:
            return self.route.resumable
        return self.route.repeat is Repeat.IDEMPOTENT


@dataclass(slots=True)
class _Answer:
    """An answer of a backend server that has been read whole."""

    status: int
    headers: HeaderList
    body: bytes = b""
    facts: AnswerFacts | None = None


@dataclass(slots=True)
class _Attempt:
    """One send of a request to one server."""

    state: ServerState
    prefill_tokens: int
    sent_s: float
    copy_from: str | None
    prefill_counted: bool = True
    failed: bool = False
    answers: list[_Answer] = field(default_factory=list)

    def answer_began(self) -> None:
        if self.prefill_counted:
            self.prefill_counted = False
            self.state.answer_began(self.prefill_tokens)


class Pipeline:
    """Serves callers' requests with the decisions of a dispatcher."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        callers: CallerDialect,
        backends: BackendDialect,
        zone: str,
        metrics: EdgeMetrics,
    ) -> None:
        self.dispatcher = dispatcher
        self.callers = callers
        self.backends = backends
        self.zone = zone
        self.metrics = metrics
        self.pool = ConnectionPool()
        self.waiters: dict[str, asyncio.Event] = {}
        self.random = random.Random()
        # Steady time by which all work has to end; None while the process serves.
        self.stop_by_s: float | None = None
        self.active = 0
        # Set once a configuration and a server are known.
        self.prepared = asyncio.Event()
        self.created_s = time.monotonic()

    async def handle(self, head: RequestHead, body: bytes, responder: Responder) -> None:
        """Serves one request of a caller; the answer or the reason why there is none goes out."""
        loop = asyncio.get_running_loop()
        arrived_s = loop.time()
        request: RequestState | None = None
        outcome = "cancelled"
        error: TanagerError | None = None
        self.active += 1
        try:
            await self._wait_until_prepared()
            request = self._classify(head, body, responder, arrived_s)
            outcome = await self._serve_until_deadline(request)
        except TanagerError as failure:
            error = failure
            outcome = failure.code
            if not responder.started:
                responder.send_error(failure)
            elif not responder.finished:
                responder.abort()
        finally:
            self.active -= 1
            self._account(request, head, outcome, error, loop.time() - arrived_s)

    # admit, classify

    async def _wait_until_prepared(self) -> None:
        """Holds a request that came while the process was starting, for a short time only."""
        if self.prepared.is_set() or time.monotonic() - self.created_s > _PREPARE_S:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PREPARE_HOLD_S):
                await self.prepared.wait()

    def _classify(
        self, head: RequestHead, body: bytes, responder: Responder, arrived_s: float
    ) -> RequestState:
        configuration = self.dispatcher.configuration
        if configuration is None:
            error = NoConfigurationError("no configuration is known yet")
            error.retry_after_s = self.random.uniform(*_NO_CONFIGURATION_RETRY_S)
            raise error
        call = self.callers.read_call(head)
        route = configuration.find_route(call.host, call.path)
        if route is None:
            raise NotFoundError("no route for this host and path")
        customer = None
        if configuration.customers is not None:
            customer = configuration.customers.get(call.api_key) if call.api_key else None
            if customer is None and not route.anonymous:
                raise AuthenticationError("the API key belongs to no customer")
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        limit_s = route.timeout_s
        if call.deadline_s is not None:
            limit_s = min(limit_s, call.deadline_s)
        deadline_s = arrived_s + limit_s
        self._check_stopping(route, arrived_s, deadline_s)
        service = self._pick_service(route, call)
        name = customer.name if customer is not None else ""
        demand = Demand(call.call_id, service, self.zone, priority, name, deadline_s, call.prompt)
        splitter = EventSplitter(call.last_event_id) if route.resumable else None
        return RequestState(
            head,
            body,
            responder,
            arrived_s,
            call,
            route,
            name or None,
            priority,
            service,
            deadline_s,
            demand,
            splitter=splitter,
        )

    def _check_stopping(self, route: Route, now_s: float, deadline_s: float) -> None:
        if self.stop_by_s is None:
            return
        # A stream may last until its deadline, so none is begun that could be cut.
        needed_s = deadline_s - now_s if route.streams else 2.0 * route.objective_s
        if now_s + needed_s > self.stop_by_s:
            raise StoppingError("this node is shutting down")

    def _pick_service(self, route: Route, call: Call) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        # Requests with a common part of the prompt go to the same service.
        seed = call.prompt.shared_key if call.prompt is not None else call.call_id
        chosen = random.Random(seed).choices(
            [target.service for target in route.targets],
            [target.weight for target in route.targets],
        )
        return chosen[0]

    # place, send, relay

    async def _serve_until_deadline(self, request: RequestState) -> str:
        try:
            async with asyncio.timeout_at(request.deadline_s - _RETURN_S):
                return await self._serve(request)
        except TimeoutError as error:
            if request.sends == 0:
                raise DeadlineError("no backend server was free in time") from error
            raise RouteTimeoutError("the answer was not complete in time") from error

    async def _serve(self, request: RequestState) -> str:
        kept: _Answer | None = None
        while True:
            try:
                choice = await self._place(request)
            except CapacityError:
                if kept is None:
                    raise
                return self._send_answer(request, kept)
            assert choice.state is not None
            source = choice.copy_from
            attempt = _Attempt(
                choice.state,
                choice.prefill_tokens,
                asyncio.get_running_loop().time(),
                f"{source.entry.host}:{source.entry.port}" if source else None,
            )
            request.server = choice.state.server_id
            self._log_choice(request, choice)
            try:
                return await self._attempt(request, attempt)
            except BackendError as error:
                attempt.failed = error.outcome is not Outcome.NOT_RUN or not isinstance(
                    error, BackendRefusedError
                )
                if attempt.answers:
                    kept = attempt.answers[-1]
                reason = self._why_not_again(request, error)
                self._log_failure(request, error, reason)
                if reason is None:
                    continue
                if kept is not None and not request.responder.started:
                    return self._send_answer(request, kept)
                raise
            finally:
                self._end_attempt(request, attempt)

    def _why_not_again(self, request: RequestState, error: BackendError) -> str | None:
        """Returns why a failed request is not sent to another server; None if it is."""
        now_s = asyncio.get_running_loop().time()
        if isinstance(error, BackendConnectError):
            return None
        if error.outcome is not Outcome.NOT_RUN and not request.repeatable():
            return "it may have run and must not run twice"
        if request.responder.started and request.splitter is None:
            return "the answer has begun"
        if request.sends >= request.route.max_attempts:
            return "the route allows no more attempts"
        if now_s >= request.deadline_s - _RETURN_S:
            return "no time is left"
        if not self.dispatcher.may_repeat(request.service, now_s):
            return "the budget of repeats is used up"
        self.metrics.request_repeated(request.service)
        return None

    async def _place(self, request: RequestState) -> Choice:
        """Returns the server for the next attempt, counted as begun.

        Raises:
            CapacityError: no server can take the request in time.
        """
        demand = request.demand
        loop = asyncio.get_running_loop()
        room = self.dispatcher.room(demand.service)
        choice = self.dispatcher.choose(demand, loop.time())
        if choice.state is not None and room.count_ahead(demand.priority) == 0:
            room.charge(demand.priority, demand.customer)
            self.dispatcher.begin(demand, choice, loop.time())
            return choice
        if not self.dispatcher.candidates_left(demand, loop.time()):
            raise NoServerError(f"no backend server may take the request: {choice.reason}")
        if not self.dispatcher.may_be_served_in_time(demand, loop.time()):
            raise self._refusal("the requests ahead leave no time for this one", demand)
        return await self._wait(request)

    def _refusal(self, message: str, demand: Demand) -> CapacityError:
        error = CapacityError(message)
        error.retry_after_s = self.dispatcher.expected_wait_s(
            demand, asyncio.get_running_loop().time()
        ) * self.random.uniform(*_RETRY_AFTER_SPREAD)
        return error

    async def _wait(self, request: RequestState) -> Choice:
        demand = request.demand
        room = self.dispatcher.room(demand.service)
        dropped = room.push(
            demand.call_id, demand.priority, demand.customer, demand.deadline_s, MAX_WAITING
        )
        if dropped == demand.call_id:
            raise self._refusal("too many requests wait", demand)
        if dropped is not None and dropped in self.waiters:
            self.waiters[dropped].set()
        _LOGGER.info(
            "request waits",
            extra={"call": demand.call_id, "service": demand.service, "ahead": len(room) - 1},
        )
        event = self.waiters[demand.call_id] = asyncio.Event()
        served = False
        try:
            while True:
                event.clear()
                choice = self._turn(demand)
                if choice is not None:
                    served = True
                    return choice
                if demand.call_id not in room.queues[demand.priority].entries:
                    raise self._refusal("another customer's request goes first", demand)
                await event.wait()
        finally:
            del self.waiters[demand.call_id]
            if served:
                room.served(demand.call_id, demand.priority)
                self.wake(demand.service)
            else:
                room.remove(demand.call_id, demand.priority)

    def _turn(self, demand: Demand) -> Choice | None:
        """Returns the choice for a waiting request if it is first and a server is free."""
        first = next(self.dispatcher.room(demand.service).in_order(1), None)
        if first != demand.call_id:
            return None
        now_s = asyncio.get_running_loop().time()
        choice = self.dispatcher.choose(demand, now_s)
        if choice.state is None:
            return None
        self.dispatcher.begin(demand, choice, now_s)
        return choice

    def wake(self, service: str) -> None:
        """Lets the first waiting request of a service look for a server again."""
        for call_id in self.dispatcher.room(service).in_order(1):
            event = self.waiters.get(call_id)
            if event is not None:
                event.set()
            return

    def wake_all(self) -> None:
        """As `wake`, for every service; called when beliefs about servers have changed."""
        for service in self.dispatcher.waiting:
            self.wake(service)

    async def _attempt(self, request: RequestState, attempt: _Attempt) -> str:
        loop = asyncio.get_running_loop()
        state = attempt.state
        connection = await self._connection(request, state)
        fresh = connection.requests == 0
        whole = False
        headers: HeaderList = []
        try:
            self._check_sendable(state)
            now_s = loop.time()
            remaining_s = request.deadline_s - now_s - _RETURN_S
            service = self.dispatcher.service(request.service)
            engine = service is not None and service.engine is not None
            sending = Sending(
                state.server_id,
                request.customer,
                remaining_s,
                min(9, request.priority) if engine else None,
                request.splitter.last_event_id if request.splitter else request.call.last_event_id,
                attempt.copy_from,
            )
            connection.send(
                request.head,
                self.backends.request_headers(request.head, request.route, sending),
                request.body,
            )
            attempt.sent_s = now_s
            if request.sends == 0:
                self.dispatcher.budget(request.service).record_request(now_s)
            request.sends += 1
            request.demand.tried.add(state.server_id)
            headers, result = await self._read_answer(request, attempt, connection, fresh)
            whole = True
            return result
        except BackendRefusedError:
            whole = True
            raise
        finally:
            if whole:
                self.pool.put(_pool_key(state), connection, headers, loop.time())
            else:
                connection.close()

    def _check_sendable(self, state: ServerState) -> None:
        """Raises BackendConnectError if the server must get no new work any more."""
        if (
            state.entry.leaving
            or state.gone
            or state.entry.zone in self.dispatcher.directory.zones_out
        ):
            raise BackendConnectError("the server has left while the connection was made")

    async def _connection(self, request: RequestState, state: ServerState) -> BackendConnection:
        loop = asyncio.get_running_loop()
        if request.repeatable():
            # A kept connection may break under a request without telling whether it has run.
            kept = self.pool.take(_pool_key(state), loop.time())
            if kept is not None:
                return kept
        try:
            return await connect(state.entry.host, state.entry.port, _CONNECT_TIMEOUT_S)
        except BackendConnectError:
            request.demand.tried.add(state.server_id)
            raise

    def _stall_s(self, request: RequestState, first: bool) -> float | None:
        """Returns how long to wait for the next part of an answer; None without limit."""
        if not request.repeatable() or request.sends >= request.route.max_attempts:
            return None
        if not request.route.streams:
            return _PATIENCE_SHARE * request.route.timeout_s
        objective_s = request.route.objective_s if first else request.route.gap_objective_s
        return max(_STALL_MIN_S, _STALL_OBJECTIVES * objective_s)

    async def _next_event(
        self, connection: BackendConnection, limit_s: float | None
    ) -> h11.Response | h11.Data | h11.EndOfMessage:
        if limit_s is None:
            return await connection.next_event()
        try:
            async with asyncio.timeout(limit_s):
                return await connection.next_event()
        except TimeoutError as error:
            raise BackendTimeoutError(f"no part of the answer for {limit_s:.1f} s") from error

    async def _read_answer(
        self,
        request: RequestState,
        attempt: _Attempt,
        connection: BackendConnection,
        fresh: bool,
    ) -> tuple[HeaderList, str]:
        event = await self._next_event(connection, self._stall_s(request, first=True))
        if not isinstance(event, h11.Response):
            raise BackendProtocolError("the answer has no head")
        headers = list(event.headers)
        facts = self.backends.read_answer(event.status_code, headers)
        self._check_belongs(request, facts, event.status_code, fresh)
        if facts.load is not None:
            attempt.state.reported_running = facts.load
            attempt.state.reported_at_s = asyncio.get_running_loop().time()
        answer = _Answer(event.status_code, headers, facts=facts)
        if request.route.streams and 200 <= event.status_code < 300:
            return headers, await self._relay_stream(request, attempt, connection, answer)
        result = await self._relay_whole(request, attempt, connection, answer)
        return headers, result

    def _check_belongs(
        self, request: RequestState, facts: AnswerFacts, status: int, fresh: bool
    ) -> None:
        """Raises BackendProtocolError for an answer that may be another request's."""
        if facts.call_id is not None and facts.call_id != request.call.call_id:
            raise BackendProtocolError("the answer bears another request's id")
        if facts.call_id is None and (not fresh or 200 <= status < 300):
            raise BackendProtocolError("the answer bears no id")

    async def _relay_whole(
        self,
        request: RequestState,
        attempt: _Attempt,
        connection: BackendConnection,
        answer: _Answer,
    ) -> str:
        body = bytearray()
        while True:
            event = await self._next_event(connection, self._stall_s(request, first=False))
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            body += event.data
            if len(body) > _WHOLE_ANSWER_BYTES:
                return await self._relay_long(request, attempt, connection, answer, bytes(body))
        answer.body = bytes(body)
        facts = answer.facts
        assert facts is not None
        if facts.not_run or facts.wrong_server:
            raise BackendRefusedError(
                "another server has the address" if facts.wrong_server else "the server is full"
            )
        if answer.status >= 500:
            attempt.answers.append(answer)
            error = BackendError(f"the server answered {answer.status}", outcome=Outcome.RAN)
            if request.repeatable():
                raise error
            attempt.failed = True
            self._log_failure(request, error, "it has run and must not run twice")
            return self._send_answer(request, answer)
        self._succeeded(attempt)
        return self._send_answer(request, answer)

    async def _relay_long(
        self,
        request: RequestState,
        attempt: _Attempt,
        connection: BackendConnection,
        answer: _Answer,
        begun: bytes,
    ) -> str:
        self._start_answer(request, answer)
        request.responder.write(begun)
        while True:
            event = await connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            request.responder.write(bytes(event.data))
            await request.responder.drain()
        request.responder.finish()
        self._succeeded(attempt)
        return "answered"

    def _start_answer(self, request: RequestState, answer: _Answer) -> None:
        length = find_header(answer.headers, b"content-length")
        headers = self.backends.answer_headers(answer.headers)
        request.status = answer.status
        request.responder.start(answer.status, headers, int(length) if length is not None else None)
        request.first_byte_s = asyncio.get_running_loop().time() - request.arrived_s

    def _send_answer(self, request: RequestState, answer: _Answer) -> str:
        headers = self.backends.answer_headers(answer.headers)
        request.status = answer.status
        request.first_byte_s = asyncio.get_running_loop().time() - request.arrived_s
        if request.head.method == b"HEAD":
            request.responder.start(answer.status, headers, 0)
            request.responder.finish()
        else:
            request.responder.send_whole(answer.status, headers, answer.body)
        return "answered" if answer.status < 500 else "server_error"

    async def _relay_stream(
        self,
        request: RequestState,
        attempt: _Attempt,
        connection: BackendConnection,
        answer: _Answer,
    ) -> str:
        responder = request.responder
        splitter = request.splitter
        first = True
        while True:
            event = await self._next_event(connection, self._stall_s(request, first=first))
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            attempt.answer_began()
            first = False
            data = bytes(event.data)
            if splitter is not None:
                data = splitter.feed(data)
            if not responder.started:
                self._start_answer(request, answer)
            responder.write(data)
            await responder.drain()
        if splitter is not None and splitter.rest:
            raise BackendProtocolError("the stream ended inside an event")
        if not responder.started:
            self._start_answer(request, answer)
        responder.finish()
        self._succeeded(attempt)
        return "answered"

    # account

    def _succeeded(self, attempt: _Attempt) -> None:
        now_s = asyncio.get_running_loop().time()
        attempt.state.succeeded(now_s - attempt.sent_s)

    def _end_attempt(self, request: RequestState, attempt: _Attempt) -> None:
        attempt.answer_began()
        attempt.state.end()
        if request.splitter is not None:
            request.splitter.restart()
        if attempt.failed:
            now_s = asyncio.get_running_loop().time()
            if attempt.state.failed(now_s):
                _LOGGER.warning(
                    "server set aside",
                    extra={
                        "server": attempt.state.server_id,
                        "failures": attempt.state.failures_in_row,
                        "for_s": attempt.state.set_aside_s,
                    },
                )
        self.wake(request.service)

    def _log_choice(self, request: RequestState, choice: Choice) -> None:
        state = choice.state
        assert state is not None
        now_s = asyncio.get_running_loop().time()
        prompt = request.call.prompt
        _LOGGER.info(
            "server chosen",
            extra={
                "call": request.call.call_id,
                "route": request.route.name,
                "version": self.dispatcher.version,
                "server": state.server_id,
                "why": choice.reason,
                "copy_from": choice.copy_from.server_id if choice.copy_from else None,
                "considered": [
                    [told.server_id, round(told.score, 3), told.load, told.missing_tokens]
                    for told in choice.considered
                ],
                "part": prompt.shared_key if prompt is not None else None,
                "tokens": prompt.tokens if prompt is not None else None,
                "load": state.load(now_s),
                "running": state.running,
                "peers_running": state.total_running - state.running,
                "reported_age_s": round(min(now_s - state.reported_at_s, 999.0), 2),
                "waited_ms": round((now_s - request.arrived_s) * 1000, 1),
            },
        )

    def _log_failure(self, request: RequestState, error: BackendError, reason: str | None) -> None:
        _LOGGER.warning(
            "attempt failed",
            extra={
                "call": request.call.call_id,
                "server": request.server,
                "error": error.code,
                "reason": error.message,
                "outcome": error.outcome.value,
                "sends": request.sends,
                "not_again": reason,
            },
        )

    def _account(
        self,
        request: RequestState | None,
        head: RequestHead,
        outcome: str,
        error: TanagerError | None,
        took_s: float,
    ) -> None:
        route = request.route.name if request is not None else ""
        self.metrics.request_ended(
            route, outcome, took_s, request.first_byte_s if request else None
        )
        extra = {"route": route, "outcome": outcome, "took_ms": round(took_s * 1000, 1)}
        if request is not None:
            extra["call"] = request.call.call_id
            extra["server"] = request.server
            extra["sends"] = request.sends
            extra["status"] = request.status
            extra["first_byte_ms"] = _milliseconds(request.first_byte_s)
        if error is not None:
            extra["reason"] = error.message
            extra["run"] = error.outcome.value
        level = logging.INFO if outcome == "answered" else logging.WARNING
        _LOGGER.log(level, "request ended", extra=extra)

    async def trim_connections(self, interval_s: float) -> None:
        """Closes kept connections that are idle for long or lead to servers that are gone."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(interval_s)
            servers = self.dispatcher.directory.servers.values()
            with contextlib.suppress(RuntimeError):
                self.pool.trim({_pool_key(state) for state in servers}, loop.time())


def _pool_key(state: ServerState) -> str:
    return f"{state.server_id}/{state.entry.started_ms}/{state.entry.host}:{state.entry.port}"


def _milliseconds(seconds: float | None) -> float | None:
    return round(seconds * 1000, 1) if seconds is not None else None
