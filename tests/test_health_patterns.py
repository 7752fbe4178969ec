"""Load pattern: many nodes with few requests each, while some servers fail for four seconds.

The fleets run in virtual time without a network. Each node sends a request about every 0.25 s, so
it sends one server a request every few seconds.
"""

import asyncio
import random
from types import SimpleNamespace

import pytest

from tanagerworks.dispatch import fleet_health
from tanagerworks.dispatch.directory import server_key
from tanagerworks.dispatch.fleet_health import Outcomes, process_hash
from tanagerworks.dispatch.server_state import FAILURES_TO_EJECT
from tanagerworks.edge.health_reports import HealthExchange, _fitting_reports, has_hung
from tanagerworks.edge.request_state import Attempt
from tanagerworks.rpc.edge_pb2 import NodeState, ZoneSummary
from tests.edge_builders import (
    configuration,
    dispatch_request,
    dispatcher,
    peer,
    prompt,
    server_entry,
)
from tests.virtual_fleet import VirtualFleet, run_in_virtual_time

BEGIN_S = 4.0
END_S = 8.0
PERIOD_S = 0.25
ANSWER_S = 0.3
STREAM_S = 1.0
HANG_S = 1.0


class FailingServers:
    """Sends the requests of a fleet to servers of which some fail from `BEGIN_S` to `END_S`."""

    def __init__(
        self, nodes, zones, servers, failing, failure_share=1.0, delay_s=0.02, sharing=True, seed=7
    ):
        self.fleet = VirtualFleet(nodes, zones)
        self.loop = self.fleet.loop
        self.random = random.Random(seed)
        entries = [server_entry(f"i-{number:03}", slots=32) for number in range(servers)]
        self.failing = {entry.server_id for entry in entries[:failing]}
        self.failure_share = failure_share
        self.delay_s = delay_s
        # Time of each request, its server and whether it failed.
        self.sent = []
        self.lost = []
        self.fleet.put_servers(entries)
        for node in self.fleet.nodes:
            node.dispatcher.apply_configuration(configuration())
            if not sharing:
                node.exchange.health.receive = lambda *_: None

    async def run(self, until_s=11.0):
        self.fleet.start()
        for node in self.fleet.nodes:
            self.loop.call_later(1.5 + self.random.uniform(0.0, PERIOD_S), self.send, node)
        await asyncio.sleep(until_s)
        return self

    def send(self, node):
        now_s = self.loop.time()
        self.loop.call_later(PERIOD_S * self.random.uniform(0.5, 1.5), self.send, node)
        subject = f"subject-{self.random.randrange(60)}"
        request = dispatch_request(
            f"call-{len(self.sent)}",
            request_prompt=prompt((subject, 3_000), (f"own-{len(self.sent)}", 200)),
            repeatable=self.random.random() < 0.5,
        )
        choice = node.dispatcher.choose_server(request, now_s)
        node.dispatcher.record_start(request, choice, now_s)
        node.dispatcher.record_sent(request, choice.state.server_id, now_s)
        state = choice.state
        fails = (
            state.server_id in self.failing
            and BEGIN_S <= now_s < END_S
            and self.random.random() < self.failure_share
        )
        self.sent.append((now_s, state.server_id, fails))
        self.lost.append(fails and not request.repeatable)
        health = node.dispatcher.fleet_health

        def end_failed():
            state.record_end(request.call_id)
            health.record_failure(state, False, self.loop.time())
            state.record_failure(self.loop.time())

        def end_answered():
            state.record_end(request.call_id)
            state.record_success(STREAM_S)

        if fails:
            self.loop.call_later(self.delay_s, end_failed)
            return
        self.loop.call_later(ANSWER_S, lambda: health.record_answer(state, now_s, self.loop.time()))
        self.loop.call_later(STREAM_S, end_answered)

    def failed(self, since_s=0.0):
        return sum(fails for at_s, _server, fails in self.sent if at_s >= since_s)

    def share_at_failing(self, since_s, until_s):
        """Returns the share of requests sent to the failing servers within a time."""
        servers = [server for at_s, server, _fails in self.sent if since_s <= at_s < until_s]
        return sum(server in self.failing for server in servers) / len(servers)


