"""Placement of a claim: an own slot, a slot borrowed from a peer, or the queue."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

# Cost of asking peers without success: a few round trips between zones.
PEER_QUERY_COST_S = 0.05


class PlacementRule(Enum):
    """How a claim gets a slot: from this node, from a peer, or after a wait in the queue."""

    OWN = "own"
    BORROW = "borrow"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may serve a claim; `recompute_s` is the time to recompute the prefix there."""

    engine_id: str
    recompute_s: float = 0.0


def prefer_cached(
    candidates: Sequence[Candidate], cached_engine_id: str | None
) -> Sequence[Candidate]:
    """Returns the candidates with `cached_engine_id` first and nothing to recompute there."""
    if cached_engine_id is None or all(item.engine_id != cached_engine_id for item in candidates):
        return candidates
    recompute_s = max(item.recompute_s for item in candidates)
    others = [
        Candidate(c.engine_id, recompute_s) for c in candidates if c.engine_id != cached_engine_id
    ]
    return [Candidate(cached_engine_id), *others]


@dataclass(frozen=True, slots=True)
class CandidateState:
    """State of one candidate.

    `own_index` is the index of the node's lowest free slot, `peer_index` that of the lowest free
    slot that a peer has reported; `load` is the number of requests that this node has there and
    that its peers last reported; `allowance` is the slot index limit from capacity and cold start;
    `expected_wait_s` is the time until a slot is expected to be free. `may_ask_peers` is set if
    peers that report no free slot are worth asking, as their reports may be outdated.
    """

    engine_id: str
    recompute_s: float
    allowance: int
    own_index: int | None
    peer_index: int | None
    expected_wait_s: float
    load: int = 0
    may_ask_peers: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The rule chosen for a claim, with the reason.

    `wanted_slots` are (engine id, slot index limit) in order of preference; with an own slot or a
    wait, the first one is the engine chosen. With `ask_other_owners`, some owners that report no
    free slot are asked too.
    """

    rule: PlacementRule
    wanted_slots: tuple[tuple[str, int], ...]
    reason: str
    ask_other_owners: bool = False
    # No candidate has a free slot.
    no_free_slot: bool = False


def choose_placement(
    candidates: Sequence[CandidateState],
    mean_index_limit: int,
    load_index_limit: int,
    waited_s: float,
) -> Placement:
    """Returns the placement of a claim.

    `candidates` are eligible and in order of preference, at least one. `load_index_limit` is the
    slot index limit from the load bound, `mean_index_limit` the one from the mean load. `waited_s`
    is the time for which the claim has waited so far.

    The engine with the cached prefix is used up to the load bound. The claim waits for it while
    both the expected wait and the wait so far are below the cost of recomputing the prefix
    elsewhere. A claim without a cached prefix uses its first choice only up to the mean load.
    Otherwise, and if waiting costs more, the candidate with the lowest free slot is used. If no
    candidate has a free slot within the bound, owners that report none are asked, as their reports
    may be outdated. After that, the lowest free slot above the bound is used, since the mean load
    has grown.
    """
    # The bound falls with the mean load. An engine whose load has reached it gets no work even on a
    # low slot; otherwise its load would fall only when the requests on its high slots end.
    within_bound = [candidate for candidate in candidates if candidate.load < load_index_limit]
    preferred = candidates[0]
    recompute_cost_s = (
        candidates[1].recompute_s - preferred.recompute_s if len(candidates) > 1 else 0.0
    )
    preferred_limit = min(
        load_index_limit if recompute_cost_s > 0 else mean_index_limit, preferred.allowance
    )
    if preferred.load >= load_index_limit:
        preferred_limit = 0
    wanted_slots: tuple[tuple[str, int], ...] = ((preferred.engine_id, preferred_limit),)
    if preferred.own_index is not None and preferred.own_index < preferred_limit:
        return Placement(PlacementRule.OWN, wanted_slots, "own slot of the first choice")
    if preferred.peer_index is not None and preferred.peer_index < preferred_limit:
        return Placement(
            PlacementRule.BORROW, wanted_slots, "a peer has a slot of the first choice"
        )
    if preferred_limit and preferred.may_ask_peers and recompute_cost_s > PEER_QUERY_COST_S:
        reason = "a peer may have a slot of the first choice"
        return Placement(PlacementRule.BORROW, wanted_slots, reason, ask_other_owners=True)
    if max(preferred.expected_wait_s, waited_s) < recompute_cost_s:
        return Placement(PlacementRule.WAIT, wanted_slots, "waiting costs less than rebuilding")
    for index_limit in (mean_index_limit, load_index_limit):
        placement = _place_below(within_bound, index_limit)
        if placement is not None:
            return placement
    if any(candidate.may_ask_peers for candidate in within_bound):
        wanted_slots = tuple(
            (candidate.engine_id, min(load_index_limit, candidate.allowance))
            for candidate in within_bound
        )
        return Placement(
            PlacementRule.BORROW, wanted_slots, "asks before the bound rises", ask_other_owners=True
        )
    return _place_above_limit(candidates, load_index_limit)


def _place_below(candidates: Sequence[CandidateState], index_limit: int) -> Placement | None:
    """Returns a placement on the lowest free slot below `index_limit`, or None.

    An own slot is preferred to one of a peer. A low free index means that the engine has few
    requests.
    """
    own = [
        (candidate.own_index, order)
        for order, candidate in enumerate(candidates)
        if candidate.own_index is not None
        and candidate.own_index < min(index_limit, candidate.allowance)
    ]
    if own:
        candidate = candidates[min(own)[1]]
        wanted_slots = ((candidate.engine_id, min(index_limit, candidate.allowance)),)
        return Placement(PlacementRule.OWN, wanted_slots, "own slot of an engine with little load")
    peers = sorted(
        (candidate.peer_index, order)
        for order, candidate in enumerate(candidates)
        if candidate.peer_index is not None
        and candidate.peer_index < min(index_limit, candidate.allowance)
    )
    if not peers:
        return None
    asked = (candidates[order] for _index, order in peers)
    asked_for = tuple(
        (candidate.engine_id, min(index_limit, candidate.allowance)) for candidate in asked
    )
    return Placement(
        PlacementRule.BORROW, asked_for, "a peer has a slot of an engine with little load"
    )


def _place_above_limit(candidates: Sequence[CandidateState], load_index_limit: int) -> Placement:
    best: tuple[int, int, CandidateState, PlacementRule] | None = None
    for order, candidate in enumerate(candidates):
        for rule, index in (
            (PlacementRule.OWN, candidate.own_index),
            (PlacementRule.BORROW, candidate.peer_index),
        ):
            if index is None or index >= candidate.allowance:
                continue
            if best is None or (index, order) < best[:2]:
                best = (index, order, candidate, rule)
    if best is None:
        index_limit = min(load_index_limit, candidates[0].allowance)
        return Placement(
            PlacementRule.WAIT,
            ((candidates[0].engine_id, index_limit),),
            "no free slot",
            no_free_slot=True,
        )
    index, _order, candidate, rule = best
    wanted_slots = ((candidate.engine_id, index + 1),)
    return Placement(rule, wanted_slots, "bound raised: all are at the bound")
