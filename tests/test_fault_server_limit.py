"""Fault: a server gets more requests than the limit that it names for all nodes together."""

import random

import pytest

from tanagerworks.dispatch.server_state import ServerState
from tests.edge_builders import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    dispatch_request,
    dispatcher,
    peer,
    server_entry,
)

WINDOW_S = 4.0
LIMITED = ("server-0", "server-1", "server-2")
SERVERS = (*LIMITED, "server-3")


def allowed_in_window(limit_per_s):
    """Requests that the operators allow a server in the window, with their tolerance."""
    return 1.5 * WINDOW_S * limit_per_s + 5


def most_in_window(times):
    return max(sum(1 for time in times if start <= time < start + WINDOW_S) for start in times)


def fleet_of(count, service):
    names = [f"node-{number}" for number in range(count)]
    entries = [server_entry(server_id, service) for server_id in SERVERS]
    return [
        dispatcher(
            name, entries, [peer(other, last_seen_s=1e9) for other in names if other != name]
        )
        for name in names
    ]


def send_requests(fleet, service, limit_per_s, requests_per_s, limited=LIMITED, duration_s=20.0):
    """Returns the times of the requests sent, by server; each takes 0.2 s, some go to no server."""
    chooser = random.Random(1)
    for node in fleet:
        for server_id in limited:
            node.directory.servers[server_id].record_limit(limit_per_s, 0.0)
    sent = {server_id: [] for server_id in SERVERS}
    running = []
    for number in range(int(requests_per_s * duration_s)):
        now_s = number / requests_per_s
        while running and running[0][0] <= now_s:
            _end_s, state, call_id = running.pop(0)
            state.record_end(call_id)
        node = chooser.choice(fleet)
        request = dispatch_request(f"call-{number}", service)
        choice = node.choose_server(request, now_s)
        if choice.state is None:
            continue
        node.record_start(request, choice, now_s)
        running.append((now_s + 0.2, choice.state, request.call_id))
        sent[choice.state.server_id].append(now_s)
    return sent


@pytest.mark.parametrize("service", [MODEL_SERVICE, PLAIN_SERVICE])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 2.6, 12.0])
@pytest.mark.parametrize("nodes", [1, 6, 60])
def test_limit_of_a_server_holds_for_all_nodes_together(nodes, limit_per_s, service):
    """Guards against a server that gets far more requests than the limit that it has named."""
    sent = send_requests(fleet_of(nodes, service), service, limit_per_s, 40.0 + 6.0 * limit_per_s)
    for server_id in LIMITED:
        assert most_in_window(sent[server_id] or [0.0]) <= allowed_in_window(limit_per_s)
    # The server without a limit takes what the others do not.
    assert len(sent["server-3"]) > len(sent["server-0"])


def test_state_keeps_the_latest_limit():
    """Guards against an old answer, or an old report of a peer, that revives a limit."""
    state = ServerState(server_entry("server-0"), 0.0)
    assert state.record_limit(2.5, 10.0)
    assert not state.record_limit(2.5, 11.0)
    assert state.record_limit(None, 12.0)
    assert not state.record_limit(2.5, 11.5)
    assert state.limit_per_s is None
