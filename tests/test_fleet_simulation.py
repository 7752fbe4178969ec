"""Nine nodes' decisions together, over modelled engines that restart and a zone that leaves."""

import pytest

from tools.measure_routing import churn_events, run_scenario

_UNTIL_S = 40.0


@pytest.mark.parametrize("seed", [1, 2])
def test_engines_never_get_more_than_they_bear(seed):
    """Guards against overload, cold overruns and work in a zone that is out, by nodes together."""
    counted = run_scenario("", seed, _UNTIL_S, churn_events(seed, _UNTIL_S), utilisation=1.3)
    assert counted.overloaded_starts == 0
    assert counted.cold_overruns == 0
    assert counted.late_zone_starts == 0


def test_the_model_counts_overload():
    """Guards against modelled engines that cannot see an overload."""
    counted = run_scenario("least_loaded", 1, _UNTIL_S, churn_events(1, _UNTIL_S), utilisation=1.3)
    assert counted.overloaded_starts > 0
    assert counted.cold_overruns > 0
