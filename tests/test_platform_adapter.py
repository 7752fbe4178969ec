"""The platform's wire formats, invalid values, and following the platform's store."""

import asyncio
import json

import pytest
from adapter.backend_http import BackendHttp
from adapter.caller_http import CallerHttp
from adapter.configuration import parse_configuration
from adapter.server_entry import parse_server_entry
from adapter.store import MetadataStore

from tanagerworks.dispatch.directory import REREGISTRATION_S
from tanagerworks.edge.follower import StoreFollower, StoreView
from tanagerworks.edge.http_messages import RequestHead
from tanagerworks.edge.store_role import StoreRole
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import BackendProtocolError, HistoryLostError, PublishedStoreError
from tanagerworks.published.model import (
    Configuration,
    ExecutionSemantics,
    ServerEntry,
    UnusableValue,
    ZoneOut,
)
from tanagerworks.published.replica import Change
from tests.edge_builders import dispatcher
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    StoreStandin,
    encode_with_changes,
    wait_until,
)


def test_parse_configuration():
    """Guards against units, route types or names that are parsed incorrectly."""
    parsed = parse_configuration(json.dumps(WIRE_CONFIGURATION).encode())
    assert isinstance(parsed, Configuration)
    chat = parsed.find_route("host.example", "/chat/a/b")
    assert (chat.streams, chat.resumable, chat.execution) == (
        True,
        True,
        ExecutionSemantics.AT_MOST_ONCE,
    )
    assert (chat.timeout_s, chat.objective_s, chat.gap_objective_s) == (15.0, 0.8, 0.25)
    assert [(t.service, t.weight) for t in chat.targets] == [("models", 90), ("desk", 10)]
    book = parsed.find_route("host.example", "/book/")
    assert (book.streams, book.execution, book.max_attempts) == (
        False,
        ExecutionSemantics.AT_MOST_ONCE,
        1,
    )
    assert parsed.find_route("host.example", "/book") is None
    assert parsed.customers["key-2"].name == "customer-1"
    assert parsed.services["models"].runs_models
    assert parsed.services["models"].cold_requests_per_s == 12.0
    assert not parsed.services["desk"].runs_models
    assert parsed.limits.idle_timeout_s == 15.0


def test_longest_prefix_wins():
    """Guards against a request that matches the route with a shorter prefix."""
    routes = [WIRE_CONFIGURATION["routes"][1] | {"prefix": p, "name": p} for p in ("/a/", "/a/b/")]
    parsed = parse_configuration(json.dumps(WIRE_CONFIGURATION | {"routes": routes}).encode())
    assert parsed.find_route("host.example", "/a/b/c").name == "/a/b/"
    assert parsed.find_route("host.example", "/a/c").name == "/a/"


@pytest.mark.parametrize("value", [b"", b"{}", b"\xff\xfe", b"[1]", b'{"version": "x"}'])
def test_invalid_configuration_is_unusable(value):
    """Guards against an invalid value that stops the node from following the store."""
    assert isinstance(parse_configuration(value), UnusableValue)


def test_parse_server_entry():
    """Guards against units or phases that are parsed incorrectly."""
    parsed = parse_server_entry("i-1", json.dumps(WIRE_ENTRY).encode())
    assert parsed == ServerEntry(
        "i-1", "models", "127.0.0.1", 8080, "zone-a", 64, False, 1.5, 1700000000000, 4, "v1"
    )
    assert parse_server_entry("i-1", encode_with_changes(WIRE_ENTRY, phase="draining")).leaving


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\x00",
        b"null",
        encode_with_changes(WIRE_ENTRY, phase="resting"),
        encode_with_changes(WIRE_ENTRY, service=...),
        encode_with_changes(WIRE_ENTRY, service=7),
        encode_with_changes(WIRE_ENTRY, address="nowhere"),
        encode_with_changes(WIRE_ENTRY, address="127.0.0.1:99999"),
        encode_with_changes(WIRE_ENTRY, address="host.example:80"),
        encode_with_changes(WIRE_ENTRY, capacity="64"),
        encode_with_changes(WIRE_ENTRY, capacity=True),
        encode_with_changes(WIRE_ENTRY, capacity=0),
        encode_with_changes(WIRE_ENTRY, zone=None),
        encode_with_changes(WIRE_ENTRY, born="yesterday"),
        encode_with_changes(WIRE_ENTRY, sequence=...),
        encode_with_changes(WIRE_ENTRY, **{"cold-remaining-ms": "soon"}),
    ],
)
def test_invalid_entry_is_unusable(value):
    """Guards against requests to addresses that do not belong to a backend server.

    Other writers may store values of another structure under the same prefix.
    """
    assert isinstance(parse_server_entry("i-1", value), UnusableValue)


