"""Reports of crashed servers in messages between nodes."""

from collections.abc import Iterable, Iterator

from tanagerworks.dispatch.crash_evidence import CrashEvidence, ServerCrash, Suspect
from tanagerworks.rpc.edge_pb2 import CrashReport, SuspectPart

# Regular messages report a crash for this time, several times the interval of messages in a large
# fleet; after that, only the parts in quarantine.
_REPORT_PERIOD_S = 10.0
# Suspects in one report, at about 18 bytes each.
_MAX_SUSPECTS_PER_REPORT = 10


def crash_reports(evidence: CrashEvidence, now_s: float, max_age_s: float) -> Iterator[CrashReport]:
    """Yields reports of the crashes of the last `max_age_s` seconds and of quarantined parts.

    The parts that are most likely to be the cause come first.
    """
    for process, crash in evidence.reports(now_s, max_age_s):
        suspects = sorted(
            crash.suspects.items(), key=lambda item: (item[1].cleared, item[1].answered_before)
        )
        yield CrashReport(
            process=process,
            age_ms=max(0, int((now_s - crash.crashed_at_s) * 1000)),
            suspects=[
                SuspectPart(
                    part=key,
                    depth=suspect.depth,
                    in_flight_ms=max(0, int(suspect.in_flight_s * 1000)),
                    answered_before=suspect.answered_before,
                    cleared=suspect.cleared,
                )
                for key, suspect in suspects[:_MAX_SUSPECTS_PER_REPORT]
            ],
        )


def recent_crash_reports(
    evidence: CrashEvidence, now_s: float, max_bytes: int
) -> list[CrashReport]:
    """Returns the reports for a datagram, those of the latest crashes as far as they fit."""
    reports = []
    size = 0
    for report in crash_reports(evidence, now_s, _REPORT_PERIOD_S):
        # Tag and length of the field.
        size += report.ByteSize() + 3
        if size > max_bytes:
            break
        reports.append(report)
    return reports


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
