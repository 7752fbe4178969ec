"""Age of a node's state, and detection of pauses of its own process."""

import math

# A longer time between two ticks means that the process was paused or the VM suspended.
MAX_TICK_GAP_S = 1.0


class Freshness:
    """Time of the last answer of the platform or a peer; seconds on the node's CLOCK_BOOTTIME."""

    def __init__(self) -> None:
        self.last_seen_s = -math.inf
        self.ticked_at_s: float | None = None
        self.refresh_needed = False

    def record_contact(self, now_s: float) -> None:
        """Records that the platform or a peer confirmed or updated the node's state."""
        self.last_seen_s = now_s
        self.refresh_needed = False

    @property
    def was_ever_seen(self) -> bool:
        """Whether the platform or a peer has answered since the start."""
        return self.last_seen_s > -math.inf

    def age_s(self, now_s: float) -> float:
        """Returns the age of the node's state; infinite if it was never confirmed."""
        return now_s - self.last_seen_s

    def tick(self, now_s: float) -> bool:
        """Records a tick; returns whether the process was paused and the state needs a refresh."""
        last_s, self.ticked_at_s = self.ticked_at_s, now_s
        if last_s is not None and now_s - last_s > MAX_TICK_GAP_S:
            self.refresh_needed = True
        return self.refresh_needed