def test_parse_call():
    """Guards against a prompt, deadline or API key that is parsed incorrectly."""
    call = CallerHttp().parse_call(
        RequestHead(
            b"POST",
            b"/chat/x?y=/z/",
            [
                (b"host", b"Host.Example:80"),
                (b"x-tanagerworks-attempt-id", b"c1"),
                (b"x-tanagerworks-deadline-ms", b"1500"),
                (b"x-tanagerworks-token-counts", b"1460,80"),
                (b"x-tanagerworks-prefix-hash", b"5c:800,91:410, e4:250"),
                (b"x-tanagerworks-length-hint", b"17"),
                (b"authorization", b"bearer secret"),
                (b"last-event-id", b"12"),
            ],
            has_body=True,
        )
    )
    assert (call.call_id, call.host, call.path) == ("c1", "host.example", "/chat/x")
    assert (call.timeout_s, call.api_key, call.last_event_id) == (1.5, "secret", "12")
    assert [part.tokens for part in call.prompt.parts] == [800, 410, 250]
    assert (call.prompt.affinity_part_id, call.prompt.unshared_tokens) == ("91", 250)


@pytest.mark.parametrize("prefix", [b"", b"garbage", b"5c", b"5c:x", b":5", b",,"])
def test_invalid_prompt_header_is_ignored(prefix):
    """Guards against refusing valid requests because of an invalid hint."""
    headers = [(b"x-tanagerworks-attempt-id", b"c1"), (b"x-tanagerworks-prefix-hash", prefix)]
    assert CallerHttp().parse_call(RequestHead(b"GET", b"/", headers, False)).prompt is None


def test_parse_response_head():
    """Guards against a refused request that counts as executed, or the reverse."""
    dialect = BackendHttp()
    refused = dialect.parse_response_head(503, [(b"x-tanagerworks-not-executed", b"1")])
    assert (refused.not_run, refused.wrong_server) == (True, False)
    assert dialect.parse_response_head(421, []).wrong_server
    failed = dialect.parse_response_head(503, [(b"x-tanagerworks-server-load", b"3, 1,8")])
    assert (failed.not_run, failed.statement.load) == (False, 4)
    unreadable = dialect.parse_response_head(200, [(b"x-tanagerworks-server-load", b"x,1")])
    assert unreadable.statement.load is None


@pytest.mark.parametrize(
    ("value", "load", "factor"),
    [
        (b"3,1,8", 4, None),
        (b"3, 1, 8, 250", 4, 2.5),
        (b"0,0,8,97.5", 0, 0.975),
        (b"3,1,8,10", 4, 0.1),
        (b"3,1,8,10000", 4, 100.0),
        (b"3,1,8,9", None, None),
        (b"3,1,8,10001", None, None),
        (b"3,1,8,nan", None, None),
        (b"3,1,8,-100", None, None),
        (b"3,1,8,", None, None),
        (b"3,1,8,100,1", None, None),
        (b"3,1", None, None),
        (b"9999999,1,8,100", None, None),
    ],
)
def test_parse_server_load(value, load, factor):
    """Guards against the loss of loads with four figures, and against believing impossible ones."""
    head = BackendHttp().parse_response_head(200, [(b"x-tanagerworks-server-load", value)])
    statement = head.statement
    assert (statement.load, statement.work_time_factor) == (load, factor)
    assert (statement.unreadable_load is None) == (load is not None)


