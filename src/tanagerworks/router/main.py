"""Command line and wiring of ``tanager-router``."""

import signal
import threading
import time
from types import FrameType

from tanagerworks.program import EXIT_OK, run_with_settings
from tanagerworks.router.agent_link import AgentLink
from tanagerworks.router.app import CallerApp
from tanagerworks.router.backend import BackendConnections
from tanagerworks.router.pipeline import chat_stages
from tanagerworks.router.relay import EngineRelay
from tanagerworks.settings.router import RouterSettings
from tanagerworks.wsgi import create_server

# Threads beyond the streams, so that refusals and health checks are answered at full load.
_SPARE_THREADS = 32


def serve(settings: RouterSettings) -> int:
    """Serves callers until a signal; returns the exit status."""
    link = AgentLink(settings.router_id, settings.agent_address, settings.forward_address)
    relay = EngineRelay(link, BackendConnections(settings.connect_timeout_s))
    app = CallerApp(link, chat_stages(link, relay))
    server = create_server(
        settings.caller_address,
        app,
        threads=settings.max_streams + _SPARE_THREADS,
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        idle_timeout_s=settings.slow_caller_timeout_s,
        shutdown_timeout_s=settings.drain_limit_s,
        reuse_port=True,
    )

    def drain() -> None:
        time.sleep(settings.drain_notice_s)
        server.stop()

    def stop(_signal: int, _frame: FrameType | None) -> None:
        app.draining = True
        threading.Thread(target=drain, name="drain").start()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    link.start()
    server.start()
    link.stop()
    return EXIT_OK


def run() -> None:
    """Runs the router that the command line describes."""
    run_with_settings(
        "tanager-router",
        "Router: takes callers' requests and serves them from backend servers.",
        RouterSettings,
        serve,
    )
