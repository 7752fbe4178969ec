"""Choices under uneven servers: some are 2.8 times slower for seconds; all state their speed.

Each docstring names the load pattern. The tests use no network and no clock.
"""

import asyncio
import random
from heapq import heappop, heappush
from statistics import quantiles

import pytest

from tanagerworks.dispatch.server_load import (
    ReportedLoad,
    ReportSource,
    ServerReports,
    WorkTimeMean,
)
from tanagerworks.edge.backend_connection import BackendConnection, ConnectionPool
from tanagerworks.edge.load_reports import LoadReports
from tanagerworks.rpc.edge_pb2 import LoadReport
from tests.edge_builders import (
    PLAIN_SERVICE,
    dispatch_request,
    dispatcher,
    prompt,
    server_entry,
)
from tests.virtual_fleet import VirtualFleet, run_in_virtual_time

SLOW_FACTOR = 2.8
# The factor that a server states varies by this range around its mean.
VARIATION = (0.8, 1.3)
PREFILL_TOKENS_PER_S = 60_000
DECODING_S = 0.8


def report(state, factor, now_s, load=0, source=ReportSource.OWN):
    state.reports.record_report(ReportedLoad(load, 0, factor, now_s), source)


def state_factor(state, factor, until_s, seed=1):
    """Lets a server state a varying factor four times a second for two seconds."""
    spread = random.Random(seed)
    for number in range(8):
        report(state, factor * spread.uniform(*VARIATION), until_s - 0.25 * (8 - number))


class Burst:
    """Requests at 12 model servers, of which some are slow; servers prefill one by one."""

    def __init__(self, slow_servers, states_factor, seed=1):
        self.random = random.Random(seed)
        self.node = dispatcher(servers=[server_entry(f"m{n}", slots=32) for n in range(12)])
        self.speeds = {f"m{n}": SLOW_FACTOR if n < slow_servers else 1.0 for n in range(12)}
        self.states_factor = states_factor
        self.idle_from_s = dict.fromkeys(self.speeds, 0.0)
        self.events = []
        self.first_event_s = []

    def send(self, number, now_s):
        is_new = number % 3 == 0
        part = f"new-{number}" if is_new else f"club-{self.random.randrange(40)}"
        parts = prompt((part, 4_000 if is_new else 10_000), (f"own-{number}", 1_000))
        request = dispatch_request(f"call-{number}", request_prompt=parts)
        choice = self.node.choose_server(request, now_s)
        if choice.state is None:
            self.first_event_s.append(1.0)
            return
        self.node.record_start(request, choice, now_s)
        self.node.record_sent(request, choice.state.server_id, now_s)
        server_id = choice.state.server_id
        copied = parts.tokens - choice.prefill_tokens if choice.copy_from else 0
        work_s = (choice.prefill_tokens + copied / 2) / PREFILL_TOKENS_PER_S
        begins_s = max(now_s, self.idle_from_s[server_id])
        first_s = begins_s + work_s * self.speeds[server_id]
        self.idle_from_s[server_id] = first_s
        self.first_event_s.append(first_s - now_s)
        heappush(self.events, (first_s, number, choice, True))

    def advance(self, now_s):
        while self.events and self.events[0][0] <= now_s:
            at_s, number, choice, is_first = heappop(self.events)
            state = choice.state
            if not is_first:
                state.record_end(f"call-{number}")
                continue
            state.subtract_prefill_tokens(choice.prefill_tokens)
            speed = self.speeds[state.server_id]
            factor = speed * self.random.uniform(*VARIATION) if self.states_factor else None
            report(state, factor, at_s, state.running)
            heappush(self.events, (at_s + DECODING_S * speed, number, choice, False))

    def run(self, per_s=150, seconds=4.0):
        for number in range(int(per_s * seconds)):
            now_s = number / per_s
            self.advance(now_s)
            self.send(number, now_s)
        return self


def first_event_p95_s(slow_servers, states_factor):
    """Returns the time to the first event in a burst, at the 95th percentile of three runs."""
    bursts = [Burst(slow_servers, states_factor, seed).run() for seed in range(3)]
    return quantiles([time_s for burst in bursts for time_s in burst.first_event_s], n=20)[-1]


def test_first_events_of_a_burst_do_not_wait_for_slow_servers():
    """Pattern: burst while 3 of 12 servers are slow.

    Guards against choices that ignore how long work takes. Without the factor, the broken variant,
    the slow servers keep their share of the requests.
    """
    assert first_event_p95_s(3, states_factor=True) < 0.75 * first_event_p95_s(3, False)


def test_factor_changes_nothing_while_all_servers_are_equal():
    """Pattern: burst while no server is slow. Guards against moves that noise causes."""
    assert first_event_p95_s(0, states_factor=True) < 1.1 * first_event_p95_s(0, False)


