"""Pattern: one slow server among fast ones. When a second server is asked, how often, and which.

No test uses a network. The broken variants at the end show that the tests of the limits fail if a
limit is missing.
"""

import zlib

import pytest

from tanagerworks.dispatch import hedging
from tanagerworks.dispatch.hedging import (
    MIN_SAMPLES,
    HedgeRefusal,
    HedgeShare,
    HedgingPolicy,
    RouteQuantile,
    decide_hedge,
    hedge_delay_s,
)
from tanagerworks.dispatch.server_state import FAILURES_TO_EJECT
from tanagerworks.edge.route_times import RouteTimeTable
from tanagerworks.rpc.edge_pb2 import NodeState, RouteTimes, ZoneSummary
from tests.edge_builders import PLAIN_SERVICE, crash, dispatch_request, dispatcher, server_entry

POLICY = HedgingPolicy(quantile=0.95, min_delay_s=0.01, max_share=0.05)
NOW_S = 50.0


class Situation:
    """A late request at the first of three idle servers, which may be hedged; tests spoil it."""

    def __init__(self):
        names = ("first", "second", "third")
        self.node = dispatcher(
            servers=[server_entry(name, service=PLAIN_SERVICE) for name in names]
        )
        self.request = dispatch_request(service=PLAIN_SERVICE, identity="request-1")
        self.request.tried_server_ids.add("first")
        self.share = HedgeShare()
        self.attempts_left = 1
        for number in range(100):
            self.share.record_request(NOW_S - 5.0 + number / 100)
            self.node.retry_budget(PLAIN_SERVICE).record_request(NOW_S - 5.0)

    def states(self):
        return self.node.directory.servers

    def decide(self):
        return decide_hedge(
            self.node, self.request, self.attempts_left, 0.2, self.share, POLICY, NOW_S
        )


def spoil_attempts(situation):
    situation.attempts_left = 0


def spoil_time(situation):
    situation.request = dispatch_request(service=PLAIN_SERVICE, deadline_s=NOW_S + 0.1)


def spoil_share(situation):
    for _number in range(5):
        situation.share.record_hedge(NOW_S)


