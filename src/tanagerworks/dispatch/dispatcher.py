"""Combines the decisions of a node: which request may go to which backend server, and when."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from tanagerworks.dispatch.choice import (
    Candidate,
    Choice,
    PlainChooser,
    Prompt,
    PromptChooser,
    ServerChooser,
)
from tanagerworks.dispatch.directory import Directory
from tanagerworks.dispatch.holders import PartHolders
from tanagerworks.dispatch.rates import ColdRate, RepeatBudget
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.dispatch.waiting import WaitingRequests
from tanagerworks.membership.roster import Roster
from tanagerworks.published.model import Configuration, Service
from tanagerworks.routing.ranking import rank_equally

# Part of a server's connections that the fleet plans to use; the rest covers connections that
# the server still counts while they end, and differing views of the fleet.
_USED_CONNECTIONS = 0.85
# Requests of one priority that may wait for one service at a node.
MAX_WAITING = 256
# Time to come back when a service has no usable server: about a heartbeat of servers.
_RETRY_WITHOUT_SERVERS_S = 1.0
# Shortest time to come back that is worth a new connection of the caller.
_RETRY_MIN_S = 0.05


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """Bounds that operators set for the whole fleet."""

    repeat_ratio: float
    repeat_minimum: float
    repeat_window_s: float
    # A cold server bears its declared rate times this factor, and some more, in any second.
    cold_factor: float
    cold_extra: float


@dataclass(frozen=True, slots=True)
class Demand:
    """What the choice of a server needs to know of a request."""

    call_id: str
    service: str
    zone: str
    priority: int
    customer: str
    deadline_s: float
    prompt: Prompt | None
    # Servers that this request has been sent to.
    tried: set[str] = field(default_factory=set)


class Dispatcher:
    """Decides for one node; owns the directory of servers and the waiting requests."""

    def __init__(self, name: str, bounds: FleetBounds, roster: Roster) -> None:
        self.name = name
        self.bounds = bounds
        self.roster = roster
        self.directory = Directory()
        self.configuration: Configuration | None = None
        self.waiting: dict[str, WaitingRequests] = {}
        self.budgets: dict[str, RepeatBudget] = {}
        self.cold_rates: dict[str, ColdRate] = {}
        self.holders = PartHolders()
        # Where this node has sent parts since it last told its peers.
        self.untold: dict[str, set[int]] = {}
        self.prompt_chooser: ServerChooser = PromptChooser(self.holders)
        self.plain_chooser: ServerChooser = PlainChooser()

    def adopt(self, configuration: Configuration) -> None:
        """Takes a newer configuration into force."""
        self.configuration = configuration

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.configuration.version if self.configuration is not None else 0

    def service(self, name: str) -> Service | None:
        """Returns a service of the configuration in force."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)

    def candidates(self, demand: Demand, service: Service, now_s: float) -> list[Candidate]:
        """Returns the servers that the request may be sent to, with their loads."""
        nodes = self.roster.fleet_size(now_s)
        found = []
        for state in self._usable(service, now_s):
            if state.server_id in demand.tried:
                continue
            closed = self._is_closed(state, service, nodes, now_s)
            found.append(Candidate(state, state.load(now_s), closed))
        return found

    def _usable(self, service: Service, now_s: float) -> Iterable[ServerState]:
        usable = list(self.directory.usable(service.name, now_s))
        if usable:
            return usable
        # When every server is set aside, failures say nothing about one of them.
        return [
            state
            for state in self.directory.by_service.get(service.name, ())
            if not (
                state.entry.leaving or state.gone or state.entry.zone in self.directory.zones_out
            )
        ]

    def _is_closed(self, state: ServerState, service: Service, nodes: int, now_s: float) -> bool:
        share = max(1.0, _USED_CONNECTIONS * service.max_connections / nodes)
        if service.max_connections and state.running >= share:
            return True
        if not state.is_cold(now_s) or service.cold_requests_per_s <= 0.0:
            self.cold_rates.pop(state.server_id, None)
            return False
        rate = self.cold_rates.get(state.server_id)
        if rate is None:
            bound = service.cold_requests_per_s * self.bounds.cold_factor + self.bounds.cold_extra
            rate = self.cold_rates[state.server_id] = ColdRate(bound)
        entitled = rate.entitled_nodes(nodes)
        if entitled < nodes and not self._is_entitled(state.server_id, entitled, now_s):
            return True
        return not rate.available(nodes, now_s)

    def _is_entitled(self, server_id: str, entitled: int, now_s: float) -> bool:
        names = [peer.name for peer in self.roster.live_peers(now_s)]
        return self.name in rank_equally(server_id, [*names, self.name], entitled)

    def choose(self, demand: Demand, now_s: float) -> Choice:
        """Returns the server for a request, or none and the reason; counts nothing."""
        service = self.service(demand.service)
        if service is None:
            return Choice(None, "no such service")
        chooser = self.prompt_chooser if service.runs_models else self.plain_chooser
        found = self.candidates(demand, service, now_s)
        sources = [
            state
            for state in self.directory.by_service.get(service.name, ())
            if not state.gone and not state.failures_in_row
        ]
        return chooser.choose(service, found, sources, demand.prompt, demand.zone, now_s)

    def begin(self, demand: Demand, choice: Choice, now_s: float) -> None:
        """Counts a request that is about to be sent to the chosen server."""
        assert choice.state is not None
        state = choice.state
        state.begin(choice.prefill_tokens)
        rate = self.cold_rates.get(state.server_id)
        if rate is not None and state.is_cold(now_s):
            rate.take()

    def sent(self, demand: Demand, server_id: str, now_s: float) -> None:
        """Notes that a request has been written to a server, which now reads its prompt."""
        prompt = demand.prompt
        if prompt is None or not prompt.parts:
            return
        self.holders.record(prompt.keys, server_id, now_s)
        self.untold.setdefault(server_id, set()).update(prompt.told_keys)

    def take_untold(self) -> dict[str, set[int]]:
        """Returns where parts were sent since the last call, by server id."""
        untold, self.untold = self.untold, {}
        return untold

    def room(self, service: str) -> WaitingRequests:
        """Returns the requests that wait for a service."""
        return self.waiting.setdefault(service, WaitingRequests())

    def may_be_served_in_time(self, demand: Demand, now_s: float) -> bool:
        """Whether a request that has to wait can end before its deadline."""
        states = list(self.directory.usable(demand.service, now_s))
        if not states:
            return False
        service_time_s = min(state.service_time_s for state in states)
        return now_s + self.expected_wait_s(demand, now_s) + service_time_s < demand.deadline_s

    def candidates_left(self, demand: Demand, now_s: float) -> bool:
        """Whether any server could take the request, now or after a wait."""
        service = self.service(demand.service)
        return service is not None and bool(self.candidates(demand, service, now_s))

    def expected_wait_s(self, demand: Demand, now_s: float) -> float:
        """Returns the estimated time until a place is free for a request like this one.

        Ahead are the requests that wait here and at the peers, by their last word, and those that
        the servers hold beyond their places.
        """
        states = list(self.directory.usable(demand.service, now_s))
        rate = sum(state.entry.slots / max(0.001, state.service_time_s) for state in states)
        if rate <= 0.0:
            return _RETRY_WITHOUT_SERVERS_S
        ahead = self.room(demand.service).count_ahead(demand.priority) + 1
        ahead += sum(peer.waiting.get(demand.service, 0) for peer in self.roster.live_peers(now_s))
        ahead += sum(max(0, state.load(now_s) - state.entry.slots) for state in states)
        return max(_RETRY_MIN_S, ahead / rate)

    def budget(self, service: str) -> RepeatBudget:
        """Returns this node's part of the repeats at a service."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.bounds
            found = RepeatBudget(bounds.repeat_ratio, bounds.repeat_minimum, bounds.repeat_window_s)
            self.budgets[service] = found
        return found

    def may_repeat(self, service: str, now_s: float) -> bool:
        """Takes the right to send one request once more to a service."""
        return self.budget(service).take(self.roster.fleet_size(now_s), now_s)
