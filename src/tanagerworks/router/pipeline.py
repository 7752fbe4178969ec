"""The pipeline stages of a chat request, in order."""

import json
import threading
import time
from collections.abc import Sequence
from random import Random
from typing import Any, Protocol

from tanagerworks.errors import (
    BackendError,
    CapacityError,
    DeadlineError,
    RequestError,
    TanagerError,
)
from tanagerworks.outcome import Outcome
from tanagerworks.router.agent_link import AgentLink
from tanagerworks.router.chat_request import ChatRequest
from tanagerworks.router.metrics import RouterMetrics
from tanagerworks.router.relay import EngineRelay
from tanagerworks.routing.ranking import chat_hash, rank_engines
from tanagerworks.routing.retries import MAX_ATTEMPTS, RetryBudget, backoff_s, may_retry
from tanagerworks.rpc.tanager_pb2 import Candidate, ClaimRequest

_MAX_CHAT_KEY_CHARS = 512


class Stage(Protocol):
    """One stage: adds its results to the request or raises a typed error."""

    def run(self, request: ChatRequest) -> None:
        """Processes one request."""


class Authenticate:
    """Identifies the customer by its bearer key."""

    def __init__(self, link: AgentLink) -> None:
        self.link = link

    def run(self, request: ChatRequest) -> None:
        """Sets view, index and customer of the request.

        Raises:
            AuthenticationError: the key belongs to no customer.
            NotReadyError: no note is in force.
        """
        request.view = self.link.view
        request.index = request.view.require_index()
        named_customer = request.index.authenticate_customer(request.authorization)
        request.customer_name, request.customer = named_customer


class ParseBody:
    """Parses the body: model, version and chat key."""

    def run(self, request: ChatRequest) -> None:
        """Sets document, chat key, model, version and deadline of the request.

        Raises:
            RequestError: the body is not a chat completion request.
            ModelNotFoundError: the customer may use no such model, version or alias.
        """
        assert request.index is not None
        assert request.customer is not None
        document = _read_document(request.body)
        request.document = document
        request.chat_key = _chat_key(request)
        request.chat_hash = chat_hash(request.chat_key)
        name = document["model"]
        resolved = request.index.resolve_model(name, request.customer, request.chat_key)
        request.model, request.version = resolved.model, resolved.version
        if name != resolved.model:
            # Engines know the model by its name without alias or version.
            request.body = json.dumps({**document, "model": resolved.model}).encode()
        classes = request.index.note.statement.classes
        request.deadline_s = time.monotonic() + classes[request.customer.request_class].deadline_s


