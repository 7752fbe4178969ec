"""The server directory when backend servers register, shut down, disappear and restart."""

from hypothesis import given
from hypothesis import strategies as st

from tanagerworks.dispatch.directory import REREGISTRATION_S, Directory
from tanagerworks.dispatch.server_state import FAILURES_TO_EJECT, PeerLoad
from tests.edge_builders import MODEL_SERVICE, PLAIN_SERVICE, server_entry


def usable(directory, now_s=0.0, service=MODEL_SERVICE):
    return {state.server_id for state in directory.usable_servers(service, now_s)}


def test_leaving_server_gets_no_new_work():
    """Guards against new requests to a server that is shutting down."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    assert directory.put(server_entry("a", leaving=True), 1.0) == "leaving"
    assert usable(directory) == set()


def test_zone_out_and_back():
    """Guards against new requests in a zone that operators have taken out of service."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    directory.put(server_entry("b", zone="zone-b"), 0.0)
    directory.zones_out.add("zone-a")
    assert usable(directory) == {"b"}
    directory.zones_out.discard("zone-a")
    assert usable(directory) == {"a", "b"}


def test_deletion_after_an_outage_is_held_until_the_server_could_register_again():
    """Guards against losing all servers when their entries expire during an outage of the store."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    directory.put(server_entry("b"), 0.0)
    directory.hold_deletions(10.0)
    assert directory.delete("a", 10.1) == "held"
    assert directory.delete("b", 10.1) == "held"
    directory.put(server_entry("a"), 11.0)
    assert directory.apply_held_deletions(10.0 + REREGISTRATION_S) == ["b"]
    assert usable(directory) == {"a"}


def test_deletion_without_an_outage_is_applied_at_once():
    """Guards against requests to a server that disappears without announcing its shutdown."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    assert directory.delete("a", 1.0) == "gone"
    assert usable(directory) == set()


def test_restart_under_the_same_id_resets_counts_and_failures():
    """Guards against a new process that stays ejected for the failures of the process before it."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    old = directory.servers["a"]
    for _failure in range(FAILURES_TO_EJECT):
        old.record_failure(0.0)
    assert usable(directory) == set()
    assert directory.put(server_entry("a", started_ms=2), 0.1) == "restarted"
    assert directory.servers["a"] is not old
    assert old.removed
    assert usable(directory) == {"a"}


def test_entry_that_moves_to_another_service():
    """Guards against sending a server the requests of its earlier service."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    directory.put(server_entry("a", service=PLAIN_SERVICE), 1.0)
    assert usable(directory) == set()
    assert usable(directory, service=PLAIN_SERVICE) == {"a"}


def test_ejected_server_gets_one_probe_at_a_time():
    """Guards against many requests at once to a server that has just failed several of them."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    state = directory.servers["a"]
    for _failure in range(FAILURES_TO_EJECT):
        state.record_failure(0.0)
    assert usable(directory, 0.1) == set()
    later_s = state.ejected_until_s + 0.1
    assert usable(directory, later_s) == {"a"}
    state.record_start("call-1", 0)
    assert usable(directory, later_s) == set()
    state.record_end("call-1")
    state.record_success(0.1)
    assert usable(directory, later_s) == {"a"}


def test_end_of_an_older_request_does_not_end_a_probe():
    """Guards against two probes at once: an older request ends while the first is in progress."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    state = directory.servers["a"]
    state.record_start("older", 0)
    for _failure in range(FAILURES_TO_EJECT):
        state.record_failure(0.0)
    later_s = state.ejected_until_s + 0.1
    state.record_start("probe", 0)
    state.record_end("older")
    assert usable(directory, later_s) == set()
    state.record_end("probe")
    assert usable(directory, later_s) == {"a"}


def test_peer_loads_are_replaced_and_removed():
    """Guards against loads of a lost peer that make a server look full."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    directory.set_peer_loads("peer", {"a": PeerLoad(5, 100)})
    assert directory.servers["a"].load(0.0) == 5
    directory.set_peer_loads("peer", {})
    assert directory.servers["a"].load(0.0) == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["p1", "p2", "p3"]),
            st.dictionaries(
                st.sampled_from(["a", "b", "unknown"]),
                st.builds(PeerLoad, st.integers(1, 9), st.integers(0, 5_000)),
            ),
            st.booleans(),
        )
    )
)
def test_sums_of_peer_loads_equal_the_last_reports(reports):
    """Guards against sums that drift from the loads that peers reported, also after restarts."""
    directory = Directory()
    last_loads = {}
    for number, (peer, loads, restarts) in enumerate(reports):
        for server_id in ("a", "b"):
            started_ms = number if restarts else 1
            directory.put(server_entry(server_id, started_ms=started_ms), 0.0)
        directory.set_peer_loads(peer, loads)
        last_loads[peer] = loads
    for server_id, state in directory.servers.items():
        reported = [loads[server_id] for loads in last_loads.values() if server_id in loads]
        assert state.total_running == sum(load.running for load in reported)
        assert state.total_prefill_tokens == sum(load.prefill_tokens for load in reported)
