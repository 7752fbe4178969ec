"""Peer discovery from seeds and the exchange of state between nodes, over loopback."""

import asyncio
import math

import pytest
from adapter.store import MetadataStore

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.edge.follower import STORE_SOURCE, StoreView
from tanagerworks.edge.peers import PeerExchange
from tanagerworks.edge.store_copies import fetch_store_copy
from tanagerworks.edge.stream_origins import StreamOriginTable
from tanagerworks.errors import PeerError
from tanagerworks.membership.peer_table import PeerTable
from tanagerworks.published.replica import Change
from tanagerworks.rpc.edge_pb2 import NodeState, StoreCopyRequest
from tests.edge_builders import BOUNDS, dispatch_request, prompt, server_entry
from tests.platform_standin import WIRE_CONFIGURATION, WIRE_ENTRY, encode_with_changes, wait_until


class Seeds:
    """Implements `PeerFinder`."""

    def __init__(self, *addresses):
        self.addresses = addresses

    def seed_addresses(self):
        return self.addresses


class Node:
    """The components of an edge process that exchange messages with peers."""

    def __init__(self, name, seeds, zone="zone-a", incarnation=1):
        loop = asyncio.get_running_loop()
        self.name = name
        self.dispatcher = Dispatcher(name, BOUNDS, PeerTable(loop.time()))
        self.store_view = StoreView(MetadataStore("127.0.0.1:1"), self.dispatcher)
        self.exchange = PeerExchange(
            name,
            "",
            zone,
            incarnation,
            self.dispatcher,
            self.store_view,
            seeds,
            StreamOriginTable(self.dispatcher),
        )
        self.resources = []

    async def start(self):
        loop = asyncio.get_running_loop()
        copy_server = await asyncio.start_server(self.exchange.accept_copy_request, "127.0.0.1", 0)
        port = copy_server.sockets[0].getsockname()[1]
        self.exchange.address = f"127.0.0.1:{port}"
        transport, _protocol = await loop.create_datagram_endpoint(
            lambda: self.exchange, local_addr=("127.0.0.1", port)
        )
        self.resources = [copy_server, transport, loop.create_task(self.exchange.run())]
        return self

    def stop(self):
        copy_server, transport, task = self.resources
        copy_server.close()
        transport.close()
        task.cancel()

    def live_peer_names(self):
        now_s = asyncio.get_running_loop().time()
        return {peer.name for peer in self.dispatcher.peer_table.live_peers(now_s)}


def run_with_fleet(scenario, count=3):
    """Runs the coroutine `scenario` with nodes that have discovered each other."""

    async def run():
        first = await Node("node-0", Seeds("127.0.0.1:1")).start()
        seeds = Seeds("127.0.0.1:1", first.exchange.address)
        others = [await Node(f"node-{n}", seeds, "zone-b").start() for n in range(1, count)]
        nodes = [first, *others]
        names = {node.name for node in nodes}
        await wait_until(
            lambda: all(node.live_peer_names() == names - {node.name} for node in nodes)
        )
        try:
            await scenario(nodes)
        finally:
            for node in nodes:
                node.stop()

    asyncio.run(run())


def test_nodes_discover_each_other_through_one_live_seed():
    """Guards against nodes that do not discover each other when some seeds are down."""

    async def scenario(nodes):
        assert all(node.dispatcher.peer_table.peers for node in nodes)

    run_with_fleet(scenario)


def test_store_changes_reach_nodes_that_do_not_follow_the_store():
    """Guards against an outdated view on nodes that get the store's changes only from peers."""

    async def scenario(nodes):
        follower, *others = nodes
        follower.store_view.replace(
            [Change("op/config", 3, encode_with_changes(WIRE_CONFIGURATION))], 3, STORE_SOURCE
        )
        await wait_until(lambda: all(node.dispatcher.version == 7 for node in others))
        new_version = encode_with_changes(WIRE_CONFIGURATION, version=8)
        follower.store_view.apply(
            [
                Change("op/config", 4, new_version),
                Change("servers/a", 5, encode_with_changes(WIRE_ENTRY)),
            ],
            5,
            STORE_SOURCE,
        )
        await wait_until(lambda: all(node.dispatcher.version == 8 for node in others))
        await wait_until(lambda: all("a" in node.dispatcher.directory.servers for node in others))
        follower.store_view.apply([Change("servers/a", 6, None)], 6, STORE_SOURCE)
        await wait_until(lambda: not any(node.dispatcher.directory.servers for node in others))

    run_with_fleet(scenario)


def test_age_of_a_copy_reaches_nodes_that_do_not_follow_the_store():
    """Guards against nodes that cannot tell how old their copy of the store is."""

    async def scenario(nodes):
        follower, *others = nodes
        now_s = asyncio.get_running_loop().time()
        assert all(node.store_view.age_s(now_s) == math.inf for node in nodes)
        follower.store_view.replace(
            [Change("op/config", 3, encode_with_changes(WIRE_CONFIGURATION))], 3, STORE_SOURCE
        )
        follower.store_view.confirm(now_s - 2.0)
        await wait_until(lambda: all(node.store_view.age_s(now_s) < math.inf for node in others))
        assert all(1.5 < node.store_view.age_s(now_s) < 3.0 for node in others)

    run_with_fleet(scenario)


