"""Stand-ins for the platform, servers and clients of a small deployment, and the start of edge processes.

Everything runs on loopback addresses and the real clock. The edge processes are started with the
`run` command of deploy/system.toml and its template for settings, filled in as DEPLOY.md says.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

# The bounds of the site pgdc-dryerbook, as a settings file of the platform gives them.
BOUNDS = {
    "contact-ms": 3000,
    "drain-timeout-ms": 2000,
    "grace-period-s": 8,
    "config-apply-ms": 2000,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "retry-min-extra": 52,
    "cold-overshoot": 1.5,
    "cold-tolerance": 5,
}
HEARTBEAT_S = 1.2
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


class Record:
    """Writes what was sent, answered and run to record.txt beside the case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started_s = time.monotonic()

    def __call__(self, text):
        print(f"{time.monotonic() - self.started_s:8.3f} {text}", file=self.file, flush=True)


def free_port(host):
    """Returns a port of `host` that is free for TCP and UDP, and that no client gets by itself."""
    while True:
        port = random.randrange(20_000, 30_000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
            return port


async def read_head(reader):
    """Returns the first line and the headers (names in lower case) of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body that the headers announce."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
            body += data
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: the calls that PROTOCOL.md describes."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**22)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, key, document):
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(document).encode()).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._publish(item)

    def delete(self, key):
        self.revision += 1
        del self.items[key]
        self._publish({"key": key, "revision": self.revision, "deleted": True})

    def _publish(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                status, document = await self._read(line.split()[1])
                data = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d OK\r\ncontent-type: application/json\r\nstore-era: 1\r\n"
                    b"content-length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _read(self, target):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        await asyncio.sleep(0.004)
        if parts.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, item | {"at": self.revision}) if item else (404, {"at": self.revision})
        if parts.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            entries = [self.items[key] for key in keys[:500]]
            return 200, {"entries": entries, "has-more": len(keys) > 500, "at": self.revision}
        after = int(query.get("after", "0"))
        until_s = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "at": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass


class Server:
    """A sound backend server; a case overrides `answer` for what it does otherwise."""

    def __init__(
        self, store, record, server_id, service, zone, capacity, work_s=0.02, version="v1"
    ):
        self.store = store
        self.record = record
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.work_s = work_s
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.cold_until_s = 0.0
        self.leaving = False
        # Time and attempt id of each run that began.
        self.runs = []
        self.writers = set()
        self.heartbeat = None

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**24)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.heartbeat = asyncio.create_task(self._beat())

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "capacity": self.capacity,
            "phase": "ready",
            "cold-remaining-ms": max(0, round(1000 * (self.cold_until_s - time.monotonic()))),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _beat(self):
        while True:
            self.store.put(f"servers/{self.server_id}", self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def leave_without_notice(self):
        """Removes the entry, as some servers do that leave; the server goes on serving."""
        self.leaving = True
        self.heartbeat.cancel()
        self.store.delete(f"servers/{self.server_id}")
        self.record(f"{self.server_id} ({self.version}) leaves: its entry is removed")

    def exit(self):
        """Ends the server as the end of its process does."""
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
        self.record(f"{self.server_id} ({self.version}) exits")

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                attempt = headers.get("x-tanagerworks-attempt-id")
                target = line.split()[1]
                if target == "/healthz" or attempt is None:
                    status = b"200 OK" if target == "/healthz" else b"400 Bad Request"
                    if target == "/kv-list":
                        data = b'{"epoch":1,"next":1,"held":[]}'
                        writer.write(
                            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(data), data)
                        )
                    else:
                        writer.write(
                            b"HTTP/1.1 %s\r\nx-tanagerworks-instance-id: %s\r\n"
                            b"x-tanagerworks-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
                            % (status, self.server_id.encode())
                        )
                    await writer.drain()
                    continue
                expected = headers.get("x-tanagerworks-expect-instance", self.server_id)
                if expected != self.server_id:
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\nx-tanagerworks-attempt-id: %s\r\n"
                        b"x-tanagerworks-instance-id: %s\r\ncontent-length: 0\r\n\r\n"
                        % (attempt.encode(), self.server_id.encode())
                    )
                    await writer.drain()
                    continue
                await self.answer(line, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def run(self, attempt):
        """Records that the server has begun to run a request."""
        self.runs.append((time.monotonic(), attempt))
        self.record(f"{self.server_id} runs {attempt}")

    def head(self, attempt, *extra, status="200 OK"):
        lines = [
            f"HTTP/1.1 {status}",
            f"x-tanagerworks-attempt-id: {attempt}",
            f"x-tanagerworks-server-signature: sig.{self.server_id}.{attempt}",
            *extra,
        ]
        if self.leaving:
            lines.append("server-leaving: 1")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def answer(self, line, headers, body, writer):
        attempt = headers["x-tanagerworks-attempt-id"]
        self.run(attempt)
        await asyncio.sleep(self.work_s)
        data = b"answer of %s to %s" % (self.server_id.encode(), attempt.encode())
        writer.write(self.head(attempt, f"content-length: {len(data)}") + data)


class ModelServer(Server):
    """A sound model server: streams `events` events, from the one after Last-Event-Id."""

    events = 60
    interval_s = 0.08

    async def answer(self, line, headers, body, writer):
        attempt = headers["x-tanagerworks-attempt-id"]
        self.run(attempt)
        writer.write(
            self.head(attempt, "content-type: text/event-stream", "transfer-encoding: chunked")
        )
        for number in range(int(headers.get("last-event-id", "0")) + 1, self.events + 1):
            text = f"id: {number}\ndata: {self.server_id} {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(self.interval_s)
        writer.write(b"0\r\n\r\n")


def _lookup(fields, path):
    value = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


def fill(template, fields):
    """Fills in the placeholders of a template (values only, the project's has no sections)."""

    def replace(match):
        path, _bar, form = match.group(1).partition("|")
        value = fields if path == "." else _lookup(fields, path)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return json.dumps(value) if isinstance(value, dict) else str(value)

    return re.sub(r"\{\{\s*([^}#^/]+?)\s*\}\}", replace, template)


class Edge:
    """One machine of the system: its settings and its process."""

    def __init__(self, folder, record, name, zone, ip, store):
        self.folder = folder
        self.record = record
        self.name = name
        self.zone = zone
        self.ip = ip
        self.store = store
        self.control_port = free_port(ip)
        self.fields = {
            "node-name": name,
            "zone": zone,
            "ip": ip,
            "listen": {
                "frontend": f"{ip}:{free_port(ip)}",
                "readiness": f"{ip}:{free_port(ip)}",
                "control-plane": f"{ip}:{self.control_port}",
            },
            "seed-nodes": [],
            "platform": {"address": store.address},
            "bounds": BOUNDS,
        }
        self.process = None
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.role = tomllib.load(file)["roles"]["edge"]

    @property
    def frontend(self):
        host, _colon, port = self.fields["listen"]["frontend"].rpartition(":")
        return host, int(port)

    def write_settings(self):
        template = (ROOT / self.role["template"]).read_text(encoding="utf-8")
        path = Path(self.folder) / f"{self.name}.settings"
        temporary = path.with_suffix(".new")
        temporary.write_text(fill(template, self.fields), encoding="utf-8")
        os.replace(temporary, path)
        return path

    async def start(self):
        path = self.write_settings()
        words = fill(self.role["run"], self.fields).split()
        program = sys.executable if words[0] == "python3" else words[0]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TANAGERWORKS_SETTINGS": str(path),
            **self.role.get("env", {}),
        }
        log = open(Path(self.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            program, *words[1:], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record(f"{self.name} started")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        host, _colon, port = self.fields["listen"]["readiness"].rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                line, _headers = await read_head(reader)
                writer.close()
                return " 200 " in line
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def end(self):
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


class Answer:
    """What a client got: status 0 without a head; `complete` unless the answer broke off."""

    def __init__(self, status=0, headers=None, body=b"", complete=False, took_s=0.0, error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete
        self.took_s = took_s
        self.error = error


class Client:
    """A client with one connection, which it keeps; one request at a time."""

    def __init__(self, address, record=None):
        self.address = address
        self.record = record
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(
        self, method, path, host, attempt, key, deadline_ms, body=None, extra=(), wait_s=None
    ):
        """Sends a request and returns its answer; waits until the deadline plus a second."""
        began_s = time.monotonic()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"host: {host}",
            f"x-tanagerworks-attempt-id: {attempt}",
            f"x-tanagerworks-deadline-ms: {deadline_ms}",
            f"authorization: Bearer {key}",
            *extra,
        ]
        if body is not None:
            lines.append(f"content-length: {len(body)}")
        answer = Answer()
        if self.record is not None:
            self.record(f"{attempt} sent: {method} {path}, body of {len(body or b'')} bytes")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0 if wait_s is None else wait_s):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        *self.address, limit=2**24
                    )
                self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b""))
                line, headers = await read_head(self.reader)
                answer.status, answer.headers = int(line.split()[1]), headers
                answer.body = await read_body(self.reader, headers)
                answer.complete = True
                if "close" in headers.get("connection", "").lower():
                    self.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = type(error).__name__
            self.close()
        answer.took_s = time.monotonic() - began_s
        if self.record is not None:
            self.record(
                f"{attempt} -> {answer.status} complete={answer.complete}"
                f" {answer.took_s:.3f} s {answer.error}"
            )
        return answer


