"""A short soak of the edge as real processes, and that its checks notice a broken build."""

import asyncio

from tests.edge_soak import run_seed, run_soak
from tests.edge_soak_faults import Soak
from tests.edge_soak_stops import StopSoak

SECONDS = 20.0
STOPS_SECONDS = 8.0
LOSSES_SECONDS = 12.0


def test_edge_keeps_its_promises_while_faults_overlap():
    """Guards against joined, repeated or lost events, and repeated bookings, after any fault."""
    assert run_seed(1, SECONDS) == []


def test_requests_get_whole_answers_around_overlapping_stops(tmp_path):
    """Guards against streams that a planned stop breaks off although they had time left."""
    soak = StopSoak(1, tmp_path, node_count=4, kills=False)
    assert asyncio.run(run_soak(soak, STOPS_SECONDS)) == []
    assert soak.overlapping_stops > 0


def test_streams_go_on_at_the_nodes_that_are_left(tmp_path):
    """Guards against streams that nobody knows once most nodes were killed, at once or in waves."""
    soak = Soak(1, tmp_path, node_count=6)
    soak.faults = lambda: [soak.lose_most_nodes]
    assert asyncio.run(run_soak(soak, LOSSES_SECONDS)) == []
    assert soak.outcomes["streams taken up"] > 0


def test_stop_that_ends_too_soon_is_noticed(tmp_path):
    """Guards against a soak that misses cut streams: its nodes stop long before the grace ends."""
    soak = StopSoak(1, tmp_path, node_count=3, stop_limit_s=3.4, kills=False)
    soak.faults = lambda: [soak.stop_several]
    violations = asyncio.run(run_soak(soak, STOPS_SECONDS / 2))
    assert any("lost around a SIGTERM" in line for line in violations)


def test_checks_of_the_soak_notice_what_they_look_for(tmp_path):
    """Guards against a soak that finds nothing because it looks at nothing."""
    soak = Soak(1, tmp_path)
    soak.check_stream("c1", ["id: 1\ndata: v1 1", "id: 2\ndata: v2 2"], False)
    soak.check_stream("c2", ["id: 1\ndata: v1 1", "id: 3\ndata: v1 3"], False)
    soak.check_stream("c3", ["id: 1\ndata: v1 1"], True)
    assert [line.partition(":")[0] for line in soak.violations] == ["c1", "c2", "c3"]
    soak.booking_times = [0.1] * 100 + [1.4] * 8
    soak.check_bookings()
    assert soak.violations[-1].startswith("8 of 108 bookings without answer")
    soak.violations.clear()
    soak.booking_times = [0.1] * 100 + [0.9] * 9 + [1.4] * 8
    soak.check_bookings()
    assert not soak.violations
    soak.check_take_ups(12, 6, 12)
    soak.check_take_ups(11, 0, 12)
    assert not soak.violations
    soak.check_take_ups(12, 5, 12)
    assert len(soak.violations) == 1
