"""Measures outcomes and at most once under all failures, and the amplification by retries."""

import hashlib
import itertools
import json
import sys
from random import Random
from typing import Any

from tanagerworks.note.model import Note
from tanagerworks.wsgi import Response
from tools.outcome_world import (
    ALL_FAULTS,
    TICKET_LIFETIME_S,
    Faults,
    Instance,
    Service,
    World,
    environ_of,
)

REQUESTS = 200_000
AMPLIFICATION_REQUESTS = 30_000
_KEY = "key"
_SERVERS = 9
_FORWARD_ADDRESSES = ("127.0.1.1:1", "127.0.1.2:1", "127.0.1.3:1")


def _note(service_names: dict[str, bool]) -> Note:
    zones = ("z1", "z2", "z3")
    services: dict[str, Any] = {}
    for place, (name, trusted) in enumerate(service_names.items()):
        services[name] = {
            "servers": {
                f"s{number}": {
                    "address": f"127.0.{place + 2}.{number + 1}:1",
                    "zone": zones[number % 3],
                }
                for number in range(_SERVERS)
            },
            "trust_refusal": trusted,
            "timeout_s": 5.0,
        }
    statement = {
        "nodes": {
            f"n{number}": {"zone": "z1", "peer_address": address}
            for number, address in enumerate(_FORWARD_ADDRESSES)
        },
        "zones": dict.fromkeys(zones, {}),
        "customers": {
            "caller": {
                "key_sha256": [hashlib.sha256(_KEY.encode()).hexdigest()],
                "services": list(service_names),
            }
        },
        "services": services,
    }
    return Note.model_validate_json(json.dumps({"serial": 1, "statement": statement}))


def _world(random: Random, trusted: dict[str, bool], faults: Faults) -> World:
    note = _note(trusted)
    services = []
    for name, service in note.statement.services.items():
        addresses = [server.address for server in service.servers.values()]
        services.append(Service(name, trusted[name], dict.fromkeys(addresses, faults)))
    world = World(random, note, services)
    for address in _FORWARD_ADDRESSES:
        world.start_instance(address)
    return world


class Callers:
    """Sends random calls and checks what it is told against what was executed."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.random = world.random
        self.numbers = itertools.count()
        self.requests = 0
        self.false_not_run = 0
        self.double_executions = 0
        # The call under a ticket that is in progress: service, operation, ticket.
        self.running: tuple[str, str, str] | None = None
        self.nested = False
        world.in_execution = self._repeat_while_running

    def send(self, method: str, service: str, operation: str, key: str = "") -> Response:
        """Sends one call through a random instance and checks a claim that it did not run."""
        world = self.world
        outer = world.call_id
        call_id = world.call_id = f"call-{next(self.numbers)}"
        headers = {"Authorization": f"Bearer {_KEY}"}
        if key:
            headers["Idempotency-Key"] = key
        target = f"/services/{service}/bookings"
        response = self._any_instance().serve(
            environ_of(method, target, headers, operation.encode())
        )
        world.call_id = outer
        self.requests += 1
        sent = world.open_bytes.pop(call_id, 0)
        not_run = dict(response.headers).get("X-Outcome") == "not_run"
        if not_run and (sent or world.executions[operation]):
            self.false_not_run += 1
        return response

    def _any_instance(self) -> Instance:
        return self.world.instances[self.random.choice(_FORWARD_ADDRESSES)]

    def step(self) -> None:
        """One caller's action."""
        self.world.clock.sleep(self.random.random() * 0.02)
        if self.random.random() < 0.001:
            self._restart_one()
        service = self.random.choice(list(self.world.services))
        operation = f"operation-{next(self.numbers)}"
        kind = self.random.random()
        if kind < 0.4:
            self.send("POST", service, operation)
        elif kind < 0.6:
            self.send("GET", service, operation)
        elif kind < 0.62:
            self.send("POST", service, operation, key="my-own-key")
        else:
            self._call_under_ticket(service, operation)
        executions = self.world.executions.pop(operation, 0)
        if not 0.4 <= kind < 0.6:
            self.double_executions += max(0, executions - 1)

    def _restart_one(self) -> None:
        self.world.start_instance(self.random.choice(_FORWARD_ADDRESSES))

    def _call_under_ticket(self, service: str, operation: str) -> None:
        ticket = self._any_instance().tickets.issue_ticket("caller", service, "")
        self.running = (service, operation, ticket)
        for _ in range(self.random.randrange(1, 6)):
            response = self.send("POST", service, operation, ticket)
            if response.status < 300 and self.random.random() < 0.5:
                break
            chance = self.random.random()
            if chance < 0.02:
                self.world.clock.sleep(TICKET_LIFETIME_S)
            elif chance < 0.04:
                self._restart_one()
        self.running = None

    def _repeat_while_running(self, operation: str) -> None:
        """Repeats a call, and now and then restarts its instance, during its execution."""
        if self.running is None or self.nested or self.random.random() > 0.05:
            return
        service, running, ticket = self.running
        if running != operation:
            return
        self.nested = True
        if self.random.random() < 0.1:
            self._restart_one()
        self.send("POST", service, operation, ticket)
        self.nested = False


def run_outcomes(seed: int, requests: int) -> dict[str, float]:
    """Returns the outcome metrics of at least `requests` calls."""
    world = _world(Random(seed), {"trusted": True, "untrusted": False}, ALL_FAULTS)
    callers = Callers(world)
    while callers.requests < requests:
        callers.step()
    return {
        "outcome.double_executions": float(callers.double_executions),
        "outcome.false_not_run": float(callers.false_not_run),
        "outcome.requests": float(callers.requests),
    }


def run_amplification(seed: int, requests: int) -> float:
    """Returns requests at back ends per call while a third of them fail."""
    world = _world(Random(seed), {"untrusted": False}, Faults())
    (service,) = world.services.values()
    for number, address in enumerate(service.faults):
        if number % 3 == 0:
            service.faults[address] = Faults(refuse_connection=0.5, break_before=1.0)
    callers = Callers(world)
    for number in range(requests):
        world.clock.sleep(0.01)
        callers.send("GET", "untrusted", f"operation-{number}")
    return world.attempts / requests


def measure_outcomes(seed: int) -> dict[str, float]:
    """Returns the outcome metrics and ``retries.amplification``."""
    metrics = run_outcomes(seed, REQUESTS)
    metrics["retries.amplification"] = run_amplification(seed, AMPLIFICATION_REQUESTS)
    return metrics


if __name__ == "__main__":
    arguments = sys.argv[1:]
    print(json.dumps(measure_outcomes(int(arguments[0]) if arguments else 1), indent=2))
