"""Pattern: all servers of a service leave, or their zones go out of service, within seconds."""

import asyncio
from dataclasses import replace

import pytest
from adapter.store import MetadataStore

from tanagerworks.dispatch import dispatcher as dispatcher_module
from tanagerworks.dispatch.directory import Directory
from tanagerworks.dispatch.last_resort import STOP_MARGIN_S, NoticeBounds
from tanagerworks.edge.exchange import BackendExchange
from tanagerworks.edge.follower import StoreView
from tanagerworks.published.replica import Change
from tanagerworks.settings.edge import EdgeBounds
from tests.edge_builders import (
    BOUNDS,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    dispatch_request,
    dispatcher,
    server_entry,
    stream_route,
)
from tests.platform_standin import request_bytes, run_scenario, send_request, wait_until
from tests.test_fault_leaving_server import leave_with

NOTICE = replace(BOUNDS, notice=NoticeBounds(leaving_s=2.0, zone_s=4.0))


def node_with(*entries):
    node = dispatcher(servers=entries)
    node.apply_bounds(NOTICE)
    return node


def choose(node, now_s, service=PLAIN_SERVICE, **changes):
    return node.choose_server(dispatch_request(service=service, **changes), now_s).state


def last_service_s(node, from_s):
    """The time of the last request that gets a server, of one each 10 ms."""
    times = [from_s + 0.01 * step for step in range(600)]
    return max([now_s for now_s in times if choose(node, now_s)], default=None)


def check_ends():
    """Zone and servers go at 9.9; the copy is confirmed until 9.8, the changes arrive at 10."""
    for leaves, zone_out, bound_s in ((True, False, 2.0), (False, True, 4.0), (True, True, 2.0)):
        node = node_with(server_entry("a", PLAIN_SERVICE))
        node.directory.confirmed_s = 9.8
        node.directory.put(server_entry("a", PLAIN_SERVICE, leaving=leaves), 10.0)
        if zone_out:
            node.directory.put_zone_out("zone-a")
        # Later confirmations, the same statement again, and an expired entry change nothing.
        node.directory.confirmed_s = 11.0
        node.directory.put(server_entry("a", PLAIN_SERVICE, leaving=leaves), 11.0)
        node.directory.delete("a", 11.1)
        node.directory.put(server_entry("a", PLAIN_SERVICE, leaving=leaves), 11.2)
        if zone_out:
            node.directory.put_zone_out("zone-a")
        assert last_service_s(node, 10.0) == pytest.approx(9.8 + bound_s - STOP_MARGIN_S, abs=0.02)


def test_requests_are_served_until_the_bound_and_never_longer(monkeypatch):
    """Guards against refusals before the bound, and against requests that come after it."""
    check_ends()
    with monkeypatch.context() as broken:
        broken.setattr(Directory, "_change_since_s", lambda directory: 10.0)
        with pytest.raises(AssertionError):
            check_ends()
    monkeypatch.setattr(dispatcher_module, "find_last_resort", lambda *_: [])
    with pytest.raises(AssertionError):
        check_ends()


def test_last_resort_is_not_used_while_another_server_may_be():
    """Guards against requests to leaving, failing or unknown servers without need."""
    node = node_with(*(server_entry(name, PLAIN_SERVICE) for name in "abc"))
    node.directory.confirmed_s = 9.8
    node.directory.put(server_entry("a", PLAIN_SERVICE, leaving=True), 10.0)
    node.directory.put(server_entry("b", PLAIN_SERVICE, leaving=True), 10.0)
    for _failure in range(3):
        node.directory.servers["c"].record_failure(10.0)
    assert choose(node, 10.1).server_id == "c"
    assert choose(node, 10.1, tried_server_ids={"c"}) is None
    node.directory.delete("c", 10.1)
    for _failure in range(3):
        node.directory.servers["a"].record_failure(10.1)
    assert choose(node, 10.2).server_id == "b"
    assert choose(node, 10.2, tried_server_ids={"b"}) is None
    # A new process does not know for how long the servers in its first listing have left.
    new = node_with(server_entry("a", PLAIN_SERVICE, leaving=True))
    new.directory.confirmed_s = 10.0
    assert choose(new, 10.1) is None


