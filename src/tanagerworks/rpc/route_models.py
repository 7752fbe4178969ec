"""Documents of ``POST /route`` at the administration address of an edge process.

``tanagerctl route`` sends a `RouteQuestion` and prints the `RouteAnswer`. An answer never contains
an API key. Times are in seconds; a value of None is unknown unless the field says otherwise.
"""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from tanagerworks.fields import Name

# As for the prompts of callers.
_MAX_PROMPT_TOKENS = 10_000_000
_MAX_PARTS = 256
# Entries of each list of servers in an answer.
MAX_LISTED_SERVERS = 64

_Id = Annotated[str, Field(min_length=1, max_length=256)]


class RouteModel(BaseModel):
    """Base of the documents: unknown fields are errors and values are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class QuestionPart(RouteModel):
    """One part of the prompt."""

    part_id: _Id
    tokens: int = Field(ge=0, le=_MAX_PROMPT_TOKENS)


class RouteQuestion(RouteModel):
    """A request whose server is asked for, with the customer's name or API key, or neither."""

    method: str = Field(default="GET", pattern=r"^[A-Z]{1,16}$")
    host: str = Field(min_length=1, max_length=255)
    path: str = Field(pattern=r"^/", max_length=8_192)
    customer: Name | None = None
    api_key: str | None = Field(default=None, min_length=1, max_length=512)
    model: str = Field(default="", max_length=256)
    parts: tuple[QuestionPart, ...] = Field(default=(), max_length=_MAX_PARTS)
    # Last event that the caller has of a stream, and the attempt that brought the first one.
    last_event_id: _Id | None = None
    resumes: _Id | None = None
    timeout_s: float | None = Field(default=None, gt=0)

    @model_validator(mode="after")
    def _check_customer_and_tokens(self) -> "RouteQuestion":
        if self.customer is not None and self.api_key is not None:
            raise ValueError("customer and api_key exclude each other")
        if sum(part.tokens for part in self.parts) > _MAX_PROMPT_TOKENS:
            raise ValueError(f"the parts have more than {_MAX_PROMPT_TOKENS} tokens")
        return self


class Limits(RouteModel):
    """Limits that apply to the request."""

    timeout_s: float
    max_attempts: int
    max_body_bytes: int
    # Connections that the fleet may open to one server; 0 without a limit.
    max_connections: int
    # Requests a second that a cold server accepts; 0 without a limit.
    cold_requests_per_s: float
    # What this node may take now from the retry budget of the service.
    retries_left: int


class ListedCandidate(RouteModel):
    """A server that was compared; the score is in prompt tokens or, for plain services, seconds."""

    server: str
    zone: str
    chosen: bool
    load: int
    slots: int
    score: float
    # Summands of the score by name.
    parts: dict[str, float]
    uncached_tokens: int
    # Age of the youngest load that the server reported to any node.
    reported_age_s: float | None


class LeftOutServer(RouteModel):
    """A server of the service that was not compared, with the reason."""

    server: str
    zone: str
    reason: str


class QueueState(RouteModel):
    """Requests that wait for the service."""

    here: int
    # Those waiting at this node that are at least as urgent.
    ahead: int
    at_peers: int
    # Expected wait of a request that cannot be sent now.
    expected_wait_s: float


class SecondServer(RouteModel):
    """Whether a second server would be asked for a late answer."""

    asked: bool
    reason: str
    # Time after which the answer is late.
    after_s: float | None = None


class KnowledgeAges(RouteModel):
    """How old the knowledge is on which the choice rests."""

    store_copy_s: float | None
    live_peers: int
    # The live peer that was not heard of for longest; None without peers.
    oldest_peer_s: float | None


class RouteAnswer(RouteModel):
    """Where a request would go now, and why."""

    node: str
    configuration: int
    route: str
    customer: str | None
    priority: int
    service: str
    # Shares of the route's services; one is drawn for each request if there are several.
    services: dict[str, float]
    limits: Limits
    # Software version that the request is bound to; None for any.
    software_version: str | None
    # What is done with the request, in words, and the name of that placement.
    placement: str
    outcome: str
    # Server chosen now; None if there is none.
    server: str | None
    reason: str
    copy_from: str | None
    last_resort: bool
    candidates: tuple[ListedCandidate, ...] = Field(max_length=MAX_LISTED_SERVERS)
    left_out: tuple[LeftOutServer, ...] = Field(max_length=MAX_LISTED_SERVERS)
    # Servers of the service that neither list contains.
    unlisted_servers: int
    queue: QueueState
    second_server: SecondServer
    ages: KnowledgeAges
