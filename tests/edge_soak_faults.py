"""A soak of the edge with all kinds of faults: real processes beside stand-ins, in random order.

The seed fixes the random choices; the times depend also on how fast the processes run. What callers
and servers see is checked: a stream has events of one software version, each once and in order; a
request that may run once runs at most once, and not if its refusal says that it has not; callers at
a node without trouble of its own are answered, whatever others send; streams go on at the nodes
that are left after most of them were lost; no process ends by itself.
"""

import asyncio
import contextlib
import random
import signal
from collections import Counter

from tests.edge_builders import API_KEY
from tests.edge_node import LEAVING_NOTICE_MS, EdgeNode
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    ServerStandin,
    StoreStandin,
    encode_chunk,
    read_response,
    response_head,
)

_NODES = 3
_SERVERS_PER_SERVICE = 4
_CALLERS = 12
_EVENTS = 20
_EVENT_GAP_S = 0.04
_DEADLINE_MS = 4_000
_TAKE_UPS = 4
_MAX_PAUSE_BETWEEN_FAULTS_S = 1.0
_START_LIMIT_S = 20.0
_DRAIN_S = LEAVING_NOTICE_MS / 1000
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
# Streams that run while most nodes are lost, and new ones beside those that are taken up then.
_HELD_STREAMS = 24
_NEW_STREAMS = 12
_HELD_EVENT_GAP_MS = 500
_QUICK_EVENT_GAP_MS = 10
_HELD_DEADLINE_MS = 15_000
# The users' rule counts from this number of streams, at servers with another one of their version.
_MIN_TAKE_UPS = 12
_MIN_SERVERS = 2
# Statuses that promise that a request has not run.
_PROMISES = (408, 421, 429, 503)


