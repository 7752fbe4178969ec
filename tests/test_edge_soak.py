"""A short soak of the edge as real processes, and that its checks notice a broken build."""

import asyncio

from tests.edge_soak import run_seed
from tests.edge_soak_faults import Soak

SECONDS = 20.0


def test_edge_keeps_its_promises_while_faults_overlap():
    """Guards against joined, repeated or lost events, and repeated bookings, after any fault."""
    assert run_seed(1, SECONDS) == []


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
