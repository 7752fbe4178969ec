"""Clock that includes the time in which the VM was suspended."""

import time


def boot_time_s() -> float:
    """Returns the seconds since the VM booted, including those in which it was suspended.

    Leases and ages use this clock because ``time.monotonic`` may stop while a VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
