"""Command line and process of ``tanager-router``."""

import logging
import os
import signal
import threading
from random import SystemRandom
from types import FrameType

from tanagerworks.program import EXIT_FAILED, EXIT_OK, run_with_settings
from tanagerworks.router.agent_link import AgentLink
from tanagerworks.router.app import CallerApp
from tanagerworks.router.backend_connection import BackendConnectionPool
from tanagerworks.router.caller_server import CallerServer
from tanagerworks.router.engine_client import EngineClient
from tanagerworks.router.invariants import Invariants
from tanagerworks.router.metrics import RouterMetrics
from tanagerworks.router.pipeline import SharedRetryBudget, chat_stages
from tanagerworks.router.relay import EngineRelay
from tanagerworks.router.service_calls import ServiceCaller
from tanagerworks.router.service_endpoint import ServiceEndpoint
from tanagerworks.router.ticket_service import TicketForwarder, TicketService
from tanagerworks.settings.router import RouterSettings
from tanagerworks.telemetry.metrics import create_meter
from tanagerworks.wsgi import WsgiApp, create_server

_LOGGER = logging.getLogger(__name__)

# Threads in addition to those of the streams, for refusals and health checks at full load.
_SPARE_THREADS = 32
_FORWARD_THREADS = 32
# Time for interrupted requests to end their responses with an error.
_INTERRUPT_TIMEOUT_S = 2.0


class Router:
    """Creates and connects the components of a router process."""

    def __init__(self, settings: RouterSettings, metrics: RouterMetrics) -> None:
        self.settings = settings
        self.metrics = metrics
        invariants = Invariants(settings.invariants, _end_process)
        self.link = AgentLink(
            settings.router_id,
            settings.agent_address,
            settings.forward_address,
            max_view_age_s=settings.max_view_age_s,
            agent_loss_grace_s=settings.agent_loss_grace_s,
            invariants=invariants,
        )
        self.connections = BackendConnectionPool(settings.connect_timeout_s)
        random = SystemRandom()
        retry_budget = SharedRetryBudget(self.link, metrics)
        self.relay = EngineRelay(
            self.link,
            EngineClient(self.link, self.connections),
            metrics,
            settings.max_answer_bytes,
        )
        services = ServiceEndpoint(
            self.link,
            ServiceCaller(
                self.connections,
                retry_budget,
                settings.zone,
                random,
                max_answer_bytes=settings.max_answer_bytes,
                check_view=self._check_view,
                invariants=invariants,
            ),
            TicketService(
                self.link.instance_id,
                settings.forward_address,
                lifetime_s=settings.ticket_lifetime_s,
                max_calls=settings.max_ticket_calls,
                max_bytes=settings.max_ticket_bytes,
            ),
            TicketForwarder(self.connections, settings.max_answer_bytes),
        )
        self.app = CallerApp(
            self.link,
            chat_stages(self.link, self.relay, retry_budget, random),
            services,
            metrics,
            settings.max_streams,
        )
        self.caller_server = self._create_server(
            settings.caller_address, self.app, settings.max_streams + _SPARE_THREADS
        )
        self.forward_server = self._create_server(
            settings.forward_address, self.app.serve_forwarded, _FORWARD_THREADS
        )
        metrics.add_gauge(
            "tanager_router_open_chats", "Chats in progress.", lambda: self.app.open_chats
        )
        metrics.add_gauge(
            "tanager_router_open_requests", "Requests in progress.", lambda: self.app.open_requests
        )
        metrics.add_gauge(
            "tanager_router_view_age_seconds",
            "Age of the node agent's view.",
            lambda: self.link.view_age_s,
        )

    def _check_view(self) -> None:
        self.link.fresh_view()

    def _create_server(self, address: str, app: WsgiApp, threads: int) -> CallerServer:
        settings = self.settings
        server = create_server(
            address,
            app,
            threads=threads,
            max_header_bytes=settings.max_header_bytes,
            max_body_bytes=settings.max_body_bytes,
            idle_timeout_s=settings.slow_caller_timeout_s,
            # `drain` enforces the limit, not the server.
            shutdown_timeout_s=settings.drain_limit_s + 3600.0,
            reuse_port=True,
            server_class=CallerServer,
        )
        assert isinstance(server, CallerServer)
        server.request_read_timeout_s = settings.request_read_timeout_s
        return server

    def start(self) -> None:
        """Starts serving in background threads."""
        for server in (self.forward_server, self.caller_server):
            server.prepare()
        self.link.start()
        for server in (self.forward_server, self.caller_server):
            threading.Thread(target=server.serve, name="http-accept", daemon=True).start()

    def drain(self, stop_now: threading.Event) -> int:
        """Shuts down gracefully and returns the exit status.

        New requests are accepted until the listener closes, because the load balancer needs
        `drain_notice_s` to detect that the router is not ready. `stop_now` ends the wait for
        requests in progress.
        """
        self.app.draining = True
        self.caller_server.draining = True
        stop_now.wait(self.settings.drain_notice_s)
        stop_thread = threading.Thread(target=self._stop_servers, name="drain", daemon=True)
        stop_thread.start()
        interrupted = 0
        drain_limit_reached = threading.Event()
        timer = threading.Timer(self.settings.drain_limit_s, drain_limit_reached.set)
        timer.daemon = True
        timer.start()
        while stop_thread.is_alive() and not (stop_now.is_set() or drain_limit_reached.is_set()):
            stop_thread.join(0.05)
        if stop_thread.is_alive():
            interrupted = max(1, self.app.open_requests)
            self.metrics.interrupted.add(interrupted)
            _LOGGER.warning("shutdown interrupts requests", extra={"requests": interrupted})
            self.relay.interrupt_exchanges()
            stop_thread.join(_INTERRUPT_TIMEOUT_S)
        if not self.link.stop():
            _LOGGER.warning("the node agent has not received all releases")
        self.connections.close()
        if stop_thread.is_alive():
            # Worker threads that are still blocked would keep the process from exiting.
            logging.shutdown()
            os._exit(EXIT_FAILED)
        return EXIT_FAILED if interrupted else EXIT_OK

    def _stop_servers(self) -> None:
        self.caller_server.stop()
        self.forward_server.draining = True
        self.forward_server.stop()


def _end_process() -> None:
    """Exits the process at once, so that it serves no request after a violation."""
    logging.shutdown()
    os._exit(EXIT_FAILED)


def serve(settings: RouterSettings) -> int:
    """Serves callers until SIGTERM or SIGINT; returns the exit status.

    A second signal ends the graceful shutdown.
    """
    stopping, stop_now = threading.Event(), threading.Event()

    def stop(_signal: int, _frame: FrameType | None) -> None:
        if stopping.is_set():
            stop_now.set()
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    router = Router(settings, RouterMetrics(create_meter("tanager-router")))
    router.start()
    stopping.wait()
    return router.drain(stop_now)


def run() -> None:
    """Runs the router with the settings named on the command line."""
    run_with_settings(
        "tanager-router",
        "Router: takes callers' requests and serves them from backend servers.",
        RouterSettings,
        serve,
    )
