"""Reports of the limits that servers name, in messages between nodes."""

import logging
from collections.abc import Iterable

from tanagerworks.dispatch.directory import Directory, server_key
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.rpc.edge_pb2 import LimitReport

_LOGGER = logging.getLogger(__name__)

# Regular messages report a limit, or its end, for this time after it has changed, several times the
# interval of messages in a large fleet.
_REPORT_PERIOD_S = 10.0
# Longest age of an answer that is believed, so that the arithmetic with it stays exact.
_MAX_AGE_S = 3_600.0


def all_limit_reports(directory: Directory, now_s: float, max_bytes: int) -> list[LimitReport]:
    """Returns reports of the limits in force, those that changed last first, as far as they fit."""
    limited = [
        state
        for state in directory.servers.values()
        if state.limit_per_s is not None or state.rejections_per_s is not None
    ]
    return _fitting_reports(limited, now_s, max_bytes)


def recent_limit_reports(directory: Directory, now_s: float, max_bytes: int) -> list[LimitReport]:
    """Returns reports of the limits that have changed or ended lately, as far as they fit."""
    changed = [
        state
        for state in directory.servers.values()
        if now_s - state.limit_changed_at_s < _REPORT_PERIOD_S
    ]
    return _fitting_reports(changed, now_s, max_bytes)


def _fitting_reports(states: list[ServerState], now_s: float, max_bytes: int) -> list[LimitReport]:
    states.sort(key=lambda state: -state.limit_changed_at_s)
    reports = []
    size = 0
    for state in states:
        age_s = min(_MAX_AGE_S, max(0.0, now_s - state.limit_named_at_s))
        report = LimitReport(
            server_key=server_key(state.server_id),
            age_ms=int(age_s * 1000),
            requests_per_s=state.limit_per_s,
            rejections_per_s=state.rejections_per_s,
        )
        # Tag and length of the field.
        size += report.ByteSize() + 3
        if size > max_bytes:
            break
        reports.append(report)
    return reports


def merge_limit_reports(
    directory: Directory, reports: Iterable[LimitReport], now_s: float, peer: str
) -> None:
    """Records the limits that a peer reports, as far as they are newer than those known.

    `now_s` is event loop time; reports of unknown servers and invalid ones are ignored.
    """
    for report in reports:
        state = directory.by_key.get(report.server_key)
        if state is None or not _is_valid(report):
            continue
        limit_per_s = report.requests_per_s if report.HasField("requests_per_s") else None
        rejections_per_s = report.rejections_per_s if report.HasField("rejections_per_s") else None
        if state.record_limit(limit_per_s, now_s - report.age_ms / 1000, rejections_per_s):
            log_limit(state, f"peer {peer}")


def _is_valid(report: LimitReport) -> bool:
    # Infinite values and NaN fail the comparison as well; absent ones are 0.
    return 0.0 <= report.requests_per_s < 1e9 and 0.0 <= report.rejections_per_s < 1e9


def log_limit(state: ServerState, source: str) -> None:
    """Logs that a server has changed its limit; `source` is "answer" or the peer that said so."""
    _LOGGER.info(
        "server changed its limit",
        extra={
            "server": state.server_id,
            "requests_per_s": state.limit_per_s,
            "rejections_per_s": state.rejections_per_s,
            "source": source,
        },
    )
