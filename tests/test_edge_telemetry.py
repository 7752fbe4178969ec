"""Bounded logging that never blocks, and the metrics of the edge process."""

import contextlib
import json
import logging
import subprocess
import sys
import threading
from pathlib import Path
from queue import Queue

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from tanagerworks.edge.request_state import RequestKind, RetryDenial
from tanagerworks.edge.telemetry import MAX_PENDING, EdgeMetrics
from tanagerworks.telemetry.queued_logs import (
    MAX_QUEUED_RECORDS,
    MAX_RECORDS_PER_S,
    RECORDS_RESERVED_FOR_WARNINGS,
    BoundedQueueHandler,
)


def make_record(message, level=logging.INFO, created=100.0):
    log_record = logging.LogRecord("test", level, "", 0, message, None, None)
    log_record.created = created
    return log_record


def drain_messages(handler):
    return [handler.record_queue.get_nowait().msg for _n in range(handler.record_queue.qsize())]


def test_records_of_one_message_are_limited_and_counted():
    """Guards against logs whose volume grows with the traffic."""
    handler = BoundedQueueHandler(Queue(MAX_QUEUED_RECORDS))
    for _number in range(10 * MAX_RECORDS_PER_S):
        handler.enqueue(make_record("request ended"))
    handler.enqueue(make_record("other"))
    handler.enqueue(make_record("request ended", created=101.0))
    found = drain_messages(handler)
    assert found.count("request ended") == MAX_RECORDS_PER_S + 1
    assert found.count("other") == 1
    assert found.count("log records dropped") == 1
    assert handler.dropped_total == 9 * MAX_RECORDS_PER_S


def test_full_queue_keeps_room_for_failures():
    """Guards against a full queue that drops the records which explain a failure.

    The queue fills up when nobody reads the output; a part of it is reserved for warnings.
    """
    handler = BoundedQueueHandler(Queue(MAX_QUEUED_RECORDS))
    for number in range(2 * MAX_QUEUED_RECORDS):
        handler.enqueue(make_record(f"success {number}"))
    assert handler.record_queue.qsize() == MAX_QUEUED_RECORDS - RECORDS_RESERVED_FOR_WARNINGS + 1
    for number in range(RECORDS_RESERVED_FOR_WARNINGS - 1):
        handler.enqueue(make_record(f"failure {number}", logging.WARNING))
    assert handler.record_queue.qsize() == MAX_QUEUED_RECORDS
    handler.enqueue(make_record("one too many", logging.WARNING))
    assert handler.dropped_by_message["one too many"] == 1


_WRITER = """
import logging, sys, threading
sys.path.insert(0, {src!r})
from tanagerworks.telemetry.queued_logs import configure_queued_logging
configure_queued_logging("program")
for number in range(20000):
    logging.warning("line %d of a reader that has stopped reading" % number)
sys.stderr.write("done\\n")
sys.stderr.flush()
sys.stdin.read(1)
"""


