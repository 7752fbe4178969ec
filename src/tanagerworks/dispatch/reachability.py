"""Whether a node reaches backend servers at all, by the connections that it opens.

If the connections to several servers fail, either these servers are down or the node is cut off
from all of them. The node tells this by opening connections to servers of all services at once.
"""

import math
import random
from collections.abc import Iterable

from tanagerworks.dispatch.server_state import ServerState

# Servers to which connections have failed, with no other one opened since, before a check begins.
_FAILED_SERVERS_TO_CHECK = 2
# Servers in a check: of a node that may be cut off, and of one that is.
_CHECKED_SERVERS = 6
_CHECKED_WHILE_CUT_OFF = 3
# Servers that must accept a connection to end the conclusion; one may be an exception.
_ACCEPTING_TO_RETURN = 2
# Shortest time between two checks. A node with many failing servers would check all the time.
MIN_CHECK_INTERVAL_S = 0.25


class ServerReachability:
    """Concludes from the connections of one node whether it is cut off from all servers.

    Times are in seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        # When the last connection to each server failed, since any connection was opened.
        self.failed_s: dict[str, float] = {}
        # Start of the latest attempt that opened a connection.
        self.connected_s = -math.inf
        self.checked_s = -math.inf
        # First failure since the last connection was opened, while the node is cut off.
        self.cut_off_since_s: float | None = None

    @property
    def is_cut_off(self) -> bool:
        """Whether the node is taken to reach no server."""
        return self.cut_off_since_s is not None

    @property
    def is_suspect(self) -> bool:
        """Whether the last failure may be due to this node rather than to a server."""
        return self.is_cut_off or bool(self.failed_s)

    def record_connected(self, began_s: float) -> None:
        """Records an open connection; only a check ends the conclusion that the node is cut off."""
        self.connected_s = max(self.connected_s, began_s)
        if not self.is_cut_off:
            self.failed_s.clear()

    def record_failure(self, server_id: str, began_s: float, now_s: float) -> None:
        """Records that a connection that was open, or to be opened from `began_s` on, failed."""
        if began_s >= self.connected_s:
            self.failed_s[server_id] = now_s

    def needs_check(self, now_s: float) -> bool:
        """Whether the node has to find out now whether it is cut off, or still is."""
        if now_s - self.checked_s < MIN_CHECK_INTERVAL_S:
            return False
        return self.is_cut_off or len(self.failed_s) >= _FAILED_SERVERS_TO_CHECK

    def has_unchecked_failure(self) -> bool:
        """Whether a connection failed after the last check, and none was opened since."""
        return max(self.failed_s.values(), default=-math.inf) > self.checked_s

    def choose_checked(
        self, states: Iterable[ServerState], generator: random.Random
    ) -> list[ServerState]:
        """Returns the servers of a check, of as many services as possible."""
        count = _CHECKED_WHILE_CUT_OFF if self.is_cut_off else _CHECKED_SERVERS
        by_service: dict[str, list[ServerState]] = {}
        for state in states:
            by_service.setdefault(state.entry.service, []).append(state)
        ranked: list[tuple[int, ServerState]] = []
        for found in by_service.values():
            generator.shuffle(found)
            ranked.extend(enumerate(found))
        ranked.sort(key=lambda item: item[0])
        return [state for _rank, state in ranked[:count]]

    @property
    def accepting_needed(self) -> int:
        """Number of servers that have to accept a connection in a check."""
        return _ACCEPTING_TO_RETURN if self.is_cut_off else 1

    def record_check(self, accepted: int, checked: int, now_s: float) -> bool:
        """Records how many of the servers of a check accepted a connection.

        Returns whether that changes the conclusion. A check of fewer than two servers says nothing.
        """
        self.checked_s = now_s
        if checked < _ACCEPTING_TO_RETURN:
            return False
        was_cut_off = self.is_cut_off
        if accepted >= self.accepting_needed:
            self.cut_off_since_s = None
        elif not was_cut_off:
            self.cut_off_since_s = min(self.failed_s.values(), default=now_s)
        if not self.is_cut_off:
            self.failed_s.clear()
        return self.is_cut_off != was_cut_off