def chosen_with_cached_part(caching_factors, shared, own=1_000, other_factor=1.0):
    """Returns how many of some choices go to the server that has cached the shared part."""
    kept = 0
    for seed, caching_factor in enumerate(caching_factors):
        node = dispatcher(servers=[server_entry(f"m{n}") for n in range(4)])
        request = dispatch_request(request_prompt=prompt(("club", shared), ("own", own)))
        node.cached_parts.record_parts(request.prompt.keys[:1], "m0", 0.0)
        for number, state in enumerate(node.directory.servers.values()):
            factor = other_factor if number else caching_factor
            state_factor(state, factor, 2.0, 10 * seed + number)
        kept += node.choose_server(request, 2.0).state.server_id == "m0"
    return kept


class LatestFactor(WorkTimeMean):
    """A broken variant: the last factor holds, without a mean or an excess that says nothing."""

    def add_factor(self, factor, reported_at_s):
        self.deviations = factor - 1.0

    def slowdown(self, now_s):
        return 1.0 + self.deviations


@pytest.mark.parametrize(("shared", "own"), [(300, 1_500), (2_000, 6_000), (10_000, 30_000)])
def test_varying_factor_moves_no_prompt(shared, own, monkeypatch):
    """Pattern: returning chats while factors vary between 0.8 and 1.3 at equal servers.

    Guards against prompts that move away from the servers that have cached them.
    """
    assert chosen_with_cached_part([1.0] * 40, shared, own) == 40
    monkeypatch.setattr(WorkTimeMean, "add_factor", LatestFactor.add_factor)
    monkeypatch.setattr(WorkTimeMean, "slowdown", LatestFactor.slowdown)
    assert chosen_with_cached_part([1.0] * 40, shared, own) < 40


@pytest.mark.parametrize(("shared", "kept"), [(0, 0), (1_000, 0), (3_000, 0), (12_000, 5)])
def test_slow_server_keeps_only_prompts_that_are_expensive_elsewhere(shared, kept):
    """Pattern: chats while the server that has cached their part is slow.

    Guards against waiting for a slow server for the sake of a small part, and against a large part
    that moves for seconds of slowness.
    """
    assert chosen_with_cached_part([SLOW_FACTOR] * 5, shared) == kept


def test_prompts_stay_while_all_servers_are_equally_slow():
    """Pattern: general overload. Guards against copies that seem cheap since all work is slow."""
    assert chosen_with_cached_part([6.0] * 20, 8_000, other_factor=6.0) == 20


def test_report_neither_adds_to_the_own_count_nor_hides_later_requests():
    """Pattern: a busy server. Guards against requests that are counted twice or not at all."""
    state = dispatcher(servers=[server_entry("m0")]).directory.servers["m0"]
    for number in range(10):
        state.record_start(f"call-{number}", 0)
        state.reports.record_start(f"call-{number}", 0.1 * number)
    report(state, None, 0.95, load=10)
    assert state.load(1.0) == 10
    report(state, None, 0.75, load=40)
    assert state.load(1.0) == 10, "a younger report holds"
    state.reports = ServerReports(started_at_s=state.reports.started_at_s)
    report(state, None, 0.75, load=20, source=ReportSource.OTHER_ZONE)
    assert state.load(1.0) == 22, "two requests were sent after the report"
    state.record_end("call-9")
    assert state.load(1.0) == 21
    assert state.load(1.3) == 9, "the report is too old"


def test_false_loads_harm_only_the_server_that_reports_them():
    """Pattern: a server that reports no load, and one that reports a huge one.

    Guards against more requests than the fleet knows to be there, and against a mean load and a
    wait that grow with a false figure.
    """
    node = dispatcher(servers=[server_entry(f"d{n}", service=PLAIN_SERVICE) for n in range(3)])
    request = dispatch_request(service=PLAIN_SERVICE)
    before_s = node.estimate_retry_after_s(request, 1.0)
    idle, huge, _other = node.directory.servers.values()
    for number in range(11):
        idle.record_start(f"call-{number}", 0)
    report(idle, None, 1.0, load=0)
    report(huge, None, 1.0, load=999_999)
    assert idle.load(1.0) == 11
    assert node.choose_server(request, 1.0).state.server_id == "d2"
    assert node.estimate_retry_after_s(request, 1.0) < before_s + 0.1


def test_mean_factor_follows_reports_and_returns_without_them():
    """Pattern: a server that is slow for seconds. Guards against one figure that decides."""
    work_time = WorkTimeMean()
    work_time.add_factor(1.3, 10.0)
    assert work_time.slowdown(10.0) == 1.0
    for number in range(100):
        work_time.add_factor(SLOW_FACTOR, 10.01 + 0.001 * number)
    assert work_time.weights < 7, "repetitions of a report count once"
    for number in range(30):
        work_time.add_factor(SLOW_FACTOR, 11.0 + 0.1 * number)
    excess = work_time.factor(13.9) - 1.0
    assert 1.5 < excess <= 1.8
    assert work_time.factor(16.9) - 1.0 == pytest.approx(excess * 0.368, rel=0.01)


