"""What a router knows of the fleet: the note, indexed for look-ups, and the agent's newest view."""

import hashlib
import hmac
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Protocol

from xxhash import xxh3_64_intdigest

from tanagerworks.errors import AuthenticationError, ModelNotFoundError, NotReadyError
from tanagerworks.note.model import Customer, Engine, Note, ServiceServer, ZoneState
from tanagerworks.rpc.tanager_pb2 import View

_BEARER = "bearer "
_HASH_RANGE = float(2**64)


@dataclass(frozen=True)
class ModelChoice:
    """A model and, if the caller named one, its version."""

    model: str
    version: str = ""


class NoteIndex:
    """A note with the look-ups that every request needs; built once per note."""

    def __init__(self, note: Note) -> None:
        self.note = note
        self.customers: dict[str, tuple[str, Customer, str]] = {}
        for name, customer in note.statement.customers.items():
            for digest in customer.key_sha256:
                self.customers[digest] = (name, customer, digest)
        self.models: dict[str, ModelChoice] = {}
        for name, model in note.statement.models.items():
            for alias in model.aliases:
                self.models.setdefault(alias, ModelChoice(name))
            for version in model.versions:
                self.models[f"{name}:{version}"] = ModelChoice(name, version)
        # A model's own name wins over another model's alias.
        for name in note.statement.models:
            self.models[name] = ModelChoice(name)
        self.engines: dict[tuple[str, str], dict[str, Engine]] = defaultdict(dict)
        for engine_id, engine in note.statement.engines.items():
            self.engines[engine.model, engine.version][engine_id] = engine

    def customer_of(self, authorization: str) -> tuple[str, Customer]:
        """Returns the customer with the bearer key in an ``Authorization`` header.

        The look-up is by the digest of the key, so its time shows nothing of a valid key.

        Raises:
            AuthenticationError: the key belongs to no customer.
        """
        scheme, key = authorization[: len(_BEARER)], authorization[len(_BEARER) :]
        digest = hashlib.sha256(key.strip().encode("utf-8", "surrogateescape")).hexdigest()
        found = self.customers.get(digest)
        if scheme.lower() != _BEARER or found is None:
            raise AuthenticationError("the key is not valid")
        name, customer, known = found
        if not hmac.compare_digest(known, digest):
            raise AuthenticationError("the key is not valid")
        return name, customer

    def choose_model(self, name: str, customer: Customer, chat_key: str) -> ModelChoice:
        """Returns model and version for a chat; shares decide if no version is named.

        Raises:
            ModelNotFoundError: the customer may use no such model, version or alias.
        """
        choice = self.models.get(name)
        if choice is None or choice.model not in customer.models:
            raise ModelNotFoundError("no such model, version or alias for this customer")
        if choice.version:
            return choice
        versions = self.note.statement.models[choice.model].versions
        # Salted, so that the version does not depend on the engine's rank for the same chat.
        point = xxh3_64_intdigest(f"version\0{choice.model}\0{chat_key}".encode()) / _HASH_RANGE
        chosen = ""
        for version, share in sorted(versions.items()):
            if share <= 0:
                continue
            chosen = version
            point -= share
            if point < 0:
                break
        return ModelChoice(choice.model, chosen)

    def model_names(self, customer: Customer) -> list[str]:
        """Returns all names under which a customer may ask for a model."""
        allowed = set(customer.models)
        return sorted(name for name, choice in self.models.items() if choice.model in allowed)


@dataclass(frozen=True)
class RouterView:
    """An immutable view; `known_at_s` is on CLOCK_BOOTTIME of the VM."""

    index: NoteIndex | None = None
    eligible: frozenset[str] = frozenset()
    # Addresses of a service's servers that may receive new work; services without an entry are
    # judged by the note alone.
    service_addresses: dict[str, frozenset[str]] = field(default_factory=dict)
    instances: dict[str, str] = field(default_factory=dict)
    # Engine by chat hash, for chats served off their first choice.
    exceptions: dict[int, str] = field(default_factory=dict)
    ready: bool = False
    draining: bool = False
    known_at_s: float = float("-inf")

    def require_index(self) -> NoteIndex:
        """Returns the note in force.

        Raises:
            NotReadyError: there is none.
        """
        if self.index is None:
            raise NotReadyError("no release note is in force")
        return self.index

    def service_servers(self, service_name: str) -> dict[str, ServiceServer]:
        """Returns the servers of a service that may receive new work."""
        statement = self.require_index().note.statement
        service = statement.services.get(service_name)
        if service is None:
            return {}
        listed = self.service_addresses.get(service_name)
        return {
            name: server
            for name, server in service.servers.items()
            if statement.zones[server.zone].state is ZoneState.IN
            and (listed is None or server.address in listed)
        }


class ViewSource(Protocol):
    """Where the newest view comes from: the link to the node agent."""

    view: RouterView

    def fresh_view(self) -> RouterView:
        """Returns a view that is fresh enough to send a request by.

        Raises:
            NotReadyError: there is none.
        """


def next_view(message: View, previous: RouterView, received_at_s: float) -> RouterView:
    """Returns the view that a message of the agent gives; the note is sent only if it is new."""
    index = previous.index
    # A restarted agent may still learn its note; a note in force never reverts.
    known_serial = index.note.serial if index is not None else 0
    if message.note and message.note_serial > known_serial:
        index = NoteIndex(Note.model_validate_json(message.note))
    # The agent runs on this VM, so its boot clock is comparable. Without it a view that waited
    # in a buffer while this process was paused would look new.
    known_at_s = received_at_s
    if message.sent_at_boot_s:
        known_at_s = min(received_at_s, message.sent_at_boot_s)
    return RouterView(
        index=index,
        eligible=frozenset(item.engine_id for item in message.engines if item.eligible),
        service_addresses={item.service: frozenset(item.addresses) for item in message.services},
        instances={item.instance_id: item.address for item in message.instances},
        exceptions={item.chat_hash: item.engine_id for item in message.exceptions},
        ready=message.ready,
        draining=message.draining,
        known_at_s=known_at_s,
    )
