"""Fault: the store returns from an older copy of itself and gives its revisions out again.

What was written since the copy is lost until the operators and the servers write it again.
"""

from tests.platform_standin import WIRE_CONFIGURATION, WIRE_ENTRY, wait_until
from tests.test_platform_adapter import run_follower


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
