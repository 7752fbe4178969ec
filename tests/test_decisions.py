"""Decisions of a node: admission, cold start, placement, eligibility, outliers, overrides."""

from hypothesis import given
from hypothesis import strategies as st

from tanagerworks.note.model import Customer, Statement
from tanagerworks.routing.admission import CustomerLimits, FairQueue
from tanagerworks.routing.cold_start import ColdStartTracker
from tanagerworks.routing.eligibility import Eligibility, Ineligible
from tanagerworks.routing.load_bound import slot_index_limit
from tanagerworks.routing.outliers import EJECTION_S, FAILURES_TO_EJECT, OutlierDetector
from tanagerworks.routing.placement import (
    Candidate,
    CandidateState,
    PlacementRule,
    choose_placement,
    prefer_cached,
)
from tanagerworks.routing.placement_overrides import PlacementOverrides
from tanagerworks.routing.ranking import rank_engines, rank_equally
from tests.builders import statement_document


def _customer(**fields):
    return Customer(key_sha256=("0" * 64,), **fields)


@given(
    st.lists(st.sampled_from(["a", "b", "c"]), min_size=1, max_size=60),
    st.fixed_dictionaries({"a": st.just(1.0), "b": st.just(1.0), "c": st.just(2.0)}),
)
def test_backlogged_customers_share_by_weight(arrivals, weights):
    """Guards against a customer served beyond its weight while another one waits."""
    queue = FairQueue()
    for number, name in enumerate(arrivals):
        queue.push(f"{number}", name, weights[name], 100.0, 1000)
    waiting = {name: arrivals.count(name) for name in weights}
    served = dict.fromkeys(weights, 0)
    while len(queue):
        claim = queue.claims_in_order(1)[0]
        queue.remove_served(claim)
        name = arrivals[int(claim)]
        served[name] += 1
        waiting[name] -= 1
        shares = [served[n] / weights[n] for n in weights if waiting[n]]
        # Start-time fair queueing lets two backlogged customers differ by one request each.
        assert not shares or max(shares) - min(shares) <= 2.0


def test_full_queue_drops_claims_of_the_bursting_customer():
    """Guards against a burst of one customer that crowds the others out of the queue."""
    queue = FairQueue()
    for number in range(4):
        assert queue.push(f"s{number}", "surge", 1.0, 9.0, 4) is None
    assert queue.push("s4", "surge", 1.0, 9.0, 4) == "s4"
    assert queue.push("o", "other", 1.0, 9.0, 4) == "s3"
    assert sorted(queue.entries) == ["o", "s0", "s1", "s2"]


def test_customer_limits_are_divided_over_nodes():
    """Guards against customer limits that apply to each node instead of the fleet."""
    limits = CustomerLimits()
    customer = _customer(max_streams=10, requests_per_s=8.0)
    assert limits.stream_limit(customer, 5) == 2
    assert limits.stream_limit(customer, 50) == 1
    taken = [limits.take_token("c", customer, 4, 0.0) == 0.0 for _ in range(5)]
    assert taken == [True, True, False, False, False]
    assert limits.take_token("c", customer, 4, 0.5) == 0.0


@given(st.floats(1.0, 2.0), st.floats(0.0, 1000.0))
def test_bound_allows_at_least_one_request(multiple, mean):
    """Guards against a bound of 0, with which an idle fleet would accept no request."""
    assert slot_index_limit(multiple, mean) >= max(1.0, multiple * mean)


def test_allowance_doubles_with_answers_of_this_boot_only():
    """Guards against an allowance that stays high after a restart of the engine."""
    cold_starts = ColdStartTracker("n1")
    assert cold_starts.allowance("m1", 16, 2, 4) == 2
    cold_starts.record_boot_id("m1", "b1")
    for _ in range(4):
        cold_starts.record_answer("m1", "b1")
    assert cold_starts.allowance("m1", 16, 2, 4) == 4
    cold_starts.merge_peer_answers("n2", "m1", "b1", 4)
    cold_starts.merge_peer_answers("n2", "m1", "b1", 4)
    assert cold_starts.allowance("m1", 16, 2, 4) == 8
    assert cold_starts.record_boot_id("m1", "b2")
    assert cold_starts.allowance("m1", 16, 2, 4) == 2
    cold_starts.record_answer("m1", "b1")
    cold_starts.merge_peer_answers("n2", "m1", "b1", 50)
    assert cold_starts.boot_id("m1") == "b2"
    assert cold_starts.allowance("m1", 16, 2, 4) == 2


def test_suspected_restart_is_cold_until_the_boot_id_is_sent():
    """Guards against full load on an engine that may have restarted, as its connection broke."""
    cold_starts = ColdStartTracker("n1")
    for _ in range(12):
        cold_starts.record_answer("m1", "b1")
    assert cold_starts.allowance("m1", 16, 2, 4) == 16
    cold_starts.suspect_restart("m1")
    assert cold_starts.allowance("m1", 16, 2, 4) == 2
    assert not cold_starts.record_boot_id("m1", "b1")
    assert cold_starts.allowance("m1", 16, 2, 4) == 16


