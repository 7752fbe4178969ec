"""What nodes tell each other: loads by datagram, copies of the published store over TCP."""

import asyncio
import logging
import math
import random
import struct
import zlib
from collections import deque
from collections.abc import Callable, Iterator
from typing import cast

from google.protobuf.message import DecodeError

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.server_state import PeerLoad, local_loads
from tanagerworks.edge.follower import StoreView
from tanagerworks.edge.interfaces import PeerFinder
from tanagerworks.errors import PeerError
from tanagerworks.membership.roster import Peer, Roster
from tanagerworks.published.replica import Change
from tanagerworks.rpc.edge_pb2 import NodeState, Placement, StoreCopy, StoreCopyRequest, StoreItem

_LOGGER = logging.getLogger(__name__)

# Time between two messages to each peer in a small fleet. Requests last a tenth of a second and
# more, so a load is known before most of those in it have ended.
_INTERVAL_S = 0.2
# Datagrams that a node sends in a second to its own zone and to all others at the most; in a larger
# fleet it tells each of their nodes more seldom. With 60 nodes in three zones that is every 0.4 s
# and every 1.4 s. Receiving one takes some 0.1 ms of a core.
_DATAGRAMS_INSIDE_PER_S = 50.0
_DATAGRAMS_OUTSIDE_PER_S = 30.0
# Peers' addresses in one message, and the part of the messages that bear any.
_ADDRESSES_TOLD = 8
_ADDRESSES_EVERY = 5
# A node that reads the store itself gives it this long before it believes a newer peer.
_BEHIND_S = 0.3
_FETCH_TIMEOUT_S = 1.0
# A copy of the store holds a configuration and all servers; values hold at most 1 MB.
_MAX_COPY_BYTES = 32_000_000
# Datagrams that are larger could be split on the way and lost as a whole.
_MAX_DATAGRAM_BYTES = 1_400
# Parts of prompts in one placement: 8 bytes each, so that a few placements fit into a datagram.
_PARTS_PER_PLACEMENT = 48
# Datagrams to one peer in a round. A listing of a server's cache, some 400 parts, takes three;
# what is beyond waits for the copy that a new process fetches.
_MAX_DATAGRAMS_PER_ROUND = 16
_LENGTH = struct.Struct("!I")


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this node's state to its peers and takes in theirs."""

    def __init__(
        self,
        node: str,
        address: str,
        zone: str,
        incarnation: int,
        dispatcher: Dispatcher,
        store_view: StoreView,
        finder: PeerFinder,
    ) -> None:
        self.node = node
        self.address = address
        self.zone = zone
        self.incarnation = incarnation
        self.dispatcher = dispatcher
        self.roster: Roster = dispatcher.roster
        self.store_view = store_view
        self.finder = finder
        self.sequence = 0
        self.follows_store: Callable[[], bool] = lambda: False
        # Placements with the time at which they were made, the latest last.
        self.placements: deque[tuple[float, dict[str, set[int]]]] = deque()
        self.turn = 0
        self.fetching: asyncio.Task[None] | None = None
        self.stopping = False
        self.transport: asyncio.DatagramTransport | None = None
        self.reported_addresses: set[str] = set()
        self.behind_since_s: float | None = None
        self.reported_lost: set[str] = set()
        self.random = random.Random()
        # Called after loads have changed.
        self.on_changed: Callable[[], None] = lambda: None

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the socket."""
        # The selector loop's transport does not derive from DatagramTransport in Python 3.11.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """A datagram met no listener; the roster notices by silence."""
        _LOGGER.debug("datagram refused", extra={"reason": str(exc)})

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes in a peer's state."""
        state = NodeState()
        try:
            state.ParseFromString(data)
        except DecodeError as error:
            _LOGGER.warning("peer message unusable", extra={"from": addr[0], "reason": str(error)})
            return
        if not state.name or state.name == self.node:
            return
        now_s = asyncio.get_running_loop().time()
        peer = Peer(
            state.name,
            state.address,
            state.zone,
            state.incarnation,
            state.sequence,
            now_s,
            state.revision,
            state.stopping,
            state.follows_store,
            state.interval_ms / 1000,
            {waiting.service: waiting.requests for waiting in state.waiting},
        )
        event = self.roster.record_message(peer)
        if event == "old":
            return
        if event != "known":
            self.reported_lost.discard(state.name)
            _LOGGER.info("peer heard", extra={"peer": state.name, "event": event})
            # A new process waits for its peers' first word before it places prompts.
            self._send([state.address], _INTERVAL_S, 0.0, now_s)
        self.reported_addresses.update(state.known_addresses)
        loads = {
            load.server_id: PeerLoad(load.running, load.prefill_tokens) for load in state.loads
        }
        self.dispatcher.directory.set_peer_loads(state.name, loads)
        for placement in state.placements:
            self.dispatcher.cached_parts.record_parts(placement.parts, placement.server_id, now_s)
        if state.revision > self.store_view.replica.revision:
            self._check_revision(now_s)
        self.on_changed()

    # Sending

    async def run(self) -> None:
        """Sends this node's state to all peers until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                self._send_round(loop.time())
                self._check_revision(loop.time())
                self._notice_lost(loop.time())
            except Exception:
                # The exchange must go on: peers take silence for a loss of this node.
                _LOGGER.exception("peer exchange failed; going on")
            await asyncio.sleep(_INTERVAL_S * self.random.uniform(0.9, 1.1))

    def _send_round(self, now_s: float) -> None:
        self.placements.append((now_s, self.dispatcher.take_unannounced_parts()))
        inside, outside = self._targets()
        self.turn += 1
        longest_s = max(
            self._send_in_turn(inside, _DATAGRAMS_INSIDE_PER_S, now_s),
            self._send_in_turn(outside, _DATAGRAMS_OUTSIDE_PER_S, now_s),
        )
        while self.placements and now_s - self.placements[0][0] > 2 * longest_s:
            self.placements.popleft()

    def _send_in_turn(self, targets: list[str], per_s: float, now_s: float) -> float:
        """Sends to the targets whose turn it is; returns the time until each has been told."""
        rounds = max(1, math.ceil(len(targets) / (per_s * _INTERVAL_S)))
        period_s = rounds * _INTERVAL_S
        turn = targets[self.turn % rounds :: rounds]
        # Each placement is told twice, since a datagram may be lost.
        self._send(turn, period_s, 2 * period_s, now_s)
        return period_s

    def _targets(self) -> tuple[list[str], list[str]]:
        """Returns the addresses of the own zone and all others."""
        inside = {peer.address for peer in self.roster.peers.values() if peer.zone == self.zone}
        outside = {peer.address for peer in self.roster.peers.values() if peer.zone != self.zone}
        # Addresses heard of become peers once they answer.
        outside |= (set(self.finder.seed_addresses()) | self.reported_addresses) - inside
        self.reported_addresses.clear()
        inside.discard(self.address)
        outside.discard(self.address)
        return sorted(inside), sorted(outside)

    def _send(
        self, targets: list[str], interval_s: float, placements_s: float, now_s: float
    ) -> None:
        """Sends one message to the targets, with the placements of the last `placements_s`."""
        if self.transport is None or not targets:
            return
        for state in self._messages(interval_s, placements_s, now_s):
            data = state.SerializeToString()
            for target in targets:
                host, _colon, port = target.rpartition(":")
                self.transport.sendto(data, (host, int(port)))

    def _messages(
        self, interval_s: float, placements_s: float, now_s: float
    ) -> Iterator[NodeState]:
        """Yields one message, and further ones with the placements that it has no room for."""
        state = self._state(interval_s, now_s)
        sent = 0
        for placement in self._recent_placements(now_s - placements_s):
            if state.placements and (state.ByteSize() + placement.ByteSize() > _MAX_DATAGRAM_BYTES):
                yield state
                sent += 1
                if sent == _MAX_DATAGRAMS_PER_ROUND:
                    _LOGGER.warning("placements left out of a message", extra={"sent": sent})
                    return
                del state.placements[:]
                self.sequence += 1
                state.sequence = self.sequence
            state.placements.append(placement)
        yield state

    def _recent_placements(self, since_s: float) -> Iterator[Placement]:
        """Yields what was placed since a time, the latest first, in pieces that fit a datagram."""
        for made_s, placements in reversed(self.placements):
            if made_s < since_s:
                return
            for server_id, parts in placements.items():
                ordered = sorted(parts)
                for start in range(0, len(ordered), _PARTS_PER_PLACEMENT):
                    piece = ordered[start : start + _PARTS_PER_PLACEMENT]
                    yield Placement(server_id=server_id, parts=piece)

    def _state(self, interval_s: float, now_s: float) -> NodeState:
        """Returns this node's state without placements."""
        self.sequence += 1
        state = NodeState(
            name=self.node,
            address=self.address,
            zone=self.zone,
            incarnation=self.incarnation,
            sequence=self.sequence,
            revision=self.store_view.replica.revision,
            stopping=self.stopping,
            follows_store=self.follows_store(),
            interval_ms=int(interval_s * 1000),
        )
        if self.sequence % _ADDRESSES_EVERY == 1:
            live = [peer.address for peer in self.roster.live_peers(now_s)]
            state.known_addresses.extend(self.random.sample(live, min(len(live), _ADDRESSES_TOLD)))
        counts = local_loads(iter(self.dispatcher.directory.servers.values()))
        for server_id, load in counts.items():
            state.loads.add(
                server_id=server_id, running=load.running, prefill_tokens=load.prefill_tokens
            )
        for service, room in self.dispatcher.queues.items():
            if len(room):
                state.waiting.add(service=service, requests=len(room))
        return state

    def announce(self) -> None:
        """Sends this node's state at once to all peers, as when it stops."""
        now_s = asyncio.get_running_loop().time()
        inside, outside = self._targets()
        self._send(inside + outside, _INTERVAL_S, 0.0, now_s)

    def announce_in_zone(self) -> None:
        """Tells the own zone at once that the store has news."""
        inside, _outside = self._targets()
        self._send(inside, _INTERVAL_S, 0.0, asyncio.get_running_loop().time())

    def _notice_lost(self, now_s: float) -> None:
        for peer in self.roster.lost_peers(now_s):
            if peer.name in self.reported_lost:
                continue
            self.reported_lost.add(peer.name)
            # What a silent peer had in progress is unknown; its servers report their own load.
            self.dispatcher.directory.set_peer_loads(peer.name, {})
            _LOGGER.warning(
                "peer lost",
                extra={"peer": peer.name, "silent_s": round(now_s - peer.last_seen_s, 2)},
            )
        self.roster.remove_expired_peers(now_s)

    # Copies of the store

    def _check_revision(self, now_s: float) -> None:
        """Fetches what a peer knows and this node does not, at once or after a short time."""
        revision = self.store_view.replica.revision
        if self.fetching is not None and not self.fetching.done():
            return
        newer = [peer for peer in self.roster.live_peers(now_s) if peer.revision > revision]
        if not newer:
            self.behind_since_s = None
            return
        if self.behind_since_s is None:
            self.behind_since_s = now_s
        if revision and self.follows_store() and now_s - self.behind_since_s < _BEHIND_S:
            return
        # A peer of the own zone answers soonest and costs no bytes between zones.
        best = max(newer, key=lambda peer: (peer.zone == self.zone, peer.revision))
        self.fetching = asyncio.get_running_loop().create_task(self._fetch(best, revision))

    async def _fetch(self, peer: Peer, revision: int) -> None:
        try:
            copy = await fetch_store_copy(peer.address, revision, with_placements=False)
        except PeerError as error:
            _LOGGER.warning(
                "copy of the store not received",
                extra={"peer": peer.name, "reason": error.message},
            )
            return
        source = f"peer {peer.name}"
        if copy.changes_only:
            self.store_view.apply(map(_change, copy.items), copy.revision, source)
        else:
            self.store_view.replace(map(_change, copy.items), copy.revision, source)

    async def serve_store_copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends changes or the whole copy of the store to a peer that asks, then closes."""
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                request = StoreCopyRequest.FromString(await _read_message(reader))
                data = zlib.compress(self._copy(request).SerializeToString(), level=1)
                writer.write(_LENGTH.pack(len(data)) + data)
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, DecodeError) as error:
            _LOGGER.warning("copy of the store not sent", extra={"reason": repr(error)})
        finally:
            writer.close()

    def _copy(self, request: StoreCopyRequest) -> StoreCopy:
        replica = self.store_view.replica
        changes = replica.changes_after(request.after) if request.after else None
        copy = StoreCopy(revision=replica.revision, changes_only=changes is not None)
        for item in replica.items.values() if changes is None else changes:
            copy.items.add(
                key=item.key,
                revision=item.revision,
                value=item.value or b"",
                deleted=item.value is None,
            )
        if request.with_placements:
            for server_id, parts in self.dispatcher.cached_parts.keys_by_server().items():
                copy.placements.add(server_id=server_id, parts=parts)
        return copy


def _change(item: StoreItem) -> Change:
    return Change(item.key, item.revision, None if item.deleted else item.value)


async def _read_message(reader: asyncio.StreamReader) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > _MAX_COPY_BYTES:
        raise DecodeError(f"a message of {length} bytes is too large")
    return await reader.readexactly(length)


async def fetch_store_copy(address: str, after: int, with_placements: bool) -> StoreCopy:
    """Returns the copy of the store at the peer `address`, or its changes after a revision.

    Raises:
        PeerError: the peer cannot be reached in time or sends something else.
    """
    host, _colon, port = address.rpartition(":")
    request = StoreCopyRequest(after=after, with_placements=with_placements).SerializeToString()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(_FETCH_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_LENGTH.pack(len(request)) + request)
            data = zlib.decompress(await _read_message(reader))
        return StoreCopy.FromString(data)
    except (
        OSError,
        TimeoutError,
        asyncio.IncompleteReadError,
        zlib.error,
        DecodeError,
    ) as error:
        raise PeerError(f"{address}: {error or 'timed out'}") from error
    finally:
        if writer is not None:
            writer.close()
