"""The check of whole answers around planned stops: what it counts, and what it excuses."""

from dataclasses import replace

import pytest

from tests.planned_stops import (
    Disruption,
    PlannedSignal,
    PlannedWork,
    SentRequest,
    ServerRun,
)

# Sent after the balancer knows of the stop at 100, and cut near its end.
LATE = SentRequest("c1", "node-1", 103.1, 107.3, False, 15.0)
EARLY = replace(LATE, sent_s=102.9)
UNSENT = replace(LATE, call_id="c2", ended_s=103.2)


def is_lost(request, server_until_s=107.3, broke_off=False, disruption=None, signal=None):
    runs = {"c1": [ServerRun("s1", request.sent_s, server_until_s, broke_off)]}
    planned = signal or PlannedSignal("node-1", 100.0)
    work = PlannedWork([planned], runs, [disruption] if disruption else [])
    return [lost.request for lost in work.find_lost([request])] == [request]


@pytest.mark.parametrize(
    ("counted", "excused"),
    [
        (is_lost(LATE), is_lost(replace(LATE, complete=True))),
        (is_lost(EARLY, 106.6), is_lost(EARLY, 106.7)),
        (is_lost(LATE), is_lost(EARLY)),
        (is_lost(LATE), is_lost(LATE, broke_off=True)),
        (is_lost(replace(LATE, limit_s=4.3)), is_lost(replace(LATE, limit_s=4.2))),
        (is_lost(replace(LATE, ended_s=109.0)), is_lost(replace(LATE, ended_s=109.1))),
        (is_lost(replace(EARLY, sent_s=98.0), 106.6), is_lost(replace(EARLY, ended_s=99.9))),
        (is_lost(replace(UNSENT, ended_s=103.4)), is_lost(UNSENT)),
        (
            is_lost(LATE, disruption=Disruption("node-2", 103.0, 103.2)),
            is_lost(LATE, disruption=Disruption("node-1", 103.0, 103.2)),
        ),
        (
            is_lost(LATE, disruption=Disruption("s1", 99.0, 100.0)),
            is_lost(LATE, disruption=Disruption("s1", 99.0, 100.2)),
        ),
        (
            is_lost(LATE, disruption=Disruption("store", 107.4, 109.0)),
            is_lost(LATE, disruption=Disruption("store", 107.2, 109.0)),
        ),
        (
            is_lost(LATE, signal=PlannedSignal("node-1", 101.2, stop=False)),
            is_lost(LATE, signal=PlannedSignal("node-1", 101.0, stop=False)),
        ),
        (is_lost(LATE), is_lost(LATE, signal=PlannedSignal("node-2", 100.0))),
        (
            is_lost(LATE, signal=PlannedSignal("node-1", 100.0, serving=False)),
            is_lost(
                replace(UNSENT, ended_s=103.4),
                signal=PlannedSignal("node-1", 100.0, serving=False),
            ),
        ),
    ],
)
def test_rule_counts_a_request_and_excuses_it_for_each_reason_only(counted, excused):
    """Guards against a check that passes lost requests, or counts those that the rule allows."""
    assert (counted, excused) == (True, False)


def test_last_stop_decides_what_is_excused():
    """Guards against a stop that is excused by the one of the process before."""
    signals = [PlannedSignal("node-1", 98.9), PlannedSignal("node-1", 102.0)]
    runs = {"c1": [ServerRun("s1", 101.0, 106.7)]}
    request = replace(LATE, sent_s=101.0, ended_s=106.7)
    assert PlannedWork(signals, runs).find_lost([request])
    assert not PlannedWork(signals[:1], runs).find_lost([request])