class Soak:
    """One run; `violations` are the promises that were broken, one line each."""

    services = ("models", "desk")
    callers = _CALLERS
    warm_up_s = 0.0
    max_pause_between_faults_s = _MAX_PAUSE_BETWEEN_FAULTS_S

    def __init__(self, seed, directory, node_count=None):
        self.random = random.Random(seed)
        self.directory = directory
        self.node_count = node_count or _NODES
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
        # Nodes that faults leave alone, since streams are to go on there.
        self.spared = set()
        # Event loop time of the last trouble of the store.
        self.last_store_fault_s = 0.0

    async def run(self, seconds):
        """Starts everything, injects faults for some seconds, and ends everything."""
        await self.store.start()
        self.store.page_size = 500
        self.configuration = self.first_configuration()
        self.store.put("op/config", self.configuration)
        for service in self.services:
            for _ in range(_SERVERS_PER_SERVICE):
                await self.add_server(service, "v1")
        seeds = []
        for number in range(self.node_count):
            node = self.create_node(number, seeds)
            seeds.append(node.peers)
            self.nodes.append(node)
            await node.start()
        await self.wait_until_ready()
        faults = []
        callers = [asyncio.create_task(self.call(number)) for number in range(self.callers)]
        try:
            await asyncio.sleep(self.warm_up_s)
            until_s = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < until_s:
                await asyncio.sleep(self.random.uniform(0.1, self.max_pause_between_faults_s))
                # Faults last for some seconds and overlap.
                faults.append(asyncio.create_task(self.random.choice(self.faults())()))
            await asyncio.gather(*faults)
            self.store.mode = ""
            await self.wait_until_ready()
        finally:
            self.stopping = True
            for fault in faults:
                # Those of a run that failed could start nodes again.
                fault.cancel()
            results = await asyncio.gather(*callers, return_exceptions=True)
            self.violations += [f"caller: {e!r}" for e in results if isinstance(e, Exception)]
            self.check_at_end()
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

    def first_configuration(self):
        """Returns the configuration in force at the start."""
        route = {"type": "non_idempotent", "service": "desk", "prefix": "/book/", "name": "r-2"}
        to_models = {"weighted-services": [{"service": "models", "weight": 1}], "max-attempts": 3}
        held = {"prefix": "/held/", "name": "r-3", "timeout-ms": _HELD_DEADLINE_MS}
        return WIRE_CONFIGURATION | {
            "routes": [
                WIRE_CONFIGURATION["routes"][0] | to_models,
                WIRE_CONFIGURATION["routes"][1] | route,
                WIRE_CONFIGURATION["routes"][0] | to_models | held,
            ]
        }

    def create_node(self, number, seeds):
        return EdgeNode(number, self.directory, self.store.address, seeds)

    def check_at_end(self):
        self.check_bookings()

    async def wait_until_ready(self):
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _START_LIMIT_S
        waiting = self.nodes
        while waiting and loop.time() < until_s:
            waiting = [node for node in waiting if not await self.is_ready(node)]
            await asyncio.sleep(0.1)
        for node in waiting:
            status = node.process.returncode
            self.violations.append(f"{node.name}: not ready in time, exit status {status}")

    async def is_ready(self, node):
        response = await self.exchange(node.readiness, b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n")
        return response is not None and response.status == 200

    async def exchange(self, address, raw, limit_s=_EXCHANGE_LIMIT_S):
        host, _colon, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return None
        writer.write(raw)
        try:
            async with asyncio.timeout(limit_s):
                return await read_response(reader)
        except TimeoutError:
            return None
        finally:
            writer.close()

    # Servers

    async def add_server(self, service, version):
        self.server_number += 1
        server_id = f"i-{self.server_number:04}"
        server = ServerStandin(server_id, self.answer_of(service))
        server.service, server.version, server.leaving = service, version, False
        server.gap_s = self.random.choice([_EVENT_GAP_S, _SLOW_EVENT_GAP_S])
        await server.start()
        self.servers[server_id] = server
        self.put_entry(server, "ready")

    def answer_of(self, service):
        """Returns the script action of the servers of a service."""
        return self.answer_stream if service == "models" else self.answer_booking

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
        if self.endless_next and "x-gap-ms" not in headers:
            self.endless_next = False
            await self.send_small_chunks(writer, f"{_ENDLESS_EVENT}\n\n".encode())
            raise ConnectionResetError
        gap_s = float(headers.get("x-gap-ms", 1000 * server.gap_s)) / 1000
        for number in range(int(headers.get("last-event-id", 0)) + 1, _EVENTS + 1):
            event = f"id: {number}\ndata: {server.version} {number}\n\n"
            writer.write(encode_chunk(event.encode()))
            await writer.drain()
            await asyncio.sleep(gap_s)
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
            self.lose_most_nodes,
        ]

    def unspared_nodes(self):
        return [node for node in self.nodes if node not in self.spared]

    def choose_node(self):
        return self.random.choice(self.unspared_nodes())

    async def kill_node(self):
        await self.choose_node().restart(signal.SIGKILL)

    async def stop_node(self):
        await self.choose_node().restart(signal.SIGTERM)

    async def kill_all_nodes(self):
        await self.kill(self.unspared_nodes())

    async def kill(self, nodes):
        await asyncio.gather(*(node.restart(signal.SIGKILL) for node in nodes))

    async def lose_most_nodes(self):
        """Kills all nodes but one or two, at once or in two waves, while streams run there.

        Before that, one of those that are left may have been started again, just before the streams
        began or just after. Callers take their streams up at those that are left.
        """
        if self.spared:
            return
        left = self.random.sample(self.nodes, self.random.randint(1, max(1, self.node_count // 4)))
        self.spared.update(left)
        try:
            lost = self.unspared_nodes()
            restart = self.random.choice(["before", "after", None])
            if restart == "before":
                await left[0].restart(self.random.choice([signal.SIGTERM, signal.SIGKILL]))
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            held = [asyncio.create_task(self.hold_stream(node)) for node in lost * _HELD_STREAMS]
            held = held[:_HELD_STREAMS]
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            if restart == "after":
                await left[0].restart(self.random.choice([signal.SIGTERM, signal.SIGKILL]))
            # Only nodes count that have run for so long.
            touched_s = max(node.last_fault_s for node in left) + _CONTACT_S
            await asyncio.sleep(max(0.0, touched_s - asyncio.get_running_loop().time()))
            first = self.random.randint(0, len(lost) - 1)
            await self.kill(lost[:first])
            await asyncio.sleep(self.random.choice([0.0, self.random.uniform(0.0, 2.0)]))
            await self.kill(lost[first:])
            await self.take_up_streams(left, await asyncio.gather(*held))
        finally:
            self.spared.clear()

    async def hold_stream(self, node):
        """Begins a stream; returns its call id and the events received when it ends."""
        call_id = self.next_call_id()
        raw = self.held_request(call_id, _HELD_EVENT_GAP_MS)
        response = await self.exchange(node.callers, raw, _HELD_DEADLINE_MS / 1000)
        return call_id, events_of(response), response is not None and response.complete

    def held_request(self, call_id, gap_ms, *extra):
        gap = f"x-gap-ms: {gap_ms}"
        return self.request("/held/x", call_id, gap, *extra, deadline_ms=_HELD_DEADLINE_MS)

    async def take_up_streams(self, left, streams):
        """Takes up streams that broke off at the nodes that are left, beside new streams there."""
        broken = [
            (call_id, events) for call_id, events, complete in streams if events and not complete
        ]
        new = [
            self.held_request(self.next_call_id(), _QUICK_EVENT_GAP_MS) for _ in range(_NEW_STREAMS)
        ]
        began_s = asyncio.get_running_loop().time()
        usable = self.usable_versions()
        raws = [
            self.held_request(
                self.next_call_id(),
                _QUICK_EVENT_GAP_MS,
                f"last-event-id: {len(events)}",
                f"resumes: {call_id}",
            )
            for call_id, events in broken
        ]
        nodes = left * (len(raws) + len(new))
        responses = await asyncio.gather(
            *(
                self.exchange(node.callers, raw)
                for node, raw in zip(nodes, raws + new, strict=False)
            )
        )
        usable &= self.usable_versions()
        taken_up = went_on = 0
        for (call_id, events), response in zip(broken, responses, strict=False):
            received = events_of(response)
            self.check_stream(call_id, events + received, False)
            if version_of(events[0]) in usable:
                taken_up += 1
                went_on += bool(received)
        begun = sum(bool(events_of(response)) for response in responses[len(broken) :])
        if self.last_store_fault_s + _CONTACT_S > began_s or self.store.mode:
            self.outcomes["streams taken up beside trouble of the store"] += taken_up
            return
        self.outcomes["streams taken up"] += taken_up
        self.outcomes["streams that went on"] += went_on
        self.check_take_ups(taken_up, went_on, begun)

    def usable_versions(self):
        """Returns the versions that enough servers run which no fault is about to remove."""
        staying = Counter(
            server.version
            for server in self.servers.values()
            if server.service == "models" and not server.leaving
        )
        return {version for version, count in staying.items() if count >= _MIN_SERVERS}

    def check_take_ups(self, taken_up, went_on, begun):
        """Checks that streams go on at least half as often as new ones begin, by the rule."""
        if taken_up < _MIN_TAKE_UPS:
            return
        if went_on / taken_up < begun / _NEW_STREAMS / 2:
            self.violations.append(
                f"{went_on} of {taken_up} streams went on beside {begun} of {_NEW_STREAMS} new ones"
            )

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
        chat, *others = self.configuration["routes"]
        chat = chat | {"timeout-ms": self.random.choice(_STREAM_TIMEOUTS_MS)}
        version = self.configuration["version"] + 1
        self.configuration = self.configuration | {"version": version, "routes": [chat, *others]}
        self.store.put("op/config", self.configuration)

    async def pause_node(self):
        node = self.choose_node()
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, _MAX_PAUSE_S))
        node.signal(signal.SIGCONT)

    async def reload_node(self):
        self.choose_node().signal(signal.SIGHUP)

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
        self.last_shared_fault_s = self.last_store_fault_s = asyncio.get_running_loop().time()

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

    def request(self, path, call_id, *extra, deadline_ms=_DEADLINE_MS):
        lines = [
            f"POST {path} HTTP/1.1",
            "host: host.example",
            f"x-tanagerworks-attempt-id: {call_id}",
            f"x-tanagerworks-deadline-ms: {deadline_ms}",
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
            received = events_of(response)
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

    def check_stream(self, first_id, events, complete, expected=_EVENTS):
        versions = {event.split("data: ")[1].split()[0] for event in events if "data: " in event}
        if len(versions) > 1:
            self.violations.append(f"{first_id}: events of {sorted(versions)}")
        numbers = [event.partition("\n")[0] for event in events]
        if numbers != [f"id: {number}" for number in range(1, len(events) + 1)]:
            self.violations.append(f"{first_id}: events out of order: {numbers}")
        if complete and len(events) != expected:
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
        self.check_booking_runs(call_id, status)

    def check_booking_runs(self, call_id, status):
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


def events_of(response):
    """Returns the events of a response; none of an error response or without a response."""
    if response is None or response.status != 200:
        return []
    return [part for part in response.body.decode().split("\n\n") if part]


def version_of(event):
    return event.split("data: ")[1].split()[0]
