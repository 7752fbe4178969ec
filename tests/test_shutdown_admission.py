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


def starts(durations, now_s, arrived_s=None, limit_s=TIMEOUT_S):
    """Whether a node that got its signal at 0 starts a stream at `now_s`, its arrival by default.

    `limit_s` is the time left until the stream's own deadline.
    """
    shutdown = Shutdown(0.0, STOP_S, NOTICE_S)
    arrived_s = now_s if arrived_s is None else arrived_s
    return shutdown.fits(shutdown.expect(STREAMS, durations, arrived_s, now_s, limit_s), now_s)


def recorded(lengths_s):
    durations = RouteDurations()
    for took_s in lengths_s:
        durations.record_duration(STREAMS.name, took_s)
    return durations


seconds = st.floats(0.05, 8.0)


@given(
    st.lists(seconds, max_size=70),
    st.floats(NOTICE_S, STOP_S),
    st.floats(0.05, TIMEOUT_S),
    st.floats(0.0, TIMEOUT_S),
)
def test_stream_that_came_late_is_never_cut(ended_s, now_s, limit_s, took_s):
    """Guards against late streams that are cut as they outlast all streams before them.

    Load: new callers until the exit, as few nodes of the zone are in rotation; streams of any
    length and pace, up to their deadline, after streams of other lengths and paces.
    """
    if starts(recorded(ended_s), now_s, limit_s=limit_s):
        assert now_s + min(took_s, limit_s) <= STOP_S


@given(st.lists(seconds, max_size=70), st.lists(seconds, max_size=5), st.floats(NOTICE_S, STOP_S))
def test_stream_that_waited_is_started_only_if_a_much_slower_one_would_fit(ended_s, ages_s, now_s):
    """Guards against streams that leave the queue late because the sample holds short ones only.

    Load: streams that came before the balancer knew of the stop, while servers slow down.
    """
    durations = recorded(ended_s)
    for age_s in ages_s:
        durations.record_start(STREAMS.name, now_s - age_s)
    if starts(durations, now_s, arrived_s=1.0):
        assert len(ended_s) >= 8
        assert now_s + 3.9 * max(*ended_s[-64:], *ages_s, 0.0) <= STOP_S


def test_streams_in_progress_count_until_they_end():
    """Guards against a node that starts streams while older ones show how slow servers are."""
    durations = recorded([0.3] * 20)
    assert starts(durations, 4.0, arrived_s=2.5)
    number = durations.record_start(STREAMS.name, 2.5)
    assert not starts(durations, 4.0, arrived_s=2.5)
    durations.record_end(STREAMS.name, number)
    assert starts(durations, 4.0, arrived_s=2.5)


def test_streams_are_started_as_long_as_they_cannot_be_cut():
    """Guards against refusals at nodes that still have time: by the deadline, or by what waited."""
    assert starts(recorded([]), STOP_S - 0.5, limit_s=0.4)
    assert starts(recorded([0.1] * 20), STOP_S - 0.5, arrived_s=2.5)
    assert starts(recorded([1.0] * 20), 2.5)


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
    expectation = shutdown.expect(route(objective_s=2.0), RouteDurations(), 5.0, 5.0, 0.5)
    assert shutdown.fits(expectation, 5.0)
