"""A soak of the edge with planned stops in series, beside releases, reloads and slower servers.

Callers keep connections until they end, or open new ones through a balancer; streams are of very
different lengths and paces, which also change from one moment to the next. What is checked besides
the promises of the other soak: requests get whole answers around each SIGTERM and SIGHUP, as
`tests.planned_stops` states it.
"""

import asyncio
import contextlib
import math
import random
import signal
from dataclasses import dataclass

from tests.edge_builders import API_KEY
from tests.edge_node import EdgeNode
from tests.edge_soak_faults import Soak
from tests.planned_stops import Disruption, PlannedSignal, PlannedWork, SentRequest, ServerRun
from tests.platform_standin import encode_chunk, read_response, response_head

_NODES = 6
_ZONES = 2
_GRACE_S = 8.0
_CALLERS_PER_NODE = 12
_MAX_CALLERS = 96
_MAX_PAUSE_BETWEEN_FAULTS_S = 2.5
# One of so many seeds has unplanned faults as well.
_KILLS_IN_ONE_RUN_OF = 5
# Before the first fault, nodes observe how long requests take.
_WARM_UP_S = 4.0
_PROBE_INTERVAL_S = 1.0
_MISSES = 2
_INTERPRETER_START_S = 1.0
# Last line of a process that got the SIGTERM before it served callers.
_STOPPED_EARLY = "stopped by a signal while starting\n"
# Requests that are in progress when the run ends may take this long.
_FINISH_S = 6.0
# A caller waits this much longer than its deadline.
_PATIENCE_S = 2.0
_RECONNECT_S = 0.05
# Configurations that were replaced for at most this long may be in force, as may one that is
# published while a request is on its way.
_APPLY_S = 2.0
_ON_THE_WAY_S = 0.2
# How long the streams of a route keep a length and a pace, and the longest of either, times usual.
_SHAPE_PERIOD_S = (0.5, 4.0)
_MAX_STRETCH = 40.0
# Streams that are stretched take at most this share of the time that they have, by intention.
_STRETCHED_SHARE = 0.7
_MAX_STALL_S = 0.1
_STALL_CHECK_S = 0.02
# For requests that were cut outside of planned work.
_NO_SIGNAL = PlannedSignal("", -math.inf)


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests of one route; streams have `events`, a median, up to `max_events`, `gap_s` apart."""

    route: str
    service: str
    deadline_ms: int
    timeout_ms: int
    events: int = 0
    spread: float = 0.0
    max_events: int = 0
    gap_s: float = 0.0
    body_bytes: tuple[int, int] = (0, 0)

    @property
    def path(self):
        return f"/{self.route}/x"

    def draw_events(self, source):
        return min(
            self.max_events, max(1, round(self.events * source.lognormvariate(0, self.spread)))
        )

    def wire_route(self):
        """Returns the route's entry of the configuration."""
        route = {
            "name": self.route,
            "host": "host.example",
            "prefix": f"/{self.route}/",
            "type": "streaming" if self.events else "non_idempotent",
            "timeout-ms": self.timeout_ms,
            "target-latency-ms": 800,
            "priority": 1,
            "weighted-services": [{"service": self.service, "weight": 1}],
            "max-attempts": 3 if self.service == "models" else 1,
        }
        if self.events:
            route |= {"resumable": self.service == "models", "target-gap-ms": 250}
        return route


_BOOK = RequestKind("book", "desk", 4_000, 800)
_KINDS = {
    kind.route: kind
    for kind in (
        _BOOK,
        RequestKind("chat", "models", 4_000, 15_000, 20, 0.0, 20, 0.04),
        RequestKind("short", "letters", 3_000, 15_000, 4, 0.0, 4, 0.023),
        RequestKind("reply", "letters", 12_000, 12_000, 10, 0.1, 14, 0.02),
        RequestKind("middle", "letters", 12_000, 12_000, 50, 0.1, 70, 0.02),
        RequestKind("long", "contracts", 15_000, 15_000, 64, 0.5, 187, 0.023, (12_000, 72_000)),
    )
}
# How often callers choose each.
_WEIGHTS = {"book": 2, "chat": 1, "short": 2, "reply": 3, "middle": 3, "long": 3}


