"""Reports of the health of servers, in messages between nodes.

Each regular message has the reports of its node or zone. Since these come at intervals of up to a
second, a node also reports a failure at once, to its zone and to two nodes of each other zone, the
relays. These pass the sums of the zone on to their own.
"""

import asyncio
import logging
import math
from collections.abc import Callable, Iterable

from tanagerworks.dispatch.directory import server_key
from tanagerworks.dispatch.fleet_health import Ejection, FleetHealth, Outcomes, process_hash
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.request_state import RESPONSE_MARGIN_S, Attempt, RequestState
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.membership.peer_table import PeerTable
from tanagerworks.routing.ranking import rank_equally
from tanagerworks.rpc.edge_pb2 import HealthReport, NodeState, StreamOrigins, ZoneSummary

_LOGGER = logging.getLogger(__name__)

# Bytes of a datagram that reports may take.
_MAX_REPORT_BYTES = 300
# Shortest time between two messages out of turn, for those of this node and those that it relays.
_SEND_INTERVAL_S = 0.2
# Time after which a report is due again while it is not clear whether this node has failed.
_SUSPECT_DELAY_S = 0.05
# Nodes of each other zone to which reports are sent out of turn; the second covers the loss of the
# first, and sums of a zone count in full only if two nodes send them.
_RELAYS_PER_ZONE = 2
# A request that ends at its deadline counts as a failure of its server if it was there for this
# share of the route's timeout. Callers may set shorter timeouts, and requests may wait before.
_HUNG_TIMEOUT_SHARE = 0.5


class HealthExchange:
    """Sends the reports of one node and applies those of its peers."""

    def __init__(self, node: str, zone: str, health: FleetHealth, peer_table: PeerTable) -> None:
        self.node = node
        self.zone = zone
        self.health = health
        self.peer_table = peer_table
        health.zone = zone
        health.on_report_due = self._schedule_own
        # Sends messages to addresses.
        self.send: Callable[[list[str], Iterable[NodeState]], None] = lambda *_: None
        # Event loop times of the last messages out of turn.
        self.own_sent_s = -math.inf
        self.relay_sent_s = -math.inf
        # Timers of the next ones.
        self.own_timer: asyncio.TimerHandle | None = None
        self.relay_timer: asyncio.TimerHandle | None = None

    # Regular messages

    def add_own_reports(self, state: NodeState, now_s: float, room: int) -> None:
        """Adds this node's reports to a message with that many bytes of room."""
        state.health.extend(_fitting_reports(self.health.own_reports(now_s), now_s, room)[0])

    def add_zone_reports(self, state: NodeState, now_s: float, room: int) -> None:
        """Adds the sums of this node's zone to one message of a summary."""
        reports = (
            (server, outcomes)
            for server, outcomes in self.health.zone_reports(self.zone, now_s)
            if server_key(server.server_id) % max(1, state.summary.parts) == state.summary.part
        )
        state.health.extend(_fitting_reports(reports, now_s, room)[0])

    def receive(self, state: NodeState, now_s: float) -> None:
        """Applies the reports of a message; `now_s` is event loop time.

        Reports of unknown servers are ignored, and those that no live peer may send: otherwise one
        sender could report under many names.
        """
        if state.name == self.node:
            return
        is_sum = state.HasField("summary")
        if is_sum and state.zone == self.zone:
            return
        peer = self.peer_table.peers.get(state.name)
        if peer is not None and peer.reaches_no_server:
            self.health.forget_reports(state.name)
            return
        if not self._is_from_live_peer(state, is_sum, now_s):
            _LOGGER.debug("health reports ignored", extra={"peer": state.name, "zone": state.zone})
            return
        reporter = f"{state.name}/" if is_sum else state.name
        for report in state.health:
            outcomes = Outcomes(
                report.answers, report.failures, report.failing_nodes, now_s - report.age_ms / 1000
            )
            self.health.merge_report(
                report.server_key, report.process, reporter, state.zone, outcomes, now_s
            )
        if self.health.keys_to_relay and self.relay_timer is None:
            delay_s = max(0.0, self.relay_sent_s + _SEND_INTERVAL_S - now_s)
            self.relay_timer = asyncio.get_running_loop().call_later(delay_s, self._relay)

    def _is_from_live_peer(self, state: NodeState, is_sum: bool, now_s: float) -> bool:
        """Whether the sender is a live peer of the stated zone, or a relay in this node's zone.

        A summary states the zone of its sender; a relay states the zone whose sums it passes on.
        """
        peer = self.peer_table.peers.get(state.name)
        if peer is None or not peer.is_live(now_s):
            return False
        return peer.zone == state.zone or (is_sum and peer.zone == self.zone)

    # Messages out of turn

    def _schedule_own(self) -> None:
        if self.own_timer is not None:
            return
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, self.own_sent_s + _SEND_INTERVAL_S - loop.time())
        self.own_timer = loop.call_later(delay_s, self._send_own)

    def _send_own(self) -> None:
        """Reports the servers with new outcomes; those that do not fit follow with the next."""
        self.own_timer = None
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if self.health.is_connection_suspect():
            # Whether the servers or this node failed turns out with the next connection.
            self.own_timer = loop.call_later(_SUSPECT_DELAY_S, self._send_own)
            return
        unreported, self.health.unreported = self.health.unreported, set()
        reports, left = _fitting_reports(
            (
                (server, outcomes)
                for server, outcomes in self.health.own_reports(now_s)
                if server_key(server.server_id) in unreported
            ),
            now_s,
        )
        if not reports:
            return
        self.own_sent_s = now_s
        self.send(
            [*self._zone_targets(now_s), *self._relay_targets(now_s)],
            [self._message(self.zone, reports)],
        )
        if left:
            self.health.unreported |= left
            self._schedule_own()

    def _relay(self) -> None:
        """Sends this zone the sums of other zones for servers with new reports from there."""
        self.relay_timer = None
        now_s = asyncio.get_running_loop().time()
        self.relay_sent_s = now_s
        keys_to_relay, self.health.keys_to_relay = self.health.keys_to_relay, {}
        targets = self._zone_targets(now_s)
        for zone, keys in keys_to_relay.items():
            reports, left = _fitting_reports(
                (
                    (server, outcomes)
                    for server, outcomes in self.health.zone_reports(zone, now_s)
                    if server_key(server.server_id) in keys
                ),
                now_s,
            )
            if left:
                self.health.keys_to_relay[zone] = left
            if not reports:
                continue
            message = self._message(zone, reports)
            message.summary.CopyFrom(ZoneSummary())
            self.send(targets, [message])
        if self.health.keys_to_relay:
            self.relay_timer = asyncio.get_running_loop().call_later(_SEND_INTERVAL_S, self._relay)

    def _message(self, zone: str, reports: list[HealthReport]) -> NodeState:
        return NodeState(name=self.node, zone=zone, health=reports, stream_origins=StreamOrigins())

    def _zone_targets(self, now_s: float) -> list[str]:
        return [
            peer.address for peer in self.peer_table.live_peers(now_s) if peer.zone == self.zone
        ]

    def _relay_targets(self, now_s: float) -> list[str]:
        """Returns the addresses of the relays of the other zones.

        All nodes of a zone choose the same ones as far as they agree on which nodes are live.
        """
        by_zone: dict[str, dict[str, str]] = {}
        for peer in self.peer_table.live_peers(now_s):
            if peer.zone != self.zone:
                by_zone.setdefault(peer.zone, {})[peer.name] = peer.address
        return [
            addresses[name]
            for addresses in by_zone.values()
            for name in rank_equally(self.zone, addresses, _RELAYS_PER_ZONE)
        ]


