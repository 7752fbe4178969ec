"""In-process back ends and router instances that fail at random, for `tools.measure_outcomes`.

The routers run their real code for plain services, tickets and forwarding; only the sockets are
replaced. Everything happens in one thread on a virtual clock, so a seed gives one course.
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
class Faults:
    """Probability of each failure of one back end."""

    refuse_connection: float = 0.0
    close_idle: float = 0.0
    partial_write: float = 0.0
    break_before: float = 0.0
    break_after: float = 0.0
    late_answer: float = 0.0
    refuse: float = 0.0
    half_answer: float = 0.0


ALL_FAULTS = Faults(0.05, 0.05, 0.03, 0.03, 0.04, 0.03, 0.05, 0.03)


class Clock:
    """Virtual time in seconds."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def now(self) -> float:
        """Returns the time."""
        return self.now_s

    def sleep(self, seconds: float) -> None:
        """Lets time pass."""
        self.now_s += seconds


class FakeSocket:
    """A connection whose far side is a function; failures are drawn for each request."""

    def __init__(
        self, world: "World", faults: Faults, serve: Callable[[bytes], tuple[bytes, bool]]
    ) -> None:
        self.world = world
        self.faults = faults
        # Returns the answer and whether it is a refusal that counts as a proof.
        self.serve = serve
        # Bytes of the current request that count as sent to a back end.
        self.counted = 0
        self.counts = True
        self.received = b""
        self.outbox = b""
        self.ended = False
        self.reset = False
        self.room: int | None = None
        self.timeout_s: float | None = None
        self.requests = 0

    def _hit(self, probability: float) -> bool:
        return self.world.random.random() < probability

    def send(self, data: memoryview, /) -> int:
        """Takes bytes of a request; serves it when it is whole."""
        if self.reset:
            raise ConnectionResetError
        if not self.received:
            self._start_request(len(data))
        taken = bytes(data)
        if self.room is not None:
            taken = taken[: self.room]
            self.room -= len(taken)
            if not taken:
                self.reset = True
                if self._hit(0.5):
                    raise TimeoutError
                raise ConnectionResetError
        if self.counts:
            self.counted += len(taken)
            self.world.open_bytes[self.world.call_id] += len(taken)
        self.received += taken
        head, end, body = self.received.partition(b"\r\n\r\n")
        length = _LENGTH.search(head)
        if end and len(body) == (int(length[1]) if length else 0):
            request, self.received = self.received, b""
            self._serve(request)
        return len(taken)

    def _start_request(self, size: int) -> None:
        self.requests += 1
        self.counted = 0
        self.world.attempts += self.counts
        if self.requests > 1 and self._hit(self.faults.close_idle):
            # The server closed the idle connection; whether the first write fails is a race.
            self.reset = True
            if self._hit(0.5):
                raise BrokenPipeError
            self.reset, self.ended = False, True
        elif self._hit(self.faults.partial_write):
            self.room = self.world.random.randrange(size + 10)

    def _serve(self, request: bytes) -> None:
        if self.ended:
            return
        if self._hit(self.faults.break_before):
            self.reset = True
            return
        answer, refused = self.serve(request)
        if refused:
            self.world.open_bytes[self.world.call_id] -= self.counted
        if self._hit(self.faults.break_after):
            self.reset = True
        elif self._hit(self.faults.late_answer):
            self.world.clock.sleep(self.timeout_s or 0.0)
        elif self._hit(self.faults.half_answer):
            self.outbox = answer[: self.world.random.randrange(len(answer))]
            self.ended = True
        else:
            self.outbox = answer

    def recv(self, size: int, /) -> bytes:
        """Returns bytes of the answer."""
        if self.outbox:
            data, self.outbox = self.outbox[:size], self.outbox[size:]
            return data
        if self.reset:
            raise ConnectionResetError
        if self.ended:
            return b""
        if self.timeout_s == 0.0:
            raise BlockingIOError
        raise TimeoutError

    def settimeout(self, timeout_s: float | None, /) -> None:
        """Sets the longest wait."""
        self.timeout_s = timeout_s

    def shutdown(self, how: int, /) -> None:
        """Does nothing: there is one thread."""

    def fileno(self) -> int:
        """Returns no descriptor."""
        return -1

    def close(self) -> None:
        """Ends the connection."""
        self.reset = True


@dataclass
class Service:
    """The servers of one plain service."""

    name: str
    trusted: bool
    faults: dict[str, Faults] = field(default_factory=dict)


