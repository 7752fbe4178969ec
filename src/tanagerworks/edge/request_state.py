"""State of one request in an edge process and of its attempts at backend servers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from tanagerworks.dispatch.dispatcher import DispatchRequest
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.dispatch.shutdown import Expectation
from tanagerworks.edge.event_stream import EventSplitter
from tanagerworks.edge.http_messages import HeaderList, RequestHead
from tanagerworks.edge.http_server import Responder
from tanagerworks.edge.interfaces import Call, ResponseMetadata
from tanagerworks.errors import BackendError
from tanagerworks.published.model import ExecutionSemantics, Route

# Reserved at the end of a request's deadline to deliver the response to the caller.
RESPONSE_MARGIN_S = 0.005
# Time after its first event in which the end of a server may be due to the start of an answer.
ANSWER_START_S = 0.1
# Ids of prompt parts in one log record.
MAX_LOGGED_PARTS = 16
# Ids of suspects of a crash in one log record.
MAX_LOGGED_SUSPECTS = 32
# Characters of the id of a prompt part in a log record; callers choose the ids.
MAX_LOGGED_ID_LENGTH = 64


class RequestKind(Enum):
    """Label of a request in metrics: kind of response and whether it may run twice."""

    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"
    IDEMPOTENT = "idempotent"
    ONCE = "once"


class RetryDenial(Enum):
    """Why a request that failed at one server is not retried at another one."""

    MAY_HAVE_RUN = "it may have run and must not run twice"
    HAS_RUN = "it has run and must not run twice"
    ANSWER_BEGUN = "the answer has begun"
    ATTEMPTS_USED = "the route allows no more attempts"
    NO_TIME = "no time is left"
    BUDGET_USED = "the budget of repeats is used up"
    ORIGIN_IN_DOUBT = "the server may have run another software version than its entry said"
    OTHER_ATTEMPT = "another attempt is in progress or has answered"


@dataclass(slots=True)
class RequestState:
    """One request; the stages of the pipeline update it.

    `arrived_s` and `deadline_s` are in seconds of the event loop's clock.
    """

    head: RequestHead
    body: bytes
    responder: Responder
    arrived_s: float
    call: Call
    route: Route
    customer: str | None
    priority: int
    service: str
    # When the timeout of the caller or of the route expires, whichever is earlier.
    deadline_s: float
    dispatch_request: DispatchRequest
    # Attempts whose request was written to a server, except those that reached a wrong server.
    send_count: int = 0
    # Whether the retry budget has counted the request.
    in_retry_budget: bool = False
    # Server of the latest attempt; "" before the first.
    server_id: str = ""
    # Ids of the servers to which the request was written.
    sent_to: set[str] = field(default_factory=set)
    # Name of the node that forwarded the request to this one; None if a caller sent it here.
    forwarded_by: str | None = None
    # Name of the node to which this one forwarded it last; "" if it did not.
    forwarded_to: str = ""
    event_splitter: EventSplitter | None = None
    # Content-Type of the response that has begun; empty before that or if it has none.
    content_type: bytes = b""
    # Status of the server's response that the caller got, and seconds from the arrival of the
    # request to the head of that response; None if the caller got no server's response.
    status: int | None = None
    first_byte_s: float | None = None
    # The last buffered 5xx response, and the error of the last attempt that may have run the
    # request.
    error_response: "BackendResponse | None" = None
    executed_error: BackendError | None = None
    # What was last assumed of a request that had not been sent when the stop signal came.
    expectation: Expectation | None = None

    @property
    def kind(self) -> RequestKind:
        """Kind of the request, derived from its route."""
        if self.route.streams:
            return RequestKind.RESUMABLE_STREAM if self.route.resumable else RequestKind.STREAM
        if self.route.execution is ExecutionSemantics.IDEMPOTENT:
            return RequestKind.IDEMPOTENT
        return RequestKind.ONCE

    @property
    def goes_on_with_stream(self) -> bool:
        """Whether the caller has events of the stream from an earlier attempt."""
        return self.event_splitter is not None and self.call.last_event_id is not None

    @property
    def last_event_id(self) -> str | None:
        """Id of the last complete event that the caller has; None if it has none."""
        if self.event_splitter is not None:
            return self.event_splitter.last_event_id
        return self.call.last_event_id

    def is_retryable(self) -> bool:
        """Whether the request may be retried even if a server may have run it."""
        return is_retryable_route(self.route)


def is_retryable_route(route: Route) -> bool:
    """Whether requests of a route may be retried even if a server may have run them."""
    if route.streams:
        return route.resumable
    return route.execution is ExecutionSemantics.IDEMPOTENT


@dataclass(slots=True)
class BackendResponse:
    """A response of a backend server; `body` is filled in once it has been read completely."""

    status: int
    headers: HeaderList
    body: bytes = b""
    metadata: ResponseMetadata | None = None
    # Software version of the server.
    software_version: str = ""


@dataclass(slots=True)
class Attempt:
    """One attempt to run a request at one server."""

    state: ServerState
    # Prompt tokens that the server has to prefill.
    prefill_tokens: int
    # Event loop time at which the request was written; the start of the attempt until then.
    sent_s: float
    # `IP:PORT` of a server from which the cached prefix of the prompt can be transferred.
    copy_from: str | None
    # Whether `prefill_tokens` are included in the server's pending prefill.
    prefill_counted: bool = True
    # Whether the attempt counts as a failure of the server.
    failed: bool = False
    # Event loop time of the first complete event of a stream.
    first_event_s: float | None = None
    # Whether the server has outlived the start of its answer: the response is complete, or events
    # have arrived for `ANSWER_START_S`.
    answer_under_way: bool = False
    # Event loop time of the last complete event of a stream, or of the response head before it.
    last_event_s: float = 0.0
    # Buffered 5xx responses of the server.
    responses: list[BackendResponse] = field(default_factory=list)
    # Whether the server was chosen although it is out of service.
    last_resort: bool = False
    # Set while another attempt of the same request is in progress: returns whether this one may
    # answer the caller. Called when a good response has been buffered.
    claim_answer: Callable[[], bool] | None = None
    # Whether the attempt has been subtracted from the load of its server.
    ended: bool = False

    def end_prefill(self) -> None:
        """Subtracts the prompt from the server's pending prefill; later calls have no effect."""
        if self.prefill_counted:
            self.prefill_counted = False
            self.state.subtract_prefill_tokens(self.prefill_tokens)
