"""Command line of the edge process; the platform's start script provides the adapter."""

import asyncio
import signal
import socket
import sys
from collections.abc import Callable, Sequence

from absl import flags

from tanagerworks.edge.process import EdgeProcess, PlatformAdapter
from tanagerworks.program import CommandLine
from tanagerworks.settings.edge import EdgeSettings
from tanagerworks.settings.loader import load_settings
from tanagerworks.telemetry.queued_logs import BoundedQueueHandler, configure_queued_logging

PROGRAM = "tanager-edge"
_DESCRIPTION = "Serves callers on one VM: routes requests to backend servers."


def run_edge(
    create_adapter: Callable[[EdgeSettings], PlatformAdapter],
    argv: Sequence[str],
    caller_listener: socket.socket | None = None,
) -> None:
    """Runs the process until a stop signal, then exits with its status.

    `create_adapter` returns the platform adapter for the settings. `caller_listener` is the
    listening socket of the callers' port if it is already open.
    """
    command_line = CommandLine(PROGRAM, _DESCRIPTION)
    command_line.define_settings_flag()
    flags.DEFINE_string(
        "callers",
        None,
        "Callers' IP:PORT, to open it before the settings are read; otherwise it is opened last.",
        flag_values=command_line.flag_values,
    )
    command_line.parse_arguments(argv)
    settings = command_line.load_settings(EdgeSettings)
    log_handler = configure_queued_logging(PROGRAM, settings.log_level, settings.node)
    settings_path = str(command_line.flag_values["settings"].value)
    sys.exit(
        asyncio.run(
            _run_process(settings, create_adapter, settings_path, caller_listener, log_handler)
        )
    )


async def _run_process(
    settings: EdgeSettings,
    create_adapter: Callable[[EdgeSettings], PlatformAdapter],
    settings_path: str,
    caller_listener: socket.socket | None,
    log_handler: BoundedQueueHandler,
) -> int:
    process = EdgeProcess(
        settings, create_adapter(settings), lambda: load_settings(settings_path, EdgeSettings)
    )
    status = await process.run(caller_listener)
    log_handler.exit_deadline_s = process.log_deadline_s
    _ignore_signals()
    return status


def _ignore_signals() -> None:
    """Ignores further signals; the event loop would restore their defaults when it is closed.

    These end the process, whose log may not be written yet.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
