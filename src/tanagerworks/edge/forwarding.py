"""Forwards requests that a node can send to no server to nodes that can.

The node is cut off from all servers, or leaves servers that must not get too many requests at once
to other nodes.
The node that a request is forwarded to serves it like that of a caller: it chooses the server,
keeps the fleet's limits and budgets, and retries. It never forwards a request again.
"""

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Set
from dataclasses import replace

import h11

from tanagerworks.dispatch.directory import ServerProcess
from tanagerworks.dispatch.forwarding import choose_node
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.answer_check import check_answer
from tanagerworks.edge.backend_connection import BackendConnection, open_connection
from tanagerworks.edge.exchange import BackendExchange
from tanagerworks.edge.forwarded_headers import (
    ForwardedRequest,
    parse_error,
    take_software,
    without_forwarding,
)
from tanagerworks.edge.http_messages import HeaderList, end_to_end_headers, find_header
from tanagerworks.edge.interfaces import ResponseMetadata
from tanagerworks.edge.reachability_check import CONNECT_TIMEOUT_S
from tanagerworks.edge.request_state import (
    RESPONSE_MARGIN_S,
    Attempt,
    BackendResponse,
    RequestState,
)
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import (
    BackendConnectError,
    BackendDisconnectedError,
    BackendError,
    BackendTimeoutError,
    ForwardingRefusedError,
    ServersUnreachableError,
)
from tanagerworks.membership.peer_table import Peer
from tanagerworks.outcome import Outcome
from tanagerworks.published.model import ServerEntry

_LOGGER = logging.getLogger(__name__)

# Nodes to which one request is forwarded, one after the other, at most.
_MAX_NODES = 3
_RETRY_AFTER = b"retry-after"
# Retry-After if no node serves a request, and a random factor so that callers do not return
# together.
_RETRY_AFTER_S = 1.0
_RETRY_AFTER_SPREAD = (0.5, 1.5)
# Longest time that a node is believed to ask callers to stay away.
_MAX_RETRY_AFTER_S = 60.0


class ForwardingExchange(BackendExchange):
    """Runs attempts at other nodes in place of servers; `attempt.state` stands for the node.

    The other node records what concerns servers: loads, health, cached parts and budgets.
    """

    async def _acquire_connection(
        self, request: RequestState, state: ServerState
    ) -> BackendConnection:
        return await open_connection(state.entry.host, state.entry.port, CONNECT_TIMEOUT_S)

    def _release_connection(
        self, state: ServerState, connection: BackendConnection, headers: HeaderList
    ) -> None:
        connection.close()

    def _record_disconnect(self, state: ServerState) -> None:
        pass

    def _check_accepts_work(self, attempt: Attempt) -> None:
        """Every node that is chosen accepts requests, or refuses them itself."""

    def _request_headers(self, request: RequestState, attempt: Attempt, now_s: float) -> HeaderList:
        forwarded = ForwardedRequest(
            self.dispatcher.name,
            request.deadline_s - now_s - RESPONSE_MARGIN_S,
            self.dispatcher.version,
            # The attempt that begins counts at the other node.
            request.send_count,
            frozenset(request.sent_to),
            request.last_event_id,
            request.dispatch_request.software_version,
        )
        headers = end_to_end_headers(without_forwarding(request.head).headers)
        return [*headers, *forwarded.to_headers()]

    def _record_sent(self, request: RequestState, state: ServerState, now_s: float) -> None:
        pass

    def _parse_head(
        self, request: RequestState, attempt: Attempt, event: h11.Response, is_new: bool
    ) -> tuple[HeaderList, ResponseMetadata]:
        headers = list(event.headers)
        node_error = parse_error(headers)
        if node_error is not None:
            message = f"node {request.forwarded_to}: {node_error.code}"
            if node_error.outcome is Outcome.NOT_RUN:
                refusal = ForwardingRefusedError(message)
                refusal.retry_after_s = _parse_seconds(find_header(headers, _RETRY_AFTER))
                raise refusal
            failure = BackendError(message, outcome=node_error.outcome)
            failure.status = event.status_code
            raise failure
        headers, version = take_software(headers)
        if version is None:
            raise ForwardingRefusedError(
                f"node {request.forwarded_to} rejected the request with {event.status_code}"
            )
        attempt.state.entry = replace(attempt.state.entry, version=version)
        metadata = self.backend_dialect.parse_response_head(event.status_code, headers)
        check_answer(request.call.call_id, event.status_code, headers, metadata, is_new)
        return headers, metadata

    def _handle_server_error(
        self, request: RequestState, attempt: Attempt, response: BackendResponse, complete: bool
    ) -> None:
        """The other node has decided that the caller gets this response."""

    def _can_move(self, request: RequestState) -> bool:
        """Whether the other node has fallen silent; otherwise it watches over the server."""
        now_s = asyncio.get_running_loop().time()
        peer = self.dispatcher.peer_table.peers.get(request.forwarded_to)
        return self._can_retry(request) and not (peer is not None and peer.is_live(now_s))

    def _record_answer(self, request: RequestState, attempt: Attempt) -> None:
        attempt.answer_under_way = True

    def _serving_process(self, attempt: Attempt) -> ServerProcess | None:
        return None


