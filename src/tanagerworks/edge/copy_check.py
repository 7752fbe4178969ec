"""Brings a node's copy of the published store up to date on request.

The age that is known of a copy is an estimate: a response or a message of a peer may have waited in
a socket while the process was paused. Only a read that began after an event has all changes before
it.
"""

import asyncio
import logging
import math

from tanagerworks.edge.follower import STORE_SOURCE, ReadStart, StoreView
from tanagerworks.edge.interfaces import PublishedStore
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import PublishedStoreError

_LOGGER = logging.getLogger(__name__)

# The store answers within milliseconds; a caller waits for this read.
_READ_TIMEOUT_S = 0.15
# Time for which the store may hold the read; it has to answer at once.
_READ_WAIT_S = 0.001
# Pause after a failed read, in which callers are not kept waiting for another one.
_FAILURE_PAUSE_S = 0.5


class CopyCheck:
    """Reads the changes of the store out of turn; callers that wait share one read."""

    def __init__(self, store: PublishedStore, store_view: StoreView, metrics: EdgeMetrics) -> None:
        """`store` is a client that nobody else reads with."""
        self.store = store
        self.store_view = store_view
        self.metrics = metrics
        # Event loop time of the start of the last read that succeeded.
        self.confirmed_s = -math.inf
        self.failed_at_s = -math.inf
        self.read_task: asyncio.Task[None] | None = None

    async def catch_up(self, since_s: float) -> bool:
        """Applies the changes of the store up to an event loop time that has passed.

        Returns whether the copy has all of them; False if the store does not answer in time.
        """
        loop = asyncio.get_running_loop()
        while self.confirmed_s < since_s:
            if loop.time() - self.failed_at_s < _FAILURE_PAUSE_S:
                return False
            if self.read_task is None or self.read_task.done():
                self.read_task = loop.create_task(self._read())
            await asyncio.wait([self.read_task])
        return True

    async def _read(self) -> None:
        """Reads the changes since the copy; records when the read began, or that it failed."""
        loop = asyncio.get_running_loop()
        start = ReadStart(self.store_view)
        replica = self.store_view.replica
        revision, era = replica.revision, replica.era
        self.metrics.record_store_call("check")
        try:
            if not revision:
                raise PublishedStoreError("this node has no copy of the store yet")
            change_set = await self.store.wait_for_changes(revision, _READ_WAIT_S, _READ_TIMEOUT_S)
            if change_set.era not in (0, era) or era != replica.era:
                raise PublishedStoreError("the store was restored from an older copy")
            self.store_view.apply(change_set.changes, change_set.revision, STORE_SOURCE, era)
        except PublishedStoreError as error:
            self.failed_at_s = loop.time()
            _LOGGER.warning("copy of the store not confirmed", extra={"reason": error.message})
        except Exception:
            self.failed_at_s = loop.time()
            _LOGGER.exception("copy of the store not confirmed")
        else:
            self.confirmed_s = start.began_s
            self.store_view.confirm(start.time_s())
        finally:
            # A connection that is not used may be lost without notice.
            self.store.disconnect()
