"""Command line and wiring of ``tanager-agent``."""

import asyncio
import json
import logging
import signal

import yaml
from grpc.aio import server as create_grpc_server
from pydantic import ValidationError

from tanagerworks.agent.platform_client import PlatformClient
from tanagerworks.agent.router_service import RouterService
from tanagerworks.agent.state import AgentState
from tanagerworks.errors import PlatformError
from tanagerworks.note.model import Note
from tanagerworks.program import EXIT_OK, run_with_settings
from tanagerworks.rpc.tanager_pb2_grpc import add_NodeAgentServicer_to_server
from tanagerworks.settings.agent import AgentSettings

_LOGGER = logging.getLogger(__name__)
_PLATFORM_RETRY_S = 0.5
_STOP_GRACE_S = 0.5


async def _follow_platform(settings: AgentSettings, state: AgentState) -> None:
    client = PlatformClient(settings.platform_url, settings.platform_timeout_s)
    revision: str | None = None
    while True:
        try:
            value = await asyncio.to_thread(
                client.read, "release-note-full", revision, settings.platform_watch_s
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
            _LOGGER.error("refused a release note", extra={"error": str(error)})
            continue
        if state.note is None or note.serial > state.note.serial:
            state.accept(note)
            _LOGGER.info("release note in force", extra={"serial": note.serial})


async def _serve(settings: AgentSettings) -> None:
    state = AgentState(settings.node_id, invariants=settings.invariants)
    router_link = create_grpc_server()
    add_NodeAgentServicer_to_server(RouterService(state), router_link)
    router_link.add_insecure_port(settings.router_link_address)
    await router_link.start()
    follower = asyncio.create_task(_follow_platform(settings, state))
    ticker = asyncio.create_task(state.run_ticks())
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    clean = await state.drain(settings.drain_notice_s, settings.drain_limit_s)
    _LOGGER.info("stopping", extra={"clean": clean})
    follower.cancel()
    ticker.cancel()
    # All watches end when the state stops; a call that is still open then has no caller.
    await router_link.stop(_STOP_GRACE_S)


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
