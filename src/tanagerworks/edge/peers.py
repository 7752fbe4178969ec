"""Exchange of state between nodes: their state in datagrams, copies of the store over TCP.

A datagram has a node's loads, queue lengths, cached prompt parts, store revision and addresses of
other nodes. A copy has the items of the published store and, on request, the index of cached parts.
"""

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
from tanagerworks.membership.addresses import is_address, parse_address
from tanagerworks.membership.peer_table import Peer, PeerTable
from tanagerworks.published.replica import Change
from tanagerworks.rpc.edge_pb2 import NodeState, Placement, StoreCopy, StoreCopyRequest, StoreItem

_LOGGER = logging.getLogger(__name__)

# Time between two rounds of messages; in a small fleet each round sends to all peers. Requests take
# 0.1 s or more, so peers receive a load while most of the requests in it are still running.
_ROUND_INTERVAL_S = 0.2
# A round that starts this late shows that the process was paused, not that its peers were silent.
_PAUSE_S = 0.5
# Maximum rates of datagrams to the peers in the node's own zone and to all other peers, since
# receiving one takes about 0.1 ms of a core. In a larger fleet each peer gets messages at longer
# intervals: with 60 nodes in three zones every 0.4 s in the own zone and every 1.4 s in the others.
_DATAGRAMS_IN_ZONE_PER_S = 50.0
_DATAGRAMS_TO_OTHER_ZONES_PER_S = 30.0
# Maximum number of peer addresses in a message.
_ADDRESSES_PER_MESSAGE = 8
# Longest message interval that is believed. In a fleet of a thousand nodes it is below 30 s.
_MAX_INTERVAL_S = 30.0
# One of this number of messages has peer addresses.
_ADDRESS_MESSAGE_INTERVAL = 5
# A node that follows the store waits this long for changes that a peer already has. After that it
# fetches them from the peer.
_MAX_STORE_LAG_S = 0.3
_FETCH_TIMEOUT_S = 1.0
# Maximum size of a request for a copy of the store, which has two numbers.
MAX_COPY_REQUEST_BYTES = 1_024
# A copy of the store consists of a configuration and the entries of all servers. Each value has at
# most 1 MB.
_MAX_COPY_BYTES = 32_000_000
# A larger datagram could be fragmented by IP, and the loss of any fragment would lose all of it.
_MAX_DATAGRAM_BYTES = 1_400
# Maximum number of prompt parts in one `Placement` message. At 8 bytes each, several of these
# messages fit into a datagram.
_PARTS_PER_PLACEMENT = 48
# Maximum number of datagrams to one peer in a round. The listing of a server's cache, about 400
# parts, takes three. Parts beyond the limit are not sent; peers that start later receive them with
# the copy of the store.
_MAX_DATAGRAMS_PER_ROUND = 16
# Length prefix of a message over TCP.
_LENGTH = struct.Struct("!I")


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this node's state to its peers and applies the states that they send.

    `address` is the `IP:PORT` at which this node receives datagrams and serves copies of the store.
    """

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
        self.peer_table: PeerTable = dispatcher.peer_table
        self.store_view = store_view
        self.finder = finder
        self.sequence = 0
        # Returns whether this node follows the store and gets responses from it.
        self.is_following_store: Callable[[], bool] = lambda: False
        # Keys of the prompt parts announced in recent rounds, by server id, with the event loop
        # time of the round; latest last.
        self.announced_parts: deque[tuple[float, dict[str, set[int]]]] = deque()
        self.round_number = 0
        self.fetch_task: asyncio.Task[None] | None = None
        self.stopping = False
        self.transport: asyncio.DatagramTransport | None = None
        # Addresses that peers have sent since the last round.
        self.received_addresses: set[str] = set()
        # Event loop time since which a peer has had a newer revision of the store than this node;
        # None if no peer has one.
        self.behind_since_s: float | None = None
        # Names of the lost peers whose loss has been logged.
        self.logged_lost_peers: set[str] = set()
        self.random = random.Random()
        # Called after a peer's state has been applied.
        self.on_peer_state_applied: Callable[[], None] = lambda: None

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the datagram socket."""
        # The selector loop's transport does not derive from DatagramTransport in Python 3.11.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Logs a socket error of an earlier send; lost peers are detected by the peer table."""
        _LOGGER.debug("cannot send a datagram", extra={"reason": str(exc)})

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Applies a peer's state; ignores an unusable message and one that a later overtook."""
        state = NodeState()
        try:
            state.ParseFromString(data)
        except DecodeError as error:
            _LOGGER.warning("peer message unusable", extra={"from": addr[0], "reason": str(error)})
            return
        if not state.name or state.name == self.node:
            return
        try:
            parse_address(state.address)
        except PeerError as error:
            _LOGGER.warning("peer message unusable", extra={"from": addr[0], "reason": str(error)})
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
            min(state.interval_ms / 1000, _MAX_INTERVAL_S),
            {waiting.service: waiting.requests for waiting in state.waiting},
        )
        event = self.peer_table.record_message(peer)
        if event == "old":
            return
        if event != "known":
            self.logged_lost_peers.discard(state.name)
            _LOGGER.info(
                "peer joined, returned or restarted", extra={"peer": state.name, "event": event}
            )
            # A new process waits for the first messages of its peers before it recovers its index
            # of cached parts.
            self._send([state.address], _ROUND_INTERVAL_S, 0.0, now_s)
        self.received_addresses.update(
            address
            for address in state.known_addresses[:_ADDRESSES_PER_MESSAGE]
            if is_address(address)
        )
        loads = {
            load.server_id: PeerLoad(load.running, load.prefill_tokens) for load in state.loads
        }
        self.dispatcher.directory.set_peer_loads(state.name, loads)
        for placement in state.placements:
            self.dispatcher.cached_parts.record_parts(placement.parts, placement.server_id, now_s)
        if state.revision > self.store_view.replica.revision:
            self._fetch_if_behind(now_s)
        self.on_peer_state_applied()

    # Sending

    async def run(self) -> None:
        """Sends this node's state to all peers until cancelled."""
        loop = asyncio.get_running_loop()
        next_round_s = loop.time()
        while True:
            self._check_pause(loop.time() - next_round_s)
            try:
                self._send_round(loop.time())
                self._fetch_if_behind(loop.time())
                self._handle_lost_peers(loop.time())
            except Exception:
                # The loop must continue: peers would otherwise treat this node as lost.
                _LOGGER.exception("round of the peer exchange failed; continuing with the next one")
            delay_s = _ROUND_INTERVAL_S * self.random.uniform(0.9, 1.1)
            next_round_s = loop.time() + delay_s
            await asyncio.sleep(delay_s)

    def _check_pause(self, late_s: float) -> None:
        """Keeps peers from being lost if this round is late because the process was paused."""
        if late_s <= _PAUSE_S:
            return
        _LOGGER.warning("process was paused", extra={"paused_s": round(late_s, 2)})
        self.peer_table.record_pause(late_s)

    def _send_round(self, now_s: float) -> None:
        self.announced_parts.append((now_s, self.dispatcher.take_unannounced_parts()))
        zone_addresses, other_addresses = self._target_addresses()
        self.round_number += 1
        longest_period_s = max(
            self._send_to_round_targets(zone_addresses, _DATAGRAMS_IN_ZONE_PER_S, now_s),
            self._send_to_round_targets(other_addresses, _DATAGRAMS_TO_OTHER_ZONES_PER_S, now_s),
        )
        while self.announced_parts and now_s - self.announced_parts[0][0] > 2 * longest_period_s:
            self.announced_parts.popleft()

    def _send_to_round_targets(self, targets: list[str], per_s: float, now_s: float) -> float:
        """Sends to the targets of this round; returns the seconds between two sends to a target.

        The targets are divided among as many rounds as keep the rate below `per_s` datagrams.
        """
        rounds = max(1, math.ceil(len(targets) / (per_s * _ROUND_INTERVAL_S)))
        period_s = rounds * _ROUND_INTERVAL_S
        round_targets = targets[self.round_number % rounds :: rounds]
        # Each part is sent twice, since a datagram may be lost.
        self._send(round_targets, period_s, 2 * period_s, now_s)
        return period_s

    def _target_addresses(self) -> tuple[list[str], list[str]]:
        """Returns the addresses in this node's zone, and those of all other peers and seeds."""
        zone_addresses = {
            peer.address for peer in self.peer_table.peers.values() if peer.zone == self.zone
        }
        other_addresses = {
            peer.address for peer in self.peer_table.peers.values() if peer.zone != self.zone
        }
        # The node at an address from a seed list or a peer becomes a peer once its message arrives.
        other_addresses |= (
            set(self.finder.seed_addresses()) | self.received_addresses
        ) - zone_addresses
        self.received_addresses.clear()
        zone_addresses.discard(self.address)
        other_addresses.discard(self.address)
        return sorted(zone_addresses), sorted(other_addresses)

    def _send(
        self, targets: list[str], interval_s: float, parts_age_s: float, now_s: float
    ) -> None:
        """Sends this node's state to the targets, with the parts of the last `parts_age_s`."""
        if self.transport is None or not targets:
            return
        for state in self._build_messages(interval_s, parts_age_s, now_s):
            data = state.SerializeToString()
            for target in targets:
                host, _colon, port = target.rpartition(":")
                self.transport.sendto(data, (host, int(port)))

    def _build_messages(
        self, interval_s: float, parts_age_s: float, now_s: float
    ) -> Iterator[NodeState]:
        """Yields one message, and more of them if the parts do not fit into one datagram."""
        state = self._build_state(interval_s, now_s)
        sent = 0
        for placement in self._announced_parts_since(now_s - parts_age_s):
            if state.placements and (state.ByteSize() + placement.ByteSize() > _MAX_DATAGRAM_BYTES):
                yield state
                sent += 1
                if sent == _MAX_DATAGRAMS_PER_ROUND:
                    _LOGGER.warning("prompt parts left out of a message", extra={"sent": sent})
                    return
                del state.placements[:]
                self.sequence += 1
                state.sequence = self.sequence
            state.placements.append(placement)
        yield state

    def _announced_parts_since(self, since_s: float) -> Iterator[Placement]:
        """Yields the parts announced since `since_s`, latest first, split to fit into datagrams."""
        for announced_at_s, parts_by_server in reversed(self.announced_parts):
            if announced_at_s < since_s:
                return
            for server_id, parts in parts_by_server.items():
                ordered = sorted(parts)
                for start in range(0, len(ordered), _PARTS_PER_PLACEMENT):
                    chunk = ordered[start : start + _PARTS_PER_PLACEMENT]
                    yield Placement(server_id=server_id, parts=chunk)

    def _build_state(self, interval_s: float, now_s: float) -> NodeState:
        """Returns a message with this node's state, without prompt parts."""
        self.sequence += 1
        state = NodeState(
            name=self.node,
            address=self.address,
            zone=self.zone,
            incarnation=self.incarnation,
            sequence=self.sequence,
            revision=self.store_view.replica.revision,
            stopping=self.stopping,
            follows_store=self.is_following_store(),
            interval_ms=int(interval_s * 1000),
        )
        if self.sequence % _ADDRESS_MESSAGE_INTERVAL == 1:
            live = [peer.address for peer in self.peer_table.live_peers(now_s)]
            state.known_addresses.extend(
                self.random.sample(live, min(len(live), _ADDRESSES_PER_MESSAGE))
            )
        loads = local_loads(iter(self.dispatcher.directory.servers.values()))
        for server_id, load in loads.items():
            state.loads.add(
                server_id=server_id, running=load.running, prefill_tokens=load.prefill_tokens
            )
        for service, queue in self.dispatcher.queues.items():
            if len(queue):
                state.waiting.add(service=service, requests=len(queue))
        return state

    def announce(self) -> None:
        """Sends this node's state to all peers immediately, for example when it shuts down."""
        now_s = asyncio.get_running_loop().time()
        zone_addresses, other_addresses = self._target_addresses()
        self._send(zone_addresses + other_addresses, _ROUND_INTERVAL_S, 0.0, now_s)

    def announce_in_zone(self) -> None:
        """Sends this node's state to its zone immediately, since the store has changed."""
        zone_addresses, _other_addresses = self._target_addresses()
        self._send(zone_addresses, _ROUND_INTERVAL_S, 0.0, asyncio.get_running_loop().time())

    def _handle_lost_peers(self, now_s: float) -> None:
        for peer in self.peer_table.lost_peers(now_s):
            if peer.name in self.logged_lost_peers:
                continue
            self.logged_lost_peers.add(peer.name)
            # Whether the requests of a lost peer are still running is unknown. The servers report
            # their own load.
            self.dispatcher.directory.set_peer_loads(peer.name, {})
            _LOGGER.warning(
                "peer lost",
                extra={"peer": peer.name, "silent_s": round(now_s - peer.last_seen_s, 2)},
            )
        self.peer_table.remove_expired_peers(now_s)

    # Copies of the store

    def _fetch_if_behind(self, now_s: float) -> None:
        """Fetches changes of the store from a peer that has a newer revision.

        A node that follows the store itself first waits `_MAX_STORE_LAG_S` for the store.
        """
        revision = self.store_view.replica.revision
        if self.fetch_task is not None and not self.fetch_task.done():
            return
        newer = [peer for peer in self.peer_table.live_peers(now_s) if peer.revision > revision]
        if not newer:
            self.behind_since_s = None
            return
        if self.behind_since_s is None:
            self.behind_since_s = now_s
        if (
            revision
            and self.is_following_store()
            and now_s - self.behind_since_s < _MAX_STORE_LAG_S
        ):
            return
        # A peer in the same zone has the lowest latency and causes no traffic between zones.
        best = max(newer, key=lambda peer: (peer.zone == self.zone, peer.revision))
        self.fetch_task = asyncio.get_running_loop().create_task(self._fetch(best, revision))

    async def _fetch(self, peer: Peer, revision: int) -> None:
        try:
            copy = await fetch_store_copy(peer.address, revision, with_placements=False)
        except PeerError as error:
            _LOGGER.warning(
                "copy of the store not received",
                extra={"peer": peer.name, "reason": error.message},
            )
            return
        except Exception:
            # The next round fetches again; nobody awaits this task.
            _LOGGER.exception("copy of the store not received", extra={"peer": peer.name})
            return
        source = f"peer {peer.name}"
        if copy.changes_only:
            self.store_view.apply(map(_to_change, copy.items), copy.revision, source)
        else:
            self.store_view.replace(map(_to_change, copy.items), copy.revision, source)

    async def serve_store_copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a peer's request for changes or a full copy of the store, then closes."""
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                request = StoreCopyRequest.FromString(
                    await _read_message(reader, MAX_COPY_REQUEST_BYTES)
                )
                data = zlib.compress(self._build_copy(request).SerializeToString(), level=1)
                writer.write(_LENGTH.pack(len(data)) + data)
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, DecodeError) as error:
            _LOGGER.warning("copy of the store not sent", extra={"reason": repr(error)})
        finally:
            writer.close()

    def _build_copy(self, request: StoreCopyRequest) -> StoreCopy:
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