class StreamCaller:
    """A client that asks for one stream and takes it up again once if it breaks off."""

    def __init__(self, number, edges, record, deadline_s=12.0, retry_after_s=1.5):
        self.number = number
        self.deadline_s = deadline_s
        self.retry_after_s = retry_after_s
        self.edges = edges
        self.record = record
        self.last_event_id = 0
        self.first_attempt = None
        # Versions of the servers whose events came, in this order.
        self.versions = []
        self.broken = 0
        self.complete = False

    async def run(self):
        until_s = time.monotonic() + self.deadline_s
        for attempt_number in range(2):
            edge = self.edges[(self.number + attempt_number) % len(self.edges)]
            attempt = f"{self.number:04x}{attempt_number:04x}5a5a5a5a"
            try:
                await self._try(edge, attempt, until_s - time.monotonic())
            except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
                self.record(f"{attempt} broke off after event {self.last_event_id}: {error!r}")
            if self.complete:
                break
            self.broken += 1
            await asyncio.sleep(self.retry_after_s)
        self.record(
            f"client {self.number}: complete={self.complete},"
            f" versions of its events: {self.versions}"
        )

    async def _try(self, edge, attempt, left_s):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*edge.frontend), 1.0)
        lines = [
            "POST /chat/x HTTP/1.1",
            f"host: {HOST}",
            f"x-tanagerworks-attempt-id: {attempt}",
            f"x-tanagerworks-deadline-ms: {int(left_s * 1000)}",
            f"authorization: Bearer {KEY}",
            "x-tanagerworks-model: m",
            "x-tanagerworks-token-counts: 700,300",
            f"x-tanagerworks-prefix-hash: aa{self.number:02x}:600,bb{self.number:02x}:100",
            "content-length: 4",
        ]
        if self.last_event_id:
            lines += [f"last-event-id: {self.last_event_id}", f"resumes: {self.first_attempt}"]
        self.record(
            f"{attempt} sent to {edge.name}: POST /chat/x, after event {self.last_event_id}"
            f" of {self.first_attempt}"
        )
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\nbody").encode())
            line, headers = await asyncio.wait_for(read_head(reader), 2.0)
            self.record(f"{attempt} at {edge.name}: {line}, after event {self.last_event_id}")
            if " 200 " not in line:
                return
            while True:
                size = int(await asyncio.wait_for(reader.readline(), 2.0), 16)
                data = (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    self.complete = True
                    return
                for event in data.decode().split("\n\n"):
                    if event:
                        self._take(event, attempt)
        finally:
            writer.close()

    def _take(self, event, attempt):
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        self.last_event_id = int(fields["id"])
        if self.first_attempt is None:
            self.first_attempt = attempt
        version = fields["data"].split()[1]
        if self.versions[-1:] != [version]:
            self.versions.append(version)


def configuration(version, routes, services, **limits):
    """Returns a configuration with the limits of a small deployment and one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        }
        | limits,
        "tenants": [{"name": "hule930", "api-keys": [KEY]}],
    }


def plain_route(name, prefix, kind, service, timeout_ms=800, attempts=1):
    """Returns a route of an application service."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "type": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": 100,
        "priority": 2,
        "service": service,
        "max-attempts": attempts,
        "anonymous": False,
    }


