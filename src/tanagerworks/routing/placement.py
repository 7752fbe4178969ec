"""Chooses where a claim goes: own slot, a peer's slot, another engine, or waiting."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

# Cost of asking peers in vain: a few round trips between zones.
PEER_QUERY_COST_S = 0.05


class PlacementRule(Enum):
    """How a claim gets a slot."""

    OWN = "own"
    BORROW = "borrow"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may serve a claim; `rebuild_s` is the time to rebuild the prefix there."""

    engine_id: str
    rebuild_s: float = 0.0


def prefer_cached(candidates: Sequence[Candidate], cached_at: str | None) -> Sequence[Candidate]:
    """Puts the engine that served the chat last first, with nothing to rebuild there."""
    if cached_at is None or all(item.engine_id != cached_at for item in candidates):
        return candidates
    rebuild_s = max(item.rebuild_s for item in candidates)
    others = [Candidate(c.engine_id, rebuild_s) for c in candidates if c.engine_id != cached_at]
    return [Candidate(cached_at), *others]


@dataclass(frozen=True, slots=True)
class CandidateState:
    """What is known of one candidate.

    `own_index` is the lowest free slot of the node itself, `peer_index` the lowest that a peer is
    believed to have; `load` is the number of requests last reported by all nodes; `allowance` is
    the limit by capacity and warmth. `ask` tells whether peers that report no free slot are still
    worth asking: their reports may be outdated.
    """

    engine_id: str
    rebuild_s: float
    allowance: int
    own_index: int | None
    peer_index: int | None
    expected_wait_s: float
    load: int = 0
    may_ask_peers: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The way chosen, with the reason.

    `wishes` are (engine id, slot limit) in order of preference; the first names the engine of an
    own slot or the one that is waited for. With
    `ask_all_owners`, peers are asked whatever they report.
    """

    rule: PlacementRule
    wishes: tuple[tuple[str, int], ...]
    reason: str
    ask_all_owners: bool = False
    # Nothing is free at any candidate.
    no_free_slot: bool = False


def choose_placement(
    choices: Sequence[CandidateState], even: int, bound: int, waited_s: float
) -> Placement:
    """Returns where a claim goes.

    `choices` are the eligible candidates in order of preference, at least one; `bound` is the
    skew bound on the slot index and `even` the index at which all engines have the same load;
    `waited_s` is how long the claim has waited already.

    The engine that has the prefix is used up to the bound, and waited for as long as the expected
    wait, and the wait so far, stay below the cost of rebuilding the prefix elsewhere. A claim that
    has nothing to lose, or loses it anyway, goes to its first choice only up to the even load and
    then to the emptiest engine. When nothing is free below the bound at any candidate, the lowest
    free slot above it is used: the mean has grown.
    """
    # An engine whose load is above a bound that fell gets no work, not even on a low slot: else
    # its load would fall only as the requests on its high slots end.
    below = [choice for choice in choices if choice.load < bound]
    home = choices[0]
    recompute_cost_s = choices[1].rebuild_s - home.rebuild_s if len(choices) > 1 else 0.0
    limit = min(bound if recompute_cost_s > 0 else even, home.allowance)
    if home.load >= bound:
        limit = 0
    wishes: tuple[tuple[str, int], ...] = ((home.engine_id, limit),)
    if home.own_index is not None and home.own_index < limit:
        return Placement(PlacementRule.OWN, wishes, "own slot of the first choice")
    if home.peer_index is not None and home.peer_index < limit:
        return Placement(PlacementRule.BORROW, wishes, "a peer has a slot of the first choice")
    if limit and home.may_ask_peers and recompute_cost_s > PEER_QUERY_COST_S:
        reason = "a peer may have a slot of the first choice"
        return Placement(PlacementRule.BORROW, wishes, reason, ask_all_owners=True)
    if max(home.expected_wait_s, waited_s) < recompute_cost_s:
        return Placement(PlacementRule.WAIT, wishes, "waiting costs less than rebuilding")
    for level in (even, bound):
        placement = _place_below(below, level)
        if placement is not None:
            return placement
    if any(choice.may_ask_peers for choice in below):
        wishes = tuple((choice.engine_id, min(bound, choice.allowance)) for choice in below)
        return Placement(
            PlacementRule.BORROW, wishes, "asks before the bound rises", ask_all_owners=True
        )
    return _place_above_bound(choices, bound)


def _place_below(choices: Sequence[CandidateState], level: int) -> Placement | None:
    """Returns the lowest free slot below a level; low indexes mean little load."""
    own = [
        (choice.own_index, order)
        for order, choice in enumerate(choices)
        if choice.own_index is not None and choice.own_index < min(level, choice.allowance)
    ]
    if own:
        choice = choices[min(own)[1]]
        wishes = ((choice.engine_id, min(level, choice.allowance)),)
        return Placement(PlacementRule.OWN, wishes, "own slot of an engine with little load")
    peers = sorted(
        (choice.peer_index, order)
        for order, choice in enumerate(choices)
        if choice.peer_index is not None and choice.peer_index < min(level, choice.allowance)
    )
    if not peers:
        return None
    asked = (choices[order] for _index, order in peers)
    asked_for = tuple((choice.engine_id, min(level, choice.allowance)) for choice in asked)
    return Placement(
        PlacementRule.BORROW, asked_for, "a peer has a slot of an engine with little load"
    )


def _place_above_bound(choices: Sequence[CandidateState], bound: int) -> Placement:
    best: tuple[int, int, CandidateState, PlacementRule] | None = None
    for order, choice in enumerate(choices):
        for rule, index in (
            (PlacementRule.OWN, choice.own_index),
            (PlacementRule.BORROW, choice.peer_index),
        ):
            if index is None or index >= choice.allowance:
                continue
            if best is None or (index, order) < best[:2]:
                best = (index, order, choice, rule)
    if best is None:
        limit = min(bound, choices[0].allowance)
        return Placement(
            PlacementRule.WAIT, ((choices[0].engine_id, limit),), "no free slot", no_free_slot=True
        )
    index, _order, choice, rule = best
    wishes = ((choice.engine_id, index + 1),)
    return Placement(rule, wishes, "bound raised: all are at the bound")