def _fitting_reports(
    reports: Iterable[tuple[ServerState, Outcomes]], now_s: float, room: int = _MAX_REPORT_BYTES
) -> tuple[list[HealthReport], set[int]]:
    """Returns reports as far as they fit, most failures first, and the keys of the others."""
    ordered = sorted(reports, key=lambda item: item[1].failures, reverse=True)
    found: list[HealthReport] = []
    left: set[int] = set()
    size = 0
    for state, outcomes in ordered:
        report = HealthReport(
            server_key=server_key(state.server_id),
            answers=outcomes.answers,
            failures=outcomes.failures,
            failing_nodes=outcomes.failing_nodes,
            age_ms=int(max(0.0, now_s - outcomes.newest_s) * 1000),
            process=process_hash(state),
        )
        # Tag and length of the field.
        size += report.ByteSize() + 3
        if size > min(room, _MAX_REPORT_BYTES):
            left.add(report.server_key)
            continue
        found.append(report)
    return found, left


def has_hung(request: RequestState, attempt: Attempt, now_s: float) -> bool:
    """Whether a request that ends now got no answer in time, so that its server counts as failing.

    False if its caller leaves before the deadline, if the process stops, or if the answer was under
    way.
    """
    if attempt.answer_under_way or now_s < request.deadline_s - RESPONSE_MARGIN_S:
        return False
    return now_s - attempt.sent_s >= _HUNG_TIMEOUT_SHARE * request.route.timeout_s


def observe_health(health: FleetHealth, metrics: EdgeMetrics) -> None:
    """Logs and counts the ejections by the evidence of the fleet."""

    def log_ejection(state: ServerState, outcomes: Outcomes, ejection: Ejection) -> None:
        metrics.record_fleet_ejection(state.entry.service)
        _LOGGER.warning(
            "server ejected by the fleet",
            extra={
                "server": state.server_id,
                "failures": outcomes.failures,
                "answers": outcomes.answers,
                "failing_nodes": outcomes.failing_nodes,
                "for_s": ejection.duration_s,
            },
        )

    def log_return(state: ServerState, reason: str) -> None:
        _LOGGER.info(
            "ejection by the fleet ended", extra={"server": state.server_id, "why": reason}
        )

    health.on_ejected = log_ejection
    health.on_returned = log_return
