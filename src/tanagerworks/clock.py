"""Clock that counts suspended time."""

import time


def boot_time_s() -> float:
    """Returns seconds since the VM booted, including time in which it was suspended.

    Leases and ages use it because ``time.monotonic`` may stand still while a VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
