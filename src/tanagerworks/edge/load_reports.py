"""Reports of the load and speed of servers, in messages between nodes."""

import logging
from collections.abc import Iterable

from tanagerworks.dispatch.crash_evidence import process_key
from tanagerworks.dispatch.directory import Directory, server_key
from tanagerworks.dispatch.server_load import REPORT_MAX_AGE_S, ReportedLoad, ReportSource
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.interfaces import ServerStatement
from tanagerworks.rpc.edge_pb2 import LoadReport

_LOGGER = logging.getLogger(__name__)

# Older reports are neither sent nor believed: the mean of the factor forgets them.
_MAX_AGE_MS = 2_000
# Values that a server can state, as the adapter believes them: requests, and percent of the usual
# time. A factor of 0 stands for none.
_MAX_REQUESTS = 999_999
_MIN_FACTOR_PERCENT = 10
_MAX_FACTOR_PERCENT = 10_000
# Shortest time between two log lines about unusable reports of peers.
_LOG_INTERVAL_S = 10.0
# Bits of a process key in a report, and bytes of the tag and the length of the field.
_PROCESS_BITS = 0xFFFFFFFF
_FIELD_BYTES = 3


class LoadReports:
    """Builds the reports of one node for its peers, and records those of its peers."""

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        # Reports of peers that were impossible, and event loop time of the last log line about one.
        self.unusable = 0
        self.logged_at_s = float("-inf")

    def own_reports(
        self, since_s: float, now_s: float, max_bytes: int, interval_s: float
    ) -> list[LoadReport]:
        """Returns reports of answers that this node got after `since_s`, as far as they fit.

        `interval_s` is the time between two messages to the receiver.
        """
        found = []
        for state in self.directory.servers.values():
            report = state.reports.own
            if report is not None and report.reported_at_s > since_s:
                found.append((state, report))
        return _fitting_reports(found, now_s, max_bytes, interval_s)

    def zone_reports(
        self, part: int, parts: int, now_s: float, max_bytes: int, interval_s: float
    ) -> list[LoadReport]:
        """Returns the youngest reports of this zone for the servers of one part of a summary."""
        found = []
        for key, state in self.directory.by_key.items():
            report = state.reports.of_zone
            if report is not None and key % parts == part:
                found.append((state, report))
        return _fitting_reports(found, now_s, max_bytes, interval_s)

    def merge(self, reports: Iterable[LoadReport], now_s: float, peer: str, in_zone: bool) -> None:
        """Records a peer's reports; ignores those of unknown processes and impossible ones.

        `now_s` is event loop time; `in_zone` says whether the peer is in this node's zone.
        """
        source = ReportSource.ZONE if in_zone else ReportSource.OTHER_ZONE
        for report in reports:
            if not _is_possible(report):
                self._record_unusable(report, now_s, peer)
                continue
            state = self.directory.by_key.get(report.server_key)
            if state is None or report.process != _process(state) or report.age_ms > _MAX_AGE_MS:
                continue
            reported = ReportedLoad(
                report.running,
                report.waiting,
                report.factor_percent / 100 if report.factor_percent else None,
                now_s - report.age_ms / 1000,
            )
            state.reports.record_report(reported, source)
            _log_speed(state, now_s)

    def _record_unusable(self, report: LoadReport, now_s: float, peer: str) -> None:
        self.unusable += 1
        if now_s - self.logged_at_s < _LOG_INTERVAL_S:
            return
        self.logged_at_s = now_s
        _LOGGER.warning(
            "load report of a peer unusable",
            extra={
                "peer": peer,
                "running": report.running,
                "waiting": report.waiting,
                "factor_percent": report.factor_percent,
                "total": self.unusable,
            },
        )

    def slowdowns(self, now_s: float) -> dict[str, float]:
        """Returns the slowdown of each server that is slower than usual, by server id."""
        slowdowns = {
            state.server_id: state.slowdown(now_s) for state in self.directory.servers.values()
        }
        return {server_id: value for server_id, value in slowdowns.items() if value > 1.0}


def record_answer_load(state: ServerState, statement: ServerStatement, now_s: float) -> None:
    """Records the load and the speed that a server states in an answer to this node."""
    assert statement.load is not None
    running = statement.load - statement.waiting
    reported = ReportedLoad(running, statement.waiting, statement.work_time_factor, now_s)
    state.reports.record_report(reported, ReportSource.OWN)
    _log_speed(state, now_s)


def _fitting_reports(
    found: list[tuple[ServerState, ReportedLoad]], now_s: float, max_bytes: int, interval_s: float
) -> list[LoadReport]:
    """Returns the reports that say something new, the youngest of slow servers first.

    Loads hold for `REPORT_MAX_AGE_S`. Where messages are rarer, most would arrive too late to be
    used, so only the reports of slow servers are sent.
    """
    shares_loads = interval_s <= REPORT_MAX_AGE_S
    news = [
        (not state.reports.is_notable(now_s), -report.reported_at_s, index)
        for index, (state, report) in enumerate(found)
        if state.reports.is_worth_reporting(report, now_s, shares_loads)
    ]
    reports = []
    size = 0
    for _usual, _negative_time_s, index in sorted(news):
        report = _to_message(*found[index], now_s)
        if report.age_ms > _MAX_AGE_MS:
            continue
        size += report.ByteSize() + _FIELD_BYTES
        if size > max_bytes:
            break
        reports.append(report)
    return reports


def _to_message(state: ServerState, report: ReportedLoad, now_s: float) -> LoadReport:
    factor = report.work_time_factor
    return LoadReport(
        server_key=server_key(state.server_id),
        running=report.running,
        waiting=report.waiting,
        factor_percent=round(100 * factor) if factor is not None else 0,
        age_ms=int(max(0.0, now_s - report.reported_at_s) * 1000),
        process=_process(state),
    )


def _process(state: ServerState) -> int:
    return process_key(state.server_id, state.entry.started_ms) & _PROCESS_BITS


def _is_possible(report: LoadReport) -> bool:
    if max(report.running, report.waiting) > _MAX_REQUESTS:
        return False
    factor = report.factor_percent
    return factor == 0 or _MIN_FACTOR_PERCENT <= factor <= _MAX_FACTOR_PERCENT


def _log_speed(state: ServerState, now_s: float) -> None:
    """Logs that a server has become slow or works as usual again, once for each change."""
    reports = state.reports
    if not reports.update_slow(now_s):
        return
    _LOGGER.info(
        "server became slow" if reports.logged_slow else "server works as usual again",
        extra={
            "server": state.server_id,
            "factor": round(reports.work_time.factor(now_s), 2),
            "load": state.load(now_s),
        },
    )
