"""A note indexed for the look-ups of a request: customer by key, model by name, engines."""

import hashlib
import hmac
from collections import defaultdict
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from tanagerworks.errors import AuthenticationError, ModelNotFoundError
from tanagerworks.note.model import Customer, Engine, Note

_BEARER = "bearer "
_HASH_RANGE = float(2**64)


@dataclass(frozen=True)
class ModelVersion:
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
        self.models: dict[str, ModelVersion] = {}
        for name, model in note.statement.models.items():
            for alias in model.aliases:
                self.models.setdefault(alias, ModelVersion(name))
            for version in model.versions:
                self.models[f"{name}:{version}"] = ModelVersion(name, version)
        # A model's own name wins over another model's alias.
        for name in note.statement.models:
            self.models[name] = ModelVersion(name)
        self.engines: dict[tuple[str, str], dict[str, Engine]] = defaultdict(dict)
        for engine_id, engine in note.statement.engines.items():
            self.engines[engine.model, engine.version][engine_id] = engine

    def authenticate_customer(self, authorization: str) -> tuple[str, Customer]:
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

    def resolve_model(self, name: str, customer: Customer, chat_key: str) -> ModelVersion:
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
        return ModelVersion(choice.model, chosen)

    def allowed_model_names(self, customer: Customer) -> list[str]:
        """Returns all names under which a customer may ask for a model."""
        allowed = set(customer.models)
        return sorted(name for name, choice in self.models.items() if choice.model in allowed)
