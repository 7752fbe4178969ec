"""Follows the release note and the VM list of the platform."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

from tanagerworks.agent.daemon_call import call_in_daemon_thread
from tanagerworks.agent.note_keeper import NoteKeeper, SubmitResult
from tanagerworks.agent.platform_client import PlatformClient, PlatformValue
from tanagerworks.errors import PlatformError

_LOGGER = logging.getLogger(__name__)

DELTA_KEY = "release-note"
FULL_KEY = "release-note-full"
SOURCE = "platform"
_FIRST_BACKOFF_S = 0.25
# A note must be in force within 12 s, so the return of the platform has to be noticed well before.
_MAX_BACKOFF_S = 4.0
# A watch that returns early without a value must not become a busy loop.
_EMPTY_WAIT_S = 0.5


class Backoff:
    """Exponential backoff with jitter, so that nodes do not retry at the same time."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.failures = 0

    def next_delay_s(self, at_least_s: float | None = None) -> float:
        """Returns the delay after one more failure in seconds, `at_least_s` or more."""
        limit_s = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2**self.failures)
        # The exponent is bounded because the platform can be down for days.
        self.failures = min(self.failures + 1, 16)
        return max(at_least_s or 0.0, limit_s * self.random.uniform(0.2, 1.0))

    def reset(self) -> None:
        """Resets the delay after a success."""
        self.failures = 0


class PlatformFollower:
    """Watches both keys of the release note and polls the VM list until cancelled.

    `on_contact` is called on every answer and `on_vm_list` with every VM list. While the platform
    is down, the note in force and the last VM list stay in use.
    """

    def __init__(
        self,
        client: PlatformClient,
        note_keeper: NoteKeeper,
        random: Random,
        *,
        watch_s: float,
        vm_poll_s: float,
        on_contact: Callable[[], None],
        on_vm_list: Callable[[dict[str, str]], None],
    ) -> None:
        self.client = client
        self.note_keeper = note_keeper
        self.random = random
        self.watch_s = watch_s
        self.vm_poll_s = vm_poll_s
        self.on_contact = on_contact
        self.on_vm_list = on_vm_list
        self.failures = 0
        self.answers = 0
        self.stale = False
        self.full_note_lock = asyncio.Lock()

    async def run(self) -> None:
        """Follows the platform until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_key(FULL_KEY))
            tasks.create_task(self._watch_key(DELTA_KEY))
            tasks.create_task(self._poll_vms())

    async def refresh_note(self) -> None:
        """Reads the newest note and submits it to the note keeper.

        Raises:
            PlatformError: the platform did not answer, or the answer is not a value.
        """
        value = await self._read_value(DELTA_KEY, None, 0.0)
        if value is not None:
            await self._submit_value(DELTA_KEY, value)

    async def _watch_key(self, key: str) -> None:
        revision: str | None = None
        backoff = Backoff(self.random)
        while True:
            started_s = asyncio.get_running_loop().time()
            try:
                value = await self._read_value(key, revision, self.watch_s)
            except PlatformError as error:
                await self._back_off(error, backoff)
                continue
            backoff.reset()
            if value is None:
                waited_s = asyncio.get_running_loop().time() - started_s
                if waited_s < _EMPTY_WAIT_S:
                    await asyncio.sleep(_EMPTY_WAIT_S * self.random.uniform(0.5, 1.0))
                continue
            revision = value.revision
            try:
                await self._submit_value(key, value)
            except PlatformError as error:
                # The base could not be read, so the same delta has to be submitted again.
                revision = None
                await self._back_off(error, backoff)

    async def _poll_vms(self) -> None:
        backoff = Backoff(self.random)
        while True:
            try:
                vms = await call_in_daemon_thread(self.client.read_vms, name="platform-vms")
            except PlatformError as error:
                self.failures += 1
                await self._back_off(error, backoff)
                continue
            backoff.reset()
            self._record_answer()
            self.on_vm_list(vms)
            await asyncio.sleep(self.vm_poll_s * self.random.uniform(0.8, 1.2))

    async def _read_value(self, key: str, after: str | None, wait_s: float) -> PlatformValue | None:
        try:
            value = await call_in_daemon_thread(
                self.client.read_value, key, after, wait_s, name="platform-read"
            )
        except PlatformError:
            self.failures += 1
            raise
        self._record_answer()
        return value

    def _record_answer(self) -> None:
        self.answers += 1
        self.on_contact()

    async def _back_off(self, error: PlatformError, backoff: Backoff) -> None:
        if backoff.failures == 0:
            _LOGGER.warning("cannot read from the platform", extra={"error": error.message})
        await asyncio.sleep(backoff.next_delay_s(error.retry_after_s))

    async def _submit_value(self, key: str, value: PlatformValue) -> None:
        result = await self.note_keeper.submit_published_note(value.content, SOURCE)
        if key == DELTA_KEY:
            self._update_stale(result)
        if result is not SubmitResult.BASE_MISSING:
            return
        # The note keeper submits the pending delta again after the base, which a peer may send.
        async with self.full_note_lock:
            if self.note_keeper.pending_delta is None:
                return
            full = await self._read_value(FULL_KEY, None, 0.0)
            if full is not None:
                await self.note_keeper.submit_published_note(full.content, SOURCE)

    def _update_stale(self, result: SubmitResult) -> None:
        stale = result is SubmitResult.STALE
        if stale and not self.stale:
            _LOGGER.warning(
                "the platform serves an older release note than the one in force",
                extra={"serial": self.note_keeper.serial},
            )
        self.stale = stale
