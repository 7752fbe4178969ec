"""Checks whether this node reaches any backend server, by opening connections."""

import asyncio
import logging
import random
from collections.abc import Callable

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.reachability import MIN_CHECK_INTERVAL_S, ServerReachability
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.edge.backend_connection import BackendConnection, open_connection
from tanagerworks.errors import BackendConnectError

_LOGGER = logging.getLogger(__name__)

# Connecting takes one round trip between zones, about 2 ms. TCP retransmits a lost SYN only after
# a second, so an attempt at another server is faster.
CONNECT_TIMEOUT_S = 0.15


class ReachabilityCheck:
    """Opens this node's connections to servers and concludes whether it is cut off from them."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.reachability = ServerReachability()
        self.random = random.Random()
        self.check_task: asyncio.Task[None] | None = None
        # Called when the conclusion has changed.
        self.on_changed: Callable[[], None] = lambda: None

    @property
    def is_cut_off(self) -> bool:
        """Whether the node is taken to reach no server."""
        return self.reachability.is_cut_off

    async def open_connection(self, state: ServerState) -> BackendConnection:
        """Returns a new connection to a server.

        Raises:
            BackendConnectError: the connection was refused, or not accepted in time.
        """
        began_s = asyncio.get_running_loop().time()
        try:
            connection = await open_connection(
                state.entry.host, state.entry.port, CONNECT_TIMEOUT_S
            )
        except BackendConnectError:
            self.record_failure(state, began_s)
            raise
        self.reachability.record_connected(began_s)
        return connection

    def record_failure(self, state: ServerState, began_s: float) -> None:
        """Records a connection that failed, opened or used since event loop time `began_s`."""
        now_s = asyncio.get_running_loop().time()
        self.reachability.record_failure(state.server_id, began_s, now_s)
        self._check_if_due()

    def _check_if_due(self) -> None:
        if self.reachability.needs_check(asyncio.get_running_loop().time()):
            self._start_check()

    def _start_check(self) -> asyncio.Task[None]:
        """Returns the check in progress, or a new one."""
        if self.check_task is None or self.check_task.done():
            self.check_task = asyncio.get_running_loop().create_task(self._check())
        return self.check_task

    async def settle(self) -> bool:
        """Returns whether the node is cut off; first checks if a connection has failed since."""
        running = self.check_task is not None and not self.check_task.done()
        if running or self.reachability.has_unchecked_failure():
            await asyncio.wait([self._start_check()])
        return self.is_cut_off

    async def run(self) -> None:
        """Repeats the check while the node is cut off, until cancelled."""
        while True:
            await asyncio.sleep(MIN_CHECK_INTERVAL_S)
            if self.is_cut_off:
                self._check_if_due()

    async def _check(self) -> None:
        directory = self.dispatcher.directory
        servers = [state for state in directory.servers.values() if not state.removed]
        in_service = [state for state in servers if not directory.is_out_of_service(state)]
        chosen = self.reachability.choose_checked(in_service or servers, self.random)
        accepted = await self._count_accepting(chosen)
        now_s = asyncio.get_running_loop().time()
        since_s = self.reachability.cut_off_since_s
        if not self.reachability.record_check(accepted, len(chosen), now_s):
            return
        if since_s is None:
            since_s = self.reachability.cut_off_since_s or now_s
        # What failed in this time says nothing of the servers.
        self.dispatcher.forget_failures(since_s)
        _LOGGER.warning(
            "node reaches no server" if self.is_cut_off else "node reaches servers again",
            extra={
                "checked": [state.server_id for state in chosen],
                "accepted": accepted,
                "since_s": round(now_s - since_s, 3),
            },
        )
        self.on_changed()

    async def _count_accepting(self, states: list[ServerState]) -> int:
        """Returns how many servers accept a connection, as far as the conclusion needs it."""
        needed = self.reachability.accepting_needed
        pending = {asyncio.ensure_future(self._accepts(state)) for state in states}
        accepted = 0
        while pending and accepted < needed:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            accepted += sum(task.result() for task in done)
        for task in pending:
            task.cancel()
        return accepted

    async def _accepts(self, state: ServerState) -> bool:
        try:
            connection = await open_connection(
                state.entry.host, state.entry.port, CONNECT_TIMEOUT_S
            )
        except BackendConnectError:
            return False
        connection.close()
        return True
