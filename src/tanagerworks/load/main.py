"""Command line of ``tanager-load``."""

import asyncio
import json
import signal
import sys
import time
from collections.abc import Coroutine
from pathlib import Path

from absl import flags

from tanagerworks.load.chats import ChatCaller
from tanagerworks.load.orders import OrderCaller
from tanagerworks.load.report import Report, compare_reports
from tanagerworks.load.run import LoadRun
from tanagerworks.load.settings import ChatLoad, LoadSettings
from tanagerworks.program import EXIT_OK, EXIT_USAGE, CommandLine

_DESCRIPTION = """Load generator: runs chats, sends orders and checks every answer.

Usage:
  tanager-load --settings=FILE [--report=FILE.json]
  tanager-load --compare A.json B.json"""


async def run_load(settings: LoadSettings) -> Report:
    """Runs all callers until the configured time has passed or a signal arrives.

    Returns the report of the outcomes that the callers observed.
    """
    run = LoadRun(settings)
    loop = asyncio.get_running_loop()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, run.stopped.set)
    started_s = time.monotonic()
    end_s = started_s + settings.seconds
    callers: list[Coroutine[None, None, None]] = []
    for chat in settings.chats:
        for number in range(chat.callers):
            callers.append(_start_in_ramp(run, ChatCaller(run, chat, number).run_chats(end_s)))
        if chat.surge is not None:
            callers.append(_run_surge(run, chat, started_s))
    for order in settings.orders:
        for number in range(order.callers):
            callers.append(_start_in_ramp(run, OrderCaller(run, order, number).send_orders(end_s)))
    readiness_poll = None
    if settings.health_period_s > 0:
        readiness_poll = asyncio.create_task(run.balancer.poll_readiness(settings.health_period_s))
    await asyncio.gather(*callers)
    if readiness_poll is not None:
        readiness_poll.cancel()
    run.report.seconds = time.monotonic() - started_s
    return run.report


async def _start_in_ramp(run: LoadRun, caller: Coroutine[None, None, None]) -> None:
    await run.sleep_unless_stopped(run.rng.uniform(0, run.settings.ramp_s))
    await caller


async def _run_surge(run: LoadRun, chat: ChatLoad, started_s: float) -> None:
    assert chat.surge is not None
    await run.sleep_unless_stopped(started_s + chat.surge.start_s - time.monotonic())
    end_s = started_s + chat.surge.start_s + chat.surge.seconds
    callers = [
        ChatCaller(run, chat, number, surging=True).run_chats(end_s)
        for number in range(chat.callers * (chat.surge.factor - 1))
    ]
    await asyncio.gather(*callers)


def _print_summary(report: Report) -> None:
    document = report.as_document()
    for latency in document["latencies"].values():
        del latency["histogram"]
    summary = {name: document[name] for name in ("counts", "failed_attempts", "latencies")}
    print(json.dumps({**summary, "seconds": document["seconds"]}))


def run() -> None:
    """Runs the load that the settings describe, or compares two reports, and exits."""
    command_line = CommandLine("tanager-load", _DESCRIPTION)
    command_line.define_settings_flag()
    values = command_line.flag_values
    flags.DEFINE_string("report", None, "Path for the JSON report.", flag_values=values)
    flags.DEFINE_boolean("compare", False, "Compares two JSON reports.", flag_values=values)
    positional = command_line.parse_arguments()
    if values["compare"].value:
        if len(positional) != 2:
            print("tanager-load: --compare needs two reports", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        print(compare_reports((Path(positional[0]), Path(positional[1]))))
        sys.exit(EXIT_OK)
    report = asyncio.run(run_load(command_line.load_settings(LoadSettings)))
    if values["report"].value:
        Path(values["report"].value).write_text(json.dumps(report.as_document()), encoding="utf-8")
    _print_summary(report)
    sys.exit(EXIT_OK)
