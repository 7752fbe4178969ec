"""Stand-ins for the platform's store and for backend servers, with their failures.

They use the published wire formats on loopback. The store runs on the product's HTTP server; the
backend servers write raw bytes, so that they can send invalid responses.
"""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

from adapter.backend_http import BackendHttp
from adapter.caller_http import CallerHttp

from tanagerworks.edge.http_server import HttpServer
from tanagerworks.edge.pipeline import Pipeline
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.published.model import CallerLimits
from tests.edge_builders import API_KEY, PLAIN_SERVICE, dispatcher, server_entry

WIRE_CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Host.example",
            "prefix": "/chat/",
            "type": "streaming",
            "timeout-ms": 15000,
            "target-latency-ms": 800,
            "priority": 1,
            "weighted-services": [
                {"service": "models", "weight": 90},
                {"service": "desk", "weight": 10},
            ],
            "max-attempts": 2,
            "anonymous": False,
            "session-affinity": True,
            "resumable": True,
            "target-gap-ms": 250,
        },
        {
            "name": "r-2",
            "host": "host.example",
            "prefix": "/book/",
            "type": "non_idempotent",
            "timeout-ms": 800,
            "target-latency-ms": 300,
            "priority": 2,
            "service": "desk",
            "max-attempts": 1,
        },
    ],
    "services": [
        {
            "name": "models",
            "health-path": "/healthz",
            "max-connections": 370,
            "cold-start-s": 3.0,
            "cold-per-s": 12.0,
            "engine": {"capacity": 64, "kv-capacity": 537879, "new-field": 1},
        },
        {"name": "desk", "max-connections": 110},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [{"name": "customer-1", "api-keys": [API_KEY, "key-2"], "priority": 1}],
}

WIRE_ENTRY = {
    "service": "models",
    "address": "127.0.0.1:8080",
    "zone": "zone-a",
    "version": "v1",
    "capacity": 64,
    "phase": "ready",
    "cold-remaining-ms": 1500,
    "sequence": 4,
    "born": 1700000000000,
}


def encode_with_changes(document, **changes):
    """Returns a document as JSON with some fields changed; `...` removes a field."""
    merged = document | changes
    return json.dumps({key: value for key, value in merged.items() if value is not ...}).encode()


async def wait_until(condition):
    """Waits until `condition()` is true; fails after 10 s."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


class StoreStandin:
    """The store: items, their revision, a history that can be compacted, and failure modes."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 0
        self.era = 1
        self.compacted = 0
        self.page_size = 2
        # "" serves; "busy" responds with 503; "silent" never responds; "garbage" sends no JSON.
        self.mode = ""
        # Timeout of the routes that tests publish here; None for that of `WIRE_CONFIGURATION`.
        self.route_timeout_ms = None
        self.calls = 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle_request, CallerLimits)
        self.address = ""

    async def start(self):
        await self.server.listen("127.0.0.1", 0, 16)
        port = self.server.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._record(item)

    def delete(self, key):
        self.revision += 1
        del self.items[key]
        self._record({"key": key, "revision": self.revision, "deleted": True})

    def compact(self):
        self.compacted = self.revision
        self.history.clear()

    def copy(self):
        """Returns a copy of the items, from which `restore` brings the store back."""
        return dict(self.items), self.revision

    def restore(self, copied):
        """Goes back to a copy: later writes are lost, and their revisions are given out again."""
        self.items, self.revision = dict(copied[0]), copied[1]
        self.era += 1
        self.compact()
        self.changed.set()
        self.changed = asyncio.Event()

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle_request(self, head, body, responder):
        self.calls += 1
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            responder.send_response(503, [], b"")
            return
        if self.mode == "garbage":
            responder.send_response(200, [], b"<html>")
            return
        parts = urlsplit(head.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        status, document = await self._read(parts.path, query)
        headers = [(b"store-era", str(self.era).encode())]
        responder.send_response(status, headers, json.dumps(document).encode())

    async def _read(self, path, query):
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > query.get("after", "")
            )
            page = [self.items[key] for key in keys[: self.page_size]]
            more = len(keys) > self.page_size
            return 200, {"entries": page, "has-more": more, "at": self.revision}
        after = int(query["after"])
        if not self.compacted <= after <= self.revision:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait-ms"]) / 1000):
                era = self.era
                while era == self.era and not [e for e in self.history if e["revision"] > after]:
                    await self.changed.wait()
        if after > self.revision:
            return 410, {}
        events = [e for e in self.history if e["revision"] > after]
        return 200, {"events": events, "at": self.revision}