def run_pattern(**changes):
    async def scenario():
        pattern = FailingServers(
            **({"nodes": 30, "zones": 3, "servers": 30, "failing": 8} | changes)
        )
        return await pattern.run()

    return run_in_virtual_time(scenario())


def test_fleet_avoids_servers_that_fail_everything():
    """Guards against a fleet in which every node in turn meets the failures of a server.

    Without the reports of others (the broken variant), requests at these servers go on failing.
    """
    runs = [run_pattern(seed=seed) for seed in (7, 8, 9)]
    runs_alone = [run_pattern(sharing=False, seed=seed) for seed in (7, 8, 9)]
    failed_alone = sum(run.failed() for run in runs_alone)
    assert sum(run.failed() for run in runs) < 0.3 * failed_alone
    # Probes go on; they are requests that are sent again. One run has about 12 lost requests, so
    # their number is compared over all of them.
    lost, lost_alone = (sum(sum(run.lost) for run in some) for some in (runs, runs_alone))
    assert lost < 0.15 * lost_alone, (lost, lost_alone)
    shared = runs[0]
    assert shared.share_at_failing(BEGIN_S + 1.0, END_S) < 0.1
    # Eight of 30 servers have recovered.
    assert shared.share_at_failing(END_S + 1.0, END_S + 2.0) > 0.2


@pytest.mark.parametrize("changes", [{"failure_share": 0.45}, {"delay_s": HANG_S}])
def test_fleet_avoids_servers_that_fail_partly_or_hang(changes):
    """Guards against evidence that counts only servers that fail everything at once."""
    shared, alone = run_pattern(**changes), run_pattern(sharing=False, **changes)
    assert shared.failed() < 0.65 * alone.failed()
    assert sum(shared.lost) < 0.5 * sum(alone.lost)


# Decisions of one node, without messages


def make_node(servers=4, peers=()):
    entries = [server_entry(f"s{number}") for number in range(servers)]
    node = dispatcher("node-1", entries, peers)
    node.fleet_health.zone = "zone-a"
    return node


def report(node, server_id, reporter, failures, answers=0, at_s=1.0, zone="zone-a", nodes=1):
    state = node.directory.servers[server_id]
    outcomes = Outcomes(answers, failures, nodes if failures else 0, at_s)
    key = server_key(server_id)
    node.fleet_health.merge_report(key, process_hash(state), reporter, zone, outcomes, at_s)


def ejected(node, now_s=1.1):
    node.fleet_health.evaluate(now_s)
    return {state.server_id for state in node.directory.servers.values() if state.fleet_ejected}


def test_evidence_of_two_nodes_ejects_and_that_of_one_changes_nothing(monkeypatch):
    """Guards against a node, or a sender of sums, that takes servers from all others."""

    node = make_node(servers=8)
    for server in ("s0", "s1", "s2"):
        report(node, server, "liar", 100_000, nodes=50)
        report(node, server, "liar/", 100_000, zone="zone-b", nodes=50)
        report(node, server, "liar/", 100_000, zone="zone-c", nodes=50)
    report(node, "s4", "node-2", 2)
    report(node, "s4", "node-3", 1, answers=3)
    report(node, "s5", "node-2", 2)
    report(node, "s5", "node-3", 1, answers=4)
    assert ejected(node) == {"s4"}
    assert node.directory.servers["s0"].fleet_failure_share == 0.0
    assert 0.3 < node.directory.servers["s5"].fleet_failure_share < 0.5
    monkeypatch.setattr(fleet_health, "_MIN_FAILING_NODES", 1)
    broken = make_node()
    report(broken, "s0", "liar", 100_000)
    assert ejected(broken) == {"s0"}


