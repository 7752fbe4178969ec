"""Decisions on callers' memory: who is ended first, what is kept for whom. No network, no clock.

The load is a crowd that holds incomplete requests beside ordinary small ones.
"""

import pytest

from tanagerworks.edge import memory_budget
from tanagerworks.edge.memory_budget import (
    CONNECTION_SHARE,
    FIRST_REQUEST_GRACE_S,
    LARGE_INPUT_SHARE,
    LINGER_S,
    MAX_LINGERING,
    MIN_BUDGET_SHARE,
    SMALL_INPUT_BYTES,
    STALLED_S,
    UNREAD_S,
    EndReason,
    MemoryBudget,
    Waiters,
    caller_connections,
    input_share,
)

LIMIT = 1_000_000
NOW_S = 100.0


class FakeHolder:
    """Holds memory until it is ended."""

    def __init__(self, budget, size=0):
        self.budget = budget
        self.held_bytes = 0
        self.reasons = []
        budget.update(self, size)

    def end(self, reason):
        self.reasons.append(reason)
        self.budget.update(self, 0)


def hold(budget, waiters, age_s, size=100_000):
    holder = FakeHolder(budget, size)
    waiters.put(holder, NOW_S - age_s)
    return holder


def check_stalled_input_is_ended_before_other_input():
    """Fills the budget with requests of several ages, and makes room for one more."""
    budget = MemoryBudget(LIMIT)
    stalled = [hold(budget, budget.incomplete, age_s) for age_s in (9.0, 5.0, STALLED_S)]
    young = [hold(budget, budget.incomplete, 0.4 * STALLED_S) for _ in range(7)]
    assert budget.make_room(150_000, 1.0, NOW_S)
    assert [bool(holder.reasons) for holder in stalled + young] == [True] * 2 + [False] * 8
    assert not budget.make_room(500_000, 1.0, NOW_S)
    assert not any(holder.reasons for holder in young)


def test_stalled_input_is_ended_first():
    """Guards against room that is taken from requests that are still arriving."""
    check_stalled_input_is_ended_before_other_input()


def test_order_matters(monkeypatch):
    """The check above fails if the request that has come last is ended first."""

    def last(self, now_s, min_age_s, keep=None):
        return next(reversed(self.since_s), None)

    monkeypatch.setattr(Waiters, "first", last)
    with pytest.raises(AssertionError):
        check_stalled_input_is_ended_before_other_input()


def check_small_request_fits_beside_larger_ones():
    """Fills what larger input may take with requests that have all just come."""
    budget = MemoryBudget(LIMIT)
    while budget.make_room(50_000, input_share(50_000), NOW_S):
        hold(budget, budget.incomplete, 0.0, 50_000)
    assert budget.make_room(SMALL_INPUT_BYTES, input_share(SMALL_INPUT_BYTES), NOW_S)


def test_small_request_fits_beside_larger_ones():
    """Guards against a crowd of larger requests that leaves nothing to ordinary ones."""
    check_small_request_fits_beside_larger_ones()


def test_reserve_matters(monkeypatch):
    """The check above fails without the part that larger input may not take."""
    monkeypatch.setattr(memory_budget, "LARGE_INPUT_SHARE", 1.0)
    with pytest.raises(AssertionError):
        check_small_request_fits_beside_larger_ones()


def test_idle_connections_leave_room_for_requests():
    """Guards against connections without requests that take all memory."""
    budget = MemoryBudget(LIMIT)
    holders = []
    while budget.make_room(10_000, CONNECTION_SHARE, NOW_S):
        holders.append(hold(budget, budget.idle, 0.0, 10_000))
    assert len(holders) == CONNECTION_SHARE * LIMIT / 10_000
    assert budget.make_room(10_000, CONNECTION_SHARE, NOW_S + STALLED_S)
    assert holders[0].reasons == [EndReason.IDLE]


def test_large_body_takes_the_place_of_a_stalled_one():
    """Guards against bodies that stop short of their end and keep their room."""
    budget = MemoryBudget(LIMIT)
    stalled = hold(budget, budget.incomplete_large, STALLED_S, 0)
    reservation = budget.bodies.reserve(350_000, lambda: None)
    stalled.end = lambda reason: (stalled.reasons.append(reason), reservation.release())
    other = hold(budget, budget.incomplete, STALLED_S)
    assert budget.make_room_for_body(300_000, NOW_S, other)
    assert stalled.reasons == [EndReason.STALLED_INPUT]
    assert not other.reasons


