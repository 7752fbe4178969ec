"""Measures one real agent at the target size, with all other nodes simulated in this process.

The simulated nodes run the gossip code in memory; the ring neighbours of the real agent exchange
with it over gRPC with mutual TLS. This checks the values that `tools.measure_control` extrapolates
from small fleets.
"""

import asyncio
import os
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import grpc
from absl import app, flags
from grpc.aio import ServicerContext

from tanagerworks.agent.gossip import Gossip
from tanagerworks.agent.peer_channels import PeerChannels
from tanagerworks.agent.peer_service import start_peer_server
from tanagerworks.clock import boot_time_s
from tanagerworks.membership.entries import Liveness
from tanagerworks.membership.peer_selection import PeerRotation, select_peers
from tanagerworks.membership.table import NodeTable
from tanagerworks.note.model import Note
from tanagerworks.rpc.tanager_pb2 import (
    ExchangeReply,
    ExchangeRequest,
    FreeSlots,
    NodeEntry,
    RefreshRequest,
)
from tanagerworks.rpc.tanager_pb2_grpc import NodeAgentStub, PeerExchangeServicer
from tanagerworks.tls.peer_credentials import PeerCredentials
from tools.certificates import CertificateAuthority, write_tls_files
from tools.fleet import Fleet, free_address, new_node
from tools.measure_control import (
    TARGET_NODES,
    TARGET_SERVERS,
    FakeEngines,
    MeasureError,
    base_memory_mb,
    cpu_seconds,
    note_document,
    resident_mb,
)
from tools.socket_bytes import count_server_bytes

_REAL_NODE = "n000"
_ENGINE_ADDRESSES = 16
_FREE_ENGINES_PER_NODE = 8
_CONVERGENCE_LIMIT_S = 60.0
_INTERVAL_S = 15.0
_SETTLE_TIME_S = 5.0


class _SimulatedNode(PeerExchangeServicer):
    """A node that takes part in the gossip and changes its entry every second."""

    def __init__(self, name: str, note: Note, random: Random) -> None:
        self.random = random
        self.engine_ids = random.sample(sorted(note.statement.engines), _FREE_ENGINES_PER_NODE)
        self.gossip = Gossip(
            NodeTable(name, 1, random),
            boot_time_s,
            max_entry_bytes=700,
            fill_entry=self._fill_entry,
            apply_entry=lambda entry: None,
            forget_node=lambda name: None,
        )
        self.gossip.set_note(note)
        self.rotation = PeerRotation(random)
        self.rotation.set_peers(select_peers(name, self.gossip.roster))

    def _fill_entry(self, entry: NodeEntry) -> None:
        entry.drained_serial = entry.all_drained_serial = 1
        entry.running = self.random.randint(600, 800)
        entry.running_by_pool[:] = [entry.running]
        for engine_id in self.engine_ids:
            free = FreeSlots(engine_id=engine_id, lowest=1, count=self.random.randint(1, 9))
            entry.free.append(free)

    def next_peer(self) -> str | None:
        """Returns the peer of the next exchange, or None without peers."""
        table, now_s = self.gossip.table, boot_time_s()
        return self.rotation.next_peer(lambda peer: table.liveness(peer, now_s) is Liveness.DEAD)

    async def Exchange(  # noqa: N802 - the name is fixed by the gRPC service
        self, request: ExchangeRequest, context: ServicerContext
    ) -> ExchangeReply:
        """Handles an exchange with the real agent."""
        return self.gossip.handle_request(request)


class _SurveyResponder(PeerExchangeServicer):
    """Answers the survey at start, for nodes that are not exchange peers of the real agent."""

    async def Exchange(  # noqa: N802
        self, request: ExchangeRequest, context: ServicerContext
    ) -> ExchangeReply:
        """Returns a reply without an entry of an earlier process of the node."""
        return ExchangeReply(note_serial=1)


class _SimulatedFleet:
    def __init__(self, note: Note, random: Random, credentials: PeerCredentials) -> None:
        self.addresses = {name: node.peer_address for name, node in note.statement.nodes.items()}
        self.nodes = {
            name: _SimulatedNode(name, note, random)
            for name in self.addresses
            if name != _REAL_NODE
        }
        self.channels = PeerChannels(credentials)
        self.credentials = credentials
        self.servers: list[grpc.aio.Server] = []
        self.failures = 0
        for node in self.nodes.values():
            node.gossip.advance_round()
        for node in self.nodes.values():
            for name, other in self.nodes.items():
                node.gossip.table.merge_entry(other.gossip.table.own_entry, 2, name, boot_time_s())

    async def start(self) -> None:
        """Listens at all addresses."""
        exchange_peers = select_peers(_REAL_NODE, sorted(self.addresses))
        for name, node in self.nodes.items():
            service = node if name in exchange_peers else _SurveyResponder()
            server = await start_peer_server(service, self.addresses[name], self.credentials, 600.0)
            self.servers.append(server)

    async def run(self) -> None:
        """Runs one exchange per node and second, spread evenly over the second."""
        loop = asyncio.get_running_loop()
        pause_s = 1.0 / len(self.nodes)
        next_s = loop.time()
        while True:
            for name, node in self.nodes.items():
                node.gossip.advance_round()
                await self._exchange(name, node)
                next_s = max(next_s + pause_s, loop.time() - 1.0)
                if next_s > loop.time():
                    await asyncio.sleep(next_s - loop.time())
                else:
                    await asyncio.sleep(0)

    async def _exchange(self, name: str, node: _SimulatedNode) -> None:
        peer = node.next_peer()
        if peer is None:
            return
        request, entries = node.gossip.build_request(peer)
        if peer != _REAL_NODE:
            node.gossip.apply_reply(peer, self.nodes[peer].gossip.handle_request(request))
            return
        try:
            stub = self.channels.stub(self.addresses[_REAL_NODE])
            reply = await stub.Exchange(request, timeout=1.0)
        except grpc.RpcError:
            self.failures += 1
            node.gossip.table.mark_undelivered(peer, entries)
            return
        node.gossip.apply_reply(peer, reply)

    async def stop(self) -> None:
        """Closes all connections."""
        await self.channels.close()
        await asyncio.gather(*(server.stop(0) for server in self.servers))


