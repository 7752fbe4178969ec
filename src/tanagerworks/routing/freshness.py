"""Age of what a node knows, and pauses of its own process."""

import math

# A longer time between two ticks means that the process was paused or the VM suspended.
MAX_TICK_GAP_S = 1.0


class Freshness:
    """When a node last heard from the platform or a peer; times are on its CLOCK_BOOTTIME."""

    def __init__(self) -> None:
        self.last_seen_s = -math.inf
        self.ticked_at_s: float | None = None
        self.refresh_needed = False

    def record_seen(self, now_s: float) -> None:
        """Records that the platform or a peer confirmed or updated the node's knowledge."""
        self.last_seen_s = now_s
        self.refresh_needed = False

    @property
    def was_ever_seen(self) -> bool:
        """Whether the platform or a peer answered since the start."""
        return self.last_seen_s > -math.inf

    def age_s(self, now_s: float) -> float:
        """Returns the age of the node's knowledge; infinite if it never heard anything."""
        return now_s - self.last_seen_s

    def tick(self, now_s: float) -> bool:
        """Returns whether the clock jumped since the last tick, so a refresh is needed."""
        last_s, self.ticked_at_s = self.ticked_at_s, now_s
        if last_s is not None and now_s - last_s > MAX_TICK_GAP_S:
            self.refresh_needed = True
        return self.refresh_needed