def test_newer_copy_of_a_peer_does_not_confirm_an_older_one():
    """Guards against an outdated copy that counts as new because a peer has a new one."""

    async def scenario(nodes):
        node = nodes[0]
        state = NodeState(name="node-9", address="127.0.0.1:1", revision=9, copy_age_ms=5)
        node.exchange.datagram_received(state.SerializeToString(), ("127.0.0.1", 1))
        assert node.store_view.age_s(asyncio.get_running_loop().time()) == math.inf
        node.store_view.replace([], 9, STORE_SOURCE)
        state.sequence = 1
        node.exchange.datagram_received(state.SerializeToString(), ("127.0.0.1", 1))
        assert node.store_view.age_s(asyncio.get_running_loop().time()) < 1.0

    run_with_fleet(scenario)


def test_older_copy_of_a_peer_changes_nothing():
    """Guards against a view that reverts when a peer with an older copy of the store returns."""

    async def scenario(nodes):
        first, second, _third = nodes
        first.store_view.replace(
            [Change("op/config", 9, encode_with_changes(WIRE_CONFIGURATION))], 9, STORE_SOURCE
        )
        await wait_until(lambda: second.store_view.replica.revision == 9)
        copy = await fetch_store_copy(first.exchange.address, StoreCopyRequest())
        second.store_view.apply(
            [Change("op/config", 10, encode_with_changes(WIRE_CONFIGURATION, version=9))],
            10,
            STORE_SOURCE,
        )
        second.store_view.replace(
            [Change(item.key, item.revision, item.value) for item in copy.items], copy.revision, "x"
        )
        assert second.dispatcher.version == 9

    run_with_fleet(scenario)


def test_loads_and_cached_parts_reach_the_peers():
    """Guards against server choices that ignore the requests of other nodes."""

    async def scenario(nodes):
        first, second, _third = nodes
        for node in nodes:
            node.store_view.replace(
                [
                    Change("op/config", 1, encode_with_changes(WIRE_CONFIGURATION)),
                    Change("servers/a", 2, encode_with_changes(WIRE_ENTRY)),
                ],
                2,
                STORE_SOURCE,
            )
        wanted = dispatch_request(request_prompt=prompt(("shared", 1_000), ("own", 10)))
        choice = first.dispatcher.choose_server(wanted, 1.0)
        first.dispatcher.record_start(wanted, choice, 1.0)
        first.dispatcher.record_sent(wanted, "a", 1.0)
        state = second.dispatcher.directory.servers["a"]
        await wait_until(lambda: state.total_running == 1)
        key = wanted.prompt.keys[0]
        await wait_until(lambda: "a" in second.dispatcher.cached_parts.servers_by_key.get(key, {}))
        choice.state.record_end("call-1")
        await wait_until(lambda: state.total_running == 0)

    run_with_fleet(scenario)


def test_listing_of_a_whole_cache_reaches_the_peers():
    """Guards against a cache listing that is dropped as it does not fit into one datagram."""

    async def scenario(nodes):
        first, *others = nodes
        keys = set(range(1, 501))
        first.dispatcher.cached_parts.record_parts(keys, "a", 0.0)
        first.dispatcher.unannounced_keys_by_server.setdefault("a", set()).update(keys)
        for node in others:
            await wait_until(
                lambda node=node: keys <= node.dispatcher.cached_parts.servers_by_key.keys()
            )

    run_with_fleet(scenario)


def test_new_peer_is_answered_at_once():
    """Guards against a new process that recovers its index of cached parts without its peers."""

    async def scenario(nodes):
        first, second = nodes
        received = []
        second.exchange.datagram_received = lambda data, addr: received.append(data)
        state = NodeState(name="new", address=second.exchange.address, incarnation=1, sequence=1)
        before = first.exchange.sequence
        first.exchange.datagram_received(state.SerializeToString(), ("127.0.0.1", 9))
        # No other task ran in between, so this is the answer and not a message of the next round.
        answer = before + 1
        assert first.exchange.sequence == answer
        await wait_until(
            lambda: answer in [NodeState.FromString(data).sequence for data in received]
        )

    run_with_fleet(scenario, count=2)


def test_load_of_a_lost_peer_is_dropped():
    """Guards against servers that appear fully loaded by requests of a node that has died."""

    async def scenario(nodes):
        first, second, third = nodes
        for node in nodes:
            node.dispatcher.directory.put(server_entry("a"), 0.0)
        first.dispatcher.directory.servers["a"].record_start("call-1", 0)
        state = second.dispatcher.directory.servers["a"]
        await wait_until(lambda: state.total_running == 1)
        first.exchange.transport.close()
        first.exchange.transport = None
        await wait_until(lambda: state.total_running == 0)
        assert second.live_peer_names() == {third.name}

    run_with_fleet(scenario)


@pytest.mark.parametrize("data", [b"", b"garbage" * 30, NodeState(name="").SerializeToString()])
def test_bad_datagram_changes_nothing(data):
    """Guards against datagrams of other programs that change the peer table or raise an error."""

    async def scenario(nodes):
        first = nodes[0]
        before = set(first.dispatcher.peer_table.peers)
        first.exchange.datagram_received(data, ("127.0.0.1", 9))
        assert set(first.dispatcher.peer_table.peers) == before

    run_with_fleet(scenario, count=2)


def test_fetch_from_a_faulty_peer_raises_peer_error():
    """Guards against a fetch that never ends or raises an exception that is not handled.

    The first peer refuses the connection, the second one sends an invalid response.
    """

    async def run():
        with pytest.raises(PeerError):
            await fetch_store_copy("127.0.0.1:1", StoreCopyRequest())

        async def garbage(reader, writer):
            writer.write(b"\x00\x00\x00\x03abc")
            writer.close()

        server = await asyncio.start_server(garbage, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(PeerError):
            await fetch_store_copy(f"127.0.0.1:{port}", StoreCopyRequest())
        server.close()

    asyncio.run(run())
