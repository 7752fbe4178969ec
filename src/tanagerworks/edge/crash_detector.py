"""Finds out whether a backend server that broke off a response has crashed.

A server that resets single connections accepts new ones; the port of a crashed one refuses them.
"""

import asyncio
import logging

from tanagerworks.dispatch.dispatcher import DispatchRequest
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.backend_connection import open_connection
from tanagerworks.edge.request_state import MAX_LOGGED_PARTS, Attempt
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import BackendConnectError, BackendConnectionRefusedError

_LOGGER = logging.getLogger(__name__)

_CHECK_TIMEOUT_S = 0.15


class CrashDetector:
    """Checks each server process once when it disconnects, with one new connection."""

    def __init__(self, metrics: EdgeMetrics) -> None:
        self.metrics = metrics
        # Shared prompt parts of the attempts that ended before their answers began, by the server
        # whose check is in progress.
        self.parts_in_check: dict[str, set[str]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def record_disconnect(self, dispatch_request: DispatchRequest, attempt: Attempt) -> None:
        """Starts a check of the attempt's server, or adds the attempt to the check in progress."""
        state = attempt.state
        if state.entry.leaving or state.removed:
            return
        prompt = dispatch_request.prompt
        part_ids: tuple[str, ...] = ()
        if prompt is not None and not attempt.answer_under_way:
            part_ids = prompt.shared_part_ids
        pending = self.parts_in_check.get(state.server_id)
        if pending is not None:
            pending.update(part_ids)
            return
        if state.crashed:
            self._record_parts(state, part_ids)
            return
        self.parts_in_check[state.server_id] = set(part_ids)
        task = asyncio.get_running_loop().create_task(self._check(state))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _check(self, state: ServerState) -> None:
        try:
            connection = await open_connection(state.entry.host, state.entry.port, _CHECK_TIMEOUT_S)
            connection.close()
            _LOGGER.info(
                "server closed a connection and accepts new ones",
                extra={"server": state.server_id},
            )
        except BackendConnectionRefusedError:
            state.crashed = True
        except BackendConnectError as error:
            _LOGGER.info(
                "server closed a connection; whether it crashed is unknown",
                extra={"server": state.server_id, "reason": error.message},
            )
        finally:
            part_ids = self.parts_in_check.pop(state.server_id)
        if not state.crashed:
            return
        self.metrics.record_server_crash(state.entry.service)
        self._record_parts(state, part_ids)

    def _record_parts(self, state: ServerState, part_ids: set[str] | tuple[str, ...]) -> None:
        _LOGGER.warning(
            "server crashed",
            extra={
                "server": state.server_id,
                "parts_before_answer": sorted(part_ids)[:MAX_LOGGED_PARTS],
            },
        )
