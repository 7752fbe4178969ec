"""Measures the latency that a router process adds to streams and to single requests.

Engine stand-ins write the send time into each event, and the client on the same machine subtracts
it from the receive time. The same streams directly from the engines are the baseline.
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
_SENT_PATTERN = re.compile(rb'"sent_s":([0-9.]+)')
_END_OF_STREAM = b"data: [DONE]\n\n"
_TOKENS_PER_S = 12.7
_ENGINES = 4
_MAX_MICROSECONDS = 60_000_000
_SINGLE_REQUESTS = 200
# Twice the peak request rate of one node.
_STARTS_PER_S = 60.0


@dataclass
class StreamResults:
    """Delays of the events of all streams in microseconds, and the number of complete streams.

    `delays` holds the events after the first of each stream, from send to receipt; `first_delays`
    the time from the request to the first event.
    """

    delays: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, _MAX_MICROSECONDS, 3))
    first_delays: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_MICROSECONDS, 3)
    )
    whole: int = 0

    def delay_ms(self, percentile: float) -> float:
        """Returns a percentile of the delay per event in milliseconds."""
        return float(self.delays.get_value_at_percentile(percentile)) / 1000


class _StreamClient(asyncio.Protocol):
    """Sends one chat request and records the delay of each event."""

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
        for match in _SENT_PATTERN.finditer(data):
            self.events += 1
            if self.events == 1:
                self.results.first_delays.record_value(max(1, int((now_s - self.started_s) * 1e6)))
                continue
            delay_us = int((now_s - float(match[1])) * 1e6)
            self.results.delays.record_value(max(1, delay_us))
        self.tail = (self.tail + data)[-64:]
        if _END_OF_STREAM in self.tail:
            self.results.whole += 1
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


def _chat_request(stream: bool, tokens: int, user: str) -> bytes:
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


def _return_client(client: _StreamClient) -> _StreamClient:
    return client


async def _run_streams(addresses: list[str], streams: int, tokens: int) -> StreamResults:
    loop = asyncio.get_running_loop()
    results = StreamResults()
    ends = []
    for number in range(streams):
        host, port = addresses[number % len(addresses)].split(":")
        client = _StreamClient(_chat_request(True, tokens, f"caller-{number}"), results)
        await loop.create_connection(partial(_return_client, client), host, int(port))
        ends.append(client.done)
        await asyncio.sleep(1.0 / _STARTS_PER_S)
    await asyncio.gather(*ends)
    return results


async def _run_single_requests(address: str) -> HdrHistogram:
    """Returns the durations of short requests, one after the other on one connection."""
    times = HdrHistogram(1, _MAX_MICROSECONDS, 3)
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for number in range(_SINGLE_REQUESTS):
        started_s = time.monotonic()
        writer.write(_chat_request(False, 1, f"single-{number}"))
        head = await reader.readuntil(b"\r\n\r\n")
        match = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
        assert match is not None, head
        await reader.readexactly(int(match[1]))
        times.record_value(max(1, int((time.monotonic() - started_s) * 1e6)))
    writer.close()
    return times


def _note_document(node: Any, engines: list[str], slots: int) -> dict[str, Any]:
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
    """Returns the user and system CPU time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_relay(streams: int = 400, tokens: int = 200, routers: int = 1) -> dict[str, float]:
    """Returns delays of `streams` concurrent streams and the latency added to a short request."""
    node = new_node("n1", "sfax-medina", routers=routers)
    engines = [free_address() for _ in range(_ENGINES)]
    # 25% more slots than streams, as the ranking spreads the streams unevenly over the engines.
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
        fleet.publish_note(_note_document(node, engines, slots))
        # Production runs without invariant checks after each claim.
        fleet.start_node(node, [], invariants=False)
        fleet.wait_for_node(node)
        direct_single = asyncio.run(_run_single_requests(engines[0]))
        routed_single = asyncio.run(_run_single_requests(node.caller_addresses[0]))
        direct = asyncio.run(_run_streams(engines, streams, tokens))
        pids = [item.process.pid for name, item in fleet.processes.items() if "-router-" in name]
        start_cpu_s = sum(_cpu_s(pid) for pid in pids)
        start_mb = sum(resident_mb(pid) for pid in pids)
        routed = asyncio.run(_run_streams(node.caller_addresses, streams, tokens))
        growth_mb = sum(resident_mb(pid) for pid in pids) - start_mb
        cpu_s = sum(_cpu_s(pid) for pid in pids) - start_cpu_s
    added_us = routed_single.get_value_at_percentile(50) - direct_single.get_value_at_percentile(50)
    added_first_us = routed.first_delays.get_value_at_percentile(
        95
    ) - direct.first_delays.get_value_at_percentile(95)
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
        "router.start_mb": start_mb,
        "router.grown_mb": growth_mb,
        "machine.load_average_1min": os.getloadavg()[0],
    }


if __name__ == "__main__":
    stream_count = int(sys.argv[1]) if len(sys.argv) > 1 else 400
    print(json.dumps(measure_relay(stream_count), indent=2))