@pytest.mark.parametrize(
    ("value", "limit_per_s"),
    [
        (b"2.6", 2.6),
        (b" 40 ", 40.0),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"1e9", None),
        (b"9" * 400, None),
        (b"", None),
    ],
)
def test_parse_server_limit(value, limit_per_s):
    """Guards against a limit that is not read, and against arithmetic with an invalid one."""
    head = BackendHttp().parse_response_head(200, [(b"server-limit", value)])
    assert head.statement.limit_per_s == limit_per_s


@pytest.mark.parametrize(
    ("status", "values", "pause_s"),
    [
        (503, [b"2"], 2.0),
        (503, [b" 0.25 "], 0.25),
        (503, [b"0"], 0.0),
        (503, [b"1", b"4"], 4.0),
        (503, [b"1", b"soon"], 1.0),
        (503, [b"90000"], 600.0),
        (503, [b""], None),
        (503, [b"-1"], None),
        (503, [b"nan"], None),
        (503, [b"9" * 400], None),
        (503, [b"\xff"], None),
        (503, [b"Fri, 31 Dec 1999 23:59:59 GMT"], None),
        (503, [], None),
        (429, [b"2"], None),
        (200, [b"2"], None),
    ],
)
def test_parse_pause_of_a_server(status, values, pause_s):
    """Guards against a pause that is not read, and against an unbounded or invalid one."""
    headers = [(b"retry-after", value) for value in values]
    head = BackendHttp().parse_response_head(status, headers)
    assert head.statement.pause_s == pause_s


@pytest.mark.parametrize(
    ("values", "leaving"),
    [([b"1"], True), ([b" 1 "], True), ([b"0", b"1"], True), ([b"0"], False), ([b""], False)],
)
def test_parse_server_leaving(values, leaving):
    """Guards against a server that says it leaves and is not heard, whatever the status."""
    headers = [(b"server-leaving", value) for value in values]
    for status in (200, 429, 500, 503):
        assert BackendHttp().parse_response_head(status, headers).statement.leaving is leaving


def test_parse_cache_listing():
    """Guards against an invalid listing that ends the recovery of all caches."""
    dialect = BackendHttp()
    listing = {"epoch": "e", "next": 4, "held": [["", "5c", 800, "m"], ["", "91", 410, "m"]]}
    assert len(dialect.parse_cache_listing(json.dumps(listing).encode())) == 2
    with pytest.raises(BackendProtocolError):
        dialect.parse_cache_listing(b'{"held": [1]}')


# Following the store


def make_follower(store, node_dispatcher=None):
    node_dispatcher = node_dispatcher or dispatcher()
    node_dispatcher.configuration = None
    client = MetadataStore(store.address)
    store_view = StoreView(client, node_dispatcher)
    role = StoreRole("node-1", "zone-a", node_dispatcher.peer_table, store_view, 2.0)
    return store_view, StoreFollower(client, store_view, EdgeMetrics(), 0.2, 0.3, role)


def run_follower(scenario):
    async def run():
        store = await StoreStandin().start()
        store.put("op/config", WIRE_CONFIGURATION)
        store.put("other/key", b"of no interest")
        store.put("servers/a", WIRE_ENTRY)
        store.put("servers/bad", b"\xff")
        store_view, store_follower = make_follower(store)
        task = asyncio.get_running_loop().create_task(store_follower.run())
        await wait_until(lambda: store_view.complete)
        try:
            await scenario(store, store_view, store_follower)
        finally:
            task.cancel()
            store.server.close_listener()

    asyncio.run(run())


def test_follows_changes():
    """Guards against a node that keeps an old configuration, server list or zone state."""

    async def scenario(store, store_view, store_follower):
        node_dispatcher = store_view.dispatcher
        assert set(node_dispatcher.directory.servers) == {"a"}
        store.put("op/config", WIRE_CONFIGURATION | {"version": 9})
        store.put("op/evacuate/zone-a", {})
        await wait_until(
            lambda: node_dispatcher.version == 9
            and node_dispatcher.directory.zones_out == {"zone-a"}
        )
        store.put("op/config", b"broken")
        store.delete("op/evacuate/zone-a")
        store.delete("servers/a")
        await wait_until(
            lambda: not node_dispatcher.directory.servers
            and not node_dispatcher.directory.zones_out
        )
        assert node_dispatcher.version == 9

    run_follower(scenario)


