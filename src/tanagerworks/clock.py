"""Clock that includes the time in which the VM was suspended."""

import time


def boot_time_s() -> float:
    """Returns the seconds since the VM booted, including those in which it was suspended.

    Leases and ages use this clock because ``time.monotonic`` may stop while a VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Reading the two clocks takes less.
_RESOLUTION_S = 0.01


class SuspensionMeter:
    """Measures the time in which the VM was suspended, which ``time.monotonic`` may leave out."""

    def __init__(self) -> None:
        self.offset_s = self._offset_s()

    def _offset_s(self) -> float:
        return boot_time_s() - time.monotonic()

    def take_suspended_s(self) -> float:
        """Returns the seconds for which the VM was suspended since the last call."""
        suspended_s = self._offset_s() - self.offset_s
        if suspended_s < _RESOLUTION_S:
            return 0.0
        self.offset_s += suspended_s
        return suspended_s
