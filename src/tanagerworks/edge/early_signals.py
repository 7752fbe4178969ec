"""Handles signals that arrive before the process has read its settings and opened its ports.

The defaults would end a process that starts. This module imports nothing beyond `os` and `signal`,
so that it can run first.
"""

import os
import signal
from types import FrameType


def handle_signals_early() -> None:
    """Ignores SIGHUP, and ends the process with status 0 by SIGTERM, until it handles them itself.

    A changed settings file is noticed without a signal once the process runs.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _stop_start)


def _stop_start(_number: int, _frame: FrameType | None) -> None:
    try:
        os.write(2, b"stopped by a signal while starting\n")
    finally:
        # Imports of extension modules replace an exception, SystemExit included, by their own.
        os._exit(0)
