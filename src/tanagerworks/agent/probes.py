"""Probes the engines; each engine is probed by a few of the nodes."""

import asyncio
import logging
import math
from bisect import bisect
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from random import Random

from pydantic import BaseModel, ValidationError
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError
from xxhash import xxh3_64_intdigest

from tanagerworks.agent.daemon_call import call_in_daemon_thread
from tanagerworks.errors import BackendError, BackendProtocolError
from tanagerworks.note.model import Engine

_LOGGER = logging.getLogger(__name__)
_MAX_PROBES = 8
_MAX_ANSWER_BYTES = 65_536
# A single lost probe does not mean that the engine is down.
_FAILURES_UNTIL_DOWN = 3
_HTTP_OK = 200
# In large fleets nodes join and leave all the time, so an assignment of engines is used for this
# long.
_REASSIGNMENT_PERIOD_S = 10.0
_SMALL_FLEET_NODES = 16


class _LoadResponse(BaseModel):
    running: int
    waiting: int = 0
    uptime_s: float


class _BootResponse(BaseModel):
    boot_id: str


@dataclass(frozen=True)
class EngineReport:
    """An engine's report of itself; the load lags."""

    boot_id: str
    uptime_s: float
    running: int
    waiting: int


def assigned_engines(
    node_id: str, node_ids: Iterable[str], engine_ids: Iterable[str], per_engine: int
) -> list[str]:
    """Returns the engines that a node probes, by consistent hashing on a ring of nodes.

    Each engine is probed by `per_engine` of `node_ids`. Rendezvous hashing, which ranks all nodes
    for every engine, would take 0.25 s of CPU time with 350 nodes and 710 engines.
    """
    ring = sorted((xxh3_64_intdigest(name.encode()), name) for name in node_ids)
    if not ring:
        return []
    positions = [position for position, _name in ring]
    assigned = []
    for engine_id in engine_ids:
        start = bisect(positions, xxh3_64_intdigest(engine_id.encode()))
        for step in range(min(per_engine, len(ring))):
            if ring[(start + step) % len(ring)][1] == node_id:
                assigned.append(engine_id)
                break
    return assigned


class EngineClient:
    """Reads boot ids and loads of engines; thread-safe."""

    def __init__(self, timeout_s: float) -> None:
        self.pool = PoolManager(
            num_pools=64, retries=False, timeout=Timeout(connect=timeout_s, read=timeout_s)
        )

    def read_report(self, address: str) -> EngineReport:
        """Returns the report of the engine at `address`.

        Raises:
            BackendError: the engine did not answer, or not in the published format.
        """
        content, boot_id = self._get(address, "/v1/load")
        try:
            load = _LoadResponse.model_validate_json(content)
            if not boot_id:
                content, _header = self._get(address, "/v1/boot")
                boot_id = _BootResponse.model_validate_json(content).boot_id
        except ValidationError as error:
            raise BackendProtocolError(f"{address}: the report has a wrong format") from error
        return EngineReport(boot_id, load.uptime_s, load.running, load.waiting)

    def _get(self, address: str, path: str) -> tuple[bytes, str]:
        try:
            response = self.pool.request(
                "GET", f"http://{address}{path}", redirect=False, preload_content=False
            )
            content = response.read(_MAX_ANSWER_BYTES)
        except HTTPError as error:
            raise BackendError(f"{address}: {type(error).__name__}") from error
        if response.status != _HTTP_OK or len(content) == _MAX_ANSWER_BYTES:
            response.close()
            raise BackendProtocolError(f"{address}: answered {response.status} to {path}")
        response.release_conn()
        return content, response.headers.get("X-Engine-Boot", "")


