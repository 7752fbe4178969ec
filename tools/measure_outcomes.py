"""Measures false ``not_run`` outcomes, double executions and the load that retries add.

The calls go through simulated router instances with random faults, see `tools.outcome_simulation`.
"""

import hashlib
import itertools
import json
import sys
from random import Random
from typing import Any

from tanagerworks.note.model import Note
from tanagerworks.wsgi import Response
from tools.outcome_simulation import (
    ALL_FAULTS,
    TICKET_LIFETIME_S,
    FaultRates,
    RouterInstance,
    SimulatedService,
    Simulation,
    build_environ,
)

REQUESTS = 200_000
AMPLIFICATION_REQUESTS = 30_000
_KEY = "key"
_SERVERS = 9
_FORWARD_ADDRESSES = ("127.0.1.1:1", "127.0.1.2:1", "127.0.1.3:1")


def _build_note(service_names: dict[str, bool]) -> Note:
    zones = ("z1", "z2", "z3")
    services: dict[str, Any] = {}
    for position, (name, trusted) in enumerate(service_names.items()):
        services[name] = {
            "servers": {
                f"s{number}": {
                    "address": f"127.0.{position + 2}.{number + 1}:1",
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


def _build_simulation(random: Random, trusted: dict[str, bool], faults: FaultRates) -> Simulation:
    note = _build_note(trusted)
    services = []
    for name, service in note.statement.services.items():
        addresses = [server.address for server in service.servers.values()]
        services.append(SimulatedService(name, trusted[name], dict.fromkeys(addresses, faults)))
    simulation = Simulation(random, note, services)
    for address in _FORWARD_ADDRESSES:
        simulation.start_instance(address)
    return simulation


class Callers:
    """Sends random calls and compares the reported outcomes with what was executed."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.random = simulation.random
        self.numbers = itertools.count()
        self.requests = 0
        self.false_not_run = 0
        self.double_executions = 0
        # The call under a ticket in progress: service, operation and ticket.
        self.ticket_call: tuple[str, str, str] | None = None
        self.repeating = False
        simulation.on_execution = self._repeat_running_call

    def send_call(self, method: str, service: str, operation: str, key: str = "") -> Response:
        """Sends one call through a random instance and checks a reported outcome ``not_run``."""
        simulation = self.simulation
        outer_call_id = simulation.current_call_id
        call_id = simulation.current_call_id = f"call-{next(self.numbers)}"
        headers = {"Authorization": f"Bearer {_KEY}"}
        if key:
            headers["Idempotency-Key"] = key
        target = f"/services/{service}/bookings"
        response = self._random_instance().serve_call(
            build_environ(method, target, headers, operation.encode())
        )
        simulation.current_call_id = outer_call_id
        self.requests += 1
        delivered = simulation.delivered_bytes.pop(call_id, 0)
        not_run = dict(response.headers).get("X-Outcome") == "not_run"
        if not_run and (delivered or simulation.executions[operation]):
            self.false_not_run += 1
        return response

    def _random_instance(self) -> RouterInstance:
        return self.simulation.instances[self.random.choice(_FORWARD_ADDRESSES)]

    def run_step(self) -> None:
        """Sends a call of a random kind, with its repeats, and counts its executions."""
        self.simulation.clock.sleep(self.random.random() * 0.02)
        if self.random.random() < 0.001:
            self._restart_random_instance()
        service = self.random.choice(list(self.simulation.services))
        operation = f"operation-{next(self.numbers)}"
        kind = self.random.random()
        if kind < 0.4:
            self.send_call("POST", service, operation)
        elif kind < 0.6:
            self.send_call("GET", service, operation)
        elif kind < 0.62:
            self.send_call("POST", service, operation, key="my-own-key")
        else:
            self._send_ticket_calls(service, operation)
        executions = self.simulation.executions.pop(operation, 0)
        if not 0.4 <= kind < 0.6:
            self.double_executions += max(0, executions - 1)

    def _restart_random_instance(self) -> None:
        self.simulation.start_instance(self.random.choice(_FORWARD_ADDRESSES))

    def _send_ticket_calls(self, service: str, operation: str) -> None:
        ticket = self._random_instance().tickets.issue_ticket("caller", service, "")
        self.ticket_call = (service, operation, ticket)
        for _ in range(self.random.randrange(1, 6)):
            response = self.send_call("POST", service, operation, ticket)
            if response.status < 300 and self.random.random() < 0.5:
                break
            draw = self.random.random()
            if draw < 0.02:
                self.simulation.clock.sleep(TICKET_LIFETIME_S)
            elif draw < 0.04:
                self._restart_random_instance()
        self.ticket_call = None

    def _repeat_running_call(self, operation: str) -> None:
        """Repeats a call under a ticket while it is executed, sometimes after a restart."""
        if self.ticket_call is None or self.repeating or self.random.random() > 0.05:
            return
        service, running_operation, ticket = self.ticket_call
        if running_operation != operation:
            return
        self.repeating = True
        if self.random.random() < 0.1:
            self._restart_random_instance()
        self.send_call("POST", service, operation, ticket)
        self.repeating = False


def simulate_outcomes(seed: int, requests: int) -> dict[str, float]:
    """Returns the outcome figures of at least `requests` calls."""
    simulation = _build_simulation(Random(seed), {"trusted": True, "untrusted": False}, ALL_FAULTS)
    callers = Callers(simulation)
    while callers.requests < requests:
        callers.run_step()
    return {
        "outcome.double_executions": float(callers.double_executions),
        "outcome.false_not_run": float(callers.false_not_run),
        "outcome.requests": float(callers.requests),
    }


def simulate_amplification(seed: int, requests: int) -> float:
    """Returns the backend requests per call while a third of the servers fail all requests."""
    simulation = _build_simulation(Random(seed), {"untrusted": False}, FaultRates())
    (service,) = simulation.services.values()
    for number, address in enumerate(service.faults):
        if number % 3 == 0:
            service.faults[address] = FaultRates(refuse_connection=0.5, reset_before_execution=1.0)
    callers = Callers(simulation)
    for number in range(requests):
        simulation.clock.sleep(0.01)
        callers.send_call("GET", "untrusted", f"operation-{number}")
    return simulation.backend_attempts / requests


def measure_outcomes(seed: int) -> dict[str, float]:
    """Returns the outcome figures and ``retries.amplification``."""
    metrics = simulate_outcomes(seed, REQUESTS)
    metrics["retries.amplification"] = simulate_amplification(seed, AMPLIFICATION_REQUESTS)
    return metrics


if __name__ == "__main__":
    arguments = sys.argv[1:]
    print(json.dumps(measure_outcomes(int(arguments[0]) if arguments else 1), indent=2))