def test_blocked_log_output_does_not_block_the_program():
    """Guards against requests that wait for a log line to be written.

    A reader that stops reading fills the pipe, and a direct write would block.
    """
    source = str(Path(__file__).parent.parent / "src")
    process = subprocess.Popen(
        [sys.executable, "-c", _WRITER.format(src=source)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    killer = threading.Timer(60.0, process.kill)
    killer.start()
    try:
        # Nobody reads standard output, so its pipe is full long before the last line.
        assert process.stderr.readline() == b"done\n"
    finally:
        killer.cancel()
        process.kill()
        lines = process.stdout.read().splitlines()
        process.wait()
    assert json.loads(lines[0])["program"] == "program"


def run_program(text, unread_s=0.0):
    """Runs a program that logs to a pipe; returns its exit status and the logged records.

    `text` follows imports and the set-up of the log. The output is not read before `unread_s` have
    passed or the program has ended.
    """
    source = str(Path(__file__).parent.parent / "src")
    process = subprocess.Popen(
        [sys.executable, "-c", _PROGRAM.format(src=source) + text], stdout=subprocess.PIPE
    )
    killer = threading.Timer(30.0, process.kill)
    killer.start()
    try:
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(unread_s)
        output = process.communicate()[0]
    finally:
        killer.cancel()
    complete_lines = output[: output.rfind(b"\n") + 1].splitlines()
    return process.returncode, [json.loads(line) for line in complete_lines]


_PROGRAM = """
import logging, sys, threading, time
sys.path.insert(0, {src!r})
from tanagerworks.telemetry import queued_logs
handler = queued_logs.configure_queued_logging("program")
"""
_SLOW_WRITER = """
was_taken = threading.Event()
def prepare_slowly(self, record):
    was_taken.set()
    time.sleep(0.1)
    return record
logging.handlers.QueueListener.prepare = prepare_slowly
logging.warning("last line")
was_taken.wait()
"""


def test_record_that_the_writer_has_taken_is_written_before_the_exit():
    """Guards against the last line of a process that is lost while the queue is empty already."""
    status, records = run_program(_SLOW_WRITER)
    assert (status, [record["message"] for record in records]) == (0, ["last line"])


def test_exit_waits_for_a_slow_reader_until_the_deadline_that_the_program_states():
    """Guards against lines that are lost although the process may run for longer."""
    text = """
handler.exit_deadline_s = time.monotonic() + 25.0
for number in range(2000):
    logging.warning(100 * f"{number} ")
"""
    status, records = run_program(text, unread_s=1.0)
    assert (status, len(records)) == (0, 2000)


def test_blocked_log_output_does_not_keep_the_process_from_its_exit():
    """Guards against a process that has to be killed because nobody reads its output."""
    text = "for number in range(2000): logging.warning(100 * f'{number} ')"
    status, records = run_program(text, unread_s=30.0)
    assert status == 0
    assert [record["message"] for record in records] == [
        100 * f"{number} " for number in range(len(records))
    ]


def test_measurements_before_the_library_is_imported_are_recorded():
    """Guards against requests of the first second that are missing from the metrics."""
    metrics = EdgeMetrics()
    metrics.record_request_end("route", RequestKind.IDEMPOTENT, "answered", 0.2, 0.1)
    metrics.record_store_call("list")
    reader = InMemoryMetricReader()
    metrics.bind_meter(MeterProvider(metric_readers=[reader]).get_meter("test"))
    metrics.add_gauge("tanager.requests.active", "{request}", "Active.", lambda: {"node": 3.0})
    metrics.record_retry("service")
    metrics.record_request_end("route", RequestKind.ONCE, "no_server", 0.2, None)
    metrics.record_attempt_failure("desk", "backend_failed", RetryDenial.MAY_HAVE_RUN)
    metrics.record_attempt_failure("desk", "backend_failed", None)
    exported = {
        metric.name: metric
        for resource in reader.get_metrics_data().resource_metrics
        for scope in resource.scope_metrics
        for metric in scope.metrics
    }
    counted = {
        point.attributes["outcome"]: point.value
        for point in exported["tanager.requests"].data.data_points
    }
    assert counted == {"answered": 1, "no_server": 1}
    kinds = {point.attributes["kind"] for point in exported["tanager.requests"].data.data_points}
    assert kinds == {"idempotent", "once"}
    failures = exported["tanager.attempt.failures"].data.data_points
    assert {point.attributes["reason"] for point in failures} == {"may_have_run", "sent_again"}
    assert exported["tanager.requests.active"].data.data_points[0].value == 3.0
    assert exported["tanager.repeats"].data.data_points[0].value == 1


def test_many_measurements_are_not_lost_before_the_metrics_are_read():
    """Guards against counters that miss requests because nobody has read the metrics yet."""
    metrics = EdgeMetrics()
    reader = InMemoryMetricReader()
    meter = MeterProvider(metric_readers=[reader]).get_meter("test")
    metrics.on_pending_full = lambda: metrics.bind_meter(meter)
    for _number in range(MAX_PENDING + 10):
        metrics.record_retry("service")
    (metric,) = (
        metric
        for resource in reader.get_metrics_data().resource_metrics
        for scope in resource.scope_metrics
        for metric in scope.metrics
    )
    assert metric.data.data_points[0].value == MAX_PENDING + 10
    assert not metrics.pending
