"""Keeps this node's copy of the published store up to date, from the store and from peers."""

import asyncio
import logging
import math
import random
from collections.abc import Callable, Iterable

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.edge.interfaces import PublishedStore
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import HistoryLostError, PublishedStoreError
from tanagerworks.published.model import Configuration, ServerEntry, Unusable, ZoneOut
from tanagerworks.published.replica import Change, Replica

_LOGGER = logging.getLogger(__name__)

# Time between two tries while the store does not answer, doubling up to the maximum. The maximum
# is a tenth of the time in which a configuration has to be in force.
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 0.5
# The store counts as lost when it has not answered for this long; entries may have expired.
_OUTAGE_S = 1.0
# The source of changes that did not come from a peer.
STORE_SOURCE = "store"
# Wait of a read that only finds out whether the store answers.
_CHECK_WAIT_S = 0.05
# Time between the starts of two reads while changes come one after another: each read is priced,
# and a change is in force a quarter of a second later at the most, of the two seconds allowed.
_MIN_INTERVAL_S = 0.25
# How often a node that follows peers looks whether it has to read the store itself.
_ROLE_CHECK_S = 0.1


class StoreView:
    """Applies changes of the store to the dispatcher, whichever way they came."""

    def __init__(self, store: PublishedStore, dispatcher: Dispatcher) -> None:
        self.store = store
        self.dispatcher = dispatcher
        self.replica = Replica()
        self.servers_of_key: dict[str, str] = {}
        self.zones_of_key: dict[str, str] = {}
        # Called after beliefs have changed.
        self.on_changed: Callable[[], None] = lambda: None
        # Called after the store has told something new.
        self.on_store_changed: Callable[[], None] = lambda: None

    @property
    def complete(self) -> bool:
        """Whether a configuration and at least one server are known."""
        return self.dispatcher.configuration is not None and bool(self.dispatcher.directory.servers)

    def apply(self, changes: Iterable[Change], revision: int, source: str) -> None:
        """Takes in changes up to a revision; `source` names where they came from."""
        self._take_in(self.replica.apply_changes(changes, revision), source)

    def replace(self, items: Iterable[Change], revision: int, source: str) -> None:
        """Takes over a whole listing unless it is older than what is known."""
        self._take_in(self.replica.replace_items(items, revision), source)

    def _take_in(self, news: list[Change], source: str) -> None:
        for change in news:
            try:
                self._take_in_one(change, source)
            except Exception:
                # One bad value must not keep the node from following the others.
                _LOGGER.exception("published value cannot be applied", extra={"key": change.key})
        if not news:
            return
        self.on_changed()
        if source == STORE_SOURCE:
            self.on_store_changed()

    def _take_in_one(self, change: Change, source: str) -> None:
        now_s = asyncio.get_running_loop().time()
        directory = self.dispatcher.directory
        extra = {"key": change.key, "revision": change.revision, "source": source}
        if change.value is None:
            self._forget(change, now_s, extra)
            return
        value = self.store.decode_item(change)
        if isinstance(value, Configuration):
            known = self.dispatcher.configuration
            if known is not None and value.version <= known.version:
                return
            self.dispatcher.apply_configuration(value)
            _LOGGER.info(
                "configuration in force",
                extra=extra | {"version": value.version, "routes": len(value.routes)},
            )
        elif isinstance(value, ServerEntry):
            self.servers_of_key[change.key] = value.server_id
            event = directory.put(value, now_s)
            if event == "restarted":
                self.dispatcher.cached_parts.drop_server(value.server_id)
            if event != "updated":
                _LOGGER.info(
                    "server entry",
                    extra=extra | {"server": value.server_id, "event": event, "zone": value.zone},
                )
        elif isinstance(value, ZoneOut):
            self.zones_of_key[change.key] = value.zone
            directory.zones_out.add(value.zone)
            _LOGGER.info("zone out of service", extra=extra | {"zone": value.zone})
        elif isinstance(value, Unusable):
            _LOGGER.warning("published value unusable", extra=extra | {"reason": value.reason})
            self._forget(change, now_s, extra)

    def _forget(self, change: Change, now_s: float, extra: dict[str, object]) -> None:
        server_id = self.servers_of_key.pop(change.key, None)
        if server_id is not None:
            event = self.dispatcher.directory.delete(server_id, now_s)
            _LOGGER.info("server entry", extra=extra | {"server": server_id, "event": event})
        zone = self.zones_of_key.pop(change.key, None)
        if zone is not None:
            self.dispatcher.directory.zones_out.discard(zone)
            _LOGGER.info("zone back in service", extra=extra | {"zone": zone})


