"""State of one load run: node selection, retry limits and the result of each attempt."""

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

# How long a node that refused a connection is avoided.
_AVOID_DOWN_NODE_S = 1.0
_READINESS_TIMEOUT_S = 0.5
_HTTP_OK = 200
_RETRIED_STATUSES = frozenset({429, 502, 503})


@dataclass(frozen=True)
class Attempt:
    """Result of one call to one node.

    `code` is the error code of the response or of the client, empty for a correct answer.
    `retryable` is true if the request did not run and another node may accept it.
    """

    outcome: ObservedOutcome
    code: str = ""
    retryable: bool = False
    # Parsed body of a complete response, for later checks.
    document: Any = None


NOT_CONNECTED = Attempt(ObservedOutcome.NOT_RUN, "connection_refused", retryable=True)


class NodeBalancer:
    """Selects nodes at random among the ready ones, as a load balancer in front of them does."""

    def __init__(self, nodes: Sequence[str], rng: random.Random) -> None:
        self.nodes = nodes
        self.rng = rng
        self.down_until_s: dict[str, float] = {}
        self.not_ready: set[str] = set()

    def choose_node(self, tried: Sequence[str] = ()) -> str:
        """Returns a random node: an untried available one, else an available one, else any."""
        now_s = time.monotonic()
        available = [
            node
            for node in self.nodes
            if node not in self.not_ready and self.down_until_s.get(node, 0.0) <= now_s
        ]
        untried = [node for node in available if node not in tried]
        return self.rng.choice(untried or available or self.nodes)

    def mark_node_down(self, node: str) -> None:
        """Avoids a node for `_AVOID_DOWN_NODE_S`, because it refused a connection."""
        self.down_until_s[node] = time.monotonic() + _AVOID_DOWN_NODE_S

    async def poll_readiness(self, period_s: float) -> None:
        """Requests ``/readyz`` of all nodes every `period_s` seconds until it is cancelled."""
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
        async with asyncio.timeout(_READINESS_TIMEOUT_S):
            call = await Call.connect(node)
            try:
                await call.send_request("GET", "/readyz", {})
            finally:
                call.close()
    except (CallNotSentError, CallBrokenError, TimeoutError):
        return False
    return call.status == _HTTP_OK


class LoadRun:
    """State shared by all callers of one run."""

    def __init__(self, settings: LoadSettings) -> None:
        self.settings = settings
        self.report = Report()
        self.rng = random.Random(settings.seed)
        self.balancer = NodeBalancer(settings.nodes, random.Random(settings.seed + 1))
        self.stopped = asyncio.Event()
        # No retries start after this time, so that the run ends soon after its last new request.
        self.retry_deadline_s = time.monotonic() + settings.seconds + settings.grace_s

    async def sleep_unless_stopped(self, seconds: float) -> None:
        """Sleeps for `seconds`, or less if the run is stopped by a signal."""
        if seconds <= 0:
            return
        try:
            await asyncio.wait_for(self.stopped.wait(), seconds)
        except TimeoutError:
            return

    def may_retry(self, attempts: int) -> bool:
        """Returns whether a request may be retried after `attempts` attempts."""
        return attempts < self.settings.attempts and time.monotonic() < self.retry_deadline_s

    async def sleep_before_retry(self) -> None:
        """Sleeps for the retry pause with random jitter; a stop signal does not shorten it."""
        await asyncio.sleep(self.settings.retry_pause_s * self.rng.uniform(0.5, 1.5))

    def record_failure(self, started_s: float, node: str, kind: str, attempt: Attempt) -> None:
        """Adds a failed attempt or request to the failures of the report."""
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
    """Returns the attempt that a response with an error status describes.

    The request did not run only if the ``X-Outcome`` header says so; otherwise its outcome is
    unknown.
    """
    code = f"http_{status}"
    try:
        code = str(json.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        pass
    if headers.get("x-outcome") == "not_run":
        return Attempt(ObservedOutcome.NOT_RUN, code, retryable=status in _RETRIED_STATUSES)
    return Attempt(ObservedOutcome.UNKNOWN, code)
