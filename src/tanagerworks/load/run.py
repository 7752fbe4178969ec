"""What all callers share: the choice of a node, attempts and the end of the run."""

import asyncio
import json
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from tanagerworks.load.http_client import Call, CallBrokenError, CallNotSentError
from tanagerworks.load.report import Failure, ObservedOutcome, Report
from tanagerworks.load.settings import LoadSettings

# A node that refused a connection is not tried first for this time.
_AVOID_DOWN_NODE_S = 1.0
_HEALTH_TIMEOUT_S = 0.5
_HTTP_OK = 200
_RETRIED_STATUSES = frozenset({429, 502, 503})


@dataclass(frozen=True)
class Attempt:
    """The end of one call at one node; `again` says whether another node may do better."""

    outcome: ObservedOutcome
    code: str = ""
    retryable: bool = False
    # Body of a whole answer that later checks need.
    document: Any = None


NOT_CONNECTED = Attempt(ObservedOutcome.NOT_RUN, "connection_refused", retryable=True)


class NodeBalancer:
    """Spreads calls over the ready nodes as a load balancer in front of them does."""

    def __init__(self, nodes: Sequence[str], rng: random.Random) -> None:
        self.nodes = nodes
        self.rng = rng
        self.down_until_s: dict[str, float] = {}
        self.not_ready: set[str] = set()

    def choose_node(self, tried: Sequence[str] = ()) -> str:
        """Returns a node, preferably one that was neither tried nor found down."""
        now_s = time.monotonic()
        available = [
            node
            for node in self.nodes
            if node not in self.not_ready and self.down_until_s.get(node, 0.0) <= now_s
        ]
        untried = [node for node in available if node not in tried]
        return self.rng.choice(untried or available or self.nodes)

    def mark_node_down(self, node: str) -> None:
        """Avoids a node for a while."""
        self.down_until_s[node] = time.monotonic() + _AVOID_DOWN_NODE_S

    async def poll_readiness(self, period_s: float) -> None:
        """Checks the health of all nodes until it is cancelled."""
        while True:
            await asyncio.gather(*(self._check_node(node) for node in self.nodes))
            await asyncio.sleep(period_s)

    async def _check_node(self, node: str) -> None:
        if await _is_ready(node):
            self.not_ready.discard(node)
        else:
            self.not_ready.add(node)


async def _is_ready(node: str) -> bool:
    try:
        async with asyncio.timeout(_HEALTH_TIMEOUT_S):
            call = await Call.connect(node)
            try:
                await call.send_request("GET", "/readyz", {})
            finally:
                call.close()
    except (CallNotSentError, CallBrokenError, TimeoutError):
        return False
    return call.status == _HTTP_OK


class LoadRun:
    """State that the callers of one run share."""

    def __init__(self, settings: LoadSettings) -> None:
        self.settings = settings
        self.report = Report()
        self.rng = random.Random(settings.seed)
        self.balancer = NodeBalancer(settings.nodes, random.Random(settings.seed + 1))
        self.stopped = asyncio.Event()
        # No request is tried again after this time, so that a run ends soon after its last call.
        self.retry_deadline_s = time.monotonic() + settings.seconds + settings.grace_s

    async def sleep_until_stopped(self, seconds: float) -> None:
        """Waits, at most until the end of the run."""
        if seconds <= 0:
            return
        try:
            await asyncio.wait_for(self.stopped.wait(), seconds)
        except TimeoutError:
            return

    def may_retry(self, attempts: int) -> bool:
        """Returns whether a request may be tried once more."""
        return attempts < self.settings.attempts and time.monotonic() < self.retry_deadline_s

    async def sleep_before_retry(self) -> None:
        """Waits between two attempts of one request, even after the end of the run."""
        await asyncio.sleep(self.settings.retry_pause_s * self.rng.uniform(0.5, 1.5))

    def record_failure(self, started_s: float, node: str, kind: str, attempt: Attempt) -> None:
        """Keeps an attempt with an unknown outcome, or a request that got no whole answer."""
        self.report.failures.append(
            Failure(
                started_s=started_s,
                ended_s=time.monotonic(),
                node=node,
                kind=kind,
                seen=attempt.outcome.value,
                code=attempt.code,
            )
        )


def parse_error_response(status: int, headers: dict[str, str], body: bytes) -> Attempt:
    """Returns what an answer with an error status says."""
    code = f"http_{status}"
    try:
        code = str(json.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        pass
    if headers.get("x-outcome") == "not_run":
        return Attempt(ObservedOutcome.NOT_RUN, code, retryable=status in _RETRIED_STATUSES)
    return Attempt(ObservedOutcome.UNKNOWN, code)
