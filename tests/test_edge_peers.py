"""Nodes that find each other from seeds and tell each other what they know, over loopback."""

import asyncio
from types import SimpleNamespace

import pytest
from adapter.store import MetadataStore

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.edge.follower import STORE_SOURCE, StoreView
from tanagerworks.edge.peers import PeerExchange, fetch_store_copy
from tanagerworks.errors import PeerError
from tanagerworks.membership.roster import Roster
from tanagerworks.published.replica import Change
from tanagerworks.rpc.edge_pb2 import NodeState
from tests.edge_builders import BOUNDS, demand, peer, prompt, server_entry
from tests.platform_standin import WIRE_CONFIGURATION, WIRE_ENTRY, encode_with_changes, wait_until


class Seeds:
    """Implements `PeerFinder`."""

    def __init__(self, *addresses):
        self.addresses = addresses

    def seed_addresses(self):
        return self.addresses


class Node:
    """The parts of an edge process that talk to peers."""

    def __init__(self, name, seeds, zone="zone-a", incarnation=1):
        loop = asyncio.get_running_loop()
        self.name = name
        self.dispatcher = Dispatcher(name, BOUNDS, Roster(loop.time()))
        self.store_view = StoreView(MetadataStore("127.0.0.1:1"), self.dispatcher)
        self.exchange = PeerExchange(
            name, "", zone, incarnation, self.dispatcher, self.store_view, seeds
        )
        self.parts = []

    async def start(self):
        loop = asyncio.get_running_loop()
        copies = await asyncio.start_server(self.exchange.serve_store_copy, "127.0.0.1", 0)
        port = copies.sockets[0].getsockname()[1]
        self.exchange.address = f"127.0.0.1:{port}"
        transport, _protocol = await loop.create_datagram_endpoint(
            lambda: self.exchange, local_addr=("127.0.0.1", port)
        )
        self.parts = [copies, transport, loop.create_task(self.exchange.run())]
        return self

    def stop(self):
        copies, transport, task = self.parts
        copies.close()
        transport.close()
        task.cancel()

    def live_peer_names(self):
        now_s = asyncio.get_running_loop().time()
        return {peer.name for peer in self.dispatcher.roster.live_peers(now_s)}


def fleet(scenario, count=3):
    async def play():
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

    asyncio.run(play())


def test_nodes_find_each_other_through_one_good_seed():
    """Guards against a fleet that stays in pieces when seeds are down."""

    async def scenario(nodes):
        assert all(node.dispatcher.roster.peers for node in nodes)

    fleet(scenario)


def test_news_of_the_store_reaches_nodes_that_do_not_read_it():
    """Guards against nodes that the store turns away and that keep old beliefs."""

    async def scenario(nodes):
        reader, *others = nodes
        reader.store_view.replace(
            [Change("op/config", 3, encode_with_changes(WIRE_CONFIGURATION))], 3, STORE_SOURCE
        )
        await wait_until(lambda: all(node.dispatcher.version == 7 for node in others))
        new_version = encode_with_changes(WIRE_CONFIGURATION, version=8)
        reader.store_view.apply(
            [
                Change("op/config", 4, new_version),
                Change("servers/a", 5, encode_with_changes(WIRE_ENTRY)),
            ],
            5,
            STORE_SOURCE,
        )
        await wait_until(lambda: all(node.dispatcher.version == 8 for node in others))
        await wait_until(lambda: all("a" in node.dispatcher.directory.servers for node in others))
        reader.store_view.apply([Change("servers/a", 6, None)], 6, STORE_SOURCE)
        await wait_until(lambda: not any(node.dispatcher.directory.servers for node in others))

    fleet(scenario)


def test_older_copy_of_a_peer_changes_nothing():
    """Guards against beliefs that go back when a node with an old copy comes back."""

    async def scenario(nodes):
        first, second, _third = nodes
        first.store_view.replace(
            [Change("op/config", 9, encode_with_changes(WIRE_CONFIGURATION))], 9, STORE_SOURCE
        )
        await wait_until(lambda: second.store_view.replica.revision == 9)
        copy = await fetch_store_copy(first.exchange.address, 0, with_placements=False)
        second.store_view.apply(
            [Change("op/config", 10, encode_with_changes(WIRE_CONFIGURATION, version=9))],
            10,
            STORE_SOURCE,
        )
        second.store_view.replace(
            [Change(item.key, item.revision, item.value) for item in copy.items], copy.revision, "x"
        )
        assert second.dispatcher.version == 9

    fleet(scenario)


