"""Command line of ``tanagerctl``."""

import sys
from collections.abc import Sequence

from tanagerworks.ctl import actions, audit, notes, route, status
from tanagerworks.ctl.client import KeyMissingError, NodeRefusedError, NodeUnreachableError
from tanagerworks.ctl.command import Command, Invocation, UsageError, define_flags
from tanagerworks.ctl.exit_status import EXIT_STATUS_HELP, ExitStatus
from tanagerworks.ctl.output import Printer
from tanagerworks.errors import TanagerError
from tanagerworks.program import CommandLine

COMMANDS: Sequence[Command] = (
    *notes.COMMANDS,
    *status.COMMANDS,
    *actions.COMMANDS,
    *route.COMMANDS,
    *audit.COMMANDS,
)


def _description() -> str:
    lines = [
        "Operator's tool of tanagerworks. It checks notes, shows the fleet's state and\n"
        "drains nodes; it writes no shared state.",
        "",
        "Usage: tanagerctl SUBCOMMAND [ARGUMENTS] [FLAGS]",
        "",
        "Subcommands:",
    ]
    for command in COMMANDS:
        usage = f"{command.name} {command.arguments}".rstrip()
        lines.append(f"  {usage:32} {command.summary}")
    return "\n".join([*lines, "", EXIT_STATUS_HELP])


def _run_subcommand(command_line: CommandLine, positional: Sequence[str]) -> int:
    values = command_line.flag_values
    printer = Printer(values["output"].value == "json")
    commands = {command.name: command for command in COMMANDS}
    if not positional or positional[0] not in commands:
        print(_description(), file=sys.stderr)
        return ExitStatus.USAGE
    command = commands[positional[0]]
    arguments = positional[1:]
    lowest, highest = command.argument_counts
    try:
        if not lowest <= len(arguments) <= highest:
            raise UsageError(f"usage: tanagerctl {command.name} {command.arguments}")
        return command.run(Invocation(arguments, values, printer))
    except (UsageError, KeyMissingError) as error:
        printer.print_error(error.message)
        return ExitStatus.USAGE
    except NodeUnreachableError as error:
        printer.print_error(error.message)
        return ExitStatus.UNREACHABLE
    except NodeRefusedError as error:
        printer.print_error(error.message)
        return ExitStatus.REFUSED
    except TanagerError as error:
        printer.print_error(f"{error.code}: {error.message}")
        return ExitStatus.FINDING


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the subcommand that the command line names; returns the exit status."""
    command_line = CommandLine("tanagerctl", _description())
    define_flags(command_line.flag_values)
    return int(_run_subcommand(command_line, command_line.parse_arguments(argv)))


def run() -> None:
    """Runs `main` and exits."""
    sys.exit(main())
