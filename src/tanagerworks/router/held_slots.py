"""Slots that this router holds, from the agent's grant until the agent received the release."""

import heapq
import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

from tanagerworks.router.invariants import Invariants
from tanagerworks.rpc.tanager_pb2 import Ended, Evidence, Slot

_NO_LIMIT_S = float("inf")


@dataclass(eq=False)
class Grant:
    """Permission to run one request in a slot of an engine; times are on CLOCK_BOOTTIME."""

    slot: Slot
    boot_id: str = ""
    # No request may be started after this time.
    start_by_s: float = _NO_LIMIT_S
    max_work_s: float = 0.0
    # The slot index is below the engine's `cold_slots`, so the slot may be used even directly after
    # a start of the engine, without a check of its boot id.
    cold: bool = False
    ended: bool = False

    @property
    def engine_id(self) -> str:
        """Id of the engine that the slot belongs to."""
        return self.slot.engine_id

    @property
    def key(self) -> tuple[str, int, int]:
        """Identity of the grant."""
        return self.slot.engine_id, self.slot.index, self.slot.grant_id


@dataclass(order=True)
class _DelayedEnd:
    at_s: float
    number: int
    grant: Grant = field(compare=False)
    evidence: Evidence | None = field(compare=False)


class HeldSlots:
    """Holds each grant in exactly one state: in use, reusable, or waiting for release.

    Ended grants are held until `remove_released`, so no release is lost. Safe to use from several
    threads.
    """

    def __init__(self, invariants: Invariants | None = None) -> None:
        self.invariants = invariants or Invariants()
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)
        self.in_use: dict[tuple[str, int, int], Grant] = {}
        # Grants whose request has ended, kept for reuse while the agent is lost.
        self.reusable_grants: list[Grant] = []
        self.pending_releases: list[Ended] = []
        self.delayed_ends: list[_DelayedEnd] = []
        self.delayed_count = 0
        # Incremented with each report of the held slots to the agent, so that a grant that the
        # report lacks is detected.
        self.epoch = 0

    def start_epoch(self) -> list[Slot]:
        """Starts a new epoch; returns the held slots to report, which the agent counts as used."""
        with self.lock:
            self.epoch += 1
            grants = [*self.in_use.values(), *self.reusable_grants]
            return [grant.slot for grant in grants] + [
                ended.slot for ended in self.pending_releases
            ]

    def add_grant(self, grant: Grant, epoch: int) -> bool:
        """Records a new grant and returns True, or releases a grant of an earlier epoch.

        The agent may have received a report without that slot and count the slot as free.
        """
        with self.changed:
            if epoch != self.epoch:
                self.pending_releases.append(Ended(slot=grant.slot))
                self.changed.notify_all()
                return False
            self._check_unused(grant)
            self.in_use[grant.key] = grant
            return True

    def _check_unused(self, grant: Grant) -> None:
        if not self.invariants.enabled:
            return
        slot = (grant.slot.engine_id, grant.slot.index)
        grants = [*self.in_use.values(), *self.reusable_grants]
        unused = all((item.slot.engine_id, item.slot.index) != slot for item in grants)
        self.invariants.require(unused, f"slot {slot} was granted while it is in use")

    def end_grant(
        self, grant: Grant, evidence: Evidence | None, keep_for_reuse: bool = False
    ) -> None:
        """Ends the use of a grant; repeated calls have no effect.

        With `keep_for_reuse` the grant becomes reusable and its slot is not released.
        """
        with self.changed:
            self._end_grant(grant, evidence, keep_for_reuse)

    def _end_grant(self, grant: Grant, evidence: Evidence | None, keep_for_reuse: bool) -> None:
        if grant.ended:
            return
        grant.ended = True
        del self.in_use[grant.key]
        if keep_for_reuse:
            self.reusable_grants.append(grant)
            return
        self.pending_releases.append(Ended(slot=grant.slot, evidence=evidence))
        self.changed.notify_all()

    def end_grant_later(self, grant: Grant, evidence: Evidence | None, at_s: float) -> None:
        """Ends a grant at the time `at_s`; its request may run at the engine until then."""
        with self.changed:
            if grant.ended:
                return
            self.delayed_count += 1
            heapq.heappush(
                self.delayed_ends, _DelayedEnd(at_s, self.delayed_count, grant, evidence)
            )
            self.changed.notify_all()

    def reuse_grant(self, engine_ids: Sequence[str], now_s: float) -> Grant | None:
        """Returns a new grant of the slot of a reusable grant, None if there is none.

        Engines that come earlier in `engine_ids` are preferred.
        """
        with self.lock:
            for engine_id in engine_ids:
                for grant in self.reusable_grants:
                    if grant.engine_id == engine_id and now_s < grant.start_by_s:
                        self.reusable_grants.remove(grant)
                        reused = Grant(
                            grant.slot,
                            grant.boot_id,
                            grant.start_by_s,
                            grant.max_work_s,
                            grant.cold,
                        )
                        self.in_use[reused.key] = reused
                        return reused
            return None

    def release_reusable_grants(self) -> None:
        """Schedules the release of the reusable grants."""
        with self.changed:
            self.pending_releases.extend(Ended(slot=grant.slot) for grant in self.reusable_grants)
            self.reusable_grants.clear()
            self.changed.notify_all()

    def wait_for_releases(self, now_s: float, limit: int, wait_s: float) -> list[Ended]:
        """Returns at most `limit` releases to send; waits up to `wait_s` if there are none."""
        with self.changed:
            if not self.pending_releases:
                if self.delayed_ends:
                    wait_s = min(wait_s, max(0.0, self.delayed_ends[0].at_s - now_s))
                self.changed.wait(wait_s)
            while self.delayed_ends and self.delayed_ends[0].at_s <= now_s:
                item = heapq.heappop(self.delayed_ends)
                self._end_grant(item.grant, item.evidence, keep_for_reuse=False)
            return self.pending_releases[:limit]

    def remove_released(self, ended: Sequence[Ended]) -> None:
        """Removes the first pending releases, which the agent has received."""
        with self.changed:
            del self.pending_releases[: len(ended)]
            self.changed.notify_all()

    def wait_until_released(self, timeout_s: float) -> bool:
        """Waits until no slot is held; returns False on timeout."""
        with self.changed:
            return self.changed.wait_for(
                lambda: not (self.pending_releases or self.in_use or self.reusable_grants),
                timeout_s,
            )
