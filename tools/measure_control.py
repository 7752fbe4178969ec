"""Measures what the control plane costs each node, and how fast a note is in force on all nodes.

Agents run as processes on loopback with mutual TLS and two engines per node. About one claim per
node and second changes their entries. The kernel counts the bytes of the peer connections.
"""

import asyncio
import json
import math
import os
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import grpc
from absl import app, flags

from tanagerworks.note.model import Note
from tanagerworks.routing.slots import ALL_OWNERS_LIMIT, slot_owners
from tanagerworks.rpc.tanager_pb2 import (
    Candidate,
    ClaimRequest,
    Ended,
    Evidence,
    RefreshRequest,
    ReleaseRequest,
)
from tanagerworks.rpc.tanager_pb2_grpc import NodeAgentStub
from tools.certificates import CertificateAuthority, write_tls_files
from tools.fleet import Fleet, NodeAddresses, free_address, new_node
from tools.socket_bytes import count_server_bytes

FLEET_SIZES = (3, 9, 18, 27, 36)
MEASURE_INTERVAL_S = 4.0
SETTLE_TIME_S = 2.0
TARGET_NODES = 350
TARGET_SERVERS = 710
PARTITIONED_NODES = 3
CONFIG_FLEET_SIZE = 9
_START_LIMIT_S = 40.0
_CONFIG_LIMIT_S = 30.0
_ZONE = "sfax-medina"
_SLOTS = 32
_MB = 1e6
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class MeasureError(Exception):
    """A measurement failed."""


@dataclass(frozen=True)
class SizeMeans:
    """Means per node at one size of the fleet."""

    nodes: int
    bytes_per_s: float
    core_share: float
    memory_mb: float


