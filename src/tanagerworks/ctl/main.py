"""Command line of ``tanagerctl``."""

import sys
from pathlib import Path

import yaml
from pydantic import ValidationError

from tanagerworks.note.model import Note
from tanagerworks.program import EXIT_FAILED, EXIT_OK, EXIT_USAGE, CommandLine

_DESCRIPTION = """Operator's tool of tanagerworks.

Usage: tanagerctl SUBCOMMAND ARGUMENTS

Subcommands:
  check FILE   checks a release note; exit status 1 if it cannot be accepted"""


def check(path: str) -> int:
    """Checks a full release note and prints every fault; returns the exit status."""
    try:
        note = Note.model_validate(yaml.safe_load(Path(path).read_text(encoding="utf-8")))
    except (OSError, yaml.YAMLError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_FAILED
    except ValidationError as error:
        for fault in error.errors(include_input=False, include_url=False):
            place = ".".join(str(part) for part in fault["loc"])
            print(f"{path}: {place}: {fault['msg']}", file=sys.stderr)
        return EXIT_FAILED
    print(f"{path}: serial {note.serial}, digest {note.digest()}")
    return EXIT_OK


def run() -> None:
    """Runs the subcommand that the command line names."""
    command_line = CommandLine("tanagerctl", _DESCRIPTION)
    positional = command_line.parse()
    match positional:
        case ["check", path]:
            sys.exit(check(path))
        case _:
            print(_DESCRIPTION, file=sys.stderr)
            sys.exit(EXIT_USAGE)
