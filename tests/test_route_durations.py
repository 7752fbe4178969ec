"""Estimates of how long a request may take."""

from hypothesis import given
from hypothesis import strategies as st

from tanagerworks.dispatch.durations import RouteDurations


def test_unknown_route_needs_its_whole_limit():
    """Guards against streams begun before a stop with no idea of their length."""
    durations = RouteDurations()
    for _each in range(3):
        durations.record_duration("chat", 0.1)
    assert durations.estimate_s("chat", 12.0, 1.0) == 12.0
    assert durations.estimate_s("other", 12.0, 1.0) == 12.0


@given(st.lists(st.floats(0.0, 10.0), min_size=8, max_size=64), st.floats(0.1, 20.0))
def test_estimate_covers_all_that_was_seen_within_the_limit(took, limit_s):
    """Guards against an estimate below a request that has just been seen."""
    durations = RouteDurations()
    for took_s in took:
        durations.record_duration("chat", took_s)
    needed_s = durations.estimate_s("chat", limit_s, 1.0)
    assert needed_s <= limit_s
    assert needed_s == limit_s or needed_s >= max(took)
