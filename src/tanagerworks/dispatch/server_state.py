"""The state of one backend server process as one node sees it."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from tanagerworks.dispatch.server_load import ServerReports
from tanagerworks.published.model import ServerEntry

# Weight of the newest response in the moving averages. An average follows a change within about ten
# responses, and a single slow response has little effect.
_NEWEST_WEIGHT = 0.1
# Time constant with which a node's own share of failures fades after its last failure.
_FAILURE_MEMORY_S = 4.0
# Service time assumed before the first response: between those of the two plain services.
_FIRST_SERVICE_TIME_S = 0.05
# Consecutive failures after which a server is ejected: a single one may be chance, three are not.
FAILURES_TO_EJECT = 3
# Duration of the first ejection; it doubles up to the maximum while probes fail.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Least number of rejections a second that a server is believed to bear, and the longest time for
# which one rejection keeps a node from a brittle server.
_MIN_REJECTIONS = 0.1
MAX_REJECTION_PAUSE_S = 30.0


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """The requests that one node has in progress at a server."""

    running: int
    # Prompt tokens of the requests whose responses have not begun.
    prefill_tokens: int


@dataclass(slots=True)
class ServerState:
    """One process of a backend server, as one node sees it.

    This node's counts start at 0 for each process. `Directory.put` copies the loads of peers from
    the state of an earlier process; they remain until the next reports of the peers.
    """

    entry: ServerEntry
    cold_until_s: float
    # Set when the published entry was deleted or replaced; the server gets no new work.
    removed: bool = False
    # Whether the process was found to have ended without notice.
    crashed: bool = False
    running: int = 0
    prefill_tokens: int = 0
    # Loads of the peers by name, and their sums, which a choice needs for every server.
    peer_loads: dict[str, PeerLoad] = field(default_factory=dict)
    peers_running: int = 0
    peers_prefill_tokens: int = 0
    # Load and speed that the server itself reported in answers to any node.
    reports: ServerReports = field(default_factory=ServerReports)
    # Whether the log has the first report of the process that could not be read.
    unreadable_load_logged: bool = False
    # Requests per second that the server takes from all nodes together, as an answer said that
    # arrived at `limit_named_at_s`; None without a limit.
    limit_per_s: float | None = None
    # Requests per second that the server can reject for want of room without falling over, as the
    # same answer said; None if it is not brittle.
    rejections_per_s: float | None = None
    limit_named_at_s: float = float("-inf")
    limit_changed_at_s: float = float("-inf")
    # Earliest time at which the store can have acknowledged that the process is leaving, -infinity
    # if unknown; None while no entry has said so.
    entry_leaving_since_s: float | None = None
    # When an answer first said that the process is leaving; None if none did.
    leaving_said_at_s: float | None = None
    # Until when the process wants no requests of this node, as answers said, the last of them at
    # `pause_said_at_s`.
    paused_until_s: float = float("-inf")
    pause_said_at_s: float = float("-inf")
    # After a pause, requests that this node may have in progress at the server beside those from
    # before; 0 for no bound. The ids of these requests.
    resume_allowance: int = 0
    resumed_call_ids: set[str] = field(default_factory=set)
    # Moving averages of the time to a complete response while work takes as long as usual, and of
    # the share of failures.
    service_time_s: float = _FIRST_SERVICE_TIME_S
    failure_share: float = 0.0
    consecutive_failures: int = 0
    # End and duration of the last ejection. After the end, one request is sent as a probe; its id
    # is recorded while it is in progress.
    ejected_until_s: float = float("-inf")
    ejection_s: float = 0.0
    probe_call_id: str | None = None
    failed_at_s: float = float("-inf")
    # Whether the evidence of the fleet ejects the server, and the share of failures by it; both are
    # set by `FleetHealth`.
    fleet_ejected: bool = False
    fleet_failure_share: float = 0.0

    @property
    def server_id(self) -> str:
        """Id under which the server registered."""
        return self.entry.server_id

    @property
    def leaving(self) -> bool:
        """Whether the process is leaving, as its entry or one of its answers says."""
        return self.entry.leaving or self.leaving_said_at_s is not None

    @property
    def leaving_since_s(self) -> float:
        """Earliest known time since which the process is leaving; -infinity if unknown."""
        since_s = float("-inf") if self.entry.leaving else float("inf")
        if self.entry_leaving_since_s is not None:
            since_s = self.entry_leaving_since_s
        if self.leaving_said_at_s is not None:
            since_s = min(since_s, self.leaving_said_at_s)
        return since_s

    @property
    def total_running(self) -> int:
        """Requests in progress at the server, of this node and its peers."""
        return self.running + self.peers_running

    @property
    def total_prefill_tokens(self) -> int:
        """Prompt tokens queued for prefill at the server, of this node and its peers."""
        return self.prefill_tokens + self.peers_prefill_tokens

    def set_peer_load(self, peer: str, load: PeerLoad | None) -> None:
        """Replaces the load of a peer; None if it has no requests in progress."""
        known = self.peer_loads.pop(peer, None)
        if known is not None:
            self.peers_running -= known.running
            self.peers_prefill_tokens -= known.prefill_tokens
        if load is not None:
            self.peer_loads[peer] = load
            self.peers_running += load.running
            self.peers_prefill_tokens += load.prefill_tokens

    def load_except(self, excluded: Iterable[str]) -> PeerLoad:
        """Returns the load of this node and its peers, except for those in `excluded`."""
        running = self.total_running
        prefill_tokens = self.total_prefill_tokens
        for name in excluded:
            load = self.peer_loads.get(name)
            if load is not None:
                running -= load.running
                prefill_tokens -= load.prefill_tokens
        return PeerLoad(running, prefill_tokens)

    def load(self, now_s: float) -> int:
        """Returns the requests in progress at the server.

        This is the count of this node and its peers, or a recent report of the server if higher.
        """
        return max(self.total_running, self.reports.load(self.entry.slots, now_s))

    def slowdown(self, now_s: float) -> float:
        """Returns by which multiple work takes longer than usual at the server, at least 1."""
        return self.reports.work_time.slowdown(now_s)

    def expected_service_time_s(self, now_s: float) -> float:
        """Returns the expected time to a complete response at the present speed, in seconds."""
        return self.service_time_s * self.slowdown(now_s)

    def record_limit(
        self,
        limit_per_s: float | None,
        named_at_s: float,
        rejections_per_s: float | None = None,
    ) -> bool:
        """Records the limits that an answer names, or None; returns whether one has changed.

        An answer that arrived before the one known is ignored.
        """
        if named_at_s < self.limit_named_at_s:
            return False
        self.limit_named_at_s = named_at_s
        if (limit_per_s, rejections_per_s) == (self.limit_per_s, self.rejections_per_s):
            return False
        self.limit_per_s = limit_per_s
        self.rejections_per_s = rejections_per_s
        self.limit_changed_at_s = named_at_s
        return True

    def record_leaving(self, said_at_s: float) -> bool:
        """Records an answer that says that the process is leaving; returns whether it is the first.

        The process does not take that back: an answer without the statement may be older.
        """
        if self.leaving_said_at_s is not None:
            return False
        self.leaving_said_at_s = said_at_s
        return True

    def record_suspension(self, suspended_s: float) -> None:
        """Moves the times since which the process is leaving back; see `Directory`."""
        if self.entry_leaving_since_s is not None:
            self.entry_leaving_since_s -= suspended_s
        if self.leaving_said_at_s is not None:
            self.leaving_said_at_s -= suspended_s

    def record_pause(self, until_s: float, said_at_s: float) -> None:
        """Records an answer that asks for no requests until a time; a longer pause is kept.

        Both times are in seconds of the event loop's clock.
        After it, this node begins with one request at a time. The number doubles with each answer
        that asks for no other pause.
        """
        self.paused_until_s = max(self.paused_until_s, until_s)
        self.pause_said_at_s = said_at_s
        self.resume_allowance = 1
        self.resumed_call_ids.clear()

    def sender_count(self, nodes: int) -> int:
        """Returns how many of the `nodes` nodes may send requests to the server.

        All of them may send one to a brittle server at once, without more rejections than half of
        what it can bear.
        """
        if self.rejections_per_s is None:
            return nodes
        return max(1, min(nodes, self.entry.slots + int(self.rejections_per_s / 2)))

    def may_be_full(self, nodes: int, now_s: float) -> bool:
        """Whether a brittle server may reject a request of this node for want of room.

        The nodes share its slots and leave its queue unused, of whose length it says nothing.
        """
        if self.rejections_per_s is None:
            return False
        share = max(1, self.entry.slots // self.sender_count(nodes))
        return self.running >= share or self.load(now_s) >= self.entry.slots

    def record_rejection(self, nodes: int, now_s: float) -> bool:
        """Records that the server rejected a request; returns whether it is left alone for a time.

        The nodes together cause no more rejections a second than a brittle server can bear: each
        further one makes the time of this node longer.
        """
        if self.rejections_per_s is None:
            return False
        pause_s = min(MAX_REJECTION_PAUSE_S, nodes / max(self.rejections_per_s, _MIN_REJECTIONS))
        self.record_pause(max(now_s, self.paused_until_s) + pause_s, now_s)
        return True

    def record_acceptance(self, now_s: float) -> None:
        """Records an answer that asks for no pause."""
        if not self.resume_allowance or self.is_paused(now_s):
            return
        self.resume_allowance *= 2
        if self.resume_allowance >= self.entry.slots:
            self.resume_allowance = 0
            self.resumed_call_ids.clear()

    def is_paused(self, now_s: float) -> bool:
        """Whether the time has not passed for which the server wants no requests."""
        return now_s < self.paused_until_s

    def accepts_another(self, now_s: float) -> bool:
        """Whether neither a pause nor the gradual return after it keeps requests of this node."""
        if self.is_paused(now_s):
            return False
        return not self.resume_allowance or len(self.resumed_call_ids) < self.resume_allowance

    def is_cold(self, now_s: float) -> bool:
        """Whether the server is still in its cold start."""
        return now_s < self.cold_until_s

    def is_ejected(self, now_s: float) -> bool:
        """Whether the server gets no new work now because of its failures.

        After an ejection by this node's own evidence, this is the case while a probe is in
        progress. Probes after an ejection by the evidence of the fleet are chosen separately.
        """
        if self.fleet_ejected:
            return True
        if self.consecutive_failures < FAILURES_TO_EJECT:
            return False
        return now_s < self.ejected_until_s or self.probe_call_id is not None

    def record_start(self, call_id: str, prefill_tokens: int) -> None:
        """Counts a request that is about to be sent; the first after an ejection is a probe."""
        self.running += 1
        self.prefill_tokens += prefill_tokens
        if self.resume_allowance:
            self.resumed_call_ids.add(call_id)
        is_failing = self.fleet_ejected or self.consecutive_failures >= FAILURES_TO_EJECT
        if is_failing and self.probe_call_id is None:
            self.probe_call_id = call_id

    def record_end(self, call_id: str) -> None:
        """Subtracts a request that has ended; only the end of the probe itself ends the probe."""
        self.running -= 1
        self.reports.record_end(call_id)
        self.resumed_call_ids.discard(call_id)
        if self.probe_call_id == call_id:
            self.probe_call_id = None

    def subtract_prefill_tokens(self, prefill_tokens: int) -> None:
        """Subtracts the prompt tokens of a request whose response has begun or that has ended."""
        self.prefill_tokens -= prefill_tokens

    def record_success(self, service_time_s: float) -> None:
        """Records a complete response that would take `service_time_s` at the usual speed."""
        self.service_time_s += _NEWEST_WEIGHT * (service_time_s - self.service_time_s)
        self.failure_share -= _NEWEST_WEIGHT * self.failure_share
        self.consecutive_failures = 0
        self.ejection_s = 0.0

    def record_failure(self, now_s: float) -> bool:
        """Records a failure; returns whether it ejects the server."""
        self.failure_share = self._faded_failure_share(now_s)
        self.failure_share += _NEWEST_WEIGHT * (1.0 - self.failure_share)
        self.failed_at_s = now_s
        self.consecutive_failures += 1
        if self.consecutive_failures < FAILURES_TO_EJECT:
            return False
        self.ejection_s = min(MAX_EJECTION_S, max(FIRST_EJECTION_S, 2.0 * self.ejection_s))
        self.ejected_until_s = now_s + self.ejection_s
        return True

    def forget_failures(self, since_s: float) -> None:
        """Takes back the failures since a time, and the ejection that they caused."""
        if self.failed_at_s < since_s:
            return
        self.consecutive_failures = 0
        self.ejection_s = 0.0
        self.ejected_until_s = float("-inf")
        self.failure_share = 0.0

    def _faded_failure_share(self, now_s: float) -> float:
        return self.failure_share * math.exp((self.failed_at_s - now_s) / _FAILURE_MEMORY_S)

    def current_failure_share(self, now_s: float) -> float:
        """Returns the share of requests that are expected to fail, from 0 to 1.

        It is that of the fleet's recent outcomes or the moving average of this node, whichever is
        higher. The average fades with time: a node may send the server no request for seconds.
        """
        return max(self.fleet_failure_share, self._faded_failure_share(now_s))

    def end_ejection(self, recovered_s: float) -> None:
        """Ends the ejection by the evidence of the fleet, and this node's if it is older."""
        self.fleet_ejected = False
        if self.failed_at_s <= recovered_s:
            self.consecutive_failures = 0
            self.ejection_s = 0.0
            self.failure_share = 0.0


def local_loads(states: Iterator[ServerState]) -> dict[str, PeerLoad]:
    """Returns this node's load at each server where it has requests in progress, by server id."""
    return {
        state.server_id: PeerLoad(state.running, state.prefill_tokens)
        for state in states
        if state.running
    }
