"""What a process that has just started learns about the caches of model servers.

A single node gets it from a peer. When the whole fleet has started anew, each server is asked by
the one node that ranks first for it, which tells the others.
"""

import asyncio
import logging

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.follower import Beliefs
from tanagerworks.edge.http_client import HttpReader
from tanagerworks.edge.peers import fetch_copy
from tanagerworks.edge.seams import BackendDialect
from tanagerworks.errors import BackendProtocolError, PeerError, PublishedStoreError
from tanagerworks.routing.ranking import rank_equally

_LOGGER = logging.getLogger(__name__)

# Time for the first messages of the peers to arrive.
_SETTLE_S = 0.5
# A peer that started this long before knows what this node has missed.
_OLDER_S = 3.0
_LIST_TIMEOUT_S = 1.0


class CacheRecovery:
    """Fills the part holders of a new process once."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        dispatcher: Dispatcher,
        beliefs: Beliefs,
        backends: BackendDialect,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.dispatcher = dispatcher
        self.beliefs = beliefs
        self.backends = backends

    async def run(self) -> None:
        """Asks a peer or, if there is none that is older, the servers."""
        await asyncio.sleep(_SETTLE_S)
        while not self.dispatcher.directory.servers:
            await asyncio.sleep(_SETTLE_S)
        if await self._ask_peer():
            return
        for state in list(self.dispatcher.directory.servers.values()):
            if self._is_mine(state):
                await self._ask_server(state)

    async def _ask_peer(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        peers = sorted(self.dispatcher.roster.live(now_s), key=lambda peer: peer.incarnation)
        for peer in peers:
            # Incarnations are start times in nanoseconds; clocks of VMs differ by far less.
            if (self.incarnation - peer.incarnation) / 1e9 < _OLDER_S:
                return False
            try:
                copy = await fetch_copy(
                    peer.address, self.beliefs.replica.revision, with_placements=True
                )
            except PeerError as error:
                _LOGGER.warning(
                    "cache contents not received",
                    extra={"peer": peer.name, "reason": error.message},
                )
                continue
            for placement in copy.placements:
                self.dispatcher.holders.record(placement.parts, placement.server_id, now_s)
            _LOGGER.info(
                "cache contents received",
                extra={"peer": peer.name, "servers": len(copy.placements)},
            )
            return True
        return False

    def _is_mine(self, state: ServerState) -> bool:
        now_s = asyncio.get_running_loop().time()
        service = self.dispatcher.service(state.entry.service)
        if service is None or not service.runs_models or state.is_cold(now_s):
            return False
        names = [peer.name for peer in self.dispatcher.roster.live(now_s)]
        return rank_equally(state.server_id, [*names, self.node], 1) == [self.node]

    async def _ask_server(self, state: ServerState) -> None:
        reader = HttpReader(f"{state.entry.host}:{state.entry.port}")
        try:
            status, body = await reader.get(self.backends.cache_listing_target, _LIST_TIMEOUT_S)
            keys = self.backends.read_cache_listing(body) if status == 200 else []
        except (PublishedStoreError, BackendProtocolError) as error:
            _LOGGER.warning(
                "cache contents not listed",
                extra={"server": state.server_id, "reason": error.message},
            )
            return
        finally:
            reader.close()
        now_s = asyncio.get_running_loop().time()
        self.dispatcher.holders.record(keys, state.server_id, now_s)
        self.dispatcher.untold.setdefault(state.server_id, set()).update(keys)
        _LOGGER.info(
            "cache contents listed",
            extra={"server": state.server_id, "status": status, "parts": len(keys)},
        )
