"""Finds out whether a backend server that broke off a response has crashed.

A server that resets single connections accepts new ones; the port of a crashed one refuses them.
"""

import asyncio
import logging

from tanagerworks.dispatch.crash_evidence import REQUEST_DEPTH, Suspect, suspect_key
from tanagerworks.dispatch.dispatcher import Dispatcher, DispatchRequest
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.reachability_check import ReachabilityCheck
from tanagerworks.edge.request_state import MAX_LOGGED_ID_LENGTH, MAX_LOGGED_SUSPECTS, Attempt
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import BackendConnectError, BackendConnectionRefusedError

_LOGGER = logging.getLogger(__name__)


class CrashDetector:
    """Checks each server process once when it disconnects, with one new connection."""

    def __init__(
        self, dispatcher: Dispatcher, metrics: EdgeMetrics, reachability_check: ReachabilityCheck
    ) -> None:
        self.dispatcher = dispatcher
        self.reachability_check = reachability_check
        self.metrics = metrics
        # The checks in progress, and the suspects found so far by their id, by server id.
        self.checks: dict[str, asyncio.Task[None]] = {}
        self.suspects: dict[str, dict[str, Suspect]] = {}

    def record_disconnect(
        self, dispatch_request: DispatchRequest, attempt: Attempt
    ) -> asyncio.Task[None] | None:
        """Starts a check of the attempt's server, or adds the attempt to the check in progress.

        Returns the check, or None if the server needs none. A server that is leaving ends on
        purpose and is not checked.
        """
        state = attempt.state
        if state.leaving or state.removed:
            return None
        found = _find_suspects(dispatch_request, attempt, asyncio.get_running_loop().time())
        if state.crashed:
            self._record_crash(state, found)
            return None
        suspects = self.suspects.setdefault(state.server_id, {})
        for suspect_id, suspect in found.items():
            known = suspects.get(suspect_id)
            suspects[suspect_id] = suspect if known is None else known.merge(suspect)
        check = self.checks.get(state.server_id)
        if check is None:
            check = asyncio.get_running_loop().create_task(self._check(state))
            self.checks[state.server_id] = check
        return check

    async def _check(self, state: ServerState) -> None:
        try:
            connection = await self.reachability_check.open_connection(state)
            connection.close()
            _LOGGER.info(
                "server closed a connection and accepts new ones", extra={"server": state.server_id}
            )
        except BackendConnectionRefusedError:
            # A node that is cut off may be refused by all servers, which have not crashed.
            state.crashed = not await self.reachability_check.settle()
        except BackendConnectError as error:
            _LOGGER.info(
                "server closed a connection; whether it crashed is unknown",
                extra={"server": state.server_id, "reason": error.message},
            )
        finally:
            del self.checks[state.server_id]
            suspects = self.suspects.pop(state.server_id)
        if state.crashed:
            self.metrics.record_server_crash(state.entry.service)
            self._record_crash(state, suspects)

    def _record_crash(self, state: ServerState, suspects: dict[str, Suspect]) -> None:
        _LOGGER.warning(
            "server crashed",
            extra={
                "server": state.server_id,
                # The keys by which later records of all nodes name the suspects.
                "before_answer": {
                    suspect_id[:MAX_LOGGED_ID_LENGTH]: f"{suspect_key(suspect_id):016x}"
                    for suspect_id in sorted(suspects)[:MAX_LOGGED_SUSPECTS]
                },
            },
        )
        by_key = {suspect_key(suspect_id): suspect for suspect_id, suspect in suspects.items()}
        self.dispatcher.record_crash(state, by_key, asyncio.get_running_loop().time())


def _find_suspects(
    dispatch_request: DispatchRequest, attempt: Attempt, now_s: float
) -> dict[str, Suspect]:
    """Returns a request whose answer was not under way and its shared parts, by id."""
    if attempt.answer_under_way:
        return {}
    in_flight_s = now_s - attempt.sent_s
    return {
        suspect_id: Suspect(
            REQUEST_DEPTH if suspect_id == dispatch_request.identity else depth, in_flight_s
        )
        for depth, suspect_id in enumerate(dispatch_request.suspect_ids)
    }