def stream_route(name, prefix, service, timeout_ms=12000, attempts=2, resumable=True):
    """Returns a route of a model service."""
    return plain_route(name, prefix, "streaming", service, timeout_ms, attempts) | {
        "target-latency-ms": 300,
        "target-gap-ms": 250,
        "priority": 0,
        "resumable": resumable,
        "session-affinity": True,
    }


PLAIN_SERVICE = {"name": "xano55b", "health-path": "/healthz", "max-connections": 96}
MODEL_SERVICE = {
    "name": "dele69a",
    "health-path": "/healthz",
    "max-connections": 360,
    "cold-start-s": 3.0,
    "cold-per-s": 12.0,
    "engine": {"capacity": 64, "kv-capacity": 550976},
}


async def start_edges(folder, record, store, zones):
    """Starts one machine per entry of `zones` and waits until all are ready.

    Each has an address of its own, as the metrics port is the same on all machines.
    """
    subnet = "127.{}.{}".format(*random.sample(range(1, 255), 2))
    edges = [
        Edge(folder, record, f"edge-{zone}-{number}", zone, f"{subnet}.{number + 1}", store)
        for number, zone in enumerate(zones)
    ]
    for edge in edges:
        edge.fields["seed-nodes"] = [edge.fields["listen"]["control-plane"] for edge in edges[:3]]
    try:
        for edge in edges:
            await edge.start()
        async with asyncio.timeout(20):
            for edge in edges:
                while not await edge.is_ready():
                    await asyncio.sleep(0.1)
    except BaseException:
        for edge in edges:
            await edge.end()
        raise
    record("all machines are ready")
    return edges


def main(case_file, scenario, limit_s=110.0):
    """Runs `scenario(folder, record, troubled)`; exits 1 if it returns False, 0 if True, else 2."""
    record = Record(Path(case_file).resolve().parent)
    troubled = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {troubled}")
    status = 2
    with tempfile.TemporaryDirectory() as folder:

        async def run():
            task = asyncio.current_task()
            # Processes that were started are also ended if the script itself is stopped.
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
            async with asyncio.timeout(limit_s):
                return await scenario(folder, record, troubled)

        try:
            held = asyncio.run(run())
            status = 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:  # the case could not run
            record(f"the case could not run: {error!r}")
            import traceback

            traceback.print_exc(file=record.file)
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    record(f"exit {status}")
    sys.exit(status)
