"""What one node believes about one incarnation of a backend server."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from tanagerworks.published.model import ServerEntry

# Weight of the newest answer in the moving averages. A tenth follows a change within some ten
# answers and does not jump at a single slow one.
_NEWEST_WEIGHT = 0.1
# Service time assumed before the first answer: between the two plain services of today.
_FIRST_SERVICE_TIME_S = 0.05
# A load that a server stated in an answer is used this long: an answer a second old says little
# about a server whose requests take a second.
REPORT_MAX_AGE_S = 0.5
# Failures in a row that set a server aside. One happens by chance; three do not.
FAILURES_TO_EJECT = 3
# Time for which a server is first set aside; it doubles up to the maximum while probes fail.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What one peer has in progress at a server."""

    running: int
    # Prompt tokens sent there that the server had not begun to answer.
    prefill_tokens: int


@dataclass(slots=True)
class ServerState:
    """One incarnation of a backend server; all counts start at zero."""

    entry: ServerEntry
    cold_until_s: float
    # Set when the published entry disappeared; the server gets no new work.
    removed: bool = False
    running: int = 0
    prefill_tokens: int = 0
    # What peers have in progress here, and its sums: a choice reads them for every server.
    peer_loads: dict[str, PeerLoad] = field(default_factory=dict)
    peers_running: int = 0
    peers_prefill_tokens: int = 0
    reported_running: int = 0
    reported_at_s: float = float("-inf")
    service_time_s: float = _FIRST_SERVICE_TIME_S
    failure_share: float = 0.0
    consecutive_failures: int = 0
    ejected_until_s: float = float("-inf")
    ejection_s: float = 0.0
    probing: bool = False

    @property
    def server_id(self) -> str:
        """Id under which the server registered itself."""
        return self.entry.server_id

    @property
    def total_running(self) -> int:
        """Requests in progress there, own and of the peers."""
        return self.running + self.peers_running

    @property
    def total_prefill_tokens(self) -> int:
        """Prompt tokens waiting there to be read, own and of the peers."""
        return self.prefill_tokens + self.peers_prefill_tokens

    def set_peer_load(self, peer: str, load: PeerLoad | None) -> None:
        """Replaces what a peer has in progress here; None for nothing."""
        known = self.peer_loads.pop(peer, None)
        if known is not None:
            self.peers_running -= known.running
            self.peers_prefill_tokens -= known.prefill_tokens
        if load is not None:
            self.peer_loads[peer] = load
            self.peers_running += load.running
            self.peers_prefill_tokens += load.prefill_tokens

    def load(self, now_s: float) -> int:
        """Returns the requests in progress there, by counts or by the server's own fresh word."""
        if now_s - self.reported_at_s > REPORT_MAX_AGE_S:
            return self.total_running
        return max(self.total_running, self.reported_running)

    def is_cold(self, now_s: float) -> bool:
        """Whether the server is still in its cold start."""
        return now_s < self.cold_until_s

    def is_ejected(self, now_s: float) -> bool:
        """Whether the server gets no work now because it failed several times in a row."""
        if self.consecutive_failures < FAILURES_TO_EJECT:
            return False
        return now_s < self.ejected_until_s or self.probing

    def record_start(self, prefill_tokens: int) -> None:
        """Counts a request that is about to be sent."""
        self.running += 1
        self.prefill_tokens += prefill_tokens
        if self.consecutive_failures >= FAILURES_TO_EJECT:
            self.probing = True

    def record_end(self) -> None:
        """Takes back the count of a request that has ended."""
        self.running -= 1
        self.probing = False

    def subtract_prefill_tokens(self, prefill_tokens: int) -> None:
        """Takes back the prompt tokens of a request whose answer began or that has ended."""
        self.prefill_tokens -= prefill_tokens

    def record_success(self, service_time_s: float) -> None:
        """Records a whole answer that took `service_time_s`."""
        self.service_time_s += _NEWEST_WEIGHT * (service_time_s - self.service_time_s)
        self.failure_share -= _NEWEST_WEIGHT * self.failure_share
        self.consecutive_failures = 0
        self.ejection_s = 0.0

    def record_failure(self, now_s: float) -> bool:
        """Records a failure; returns whether the server is set aside by it."""
        self.failure_share += _NEWEST_WEIGHT * (1.0 - self.failure_share)
        self.consecutive_failures += 1
        if self.consecutive_failures < FAILURES_TO_EJECT:
            return False
        self.ejection_s = min(MAX_EJECTION_S, max(FIRST_EJECTION_S, 2.0 * self.ejection_s))
        self.ejected_until_s = now_s + self.ejection_s
        return True


def local_loads(states: Iterator[ServerState]) -> dict[str, PeerLoad]:
    """Returns this node's own part of the load of each server that has any, by server id."""
    return {
        state.server_id: PeerLoad(state.running, state.prefill_tokens)
        for state in states
        if state.running
    }