def test_large_bodies_leave_room_for_others():
    """Guards against reserved bodies that are not part of what is held."""
    budget = MemoryBudget(LIMIT)
    budget.bodies.reserve(400_000, lambda: None)
    assert not budget.bodies.fits(1)
    assert budget.make_room(600_000, 1.0, NOW_S)
    assert not budget.make_room(600_001, 1.0, NOW_S)
    FakeHolder(budget, 600_000)
    other = MemoryBudget(LIMIT)
    other.bodies.reserve(100_000, lambda: None)
    FakeHolder(other, int(LARGE_INPUT_SHARE * LIMIT) - 200_000)
    assert other.bodies.fits(100_000)
    assert not other.bodies.fits(100_001)


def test_answers_are_ended_only_if_nobody_reads_them_and_too_much_is_held():
    """Guards against slow readers whose answers fill the process, and against ended readers."""
    budget = MemoryBudget(LIMIT)
    unread = hold(budget, budget.unread, UNREAD_S, 600_000)
    read = hold(budget, budget.unread, 0.9 * UNREAD_S, 300_000)
    budget.end_unread(NOW_S)
    assert not unread.reasons
    budget.update(read, 500_000)
    budget.end_unread(NOW_S)
    assert unread.reasons == [EndReason.UNREAD_OUTPUT]
    assert not read.reasons


def test_connection_for_a_descriptor_is_one_that_delivers_nothing():
    """Guards against a running request that ends for a new connection."""
    budget = MemoryBudget(LIMIT)
    young = hold(budget, budget.incomplete, 0.0)
    idle = hold(budget, budget.idle, FIRST_REQUEST_GRACE_S)
    closing = hold(budget, budget.closing, LINGER_S)
    assert budget.end_connection(NOW_S)
    assert (closing.reasons, idle.reasons) == ([], [EndReason.IDLE])
    assert [budget.end_connection(NOW_S) for _ in range(2)] == [True, False]
    assert (closing.reasons, idle.reasons) == ([EndReason.CLOSING], [EndReason.IDLE])
    assert not young.reasons


def test_request_that_needs_room_does_not_protect_others():
    """Guards against a refusal although another stalled request could be ended."""
    budget = MemoryBudget(LIMIT)
    oldest = hold(budget, budget.incomplete, 9.0)
    other = hold(budget, budget.incomplete, STALLED_S)
    assert budget.end_one(NOW_S, oldest)
    assert (oldest.reasons, other.reasons) == ([], [EndReason.STALLED_INPUT])
    assert not budget.end_one(NOW_S, oldest)


def test_refusal_arrives_before_its_connection_ends():
    """Guards against a reset that destroys a 503, and with it the promise of not run."""
    budget = MemoryBudget(LIMIT)
    closing = hold(budget, budget.closing, 0.9 * LINGER_S)
    assert not budget.end_one(NOW_S)
    assert not budget.end_connection(NOW_S)
    assert not closing.reasons
    assert budget.end_one(NOW_S + LINGER_S)


def test_lingering_connections_for_descriptors_are_limited():
    """Guards against stalled callers that are refused, linger and use up all descriptors."""
    budget = MemoryBudget(LIMIT)
    stalled = [hold(budget, budget.incomplete, STALLED_S, 0) for _ in range(2 * MAX_LINGERING)]
    for holder in stalled:
        holder.end = lambda _reason, holder=holder: budget.closing.put(holder, NOW_S)
    ended = [budget.end_connection(NOW_S) for _ in stalled]
    assert ended == [True] * MAX_LINGERING + [False] * MAX_LINGERING


def test_progress_protects_from_being_ended():
    """Guards against slow callers on working links that are taken for stalled ones."""
    budget = MemoryBudget(LIMIT)
    holder = hold(budget, budget.incomplete, 9.0)
    budget.incomplete.put(holder, NOW_S)
    assert not budget.end_one(NOW_S + 0.9 * STALLED_S)
    assert budget.end_one(NOW_S + STALLED_S)


def test_limits_follow_from_the_process():
    """Guards against a budget without what the process takes, and servers without descriptors."""
    budget = MemoryBudget(0)
    budget.set_limit(200e6, 50e6)
    assert 100e6 < budget.limit_bytes < 150e6
    assert budget.bodies.limit_bytes < 0.5 * budget.limit_bytes
    budget.set_limit(200e6, 300e6)
    assert budget.limit_bytes == MIN_BUDGET_SHARE * 200e6
    for max_open_files in (500, 1_024, 4_100, 10_250):
        assert 2 * caller_connections(max_open_files) + 200 < max_open_files
    assert caller_connections(100) > 0
