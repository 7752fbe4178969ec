"""Estimates of how long the requests of a route take."""

from hypothesis import given
from hypothesis import strategies as st

from tanagerworks.dispatch.durations import RouteDurations


def test_estimate_is_the_limit_without_enough_samples():
    """Guards against streams that start shortly before a stop although their length is unknown."""
    durations = RouteDurations()
    for _each in range(3):
        durations.record_duration("chat", 0.1)
    assert durations.estimate_s("chat", 12.0, 1.0) == 12.0
    assert durations.estimate_s("other", 12.0, 1.0) == 12.0


@given(st.lists(st.floats(0.0, 10.0), min_size=8, max_size=64), st.floats(0.1, 20.0))
def test_estimate_covers_all_recorded_durations_within_the_limit(recorded_s, limit_s):
    """Guards against an estimate that is shorter than a recorded request."""
    durations = RouteDurations()
    for took_s in recorded_s:
        durations.record_duration("chat", took_s)
    estimate_s = durations.estimate_s("chat", limit_s, 1.0)
    assert estimate_s <= limit_s
    assert estimate_s == limit_s or estimate_s >= max(recorded_s)