class _InstantCondition:
    """A condition of one thread: nobody else could bring about what it waits for."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, *_details: object) -> None:
        return None

    def wait_for(self, predicate: Callable[[], bool], _timeout_s: float) -> bool:
        """Returns whether the predicate holds."""
        return predicate()

    def notify_all(self) -> None:
        """Does nothing."""


class ViewHolder:
    """A view that is always fresh."""

    def __init__(self, view: RouterView) -> None:
        self.view = view

    def fresh_view(self) -> RouterView:
        """Returns the view."""
        return self.view


class World:
    """Services, router instances and the record of what happened."""

    def __init__(self, random: Random, note: Note, services: Iterable[Service]) -> None:
        self.random = random
        self.clock = Clock()
        self.note = note
        self.services = {service.name: service for service in services}
        self.instances: dict[str, Instance] = {}
        self.started_instances = 0
        self.call_id = ""
        # By call: bytes that kernels of back ends took, but for trusted refusals.
        self.open_bytes: Counter[str] = Counter()
        # By operation, which is the body of the request.
        self.executions: Counter[str] = Counter()
        # Connections refused by back ends and requests that reached them.
        self.attempts = 0
        self.in_execution: Callable[[str], None] = lambda _operation: None

    def start_instance(self, address: str) -> "Instance":
        """Starts a router process at an address, in place of the one before."""
        self.started_instances += 1
        instance = Instance(self, address, f"instance-{self.started_instances}")
        self.instances[address] = instance
        return instance

    def connect(self, address: str, _timeout_s: float) -> Socket:
        """Connects to a server of a service or to the forward port of an instance."""
        instance = self.instances.get(address)
        if instance is not None:
            link = FakeSocket(self, ALL_FAULTS, instance.serve_forwarded)
            link.counts = False
            return link
        for service in self.services.values():
            faults = service.faults.get(address)
            if faults is None:
                continue
            if self.random.random() < faults.refuse_connection:
                self.attempts += 1
                if self.random.random() < 0.5:
                    raise TimeoutError
                raise ConnectionRefusedError
            serve = _Server(self, service, faults).serve
            return FakeSocket(self, faults, serve)
        raise ConnectionRefusedError


class _Server:
    """The far side of one connection to a service."""

    def __init__(self, world: World, service: Service, faults: Faults) -> None:
        self.world = world
        self.service = service
        self.faults = faults

    def serve(self, request: bytes) -> tuple[bytes, bool]:
        """Executes a request, or refuses it; an untrusted server may do both."""
        world = self.world
        head, _, body = request.partition(b"\r\n\r\n")
        refused = world.random.random() < self.faults.refuse
        if not refused or (not self.service.trusted and world.random.random() < 0.5):
            operation = body.decode()
            world.executions[operation] += 1
            world.in_execution(operation)
        request_id = re.search(rb"\r\nX-Request-Id: (\w+)", head)
        echo = request_id[1] if request_id else b""
        status = b"503 Service Unavailable" if refused else b"201 Created"
        answer = b"HTTP/1.1 %s\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\ndone"
        return answer % (status, echo), refused and self.service.trusted


class _Budget:
    """The retry budget without a lock."""

    def __init__(self, share: float) -> None:
        self.budget = RetryBudget(share)
        self.record_request = self.budget.record_request
        self.acquire_retry = self.budget.acquire_retry


class Instance:
    """One router process, as far as plain services and tickets go."""

    def __init__(self, world: World, address: str, instance_id: str) -> None:
        self.world = world
        connections = BackendConnectionPool(1.0, connect=world.connect, now=world.clock.now)
        view = RouterView(index=NoteIndex(world.note), ready=True, instances=self._known())
        self.tickets = TicketService(
            instance_id,
            address,
            lifetime_s=TICKET_LIFETIME_S,
            max_calls=100_000,
            max_bytes=10_000_000,
            now=world.clock.now,
        )
        condition: Any = _InstantCondition()
        self.tickets.changed = condition
        caller = ServiceCaller(
            connections,
            _Budget(world.note.statement.rules.retry_budget_share),
            "z1",
            world.random,
            now=world.clock.now,
            sleep=world.clock.sleep,
        )
        self.endpoint = ServiceEndpoint(
            ViewHolder(view), caller, self.tickets, TicketForwarder(connections, 1_000_000)
        )

    def _known(self) -> dict[str, str]:
        # Half of the instances learn the others from the view, half rely on the ticket.
        if self.world.random.random() < 0.5:
            return {}
        return {
            instance.tickets.instance_id: address
            for address, instance in self.world.instances.items()
        }

    def serve(self, environ: Environ, forwarded: bool = False) -> Response:
        """Serves one call."""
        request_id = f"{self.world.random.getrandbits(64):016x}"
        try:
            return self.endpoint.serve_call(environ, request_id, forwarded)
        except TanagerError as error:
            return error_response(error, request_id)

    def serve_forwarded(self, request: bytes) -> tuple[bytes, bool]:
        """Serves one call from the wire of another instance."""
        head, _, body = request.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        current = self.world.instances.get(self.tickets.forward_address)
        assert current is not None
        response = current.serve(environ_of(method, target, headers, body), forwarded=True)
        lines = [f"HTTP/1.1 {response.status_line}"]
        lines += [f"{name}: {value}" for name, value in response.headers]
        answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + b"".join(response.body)
        return answer, False


def environ_of(method: str, target: str, headers: dict[str, str], body: bytes) -> Environ:
    """Returns the WSGI environment of a request."""
    environ: Environ = {
        "REQUEST_METHOD": method,
        "REQUEST_URI": target,
        "wsgi.input": io.BytesIO(body),
    }
    for name, value in headers.items():
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    return environ
