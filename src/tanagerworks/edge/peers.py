"""What nodes tell each other: loads by datagram, copies of the published store over TCP."""

import asyncio
import logging
import random
import struct
from collections.abc import Callable
from typing import cast

from google.protobuf.message import DecodeError

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.server_state import PeerLoad, running_counts
from tanagerworks.edge.follower import Beliefs
from tanagerworks.edge.seams import PeerFinder
from tanagerworks.errors import PeerError
from tanagerworks.membership.roster import Peer, Roster
from tanagerworks.published.replica import Change
from tanagerworks.rpc.edge_pb2 import NodeState, StoreCopy

_LOGGER = logging.getLogger(__name__)

# Time between two messages to each peer in a small fleet. Requests last a tenth of a second and
# more, so a load is known before most of the requests in it have ended.
_INTERVAL_S = 0.2
# Datagrams that a node sends in a second at the most; a larger fleet hears each peer more seldom.
_DATAGRAMS_PER_S = 60.0
# Peers' addresses in one message.
_ADDRESSES_TOLD = 8
# A peer that knows a newer revision for this long has what the store does not tell this node.
_BEHIND_S = 0.3
_FETCH_TIMEOUT_S = 1.0
# A copy of the store holds a configuration and all servers; values hold at most 1 MB.
_MAX_COPY_BYTES = 32_000_000
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
        beliefs: Beliefs,
        finder: PeerFinder,
    ) -> None:
        self.node = node
        self.address = address
        self.zone = zone
        self.incarnation = incarnation
        self.dispatcher = dispatcher
        self.roster: Roster = dispatcher.roster
        self.beliefs = beliefs
        self.finder = finder
        self.sequence = 0
        self.told_once: dict[str, set[int]] = {}
        self.stopping = False
        self.transport: asyncio.DatagramTransport | None = None
        self.learned: set[str] = set()
        self.behind_since_s: float | None = None
        self.lost_peers: set[str] = set()
        self.random = random.Random()
        # Called after loads have changed.
        self.changed: Callable[[], None] = lambda: None

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
        )
        event = self.roster.hear(peer)
        if event == "old":
            return
        if event != "known":
            self.lost_peers.discard(state.name)
            _LOGGER.info("peer heard", extra={"peer": state.name, "event": event})
        self.learned.update(state.known_addresses)
        loads = {
            load.server_id: PeerLoad(load.running, load.prefill_tokens) for load in state.loads
        }
        self.dispatcher.directory.set_peer_loads(state.name, loads)
        for placement in state.placements:
            self.dispatcher.holders.record(placement.parts, placement.server_id, now_s)
        self.changed()

    # Sending

    async def run(self) -> None:
        """Sends this node's state to all peers until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            targets = self._targets(loop.time())
            try:
                self._send_all(targets)
                await self._check_revision(loop.time())
                self._notice_lost(loop.time())
            except Exception:
                # The exchange must go on: peers take silence for a loss of this node.
                _LOGGER.exception("peer exchange failed; going on")
            interval_s = max(_INTERVAL_S, len(targets) / _DATAGRAMS_PER_S)
            await asyncio.sleep(interval_s * self.random.uniform(0.9, 1.1))

    def _targets(self, now_s: float) -> list[str]:
        known = {peer.address for peer in self.roster.peers.values()}
        targets = known | set(self.finder.seed_addresses())
        # Addresses heard of become peers once they answer.
        targets.update(self.learned)
        self.learned.clear()
        targets.discard(self.address)
        return sorted(targets)

    def _send_all(self, targets: list[str]) -> None:
        if self.transport is None:
            return
        loop = asyncio.get_running_loop()
        self.sequence += 1
        live = [peer.address for peer in self.roster.live(loop.time())]
        told = self.random.sample(live, min(len(live), _ADDRESSES_TOLD))
        state = NodeState(
            name=self.node,
            address=self.address,
            zone=self.zone,
            incarnation=self.incarnation,
            sequence=self.sequence,
            revision=self.beliefs.replica.revision,
            stopping=self.stopping,
            known_addresses=told if self.sequence % 5 == 1 else [],
        )
        counts = running_counts(iter(self.dispatcher.directory.servers.values()))
        for server_id, load in counts.items():
            state.loads.add(
                server_id=server_id, running=load.running, prefill_tokens=load.prefill_tokens
            )
        placements = self.dispatcher.take_untold()
        # Each placement is told twice, since a datagram may be lost.
        for told_placements in (placements, self.told_once):
            for server_id, parts in told_placements.items():
                state.placements.add(server_id=server_id, parts=parts)
        self.told_once = placements
        data = state.SerializeToString()
        for target in targets:
            host, _colon, port = target.rpartition(":")
            self.transport.sendto(data, (host, int(port)))

    def announce(self) -> None:
        """Sends this node's state at once, as when it stops."""
        self._send_all(self._targets(asyncio.get_running_loop().time()))

    def _notice_lost(self, now_s: float) -> None:
        for peer in self.roster.lost(now_s):
            if peer.name in self.lost_peers:
                continue
            self.lost_peers.add(peer.name)
            # What a silent peer had in progress is unknown; its servers report their own load.
            self.dispatcher.directory.set_peer_loads(peer.name, {})
            _LOGGER.warning(
                "peer lost",
                extra={"peer": peer.name, "silent_s": round(now_s - peer.heard_s, 2)},
            )
        self.roster.forget(now_s)

    # Copies of the store

    async def _check_revision(self, now_s: float) -> None:
        newest = max(self.roster.live(now_s), key=lambda peer: peer.revision, default=None)
        if newest is None or newest.revision <= self.beliefs.replica.revision:
            self.behind_since_s = None
            return
        if self.behind_since_s is None:
            self.behind_since_s = now_s
            # A process that knows nothing yet does not wait.
            if self.beliefs.replica.revision:
                return
        if self.beliefs.replica.revision and now_s - self.behind_since_s < _BEHIND_S:
            return
        self.behind_since_s = None
        try:
            copy = await fetch_copy(newest.address)
        except PeerError as error:
            _LOGGER.warning(
                "copy of the store not received",
                extra={"peer": newest.name, "reason": error.message},
            )
            return
        items = [Change(item.key, item.revision, item.value) for item in copy.items]
        self.beliefs.replace(items, copy.revision, f"peer {newest.name}")

    async def serve_copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends the whole copy of the store to a peer that connects, then closes."""
        replica = self.beliefs.replica
        copy = StoreCopy(revision=replica.revision)
        for item in replica.items.values():
            copy.items.add(key=item.key, revision=item.revision, value=item.value or b"")
        for server_id, parts in self.dispatcher.holders.by_server().items():
            copy.placements.add(server_id=server_id, parts=parts)
        data = copy.SerializeToString()
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                writer.write(_LENGTH.pack(len(data)) + data)
                await writer.drain()
        except (OSError, TimeoutError) as error:
            _LOGGER.warning("copy of the store not sent", extra={"reason": str(error)})
        finally:
            writer.close()


async def fetch_copy(address: str) -> StoreCopy:
    """Returns the copy of the store that the peer at `address` holds.

    Raises:
        PeerError: the peer cannot be reached in time or sends something else.
    """
    host, _colon, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(_FETCH_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
            if length > _MAX_COPY_BYTES:
                raise PeerError(f"{address}: a copy of {length} bytes is too large")
            data = await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        raise PeerError(f"{address}: {error or 'timed out'}") from error
    finally:
        if writer is not None:
            writer.close()
    copy = StoreCopy()
    try:
        copy.ParseFromString(data)
    except DecodeError as error:
        raise PeerError(f"{address}: {error}") from error
    return copy
