"""Pydantic models of a full release note.

All sections but ``rules`` map names to items; a name is a stable id. Durations are in seconds and
have the suffix ``_s``.
"""

import hashlib
import json
from collections.abc import Collection, Iterable, Iterator
from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from tanagerworks.fields import Address, Name

_MAX_NAMES_SHOWN = 8


# JSON parsers that use doubles represent integers exactly up to 2**53 - 1.
Serial = Annotated[int, Field(ge=1, le=2**53 - 1, strict=True)]
Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]

# Size limit of a value in the platform's configuration service.
MAX_NOTE_BYTES = 1_000_000
# The canonical form includes defaults, so it may be longer than the published note. Peers send it
# in one gRPC message, which is limited to 4 MiB.
MAX_CANONICAL_BYTES = 4_000_000


class NoteModel(BaseModel):
    """Base of all models of a note: unknown keys are errors and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ZoneState(Enum):
    """State of an availability zone, as set by operators."""

    IN = "in"
    OUT = "out"
    DRAINING = "draining"


class Node(NoteModel):
    """A VM of the router fleet, at which callers arrive."""

    zone: Name
    peer_address: Address


class Zone(NoteModel):
    """An availability zone."""

    state: ZoneState = ZoneState.IN
    region: Name = "default"


class Customer(NoteModel):
    """A customer with its keys and fleet-wide limits.

    `key_sha256` holds the SHA-256 of each valid bearer key in hex; a rotation needs two.
    """

    key_sha256: tuple[Sha256Hex, ...] = Field(min_length=1, max_length=4)
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    max_streams: int = Field(default=64, ge=1)
    requests_per_s: float = Field(default=100.0, gt=0)
    weight: float = Field(default=1.0, gt=0)
    request_class: Name = "counter"


class Model(NoteModel):
    """A model: the traffic share of each version in use, its aliases and its adapters."""

    versions: dict[Name, Annotated[float, Field(ge=0, le=1)]] = Field(min_length=1)
    aliases: tuple[Name, ...] = ()
    adapters: tuple[Name, ...] = ()

    @model_validator(mode="after")
    def _check_traffic_shares(self) -> "Model":
        if abs(sum(self.versions.values()) - 1.0) > 1e-6:
            raise ValueError("traffic shares of the versions must add up to 1")
        return self


class Adapter(NoteModel):
    """An adapter that engines load in addition to a model."""

    model: Name


class Engine(NoteModel):
    """A model engine (backend server) and its properties.

    `slots` is the number of requests that it can serve concurrently, `cold_slots` that number
    during a cold start, and `max_work_s` the longest time that one request may take.
    """

    address: Address
    zone: Name
    model: Name
    version: Name
    slots: int = Field(ge=1, le=4096)
    cold_slots: int = Field(default=1, ge=1)
    max_work_s: float = Field(default=120.0, gt=0)
    # The engine refuses orders with a lower fencing number than an earlier one. Another live node
    # may then send its orders if the first node of the engine's ranking is dead.
    checks_fencing: bool = False
    # The engine authenticates the sender of an order; the order carries the node agent's key.
    checks_sender: bool = False
    # The engine's refusals prove that the request did not run.
    trust_refusal: bool = False
    prefill_tokens_per_s: float = Field(default=5000.0, gt=0)

    @model_validator(mode="after")
    def _check_cold_slots(self) -> "Engine":
        if self.cold_slots > self.slots:
            raise ValueError("cold_slots must not be above slots")
        return self


class ServiceServer(NoteModel):
    """A backend server of a plain service."""

    address: Address
    zone: Name


class ServiceRoute(NoteModel):
    """States whether calls with this method and path prefix may be sent more than once."""

    method: Annotated[str, Field(pattern=r"^[A-Z]+$")]
    path_prefix: Annotated[str, Field(pattern=r"^/")]
    repeatable: bool


class Service(NoteModel):
    """A plain service behind ``/services/NAME/``."""

    servers: dict[Name, ServiceServer] = Field(min_length=1)
    routes: tuple[ServiceRoute, ...] = ()
    deduplicates_by_key: bool = False
    # The servers' refusals prove that the request did not run.
    trust_refusal: bool = False
    timeout_s: float = Field(default=10.0, gt=0)


class RequestClass(NoteModel):
    """A class of requests; a lower `priority` number is served first."""

    priority: int = Field(ge=0, le=9)
    deadline_s: float = Field(gt=0)
    # Requests of the class that each node queues at most.
    max_queue: int = Field(default=64, ge=0)


class Rules(NoteModel):
    """Parameters of the whole fleet."""

    # Bound on the running requests of an engine, as a multiple of the mean of the eligible engines
    # with its model and version.
    load_multiple: float = Field(default=1.25, ge=1)
    # An engine that keeps changing its state, because its VM leaves and returns or its probes fail
    # and succeed, gets no new work for this long after it becomes usable again. The delay doubles
    # with each further change, up to `max_damping_s`.
    vm_damping_s: float = Field(default=2.0, ge=0)
    max_damping_s: float = Field(default=60.0, ge=0)
    # Complete answers after which the allowance of an engine in a cold start doubles.
    warm_answers: int = Field(default=4, ge=1)
    # Time in which a request must be started on a slot, counted from the grant or, for a borrowed
    # slot, from when the Borrow request was sent.
    max_lent_s: float = Field(default=10.0, gt=0)
    # Largest share of the eligible engines that are ejected as outliers at the same time.
    max_ejected_share: float = Field(default=0.34, ge=0, le=1)
    # Retries that a router may send to a backend, as a share of the first attempts there; a few
    # more are allowed at first.
    retry_budget_share: float = Field(default=0.1, ge=0, le=1)


class Statement(NoteModel):
    """The complete desired state of the fleet."""

    nodes: dict[Name, Node] = Field(min_length=1)
    zones: dict[Name, Zone] = Field(min_length=1)
    customers: dict[Name, Customer] = {}
    models: dict[Name, Model] = {}
    adapters: dict[Name, Adapter] = {}
    engines: dict[Name, Engine] = {}
    services: dict[Name, Service] = {}
    classes: dict[Name, RequestClass] = {
        "quick": RequestClass(priority=0, deadline_s=5.0),
        "counter": RequestClass(priority=1, deadline_s=15.0),
        "patient": RequestClass(priority=2, deadline_s=60.0, max_queue=256),
    }
    rules: Rules = Rules()

    @model_validator(mode="after")
    def _check_references(self) -> "Statement":
        faults = list(_find_reference_faults(self))
        if faults:
            raise ReferenceFaultsError(faults)
        return self


class ReferenceFaultsError(ValueError):
    """Unknown references and duplicates in a statement, all found in one pass.

    `faults` holds (place, reason, remedy). It is a ValueError, so that pydantic reports it as a
    validation error.
    """

    def __init__(self, faults: list[tuple[str, str, str]]) -> None:
        super().__init__("; ".join(f"{place}: {reason}" for place, reason, _remedy in faults))
        self.faults = faults


def _find_reference_faults(statement: Statement) -> Iterator[tuple[str, str, str]]:
    for place, kind, name, known in _iter_references(statement):
        if name in known:
            continue
        yield place, f"no {kind} named {name!r}", _unknown_name_remedy(kind, known)
    yield from _find_duplicates(
        "peer address",
        (
            (f"nodes.{name}.peer_address", node.peer_address)
            for name, node in _sorted_nodes(statement)
        ),
    )
    yield from _find_duplicates(
        "key",
        (
            (f"customers.{name}.key_sha256", key)
            for name, customer in sorted(statement.customers.items())
            for key in customer.key_sha256
        ),
    )
    yield from _find_duplicates(
        "model name",
        [(f"models.{name}", name) for name in statement.models]
        + [
            (f"models.{name}.aliases", alias)
            for name, model in sorted(statement.models.items())
            for alias in model.aliases
        ],
    )


def _sorted_nodes(statement: Statement) -> list[tuple[str, Node]]:
    return sorted(statement.nodes.items())


def _iter_references(statement: Statement) -> Iterator[tuple[str, str, str, Collection[str]]]:
    for name, node in statement.nodes.items():
        yield f"nodes.{name}.zone", "zone", node.zone, statement.zones
    for name, model in statement.models.items():
        for adapter in model.adapters:
            yield f"models.{name}.adapters", "adapter", adapter, statement.adapters
    for name, adapter_item in statement.adapters.items():
        yield f"adapters.{name}.model", "model", adapter_item.model, statement.models
    for name, engine in statement.engines.items():
        yield f"engines.{name}.zone", "zone", engine.zone, statement.zones
        yield f"engines.{name}.model", "model", engine.model, statement.models
        known_model = statement.models.get(engine.model)
        if known_model is not None:
            yield f"engines.{name}.version", "version", engine.version, known_model.versions
    for name, service in statement.services.items():
        for server_name, server in service.servers.items():
            place = f"services.{name}.servers.{server_name}.zone"
            yield place, "zone", server.zone, statement.zones
    for name, customer in statement.customers.items():
        for model_name in customer.models:
            yield f"customers.{name}.models", "model", model_name, statement.models
        for service_name in customer.services:
            yield f"customers.{name}.services", "service", service_name, statement.services
        place = f"customers.{name}.request_class"
        yield place, "class", customer.request_class, statement.classes


def _unknown_name_remedy(kind: str, known: Collection[str]) -> str:
    if not known:
        return f"add the {kind} first"
    names = sorted(known)
    shown = ", ".join(names[:_MAX_NAMES_SHOWN])
    more = ", ..." if len(names) > _MAX_NAMES_SHOWN else ""
    return f"add the {kind} or use one of: {shown}{more}"


def _find_duplicates(kind: str, items: Iterable[tuple[str, str]]) -> Iterator[tuple[str, str, str]]:
    first_places: dict[str, str] = {}
    for place, value in items:
        if value in first_places:
            reason = f"{kind} {value!r} is also at {first_places[value]}"
            yield place, reason, f"use each {kind} once"
            continue
        first_places[value] = place


class Note(NoteModel):
    """A full release note: a statement with its serial."""

    serial: Serial
    statement: Statement

    def canonical_json(self) -> bytes:
        """Returns the note as canonical JSON: sorted keys, no whitespace."""
        document = self.model_dump(mode="json")
        return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()

    def digest(self) -> str:
        """Returns the SHA-256 of the canonical form in hex."""
        return hashlib.sha256(self.canonical_json()).hexdigest()
