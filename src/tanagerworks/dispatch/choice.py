"""Chooses the backend server for one request.

A service whose servers run models has a chooser that prefers servers which have cached most of the
prompt and have few tokens queued for prefill. The chooser of a plain service takes the server with
the least expected time to the response. Both select from the same kind of candidates.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from heapq import nsmallest
from typing import Protocol

from tanagerworks.dispatch.cached_parts import CachedPartIndex
from tanagerworks.dispatch.server_state import ServerState
from tanagerworks.published.model import Service
from tanagerworks.routing.ranking import rank_equally

# A server gets new requests up to this multiple of the mean load plus the extra, which keeps a few
# requests from counting as skew. The mean is that of the service's healthy servers or that of the
# candidates, whichever is lower. The result is below the bound of the operators, twice the mean
# plus 3, because the loads of peers are as old as their last messages: 0.2 s in a small fleet, more
# than a second in a large one.
_LOAD_BOUND_MULTIPLE = 1.7
_LOAD_BOUND_EXTRA = 2.0
# While a zone is out of service, its idle servers lower the mean of the healthy servers, so the
# candidates are above it. The bound is therefore at least this multiple of the candidates' mean
# plus the extra.
_CANDIDATE_BOUND_MULTIPLE = 1.15
_CANDIDATE_BOUND_EXTRA = 1.0
# Weight of an uncached token, which a server has to prefill for this request. It is higher than
# that of a token queued for other requests, because the prefill of a part delays all requests at
# the server and evicts other parts.
_PREFILL_WEIGHT = 3.0
# Weight of a token that is copied from another server's cache: a copy takes about half the time of
# prefill and delays no decoding steps of the requests that run at the server.
_COPY_WEIGHT = 1.0
# Weight of a token that is queued for prefill at a server. Servers prefill about 60 tokens per
# millisecond, so 10,000 queued tokens delay a first token by less than the shortest objective,
# 0.3 s. The weight is low so that such a queue does not send requests away from the server that has
# cached their parts, as another server would have to prefill them.
_QUEUED_PREFILL_WEIGHT = 0.3
# A copy has a fixed delay of a few milliseconds, in which a server prefills this many tokens.
_MIN_COPIED_TOKENS = 512
# Weight of a running request, in tokens. A running request barely delays a first token, as it
# lengthens a decoding step of 4 ms by 0.02 ms, so its weight only spreads requests whose parts no
# server has cached. It is low so that load alone does not send requests to a server that has to
# prefill their parts.
_TOKENS_PER_RUNNING_REQUEST = 60.0
# The score of a server increases with its place in the ranking for the prompt. Each place adds this
# share of the shared tokens that no server has cached, and a constant that decides between
# otherwise equal servers. All nodes compute the same ranking, so nodes that receive a new part at
# the same time send it to one server unless that one has a long queue.
_RANK_WEIGHT = 0.25
_TOKENS_PER_RANK = 20.0
# Places after this one, counted from 0, add no more to the score.
_MAX_RANK = 2
# The score of a server that fails all requests is multiplied by 1 plus this weight. A plain server
# that fails 45% of its requests then comes after equal sound ones at any load that they may have,
# since the load multiplies the expected time by 2.6 at most.
_FAILURE_WEIGHT = 4.0
# Added for a model server, with that weight: the prefill of the whole prompt at another server, and
# these tokens, which are more than the weight of all requests that run at a sound server. Without
# them a failing server that has cached a prompt would keep getting its requests.
_FAILURE_TOKENS = 1_000.0
# A plain server may have this many requests per slot plus the extra. Requests beyond the slots fill
# those that become free before the peers' next messages. They also allow for the change of a load
# since the peers' last messages, which is about the square root of the load.
_PLAIN_REQUESTS_PER_SLOT = 1.5
_PLAIN_EXTRA_REQUESTS = 2
# A server with a connection that the request can use is preferred to one whose expected time is
# shorter by less than this share. One request more at a server of six slots costs 4% of the time.
_CONNECTION_TOLERANCE = 0.05
# Added to the expected time at a server of another zone: one millisecond each way.
_CROSS_ZONE_DELAY_S = 0.002


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; servers cache prompts by parts."""

    part_id: str
    tokens: int
    # Identifies part and model in `CachedPartIndex` and in messages between nodes (see `part_key`).
    key: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a request; other requests share its parts except for the last one."""

    model: str
    parts: tuple[PromptPart, ...]

    @property
    def tokens(self) -> int:
        """Length of the whole prompt, in tokens."""
        return sum(part.tokens for part in self.parts)

    @property
    def keys(self) -> tuple[int, ...]:
        """Keys of the parts, in the order of the prompt."""
        return tuple(part.key for part in self.parts)

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other requests share: all but the last."""
        return tuple(part.part_id for part in self.parts[:-1])

    @property
    def tokens_after_parts(self) -> tuple[int, ...]:
        """Tokens that remain after the first n parts, for each n from 0 to all."""
        left = self.tokens
        after = [left]
        for part in self.parts:
            left -= part.tokens
            after.append(left)
        return tuple(after)

    @property
    def announced_keys(self) -> tuple[int, ...]:
        """Keys announced to peers: the last shared part, which implies all parts before it.

        The prompt's own last part is left out: the next request of the same chat shares only the
        parts before it. A prompt of one part announces that part.
        """
        return self.keys[-2:-1] or self.keys

    @property
    def affinity_part_id(self) -> str:
        """Id of the part by which servers and services are chosen: the last shared or the only one.

        It is "" without parts.
        """
        if not self.parts:
            return ""
        return self.parts[-2].part_id if len(self.parts) > 1 else self.parts[0].part_id

    @property
    def unshared_tokens(self) -> int:
        """Tokens of the last part, which other requests do not share; 0 without parts."""
        return self.parts[-1].tokens if self.parts else 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server considered for a request, with its load at the time of the choice."""

    state: ServerState
    # Requests in progress at the server, as `ServerState.load` returns them.
    load: int
    # Whether the cold start rate or the connection limit allows this node no further request now.
    at_limit: bool
    # Whether this node has a connection to the server that the request can use.
    has_connection: bool = False


@dataclass(frozen=True, slots=True)
class Choice:
    """The server chosen, or None if no server may get the request now, with the reason."""

    state: ServerState | None
    reason: str
    # Prompt tokens that the server is expected to prefill.
    prefill_tokens: int = 0
    # Another server from whose cache the chosen one can copy parts of the prompt.
    copy_from: ServerState | None = None
    # The best candidates by score, the chosen one first; empty if none could be chosen.
    considered: tuple["ScoredCandidate", ...] = ()
    # Whether any server that the request has not tried may accept it, now or after a wait.
    has_candidates: bool = True
    # Whether the server is out of service and was chosen because no other is usable.
    last_resort: bool = False


@dataclass(frozen=True, slots=True)
class ScoredCandidate:
    """A candidate with its score; the lowest score is chosen."""

    server_id: str
    # In prompt tokens for services that run models, in seconds for plain ones.
    score: float
    load: int
    # Prompt tokens that the server has not cached; 0 for plain services.
    uncached_tokens: int
    # Names and values of the summands of the score; only if the choice explains itself.
    parts: tuple[tuple[str, float], ...] = ()


# Candidates listed in `Choice.considered`, and in that of a choice that explains itself.
_MAX_CONSIDERED = 3
MAX_EXPLAINED = 64


def _best_candidates(
    considered: list[ScoredCandidate], explains: bool
) -> tuple[ScoredCandidate, ...]:
    count = MAX_EXPLAINED if explains else _MAX_CONSIDERED
    return tuple(nsmallest(count, considered, key=lambda candidate: candidate.score))


class ServerChooser(Protocol):
    """Interface of the choosers for services that run models and for plain ones."""

    def choose_server(
        self,
        service: Service,
        candidates: Sequence[Candidate],
        healthy_servers: Sequence[ServerState],
        prompt: Prompt | None,
        zone: str,
        now_s: float,
        explains: bool = False,
    ) -> Choice:
        """Returns the server for one request.

        `healthy_servers` are the servers of the service that have not failed a request of this node
        since their last success, including those that get no new work. Prompt parts can be copied
        from them, and the load bound depends on their mean load. `zone` is the node's own
        availability zone. A choice that `explains` itself lists more candidates and the parts of
        their scores; the server is the same.
        """


class PromptChooser:
    """Weighs the tokens that a server has to prefill for the request against its present work.

    Scores are in prompt tokens, since prefill determines a model server's time to the first token.
    For parts that no server has cached, the score depends on a ranking that is the same at all
    nodes.
    """

    def __init__(self, cached_parts: CachedPartIndex) -> None:
        self.cached_parts = cached_parts

    def choose_server(
        self,
        service: Service,
        candidates: Sequence[Candidate],
        healthy_servers: Sequence[ServerState],
        prompt: Prompt | None,
        zone: str,
        now_s: float,
        explains: bool = False,
    ) -> Choice:
        """Returns the server with the lowest score among those within the load bound.

        If none is within the bound, it returns the one with the lowest load.
        """
        if not candidates:
            return Choice(None, "no server", has_candidates=False)
        bound = _load_bound(candidates, healthy_servers, now_s)
        available = [
            candidate
            for candidate in candidates
            if not candidate.at_limit and candidate.load < candidate.state.entry.slots
        ]
        if not available:
            return Choice(None, "all full")
        within_bound = [candidate for candidate in available if candidate.load + 1 <= bound]
        if not within_bound:
            within_bound = [min(available, key=lambda candidate: candidate.load)]
        return self._best_choice(
            within_bound, healthy_servers, prompt or Prompt("", ()), now_s, explains
        )

    def _best_choice(
        self,
        candidates: Sequence[Candidate],
        healthy_servers: Sequence[ServerState],
        prompt: Prompt,
        now_s: float,
        explains: bool,
    ) -> Choice:
        ids = [candidate.state.server_id for candidate in candidates]
        ranked = rank_equally(prompt.affinity_part_id, ids, len(ids))
        rank_by_id = {server_id: number for number, server_id in enumerate(ranked)}
        cached_counts = self.cached_parts.leading_cached_parts(prompt.keys, now_s)
        # Uncached tokens by the number of leading parts that a server has cached.
        uncached_after = prompt.tokens_after_parts
        source = _best_source(healthy_servers, cached_counts)
        source_uncached = (
            uncached_after[cached_counts[source.server_id]] if source else prompt.tokens
        )
        uncached_shared = max(0, source_uncached - prompt.unshared_tokens)
        rank_tokens = _RANK_WEIGHT * uncached_shared + _TOKENS_PER_RANK
        # Only differences between servers count. If all were slow alike, a slowdown of all scores
        # would make copies of parts, which it does not multiply, seem cheap.
        slowdowns = [candidate.state.slowdown(now_s) for candidate in candidates]
        least_slowdown = min(slowdowns)
        considered: list[ScoredCandidate] = []
        best: Choice | None = None
        best_score = float("inf")
        for candidate, slowdown in zip(candidates, slowdowns, strict=True):
            state = candidate.state
            uncached = uncached_after[cached_counts.get(state.server_id, 0)]
            copied = max(0, uncached - source_uncached)
            if copied < _MIN_COPIED_TOKENS:
                copied = 0
            prefilled = uncached - copied
            work = _PREFILL_WEIGHT * prefilled
            work += _QUEUED_PREFILL_WEIGHT * state.total_prefill_tokens
            work += _TOKENS_PER_RUNNING_REQUEST * candidate.load
            score = work * slowdown / least_slowdown + _COPY_WEIGHT * copied
            score += rank_tokens * min(rank_by_id[state.server_id], _MAX_RANK)
            sound_score = score
            failure_weight = _FAILURE_WEIGHT * state.current_failure_share(now_s)
            score *= 1.0 + failure_weight
            score += (
                _FAILURE_WEIGHT
                * state.fleet_failure_share
                * (_PREFILL_WEIGHT * prompt.tokens + _FAILURE_TOKENS)
            )
            parts: tuple[tuple[str, float], ...] = ()
            if explains:
                parts = (
                    ("prefill", _PREFILL_WEIGHT * prefilled),
                    ("queued prefill", _QUEUED_PREFILL_WEIGHT * state.total_prefill_tokens),
                    ("running requests", _TOKENS_PER_RUNNING_REQUEST * candidate.load),
                    ("slowdown", work * (slowdown / least_slowdown - 1.0)),
                    ("copy", _COPY_WEIGHT * copied),
                    ("rank", rank_tokens * min(rank_by_id[state.server_id], _MAX_RANK)),
                    ("failures", score - sound_score),
                )
            considered.append(
                ScoredCandidate(state.server_id, score, candidate.load, uncached, parts)
            )
            if score >= best_score:
                continue
            best_score = score
            reason = (
                "holds the prompt" if uncached <= prompt.unshared_tokens else "reads the prompt"
            )
            if copied:
                reason = "copies the prompt"
            best = Choice(state, reason, prefilled, source if copied else None)
        assert best is not None
        return replace(best, considered=_best_candidates(considered, explains))


def _best_source(
    healthy_servers: Sequence[ServerState], cached_counts: Mapping[str, int]
) -> ServerState | None:
    """Returns the server that has cached the most leading parts of a prompt, or None."""
    best: ServerState | None = None
    most_parts = 0
    for state in healthy_servers:
        parts = cached_counts.get(state.server_id, 0)
        if parts > most_parts:
            best, most_parts = state, parts
    return best


def _load_bound(
    candidates: Sequence[Candidate], healthy_servers: Sequence[ServerState], now_s: float
) -> float:
    """Returns how many requests a server may have in progress, including the new one.

    Servers that name a limit on their requests or want none do not count, unless all do: what they
    have in progress says nothing of what the others can take.
    """
    candidates = [
        candidate for candidate in candidates if _shows_load(candidate.state, now_s)
    ] or candidates
    healthy_servers = [
        state for state in healthy_servers if _shows_load(state, now_s)
    ] or healthy_servers
    candidate_mean = sum(candidate.load for candidate in candidates) / len(candidates)
    mean = sum(state.load(now_s) for state in healthy_servers) / max(1, len(healthy_servers))
    mean = min(mean, candidate_mean)
    return max(
        _LOAD_BOUND_MULTIPLE * mean + _LOAD_BOUND_EXTRA,
        _CANDIDATE_BOUND_MULTIPLE * candidate_mean + _CANDIDATE_BOUND_EXTRA,
    )


def _shows_load(state: ServerState, now_s: float) -> bool:
    return state.limit_per_s is None and state.accepts_another(now_s)


class PlainChooser:
    """Chooses the server with the least expected time to the response, in seconds."""

    def choose_server(
        self,
        service: Service,
        candidates: Sequence[Candidate],
        healthy_servers: Sequence[ServerState],
        prompt: Prompt | None,
        zone: str,
        now_s: float,
        explains: bool = False,
    ) -> Choice:
        """Returns the server with the least expected time among those with capacity.

        `healthy_servers` and `prompt` are not used.
        """
        if not candidates:
            return Choice(None, "no server", has_candidates=False)
        considered: list[ScoredCandidate] = []
        best: ServerState | None = None
        best_s = float("inf")
        best_connected: ServerState | None = None
        best_connected_s = float("inf")
        for candidate in candidates:
            state = candidate.state
            slots = state.entry.slots
            if (
                candidate.at_limit
                or candidate.load >= _PLAIN_REQUESTS_PER_SLOT * slots + _PLAIN_EXTRA_REQUESTS
            ):
                continue
            # 1 if a slot is free; every `slots` requests beyond the slots add one service time.
            queue_factor = 1.0 + max(0, candidate.load + 1 - slots) / slots
            # Servers slow down before all slots are used, and equal servers should share work.
            slowdown = 1.0 + 0.25 * candidate.load / slots
            service_time_s = state.expected_service_time_s(now_s)
            expected_s = loaded_s = service_time_s * queue_factor * slowdown
            expected_s *= 1.0 + _FAILURE_WEIGHT * state.current_failure_share(now_s)
            failures_s = expected_s - loaded_s
            cross_zone_s = _CROSS_ZONE_DELAY_S if state.entry.zone != zone else 0.0
            expected_s += cross_zone_s
            parts: tuple[tuple[str, float], ...] = ()
            if explains:
                parts = (
                    ("service time", service_time_s),
                    ("queue at the server", service_time_s * (queue_factor - 1.0)),
                    ("load", service_time_s * queue_factor * (slowdown - 1.0)),
                    ("failures", failures_s),
                    ("other zone", cross_zone_s),
                )
            considered.append(
                ScoredCandidate(state.server_id, expected_s, candidate.load, 0, parts)
            )
            if expected_s < best_s:
                best, best_s = state, expected_s
            if candidate.has_connection and expected_s < best_connected_s:
                best_connected, best_connected_s = state, expected_s
        if best is None:
            return Choice(None, "all full")
        if best_connected_s * (1.0 - _CONNECTION_TOLERANCE) <= best_s:
            best, best_s = best_connected, best_connected_s
        reason = f"expected {best_s * 1000:.0f} ms"
        return Choice(best, reason, considered=_best_candidates(considered, explains))