def test_loads_and_placements_reach_the_peers():
    """Guards against choices that ignore what other nodes have sent."""

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
        wanted = demand(request_prompt=prompt(("shared", 1_000), ("own", 10)))
        choice = first.dispatcher.choose_server(wanted, 1.0)
        first.dispatcher.record_start(wanted, choice, 1.0)
        first.dispatcher.record_sent(wanted, "a", 1.0)
        state = second.dispatcher.directory.servers["a"]
        await wait_until(lambda: state.total_running == 1)
        key = wanted.prompt.keys[0]
        await wait_until(lambda: "a" in second.dispatcher.cached_parts.servers_by_key.get(key, {}))
        choice.state.record_end()
        await wait_until(lambda: state.total_running == 0)

    fleet(scenario)


def test_listing_of_a_whole_cache_reaches_the_peers():
    """Guards against listings that are larger than a datagram and get lost."""

    async def scenario(nodes):
        first, *others = nodes
        keys = set(range(1, 501))
        first.dispatcher.cached_parts.record_parts(keys, "a", 0.0)
        first.dispatcher.unannounced.setdefault("a", set()).update(keys)
        for node in others:
            await wait_until(
                lambda node=node: keys <= node.dispatcher.cached_parts.servers_by_key.keys()
            )

    fleet(scenario)


def test_large_fleet_is_told_in_turns():
    """Guards against a node that tells all of a large fleet each time, or leaves some out."""

    async def play():
        node = await Node("node-0", Seeds()).start()
        sent = []
        node.exchange.transport.close()
        node.parts[2].cancel()
        node.exchange.transport = SimpleNamespace(sendto=lambda data, target: sent.append(target))
        for number in range(90):
            zone = "zone-a" if number < 30 else "zone-b"
            node.dispatcher.roster.record_message(
                peer(f"p{number}", address=f"10.0.0.{number}:1", zone=zone)
            )
        rounds = 20
        for number in range(rounds):
            node.exchange._send_round(0.2 * number)
        assert len(sent) <= rounds * 0.2 * 80 * 1.25
        assert len(set(sent)) == 90
        node.parts[0].close()

    asyncio.run(play())


def test_new_peer_is_answered_at_once():
    """Guards against a new process that places prompts before it has heard its peers."""

    async def scenario(nodes):
        first, second = nodes
        heard = []
        second.exchange.datagram_received = lambda data, addr: heard.append(data)
        state = NodeState(name="new", address=second.exchange.address, incarnation=1, sequence=1)
        before = first.exchange.sequence
        first.exchange.datagram_received(state.SerializeToString(), ("127.0.0.1", 9))
        # No task ran in between, so this is the answer and not a message of the next round.
        answer = before + 1
        assert first.exchange.sequence == answer
        await wait_until(lambda: answer in [NodeState.FromString(data).sequence for data in heard])

    fleet(scenario, count=2)


def test_lost_peer_no_longer_counts_as_load():
    """Guards against servers that look full because a node died."""

    async def scenario(nodes):
        first, second, third = nodes
        for node in nodes:
            node.dispatcher.directory.put(server_entry("a"), 0.0)
        first.dispatcher.directory.servers["a"].record_start(0)
        state = second.dispatcher.directory.servers["a"]
        await wait_until(lambda: state.total_running == 1)
        first.exchange.transport.close()
        first.exchange.transport = None
        await wait_until(lambda: state.total_running == 0)
        assert second.live_peer_names() == {third.name}

    fleet(scenario)


@pytest.mark.parametrize("data", [b"", b"garbage" * 30, NodeState(name="").SerializeToString()])
def test_bad_datagram_changes_nothing(data):
    """Guards against datagrams of other programs."""

    async def scenario(nodes):
        first = nodes[0]
        before = set(first.dispatcher.roster.peers)
        first.exchange.datagram_received(data, ("127.0.0.1", 9))
        assert set(first.dispatcher.roster.peers) == before

    fleet(scenario, count=2)


def test_peer_that_does_not_answer_is_a_typed_error():
    """Guards against a fetch without an end, or an exception that nobody expects."""

    async def play():
        with pytest.raises(PeerError):
            await fetch_store_copy("127.0.0.1:1", 0, with_placements=False)

        async def garbage(reader, writer):
            writer.write(b"\x00\x00\x00\x03abc")
            writer.close()

        server = await asyncio.start_server(garbage, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(PeerError):
            await fetch_store_copy(f"127.0.0.1:{port}", 0, with_placements=False)
        server.close()

    asyncio.run(play())
