"""Copies of what peers know of the streams' software versions, for a node that was not told.

A node is told about streams as they begin. It has missed those that began before it started, while
it was paused, and beyond a network partition.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Sequence

from tanagerworks.edge.store_copies import fetch_store_copy
from tanagerworks.edge.stream_origins import StreamOriginTable
from tanagerworks.errors import PeerError
from tanagerworks.membership.peer_table import Peer
from tanagerworks.rpc.edge_pb2 import StoreCopy, StoreCopyRequest

_LOGGER = logging.getLogger(__name__)

# Time from the first contact until the copy: the other peers have been found by then, and tell this
# node about the streams that begin.
_CONTACT_DELAY_S = 0.5
# Shortest time between two copies, as a large fleet is discovered over some seconds.
_MIN_INTERVAL_S = 2.0


class StreamOriginCopier:
    """Copies the records of peers that may know streams of which this node was not told."""

    def __init__(self, table: StreamOriginTable, revision: Callable[[], tuple[int, int]]) -> None:
        """`revision` returns the era and the revision of this node's copy of the store."""
        self.table = table
        self.revision = revision
        # Raises PeerError if the peer does not answer.
        self.fetch: Callable[[str, StoreCopyRequest], Awaitable[StoreCopy]] = fetch_store_copy
        # Peers to copy from, by name.
        self.sources: dict[str, Peer] = {}
        # Event loop time from which the next copy may be made.
        self.due_s = 0.0
        self.task: asyncio.Task[None] | None = None

    def add_sources(self, peers: Iterable[Peer], now_s: float) -> None:
        """Records that peers may have told others about streams without this node.

        `now_s` is event loop time, as in `copy_if_due`.
        """
        for peer in peers:
            if not self.sources:
                self.due_s = max(self.due_s, now_s + _CONTACT_DELAY_S)
            self.sources[peer.name] = peer

    def copy_if_due(self, now_s: float) -> None:
        """Starts to copy once it is due; called in each round of messages."""
        if not self.sources or now_s < self.due_s:
            return
        if self.task is not None and not self.task.done():
            return
        self.due_s = now_s + _MIN_INTERVAL_S
        sources, self.sources = self.sources, {}
        self.task = asyncio.get_running_loop().create_task(self._copy(sources.values()))

    async def _copy(self, sources: Iterable[Peer]) -> None:
        """Copies from one peer of each availability zone, as a partition mostly divides zones.

        The peer that started first comes first. If it does not answer, the next one is asked.
        """
        by_zone: dict[str, list[Peer]] = {}
        for peer in sorted(sources, key=lambda peer: peer.incarnation):
            by_zone.setdefault(peer.zone, []).append(peer)
        await asyncio.gather(*(self._copy_from_one(peers) for peers in by_zone.values()))

    async def _copy_from_one(self, peers: Sequence[Peer]) -> None:
        era, revision = self.revision()
        # The items of the store in the copy are discarded; the request makes them few.
        request = StoreCopyRequest(after=revision, era=era, with_stream_origins=True)
        for peer in peers:
            try:
                copy = await self.fetch(peer.address, request)
            except PeerError as error:
                _LOGGER.warning(
                    "stream origins not copied", extra={"peer": peer.name, "reason": error.message}
                )
                continue
            except Exception:
                # Nobody awaits this task; the next peer may answer.
                _LOGGER.exception("stream origins not copied", extra={"peer": peer.name})
                continue
            for known in copy.stream_origins:
                self.table.merge(known)
            _LOGGER.info(
                "stream origins copied",
                extra={
                    "peer": peer.name,
                    "streams": sum(len(known.streams) for known in copy.stream_origins),
                },
            )
            return
        now_s = asyncio.get_running_loop().time()
        live = {peer.name for peer in self.table.dispatcher.peer_table.live_peers(now_s)}
        self.add_sources([peer for peer in peers if peer.name in live], now_s)