class ServerStandin:
    """A backend server with a script: one action per request, the last one for all others."""

    def __init__(self, server_id, *script):
        self.server_id = server_id
        self.script = list(script)
        self.requests = []
        self.bodies = []
        self.closed = 0
        self.open = 0
        self.server = None
        self.port = 0
        self.writers = set()
        # Whether requests are answered before their bodies are read; these stay unread.
        self.answers_early = False

    def crash(self):
        """Ends the server as the end of its process does: with its port and all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.open += 1
        self.writers.add(writer)
        try:
            while True:
                request_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = request_head.split("\r\n")
                headers = {
                    name.lower(): value
                    for name, _colon, value in (line.partition(": ") for line in lines[1:] if line)
                }
                length = 0 if self.answers_early else int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                self.requests.append((lines[0], headers))
                self.bodies.append(body)
                action = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                await action(self, headers, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            self.open -= 1
            self.writers.discard(writer)
            writer.close()


def response_head(headers, status="200 OK", *extra, server="server-a"):
    """Returns the head of a signed response to the request with `headers`."""
    lines = [
        f"HTTP/1.1 {status}",
        f"x-tanagerworks-attempt-id: {headers['x-tanagerworks-attempt-id']}",
        f"x-tanagerworks-server-signature: {server}",
        *extra,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def encode_chunk(data):
    """Returns one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def respond_with(body=b"whole answer", status="200 OK"):
    """Sends a complete response with a length."""

    async def action(server, headers, reader, writer):
        writer.write(response_head(headers, status, f"content-length: {len(body)}") + body)

    return action


def refuse(status="503 Service Unavailable"):
    """Refuses the request and states that it has not run."""

    async def action(server, headers, reader, writer):
        writer.write(
            f"HTTP/1.1 {status}\r\nx-tanagerworks-not-executed: 1\r\n"
            "content-length: 0\r\n\r\n".encode()
        )

    return action


def reset_connection():
    """Resets the connection after reading the request."""

    async def action(server, headers, reader, writer):
        writer.transport.abort()
        raise ConnectionResetError

    return action


def truncate_response(body=b"whole answer", sent=4):
    """Sends `sent` bytes of the body, fewer than the stated length, and closes the connection."""

    async def action(server, headers, reader, writer):
        writer.write(response_head(headers, "200 OK", f"content-length: {len(body)}") + body[:sent])
        await writer.drain()
        raise ConnectionResetError

    return action


