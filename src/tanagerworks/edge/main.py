"""Command line of the edge process. A platform's start script names the adapter."""

import asyncio
import sys
from collections.abc import Callable, Sequence

from tanagerworks.edge.process import Adapter, EdgeProcess
from tanagerworks.program import CommandLine
from tanagerworks.settings.edge import EdgeSettings
from tanagerworks.settings.loader import load_settings
from tanagerworks.telemetry.queued_logs import configure_queued_logging

PROGRAM = "tanager-edge"
_DESCRIPTION = "Serves callers on one VM: routes requests to backend servers."


def run_edge(adapt: Callable[[EdgeSettings], Adapter], argv: Sequence[str]) -> None:
    """Runs the process until a stop signal and exits with its status.

    `adapt` returns the platform's side for the settings.
    """
    command_line = CommandLine(PROGRAM, _DESCRIPTION)
    command_line.define_settings()
    command_line.parse(argv)
    settings = command_line.load(EdgeSettings)
    configure_queued_logging(PROGRAM, settings.log_level)
    path = str(command_line.flag_values["settings"].value)
    sys.exit(asyncio.run(_serve(settings, adapt, path)))


async def _serve(
    settings: EdgeSettings, adapt: Callable[[EdgeSettings], Adapter], path: str
) -> int:
    process = EdgeProcess(settings, adapt(settings), lambda: load_settings(path, EdgeSettings))
    return await process.run()
