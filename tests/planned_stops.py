"""The users' rule on whole answers around planned stops and reloads, as a check of records.

A request is lost if its connection ends without a complete answer around the planned work, although
a server had got it, or it was sent longer ago than the slack. The reasons for which a request does
not count are methods of `PlannedWork`. All times are seconds of one clock.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One attempt of a caller; `ended_s` is when its answer or its connection ended."""

    call_id: str
    node: str
    # When its last byte was sent.
    sent_s: float
    ended_s: float
    complete: bool
    # The shorter of its deadline and the timeouts of its route that may have been in force.
    limit_s: float


@dataclass(slots=True)
class ServerRun:
    """The work of one server on a request; `ended_s` is infinite until it ends."""

    server: str
    began_s: float
    ended_s: float = math.inf
    broke_off: bool = False


@dataclass(frozen=True, slots=True)
class Disruption:
    """Unplanned trouble of a node, a server or the store."""

    subject: str
    began_s: float
    ended_s: float


@dataclass(slots=True)
class PlannedSignal:
    """A SIGTERM (`stop`) or a SIGHUP of a node."""

    node: str
    sent_s: float
    stop: bool = True
    # Whether the process read from connections by then; one that starts only opens the port.
    serving: bool = True


@dataclass(frozen=True, slots=True)
class RuleBounds:
    """The users' values, in seconds."""

    grace_s: float = 8.0
    loss_slack_s: float = 0.2
    contact_s: float = 3.0
    # For requests sent up to this long after a SIGHUP.
    apply_s: float = 2.0
    # Up to this long after the SIGTERM, callers cannot know of it.
    unaware_s: float = 3.0
    # How long after the grace period a request still counts.
    after_grace_s: float = 1.0
    # Nodes reserve some milliseconds of a deadline for the way back.
    deadline_tolerance_s: float = 0.02


@dataclass(frozen=True, slots=True)
class CutRequest:
    """A request that was cut, and the planned work around it: the last stop, or else reload."""

    request: SentRequest
    signal: PlannedSignal
    runs: Sequence[ServerRun]
    # The exception of the rule that holds, if any does.
    excuse: str | None


class PlannedWork:
    """What happened in a run; decides which requests were lost around its planned work."""

    def __init__(
        self,
        signals: Iterable[PlannedSignal],
        runs: Mapping[str, Sequence[ServerRun]],
        disruptions: Sequence[Disruption] = (),
        bounds: RuleBounds | None = None,
    ) -> None:
        """`runs` are those of each call id."""
        self.signals = defaultdict(list)
        for signal in signals:
            self.signals[signal.node].append(signal)
        self.runs = runs
        self.disruptions = disruptions
        self.bounds = bounds or RuleBounds()

    def find_lost(self, requests: Iterable[SentRequest]) -> list[CutRequest]:
        """Returns the requests that the rule counts."""
        return [cut for cut in self.find_cut(requests) if cut.excuse is None]

    def find_cut(self, requests: Iterable[SentRequest]) -> list[CutRequest]:
        """Returns the requests that were cut around planned work, also those that do not count."""
        found = []
        for request in requests:
            signals = [s for s in self.signals[request.node] if self.is_around(request, s)]
            if not signals or not self.is_cut(request):
                continue
            # Of two processes of a node, the last one that was stopped has cut the request.
            signal = max(signals, key=lambda planned: (planned.stop, planned.sent_s))
            runs = self.runs.get(request.call_id, ())
            found.append(CutRequest(request, signal, runs, self.find_excuse(request, signal)))
        return found

    def is_around(self, request: SentRequest, signal: PlannedSignal) -> bool:
        """Whether a request ended in the time for which a signal counts as planned work."""
        if request.ended_s < signal.sent_s:
            return False
        if not signal.stop:
            return request.sent_s <= signal.sent_s + self.bounds.apply_s
        return request.ended_s <= signal.sent_s + self.bounds.grace_s + self.bounds.after_grace_s

    def is_cut(self, request: SentRequest) -> bool:
        """Whether a request that a node had read ended without a complete answer."""
        if request.complete:
            return False
        took_s = request.ended_s - request.sent_s
        return bool(self.runs.get(request.call_id)) or took_s > self.bounds.loss_slack_s

    def find_excuse(self, request: SentRequest, signal: PlannedSignal) -> str | None:
        """Returns which exception of the rule holds for a request that was cut, if any does."""
        took_s = request.ended_s - request.sent_s
        if not signal.serving and not self.runs.get(request.call_id):
            return "never read"
        if any(run.broke_off for run in self.runs.get(request.call_id, ())):
            return "server broke off"
        if took_s >= request.limit_s - self.bounds.deadline_tolerance_s:
            return "limit reached"
        if signal.stop and self.outlasted_stop(request, signal):
            return "outlasted the stop"
        return "disrupted" if self.was_disrupted(request) else None

    def outlasted_stop(self, request: SentRequest, signal: PlannedSignal) -> bool:
        """Whether a server still worked in the last sixth on a request that was sent in time."""
        last_sixth_s = signal.sent_s + self.bounds.grace_s * 5 / 6
        return request.sent_s <= signal.sent_s + self.bounds.unaware_s and any(
            run.ended_s >= last_sixth_s for run in self.runs.get(request.call_id, ())
        )

    def was_disrupted(self, request: SentRequest) -> bool:
        """Whether there was trouble of the node, of a server of the request or of the store."""
        involved = {run.server for run in self.runs.get(request.call_id, ())}
        involved |= {request.node, "store"}
        return any(
            disruption.subject in involved
            and disruption.began_s <= request.ended_s
            and disruption.ended_s >= request.sent_s - self.bounds.contact_s
            for disruption in self.disruptions
        )