def is_ejected_by_false_count():
    """Returns whether a huge count of one node and one genuine failure of another eject s0."""
    node = make_node()
    report(node, "s0", "liar", 10_000)
    report(node, "s0", "liar/", 10_000, zone="zone-b", nodes=20)
    report(node, "s0", "liar/", 10_000, zone="zone-c", nodes=20)
    report(node, "s0", "node-2", 1, answers=1)
    report(node, "s0", "node-3", 0, answers=3)
    return ejected(node) == {"s0"}


def test_count_of_one_node_does_not_outweigh_the_answers_of_others(monkeypatch):
    """Guards against one false number that ejects a sound server after a genuine failure."""
    assert not is_ejected_by_false_count()
    monkeypatch.setattr(fleet_health, "_MAX_EXCESS_FAILURES", 10_000)
    assert is_ejected_by_false_count()


def test_false_sum_of_one_sender_does_not_count_beside_another():
    """Guards against one node of a zone that reports false sums for all of the zone."""
    node = make_node()
    report(node, "s0", "liar/", 500, zone="zone-b", nodes=20)
    report(node, "s0", "honest/", 0, answers=5, zone="zone-b")
    assert ejected(node) == set()
    report(node, "s0", "honest/", 4, zone="zone-b", nodes=3)
    assert ejected(node, 1.2) == {"s0"}


def test_at_most_half_of_the_servers_are_ejected_and_the_others_rank_last(monkeypatch):
    """Guards against ejecting a service, and against a failing server that is the only one used.

    The failing server beyond the limit holds the prompt; without the term for failures in the
    score, it gets the request.
    """
    node = make_node()
    for number, answers in enumerate((0, 1, 0)):
        report(node, f"s{number}", "node-2", 2, answers)
        report(node, f"s{number}", "node-3", 2)
    assert ejected(node) == {"s0", "s2"}
    # A node's own ejections do not count towards the limit.
    for _failure in range(FAILURES_TO_EJECT):
        node.directory.servers["s3"].record_failure(0.0)
    assert ejected(node, 1.2) == {"s0", "s2"}
    node.directory.servers["s3"].record_success(0.1)
    request = dispatch_request(request_prompt=prompt(("shared", 5_000), ("own", 100)))
    node.record_sent(request, "s1", 1.0)
    assert node.choose_server(request, 1.2).state.server_id == "s3"
    monkeypatch.setattr("tanagerworks.dispatch.choice._FAILURE_WEIGHT", 0.0)
    assert node.choose_server(request, 1.2).state.server_id == "s1"


def test_node_whose_own_network_fails_reports_nothing():
    """Guards against a node that is cut off from the servers and makes others avoid them."""
    node = make_node()
    health = node.fleet_health
    for state in list(node.directory.servers.values())[:3]:
        health.record_failure(state, False, 1.0)
    assert len(list(health.own_reports(1.1))) == 3
    health.record_answer(node.directory.servers["s3"], 0.9, 1.0)
    assert list(health.own_reports(1.1)) == []
    report(node, "s0", "node-2", 1)
    assert len(list(health.own_reports(1.1))) == 4 - 1


def test_few_nodes_probe_and_a_success_ends_the_ejection():
    """Guards against all nodes that probe at once, and a server that is never used again."""
    names = [f"n{number:02}" for number in range(30)]
    probing = []
    for name in names:
        peers = [peer(other, last_seen_s=1.0) for other in names if other != name]
        node = dispatcher(name, [server_entry("s0"), server_entry("s1")], peers)
        node.fleet_health.zone = "zone-a"
        for reporter in ("node-2", "node-3"):
            report(node, "s0", reporter, 2)
        assert ejected(node) == {"s0"}
        assert node.fleet_health.find_probe("models", True, 1.5) == []
        if node.fleet_health.find_probe("models", True, 2.0):
            probing.append(node)
            assert node.fleet_health.find_probe("models", False, 2.0) == []
    assert len(probing) == 2
    prober = probing[0]
    request = dispatch_request(repeatable=True)
    choice = prober.choose_server(request, 2.0)
    assert choice.state.server_id == "s0"
    prober.record_start(request, choice, 2.0)
    assert prober.fleet_health.find_probe("models", True, 2.3) == []
    choice.state.record_end(request.call_id)
    # The answer to a request from before the ejection shows nothing.
    prober.fleet_health.record_answer(choice.state, 0.9, 2.1)
    assert ejected(prober, 2.1) == {"s0"}
    prober.fleet_health.record_answer(choice.state, 2.0, 2.2)
    assert ejected(prober, 2.2) == set()
    ((_state, outcomes),) = prober.fleet_health.own_reports(2.2)
    report(probing[1], "s0", prober.name, outcomes.failures, outcomes.answers, 2.2)
    assert ejected(probing[1], 2.2) == set()
    # Gradual return: the share of failures fades within a second.
    state = probing[1].directory.servers["s0"]
    assert state.fleet_failure_share > 0.5
    probing[1].fleet_health.evaluate(3.3)
    assert state.fleet_failure_share == 0.0