def _read_document(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise RequestError("the body is not valid JSON") from error
    if not isinstance(document, dict):
        raise RequestError("the body must be a JSON object")
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise RequestError("the body needs a list of messages")
    if not all(isinstance(message, dict) for message in messages):
        raise RequestError("each message must be a JSON object")
    if not isinstance(document.get("model"), str):
        raise RequestError("the body needs a model")
    if not isinstance(document.get("stream"), bool | None):
        raise RequestError("stream must be true or false")
    return document


def _chat_key(request: ChatRequest) -> str:
    if request.chat_key_header:
        key = request.chat_key_header[:_MAX_CHAT_KEY_CHARS]
    elif isinstance(request.document.get("prompt_cache_key"), str):
        key = request.document["prompt_cache_key"][:_MAX_CHAT_KEY_CHARS]
    else:
        first = request.document["messages"][:2]
        key = json.dumps([request.document.get("user"), first], sort_keys=True)
    return f"{request.customer_name}\0{key}"


class RankEngines:
    """Ranks the eligible engines of the model's version for the chat."""

    def run(self, request: ChatRequest) -> None:
        """Sets the first choice and the ranked engines of the request.

        The engine that last served the chat comes first if it is eligible.

        Raises:
            CapacityError: no engine is eligible.
        """
        assert request.index is not None
        assert request.view is not None
        eligible = request.view.eligible
        engines = request.index.engines.get((request.model, request.version), {})
        weights = {
            engine_id: float(engine.slots)
            for engine_id, engine in engines.items()
            if engine_id in eligible
        }
        request.ranked_engine_ids = rank_engines(request.chat_key, weights)
        if not request.ranked_engine_ids:
            raise CapacityError("no engine of the model is in service")
        request.first_choice = request.ranked_engine_ids[0]
        # The placement overrides; the protobuf message names them exceptions.
        cached_engine_id = request.view.exceptions.get(request.chat_hash)
        if cached_engine_id in weights:
            request.ranked_engine_ids.remove(cached_engine_id)
            request.ranked_engine_ids.insert(0, cached_engine_id)


class ClaimSlot:
    """Claims a slot from the node agent."""

    def __init__(self, link: AgentLink) -> None:
        self.link = link

    def run(self, request: ChatRequest) -> None:
        """Sets grant and engine of the request.

        Raises:
            CapacityError, DeadlineError, RateLimitError, NotReadyError: the request got no slot.
        """
        assert request.index is not None
        assert request.customer is not None
        statement = request.index.note.statement
        remaining_s = request.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise DeadlineError("the deadline passed before a slot was free")
        candidates = []
        for rank, engine_id in enumerate(request.ranked_engine_ids):
            engine = statement.engines[engine_id]
            recompute_s = request.prompt_tokens / engine.prefill_tokens_per_s if rank else 0.0
            candidates.append(Candidate(engine_id=engine_id, rebuild_s=recompute_s))
        grant = self.link.claim_slot(
            ClaimRequest(
                request_id=request.request_id,
                customer=request.customer_name,
                request_class=request.customer.request_class,
                deadline_s=remaining_s,
                candidates=candidates,
                chat_hash=request.chat_hash,
            ),
            statement,
        )
        granted = statement.engines.get(grant.engine_id)
        if granted is None:
            self.link.release_slot(grant)
            raise CapacityError("the granted engine is no longer in the release note")
        request.grant, request.engine = grant, granted


class SendToEngine:
    """Sends the request to the engine and relays the response."""

    def __init__(self, relay: EngineRelay) -> None:
        self.relay = relay

    def run(self, request: ChatRequest) -> None:
        """Sets the response.

        Raises:
            TanagerError: there is no complete response.
        """
        request.response = self.relay.send_request(request)


class SendWithRetries:
    """Claims slots and sends the request until an engine accepts it.

    A chat is retried only if it certainly did not run. Otherwise the first copy may still be using
    its slot at the engine while a second one runs.
    """

    def __init__(
        self,
        claim_slot: Stage,
        send_to_engine: Stage,
        link: AgentLink,
        retry_budget: "SharedRetryBudget",
        random: Random,
    ) -> None:
        self.claim_slot = claim_slot
        self.send_to_engine = send_to_engine
        self.link = link
        self.retry_budget = retry_budget
        self.random = random

    def run(self, request: ChatRequest) -> None:
        """Sets the response.

        Raises:
            TanagerError: the error of the last attempt that had a slot; that of the claim if there
                was none.
        """
        failure: TanagerError | None = None
        for attempt in range(MAX_ATTEMPTS):
            try:
                self.claim_slot.run(request)
            except RequestError:
                if failure is not None:
                    raise failure from None
                raise
            assert request.grant is not None
            if failure is None:
                self.retry_budget.record_request(request.grant.engine_id)
            elif not self.retry_budget.acquire_retry(request.grant.engine_id):
                self.link.release_slot(request.grant)
                raise failure
            try:
                self.send_to_engine.run(request)
                return
            except (BackendError, CapacityError, DeadlineError) as error:
                if not may_retry(error.outcome, repeatable=False):
                    raise
                failure = error
            request.ranked_engine_ids = [
                item for item in request.ranked_engine_ids if item != request.grant.engine_id
            ]
            delay_s = backoff_s(attempt + 1, self.random)
            if not request.ranked_engine_ids or time.monotonic() + delay_s >= request.deadline_s:
                break
            time.sleep(delay_s)
        assert failure is not None
        assert failure.outcome is Outcome.NOT_RUN
        raise failure


class SharedRetryBudget:
    """The retry budget of the process; safe to use from several threads."""

    def __init__(self, link: AgentLink, metrics: RouterMetrics) -> None:
        self.link = link
        self.metrics = metrics
        self.lock = threading.Lock()
        self.budget = RetryBudget(0.1)
        self.serial = 0

    def record_request(self, backend: str) -> None:
        """Counts a first attempt at a backend server."""
        with self.lock:
            self._apply_note()
            self.budget.record_request(backend)

    def acquire_retry(self, backend: str) -> bool:
        """Returns whether a retry may be sent to a backend server; counts it if so."""
        with self.lock:
            acquired = self.budget.acquire_retry(backend)
        (self.metrics.retries if acquired else self.metrics.retries_refused).add(1)
        return acquired

    def _apply_note(self) -> None:
        index = self.link.view.index
        if index is None or index.note.serial == self.serial:
            return
        self.serial = index.note.serial
        statement = index.note.statement
        self.budget.share = statement.rules.retry_budget_share
        backends = set(statement.engines)
        for service in statement.services.values():
            backends.update(server.address for server in service.servers.values())
        self.budget.retain_backends(backends)


def chat_stages(
    link: AgentLink, relay: EngineRelay, retry_budget: SharedRetryBudget, random: Random
) -> Sequence[Stage]:
    """Returns the pipeline stages of a chat request, in order."""
    attempts = SendWithRetries(ClaimSlot(link), SendToEngine(relay), link, retry_budget, random)
    return (Authenticate(link), ParseBody(), RankEngines(), attempts)
