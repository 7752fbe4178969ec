"""Command line, start and shutdown of ``tanager-agent``."""

import asyncio
import logging
import signal

from tanagerworks.agent.admin import AdminServer
from tanagerworks.agent.daemon_call import call_in_daemon_thread
from tanagerworks.agent.node import AgentNode
from tanagerworks.agent.operations import AgentOperations
from tanagerworks.agent.state import AgentState
from tanagerworks.audit.trail import AuditTrail, EventKind
from tanagerworks.errors import TanagerError
from tanagerworks.program import EXIT_FAILED, EXIT_OK, run_with_settings
from tanagerworks.settings.agent import AgentSettings
from tanagerworks.telemetry.metrics import create_meter

_LOGGER = logging.getLogger(__name__)
# All watch streams end when the state stops, so no caller waits for a call that is still open.
_STOP_GRACE_S = 0.5


class _Signals:
    """SIGTERM and SIGINT: the first starts the graceful shutdown, the second cuts it short."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.first = asyncio.Event()
        self.second = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._record_signal)

    def _record_signal(self) -> None:
        if self.first.is_set():
            self.second.set()
        self.first.set()


async def _drain(state: AgentState, settings: AgentSettings, signals: _Signals) -> bool:
    drained = asyncio.ensure_future(
        state.drain_for_shutdown(settings.drain_notice_s, settings.drain_limit_s)
    )
    second_signal = asyncio.ensure_future(signals.second.wait())
    await asyncio.wait({drained, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    second_signal.cancel()
    if drained.done():
        return drained.result()
    drained.cancel()
    state.stopping.set()
    state.notify_watchers()
    return False


async def _serve(settings: AgentSettings) -> None:
    loop = asyncio.get_running_loop()
    signals = _Signals(loop)
    state = AgentState(settings.node_id, invariants=settings.invariants)
    subject = f"nodes.{state.node_id}"
    trail = AuditTrail(
        settings.node_id, state.incarnation, max_records=settings.admin.audit_records
    )
    trail.record(EventKind.NODE_STARTED, who="agent", subject=subject, serial=0)
    node = AgentNode(settings, state, trail)
    operations = AgentOperations(
        state,
        trail,
        zone=settings.zone,
        drain_notice_s=settings.drain_notice_s,
        table=node.table,
    )
    meter = create_meter("tanager-agent")
    operations.register_metrics(meter)
    node.register_metrics(meter)
    await node.start()
    admin = AdminServer(settings.admin_address, settings.admin, operations, loop)
    admin.start()
    await signals.first.wait()
    operations.mark_stopping()
    clean = await _drain(state, settings, signals)
    interrupted = len(state.ledger.grants) if not clean else 0
    _LOGGER.info("stopping", extra={"clean": clean, "interrupted": interrupted})
    await node.stop(clean=clean, grace_s=_STOP_GRACE_S)
    trail.record(
        EventKind.NODE_STOPPED,
        who="agent",
        subject=subject,
        serial=node.note_keeper.serial,
        reason="" if clean else f"{interrupted} requests interrupted",
    )
    await call_in_daemon_thread(admin.stop, name="admin-stop")


def serve(settings: AgentSettings) -> int:
    """Serves until SIGTERM or SIGINT; returns the exit status."""
    try:
        asyncio.run(_serve(settings))
    except TanagerError as error:
        _LOGGER.critical(
            "the agent exits after an error", extra={"code": error.code, "error": error.message}
        )
        return EXIT_FAILED
    return EXIT_OK


def run() -> None:
    """Runs the node agent with the settings that the command line names."""
    run_with_settings(
        "tanager-agent",
        "Node agent: reads the platform, exchanges with peers, grants engine slots to routers.",
        AgentSettings,
        serve,
    )
