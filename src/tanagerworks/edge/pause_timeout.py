"""Timeouts that do not expire because the process itself was paused.

When a paused VM wakes up, its timers are due before it has read what arrived meanwhile. Without
care, it would give up requests whose responses are waiting in its sockets.
"""

import asyncio
from types import TracebackType
from typing import Self

# A timer that fires later than this shows that the process was paused or overloaded.
PAUSE_S = 0.25


class PauseTolerantTimeout:
    """Asynchronous context manager like `asyncio.timeout_at`, extended after a pause.

    `when_s` is in seconds of the event loop's clock. If the timer fires more than `PAUSE_S` late,
    the timeout is extended by `extension_s` from then, but only once for each expiry that was set.

    Raises:
        TimeoutError: on exit, if the timeout expired.
    """

    def __init__(self, when_s: float, extension_s: float) -> None:
        self.when_s: float | None = when_s
        self.extension_s = extension_s
        self.handle: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[object] | None = None
        self.cancelling = 0
        self.extended = False
        self.expired = False

    async def __aenter__(self) -> Self:
        """Starts the timer."""
        self.task = asyncio.current_task()
        assert self.task is not None
        self.cancelling = self.task.cancelling()
        self._start_timer(self.when_s)
        return self

    def reschedule(self, when_s: float | None) -> None:
        """Moves the expiry; None means that the timeout does not expire."""
        self.extended = False
        self._start_timer(when_s)

    def _start_timer(self, when_s: float | None) -> None:
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        self.when_s = when_s
        if when_s is not None and not self.expired:
            self.handle = asyncio.get_running_loop().call_at(when_s, self._expire)

    def _expire(self) -> None:
        now_s = asyncio.get_running_loop().time()
        assert self.when_s is not None
        assert self.task is not None
        if now_s - self.when_s > PAUSE_S and not self.extended:
            self.extended = True
            self._start_timer(now_s + self.extension_s)
            return
        self.expired = True
        self.task.cancel()

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops the timer; raises TimeoutError in place of the cancellation that it caused."""
        if self.handle is not None:
            self.handle.cancel()
        if not self.expired or self.task is None:
            return
        if self.task.uncancel() <= self.cancelling and exc_type is asyncio.CancelledError:
            raise TimeoutError from exc
