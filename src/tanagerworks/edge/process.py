"""The edge process: its ports, background tasks, settings reload and graceful shutdown."""

import asyncio
import gc
import logging
import math
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from types import FrameType

from tanagerworks import __version__
from tanagerworks.dispatch.dispatcher import Dispatcher, FleetBounds
from tanagerworks.dispatch.last_resort import NoticeBounds
from tanagerworks.edge.copy_check import CopyCheck
from tanagerworks.edge.early_listen import BACKLOG
from tanagerworks.edge.follower import StoreFollower, StoreView
from tanagerworks.edge.forwarded_headers import (
    error_headers,
    parse_forwarded_request,
    without_forwarding,
)
from tanagerworks.edge.http_messages import RequestHead
from tanagerworks.edge.http_server import HttpServer, Responder
from tanagerworks.edge.interfaces import BackendDialect, CallerDialect, PeerFinder, PublishedStore
from tanagerworks.edge.memory_budget import MemoryBudget, caller_connections
from tanagerworks.edge.peers import PeerExchange
from tanagerworks.edge.pipeline import Pipeline
from tanagerworks.edge.process_limits import open_files_limit, resident_bytes
from tanagerworks.edge.recovery import CacheRecovery
from tanagerworks.edge.store_role import StoreRole
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import PermissionDeniedError, SettingsError
from tanagerworks.membership.peer_table import PeerTable
from tanagerworks.published.model import CallerLimits
from tanagerworks.settings.edge import EdgeBounds, EdgeSettings, HedgingSettings
from tanagerworks.telemetry.queued_logs import BoundedQueueHandler

_LOGGER = logging.getLogger(__name__)

# Time from the stop signal until callers' idle connections are closed. The balancer probes
# readiness every second and stops sending callers after two failed probes.
_DRAIN_NOTICE_S = 2.6
# Reserved at the end of the stop limit to write the remaining output and exit.
_EXIT_MARGIN_S = 0.7
# Reserved at the end of the stop limit for the interpreter's exit, after the log is written.
_INTERPRETER_EXIT_S = 0.2
# Time at the end of the shutdown for the error responses of requests that are still in progress and
# for output that callers have not taken yet.
_FLUSH_PERIOD_S = 0.3
_PERIODIC_CHECKS_INTERVAL_S = 0.25
_CONNECTION_CLEANUP_INTERVAL_S = 1.0
# Reading and validating the settings takes about 2 ms.
_SETTINGS_CHECK_INTERVAL_S = 2.0
# Pause before a failed task is restarted, so that a persistent fault does not occupy the core.
_TASK_RESTART_DELAY_S = 0.5
# A node without contact to anything outside its zone for this long reports that it is not ready.
_ISOLATION_TIMEOUT_S = 1.5
# A new node is not ready until it has recovered the index of cached parts, but for at most this
# long: prefilling some prompts again costs less than leaving the node unused.
_MAX_RECOVERY_WAIT_S = 1.0
# Memory and connections of the ports for readiness and for metrics; each has a few readers.
_OWN_PORT_BYTES = 4_000_000
_OWN_PORT_CONNECTIONS = 64
# Bytes that a peer may add to the head of a request that it forwards.
_FORWARDING_HEADER_BYTES = 8_192
# Interval of the checks for answers that nobody reads, and of the measurement of the process's own
# memory.
_MEMORY_CHECK_INTERVAL_S = 0.5
# Settings that a running process cannot change.
_FIELDS_THAT_NEED_A_RESTART = (
    "node",
    "zone",
    "addresses",
    "store",
    "first_start",
    "memory_limit_mb",
    "max_open_files",
    "callers",
    "admin_key_file",
)
PROGRAM = "tanager-edge"


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """The platform's implementations of the protocols in `tanagerworks.edge.interfaces`."""

    store: PublishedStore
    caller_dialect: CallerDialect
    backend_dialect: BackendDialect
    peer_finder: PeerFinder


