"""Fault: nodes stop following the store in a storm of large configurations."""

from dataclasses import replace

import pytest
from adapter.store import MetadataStore

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.edge import http_client
from tanagerworks.edge.follower import StoreView
from tanagerworks.membership.peer_table import PeerTable
from tanagerworks.published.replica import Change
from tests.edge_builders import BOUNDS
from tests.edge_process_runner import publish_to_store, run_process
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    encode_with_changes,
    wait_until,
)
from tests.virtual_fleet import run_in_virtual_time

READ_LIMIT_BYTES = 40_000
PADDING = "x" * 6_000


def configuration_of(version):
    return WIRE_CONFIGURATION | {"version": version, "padding": PADDING}


@pytest.mark.parametrize("versions", [2, 25])
def test_last_configuration_of_a_storm_comes_into_force(monkeypatch, versions):
    """Guards against a read that exceeds what a node takes, and is repeated as it is.

    All versions are written while the node reads nothing. Each alone is small enough to be read.
    """
    monkeypatch.setattr(http_client, "_MAX_BODY_BYTES", READ_LIMIT_BYTES)

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        first = WIRE_CONFIGURATION["version"]
        store.mode = "busy"
        await wait_until(lambda: not process.follower.connected)
        for version in range(first + 1, first + 1 + versions):
            store.put("op/config", configuration_of(version))
        store.mode = ""
        await wait_until(lambda: process.dispatcher.version == first + versions)
        # The node goes on to follow changes.
        store.put("op/config", configuration_of(first + 1 + versions))
        await wait_until(lambda: process.dispatcher.version == first + 1 + versions)

    run_process(scenario)


class CountingStore(MetadataStore):
    """Counts the configurations that are decoded."""

    def __init__(self):
        super().__init__("127.0.0.1:1")
        self.decoded = []

    def decode_item(self, change):
        self.decoded.append(change.revision)
        return super().decode_item(change)


def changes_of(versions):
    """Returns a change for each version; None stands for one that cannot be used."""
    values = [
        (
            b"no configuration"
            if version is None
            else encode_with_changes(WIRE_CONFIGURATION, version=version)
        )
        for version in versions
    ]
    return [Change("op/config", 10 + n, value) for n, value in enumerate(values)]


def apply_in_one_read(versions):
    """Returns the version in force after a read with these, and how many were decoded."""

    async def scenario():
        store = CountingStore()
        dispatcher = Dispatcher("node", BOUNDS, PeerTable(0.0))
        view = StoreView(store, dispatcher)
        view.replace([replace(changes_of([1])[0], revision=5)], 5, "store")
        store.decoded.clear()
        changes = changes_of(versions)
        view.apply(changes, changes[-1].revision, "store")
        return dispatcher.version, len(store.decoded)

    return run_in_virtual_time(scenario())


@pytest.mark.parametrize(
    ("versions", "in_force", "decoded"),
    [
        (range(2, 27), 26, 1),
        ([2, 3, None], 3, 2),
        ([2, None, None], 2, 3),
    ],
)
def test_only_the_last_usable_configuration_of_a_read_is_decoded(versions, in_force, decoded):
    """Guards against a node that answers nobody while it decodes what is no longer in force."""

    assert apply_in_one_read(versions) == (in_force, decoded)


def test_higher_version_stays_in_force_before_a_lower_one_in_the_same_read():
    """Guards against a configuration that an older version replaces, as it was written later."""
    in_force, _decoded = apply_in_one_read([4, 3])
    assert in_force == 4
