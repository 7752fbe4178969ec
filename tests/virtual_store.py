"""A published store in virtual time, with nodes that cannot reach it."""

import asyncio

from adapter.store import MetadataStore

from tanagerworks.edge.follower import StoreFollower
from tanagerworks.edge.interfaces import ChangeSet, StorePage
from tanagerworks.edge.store_role import StoreRole
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import HistoryLostError, PublishedStoreError
from tanagerworks.published.replica import Change

# Time for which the store may hold a read, and the rest of its timeout.
READ_WAIT_S = 5.0
READ_TIMEOUT_S = 1.0
_POLL_S = 0.01


class VirtualStore:
    """Items with a history; nodes in `unreachable_from` get no answer, also to earlier reads."""

    def __init__(self):
        self.revision = 0
        self.history = []
        self.unreachable_from = set()
        # Time that an answer takes once it is given.
        self.answer_delay_s = 0.0
        # Until when waiting reads hear nothing; what was changed meanwhile they never hear.
        self.deaf_until_s = 0.0
        self.lost_revision = 0
        self.reads = 0

    def put(self, key, value):
        self.revision += 1
        self.history.append(Change(key, self.revision, value))
        if asyncio.get_running_loop().time() < self.deaf_until_s:
            self.lost_revision = self.revision

    def delete(self, key):
        self.put(key, None)


class VirtualStoreClient:
    """Implements `PublishedStore` for one node."""

    def __init__(self, store, node):
        self.store = store
        self.node = node
        self.decode_item = MetadataStore("127.0.0.1:1").decode_item

    async def list_page(self, after_key, timeout_s):
        await self._answer_after(0.004, timeout_s)
        latest = {change.key: change for change in self.store.history}
        revision = self.store.revision
        await asyncio.sleep(self.store.answer_delay_s)
        items = [change for change in latest.values() if change.value is not None]
        return StorePage(tuple(items), revision, True)

    async def wait_for_changes(self, revision, wait_s, timeout_s):
        loop = asyncio.get_running_loop()
        until_s, timeout_at_s = loop.time() + wait_s, loop.time() + timeout_s
        while self._hears_nothing(revision) and loop.time() < until_s:
            await asyncio.sleep(_POLL_S)
        deaf = loop.time() < self.store.deaf_until_s
        await self._answer_after(0.004, timeout_at_s - loop.time())
        if deaf:
            return ChangeSet((), revision)
        if revision < self.store.lost_revision:
            raise HistoryLostError("the history is lost")
        changes = tuple(change for change in self.store.history if change.revision > revision)
        change_set = ChangeSet(changes, self.store.revision)
        await asyncio.sleep(self.store.answer_delay_s)
        return change_set

    def _hears_nothing(self, revision):
        deaf = asyncio.get_running_loop().time() < self.store.deaf_until_s
        return deaf or self.store.revision <= revision

    def disconnect(self):
        pass

    async def _answer_after(self, delay_s, timeout_s):
        self.store.reads += 1
        await asyncio.sleep(delay_s)
        if self.node in self.store.unreachable_from:
            await asyncio.sleep(max(0.0, timeout_s - delay_s))
            raise PublishedStoreError("timed out")


def attach_store(fleet, store, leaving_notice_s):
    """Lets the nodes of a `VirtualFleet` follow the store."""
    for node in fleet.nodes:
        client = VirtualStoreClient(store, node.name)
        role = StoreRole(node.name, node.zone, node.table, node.store_view, leaving_notice_s)
        node.follower = StoreFollower(
            client, node.store_view, EdgeMetrics(), READ_WAIT_S, READ_TIMEOUT_S, role
        )
        node.follower.random.seed(node.number)
        node.exchange.is_following_store = node.follower.is_reliable
        node.store_view.on_store_changed = node.exchange.announce_in_zone
        fleet.loop.create_task(node.follower.run())


async def fetch_virtual_copy(fleet, address, request):
    """Stands in for `fetch_store_copy` between the nodes of a fleet."""
    await asyncio.sleep(0.004)
    copy = fleet.by_address[address].exchange._build_copy(request)
    await asyncio.sleep(fleet.copy_delay_s)
    return copy
