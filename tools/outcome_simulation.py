"""Simulated backend servers and router instances with random faults, for `tools.measure_outcomes`.

The router instances run the real code for plain services, tickets and forwarding over simulated
sockets. All calls run in one thread on a virtual clock, so a run depends on its seed only.
"""

import io
import re
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from tanagerworks.errors import TanagerError
from tanagerworks.note.index import NoteIndex
from tanagerworks.note.model import Note
from tanagerworks.router.backend_connection import BackendConnectionPool
from tanagerworks.router.backend_response import Socket
from tanagerworks.router.service_calls import ServiceCaller
from tanagerworks.router.service_endpoint import ServiceEndpoint
from tanagerworks.router.ticket_service import TicketForwarder, TicketService
from tanagerworks.router.view import RouterView
from tanagerworks.routing.retries import RetryBudget
from tanagerworks.wsgi import Environ, Response, error_response

_LENGTH = re.compile(rb"\r\nContent-Length: (\d+)", re.IGNORECASE)
TICKET_LIFETIME_S = 60.0


@dataclass
class FaultRates:
    """Probability of each fault of one backend server, per connection or per request."""

    refuse_connection: float = 0.0
    close_idle: float = 0.0
    partial_write: float = 0.0
    reset_before_execution: float = 0.0
    reset_after_execution: float = 0.0
    late_answer: float = 0.0
    refuse_request: float = 0.0
    truncate_answer: float = 0.0


ALL_FAULTS = FaultRates(0.05, 0.05, 0.03, 0.03, 0.04, 0.03, 0.05, 0.03)


class VirtualClock:
    """Virtual time in seconds."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def now(self) -> float:
        """Returns the virtual time."""
        return self.now_s

    def sleep(self, seconds: float) -> None:
        """Advances the clock."""
        self.now_s += seconds


class FakeSocket:
    """A socket that is served by a function call; faults are drawn for each request."""

    def __init__(
        self,
        simulation: "Simulation",
        faults: FaultRates,
        handle_request: Callable[[bytes], tuple[bytes, bool]],
    ) -> None:
        self.simulation = simulation
        self.faults = faults
        # Returns the answer, and whether it is a trusted refusal: proof that the call did not run.
        self.handle_request = handle_request
        # Bytes of the current request that count as sent to a backend server.
        self.counted_bytes = 0
        self.to_backend = True
        self.received = b""
        self.response_bytes = b""
        self.closed = False
        self.reset = False
        self.write_limit: int | None = None
        self.timeout_s: float | None = None
        self.request_count = 0

    def _fault_occurs(self, probability: float) -> bool:
        return self.simulation.random.random() < probability

    def send(self, data: memoryview, /) -> int:
        """Accepts bytes of a request, and serves the request when it is complete."""
        if self.reset:
            raise ConnectionResetError
        if not self.received:
            self._begin_request(len(data))
        accepted = bytes(data)
        if self.write_limit is not None:
            accepted = accepted[: self.write_limit]
            self.write_limit -= len(accepted)
            if not accepted:
                self.reset = True
                if self._fault_occurs(0.5):
                    raise TimeoutError
                raise ConnectionResetError
        if self.to_backend:
            self.counted_bytes += len(accepted)
            self.simulation.delivered_bytes[self.simulation.current_call_id] += len(accepted)
        self.received += accepted
        head, end, body = self.received.partition(b"\r\n\r\n")
        length = _LENGTH.search(head)
        if end and len(body) == (int(length[1]) if length else 0):
            request, self.received = self.received, b""
            self._deliver_request(request)
        return len(accepted)

    def _begin_request(self, size: int) -> None:
        self.request_count += 1
        self.counted_bytes = 0
        self.simulation.backend_attempts += self.to_backend
        if self.request_count > 1 and self._fault_occurs(self.faults.close_idle):
            # The server has closed the idle connection. Either its reset has arrived and the write
            # fails, or the write succeeds and the read returns end of file.
            self.reset = True
            if self._fault_occurs(0.5):
                raise BrokenPipeError
            self.reset, self.closed = False, True
        elif self._fault_occurs(self.faults.partial_write):
            self.write_limit = self.simulation.random.randrange(size + 10)

    def _deliver_request(self, request: bytes) -> None:
        if self.closed:
            return
        if self._fault_occurs(self.faults.reset_before_execution):
            self.reset = True
            return
        answer, refused = self.handle_request(request)
        if refused:
            self.simulation.delivered_bytes[self.simulation.current_call_id] -= self.counted_bytes
        if self._fault_occurs(self.faults.reset_after_execution):
            self.reset = True
        elif self._fault_occurs(self.faults.late_answer):
            self.simulation.clock.sleep(self.timeout_s or 0.0)
        elif self._fault_occurs(self.faults.truncate_answer):
            self.response_bytes = answer[: self.simulation.random.randrange(len(answer))]
            self.closed = True
        else:
            self.response_bytes = answer

    def recv(self, size: int, /) -> bytes:
        """Returns bytes of the answer."""
        if self.response_bytes:
            data, self.response_bytes = self.response_bytes[:size], self.response_bytes[size:]
            return data
        if self.reset:
            raise ConnectionResetError
        if self.closed:
            return b""
        if self.timeout_s == 0.0:
            raise BlockingIOError
        raise TimeoutError

    def settimeout(self, timeout_s: float | None, /) -> None:
        """Sets the timeout."""
        self.timeout_s = timeout_s

    def shutdown(self, how: int, /) -> None:
        """Does nothing, as no other thread is blocked on the socket."""

    def fileno(self) -> int:
        """Returns -1, as there is no file descriptor."""
        return -1

    def close(self) -> None:
        """Closes the socket; later reads and writes raise ConnectionResetError.

        A response that has already arrived can still be read.
        """
        self.reset = True


@dataclass
class SimulatedService:
    """A plain service and the fault rates of its servers, by address."""

    name: str
    trusted: bool
    faults: dict[str, FaultRates] = field(default_factory=dict)


class _SingleThreadCondition:
    """A condition variable for a single thread: waiting cannot make the predicate true."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, *_details: object) -> None:
        return None

    def wait_for(self, predicate: Callable[[], bool], _timeout_s: float) -> bool:
        """Returns whether the predicate holds."""
        return predicate()

    def notify_all(self) -> None:
        """Does nothing: no thread waits."""