def test_changes_in_quick_succession_are_read_together():
    """Guards against one read of the store per change, as the store charges per call."""

    async def scenario(store, store_view, store_follower):
        before = store.calls
        for number in range(60):
            store.put(f"servers/s{number}", WIRE_ENTRY)
            await asyncio.sleep(0.01)
        await wait_until(lambda: "s59" in store_view.dispatcher.directory.servers)
        assert store.calls - before <= 20

    run_follower(scenario)


def test_older_version_is_not_applied():
    """Guards against a configuration that reverts to an older version."""

    async def scenario(store, store_view, store_follower):
        store.put("op/config", WIRE_CONFIGURATION | {"version": 5})
        store.put("servers/b", WIRE_ENTRY)
        await wait_until(lambda: "b" in store_view.dispatcher.directory.servers)
        assert store_view.dispatcher.version == 7

    run_follower(scenario)


def test_store_is_listed_again_after_lost_history():
    """Guards against servers that stay in the directory after they have left.

    The store compacted its history during an outage, so their deletions are in no change set.
    """

    async def scenario(store, store_view, store_follower):
        store.mode = "busy"
        await wait_until(lambda: not store_follower.connected)
        store.delete("servers/a")
        store.put("servers/b", WIRE_ENTRY)
        store.compact()
        store.put("servers/c", WIRE_ENTRY)
        store.mode = ""
        await wait_until(lambda: set(store_view.dispatcher.directory.servers) >= {"b", "c"})
        await wait_until(
            lambda: "a" not in store_view.dispatcher.directory.servers
            and "servers/a" not in store_view.replica.items
        )

    run_follower(scenario)


@pytest.mark.parametrize("mode", ["busy", "silent", "garbage"])
def test_following_resumes_after_an_outage(mode):
    """Guards against an exception, or a read without a timeout, that ends following the store."""

    async def scenario(store, store_view, store_follower):
        store.mode = mode
        await wait_until(lambda: not store_follower.connected)
        store.mode = ""
        store.put("op/config", WIRE_CONFIGURATION | {"version": 11})
        await wait_until(lambda: store_view.dispatcher.version == 11)

    run_follower(scenario)


def test_value_that_breaks_the_decoder_does_not_stop_later_ones():
    """Guards against one value whose decoder error keeps a node from all later values."""

    async def scenario(store, store_view, store_follower):
        decode = store_follower.store.decode_item

        def broken(change):
            if change.key == "servers/poison":
                raise RuntimeError("unforeseen")
            return decode(change)

        store_follower.store.decode_item = broken
        store.put("servers/poison", WIRE_ENTRY)
        store.put("op/config", WIRE_CONFIGURATION | {"version": 8})
        await wait_until(lambda: store_view.dispatcher.version == 8)

    run_follower(scenario)


def test_check_detects_a_store_that_does_not_respond():
    """Guards against an isolated node that is detected only when its long poll ends."""

    async def scenario(store, store_view, store_follower):
        store_follower.wait_s = 60.0
        store.put("op/config", WIRE_CONFIGURATION | {"version": 8})
        await wait_until(lambda: store_view.dispatcher.version == 8)
        store.mode = "silent"
        await asyncio.sleep(0.05)
        store_follower.check_store_now()
        await wait_until(lambda: not store_follower.connected)

    run_follower(scenario)


@pytest.mark.parametrize("connected", [True, False])
def test_read_that_begins_while_the_store_is_silent_is_given_up_soon(connected):
    """Guards against a long poll that the store never answers, so that changes wait for its end.

    A node begins to follow the store, or goes on after a failure, just before the store is back.
    """

    async def scenario(store, store_view, store_follower):
        store_follower.wait_s = 60.0
        store.mode = "silent"
        store_follower.connected = connected
        store_follower.last_response_s = asyncio.get_running_loop().time() - 100.0
        calls = store.calls
        store_follower.read_task.cancel()
        await wait_until(lambda: store.calls > calls)
        store.mode = ""
        store.put("op/config", WIRE_CONFIGURATION | {"version": 11})
        await wait_until(lambda: store_view.dispatcher.version == 11)

    run_follower(scenario)


