"""Fault: a server that turns a request away names a time, and gets more requests within it.

Or it gets all of them at once when the time is over.
"""

import asyncio
import random

import pytest

from tests.edge_builders import (
    PLAIN_SERVICE,
    configuration,
    dispatch_request,
    dispatcher,
    non_idempotent_route,
    route,
    server_entry,
)
from tests.platform_standin import (
    refuse,
    request_bytes,
    respond_with,
    response_head,
    run_scenario,
    send_request,
)

PAUSE_S = 1.0
# Requests of one node that the operators allow a server in the time that it named.
MOST_IN_PAUSE = 2


def turn_away(seconds, status="503 Service Unavailable", own=True):
    """Refuses a request and names a time."""

    async def action(server, headers, reader, writer):
        extra = ("x-tanagerworks-not-executed: 1", f"retry-after: {seconds}", "content-length: 0")
        head = response_head(headers, status, *extra)
        if not own:
            head = ("\r\n".join([f"HTTP/1.1 {status}", *extra]) + "\r\n\r\n").encode()
        writer.write(head)

    return action


def run_for(scripts, request_route, duration_s, interval_s=0.05):
    """Sends requests at intervals; returns the responses and the requests by server."""

    async def scenario(port, pipeline, servers):
        path = f"/{request_route.name}/x"
        sent = []
        for number in range(int(duration_s / interval_s)):
            raw = request_bytes(path, f"c{number}", "POST")
            sent.append(asyncio.create_task(send_request(port, raw)))
            await asyncio.sleep(interval_s)
        # Before the pause is over, so that waiting requests are not counted.
        counts = [len(server.requests) for server in servers]
        return [await task for task in sent], counts

    return run_scenario(scripts, scenario, configuration(routes=[request_route]))


@pytest.mark.parametrize("request_route", [route(max_attempts=1), non_idempotent_route()])
def test_paused_server_gets_nothing_before_the_end(request_route):
    """Guards against requests to a server that wants none; callers learn when it does.

    Their deadline is 1.5 s, and the pause is longer.
    """
    responses, counts = run_for([[turn_away(20)]], request_route, 0.6)
    assert counts[0] <= MOST_IN_PAUSE
    # They were refused at once, with the time of the server.
    assert {response.status for response in responses} == {503}
    assert all(float(response.headers["retry-after"]) >= 18.0 for response in responses[1:])


def test_requests_go_to_the_other_server_meanwhile():
    """Guards against refusals while another server is free."""
    responses, counts = run_for([[turn_away(20)], [respond_with()]], route(), 0.8)
    assert counts[0] <= MOST_IN_PAUSE
    assert {response.status for response in responses} == {200}


def test_retry_after_follows_from_the_earliest_server():
    """Guards against callers that are told to return when the last server wants requests again.

    The time is up to 1.5 times the one that the server named, and callers are spread over a fifth.
    """
    responses, _counts = run_for([[turn_away(20)], [turn_away(5)]], route(max_attempts=2), 0.4)
    assert {response.status for response in responses} == {503}
    assert all(4.0 <= float(response.headers["retry-after"]) <= 9.0 for response in responses[2:])


def test_requests_wait_for_a_pause_that_ends_in_time():
    """Guards against a refusal although the server accepts requests before the deadline."""
    responses, counts = run_for([[turn_away(0.4), respond_with()]], route(max_attempts=1), 0.3)
    assert counts[0] <= MOST_IN_PAUSE
    assert [response.status for response in responses[1:]] == [200] * (len(responses) - 1)


@pytest.mark.parametrize(
    "answer", [turn_away(20, "429 Too Many Requests"), turn_away(20, own=False), refuse()]
)
def test_other_refusals_do_not_take_a_server_out_of_use(answer):
    """Guards against a pause by one refused request, another process, or without a time."""
    responses, counts = run_for([[answer, respond_with()]], route(max_attempts=1), 0.3)
    assert counts == [len(responses)]
    assert [response.status for response in responses[1:]] == [200] * (len(responses) - 1)


def has_server(node_dispatcher, now_s, call_id="c1"):
    """Returns the chosen server after counting a request there, or None."""
    request = dispatch_request(call_id, service=PLAIN_SERVICE, deadline_s=now_s + 1.0)
    choice = node_dispatcher.choose_server(request, now_s)
    if choice.state is not None:
        node_dispatcher.record_start(request, choice, now_s)
    return choice.state


def test_pause_ends_with_its_process_and_not_with_its_entry():
    """Guards against a pause that a lapse of the entry ends, or that a new process inherits."""
    entry = server_entry("a", PLAIN_SERVICE)
    node_dispatcher = dispatcher(servers=[entry])
    directory = node_dispatcher.directory
    directory.servers["a"].record_pause(9.0, 1.0)
    directory.delete("a", 2.0)
    directory.put(entry, 3.0)
    assert has_server(node_dispatcher, 8.9) is None
    directory.put(server_entry("a", PLAIN_SERVICE, started_ms=2), 4.0)
    assert has_server(node_dispatcher, 4.1) is not None


def test_shorter_time_does_not_shorten_a_pause():
    """Guards against an answer that was on its way and ends a longer pause."""
    node_dispatcher = dispatcher(servers=[server_entry("a", PLAIN_SERVICE)])
    state = node_dispatcher.directory.servers["a"]
    state.record_pause(9.0, 1.0)
    state.record_pause(2.0, 1.1)
    state.record_acceptance(1.2)
    assert has_server(node_dispatcher, 3.0) is None


@pytest.mark.parametrize("nodes", [6, 60])
def test_nodes_return_one_after_the_other(nodes):
    """Guards against a burst when the pause that a server named to all nodes is over.

    Each node has requests waiting. The server answers in 0.1 s.
    """
    chooser = random.Random(1)
    fleet = [
        dispatcher(f"node-{number}", [server_entry("a", PLAIN_SERVICE, slots=6)])
        for number in range(nodes)
    ]
    for node in fleet:
        # As the exchange spreads the end of a pause of 2 s.
        node.directory.servers["a"].record_pause(2.0 * chooser.uniform(1.0, 1.5), 0.0)
    started = []
    answers = []
    for step in range(400):
        now_s = step / 100
        while answers and answers[0][0] <= now_s:
            _end_s, state, call_id = answers.pop(0)
            state.record_end(call_id)
            state.record_acceptance(now_s)
        for node in fleet:
            call_id = f"{node.name}/{step}"
            state = has_server(node, now_s, call_id)
            if state is not None:
                started.append(now_s)
                answers.append((now_s + 0.1, state, call_id))
    assert min(started) >= 2.0
    first_tenth = sum(1 for now_s in started if now_s < min(started) + 0.1)
    # Nodes of which each sends one request at first, over a second.
    assert first_tenth <= 1 + nodes // 5
