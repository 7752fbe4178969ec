"""Pattern: many users come at once while the servers of a service fall over if they reject many.

Each server runs a few requests, lets a few wait and rejects the others. While it is brittle, it
falls over if it rejects more than a stated number in a second.
"""

import heapq
import random

import pytest

from tanagerworks.dispatch.server_state import ServerState, local_loads
from tanagerworks.edge.limit_reports import all_limit_reports, merge_limit_reports
from tests.edge_builders import PLAIN_SERVICE, dispatch_request, dispatcher, peer, server_entry
from tests.platform_standin import (
    request_bytes,
    response_head,
    run_scenario,
    send_request,
    wait_until,
)

SERVERS = 3
SLOTS = 6
QUEUE = 2
WORK_S = 0.09
REJECTIONS_PER_S = 8.0
# Nodes hear of the loads of their peers at this interval.
EXCHANGE_S = 0.2
# A server falls over twice at most, and once more for each ten servers.
MOST_FALLS = 2 + SERVERS // 10


class Server:
    def __init__(self):
        self.running = 0
        self.waiting = []
        self.rejected_s = []
        self.falls = 0
        self.back_s = 0.0

    def reject(self, now_s):
        self.rejected_s = [at_s for at_s in self.rejected_s if at_s > now_s - 1.0] + [now_s]
        if len(self.rejected_s) > REJECTIONS_PER_S:
            self.falls += 1
            self.rejected_s.clear()


def send_requests(count, requests_per_s, duration_s, seed=1):
    """Falls of servers and served requests of a fleet of `count` nodes that know of the limit.

    A request that no server may take now is tried again by its node until its time is over.
    """
    generator = random.Random(seed)
    names = [f"node-{n}" for n in range(count)]
    nodes = []
    for name in names:
        peers = [peer(other, 10.0, message_interval_s=9.0) for other in names if other != name]
        entries = [server_entry(f"s{n}", PLAIN_SERVICE, slots=SLOTS) for n in range(SERVERS)]
        nodes.append(dispatcher(name, entries, peers))
    for node in nodes:
        for state in node.directory.servers.values():
            state.record_limit(None, 9.0, REJECTIONS_PER_S)
    servers = {f"s{n}": Server() for n in range(SERVERS)}
    served = sent = 0
    events = []

    def push(at_s, kind, *details):
        heapq.heappush(events, (at_s, len(events) + sent * 1_000_000, kind, details))

    now_s = 10.0
    while now_s < 10.0 + duration_s:
        push(now_s, "request", generator.choice(nodes), f"c{now_s}", now_s + 1.5)
        now_s += generator.expovariate(requests_per_s)
    for step in range(int(duration_s / EXCHANGE_S)):
        push(10.0 + step * EXCHANGE_S, "exchange")
    while events:
        now_s, _order, kind, details = heapq.heappop(events)
        sent += 1
        if kind == "exchange":
            loads = {
                node.name: local_loads(iter(node.directory.servers.values())) for node in nodes
            }
            for node in nodes:
                for name, load in loads.items():
                    if name != node.name:
                        node.directory.set_peer_loads(name, load)
        elif kind == "request":
            node, call_id, deadline_s = details
            if now_s + WORK_S > deadline_s:
                continue
            request = dispatch_request(call_id, PLAIN_SERVICE, deadline_s=deadline_s)
            senders = sorted(node.find_senders(request, now_s))
            if senders:
                node = nodes[names.index(generator.choice(senders))]
            choice = node.choose_server(request, now_s)
            if choice.state is None:
                push(now_s + 0.05, "request", *details)
                continue
            node.record_start(request, choice, now_s)
            push(now_s + 0.002, "arrival", node, choice.state, call_id, deadline_s)
        elif kind == "arrival":
            node, state, call_id, deadline_s = details
            server = servers[state.server_id]
            if server.running + len(server.waiting) >= SLOTS + QUEUE:
                server.reject(now_s)
                state.record_rejection(count, now_s)
                state.record_end(call_id)
                push(now_s + 0.002, "request", node, call_id, deadline_s)
            elif server.running < SLOTS:
                server.running += 1
                push(now_s + WORK_S, "end", node, state, call_id)
            else:
                server.waiting.append((node, state, call_id))
        elif kind == "end":
            node, state, call_id = details
            server = servers[state.server_id]
            state.record_end(call_id)
            state.record_acceptance(now_s)
            served += 1
            server.running -= 1
            if server.waiting:
                server.running += 1
                push(now_s + WORK_S, "end", *server.waiting.pop(0))
    return sum(server.falls for server in servers.values()), served


