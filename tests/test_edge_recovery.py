"""Recovery of the index of cached parts when a node starts, over loopback."""

import asyncio
import json

from adapter.backend_http import BackendHttp

from tanagerworks.dispatch.cached_parts import part_key
from tanagerworks.edge.recovery import CacheRecovery
from tests.edge_builders import MODEL_SERVICE, configuration, peer, server_entry
from tests.platform_standin import wait_until
from tests.test_edge_peers import Node, Seeds


class ListingServer:
    """A model server that lists its cache and counts the requests for the listing."""

    def __init__(self, parts):
        body = {"epoch": 1, "next": 1, "held": [["", part, 100, "m"] for part in parts]}
        self.body = json.dumps(body).encode()
        self.requests = 0

    async def start(self):
        self.server = await asyncio.start_server(self.send_listing, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def send_listing(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(self.body)}\r\n\r\n"
        writer.write(head.encode() + self.body)
        await writer.drain()
        writer.close()


def build_recovery(node):
    return CacheRecovery(
        node.name,
        node.exchange.zone,
        node.exchange.incarnation,
        node.dispatcher,
        node.store_view,
        BackendHttp(),
        asyncio.Event(),
    )


def has_cached_parts(node, server_id, parts):
    return all(
        server_id in node.dispatcher.cached_parts.servers_by_key.get(part_key("m", part), {})
        for part in parts
    )


async def start_together(count, servers):
    """Returns nodes that started at the same time and know each other, and their recoveries."""
    first = await Node("node-0", Seeds("127.0.0.1:1")).start()
    seeds = Seeds(first.exchange.address)
    nodes = [first, *[await Node(f"node-{n}", seeds).start() for n in range(1, count)]]
    await wait_until(lambda: all(len(node.live_peer_names()) == count - 1 for node in nodes))
    for node in nodes:
        node.dispatcher.apply_configuration(configuration())
        for server in servers:
            node.dispatcher.directory.put(server, 0.0)
    return nodes, [build_recovery(node) for node in nodes]


def test_restarted_fleet_lists_each_server_once_and_shares_the_contents():
    """Guards against a restarted fleet that prefills prompts although servers still cache them."""
    parts = {f"m{n}": [f"part-{n}-{k}" for k in range(400)] for n in range(3)}

    async def scenario():
        listings = {name: ListingServer(cached) for name, cached in parts.items()}
        servers = [
            server_entry(name, service=MODEL_SERVICE, port=await listing.start())
            for name, listing in listings.items()
        ]
        nodes, recoveries = await start_together(3, servers)
        tasks = [asyncio.ensure_future(recovery.run()) for recovery in recoveries]
        await wait_until(lambda: all(recovery.recovered.is_set() for recovery in recoveries))
        for node in nodes:
            for name, cached in parts.items():
                await wait_until(
                    lambda node=node, name=name, cached=cached: has_cached_parts(node, name, cached)
                )
        assert [listing.requests for listing in listings.values()] == [1, 1, 1]
        await asyncio.gather(*tasks)
        for node in nodes:
            node.stop()

    asyncio.run(scenario())


def test_first_node_of_a_large_fleet_does_not_list_all_servers_at_once():
    """Guards against one node that saturates its network link with the listings of all servers."""

    async def scenario():
        listings = [ListingServer([f"part-{n}"]) for n in range(20)]
        servers = [
            server_entry(f"m{n}", service=MODEL_SERVICE, port=await listing.start())
            for n, listing in enumerate(listings)
        ]
        nodes, recoveries = await start_together(1, servers)
        task = asyncio.ensure_future(recoveries[0].run())
        await wait_until(recoveries[0].recovered.is_set)
        assert sum(listing.requests for listing in listings) <= 8
        # No peer has announced a listing, so the node lists the remaining servers itself.
        await task
        assert [listing.requests for listing in listings] == [1] * 20
        nodes[0].stop()

    asyncio.run(scenario())


def test_restarted_node_lists_no_server_that_is_out_of_service():
    """Guards against requests to a zone that operators empty, from nodes that start meanwhile."""

    async def scenario():
        listings = {name: ListingServer(["part"]) for name in ("used", "leaves", "emptied")}
        servers = [
            server_entry(
                name,
                port=await listing.start(),
                leaving=name == "leaves",
                zone="zone-b" if name == "emptied" else "zone-a",
            )
            for name, listing in listings.items()
        ]
        nodes, recoveries = await start_together(1, servers)
        nodes[0].dispatcher.directory.put_zone_out("zone-b")
        await recoveries[0].run()
        nodes[0].stop()
        return {name: listing.requests for name, listing in listings.items()}

    assert asyncio.run(scenario()) == {"used": 1, "leaves": 0, "emptied": 0}


def test_late_node_of_a_restarted_fleet_leaves_the_listings_to_the_first_ones():
    """Guards against listings by every node of a fleet that lost power, which slow the servers."""

    async def scenario():
        listings = [ListingServer([f"part-{n}-{k}" for k in range(16)]) for n in range(120)]
        servers = [
            server_entry(f"m{n}", service=MODEL_SERVICE, port=await listing.start())
            for n, listing in enumerate(listings)
        ]
        nodes, recoveries = await start_together(1, servers)
        now_s = asyncio.get_running_loop().time()
        recoveries[0].incarnation += 1_000_000_000
        for number in range(16):
            # They rank behind this node for some of the servers.
            nodes[0].dispatcher.peer_table.record_message(
                peer(f"early-{number}", now_s, incarnation=recoveries[0].incarnation - 300_000_000)
            )
        task = asyncio.ensure_future(recoveries[0].run())
        await wait_until(recoveries[0].recovered.is_set)
        assert sum(listing.requests for listing in listings) == 0
        announced, *unannounced = [state.server_id for state in recoveries[0]._assigned_servers()]
        parts = [part_key("m", f"part-{announced[1:]}-{k}") for k in range(16)]
        nodes[0].dispatcher.cached_parts.record_parts(parts, announced, now_s)
        await task
        # What the early nodes have not announced by then is listed nevertheless.
        listed = [f"m{n}" for n, listing in enumerate(listings) if listing.requests]
        assert unannounced
        assert sorted(listed) == sorted(unannounced)
        nodes[0].stop()

    asyncio.run(scenario())


def test_node_that_starts_later_copies_the_contents_from_a_peer():
    """Guards against listing requests, which slow servers down, when a peer has the contents."""

    async def scenario():
        listing = ListingServer(["part"])
        server = server_entry("m0", service=MODEL_SERVICE, port=await listing.start())
        nodes, recoveries = await start_together(2, [server])
        older, new = nodes
        older.dispatcher.cached_parts.record_parts([part_key("m", "part")], "m0", 0.0)
        recoveries[1].incarnation = older.exchange.incarnation + 10_000_000_000
        await recoveries[1].run()
        assert has_cached_parts(new, "m0", ["part"])
        assert listing.requests == 0
        for node in nodes:
            node.stop()

    asyncio.run(scenario())
