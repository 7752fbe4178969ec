"""Chooses where a claim goes: own slot, a peer's slot, another engine, or waiting."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class Way(Enum):
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
class Choice:
    """What is known of one candidate.

    `own_index` is the lowest free slot of the node itself, `peer_index` the lowest that a peer is
    believed to have; `allowance` is the limit by capacity and warmth.
    """

    engine_id: str
    rebuild_s: float
    allowance: int
    own_index: int | None
    peer_index: int | None
    expected_wait_s: float


@dataclass(frozen=True, slots=True)
class Placement:
    """The way chosen, with the slot limit that applies and the reason."""

    way: Way
    engine_id: str
    below_index: int
    reason: str


def place(choices: Sequence[Choice], bound: int, waited_s: float) -> Placement:
    """Returns where a claim goes.

    `choices` are the eligible candidates in order of preference, at least one; `bound` is the
    skew bound on the slot index; `waited_s` is how long the claim has waited already.

    The engine that needs the least rebuilding is waited for as long as the expected wait, and the
    wait so far, stay below the cost of rebuilding the prefix elsewhere. When nothing is free below
    the bound at any candidate, the lowest free slot above it is used: the mean has grown.
    """
    first = choices[0]
    for choice in choices:
        extra_s = choice.rebuild_s - first.rebuild_s
        if choice is not first and max(first.expected_wait_s, waited_s) < extra_s:
            limit = min(bound, first.allowance)
            return Placement(Way.WAIT, first.engine_id, limit, "waiting costs less than rebuilding")
        limit = min(bound, choice.allowance)
        if choice.own_index is not None and choice.own_index < limit:
            return Placement(Way.OWN, choice.engine_id, limit, "own slot below the bound")
        if choice.peer_index is not None and choice.peer_index < limit:
            return Placement(Way.BORROW, choice.engine_id, limit, "a peer has a slot")
    return _above_bound(choices, bound)


def _above_bound(choices: Sequence[Choice], bound: int) -> Placement:
    best: tuple[int, int, Choice, Way] | None = None
    for order, choice in enumerate(choices):
        for way, index in ((Way.OWN, choice.own_index), (Way.BORROW, choice.peer_index)):
            if index is None or index >= choice.allowance:
                continue
            if best is None or (index, order) < best[:2]:
                best = (index, order, choice, way)
    if best is None:
        limit = min(bound, choices[0].allowance)
        return Placement(Way.WAIT, choices[0].engine_id, limit, "no free slot")
    index, _order, choice, way = best
    return Placement(way, choice.engine_id, index + 1, "bound raised: all are at the bound")
