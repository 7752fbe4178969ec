"""Orders to engines: one sender, increasing fencing numbers, limited load rate."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerworks.audit.merge import exports_from_log
from tanagerworks.note.model import Note
from tanagerworks.orders.decision import (
    MAX_READ_AGE_S,
    RETRY_AFTER_S,
    LoadPacer,
    OrderPlanner,
    fencing_number,
    order_sender,
)
from tests.builders import note_document
from tools.fleet import Fleet, free_address, new_node

_NODES = [f"n{number}" for number in range(5)]


def _note(serial=2, version="v2", checks_fencing=True) -> Note:
    nodes = {
        name: {"zone": "sfax-medina", "peer_address": f"127.0.0.1:{7000 + number}"}
        for number, name in enumerate(_NODES)
    }
    document = note_document(serial, nodes=nodes, models={"wax": {"versions": {version: 1.0}}})
    engine = document["statement"]["engines"]["m1"]
    document["statement"]["engines"] = {
        f"m{number}": {
            **engine,
            "address": f"127.0.0.1:{8000 + number}",
            "version": version,
            "checks_fencing": checks_fencing,
        }
        for number in range(1, 5)
    }
    return Note.model_validate(document)


@given(st.sets(st.sampled_from(_NODES)), st.booleans())
def test_at_most_one_sender(live_nodes, checks_fencing):
    """Guards against two nodes that send orders to an engine.

    For an engine that ignores fencing numbers, no other node may replace a silent first node.
    """
    note = _note(checks_fencing=checks_fencing)
    for engine_id, engine in note.statement.engines.items():
        sender = order_sender(engine_id, engine, _NODES, live_nodes)
        first = order_sender(engine_id, engine, _NODES, _NODES)
        if checks_fencing:
            assert (sender is None) == (not live_nodes)
            assert sender is None or sender in live_nodes
        else:
            assert sender == (first if first in live_nodes else None)


@given(st.tuples(st.integers(1, 2**53 - 1), st.integers(0, 2**44 - 1)), st.data())
def test_fencing_grows_with_serial_then_incarnation(low, data):
    """Guards against a process on an older note that overrides one on a newer note."""
    high = data.draw(st.tuples(st.integers(1, 2**53 - 1), st.integers(0, 2**44 - 1)))
    assert (fencing_number(*low) < fencing_number(*high)) == (low < high)


@given(st.integers(0, 2**32), st.lists(st.floats(0.01, 5.0), max_size=60))
def test_loads_stay_below_the_rate_of_the_store(seed, steps):
    """Guards against loads of all nodes that together exceed the rate of the weight store."""
    rate = 0.5
    pacers = [LoadPacer(rate, Random(f"{seed}-{node}")) for node in _NODES]
    now_s, loads = 0.0, 0
    for step_s in steps:
        now_s += step_s
        loads += sum(pacer.try_start_load(len(_NODES), now_s) for pacer in pacers)
        # Each node may exceed its share by one load.
        assert loads <= rate * now_s + len(_NODES)


def _planner_of_sender(note, live_nodes):
    sender = order_sender("m1", note.statement.engines["m1"], _NODES, live_nodes)
    return OrderPlanner(sender, LoadPacer(1e9, Random(1)))


def test_order_is_sent_once_and_again_only_with_reason():
    """Guards against an order that is retried at each check, or never after it was lost."""
    note, live_nodes = _note(), _NODES
    planner = _planner_of_sender(note, live_nodes)
    planner.pacer.try_start_load(len(_NODES), 0.0)

    def decide(now_s, model="wax:v1", used=note, read_at_s=None):
        read_at_s = now_s if read_at_s is None else read_at_s
        return planner.next_order(used, 7, live_nodes, "m1", model, read_at_s, now_s)

    assert decide(10.0, read_at_s=10.0 - 2 * MAX_READ_AGE_S) is None
    order = decide(10.0)
    assert (order.kind, order.argument) == ("load_model", "wax:v2")
    assert decide(11.0) is None
    assert decide(11.0 + RETRY_AFTER_S) == order
    newer = decide(12.0 + RETRY_AFTER_S, used=_note(serial=3, version="v3"))
    assert newer.fencing > order.fencing
    planner.record_refusal(newer)
    assert decide(400.0, used=_note(serial=3, version="v3")) is None
    for reported in ("wax:v2", "wax", ""):
        assert decide(500.0, model=reported) is None


def test_other_nodes_decide_nothing():
    """Guards against orders from a node that was the sender until another one returned."""
    note = _note()
    planner = _planner_of_sender(note, _NODES)
    others = [name for name in _NODES if name != planner.node_id]
    for name in others:
        other = OrderPlanner(name, LoadPacer(1e9, Random(1)))
        assert other.next_order(note, 7, _NODES, "m1", "wax:v1", 1.0, 1.0) is None
    assert "m1" not in planner.assigned_engines(note, others)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_agent_brings_an_engine_to_the_stated_version(tmp_path, checks_fencing):
    """Guards against a version in the note that no engine ever loads."""
    engine_address = free_address()
    node = new_node("n1", "sfax-medina", routers=0)
    document = note_document(
        nodes={"n1": {"zone": "sfax-medina", "peer_address": node.peer_address}}
    )
    document["statement"]["engines"]["m1"].update(
        address=engine_address, checks_fencing=checks_fencing, checks_sender=True
    )
    key_file = tmp_path / "order.key"
    key_file.write_text("order-key\n")
    orders = {"loads_per_s": 100.0, "check_period_s": 0.1, "key_file": str(key_file)}
    with Fleet(tmp_path) as fleet:
        fleet.start_platform()
        fleet.start_engine(
            "m1",
            engine_address,
            model="wax:v0",
            load_lag_s=0.0,
            order_key="order-key",
            checks_fencing=checks_fencing,
        )
        fleet.wait_until_ready("m1", f"http://{engine_address}/v1/boot")
        fleet.publish_note(document)
        fleet.start_node(node, [], orders=orders)
        while fleet.get_json(f"http://{engine_address}/v1/load")["model"] != "wax:v1":
            assert fleet.processes["n1-agent"].process.poll() is None
        counters = fleet.get_json(f"http://{engine_address}/control/counters")
        assert fleet.processes["n1-agent"].stop() == 0
        log = fleet.processes["n1-agent"].log_path.read_text()
    assert [order["argument"] for order in counters["orders"]] == ["wax:v1"]
    assert "order-key" not in log
    (export,) = exports_from_log(log.splitlines())
    sent = [record for record in export.records if record.kind.value == "order_sent"]
    assert [(record.before, record.after) for record in sent] == [("wax:v0", "load_model wax:v1")]
