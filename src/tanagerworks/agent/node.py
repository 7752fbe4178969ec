"""Assembles the parts of a node agent and connects their callbacks."""

import asyncio
import logging
from collections.abc import Collection, Coroutine
from random import Random
from typing import Any

import grpc
from grpc.aio import server as create_grpc_server
from opentelemetry.metrics import CallbackOptions, Meter, Observation

from tanagerworks.agent.entry_limits import EntryLimiter, engine_pools, expand_counts
from tanagerworks.agent.gossip import Gossip
from tanagerworks.agent.note_keeper import NoteKeeper
from tanagerworks.agent.order_sender import OrderSender
from tanagerworks.agent.pauses import PauseGuard, PauseInterceptor
from tanagerworks.agent.peer_channels import PeerChannels
from tanagerworks.agent.peer_exchange import PeerExchangeClient, SurveyAnswer
from tanagerworks.agent.peer_service import PeerService, start_peer_server, watch_credentials
from tanagerworks.agent.platform_client import PlatformClient
from tanagerworks.agent.platform_follower import PlatformFollower
from tanagerworks.agent.probes import EngineClient, EngineProber, EngineReport
from tanagerworks.agent.router_service import RouterService
from tanagerworks.agent.slot_lending import PeerSlotBorrower
from tanagerworks.agent.state import AgentState
from tanagerworks.agent.vm_audit import VmAudit
from tanagerworks.audit.changes import record_note_accepted, record_note_refused
from tanagerworks.audit.trail import AuditTrail
from tanagerworks.errors import NoteError, PeerError, PlatformError
from tanagerworks.membership.entries import Liveness
from tanagerworks.membership.table import NodeTable
from tanagerworks.note.model import Engine, Note
from tanagerworks.rpc.tanager_pb2 import NodeEntry
from tanagerworks.rpc.tanager_pb2_grpc import (
    PeerExchangeStub,
    add_NodeAgentServicer_to_server,
)
from tanagerworks.settings.agent import AgentSettings
from tanagerworks.tls.peer_credentials import PeerCredentials

_LOGGER = logging.getLogger(__name__)
# The platform counts as reachable for this long after its last answer.
_PLATFORM_RECENT_S = 3.0
# A Refresh call refreshes state that is older than this. Without an answer in time it returns the
# previous state.
_MAX_REFRESH_AGE_S = 1.0
# Limits of the lists in an entry, so that one entry fits into an exchange at 350 nodes.
_MAX_OVERRIDES = 8
_MAX_DOWN_ENGINES = 16