class FixedViewSource:
    """A source of one view that never becomes stale."""

    def __init__(self, view: RouterView) -> None:
        self.view = view

    def fresh_view(self) -> RouterView:
        """Returns the view."""
        return self.view


class Simulation:
    """Services and router instances, and the counts of what was executed."""

    def __init__(self, random: Random, note: Note, services: Iterable[SimulatedService]) -> None:
        self.random = random
        self.clock = VirtualClock()
        self.note = note
        self.services = {service.name: service for service in services}
        self.instances: dict[str, RouterInstance] = {}
        self.started_instances = 0
        self.current_call_id = ""
        # By call: bytes that backend servers received, less those of trusted refusals.
        self.delivered_bytes: Counter[str] = Counter()
        # Executions by operation; the body of a request names its operation.
        self.executions: Counter[str] = Counter()
        # Attempts at backend servers: connections that were refused or timed out, and requests that
        # were begun on a connection.
        self.backend_attempts = 0
        self.on_execution: Callable[[str], None] = lambda _operation: None

    def start_instance(self, address: str) -> "RouterInstance":
        """Starts a router instance at an address; it replaces the previous one."""
        self.started_instances += 1
        instance = RouterInstance(self, address, f"instance-{self.started_instances}")
        self.instances[address] = instance
        return instance

    def connect(self, address: str, _timeout_s: float) -> Socket:
        """Connects to a server of a service or to the forward port of an instance.

        Raises:
            ConnectionRefusedError: nothing listens at the address, or the server refuses.
            TimeoutError: the server does not answer.
        """
        instance = self.instances.get(address)
        if instance is not None:
            connection = FakeSocket(self, ALL_FAULTS, instance.serve_forwarded_call)
            connection.to_backend = False
            return connection
        for service in self.services.values():
            faults = service.faults.get(address)
            if faults is None:
                continue
            if self.random.random() < faults.refuse_connection:
                self.backend_attempts += 1
                if self.random.random() < 0.5:
                    raise TimeoutError
                raise ConnectionRefusedError
            handle_request = _ServerConnection(self, service, faults).handle_request
            return FakeSocket(self, faults, handle_request)
        raise ConnectionRefusedError


