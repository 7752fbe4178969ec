"""Protocols between an edge process and the platform it runs on.

A platform adapter implements them. It converts between the platform's wire formats and these
types; it keeps no state, makes no routing decisions and never retries.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from tanagerworks.dispatch.choice import Prompt
from tanagerworks.edge.http_messages import HeaderList, RequestHead
from tanagerworks.published.model import PublishedValue, Route
from tanagerworks.published.replica import Change
from tanagerworks.settings.edge import EdgeSettings


@dataclass(frozen=True, slots=True)
class StorePage:
    """One page of the published store; `complete` is false if more pages follow.

    `revision` is that of the store when it sent the page. Revisions are comparable within an era: a
    store that returns from an older copy starts a new one. The era is 0 if the page states none.
    """

    items: tuple[Change, ...]
    revision: int
    complete: bool
    era: int = 0


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """Changes after the requested revision up to `revision`; empty if the wait timed out.

    The era is that of `StorePage`.
    """

    changes: tuple[Change, ...]
    revision: int
    era: int = 0


class PublishedStore(Protocol):
    """Store that publishes the configuration and the backend servers.

    Each call of the asynchronous methods is one read of the store.
    """

    async def list_page(self, after_key: str, timeout_s: float) -> StorePage:
        """Returns the first items with keys greater than `after_key`, sorted by key.

        Raises:
            PublishedStoreError: no usable response within `timeout_s` seconds.
        """

    async def wait_for_changes(self, revision: int, wait_s: float, timeout_s: float) -> ChangeSet:
        """Returns the changes after `revision`; waits up to `wait_s` seconds for the first one.

        Raises:
            HistoryLostError: the changes after `revision` cannot be read, and the items have to be
                listed.
            PublishedStoreError: no usable response within `timeout_s` seconds.
        """

    def disconnect(self) -> None:
        """Closes the connection, if one is open; the next read opens another one."""

    def with_own_connection(self) -> "PublishedStore":
        """Returns another client of the store, whose reads do not wait for those of this one."""

    def decode_item(self, change: Change) -> PublishedValue | None:
        """Returns the typed value of an item, or None if the product does not use its key.

        `change` must not be a deletion.
        """


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request, independent of the platform's wire format."""

    call_id: str
    host: str
    path: str
    api_key: str | None
    # Seconds that the caller waits, counted from the arrival of the request; None if not stated.
    timeout_s: float | None
    prompt: Prompt | None
    last_event_id: str | None
    # Id of the caller's attempt that brought the first event of the stream that this one goes on
    # with; None if not stated.
    resumes: str | None = None


@dataclass(frozen=True, slots=True)
class BackendRequestContext:
    """What the edge process adds to a request when it sends it to a backend server."""

    server_id: str
    customer: str | None
    # Seconds within which the response has to be complete.
    remaining_s: float
    # 0 is the most urgent; None for services without priorities.
    priority_class: int | None
    last_event_id: str | None
    # `IP:PORT` of a server from which the cached prefix of the prompt can be transferred.
    copy_from: str | None


@dataclass(frozen=True, slots=True)
class ServerStatement:
    """What a server says of itself in a response."""

    # Requests running and queued at the server; None if not stated.
    load: int | None = None
    # The part of `load` that is queued.
    waiting: int = 0
    # How long work takes at the server now, as a multiple of the usual time; None if not stated.
    work_time_factor: float | None = None
    # The start of a stated load that cannot be believed, for the log; None otherwise.
    unreadable_load: str | None = None
    # Requests per second that the server takes from all nodes together; None without a limit.
    limit_per_s: float | None = None
    # Requests per second that the server can reject for want of room without falling over; None if
    # it states no such number.
    rejections_per_s: float | None = None
    # The server is leaving and wants no new requests.
    leaving: bool = False
    # Seconds for which the server wants no requests from this node; None if not stated.
    pause_s: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the headers of a backend server's response say, independent of the wire format."""

    # The server states that it has not run the request.
    not_run: bool
    # The request reached a server other than the one it was addressed to.
    wrong_server: bool
    call_id: str | None
    # The response carries the server's signature.
    signed: bool
    statement: ServerStatement

    @property
    def is_own(self) -> bool:
        """Whether the response comes from the server to which the request was addressed.

        Another process at its address neither signs a response nor knows the id of the request.
        """
        return not self.wrong_server and (self.signed or self.call_id is not None)


class CallerDialect(Protocol):
    """Parses callers' requests."""

    def parse_call(self, head: RequestHead) -> Call:
        """Returns the request, independent of the platform's wire format.

        Raises:
            BadCallError: a required header is missing or cannot be parsed.
        """


class BackendDialect(Protocol):
    """Builds the headers of requests to backend servers and parses their responses."""

    def request_headers(
        self, head: RequestHead, route: Route, context: BackendRequestContext
    ) -> HeaderList:
        """Returns the headers of the request for one server, without the framing headers."""

    def parse_response_head(self, status: int, headers: HeaderList) -> ResponseMetadata:
        """Returns the metadata in the status and the headers of a response."""

    def response_headers(self, headers: HeaderList) -> HeaderList:
        """Returns the headers of the response for the caller, without the framing headers."""

    @property
    def cache_listing_target(self) -> str:
        """Target of the GET request that lists the prompt parts in a server's cache."""

    def parse_cache_listing(self, body: bytes) -> list[int]:
        """Returns the keys of the prompt parts in a cache listing.

        Raises:
            BackendProtocolError: the listing cannot be parsed.
        """


class PeerFinder(Protocol):
    """Finds addresses of other nodes; nodes at some of them may be down or absent."""

    def seed_addresses(self) -> Sequence[str]:
        """Returns `IP:PORT` addresses of the peer ports of other nodes."""

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Applies reloaded settings, such as the seed addresses."""
