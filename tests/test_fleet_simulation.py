"""Decisions of nine simulated nodes while engines restart and a zone is out of service."""

import pytest

from tools.measure_routing import churn_events, run_scenario

_UNTIL_S = 40.0


@pytest.mark.parametrize("seed", [1, 2])
def test_nodes_together_keep_engine_limits(seed):
    """Guards against nodes that keep the limits each but exceed them together.

    The limits are an engine's slots, its limit after a cold start, and no work in a zone that is
    out of service.
    """
    counters = run_scenario("", seed, _UNTIL_S, churn_events(seed, _UNTIL_S), utilisation=1.3)
    assert counters.overloads == 0
    assert counters.cold_overruns == 0
    assert counters.late_zone_starts == 0


def test_simulated_engines_count_overload():
    """Guards against simulated engines that do not count an overload."""
    counters = run_scenario("least_loaded", 1, _UNTIL_S, churn_events(1, _UNTIL_S), utilisation=1.3)
    assert counters.overloads > 0
    assert counters.cold_overruns > 0