def test_server_with_most_time_left_comes_first():
    """Guards against requests to the server that ends first, and against overloading the other."""
    entries = [server_entry(name, slots=2, started_ms=1) for name in "abc"]
    node = node_with(*entries)
    for entry, confirmed_s in zip(entries, (9.0, 9.9, 10.0), strict=True):
        node.directory.confirmed_s = confirmed_s
        node.directory.put(replace(entry, leaving=True), 10.0)
    chosen = []
    for number in range(6):
        request = dispatch_request(f"c{number}")
        choice = node.choose_server(request, 10.1)
        assert choice.last_resort
        chosen.append(choice.state.server_id)
        node.record_start(request, choice, 10.1)
    # The ends of b and c differ by less than the interval between two reads.
    assert sorted(chosen[:4]) == ["b", "b", "c", "c"]
    assert chosen[4:] == ["a", "a"]
    assert choose(node, 10.1, MODEL_SERVICE) is None
    assert node.can_finish_in_time(dispatch_request(), 10.1)
    assert not node.can_finish_in_time(dispatch_request(), 11.65)


def test_changes_of_a_peer_count_from_the_confirmed_copy_and_restored_ones_never():
    """Guards against a bound that is counted from the arrival of a copy of unknown age."""

    async def scenario():
        view = StoreView(MetadataStore("127.0.0.1:1"), dispatcher())
        view.replace([], 1, "store", 1)
        view.confirm(5.0)
        view.apply([Change("op/evacuate/zone-a", 2, b"{}")], 2, "peer n", 1)
        view.confirm(6.0)
        restored = [Change(f"op/evacuate/zone-{name}", 1, b"{}") for name in "ab"]
        view.replace(restored, 1, "store", 2)
        return view.dispatcher.directory.zone_out_since_s

    assert asyncio.run(scenario()) == {"zone-a": 5.0, "zone-b": float("-inf")}


def serve_queue():
    """Sends four streams that may run once to a server with one slot; its answers say it leaves."""
    release = asyncio.Event()

    async def answer_late(server, headers, reader, writer):
        await release.wait()
        await leave_with()(server, headers, reader, writer)

    async def scenario(port, pipeline, servers):
        pipeline.dispatcher.apply_bounds(NOTICE)
        state = pipeline.dispatcher.directory.servers["server-0"]
        state.entry = replace(state.entry, slots=1)
        calls = [request_bytes("/chat/x", f"c{number}", "POST") for number in range(5)]
        sent = [asyncio.create_task(send_request(port, call)) for call in calls[:4]]
        await wait_until(lambda: len(pipeline.dispatcher.queue(MODEL_SERVICE)) == 3)
        release.set()
        responses = [await task for task in sent]
        state.leaving_said_at_s -= 2.0
        return responses, await send_request(port, calls[4])

    return run_scenario(
        [[answer_late, leave_with()]],
        scenario,
        configuration(routes=[stream_route()]),
        MODEL_SERVICE,
    )


def test_queued_requests_are_sent_to_the_last_server_while_it_serves(monkeypatch, caplog):
    """Guards against refused requests in the queue while the server still serves."""
    caplog.set_level("INFO")
    responses, late = serve_queue()
    assert [response.status for response in responses] == [200] * 4
    assert late.status == 503
    assert "retry-after" in late.headers
    messages = [record.message for record in caplog.records]
    assert messages.count("service has only servers out of service") == 1
    assert messages.count("servers out of service are not used any more") == 1
    monkeypatch.setattr(
        BackendExchange,
        "_check_accepts_work",
        lambda exchange, attempt: (
            (_ for _ in ()).throw(AssertionError) if attempt.last_resort else None
        ),
    )
    assert [response.status for response in serve_queue()[0]] != [200] * 4


def test_absent_bound_of_the_operators_means_never():
    """Guards against a rendered null that keeps a process from starting."""
    fields = dict.fromkeys(("stop_limit_s", "repeat_window_s"), 1.0)
    fields |= dict.fromkeys(("repeat_ratio", "repeat_minimum", "cold_factor", "cold_extra"), 0.0)
    assert EdgeBounds(**fields, zone_notice_ms=None).zone_notice_s == 0.0
    assert EdgeBounds(**fields, zone_notice_ms=4000).zone_notice_s == 4.0
