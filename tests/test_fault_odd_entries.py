"""Odd entries of other writers in the store: deeply nested, with huge numbers, with odd keys.

One of them must neither end a node's following of the store nor fail requests to sound servers.
"""

import asyncio
import json

import pytest
from adapter.configuration import parse_configuration
from adapter.server_entry import parse_server_entry
from adapter.store import MetadataStore

from tanagerworks.errors import PublishedStoreError
from tanagerworks.published.model import ServerEntry, UnusableValue
from tests.edge_process_runner import publish_to_store, run_process
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    StoreStandin,
    encode_with_changes,
    request_bytes,
    send_request,
    wait_until,
)

HUGE = int("9" * 4_000)


def raw_number(name, digits):
    """The bytes of an entry in which one number is written with these characters."""
    return encode_with_changes(WIRE_ENTRY, **{name: "@"}).replace(b'"@"', digits.encode())


ODD_ENTRIES = {
    "capacity of 4,000 digits": raw_number("capacity", "9" * 4_000),
    "capacity of 10^30": raw_number("capacity", "1" + "0" * 30),
    "capacity of 10^6 digits": raw_number("capacity", "9" * 1_000_000),
    "endless cold start": raw_number("cold-remaining-ms", "1e400"),
    "cold start that is no number": raw_number("cold-remaining-ms", "NaN"),
    "start of 400 digits": raw_number("born", "9" * 400),
    "start before all time": raw_number("born", "-" + "9" * 400),
    "sequence of 400 digits": raw_number("sequence", "9" * 400),
    "port out of range": encode_with_changes(WIRE_ENTRY, address="127.0.0.1:99999"),
    "port in other digits": encode_with_changes(WIRE_ENTRY, address="127.0.0.1:\uff18\uff10"),
    "service of 10,000 characters": encode_with_changes(WIRE_ENTRY, service="s" * 10_000),
    "zone of 10,000 characters": encode_with_changes(WIRE_ENTRY, zone="z" * 10_000),
    "deep nesting": b'{"service":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "lone surrogate": b'{"service":"\\ud800"}',
    "bytes": b"\xff\xfe\x00",
    "a list": b"[]",
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_names_no_server(name):
    """Guards against an odd entry that is taken for a server."""
    assert isinstance(parse_server_entry("a", ODD_ENTRIES[name]), UnusableValue)


@pytest.mark.parametrize("server_id", ["", "a/b", "a b", "a\r\nx-injected: 1", "\u00e4", "a" * 129])
def test_odd_key_names_no_server(server_id):
    """Guards against an id that cannot be sent in a header, or that adds another header."""
    entry = parse_server_entry(server_id, encode_with_changes(WIRE_ENTRY))
    assert isinstance(entry, UnusableValue)


def test_largest_numbers_that_are_believed_can_be_used():
    """Guards against bounds beyond what arithmetic and messages between nodes bear."""
    value = encode_with_changes(
        WIRE_ENTRY, capacity=100_000, sequence=2**63 - 1, born=253_402_300_799_999
    )
    assert isinstance(parse_server_entry("a", value), ServerEntry)


def test_requests_are_served_beside_odd_entries():
    """Guards against a node that stops following the store, or fails requests, for one entry."""

    async def scenario(process, store, server, settings_versions):
        for number, name in enumerate(ODD_ENTRIES):
            store.put(f"servers/odd-{number}", ODD_ENTRIES[name])
        odd = json.loads(encode_with_changes(WIRE_ENTRY, service="desk", capacity=HUGE // 10**3000))
        store.put("servers/odd", odd)
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        assert set(process.dispatcher.directory.servers) == {"a"}
        for number in range(5):
            response = await send_request(
                process.caller_server, request_bytes("/book/x", f"c{number}", "POST")
            )
            assert response.status == 200
        store.delete("servers/a")
        await wait_until(lambda: not process.dispatcher.directory.servers)

    run_process(scenario)


@pytest.mark.parametrize(
    "item",
    [
        {"key": "servers/\ud800", "revision": 7, "value": ""},
        {"key": "servers/x", "revision": HUGE, "value": ""},
        {"key": "servers/x", "revision": -1, "value": ""},
        {"key": "servers/x", "revision": 7, "value": "no base64!"},
        {"key": 5, "revision": 7, "value": ""},
        {"revision": 7},
        "no item",
    ],
)
def test_odd_item_leaves_the_others_of_a_page(item):
    """Guards against a listing that fails for good for one item of it."""

    async def run():
        store = await StoreStandin().start()
        store.page_size = 10
        store.put("servers/a", WIRE_ENTRY)
        store.items["servers/odd"] = item
        store.history.append(item)
        client = MetadataStore(store.address)
        page = await client.list_page("", 1.0)
        decoded = [client.decode_item(change) for change in page.items]
        servers = [value for value in decoded if isinstance(value, ServerEntry)]
        assert [entry.server_id for entry in servers] == ["a"]
        assert page.revision == 1
        store.server.close_listener()

    asyncio.run(run())


def test_page_without_a_usable_revision_is_refused():
    """Guards against a revision that messages between nodes cannot carry."""

    async def run():
        store = await StoreStandin().start()
        store.revision = HUGE
        with pytest.raises(PublishedStoreError):
            await MetadataStore(store.address).list_page("", 1.0)
        store.server.close_listener()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("field", "value"),
    [("timeout-ms", "1e400"), ("timeout-ms", "NaN"), ("max-attempts", "9" * 400)],
)
def test_configuration_with_a_number_that_cannot_be_used_is_refused(field, value):
    """Guards against a route whose requests all fail in arithmetic."""
    route = WIRE_CONFIGURATION["routes"][0] | {field: "@"}
    text = encode_with_changes(WIRE_CONFIGURATION, routes=[route]).replace(b'"@"', value.encode())
    assert isinstance(parse_configuration(text), UnusableValue)
