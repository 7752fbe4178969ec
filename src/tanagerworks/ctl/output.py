"""Output of ``tanagerctl``: tables for people, JSON for programs."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import TextIO

from tanagerworks.ctl.client import NodeFailure

_NO_VALUE = "-"


def _format_cell(value: object) -> str:
    if value is None or value == "":
        return _NO_VALUE
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    # Text from a node could contain control sequences for the terminal.
    return "".join(char if char.isprintable() else "?" for char in str(value))


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Returns a text table whose columns are as wide as their widest cell."""
    cells = [list(header), *([_format_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)


class Printer:
    """Writes results to standard output and errors to standard error."""

    def __init__(
        self, as_json: bool, out: TextIO | None = None, errors: TextIO | None = None
    ) -> None:
        self.as_json = as_json
        self.out = out or sys.stdout
        self.errors = errors or sys.stderr

    def print_json(self, document: object) -> None:
        """Writes an indented JSON document; only in JSON mode."""
        if self.as_json:
            print(json.dumps(document, indent=2, ensure_ascii=False), file=self.out)

    def print_json_line(self, document: object) -> None:
        """Writes a JSON document on one line; only in JSON mode."""
        if self.as_json:
            print(json.dumps(document, ensure_ascii=False), file=self.out, flush=True)

    def print_table(
        self, title: str, header: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        """Writes a table; only in table mode."""
        if self.as_json:
            return
        if title:
            print(f"{title}:", file=self.out)
        print(format_table(header, rows) + "\n", file=self.out, flush=True)

    def print_text(self, text: str) -> None:
        """Writes a line; only in table mode."""
        if not self.as_json:
            print(text, file=self.out, flush=True)

    def print_error(self, text: str) -> None:
        """Writes a line to standard error in both modes."""
        print(f"tanagerctl: {text}", file=self.errors)

    def print_node_failures(self, failures: Iterable[NodeFailure]) -> None:
        """Writes a line to standard error for each node that gave no answer."""
        for failure in failures:
            self.print_error(f"{failure.address}: {failure.message}")
