"""Evidence against prompt parts that crash servers, and the quarantines that follow from it."""

import hypothesis.strategies as st
import pytest
from hypothesis import given

from tanagerworks.dispatch.crash_evidence import (
    COMMON_CAUSE_S,
    EVIDENCE_RETENTION_S,
    CrashEvidence,
    suspect_key,
)
from tanagerworks.dispatch.quarantine_gate import QuarantineGate
from tanagerworks.membership.peer_table import PeerTable
from tests.edge_builders import crash, peer


def evidence_of(*crashes):
    """The evidence of a node after crashes of different servers."""
    evidence = CrashEvidence()
    for process, reported in enumerate(crashes):
        evidence.merge_crash(process, reported, reported.crashed_at_s)
    return evidence


def quarantined(evidence, *part_ids):
    """Returns those of the parts that are in quarantine."""
    return set(evidence.find_quarantines(part_ids))


def test_part_of_two_crashes_is_quarantined_and_its_neighbours_are_not():
    """Guards against the refusal of sound requests that share all other parts."""
    evidence = evidence_of(crash(0.0, "a", "b", "dead"), crash(1.0, "a", "b", "dead"))
    assert quarantined(evidence, "a", "b", "dead") == {"dead"}


def test_deadly_part_before_others_is_found():
    """Guards against a search that only considers the last shared part."""
    evidence = evidence_of(crash(0.0, "a", "dead", "x"), crash(1.0, "a", "dead", "y"))
    evidence.record_answer(["a"], 1.5)
    assert quarantined(evidence, "a", "dead", "x", "y") == {"dead"}


def test_wrong_quarantine_yields_to_a_better_explanation():
    """Guards against a sound part that stays in quarantine once another explains its crashes."""
    evidence = evidence_of(crash(0.0, "a", "dead", "x"), crash(1.0, "a", "dead", "x"))
    evidence.record_answer(["a"], 1.5)
    assert quarantined(evidence, "dead", "x") == {"x"}
    evidence.merge_crash(8, crash(2.0, "a", "dead", "y"), 2.0)
    evidence.record_answer(["a"], 2.5)
    assert quarantined(evidence, "dead", "x", "y") == {"dead"}


@pytest.mark.parametrize("crashes", [2, 5])
def test_answer_after_the_crashes_ends_the_quarantine(crashes):
    """Guards against a sound part that stays in quarantine although a server has answered it."""
    evidence = evidence_of(*(crash(float(number), "a") for number in range(crashes)))
    changes = []
    evidence.on_quarantines_changed = lambda begun, ended: changes.append((set(begun), set(ended)))
    evidence.record_answer(["a"], crashes - 1.5)
    # An answer before the last crash leaves one crash unexplained.
    assert not quarantined(evidence, "a")
    evidence.merge_crash(90, crash(10.0, "a"), 10.0)
    evidence.merge_crash(91, crash(11.0, "a"), 11.0)
    evidence.merge_crash(92, crash(12.0, "a"), 12.0)
    assert quarantined(evidence, "a") == {"a"}
    evidence.record_answer(["a"], 12.5)
    assert not quarantined(evidence, "a")
    assert changes == [
        (set(), {suspect_key("a")}),
        ({suspect_key("a")}, set()),
        (set(), {suspect_key("a")}),
    ]


def test_report_that_arrives_after_an_answer_is_cleared():
    """Guards against evidence that an answer between the crash and its report refutes."""
    evidence = evidence_of(crash(0.0, "a"))
    evidence.record_answer(["a"], 2.0)
    evidence.merge_crash(1, crash(1.5, "a"), 2.5)
    evidence.merge_crash(2, crash(3.0, "a"), 3.0)
    assert not quarantined(evidence, "a")


@pytest.mark.parametrize(
    ("gap_s", "in_flight_s", "expected"),
    [
        # All servers of a rack stop at once.
        (0.1, 1.0, False),
        (COMMON_CAUSE_S, 1.0, True),
        # The request was sent to the second server after the first had crashed.
        (0.1, 0.05, True),
    ],
)
def test_servers_that_end_together_count_once(gap_s, in_flight_s, expected):
    """Guards against a quarantine of busy parts when several servers stop at once."""
    crashes = [crash(number * gap_s, "a", in_flight_s=in_flight_s) for number in range(2)]
    assert bool(quarantined(evidence_of(*crashes), "a")) is expected


def test_part_with_earlier_answers_needs_more_evidence():
    """Guards against a quarantine of the first part of a route after two unrelated crashes."""
    evidence = CrashEvidence()
    evidence.record_answer(["a"], 0.0)
    for number in range(3):
        evidence.merge_crash(number, crash(1.0 + number, "a"), 1.0 + number)
        assert not quarantined(evidence, "a")
    evidence.merge_crash(3, crash(4.0, "a"), 4.0)
    assert quarantined(evidence, "a") == {"a"}


def test_crash_known_from_a_peer_counts_once():
    """Guards against one crash that counts as often as nodes report it."""
    evidence = CrashEvidence()
    for seconds in range(5):
        evidence.merge_crash(1, crash(0.3 * seconds, "a"), 0.3 * seconds)
    assert not quarantined(evidence, "a")


