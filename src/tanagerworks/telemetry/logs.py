"""Structured logging: one JSON object per line on standard error."""

import json
import logging
import sys
from datetime import UTC, datetime

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object; values passed in ``extra`` become fields.

    `node` becomes a field of every line unless it is None.
    """

    def __init__(self, program: str, node: str | None = None) -> None:
        super().__init__()
        self.program = program
        self.node = node

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line of JSON."""
        fields = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "program": self.program,
            "logger": record.name,
            "message": record.getMessage(),
        }
        if self.node is not None:
            fields["node"] = self.node
        for name, value in vars(record).items():
            if name in _STANDARD_ATTRIBUTES:
                continue
            fields[name] = value
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str, ensure_ascii=False)


def configure_logging(program: str, level: str = "info") -> None:
    """Sends all log records of the process to standard error as JSON lines.

    `level` is a standard level name in lower case.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(program))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
