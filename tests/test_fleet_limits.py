"""Limits of the whole fleet hold when each node enforces its share of them."""

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from tanagerworks.dispatch.fleet_limits import ColdStartLimiter, RetryBudget
from tanagerworks.membership.peer_table import (
    ASSUMED_NODES_AT_START,
    DISCOVERY_PERIOD_S,
    LIVE_TIMEOUT_S,
    PEER_EXPIRY_S,
    STORE_FOLLOWERS_PER_ZONE,
    PeerTable,
)
from tanagerworks.routing.ranking import rank_equally
from tests.edge_builders import peer


def max_in_one_second(times):
    return max(sum(1 for t in times if start <= t < start + 1.0) for start in times)


@pytest.mark.parametrize("nodes", [1, 2, 6, 9, 60, 350])
@settings(max_examples=30, deadline=None, derandomize=True)
@given(offsets=st.lists(st.floats(0.0, 0.2), min_size=9, max_size=9))
def test_cold_server_is_not_overrun_by_all_nodes(nodes, offsets):
    """Guards against nodes whose rates together exceed what a cold server accepts."""
    bound = 12.0 * 1.5 + 5.0
    names = [f"node-{number}" for number in range(nodes)]
    limiters = {name: ColdStartLimiter(bound) for name in names}
    senders = set(rank_equally("server", names, limiters[names[0]].sender_count(nodes)))
    sent = []
    for step in range(100):
        for number, name in enumerate(names):
            now_s = step * 0.05 + offsets[number % len(offsets)]
            if name in senders and limiters[name].has_token(nodes, now_s):
                limiters[name].use_token()
                sent.append(now_s)
    assert sent
    assert max_in_one_second(sent) <= bound


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    nodes=st.integers(1, 9),
    requests=st.lists(st.tuples(st.integers(0, 8), st.floats(0.0, 30.0)), max_size=400),
)
def test_retries_of_all_nodes_stay_in_the_budget(nodes, requests):
    """Guards against a retry storm when every request fails at every node."""
    budgets = [RetryBudget(0.2, 50.0, 10.0) for _node in range(nodes)]
    first_attempts, retries = [], []
    for node, now_s in sorted(requests, key=lambda request: request[1]):
        budget = budgets[node % nodes]
        budget.record_request(now_s)
        first_attempts.append(now_s)
        if budget.acquire_retry(nodes, now_s):
            retries.append(now_s)
    for end_s in retries:
        window = [t for t in first_attempts if end_s - 10.0 < t <= end_s]
        taken = [t for t in retries if end_s - 10.0 < t <= end_s]
        assert len(taken) <= 0.2 * len(window) + 50.0


def test_assumed_fleet_size_counts_lost_peers():
    """Guards against one side of a network partition that uses the whole of a limit."""
    peer_table = PeerTable(started_s=0.0)
    peer_table.record_message(peer("node-2", last_seen_s=10.0))
    peer_table.record_message(peer("node-3", last_seen_s=10.0))
    assert peer_table.assumed_fleet_size(10.0 + LIVE_TIMEOUT_S + 1.0) == 3
    assert not list(peer_table.live_peers(10.0 + LIVE_TIMEOUT_S + 1.0))


def test_assumed_fleet_size_before_the_first_message_of_a_peer():
    """Guards against a node that has just started and assumes that it is the only one."""
    assert (
        PeerTable(started_s=0.0).assumed_fleet_size(DISCOVERY_PERIOD_S / 2)
        == ASSUMED_NODES_AT_START
    )


def test_stopped_peer_is_dropped_and_a_lost_one_is_kept():
    """Guards against shares of limits that stay unused after a planned stop."""
    peer_table = PeerTable(started_s=0.0)
    peer_table.record_message(peer("stops", last_seen_s=10.0, stopping=True))
    peer_table.record_message(peer("lost", last_seen_s=10.0))
    peer_table.remove_expired_peers(10.0 + LIVE_TIMEOUT_S + 0.1)
    assert set(peer_table.peers) == {"lost"}
    peer_table.remove_expired_peers(10.0 + PEER_EXPIRY_S + 0.1)
    assert not peer_table.peers


