"""Fault: the store returns from an older copy of itself and gives its revisions out again.

What was written since the copy is lost until the operators and the servers write it again.
"""

import asyncio

import pytest

from tanagerworks.edge.follower import STORE_SOURCE
from tanagerworks.published.replica import Change
from tests.platform_standin import WIRE_CONFIGURATION, WIRE_ENTRY, encode_with_changes, wait_until
from tests.test_edge_peers import run_with_fleet
from tests.test_platform_adapter import run_follower


def entry(**changes):
    return WIRE_ENTRY | changes


def usable_ids(store_view):
    directory = store_view.dispatcher.directory
    return {state.server_id for state in directory.usable_servers("models", 0.0)}


async def wait_for_version(store_view, version):
    await wait_until(lambda: store_view.dispatcher.version == version)


def test_configuration_written_after_a_restore_is_in_force():
    """Guards against a new configuration that is taken for a change that is known already."""

    async def scenario(store, store_view, store_follower):
        copied = store.copy()
        for version in (8, 11):
            store.put("op/config", WIRE_CONFIGURATION | {"version": version})
            await wait_for_version(store_view, version)
        store.restore(copied)
        store.put("op/config", WIRE_CONFIGURATION | {"version": 11})
        calls = store.calls
        await wait_until(lambda: store.calls > calls + 2)
        store.put("op/config", WIRE_CONFIGURATION | {"version": 15})
        await wait_for_version(store_view, 15)

    run_follower(scenario)


def test_restored_store_that_has_counted_further_is_listed_again():
    """Guards against changes of a restored store that are added to the items of the one before.

    Its revision has passed that of the node by the time of the next read, which then succeeds.
    """

    async def scenario(store, store_view, store_follower):
        copied = store.copy()
        store.put("servers/lost", WIRE_ENTRY)
        await wait_until(lambda: "servers/lost" in store_view.replica.items)
        store.mode = "busy"
        await wait_until(lambda: not store_follower.connected)
        store.restore(copied)
        for name in ("b", "c", "d"):
            store.put(f"servers/{name}", WIRE_ENTRY)
        store.mode = ""
        await wait_until(lambda: {"a", "b", "c", "d"} <= usable_ids(store_view))
        assert "servers/lost" not in store_view.replica.items

    run_follower(scenario)


def test_restored_older_configuration_does_not_come_back():
    """Guards against a configuration that returns to the version in the copy."""

    async def scenario(store, store_view, store_follower):
        copied = store.copy()
        store.put("op/config", WIRE_CONFIGURATION | {"version": 11})
        await wait_for_version(store_view, 11)
        store.restore(copied)
        store.put("servers/b", WIRE_ENTRY)
        await wait_until(lambda: "b" in usable_ids(store_view))
        assert store_view.dispatcher.version == 11

    run_follower(scenario)


@pytest.mark.parametrize("reports", [True, False])
def test_server_that_left_is_not_used_again_after_a_restore(reports):
    """Guards against new requests to a server that left, whose entry in the copy says ready."""

    async def scenario(store, store_view, store_follower):
        copied = store.copy()
        store.put("servers/b", entry(sequence=9))
        if reports:
            store.put("servers/a", entry(sequence=9, phase="draining"))
        else:
            store.delete("servers/a")
        await wait_until(lambda: usable_ids(store_view) == {"b"})
        store.restore(copied)
        store.put("servers/b", entry(sequence=12))
        store.put("servers/c", WIRE_ENTRY)
        await wait_until(lambda: "c" in usable_ids(store_view))
        assert usable_ids(store_view) == {"b", "c"}
        # The same process is used again once it writes that it is ready.
        store.put("servers/a", entry(sequence=20))
        await wait_until(lambda: "a" in usable_ids(store_view))

    run_follower(scenario)


def test_server_process_replaced_before_a_restore_stays_replaced():
    """Guards against requests that are addressed to a process that has ended."""

    async def scenario(store, store_view, store_follower):
        copied = store.copy()
        born = WIRE_ENTRY["born"] + 60_000
        store.put("servers/a", entry(born=born, sequence=1))
        servers = store_view.dispatcher.directory.servers
        await wait_until(lambda: servers["a"].entry.started_ms == born)
        store.restore(copied)
        store.put("servers/b", WIRE_ENTRY)
        await wait_until(lambda: "b" in usable_ids(store_view))
        assert servers["a"].entry.started_ms == born

    run_follower(scenario)


def test_server_whose_entry_was_lost_stays_usable_until_it_writes_it_again():
    """Guards against servers out of use because the copy is older than their entries."""

    async def scenario(store, store_view, store_follower):
        copied = store.copy()
        for name in ("b", "c"):
            store.put(f"servers/{name}", WIRE_ENTRY)
        await wait_until(lambda: usable_ids(store_view) == {"a", "b", "c"})
        store.restore(copied)
        await wait_until(lambda: "servers/b" not in store_view.replica.items)
        assert usable_ids(store_view) == {"a", "b", "c"}
        store.put("servers/b", WIRE_ENTRY)
        await wait_until(lambda: "servers/b" in store_view.replica.items)
        directory = store_view.dispatcher.directory
        directory.apply_held_deletions(asyncio.get_running_loop().time() + 60.0)
        assert usable_ids(store_view) == {"a", "b"}

    run_follower(scenario)


