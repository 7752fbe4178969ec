"""Load and speed that backend servers report, as one node has them from its answers and its peers.

A server states in an answer how many requests it has in progress and how long work takes there, as
a multiple of the usual time. The reports of all nodes are used, each with the time at which its
answer arrived. Decisions about a server use its youngest report, and the mean of the last factors.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

# A reported load is used for this long: after a second, a server whose requests take a second has
# other requests in progress.
REPORT_MAX_AGE_S = 0.5
# A reported load counts up to this multiple of the slots plus the extra, the limit of requests at a
# plain server. A server that reports more gets no request, and its report must not raise the mean
# load of the service, nor the expected wait, as far as it states.
_MAX_LOAD_PER_SLOT = 1.5
_MAX_EXTRA_LOAD = 2
# Factors below and above these count as if they were equal to them. The lower one is the lowest
# that is believed; the upper one keeps a single false figure from lasting long in the mean.
_MIN_FACTOR = 0.1
_MAX_FACTOR = 10.0
# Weights of factors decrease with this time constant: the figure changes many times a second, and
# only its mean says anything about the next request.
_SMOOTHING_S = 1.0
# Without reports, the mean returns to 1 with this time constant.
_RETURN_S = 3.0
# Weight of the assumption that work takes as long as usual, in reports. After a long silence, one
# report of 1.3 gives 1.2, which changes no decision.
_USUAL_WEIGHT = 0.5
# Reports that follow closer count once for the mean: the same report may arrive from several peers,
# with an age that differs by a few milliseconds.
_MIN_SPACING_S = 0.02
# The factor of a server that works as usual varies between 0.8 and 1.3, so an excess over 1 up to
# this says nothing.
_USUAL_EXCESS = 0.3
# Mean factor from which the reports of a server are sent to peers for their factor: a server that
# works as usual rarely has it, and one that turns slow has it with the first report.
_NOTABLE_FACTOR = 1.2
# Mean factors from which a server counts as slow for the log, and below which it no longer does.
_SLOW_FACTOR = 1.8
_RECOVERED_FACTOR = 1.3


class ReportSource(Enum):
    """How a report came to this node."""

    OWN = "answer"
    ZONE = "peer of the zone"
    OTHER_ZONE = "peer of another zone"


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What one answer of a server stated."""

    running: int
    waiting: int
    # Duration of work as a multiple of the usual; None if not stated.
    work_time_factor: float | None
    # When the answer arrived at the node that received it, on this node's clock.
    reported_at_s: float


@dataclass(slots=True)
class WorkTimeMean:
    """Weighted mean of the work time factors of a server; 1.0 means as usual."""

    # Sums as of the last report, the weights of reports and their deviations from 1.
    weights: float = 0.0
    deviations: float = 0.0
    # Deviation of the mean from 1 as of the last report.
    mean_deviation: float = 0.0
    last_report_s: float = float("-inf")

    def add_factor(self, factor: float, reported_at_s: float) -> None:
        """Adds a report; one that is not younger than the last is ignored."""
        elapsed_s = reported_at_s - self.last_report_s
        if elapsed_s < _MIN_SPACING_S:
            return
        decay = math.exp(-elapsed_s / _SMOOTHING_S)
        factor = min(_MAX_FACTOR, max(_MIN_FACTOR, factor))
        self.weights = decay * self.weights + 1.0
        self.deviations = decay * self.deviations + factor - 1.0
        self.mean_deviation = self.deviations / (self.weights + _USUAL_WEIGHT)
        self.last_report_s = reported_at_s

    def factor(self, now_s: float) -> float:
        """Returns the mean factor, which returns to 1 without reports."""
        if not self.weights:
            return 1.0
        silent_s = max(0.0, now_s - self.last_report_s)
        return 1.0 + self.mean_deviation * math.exp(-silent_s / _RETURN_S)

    def slowdown(self, now_s: float) -> float:
        """Returns by which multiple work is expected to be slower than usual, at least 1.

        It is 1 as long as the factor varies as it does at servers that work as usual. A server that
        states that it is faster than usual gains nothing by that.
        """
        if self.mean_deviation <= _USUAL_EXCESS:
            return 1.0
        return max(1.0, self.factor(now_s) - _USUAL_EXCESS)


@dataclass(slots=True)
class ServerReports:
    """The reports of one server process."""

    # The youngest report of any node, of the nodes of this zone, and of this node.
    latest: ReportedLoad | None = None
    of_zone: ReportedLoad | None = None
    own: ReportedLoad | None = None
    work_time: WorkTimeMean = field(default_factory=WorkTimeMean)
    # Whether the log says that the server is slow.
    logged_slow: bool = False
    # Start times of this node's requests in progress at the server, by call id, the latest last.
    started_at_s: dict[str, float] = field(default_factory=dict)

    @property
    def reported_at_s(self) -> float:
        """When the youngest report arrived; minus infinity before the first."""
        return self.latest.reported_at_s if self.latest is not None else float("-inf")

    def record_report(self, report: ReportedLoad, source: ReportSource) -> None:
        """Records a report unless a younger one of the same kind is known."""
        if source is ReportSource.OWN and _is_younger(report, self.own):
            self.own = report
        if source is not ReportSource.OTHER_ZONE and _is_younger(report, self.of_zone):
            self.of_zone = report
        if _is_younger(report, self.latest):
            self.latest = report
        if report.work_time_factor is not None:
            self.work_time.add_factor(report.work_time_factor, report.reported_at_s)

    def record_start(self, call_id: str, now_s: float) -> None:
        """Records the start of a request of this node."""
        self.started_at_s.pop(call_id, None)
        self.started_at_s[call_id] = now_s

    def record_end(self, call_id: str) -> None:
        """Records the end of a request of this node."""
        self.started_at_s.pop(call_id, None)

    def load(self, slots: int, now_s: float) -> int:
        """Returns the load by the youngest report, with this node's later requests; 0 if too old.

        A report includes the requests of the fleet that had arrived by its time, so it must not be
        added to the fleet's count. Only requests that this node sent afterwards are not in it.
        """
        report = self.latest
        if report is None or now_s - report.reported_at_s > REPORT_MAX_AGE_S:
            return 0
        later = 0
        for started_at_s in reversed(self.started_at_s.values()):
            if started_at_s <= report.reported_at_s:
                break
            later += 1
        limit = int(_MAX_LOAD_PER_SLOT * slots) + _MAX_EXTRA_LOAD
        return min(report.running + report.waiting, limit) + later

    def is_worth_reporting(self, report: ReportedLoad, now_s: float, shares_loads: bool) -> bool:
        """Whether a report has something for peers: a load that they may use, or a slow server.

        `shares_loads` is whether messages reach peers while a load may be used.
        """
        if shares_loads and now_s - report.reported_at_s <= REPORT_MAX_AGE_S:
            return True
        return self.is_notable(now_s)

    def is_notable(self, now_s: float) -> bool:
        """Whether work takes longer than usual at the server."""
        return self.work_time.factor(now_s) >= _NOTABLE_FACTOR

    def update_slow(self, now_s: float) -> bool:
        """Updates `logged_slow` by the mean factor; returns whether it has changed."""
        factor = self.work_time.factor(now_s)
        slow = factor >= (_RECOVERED_FACTOR if self.logged_slow else _SLOW_FACTOR)
        changed = slow is not self.logged_slow
        self.logged_slow = slow
        return changed


def _is_younger(report: ReportedLoad, known: ReportedLoad | None) -> bool:
    return known is None or report.reported_at_s > known.reported_at_s
