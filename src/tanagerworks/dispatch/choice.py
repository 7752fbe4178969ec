"""Chooses the backend server for one request.

Both choosers look at the same candidates. Requests with prompts go where most of their prompt
is read already and little waits to be read; plain requests go where they wait least.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from heapq import nsmallest
from typing import Protocol

from tanagerworks.dispatch.cached_parts import CachedPartIndex
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.published.model import Service
from tanagerworks.routing.ranking import rank_equally

# A server gets new work up to this multiple of the mean over all servers of its service, and some
# more so that few requests in progress do not count as skew. Both lie below the operators' bound,
# twice the mean and three, since the loads that a node knows are a fraction of a second old.
_MEAN_MULTIPLE = 1.7
_MEAN_EXTRA = 2.0
# Servers that may get work hold more than the mean of all while a zone is out; they need this
# much room above their own mean.
_OPEN_MULTIPLE = 1.15
_OPEN_EXTRA = 1.0
# Weight of a token that a server has to read for this request against one that it reads for
# others: reading it again delays all requests there and takes memory from other parts.
_READ_WEIGHT = 3.0
# Weight of a token that is copied from another server: it takes about half of the time of
# reading it, and no steps of the requests that run there.
_COPY_WEIGHT = 1.0
# Weight of a token that waits at a server to be read. Servers read some 60 tokens in a
# millisecond, so 10,000 waiting tokens delay a first token by less than the shortest objective of
# 0.3 s. At a weight of 1 such a wait moved parts to servers that had to read them again.
_WAIT_WEIGHT = 0.3
# A copy has a fixed delay of some milliseconds, in which this many tokens are read.
_MIN_COPIED_TOKENS = 512
# A running request delays a first token hardly (it lengthens a step of 4 ms by 0.02 ms), so it
# only spreads requests whose parts no server holds. A higher weight moved parts for nothing.
_TOKENS_PER_RUNNING = 60.0
# Part of the shared tokens that no server holds which a lower rank costs, and a little that
# decides between equal servers: nodes that meet a part at the same time read it at one server
# unless that one has a long queue.
_RANK_WEIGHT = 0.25
_TOKENS_PER_RANK = 20.0
_MAX_RANK = 2
# How much worse a server that fails all requests looks than one that fails none.
_FAILURE_WEIGHT = 4.0
# Requests that a plain server may hold for each of its slots, and some more: those beyond the
# slots fill one that becomes free before the next message between nodes, and loads that are a
# second old vary by about the root of their size.
_PLAIN_PER_SLOT = 1.5
_PLAIN_EXTRA = 2
# Waiting that a crossing between zones is worth: a message of one millisecond each way.
_OTHER_ZONE_S = 0.002


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, which a server can keep in its cache."""

    part_id: str
    tokens: int
    # Names the part for a model, in `CachedPartIndex` and between nodes.
    key: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request says of its prompt; the last part is its own."""

    model: str
    parts: tuple[PromptPart, ...]

    @property
    def tokens(self) -> int:
        """Length of the whole prompt."""
        return sum(part.tokens for part in self.parts)

    @property
    def keys(self) -> tuple[int, ...]:
        """Keys of the parts, in the order of the prompt."""
        return tuple(part.key for part in self.parts)

    @property
    def tokens_after_parts(self) -> tuple[int, ...]:
        """Tokens that follow each number of leading parts, from none to all."""
        left = self.tokens
        after = [left]
        for part in self.parts:
            left -= part.tokens
            after.append(left)
        return tuple(after)

    @property
    def announced_keys(self) -> tuple[int, ...]:
        """Keys that peers need: the deepest shared part, which stands for all before it.

        The last part belongs to one request or chat, whose next request shares the part before.
        """
        return self.keys[-2:-1] or self.keys

    @property
    def shared_part_id(self) -> str:
        """The deepest part that other requests share, or the only part."""
        if not self.parts:
            return ""
        return self.parts[-2].part_id if len(self.parts) > 1 else self.parts[0].part_id

    @property
    def unshared_tokens(self) -> int:
        """Tokens that no server has read before this request."""
        return self.parts[-1].tokens if self.parts else 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may get the request, as it looked when the choice was made."""

    state: ServerState
    load: int
    # Whether the cold start or the connection limit forbid a request now.
    at_limit: bool


@dataclass(frozen=True, slots=True)
class Choice:
    """The server chosen, or None, and why."""

    state: ServerState | None
    reason: str
    # Prompt tokens that the server probably has to read.
    prefill_tokens: int = 0
    # Another server from which it can copy what that one has read.
    copy_from: ServerState | None = None
    # The best candidates by score, the chosen one first; empty when none could be chosen.
    considered: tuple["Considered", ...] = ()


@dataclass(frozen=True, slots=True)
class Considered:
    """A candidate as it was weighed; a lower score is better."""

    server_id: str
    score: float
    load: int
    # Prompt tokens that it does not hold; 0 for plain services.
    uncached_tokens: int


# Candidates that a choice tells of.
_TOLD_CANDIDATES = 3


def _best_considered(considered: list[Considered]) -> tuple[Considered, ...]:
    return tuple(nsmallest(_TOLD_CANDIDATES, considered, key=lambda weighed: weighed.score))


class ServerChooser(Protocol):
    """Behaviour that differs between services with prompts and plain ones."""

    def choose_server(
        self,
        service: Service,
        candidates: Sequence[Candidate],
        sources: Sequence[ServerState],
        prompt: Prompt | None,
        zone: str,
        now_s: float,
    ) -> Choice:
        """Returns the server for one request.

        `sources` are all servers of the service that answer; parts of prompts can be copied
        from them.
        """


