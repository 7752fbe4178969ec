"""What differs between the platforms on which an edge process runs.

An adapter implements these protocols. It translates; it decides, remembers and retries nothing.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from tanagerworks.dispatch.choice import Prompt
from tanagerworks.edge.http_messages import HeaderList, RequestHead
from tanagerworks.published.model import Published, Route
from tanagerworks.published.replica import Change
from tanagerworks.settings.edge import EdgeSettings


@dataclass(frozen=True, slots=True)
class StorePage:
    """One page of the published store; `complete` is false when more pages follow."""

    items: tuple[Change, ...]
    revision: int
    complete: bool


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """Changes after a revision, up to `revision`; empty when there were none in time."""

    changes: tuple[Change, ...]
    revision: int


class PublishedStore(Protocol):
    """Source of the configuration and of the backend servers. Each call is one read."""

    async def list_page(self, after_key: str, timeout_s: float) -> StorePage:
        """Returns the items after a key, in the order of keys.

        Raises:
            PublishedStoreError: no usable answer within `timeout_s`.
        """

    async def wait_for_changes(self, revision: int, wait_s: float, timeout_s: float) -> ChangeSet:
        """Waits up to `wait_s` for changes after `revision`.

        Raises:
            HistoryLostError: the store has dropped that part of its history.
            PublishedStoreError: no usable answer within `timeout_s`.
        """

    def decode_item(self, change: Change) -> Published | None:
        """Returns the typed value of an item; None for keys of no interest."""


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request in the product's own terms."""

    call_id: str
    host: str
    path: str
    api_key: str | None
    # Time the caller will wait, from the arrival of the request; None when it does not say.
    deadline_s: float | None
    prompt: Prompt | None
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class BackendRequestContext:
    """What the fleet adds to a request for one backend server."""

    server_id: str
    customer: str | None
    remaining_s: float
    # 0 is the most urgent; None for services without priorities.
    priority_class: int | None
    last_event_id: str | None
    # `IP:PORT` of a server from which the prompt's cache can be copied.
    copy_from: str | None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the head of a backend server's answer says beyond its status."""

    # The server states that it has not run the request.
    not_run: bool
    # Another server has the address.
    wrong_server: bool
    call_id: str | None
    # The server vouches for the answer as its own.
    signed: bool
    # Requests running and waiting there, None if it does not tell.
    load: int | None


class CallerDialect(Protocol):
    """Reads callers' requests."""

    def parse_call(self, head: RequestHead) -> Call:
        """Returns the request in the product's terms.

        Raises:
            BadCallError: a header that must be understood cannot be.
        """


class BackendDialect(Protocol):
    """Writes requests to backend servers and reads their answers."""

    def request_headers(
        self, head: RequestHead, route: Route, context: BackendRequestContext
    ) -> HeaderList:
        """Returns the headers of the request for one server, without those of its framing."""

    def parse_response_head(self, status: int, headers: HeaderList) -> ResponseMetadata:
        """Returns what the head of an answer says."""

    def response_headers(self, headers: HeaderList) -> HeaderList:
        """Returns the headers of an answer that a caller gets, without those of its framing."""

    @property
    def cache_listing_target(self) -> str:
        """The target of a GET request for the parts of prompts that a server keeps."""

    def parse_cache_listing(self, body: bytes) -> list[int]:
        """Returns the keys of the parts in a listing.

        Raises:
            BackendProtocolError: the listing cannot be read.
        """


class PeerFinder(Protocol):
    """Names addresses at which other nodes may be; some may be down or wrong."""

    def seed_addresses(self) -> Sequence[str]:
        """Returns `IP:PORT` addresses of the peers' port."""

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Takes over changed settings."""
