"""Handles signals that arrive before the process has read its settings and opened its ports.

The defaults would end a process that starts. This module imports nothing beyond `signal` and `sys`,
so that it can run first.
"""

import signal
import sys
from types import FrameType


def handle_signals_early() -> None:
    """Ignores SIGHUP, and ends the process with status 0 by SIGTERM, until it handles them itself.

    A changed settings file is noticed without a signal once the process runs.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _stop_start)


def _stop_start(_number: int, _frame: FrameType | None) -> None:
    print("stopped by a signal while starting", file=sys.stderr)
    sys.exit(0)