def test_zone_whose_evacuation_was_lost_stays_out_until_it_is_written_again():
    """Guards against requests to a zone out of service because the copy does not say so."""

    async def scenario(store, store_view, store_follower):
        directory = store_view.dispatcher.directory
        copied = store.copy()
        store.put("op/evacuate/zone-a", {})
        store.put("op/evacuate/zone-b", {})
        await wait_until(lambda: directory.zones_out == {"zone-a", "zone-b"})
        store.restore(copied)
        await wait_until(lambda: "op/evacuate/zone-a" not in store_view.replica.items)
        assert directory.zones_out == {"zone-a", "zone-b"}
        store.put("op/evacuate/zone-a", {})
        await wait_until(lambda: "op/evacuate/zone-a" in store_view.replica.items)
        directory.apply_held_returns(asyncio.get_running_loop().time() + 60.0)
        assert directory.zones_out == {"zone-a"}
        store.delete("op/evacuate/zone-a")
        await wait_until(lambda: not directory.zones_out)

    run_follower(scenario)


def test_zone_that_came_back_before_a_restore_stays_in_service():
    """Guards against a zone that is unused because the copy has an evacuation that has ended."""

    async def scenario(store, store_view, store_follower):
        directory = store_view.dispatcher.directory
        store.put("op/evacuate/zone-a", {})
        await wait_until(lambda: directory.zones_out == {"zone-a"})
        copied = store.copy()
        store.delete("op/evacuate/zone-a")
        await wait_until(lambda: not directory.zones_out)
        store.restore(copied)
        store.put("servers/b", WIRE_ENTRY)
        await wait_until(lambda: "b" in usable_ids(store_view))
        assert not directory.zones_out

    run_follower(scenario)


def test_second_restore_before_the_items_are_written_again():
    """Guards against a server that left and is used again after two restores in a row."""

    async def scenario(store, store_view, store_follower):
        copied = store.copy()
        store.put("servers/a", entry(sequence=9, phase="draining"))
        await wait_until(lambda: not usable_ids(store_view))
        for era in (2, 3):
            store.restore(copied)
            # The entry counts further without a write that is seen.
            store.put("servers/a", entry(sequence=4 + era))
            copied = store.copy()
            await wait_until(lambda era=era: store_view.replica.era == era)
        assert not usable_ids(store_view)

    run_follower(scenario)


def test_listing_across_a_restore_is_begun_again():
    """Guards against a view that mixes pages from before and after a restore."""

    async def scenario(store, store_view, store_follower):
        list_page = store_follower.store.list_page
        copied = store.copy()
        store.put("servers/z-lost", WIRE_ENTRY)
        await wait_until(lambda: "servers/z-lost" in store_view.replica.items)

        async def restore_after_first_page(after_key, timeout_s):
            page = await list_page(after_key, timeout_s)
            if not after_key and store.era == 1:
                store.restore(copied)
            return page

        store_follower.store.list_page = restore_after_first_page
        store.compact()
        store_follower.must_list = True
        store_follower.read_task.cancel()
        await wait_until(lambda: store_view.replica.era == 2 and store_follower.listed)
        assert "servers/z-lost" not in store_view.replica.items

    run_follower(scenario)


def config_item(version, revision):
    return Change("op/config", revision, encode_with_changes(WIRE_CONFIGURATION, version=version))


def test_peers_agree_after_a_restore_though_its_revisions_are_lower():
    """Guards against nodes that keep the state from before a restore, or bring it back to others.

    The first node has read the restored store. The others have a higher revision and a newer
    configuration, which the store has lost.
    """

    async def scenario(nodes):
        first, *others = nodes
        for node in nodes:
            before = [
                config_item(11, 17),
                Change("servers/lost", 16, encode_with_changes(WIRE_ENTRY)),
            ]
            node.store_view.replace(before, 17, STORE_SOURCE, era=1)
        first.store_view.replace([config_item(4, 15)], 15, STORE_SOURCE, era=2)
        await wait_until(lambda: all(node.store_view.replica.era == 2 for node in others))
        assert all(node.dispatcher.version == 11 for node in nodes)
        assert all("servers/lost" not in node.store_view.replica.items for node in nodes)
        first.store_view.apply([config_item(15, 17)], 17, STORE_SOURCE, era=2)
        await wait_until(lambda: all(node.dispatcher.version == 15 for node in others))

    run_with_fleet(scenario)


def test_node_that_starts_after_a_restore_gets_the_newer_configuration_from_a_peer():
    """Guards against a new process that serves by the older configuration of the restored store.

    None of its peers reaches the store, so that they still have the state from before the restore.
    """

    async def scenario(nodes):
        first, *others = nodes
        for node in others:
            node.store_view.replace([config_item(11, 17)], 17, STORE_SOURCE, era=1)
        first.store_view.replace([config_item(4, 15)], 15, STORE_SOURCE, era=2)
        await wait_until(lambda: first.dispatcher.version == 11)
        assert first.store_view.replica.era == 2

    run_with_fleet(scenario)


def test_configuration_that_cannot_be_used_is_fetched_from_a_peer_once():
    """Guards against endless copies from a peer whose newer configuration is not usable here."""

    async def scenario(nodes):
        first, second = nodes
        first.store_view.replace([config_item(11, 17)], 17, STORE_SOURCE, era=1)
        await wait_until(lambda: second.dispatcher.version == 11)
        served = []
        build = first.exchange._build_copy
        first.exchange._build_copy = lambda request: served.append(request) or build(request)
        second.store_view.store.decode_item = lambda change: None
        first.store_view.apply([config_item(12, 18)], 18, STORE_SOURCE, era=1)
        rounds = first.exchange.round_number
        await wait_until(lambda: first.exchange.round_number > rounds + 6)
        assert len(served) == 1

    run_with_fleet(scenario, count=2)
