"""Exchange of state between nodes: their state in datagrams, copies of the store over TCP.

A node sends its own state to the peers of its availability zone: its loads, queue lengths, cached
prompt parts and store revision. To other zones, nodes send summaries of their zone. Every node in
another zone gets them from two nodes of the zone, so the traffic of a node depends on the sizes of
the zones rather than on that of the fleet, and the loss of any node is made up for by another one.
"""

import asyncio
import logging
import math
import random
from collections.abc import Callable, Iterable, Iterator
from heapq import nsmallest
from typing import TYPE_CHECKING, cast

from google.protobuf.message import DecodeError

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.server_state import PeerLoad, local_loads
from tanagerworks.edge.crash_reports import (
    all_crash_reports,
    merge_crash_reports,
    quarantine_reports,
    recent_crash_reports,
)
from tanagerworks.edge.follower import ReadStart, StoreView
from tanagerworks.edge.health_reports import HealthExchange
from tanagerworks.edge.interfaces import PeerFinder
from tanagerworks.edge.limit_reports import (
    all_limit_reports,
    merge_limit_reports,
    recent_limit_reports,
)
from tanagerworks.edge.load_reports import LoadReports
from tanagerworks.edge.part_announcements import PartAnnouncements
from tanagerworks.edge.store_copies import fetch_store_copy, serve_store_copy
from tanagerworks.edge.stream_origin_copies import StreamOriginCopier
from tanagerworks.edge.stream_origins import StreamOriginTable
from tanagerworks.edge.version_reports import add_version_reports, merge_version_reports
from tanagerworks.errors import PeerError
from tanagerworks.membership.addresses import is_address, parse_address
from tanagerworks.membership.peer_table import (
    DISCOVERY_PERIOD_S,
    LIVE_TIMEOUT_S,
    Peer,
    PeerTable,
    name_hash,
)
from tanagerworks.published.replica import Change
from tanagerworks.routing.ranking import rank_equally
from tanagerworks.rpc.edge_pb2 import (
    NodeState,
    Placement,
    StoreCopy,
    StoreCopyRequest,
    StoreItem,
    ZoneLoad,
    ZoneSummary,
)

if TYPE_CHECKING:
    # Imports the histogram library, which only nodes with hedging need.
    from tanagerworks.edge.route_times import RouteTimeTable

_LOGGER = logging.getLogger(__name__)

