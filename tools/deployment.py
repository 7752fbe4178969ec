"""The deployment of the Régie Municipale des Cires de Sfax on loopback.

The demo, the soak and the measurements start it in different sizes from stand-ins and nodes.
"""

import copy
from dataclasses import dataclass, field
from typing import Any

from tools.fleet import Fleet, NodeAddresses, free_address, key_sha256, new_node

ZONES = ("sfax-medina", "sfax-thyna", "sfax-sakiet")
MODEL = "wax"
SERVICE = "orders"
CUSTOMERS = (
    "club-carthage",
    "club-thyna",
    "cafe-bab-diwan",
    "cafe-la-medina",
    "ecole-hedi-chaker",
    "ecole-ibn-khaldoun",
    "lycee-taparura",
    "ligue-du-sud",
    "atelier-kerkennah",
    "regie-centrale",
)


def customer_key(customer: str) -> str:
    """Returns the bearer key of a customer."""
    return f"key-of-{customer}"


@dataclass
class DeploymentOptions:
    """Numbers of processes, limits in the release note and settings of the programs.

    `engine`, `agent` and `router` are further settings of these programs; `rules` are the rules of
    the release note.
    """

    nodes: int = 6
    routers_per_node: int = 1
    engines: int = 5
    order_services: int = 3
    slots: int = 16
    cold_slots: int = 2
    max_work_s: float = 10.0
    engine: dict[str, Any] = field(default_factory=dict)
    rules: dict[str, Any] = field(default_factory=dict)
    agent: dict[str, Any] = field(default_factory=dict)
    router: dict[str, Any] = field(default_factory=dict)
    max_streams_per_customer: int = 64
    requests_per_s_per_customer: float = 100.0
    max_queue: int = 128


@dataclass
class Backend:
    """An engine or order service stand-in."""

    name: str
    zone: str
    address: str


class Deployment:
    """Stand-ins and nodes of one deployment, and the statement and serial of its release note."""

    def __init__(self, fleet: Fleet, options: DeploymentOptions) -> None:
        self.fleet = fleet
        self.options = options
        self.nodes = [
            new_node(f"n{number + 1}", ZONES[number % len(ZONES)], options.routers_per_node)
            for number in range(options.nodes)
        ]
        self.engines = _new_backends("m", options.engines)
        self.order_services = _new_backends("s", options.order_services)
        self.serial = 1
        self.statement = self._build_statement()

    def _build_statement(self) -> dict[str, Any]:
        options = self.options
        engine = {
            "model": MODEL,
            "version": "v1",
            "slots": options.slots,
            "cold_slots": options.cold_slots,
            "max_work_s": options.max_work_s,
        }
        servers = {
            server.name: {"address": server.address, "zone": server.zone}
            for server in self.order_services
        }
        statement: dict[str, Any] = {
            "nodes": {
                node.node_id: {"zone": node.zone, "peer_address": node.peer_address}
                for node in self.nodes
            },
            "zones": {zone: {} for zone in ZONES},
            "models": {MODEL: {"versions": {"v1": 1.0}}},
            "customers": {
                customer: {
                    "key_sha256": [key_sha256(customer_key(customer))],
                    "models": [MODEL],
                    "services": [SERVICE] if servers else [],
                    "max_streams": options.max_streams_per_customer,
                    "requests_per_s": options.requests_per_s_per_customer,
                }
                for customer in CUSTOMERS
            },
            "engines": {
                item.name: {**engine, "address": item.address, "zone": item.zone}
                for item in self.engines
            },
            # Shorter deadlines than those of the default classes, as the runs are short.
            "classes": {
                "quick": {"priority": 0, "deadline_s": 4.0},
                "counter": {"priority": 1, "deadline_s": 6.0, "max_queue": options.max_queue},
                "patient": {"priority": 2, "deadline_s": 8.0, "max_queue": 256},
            },
            "rules": options.rules,
        }
        if servers:
            routes = [
                {"method": "GET", "path_prefix": "/", "repeatable": True},
                {"method": "POST", "path_prefix": "/", "repeatable": False},
            ]
            statement["services"] = {SERVICE: {"servers": servers, "routes": routes}}
        return statement

    def start_all(self) -> None:
        """Starts all processes and waits until the nodes are ready."""
        self.start_standins()
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.fleet.wait_for_node(node)

    def start_standins(self) -> None:
        """Starts the stand-ins and publishes the first release note."""
        options = self.options
        self.fleet.start_platform()
        for engine in self.engines:
            self.fleet.start_engine(
                engine.name,
                engine.address,
                slots=options.slots,
                cold_slots=options.cold_slots,
                model=MODEL,
                **options.engine,
            )
        for service in self.order_services:
            self.fleet.start_order_service(service.name, service.address)
        for engine in self.engines:
            self.fleet.wait_until_ready(engine.name, f"http://{engine.address}/v1/boot")
        for service in self.order_services:
            self.fleet.wait_until_ready(
                service.name, f"http://{service.address}/control/executions"
            )
        vms = {item.name: "live" for item in [*self.engines, *self.order_services]}
        self.fleet.send_control(self.fleet.platform_address, "vms", vms)
        self.publish_statement()

    def start_node(self, node: NodeAddresses) -> None:
        """Starts the processes of a node."""
        peers = [other.peer_address for other in self.nodes]
        self.fleet.start_node(node, peers, self.options.router, **self.options.agent)

    def publish_statement(self) -> None:
        """Publishes the full statement with the current serial."""
        self.fleet.publish_note({"serial": self.serial, "statement": self.statement})

    def publish_change(self, changed: dict[str, Any]) -> None:
        """Publishes changed items under the next serial, as a delta and as a full statement.

        `changed` holds the new items by section and name.
        """
        self.serial += 1
        self.statement = copy.deepcopy(self.statement)
        for section, items in changed.items():
            for name, item in items.items():
                self.statement[section][name] = item
        delta = {"serial": self.serial, "base": self.serial - 1, "changed": changed}
        self.publish_statement()
        self.fleet.publish_note(delta, key="release-note")

    def set_zone_state(self, zone: str, state: str) -> None:
        """Publishes the state of a zone and sets it at its stand-ins, which count late work."""
        self.publish_change({"zones": {zone: {"state": state}}})
        for item in [*self.engines, *self.order_services]:
            if item.zone == zone:
                self.fleet.send_control(item.address, "zone", {"state": state})

    def caller_addresses(self) -> list[str]:
        """Returns the caller addresses of all routers in the order of the nodes."""
        return [address for node in self.nodes for address in node.caller_addresses]

    def engine_counters(self) -> dict[str, dict[str, Any]]:
        """Returns the counters of each engine by name."""
        return {
            engine.name: self.fleet.get_json(f"http://{engine.address}/control/counters")
            for engine in self.engines
        }

    def service_counters(self) -> dict[str, dict[str, Any]]:
        """Returns the counters of each order service by name."""
        return {
            service.name: self.fleet.get_json(f"http://{service.address}/control/executions")
            for service in self.order_services
        }


def _new_backends(prefix: str, count: int) -> list[Backend]:
    return [
        Backend(f"{prefix}{number + 1}", ZONES[number % len(ZONES)], free_address())
        for number in range(count)
    ]