class FakeEngines:
    """Servers that answer the probes of many engines, run by one thread."""

    def __init__(self, count: int) -> None:
        self.addresses: list[str] = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(count), self.loop).result()

    async def _listen(self, count: int) -> None:
        for number in range(count):
            boot_id = f"{number:032x}"
            server = await asyncio.start_server(self._handler(boot_id), "127.0.0.1", 0)
            self.addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")

    @staticmethod
    def _handler(
        boot_id: str,
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        body = json.dumps({"running": 1, "waiting": 0, "slots": _SLOTS, "uptime_s": 9.0}).encode()
        head = f"HTTP/1.1 200 OK\r\nX-Engine-Boot: {boot_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        answer = head.encode() + body

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(answer)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        return handle


class _AgentFleet:
    """The agents of one fleet and their platform; the first `partitioned_nodes` do not reach it."""

    def __init__(
        self,
        fleet: Fleet,
        count: int,
        engines: Sequence[str],
        partitioned_nodes: int,
        authority: CertificateAuthority,
    ) -> None:
        self.fleet = fleet
        self.nodes = [new_node(f"n{number:03}", _ZONE, routers=0) for number in range(count)]
        self.document = note_document(self.nodes, engines)
        fleet.start_platform()
        fleet.publish_note(self.document)
        unused_url = f"http://{free_address()}"
        seeds = [node.peer_address for node in self.nodes[:3]]
        tls = write_tls_files(fleet.directory / "tls", authority.issue_certificate(), [authority])
        for number, node in enumerate(self.nodes):
            platform = (
                unused_url if number < partitioned_nodes else f"http://{fleet.platform_address}"
            )
            fleet.start_node(
                node, seeds, platform_url=platform, peer_tls=tls.model_dump(), invariants=False
            )
        self.pids = [fleet.processes[f"{node.node_id}-agent"].process.pid for node in self.nodes]
        self.ports = {int(node.peer_address.rpartition(":")[2]) for node in self.nodes}

    def peer_bytes(self) -> int:
        """Returns the bytes of all peer connections, counted once per end."""
        return 2 * sum(count_server_bytes(self.ports).values())

    def cpu_s(self) -> float:
        """Returns the CPU time of all agents."""
        return cpu_seconds(self.pids)

    def memory_mb(self) -> float:
        """Returns the mean resident memory per agent."""
        return sum(resident_mb(pid) for pid in self.pids) / len(self.pids)


def cpu_seconds(pids: Sequence[int]) -> float:
    """Returns the CPU time that processes have used."""
    ticks = 0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / _CLOCK_TICKS_PER_S


def note_document(nodes: Sequence[NodeAddresses], engines: Sequence[str]) -> dict[str, Any]:
    """Returns a full note with the nodes and one engine per address."""
    return {
        "serial": 1,
        "statement": {
            "nodes": {n.node_id: {"zone": n.zone, "peer_address": n.peer_address} for n in nodes},
            "zones": {_ZONE: {}},
            "models": {"wax": {"versions": {"v1": 1.0}}},
            "customers": {"club": {"key_sha256": ["0" * 64], "models": ["wax"]}},
            "engines": {
                f"m{number:03}": {
                    "address": address,
                    "zone": _ZONE,
                    "model": "wax",
                    "version": "v1",
                    "slots": _SLOTS,
                    "cold_slots": _SLOTS,
                }
                for number, address in enumerate(engines)
            },
        },
    }


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process.

    Raises:
        MeasureError: the kernel reports none.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / _MB
    raise MeasureError(f"process {pid} has no memory")


def base_memory_mb() -> float:
    """Returns the memory of an interpreter that has only imported the agent."""
    code = "import tanagerworks.agent.main, time; print(flush=True); time.sleep(60)"
    with subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        process.stdout.readline()
        memory_mb = resident_mb(process.pid)
        process.kill()
    return memory_mb


class _FakeRouters:
    """Stands in for the routers: reads the views of the agents and claims slots."""

    def __init__(self, agents: _AgentFleet, random: Random) -> None:
        self.random = random
        self.fleet = agents.fleet
        self.statement = Note.model_validate(agents.document).statement
        self.channels = [
            grpc.aio.insecure_channel(node.router_link_address) for node in agents.nodes
        ]
        self.stubs = {
            node.node_id: NodeAgentStub(channel)
            for node, channel in zip(agents.nodes, self.channels, strict=True)
        }
        self.owned_engines: dict[str, list[str]] = {name: [] for name in self.stubs}
        for engine_id, engine in self.statement.engines.items():
            for owner in slot_owners(engine_id, engine.slots, self.statement.nodes):
                self.owned_engines[owner].append(engine_id)
        self.claims = 0
        self.refusals = 0

    async def read_serials(self) -> list[int]:
        """Returns the serial that each agent serves, 0 for one that serves none."""

        async def serial(stub: NodeAgentStub) -> int:
            try:
                view = await stub.Refresh(RefreshRequest(note_serial=1 << 40), timeout=2.0)
            except grpc.RpcError:
                return 0
            return int(view.note_serial)

        return list(await asyncio.gather(*(serial(stub) for stub in self.stubs.values())))

    async def wait_for_serial(self, serial: int, limit_s: float) -> tuple[float, int]:
        """Returns the seconds until all serve `serial`, and how often a served serial decreased.

        Raises:
            MeasureError: not all serve it within `limit_s`.
        """
        started_s = time.monotonic()
        previous = [0] * len(self.stubs)
        reversions = 0
        while True:
            served = await self.read_serials()
            reversions += sum(now < before for now, before in zip(served, previous, strict=True))
            previous = served
            elapsed_s = time.monotonic() - started_s
            if all(number == serial for number in served):
                return elapsed_s, reversions
            if elapsed_s > limit_s:
                lagging = [
                    name
                    for name, served_serial in zip(self.stubs, served, strict=True)
                    if served_serial != serial
                ]
                log = self.fleet.processes[f"{lagging[0]}-agent"].log_path.read_text()[-2000:]
                raise MeasureError(f"{lagging} not at serial {serial}; {lagging[0]}: {log}")
            await asyncio.sleep(0.05)

    async def run_claims(self) -> None:
        """Claims slots of each node one after the other and holds each for about a second."""
        await asyncio.gather(*(self._run_claims_at(name) for name in self.stubs))

    async def _run_claims_at(self, name: str) -> None:
        await asyncio.sleep(self.random.random())
        number = 0
        while True:
            number += 1
            engine_id = self.random.choice(
                self.owned_engines[name] or sorted(self.statement.engines)
            )
            request = ClaimRequest(
                router_id="measure",
                instance_id=f"measure-{name}",
                request_id=str(number),
                customer="club",
                request_class="counter",
                deadline_s=2.0,
                candidates=[Candidate(engine_id=engine_id)],
            )
            reply = await self.stubs[name].Claim(request, timeout=5.0)
            self.claims += 1
            self.refusals += bool(reply.refusal)
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            if reply.refusal:
                continue
            evidence = Evidence(
                engine_id=engine_id, boot_id=reply.boot_id, whole=True, first_token_s=0.1
            )
            await self.stubs[name].Release(
                ReleaseRequest(
                    router_id="measure",
                    instance_id=f"measure-{name}",
                    ended=[Ended(slot=reply.slot, evidence=evidence)],
                )
            )

    async def close(self) -> None:
        """Closes the connections."""
        for channel in self.channels:
            await channel.close()


async def _measure_size(agents: _AgentFleet, routers: _FakeRouters) -> SizeMeans:
    count = len(agents.nodes)
    await routers.wait_for_serial(1, _START_LIMIT_S)
    claims = asyncio.create_task(routers.run_claims())
    await asyncio.sleep(SETTLE_TIME_S)
    if claims.done():
        claims.result()
    bytes_before, cpu_before, started_s = agents.peer_bytes(), agents.cpu_s(), time.monotonic()
    await asyncio.sleep(MEASURE_INTERVAL_S)
    elapsed_s = time.monotonic() - started_s
    point = SizeMeans(
        count,
        (agents.peer_bytes() - bytes_before) / elapsed_s / count,
        (agents.cpu_s() - cpu_before) / elapsed_s / count,
        agents.memory_mb(),
    )
    claims.cancel()
    return point


async def _measure_config(agents: _AgentFleet, routers: _FakeRouters) -> tuple[float, int]:
    delta = {"serial": 2, "base": 1, "changed": {"zones": {_ZONE: {"state": "draining"}}}}
    await asyncio.to_thread(agents.fleet.publish_note, delta, "release-note")
    seconds, reversions = await routers.wait_for_serial(2, _CONFIG_LIMIT_S)
    # The platform now serves older values to all nodes; no agent may apply them.
    await asyncio.to_thread(agents.fleet.publish_note, agents.document)
    stale = {"serial": 1, "base": 1}
    await asyncio.to_thread(agents.fleet.publish_note, stale, "release-note")
    for _ in range(10):
        await asyncio.sleep(0.1)
        reversions += sum(serial < 2 for serial in await routers.read_serials())
    return seconds, reversions


def fit_line(points: Sequence[tuple[float, float]], at: float) -> tuple[float, float, float]:
    """Returns the least-squares slope, its standard error, and the value of the line at `at`."""
    count = len(points)
    mean_x = sum(x for x, _y in points) / count
    mean_y = sum(y for _x, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _y in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    residual = sum((y - mean_y - slope * (x - mean_x)) ** 2 for x, y in points)
    error = math.sqrt(residual / max(count - 2, 1) / spread)
    return slope, error, mean_y + slope * (at - mean_x)


def measure_control(seed: int) -> dict[str, float]:
    """Returns the measured means, the fitted slopes and the values at the target size."""
    random = Random(seed)
    authority = CertificateAuthority()
    engines = FakeEngines(2 * max(FLEET_SIZES)).addresses
    result: dict[str, float] = {"control.memory_base_mb": base_memory_mb()}
    points = []
    for size in FLEET_SIZES:
        partitioned_nodes = PARTITIONED_NODES if size == CONFIG_FLEET_SIZE else 0
        with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
            agents = _AgentFleet(fleet, size, engines[: 2 * size], partitioned_nodes, authority)

            async def measure(agents: _AgentFleet, measure_config: bool) -> SizeMeans:
                routers = _FakeRouters(agents, random)
                point = await _measure_size(agents, routers)
                result[f"control.refusals.{len(agents.nodes)}"] = float(routers.refusals)
                if measure_config:
                    seconds, reversions = await _measure_config(agents, routers)
                    result["config.seconds_to_all"] = seconds
                    result["config.reversions"] = float(reversions)
                await routers.close()
                return point

            points.append(asyncio.run(measure(agents, partitioned_nodes > 0)))
    for point in points:
        result[f"control.bytes_per_s.{point.nodes}"] = point.bytes_per_s
        result[f"control.core_share.{point.nodes}"] = point.core_share
        result[f"control.memory_mb.{point.nodes}"] = point.memory_mb
    base_mb = result["control.memory_base_mb"]
    # Up to 16 nodes each node owns slots of all engines and exchanges with all others. In larger
    # fleets owners and peers are bounded, so only these show how the bytes grow.
    larger_fleets = [point for point in points if point.nodes > ALL_OWNERS_LIMIT]
    series = {
        "bytes_per_s": [(float(p.nodes), p.bytes_per_s) for p in larger_fleets],
        "core_share": [(float(p.nodes), p.core_share) for p in points],
        "memory_mb": [(float(p.nodes), p.memory_mb - base_mb) for p in points],
    }
    for name, values in series.items():
        slope, error, at_target = fit_line(values, TARGET_NODES)
        result[f"control.{name}_slope"] = slope
        result[f"control.{name}_slope_error"] = error
        result[f"control.{name}_at_{TARGET_NODES}"] = at_target
    return result


def _main(_argv: list[str]) -> None:
    for name, value in sorted(measure_control(flags.FLAGS.seed).items()):
        print(f"{name} {value:.4g}")


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of the work given to the agents.")
    app.run(_main)