class _ServerConnection:
    """The server side of one connection to a service."""

    def __init__(
        self, simulation: Simulation, service: SimulatedService, faults: FaultRates
    ) -> None:
        self.simulation = simulation
        self.service = service
        self.faults = faults

    def handle_request(self, request: bytes) -> tuple[bytes, bool]:
        """Executes a request or refuses it.

        A server whose refusals are not trusted may execute a request and still refuse it.
        """
        simulation = self.simulation
        head, _, body = request.partition(b"\r\n\r\n")
        refused = simulation.random.random() < self.faults.refuse_request
        if not refused or (not self.service.trusted and simulation.random.random() < 0.5):
            operation = body.decode()
            simulation.executions[operation] += 1
            simulation.on_execution(operation)
        request_id = re.search(rb"\r\nX-Request-Id: (\w+)", head)
        echo = request_id[1] if request_id else b""
        status = b"503 Service Unavailable" if refused else b"201 Created"
        answer = b"HTTP/1.1 %s\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\ndone"
        return answer % (status, echo), refused and self.service.trusted


class _UnlockedRetryBudget:
    """The retry budget without a lock, as there is one thread."""

    def __init__(self, share: float) -> None:
        self.budget = RetryBudget(share)
        self.record_request = self.budget.record_request
        self.acquire_retry = self.budget.acquire_retry


class RouterInstance:
    """The part of a router process that serves plain services and tickets."""

    def __init__(self, simulation: Simulation, address: str, instance_id: str) -> None:
        self.simulation = simulation
        connections = BackendConnectionPool(
            1.0, connect=simulation.connect, now=simulation.clock.now
        )
        view = RouterView(
            index=NoteIndex(simulation.note), ready=True, instances=self._known_instances()
        )
        self.tickets = TicketService(
            instance_id,
            address,
            lifetime_s=TICKET_LIFETIME_S,
            max_calls=100_000,
            max_bytes=10_000_000,
            now=simulation.clock.now,
        )
        condition: Any = _SingleThreadCondition()
        self.tickets.changed = condition
        caller = ServiceCaller(
            connections,
            _UnlockedRetryBudget(simulation.note.statement.rules.retry_budget_share),
            "z1",
            simulation.random,
            now=simulation.clock.now,
            sleep=simulation.clock.sleep,
        )
        self.endpoint = ServiceEndpoint(
            FixedViewSource(view), caller, self.tickets, TicketForwarder(connections, 1_000_000)
        )

    def _known_instances(self) -> dict[str, str]:
        # Half of the instances know the others from the view; the rest use the address in the
        # ticket.
        if self.simulation.random.random() < 0.5:
            return {}
        return {
            instance.tickets.instance_id: address
            for address, instance in self.simulation.instances.items()
        }

    def serve_call(self, environ: Environ, forwarded: bool = False) -> Response:
        """Returns the response to a call."""
        request_id = f"{self.simulation.random.getrandbits(64):016x}"
        try:
            return self.endpoint.serve_call(environ, request_id, forwarded)
        except TanagerError as error:
            return error_response(error, request_id)

    def serve_forwarded_call(self, request: bytes) -> tuple[bytes, bool]:
        """Returns the response to a call that another instance has forwarded, as bytes."""
        head, _, body = request.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        current_instance = self.simulation.instances.get(self.tickets.forward_address)
        assert current_instance is not None
        response = current_instance.serve_call(
            build_environ(method, target, headers, body), forwarded=True
        )
        lines = [f"HTTP/1.1 {response.status_line}"]
        lines += [f"{name}: {value}" for name, value in response.headers]
        answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + b"".join(response.body)
        return answer, False


def build_environ(method: str, target: str, headers: dict[str, str], body: bytes) -> Environ:
    """Returns the WSGI environment of a request."""
    environ: Environ = {
        "REQUEST_METHOD": method,
        "REQUEST_URI": target,
        "wsgi.input": io.BytesIO(body),
    }
    for name, value in headers.items():
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    return environ
