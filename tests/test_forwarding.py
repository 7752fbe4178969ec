"""Fault: a node is cut off from all servers while callers and other nodes reach it.

Two complete processes have the same store contents, but the servers that one of them knows are
links that a test cuts; the other reaches the servers themselves.
"""

import asyncio
import random
import socket

import pytest
from adapter.backend_http import BackendHttp
from adapter.caller_http import CallerHttp
from adapter.store import MetadataStore

from tanagerworks.dispatch.forwarding import choose_node
from tanagerworks.edge.forwarded_headers import (
    ForwardedRequest,
    parse_error,
    parse_forwarded_request,
    take_software,
    to_forwarded_response,
)
from tanagerworks.edge.http_messages import RequestHead
from tanagerworks.edge.process import EdgeProcess, PlatformAdapter
from tanagerworks.errors import BadCallError
from tests.edge_builders import peer
from tests.edge_process_runner import SettingsSeeds, edge_settings
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    ServerStandin,
    StoreStandin,
    never_respond,
    refuse,
    request_bytes,
    respond_with,
    response_head,
    run_scenario,
    send_request,
    stream_events,
    wait_until,
)
from tools.fleet import free_address

ROUTES = [
    WIRE_CONFIGURATION["routes"][0]
    | {"weighted-services": [{"service": "models", "weight": 1}], "timeout-ms": 4000},
    WIRE_CONFIGURATION["routes"][1] | {"timeout-ms": 4000},
    WIRE_CONFIGURATION["routes"][1]
    | {"name": "r-3", "prefix": "/read/", "type": "idempotent", "max-attempts": 2},
]
LONG = ("x-tanagerworks-deadline-ms: 4000",)