def is_ejected_after_reports_of_one_node(reporters, zone):
    """Returns whether s0 is still ejected 4 s after an ejection, with reports of one node since."""
    node = make_node()
    for reporter in ("node-2", "node-3"):
        report(node, "s0", reporter, 2)
    assert ejected(node) == {"s0"}
    for step in range(40):
        now_s = 1.2 + 0.1 * step
        for reporter in reporters:
            report(node, "s0", reporter, 500, at_s=now_s, zone=zone, nodes=20)
        node.fleet_health.evaluate(now_s)
    return ejected(node, now_s + 0.1) == {"s0"}


def test_reports_of_one_node_do_not_renew_an_ejection(monkeypatch):
    """Guards against one node that keeps a server ejected at all others by reporting failures."""
    assert not is_ejected_after_reports_of_one_node(["liar"], "zone-a")
    assert not is_ejected_after_reports_of_one_node(["liar", "liar/"], "zone-b")
    assert is_ejected_after_reports_of_one_node(["node-2", "node-4"], "zone-a")
    assert is_ejected_after_reports_of_one_node(["node-4/", "node-5/"], "zone-b")
    # In the broken variant, a node counts for two.
    failure_times = fleet_health.ServerHealth.failure_times
    monkeypatch.setattr(
        fleet_health.ServerHealth, "failure_times", lambda *args: 2 * failure_times(*args)
    )
    assert is_ejected_after_reports_of_one_node(["liar"], "zone-a")


def test_reports_count_only_under_the_name_of_a_live_peer_in_its_zone(monkeypatch):
    """Guards against one sender that reports under many names or for other zones."""
    node = make_node(
        peers=[
            peer("node-2", last_seen_s=1.0, zone="zone-a"),
            peer("node-3", last_seen_s=1.0, zone="zone-b"),
            peer("lost", last_seen_s=-9.0, zone="zone-a"),
        ]
    )
    exchange = HealthExchange("node-1", "zone-a", node.fleet_health, node.peer_table)
    state = node.directory.servers["s0"]
    reports, _left = _fitting_reports([(state, Outcomes(0, 2, 1, 1.0))], 1.0)

    def accepted(name, zone, is_sum=False):
        message = NodeState(name=name, zone=zone, health=reports)
        if is_sum:
            message.summary.CopyFrom(ZoneSummary())
        node.fleet_health.servers.clear()
        exchange.relay_timer = True
        exchange.receive(message, 1.0)
        return bool(node.fleet_health.servers)

    assert accepted("node-2", "zone-a")
    assert accepted("node-3", "zone-b")
    # Sums of a sender's own zone, and those that a relay in this zone passes on.
    assert accepted("node-3", "zone-b", is_sum=True)
    assert accepted("node-2", "zone-b", is_sum=True)
    false_senders = [
        ("made-up", "zone-a", False),
        ("made-up", "zone-b", True),
        ("lost", "zone-a", False),
        ("node-2", "zone-b", False),
        ("node-3", "zone-c", True),
    ]
    assert not any(accepted(*sender) for sender in false_senders)
    monkeypatch.setattr(HealthExchange, "_is_from_live_peer", lambda *_: True)
    assert all(accepted(*sender) for sender in false_senders)


