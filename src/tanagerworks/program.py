"""Command line, settings file, logging and exit status, which all programs share."""

import sys
from collections.abc import Callable, Sequence
from typing import TypeVar

from absl import flags
from pydantic import BaseModel

from tanagerworks import __version__
from tanagerworks.errors import SettingsError
from tanagerworks.settings.loader import load_settings
from tanagerworks.telemetry.logs import configure_logging

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

SettingsT = TypeVar("SettingsT", bound=BaseModel)


class CommandLine:
    """Command line of a program: the common flags, and those that the program adds.

    A program defines its own flags on `flag_values` before it calls `parse_arguments`.
    """

    def __init__(self, program: str, description: str) -> None:
        self.program = program
        self.description = description
        self.flag_values = flags.FlagValues()
        flags.DEFINE_boolean(
            "help", False, "Prints this help and exits.", flag_values=self.flag_values
        )
        flags.DEFINE_boolean(
            "version", False, "Prints the version and exits.", flag_values=self.flag_values
        )
        flags.DEFINE_enum(
            "log_level",
            "info",
            ["debug", "info", "warning", "error"],
            "Lowest level of the log records that are written.",
            flag_values=self.flag_values,
        )

    def define_settings_flag(self) -> None:
        """Adds the ``--settings`` flag."""
        flags.DEFINE_string(
            "settings", None, "Path of the YAML settings file.", flag_values=self.flag_values
        )

    def parse_arguments(self, argv: Sequence[str] | None = None) -> list[str]:
        """Configures logging and returns the positional arguments.

        Exits with status 0 for ``--help`` and ``--version``, and with status 2 for invalid flags.
        `argv` starts with the program's name; by default it is ``sys.argv``.
        """
        try:
            positional = self.flag_values(list(argv or sys.argv))[1:]
        except flags.Error as error:
            print(f"{self.program}: {error}", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        if self.flag_values["help"].value:
            print(f"{self.description}\n\nFlags:{self.flag_values.get_help()}")
            sys.exit(EXIT_OK)
        if self.flag_values["version"].value:
            print(f"{self.program} {__version__}")
            sys.exit(EXIT_OK)
        configure_logging(self.program, str(self.flag_values["log_level"].value))
        return positional

    def load_settings(self, model: type[SettingsT]) -> SettingsT:
        """Returns the validated settings; exits with status 2 if the file is missing or invalid."""
        path = self.flag_values["settings"].value
        if path is None:
            print(f"{self.program}: --settings is required", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        try:
            return load_settings(path, model)
        except SettingsError as error:
            print(f"{self.program}: {error}", file=sys.stderr)
            sys.exit(EXIT_USAGE)


def run_with_settings(
    program: str,
    description: str,
    model: type[SettingsT],
    serve: Callable[[SettingsT], int],
) -> None:
    """Runs a server program whose only argument is a settings file, and exits.

    `serve` runs until the program stops and returns the exit status.
    """
    command_line = CommandLine(program, description)
    command_line.define_settings_flag()
    command_line.parse_arguments()
    sys.exit(serve(command_line.load_settings(model)))