class Link:
    """A way to a server that can be cut: new connections are refused, or hang."""

    def __init__(self, server):
        self.server = server
        self.listener = None
        self.fillers = []
        self.writers = set()
        self.port = 0

    async def open(self):
        self.listener = await asyncio.start_server(self._relay, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    async def _relay(self, reader, writer):
        onward = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.writers |= {writer, onward[1]}
        pumps = [self._pump(reader, onward[1]), self._pump(onward[0], writer)]
        await asyncio.gather(*pumps, return_exceptions=True)

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()

    def refuse(self, reset):
        self.listener.close()
        if reset:
            for writer in self.writers:
                writer.transport.abort()

    def hang(self):
        """Fills the queue of a listening socket, so that further connections get no answer."""
        self.listener.close()
        full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind(("127.0.0.1", self.port))
        full.listen(0)
        self.fillers = [full]
        for _filler in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    async def mend(self):
        self.writers.clear()
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        await self.open()


class Fleet:
    """Nodes in one loop; the first reaches the servers by links only."""

    def __init__(self, scripts):
        self.scripts = scripts
        self.links = []
        self.servers = []
        self.processes = []
        self.running = []

    async def start(self, count=2):
        for name in self.scripts:
            # Nodes that start list the caches of model servers.
            self.servers.append(await ServerStandin(name, refuse("404 Not Found")).start())
        self.links = [await Link(server).open() for server in self.servers]
        for number in range(count):
            ways = self.servers if number else self.links
            await self.start_process(number, [way.port for way in ways])
        await wait_until(lambda: all(process.is_ready() for process in self.processes))
        listed = [server for server in self.servers if server.server_id.startswith("m")]
        await wait_until(lambda: all(len(server.requests) == count for server in listed))
        for server, script in zip(self.servers, self.scripts.values(), strict=True):
            server.script = list(script)
            server.requests.clear()
        address = self.processes[0].settings.addresses.peers
        for process in self.processes[1:]:
            process.peer_finder.settings.seeds.append(address)
        await wait_until(
            lambda: all(self.peers_of(process) == count - 1 for process in self.processes)
        )
        return self

    def peers_of(self, process):
        now_s = asyncio.get_running_loop().time()
        return len(list(process.dispatcher.peer_table.forwarding_peers(now_s)))

    async def start_process(self, number, ports):
        store = await StoreStandin().start()
        store.page_size = 100
        store.put("op/config", WIRE_CONFIGURATION | {"routes": ROUTES})
        for server, port in zip(self.servers, ports, strict=True):
            service = "models" if server.server_id.startswith("m") else "desk"
            entry = {"address": f"127.0.0.1:{port}", "service": service, "cold-remaining-ms": 0}
            store.put(f"servers/{server.server_id}", WIRE_ENTRY | entry)
        settings = edge_settings(store, node=f"node-{number}", zone=f"zone-{number}")
        addresses = settings.addresses.model_copy(update={"forwarding": free_address()})
        settings = settings.model_copy(update={"addresses": addresses})
        adapter = PlatformAdapter(
            MetadataStore(store.address), CallerHttp(), BackendHttp(), SettingsSeeds(settings)
        )
        process = EdgeProcess(settings, adapter, lambda: settings)
        self.processes.append(process)
        self.running.append(asyncio.get_running_loop().create_task(process.run()))
        await wait_until(lambda: process.tasks or self.running[-1].done())
        if self.running[-1].done():
            # Shows why the process did not start.
            self.running[-1].result()

    async def stop(self):
        for process in self.processes:
            process.settings = process.settings.model_copy(
                update={"bounds": process.settings.bounds.model_copy(update={"stop_limit_s": 1.0})}
            )
            process.stop_requested.set()
        for running in self.running:
            running.cancel()
        for server in self.servers:
            server.server.close()

    @property
    def first(self):
        return self.processes[0]

    def is_cut_off(self):
        return self.first.pipeline.reachability_check.is_cut_off

    async def send(self, path, call_id, method="GET", *extra, body=b""):
        raw = request_bytes(path, call_id, method, body, *extra)
        return await send_request(self.first.caller_server, raw)

    async def cut(self, how):
        for link in self.links:
            if how == "hang":
                link.hang()
            else:
                link.refuse(how == "reset")

    def runs(self, call_id):
        return sum(
            headers["x-tanagerworks-attempt-id"] == call_id
            for server in self.servers
            for _line, headers in server.requests
        )


def run_fleet(scenario, scripts=None, count=2):
    scripts = scripts or {
        "d0": [respond_with()],
        "d1": [respond_with()],
        "m0": [stream_events(1, 3)],
        "m1": [stream_events(1, 3)],
    }

    async def run():
        fleet = await Fleet(scripts).start(count)
        try:
            async with asyncio.timeout(30):
                return await scenario(fleet)
        finally:
            await fleet.stop()

    return asyncio.run(run())


@pytest.mark.parametrize("how", ["refuse", "reset", "hang"])
def test_callers_of_a_node_that_is_cut_off_are_served_by_another_one(how):
    """Guards against callers who are refused because their node reaches no server (RECOVER)."""

    async def scenario(fleet):
        statuses = []
        await fleet.cut(how)
        for number in range(10):
            for path, method in (("/book/x", "POST"), ("/read/x", "GET"), ("/chat/x", "POST")):
                call_id = f"{path[1:5]}-{number}"
                response = await fleet.send(path, call_id, method, body=b"body")
                statuses.append((response.status, response.complete, fleet.runs(call_id)))
                assert not [name for name in response.headers if name.startswith("tanager-")]
        assert fleet.is_cut_off()
        for link in fleet.links:
            await link.mend()
        await wait_until(lambda: not fleet.is_cut_off())
        response = await fleet.send("/book/x", "after", "POST")
        assert response.status == 200
        # The node uses its own ways again.
        assert not fleet.first.pipeline.forwarder.in_progress.total()
        assert any(link.writers for link in fleet.links)
        return statuses

    assert set(run_fleet(scenario)) == {(200, True, 1)}


def test_whole_fleet_that_is_cut_off_refuses_at_once_and_passes_nothing_round():
    """Guards against requests that go round between nodes, or wait for their deadlines."""

    async def scenario(fleet):
        for server in fleet.servers:
            server.server.close()
        await fleet.cut("refuse")
        loop = asyncio.get_running_loop()
        response = await fleet.send("/book/x", "first", "POST")
        assert response.status == 503
        await fleet.send("/book/x", "second", "POST")
        await wait_until(lambda: all(fleet.peers_of(process) == 0 for process in fleet.processes))
        began_s = loop.time()
        response = await fleet.send("/book/x", "third", "POST")
        return response, loop.time() - began_s

    response, took_s = run_fleet(scenario)
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0.0
    assert b"servers_unreachable" in response.body
    assert took_s < 1.0


def test_request_that_may_have_run_is_not_forwarded():
    """Guards against a request that runs twice as its server was cut off while it ran."""

    async def scenario(fleet):
        sending = asyncio.create_task(fleet.send("/book/x", "lost", "POST"))
        await wait_until(lambda: fleet.runs("lost"))
        await fleet.cut("reset")
        response = await sending
        served = await fleet.send("/book/x", "next", "POST")
        return response.status, served.status, fleet.runs("lost")

    scripts = {name: [never_respond(), respond_with()] for name in ("d0", "d1")}
    status, next_status, runs = run_fleet(scenario, scripts | {"m0": [stream_events(1, 3)]})
    assert runs == 1
    assert status == 502
    assert next_status == 200


def test_stream_goes_on_at_another_node_at_its_version():
    """Guards against streams that end, or join versions, when their node is cut off."""

    async def pause(server, headers, reader, writer):
        if "last-event-id" in headers:
            await stream_events(1, 5)(server, headers, reader, writer)
            return
        await stream_events(1, 2)(server, headers, reader, _Open(writer))
        await reader.read()
        raise ConnectionResetError

    async def scenario(fleet):
        reader, writer = await asyncio.open_connection(
            *fleet.first.caller_server.listener.sockets[0].getsockname()
        )
        writer.write(request_bytes("/chat/x", "stream", "POST", b"", *LONG))
        begun = await reader.readuntil(b"piece 2\n\n")
        await fleet.cut("reset")
        rest = await reader.readuntil(b"0\r\n\r\n")
        writer.close()
        users = [server for server in fleet.servers if server.requests]
        assert len(users) == 2, "a server that has had the request does not get it again"
        resumed = [
            headers
            for server in fleet.servers
            for _line, headers in server.requests
            if "last-event-id" in headers
        ]
        return begun + rest, resumed

    scripts = {"m0": [pause], "m1": [pause], "d0": [respond_with()]}
    answer, resumed = run_fleet(scenario, scripts)
    assert [answer.count(b"piece %d\n" % number) for number in range(1, 6)] == [1] * 5
    assert [headers["last-event-id"] for headers in resumed] == ["2"]


class _Open:
    """Passes writes on except the end of the body, so that a stream stays open."""

    def __init__(self, writer):
        self.writer = writer

    def write(self, data):
        if data != b"0\r\n\r\n":
            self.writer.write(data)

    async def drain(self):
        await self.writer.drain()


def test_caller_that_leaves_ends_its_request_at_the_other_node():
    """Guards against servers that work for callers who have left a node that is cut off."""

    async def scenario(fleet):
        await fleet.cut("refuse")
        assert (await fleet.send("/read/x", "first")).status == 200
        for server in fleet.servers:
            server.script = [never_respond()]
        reader, writer = await asyncio.open_connection(
            *fleet.first.caller_server.listener.sockets[0].getsockname()
        )
        writer.write(request_bytes("/book/x", "left", "POST"))
        await wait_until(lambda: fleet.runs("left"))
        writer.close()
        await wait_until(lambda: any(server.closed for server in fleet.servers))
        return fleet.runs("left")

    assert run_fleet(scenario) == 1


def test_refusal_of_one_node_leads_to_the_next():
    """Guards against callers who are refused as one node stops or is short of capacity."""

    async def scenario(fleet):
        await fleet.cut("refuse")
        assert (await fleet.send("/read/x", "first")).status == 200
        fleet.processes[1].pipeline.begin_shutdown(0.0, 0.0)
        statuses = {(await fleet.send("/book/x", f"c{n}", "POST")).status for n in range(6)}
        fleet.processes[2].pipeline.begin_shutdown(0.0, 0.0)
        return statuses, await fleet.send("/book/x", "last", "POST")

    statuses, last = run_fleet(scenario, count=3)
    assert statuses == {200}
    assert last.status == 503
    assert float(last.headers["retry-after"]) < 0.5


def test_forwarding_port_serves_known_nodes_only():
    """Guards against callers who set the headers between nodes themselves."""

    async def scenario(fleet):
        other = fleet.processes[1]
        raw = request_bytes("/book/x", "plain", "POST")
        missing = await send_request(other.forwarding_server, raw)
        later = ForwardedRequest("node-0", 1.0, 99).to_headers()
        lines = [f"{name.decode()}: {value.decode()}" for name, value in later]
        newer = await send_request(
            other.forwarding_server, request_bytes("/book/x", "newer", "POST", b"", *lines)
        )
        other.dispatcher.peer_table.addresses.clear()
        stranger = await send_request(other.forwarding_server, raw)
        return missing.status, newer.status, stranger.status, fleet.runs("plain")

    assert run_fleet(scenario) == (400, 503, 403, 0)


def test_requests_are_divided_among_the_nodes_of_the_zone():
    """Pattern: a node forwards all its requests; its zone comes first, all nodes get their part."""
    peers = [peer(name, zone="zone-a") for name in "abc"] + [peer("far", zone="zone-b")]
    in_progress = {}
    generator = random.Random(1)
    for _request in range(30):
        chosen = choose_node(peers, "zone-a", set(), in_progress, generator)
        in_progress[chosen.name] = in_progress.get(chosen.name, 0) + 1
    assert in_progress == {"a": 10, "b": 10, "c": 10}
    assert choose_node(peers, "zone-a", set("abc"), {}, generator).name == "far"
    assert choose_node(peers, "zone-a", {*"abc", "far"}, {}, generator) is None


def test_headers_between_nodes_carry_all_that_the_other_node_needs():
    """Guards against an attempt that is sent to a server again, or a stream at another version."""
    sent = ForwardedRequest("node-1", 1.5, 7, 1, frozenset({"a", "b"}), "42", "v2")
    head = RequestHead(b"GET", b"/x", sent.to_headers(), False)
    assert parse_forwarded_request(head) == sent
    with pytest.raises(BadCallError):
        parse_forwarded_request(RequestHead(b"GET", b"/x", sent.to_headers()[:2], False))
    spoofed = [(b"tanager-error", b"no_capacity"), (b"content-type", b"x")]
    headers = to_forwarded_response(spoofed, "v2")
    assert parse_error(headers) is None
    assert take_software(headers) == ([(b"content-type", b"x")], "v2")
    assert take_software([(b"content-type", b"x")])[1] is None


def test_request_for_a_brittle_server_goes_to_a_node_that_may_send_to_it():
    """Guards against a brittle server that gets requests of more nodes than it can bear."""

    async def answer(server, headers, reader, writer):
        writer.write(response_head(headers, "200 OK", "tanager-software: v1", "content-length: 0"))

    async def scenario(port, pipeline, servers):
        other = await ServerStandin("node", answer).start()
        now_s = asyncio.get_running_loop().time()
        table = pipeline.dispatcher.peer_table
        for number in range(59):
            fields = {"forwarding_port": other.port, "message_interval_s": 9.0}
            table.record_message(peer(f"peer-{number:02}", now_s, **fields))
        state = pipeline.dispatcher.directory.servers["server-0"]
        before = await send_request(port, request_bytes("/desk-read/x", "c1"))
        state.record_limit(None, now_s + 1.0, 2.0)
        after = await send_request(port, request_bytes("/desk-read/x", "c2"))
        other.server.close()
        return before.status, after.status, len(servers[0].requests), len(other.requests)

    assert run_scenario([[respond_with()]], scenario) == (200, 200, 1, 1)
