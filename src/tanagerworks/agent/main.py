"""Command line and wiring of ``tanager-agent``."""

import asyncio
import json
import logging
import signal
import threading
from collections.abc import Callable
from functools import partial
from typing import TypeVar

import yaml
from grpc.aio import server as create_grpc_server
from pydantic import ValidationError

from tanagerworks.agent.admin import AdminServer
from tanagerworks.agent.operations import AgentOperations
from tanagerworks.agent.platform_client import PlatformClient
from tanagerworks.agent.router_service import RouterService
from tanagerworks.agent.state import AgentState
from tanagerworks.audit.changes import record_note_accepted, record_note_refused
from tanagerworks.audit.trail import AuditTrail, EventKind
from tanagerworks.clock import boot_time_s
from tanagerworks.errors import PlatformError
from tanagerworks.note.model import Note
from tanagerworks.program import EXIT_OK, run_with_settings
from tanagerworks.rpc.tanager_pb2_grpc import add_NodeAgentServicer_to_server
from tanagerworks.settings.agent import AgentSettings
from tanagerworks.telemetry.metrics import create_meter

_LOGGER = logging.getLogger(__name__)
_PLATFORM_RETRY_S = 0.5
_STOP_GRACE_S = 0.5

ResultT = TypeVar("ResultT")


async def _call_in_daemon_thread(function: Callable[[], ResultT]) -> ResultT:
    """Runs a blocking call in a daemon thread.

    The executor of `asyncio.to_thread` is joined at exit, so a pending watch of the platform
    would delay the end of the process by up to `platform_watch_s`.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[ResultT] = loop.create_future()

    def deliver(result: ResultT | None, error: BaseException | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)  # type: ignore[arg-type]

    def run() -> None:
        result, error = None, None
        try:
            result = function()
        except BaseException as raised:
            error = raised
        if not loop.is_closed():
            loop.call_soon_threadsafe(deliver, result, error)

    threading.Thread(target=run, name="platform-read", daemon=True).start()
    return await future


async def _follow_platform(settings: AgentSettings, state: AgentState, trail: AuditTrail) -> None:
    client = PlatformClient(settings.platform_url, settings.platform_timeout_s)
    revision: str | None = None
    while True:
        try:
            value = await _call_in_daemon_thread(
                partial(client.read, "release-note-full", revision, settings.platform_watch_s)
            )
        except PlatformError as error:
            _LOGGER.warning("cannot read the configuration service", extra={"error": str(error)})
            await asyncio.sleep(_PLATFORM_RETRY_S)
            continue
        if value is None:
            if revision is None:
                await asyncio.sleep(_PLATFORM_RETRY_S)
            continue
        revision = value.revision
        try:
            note = Note.model_validate_json(json.dumps(yaml.safe_load(value.content)))
        except (ValidationError, yaml.YAMLError) as error:
            # The text of a validation error quotes the note, which may hold a key by mistake.
            reason = type(error).__name__
            if isinstance(error, ValidationError):
                fault = error.errors(include_input=False, include_url=False)[0]
                reason = f"{'.'.join(str(part) for part in fault['loc'])}: {fault['msg']}"
            _LOGGER.error("refused a release note", extra={"error": reason})
            record_note_refused(trail, state.note, None, reason, "platform")
            continue
        if state.note is None or note.serial > state.note.serial:
            record_note_accepted(trail, state.note, note, "platform")
            state.accept(note)
            _LOGGER.info("release note in force", extra={"serial": note.serial})


async def _serve(settings: AgentSettings) -> None:
    state = AgentState(settings.node_id, invariants=settings.invariants)
    router_link = create_grpc_server()
    add_NodeAgentServicer_to_server(RouterService(state), router_link)
    router_link.add_insecure_port(settings.router_link_address)
    await router_link.start()
    ticker = asyncio.create_task(state.run_ticks())
    loop = asyncio.get_running_loop()
    trail = AuditTrail(
        settings.node_id, int(boot_time_s() * 1000), max_records=settings.admin.audit_records
    )
    trail.record(EventKind.NODE_STARTED, who="agent", subject=f"nodes.{state.node_id}", serial=0)
    operations = AgentOperations(
        state, trail, zone=settings.zone, drain_notice_s=settings.drain_notice_s
    )
    operations.register_metrics(create_meter("tanager-agent"))
    admin = AdminServer(settings.admin_address, settings.admin, operations, loop)
    admin.start()
    follower = asyncio.create_task(_follow_platform(settings, state, trail))
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    operations.begin_stop()
    clean = await state.drain(settings.drain_notice_s, settings.drain_limit_s)
    _LOGGER.info("stopping", extra={"clean": clean})
    follower.cancel()
    ticker.cancel()
    # All watches end when the state stops; a call that is still open then has no caller.
    await router_link.stop(_STOP_GRACE_S)
    serial = state.note.serial if state.note else 0
    trail.record(
        EventKind.NODE_STOPPED, who="agent", subject=f"nodes.{state.node_id}", serial=serial
    )
    await asyncio.to_thread(admin.stop)


def serve(settings: AgentSettings) -> int:
    """Serves until a signal; returns the exit status."""
    asyncio.run(_serve(settings))
    return EXIT_OK


def run() -> None:
    """Runs the node agent that the command line describes."""
    run_with_settings(
        "tanager-agent",
        "Node agent: reads the platform, exchanges with peers, grants engine slots to routers.",
        AgentSettings,
        serve,
    )