class Balancer:
    """Chooses nodes for new connections, as the platform does: from what readiness probes said."""

    def __init__(self, nodes):
        self.nodes = nodes
        # Probes in a row that a node has missed.
        self.misses = dict.fromkeys(nodes, 0)

    async def run(self):
        while True:
            await asyncio.gather(
                *(self.probe(node) for node in self.nodes), asyncio.sleep(_PROBE_INTERVAL_S)
            )

    async def probe(self, node):
        status = 0
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_PROBE_INTERVAL_S):
                reader, writer = await asyncio.open_connection(*split_address(node.readiness))
                try:
                    writer.write(b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n")
                    status = (await read_response(reader)).status
                finally:
                    writer.close()
        self.misses[node] = 0 if status == 200 else self.misses[node] + 1

    def choose(self, source):
        rotation = [node for node in self.nodes if self.misses[node] < _MISSES]
        return source.choice(rotation if 2 * len(rotation) >= len(self.nodes) else self.nodes)


def split_address(address):
    host, _colon, port = address.rpartition(":")
    return host, int(port)


class StopSoak(Soak):
    """One run with planned stops; nodes exit within `stop_limit_s`, which is the grace period."""

    services = ("models", "desk", "letters", "contracts")
    warm_up_s = _WARM_UP_S
    max_pause_between_faults_s = _MAX_PAUSE_BETWEEN_FAULTS_S

    def __init__(self, seed, directory, node_count=None, stop_limit_s=_GRACE_S, kills=None):
        super().__init__(seed, directory, node_count or _NODES)
        self.seed = seed
        self.stop_limit_s = stop_limit_s
        self.kills = seed % _KILLS_IN_ONE_RUN_OF == 0 if kills is None else kills
        self.callers = min(_MAX_CALLERS, _CALLERS_PER_NODE * self.node_count)
        self.balancer = None
        self.background = []
        self.requests = []
        # By call id.
        self.server_runs = {}
        self.signals = []
        self.stops_in_progress = 0
        self.overlapping_stops = 0
        self.disruptions = []
        # When each configuration was published, with its timeouts in ms by route.
        self.published = []
        # Of its own, so that it changes none of the other choices of a seed.
        self.shape_source = random.Random(f"shapes {seed}")
        # By route: times the usual number of events, and the usual time between two.
        self.lengths = dict.fromkeys(_KINDS, 1.0)
        self.gaps = dict.fromkeys(_KINDS, 1.0)
        # By service: times the usual pace.
        self.slowness = dict.fromkeys(self.services, 1.0)

    def now_s(self):
        return asyncio.get_running_loop().time()

    async def run(self, seconds):
        try:
            await super().run(seconds)
        finally:
            for task in self.background:
                task.cancel()

    def first_configuration(self):
        usual = super().first_configuration()
        added = [{"name": name, "max-connections": 200} for name in ("letters", "contracts")]
        configuration = usual | {
            "routes": [kind.wire_route() for kind in _KINDS.values()],
            "services": usual["services"] + added,
        }
        self.record_published(configuration)
        return configuration

    def record_published(self, configuration):
        timeouts = {route["name"]: route["timeout-ms"] for route in configuration["routes"]}
        self.published.append((self.now_s(), timeouts))

    def create_node(self, number, seeds):
        return EdgeNode(
            number,
            self.directory,
            self.store.address,
            seeds,
            f"zone-{number % _ZONES}",
            self.stop_limit_s,
        )

    async def wait_until_ready(self):
        """Also starts the balancer, once all nodes are ready for the first time."""
        await super().wait_until_ready()
        if self.balancer is None:
            self.balancer = Balancer(self.nodes)
            self.background = [
                asyncio.create_task(task)
                for task in (self.balancer.run(), self.watch_stalls(), self.vary_streams())
            ]

    async def watch_stalls(self):
        """Counts how often this process was held up, which makes its own times wrong."""
        while True:
            began_s = self.now_s()
            await asyncio.sleep(_STALL_CHECK_S)
            if self.now_s() - began_s > _MAX_STALL_S:
                self.outcomes["stall of the soak"] += 1

    async def vary_streams(self):
        """Gives the streams of one route after the other another length and pace.

        Not in the warm-up, so that nodes observe the usual ones first.
        """
        source = self.shape_source
        await asyncio.sleep(self.warm_up_s)
        while True:
            route = source.choice([kind.route for kind in _KINDS.values() if kind.events])
            stretch = math.exp(source.uniform(0.0, math.log(_MAX_STRETCH)))
            share = source.random()
            self.lengths[route], self.gaps[route] = stretch**share, stretch ** (1.0 - share)
            await asyncio.sleep(source.uniform(*_SHAPE_PERIOD_S))
            if source.random() < 0.5:
                self.lengths[route] = self.gaps[route] = 1.0

    def shape_stream(self, kind, source):
        """Returns the number of events of a new stream, and the seconds between two."""
        events, gap_s = kind.draw_events(source), kind.gap_s * self.gaps[kind.route]
        most = _STRETCHED_SHARE * min(kind.deadline_ms, kind.timeout_ms) / 1000 / gap_s
        stretched = round(min(events * self.lengths[kind.route], most))
        return max(events, stretched), gap_s

    # Servers

    def answer_of(self, service):
        answer = self.answer_booking if service == "desk" else self.answer_events

        async def answer_recorded(server, headers, reader, writer):
            call_id = headers.get("x-tanagerworks-attempt-id")
            run = ServerRun(server.server_id, self.now_s())
            if call_id is not None:
                self.server_runs.setdefault(call_id, []).append(run)
            try:
                await answer(server, headers, reader, writer)
            finally:
                run.ended_s = self.now_s()
                run.broke_off = getattr(server, "crashed", False)

        return answer_recorded

    async def answer_events(self, server, headers, reader, writer):
        if "x-events" not in headers:
            await self.answer_stream(server, headers, reader, writer)
            return
        if self.is_misdirected(server, headers, writer):
            return
        kind = ("content-type: text/event-stream", "transfer-encoding: chunked")
        writer.write(response_head(headers, "200 OK", *kind))
        gap_s = float(headers["x-gap-ms"]) / 1000
        for number in range(int(headers.get("last-event-id", 0)) + 1, int(headers["x-events"]) + 1):
            await asyncio.sleep(gap_s * self.slowness[server.service])
            event = f"id: {number}\ndata: {server.version} {number}\n\n"
            writer.write(encode_chunk(event.encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    # Faults

    def faults(self):
        faults = [
            self.stop_one,
            self.stop_one,
            self.stop_several,
            self.slow_while_stopping,
            self.slow_while_stopping,
            self.stop_in_series,
            self.stop_after_start,
            self.slow_service,
            self.slow_service,
            self.change_timeout,
            self.reload_node,
            self.replace_server,
            self.release,
        ]
        if not self.signals:
            # Each run has stops that overlap.
            return [self.stop_several, self.slow_while_stopping]
        if self.kills:
            faults += [self.kill_node, self.pause_node, self.crash_server, self.silence_store]
        return faults

    async def stop(self, node):
        """Stops a node as the platform does, kills it after the grace period, and starts it."""
        if node.restarting.locked():
            return
        async with node.restarting:
            planned = PlannedSignal(node.name, self.now_s())
            self.signals.append(planned)
            self.stops_in_progress += 1
            self.overlapping_stops += self.stops_in_progress > 1
            try:
                async with asyncio.timeout(_GRACE_S):
                    await node.end(signal.SIGTERM)
            except TimeoutError:
                self.outcomes["node killed after its grace period"] += 1
                await node.end(signal.SIGKILL)
            self.stops_in_progress -= 1
            planned.serving = not node.log.read_text().endswith(_STOPPED_EARLY)
            await node.start()
            node.last_fault_s = self.now_s()

    async def stop_one(self):
        await self.stop(self.random.choice(self.nodes))

    async def stop_several(self):
        """Stops two of the nodes or more, up to all but one, within a second and a half."""
        count = self.random.randint(2, max(2, len(self.nodes) - 1))
        stops = []
        for node in self.random.sample(self.nodes, count):
            stops.append(asyncio.create_task(self.stop(node)))
            await asyncio.sleep(self.random.uniform(0.0, 1.5 / count))
        await asyncio.gather(*stops)

    async def slow_while_stopping(self):
        """Stops several nodes; servers become slower meanwhile."""
        stopping = asyncio.create_task(self.stop_several())
        await asyncio.sleep(self.random.uniform(0.0, 4.0))
        await self.slow_service()
        await stopping

    async def stop_in_series(self):
        for node in self.random.sample(self.nodes, 2):
            await self.stop(node)

    async def stop_after_start(self):
        node = self.random.choice(self.nodes)
        await self.stop(node)
        await asyncio.sleep(self.random.uniform(0.1, 3.0))
        await self.stop(node)

    async def slow_service(self):
        """Makes the servers of a service slower for some seconds."""
        service = self.random.choice(["letters", "contracts"])
        factor = self.random.uniform(2.0, 4.0)
        self.slowness[service] = factor
        await asyncio.sleep(self.random.uniform(2.0, 8.0))
        if self.slowness[service] == factor:
            self.slowness[service] = 1.0

    async def change_timeout(self):
        """Publishes a configuration with another timeout of one route of streams."""
        changed = self.random.choice([kind.route for kind in _KINDS.values() if kind.events])
        timeout_ms = round(_KINDS[changed].timeout_ms * self.random.choice([0.4, 0.7, 1.0, 1.0]))
        routes = [
            route | ({"timeout-ms": timeout_ms} if route["name"] == changed else {})
            for route in self.configuration["routes"]
        ]
        version = self.configuration["version"] + 1
        self.configuration = self.configuration | {"version": version, "routes": routes}
        self.store.put("op/config", self.configuration)
        self.record_published(self.configuration)

    async def reload_node(self):
        """Sends a SIGHUP, unless the process may not have reached the first line of its script."""
        node = self.random.choice(self.nodes)
        age_s = self.now_s() - node.last_fault_s
        if age_s > _INTERPRETER_START_S and not node.restarting.locked():
            self.signals.append(PlannedSignal(node.name, self.now_s(), stop=False))
            node.signal(signal.SIGHUP)

    async def release(self):
        """Replaces all servers of a service, one after the other, by those of a new version."""
        service = self.random.choice(self.services)
        self.version_number += 1
        version = f"v{self.version_number}"
        for server in [s for s in self.servers.values() if s.service == service]:
            if server.leaving:
                continue
            server.leaving = True
            await self.add_server(service, version)
            self.put_entry(server, "draining")
            await asyncio.sleep(1.2)
            self.remove_server(server)

    def record_disruption(self, subject, seconds):
        now_s = self.now_s()
        self.disruptions.append(Disruption(subject, now_s, now_s + seconds))

    async def kill_node(self):
        node = self.random.choice(self.nodes)
        if not node.restarting.locked():
            self.record_disruption(node.name, 0.0)
            await node.restart(signal.SIGKILL)

    async def pause_node(self):
        node = self.random.choice(self.nodes)
        if node.restarting.locked():
            return
        async with node.restarting:
            began_s = self.now_s()
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.1, 3.0))
            node.signal(signal.SIGCONT)
            self.disruptions.append(Disruption(node.name, began_s, self.now_s()))

    async def crash_server(self):
        server = self.choose_staying_server()
        self.record_disruption(server.server_id, 0.0)
        server.crashed = True
        server.crash()
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        self.remove_server(server)
        await self.add_server(server.service, server.version)

    async def silence_store(self):
        began_s = self.now_s()
        await super().silence_store()
        self.disruptions.append(Disruption("store", began_s, self.now_s()))

    # Callers

    async def call(self, number):
        """Sends requests until the run ends, as callers of four sorts do."""
        source = random.Random(self.seed * 1000 + number)
        calling = asyncio.create_task(self.call_repeatedly(source, number % 4))
        while not self.stopping and not calling.done():
            await asyncio.wait([calling], timeout=0.2)
        _done, late = await asyncio.wait([calling], timeout=_FINISH_S)
        if late:
            self.outcomes["in progress at the end"] += 1
            calling.cancel()
        else:
            calling.result()

    async def call_repeatedly(self, source, sort):
        connection = None
        while not self.stopping:
            if connection is None:
                connection = await self.connect(source)
                if connection is None:
                    await asyncio.sleep(_RECONNECT_S)
                    continue
            node, reader, writer = connection
            kind = _KINDS[source.choices([*_WEIGHTS], [*_WEIGHTS.values()])[0]]
            kept = await self.send(source, kind, node, reader, writer)
            if not kept or sort == 0:
                writer.close()
                connection = None
            # Callers of one sort send the next request at once, others after shorter or long times.
            if sort != 1:
                await asyncio.sleep(source.uniform(0.0, 3.0 if sort == 3 else 0.3))
        if connection is not None:
            connection[2].close()

    async def connect(self, source):
        """Opens a connection to a node that the balancer chooses; returns None if that fails."""
        node = self.balancer.choose(source)
        try:
            async with asyncio.timeout(1.0):
                return node, *await asyncio.open_connection(*split_address(node.callers))
        except (OSError, TimeoutError):
            self.outcomes["no connection"] += 1
            return None

    async def send(self, source, kind, node, reader, writer):
        """Sends one request and records its end; returns whether the connection may be kept."""
        call_id = self.next_call_id()
        events, gap_s = self.shape_stream(kind, source) if kind.events else (0, 0.0)
        body = b"b" * source.randint(*kind.body_bytes)
        writer.write(self.encode_request(kind, call_id, events, gap_s, body))
        sent_s = self.now_s()
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000 + _PATIENCE_S):
                with contextlib.suppress(ConnectionError):
                    await writer.drain()
                    sent_s = self.now_s()
                response = await read_response(reader)
        except TimeoutError:
            self.outcomes[f"{kind.route} without end"] += 1
            return False
        limit_s = self.limit_s(kind, sent_s)
        ended_s = self.now_s()
        self.requests.append(
            SentRequest(call_id, node.name, sent_s, ended_s, response.complete, limit_s)
        )
        self.check_answer(kind, call_id, events, response)
        return response.complete and response.headers.get("connection") != "close"

    def encode_request(self, kind, call_id, events, gap_s, body):
        lines = [
            f"POST {kind.path} HTTP/1.1",
            "host: host.example",
            f"x-tanagerworks-attempt-id: {call_id}",
            f"x-tanagerworks-deadline-ms: {kind.deadline_ms}",
            f"authorization: Bearer {API_KEY}",
            f"content-length: {len(body)}",
        ]
        if events:
            lines += [f"x-events: {events}", f"x-gap-ms: {1000 * gap_s}"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def limit_s(self, kind, sent_s):
        """Returns the shorter of the deadline and the timeouts that may have been in force."""
        old = [timeouts for at_s, timeouts in self.published if at_s <= sent_s - _APPLY_S][-1:]
        recent = [
            t for at_s, t in self.published if sent_s - _APPLY_S < at_s < sent_s + _ON_THE_WAY_S
        ]
        return min(kind.deadline_ms, *(t[kind.route] for t in old + recent)) / 1000

    def check_answer(self, kind, call_id, events, response):
        status = response.status if response.complete else f"{response.status} cut"
        self.outcomes[f"{kind.route} {status}"] += 1
        if kind is _BOOK:
            self.check_booking_runs(call_id, response.status)
        elif response.status == 200:
            received = [part for part in response.body.decode().split("\n\n") if part]
            self.check_stream(call_id, received, response.complete, events)

    def check_at_end(self):
        """Adds the requests that were lost around planned work, with what their nodes logged."""
        work = PlannedWork(self.signals, self.server_runs, self.disruptions)
        cuts = work.find_cut(self.requests)
        logs = {node.name: node.log.read_text().splitlines() for node in self.nodes}
        for lost in cuts:
            if lost.excuse is not None:
                self.outcomes[f"cut: {lost.excuse}"] += 1
                continue
            request = lost.request
            relative = [
                f"{name} {1000 * (at_s - lost.signal.sent_s):.0f} ms after it"
                for name, at_s in [("sent", request.sent_s), ("ended", request.ended_s)]
                + [(f"work of {run.server} ended", run.ended_s) for run in lost.runs]
            ]
            work_name = "SIGTERM" if lost.signal.stop else "SIGHUP"
            self.violations.append(
                f"{request.call_id}: lost around a {work_name} of {request.node}:"
                f" {', '.join(relative)}; limit {request.limit_s} s"
            )
            self.print_log(request, logs)
        # Those are no violations of the rule, but show what to look for in the runs without kills.
        around = {cut.request.call_id for cut in cuts}
        for request in filter(work.is_cut, self.requests):
            if request.call_id in around or work.find_excuse(request, _NO_SIGNAL) is not None:
                continue
            self.outcomes["cut elsewhere"] += 1
            self.print_log(request, logs)

    def print_log(self, request, logs):
        for line in logs[request.node]:
            if f'"{request.call_id}"' in line:
                print(line)
