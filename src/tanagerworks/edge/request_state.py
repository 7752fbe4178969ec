"""One request on its way through an edge process, and its attempts at backend servers."""

from dataclasses import dataclass, field
from enum import Enum

from tanagerworks.dispatch.dispatcher import Demand
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.event_stream import EventSplitter
from tanagerworks.edge.http_messages import HeaderList, RequestHead
from tanagerworks.edge.http_server import Responder
from tanagerworks.edge.interfaces import Call, ResponseMetadata
from tanagerworks.published.model import Repeat, Route

# Part of the time left that is kept for the way back to the caller.
RESPONSE_MARGIN_S = 0.005


class RequestKind(Enum):
    """What a request is for metrics: its answer and whether it may run again."""

    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"
    IDEMPOTENT = "idempotent"
    ONCE = "once"


class RetryDenial(Enum):
    """Why a request that failed at a server is not sent to another one."""

    MAY_HAVE_RUN = "it may have run and must not run twice"
    HAS_RUN = "it has run and must not run twice"
    ANSWER_BEGUN = "the answer has begun"
    ATTEMPTS_USED = "the route allows no more attempts"
    NO_TIME = "no time is left"
    BUDGET_USED = "the budget of repeats is used up"


@dataclass(slots=True)
class RequestState:
    """One request on its way; stages fill it in."""

    head: RequestHead
    body: bytes
    responder: Responder
    arrived_s: float
    call: Call
    route: Route
    customer: str | None
    priority: int
    service: str
    # Steady time at which the caller or the route gives up.
    deadline_s: float
    demand: Demand
    send_count: int = 0
    server_id: str = ""
    event_splitter: EventSplitter | None = None
    # Status that the caller got from a server and the time until its head; None without.
    status: int | None = None
    first_byte_s: float | None = None

    @property
    def kind(self) -> RequestKind:
        """What the request is, by its route."""
        if self.route.streams:
            return RequestKind.RESUMABLE_STREAM if self.route.resumable else RequestKind.STREAM
        if self.route.repeat is Repeat.IDEMPOTENT:
            return RequestKind.IDEMPOTENT
        return RequestKind.ONCE

    def is_retryable(self) -> bool:
        """Whether the request may run again although it may have run."""
        if self.route.streams:
            return self.route.resumable
        return self.route.repeat is Repeat.IDEMPOTENT


@dataclass(slots=True)
class BackendResponse:
    """An answer of a backend server that has been read whole."""

    status: int
    headers: HeaderList
    body: bytes = b""
    metadata: ResponseMetadata | None = None


@dataclass(slots=True)
class Attempt:
    """One send of a request to one server."""

    state: ServerState
    prefill_tokens: int
    sent_s: float
    copy_from: str | None
    prefill_counted: bool = True
    failed: bool = False
    responses: list[BackendResponse] = field(default_factory=list)

    def record_response_start(self) -> None:
        """Counts the prompt as read; further calls do nothing."""
        if self.prefill_counted:
            self.prefill_counted = False
            self.state.answer_began(self.prefill_tokens)
