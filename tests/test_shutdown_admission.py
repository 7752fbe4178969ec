"""Which streams a stopping node starts, under the loads that it meets then. No network."""

import random

from hypothesis import given
from hypothesis import strategies as st

from tanagerworks.dispatch.durations import RouteDurations
from tanagerworks.dispatch.shutdown import Shutdown
from tests.edge_builders import route, stream_route

STREAMS = stream_route("chat")
STOP_S = 7.3
NOTICE_S = 2.6
TIMEOUT_S = 15.0


def starts(durations, now_s):
    """Whether a node that got its signal at 0 starts a stream that arrives at `now_s`."""
    shutdown = Shutdown(0.0, STOP_S, NOTICE_S)
    return shutdown.fits(shutdown.expect(STREAMS, durations, now_s, TIMEOUT_S), now_s)


def recorded(lengths_s):
    durations = RouteDurations()
    for took_s in lengths_s:
        durations.record_duration(STREAMS.name, took_s)
    return durations


seconds = st.floats(0.05, 8.0)


@given(st.lists(seconds, max_size=70), st.lists(seconds, max_size=5), st.floats(NOTICE_S, STOP_S))
def test_late_stream_is_started_only_if_a_much_slower_one_would_fit(ended_s, ages_s, now_s):
    """Guards against late streams that are cut because the sample holds the short ones only.

    Load: new callers until the exit, as few nodes of the zone are in rotation; servers slow down.
    """
    durations = recorded(ended_s)
    for age_s in ages_s:
        durations.record_start(STREAMS.name, now_s - age_s)
    if starts(durations, now_s):
        assert len(ended_s) >= 8
        assert now_s + 3.9 * max(*ended_s[-64:], *ages_s, 0.0) <= STOP_S


def test_streams_in_progress_count_until_they_end():
    """Guards against a node that takes late streams while older ones show how slow servers are."""
    durations = recorded([0.3] * 20)
    assert starts(durations, 4.0)
    number = durations.record_start(STREAMS.name, 2.5)
    assert not starts(durations, 4.0)
    durations.record_end(STREAMS.name, number)
    assert starts(durations, 4.0)


def test_short_streams_are_started_until_shortly_before_the_end():
    """Guards against refusals of short streams at nodes that still have time for them."""
    assert starts(recorded([0.1] * 20), STOP_S - 0.5)


def test_stops_of_young_nodes_beside_slower_servers_cut_no_late_stream():
    """Guards against cut streams at nodes that have seen few, when servers become slower then.

    Load: 2,000 stops of nodes with 8 to 32 ended streams of the lengths that drafts have, three new
    callers a second from the end of the notice on, servers 2.5 times slower.
    """
    chance = random.Random(1)
    cut = 0
    for _stop in range(2_000):
        lengths_s = [0.2 + chance.lognormvariate(0.3, 0.44) for _ in range(chance.randint(8, 32))]
        durations = recorded(lengths_s)
        now_s = NOTICE_S
        while (now_s := now_s + chance.expovariate(3.0)) < STOP_S:
            took_s = 0.2 + 2.5 * chance.lognormvariate(0.3, 0.44)
            cut += starts(durations, now_s) and now_s + took_s > STOP_S
    assert cut == 0


def test_request_is_started_if_its_own_deadline_is_before_that_of_the_stop():
    """Guards against refusals of requests that end in time whatever their servers do.

    Twice the objective of the route is longer than the time left, the caller's deadline is not.
    """
    shutdown = Shutdown(0.0, STOP_S, NOTICE_S)
    expectation = shutdown.expect(route(objective_s=2.0), RouteDurations(), 5.0, 0.5)
    assert shutdown.fits(expectation, 5.0)