class EngineProber:
    """Probes the engines assigned to this node once a period.

    `on_report` is called with every report, `set_down` with every change of an engine's state. An
    engine is down after three failed probes, or while another node reports it down, unless it
    answers this node's own probes.
    """

    def __init__(
        self,
        node_id: str,
        client: EngineClient,
        random: Random,
        *,
        period_s: float,
        per_engine: int,
        engines: Callable[[], dict[str, Engine]],
        nodes: Callable[[], Collection[str]],
        on_report: Callable[[str, EngineReport], None],
        set_down: Callable[[str, bool], None],
    ) -> None:
        self.node_id = node_id
        self.client = client
        self.random = random
        self.period_s = period_s
        self.per_engine = per_engine
        self.engines = engines
        self.nodes = nodes
        self.on_report = on_report
        self.set_down = set_down
        self.reports: dict[str, EngineReport] = {}
        self.failures: dict[str, int] = {}
        self.down_at_peers: dict[str, frozenset[str]] = {}
        self.down: frozenset[str] = frozenset()
        self.assignment_key: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self.assigned_at_s = -math.inf
        self.assigned: list[str] = []
        self.probe_limit = asyncio.Semaphore(_MAX_PROBES)

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            engines = self.engines()
            nodes = self.nodes()
            assigned = self._assign_engines(nodes, engines)
            for mapping in (self.reports, self.failures):
                for engine_id in set(mapping) - set(assigned):
                    del mapping[engine_id]
            probes = [self._probe(engine_id, engines[engine_id].address) for engine_id in assigned]
            await asyncio.gather(*probes)
            self._update_down_engines(nodes)
            await asyncio.sleep(self.period_s * self.random.uniform(0.8, 1.2))

    def _assign_engines(self, nodes: Collection[str], engines: dict[str, Engine]) -> list[str]:
        # The assignment changes only when a node or an engine joins or leaves. An assignment that
        # is a few seconds old leaves no engine unprobed, since several nodes probe each engine.
        now_s = asyncio.get_running_loop().time()
        key = (tuple(nodes), tuple(engines))
        is_recent = (
            key[1] == self.assignment_key[1] and now_s - self.assigned_at_s < _REASSIGNMENT_PERIOD_S
        )
        if key == self.assignment_key or (is_recent and len(nodes) > _SMALL_FLEET_NODES):
            return self.assigned
        self.assignment_key, self.assigned_at_s = key, now_s
        self.assigned = assigned_engines(self.node_id, nodes, engines, self.per_engine)
        return self.assigned

    def failing_engines(self) -> list[str]:
        """Returns the sorted ids of the engines that do not answer this node's probes."""
        return sorted(
            engine_id
            for engine_id, failures in self.failures.items()
            if failures >= _FAILURES_UNTIL_DOWN
        )

    def record_down_engines(self, node_id: str, engine_ids: Iterable[str]) -> None:
        """Records the engines that do not answer the probes of another node."""
        self.down_at_peers[node_id] = frozenset(engine_ids)

    async def _probe(self, engine_id: str, address: str) -> None:
        async with self.probe_limit:
            try:
                report = await call_in_daemon_thread(self.client.read_report, address, name="probe")
            except BackendError as error:
                failures = self.failures.get(engine_id, 0) + 1
                self.failures[engine_id] = failures
                if failures == _FAILURES_UNTIL_DOWN:
                    _LOGGER.warning(
                        "engine does not answer probes",
                        extra={"engine": engine_id, "error": error.message},
                    )
                return
        self.failures[engine_id] = 0
        self.reports[engine_id] = report
        self.on_report(engine_id, report)

    def _update_down_engines(self, nodes: Collection[str]) -> None:
        # Reports of nodes that left are dropped, since they cannot correct them any more.
        self.down_at_peers = {
            node_id: down for node_id, down in self.down_at_peers.items() if node_id in nodes
        }
        down = set(self.failing_engines())
        for at_peer in self.down_at_peers.values():
            # An engine that answers this node is up for it, even if a peer cannot reach the engine.
            down |= {engine_id for engine_id in at_peer if self.failures.get(engine_id) != 0}
        for engine_id in sorted(down ^ self.down):
            self.set_down(engine_id, engine_id in down)
        self.down = frozenset(down)
