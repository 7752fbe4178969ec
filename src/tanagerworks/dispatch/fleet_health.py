"""Health of backend servers as all nodes of the fleet see it.

In a large fleet each node sends one server a request every few seconds, so a node alone learns too
slowly that a server has begun to fail. Nodes therefore add up the outcomes of their requests. The
evidence of at least two nodes ejects a server or lowers its rank in the choice. After an ejection
one node, or a second one in its place, sends a probe, and its success ends the ejection everywhere.
"""

import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from tanagerworks.dispatch.crash_evidence import process_key
from tanagerworks.dispatch.directory import Directory, server_key
from tanagerworks.dispatch.server_state import FAILURES_TO_EJECT, FIRST_EJECTION_S, ServerState
from tanagerworks.membership.peer_table import PeerTable
from tanagerworks.routing.ranking import place_equally

# Outcomes are evidence for this time.
WINDOW_S = 2.0
# Evidence that ejects a server: failures, nodes that report some, and their share of the outcomes.
_MIN_FAILURES = 3
_MIN_FAILING_NODES = 2
_MIN_SHARE = 0.5
# Failures of one node that count beyond those of all others, so that a large false number beside
# one genuine failure does not outweigh the answers. Two failures of one node and one of another
# still suffice.
_MAX_EXCESS_FAILURES = 1
# Share of the usable servers of a service that the evidence of the fleet ejects at most.
_MAX_EJECTED_SHARE = 0.5
# If more than this share of the usable servers of a service fail requests, and together they answer
# more than the second share, the cause is no single server: all servers of a service have been seen
# to fail 45% of their requests for four seconds. To avoid those with more failures by chance would
# only move prompts and load the others.
_MAX_FAILING_SHARE = 0.5
_COMMON_ANSWER_SHARE = 0.25
# The least number of such servers: with two servers, the failures of both may be their own.
_MIN_FAILING_SERVERS = 3
# Answers added to those observed in a share, so that one or two failures do not make it 1.
_PRIOR_ANSWERS = 1
# Longest ejection by the evidence of the fleet. It is shorter than that by a node's own evidence
# since the whole fleet sends one or two probes, and a server that has recovered has to be used
# again within about a second.
MAX_FLEET_EJECTION_S = 0.75
# Outcomes of this time after the beginning of an ejection may belong to requests sent before it.
_SETTLING_S = 0.25
# Nodes that may probe a server, and the time for which the second waits for the first.
_PROBING_NODES = 2
_SECOND_PROBE_DELAY_S = 0.3
# The same if peers report that a probe failed since. The second node then confirms this for the
# other nodes, in time before `_SILENT_EJECTION_S`, as the reports of one node are not relied on.
_CONFIRMING_PROBE_DELAY_S = 1.0
# A server with at least this share of failures that is not ejected is probed likewise if no outcome
# came for this time. Its rank keeps other requests away, so there would be no evidence otherwise:
# neither for an ejection nor of its recovery.
_SUSPECT_SHARE = 0.3
_SUSPECT_PROBE_S = 0.4
# The node that saw the last outcome waits longer, so that the probing nodes take turns: failures
# that one node alone reports do not count.
_SUSPECT_TURN_S = 0.3
# A request that must not be repeated is a probe only if no other came for this time.
_REPEATABLE_WAIT_S = 0.5
# Shortest time between two probes of a node at servers of one service, so that most requests of a
# small fleet still go to sound servers.
_PROBE_INTERVAL_S = 0.2
# A node ends an ejection without a probe if nobody has reported one for this time.
_SILENT_EJECTION_S = 2.0
# After an ejection, the share of failures from before fades within this time, so that the nodes
# return gradually.
_RETURN_S = 0.5
# A node tries at least this many servers before it takes itself for the cause of failures.
_MIN_TRIED_SERVERS = 4
# Shortest times between two evaluations of changed evidence, and of evidence that only ages.
_EVALUATION_INTERVAL_S = 0.05
_AGING_INTERVAL_S = 0.4
# Ages in reports are in whole milliseconds.
_CLOCK_STEP_S = 0.001
# Largest counts that are believed of one report.
_MAX_COUNT = 10_000


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Numbers of answers and failures, with the number of nodes that saw the failures."""

    answers: int = 0
    failures: int = 0
    failing_nodes: int = 0
    # Time of the newest failure, or of the newest answer without one.
    newest_s: float = -math.inf

    @property
    def share(self) -> float:
        """Estimated share of requests that fail."""
        if not self.failures:
            return 0.0
        return self.failures / (self.failures + self.answers + _PRIOR_ANSWERS)

    def ejects(self) -> bool:
        """Whether the outcomes of the whole fleet eject a server."""
        return (
            self.failing_nodes >= _MIN_FAILING_NODES
            and self.failures >= _MIN_FAILURES
            and self.failures >= _MIN_SHARE * (self.failures + self.answers)
        )


_NO_OUTCOMES = Outcomes()


@dataclass(slots=True)
class Ejection:
    """An ejection by the evidence of the fleet; probes are due from `until_s` on."""

    since_s: float
    duration_s: float
    # Share of failures that caused it.
    share: float
    # Place of this node among those that probe the server; None if it does not, -1 if unknown.
    place: int | None = -1

    @property
    def until_s(self) -> float:
        """End of the time without probes."""
        return self.since_s + self.duration_s

    def renew(self, failed_s: float) -> None:
        """Begins the next, longer ejection after a failed probe."""
        self.since_s = failed_s
        self.duration_s = min(MAX_FLEET_EJECTION_S, 2.0 * self.duration_s)


@dataclass(slots=True)
class ServerHealth:
    """Evidence on one server process. Times are those of the event loop of this node."""

    state: ServerState
    # Its `process_hash`.
    process: int
    # Outcomes of the whole fleet as of the last evaluation.
    outcomes: Outcomes = _NO_OUTCOMES
    # Outcomes at this node: time, and whether it is a failure.
    own: deque[tuple[float, bool]] = field(default_factory=deque)
    # Reports of single nodes with their zone, by name, and sums of zones, by zone and sender.
    node_reports: dict[str, tuple[str, Outcomes]] = field(default_factory=dict)
    zone_reports: dict[tuple[str, str], Outcomes] = field(default_factory=dict)
    # First failure since failures are known without a gap of `WINDOW_S`; answers from before say
    # nothing of a server that has just begun to fail.
    onset_s: float = math.inf
    last_failure_s: float = -math.inf
    last_outcome_s: float = -math.inf
    # Outcomes up to this time are not used any more: the server has recovered since.
    recovered_s: float = -math.inf
    # Whether the evidence of the fleet lowers the rank without an ejection, and whether this node
    # is one of those that probe the server; None if unknown.
    is_suspect: bool = False
    probes_suspect: bool | None = None
    ejection: Ejection | None = None
    last_ejection_s: float = 0.0
    returning_share: float = 0.0
    returning_since_s: float = -math.inf

    def note_failure(self, failed_s: float) -> None:
        """Extends or begins the time in which failures are known."""
        if failed_s - self.last_failure_s > WINDOW_S:
            self.onset_s = failed_s
        self.onset_s = min(self.onset_s, failed_s)
        self.last_failure_s = max(self.last_failure_s, failed_s)

    def is_failing(self, now_s: float) -> bool:
        """Whether any node is known to have seen a failure within `WINDOW_S`."""
        return max(now_s - WINDOW_S, self.recovered_s) < self.last_failure_s

    def has_recovered(self, now_s: float) -> bool:
        """Whether the server had a success after an ejection within `WINDOW_S`."""
        return now_s - self.recovered_s < WINDOW_S

    def own_outcomes(self, now_s: float) -> Outcomes:
        """Returns the outcomes of this node that count now."""
        while self.own and now_s - self.own[0][0] > WINDOW_S:
            self.own.popleft()
        if not self.own:
            return _NO_OUTCOMES
        answers = [
            at_s
            for at_s, failed in self.own
            if not failed
            and at_s > self.recovered_s
            and (at_s >= self.onset_s or self.has_recovered(now_s))
        ]
        failures = [at_s for at_s, failed in self.own if failed and at_s > self.recovered_s]
        newest_s = max(failures or answers, default=-math.inf)
        return Outcomes(len(answers), len(failures), min(1, len(failures)), newest_s)

    def _counts(self, outcomes: Outcomes, now_s: float) -> bool:
        return outcomes.newest_s > max(now_s - WINDOW_S, self.recovered_s)

    def sums_by_zone(self, now_s: float) -> dict[str, Outcomes]:
        """Returns the sums of what single nodes report, by zone; drops expired reports."""
        if not self.node_reports:
            return {}
        since_s = max(now_s - WINDOW_S, self.recovered_s)
        expired = []
        by_zone: dict[str, list[Outcomes]] = {}
        for name, (zone, outcomes) in self.node_reports.items():
            if outcomes.newest_s > since_s:
                by_zone.setdefault(zone, []).append(outcomes)
            else:
                expired.append(name)
        for name in expired:
            del self.node_reports[name]
        return {zone: _sum(reports) for zone, reports in by_zone.items()}

    def fleet_outcomes(self, own_zone: str, now_s: float) -> Outcomes:
        """Returns the outcomes of the whole fleet, without those of this node.

        Of the sums of another zone the second largest counts, so that a single sender of sums that
        are false changes nothing. With one sender, the sum counts as the report of one node, and
        not as another one than the sender's own report.
        """
        direct = self.sums_by_zone(now_s)
        totals = [direct.pop(own_zone, _NO_OUTCOMES)]
        if not direct and not self.zone_reports:
            return totals[0]
        reporters = {name for name, (_, outcomes) in self.node_reports.items() if outcomes.failures}
        sums: dict[str, list[tuple[Outcomes, str]]] = {zone: [] for zone in direct}
        for (zone, sender), outcomes in list(self.zone_reports.items()):
            if self._counts(outcomes, now_s):
                sums.setdefault(zone, []).append((outcomes, sender.removesuffix("/")))
            else:
                del self.zone_reports[zone, sender]
        for zone, known in sums.items():
            candidates = [direct.get(zone, _NO_OUTCOMES)]
            candidates += sorted((item[0] for item in known), key=_weight, reverse=True)[1:]
            if len(known) == 1:
                ((outcomes, sender),) = known
                if sender in reporters:
                    outcomes = replace(outcomes, failures=0, failing_nodes=0)
                reporters.add(sender)
                nodes = min(1, outcomes.failing_nodes)
                candidates.append(replace(outcomes, failing_nodes=nodes))
            totals.append(max(candidates, key=_weight))
        return _sum(totals)

    def remove_expired_reports(self, now_s: float) -> None:
        """Drops the reports that count no more, also those under names that never report again."""
        for name, (_zone, outcomes) in list(self.node_reports.items()):
            if not self._counts(outcomes, now_s):
                del self.node_reports[name]
        for key, outcomes in list(self.zone_reports.items()):
            if not self._counts(outcomes, now_s):
                del self.zone_reports[key]

    def failure_times(self, own_zone: str, since_s: float) -> list[float]:
        """Returns times of failures after `since_s` at other nodes, newest first.

        Each node adds one time at most. A sum of another zone has only the time of its newest
        failure; as in `fleet_outcomes`, one sender's sum counts as the report of one node.
        """
        direct: dict[str, list[float]] = {own_zone: []}
        reporters = set()
        for name, (zone, outcomes) in self.node_reports.items():
            if outcomes.failures and outcomes.newest_s > since_s:
                direct.setdefault(zone, []).append(outcomes.newest_s)
                reporters.add(name)
        sums: dict[str, list[tuple[float, int, str]]] = {}
        for (zone, sender), outcomes in self.zone_reports.items():
            if outcomes.failures and outcomes.newest_s > since_s:
                item = (outcomes.newest_s, outcomes.failing_nodes, sender.removesuffix("/"))
                sums.setdefault(zone, []).append(item)
        for zone, known in sums.items():
            summed = []
            if len(known) > 1:
                newest_s = sorted(item[0] for item in known)[-2]
                nodes = sorted(item[1] for item in known)[-2]
                summed = [newest_s] * min(_MIN_FAILING_NODES, nodes)
            elif known[0][2] not in reporters:
                summed = [known[0][0]]
                reporters.add(known[0][2])
            direct[zone] = max(direct.get(zone, []), summed, key=len)
        return sorted((at_s for times in direct.values() for at_s in times), reverse=True)


def _sum(reports: list[Outcomes]) -> Outcomes:
    """Returns the sum of reports, with a bound on the failures of one node beside others."""
    if len(reports) == 1:
        return reports[0]
    answers = failures = nodes = 0
    largest = max(reports, key=_weight)
    newest_failure_s = newest_answer_s = -math.inf
    for outcomes in reports:
        answers += outcomes.answers
        failures += outcomes.failures
        nodes += outcomes.failing_nodes
        if outcomes.failures:
            newest_failure_s = max(newest_failure_s, outcomes.newest_s)
        else:
            newest_answer_s = max(newest_answer_s, outcomes.newest_s)
    others = failures - largest.failures
    if others and largest.failing_nodes <= 1:
        failures = min(failures, 2 * others + _MAX_EXCESS_FAILURES)
    return Outcomes(answers, failures, nodes, newest_failure_s if failures else newest_answer_s)


def _weight(outcomes: Outcomes) -> tuple[int, int]:
    return outcomes.failures, outcomes.answers


def process_hash(state: ServerState) -> int:
    """Returns the 32-bit hash that tells the processes of a server apart in reports."""
    return process_key(state.server_id, state.entry.started_ms) & 0xFFFF_FFFF


class FleetHealth:
    """Outcomes at this node and those that peers report; sets the ejections of `ServerState`.

    `zone` is the availability zone of this node; the exchange with the peers sets it.
    """

    def __init__(self, node: str, directory: Directory, peer_table: PeerTable) -> None:
        self.node = node
        self.zone = ""
        self.directory = directory
        self.peer_table = peer_table
        # Evidence by `server_key`.
        self.servers: dict[int, ServerHealth] = {}
        # Servers whose evidence has changed since the last evaluation.
        self.changed: set[int] = set()
        # Servers with outcomes that the peers should know at once, and those of other zones.
        self.unreported: set[int] = set()
        self.keys_to_relay: dict[str, set[int]] = {}
        self.evaluated_s = -math.inf
        self.aged_s = -math.inf
        # Time of the last probe by service.
        self.probed_s: dict[str, float] = {}
        # Returns whether connections fail in a way that may be due to this node.
        self.is_connection_suspect: Callable[[], bool] = lambda: False
        # Called when an outcome should be reported at once.
        self.on_report_due: Callable[[], None] = lambda: None
        # Called with the server, and the evidence of an ejection or its reason to end.
        self.on_ejected: Callable[[ServerState, Outcomes, Ejection], None] = lambda *_: None
        self.on_returned: Callable[[ServerState, str], None] = lambda *_: None

    # Evidence

    def _find(self, state: ServerState) -> ServerHealth:
        key = server_key(state.server_id)
        health = self.servers.get(key)
        if health is None or health.state is not state:
            self._forget(key)
            health = self.servers[key] = ServerHealth(state, process_hash(state))
        return health

    def _forget(self, key: int) -> None:
        """Drops the evidence on a process that is gone; its entry may come back."""
        health = self.servers.pop(key, None)
        if health is not None:
            health.state.fleet_ejected = False
            health.state.fleet_failure_share = 0.0

    def record_answer(self, state: ServerState, sent_s: float, now_s: float) -> None:
        """Records that a server answers a request that was sent at `sent_s`."""
        health = self._find(state)
        key = server_key(state.server_id)
        ejection = health.ejection
        if ejection is not None:
            if sent_s < ejection.since_s:
                return
            self._recover(health, sent_s, "probe", now_s)
        health.own.append((now_s, False))
        health.last_outcome_s = now_s
        self.changed.add(key)
        if ejection is not None or health.is_failing(now_s):
            self._report_soon(key)

    def record_failure(self, state: ServerState, was_answered: bool, now_s: float) -> None:
        """Records a failure; `was_answered` if the attempt was recorded as an answer before."""
        health = self._find(state)
        key = server_key(state.server_id)
        if was_answered:
            latest = next((item for item in reversed(health.own) if not item[1]), None)
            if latest is not None:
                health.own.remove(latest)
        health.own.append((now_s, True))
        health.last_outcome_s = now_s
        health.note_failure(now_s)
        self.changed.add(key)
        self._report_soon(key)

    def forget_own_failures(self, since_s: float) -> None:
        """Drops the failures that this node has seen since a time, as it was their cause."""
        for key, health in self.servers.items():
            kept = [item for item in health.own if not item[1] or item[0] < since_s]
            if len(kept) < len(health.own):
                health.own = deque(kept)
                self.changed.add(key)

    def forget_reports(self, reporter: str) -> None:
        """Drops what a node has reported, as it cannot tell failures of servers from its own."""
        for key, health in self.servers.items():
            dropped = health.node_reports.pop(reporter, None)
            summed = [name for name in health.zone_reports if name[1] == f"{reporter}/"]
            for name in summed:
                del health.zone_reports[name]
            if dropped is not None or summed:
                self.changed.add(key)

    def _report_soon(self, key: int) -> None:
        self.unreported.add(key)
        self.on_report_due()

    def merge_report(
        self, key: int, process: int, reporter: str, zone: str, outcomes: Outcomes, now_s: float
    ) -> None:
        """Records the outcomes at a server that a node reports, or the sum of another zone.

        `reporter` is the name of the node, or for a sum "SENDER/", which is no name of a node.
        Reports of unknown processes are ignored.
        """
        state = self.directory.by_key.get(key)
        if state is None or reporter == self.node:
            return
        if now_s - outcomes.newest_s > WINDOW_S or outcomes.newest_s > now_s:
            return
        tracked = self.servers.get(key)
        if tracked is None or tracked.state is not state:
            if process_hash(state) != process:
                return
            self._forget(key)
            tracked = self.servers[key] = ServerHealth(state, process)
        health = tracked
        if health.process != process:
            return
        known: Outcomes | None
        if reporter.endswith("/"):
            outcomes = _bounded(outcomes, _MAX_COUNT)
            known = health.zone_reports.get((zone, reporter))
            health.zone_reports[zone, reporter] = outcomes
        else:
            outcomes = _bounded(outcomes, 1)
            known = health.node_reports.get(reporter, ("", None))[1]
            health.node_reports[reporter] = (zone, outcomes)
            if zone != self.zone and (known is None or _weight(known) != _weight(outcomes)):
                self.keys_to_relay.setdefault(zone, set()).add(key)
        if known is None or _weight(known) != _weight(outcomes):
            health.last_outcome_s = max(health.last_outcome_s, outcomes.newest_s)
        self.changed.add(key)
        if outcomes.failures and outcomes.newest_s > health.recovered_s:
            was_failing = health.is_failing(now_s)
            health.note_failure(outcomes.newest_s)
            if not was_failing and health.own_outcomes(now_s).answers:
                self._report_soon(key)
        ejection = health.ejection
        if (
            ejection is not None
            and outcomes.answers
            and not outcomes.failures
            and outcomes.newest_s >= ejection.since_s + _SETTLING_S
        ):
            self._recover(health, outcomes.newest_s - _CLOCK_STEP_S, reporter, now_s)

    # Reports

    def own_reports(self, now_s: float) -> Iterator[tuple[ServerState, Outcomes]]:
        """Yields what this node reports of each server; nothing if its own network fails."""
        if self.is_own_network_suspect(now_s):
            return
        for health in self.servers.values():
            if not health.own or not (health.is_failing(now_s) or health.has_recovered(now_s)):
                continue
            outcomes = health.own_outcomes(now_s)
            if outcomes.failures or outcomes.answers:
                yield health.state, outcomes

    def zone_reports(self, zone: str, now_s: float) -> Iterator[tuple[ServerState, Outcomes]]:
        """Yields the sums of what the nodes of a zone report; those of the own zone include own."""
        own = {}
        if zone == self.zone:
            own = {state.server_id: outcomes for state, outcomes in self.own_reports(now_s)}
        for health in self.servers.values():
            total = health.sums_by_zone(now_s).get(zone, _NO_OUTCOMES)
            if health.state.server_id in own:
                total = _sum([total, own[health.state.server_id]])
            if total.failures or (total.answers and health.has_recovered(now_s)):
                yield health.state, total

    def is_own_network_suspect(self, now_s: float) -> bool:
        """Whether connections fail to all servers, or to most and peers report no failures."""
        if self.is_connection_suspect():
            return True
        tried = failing = 0
        for health in self.servers.values():
            if not health.own:
                continue
            outcomes = health.own_outcomes(now_s)
            if not health.own:
                continue
            tried += 1
            if not outcomes.failures:
                continue
            failing += 1
            if health.fleet_outcomes(self.zone, now_s).failures:
                return False
        return tried >= _MIN_TRIED_SERVERS and 2 * failing > tried

    # Decisions

    def evaluate(self, now_s: float) -> None:
        """Applies changed and expired evidence, at most each `_EVALUATION_INTERVAL_S`.

        `now_s` is event loop time in seconds.
        """
        if not self.servers:
            return
        if now_s - self.aged_s >= _AGING_INTERVAL_S:
            self.aged_s = now_s
            self.changed.update(self.servers)
        if not self.changed or now_s - self.evaluated_s < _EVALUATION_INTERVAL_S:
            return
        self.evaluated_s = now_s
        changed, self.changed = self.changed, set()
        services = set()
        suspected = None
        failing_services = self._failing_services(now_s)
        for key in changed:
            health = self.servers.get(key)
            if health is None:
                continue
            if health.state.removed or self.directory.by_key.get(key) is not health.state:
                self._forget(key)
                continue
            if suspected is None:
                suspected = self.is_own_network_suspect(now_s)
            own = health.own_outcomes(now_s)
            if health.ejection is not None and health.state.entry.service in failing_services:
                self._ignore_failures(health)
                continue
            if health.ejection is not None:
                self._update_ejection(health, health.ejection, own, now_s)
                continue
            outcomes = health.fleet_outcomes(self.zone, now_s)
            if not suspected:
                outcomes = _sum([outcomes, own])
            self._update_share(health, outcomes, own, now_s)
            if health.state.entry.service in failing_services:
                self._ignore_failures(health)
                continue
            if outcomes.ejects():
                services.add(health.state.entry.service)
            elif not (
                health.own
                or health.node_reports
                or health.zone_reports
                or health.state.fleet_failure_share
            ):
                del self.servers[key]
        for service in sorted(services):
            self._eject(service, now_s)

    def _failing_services(self, now_s: float) -> set[str]:
        """Returns the services of which most usable servers fail a part of their requests."""
        failing: dict[str, list[Outcomes]] = {}
        for health in self.servers.values():
            if health.state.removed or not (health.ejection or health.is_failing(now_s)):
                continue
            if health.outcomes.failing_nodes >= _MIN_FAILING_NODES:
                failing.setdefault(health.state.entry.service, []).append(health.outcomes)
        found = set()
        for service, known in failing.items():
            if len(known) < _MIN_FAILING_SERVERS:
                continue
            if len(known) <= _MAX_FAILING_SHARE * self._count_in_service(service):
                continue
            answers = sum(outcomes.answers for outcomes in known)
            failures = sum(outcomes.failures for outcomes in known)
            if answers > _COMMON_ANSWER_SHARE * (answers + failures):
                found.add(service)
        return found

    def _count_in_service(self, service: str) -> int:
        return sum(
            not (state.leaving or state.removed)
            and state.entry.zone not in self.directory.zones_out
            for state in self.directory.by_service.get(service, ())
        )

    def _ignore_failures(self, health: ServerHealth) -> None:
        """Takes back what the evidence of the fleet has set against a server."""
        health.state.fleet_failure_share = 0.0
        health.is_suspect = False
        if health.ejection is not None:
            health.ejection = None
            health.state.fleet_ejected = False
            self.on_returned(health.state, "most servers fail")

    def _update_share(
        self, health: ServerHealth, outcomes: Outcomes, own: Outcomes, now_s: float
    ) -> None:
        health.outcomes = outcomes
        confirmed = outcomes.failing_nodes >= _MIN_FAILING_NODES
        share = outcomes.share if confirmed else min(_MIN_SHARE, own.share)
        fading = 1.0 - (now_s - health.returning_since_s) / _RETURN_S
        health.state.fleet_failure_share = max(share, health.returning_share * max(0.0, fading))
        suspected = confirmed and share >= _SUSPECT_SHARE
        if suspected != health.is_suspect:
            health.is_suspect = suspected
            health.probes_suspect = None

    def _update_ejection(
        self, health: ServerHealth, ejection: Ejection, own: Outcomes, now_s: float
    ) -> None:
        health.remove_expired_reports(now_s)
        own_failure_s = own.newest_s if own.failures else -math.inf
        times = health.failure_times(self.zone, ejection.since_s)
        times = sorted([*times, own_failure_s], reverse=True)
        # Failures of this node renew the ejection here. Those of others count from the time that
        # enough nodes confirm: otherwise a single node that reports failures all the time could
        # keep the others from probing, and the server ejected for good.
        confirmed_s = (
            times[_MIN_FAILING_NODES - 1] if len(times) >= _MIN_FAILING_NODES else -math.inf
        )
        failed_s = max(own_failure_s, confirmed_s)
        if failed_s >= ejection.until_s - _SETTLING_S:
            ejection.renew(failed_s)
        elif now_s >= ejection.until_s + _SILENT_EJECTION_S:
            self._recover(health, now_s, "no probe", now_s)

    def _recover(self, health: ServerHealth, recovered_s: float, reason: str, now_s: float) -> None:
        """Ends the ejection of a server, also the one by this node's own evidence."""
        ejection = health.ejection
        if ejection is None:
            return
        health.ejection = None
        health.last_ejection_s = ejection.duration_s
        health.recovered_s = recovered_s
        health.onset_s = math.inf
        health.outcomes = _NO_OUTCOMES
        health.returning_share = ejection.share
        health.returning_since_s = now_s
        health.state.end_ejection(recovered_s)
        self.changed.add(server_key(health.state.server_id))
        self.on_returned(health.state, reason)

    def _eject(self, service: str, now_s: float) -> None:
        """Ejects the servers of a service with the largest shares, up to the limit."""
        limit = int(_MAX_EJECTED_SHARE * self._count_in_service(service))
        eligible: list[tuple[float, bool, ServerHealth]] = []
        for health in self.servers.values():
            if health.state.entry.service != service or health.state.leaving:
                continue
            if health.ejection is not None:
                eligible.append((health.ejection.share, True, health))
            elif health.outcomes.ejects():
                eligible.append((health.outcomes.share, False, health))
        eligible.sort(key=lambda item: item[:2], reverse=True)
        for _share, is_ejected, health in eligible[limit:]:
            if is_ejected:
                health.ejection = None
                health.state.fleet_ejected = False
                self.on_returned(health.state, "limit")
        for share, is_ejected, health in eligible[:limit]:
            if is_ejected:
                continue
            duration_s = FIRST_EJECTION_S
            if now_s - health.returning_since_s < WINDOW_S:
                duration_s = min(MAX_FLEET_EJECTION_S, 2.0 * health.last_ejection_s)
            health.ejection = Ejection(now_s, duration_s, share)
            health.state.fleet_ejected = True
            health.is_suspect = False
            self.on_ejected(health.state, health.outcomes, health.ejection)

    # Probes

    def find_probe(self, service: str, repeatable: bool, now_s: float) -> list[ServerState]:
        """Returns the servers of a service to which this node should send a request as a probe now.

        `repeatable` says whether the request may be sent to another server if the probe fails.
        """
        if now_s - self.probed_s.get(service, -math.inf) < _PROBE_INTERVAL_S:
            return []
        found = []
        for health in self.servers.values():
            state = health.state
            if state.entry.service != service or not (health.ejection or health.is_suspect):
                continue
            if state.probe_call_id is not None or state.leaving or state.removed:
                continue
            if state.entry.zone in self.directory.zones_out:
                continue
            if state.consecutive_failures >= FAILURES_TO_EJECT and now_s < state.ejected_until_s:
                continue
            if self._is_probe_due(health, repeatable, now_s):
                found.append(state)
        return found

    def _is_probe_due(self, health: ServerHealth, repeatable: bool, now_s: float) -> bool:
        server_id, ejection = health.state.server_id, health.ejection
        if ejection is None:
            if not repeatable or health.state.running:
                return False
            due_s = health.last_outcome_s + _SUSPECT_PROBE_S
            if health.own and health.own[-1][0] >= health.last_outcome_s:
                due_s += _SUSPECT_TURN_S
            if now_s < due_s:
                return False
            if health.probes_suspect is None:
                names = self._live_names(now_s)
                place = place_equally(server_id, self.node, names, _PROBING_NODES)
                health.probes_suspect = place is not None
            return health.probes_suspect
        if now_s < ejection.until_s:
            return False
        if ejection.place == -1:
            names = self._live_names(now_s)
            ejection.place = place_equally(server_id, self.node, names, _PROBING_NODES)
        if ejection.place is None:
            return False
        delay_s = ejection.place * _SECOND_PROBE_DELAY_S
        if ejection.place and health.last_failure_s >= ejection.until_s - _SETTLING_S:
            delay_s = _CONFIRMING_PROBE_DELAY_S
        return now_s >= ejection.until_s + delay_s + (0.0 if repeatable else _REPEATABLE_WAIT_S)

    def record_probe(self, state: ServerState, now_s: float) -> None:
        """Records that a request is sent to a server, which is a probe if the server fails."""
        health = self.servers.get(server_key(state.server_id))
        if health is not None and (health.ejection is not None or health.is_suspect):
            self.probed_s[state.entry.service] = now_s

    def _live_names(self, now_s: float) -> Iterator[str]:
        return (peer.name for peer in self.peer_table.live_peers(now_s) if not peer.stopping)


def _bounded(outcomes: Outcomes, max_nodes: int) -> Outcomes:
    """Returns the outcomes with counts that are possible."""
    failures = min(_MAX_COUNT, outcomes.failures)
    return Outcomes(
        min(_MAX_COUNT, outcomes.answers),
        failures,
        min(max_nodes, failures, outcomes.failing_nodes),
        outcomes.newest_s,
    )