class RequestForwarder:
    """Chooses nodes for the requests that this node cannot send to servers."""

    def __init__(self, exchange: ForwardingExchange, zone: str, metrics: EdgeMetrics) -> None:
        self.exchange = exchange
        self.metrics = metrics
        self.dispatcher = exchange.dispatcher
        self.zone = zone
        self.random = random.Random()
        # Forwarded requests in progress, by node.
        self.in_progress: Counter[str] = Counter()

    async def forward(self, request: RequestState, names: Set[str] | None = None) -> str:
        """Forwards a request and relays the response; returns its result as of `run_attempt`.

        `names` are the nodes that may get it; None for all that reach servers.

        Raises:
            ServersUnreachableError: no node takes the request; no server has got it.
            BackendError: a node failed, and the request may have run.
        """
        tried: set[str] = set()
        refusal: BackendError | None = None
        while len(tried) < _MAX_NODES:
            now_s = asyncio.get_running_loop().time()
            peers = self.dispatcher.peer_table.forwarding_peers(now_s)
            peer = choose_node(
                [peer for peer in peers if names is None or peer.name in names],
                self.zone,
                tried,
                self.in_progress,
                self.random,
            )
            if peer is None:
                break
            tried.add(peer.name)
            sends = request.send_count
            try:
                return await self._run_attempt(request, peer)
            except (BackendConnectError, ForwardingRefusedError) as error:
                request.send_count = sends
                refusal = error
            except (BackendDisconnectedError, BackendTimeoutError) as error:
                request.executed_error = error
                if not self._may_repeat(request):
                    raise
        if request.executed_error is not None:
            raise request.executed_error
        reason = refusal.message if refusal is not None else "no other node can"
        failure = ServersUnreachableError(f"this node may send to no server; {reason}")
        failure.retry_after_s = _RETRY_AFTER_S * self.random.uniform(*_RETRY_AFTER_SPREAD)
        if refusal is not None and refusal.retry_after_s is not None:
            failure.retry_after_s = refusal.retry_after_s
        raise failure

    def _may_repeat(self, request: RequestState) -> bool:
        """Whether a request may be sent once more after the node that had it has ended."""
        if not request.is_retryable() or request.send_count >= request.route.max_attempts:
            return False
        if request.responder.started and request.event_splitter is None:
            return False
        now_s = asyncio.get_running_loop().time()
        return self.dispatcher.acquire_retry(request.service, now_s)

    async def _run_attempt(self, request: RequestState, peer: Peer) -> str:
        now_s = asyncio.get_running_loop().time()
        request.forwarded_to = peer.name
        attempt = Attempt(ServerState(_node_entry(request, peer), now_s), 0, now_s, None)
        self.in_progress[peer.name] += 1
        try:
            result = await self.exchange.run_attempt(request, attempt)
            self.metrics.record_forwarded(request.service, result)
            return result
        except BackendError as error:
            self.metrics.record_forwarded(request.service, error.code)
            _LOGGER.warning(
                "request not served by another node",
                extra={
                    "call": request.call.call_id,
                    "peer": peer.name,
                    "error": error.code,
                    "reason": error.message,
                    "outcome": error.outcome.value,
                },
            )
            raise
        finally:
            self.in_progress[peer.name] -= 1
            if request.event_splitter is not None:
                request.event_splitter.discard_partial_event()


def _node_entry(request: RequestState, peer: Peer) -> ServerEntry:
    """Returns the entry of a server that stands for a node."""
    host = peer.address.rpartition(":")[0]
    return ServerEntry(
        peer.name, request.service, host, peer.forwarding_port, peer.zone, 1, False, 0.0, None
    )


def _parse_seconds(value: bytes | None) -> float | None:
    try:
        return min(_MAX_RETRY_AFTER_S, max(0.0, float(value))) if value is not None else None
    except ValueError:
        return None
