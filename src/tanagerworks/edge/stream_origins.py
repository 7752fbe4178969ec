"""The software versions at which resumable streams began, shared between nodes.

A caller whose stream broke off comes back to any node and names the attempt that brought the first
event. While the servers of a service run several versions, or may have run several lately, or the
store does not answer, a node tells some peers at once about each stream that begins; they are found
by rendezvous hashing, so any node knows whom to ask. In the next round it tells all others, so that
any node that is left can answer, unless the fleet is too large for that. A node that has just
started copies what its peers know. While it is known that there is one version, nothing is sent.

The version is that of the server's entry. A server that starts again under its id may run another
one until its new entry arrives; then the versions of the streams that began there shortly before
are in doubt, and the peers are told so.
"""

import asyncio
import contextlib
import logging
import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from tanagerworks.dispatch.directory import ServerProcess
from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.errors import PeerError
from tanagerworks.membership.addresses import parse_address
from tanagerworks.membership.peer_table import Peer
from tanagerworks.routing.ranking import rank_equally
from tanagerworks.rpc.edge_pb2 import NodeState, StreamOrigins, VersionStreams

_LOGGER = logging.getLogger(__name__)

# Peers that are told about a stream at once. With a third of the nodes lost, one stream in 27 is
# unknown to those that are left, if the others have not been told either.
_HOLDERS = 3
# All peers are told if that takes at most this rate, and a datagram at most so often.
_MAX_BYTES_PER_S = 5_000.0
_MAX_DATAGRAMS_PER_S = 50.0
# Bytes of a datagram with its IP and UDP headers, besides those of its streams.
_DATAGRAM_BYTES = 42
_STREAM_BYTES = 8
# Longest and shortest time over which the rate is taken at which streams begin here.
_RATE_WINDOW_S = 5.0
_MIN_RATE_WINDOW_S = 1.0
_MAX_RATE_SAMPLES = 1_000
# A caller that takes a stream up comes back within this multiple of its route's timeout.
_TAKE_UP_PER_TIMEOUT = 1.5
# A server that has started may serve for this time before the store has its entry.
_MAX_ENTRY_DELAY_S = 3.0
# Peers that are asked about a stream: more, since the fleet may have changed in the meantime.
_ASKED_PEERS = 6
# Time for the answers. Peers answer within milliseconds; a lost one does not answer.
_ANSWER_TIMEOUT_S = 0.1
# Age of the copy of the store from which this node, and probably its peers, cannot read the store.
# They read it themselves before, if they can.
_MAX_COPY_AGE_S = 2.0
# Streams kept in memory; at 40 streams a second, those of several minutes.
_MAX_STREAMS = 20_000
# Streams in one datagram, at 8 bytes each.
_STREAMS_PER_DATAGRAM = 128


@dataclass(slots=True)
class _Origin:
    """Where a stream began, as this node recorded it at an event loop time."""

    # None while it is in doubt.
    version: str | None
    recorded_s: float
    # Service of a stream that this node began or went on with; None if a peer reported it.
    service: str | None = None
    shared: bool = False
    # What served the stream when it began here, as far as this node knows.
    process: ServerProcess | None = None


@dataclass(slots=True)
class _Question:
    """A stream that peers have been asked about."""

    # Set once a peer knows the stream, or none does.
    answered: asyncio.Event
    # Addresses of the peers that have not answered.
    unanswered: set[tuple[str, int]]