class StoreFollower:
    """Reads the store in a loop that survives every failure."""

    def __init__(
        self,
        store: PublishedStore,
        store_view: StoreView,
        metrics: EdgeMetrics,
        wait_s: float,
        timeout_s: float,
        must_follow: Callable[[], bool],
    ) -> None:
        self.store = store
        self.store_view = store_view
        self.metrics = metrics
        self.wait_s = wait_s
        self.timeout_s = timeout_s
        # Whether this node has to read the store; others follow peers.
        self.must_follow = must_follow
        self.is_following = False
        self.last_answer_s = float("-inf")
        self.connected = False
        self.listed = False
        self.random = random.Random()
        self.read_task: asyncio.Task[None] | None = None
        self.checking = False

    def check_store_now(self) -> None:
        """Makes the follower find out at once whether the store still answers."""
        if self.connected and not self.checking and self.read_task is not None:
            self.checking = True
            self.read_task.cancel()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        retry_s = _FIRST_RETRY_S
        while True:
            self.is_following = not self.listed or self.must_follow()
            if not self.is_following:
                await asyncio.sleep(_ROLE_CHECK_S)
                continue
            loop = asyncio.get_running_loop()
            next_s = loop.time() + _MIN_INTERVAL_S
            try:
                await self._read_interruptibly()
                retry_s = _FIRST_RETRY_S
                await asyncio.sleep(max(0.0, next_s - loop.time()))
                continue
            except HistoryLostError:
                _LOGGER.warning(
                    "store history lost; listing anew",
                    extra={"revision": self.store_view.replica.revision},
                )
                self.listed = False
            except PublishedStoreError as error:
                self._lost(error.message)
            except Exception:
                # An unforeseen answer must not end the loop: the node would keep old beliefs.
                _LOGGER.exception("store cannot be followed; listing anew")
                self.listed = False
            await asyncio.sleep(retry_s * self.random.uniform(0.7, 1.3))
            retry_s = min(_MAX_RETRY_S, 2.0 * retry_s)

    async def _read_interruptibly(self) -> None:
        self.read_task = asyncio.get_running_loop().create_task(self._read_once())
        try:
            await asyncio.wait([self.read_task])
        finally:
            self.read_task.cancel()
        if self.read_task.cancelled():
            return
        self.read_task.result()
        self.checking = False

    async def _read_once(self) -> None:
        if not self.listed:
            await self._list()
        else:
            revision = self.store_view.replica.revision
            self.metrics.record_store_call("changes")
            wait_s = _CHECK_WAIT_S if self.checking else self.wait_s
            found = await self.store.wait_for_changes(revision, wait_s, wait_s + self.timeout_s)
            self._answered()
            self.store_view.apply(found.changes, found.revision, STORE_SOURCE)

    async def _list(self) -> None:
        items: list[Change] = []
        first_revision = 0
        after_key = ""
        while True:
            self.metrics.record_store_call("list")
            page = await self.store.list_page(after_key, self.timeout_s)
            # Later pages may be newer; the changes since the first are read again afterwards.
            first_revision = first_revision or page.revision
            items.extend(page.items)
            if page.complete or not page.items:
                break
            after_key = page.items[-1].key
        self._answered()
        self.store_view.replace(items, first_revision, STORE_SOURCE)
        self.listed = True

    def _answered(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if not self.connected:
            silent_s = now_s - self.last_answer_s
            if _OUTAGE_S < silent_s < math.inf:
                self.store_view.dispatcher.directory.hold_deletions(now_s)
            _LOGGER.info("store answers", extra={"silent_s": _rounded(silent_s)})
        self.connected = True
        self.last_answer_s = now_s

    def _lost(self, reason: str) -> None:
        self.checking = False
        if self.connected:
            _LOGGER.warning("store does not answer", extra={"reason": reason})
        self.connected = False


def _rounded(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
