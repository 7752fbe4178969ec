"""Measures what a router process adds to streams and to single requests.

Engine stand-ins write the time of sending into each event; the client on the same machine
compares it with the time of receipt. The same streams straight from the engines are the baseline.
"""

import asyncio
import json
import math
import os
import re
import sys
import tempfile
import time
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from tools.fleet import Fleet, free_address, key_sha256, new_node
from tools.measure_control import resident_mb

_KEY = "key-of-the-measurement"
_SENT = re.compile(rb'"sent_s":([0-9.]+)')
_END_MARK = b"data: [DONE]\n\n"
_TOKENS_PER_S = 12.7
_ENGINES = 4
_MAX_MICROSECONDS = 60_000_000
_SINGLE_REQUESTS = 200
# Twice the share of one node in the peak request rate.
_STARTS_PER_S = 60.0


@dataclass
class StreamResults:
    """Delays of all events after the first of each stream, and whole streams."""

    delays: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, _MAX_MICROSECONDS, 3))
    first: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, _MAX_MICROSECONDS, 3))
    whole: int = 0

    def delay_ms(self, percentile: float) -> float:
        """Returns a percentile of the delay per event."""
        return float(self.delays.get_value_at_percentile(percentile)) / 1000


class _StreamClient(asyncio.Protocol):
    """Sends one chat and notes the delay of each event."""

    def __init__(self, payload: bytes, results: StreamResults) -> None:
        self.payload = payload
        self.results = results
        self.done = asyncio.get_running_loop().create_future()
        self.tail = b""
        self.started_s = 0.0
        self.events = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.started_s = time.monotonic()
        transport.write(self.payload)

    def data_received(self, data: bytes) -> None:
        now_s = time.monotonic()
        for match in _SENT.finditer(data):
            self.events += 1
            if self.events == 1:
                self.results.first.record_value(max(1, int((now_s - self.started_s) * 1e6)))
                continue
            delay_us = int((now_s - float(match[1])) * 1e6)
            self.results.delays.record_value(max(1, delay_us))
        self.tail = (self.tail + data)[-64:]
        if _END_MARK in self.tail:
            self.results.whole += 1
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


def _payload(stream: bool, tokens: int, user: str) -> bytes:
    document = {
        "model": "wax",
        "stream": stream,
        "max_tokens": tokens,
        "user": user,
        "messages": [{"role": "user", "content": f"How coarse is the wax for {user}?"}],
    }
    body = json.dumps(document).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
        f"Authorization: Bearer {_KEY}\r\nX-Request-Id: {user}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _return(client: _StreamClient) -> _StreamClient:
    return client


async def _run_streams(addresses: list[str], streams: int, tokens: int) -> StreamResults:
    loop = asyncio.get_running_loop()
    results = StreamResults()
    waits = []
    for number in range(streams):
        host, port = addresses[number % len(addresses)].split(":")
        client = _StreamClient(_payload(True, tokens, f"caller-{number}"), results)
        await loop.create_connection(partial(_return, client), host, int(port))
        waits.append(client.done)
        await asyncio.sleep(1.0 / _STARTS_PER_S)
    await asyncio.gather(*waits)
    return results


async def _run_singles(address: str) -> HdrHistogram:
    """Returns the duration of short requests, one after the other on one connection."""
    times = HdrHistogram(1, _MAX_MICROSECONDS, 3)
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for number in range(_SINGLE_REQUESTS):
        started_s = time.monotonic()
        writer.write(_payload(False, 1, f"single-{number}"))
        head = await reader.readuntil(b"\r\n\r\n")
        match = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
        assert match is not None, head
        await reader.readexactly(int(match[1]))
        times.record_value(max(1, int((time.monotonic() - started_s) * 1e6)))
    writer.close()
    return times


def _note(node: Any, engines: list[str], slots: int) -> dict[str, Any]:
    zone = "sfax-medina"
    return {
        "serial": 1,
        "statement": {
            "nodes": {node.node_id: {"zone": zone, "peer_address": node.peer_address}},
            "zones": {zone: {}},
            "models": {"wax": {"versions": {"v1": 1.0}}},
            "customers": {
                "caller": {
                    "key_sha256": [key_sha256(_KEY)],
                    "models": ["wax"],
                    "max_streams": 10_000,
                    "requests_per_s": 100_000.0,
                }
            },
            "engines": {
                f"m{number}": {
                    "address": address,
                    "zone": zone,
                    "model": "wax",
                    "version": "v1",
                    "slots": slots,
                    "cold_slots": slots,
                }
                for number, address in enumerate(engines)
            },
        },
    }


def _cpu_s(pid: int) -> float:
    """Returns the CPU time of a process: user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_relay(streams: int = 400, tokens: int = 200, routers: int = 1) -> dict[str, float]:
    """Returns delays of `streams` concurrent streams and the time added to a short request."""
    node = new_node("n1", "sfax-medina", routers=routers)
    engines = [free_address() for _ in range(_ENGINES)]
    # A quarter more than needed, because the ranking does not fill all engines alike.
    slots = math.ceil(1.25 * streams / _ENGINES)
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.start_platform()
        for number, address in enumerate(engines):
            fleet.start_engine(
                f"m{number}",
                address,
                slots=slots,
                cold_slots=slots,
                tokens_per_s=_TOKENS_PER_S,
                first_token_s=0.0,
                prefill_tokens_per_s=1e9,
                stamps_events=True,
            )
        for number, address in enumerate(engines):
            fleet.wait_until_ready(f"m{number}", f"http://{address}/v1/boot")
        fleet.publish_note(_note(node, engines, slots))
        # Checks of the invariants after each claim are for tests.
        fleet.start_node(node, [], invariants=False)
        fleet.wait_for_node(node)
        direct_single = asyncio.run(_run_singles(engines[0]))
        routed_single = asyncio.run(_run_singles(node.caller_addresses[0]))
        direct = asyncio.run(_run_streams(engines, streams, tokens))
        pids = [item.process.pid for name, item in fleet.processes.items() if "-router-" in name]
        before_s = sum(_cpu_s(pid) for pid in pids)
        before_mb = sum(resident_mb(pid) for pid in pids)
        routed = asyncio.run(_run_streams(node.caller_addresses, streams, tokens))
        grown_mb = sum(resident_mb(pid) for pid in pids) - before_mb
        cpu_s = sum(_cpu_s(pid) for pid in pids) - before_s
    added_us = routed_single.get_value_at_percentile(50) - direct_single.get_value_at_percentile(50)
    added_first_us = routed.first.get_value_at_percentile(
        95
    ) - direct.first.get_value_at_percentile(95)
    return {
        "streams": float(streams),
        "whole_streams": float(routed.whole),
        "direct.token_delay_p50_ms": direct.delay_ms(50),
        "direct.token_delay_p95_ms": direct.delay_ms(95),
        "speed.token_delay_p50_ms": routed.delay_ms(50),
        "speed.token_delay_p95_ms": routed.delay_ms(95),
        "speed.first_token_added_p95_s": added_first_us / 1e6,
        "direct.request_p50_ms": direct_single.get_value_at_percentile(50) / 1000,
        "speed.added_p50_ms": added_us / 1000,
        "router.cpu_us_per_event": cpu_s * 1e6 / (streams * tokens),
        "router.start_mb": before_mb,
        "router.grown_mb": grown_mb,
        "machine.load_average_1min": os.getloadavg()[0],
    }


if __name__ == "__main__":
    wanted = int(sys.argv[1]) if len(sys.argv) > 1 else 400
    print(json.dumps(measure_relay(wanted), indent=2))