def test_estimates_and_plain_choice_use_the_factor():
    """Pattern: slow plain servers. Guards against accepting what cannot be finished in time."""
    node = dispatcher(servers=[server_entry(f"d{n}", service=PLAIN_SERVICE) for n in range(2)])
    request = dispatch_request(service=PLAIN_SERVICE, deadline_s=2.2)
    first, second = node.directory.servers.values()
    first.service_time_s = second.service_time_s = 0.12
    state_factor(first, SLOW_FACTOR, 2.0)
    assert node.choose_server(request, 2.0).state is second
    assert node.can_finish_in_time(request, 2.0)
    state_factor(second, SLOW_FACTOR, 2.0)
    assert not node.can_finish_in_time(request, 2.0)


def plain_choice(loads, reuses_connections=True):
    """Returns the choice among idle or busy plain servers; the node is connected to the last."""
    node = dispatcher(servers=[server_entry(f"d{n}", service=PLAIN_SERVICE) for n in range(3)])
    node.has_connection = lambda state, _now_s: state.server_id == "d2"
    for state, load in zip(node.directory.servers.values(), loads, strict=True):
        state.running = load
    request = dispatch_request(service=PLAIN_SERVICE, reuses_connections=reuses_connections)
    return node.choose_server(request, 1.0).state.server_id


def test_connection_decides_between_plain_servers_that_are_nearly_equal(monkeypatch):
    """Pattern: short idempotent requests. Guards against a new connection for most of them.

    Guards also against a server that gets more load than others since the node is connected to it,
    and against requests that may run only once on a connection that the server may have dropped.
    """
    assert plain_choice([1, 1, 2]) == "d2"
    assert plain_choice([0, 0, 2]) == "d0"
    assert plain_choice([1, 1, 2], reuses_connections=False) == "d0"
    monkeypatch.setattr("tanagerworks.dispatch.choice._CONNECTION_TOLERANCE", 0.0)
    assert plain_choice([1, 1, 2]) == "d0", "the broken variant"


def test_only_connections_that_are_hardly_idle_count():
    """Pattern: servers that drop idle connections. Guards against choices for dropped ones."""
    pool = ConnectionPool()
    connection = BackendConnection()
    connection.is_reusable = lambda: not connection.closed
    connection.idle_since_s = 1.0
    pool.idle["d0"] = [connection]
    assert pool.has_recent("d0", 1.29)
    assert not pool.has_recent("d0", 1.31)
    assert not pool.has_recent("d1", 1.1)
    connection.closed = True
    assert not pool.has_recent("d0", 1.1)


def test_reports_reach_all_zones_but_not_another_process():
    """Pattern: a slow server of which one node hears.

    Guards against nodes that find out one by one, and against speeds of earlier processes. One node
    knows a later process of the server, about which the reports say nothing.
    """

    async def scenario():
        fleet = VirtualFleet(9, 3)
        fleet.start()
        fleet.put_servers([server_entry("m0"), server_entry("m1")])
        restarted = fleet.nodes[-1].dispatcher.directory
        restarted.put(server_entry("m0", started_ms=2), 0.0)
        for _ in range(40):
            await asyncio.sleep(0.1)
            state = fleet.nodes[0].dispatcher.directory.servers["m0"]
            report(state, SLOW_FACTOR, fleet.loop.time(), load=30)
        now_s = fleet.loop.time()
        states = [node.dispatcher.directory.servers["m0"] for node in fleet.nodes]
        assert all(state.load(now_s) == 30 and state.slowdown(now_s) > 2.0 for state in states[:-1])
        assert (states[-1].load(now_s), states[-1].slowdown(now_s)) == (0, 1.0)

    run_in_virtual_time(scenario())


def test_messages_are_bounded_and_impossible_reports_ignored(caplog):
    """Pattern: many reports, and a peer that sends nonsense.

    Guards against datagrams that are too large, and against figures that no server can state.
    """
    directory = dispatcher(servers=[server_entry(f"m{n}") for n in range(100)]).directory
    for number, state in enumerate(directory.servers.values()):
        report(state, SLOW_FACTOR if number == 50 else 1.0, 0.004 * number, load=number)
    reports = LoadReports(directory)
    sent = reports.own_reports(0.0, 0.4, 200, 0.2)
    assert sum(sent_report.ByteSize() + 3 for sent_report in sent) <= 200
    loads = [sent_report.running for sent_report in sent]
    assert loads == [50, *range(99, 100 - len(loads), -1)], "slow server, then the youngest"
    key, process = sent[0].server_key, sent[0].process
    for changes in ({"running": 10**6}, {"factor_percent": 9}, {"factor_percent": 10_001}) * 5:
        nonsense = LoadReport(**({"server_key": key, "process": process} | changes))
        reports.merge([nonsense], 0.4, "node-2", in_zone=True)
    assert directory.servers["m50"].reports.latest.running == 50
    assert [record.getMessage() for record in caplog.records].count(
        "load report of a peer unusable"
    ) == 1
