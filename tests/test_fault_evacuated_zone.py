"""Fault: a zone goes out of service while what nodes read of it arrives late.

The bound for its servers counts from the acknowledgement of the store. A node must not count it
from a later time, whatever delays the answers of the store and the messages of peers.
"""

import asyncio
import math

import pytest
from adapter.store import MetadataStore

from tanagerworks.dispatch.last_resort import NoticeBounds, last_resort_end_s
from tanagerworks.edge import peers as peers_module
from tanagerworks.edge.follower import ReadStart, StoreView
from tanagerworks.published.replica import Change
from tests.edge_builders import dispatcher, server_entry
from tests.virtual_fleet import VirtualFleet, run_in_virtual_time
from tests.virtual_store import VirtualStore, attach_store, fetch_virtual_copy

LATE_S = 0.7
# What is late when the zone goes out of service has been late for this time.
LEAD_S = 0.5
# A node may count from a time that is early by its longest read and the pause before it.
MAX_EARLY_S = 1.5


def counted_from(monkeypatch, after_s, prepare):
    """How much later than the acknowledgement each node counts, with a zone out at `after_s`."""

    async def scenario():
        fleet, store = VirtualFleet(6, 2), VirtualStore()

        async def fetch(address, request):
            return await fetch_virtual_copy(fleet, address, request)

        monkeypatch.setattr(peers_module, "fetch_store_copy", fetch)
        store.put("servers/a", b"{}")
        attach_store(fleet, store, 3.0)
        fleet.start()
        await asyncio.sleep(5.0 + after_s)
        prepare(fleet, store)
        await asyncio.sleep(LEAD_S)
        acknowledged_s = fleet.loop.time()
        store.put("op/evacuate/zone-a", b"{}")
        await asyncio.sleep(4.0)
        directories = [node.dispatcher.directory for node in fleet.nodes]
        return [directory.zone_out_since_s["zone-a"] - acknowledged_s for directory in directories]

    return run_in_virtual_time(scenario())


def delay_answers(fleet, store):
    """What the store has answered is read late, as by a process that is busy."""
    store.answer_delay_s = LATE_S


def delay_messages(fleet, store):
    fleet.delay_s = LATE_S


def delay_copies(fleet, store):
    fleet.copy_delay_s = LATE_S


def deafen_reads(fleet, store):
    """Waiting reads end without the change; then the store has lost its history."""
    store.deaf_until_s = fleet.loop.time() + LEAD_S + 1.0


@pytest.mark.parametrize("prepare", [delay_answers, delay_messages, delay_copies])
def test_late_news_of_a_zone_out_of_service_do_not_extend_its_bound(monkeypatch, prepare):
    """Guards against requests to an evacuated zone after the bound of the operators."""
    for step in range(10):
        for late_s in counted_from(monkeypatch, 0.1 * step, prepare):
            assert -MAX_EARLY_S <= late_s <= 0.0


def test_change_that_waiting_reads_did_not_hear_has_no_known_time(monkeypatch):
    """Guards against requests to an evacuated zone whose acknowledgement may be long past."""
    for step in range(5):
        assert set(counted_from(monkeypatch, 0.2 * step, deafen_reads)) == {-math.inf}


class JumpingMeter:
    """Stands in for `SuspensionMeter`."""

    def __init__(self):
        self.suspended_s = 0.0

    def take_suspended_s(self):
        suspended_s, self.suspended_s = self.suspended_s, 0.0
        return suspended_s


def test_bound_goes_on_while_the_machine_is_suspended():
    """Guards against requests to an evacuated zone after the clock of the node stood still.

    The machine is suspended for 3 s while a read is in progress, and for 2 s after the change.
    """

    async def scenario():
        node = dispatcher(servers=[server_entry("a")])
        view = StoreView(MetadataStore("127.0.0.1:1"), node)
        meter = view.suspension_meter = JumpingMeter()
        loop = asyncio.get_running_loop()
        start = ReadStart(view)
        began_s = loop.time()
        meter.suspended_s = 3.0
        view.confirm(start.time_s())
        view.apply([Change("op/evacuate/zone-a", 2, b"{}")], 2, "store")
        meter.suspended_s = 2.0
        view.account_for_suspension()
        state = node.directory.servers["a"]
        end_s = last_resort_end_s(state, node.directory, NoticeBounds(2.0, 9.0))
        (item,) = view.replica.changes_after(1)
        return end_s - began_s, item.acknowledged_after_s - began_s

    end_s, acknowledged_after_s = asyncio.run(scenario())
    assert end_s <= 9.0 - 3.0 - 2.0
    assert acknowledged_after_s == pytest.approx(-5.0, abs=0.1)