class EdgeProcess:
    """Connects the components of one edge process and runs them."""

    def __init__(
        self,
        settings: EdgeSettings,
        adapter: PlatformAdapter,
        reload_settings: Callable[[], EdgeSettings],
    ) -> None:
        self.settings = settings
        # The settings as last read from the file; fields that need a restart may differ.
        self.file_settings = settings
        self.reload_settings = reload_settings
        self.peer_finder = adapter.peer_finder
        started_s = time.monotonic()
        self.metrics = EdgeMetrics()
        self.metrics.on_pending_full = self._install_metrics
        self.dispatcher = Dispatcher(
            settings.node, _fleet_bounds(settings.bounds), PeerTable(started_s)
        )
        if settings.first_start:
            self.dispatcher.directory.versions.record_first_start()
        self.store_view = StoreView(adapter.store, self.dispatcher)
        self.store_role = StoreRole(
            settings.node,
            settings.zone,
            self.dispatcher.peer_table,
            self.store_view,
            settings.bounds.leaving_notice_s,
        )
        store = settings.store
        self.follower = StoreFollower(
            adapter.store,
            self.store_view,
            self.metrics,
            store.wait_s,
            store.timeout_s,
            self.store_role,
        )
        self.pipeline = Pipeline(
            self.dispatcher,
            adapter.caller_dialect,
            adapter.backend_dialect,
            settings.zone,
            self.metrics,
        )
        self.pipeline.backend_exchange.account_for_suspension = (
            self.store_view.account_for_suspension
        )
        self.copy_check = CopyCheck(
            adapter.store.with_own_connection(), self.store_view, self.metrics
        )
        self.pipeline.catch_up = self.copy_check.catch_up
        self.store_view.on_changed = self._on_store_view_change
        self.peer_exchange = PeerExchange(
            settings.node,
            settings.addresses.peers,
            settings.zone,
            time.time_ns(),
            self.dispatcher,
            self.store_view,
            adapter.peer_finder,
            self.pipeline.stream_origins,
        )
        self.peer_exchange.reaches_no_server = lambda: self.pipeline.reachability_check.is_cut_off
        self.pipeline.on_reachability_changed = self.peer_exchange.announce
        self.peer_exchange.on_peer_state_applied = self.pipeline.placer.wake_first_waiters
        self.cache_recovery = CacheRecovery(
            settings.node,
            settings.zone,
            self.peer_exchange.incarnation,
            self.dispatcher,
            self.store_view,
            adapter.backend_dialect,
            self.pipeline.caches_recovered,
        )
        self.store_view.on_store_changed = self.peer_exchange.announce_in_zone
        self.peer_exchange.is_following_store = self.follower.is_reliable
        self._apply_hedging(settings.hedging)
        self.caller_memory = MemoryBudget(0)
        self._measure_own_memory()
        self.caller_server = HttpServer(
            self.pipeline.handle_request,
            self._caller_limits,
            self.caller_memory,
            caller_connections(open_files_limit(settings.max_open_files)),
            settings.callers.body_timeout_s,
        )
        self.forwarding_server = HttpServer(
            self._serve_forwarded,
            self._forwarding_limits,
            self.caller_memory,
            self.caller_server.max_connections,
            settings.callers.body_timeout_s,
            self.caller_server.connections,
        )
        self.forwarding_server.error_headers = error_headers
        self.readiness_server, self.metrics_server = (
            HttpServer(handler, CallerLimits, MemoryBudget(_OWN_PORT_BYTES), _OWN_PORT_CONNECTIONS)
            for handler in (self._respond_readiness, self._respond_metrics)
        )
        self.admin_server = self._create_admin_server()
        self.stop_requested = asyncio.Event()
        # When the stop signal came; event loop time, that is, of the monotonic clock.
        self.signalled_s = math.inf
        # Whether the time is over in which the balancer may not know of the shutdown yet.
        self.drain_notice_over = False
        self.tasks: list[asyncio.Task[None]] = []

    def _on_store_view_change(self) -> None:
        if self.store_view.complete:
            self.pipeline.view_complete.set()
        self.caller_server.apply_limits()
        self.pipeline.placer.wake_first_waiters()

    def _caller_limits(self) -> CallerLimits:
        configuration = self.dispatcher.configuration
        return configuration.limits if configuration is not None else CallerLimits()

    def _forwarding_limits(self) -> CallerLimits:
        """Returns the limits on requests of peers, whose heads are longer than those of callers."""
        limits = self._caller_limits()
        header_bytes = limits.max_header_bytes + _FORWARDING_HEADER_BYTES
        return replace(limits, max_header_bytes=header_bytes)

    async def _serve_forwarded(self, head: RequestHead, body: bytes, responder: Responder) -> None:
        """Serves a request that a peer got from a caller and cannot send to any server."""
        hosts = {address.rpartition(":")[0] for address in self.dispatcher.peer_table.addresses}
        if responder.caller_host not in hosts:
            raise PermissionDeniedError("only known nodes may forward requests")
        forwarded = parse_forwarded_request(head)
        await self.pipeline.handle_request(without_forwarding(head), body, responder, forwarded)

    async def run(self, caller_listener: socket.socket | None = None) -> int:
        """Serves until a stop signal; returns the exit status.

        `caller_listener` is the listening socket of the callers' port if it is already open.

        Raises:
            OSError: one of the ports cannot be opened.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
            # Runs as soon as the interpreter does, also while the event loop is held up.
            signal.signal(number, self._record_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        addresses = self.settings.addresses
        peers_host, peers_port = _split_address(addresses.peers)
        await loop.create_datagram_endpoint(
            lambda: self.peer_exchange, local_addr=(peers_host, peers_port)
        )
        copy_server = await asyncio.start_server(
            self.peer_exchange.accept_copy_request, peers_host, peers_port
        )
        await self.readiness_server.listen(*_split_address(addresses.readiness), BACKLOG)
        if caller_listener is None:
            await self.caller_server.listen(*_split_address(addresses.callers), BACKLOG)
        else:
            await self.caller_server.accept_from(caller_listener, BACKLOG)
        await self.metrics_server.listen(*_split_address(addresses.metrics), BACKLOG)
        await self._open_admin_address()
        await self._open_forwarding_address()
        for task_function in (
            self._run_periodic_checks,
            self.follower.run,
            self.peer_exchange.run,
            self._clean_up_connections,
            self.cache_recovery.run,
            self._watch_settings,
            self._watch_memory,
            self.pipeline.reachability_check.run,
        ):
            self.tasks.append(loop.create_task(_run_with_restarts(task_function)))
        _LOGGER.info(
            "started",
            extra={
                "node": self.settings.node,
                "version": __version__,
                "first_start": bool(self.settings.first_start),
            },
        )
        # Objects created during start-up live as long as the process; collections can skip them.
        # The start script has disabled the collector to shorten the start.
        gc.freeze()
        gc.enable()
        await self.stop_requested.wait()
        await self._shut_down()
        copy_server.close()
        return 0

    @property
    def log_deadline_s(self) -> float:
        """By when the log has to be written at the exit, in seconds of the monotonic clock."""
        return self.signalled_s + self.settings.bounds.stop_limit_s - _INTERPRETER_EXIT_S

    def _record_stop_signal(self, _number: int, _frame: FrameType | None) -> None:
        self.signalled_s = min(self.signalled_s, time.monotonic())

    def _create_admin_server(self) -> HttpServer | None:
        """Returns the server of the administration address; None if that is off.

        A key file or an address that cannot be used must not keep the node from serving callers.
        """
        if self.settings.addresses.admin is None or self.settings.admin_key_file is None:
            return None
        # Most nodes do not need these modules.
        from tanagerworks.edge.admin_port import AdminPort, read_key_digests
        from tanagerworks.edge.route_explanation import RouteExplainer

        try:
            digests = read_key_digests(self.settings.admin_key_file)
        except SettingsError as error:
            _LOGGER.error("the administration address stays closed", extra={"reason": str(error)})
            return None
        explainer = RouteExplainer(self.pipeline, self.settings.node)
        return AdminPort(explainer, digests).create_server()

    async def _open_admin_address(self) -> None:
        address = self.settings.addresses.admin
        if self.admin_server is None or address is None:
            return
        try:
            await self.admin_server.listen(*_split_address(address), BACKLOG)
        except OSError as error:
            _LOGGER.error("the administration address stays closed", extra={"reason": str(error)})

    async def _open_forwarding_address(self) -> None:
        """Lets peers forward requests to this node; a node that cannot still serves callers."""
        address = self.settings.addresses.forwarding
        if address is None:
            reason = "the settings state no address with a port"
            _LOGGER.info("the forwarding address stays closed", extra={"reason": reason})
            return
        host, port = _split_address(address)
        try:
            await self.forwarding_server.listen(host, port, BACKLOG)
        except OSError as error:
            _LOGGER.error("the forwarding address stays closed", extra={"reason": str(error)})
            return
        self.peer_exchange.forwarding_port = port

    def is_ready(self) -> bool:
        """Whether the balancer may send new connections here."""
        if self.stop_requested.is_set() or not self.store_view.complete:
            return False
        age_s = asyncio.get_running_loop().time() - self.pipeline.created_s
        if not self.pipeline.caches_recovered.is_set() and age_s < _MAX_RECOVERY_WAIT_S:
            return False
        return not self.check_isolation()

    def check_isolation(self) -> bool:
        """Returns whether neither the store nor any peer in another zone is reachable.

        Without a message from another zone for `_ISOLATION_TIMEOUT_S`, replaces the pending read of
        the store by a short one to check it; the result is that of the last read. The balancer
        sends callers of an isolated node to nodes that reach more backend servers. Returns False if
        no peer in another zone is known.
        """
        now_s = asyncio.get_running_loop().time()
        outside = [
            peer
            for peer in self.dispatcher.peer_table.peers.values()
            if peer.zone != self.settings.zone
        ]
        if not outside or any(now_s - peer.last_seen_s < _ISOLATION_TIMEOUT_S for peer in outside):
            return False
        self.follower.check_store_now()
        return not self.follower.connected

    async def _respond_readiness(
        self, head: RequestHead, body: bytes, responder: Responder
    ) -> None:
        responder.send_response(200 if self.is_ready() else 503, [], b"")

    async def _respond_metrics(self, head: RequestHead, body: bytes, responder: Responder) -> None:
        self._install_metrics()
        from tanagerworks.telemetry.metrics import METRICS_CONTENT_TYPE, render_metrics

        headers = [(b"content-type", METRICS_CONTENT_TYPE.encode())]
        responder.send_response(200, headers, render_metrics())

    async def _clean_up_connections(self) -> None:
        await self.pipeline.backend_exchange.run_connection_cleanup(_CONNECTION_CLEANUP_INTERVAL_S)

    async def _watch_memory(self) -> None:
        """Bounds what callers hold, by what the process itself takes before they hold much."""
        while True:
            self._measure_own_memory()
            self.caller_server.check_memory()
            self.forwarding_server.ends.log()
            await asyncio.sleep(_MEMORY_CHECK_INTERVAL_S)

    def _measure_own_memory(self) -> None:
        # Once callers have held much, gaps that they left cannot be told from other memory.
        if self.caller_memory.is_quiet():
            self.caller_memory.set_limit(self.settings.memory_limit_bytes, resident_bytes())

    def _install_metrics(self) -> None:
        """Imports the metrics SDK, at the first call, and creates the instruments."""
        if self.metrics.meter is not None:
            return
        from tanagerworks.telemetry.metrics import create_meter

        self.metrics.bind_meter(create_meter(PROGRAM))
        add_gauge = self.metrics.add_gauge
        add_gauge(
            "tanager.requests.active", "{request}", "Requests in progress.", self._active_requests
        )
        add_gauge(
            "tanager.requests.waiting", "{request}", "Requests that wait.", self._waiting_requests
        )
        add_gauge("tanager.repeats.left", "{request}", "Repeats left.", self._retries_left)
        add_gauge("tanager.belief.age", "s", "Age of what the node believes.", self._view_ages_s)
        add_gauge("tanager.fleet.size", "{node}", "Nodes heard and assumed.", self._fleet_size)
        add_gauge("tanager.server.running", "{request}", "Load by server.", self._server_loads)
        add_gauge("tanager.server.slowdown", "1", "Slower servers.", self._server_slowdowns)
        add_gauge("tanager.server.limit", "{request}/s", "Limits of servers.", self._server_limits)
        add_gauge(
            "tanager.parts.quarantined",
            "{suspect}",
            "Prompt parts and requests refused.",
            self._quarantined_parts,
        )
        add_gauge(
            "tanager.servers.unreachable", "1", "Whether no server is reached.", self._is_cut_off
        )
        add_gauge("tanager.logs.dropped", "{record}", "Log records dropped.", self._dropped_logs)
        add_gauge(
            "tanager.connections.ended",
            "{connection}",
            "Callers' connections ended or refused, by reason.",
            lambda: dict(self.caller_server.ends.total),
        )
        add_gauge("tanager.callers.memory", "By", "Memory for callers.", self._caller_memory)

    def _active_requests(self) -> dict[str, float]:
        return {"node": self.pipeline.active_requests}

    def _waiting_requests(self) -> dict[str, float]:
        return {name: len(queue) for name, queue in self.dispatcher.queues.items()}

    def _retries_left(self) -> dict[str, float]:
        now_s = asyncio.get_running_loop().time()
        nodes = self.dispatcher.peer_table.assumed_fleet_size(now_s)
        return {
            name: budget.remaining_retries(nodes, now_s)
            for name, budget in self.dispatcher.retry_budgets.items()
        }

    def _view_ages_s(self) -> dict[str, float]:
        now_s = asyncio.get_running_loop().time()
        ages = {
            peer.name: now_s - peer.last_seen_s
            for peer in self.dispatcher.peer_table.live_peers(now_s)
        }
        if self.follower.is_following:
            ages["store"] = now_s - self.follower.last_response_s
        copy_age_s = self.store_view.age_s(now_s)
        if math.isfinite(copy_age_s):
            ages["copy"] = copy_age_s
        return ages

    def _fleet_size(self) -> dict[str, float]:
        now_s = asyncio.get_running_loop().time()
        peer_table = self.dispatcher.peer_table
        return {
            "heard": len(list(peer_table.live_peers(now_s))),
            "assumed": peer_table.assumed_fleet_size(now_s),
        }

    def _server_loads(self) -> dict[str, float]:
        now_s = asyncio.get_running_loop().time()
        servers = self.dispatcher.directory.servers.values()
        return {state.server_id: state.load(now_s) for state in servers}

    def _server_slowdowns(self) -> dict[str, float]:
        return self.peer_exchange.load_reports.slowdowns(asyncio.get_running_loop().time())

    def _server_limits(self) -> dict[str, float]:
        servers = self.dispatcher.directory.servers.values()
        return {
            state.server_id: state.limit_per_s for state in servers if state.limit_per_s is not None
        }

    def _is_cut_off(self) -> dict[str, float]:
        return {"node": float(self.pipeline.reachability_check.is_cut_off)}

    def _quarantined_parts(self) -> dict[str, float]:
        return {"node": len(self.dispatcher.crash_evidence.quarantines)}

    def _caller_memory(self) -> dict[str, float]:
        memory = self.caller_memory
        return {"held": memory.taken_bytes(), "limit": memory.limit_bytes}

    def _dropped_logs(self) -> dict[str, float]:
        handlers = logging.getLogger().handlers
        return {
            "node": sum(
                handler.dropped_total
                for handler in handlers
                if isinstance(handler, BoundedQueueHandler)
            )
        }

    async def _run_periodic_checks(self) -> None:
        """Applies held deletions, wakes queued requests and checks whether the node is isolated."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_PERIODIC_CHECKS_INTERVAL_S)
            for server_id in self.dispatcher.directory.apply_held_deletions(loop.time()):
                _LOGGER.info("server entry", extra={"server": server_id, "event": "gone"})
            for zone in self.dispatcher.directory.apply_held_returns(loop.time()):
                _LOGGER.info("zone back in service", extra={"zone": zone, "source": "timeout"})
            self.pipeline.placer.wake_first_waiters()
            if self.stop_requested.is_set():
                # Refuses those that cannot end in time, so that their callers turn to other nodes.
                self.pipeline.placer.wake_all_waiters()
                # `_shut_down` closes the connections.
                continue
            isolated = self.store_view.complete and self.check_isolation()
            if isolated != self.caller_server.closing_connections:
                message = "node is isolated" if isolated else "node is no longer isolated"
                _LOGGER.warning(message, extra={"zone": self.settings.zone})
            # The balancer moves new connections only; callers on persistent ones have to reconnect.
            self.caller_server.closing_connections = isolated

    async def _watch_settings(self) -> None:
        """Applies changes of the settings file without a signal."""
        while True:
            await asyncio.sleep(_SETTINGS_CHECK_INTERVAL_S)
            self._reload(log_unchanged=False)

    def _reload(self, log_unchanged: bool = True) -> None:
        """Reads the settings file again and applies its changes; an invalid file changes nothing.

        Without `log_unchanged`, nothing is logged for a file that has not changed since the last
        reload.
        """
        try:
            settings = self.reload_settings()
        except SettingsError as error:
            _LOGGER.error("settings not reloaded", extra={"reason": error.message})
            return
        if settings != self.file_settings or log_unchanged:
            self._apply_settings(settings)

    def _apply_settings(self, settings: EdgeSettings) -> None:
        """Applies the seed addresses, the bounds, the hedging and the log level.

        A node has one name, zone, set of addresses and store for the lifetime of its process.
        Changes of these fields are logged and have no effect until it restarts.
        """
        self.file_settings = settings
        kept = {name: getattr(self.settings, name) for name in _FIELDS_THAT_NEED_A_RESTART}
        ignored = sorted(name for name in kept if getattr(settings, name) != kept[name])
        self.settings = settings.model_copy(update=kept)
        self.peer_finder.apply_settings(self.settings)
        self.dispatcher.apply_bounds(_fleet_bounds(self.settings.bounds))
        self.store_role.leaving_notice_s = self.settings.bounds.leaving_notice_s
        self._apply_hedging(self.settings.hedging)
        logging.getLogger().setLevel(self.settings.log_level.upper())
        _LOGGER.info("settings reloaded", extra={"ignored_until_restart": ignored})

    def _apply_hedging(self, settings: HedgingSettings) -> None:
        """Turns hedging on or off, or changes when it is done; requests in progress go on."""
        if not settings.enabled:
            self.pipeline.hedger = None
            self.peer_exchange.route_times = None
            return
        try:
            # Imports the histogram library, which nodes without hedging do not need.
            from tanagerworks.edge.hedging import Hedger, hedging_policy
        except ImportError as error:
            _LOGGER.error("hedging stays off", extra={"reason": str(error)})
            return
        if self.pipeline.hedger is None:
            self.pipeline.hedger = Hedger(
                self.pipeline, self.settings.zone, hedging_policy(settings)
            )
        self.pipeline.hedger.policy = hedging_policy(settings)
        self.peer_exchange.route_times = self.pipeline.hedger.route_times

    async def _shut_down(self) -> None:
        """Completes the running requests within the stop limit, then stops the tasks."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        self.signalled_s = min(self.signalled_s, now_s)
        stop_limit_s = self.settings.bounds.stop_limit_s
        shutdown_deadline_s = self.signalled_s + stop_limit_s - _EXIT_MARGIN_S
        _LOGGER.info(
            "stopping",
            extra={
                "active": self.pipeline.active_requests,
                "connections": len(self.caller_server.connections),
                "noticed_after_ms": round(1000 * (now_s - self.signalled_s), 1),
            },
        )
        self.caller_server.closing_connections = True
        # Callers count the notice from the signal; the balancer, from the first probe that fails.
        self.pipeline.begin_shutdown(
            shutdown_deadline_s, self.signalled_s + _DRAIN_NOTICE_S, self.signalled_s
        )
        self.peer_exchange.stopping = True
        try:
            self.peer_exchange.announce()
        except Exception:
            # The regular messages repeat it, and the requests in progress do not depend on it.
            _LOGGER.exception("shutdown not announced to the peers")
        await asyncio.sleep(min(_DRAIN_NOTICE_S, shutdown_deadline_s - now_s))
        self.drain_notice_over = True
        self.caller_server.close_idle_connections()
        while loop.time() < shutdown_deadline_s and self.caller_server.connections:
            self.caller_server.close_idle_connections()
            await asyncio.sleep(0.1)
        active = self.pipeline.active_requests
        self.pipeline.expire_requests()
        self.caller_server.close_listener()
        self.forwarding_server.close_listener()
        flushed_by_s = loop.time() + _FLUSH_PERIOD_S
        while loop.time() < flushed_by_s and (
            self.pipeline.active_requests or self.caller_server.has_unsent_output()
        ):
            await asyncio.sleep(0.01)
        self._log_stopped(active)
        for task in self.tasks:
            task.cancel()

    def _log_stopped(self, expired: int) -> None:
        """Logs what a shutdown leaves behind; `expired` requests were in progress at its end."""
        for server in (self.caller_server, self.forwarding_server):
            server.ends.log()
        shutdown = self.pipeline.shutdown
        assert shutdown is not None
        connections = self.caller_server.connections
        level = logging.WARNING if connections or expired else logging.INFO
        _LOGGER.log(
            level,
            "stopped",
            extra={
                "took_ms": round(
                    1000 * (asyncio.get_running_loop().time() - shutdown.signalled_s), 1
                ),
                "requests": {fate.value: count for fate, count in shutdown.fates.items()},
                "expired": expired,
                "active": self.pipeline.active_requests,
                "connections_left": len(connections),
                "incomplete_requests": sum(
                    connection.is_reading_request() for connection in connections
                ),
                "unsent_bytes": sum(connection.unsent_bytes for connection in connections),
            },
        )
        self.pipeline.exiting = True


async def _run_with_restarts(task_function: Callable[[], Awaitable[None]]) -> None:
    """Runs a background task; logs an exception and restarts the task after a pause."""
    while True:
        try:
            return await task_function()
        except Exception:
            _LOGGER.exception("task failed; starting it again")
            await asyncio.sleep(_TASK_RESTART_DELAY_S)


def _fleet_bounds(bounds: EdgeBounds) -> FleetBounds:
    return FleetBounds(
        bounds.repeat_ratio,
        bounds.repeat_minimum,
        bounds.repeat_window_s,
        bounds.cold_factor,
        bounds.cold_extra,
        NoticeBounds(bounds.leaving_notice_s, bounds.zone_notice_s),
    )


def _split_address(address: str) -> tuple[str, int]:
    host, _colon, port = address.rpartition(":")
    return host, int(port)