# The servers can serve 200 requests a second.
@pytest.mark.parametrize("count", [9, 60])
@pytest.mark.parametrize("requests_per_s", [100.0, 400.0])
def test_rush_does_not_bring_brittle_servers_down(monkeypatch, count, requests_per_s):
    """Guards against servers that fall over since nodes send what they have to reject (LIMIT)."""
    falls, served = send_requests(count, requests_per_s, 5.0)
    assert falls <= MOST_FALLS
    assert served >= 0.5 * min(5.0 * requests_per_s, 1000)
    if requests_per_s == 400.0:
        monkeypatch.setattr(ServerState, "may_be_full", lambda *_: False)
        monkeypatch.setattr(ServerState, "record_rejection", lambda *_: False)
        monkeypatch.setattr(ServerState, "sender_count", lambda _state, nodes: nodes)
        assert send_requests(count, requests_per_s, 5.0)[0] > MOST_FALLS


def test_slots_are_used_in_full_by_a_few_nodes():
    """Guards against a service that is slower than need be, as no request may wait at a server."""
    assert send_requests(2, 150.0, 5.0)[1] >= 0.9 * 750


def test_all_nodes_learn_that_a_server_is_brittle():
    """Guards against nodes that overload a brittle server before it has answered them."""
    told, other = (dispatcher(servers=[server_entry("a")]) for _ in range(2))
    told.directory.servers["a"].record_limit(2.5, 10.0, 8.0)
    merge_limit_reports(other.directory, all_limit_reports(told.directory, 10.1, 300), 10.1, "p")
    state = other.directory.servers["a"]
    assert (state.limit_per_s, state.rejections_per_s) == (2.5, 8.0)
    told.directory.servers["a"].record_limit(None, 11.0)
    merge_limit_reports(
        other.directory,
        [*all_limit_reports(told.directory, 11.1, 300)],
        11.1,
        "p",
    )
    told.directory.servers["a"].record_limit(None, 12.0, 3.0)
    merge_limit_reports(other.directory, all_limit_reports(told.directory, 12.1, 300), 12.1, "p")
    assert (state.limit_per_s, state.rejections_per_s) == (None, 3.0)


def test_rejections_together_stay_below_what_the_server_bears():
    """Guards against nodes that return as soon after ten rejections as after one."""
    node = dispatcher(servers=[server_entry("a", PLAIN_SERVICE)], peers=[peer("b", 10.0)])
    state = node.directory.servers["a"]
    assert not state.record_rejection(2, 10.0)
    state.record_limit(None, 10.0, 4.0)
    for _rejection in range(3):
        assert state.record_rejection(2, 10.0)
    assert state.paused_until_s == 11.5
    assert node.choose_server(dispatch_request(service=PLAIN_SERVICE), 11.0).state is None
    assert node.choose_server(dispatch_request(service=PLAIN_SERVICE), 11.6).state is state


def test_answers_say_that_a_server_is_brittle():
    """Guards against a header that is not read, or a refusal without a signature that ends it."""

    async def refuse_full(server, headers, reader, writer):
        writer.write(
            b"HTTP/1.1 503 Full\r\nx-tanagerworks-not-executed: 1\r\n"
            b"x-tanagerworks-attempt-id: %s\r\ncontent-length: 0\r\n\r\n"
            % headers["x-tanagerworks-attempt-id"].encode()
        )

    async def answer(server, headers, reader, writer):
        extra = ("server-brittle: 4", "content-length: 0")
        writer.write(response_head(headers, "200 OK", *extra))

    async def scenario(port, pipeline, servers):
        state = pipeline.dispatcher.directory.servers["server-0"]
        assert (await send_request(port, request_bytes("/desk-read/x", "c1"))).status == 200
        await wait_until(lambda: state.rejections_per_s == 4.0)
        refused = await send_request(port, request_bytes("/desk-read/x", "c2"))
        return refused, state

    refused, state = run_scenario([[answer, refuse_full]], scenario)
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0.0
    assert state.rejections_per_s == 4.0
    assert state.pause_said_at_s > 0.0