def test_evidence_expires():
    """Guards against evidence that adds up over hours."""
    evidence = evidence_of(crash(0.0, "a"), crash(EVIDENCE_RETENTION_S + 1.0, "a"))
    assert not quarantined(evidence, "a")
    assert len(evidence.crashes) == 1


def test_memory_is_bounded():
    """Guards against a caller who fills the memory of a node with parts of prompts."""
    evidence = CrashEvidence()
    for number in range(300):
        parts = [f"{number}-{part}" for part in range(100)]
        evidence.merge_crash(number, crash(float(number), *parts), float(number))
        evidence.record_answer(parts, number + 0.5)
    assert len(evidence.crashes) <= 64
    assert all(len(known.suspects) <= 96 for known in evidence.crashes.values())
    assert len(evidence.answered_at_s) <= 4096


def test_deadly_part_is_kept_among_many_suspects():
    """Guards against a busy server whose many sound requests crowd out the evidence."""
    sound = [f"sound-{number}" for number in range(200)]
    evidence = CrashEvidence()
    evidence.record_answer(sound, 0.0)
    for number in range(2):
        evidence.merge_crash(number, crash(1.0 + number, *sound, "dead"), 1.0 + number)
    assert quarantined(evidence, "dead", *sound) == {"dead"}


PARTS = ["a", "b", "c", "d"]
REPORTS = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sets(st.sampled_from(PARTS), min_size=1),
        st.booleans(),
        st.booleans(),
    ),
    max_size=12,
)


@given(REPORTS, st.randoms(use_true_random=False))
def test_nodes_agree_whatever_the_order_of_reports(reports, random):
    """Guards against nodes that refuse different requests with the same evidence."""
    by_order = []
    for _order in range(2):
        evidence = CrashEvidence()
        shuffled = list(reports)
        random.shuffle(shuffled)
        for process, parts, answered_before, cleared in shuffled:
            reported = crash(
                float(process),
                *(part if part in parts else f"-{part}" for part in PARTS),
                answered_before=answered_before,
                cleared=cleared,
            )
            evidence.merge_crash(process, reported, 10.0)
        by_order.append(evidence)
    assert by_order[0].quarantines == by_order[1].quarantines
    assert {key: known.suspects for key, known in by_order[0].crashes.items()} == {
        key: known.suspects for key, known in by_order[1].crashes.items()
    }


def gate_of(evidence, peers=()):
    table = PeerTable(-100.0)
    for name in peers:
        table.record_message(peer(name, last_seen_s=1e9))
    return QuarantineGate("node", table, evidence)


def test_gate_sends_one_probe_after_the_quarantine():
    """Guards against a part that is refused for ever, and against a herd of requests with it."""
    evidence = evidence_of(crash(0.0, "a"), crash(1.0, "a"))
    until_s = evidence.find_quarantines(["a"])["a"].until_s
    gate = gate_of(evidence)
    refusal = gate.check_request("c1", ("a",), 100.0, 2.0)
    assert refusal is not None
    assert refusal.retry_after_s == pytest.approx(until_s - 2.0)
    assert gate.check_request("c2", ("a",), until_s + 9.0, until_s + 1.0) is None
    # The probe may be sent to another server itself; others wait for its result.
    assert gate.check_request("c2", ("a",), until_s + 9.0, until_s + 2.0) is None
    assert gate.check_request("c3", ("a",), until_s + 9.0, until_s + 2.0) is not None
    gate.end_probe("c2")
    assert gate.check_request("c3", ("a",), until_s + 9.0, until_s + 3.0) is None
    # A probe that never ended holds the place until its deadline.
    assert gate.check_request("c4", ("a",), until_s + 20.0, until_s + 9.5) is None


def test_failed_probe_extends_the_quarantine():
    """Guards against one crash every time that a quarantine ends."""
    evidence = evidence_of(crash(0.0, "a"), crash(1.0, "a"))
    first_s = evidence.find_quarantines(["a"])["a"].until_s - 1.0
    evidence.merge_crash(9, crash(40.0, "a"), 40.0)
    assert evidence.find_quarantines(["a"])["a"].until_s - 40.0 > 3.0 * first_s


def test_nodes_send_their_probes_one_after_the_other():
    """Guards against a probe by each of many nodes at the same moment."""
    evidence = evidence_of(crash(0.0, "a"), crash(1.0, "a"))
    until_s = evidence.find_quarantines(["a"])["a"].until_s
    names = [f"node-{number}" for number in range(40)]
    allowed = 0
    for name in names:
        gate = gate_of(evidence, [other for other in names if other != name])
        gate.node = name
        allowed += gate.check_request("c1", ("a",), 1e9, until_s + 0.5) is None
    assert allowed == 1


def test_request_with_two_quarantined_parts_waits_for_both():
    """Guards against a probe that the evidence against another part forbids."""
    evidence = evidence_of(
        crash(0.0, "a"), crash(1.0, "a"), crash(50.0, "b"), crash(51.0, "b"), crash(52.0, "b")
    )
    gate = gate_of(evidence)
    assert gate.check_request("c1", ("a", "b"), 100.0, 53.0) is not None
    assert not gate.probes