def spoil_budget(situation):
    nodes = situation.node.peer_table.assumed_fleet_size(NOW_S)
    budget = situation.node.retry_budget(PLAIN_SERVICE)
    for _number in range(budget.remaining_retries(nodes, NOW_S) // 2):
        assert budget.acquire_retry(nodes, NOW_S)


def spoil_load(situation):
    # 0.72 of the slots of all, while the second server still has free ones.
    for server_id, running in (("first", 6), ("second", 1), ("third", 6)):
        situation.states()[server_id].running = running


def spoil_queue(situation):
    situation.node.queue(PLAIN_SERVICE).push("call-0", 1, "customer-1", 90.0, 9)


def spoil_quarantine(situation):
    evidence = situation.node.crash_evidence
    for process, crashed_at_s in enumerate((NOW_S - 20.0, NOW_S)):
        evidence.merge_crash(process, crash(crashed_at_s, "request-1"), NOW_S)
    assert evidence.find_quarantines(["request-1"])


def spoil_servers(situation):
    situation.request.tried_server_ids.update(("second", "third"))


def spoil_health(situation):
    for state in situation.states().values():
        for _number in range(FAILURES_TO_EJECT):
            state.record_failure(0.0)


def spoil_slots(situation):
    """The candidates are full, though the service as a whole is not: the first has many slots."""
    situation.node.directory.put(server_entry("first", service=PLAIN_SERVICE, slots=90), 0.0)
    for server_id in ("second", "third"):
        situation.states()[server_id].running = 6


SPOILED = [
    (spoil_attempts, HedgeRefusal.NO_ATTEMPT_LEFT),
    (spoil_time, HedgeRefusal.NO_TIME),
    (spoil_share, HedgeRefusal.SHARE_USED),
    (spoil_quarantine, HedgeRefusal.QUARANTINED),
    (spoil_queue, HedgeRefusal.REQUESTS_WAIT),
    (spoil_budget, HedgeRefusal.BUDGET_USED),
    (spoil_load, HedgeRefusal.SERVICE_LOADED),
    (spoil_servers, HedgeRefusal.NO_SERVER),
    (spoil_health, HedgeRefusal.NO_SERVER),
    (spoil_slots, HedgeRefusal.SERVERS_FULL),
]


def test_late_request_gets_another_server():
    """Guards against requests that wait for a slow server while others are idle."""
    decision = Situation().decide()
    assert decision.refusal is None
    assert decision.choice.state.server_id in ("second", "third")


@pytest.mark.parametrize(("spoil", "refusal"), SPOILED)
def test_each_limit_keeps_a_late_request_at_its_server(spoil, refusal):
    """Guards against second requests that harm others, or that cannot help."""
    situation = Situation()
    spoil(situation)
    decision = situation.decide()
    assert (decision.choice, decision.refusal) == (None, refusal)


def test_delay_needs_enough_times():
    """Guards against hedges after a quantile of a few times, and after less than the minimum."""
    assert hedge_delay_s(POLICY, None) is None
    assert hedge_delay_s(POLICY, RouteQuantile(0.2, MIN_SAMPLES - 1)) is None
    assert hedge_delay_s(POLICY, RouteQuantile(0.2, MIN_SAMPLES)) == 0.2
    assert hedge_delay_s(POLICY, RouteQuantile(0.001, MIN_SAMPLES)) == 0.01


def count_hedges(share):
    """The hedges that a node sends if each of 2,000 requests in 20 s is late."""
    hedges = 0
    for number in range(2_000):
        now_s = number / 100
        share.record_request(now_s)
        if share.allows_hedge(POLICY.max_share, now_s):
            share.record_hedge(now_s)
            hedges += 1
    return hedges


def test_share_holds_while_all_requests_are_late():
    """Guards against twice the requests at a service that is slow as a whole."""
    assert 90 <= count_hedges(HedgeShare()) <= 100


class ShareWithoutHedges(HedgeShare):
    """Broken variant: the hedges sent are not counted."""

    def record_hedge(self, now_s):
        pass


def test_broken_variants_are_noticed(monkeypatch):
    """Guards against tests that pass without the limits."""
    assert count_hedges(ShareWithoutHedges()) > 100
    monkeypatch.setattr(hedging, "_refusal_by_limits", lambda *_: None)
    for spoil, _refusal in SPOILED[:7]:
        situation = Situation()
        spoil(situation)
        assert situation.decide().choice is not None


def filled_table(zone, times_ms, now_s=NOW_S):
    table = RouteTimeTable(zone)
    for time_ms in times_ms:
        table.record("desk-read", time_ms / 1000, now_s)
    return table


def report_of(table, name, zone, in_summary, now_s=NOW_S):
    """A message with the times of a node, or with those of its zone."""
    summary = ZoneSummary() if in_summary else None
    state = NodeState(name=name, zone=zone, summary=summary)
    state.route_times.extend(table.to_reports(in_summary, now_s, 300))
    assert state.route_times
    return state


def test_quantile_is_that_of_the_fleet():
    """Guards against a delay that follows from the few times that one node sees.

    The slow times were seen at a node of the own zone and at two nodes of another one.
    """
    other_zone = filled_table("zone-b", [100] * 300 + [400] * 30)
    other_zone.merge(report_of(filled_table("zone-b", [400] * 20), "b-2", "zone-b", False), NOW_S)
    table = filled_table("zone-a", [100] * 30)
    assert table.quantile("desk-read", 0.95, NOW_S).time_s == pytest.approx(0.1, rel=0.02)
    table.merge(report_of(other_zone, "b-1", "zone-b", True), NOW_S)
    table.merge(report_of(filled_table("zone-a", [400] * 9), "a-2", "zone-a", False), NOW_S)
    found = table.quantile("desk-read", 0.95, NOW_S + 2.0)
    assert found.time_s == pytest.approx(0.4, rel=0.02)
    assert found.samples == 30 + 350 + 9


def test_old_times_do_not_count():
    """Guards against a delay that follows from times before the load has changed."""
    table = filled_table("zone-a", [100] * 100)
    table.merge(report_of(filled_table("zone-a", [400] * 100), "a-2", "zone-a", False), NOW_S)
    assert 100 < table.quantile("desk-read", 0.5, NOW_S + 9.0).samples < 200
    assert table.quantile("desk-read", 0.5, NOW_S + 11.1) is None


def test_large_histogram_fits_into_a_message():
    """Guards against a busy route whose times never reach other nodes."""
    table = filled_table("zone-a", [20 * 1.001**number for number in range(5_000)])
    receiver = RouteTimeTable("zone-a")
    receiver.merge(report_of(table, "a-2", "zone-a", False), NOW_S)
    exact = table.quantile("desk-read", 0.95, NOW_S).time_s
    assert receiver.quantile("desk-read", 0.95, NOW_S).time_s == pytest.approx(exact, rel=0.07)


VALID = filled_table("zone-a", [100] * 100).to_reports(False, NOW_S, 300)[0]
PLAIN = zlib.decompress(VALID.histogram)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"nonsense",
        VALID.histogram[:-5],
        zlib.compress(b"\0" * 40),
        zlib.compress(b"\0" * 1_000_000),
        zlib.compress(PLAIN[:40]),
        zlib.compress(PLAIN[:40] + b"\xff" * 200),
        zlib.compress(PLAIN[:40] + b"\x02" * 5_000),
        # Counters for times of up to two thousand years.
        zlib.compress(PLAIN[:24] + b"\x7f" * 8 + PLAIN[32:]),
        # A billion of the shortest times.
        zlib.compress(PLAIN[:40] + b"\x80\xa8\xd6\xb9\x07"),
    ],
)
def test_unusable_times_of_a_peer_change_nothing(data, caplog):
    """Guards against a peer whose nonsense ends the exchange or moves the delay of others."""
    table = filled_table("zone-a", [100] * 60)
    state = NodeState(name="a-2", zone="zone-a")
    state.route_times.append(RouteTimes(route=VALID.route, histogram=data, window_ms=2_000))
    for _number in range(3):
        table.merge(state, NOW_S)
    assert table.quantile("desk-read", 0.95, NOW_S).samples == 60
    assert [record.message for record in caplog.records] == ["times of routes unusable"]