def _candidate_state(engine_id, recompute_s=0.0, own=None, peer=None, allowance=16, wait_s=1.0):
    return CandidateState(engine_id, recompute_s, allowance, own, peer, wait_s)


def test_long_prefixes_wait_and_short_ones_move():
    """Guards against moving a chat if recomputing costs more than the wait, and the reverse."""
    long_prefix = [_candidate_state("m1"), _candidate_state("m2", recompute_s=8.0, own=0)]
    assert choose_placement(long_prefix, 4, 4, 0.0).rule is PlacementRule.WAIT
    assert choose_placement(long_prefix, 4, 4, 8.0).wanted_slots == (("m2", 4),)
    short_prefix = [_candidate_state("m1"), _candidate_state("m2", recompute_s=0.2, own=0)]
    assert choose_placement(short_prefix, 4, 4, 0.0).wanted_slots == (("m2", 4),)


def test_bound_rises_only_when_all_candidates_are_at_it():
    """Guards against use of a slot above the bound while another engine has one below it."""
    assert choose_placement(
        [_candidate_state("m1", own=5), _candidate_state("m2", peer=3)], 4, 4, 0.0
    ).wanted_slots == (("m2", 4),)
    raised = choose_placement(
        [_candidate_state("m1", own=6), _candidate_state("m2", own=5)], 4, 4, 0.0
    )
    assert (raised.rule, raised.wanted_slots) == (PlacementRule.OWN, (("m2", 6),))
    assert (
        choose_placement([_candidate_state("m1", own=6, allowance=4)], 4, 4, 0.0).rule
        is PlacementRule.WAIT
    )


def test_overriding_engine_comes_first():
    """Guards against recomputing the prefix of a moved chat for a second time."""
    ranked = [Candidate("m1", 0.0), Candidate("m2", 3.0)]
    assert prefer_cached(ranked, "m2") == [Candidate("m2", 0.0), Candidate("m1", 3.0)]
    assert prefer_cached(ranked, "gone") is ranked


def _eligibility(**zone):
    eligibility = Eligibility()
    document = statement_document(zones={"sfax-medina": zone}, rules={"vm_damping_s": 2.0})
    eligibility.set_statement(Statement.model_validate(document))
    return eligibility


def test_zones_out_and_draining_stop_new_work():
    """Guards against new work in a zone that operators took out of service."""
    assert _eligibility(state="in").ineligible_reason("m1", 0.0) is None
    assert _eligibility(state="out").ineligible_reason("m1", 0.0) is Ineligible.ZONE
    assert _eligibility(state="draining").ineligible_reason("m1", 0.0) is Ineligible.ZONE


def test_flapping_engine_waits_longer_each_time():
    """Guards against chats that move each time the state of a VM flaps."""
    eligibility = _eligibility()
    eligibility.set_leaving(["m1"], 10.0)
    eligibility.set_leaving([], 11.0)
    assert eligibility.ineligible_reason("m1", 12.9) is Ineligible.DAMPED
    assert eligibility.ineligible_reason("m1", 13.0) is None
    eligibility.set_leaving(["m1"], 13.0)
    eligibility.set_leaving([], 14.0)
    assert eligibility.ineligible_reason("m1", 17.0) is Ineligible.DAMPED
    eligibility.set_leaving(["m1"], 500.0)
    eligibility.set_leaving([], 600.0)
    assert eligibility.ineligible_reason("m1", 600.0) is None


def test_ejection_leaves_two_thirds_of_the_engines():
    """Guards against ejecting most engines for a fault that they all share."""
    detector = OutlierDetector()
    engines = ["m1", "m2", "m3"]
    for engine_id in engines:
        for _ in range(FAILURES_TO_EJECT):
            detector.record_failure(engine_id, engines, 0.34, 0.0)
    assert [engine for engine in engines if detector.is_ejected(engine, 0.0)] == ["m1"]
    assert not detector.is_ejected("m1", EJECTION_S)


def test_overrides_are_bounded_and_removed():
    """Guards against a map that grows without bound or has outdated entries."""
    overrides = PlacementOverrides(max_entries=2)
    for chat in (1, 2, 3):
        overrides.record_served(chat, "m2", "m1")
    assert (overrides.get(1), overrides.get(3), len(overrides)) == (None, "m2", 2)
    overrides.record_served(3, "m1", "m1")
    assert overrides.get(3) is None
    assert overrides.newest_changes(2) == [(3, ""), (2, "m2")]


@given(st.sets(st.text("abcdef0123456789", min_size=1, max_size=6), min_size=1), st.text())
def test_equal_ranking_is_the_weighted_one_with_equal_weights(names, key):
    """Guards against slot owners that differ from the weighted ranking."""
    ranked = rank_engines(key, dict.fromkeys(names, 1.0))
    assert rank_equally(key, names, len(names)) == ranked
    assert rank_equally(key, names, 2) == ranked[:2]
