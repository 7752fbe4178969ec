"""The hash chain of the audit trail, which must reveal edits, removals and swaps."""

import json
import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tanagerworks.audit import merge, trail
from tanagerworks.audit.merge import FaultKind, exports_from_log, merge_trails, verify_chain
from tanagerworks.audit.trail import AuditTrail, EventKind, TrailExport, record_digest

_EVENTS = st.lists(
    st.tuples(st.sampled_from(EventKind), st.text(max_size=8), st.integers(0, 9)),
    min_size=3,
    max_size=8,
)


def _build_trail(events, node_id="n1", times=None, max_records=2048) -> AuditTrail:
    times_s = iter(times or range(1, len(events) + 1))
    built = AuditTrail(node_id, 7, max_records=max_records, clock=lambda: float(next(times_s)))
    for kind, text, serial in events:
        built.record(kind, who=text, subject="zone a", serial=serial, before="in", after="out")
    return built


def _tamper_records(export: TrailExport):
    """Yields the records with one edit, removal or swap; edits also with a recomputed digest."""
    records = list(export.records)
    for index, record in enumerate(records):
        yield records[:index] + records[index + 1 :]
        for change in (
            {"who": record.who + "x"},
            {"after": "in"},
            {"time_s": record.time_s + 1},
            {"serial": record.serial + 1},
            {"sequence": record.sequence + 1},
            {"node_id": "n2"},
            {"incarnation": 8},
            {"previous": "0" * 64},
        ):
            edited = record.model_copy(update=change)
            yield [*records[:index], edited, *records[index + 1 :]]
            recomputed = edited.model_copy(update={"digest": record_digest(edited)})
            yield [*records[:index], recomputed, *records[index + 1 :]]
        for other in range(index + 1, len(records)):
            swapped = list(records)
            swapped[index], swapped[other] = swapped[other], swapped[index]
            yield swapped


def _count_undetected(events) -> int:
    export = _build_trail(events).export()
    assert verify_chain(export) == []
    changed = (
        export.model_copy(update={"records": tuple(item)}) for item in _tamper_records(export)
    )
    return sum(1 for item in changed if not verify_chain(item))


@given(_EVENTS)
def test_any_tampering_is_found(events):
    """Guards against a trail that can be edited, cut or reordered without being detected."""
    assert _count_undetected(events) == 0


@pytest.mark.parametrize("kind", [FaultKind.EDITED, FaultKind.MISSING, FaultKind.BROKEN_LINK])
def test_tampering_is_missed_without_a_check(monkeypatch, kind):
    """Guards against a tampering test that passes although the verification lacks a check."""

    def without_check(export):
        return [fault for fault in merge.verify_chain(export) if fault.kind is not kind]

    monkeypatch.setitem(globals(), "verify_chain", without_check)
    assert _count_undetected([(EventKind.ZONE_CHANGED, "a", 1)] * 4) > 0


def test_tampering_is_missed_with_an_incomplete_digest(monkeypatch):
    """Guards against a tampering test that passes although the digest leaves out a field."""

    def digest(record):
        return record_digest(record.model_copy(update={"after": ""}))

    monkeypatch.setattr(trail, "record_digest", digest)
    monkeypatch.setattr(merge, "record_digest", digest)
    assert _count_undetected([(EventKind.ZONE_CHANGED, "a", 1)] * 4) > 0


def test_fault_names_the_place():
    """Guards against a report that does not say which records are missing or edited."""
    export = _build_trail([(EventKind.ORDER_SENT, "a", 1)] * 5).export()
    cut = export.model_copy(update={"records": export.records[:1] + export.records[3:]})
    fault = verify_chain(cut)[0]
    assert (fault.kind, fault.first, fault.last) == (FaultKind.MISSING, 2, 3)


@given(st.lists(st.integers(0, 9), min_size=1, max_size=6), st.data())
def test_merge_keeps_each_chain_in_order(times, data):
    """Guards against a merge that reorders the records of a node whose clock steps back."""
    serials = data.draw(st.lists(st.integers(0, 3), min_size=len(times), max_size=len(times)))
    events = [(EventKind.VM_CHANGED, "a", serial) for serial in sorted(serials)]
    built = [_build_trail(events, node_id, times) for node_id in ("n2", "n1")]
    merged = merge_trails(item.export() for item in built)
    assert merged.faults == ()
    for node_id in ("n1", "n2"):
        sequences = [record.sequence for record in merged.records if record.node_id == node_id]
        assert sequences == list(range(1, len(times) + 1))
    assert [record.serial for record in merged.records] == sorted(serials * 2)


def test_ring_is_bounded_and_still_verifies():
    """Guards against memory that grows with the number of events.

    Also guards against a fault that is reported only because old records were dropped.
    """
    built = _build_trail([(EventKind.VM_CHANGED, "x" * 9000, 1)] * 20, max_records=5)
    export = built.export()
    assert [record.sequence for record in export.records] == [16, 17, 18, 19, 20]
    assert len(export.records[0].who) == 512
    assert verify_chain(export) == []


def test_failing_handler_does_not_reach_caller():
    """Guards against a failing log handler that stops the agent."""

    class _Failing(logging.Handler):
        def emit(self, record):
            raise OSError("log collector is gone")

    logger = logging.getLogger("tanagerworks.audit")
    handler = _Failing()
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        built = _build_trail([(EventKind.NODE_STARTED, "a", 0)])
    finally:
        logger.removeHandler(handler)
    assert built.export_failures == 1
    assert built.head_sequence == 1


def test_log_lines_give_back_the_trail(caplog):
    """Guards against collected logs from which the chain cannot be verified."""
    caplog.set_level(logging.INFO, "tanagerworks.audit")
    built = _build_trail([(EventKind.NOTE_ACCEPTED, "é", 1)] * 3)
    lines = [json.dumps({"audit": record.audit}) for record in caplog.records]
    lines = ["not json", '{"message": "other"}', lines[2], lines[0], lines[1], lines[1]]
    (export,) = exports_from_log(lines)
    assert export.records == built.export().records
    assert verify_chain(export) == []
    (cut,) = exports_from_log([lines[2], lines[3]])
    assert [fault.kind for fault in verify_chain(cut)] == [FaultKind.MISSING]
