"""Reports of crashed servers in messages between nodes."""

import math
import random
from collections import Counter
from collections.abc import Iterable
from heapq import nsmallest
from itertools import islice

from tanagerworks.dispatch.crash_evidence import CrashEvidence, ServerCrash, Suspect
from tanagerworks.rpc.edge_pb2 import CrashReport

# Regular messages report what this node has learned of a crash for this time, several times the
# interval of messages in a large fleet.
_REPORT_PERIOD_S = 10.0
# Crashes whose suspects one message may name, the latest ones.
_MAX_CRASHES_PER_MESSAGE = 8
# Bytes of a report without its suspects but with its tag and length, and of a suspect, at most.
_REPORT_BYTES = 23
_SUSPECT_BYTES = 25


def all_crash_reports(evidence: CrashEvidence, now_s: float) -> list[CrashReport]:
    """Returns reports of all known crashes with all their suspects."""
    return [
        _to_report(process, crash, now_s, list(crash.suspects))
        for process, crash in evidence.changed_crashes(-math.inf)
    ]


def quarantine_reports(evidence: CrashEvidence, now_s: float, max_bytes: int) -> list[CrashReport]:
    """Returns reports of the latest crashes with quarantined parts, as far as they fit."""
    return _fitting_reports(evidence.quarantine_crashes(), now_s, max_bytes)


def recent_crash_reports(
    evidence: CrashEvidence, now_s: float, max_bytes: int
) -> list[CrashReport]:
    """Returns reports of what this node has learned lately of crashes, as far as they fit."""
    crashes = evidence.changed_crashes(now_s - _REPORT_PERIOD_S)
    return _fitting_reports(crashes, now_s, max_bytes)


def _fitting_reports(
    crashes: Iterable[tuple[int, ServerCrash]], now_s: float, max_bytes: int
) -> list[CrashReport]:
    """Returns reports of at most `max_bytes`, with the likely suspects of all crashes first.

    These are those in most crashes. Equally likely ones come in an order that differs from message
    to message, so that all of them are reported in time.
    """
    latest = dict(islice(crashes, _MAX_CRASHES_PER_MESSAGE))
    occurrences = Counter(key for crash in latest.values() for key in crash.suspects)
    ranked = [
        (_innocence(suspect), -occurrences[key], random.random(), process, key)
        for process, crash in latest.items()
        for key, suspect in crash.suspects.items()
    ]
    keys_by_process: dict[int, list[int]] = {}
    for _innocent, _occurrences, _random, process, key in nsmallest(
        max_bytes // _SUSPECT_BYTES, ranked
    ):
        needed = _SUSPECT_BYTES + (0 if process in keys_by_process else _REPORT_BYTES)
        if needed > max_bytes:
            continue
        max_bytes -= needed
        keys_by_process.setdefault(process, []).append(key)
    return [
        _to_report(process, latest[process], now_s, keys)
        for process, keys in keys_by_process.items()
    ]


def _innocence(suspect: Suspect) -> tuple[bool, bool]:
    return suspect.cleared, suspect.answered_before


def _to_report(process: int, crash: ServerCrash, now_s: float, keys: Iterable[int]) -> CrashReport:
    report = CrashReport(process=process, age_ms=max(0, int((now_s - crash.crashed_at_s) * 1000)))
    for key in keys:
        suspect = crash.suspects[key]
        report.suspects.add(
            part=key,
            depth=suspect.depth,
            in_flight_ms=max(0, int(suspect.in_flight_s * 1000)),
            answered_before=suspect.answered_before,
            cleared=suspect.cleared,
        )
    return report


def merge_crash_reports(
    evidence: CrashEvidence, reports: Iterable[CrashReport], now_s: float
) -> None:
    """Adds the crashes that a peer reports to those that this node knows."""
    for report in reports:
        suspects = {
            suspect.part: Suspect(
                suspect.depth,
                suspect.in_flight_ms / 1000,
                suspect.answered_before,
                suspect.cleared,
            )
            for suspect in report.suspects
        }
        crash = ServerCrash(now_s - report.age_ms / 1000, suspects)
        evidence.merge_crash(report.process, crash, now_s)