def _to_change(item: StoreItem) -> Change:
    return Change(item.key, item.revision, None if item.deleted else item.value)


async def _read_message(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > max_bytes:
        raise DecodeError(f"a message of {length} bytes is too large")
    return await reader.readexactly(length)


def _decompress(data: bytes) -> bytes:
    """Returns the decompressed data.

    Raises:
        DecodeError: the result would exceed `_MAX_COPY_BYTES`, or the data is incomplete.
        zlib.error: the data is not compressed data.
    """
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, _MAX_COPY_BYTES)
    if not decompressor.eof:
        raise DecodeError("a copy of the store is incomplete or too large")
    return decompressed


async def fetch_store_copy(address: str, after: int, with_placements: bool) -> StoreCopy:
    """Returns the copy of the store of the peer at `address`, or its changes after a revision.

    `after` is the revision of this node's copy, 0 for none. The result consists of changes if the
    log of the peer reaches back to it, otherwise of all items. `with_placements` adds the peer's
    index of cached parts.

    Raises:
        PeerError: the peer cannot be reached, does not answer in time, or the answer is invalid.
    """
    host, port = parse_address(address)
    request = StoreCopyRequest(after=after, with_placements=with_placements).SerializeToString()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(_FETCH_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(_LENGTH.pack(len(request)) + request)
            data = _decompress(await _read_message(reader, _MAX_COPY_BYTES))
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