def test_expired_reports_are_removed_during_an_ejection(monkeypatch):
    """Guards against memory that grows with the names that report on an ejected server."""

    def known_reports():
        node = make_node()
        for reporter in ("node-2", "node-3"):
            report(node, "s0", reporter, 2)
        assert ejected(node) == {"s0"}
        for number in range(50):
            report(node, "s0", f"name-{number}", 1, at_s=1.2)
            report(node, "s0", f"name-{number}/", 1, at_s=1.2, zone="zone-b")
        assert ejected(node, 3.3) == {"s0"}
        health = node.fleet_health.servers[server_key("s0")]
        return len(health.node_reports) + len(health.zone_reports)

    assert known_reports() == 0
    monkeypatch.setattr(fleet_health.ServerHealth, "remove_expired_reports", lambda *_: None)
    assert known_reports() > 100


def test_entry_that_comes_back_brings_no_ejection():
    """Guards against a server that stays ejected since its entry expired in between."""
    node = make_node()
    for reporter in ("node-2", "node-3"):
        report(node, "s0", reporter, 2)
    assert ejected(node) == {"s0"}
    state = node.directory.servers["s0"]
    state.running = 1
    node.directory.delete("s0", 1.2)
    node.fleet_health.evaluate(1.6)
    node.directory.put(server_entry("s0"), 1.7)
    assert node.directory.servers["s0"] is state
    assert not state.is_ejected(1.7)


def test_reports_are_bounded_and_of_one_process():
    """Guards against datagrams that grow with the failures, and new processes that inherit them."""
    node = make_node(servers=60)
    states = list(node.directory.servers.values())
    found, left = _fitting_reports(
        ((state, Outcomes(1, number, 1, 0.5)) for number, state in enumerate(states)), 1.0
    )
    assert sum(item.ByteSize() + 3 for item in found) <= 300
    assert found[0].failures == 59
    assert len(found) + len(left) == 60
    node.directory.put(server_entry("s0", started_ms=2), 0.5)
    old = process_hash(states[0])
    for reporter in ("node-2", "node-3"):
        outcomes = Outcomes(0, 9, 1, 1.0)
        node.fleet_health.merge_report(server_key("s0"), old, reporter, "zone-a", outcomes, 1.0)
    assert ejected(node) == set()


def test_attempt_that_ends_at_the_deadline_counts_as_failure():
    """Guards against a hung server of requests that may run only once, which shows no failure."""

    request = SimpleNamespace(deadline_s=10.0, route=SimpleNamespace(timeout_s=2.0))
    attempt = Attempt(make_node().directory.servers["s0"], 0, 8.5, None)
    assert has_hung(request, attempt, 10.0)
    # The caller left, the request came late to the server, or an answer is under way.
    assert not has_hung(request, attempt, 9.0)
    attempt.sent_s = 9.5
    assert not has_hung(request, attempt, 10.0)
    attempt.sent_s, attempt.answer_under_way = 8.5, True
    assert not has_hung(request, attempt, 10.0)


def share_of_ejected_servers():
    """Returns the share of servers that a node does not use while all fail 45% of requests."""

    async def scenario():
        return await FailingServers(30, 3, 30, failing=30, failure_share=0.45).run(END_S - 0.5)

    nodes = run_in_virtual_time(scenario()).fleet.nodes
    ejected = [
        state.fleet_ejected
        for node in nodes
        for state in node.dispatcher.directory.servers.values()
    ]
    return sum(ejected) / len(ejected)


def test_fleet_ejects_no_server_if_all_fail_a_part_of_their_requests(monkeypatch):
    """Guards against half of the servers being unused, and prompts moved, for failures of all.

    In the broken variant, failures of most servers count like those of some.
    """
    assert share_of_ejected_servers() == 0.0
    monkeypatch.setattr(fleet_health, "_MAX_FAILING_SHARE", 1.0)
    assert share_of_ejected_servers() > 0.1
