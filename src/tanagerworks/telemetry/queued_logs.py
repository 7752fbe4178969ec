"""Non-blocking logging to standard output through a bounded queue and a writer thread.

A slow or blocked reader of the output does not delay the program; records are dropped instead.
"""

import atexit
import logging
import logging.handlers
import os
import sys
import time
from collections import Counter
from queue import Full, Queue

from tanagerworks.telemetry.logs import JsonFormatter

# Records that may wait for the writer thread; the limit bounds the memory of the queue.
MAX_QUEUED_RECORDS = 4_096
# Part of the queue that only warnings and errors may use, so that records of successful requests
# do not displace those of failures.
RECORDS_RESERVED_FOR_WARNINGS = 1_024
# Records below WARNING of one message template that are written per second; the rest are dropped,
# and a summary counts them.
MAX_RECORDS_PER_S = 200
# Longest wait at exit until the queued records are written, unless the program states a deadline.
_EXIT_FLUSH_TIMEOUT_S = 0.3
# Least wait, also after the deadline.
_MIN_EXIT_FLUSH_TIMEOUT_S = 0.1


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queues records without ever waiting, and counts the records that it drops.

    Records below WARNING are dropped first. The first record of a later second triggers a summary
    of the dropped records if the part of the queue that is not reserved for warnings has space.
    """

    def __init__(self, record_queue: Queue[logging.LogRecord]) -> None:
        super().__init__(record_queue)
        self.record_queue = record_queue
        # Records dropped since the last summary.
        self.dropped_by_message: Counter[str] = Counter()
        # Records dropped since the start of the process.
        self.dropped_total = 0
        self.current_second = 0
        self.records_in_second: Counter[str] = Counter()
        # Until when the exit waits for the writer thread, in seconds of the monotonic clock.
        self.exit_deadline_s: float | None = None

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record unchanged, as the writer thread runs in the same process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record, or drops it if the queue is full.

        A record below WARNING is also dropped if its message template exceeds its rate, or if only
        the part of the queue that is reserved for warnings is free.
        """
        second = int(record.created)
        if second != self.current_second:
            self._queue_summary(record)
            self.current_second = second
            self.records_in_second.clear()
        message = str(record.msg)
        self.records_in_second[message] += 1
        is_warning = record.levelno >= logging.WARNING
        queued = self.record_queue.qsize()
        if not is_warning and (
            self.records_in_second[message] > MAX_RECORDS_PER_S
            or queued > MAX_QUEUED_RECORDS - RECORDS_RESERVED_FOR_WARNINGS
        ):
            self._count_dropped(message)
            return
        try:
            self.record_queue.put_nowait(record)
        except Full:
            self._count_dropped(message)

    def _count_dropped(self, message: str) -> None:
        self.dropped_by_message[message] += 1
        self.dropped_total += 1

    def _queue_summary(self, record: logging.LogRecord) -> None:
        if (
            not self.dropped_by_message
            or self.record_queue.qsize() > MAX_QUEUED_RECORDS - RECORDS_RESERVED_FOR_WARNINGS
        ):
            return
        summary = logging.LogRecord(
            record.name, logging.WARNING, "", 0, "log records dropped", None, None
        )
        summary.__dict__["counts"] = dict(self.dropped_by_message)
        self.dropped_by_message.clear()
        self.record_queue.put_nowait(summary)


class _OutputHandler(logging.Handler):
    """Writes records to a file descriptor; only the writer thread uses it.

    It has neither a lock nor a buffer. The interpreter's exit would wait for both, without limit
    if nobody reads the output and the writer thread is blocked.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Writes the record as one line."""
        try:
            unwritten = memoryview(f"{self.format(record)}\n".encode(errors="backslashreplace"))
            while unwritten:
                unwritten = unwritten[os.write(self.descriptor, unwritten) :]
        except Exception:
            self.handleError(record)


def configure_queued_logging(
    program: str, level: str = "info", node: str | None = None
) -> BoundedQueueHandler:
    """Sends all log records to standard output as JSON lines, written by a separate thread.

    `level` is a standard level name in lower case; `node` becomes a field of every line. Returns
    the handler, which counts the dropped records.
    """
    record_queue: Queue[logging.LogRecord] = Queue(MAX_QUEUED_RECORDS)
    handler = BoundedQueueHandler(record_queue)
    writer = _OutputHandler(sys.stdout.fileno())
    writer.setFormatter(JsonFormatter(program, node))
    listener = logging.handlers.QueueListener(record_queue, writer)
    listener.start()
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    atexit.register(_wait_until_written, handler)
    return handler


def _wait_until_written(handler: BoundedQueueHandler) -> None:
    timeout_s = _EXIT_FLUSH_TIMEOUT_S
    if handler.exit_deadline_s is not None:
        timeout_s = max(_MIN_EXIT_FLUSH_TIMEOUT_S, handler.exit_deadline_s - time.monotonic())
    record_queue = handler.record_queue
    # The queue may be empty while the writer thread still holds its last record.
    with record_queue.all_tasks_done:
        record_queue.all_tasks_done.wait_for(lambda: not record_queue.unfinished_tasks, timeout_s)
