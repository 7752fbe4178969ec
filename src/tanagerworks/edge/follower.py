"""Applies changes of the published store to this node and follows the store.

The changes come from the store itself or, on most nodes, from peers.
"""

import asyncio
import logging
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from tanagerworks.clock import SuspensionMeter
from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.edge.interfaces import PublishedStore
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import HistoryLostError, PublishedStoreError
from tanagerworks.published.model import Configuration, ServerEntry, UnusableValue, ZoneOut
from tanagerworks.published.replica import Change, Replica
from tanagerworks.published.seen_writes import SeenWrites

_LOGGER = logging.getLogger(__name__)

# Time between two reads while the store does not respond, doubled up to the maximum. The maximum is
# a tenth of the time within which a new configuration must be in force.
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 0.5
# Shortest outage of the store, as far as reads show it, after which deletions are held back, since
# entries may have expired while servers could not renew them.
_MIN_OUTAGE_S = 0.5
# Largest version of a configuration that messages between nodes can carry.
_MAX_UINT64 = 2**64 - 1
# Keys in the log line of a restored store.
_MAX_LOGGED_KEYS = 20
# Time within which a paused node reads the messages of its peers that have arrived meanwhile. Later
# ones state how old the sender's copy is now.
_MAX_MESSAGE_DELAY_S = 1.0
# Source of changes that were read from the store rather than received from a peer.
STORE_SOURCE = "store"
# Time for which the store may hold a read that only checks whether it responds.
_CHECK_WAIT_S = 0.05
# Minimum time between the starts of two reads, since each read has a price. This delays a change by
# at most 0.25 s of the 2 s allowed.
_MIN_READ_INTERVAL_S = 0.25
# Time between two checks of a node that gets changes from peers whether it must follow the store.
_ROLE_CHECK_PERIOD_S = 0.1


class FollowerRole(Protocol):
    """What a `StoreFollower` has to know of the part of its node; see `StoreRole`."""

    @property
    def read_wait_s(self) -> float:
        """Longest time in seconds that a read may wait at the store for a change."""

    @property
    def max_copy_age_s(self) -> float:
        """Age in seconds from which a copy of the store is too old to rely on."""

    def must_follow_store(self) -> bool:
        """Whether this node has to read the store now; other nodes get changes from peers."""