def test_late_message_of_an_earlier_process_is_ignored():
    """Guards against state from a datagram that arrives after its sender has restarted."""
    peer_table = PeerTable(started_s=0.0)
    assert peer_table.record_message(peer("node-2", incarnation=2, sequence=1)) == "joined"
    assert peer_table.record_message(peer("node-2", incarnation=1, sequence=99)) == "old"
    assert peer_table.record_message(peer("node-2", incarnation=2, sequence=1)) == "old"
    assert peer_table.record_message(peer("node-2", incarnation=3, sequence=1)) == "restarted"


def test_process_that_starts_with_its_clock_set_back_is_accepted():
    """Guards against a node that its peers ignore for a minute after a restart.

    The incarnation is taken from the clock, so it is lower than that of the process before.
    """
    peer_table = PeerTable(started_s=0.0)
    peer_table.record_message(peer("node-2", last_seen_s=1.0, incarnation=9))
    assert peer_table.record_message(peer("node-2", last_seen_s=2.5, incarnation=4)) == "restarted"
    assert (
        peer_table.record_message(peer("node-2", last_seen_s=2.7, incarnation=4, sequence=2))
        == "known"
    )


def required_followers(views, now_s, zone="zone-a"):
    """Returns the names of the nodes that must follow the store, each by its own view."""
    return {
        name
        for name, peer_table in views.items()
        if peer_table.must_follow_store(name, zone, now_s)
    }


def peer_tables_by_node(following, lost=(), names=tuple(f"node-{number}" for number in range(6))):
    """Builds each node's view of the others, of which those in `following` follow the store."""
    views = {}
    for name in names:
        views[name] = PeerTable(started_s=-100.0)
        views[name].record_message(peer("outside", zone="zone-b"))
        for other in names:
            if other == name or other in lost:
                continue
            views[name].record_message(peer(other, zone="zone-a", follows_store=other in following))
    return views


def test_two_nodes_of_a_zone_follow_the_store():
    """Guards against a store that all nodes of a zone follow, and against one that none follows."""
    names = {f"node-{number}" for number in range(6)}
    assert required_followers(peer_tables_by_node(()), 0.0) == names
    chosen = required_followers(peer_tables_by_node(names), 0.0)
    assert len(chosen) == STORE_FOLLOWERS_PER_ZONE
    assert required_followers(peer_tables_by_node(chosen), 0.0) == chosen


@settings(max_examples=50, deadline=None, derandomize=True)
@given(st.data())
def test_lost_followers_are_replaced(data):
    """Guards against a zone without updates after the nodes that follow the store were lost."""
    names = [f"node-{number}" for number in range(6)]
    following = required_followers(peer_tables_by_node(names), 0.0)
    lost = data.draw(st.sets(st.sampled_from(names), max_size=4))
    # In each round, the nodes that must follow the store start to do so, until nothing changes.
    for _round in range(len(names)):
        views = peer_tables_by_node(following - lost, lost)
        following = {name for name in required_followers(views, 0.0) if name not in lost}
    assert len(following) == STORE_FOLLOWERS_PER_ZONE


def test_one_node_of_a_zone_follows_the_store_if_other_zones_do():
    """Guards against reads of the store whose number grows with the fleet, and against none.

    With followers in three zones, one follower of a zone suffices; without it, the next one takes
    its place.
    """
    names = {f"node-{number}" for number in range(6)}

    def followers(following, lost=()):
        views = peer_tables_by_node(following, lost)
        for view in views.values():
            view.record_message(peer("outside-c", zone="zone-c"))
        return required_followers({n: v for n, v in views.items() if n not in lost}, 0.0)

    (first,) = followers(names)
    assert followers({first}) == {first}
    (second,) = followers(names - {first}, lost={first})
    assert second != first


def test_node_without_peers_in_other_zones_follows_the_store():
    """Guards against a partitioned zone in which no node detects the partition."""
    peer_table = PeerTable(started_s=-100.0)
    for number in range(5):
        peer_table.record_message(peer(f"node-{number}", zone="zone-a", follows_store=True))
    assert peer_table.must_follow_store("node-9", "zone-a", 0.0)


def test_peer_with_a_long_message_interval_is_live_for_longer():
    """Guards against a large fleet in which every peer counts as lost between two messages."""
    peer_table = PeerTable(started_s=0.0)
    peer_table.record_message(peer("node-2", last_seen_s=0.0, message_interval_s=2.0))
    assert [known.name for known in peer_table.live_peers(5.0)] == ["node-2"]
    assert not list(peer_table.live_peers(9.0))
