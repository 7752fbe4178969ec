"""What a node believes of backend servers that come, go, leave and start again."""

from hypothesis import given
from hypothesis import strategies as st

from tanagerworks.dispatch.directory import REAPPEAR_S, Directory
from tanagerworks.dispatch.server_state import FAILURES_TO_SET_ASIDE, PeerLoad
from tests.edge_builders import MODEL_SERVICE, PLAIN_SERVICE, server_entry


def usable(directory, now_s=0.0, service=MODEL_SERVICE):
    return {state.server_id for state in directory.usable(service, now_s)}


def test_leaving_server_gets_no_new_work():
    """Guards against requests that reach a server which is shutting down."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    assert directory.put(server_entry("a", leaving=True), 1.0) == "leaving"
    assert usable(directory) == set()


def test_zone_out_and_back():
    """Guards against new work in a zone that operators have taken out."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    directory.put(server_entry("b", zone="zone-b"), 0.0)
    directory.zones_out.add("zone-a")
    assert usable(directory) == {"b"}
    directory.zones_out.discard("zone-a")
    assert usable(directory) == {"a", "b"}


def test_deletion_after_an_outage_is_held_until_the_server_could_write_again():
    """Guards against dropping all servers whose entries expired while the store was down."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    directory.put(server_entry("b"), 0.0)
    directory.store_returned(10.0)
    assert directory.delete("a", 10.1) == "held"
    assert directory.delete("b", 10.1) == "held"
    directory.put(server_entry("a"), 11.0)
    assert directory.expire_held(10.0 + REAPPEAR_S) == ["b"]
    assert usable(directory) == {"a"}


def test_deletion_while_the_store_is_well_counts_at_once():
    """Guards against work for a server that leaves without a word."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    assert directory.delete("a", 1.0) == "gone"
    assert usable(directory) == set()


def test_restart_under_the_same_id_forgets_counts_and_failures():
    """Guards against beliefs about the process before."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    old = directory.servers["a"]
    for _failure in range(FAILURES_TO_SET_ASIDE):
        old.failed(0.0)
    assert usable(directory) == set()
    assert directory.put(server_entry("a", started_ms=2), 0.1) == "restarted"
    assert directory.servers["a"] is not old
    assert old.gone
    assert usable(directory) == {"a"}


def test_entry_that_moves_to_another_service():
    """Guards against requests for the service that a server had before."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    directory.put(server_entry("a", service=PLAIN_SERVICE), 1.0)
    assert usable(directory) == set()
    assert usable(directory, service=PLAIN_SERVICE) == {"a"}


def test_server_set_aside_gets_one_probe_at_a_time():
    """Guards against a herd on a server that has just failed several requests."""
    directory = Directory()
    directory.put(server_entry("a"), 0.0)
    state = directory.servers["a"]
    for _failure in range(FAILURES_TO_SET_ASIDE):
        state.failed(0.0)
    assert usable(directory, 0.1) == set()
    later_s = state.set_aside_until_s + 0.1
    assert usable(directory, later_s) == {"a"}
    state.begin(0)
    assert usable(directory, later_s) == set()
    state.end()
    state.succeeded(0.1)
    assert usable(directory, later_s) == {"a"}


def test_peers_loads_are_replaced_and_forgotten():
    """Guards against counts of a lost peer that keep a server full."""
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
def test_sums_of_peers_follow_their_last_words(words):
    """Guards against loads that drift from what the peers said, also when servers restart."""
    directory = Directory()
    said = {}
    for number, (peer, loads, restarts) in enumerate(words):
        for server_id in ("a", "b"):
            started_ms = number if restarts else 1
            directory.put(server_entry(server_id, started_ms=started_ms), 0.0)
        directory.set_peer_loads(peer, loads)
        said[peer] = loads
    for server_id, state in directory.servers.items():
        told = [loads[server_id] for loads in said.values() if server_id in loads]
        assert state.total_running == sum(load.running for load in told)
        assert state.total_prefill_tokens == sum(load.prefill_tokens for load in told)