class AgentNode:
    """One node agent: platform follower, note keeper, gossip, router and peer services, probes."""

    def __init__(self, settings: AgentSettings, state: AgentState, trail: AuditTrail) -> None:
        self.settings = settings
        self.state = state
        self.trail = trail
        self.random = Random()
        self.clock = state.clock
        self.credentials = PeerCredentials(settings.peer_tls) if settings.peer_tls else None
        self.peer_channels = PeerChannels(self.credentials)
        self.note_keeper = NoteKeeper(self._apply_note, self._record_refusal)
        self.vm_audit = VmAudit(trail, lambda: self.note_keeper.serial)
        self.table = NodeTable(
            settings.node_id,
            state.incarnation,
            self.random,
            heartbeat_period_s=settings.exchange_period_s,
            suspect_after_s=settings.suspect_after_s,
            dead_after_s=settings.dead_after_s,
        )
        self.gossip = Gossip(
            self.table,
            self.clock,
            max_entry_bytes=settings.max_entry_bytes,
            fill_entry=self._fill_entry,
            apply_entry=self._apply_entry,
            forget_node=state.scheduler.remove_node,
        )
        self.platform_answered_at_s = float("-inf")
        self.follower = PlatformFollower(
            PlatformClient(
                settings.platform_url, settings.platform_timeout_s, reader=settings.node_id
            ),
            self.note_keeper,
            self.random,
            watch_s=settings.platform_watch_s,
            vm_poll_s=settings.vm_poll_s,
            on_contact=self._record_platform_answer,
            on_vm_list=self._receive_vm_list,
        )
        self.peer_exchange = PeerExchangeClient(
            self.gossip,
            self.note_keeper,
            self.peer_channels,
            self.random,
            own_address=settings.peer_address,
            seeds=[seed for seed in settings.seed_peers if seed != settings.peer_address],
            period_s=settings.exchange_period_s,
            timeout_s=settings.exchange_timeout_s,
            on_contact=state.record_contact,
            platform_is_reachable=self._platform_is_reachable,
        )
        self.prober = EngineProber(
            settings.node_id,
            EngineClient(settings.probe_timeout_s),
            self.random,
            period_s=settings.probe_period_s,
            per_engine=settings.probes_per_engine,
            engines=self._engines,
            nodes=self._live_nodes,
            on_report=self._record_engine_report,
            set_down=self._set_engine_down,
        )
        self.pause_guard = PauseGuard(
            self.clock,
            self._refresh_state,
            max_gap_s=settings.max_tick_gap_s,
            refresh_timeout_s=settings.refresh_timeout_s,
        )
        self.order_sender: OrderSender | None = None
        if settings.orders is not None:
            self.order_sender = OrderSender(
                settings.node_id,
                settings.orders,
                trail,
                self.random,
                clock=self.clock,
                note=lambda: state.note,
                incarnation=lambda: state.incarnation,
                live_nodes=lambda: {settings.node_id, *self._live_nodes()},
            )
        self.entry_limiter = EntryLimiter()
        self.pools: list[list[int]] = []
        state.slot_borrower = PeerSlotBorrower(state, self._stub_for)
        self.leaving_servers: frozenset[str] = frozenset()
        self.tasks: list[asyncio.Task[None]] = []
        self.router_server: grpc.aio.Server | None = None
        self.peer_server: grpc.aio.Server | None = None

    # Start and stop.

    async def start(self) -> None:
        """Starts the servers and the background tasks.

        Raises:
            PeerError: an address cannot be bound.
        """
        settings = self.settings
        interceptor = PauseInterceptor(self.pause_guard, self._state_age_s, _MAX_REFRESH_AGE_S)
        self.router_server = create_grpc_server(interceptors=[interceptor])
        service = RouterService(self.state, self.pause_guard.ensure_fresh)
        add_NodeAgentServicer_to_server(service, self.router_server)
        try:
            self.router_server.add_insecure_port(settings.router_link_address)
        except RuntimeError as error:
            raise PeerError(f"cannot listen at {settings.router_link_address}") from error
        await self.router_server.start()
        peer_service = PeerService(
            self.state, self.gossip, self.note_keeper, on_newer_note=self.peer_exchange.fetch_note
        )
        self.peer_server = await start_peer_server(
            peer_service, settings.peer_address, self.credentials, settings.max_peer_connection_s
        )
        self._start_task("ticks", self.state.run_ticks())
        self._start_task("pause guard", self.pause_guard.run())
        self._start_task("platform", self.follower.run())
        self._start_task("peers", self._run_peers())
        self._start_task("probes", self.prober.run())
        self._start_task("vm audit", self._audit_liveness())
        if self.order_sender is not None:
            self._start_task("orders", self.order_sender.run())
        if self.credentials is not None:
            watch = watch_credentials(self.credentials, self._apply_new_credentials)
            self._start_task("credentials", watch)

    def _start_task(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work, name=name)
        task.add_done_callback(self._on_task_done)
        self.tasks.append(task)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error(
                "background task failed",
                extra={"part": task.get_name()},
                exc_info=task.exception(),
            )

    async def _run_peers(self) -> None:
        settings = self.settings
        answers = await self.peer_exchange.survey_seeds(settings.peer_learn_timeout_s)
        self.state.incarnation = self.table.own_entry.incarnation
        self.vm_audit.record_incarnation(self.state.incarnation)
        self.note_keeper.start_applying_notes()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.peer_exchange.run())
            tasks.create_task(self._end_start_hold_if_clean(answers))

    async def _end_start_hold_if_clean(self, answers: list[SurveyAnswer]) -> None:
        while self.state.note is None:
            await self.state.changed.wait()
        # A node without peers waits for the reports of its routers instead.
        if self.state.ledger.peers and await self.peer_exchange.confirm_clean_predecessors(answers):
            self.state.end_start_hold()

    async def stop(self, *, clean: bool, grace_s: float) -> None:
        """Announces the stop to the peers and stops all parts; `clean` if all work has ended."""
        # A process whose slots are still on hold does not stop cleanly: work of an unclean
        # predecessor may still run.
        await self.peer_exchange.announce_stop(
            clean=clean and not self.state.ledger.is_on_hold(self.state.clock())
        )
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in (self.router_server, self.peer_server):
            if server is not None:
                await server.stop(grace_s)
        await self.peer_exchange.stop()

    # Notes.

    def _apply_note(self, note: Note, source: str) -> None:
        record_note_accepted(self.trail, self.state.note, note, source)
        self.gossip.set_note(note)
        self.pools = engine_pools(note.statement.engines)
        self.state.apply_note(note, self.table.cleanly_stopped_nodes())
        self._apply_leaving_servers()
        _LOGGER.info("release note in force", extra={"serial": note.serial, "source": source})

    def _record_refusal(self, source: str, serial: int, error: NoteError) -> None:
        record_note_refused(self.trail, self.state.note, serial or None, error.message, source)

    # Platform.

    def _record_platform_answer(self) -> None:
        self.platform_answered_at_s = self.clock()
        self.state.record_contact()

    def _platform_is_reachable(self) -> bool:
        return self.clock() - self.platform_answered_at_s < _PLATFORM_RECENT_S

    def _receive_vm_list(self, vms: dict[str, str]) -> None:
        leaving = frozenset(name for name, vm_state in vms.items() if vm_state == "leaving")
        if leaving == self.leaving_servers:
            return
        _LOGGER.info("leaving servers changed", extra={"leaving": sorted(leaving)})
        self.leaving_servers = leaving
        self.vm_audit.record_leaving(leaving)
        self._apply_leaving_servers()

    def _apply_leaving_servers(self) -> None:
        if self.state.note is None:
            return
        self.state.leaving_servers = self.leaving_servers
        engines = self.leaving_servers & self.state.note.statement.engines.keys()
        self.state.apply_effects(self.state.scheduler.set_leaving(engines, self.clock()))
        self.state.notify_watchers()

    async def _refresh_state(self) -> bool:
        platform = asyncio.ensure_future(self._refresh_from_platform())
        peers = asyncio.ensure_future(self.peer_exchange.refresh_from_peers())
        pending: set[asyncio.Future[bool]] = {platform, peers}
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if any(task.result() for task in done):
                return True
        return False

    async def _refresh_from_platform(self) -> bool:
        try:
            await self.follower.refresh_note()
        except PlatformError:
            return False
        return True

    def _state_age_s(self) -> float:
        return self.state.scheduler.freshness.age_s(self.clock())

    # Peers.

    def _fill_entry(self, entry: NodeEntry) -> None:
        self.state.fill_entry(entry, _MAX_OVERRIDES)
        entry.down_engines.extend(self.prober.failing_engines()[:_MAX_DOWN_ENGINES])
        self.entry_limiter.limit_entry(
            entry, self._engines(), self.pools, self.state.scheduler.allowance
        )

    def _apply_entry(self, entry: NodeEntry) -> None:
        self.prober.record_down_engines(entry.node_id, entry.down_engines)
        expand_counts(entry, self._engines(), self.pools)
        self.state.apply_entry(entry)

    def _stub_for(self, node_id: str) -> PeerExchangeStub | None:
        address = self.gossip.addresses.get(node_id)
        if address is None or self.table.liveness(node_id, self.clock()) is Liveness.DEAD:
            return None
        return self.peer_channels.stub(address)

    def _live_nodes(self) -> Collection[str]:
        return self.table.live_nodes(self.gossip.roster, self.clock())

    def _apply_new_credentials(self) -> None:
        self.peer_channels.close_outdated_channels()
        if self.credentials is not None:
            self.vm_audit.record_peer_key(self.credentials.material.expires_at)

    async def _audit_liveness(self) -> None:
        while True:
            now_s = self.clock()
            others = [name for name in self.gossip.roster if name != self.table.node_id]
            self.vm_audit.record_liveness(
                {name: self.table.liveness(name, now_s) for name in others}
            )
            await asyncio.sleep(self.settings.exchange_period_s)

    # Engines.

    def _engines(self) -> dict[str, Engine]:
        return self.state.note.statement.engines if self.state.note is not None else {}

    def _record_engine_report(self, engine_id: str, report: EngineReport) -> None:
        self.state.scheduler.record_boot_id(engine_id, report.boot_id)

    def _set_engine_down(self, engine_id: str, down: bool) -> None:
        self.vm_audit.record_engine_down(engine_id, down)
        self.state.scheduler.set_engine_down(engine_id, down, self.clock())
        self.state.notify_watchers()

    # Metrics.

    def register_metrics(self, meter: Meter) -> None:
        """Registers the counters and gauges of this node's parts."""

        def counts(values: dict[str, int]) -> list[Observation]:
            return [Observation(number, {"result": name}) for name, number in values.items()]

        def exchanges(_options: CallbackOptions) -> list[Observation]:
            return counts(
                {"answered": self.peer_exchange.exchanges, "failed": self.peer_exchange.failures}
            )

        def platform_calls(_options: CallbackOptions) -> list[Observation]:
            return counts({"answered": self.follower.answers, "failed": self.follower.failures})

        def nodes(_options: CallbackOptions) -> list[Observation]:
            numbers = dict.fromkeys(Liveness, 0)
            for name in self.gossip.roster:
                numbers[self.table.liveness(name, self.clock())] += 1
            return [Observation(n, {"state": state.value}) for state, n in numbers.items()]

        def pauses(_options: CallbackOptions) -> list[Observation]:
            return [Observation(self.pause_guard.pauses)]

        def down(_options: CallbackOptions) -> list[Observation]:
            return [Observation(len(self.prober.down))]

        meter.create_observable_counter(
            "tanager.agent.exchanges",
            [exchanges],
            description="Exchanges with peers that this agent started.",
        )
        meter.create_observable_counter(
            "tanager.agent.platform_calls",
            [platform_calls],
            description="Calls of the configuration service and the VM list.",
        )
        meter.create_observable_gauge(
            "tanager.agent.nodes", [nodes], description="Nodes of the note by liveness."
        )
        meter.create_observable_counter(
            "tanager.agent.pauses", [pauses], description="Pauses of this process."
        )
        meter.create_observable_gauge(
            "tanager.agent.engines_down", [down], description="Engines that do not answer probes."
        )
