"""Index of a release note for the lookups of a request: customers, models and engines."""

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
    """A model and one of its versions; `version` is empty until one is chosen."""

    model: str
    version: str = ""


class NoteIndex:
    """A note with indexes for the lookups of every request; built once per note."""

    def __init__(self, note: Note) -> None:
        self.note = note
        self.customers_by_digest: dict[str, tuple[str, Customer, str]] = {}
        for name, customer in note.statement.customers.items():
            for digest in customer.key_sha256:
                self.customers_by_digest[digest] = (name, customer, digest)
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

        The lookup uses the digest of the key, so that its timing reveals nothing about valid keys.

        Raises:
            AuthenticationError: the key belongs to no customer.
        """
        scheme, key = authorization[: len(_BEARER)], authorization[len(_BEARER) :]
        digest = hashlib.sha256(key.strip().encode("utf-8", "surrogateescape")).hexdigest()
        entry = self.customers_by_digest.get(digest)
        if scheme.lower() != _BEARER or entry is None:
            raise AuthenticationError("the key is not valid")
        name, customer, stored_digest = entry
        if not hmac.compare_digest(stored_digest, digest):
            raise AuthenticationError("the key is not valid")
        return name, customer

    def resolve_model(self, name: str, customer: Customer, chat_key: str) -> ModelVersion:
        """Returns the model and version for a chat.

        If `name` has no version, one is drawn by the traffic shares; a chat always gets the same.

        Raises:
            ModelNotFoundError: the customer may use no such model, version or alias.
        """
        resolved = self.models.get(name)
        if resolved is None or resolved.model not in customer.models:
            raise ModelNotFoundError("no such model, version or alias for this customer")
        if resolved.version:
            return resolved
        versions = self.note.statement.models[resolved.model].versions
        # The prefix makes this hash independent of the one that ranks engines for the same chat.
        point = xxh3_64_intdigest(f"version\0{resolved.model}\0{chat_key}".encode()) / _HASH_RANGE
        chosen = ""
        for version, share in sorted(versions.items()):
            if share <= 0:
                continue
            chosen = version
            point -= share
            if point < 0:
                break
        return ModelVersion(resolved.model, chosen)

    def allowed_model_names(self, customer: Customer) -> list[str]:
        """Returns all model names, aliases and versioned names that a customer may use, sorted."""
        allowed = set(customer.models)
        return sorted(name for name, resolved in self.models.items() if resolved.model in allowed)
