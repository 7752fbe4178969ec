"""Chooses the backend server for one request.

Both choosers look at the same candidates. Requests with prompts go where the deepest shared part
of their prompt is read already; plain requests go where they wait least.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.published.model import Service
from tanagerworks.routing.ranking import rank_equally

# A server gets new work up to this multiple of the mean of its service, and some more so that
# few requests in progress do not count as skew. Both lie below the operators' bound.
_MEAN_MULTIPLE = 1.5
_MEAN_EXTRA = 2.0
# Requests that a plain server may hold beyond its slots, so that a slot that becomes free is
# filled before the next message between nodes.
_PLAIN_EXTRA = 2
# Waiting that a crossing between zones is worth: a message of one millisecond each way.
_OTHER_ZONE_S = 0.002


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, which a server can keep in its cache."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request says of its prompt; the last part is its own."""

    model: str
    parts: tuple[PromptPart, ...]
    max_output_tokens: int

    @property
    def tokens(self) -> int:
        """Length of the whole prompt."""
        return sum(part.tokens for part in self.parts)

    @property
    def shared_key(self) -> str:
        """The deepest part that other requests share, or the only part."""
        if not self.parts:
            return ""
        return self.parts[-2].part_id if len(self.parts) > 1 else self.parts[0].part_id

    @property
    def own_tokens(self) -> int:
        """Tokens that no server has read before this request."""
        return self.parts[-1].tokens if self.parts else 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may get the request, as it looked when the choice was made."""

    state: ServerState
    load: int
    # Whether the cold start or the connection limit forbid a request now.
    closed: bool


@dataclass(frozen=True, slots=True)
class Choice:
    """The server chosen, or None, and why."""

    state: ServerState | None
    reason: str
    # Prompt tokens that the server probably has to read.
    prefill_tokens: int = 0


class ServerChooser(Protocol):
    """Behaviour that differs between services with prompts and plain ones."""

    def choose(
        self, service: Service, candidates: Sequence[Candidate], prompt: Prompt | None, zone: str
    ) -> Choice:
        """Returns the server for one request."""


class PromptChooser:
    """Follows the rank of the shared part; passes over servers above the load bound."""

    def choose(
        self, service: Service, candidates: Sequence[Candidate], prompt: Prompt | None, zone: str
    ) -> Choice:
        """Returns the first server of the rank that has room."""
        if not candidates:
            return Choice(None, "no server")
        by_id = {candidate.state.server_id: candidate for candidate in candidates}
        mean = sum(candidate.load for candidate in candidates) / len(candidates)
        bound = _MEAN_MULTIPLE * mean + _MEAN_EXTRA
        key = prompt.shared_key if prompt is not None else ""
        tokens = prompt.tokens if prompt is not None else 0
        own = prompt.own_tokens if prompt is not None else 0
        for place, server_id in enumerate(rank_equally(key, by_id, len(by_id))):
            candidate = by_id[server_id]
            if candidate.closed or candidate.load >= candidate.state.entry.slots:
                continue
            if candidate.load + 1 > bound:
                continue
            reason = "home" if place == 0 else f"rank {place + 1}"
            return Choice(candidate.state, reason, own if place == 0 else tokens)
        open_ones = [
            candidate
            for candidate in candidates
            if not candidate.closed and candidate.load < candidate.state.entry.slots
        ]
        if not open_ones:
            return Choice(None, "all full")
        least = min(open_ones, key=lambda candidate: candidate.load)
        return Choice(least.state, "least loaded", tokens)


class PlainChooser:
    """Takes the server with the least expected time to the answer."""

    def choose(
        self, service: Service, candidates: Sequence[Candidate], prompt: Prompt | None, zone: str
    ) -> Choice:
        """Returns the server where a request probably ends first."""
        if not candidates:
            return Choice(None, "no server")
        best: ServerState | None = None
        best_s = float("inf")
        for candidate in candidates:
            state = candidate.state
            slots = state.entry.slots
            if candidate.closed or candidate.load >= slots + _PLAIN_EXTRA:
                continue
            rounds = 1.0 + max(0, candidate.load + 1 - slots) / slots
            # Busy servers are slower before they are full, and equal ones should share work.
            crowding = 1.0 + 0.25 * candidate.load / slots
            expected_s = state.service_time_s * rounds * crowding
            expected_s *= 1.0 + 2.0 * state.failure_share
            if state.entry.zone != zone:
                expected_s += _OTHER_ZONE_S
            if expected_s < best_s:
                best, best_s = state, expected_s
        if best is None:
            return Choice(None, "all full")
        return Choice(best, f"expected {best_s * 1000:.0f} ms")
