"""Recovers the index of cached parts when a node starts.

The index holds which prompt parts are cached on which model server. A node that starts alone copies
it from a peer. If the whole fleet has restarted, the servers are divided among the nodes by
rendezvous hashing; each node lists the caches of its servers and announces their contents to its
peers.
"""

import asyncio
import logging
import random
from collections.abc import Iterable

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.crash_reports import merge_crash_reports
from tanagerworks.edge.follower import StoreView
from tanagerworks.edge.http_client import HttpClient
from tanagerworks.edge.interfaces import BackendDialect
from tanagerworks.edge.store_copies import fetch_store_copy
from tanagerworks.errors import BackendProtocolError, PeerError, PublishedStoreError
from tanagerworks.membership.peer_table import Peer
from tanagerworks.routing.ranking import rank_equally
from tanagerworks.rpc.edge_pb2 import StoreCopyRequest

_LOGGER = logging.getLogger(__name__)

# Time for the first messages of peers to arrive; peers answer a new node immediately.
_FIRST_MESSAGES_WAIT_S = 0.1
# Time between two checks for a first server entry.
_POLL_PERIOD_S = 0.02
# A peer that started this much earlier has already recovered its index.
_MIN_START_DIFFERENCE_S = 3.0
# After this time, nodes that started together have announced the caches that they listed.
_ANNOUNCEMENT_WAIT_S = 0.4
# Maximum number of servers that a node lists in its first round, when messages of nodes that start
# at the same time may not have arrived yet. Without the limit the first node of a large fleet would
# list and announce all servers. Two nodes cover the servers of the services in use.
_MAX_SERVERS_IN_FIRST_ROUND = 8
# A node leaves the first round to peers that started this much earlier, as they list the servers.
# A listing slows its server down, and 90 nodes that restarted together within 0.7 s made 788
# listings of 60 servers, each of which all nodes were sent.
_LISTING_HEAD_START_S = 0.25
# If fewer parts of a server are known, no peer has listed its cache: they come from requests that
# were sent to it.
_MIN_LISTED_PARTS = 16
# Servers list their cache in about 10 ms; one that does not respond must not delay the recovery.
_LIST_TIMEOUT_S = 0.5


class CacheRecovery:
    """Fills the index of cached parts of a new process once."""

    def __init__(
        self,
        node: str,
        zone: str,
        incarnation: int,
        dispatcher: Dispatcher,
        store_view: StoreView,
        backend_dialect: BackendDialect,
        recovered: asyncio.Event,
    ) -> None:
        """`recovered` is set once the index is copied or the first caches have been listed.

        `incarnation` is the start time of this process in Unix nanoseconds.
        """
        self.node = node
        self.zone = zone
        self.random = random.Random()
        self.incarnation = incarnation
        self.dispatcher = dispatcher
        self.store_view = store_view
        self.backend_dialect = backend_dialect
        self.recovered = recovered

    async def run(self) -> None:
        """Copies the index of a peer that started earlier; without one, lists the servers' caches.

        Waits until a server entry is known. Nodes that started together list different servers;
        those that started a little later list none at first. A second round lists the remaining
        servers of this node for which no peer has announced a listing by then.
        """
        await asyncio.sleep(_FIRST_MESSAGES_WAIT_S)
        while not self.dispatcher.directory.servers:
            await asyncio.sleep(_POLL_PERIOD_S)
        if await self._copy_from_older_peer():
            self.recovered.set()
            return
        listed: list[ServerState] = []
        if not self._earlier_peers(_LISTING_HEAD_START_S):
            listed = self._assigned_servers()[:_MAX_SERVERS_IN_FIRST_ROUND]
            await self._list_caches(listed)
        self.recovered.set()
        await asyncio.sleep(_ANNOUNCEMENT_WAIT_S)
        by_server = self.dispatcher.cached_parts.keys_by_server()
        announced = {
            server_id for server_id, parts in by_server.items() if len(parts) >= _MIN_LISTED_PARTS
        }
        await self._list_caches(
            state
            for state in self._assigned_servers()
            if state not in listed and state.server_id not in announced
        )

    def _earlier_peers(self, head_start_s: float) -> list[Peer]:
        """Returns the live peers that started at least `head_start_s` before this node.

        Incarnations are start times in nanoseconds, by clocks that may differ between VMs.
        """
        now_s = asyncio.get_running_loop().time()
        return [
            peer
            for peer in self.dispatcher.peer_table.live_peers(now_s)
            if (self.incarnation - peer.incarnation) / 1e9 >= head_start_s
        ]

    async def _list_caches(self, states: Iterable[ServerState]) -> None:
        await asyncio.gather(*(self._list_cache(state) for state in states))

    async def _copy_from_older_peer(self) -> bool:
        """Copies the index of a peer that started earlier; returns whether one sent it.

        Peers are tried in random order, those in the same zone first: many nodes may start at the
        same time, and if all asked one peer, their copies would saturate its network link.
        """
        now_s = asyncio.get_running_loop().time()
        # The clocks of VMs differ by far less than `_MIN_START_DIFFERENCE_S`.
        peers = self._earlier_peers(_MIN_START_DIFFERENCE_S)
        self.random.shuffle(peers)
        peers.sort(key=lambda peer: peer.zone != self.zone)
        for peer in peers:
            try:
                # Only the index is used; the items of the store in the copy are discarded.
                replica = self.store_view.replica
                copy = await fetch_store_copy(
                    peer.address,
                    StoreCopyRequest(
                        after=replica.revision,
                        era=replica.era,
                        configuration_version=self.store_view.configuration_version,
                        with_placements=True,
                    ),
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
            merge_crash_reports(self.dispatcher.crash_evidence, copy.crashes, now_s)
            _LOGGER.info(
                "cache contents received",
                extra={"peer": peer.name, "servers": len(copy.placements)},
            )
            return True
        return False

    def _assigned_servers(self) -> list[ServerState]:
        """Returns the warm model servers for which this node ranks first among the live nodes.

        Those that are leaving or in a zone out of service get no new prompts, and are left alone.
        """
        now_s = asyncio.get_running_loop().time()
        names = [peer.name for peer in self.dispatcher.peer_table.live_peers(now_s)]
        assigned = []
        for state in self.dispatcher.directory.servers.values():
            service = self.dispatcher.find_service(state.entry.service)
            if service is None or not service.runs_models or state.is_cold(now_s):
                continue
            if self.dispatcher.directory.is_out_of_service(state):
                continue
            if rank_equally(state.server_id, [*names, self.node], 1) == [self.node]:
                assigned.append(state)
        return assigned

    async def _list_cache(self, state: ServerState) -> None:
        client = HttpClient(f"{state.entry.host}:{state.entry.port}")
        # `HttpClient` raises PublishedStoreError for any address, not only for that of the store.
        try:
            response = await client.get(self.backend_dialect.cache_listing_target, _LIST_TIMEOUT_S)
            if response.status != 200:
                raise BackendProtocolError(f"cache listing got status {response.status}")
            keys = self.backend_dialect.parse_cache_listing(response.body)
        except (PublishedStoreError, BackendProtocolError) as error:
            _LOGGER.warning(
                "cache contents not listed",
                extra={"server": state.server_id, "reason": error.message},
            )
            return
        finally:
            client.close()
        now_s = asyncio.get_running_loop().time()
        self.dispatcher.cached_parts.record_parts(keys, state.server_id, now_s)
        self.dispatcher.unannounced_keys_by_server.setdefault(state.server_id, set()).update(keys)
        _LOGGER.info("cache contents listed", extra={"server": state.server_id, "parts": len(keys)})
