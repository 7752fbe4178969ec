"""A fleet whose nodes exchange real messages in virtual time, without a network.

The event loop's clock advances to the next timer at once, so that seconds of hundreds of nodes take
seconds of one core. Datagrams take `DELAY_S` and can be lost or cut.
"""

import asyncio
import random
import selectors

from adapter.store import MetadataStore

from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.edge.follower import StoreView
from tanagerworks.edge.peers import PeerExchange
from tanagerworks.edge.stream_origins import StreamOriginTable
from tanagerworks.errors import PeerError
from tanagerworks.membership.peer_table import PeerTable
from tests.edge_builders import BOUNDS

DELAY_S = 0.001


class _VirtualSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting for input."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now_s += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop without input, whose clock stands still while code runs."""

    def __init__(self):
        self.virtual_selector = _VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self):
        return self.virtual_selector.now_s


def run_in_virtual_time(coroutine):
    """Runs a coroutine to its end in a loop of its own and returns its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class _Seeds:
    def __init__(self, addresses):
        self.addresses = addresses

    def seed_addresses(self):
        return self.addresses


class VirtualNode:
    """One process of a node; its datagrams go through the fleet."""

    def __init__(self, fleet, number, zone, seeds, incarnation=1):
        self.fleet = fleet
        self.number = number
        self.seeds = seeds
        self.incarnation = incarnation
        self.name = f"node-{number:03}"
        self.zone = zone
        self.address = f"10.0.{number // 250}.{number % 250}:7340"
        self.alive = False
        # Datagrams that wait in the socket of a paused node; None if the node is not paused.
        self.waiting = None
        self.dispatcher = Dispatcher(self.name, BOUNDS, PeerTable(fleet.loop.time()))
        self.store_view = StoreView(MetadataStore("127.0.0.1:1"), self.dispatcher)
        self.exchange = PeerExchange(
            self.name,
            self.address,
            zone,
            incarnation,
            self.dispatcher,
            self.store_view,
            _Seeds(seeds),
            StreamOriginTable(self.dispatcher),
        )
        self.exchange.origin_copier.fetch = self.fetch_copy
        self.exchange.random = random.Random(number)
        self.exchange.connection_made(self)
        self.task = None
        self.datagrams_sent = 0
        self.bytes_sent = 0
        self.datagrams_received = 0
        self.bytes_received = 0

    @property
    def table(self):
        return self.dispatcher.peer_table

    def start(self):
        self.alive = True
        self.task = self.fleet.loop.create_task(self.exchange.run())

    def stop(self):
        """Ends the node without a message, as a loss of power does."""
        self.alive = False
        self.task.cancel()

    def pause(self):
        """Suspends the node: it neither sends nor reads, and its timers are late."""
        self.waiting = []
        self.paused_at_s = self.fleet.loop.time()
        self.task.cancel()

    def wake(self):
        """Resumes the node; its late timer is due before it reads what has arrived."""
        waiting, self.waiting = self.waiting, None
        self.exchange._check_pause(self.fleet.loop.time() - self.paused_at_s)
        self.task = self.fleet.loop.create_task(self.exchange.run())
        for data, sender in waiting:
            self.fleet.loop.call_later(DELAY_S, self.receive, data, sender)

    def sendto(self, data, address):
        """Implements the transport of the exchange."""
        if not self.alive or self.waiting is not None:
            return
        self.datagrams_sent += 1
        self.bytes_sent += len(data)
        self.fleet.deliver(self, data, address)

    async def fetch_copy(self, address, request):
        """Stands in for `fetch_store_copy` where a node copies the versions of streams."""
        await asyncio.sleep(4 * self.fleet.delay_s)
        other = self.fleet.by_address[address]
        if not other.alive or (self.zone, other.zone) in self.fleet.cut_zones:
            raise PeerError(f"{address}: timed out")
        return other.exchange._build_copy(request)

    def receive(self, data, sender):
        if not self.alive:
            return
        if self.waiting is not None:
            self.waiting.append((data, sender))
            return
        self.datagrams_received += 1
        self.bytes_received += len(data)
        self.exchange.datagram_received(data, (sender.address.partition(":")[0], 7340))

    def live_names(self):
        return {peer.name for peer in self.table.live_peers(self.fleet.loop.time())}


class VirtualFleet:
    """Nodes in zones of equal size; all know the addresses of three seeds."""

    def __init__(self, count, zones, seed=1):
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(seed)
        self.loss = 0.0
        self.delay_s = DELAY_S
        # Time that a copy of the store takes from one node to another.
        self.copy_delay_s = 0.0
        # Pairs of sending and receiving zones between which datagrams are lost.
        self.cut_zones = set()
        seeds = [f"10.0.0.{number}:7340" for number in range(3)]
        self.nodes = [
            VirtualNode(self, number, f"zone-{number % zones}", seeds) for number in range(count)
        ]
        for node in self.nodes:
            node.dispatcher.directory.versions.record_first_start()
        self.by_address = {node.address: node for node in self.nodes}

    def start(self, within_s=0.3):
        """Starts all nodes in random order within the given seconds."""
        for node in self.nodes:
            self.loop.call_later(self.random.uniform(0.0, within_s), node.start)

    def deliver(self, sender, data, address):
        receiver = self.by_address.get(f"{address[0]}:{address[1]}")
        if receiver is None or (sender.zone, receiver.zone) in self.cut_zones:
            return
        if self.loss and self.random.random() < self.loss:
            return
        self.loop.call_later(self.delay_s, receiver.receive, data, sender)

    def restart(self, node):
        """Replaces a stopped node by a new process under its name."""
        new = VirtualNode(self, node.number, node.zone, node.seeds, node.incarnation + 1)
        self.nodes[self.nodes.index(node)] = new
        self.by_address[node.address] = new
        for state in node.dispatcher.directory.servers.values():
            new.dispatcher.directory.put(state.entry, 0.0)
        new.start()
        return new

    def put_servers(self, entries):
        """Publishes server entries to all nodes."""
        for node in self.nodes:
            for entry in entries:
                node.dispatcher.directory.put(entry, 0.0)

    def live_nodes(self):
        return [node for node in self.nodes if node.alive]