class StoreView:
    """This node's view of the published store.

    Applies changes, received from the store or from peers, to the copy of the store and to the
    dispatcher.
    """

    def __init__(self, store: PublishedStore, dispatcher: Dispatcher) -> None:
        self.store = store
        self.dispatcher = dispatcher
        self.replica = Replica()
        self.seen_writes = SeenWrites(store.decode_item)
        self.suspension_meter = SuspensionMeter()
        # For how long the VM has been suspended since the start of the process.
        self.suspended_s = 0.0
        # The item with the configuration in force; None before the first.
        self.configuration_item: Change | None = None
        # The server and the zone that each key of the store published, to remove them when the key
        # is deleted.
        self.server_ids_by_key: dict[str, str] = {}
        self.zones_by_key: dict[str, str] = {}
        # Called after the view has changed.
        self.on_changed: Callable[[], None] = lambda: None
        # Called after a read of the store, not a copy from a peer, has changed the view.
        self.on_store_changed: Callable[[], None] = lambda: None

    @property
    def complete(self) -> bool:
        """Whether a configuration and at least one server are known."""
        return self.dispatcher.configuration is not None and bool(self.dispatcher.directory.servers)

    def account_for_suspension(self) -> None:
        """Moves recorded times back if the VM was suspended; the event loop's clock stood still.

        To be called before times are compared with the clock, or their ages stated.
        """
        suspended_s = self.suspension_meter.take_suspended_s()
        if not suspended_s:
            return
        self.suspended_s += suspended_s
        self.dispatcher.directory.record_suspension(suspended_s)
        self.replica.record_suspension(suspended_s)
        _LOGGER.warning("machine was suspended", extra={"suspended_s": round(suspended_s, 2)})

    def confirm(self, as_of_s: float) -> None:
        """Records that the copy has all changes of the store up to an event loop time.

        Nothing that arrives late may make that time too late: it has to be one at which a read
        began, or follow from it. Use `estimate` otherwise.
        """
        directory = self.dispatcher.directory
        directory.confirmed_s = max(directory.confirmed_s, as_of_s)

    def estimate(self, as_of_s: float) -> None:
        """Records the time of `confirm` as what has just arrived says, if it was not delayed."""
        directory = self.dispatcher.directory
        directory.estimated_s = max(directory.estimated_s, as_of_s)

    def age_s(self, now_s: float) -> float:
        """Returns an estimate for how many seconds changes may be missing; infinite if unknown."""
        self.account_for_suspension()
        return now_s - self.dispatcher.directory.copy_as_of_s

    def apply(self, changes: Iterable[Change], revision: int, source: str, era: int = 0) -> None:
        """Applies changes up to `revision`; `source` is where they come from, for the log."""
        self.account_for_suspension()
        confirmed_s = self.dispatcher.directory.confirmed_s
        dated = [
            replace(change, acknowledged_after_s=max(confirmed_s, change.acknowledged_after_s))
            for change in changes
        ]
        self._apply_changes(self.replica.apply_changes(dated, revision, era), source)

    def replace(self, items: Iterable[Change], revision: int, source: str, era: int = 0) -> None:
        """Replaces the view by a full listing as of `revision`, unless that is older.

        The first listing of a later era shows a store that was restored from an older copy. What
        this node has seen since that copy stays in force until it is written again: the newer
        configuration for good, servers and zones out of service that the listing lacks for a time.

        A listing does not show what has come and gone since the former view, unlike changes, nor
        when it came: what reads that waited for changes did not hear may be in it.
        """
        if self.replica.revision:
            now_s = asyncio.get_running_loop().time()
            self.dispatcher.directory.versions.record_gap(now_s + _MAX_MESSAGE_DELAY_S)
        if self.replica.era and era > self.replica.era:
            self._apply_restored(items, revision, source, era)
        else:
            self._apply_changes(self.replica.replace_items(items, revision, era), source)

    def _apply_restored(
        self, items: Iterable[Change], revision: int, source: str, era: int
    ) -> None:
        """Applies the first listing of a later era, except for what this node knows better."""
        now_s = asyncio.get_running_loop().time()
        directory = self.dispatcher.directory
        former_era, former_revision = self.replica.era, self.replica.revision
        changes = self.replica.replace_items(items, revision, era)
        lost = [change.key for change in changes if change.value is None]
        superseded = [change.key for change in changes if self.seen_writes.supersedes(change)]
        _LOGGER.warning(
            "store was restored from an older copy",
            extra={
                "source": source,
                "era": era,
                "revision": revision,
                "former_era": former_era,
                "former_revision": former_revision,
                "lost": lost[:_MAX_LOGGED_KEYS],
                "superseded": superseded[:_MAX_LOGGED_KEYS],
            },
        )
        directory.hold_deletions(now_s)
        ignored = set(superseded)
        for key in lost:
            zone = self.zones_by_key.pop(key, None)
            if zone is None:
                continue
            directory.hold_zone_return(zone, now_s)
            ignored.add(key)
        self._apply_changes([change for change in changes if change.key not in ignored], source)
        if source == STORE_SOURCE:
            self.on_store_changed()

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force, in the range of messages; 0 before the first."""
        return min(max(self.dispatcher.version, 0), _MAX_UINT64)

    def adopt_configuration(self, item: Change, source: str) -> None:
        """Puts a peer's configuration in force if its version is newer, whatever the era.

        Operators count versions up, so they order configurations also after the store has lost
        the newest one.
        """
        if isinstance(self.store.decode_item(item), Configuration):
            self._apply_changes([item], source)

    def _apply_changes(self, new_changes: list[Change], source: str) -> None:
        configurations: list[Change] = []
        others: list[Change] = []
        for change in new_changes:
            self.seen_writes.record(change)
            (configurations if self._is_configuration(change) else others).append(change)
        # Decoding a large configuration holds up all requests, and only the last usable one counts.
        for change in reversed(configurations):
            self._try_change(change, source)
            if self.configuration_item is change:
                break
        for change in others:
            self._try_change(change, source)
        if not new_changes:
            return
        self.on_changed()
        if source == STORE_SOURCE:
            self.on_store_changed()

    def _is_configuration(self, change: Change) -> bool:
        """Whether a change writes the item of the configuration in force."""
        item = self.configuration_item
        return item is not None and change.key == item.key and change.value is not None

    def _try_change(self, change: Change, source: str) -> None:
        """Applies a change; one bad value must not prevent the others from being applied."""
        try:
            self._apply_change(change, source)
        except Exception:
            _LOGGER.exception("published value cannot be applied", extra={"key": change.key})

    def _apply_change(self, change: Change, source: str) -> None:
        now_s = asyncio.get_running_loop().time()
        directory = self.dispatcher.directory
        extra = {"key": change.key, "revision": change.revision, "source": source}
        if change.value is None:
            self._remove_value(change, now_s, extra)
            return
        value = self.store.decode_item(change)
        if isinstance(value, Configuration):
            current = self.dispatcher.configuration
            if current is not None and value.version <= current.version:
                return
            self.dispatcher.apply_configuration(value)
            self.configuration_item = change
            _LOGGER.info(
                "configuration in force",
                extra=extra | {"version": value.version, "routes": len(value.routes)},
            )
        elif isinstance(value, ServerEntry):
            self.server_ids_by_key[change.key] = value.server_id
            event = directory.put(value, now_s, change.acknowledged_after_s)
            if event == "restarted":
                self.dispatcher.cached_parts.drop_server(value.server_id)
            if event != "updated":
                _LOGGER.info(
                    "server entry",
                    extra=extra | {"server": value.server_id, "event": event, "zone": value.zone},
                )
        elif isinstance(value, ZoneOut):
            self.zones_by_key[change.key] = value.zone
            directory.put_zone_out(value.zone, change.acknowledged_after_s)
            since_s = directory.zone_out_since_s.get(value.zone, -math.inf)
            _LOGGER.info(
                "zone out of service",
                extra=extra | {"zone": value.zone, "counted_for_s": _rounded(now_s - since_s)},
            )
        elif isinstance(value, UnusableValue):
            _LOGGER.warning("published value unusable", extra=extra | {"reason": value.reason})
            self._remove_value(change, now_s, extra)

    def _remove_value(self, change: Change, now_s: float, extra: dict[str, object]) -> None:
        server_id = self.server_ids_by_key.pop(change.key, None)
        if server_id is not None:
            event = self.dispatcher.directory.delete(server_id, now_s)
            _LOGGER.info("server entry", extra=extra | {"server": server_id, "event": event})
        zone = self.zones_by_key.pop(change.key, None)
        if zone is not None:
            self.dispatcher.directory.return_zone(zone)
            _LOGGER.info("zone back in service", extra=extra | {"zone": zone})


class ReadStart:
    """When a read began, in event loop time that includes suspensions of the VM since then."""

    def __init__(self, store_view: StoreView) -> None:
        self.store_view = store_view
        store_view.account_for_suspension()
        self.began_s = asyncio.get_running_loop().time()
        self.suspended_before_s = store_view.suspended_s

    def time_s(self) -> float:
        """Returns when the read began."""
        self.store_view.account_for_suspension()
        return self.began_s - (self.store_view.suspended_s - self.suspended_before_s)


class StoreFollower:
    """Follows the store: lists all items unless a peer has sent them, then reads changes.

    Changes are read by long polling. A read may wait at the store for a change for up to `wait_s`
    seconds, or less if the role says so; its response must arrive within another `timeout_s`
    seconds. All failures are retried.
    """

    def __init__(
        self,
        store: PublishedStore,
        store_view: StoreView,
        metrics: EdgeMetrics,
        wait_s: float,
        timeout_s: float,
        role: FollowerRole,
    ) -> None:
        self.store = store
        self.store_view = store_view
        self.metrics = metrics
        self.wait_s = wait_s
        self.timeout_s = timeout_s
        self.role = role
        self.is_following = False
        # Event loop time of the last usable response.
        self.last_response_s = float("-inf")
        # Whether the last read got a usable response.
        self.connected = False
        # Whether the next read opens a connection, so that its failure is one of the store.
        self.on_new_connection = True
        # Start of the first failed read on a new connection since the last response.
        self.outage_since_s: float | None = None
        # Whether all items are known, at first or after the store has lost its history.
        self.listed = False
        # Whether changes of the present copy are not available, so that all items must be listed.
        self.must_list = False
        self.random = random.Random()
        self.read_task: asyncio.Task[None] | None = None
        # Whether the next read is a short one that checks whether the store responds.
        self.checking = False

    def is_reliable(self) -> bool:
        """Whether this node follows the store and had a response lately, so peers need not."""
        age_s = asyncio.get_running_loop().time() - self.last_response_s
        return self.is_following and self.connected and age_s <= self.role.max_copy_age_s

    def check_store_now(self) -> None:
        """Replaces the pending read by a short one that shows whether the store still responds."""
        if self.connected and not self.checking and self.read_task is not None:
            self.checking = True
            self.read_task.cancel()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        retry_s = _FIRST_RETRY_S
        while True:
            self.is_following = not self.listed or self.role.must_follow_store()
            if not self.is_following:
                # A connection that is not used may be lost without notice.
                self.store.disconnect()
                self.on_new_connection = True
                await asyncio.sleep(_ROLE_CHECK_PERIOD_S)
                continue
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            next_s = began_s + _MIN_READ_INTERVAL_S
            try:
                await self._read_cancellable()
                retry_s = _FIRST_RETRY_S
                await asyncio.sleep(max(0.0, next_s - loop.time()))
                continue
            except HistoryLostError as error:
                _LOGGER.warning(
                    "store history lost; listing anew",
                    extra={
                        "revision": self.store_view.replica.revision,
                        "reason": error.message,
                    },
                )
                self.listed, self.must_list = False, True
            except PublishedStoreError as error:
                self._record_failure(error.message, began_s)
            except Exception:
                # The loop must continue after any error, or the view would stay outdated for good.
                _LOGGER.exception("following the store failed; listing it again")
                self.listed, self.must_list = False, True
            await asyncio.sleep(retry_s * self.random.uniform(0.7, 1.3))
            retry_s = min(_MAX_RETRY_S, 2.0 * retry_s)

    async def _read_cancellable(self) -> None:
        """Reads once; returns early if `check_store_now` cancels the read."""
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
        # A copy from a peer is continued: changes, unlike a listing, show what has come and gone.
        if self.must_list or not self.store_view.replica.revision:
            await self._list()
        else:
            revision, era = self.store_view.replica.revision, self.store_view.replica.era
            self.metrics.record_store_call("changes")
            # The store never answers a read that began while it was silent, so a long one begins
            # only after a recent response.
            is_long = not self.checking and self._has_recent_response()
            wait_s = min(self.wait_s, self.role.read_wait_s) if is_long else _CHECK_WAIT_S
            start = ReadStart(self.store_view)
            change_set = await self.store.wait_for_changes(
                revision, wait_s, wait_s + self.timeout_s
            )
            self._record_response()
            self.listed = True
            if change_set.era not in (0, era):
                raise HistoryLostError(f"the store is in era {change_set.era}")
            # A copy of a later era may have arrived from a peer while the read waited.
            self.store_view.apply(change_set.changes, change_set.revision, STORE_SOURCE, era)
            if era == self.store_view.replica.era:
                waited = self.last_response_s - start.began_s >= wait_s and not change_set.changes
                # Without a change, the store answers at the end of the wait and not before.
                self.store_view.confirm(start.time_s() + (wait_s if waited else 0.0))
                self.store_view.estimate(self.last_response_s)

    def _has_recent_response(self) -> bool:
        """Whether the last read succeeded, within the longest time that a read takes."""
        age_s = asyncio.get_running_loop().time() - self.last_response_s
        return self.connected and age_s < self.wait_s + self.timeout_s

    async def _list(self) -> None:
        items: list[Change] = []
        first_revision = era = 0
        # Changes after this time may be missing from the first page.
        start = ReadStart(self.store_view)
        after_key = ""
        while True:
            self.metrics.record_store_call("list")
            page = await self.store.list_page(after_key, self.timeout_s)
            # Later pages may be newer than the first. Changes after the first page's revision are
            # therefore read again.
            first_revision = first_revision or page.revision
            era = era or page.era
            if page.era != era:
                raise HistoryLostError(f"the store went from era {era} to {page.era}")
            items.extend(page.items)
            if page.complete or not page.items:
                break
            after_key = page.items[-1].key
        self._record_response()
        replica = self.store_view.replica
        older = (era or replica.era, first_revision) < (replica.era, replica.revision)
        _LOGGER.info(
            "store listed",
            extra={
                "items": len(items),
                "revision": first_revision,
                "era": era,
                "known_revision": replica.revision,
                "ignored": older,
            },
        )
        self.store_view.replace(items, first_revision, STORE_SOURCE, era)
        self.listed, self.must_list = True, False
        if not older:
            self.store_view.confirm(start.time_s())

    def _record_response(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if not self.connected:
            outage_s = 0.0
            if self.outage_since_s is not None:
                # What peers read in the meantime shows that the store answered.
                outage_s = min(now_s - self.outage_since_s, self.store_view.age_s(now_s))
            if outage_s > _MIN_OUTAGE_S:
                self.store_view.dispatcher.directory.hold_deletions(now_s)
            _LOGGER.info(
                "store answers",
                extra={
                    "outage_s": round(outage_s, 3),
                    "copy_age_s": _rounded(self.store_view.age_s(now_s)),
                    "deletions_held": outage_s > _MIN_OUTAGE_S,
                },
            )
        self.outage_since_s = None
        self.on_new_connection = False
        self.connected = True
        self.last_response_s = now_s

    def _record_failure(self, reason: str, began_s: float) -> None:
        """Records a failed read; on a connection that was open, it may show only its loss."""
        self.checking = False
        if self.on_new_connection and self.outage_since_s is None:
            self.outage_since_s = began_s
        self.on_new_connection = True
        if self.connected:
            _LOGGER.warning("store does not answer", extra={"reason": reason})
        self.connected = False


def _rounded(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
