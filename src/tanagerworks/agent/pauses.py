"""Detects pauses of the process, and refreshes its state before it answers calls."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import grpc

_LOGGER = logging.getLogger(__name__)
_TICKS_PER_GAP = 5


class PauseGuard:
    """Detects pauses from the gaps between ticks of a clock that counts suspended time.

    After a gap of more than `max_gap_s`, calls wait for `refresh`, for at most
    `refresh_timeout_s`. A node that reaches neither the platform nor a peer answers after that
    time, because both sides of a network partition keep serving with their own slots.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        refresh: Callable[[], Awaitable[bool]],
        *,
        max_gap_s: float,
        refresh_timeout_s: float,
    ) -> None:
        self.clock = clock
        self.refresh = refresh
        self.max_gap_s = max_gap_s
        self.refresh_timeout_s = refresh_timeout_s
        self.ticked_at_s = clock()
        self.refresh_task: asyncio.Task[None] | None = None
        self.pauses = 0

    async def run(self) -> None:
        """Ticks until cancelled."""
        while True:
            self.detect_pause()
            await asyncio.sleep(self.max_gap_s / _TICKS_PER_GAP)

    def detect_pause(self) -> None:
        """Starts a refresh if the process was paused since the last tick."""
        now_s = self.clock()
        gap_s = now_s - self.ticked_at_s
        self.ticked_at_s = now_s
        if gap_s <= self.max_gap_s:
            return
        self.pauses += 1
        _LOGGER.warning("the process was paused", extra={"gap_s": round(gap_s, 3)})
        self.start_refresh()

    def start_refresh(self) -> None:
        """Starts a refresh unless one is in progress."""
        if self.refresh_task is None or self.refresh_task.done():
            self.refresh_task = asyncio.get_running_loop().create_task(self._refresh())

    async def _refresh(self) -> None:
        try:
            async with asyncio.timeout(self.refresh_timeout_s):
                refreshed = await self.refresh()
        except TimeoutError:
            refreshed = False
        if not refreshed:
            _LOGGER.warning("refresh got no answer; continuing with the previous state")

    async def ensure_fresh(self) -> None:
        """Waits for the refresh after a pause; returns at once if there was none."""
        # After a pause, a call may be handled before the next tick.
        self.detect_pause()
        if self.refresh_task is not None and not self.refresh_task.done():
            await asyncio.shield(self.refresh_task)


class PauseInterceptor(grpc.aio.ServerInterceptor):
    """Makes every call wait for the refresh after a pause.

    A call of `Refresh` also starts a refresh if the state is older than `max_age_s`.
    """

    def __init__(
        self, pause_guard: PauseGuard, age_s: Callable[[], float], max_age_s: float
    ) -> None:
        self.pause_guard = pause_guard
        self.age_s = age_s
        self.max_age_s = max_age_s

    async def intercept_service(  # noqa: D102 - documented by the base class
        self, continuation: Callable, details: grpc.HandlerCallDetails
    ) -> grpc.RpcMethodHandler:
        if details.method.endswith("/Refresh") and self.age_s() > self.max_age_s:
            self.pause_guard.start_refresh()
        await self.pause_guard.ensure_fresh()
        return await continuation(details)
