"""Command line of the stand-ins: ``tanager-standin platform|engine|order-service``."""

import sys
from collections.abc import Callable, Mapping

from pydantic import BaseModel

from tanagerworks.program import EXIT_USAGE, CommandLine
from tanagerworks.standin.engine import EngineSettings, serve_engine
from tanagerworks.standin.order_service import OrderServiceSettings, serve_order_service
from tanagerworks.standin.platform import PlatformSettings, serve_platform

_DESCRIPTION = """Development stand-ins for external systems.

Usage: tanager-standin SUBCOMMAND --settings=FILE

Subcommands:
  platform       configuration service, VM list and weight store
  engine         model engine
  order-service  plain service with calls that may not be repeated"""

_SUBCOMMANDS: Mapping[str, tuple[type[BaseModel], Callable[..., int]]] = {
    "platform": (PlatformSettings, serve_platform),
    "engine": (EngineSettings, serve_engine),
    "order-service": (OrderServiceSettings, serve_order_service),
}


def run() -> None:
    """Runs the stand-in named on the command line until a signal arrives, and exits."""
    command_line = CommandLine("tanager-standin", _DESCRIPTION)
    command_line.define_settings_flag()
    positional = command_line.parse_arguments()
    if len(positional) != 1 or positional[0] not in _SUBCOMMANDS:
        names = ", ".join(_SUBCOMMANDS)
        print(f"tanager-standin: give one subcommand of: {names}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    model, serve = _SUBCOMMANDS[positional[0]]
    sys.exit(serve(command_line.load_settings(model)))