def test_servers_whose_entries_expired_in_an_outage_stay_usable():
    """Guards against refusing all callers because the store lost its entries.

    Entries expire during an outage of the store; the servers write them again after it.
    """

    async def scenario(store, store_view, store_follower):
        store.mode = "busy"
        await asyncio.sleep(1.2)
        assert not store_follower.connected
        store.delete("servers/a")
        store.mode = ""
        await wait_until(lambda: "servers/a" not in store_view.replica.items)
        directory = store_view.dispatcher.directory
        assert list(directory.usable_servers("models", 0.0))
        assert (
            directory.hold_deletions_until_s <= asyncio.get_running_loop().time() + REREGISTRATION_S
        )

    run_follower(scenario)


def test_node_that_takes_over_from_a_follower_holds_no_deletion():
    """Guards against requests to a server that has left, as no node has lost the store.

    The node last read the store long ago, since a peer followed it. The store refuses its first
    reads.
    """

    async def scenario(store, store_view, store_follower):
        store.mode = "busy"
        await asyncio.sleep(1.2)
        loop = asyncio.get_running_loop()
        store_follower.last_response_s = loop.time() - 36.0
        store.delete("servers/a")
        store.mode = ""

        def is_deleted():
            # Messages of a peer that follows the store.
            store_view.confirm(loop.time() - 0.3)
            return "servers/a" not in store_view.replica.items

        await wait_until(is_deleted)
        assert not list(store_view.dispatcher.directory.usable_servers("models", 0.0))

    run_follower(scenario)


def test_node_that_lost_only_its_connection_holds_no_deletion():
    """Guards against requests to a server that has left, as a read went unanswered for long."""

    async def scenario(store, store_view, store_follower):
        store_follower.timeout_s = 1.2
        store.mode = "silent"
        await wait_until(lambda: not store_follower.connected)
        store.delete("servers/a")
        store.mode = ""
        await wait_until(lambda: "servers/a" not in store_view.replica.items)
        assert not list(store_view.dispatcher.directory.usable_servers("models", 0.0))

    run_follower(scenario)


def test_store_client_errors():
    """Guards against failures of the store that raise undocumented exceptions."""

    async def run():
        store = await StoreStandin().start()
        store.put("servers/a", WIRE_ENTRY)
        client = MetadataStore(store.address)
        store.compact()
        with pytest.raises(HistoryLostError):
            await client.wait_for_changes(0, 0.1, 1.0)
        for mode in ("busy", "garbage", "silent"):
            store.mode = mode
            with pytest.raises(PublishedStoreError):
                await client.list_page("", 0.2)
        store.server.close_listener()
        with pytest.raises(PublishedStoreError):
            await MetadataStore("127.0.0.1:1").list_page("", 0.2)

    asyncio.run(run())


def test_listing_reads_all_pages():
    """Guards against a listing that ends after its first page."""

    async def run():
        store = await StoreStandin().start()
        for number in range(5):
            store.put(f"servers/{number}", WIRE_ENTRY)
        store_view, store_follower = make_follower(store)
        await store_follower._list()
        assert len(store_view.replica.items) == 5
        store.server.close_listener()

    asyncio.run(run())


def test_unused_keys_are_ignored():
    """Guards against keys of other writers that are used as configuration or server entries."""
    store = MetadataStore("127.0.0.1:1")
    assert store.decode_item(Change("other", 1, b"{}")) is None
    assert store.decode_item(Change("op/evacuate/zone-b", 1, b"{}")) == ZoneOut("zone-b")


def test_software_version_and_resumed_attempt_are_read():
    """Guards against nodes that cannot tell at which software version a stream may go on."""
    entry = parse_server_entry("a", encode_with_changes(WIRE_ENTRY, version="v1.1"))
    assert entry.version == "v1.1"
    too_long = parse_server_entry("a", encode_with_changes(WIRE_ENTRY, version="v" * 65))
    assert isinstance(too_long, UnusableValue)
    headers = [(b"x-tanagerworks-attempt-id", b"c2"), (b"resumes", b"c1")]
    head = RequestHead(b"POST", b"/chat/x", headers, has_body=False)
    assert CallerHttp().parse_call(head).resumes == "c1"
