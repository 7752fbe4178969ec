"""The stages that a chat request goes through, in order."""

import hashlib
import hmac
import json
from collections.abc import Sequence
from typing import Protocol

from tanagerworks.errors import (
    AuthenticationError,
    CapacityError,
    ModelNotFoundError,
    NotReadyError,
    RequestError,
)
from tanagerworks.router.agent_link import AgentLink
from tanagerworks.router.relay import EngineRelay
from tanagerworks.router.request import ChatRequest
from tanagerworks.routing.ranking import rank_engines
from tanagerworks.rpc.tanager_pb2 import Candidate, ClaimRequest

_BEARER = "Bearer "


class Stage(Protocol):
    """One step: adds what it found out to the request or raises a typed error."""

    def run(self, request: ChatRequest) -> None:
        """Handles one request."""


class Admit:
    """Finds the customer by its bearer key."""

    def __init__(self, link: AgentLink) -> None:
        self.link = link

    def run(self, request: ChatRequest) -> None:
        """Raises AuthenticationError for a key that belongs to no customer."""
        request.note = self.link.view.note
        if request.note is None:
            raise NotReadyError("no release note is in force")
        key = request.authorization.removeprefix(_BEARER)
        digest = hashlib.sha256(key.encode()).hexdigest()
        for name, customer in request.note.statement.customers.items():
            for known in customer.key_sha256:
                if hmac.compare_digest(known, digest):
                    request.customer_name, request.customer = name, customer
        if request.customer is None:
            raise AuthenticationError("the key is not valid")


class Classify:
    """Reads the body: model, chat key."""

    def run(self, request: ChatRequest) -> None:
        """Raises RequestError for a body that is not a chat completion request."""
        try:
            document = json.loads(request.body)
        except ValueError as error:
            raise RequestError("the body is not valid JSON") from error
        if not isinstance(document, dict) or not isinstance(document.get("messages"), list):
            raise RequestError("the body needs a list of messages")
        if not isinstance(document.get("model"), str):
            raise RequestError("the body needs a model")
        request.document = document
        request.model_name = document["model"]
        request.chat_key = _chat_key(request)


def _chat_key(request: ChatRequest) -> str:
    if request.chat_key_header:
        own = request.chat_key_header
    elif isinstance(request.document.get("prompt_cache_key"), str):
        own = request.document["prompt_cache_key"]
    else:
        first = request.document["messages"][:2]
        own = json.dumps([request.document.get("user"), first], sort_keys=True)
    return f"{request.customer_name}\0{own}"


class Rank:
    """Ranks the eligible engines of the model for the chat."""

    def __init__(self, link: AgentLink) -> None:
        self.link = link

    def run(self, request: ChatRequest) -> None:
        """Raises ModelNotFoundError or CapacityError if no engine is eligible."""
        assert request.note is not None
        statement = request.note.statement
        if request.model_name not in statement.models:
            raise ModelNotFoundError(f"no model named {request.model_name!r}")
        eligible = self.link.view.eligible
        weights: dict[str, float] = {}
        for engine_id, engine in statement.engines.items():
            if engine.model != request.model_name or not eligible.get(engine_id):
                continue
            weights[engine_id] = engine.slots
        request.ranked = rank_engines(request.chat_key, weights)
        if not request.ranked:
            raise CapacityError("no engine of the model is in service")


class Choose:
    """Claims a slot from the node agent."""

    def __init__(self, link: AgentLink) -> None:
        self.link = link

    def run(self, request: ChatRequest) -> None:
        """Raises CapacityError if no slot was granted."""
        assert request.note is not None
        assert request.customer is not None
        statement = request.note.statement
        request_class = statement.classes[request.customer.request_class]
        reply = self.link.claim(
            ClaimRequest(
                request_id=request.request_id,
                customer=request.customer_name,
                request_class=request.customer.request_class,
                deadline_s=request_class.deadline_s,
                candidates=[Candidate(engine_id=engine_id) for engine_id in request.ranked],
            ),
            request_class.deadline_s,
        )
        if reply.refusal:
            raise CapacityError(reply.reason)
        request.claim = reply
        request.engine = statement.engines[reply.slot.engine_id]


class Send:
    """Sends the request to the engine and relays the answer."""

    def __init__(self, relay: EngineRelay) -> None:
        self.relay = relay

    def run(self, request: ChatRequest) -> None:
        """Sets the response."""
        request.response = self.relay.open(request)


def chat_stages(link: AgentLink, relay: EngineRelay) -> Sequence[Stage]:
    """Returns the stages of a chat request in order."""
    return (Admit(link), Classify(), Rank(link), Choose(link), Send(relay))
