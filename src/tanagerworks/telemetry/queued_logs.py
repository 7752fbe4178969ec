"""Log records to standard output through a bounded queue, so that a slow reader delays nobody."""

import atexit
import logging
import logging.handlers
import sys
import time
from collections import Counter
from queue import Full, Queue

from tanagerworks.telemetry.logs import JsonFormatter

# Records that may wait for the writer; at some 300 bytes each this is 1.2 MB.
QUEUE_RECORDS = 4_096
# Part of the queue that only warnings and errors may use, so that failures outlive successes.
RESERVED_RECORDS = 1_024
# Records of one message and second that are written; more are counted and summed up.
RECORDS_PER_SECOND = 200
# Time that the last records have to be written at exit.
_FLUSH_S = 0.3


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queues records; drops successes first and counts what it drops."""

    def __init__(self, records: Queue[logging.LogRecord]) -> None:
        super().__init__(records)
        self.records = records
        # Dropped since the last summary by message, and in all.
        self.dropped: Counter[str] = Counter()
        self.dropped_total = 0
        self.second = 0
        self.in_second: Counter[str] = Counter()

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record as it is: the writer runs in the same process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record unless its kind is over the rate or the queue is full."""
        second = int(record.created)
        if second != self.second:
            self._sum_up(record)
            self.second = second
            self.in_second.clear()
        kind = str(record.msg)
        self.in_second[kind] += 1
        important = record.levelno >= logging.WARNING
        waiting = self.records.qsize()
        if not important and (
            self.in_second[kind] > RECORDS_PER_SECOND or waiting > QUEUE_RECORDS - RESERVED_RECORDS
        ):
            self._drop(kind)
            return
        try:
            self.records.put_nowait(record)
        except Full:
            self._drop(kind)

    def _drop(self, kind: str) -> None:
        self.dropped[kind] += 1
        self.dropped_total += 1

    def _sum_up(self, record: logging.LogRecord) -> None:
        if not self.dropped or self.records.qsize() > QUEUE_RECORDS - RESERVED_RECORDS:
            return
        summary = logging.LogRecord(
            record.name, logging.WARNING, "", 0, "log records dropped", None, None
        )
        summary.__dict__["counts"] = dict(self.dropped)
        self.dropped.clear()
        self.records.put_nowait(summary)


def configure_queued_logging(
    program: str, level: str = "info", node: str | None = None
) -> BoundedQueueHandler:
    """Sends all log records to standard output as JSON lines, written by a thread of its own.

    `level` is a standard level name in lower case; `node` is named in every line.
    """
    records: Queue[logging.LogRecord] = Queue(QUEUE_RECORDS)
    handler = BoundedQueueHandler(records)
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(JsonFormatter(program, node))
    listener = logging.handlers.QueueListener(records, writer)
    listener.start()
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    atexit.register(_wait_until_written, records)
    return handler


def _wait_until_written(records: Queue[logging.LogRecord]) -> None:
    deadline = time.monotonic() + _FLUSH_S
    while records.qsize() and time.monotonic() < deadline:
        time.sleep(0.01)
