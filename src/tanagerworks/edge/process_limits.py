"""What the operating system grants this process: its resident memory and its descriptors."""

import resource

_PAGE_BYTES = resource.getpagesize()
# Descriptors if the system states no limit.
_UNLIMITED_DESCRIPTORS = 65_536


def resident_bytes() -> int:
    """Returns the resident memory of this process.

    Raises:
        OSError: the system does not tell.
    """
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def open_files_limit(stated: int | None) -> int:
    """Returns the descriptors that the process may open; `stated` is that of the settings."""
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    granted = _UNLIMITED_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft
    return granted if stated is None else min(stated, granted)