class PromptChooser:
    """Weighs what a server would have to read against what it has to do already.

    Scores are in prompt tokens, the unit in which a model server's time to the first token is
    spent. Unknown parts follow a rank that all nodes compute alike.
    """

    def __init__(self, cached_parts: CachedPartIndex) -> None:
        self.cached_parts = cached_parts

    def choose_server(
        self,
        service: Service,
        candidates: Sequence[Candidate],
        sources: Sequence[ServerState],
        prompt: Prompt | None,
        zone: str,
        now_s: float,
    ) -> Choice:
        """Returns the server with the lowest score that has room."""
        if not candidates:
            return Choice(None, "no server")
        bound = _load_bound(candidates, sources, now_s)
        open_ones = [
            candidate
            for candidate in candidates
            if not candidate.at_limit and candidate.load < candidate.state.entry.slots
        ]
        if not open_ones:
            return Choice(None, "all full")
        within = [candidate for candidate in open_ones if candidate.load + 1 <= bound]
        if not within:
            within = [min(open_ones, key=lambda candidate: candidate.load)]
        return self._best(within, sources, prompt or Prompt("", ()), now_s)

    def _best(
        self,
        candidates: Sequence[Candidate],
        sources: Sequence[ServerState],
        prompt: Prompt,
        now_s: float,
    ) -> Choice:
        ids = [candidate.state.server_id for candidate in candidates]
        ranked = rank_equally(prompt.shared_part_id, ids, len(ids))
        place = {server_id: number for number, server_id in enumerate(ranked)}
        held = self.cached_parts.leading_cached_parts(prompt.keys, now_s)
        # Tokens to read by the number of leading parts that a server holds.
        missing_after = prompt.tokens_after_parts
        source = _best_source(sources, held)
        source_missing = missing_after[held[source.server_id]] if source else prompt.tokens
        unknown = max(0, source_missing - prompt.unshared_tokens)
        rank_tokens = _RANK_WEIGHT * unknown + _TOKENS_PER_RANK
        considered: list[Considered] = []
        best: Choice | None = None
        best_score = float("inf")
        for candidate in candidates:
            state = candidate.state
            missing = missing_after[held.get(state.server_id, 0)]
            copied = max(0, missing - source_missing)
            if copied < _MIN_COPIED_TOKENS:
                copied = 0
            read = missing - copied
            score = _READ_WEIGHT * read + _COPY_WEIGHT * copied
            score += _WAIT_WEIGHT * state.total_prefill_tokens
            score += _TOKENS_PER_RUNNING * candidate.load
            score += rank_tokens * min(place[state.server_id], _MAX_RANK)
            score *= 1.0 + _FAILURE_WEIGHT * state.failure_share
            considered.append(Considered(state.server_id, score, candidate.load, missing))
            if score >= best_score:
                continue
            best_score = score
            reason = "holds the prompt" if missing <= prompt.unshared_tokens else "reads the prompt"
            if copied:
                reason = "copies the prompt"
            best = Choice(state, reason, read, source if copied else None)
        assert best is not None
        return replace(best, considered=_best_considered(considered))


def _best_source(sources: Sequence[ServerState], held: Mapping[str, int]) -> ServerState | None:
    """Returns the server that holds most parts of a prompt, or None if none holds any."""
    best: ServerState | None = None
    most = 0
    for state in sources:
        parts = held.get(state.server_id, 0)
        if parts > most:
            best, most = state, parts
    return best


def _load_bound(
    candidates: Sequence[Candidate], sources: Sequence[ServerState], now_s: float
) -> float:
    """Returns how many requests a server may hold, counting the new one."""
    open_mean = sum(candidate.load for candidate in candidates) / len(candidates)
    mean = sum(state.load(now_s) for state in sources) / max(1, len(sources))
    mean = min(mean, open_mean)
    return max(_MEAN_MULTIPLE * mean + _MEAN_EXTRA, _OPEN_MULTIPLE * open_mean + _OPEN_EXTRA)


class PlainChooser:
    """Takes the server with the least expected time to the answer."""

    def choose_server(
        self,
        service: Service,
        candidates: Sequence[Candidate],
        sources: Sequence[ServerState],
        prompt: Prompt | None,
        zone: str,
        now_s: float,
    ) -> Choice:
        """Returns the server where a request probably ends first."""
        if not candidates:
            return Choice(None, "no server")
        considered: list[Considered] = []
        best: ServerState | None = None
        best_s = float("inf")
        for candidate in candidates:
            state = candidate.state
            slots = state.entry.slots
            if candidate.at_limit or candidate.load >= _PLAIN_PER_SLOT * slots + _PLAIN_EXTRA:
                continue
            rounds = 1.0 + max(0, candidate.load + 1 - slots) / slots
            # Busy servers are slower before they are full, and equal ones should share work.
            crowding = 1.0 + 0.25 * candidate.load / slots
            expected_s = state.service_time_s * rounds * crowding
            expected_s *= 1.0 + 2.0 * state.failure_share
            if state.entry.zone != zone:
                expected_s += _OTHER_ZONE_S
            considered.append(Considered(state.server_id, expected_s, candidate.load, 0))
            if expected_s < best_s:
                best, best_s = state, expected_s
        if best is None:
            return Choice(None, "all full")
        reason = f"expected {best_s * 1000:.0f} ms"
        return Choice(best, reason, considered=_best_considered(considered))