async def _measure(fleet: Fleet, random: Random) -> dict[str, float]:
    real_node = new_node(_REAL_NODE, "sfax-medina", routers=0)
    names = [f"n{number:03}" for number in range(1, TARGET_NODES)]
    engines = FakeEngines(_ENGINE_ADDRESSES).addresses
    addresses = [engines[number % _ENGINE_ADDRESSES] for number in range(TARGET_SERVERS)]
    document: dict[str, Any] = note_document([real_node], addresses)
    for name in names:
        node = {"zone": real_node.zone, "peer_address": free_address()}
        document["statement"]["nodes"][name] = node
    authority = CertificateAuthority()
    tls = write_tls_files(fleet.directory / "tls", authority.issue_certificate(), [authority])
    simulated = _SimulatedFleet(Note.model_validate(document), random, PeerCredentials(tls))
    await simulated.start()
    await asyncio.to_thread(fleet.publish_note, document)
    exchange_rounds = asyncio.create_task(simulated.run())
    await asyncio.to_thread(
        fleet.start_node, real_node, [], peer_tls=tls.model_dump(), invariants=False
    )
    pid = fleet.processes[f"{_REAL_NODE}-agent"].process.pid
    async with grpc.aio.insecure_channel(real_node.router_link_address) as channel:
        stub = NodeAgentStub(channel)
        started_s = time.monotonic()
        while True:
            try:
                view = await stub.Refresh(RefreshRequest(note_serial=1), timeout=2.0)
            except grpc.RpcError:
                view = None
            if view is not None and view.note_serial:
                break
            if time.monotonic() - started_s > _CONVERGENCE_LIMIT_S:
                raise MeasureError("the real agent does not serve")
            await asyncio.sleep(0.2)
    result = {"full_size.seconds_to_serve": time.monotonic() - started_s}
    await _wait_until_alive(simulated)
    result["full_size.seconds_to_be_known_by_all"] = time.monotonic() - started_s
    await asyncio.sleep(_SETTLE_TIME_S)
    ports = {int(address.rpartition(":")[2]) for address in simulated.addresses.values()}
    # All peer connections are those of the real agent, so the bytes that their servers count are
    # its bytes.
    bytes_before, cpu_before = sum(count_server_bytes(ports).values()), cpu_seconds([pid])
    interval_started_s = time.monotonic()
    await asyncio.sleep(_INTERVAL_S)
    elapsed_s = time.monotonic() - interval_started_s
    if exchange_rounds.done():
        exchange_rounds.result()
    result["full_size.bytes_per_s"] = (
        sum(count_server_bytes(ports).values()) - bytes_before
    ) / elapsed_s
    result["full_size.core_share"] = (cpu_seconds([pid]) - cpu_before) / elapsed_s
    result["full_size.memory_mb"] = resident_mb(pid) - base_memory_mb()
    result["full_size.failed_exchanges"] = float(simulated.failures)
    exchange_rounds.cancel()
    await simulated.stop()
    return result


async def _wait_until_alive(simulated: _SimulatedFleet) -> None:
    started_s = time.monotonic()
    while True:
        states = [
            node.gossip.table.liveness(_REAL_NODE, boot_time_s())
            for node in simulated.nodes.values()
        ]
        if all(state is Liveness.ALIVE for state in states):
            return
        if time.monotonic() - started_s > _CONVERGENCE_LIMIT_S:
            raise MeasureError("not all nodes see the real agent as alive")
        await asyncio.sleep(0.2)


def measure_full_size(seed: int) -> dict[str, float]:
    """Returns bytes, CPU share and memory of one real agent among 349 simulated nodes."""
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.start_platform()
        return asyncio.run(_measure(fleet, Random(seed)))


def _main(_argv: list[str]) -> None:
    os.environ.setdefault("GRPC_VERBOSITY", "error")
    for name, value in sorted(measure_full_size(flags.FLAGS.seed).items()):
        print(f"{name} {value:.4g}")


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of the simulated nodes.")
    app.run(_main)