# Time between two rounds of messages; in a small fleet each round sends to all peers. Requests take
# 0.1 s or more, so peers receive a load while most of the requests in it are still running.
_ROUND_INTERVAL_S = 0.2
# A round that starts this late shows that the process was paused, not that its peers were silent.
_PAUSE_S = 0.5
# Maximum rates of states to the peers in the node's own zone and of summaries to other zones, since
# receiving one takes about 0.1 ms of a core. In a larger fleet each peer gets messages at longer
# intervals: with 39 nodes in each of five zones every 0.8 s in the own zone and every 1.0 s in the
# others.
_STATES_IN_ZONE_PER_S = 50.0
_SUMMARIES_PER_S = 8.0
# Nodes of a zone that send summaries to the same node of another zone.
_SENDERS_PER_RECEIVER = 2
# Shortest time after the start, or after a pause, before a node sends summaries. It has to hear its
# zone first, as each summary replaces the one before.
_MIN_SUMMARY_DELAY_S = 0.5
# The load of a zone counts as zero after this number of intervals without a summary of it.
_SUMMARY_TIMEOUT_INTERVALS = 4.0
# Message interval that introductions announce. Until the first summaries arrive, it keeps a peer of
# another zone live.
_INTRODUCTION_INTERVAL_S = 1.0
# Time after the start in which a large fleet is discovered and periods grow.
_GROWTH_PERIOD_S = 2.0 * DISCOVERY_PERIOD_S
# Addresses without a known node to which a node introduces itself in one round.
_INTRODUCTIONS_PER_ROUND = 12
# Times that an address is tried; the addresses of seeds are tried for ever.
_INTRODUCTION_ATTEMPTS = 3
# Longest message interval that is believed. In a fleet of a thousand nodes it is below 30 s.
_MAX_INTERVAL_S = 30.0
# One of this number of messages has peer addresses and software versions.
_RARE_FIELDS_INTERVAL = 5
# Maximum number of peer addresses in a message.
_ADDRESSES_PER_MESSAGE = 8
# A node that follows the store waits this long for changes that a peer already has. After that it
# fetches them from the peer.
_MAX_STORE_LAG_S = 0.3
# Ages of a copy from which messages state none.
_MAX_COPY_AGE_S = 3_600.0
# Items whose age is at least this need no time: the operators' bounds are far shorter.
_MAX_DATED_AGE_S = 60.0
_PORTS = 65_536
# A larger datagram could be fragmented by IP, and the loss of any fragment would lose all of it.
_MAX_DATAGRAM_BYTES = 1_400
# Bytes of a datagram that reports of crashed servers and of limits may take.
_MAX_CRASH_BYTES = 400
_MAX_LIMIT_BYTES = 300
# The same for reports of loads, about nine servers.
_MAX_LOAD_REPORT_BYTES = 200
# Messages have the reports since this multiple of the interval, as rounds are not equally long.
_LOAD_REPORT_INTERVALS = 1.2
# Bytes of a datagram that the times of routes may take: of one node, in up to 50 messages a second,
# and of a zone, in up to 8.
_MAX_ROUTE_TIMES_BYTES = 150
_MAX_ZONE_ROUTE_TIMES_BYTES = 300
# Servers in one message of a summary, at about 11 bytes each.
_SERVERS_PER_SUMMARY = 80
# Maximum number of datagrams to one peer in a round. The listing of a server's cache, about 400
# parts, takes three. Parts beyond the limit are not sent; peers that start later receive them with
# the copy of the store.
_MAX_DATAGRAMS_PER_ROUND = 32


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this node's state to its peers and applies the states that they send.

    `address` is the `IP:PORT` at which this node receives datagrams and serves copies of the store.
    """

    def __init__(
        self,
        node: str,
        address: str,
        zone: str,
        incarnation: int,
        dispatcher: Dispatcher,
        store_view: StoreView,
        finder: PeerFinder,
        stream_origins: StreamOriginTable,
    ) -> None:
        self.node = node
        self.address = address
        self.zone = zone
        self.incarnation = incarnation
        self.dispatcher = dispatcher
        self.peer_table: PeerTable = dispatcher.peer_table
        self.load_reports = LoadReports(dispatcher.directory)
        self.store_view = store_view
        self.finder = finder
        self.sequence = 0
        # Returns whether this node follows the store and gets responses from it.
        self.is_following_store: Callable[[], bool] = lambda: False
        # Port at which this node takes forwarded requests; 0 for none.
        self.forwarding_port = 0
        # Returns whether this node is cut off from all backend servers.
        self.reaches_no_server: Callable[[], bool] = lambda: False
        # Parts sent to servers by this node, and those sent by this node and the peers in its zone.
        self.own_parts = PartAnnouncements()
        self.zone_parts = PartAnnouncements()
        self.round_number = 0
        # Number of the last round with a regular message, by address.
        self.sent_in_round: dict[str, int] = {}
        # Time between two regular messages to the same node of this zone and of other zones, as of
        # the last round.
        self.zone_period_s = _ROUND_INTERVAL_S
        self.summary_period_s = _ROUND_INTERVAL_S
        # Event loop time from which this node hears its zone; summaries begin a little later.
        self.hears_zone_from_s = self.peer_table.started_s
        # Whether this node sends summaries to a peer of another zone, by name; valid for these
        # members of the own zone.
        self.assignments: dict[str, bool] = {}
        self.assigned_among: frozenset[str] = frozenset()
        # Event loop time of this node's first summary.
        self.summarizing_from_s: float | None = None
        # Event loop time of the last summary of each other zone, and the time until the next.
        self.summaries_received: dict[str, tuple[float, float]] = {}
        self.stream_origins = stream_origins
        self.origin_copier = StreamOriginCopier(
            stream_origins, lambda: (store_view.replica.era, store_view.replica.revision)
        )
        # Times of hedged routes over the fleet; None if hedging is off.
        self.route_times: RouteTimeTable | None = None
        self.health = HealthExchange(node, zone, dispatcher.fleet_health, self.peer_table)
        self.health.send = self._send
        self.fetch_task: asyncio.Task[None] | None = None
        # Requests of peers for copies that are being answered.
        self.copy_tasks: set[asyncio.Task[None]] = set()
        self.stopping = False
        self.transport: asyncio.DatagramTransport | None = None
        # Addresses of unknown nodes that peers have sent, with the attempts made so far.
        self.introduction_attempts: dict[str, int] = {}
        # Newest version of a configuration that a peer's copy had, usable or not.
        self.fetched_version = 0
        # Event loop time since which a peer has had a newer copy of the store than this node;
        # None if no peer has one.
        self.behind_since_s: float | None = None
        # Names of the lost peers whose loss has been logged.
        self.logged_lost_peers: set[str] = set()
        self.random = random.Random()
        # Called after a peer's state has been applied.
        self.on_peer_state_applied: Callable[[], None] = lambda: None

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the datagram socket."""
        # The selector loop's transport does not derive from DatagramTransport in Python 3.11.
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.stream_origins.send = self.transport.sendto

    def error_received(self, exc: Exception) -> None:
        """Logs a socket error of an earlier send; lost peers are detected by the peer table."""
        _LOGGER.debug("cannot send a datagram", extra={"reason": str(exc)})

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Applies a peer's state; ignores an unusable message and one that a later overtook."""
        state = NodeState()
        try:
            state.ParseFromString(data)
            if state.health and state.HasField("stream_origins"):
                self.health.receive(state, asyncio.get_running_loop().time())
                return
            if state.HasField("stream_origins"):
                self.stream_origins.receive(state.stream_origins, addr)
                return
            if not state.name or state.name == self.node:
                return
            parse_address(state.address)
        except (DecodeError, PeerError) as error:
            _LOGGER.warning("peer message unusable", extra={"from": addr[0], "reason": str(error)})
            return
        now_s = asyncio.get_running_loop().time()
        # Parts that were sent to a server and crashes are valid also in a message that a later one
        # overtook.
        self._record_placements(state, now_s)
        merge_crash_reports(self.dispatcher.crash_evidence, state.crashes, now_s)
        merge_limit_reports(self.dispatcher.directory, state.limits, now_s, state.name)
        peer = self._to_peer(state, now_s)
        event = self.peer_table.record_message(peer)
        if event == "old":
            return
        if event != "known":
            self.logged_lost_peers.discard(state.name)
            _LOGGER.info(
                "peer joined, returned or restarted", extra={"peer": state.name, "event": event}
            )
            if event == "back" or peer.incarnation < self.incarnation:
                self.origin_copier.add_sources([peer], now_s)
            # A new process waits for the first messages of its peers before it recovers its index
            # of cached parts.
            self._announce_to([state.address], state.zone == self.zone, now_s, greeting=True)
        self.introduction_attempts.pop(state.address, None)
        self._record_addresses(state.known_addresses)
        self._apply_loads(state, now_s)
        in_zone = state.zone == self.zone
        self.load_reports.merge(state.server_loads, now_s, state.name, in_zone)
        if self.route_times is not None and state.route_times:
            self.route_times.merge(state, now_s)
        self.health.receive(state, now_s)
        self._confirm_copy(peer)
        versions = self.dispatcher.directory.versions
        merge_version_reports(state, versions, now_s, peer.copy_confirmed_s)
        if self._is_ahead(peer):
            self._fetch_if_behind(now_s)
        self.on_peer_state_applied()

    def _record_placements(self, state: NodeState, now_s: float) -> None:
        """Records the announced parts; those of a peer in the own zone go into the summaries."""
        for placement in state.placements:
            self.dispatcher.cached_parts.record_parts(placement.parts, placement.server_id, now_s)
            if state.zone == self.zone:
                self.zone_parts.add_parts(placement.server_id, placement.parts)

    def _to_peer(self, state: NodeState, now_s: float) -> Peer:
        queued = {} if state.HasField("summary") else _queued_requests(state)
        return Peer(
            state.name,
            state.address,
            state.zone,
            state.incarnation,
            state.sequence,
            now_s,
            state.revision,
            state.stopping,
            state.follows_store,
            min(state.interval_ms / 1000, _MAX_INTERVAL_S),
            queued,
            state.era,
            state.configuration_version,
            now_s - state.copy_age_ms / 1000 if state.HasField("copy_age_ms") else -math.inf,
            state.reaches_no_server,
            state.forwarding_port if state.forwarding_port < _PORTS else 0,
        )

    def _record_addresses(self, addresses: Iterable[str]) -> None:
        """Remembers the first usable addresses of unknown nodes among those in a message."""
        known = self.peer_table.addresses
        for address in list(addresses)[:_ADDRESSES_PER_MESSAGE]:
            if address == self.address or address in known or not is_address(address):
                continue
            self.introduction_attempts.setdefault(address, 0)

    def _apply_loads(self, state: NodeState, now_s: float) -> None:
        if state.zone == self.zone:
            loads = {
                load.server_id: PeerLoad(load.running, load.prefill_tokens) for load in state.loads
            }
            self.dispatcher.directory.set_peer_loads(state.name, loads)
            return
        if not state.HasField("summary"):
            return
        summary = state.summary
        interval_s = min(state.interval_ms / 1000, _MAX_INTERVAL_S)
        self.summaries_received[state.zone] = (now_s, interval_s)
        # The summaries of the senders of this node alternate.
        self.peer_table.record_members(
            state.zone, summary.members, now_s, interval_s / _SENDERS_PER_RECEIVER
        )
        self.peer_table.queued_by_zone[state.zone] = _queued_requests(state)
        zone_loads = {
            load.server_key: PeerLoad(load.running, load.prefill_tokens) for load in summary.loads
        }
        parts = max(1, summary.parts)
        self.dispatcher.directory.set_zone_loads(state.zone, zone_loads, summary.part, parts)

    # Sending

    async def run(self) -> None:
        """Sends this node's state to all peers until cancelled."""
        loop = asyncio.get_running_loop()
        next_round_s = loop.time()
        while True:
            self._check_pause(loop.time() - next_round_s)
            try:
                self._send_round(loop.time())
                self.stream_origins.share()
                self.origin_copier.copy_if_due(loop.time())
                self._fetch_if_behind(loop.time())
                self._handle_lost_peers(loop.time())
            except Exception:
                # The loop must continue: peers would otherwise treat this node as lost.
                _LOGGER.exception("round of the peer exchange failed; continuing with the next one")
            delay_s = _ROUND_INTERVAL_S * self.random.uniform(0.9, 1.1)
            next_round_s = loop.time() + delay_s
            await asyncio.sleep(delay_s)

    def _check_pause(self, late_s: float) -> None:
        """Keeps peers from being lost if this round is late because the process was paused.

        What this node knows of its zone is from before the pause, so it must not send summaries of
        it until it has heard its peers again.
        """
        if late_s <= _PAUSE_S:
            return
        _LOGGER.warning("process was paused", extra={"paused_s": round(late_s, 2)})
        self.peer_table.record_pause(late_s)
        now_s = asyncio.get_running_loop().time()
        self.origin_copier.add_sources(self.peer_table.live_peers(now_s), now_s)
        for zone, (received_s, interval_s) in self.summaries_received.items():
            self.summaries_received[zone] = (received_s + late_s, interval_s)
        self.hears_zone_from_s = now_s

    def _send_round(self, now_s: float) -> None:
        parts_by_server = self.dispatcher.take_unannounced_parts()
        self.own_parts.add_round(now_s, parts_by_server)
        self.zone_parts.add_round(now_s, parts_by_server)
        self.round_number += 1
        zone_targets = sorted(
            peer.address for peer in self.peer_table.peers.values() if peer.zone == self.zone
        )
        round_targets, self.zone_period_s = self._round_targets(zone_targets, _STATES_IN_ZONE_PER_S)
        # Each part is sent twice, since a datagram may be lost.
        own_since_s = now_s - 2 * self.zone_period_s
        self._send(round_targets, self._own_states(own_since_s, now_s))
        summary_targets = self._summary_targets(now_s)
        round_targets, self.summary_period_s = self._round_targets(
            summary_targets, _SUMMARIES_PER_S
        )
        # Each part is sent once, but by every sender of the receiver; the first summary for a
        # receiver has all parts since the start.
        repeated_s = self.summary_period_s + _ROUND_INTERVAL_S
        zone_since_s = now_s - repeated_s
        if self.summarizing_from_s is None or now_s - self.summarizing_from_s < repeated_s:
            zone_since_s = -math.inf
        if self._may_summarize(now_s):
            if self.summarizing_from_s is None:
                self.summarizing_from_s = now_s
            self._send(round_targets, self._summaries(zone_since_s, now_s))
        else:
            self._send(round_targets, [self._introduction(now_s)])
        self._send(self._introduction_targets(), [self._introduction(now_s)])
        if len(self.sent_in_round) > 2 * len(self.peer_table.addresses) + _ADDRESSES_PER_MESSAGE:
            self.sent_in_round.clear()
        self.own_parts.drop_before(own_since_s)
        self.zone_parts.drop_before(zone_since_s)

    def _round_targets(self, targets: list[str], per_s: float) -> tuple[list[str], float]:
        """Returns the targets of this round, and the seconds between two sends to a target.

        The targets are divided among as many rounds as keep the rate below `per_s` datagrams. Those
        that have waited longest come first, so that new targets do not delay the others.
        """
        rounds = max(1, math.ceil(len(targets) / (per_s * _ROUND_INTERVAL_S)))
        count = math.ceil(len(targets) / rounds)
        chosen = nsmallest(count, targets, key=lambda target: self.sent_in_round.get(target, 0))
        for target in chosen:
            self.sent_in_round[target] = self.round_number
        return chosen, rounds * _ROUND_INTERVAL_S

    def _summary_targets(self, now_s: float) -> list[str]:
        """Returns the addresses in other zones to which this node sends summaries of its zone.

        Each node in another zone is assigned to `_SENDERS_PER_RECEIVER` nodes of this zone by
        rendezvous hashing. All nodes of the zone come to the same result as soon as they agree on
        which of them are live, and a change among them moves only a few assignments.
        """
        members = frozenset([*self._live_zone_members(now_s), self.node])
        if members != self.assigned_among:
            self.assigned_among = members
            self.assignments.clear()
        targets = []
        for peer in self.peer_table.peers.values():
            if peer.zone == self.zone:
                continue
            assigned = self.assignments.get(peer.name)
            if assigned is None:
                senders = rank_equally(peer.name, members, _SENDERS_PER_RECEIVER)
                assigned = self.assignments[peer.name] = self.node in senders
            if assigned:
                targets.append(peer.address)
        return sorted(targets)

    def _live_zone_members(self, now_s: float) -> list[str]:
        """Returns the names of the live peers in this node's zone."""
        return [peer.name for peer in self.peer_table.live_peers(now_s) if peer.zone == self.zone]

    def _may_summarize(self, now_s: float) -> bool:
        """Whether this node has heard its zone for long enough to send summaries of it."""
        delay_s = max(_MIN_SUMMARY_DELAY_S, 1.5 * self.zone_period_s)
        return now_s - self.hears_zone_from_s >= delay_s

    def _introduction_targets(self) -> list[str]:
        """Returns some addresses without a known node, to which this node introduces itself.

        The node at such an address becomes a peer once its message arrives.
        """
        known = self.peer_table.addresses
        pending = sorted(self.introduction_attempts.keys() - known)
        chosen = self.random.sample(pending, min(len(pending), _INTRODUCTIONS_PER_ROUND))
        for address in chosen:
            self.introduction_attempts[address] += 1
            if self.introduction_attempts[address] >= _INTRODUCTION_ATTEMPTS:
                del self.introduction_attempts[address]
        seeds = set(self.finder.seed_addresses()) - known - {self.address, *chosen}
        return chosen + sorted(seeds)

    def _send(self, targets: list[str], states: Iterable[NodeState]) -> None:
        if self.transport is None or not targets:
            return
        for state in states:
            data = state.SerializeToString()
            for target in targets:
                host, _colon, port = target.rpartition(":")
                self.transport.sendto(data, (host, int(port)))

    def announce(self) -> None:
        """Sends this node's state to all peers immediately, for example when it shuts down."""
        now_s = asyncio.get_running_loop().time()
        others = [peer.address for peer in self.peer_table.peers.values() if peer.zone != self.zone]
        self.announce_in_zone()
        self._announce_to(others, False, now_s)

    def announce_in_zone(self) -> None:
        """Sends this node's state to its zone immediately, since the store has changed."""
        zone_targets = [
            peer.address for peer in self.peer_table.peers.values() if peer.zone == self.zone
        ]
        self._announce_to(zone_targets, True, asyncio.get_running_loop().time())

    def _announce_to(
        self, targets: list[str], in_zone: bool, now_s: float, greeting: bool = False
    ) -> None:
        """Sends this node's state out of turn, without parts; regular messages go on as before.

        A greeting to a new process has what only some messages have.
        """
        if in_zone:
            self._send(targets, self._own_states(math.inf, now_s, greeting))
        else:
            self._send(targets, [self._introduction(now_s)])

    # Messages

    def _introduction(self, now_s: float) -> NodeState:
        """Returns a message to a node of another or an unknown zone, without loads."""
        state = self._basic_state()
        interval_s = max(_INTRODUCTION_INTERVAL_S, self.summary_period_s)
        state.interval_ms = int(self._with_growth(interval_s, now_s) * 1000)
        self._add_rare_fields(state, now_s)
        self._add_reports(state, now_s, regular=False)
        return state

    def _summary_interval_ms(self, now_s: float) -> int:
        """Returns the time until the next summary."""
        return int(self._with_growth(self.summary_period_s, now_s) * 1000)

    def _with_growth(self, interval_s: float, now_s: float) -> float:
        """Returns the interval to announce: while nodes are discovered, the present one may grow.

        The period in seconds in which summaries reach a node grows with the number of zones.
        """
        if now_s - self.peer_table.started_s >= _GROWTH_PERIOD_S:
            return interval_s
        return max(interval_s, _SENDERS_PER_RECEIVER * _INTRODUCTION_INTERVAL_S)

    def _basic_state(self) -> NodeState:
        """Returns the next message with the fields that all kinds of messages have."""
        self.sequence += 1
        age_s = self.store_view.age_s(asyncio.get_running_loop().time())
        return NodeState(
            copy_age_ms=math.ceil(age_s * 1000) if age_s < _MAX_COPY_AGE_S else None,
            name=self.node,
            address=self.address,
            zone=self.zone,
            incarnation=self.incarnation,
            sequence=self.sequence,
            revision=self.store_view.replica.revision,
            stopping=self.stopping,
            follows_store=self.is_following_store(),
            era=self.store_view.replica.era,
            configuration_version=self.store_view.configuration_version,
            reaches_no_server=self.reaches_no_server(),
            forwarding_port=self.forwarding_port,
        )

    def _add_rare_fields(self, state: NodeState, now_s: float) -> None:
        """Adds what only some messages have: addresses of live peers, and software versions."""
        add_version_reports(state, self.dispatcher.directory.versions, now_s)
        peers = list(self.peer_table.peers.values())
        for peer in self.random.sample(peers, min(len(peers), _ADDRESSES_PER_MESSAGE)):
            if peer.is_live(now_s):
                state.known_addresses.append(peer.address)

    def _add_reports(self, state: NodeState, now_s: float, regular: bool) -> None:
        """Adds what this node knows of crashed servers and of limits, as far as there is room.

        Regular messages report what has changed lately. Those to a node that may have missed it
        report what is in force.
        """
        evidence, directory = self.dispatcher.crash_evidence, self.dispatcher.directory
        to_crash_reports = recent_crash_reports if regular else quarantine_reports
        to_limit_reports = recent_limit_reports if regular else all_limit_reports
        room = min(_MAX_CRASH_BYTES, _MAX_DATAGRAM_BYTES - state.ByteSize())
        state.crashes.extend(to_crash_reports(evidence, now_s, room))
        room = min(_MAX_LIMIT_BYTES, _MAX_DATAGRAM_BYTES - state.ByteSize())
        state.limits.extend(to_limit_reports(directory, now_s, room))

    def _add_route_times(self, state: NodeState, now_s: float) -> None:
        """Adds the times of hedged routes to one of `_RARE_FIELDS_INTERVAL` messages.

        A random choice reaches all peers also if the rounds that they are divided among are as many
        as this interval.
        """
        if self.route_times is None or self.random.random() * _RARE_FIELDS_INTERVAL >= 1.0:
            return
        in_summary = state.HasField("summary")
        room = min(
            _MAX_ZONE_ROUTE_TIMES_BYTES if in_summary else _MAX_ROUTE_TIMES_BYTES,
            _MAX_DATAGRAM_BYTES - state.ByteSize(),
        )
        state.route_times.extend(self.route_times.to_reports(in_summary, now_s, room))

    def _own_states(
        self, parts_since_s: float, now_s: float, greeting: bool = False
    ) -> Iterator[NodeState]:
        """Yields the messages with this node's state and the parts it has sent since a time."""
        state = self._basic_state()
        state.interval_ms = int(self.zone_period_s * 1000)
        if self.sequence % _RARE_FIELDS_INTERVAL == 1 or greeting:
            self._add_rare_fields(state, now_s)
        loads = local_loads(iter(self.dispatcher.directory.servers.values()))
        for server_id, load in loads.items():
            state.loads.add(
                server_id=server_id, running=load.running, prefill_tokens=load.prefill_tokens
            )
        for service, queue in self.dispatcher.queues.items():
            if len(queue):
                state.waiting.add(service=service, requests=len(queue))
        self._add_reports(state, now_s, regular=math.isfinite(parts_since_s))
        since_s = now_s - _LOAD_REPORT_INTERVALS * self.zone_period_s
        room = min(_MAX_LOAD_REPORT_BYTES, _MAX_DATAGRAM_BYTES - state.ByteSize())
        state.server_loads.extend(
            self.load_reports.own_reports(since_s, now_s, room, self.zone_period_s)
        )
        self._add_route_times(state, now_s)
        self.health.add_own_reports(state, now_s, _MAX_DATAGRAM_BYTES - state.ByteSize())
        return self._with_placements(state, self.own_parts.placements_since(parts_since_s))

    def _summaries(self, parts_since_s: float, now_s: float) -> Iterator[NodeState]:
        """Yields the messages with the summary of this zone and its parts since a time."""
        loads = self.dispatcher.directory.own_zone_loads()
        parts = max(1, math.ceil(len(loads) / _SERVERS_PER_SUMMARY))
        members = [name_hash(name) for name in self._live_zone_members(now_s)]
        waiting = self._zone_queues(now_s)
        for part in range(parts):
            state = self._basic_state()
            state.interval_ms = self._summary_interval_ms(now_s)
            if self.sequence % _RARE_FIELDS_INTERVAL == 1:
                self._add_rare_fields(state, now_s)
            for service, requests in waiting.items():
                state.waiting.add(service=service, requests=requests)
            state.summary.CopyFrom(
                ZoneSummary(
                    members=[*members, name_hash(self.node)],
                    part=part,
                    parts=parts,
                    loads=[
                        ZoneLoad(
                            server_key=key,
                            running=load.running,
                            prefill_tokens=max(0, load.prefill_tokens),
                        )
                        for key, load in loads.items()
                        if key % parts == part
                    ],
                )
            )
            self._add_reports(state, now_s, regular=True)
            room = min(_MAX_LOAD_REPORT_BYTES, _MAX_DATAGRAM_BYTES - state.ByteSize())
            state.server_loads.extend(
                self.load_reports.zone_reports(part, parts, now_s, room, self.summary_period_s)
            )
            self._add_route_times(state, now_s)
            self.health.add_zone_reports(state, now_s, _MAX_DATAGRAM_BYTES - state.ByteSize())
            if part:
                yield state
                continue
            placements = self.zone_parts.placements_since(parts_since_s)
            yield from self._with_placements(state, placements)

    def _zone_queues(self, now_s: float) -> dict[str, int]:
        """Returns the requests queued in this zone, by service."""
        waiting = {name: len(queue) for name, queue in self.dispatcher.queues.items() if len(queue)}
        for peer in self.peer_table.live_peers(now_s):
            if peer.zone != self.zone:
                continue
            for service, requests in peer.queued_requests.items():
                waiting[service] = waiting.get(service, 0) + requests
        return waiting

    def _with_placements(
        self, state: NodeState, placements: Iterable[Placement]
    ) -> Iterator[NodeState]:
        """Yields a message, and copies of it if the parts do not fit into one datagram."""
        sent = 0
        for placement in placements:
            if state.placements and state.ByteSize() + placement.ByteSize() > _MAX_DATAGRAM_BYTES:
                yield state
                sent += 1
                if sent == _MAX_DATAGRAMS_PER_ROUND:
                    _LOGGER.warning("prompt parts left out of a message", extra={"sent": sent})
                    return
                del state.placements[:]
                del state.route_times[:]
                self.sequence += 1
                state.sequence = self.sequence
            state.placements.append(placement)
        yield state

    # Lost peers

    def _handle_lost_peers(self, now_s: float) -> None:
        for peer in self.peer_table.lost_peers(now_s):
            if peer.name in self.logged_lost_peers:
                continue
            self.logged_lost_peers.add(peer.name)
            # Whether the requests of a lost peer are still running is unknown. The servers report
            # their own load.
            self.dispatcher.directory.set_peer_loads(peer.name, {})
            _LOGGER.warning(
                "peer lost",
                extra={"peer": peer.name, "silent_s": round(now_s - peer.last_seen_s, 2)},
            )
        self.peer_table.remove_expired_peers(now_s)
        for zone, (received_s, interval_s) in list(self.summaries_received.items()):
            limit_s = max(LIVE_TIMEOUT_S, _SUMMARY_TIMEOUT_INTERVALS * interval_s)
            if now_s - received_s <= limit_s:
                continue
            del self.summaries_received[zone]
            self.dispatcher.directory.set_zone_loads(zone, {})
            self.peer_table.queued_by_zone.pop(zone, None)
            _LOGGER.warning("no summary of a zone", extra={"zone": zone})

    # Copies of the store

    def _fetch_if_behind(self, now_s: float) -> None:
        """Fetches changes of the store from a peer whose copy or configuration is newer.

        A node that follows the store itself first waits `_MAX_STORE_LAG_S` for the store.
        """
        replica = self.store_view.replica
        if self.fetch_task is not None and not self.fetch_task.done():
            return
        newer = [peer for peer in self.peer_table.live_peers(now_s) if self._is_ahead(peer)]
        if not newer:
            self.behind_since_s = None
            return
        if self.behind_since_s is None:
            self.behind_since_s = now_s
        if (
            replica.revision
            and self.is_following_store()
            and now_s - self.behind_since_s < _MAX_STORE_LAG_S
        ):
            return
        # A peer in the same zone has the lowest latency and causes no traffic between zones.
        # Among them, the latest era comes first: the copies of earlier ones are not used.
        best = max(newer, key=lambda peer: (peer.era, peer.zone == self.zone, peer.revision))
        self.fetch_task = asyncio.get_running_loop().create_task(self._fetch(best))

    def _is_ahead(self, peer: Peer) -> bool:
        """Returns whether the peer's copy of the store or its configuration is newer.

        The configuration counts for itself: a peer may have one that a restored store has lost.
        """
        known_version = max(self.store_view.configuration_version, self.fetched_version)
        return (
            self.store_view.replica.is_older_than(peer.era, peer.revision)
            or peer.configuration_version > known_version
        )

    def _confirm_copy(self, peer: Peer) -> None:
        """Takes the time of a peer's copy of the store for that of this node's, unless older."""
        if not self.store_view.replica.is_older_than(peer.era, peer.revision):
            self.store_view.estimate(peer.copy_confirmed_s)

    async def _fetch(self, peer: Peer) -> None:
        replica = self.store_view.replica
        start = ReadStart(self.store_view)
        request = StoreCopyRequest(
            after=replica.revision,
            era=replica.era,
            configuration_version=self.store_view.configuration_version,
        )
        try:
            copy = await fetch_store_copy(peer.address, request)
        except PeerError as error:
            _LOGGER.warning(
                "copy of the store not received",
                extra={"peer": peer.name, "reason": error.message},
            )
            return
        except Exception:
            # The next round fetches again; nobody awaits this task.
            _LOGGER.exception("copy of the store not received", extra={"peer": peer.name})
            return
        source = f"peer {peer.name}"
        requested_s = start.time_s()
        items = [_to_change(item, requested_s) for item in copy.items]
        if copy.changes_only:
            self.store_view.apply(items, copy.revision, source, copy.era)
        else:
            self.store_view.replace(items, copy.revision, source, copy.era)
        if copy.HasField("configuration"):
            self.store_view.adopt_configuration(_to_change(copy.configuration, requested_s), source)
        self.fetched_version = max(self.fetched_version, peer.configuration_version)
        self._confirm_copy(peer)

    def accept_copy_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a peer's request in a task of its own.

        As a coroutine, the callback would be a task of the streams, which log an error with
        Python 3.11 if it is cancelled at the exit of the process.
        """
        task = asyncio.get_running_loop().create_task(self.serve_store_copy(reader, writer))
        self.copy_tasks.add(task)
        task.add_done_callback(self.copy_tasks.discard)

    async def serve_store_copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a peer's request for changes or a full copy of the store, then closes."""
        await serve_store_copy(self._build_copy, reader, writer)

    def _build_copy(self, request: StoreCopyRequest) -> StoreCopy:
        replica = self.store_view.replica
        changes = replica.changes_after(request.after, request.era) if request.after else None
        copy = StoreCopy(
            revision=replica.revision, era=replica.era, changes_only=changes is not None
        )
        self.store_view.account_for_suspension()
        now_s = asyncio.get_running_loop().time()
        copied = replica.items.values() if changes is None else changes
        copy.items.extend(_to_item(change, now_s) for change in copied)
        newest = self.store_view.configuration_item
        if newest is not None and self._lacks_configuration(request, newest):
            copy.configuration.CopyFrom(_to_item(newest, now_s))
        if request.with_placements:
            for server_id, parts in self.dispatcher.cached_parts.keys_by_server().items():
                copy.placements.add(server_id=server_id, parts=parts)
            copy.crashes.extend(all_crash_reports(self.dispatcher.crash_evidence, now_s))
        if request.with_stream_origins:
            copy.stream_origins.extend(self.stream_origins.recent_streams())
        return copy

    def _lacks_configuration(self, request: StoreCopyRequest, newest: Change) -> bool:
        """Returns whether the items of a copy do not give the newest configuration to a peer."""
        if self.store_view.configuration_version <= request.configuration_version:
            return False
        replica = self.store_view.replica
        return request.era > replica.era or replica.items.get(newest.key) != newest


def _queued_requests(state: NodeState) -> dict[str, int]:
    return {waiting.service: waiting.requests for waiting in state.waiting}


def _to_item(change: Change, now_s: float) -> StoreItem:
    age_s = now_s - change.acknowledged_after_s
    return StoreItem(
        key=change.key,
        revision=change.revision,
        value=change.value or b"",
        deleted=change.value is None,
        acknowledged_age_ms=math.ceil(age_s * 1000) if age_s < _MAX_DATED_AGE_S else None,
    )


def _to_change(item: StoreItem, requested_s: float) -> Change:
    """Returns an item of a copy that was requested at an event loop time.

    The age of the item counts from then, as the copy may have been delayed.
    """
    after_s = -math.inf
    if item.HasField("acknowledged_age_ms"):
        after_s = requested_s - item.acknowledged_age_ms / 1000
    return Change(item.key, item.revision, None if item.deleted else item.value, after_s)
