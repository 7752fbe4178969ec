"""What a process that has just started learns about the caches of model servers.

A single node gets it from a peer. When the whole fleet has started anew, the servers are divided
among the nodes by rank; each asks its own and tells the others.
"""

import asyncio
import logging
import random
from collections.abc import Iterable

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.follower import StoreView
from tanagerworks.edge.http_client import HttpClient
from tanagerworks.edge.interfaces import BackendDialect
from tanagerworks.edge.peers import fetch_store_copy
from tanagerworks.errors import BackendProtocolError, PeerError, PublishedStoreError
from tanagerworks.routing.ranking import rank_equally

_LOGGER = logging.getLogger(__name__)

# Time for the first messages of the peers to arrive, which answer a new node at once.
_SETTLE_S = 0.1
# Pause between two looks for a first server.
_POLL_S = 0.02
# A peer that started this long before knows what this node has missed.
_OLDER_S = 3.0
# Nodes that start together have told what they listed after this time.
_TOLD_S = 0.4
# Servers that a node asks before it can have heard all that start with it. Two nodes cover the
# servers of today's services; the first of a large fleet must not ask and tell for all.
_MOST_ASKED_FIRST = 8
# A server of which fewer parts are known has not been listed by a peer: these come from requests.
_FEW_PARTS = 16
# Servers answer a listing in some 10 ms; one that is silent must not hold up the others.
_LIST_TIMEOUT_S = 0.5


class CacheRecovery:
    """Fills the part holders of a new process once."""

    def __init__(
        self,
        node: str,
        zone: str,
        incarnation: int,
        dispatcher: Dispatcher,
        store_view: StoreView,
        backends: BackendDialect,
        recovered: asyncio.Event,
    ) -> None:
        """`recovered` is set once this node knows what it can learn when it starts."""
        self.node = node
        self.zone = zone
        self.random = random.Random()
        self.incarnation = incarnation
        self.dispatcher = dispatcher
        self.store_view = store_view
        self.backends = backends
        self.recovered = recovered

    async def run(self) -> None:
        """Asks a peer or, if there is none that is older, the servers.

        Nodes that started together ask different servers. A second round asks those of which
        nobody has told anything by then.
        """
        await asyncio.sleep(_SETTLE_S)
        while not self.dispatcher.directory.servers:
            await asyncio.sleep(_POLL_S)
        if await self._ask_older_peer():
            self.recovered.set()
            return
        asked = self._ranked_first()[:_MOST_ASKED_FIRST]
        await self._ask_servers(asked)
        self.recovered.set()
        await asyncio.sleep(_TOLD_S)
        by_server = self.dispatcher.cached_parts.keys_by_server()
        told = {server_id for server_id, parts in by_server.items() if len(parts) >= _FEW_PARTS}
        await self._ask_servers(
            state
            for state in self._ranked_first()
            if state not in asked and state.server_id not in told
        )

    async def _ask_servers(self, states: Iterable[ServerState]) -> None:
        await asyncio.gather(*(self._ask_server(state) for state in states))

    async def _ask_older_peer(self) -> bool:
        """Takes over what a peer knows that started `_OLDER_S` before; returns whether one did.

        The peers are asked in random order, those of the own zone first: many nodes may start at
        the same time, and the copies of a large fleet would fill one node's link.
        """
        now_s = asyncio.get_running_loop().time()
        # Incarnations are start times in nanoseconds; clocks of VMs differ by far less.
        peers = [
            peer
            for peer in self.dispatcher.roster.live_peers(now_s)
            if (self.incarnation - peer.incarnation) / 1e9 >= _OLDER_S
        ]
        self.random.shuffle(peers)
        peers.sort(key=lambda peer: peer.zone != self.zone)
        for peer in peers:
            try:
                copy = await fetch_store_copy(
                    peer.address, self.store_view.replica.revision, with_placements=True
                )
            except PeerError as error:
                _LOGGER.warning(
                    "cache contents not received",
                    extra={"peer": peer.name, "reason": error.message},
                )
                continue
            for placement in copy.placements:
                self.dispatcher.cached_parts.record_parts(
                    placement.parts, placement.server_id, now_s
                )
            _LOGGER.info(
                "cache contents received",
                extra={"peer": peer.name, "servers": len(copy.placements)},
            )
            return True
        return False

    def _ranked_first(self) -> list[ServerState]:
        """Returns the warm model servers for which this node ranks first of those it hears."""
        now_s = asyncio.get_running_loop().time()
        names = [peer.name for peer in self.dispatcher.roster.live_peers(now_s)]
        found = []
        for state in self.dispatcher.directory.servers.values():
            service = self.dispatcher.find_service(state.entry.service)
            if service is None or not service.runs_models or state.is_cold(now_s):
                continue
            if rank_equally(state.server_id, [*names, self.node], 1) == [self.node]:
                found.append(state)
        return found

    async def _ask_server(self, state: ServerState) -> None:
        reader = HttpClient(f"{state.entry.host}:{state.entry.port}")
        try:
            status, body = await reader.get(self.backends.cache_listing_target, _LIST_TIMEOUT_S)
            keys = self.backends.parse_cache_listing(body) if status == 200 else []
        except (PublishedStoreError, BackendProtocolError) as error:
            _LOGGER.warning(
                "cache contents not listed",
                extra={"server": state.server_id, "reason": error.message},
            )
            return
        finally:
            reader.close()
        now_s = asyncio.get_running_loop().time()
        self.dispatcher.cached_parts.record_parts(keys, state.server_id, now_s)
        self.dispatcher.unannounced.setdefault(state.server_id, set()).update(keys)
        _LOGGER.info(
            "cache contents listed",
            extra={"server": state.server_id, "status": status, "parts": len(keys)},
        )