class StreamOriginTable:
    """What one node knows of the streams' versions; asks and answers its peers."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        # Sends a datagram to an address.
        self.send: Callable[[bytes, tuple[str, int]], None] = lambda _data, _address: None
        # By `stream_key`, the latest last.
        self.origins: dict[int, _Origin] = {}
        self.questions: dict[int, _Question] = {}
        # Streams that began here while a record of them was not needed.
        self.unshared: dict[int, None] = {}
        # Streams that some peers have not been told about, and when all were last told.
        self.untold: list[int] = []
        self.told_at_s = -math.inf
        # Streams in doubt of which peers are still to be told, and those of which they were told in
        # the last round. They are told twice, as a datagram may be lost.
        self.doubted: list[int] = []
        self.retracted: list[int] = []
        # When the last streams began here.
        self.begun_s: deque[float] = deque(maxlen=_MAX_RATE_SAMPLES)

    def record_begin(
        self,
        attempt_id: str,
        service: str,
        version: str,
        process: ServerProcess | None = None,
    ) -> None:
        """Records at which version an attempt's stream began, and tells peers if they must know.

        Also called when the stream goes on, since some of the peers that were told may be gone.
        `process` is that of the server whose entry has the version, None if it is not known.
        """
        now_s = asyncio.get_running_loop().time()
        key = stream_key(attempt_id)
        self._add(key, _Origin(version, now_s, service, process=process))
        self.begun_s.append(now_s)
        if self._must_share(service, now_s):
            self._share([key], now_s)
        else:
            self.unshared[key] = None

    def share(self) -> None:
        """Tells peers what they may have to know; called in each round of messages."""
        now_s = asyncio.get_running_loop().time()
        self._drop_expired(now_s)
        self._doubt_replaced()
        self._retract(self.retracted + self.doubted, now_s)
        self.retracted, self.doubted = self.doubted, []
        self._share_unshared(now_s)
        self._tell_all(now_s)

    def _share_unshared(self, now_s: float) -> None:
        """Tells peers about streams that began while a record of them was not needed."""
        unshared = {key: self.origins[key] for key in self.unshared if key in self.origins}
        services = {origin.service for origin in unshared.values()}
        shared_services = {
            service
            for service in services
            if service is not None and self._must_share(service, now_s)
        }
        shared = [key for key, origin in unshared.items() if origin.service in shared_services]
        self._share(shared, now_s)
        self.unshared = {key: None for key in unshared if not self.origins[key].shared}

    def _tell_all(self, now_s: float) -> None:
        """Tells all peers about the streams that some of them do not know yet.

        In a large fleet, only the peers that are found by hashing are told.
        """
        if not self.untold:
            return
        addresses = [
            parse_address(peer.address) for peer in self.dispatcher.peer_table.live_peers(now_s)
        ]
        if now_s - self.told_at_s < len(addresses) / _MAX_DATAGRAMS_PER_S:
            return
        untold, self.untold = self.untold, []
        self.told_at_s = now_s
        if not self._can_tell_all(len(addresses), now_s):
            return
        for known in self._recent_streams(untold, now_s):
            message = StreamOrigins(known=[known])
            for address in addresses:
                self._send(message, address)

    def _can_tell_all(self, peers: int, now_s: float) -> bool:
        """Whether telling all peers of each stream stays below the rate allowed for it."""
        while self.begun_s and self.begun_s[0] < now_s - _RATE_WINDOW_S:
            self.begun_s.popleft()
        window_s = max(_MIN_RATE_WINDOW_S, now_s - self.begun_s[0]) if self.begun_s else math.inf
        streams_per_s = len(self.begun_s) / window_s
        datagrams_per_s = min(_MAX_DATAGRAMS_PER_S, peers * streams_per_s)
        bytes_per_s = datagrams_per_s * _DATAGRAM_BYTES + peers * streams_per_s * _STREAM_BYTES
        return bytes_per_s <= _MAX_BYTES_PER_S

    def recent_streams(self) -> Iterable[VersionStreams]:
        """Yields all shared streams that a caller may still take up, a batch for each message."""
        shared = [key for key, origin in self.origins.items() if origin.shared]
        return self._recent_streams(shared, asyncio.get_running_loop().time())

    def _recent_streams(self, keys: Iterable[int], now_s: float) -> Iterable[VersionStreams]:
        """Yields those of some streams that a caller may still take up, by version."""
        since_s = now_s - _TAKE_UP_PER_TIMEOUT * self._longest_timeout_s()
        by_version: dict[str, list[int]] = {}
        for key in keys:
            origin = self.origins.get(key)
            if origin is None or origin.version is None:
                continue
            if origin.recorded_s >= since_s:
                by_version.setdefault(origin.version, []).append(key)
        for version, streams_of_version in by_version.items():
            for batch in _batches(streams_of_version):
                yield VersionStreams(version=version, streams=batch)

    def _longest_timeout_s(self) -> float:
        """Returns the longest timeout of a route with resumable streams; infinite if unknown."""
        configuration = self.dispatcher.configuration
        if configuration is None:
            return math.inf
        timeouts = (route.timeout_s for route in configuration.routes if route.resumable)
        return max(timeouts, default=0.0)

    def known_version(self, attempt_id: str) -> str | None:
        """Returns the version at which an attempt's stream began, if this node knows it."""
        self._doubt_replaced()
        origin = self.origins.get(stream_key(attempt_id))
        return origin.version if origin is not None else None

    def is_in_doubt(self, attempt_id: str) -> bool:
        """Whether the version at which an attempt's stream began is not known any more."""
        self._doubt_replaced()
        origin = self.origins.get(stream_key(attempt_id))
        return origin is not None and origin.version is None

    def _doubt_replaced(self) -> None:
        """Puts the streams in doubt that may have begun at a process whose entry came later."""
        replaced_processes = self.dispatcher.directory.replaced_processes
        while replaced_processes:
            replaced = replaced_processes.popleft()
            since_s = replaced.since_s - _MAX_ENTRY_DELAY_S
            doubted = [
                key
                for key, origin in self.origins.items()
                if origin.process == replaced.process
                and origin.recorded_s >= since_s
                and origin.version is not None
            ]
            for key in doubted:
                self.origins[key].version = None
            _LOGGER.warning(
                "server runs another software version under its id",
                extra={"server": replaced.process.server_id, "streams_in_doubt": len(doubted)},
            )
            self.doubted += doubted

    def _retract(self, keys: Sequence[int], now_s: float) -> None:
        """Tells all peers that the versions of streams are in doubt."""
        if not keys:
            return
        peers = self.dispatcher.peer_table.live_peers(now_s)
        addresses = [parse_address(peer.address) for peer in peers]
        for batch in _batches(keys):
            for address in addresses:
                self._send(StreamOrigins(in_doubt=batch), address)

    async def find_version(self, attempt_id: str) -> str | None:
        """Returns the version at which an attempt's stream began, or None if nobody knows it.

        Asks peers if this node does not know it.
        """
        key = stream_key(attempt_id)
        if key not in self.origins:
            await self._ask_peers(key)
        return self.known_version(attempt_id)

    def receive(self, message: StreamOrigins, sender: tuple[str, int]) -> None:
        """Records what a peer tells, and answers what it asks."""
        for known in message.known:
            self.merge(known)
        self._record_doubt(message.in_doubt[:_STREAMS_PER_DATAGRAM])
        for key in message.unknown:
            question = self.questions.get(key)
            if question is None:
                continue
            question.unanswered.discard(sender)
            if not question.unanswered:
                question.answered.set()
        if not message.asked:
            return
        answer = StreamOrigins()
        self._doubt_replaced()
        for key in message.asked[:_STREAMS_PER_DATAGRAM]:
            origin = self.origins.get(key)
            if origin is None or origin.version is None:
                answer.unknown.append(key)
            else:
                answer.known.append(VersionStreams(version=origin.version, streams=[key]))
        self._send(answer, sender)

    def merge(self, known: VersionStreams) -> None:
        """Records what a peer knows of streams, unless this node knows it already."""
        now_s = asyncio.get_running_loop().time()
        for key in known.streams:
            if key not in self.origins:
                self._add(key, _Origin(known.version, now_s, shared=True))
            if key in self.questions:
                self.questions[key].answered.set()

    def _record_doubt(self, keys: Iterable[int]) -> None:
        """Records that a peer does not know the versions of streams any more."""
        now_s = asyncio.get_running_loop().time()
        for key in keys:
            self._add(key, _Origin(None, now_s, shared=True))

    async def _ask_peers(self, key: int) -> None:
        """Returns once a peer knows the stream, all say that they do not, or time is up."""
        if key not in self.questions:
            now_s = asyncio.get_running_loop().time()
            addresses = [
                parse_address(peer.address) for peer in self._ranked_peers(key, _ASKED_PEERS, now_s)
            ]
            if not addresses:
                return
            self.questions[key] = _Question(asyncio.Event(), set(addresses))
            for address in addresses:
                self._send(StreamOrigins(asked=[key]), address)
        question = self.questions[key]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await question.answered.wait()
        self.questions.pop(key, None)

    def _share(self, keys: Iterable[int], now_s: float) -> None:
        by_address: dict[tuple[str, int], dict[str, list[int]]] = {}
        for key in keys:
            origin = self.origins[key]
            origin.shared = True
            if origin.version is None:
                continue
            self.untold.append(key)
            for peer in self._ranked_peers(key, _HOLDERS, now_s):
                streams = by_address.setdefault(parse_address(peer.address), {})
                streams.setdefault(origin.version, []).append(key)
        for address, by_version in by_address.items():
            for version, streams_of_version in by_version.items():
                for batch in _batches(streams_of_version):
                    known = [VersionStreams(version=version, streams=batch)]
                    self._send(StreamOrigins(known=known), address)

    def _ranked_peers(self, key: int, count: int, now_s: float) -> list[Peer]:
        """Returns the live peers that come first in the ranking for a stream."""
        live = {peer.name: peer for peer in self.dispatcher.peer_table.live_peers(now_s)}
        return [live[name] for name in rank_equally(f"{key:x}", live, count)]

    def _must_share(self, service: str, now_s: float) -> bool:
        """Whether the version of a stream cannot be told without a record of it.

        A peer that cannot catch up with the store concludes nothing.
        """
        directory = self.dispatcher.directory
        if now_s - directory.copy_as_of_s > _MAX_COPY_AGE_S:
            return True
        return directory.versions.sole_version(service, now_s) is None

    def _send(self, message: StreamOrigins, address: tuple[str, int]) -> None:
        try:
            self.send(NodeState(stream_origins=message).SerializeToString(), address)
        except (OSError, PeerError) as error:
            _LOGGER.warning("stream origins not sent", extra={"reason": str(error)})

    def _add(self, key: int, origin: _Origin) -> None:
        self.origins.pop(key, None)
        self.origins[key] = origin
        if len(self.origins) > _MAX_STREAMS:
            del self.origins[next(iter(self.origins))]

    def _drop_expired(self, now_s: float) -> None:
        lifetime_s = self.dispatcher.directory.versions.lifetime_s
        for key, origin in list(self.origins.items()):
            if now_s - origin.recorded_s <= lifetime_s:
                return
            del self.origins[key]


def stream_key(attempt_id: str) -> int:
    """Returns the 64-bit hash that identifies a stream by the attempt that began it."""
    return xxh3_64_intdigest(attempt_id.encode("utf-8", "surrogateescape"))


def _batches(streams: Sequence[int]) -> Iterable[Sequence[int]]:
    for start in range(0, len(streams), _STREAMS_PER_DATAGRAM):
        yield streams[start : start + _STREAMS_PER_DATAGRAM]