def stream_events(first, last, cut=None):
    """Sends events `first` to `last`, or closes the connection in the middle of event `cut`."""

    async def action(server, headers, reader, writer):
        writer.write(
            response_head(
                headers, "200 OK", "content-type: text/event-stream", "transfer-encoding: chunked"
            )
        )
        begin = int(headers.get("last-event-id", first - 1)) + 1
        for number in range(begin, last + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if number == cut:
                writer.write(encode_chunk(event[: len(event) // 2]))
                await writer.drain()
                writer.close()
                raise ConnectionResetError
            writer.write(encode_chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    return action


def crash_at_start(part_id, otherwise):
    """Crashes the server once the head of an answer to a prompt with `part_id` is written."""

    async def action(server, headers, reader, writer):
        part_ids = [
            part.partition(":")[0]
            for part in headers.get("x-tanagerworks-prefix-hash", "").split(",")
        ]
        if part_id not in part_ids:
            await otherwise(server, headers, reader, writer)
            return
        writer.write(
            response_head(
                headers, "200 OK", "content-type: text/event-stream", "transfer-encoding: chunked"
            )
        )
        await writer.drain()
        server.crash()
        raise ConnectionResetError

    return action


def crash_on_body(body, otherwise):
    """Crashes the server when it begins to run a request with this body."""

    async def action(server, headers, reader, writer):
        if server.bodies[-1] != body:
            await otherwise(server, headers, reader, writer)
            return
        server.crash()
        raise ConnectionResetError

    return action


def never_respond(closed=None):
    """Sends no response; sets `closed` when the connection closes."""

    async def action(server, headers, reader, writer):
        await reader.read()
        if closed is not None:
            closed.set()
        raise ConnectionResetError

    return action


async def caught_up(_since_s):
    """Stands in for reads of a store that has no changes."""
    return True


async def start_edge(servers, initial_configuration=None, entries=None):
    """Starts a callers' port with its pipeline; returns the port's server and the pipeline."""
    edge_dispatcher = dispatcher(initial_configuration=initial_configuration)
    for entry in entries or ():
        edge_dispatcher.directory.put(entry, 0.0)
    pipeline = Pipeline(edge_dispatcher, CallerHttp(), BackendHttp(), "zone-a", EdgeMetrics())
    pipeline.view_complete.set()
    pipeline.caches_recovered.set()
    pipeline.catch_up = caught_up
    port = HttpServer(pipeline.handle_request, lambda: edge_dispatcher.configuration.limits)
    await port.listen("127.0.0.1", 0, 16)
    return port, pipeline


def request_bytes(path, call_id="c0ffee", method="GET", body=b"", *extra):
    """Returns a caller's request as bytes."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "host: host.example",
        f"x-tanagerworks-attempt-id: {call_id}",
        "x-tanagerworks-deadline-ms: 1500",
        f"authorization: Bearer {API_KEY}",
        *extra,
    ]
    if body:
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def resume_bytes(call_id, last_event_id, resumes):
    """A caller's request on route `plan` that takes up a stream of an earlier attempt."""
    return request_bytes(
        "/plan/x",
        call_id,
        "POST",
        b"",
        f"last-event-id: {last_event_id}",
        *([f"resumes: {resumes}"] if resumes else []),
    )


class ReceivedResponse:
    """A response as received; status 0 without a head, `complete` false if it was truncated."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


async def read_response(reader):
    """Reads one response as a caller would."""
    try:
        raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return ReceivedResponse(0, {}, b"", False)
    headers = {
        name.lower(): value
        for name, _colon, value in (line.partition(": ") for line in raw[1:] if line)
    }
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return ReceivedResponse(int(raw[0].split()[1]), headers, body, True)
        while True:
            size = int((await reader.readline()).strip() or b"-1", 16)
            if size < 0:
                return ReceivedResponse(int(raw[0].split()[1]), headers, body, False)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return ReceivedResponse(int(raw[0].split()[1]), headers, body, True)
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return ReceivedResponse(int(raw[0].split()[1]), headers, body, False)


async def send_request(port, raw):
    """Sends one request on a new connection and returns the response."""
    reader, writer = await asyncio.open_connection(*port.listener.sockets[0].getsockname())
    writer.write(raw)
    response = await read_response(reader)
    writer.close()
    return response


def run_scenario(scripts, scenario, config=None, service=PLAIN_SERVICE, versions=None):
    """Returns what `scenario(port, pipeline, servers)` returns; servers follow `scripts`.

    `versions` are the servers' software versions, all "v1" if None.
    """

    async def run():
        servers = []
        entries = []
        for number, script in enumerate(scripts):
            name = f"server-{number}"
            server = await ServerStandin(name, *script).start()
            servers.append(server)
            version = versions[number] if versions is not None else "v1"
            entries.append(server_entry(name, service=service, port=server.port, version=version))
        port, pipeline = await start_edge(servers, config, entries)
        async with asyncio.timeout(20):
            result = await scenario(port, pipeline, servers)
        port.close_listener()
        for server in servers:
            server.server.close()
        return result

    return asyncio.run(run())


def single_request_scenario(raw):
    """A scenario that sends `raw`.

    It returns the response, the number of runs per server and the servers.
    """

    async def scenario(port, pipeline, servers):
        response = await send_request(port, raw)
        return response, [len(server.requests) for server in servers], servers

    return scenario
