"""Models of the release note's full statement.

All sections are mappings by name; a name is a stable id. Durations are seconds and carry the
suffix ``_s``.
"""

import hashlib
import json
from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]

# The platform holds values up to this size.
MAX_NOTE_BYTES = 1_000_000


class NoteModel(BaseModel):
    """Base of all parts of a note: unknown keys are errors and values are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ZoneState(Enum):
    """State of an availability zone that operators set."""

    IN = "in"
    OUT = "out"
    DRAINING = "draining"


class Node(NoteModel):
    """An entry VM of the system."""

    zone: Name
    peer_address: Address


class Zone(NoteModel):
    """An availability zone."""

    state: ZoneState = ZoneState.IN
    region: Name = "default"


class Customer(NoteModel):
    """A customer with its keys and fleet-wide limits.

    `key_sha256` holds the SHA-256 of each valid bearer key in hex; two during a rotation.
    """

    key_sha256: tuple[Sha256Hex, ...] = Field(min_length=1, max_length=4)
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    max_streams: int = Field(default=64, ge=1)
    requests_per_s: float = Field(default=100.0, gt=0)
    weight: float = Field(default=1.0, gt=0)
    request_class: Name = "counter"


class Model(NoteModel):
    """A model with the versions in use, the share of traffic of each and its aliases."""

    versions: dict[Name, Annotated[float, Field(ge=0, le=1)]] = Field(min_length=1)
    aliases: tuple[Name, ...] = ()
    adapters: tuple[Name, ...] = ()

    @model_validator(mode="after")
    def _shares_add_up(self) -> "Model":
        if abs(sum(self.versions.values()) - 1.0) > 1e-6:
            raise ValueError("traffic shares of the versions must add up to 1")
        return self


class Adapter(NoteModel):
    """An adapter that engines load beside a model."""

    model: Name


class Engine(NoteModel):
    """A model engine (backend server) and its traits.

    `slots` is the number of requests that it can bear at once, `cold_slots` the number in a cold
    start, `max_work_s` the longest time one request may stay at it.
    """

    address: Address
    zone: Name
    model: Name
    version: Name
    slots: int = Field(ge=1, le=4096)
    cold_slots: int = Field(default=1, ge=1)
    max_work_s: float = Field(default=120.0, gt=0)
    checks_fencing: bool = False
    checks_sender: bool = False
    trust_refusal: bool = False
    prefill_tokens_per_s: float = Field(default=5000.0, gt=0)

    @model_validator(mode="after")
    def _cold_slots_fit(self) -> "Engine":
        if self.cold_slots > self.slots:
            raise ValueError("cold_slots must not be above slots")
        return self


class ServiceServer(NoteModel):
    """A backend server of a plain service."""

    address: Address
    zone: Name


class ServiceRoute(NoteModel):
    """Whether calls with this method and path prefix may be repeated."""

    method: Annotated[str, Field(pattern=r"^[A-Z]+$")]
    path_prefix: Annotated[str, Field(pattern=r"^/")]
    repeatable: bool


class Service(NoteModel):
    """A plain service behind ``/services/NAME/``."""

    servers: dict[Name, ServiceServer] = Field(min_length=1)
    routes: tuple[ServiceRoute, ...] = ()
    deduplicates_by_key: bool = False
    trust_refusal: bool = False
    timeout_s: float = Field(default=10.0, gt=0)


class RequestClass(NoteModel):
    """A class of requests; a lower `priority` number is served first."""

    priority: int = Field(ge=0, le=9)
    deadline_s: float = Field(gt=0)
    max_queue: int = Field(default=64, ge=0)


class Rules(NoteModel):
    """Rules that hold for the whole fleet."""

    load_multiple: float = Field(default=1.25, ge=1)
    # A flapping VM waits this long after its first change of state, then twice as long.
    vm_damping_s: float = Field(default=2.0, ge=0)
    max_damping_s: float = Field(default=60.0, ge=0)
    # Whole answers that double the allowance of an engine in a cold start.
    warm_answers: int = Field(default=4, ge=1)
    # A borrowed slot may be used for starts this long.
    max_lent_s: float = Field(default=10.0, gt=0)
    max_ejected_share: float = Field(default=0.34, ge=0, le=1)
    retry_budget_share: float = Field(default=0.1, ge=0, le=1)


class Statement(NoteModel):
    """The full condition that the fleet has to reach and keep."""

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
    def _references_exist(self) -> "Statement":
        _check_references(self)
        return self


def _check_references(statement: Statement) -> None:
    for kind, items in (("nodes", statement.nodes), ("engines", statement.engines)):
        for name, item in items.items():
            if item.zone not in statement.zones:
                raise ValueError(f"{kind}.{name}.zone: no zone named {item.zone!r}")
    for name, engine in statement.engines.items():
        model = statement.models.get(engine.model)
        if model is None:
            raise ValueError(f"engines.{name}.model: no model named {engine.model!r}")
        if engine.version not in model.versions:
            raise ValueError(f"engines.{name}.version: {engine.model} has no {engine.version!r}")
    for name, adapter in statement.adapters.items():
        if adapter.model not in statement.models:
            raise ValueError(f"adapters.{name}.model: no model named {adapter.model!r}")
    for name, service in statement.services.items():
        for server_name, server in service.servers.items():
            if server.zone not in statement.zones:
                place = f"services.{name}.servers.{server_name}.zone"
                raise ValueError(f"{place}: no zone named {server.zone!r}")
    keys: dict[str, str] = {}
    for name, customer in statement.customers.items():
        for model_name in customer.models:
            if model_name not in statement.models:
                raise ValueError(f"customers.{name}.models: no model named {model_name!r}")
        for service_name in customer.services:
            if service_name not in statement.services:
                raise ValueError(f"customers.{name}.services: no service named {service_name!r}")
        if customer.request_class not in statement.classes:
            raise ValueError(
                f"customers.{name}.request_class: no class named {customer.request_class!r}"
            )
        for key in customer.key_sha256:
            if key in keys:
                raise ValueError(f"customers.{name}.key_sha256: also a key of {keys[key]!r}")
            keys[key] = name


class Note(NoteModel):
    """A full statement under its serial: what a node has in force."""

    serial: int = Field(ge=1)
    statement: Statement

    def canonical(self) -> bytes:
        """Returns the note as canonical JSON: sorted keys, no white space."""
        document = self.model_dump(mode="json")
        return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()

    def digest(self) -> str:
        """Returns the SHA-256 of the canonical form in hex."""
        return hashlib.sha256(self.canonical()).hexdigest()
