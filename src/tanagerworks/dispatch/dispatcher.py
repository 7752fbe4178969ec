"""Combines the decisions of a node: which backend server gets a request, and when."""

import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from tanagerworks.dispatch.cached_parts import CachedPartIndex
from tanagerworks.dispatch.choice import (
    Candidate,
    Choice,
    PlainChooser,
    Prompt,
    PromptChooser,
    ServerChooser,
)
from tanagerworks.dispatch.crash_evidence import CrashEvidence, ServerCrash, Suspect, process_key
from tanagerworks.dispatch.directory import Directory
from tanagerworks.dispatch.fleet_health import FleetHealth
from tanagerworks.dispatch.fleet_limits import (
    ColdStartLimiter,
    NamedLimitLimiter,
    RetryBudget,
    SenderLimiter,
)
from tanagerworks.dispatch.last_resort import (
    NoticeBounds,
    choose_longest_lasting,
    find_last_resort,
    last_resort_end_s,
)
from tanagerworks.dispatch.quarantine_gate import QuarantineGate, QuarantineRefusal
from tanagerworks.dispatch.request_queue import RequestQueue
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.membership.peer_table import PeerTable
from tanagerworks.published.model import Configuration, Service
from tanagerworks.routing.ranking import rank_equally

# Share of a server's connection limit that the fleet uses. The rest covers connections that the
# server still counts while they close, and nodes that differ in their view of the fleet.
_USED_CONNECTION_SHARE = 0.85
# Requests of one priority that may be queued for one service at a node.
MAX_QUEUED_REQUESTS = 256
# Retry delay for a service without usable servers: about the heartbeat period of servers.
_RETRY_AFTER_WITHOUT_SERVERS_S = 1.0
# Servers named in the reason of a refusal.
_MAX_DESCRIBED_SERVERS = 8
# Shortest retry delay for which the caller's new connection is worth its cost.
_MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Bounds that operators set for the whole fleet; fields are named as in the settings."""

    # Arguments of the `RetryBudget` of each service.
    repeat_ratio: float
    repeat_minimum: float
    repeat_window_s: float
    # A cold server accepts, in any second, its declared rate times the factor plus the extra.
    cold_factor: float
    cold_extra: float
    # How long servers out of service may get requests if no other is usable.
    notice: NoticeBounds = NoticeBounds()


@dataclass(frozen=True, slots=True)
class DispatchRequest:
    """The properties of a request on which the choice of its server depends.

    `deadline_s` is a time on the clock that the caller passes as `now_s`.
    """

    call_id: str
    service: str
    # Availability zone of the node.
    zone: str
    # 0 is the most urgent.
    priority: int
    customer: str
    deadline_s: float
    prompt: Prompt | None
    # The `request_identity` of the request; "" if it has none.
    identity: str = ""
    # When the caller gives up if its answer has not begun, on the clock of `deadline_s`.
    start_by_s: float = math.inf
    # Software version at which the stream began that the request goes on with, or of which the
    # caller already has events; None if any version will do.
    software_version: str | None = None
    # Whether the request may be sent on a connection that has served others: it may run twice.
    reuses_connections: bool = False
    # Ids of the servers of earlier attempts, also of those that refused the connection.
    tried_server_ids: set[str] = field(default_factory=set)
    # Whether the request may be sent to another server if the first one fails.
    repeatable: bool = False

    def accepts_version(self, version: str) -> bool:
        """Whether a server of a software version may serve the request."""
        return self.software_version is None or self.software_version == version

    @property
    def suspect_ids(self) -> tuple[str, ...]:
        """Ids under which the request may be quarantined: the shared parts, then its identity."""
        part_ids = self.prompt.shared_part_ids if self.prompt is not None else ()
        return (*part_ids, self.identity) if self.identity else part_ids


class Dispatcher:
    """Chooses servers for one node; owns its server directory, request queues and part index."""

    def __init__(self, name: str, bounds: FleetBounds, peer_table: PeerTable) -> None:
        self.name = name
        self.bounds = bounds
        self.peer_table = peer_table
        self.directory = Directory()
        self.configuration: Configuration | None = None
        # Queues and retry budgets by service, limiters by server id.
        self.queues: dict[str, RequestQueue] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.cold_start_limiters: dict[str, ColdStartLimiter] = {}
        self.named_limit_limiters: dict[str, NamedLimitLimiter] = {}
        self.cached_parts = CachedPartIndex()
        self.crash_evidence = CrashEvidence()
        self.fleet_health = FleetHealth(name, self.directory, peer_table)
        self.quarantine_gate = QuarantineGate(name, peer_table, self.crash_evidence)
        # Keys of the parts sent since the last announcement to peers, by server id.
        self.unannounced_keys_by_server: dict[str, set[int]] = {}
        self.prompt_chooser: ServerChooser = PromptChooser(self.cached_parts)
        self.plain_chooser: ServerChooser = PlainChooser()
        # Returns whether the node has a connection to a server that has not been idle for long.
        self.has_connection: Callable[[ServerState, float], bool] = lambda _state, _now_s: False
        # Whether this node is shutting down.
        self.stopping = False

    def apply_bounds(self, bounds: FleetBounds) -> None:
        """Replaces the bounds, also those of the existing retry budgets.

        The limiter of a cold server gets its bound with each check, as it also depends on the
        configuration.
        """
        self.bounds = bounds
        for budget in self.retry_budgets.values():
            budget.set_bounds(bounds.repeat_ratio, bounds.repeat_minimum, bounds.repeat_window_s)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Replaces the configuration in force."""
        self.configuration = configuration
        for route in configuration.routes:
            if route.resumable:
                self.directory.versions.allow_timeout(route.timeout_s)

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.configuration.version if self.configuration is not None else 0

    def find_service(self, name: str) -> Service | None:
        """Returns a service of the configuration in force, or None."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)

    def find_candidates(
        self, dispatch_request: DispatchRequest, service: Service, now_s: float
    ) -> list[Candidate]:
        """Returns the servers that the request has not tried, with their loads.

        Servers at a limit are included and marked.
        """
        nodes = self.peer_table.assumed_fleet_size(now_s)
        found = []
        # Model servers are chosen by their caches; a connection saves little beside a prefill.
        reuses_connections = dispatch_request.reuses_connections and not service.runs_models
        for state in self._usable_or_ejected_servers(dispatch_request, service, now_s):
            if state.server_id in dispatch_request.tried_server_ids:
                continue
            at_limit = self._check_limits(state, service, nodes, now_s)
            connected = reuses_connections and self.has_connection(state, now_s)
            found.append(Candidate(state, state.load(now_s), at_limit, connected))
        return found

    def _usable_or_ejected_servers(
        self, dispatch_request: DispatchRequest, service: Service, now_s: float
    ) -> Iterable[ServerState]:
        """Returns the usable servers of the version that the request needs."""
        usable = [
            state
            for state in self.directory.usable_servers(service.name, now_s)
            if dispatch_request.accepts_version(state.entry.version)
        ]
        if usable:
            return usable
        # If all servers are ejected, the cause is not a single server, so ejections are ignored.
        ejected = [
            state
            for state in self.directory.by_service.get(service.name, ())
            if not (state.leaving or state.removed or state.entry.zone in self.directory.zones_out)
            and dispatch_request.accepts_version(state.entry.version)
        ]
        return ejected or self._last_resort_servers(dispatch_request, now_s)

    def _last_resort_servers(
        self, dispatch_request: DispatchRequest, now_s: float
    ) -> list[ServerState]:
        """Returns the servers out of service that may get the request if none is in service."""
        states = [
            state
            for state in self.directory.by_service.get(dispatch_request.service, ())
            if dispatch_request.accepts_version(state.entry.version)
        ]
        return find_last_resort(states, self.directory, self.bounds.notice, now_s)

    def last_resort_end_s(self, state: ServerState) -> float:
        """Returns until when a server may get requests; infinite if it is in service."""
        return last_resort_end_s(state, self.directory, self.bounds.notice)

    def _check_limits(self, state: ServerState, service: Service, nodes: int, now_s: float) -> bool:
        """Returns whether a limit or a pause allows this node no request at the server now.

        For both limits of the service, 0 means no limit.
        """
        if not state.accepts_another(now_s) or state.may_be_full(nodes, now_s):
            return True
        senders = state.sender_count(nodes)
        if senders < nodes and self.name not in self._find_brittle_senders(state, senders, now_s):
            return True
        max_running = max(1.0, _USED_CONNECTION_SHARE * service.max_connections / nodes)
        if service.max_connections and state.running >= max_running:
            return True
        self._update_limiters(state, service, now_s)
        return not all(
            self._may_send(limiter, state.server_id, nodes, now_s)
            for limiter in self._limiters(state.server_id)
        )

    def _update_limiters(self, state: ServerState, service: Service, now_s: float) -> None:
        """Adds the limiters that the server needs now and removes the others."""
        server_id = state.server_id
        if state.limit_per_s is None:
            self.named_limit_limiters.pop(server_id, None)
        elif server_id in self.named_limit_limiters:
            self.named_limit_limiters[server_id].set_limit(state.limit_per_s)
        else:
            self.named_limit_limiters[server_id] = NamedLimitLimiter(state.limit_per_s)
        if not state.is_cold(now_s) or service.cold_requests_per_s <= 0.0:
            self.cold_start_limiters.pop(server_id, None)
            return
        bound = service.cold_requests_per_s * self.bounds.cold_factor + self.bounds.cold_extra
        if server_id in self.cold_start_limiters:
            self.cold_start_limiters[server_id].set_bound(bound)
        else:
            self.cold_start_limiters[server_id] = ColdStartLimiter(bound)

    def _limiters(self, server_id: str) -> Iterator[SenderLimiter]:
        if server_id in self.named_limit_limiters:
            yield self.named_limit_limiters[server_id]
        if server_id in self.cold_start_limiters:
            yield self.cold_start_limiters[server_id]

    def _may_send(self, limiter: SenderLimiter, server_id: str, nodes: int, now_s: float) -> bool:
        senders = limiter.sender_count(nodes)
        if senders < nodes and not self._is_sender(server_id, senders, now_s):
            return False
        return limiter.has_token(nodes, now_s)

    def find_senders(self, dispatch_request: DispatchRequest, now_s: float) -> set[str]:
        """Returns the nodes that may send a request to brittle servers in place of this one.

        There are none if this node may send it to any server itself.
        """
        service = self.find_service(dispatch_request.service)
        if service is None:
            return set()
        nodes = self.peer_table.assumed_fleet_size(now_s)
        found: set[str] = set()
        for state in self.directory.usable_servers(service.name, now_s):
            if not dispatch_request.accepts_version(state.entry.version):
                continue
            senders = state.sender_count(nodes)
            if senders >= nodes:
                return set()
            names = self._find_brittle_senders(state, senders, now_s)
            if self.name in names:
                return set()
            found.update(names)
        return found

    def _find_brittle_senders(self, state: ServerState, senders: int, now_s: float) -> list[str]:
        """Returns the nodes that may send to a brittle server.

        Nodes that are shutting down are among them only if all are, as none forwards requests to
        them.
        """
        peers = list(self.peer_table.live_peers(now_s))
        names = [peer.name for peer in peers if not peer.stopping]
        if not self.stopping:
            names.append(self.name)
        return rank_equally(
            state.server_id, names or [*(peer.name for peer in peers), self.name], senders
        )

    def _is_sender(self, server_id: str, senders: int, now_s: float) -> bool:
        return self.name in self._find_sending_nodes(server_id, senders, now_s)

    def _find_sending_nodes(self, server_id: str, senders: int, now_s: float) -> list[str]:
        # Only live peers are ranked, so that no lost one takes the place of a sender. The number of
        # senders follows from the assumed fleet size, which includes lost peers.
        names = [peer.name for peer in self.peer_table.live_peers(now_s)]
        return rank_equally(server_id, [*names, self.name], senders)

    def choose_server(
        self, dispatch_request: DispatchRequest, now_s: float, explains: bool = False
    ) -> Choice:
        """Returns the server for a request, or None and the reason.

        Call `record_start` before the request is sent; the choice alone does not count it. A choice
        that `explains` itself lists more candidates with the parts of their scores.
        """
        service = self.find_service(dispatch_request.service)
        if service is None:
            return Choice(None, "no such service", has_candidates=False)
        self.fleet_health.evaluate(now_s)
        probe = self._choose_probe(dispatch_request, service, now_s)
        if probe is not None:
            return probe
        chooser = self.prompt_chooser if service.runs_models else self.plain_chooser
        found = self.find_candidates(dispatch_request, service, now_s)
        healthy_servers = [
            state
            for state in self.directory.by_service.get(service.name, ())
            if not state.removed
            and not (state.consecutive_failures or state.fleet_ejected)
            and dispatch_request.accepts_version(state.entry.version)
        ]

        def choose(candidates: Sequence[Candidate]) -> Choice:
            return chooser.choose_server(
                service,
                candidates,
                healthy_servers,
                dispatch_request.prompt,
                dispatch_request.zone,
                now_s,
                explains,
            )

        if found and self.directory.is_out_of_service(found[0].state):
            return choose_longest_lasting(found, self.last_resort_end_s, choose)
        return choose(found)

    def _choose_probe(
        self, dispatch_request: DispatchRequest, service: Service, now_s: float
    ) -> Choice | None:
        """Returns the choice of an ejected server that this node has to probe, or None."""
        if dispatch_request.tried_server_ids:
            return None
        nodes = self.peer_table.assumed_fleet_size(now_s)
        for state in self.fleet_health.find_probe(service.name, dispatch_request.repeatable, now_s):
            if not dispatch_request.accepts_version(state.entry.version):
                continue
            if self._check_limits(state, service, nodes, now_s):
                continue
            prompt = dispatch_request.prompt
            tokens = prompt.tokens if prompt is not None else 0
            return Choice(state, "probes a failing server", tokens)
        return None

    def check_quarantine(
        self, dispatch_request: DispatchRequest, now_s: float
    ) -> QuarantineRefusal | None:
        """Returns why the request must not be sent because of crashed servers, or None."""
        if not self.crash_evidence.quarantines:
            return None
        return self.quarantine_gate.check_request(
            dispatch_request.call_id,
            dispatch_request.suspect_ids,
            dispatch_request.deadline_s,
            now_s,
        )

    def record_answer(self, dispatch_request: DispatchRequest, now_s: float) -> None:
        """Records that the answer to a request is under way, so it crashes no server."""
        self.crash_evidence.record_answer(dispatch_request.suspect_ids, now_s)

    def record_crash(self, state: ServerState, suspects: dict[int, Suspect], now_s: float) -> None:
        """Records a crash of a server with its suspects by `suspect_key`."""
        process = process_key(state.server_id, state.entry.started_ms)
        self.crash_evidence.merge_crash(process, ServerCrash(now_s, suspects), now_s)

    def forget_failures(self, since_s: float) -> None:
        """Takes back the failures since a time: this node was the cause, not the servers."""
        for state in self.directory.servers.values():
            state.forget_failures(since_s)
        self.fleet_health.forget_own_failures(since_s)

    def record_start(self, dispatch_request: DispatchRequest, choice: Choice, now_s: float) -> None:
        """Counts a request that is about to be sent to the chosen server.

        `ServerState.record_end` and `subtract_prefill_tokens` undo the count. Tokens of the
        server's limiters are not returned.
        """
        assert choice.state is not None
        state = choice.state
        self.fleet_health.record_probe(state, now_s)
        state.record_start(dispatch_request.call_id, choice.prefill_tokens)
        state.reports.record_start(dispatch_request.call_id, now_s)
        for limiter in self._limiters(state.server_id):
            limiter.use_token()

    def record_sent(self, dispatch_request: DispatchRequest, server_id: str, now_s: float) -> None:
        """Records the prompt of a request that has been written to a server as cached there."""
        prompt = dispatch_request.prompt
        if prompt is None or not prompt.parts:
            return
        self.cached_parts.record_parts(prompt.keys, server_id, now_s)
        self.unannounced_keys_by_server.setdefault(server_id, set()).update(prompt.announced_keys)

    def take_unannounced_parts(self) -> dict[str, set[int]]:
        """Returns the keys of the parts sent since the last call, by server id."""
        unannounced, self.unannounced_keys_by_server = self.unannounced_keys_by_server, {}
        return unannounced

    def queue(self, service: str) -> RequestQueue:
        """Returns the request queue of a service."""
        return self.queues.setdefault(service, RequestQueue())

    def can_finish_in_time(self, dispatch_request: DispatchRequest, now_s: float) -> bool:
        """Whether a request that has to wait is expected to be answered while its caller waits.

        Its answer has to begin before the caller gives up and to end before the deadline. False
        also if the service has no usable server, for example if all are ejected.
        """
        states = [
            state
            for state in self.directory.usable_servers(dispatch_request.service, now_s)
            if dispatch_request.accepts_version(state.entry.version)
        ] or self._last_resort_servers(dispatch_request, now_s)
        if not states:
            return False
        starts_s = now_s + max(
            self.estimate_retry_after_s(dispatch_request, now_s),
            self._estimate_own_wait_s(dispatch_request, states, now_s),
        )
        service_time_s = min(state.expected_service_time_s(now_s) for state in states)
        return (
            starts_s < dispatch_request.start_by_s
            and starts_s < max(self.last_resort_end_s(state) for state in states)
            and starts_s + service_time_s < dispatch_request.deadline_s
        )

    def _estimate_own_wait_s(
        self, dispatch_request: DispatchRequest, states: Iterable[ServerState], now_s: float
    ) -> float:
        """Returns the estimated time until the requests queued here have been sent, in seconds.

        This node may send its share only to servers that name a limit, even if others do not use
        theirs.
        """
        nodes = self.peer_table.assumed_fleet_size(now_s)
        rate = 0.0
        for state in _unpaused(states, now_s):
            limiter = self.named_limit_limiters.get(state.server_id)
            if limiter is None:
                rate += _requests_per_s(state, now_s)
                continue
            senders = limiter.sender_count(nodes)
            if senders >= nodes or self._is_sender(state.server_id, senders, now_s):
                rate += limiter.limit_per_s / senders
        ahead = self.queue(dispatch_request.service).count_ahead(dispatch_request.priority) + 1
        return ahead / rate if rate > 0.0 else math.inf

    def describe_unusable_servers(self, service: str, now_s: float) -> str:
        """Returns which servers of a service are leaving or want no requests, for the log.

        It names at most `_MAX_DESCRIBED_SERVERS`, with the age of what they said; "" if there are
        none.
        """
        reasons = []
        for state in self.directory.by_service.get(service, ()):
            if state.leaving_said_at_s is not None:
                age_s = now_s - state.leaving_said_at_s
                reasons.append(f"{state.server_id} said {age_s:.1f} s ago that it leaves")
            elif state.entry.leaving:
                reasons.append(f"{state.server_id} is leaving")
            elif state.is_paused(now_s):
                age_s = now_s - state.pause_said_at_s
                left_s = state.paused_until_s - now_s
                reasons.append(
                    f"{state.server_id} said {age_s:.1f} s ago that it wants no requests,"
                    f" {left_s:.1f} s are left"
                )
        return "; ".join(reasons[:_MAX_DESCRIBED_SERVERS])

    def has_alternative(self, dispatch_request: DispatchRequest, now_s: float) -> bool:
        """Whether a request that is sent to a server could be sent to another one instead now.

        The retry budget has to allow it, and a server that the request has not tried must not be at
        a limit.
        """
        service = self.find_service(dispatch_request.service)
        if service is None:
            return False
        nodes = self.peer_table.assumed_fleet_size(now_s)
        if not self.retry_budget(service.name).remaining_retries(nodes, now_s):
            return False
        candidates = self.find_candidates(dispatch_request, service, now_s)
        return any(not candidate.at_limit for candidate in candidates)

    def estimate_retry_after_s(self, dispatch_request: DispatchRequest, now_s: float) -> float:
        """Returns the estimated time until a server slot is free for the request, in seconds.

        Ahead of it are the requests queued here that are at least as urgent, all requests queued at
        the peers as last reported, and those that servers have in progress beyond their slots. The
        result is at least `_MIN_RETRY_AFTER_S`. It is `_RETRY_AFTER_WITHOUT_SERVERS_S` if the
        service has no usable server, and the time until the earliest one wants requests again if
        none wants any now.
        """
        pause_s = self.remaining_pause_s(dispatch_request.service, now_s)
        if pause_s > 0.0:
            return max(_MIN_RETRY_AFTER_S, pause_s)
        states = _unpaused(
            list(self.directory.usable_servers(dispatch_request.service, now_s))
            or self._last_resort_servers(dispatch_request, now_s),
            now_s,
        )
        rate = sum(_requests_per_s(state, now_s) for state in states)
        if rate <= 0.0:
            return _RETRY_AFTER_WITHOUT_SERVERS_S
        ahead = self.queue(dispatch_request.service).count_ahead(dispatch_request.priority) + 1
        ahead += self.peer_table.queued_requests(dispatch_request.service, now_s)
        ahead += sum(max(0, state.load(now_s) - state.entry.slots) for state in states)
        return max(_MIN_RETRY_AFTER_S, ahead / rate)

    def remaining_pause_s(self, service: str, now_s: float) -> float:
        """Returns the seconds until a usable server of a service wants requests, 0 if one does."""
        states = list(self.directory.usable_servers(service, now_s))
        if not states:
            return 0.0
        return max(0.0, min(state.paused_until_s for state in states) - now_s)

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns this node's share of the retry budget of a service."""
        found = self.retry_budgets.get(service)
        if found is None:
            bounds = self.bounds
            found = RetryBudget(bounds.repeat_ratio, bounds.repeat_minimum, bounds.repeat_window_s)
            self.retry_budgets[service] = found
        return found

    def acquire_retry(self, service: str, now_s: float) -> bool:
        """Takes one retry from the budget of a service; returns whether there was one left."""
        return self.retry_budget(service).acquire_retry(
            self.peer_table.assumed_fleet_size(now_s), now_s
        )


def _unpaused(states: Iterable[ServerState], now_s: float) -> list[ServerState]:
    """Returns the servers that want requests, or all of them if none does."""
    found = list(states)
    return [state for state in found if not state.is_paused(now_s)] or found


def _requests_per_s(state: ServerState, now_s: float) -> float:
    """Returns the requests a second that a server can complete, within the limit that it names."""
    by_slots = state.entry.slots / max(0.001, state.expected_service_time_s(now_s))
    return by_slots if state.limit_per_s is None else min(by_slots, state.limit_per_s)
