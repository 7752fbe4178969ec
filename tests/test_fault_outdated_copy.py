"""Outdated copies of the store: nodes that send requests to servers that left long ago."""

import asyncio
import functools

import pytest

from tanagerworks.edge import peers
from tests.platform_standin import WIRE_CONFIGURATION, WIRE_ENTRY, encode_with_changes
from tests.virtual_fleet import VirtualFleet, run_in_virtual_time
from tests.virtual_store import VirtualStore, attach_store, fetch_virtual_copy

# Nodes, zones, seconds for which a leaving server still serves.
SMALL_FLEET = (9, 3, 2.0)
GROWN_FLEET = (60, 3, 3.0)
TWO_ZONES = (8, 2, 2.0)


@pytest.mark.parametrize(("count", "zones", "notice_s"), [SMALL_FLEET, GROWN_FLEET, TWO_ZONES])
@pytest.mark.parametrize("also_next", [False, True])
def test_nodes_learn_of_a_leaving_server_in_time_though_followers_lose_the_store(
    monkeypatch, count, zones, notice_s, also_next
):
    """Guards against requests to a server that has left, as no node notices a lost store.

    The reads of the nodes that follow the store get no answer any more. With `also_next`, neither
    do those of the nodes that would follow it next.
    """

    async def scenario():
        fleet, store = VirtualFleet(count, zones), VirtualStore()
        monkeypatch.setattr(peers, "fetch_store_copy", functools.partial(fetch_virtual_copy, fleet))
        store.put("op/config", encode_with_changes(WIRE_CONFIGURATION))
        store.put("servers/a", encode_with_changes(WIRE_ENTRY))
        store.put("servers/b", encode_with_changes(WIRE_ENTRY, address="127.0.0.1:8081"))
        fleet.start()
        attach_store(fleet, store, notice_s)
        await asyncio.sleep(10.0)
        # All reads begin anew.
        store.put("servers/c", encode_with_changes(WIRE_ENTRY, address="127.0.0.1:8082"))
        await asyncio.sleep(0.4)
        following = [node for node in fleet.nodes if node.follower.is_reliable()]
        assert 0 < len(following) < count
        store.unreachable_from.update(node.name for node in following)
        if also_next:
            others = sorted(fleet.nodes, key=lambda node: peers.name_hash(node.name))
            store.unreachable_from.update(node.name for node in others[: count // 2])
        await asyncio.sleep(0.2)
        store.put("servers/a", encode_with_changes(WIRE_ENTRY, phase="draining"))
        await asyncio.sleep(notice_s - 0.1)
        late = [
            node.name
            for node in fleet.nodes
            if node.name not in store.unreachable_from
            and not node.dispatcher.directory.servers["a"].leaving
        ]
        assert late == []

    run_in_virtual_time(scenario())


def test_few_nodes_read_a_store_that_answers():
    """Guards against a fleet in which every node reads the store, as each read has a price."""

    async def scenario():
        fleet, store = VirtualFleet(60, 3), VirtualStore()
        store.put("op/config", encode_with_changes(WIRE_CONFIGURATION))
        fleet.start()
        attach_store(fleet, store, 3.0)
        await asyncio.sleep(10.0)
        before = store.reads
        await asyncio.sleep(20.0)
        # Three followers that wait at the store for 0.75 s each time, and a few reads beside.
        assert store.reads - before < 1.5 * 3 * 20.0 / 0.75

    run_in_virtual_time(scenario())
