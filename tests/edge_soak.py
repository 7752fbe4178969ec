"""A fault soak of the edge: real processes beside stand-ins, with faults in random order.

Usage: python -m tests.edge_soak FIRST_SEED LAST_SEED [SECONDS]

The seed fixes the random choices; the times depend also on how fast the processes run. What callers
and servers see is checked: a stream has events of one software version, each once and in order; a
request that may run once runs at most once, and not if its refusal says that it has not; callers at
a node without trouble of its own are answered, whatever others send; no process ends by itself.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

from tests.edge_builders import API_KEY
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    ServerStandin,
    StoreStandin,
    encode_chunk,
    read_response,
    response_head,
)
from tools.fleet import free_address

_REPOSITORY = Path(__file__).resolve().parent.parent
_NODES = 3
_SERVERS_PER_SERVICE = 4
_CALLERS = 12
_EVENTS = 20
_EVENT_GAP_S = 0.04
_DEADLINE_MS = 4_000
_TAKE_UPS = 4
_MAX_PAUSE_BETWEEN_FAULTS_S = 1.0
_START_LIMIT_S = 20.0
_STOP_LIMIT_S = 3.0
_DRAIN_S = 1.0
# Timeouts of the route of streams, drawn anew by each change; a stream takes 0.8 or 3 s.
_STREAM_TIMEOUTS_MS = (1_000, 2_500, 15_000)
_SLOW_EVENT_GAP_S = 0.15
# Servers that leave without notice serve on for up to this time.
_MAX_LINGER_S = 4.0
_MAX_PAUSE_S = 3.0
# How long a server or a caller sends small chunks, and how many bytes it writes at once.
_SMALL_CHUNKS_S = 3.0
_SMALL_CHUNKS_BLOCK = 14_000
_ENDLESS_EVENT = "data: x"
# A node is in touch again this long after a fault of its own.
_CONTACT_S = 3.0
_BOOKING_TIMEOUT_S = 0.8
# Of the bookings that are overdue, at most this many, or half, may have no answer after that time.
_MAX_UNANSWERED = 7
_ANSWER_GRACE_S = 0.5
_EXCHANGE_LIMIT_S = 2 * _DEADLINE_MS / 1000
# Statuses that promise that a request has not run.
_PROMISES = (408, 421, 429, 503)


class EdgeNode:
    """One edge process, which can be started again under its name."""

    def __init__(self, number, directory, store_address, seeds):
        self.name = f"node-{number}"
        self.callers, self.readiness, self.peers = (free_address() for _ in range(3))
        self.forwarding = free_address()
        self.settings = directory / f"{self.name}.yaml"
        self.log = directory / f"{self.name}.log"
        self.process = None
        self.restarting = asyncio.Lock()
        # Event loop time of the last fault of this node, its own ends included.
        self.last_fault_s = 0.0
        # Whether a signal was sent that may end the process.
        self.may_end = False
        document = {
            "node": self.name,
            "zone": f"zone-{number}",
            "addresses": {
                "callers": self.callers,
                "readiness": self.readiness,
                "peers": self.peers,
                "metrics": free_address(),
                "forwarding": self.forwarding,
            },
            "seeds": [*seeds],
            "store": {"address": store_address, "timeout_s": 0.5},
            "bounds": {
                "stop_limit_s": _STOP_LIMIT_S,
                "repeat_ratio": 0.2,
                "repeat_window_s": 10,
                "repeat_minimum": 50,
                "cold_factor": 1.5,
                "cold_extra": 5,
                "leaving_notice_ms": 1000 * _DRAIN_S,
            },
        }
        self.settings.write_text(json.dumps(document))

    async def start(self, output=None):
        """Starts the process; its log goes to `output`, by default to the file of the node."""
        self.may_end = False
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "platform/edge.py",
                f"--callers={self.callers}",
                cwd=_REPOSITORY,
                env=os.environ | {"TANAGERWORKS_SETTINGS": str(self.settings)},
                stdout=output if output is not None else log,
                stderr=log,
            )

    async def end(self, signal_number):
        """Sends a signal, unless the process has ended, and waits for its end."""
        self.signal(signal_number)
        async with asyncio.timeout(_START_LIMIT_S):
            await self.process.wait()

    def signal(self, signal_number):
        self.last_fault_s = asyncio.get_running_loop().time()
        self.may_end = self.may_end or signal_number in (signal.SIGKILL, signal.SIGTERM)
        if self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def restart(self, signal_number):
        """Ends the process and starts another one; while that is under way, only signals it."""
        if self.restarting.locked():
            self.signal(signal_number)
            return
        async with self.restarting:
            await self.end(signal_number)
            await self.start()
            self.last_fault_s = asyncio.get_running_loop().time()


class Soak:
    """One run; `violations` are the promises that were broken, one line each."""

    def __init__(self, seed, directory):
        self.random = random.Random(seed)
        self.directory = directory
        self.store = StoreStandin()
        self.nodes = []
        # By server id.
        self.servers = {}
        self.server_number = 0
        self.call_number = 0
        self.version_number = 1
        self.runs = Counter()
        self.outcomes = Counter()
        self.violations = []
        self.stopping = False
        self.configuration = {}
        # Seconds that each booking took at a node without trouble of its own or of the servers.
        self.booking_times = []
        # Event loop time of the last fault of the store or of a server of bookings.
        self.last_shared_fault_s = 0.0
        # The next stream gets small chunks without end.
        self.endless_next = False

    async def run(self, seconds):
        """Starts everything, injects faults for some seconds, and ends everything."""
        await self.store.start()
        self.store.page_size = 500
        route = {"type": "non_idempotent", "service": "desk", "prefix": "/book/", "name": "r-2"}
        self.configuration = WIRE_CONFIGURATION | {
            "routes": [
                WIRE_CONFIGURATION["routes"][0]
                | {"weighted-services": [{"service": "models", "weight": 1}], "max-attempts": 3},
                WIRE_CONFIGURATION["routes"][1] | route,
            ]
        }
        self.store.put("op/config", self.configuration)
        for service in ("models", "desk"):
            for _ in range(_SERVERS_PER_SERVICE):
                await self.add_server(service, "v1")
        seeds = []
        for number in range(_NODES):
            node = EdgeNode(number, self.directory, self.store.address, seeds)
            seeds.append(node.peers)
            self.nodes.append(node)
            await node.start()
        await self.wait_until_ready()
        faults = []
        callers = [asyncio.create_task(self.call(number)) for number in range(_CALLERS)]
        try:
            until_s = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < until_s:
                await asyncio.sleep(self.random.uniform(0.1, _MAX_PAUSE_BETWEEN_FAULTS_S))
                # Faults last for some seconds and overlap.
                faults.append(asyncio.create_task(self.random.choice(self.faults())()))
            await asyncio.gather(*faults)
            self.store.mode = ""
            await self.wait_until_ready()
        finally:
            self.stopping = True
            results = await asyncio.gather(*callers, return_exceptions=True)
            self.violations += [f"caller: {e!r}" for e in results if isinstance(e, Exception)]
            self.check_bookings()
            self.violations += [
                f"{node.name}: ended by itself with status {node.process.returncode}"
                for node in self.nodes
                if node.process.returncode is not None and not node.may_end
            ]
            for node in self.nodes:
                await node.end(signal.SIGKILL)
            self.store.server.close_listener()
            for server in self.servers.values():
                server.server.close()

    async def wait_until_ready(self):
        async with asyncio.timeout(_START_LIMIT_S):
            while not all([await self.is_ready(node) for node in self.nodes]):
                await asyncio.sleep(0.1)

    async def is_ready(self, node):
        response = await self.exchange(node.readiness, b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n")
        return response is not None and response.status == 200

    async def exchange(self, address, raw):
        host, _colon, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return None
        writer.write(raw)
        try:
            async with asyncio.timeout(_EXCHANGE_LIMIT_S):
                return await read_response(reader)
        except TimeoutError:
            return None
        finally:
            writer.close()

    # Servers

    async def add_server(self, service, version):
        self.server_number += 1
        server_id = f"i-{self.server_number:04}"
        answer = self.answer_stream if service == "models" else self.answer_booking
        server = ServerStandin(server_id, answer)
        server.service, server.version, server.leaving = service, version, False
        server.gap_s = self.random.choice([_EVENT_GAP_S, _SLOW_EVENT_GAP_S])
        await server.start()
        self.servers[server_id] = server
        self.put_entry(server, "ready")

    def put_entry(self, server, phase):
        changes = {
            "service": server.service,
            "address": f"127.0.0.1:{server.port}",
            "version": server.version,
            "phase": phase,
            "cold-remaining-ms": 0,
        }
        self.store.put(f"servers/{server.server_id}", WIRE_ENTRY | changes)

    async def answer_stream(self, server, headers, reader, writer):
        if server.requests[-1][0].startswith("GET /kv-list"):
            listing = b'{"epoch": "e", "next": 1, "held": []}'
            length = f"content-length: {len(listing)}"
            writer.write(f"HTTP/1.1 200 OK\r\n{length}\r\n\r\n".encode() + listing)
            return
        if self.is_misdirected(server, headers, writer):
            return
        kind = ("content-type: text/event-stream", "transfer-encoding: chunked")
        writer.write(response_head(headers, "200 OK", *kind))
        if self.endless_next:
            self.endless_next = False
            await self.send_small_chunks(writer, f"{_ENDLESS_EVENT}\n\n".encode())
            raise ConnectionResetError
        for number in range(int(headers.get("last-event-id", 0)) + 1, _EVENTS + 1):
            event = f"id: {number}\ndata: {server.version} {number}\n\n"
            writer.write(encode_chunk(event.encode()))
            await writer.drain()
            await asyncio.sleep(server.gap_s)
        writer.write(b"0\r\n\r\n")

    async def answer_booking(self, server, headers, reader, writer):
        if self.is_misdirected(server, headers, writer):
            return
        self.runs[headers["x-tanagerworks-attempt-id"]] += 1
        await asyncio.sleep(_EVENT_GAP_S)
        writer.write(response_head(headers, "200 OK", "content-length: 2") + b"ok")

    def is_misdirected(self, server, headers, writer):
        if headers["x-tanagerworks-expect-instance"] == server.server_id:
            return False
        writer.write(b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n")
        return True

    # Faults

    def faults(self):
        return [
            self.kill_node,
            self.stop_node,
            self.kill_all_nodes,
            self.replace_server,
            self.replace_server,
            self.crash_server,
            self.silence_store,
            self.write_odd_entry,
            self.retire_version,
            self.retire_version,
            self.change_timeout,
            self.pause_node,
            self.reload_node,
            self.answer_in_small_chunks,
            self.upload_in_small_chunks,
        ]

    async def kill_node(self):
        await self.random.choice(self.nodes).restart(signal.SIGKILL)

    async def stop_node(self):
        await self.random.choice(self.nodes).restart(signal.SIGTERM)

    async def kill_all_nodes(self):
        await asyncio.gather(*(node.restart(signal.SIGKILL) for node in self.nodes))

    async def replace_server(self):
        """Starts a server, mostly of another version, for one that leaves."""
        server = self.choose_staying_server()
        if self.random.random() < 0.2:
            self.version_number += 1
        version = f"v{self.random.randint(max(1, self.version_number - 1), self.version_number)}"
        await self.add_server(server.service, version)
        self.put_entry(server, "draining")
        await asyncio.sleep(_DRAIN_S * 1.2)
        self.remove_server(server)

    async def retire_version(self):
        """Starts a new version, if there is one only, then removes all servers of an older one.

        They leave without notice. In half of all cases all nodes are killed a moment later, or the
        timeout of the streams changes.
        """
        models = [server for server in self.servers.values() if server.service == "models"]
        versions = sorted({server.version for server in models})
        if len(versions) == 1:
            self.version_number += 1
            for _ in range(2):
                await self.add_server("models", f"v{self.version_number}")
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
        retired = [s for s in models if s.version == versions[0] and not s.leaving]
        for server in retired:
            server.leaving = True
            self.store.delete(f"servers/{server.server_id}")
        loop = asyncio.get_running_loop()
        for server in retired:
            loop.call_later(self.random.uniform(_DRAIN_S, _MAX_LINGER_S), self.end_server, server)
        await asyncio.sleep(self.random.uniform(0.2, 1.0))
        follow_up = self.random.choice([self.kill_all_nodes, self.change_timeout, None, None])
        if follow_up is not None:
            await follow_up()

    def end_server(self, server):
        """Ends a server whose entry is gone already."""
        server.crash()
        self.servers.pop(server.server_id, None)

    async def change_timeout(self):
        """Publishes a configuration with another timeout of the streams' route."""
        chat, book = self.configuration["routes"]
        chat = chat | {"timeout-ms": self.random.choice(_STREAM_TIMEOUTS_MS)}
        version = self.configuration["version"] + 1
        self.configuration = self.configuration | {"version": version, "routes": [chat, book]}
        self.store.put("op/config", self.configuration)

    async def pause_node(self):
        node = self.random.choice(self.nodes)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, _MAX_PAUSE_S))
        node.signal(signal.SIGCONT)

    async def reload_node(self):
        self.random.choice(self.nodes).signal(signal.SIGHUP)

    async def answer_in_small_chunks(self):
        """Lets a server answer one stream with small chunks without end."""
        self.endless_next = True

    async def upload_in_small_chunks(self):
        """Sends a body in small chunks to one node, for as long as it reads."""
        node = self.random.choice(self.nodes)
        host, _colon, port = node.callers.rpartition(":")
        try:
            _reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(self.request("/chat/x", self.next_call_id(), "transfer-encoding: chunked"))
            await self.send_small_chunks(writer, b"b")
        except OSError:
            return
        writer.close()

    async def send_small_chunks(self, writer, data):
        chunks = encode_chunk(data) * (_SMALL_CHUNKS_BLOCK // len(encode_chunk(data)))
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _SMALL_CHUNKS_S
        while loop.time() < until_s:
            writer.write(chunks)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, until_s - loop.time())):
                    await writer.drain()
            await asyncio.sleep(0.014)

    async def crash_server(self):
        server = self.choose_staying_server()
        self.record_shared_fault(server)
        server.crash()
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        self.remove_server(server)
        await self.add_server(server.service, server.version)

    def choose_staying_server(self):
        """Returns a server that no other fault is about to remove, and marks it as leaving."""
        staying = [server for server in self.servers.values() if not server.leaving]
        server = self.random.choice(staying)
        server.leaving = True
        return server

    def remove_server(self, server):
        self.record_shared_fault(server)
        server.server.close()
        del self.servers[server.server_id]
        self.store.delete(f"servers/{server.server_id}")

    def record_shared_fault(self, server):
        if server.service == "desk":
            self.last_shared_fault_s = asyncio.get_running_loop().time()

    async def silence_store(self):
        self.store.mode = self.random.choice(["silent", "busy", "garbage"])
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self.store.mode = ""
        self.last_shared_fault_s = asyncio.get_running_loop().time()

    async def write_odd_entry(self):
        entry = WIRE_ENTRY | {"capacity": int("9" * 400)}
        self.store.put("servers/odd", self.random.choice([entry, b"\xff", b"[" * 10_000]))

    # Callers

    async def call(self, number):
        while not self.stopping:
            if number % 3:
                await self.read_stream()
            else:
                await self.book()

    def next_call_id(self):
        self.call_number += 1
        return f"c{self.call_number}"

    def request(self, path, call_id, *extra):
        lines = [
            f"POST {path} HTTP/1.1",
            "host: host.example",
            f"x-tanagerworks-attempt-id: {call_id}",
            f"x-tanagerworks-deadline-ms: {_DEADLINE_MS}",
            f"authorization: Bearer {API_KEY}",
            *extra,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def read_stream(self):
        """Reads one stream, and takes it up again while it breaks off."""
        first_id, events = None, []
        for _ in range(1 + _TAKE_UPS):
            call_id = self.next_call_id()
            extra = (f"last-event-id: {len(events)}", f"resumes: {first_id}") if events else ()
            node = self.random.choice(self.nodes)
            raw = self.request("/chat/x", call_id, *extra)
            response = await self.exchange(node.callers, raw)
            if response is None or response.status != 200:
                self.outcomes[f"stream {response.status if response else 'no connection'}"] += 1
                await asyncio.sleep(0.1)
                continue
            received = [part for part in response.body.decode().split("\n\n") if part]
            if _ENDLESS_EVENT in received:
                self.outcomes["stream without end"] += 1
                return
            if received and not events:
                first_id = call_id
            events += received
            self.check_stream(first_id, events, response.complete)
            self.outcomes["stream complete" if response.complete else "stream broken off"] += 1
            if response.complete:
                return

    def check_stream(self, first_id, events, complete):
        versions = {event.split("data: ")[1].split()[0] for event in events if "data: " in event}
        if len(versions) > 1:
            self.violations.append(f"{first_id}: events of {sorted(versions)}")
        numbers = [event.partition("\n")[0] for event in events]
        if numbers != [f"id: {number}" for number in range(1, len(events) + 1)]:
            self.violations.append(f"{first_id}: events out of order: {numbers}")
        if complete and len(events) != _EVENTS:
            self.violations.append(f"{first_id}: complete with {len(events)} events")

    async def book(self):
        call_id = self.next_call_id()
        node = self.random.choice(self.nodes)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        response = await self.exchange(node.callers, self.request("/book/x", call_id))
        took_s = loop.time() - began_s
        status = response.status if response is not None else None
        self.outcomes[f"booking {status}"] += 1
        calm_since_s = max(node.last_fault_s, self.last_shared_fault_s) + _CONTACT_S
        if began_s > calm_since_s and self.store.mode == "" and not node.restarting.locked():
            self.booking_times.append(took_s)
        await asyncio.sleep(0.05)
        if self.runs[call_id] > 1:
            self.violations.append(f"{call_id}: ran {self.runs[call_id]} times")
        if status in _PROMISES and self.runs[call_id]:
            self.violations.append(f"{call_id}: ran, though {status} promises that it did not")

    def check_bookings(self):
        """Checks that callers beside others' trouble are answered, by the bound of the rule."""
        overdue = [took_s for took_s in self.booking_times if took_s >= _BOOKING_TIMEOUT_S]
        limit_s = _BOOKING_TIMEOUT_S + _ANSWER_GRACE_S
        unanswered = [took_s for took_s in overdue if took_s >= limit_s]
        if len(unanswered) > max(_MAX_UNANSWERED, len(overdue) / 2):
            self.violations.append(
                f"{len(unanswered)} of {len(self.booking_times)} bookings without answer for"
                f" {limit_s} s"
            )


async def run_seed(seed, seconds):
    """Runs one seed; returns the violations and prints what was seen."""
    with tempfile.TemporaryDirectory() as directory:
        soak = Soak(seed, Path(directory))
        await soak.run(seconds)
        crashed = [
            f"{node.name}: {line[:200]}"
            for node in soak.nodes
            for line in node.log.read_text().splitlines()
            if "Traceback" in line or "task failed" in line
        ]
    print(f"seed {seed}: {dict(soak.outcomes)}; violations: {soak.violations + crashed}")
    return soak.violations + crashed


def main():
    """Runs the seeds that the command line names; the exit status is 1 after a violation."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 15.0
    found = [asyncio.run(run_seed(seed, seconds)) for seed in range(first, last + 1)]
    sys.exit(1 if any(found) else 0)


if __name__ == "__main__":
    main()
