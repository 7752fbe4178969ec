"""Stand-ins and a fleet of edge processes for the scripts of this review.

Store, servers and clients run in this process and speak what the users' pages say; the edge
processes are started with the command of deploy/system.toml and with settings rendered from its
template. All addresses are loopback addresses, times are those of the real clock.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
ZONES = {"regina": "prairie", "saskatoon": "prairie", "brandon": "prairie"}
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-timeout-ms": 4000,
    "catch-up-s": 4,
    "drain-timeout-ms": 2000,
    "grace-period-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "outer-ms": 5000,
    "revoke-strict": False,
    "revoke-timeout-ms": 5000,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "retry-min-extra": 52,
    "cold-overshoot": 1.5,
    "cold-tolerance": 5,
    "evacuate-timeout-ms": 5000,
    "recovery-s": 12,
    "delivery-lag-ms": 120,
    "reuse-window-s": 10,
    "capacity-factor": 2,
}


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began_s = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began_s:8.3f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.began_s


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def loopback(network, number):
    return f"127.{network}.{number // 250}.{number % 250 + 1}"


# HTTP


async def read_head(reader):
    """Returns the first line and the headers (lower-case names, first value) of a message."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = raw.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _colon, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_request_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
            body += piece
    return await reader.readexactly(int(headers.get("content-length", 0)))


# The platform's store


class Store:
    """Items with revisions and a history; `mode` is "", "silent", "busy" or "reset"."""

    def __init__(self, record, host):
        self.record = record
        self.host, self.port = host, free_port(host)
        self.items, self.history = {}, []
        self.revision, self.era, self.mode = 7, 1, ""
        self.compacted = self.revision
        self.changed = asyncio.Event()
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def is_up(self):
        return self.mode == ""

    def set_mode(self, mode):
        self.mode = mode
        self.record(f"store {'is ' + mode if mode else 'answers'}")
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes an item and returns its revision; the return is the acknowledgement."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.history.append(self.items[key])
        self._wake()
        return self.revision

    def delete(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "deleted": True})
        self._wake()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, _headers = await read_head(reader)
                target = line.split(" ")[1]
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                status, document = 503, {}
                if self.mode == "":
                    status, document = await self._answer(target)
                if self.mode == "silent":
                    # The answer to a read that waited is lost as well.
                    await asyncio.sleep(3600)
                body = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, target):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, item | {"at": self.revision}) if item else (404, {})
        if parts.path == "/kv-range":
            keys = sorted(
                key for key in self.items if key.startswith(prefix) and key > query.get("after", "")
            )
            page = [self.items[key] for key in keys[:50]]
            return 200, {"entries": page, "has-more": len(keys) > 50, "at": self.revision}
        after, wait_s = int(query["after"]), int(query["wait-ms"]) / 1000
        if not self.compacted <= after <= self.revision:
            return 410, {}
        end_s = time.monotonic() + wait_s
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0 or self.mode:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()


# Servers


class Server:
    """A backend server that registers itself; subclasses answer the requests."""

    def __init__(self, record, store, host, server_id, service, zone, **options):
        self.record, self.store = record, store
        self.host, self.port = host, free_port(host)
        self.server_id, self.service, self.zone = server_id, service, zone
        self.version = options.get("version", "v1")
        self.capacity = options.get("capacity", 64)
        # From the start to the first write of the entry.
        self.entry_lag_s = options.get("entry_lag_s", 0.0)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.phase, self.cold_ms = "ready", 0
        self.up = False
        self.listener = None
        self.writers, self.tasks = set(), set()
        self.beat_task = None
        self.written = None
        # Every run: attempt id, monotonic time, software version.
        self.runs = []
        self.running = 0

    @property
    def name(self):
        return f"{self.server_id}/{self.version}"

    async def start(self):
        """Starts a process of the server, which then registers itself."""
        self.born = int(time.time() * 1000)
        self.sequence, self.phase, self.running = 0, "ready", 0
        self.written = None
        self.listener = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512, reuse_address=True
        )
        self.up = True
        self.record(f"server {self.name} accepts requests")
        self.beat_task = asyncio.create_task(self._beat())

    def kill(self):
        """Ends the process: its port and connections close, and it writes nothing more."""
        self.up = False
        self.record(f"server {self.name} ends, {self.running} requests in progress")
        self.beat_task.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def entry(self):
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "capacity": self.capacity,
            "phase": self.phase,
            "cold-remaining-ms": self.cold_ms,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born,
        }

    def write_entry(self):
        """Writes the entry if the store takes it and more than the sequence has changed."""
        if not self.store.is_up():
            return False
        entry = self.entry()
        self.sequence += 1
        if entry != self.written:
            self.written = entry
            self.store.put(f"servers/{self.server_id}", entry | {"sequence": self.sequence})
            self.record(f"server {self.name} entry written: {self.phase}, cold {self.cold_ms} ms")
        return True

    async def _beat(self):
        await asyncio.sleep(self.entry_lag_s)
        while True:
            written = self.write_entry()
            await asyncio.sleep(HEARTBEAT_S if written else 0.2)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _version = line.split(" ", 2)
                body = await read_request_body(reader, headers)
                await self._handle(method, target, headers, body, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, method, target, headers, body, reader, writer):
        call_id = headers.get("x-tanagerworks-attempt-id")
        if target.startswith("/kv-list"):
            self._plain(writer, 200, {}, b'{"epoch":1,"next":1,"held":[]}')
        elif target.startswith("/healthz"):
            self._plain(writer, 200, {"X-Tanagerworks-Instance-Id": self.server_id}, b"")
        elif call_id is None:
            self._plain(writer, 400, {"X-Tanagerworks-Not-Executed": "1"}, b"")
        elif headers.get("x-tanagerworks-expect-instance", self.server_id) != self.server_id:
            extra = {
                "X-Tanagerworks-Attempt-Id": call_id,
                "X-Tanagerworks-Instance-Id": self.server_id,
            }
            self._plain(writer, 421, extra, b"")
        elif self.running >= self.capacity:
            extra = {"X-Tanagerworks-Attempt-Id": call_id, "X-Tanagerworks-Not-Executed": "1"}
            self._plain(writer, 503, extra, b"")
        else:
            self.running += 1
            self.runs.append((call_id, time.monotonic(), self.version))
            self.record(f"server {self.name} runs {call_id} {method} {target}")
            # A server drops a request when its connection closes.
            run = asyncio.create_task(self.run(call_id, method, target, headers, body, writer))
            gone = asyncio.create_task(reader.read(1))
            try:
                await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not run.done():
                    run.cancel()
                    raise ConnectionError("the caller has closed the connection")
                run.result()
                if gone.done():
                    raise ConnectionError("the caller has closed the connection")
            finally:
                self.running -= 1
                run.cancel()
                gone.cancel()
                with contextlib.suppress(BaseException):
                    await gone

    def _plain(self, writer, status, extra, body):
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in extra.items())]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def signed(self, call_id):
        return {
            "X-Tanagerworks-Attempt-Id": call_id,
            "X-Tanagerworks-Server-Signature": f"{self.server_id}.{self.version}.{call_id}",
        }

    async def run(self, call_id, method, target, headers, body, writer):
        raise NotImplementedError


class ModelServer(Server):
    """Answers with a stream of events; `Last-Event-Id` names the last one that is known."""

    events, pause_s, first_s = 49, 0.06, 0.05

    async def run(self, call_id, method, target, headers, body, writer):
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in self.signed(call_id).items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        await asyncio.sleep(self.first_s)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
            event = f"id: {number}\ndata: piece {number} by {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")


class PlainServer(Server):
    """Answers with a body that names the request, after `work_s`."""

    work_s = 0.02

    async def run(self, call_id, method, target, headers, body, writer):
        await asyncio.sleep(self.work_s)
        self._plain(writer, 200, self.signed(call_id), f"done {call_id}".encode())


# The system


def _lookup(fields, path):
    value = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


def render(template, fields):
    """Fills in the placeholders `{{a.b}}` and `{{a.b|json}}`."""

    def fill(match):
        path, _bar, form = match.group(1).partition("|")
        value = _lookup(fields, path)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value).lower() if isinstance(value, bool) else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", fill, template)


class Node:
    """One machine with its edge process."""

    def __init__(self, fleet, name, ip, zone):
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.process = None
        self.first = True
        # The checkout whose program runs here.
        self.root = ROOT

    def fields(self):
        ports = self.fleet.ports
        return {
            "node-name": self.name,
            "role": "edge",
            "machine-class": "edge",
            "serves": ["edge", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "port-range": [ports["first"], ports["first"] + 15],
            "seed-nodes": [f"{node.ip}:{ports['control']}" for node in self.fleet.nodes[:3]],
            "bootstrap": self.first,
            "zones": ZONES,
            "listen": {
                "frontend": f"{self.ip}:{ports['frontend']}",
                "readiness": f"{self.ip}:{ports['readiness']}",
                "control-plane": f"{self.ip}:{ports['control']}",
            },
            "limits": {
                "cpu-quota": 0.537,
                "cpu-cores": 2,
                "memory-limit-mb": 300,
                "max-open-files": 4100,
                "bandwidth-mbps": 1000.0,
                "disk-limit-mb": 0,
            },
            "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "bounds": self.fleet.bounds,
            "platform": {"address": self.fleet.store.address, "form": "read"},
        }

    def start(self):
        fields = self.fields()
        deploy = tomllib.loads((self.root / "deploy/system.toml").read_text())
        role = deploy["roles"]["edge"]
        settings = self.fleet.folder / f"{self.name}.yaml"
        settings.write_text(render((self.root / role["template"]).read_text(), fields))
        command = [render(word, fields) for word in role["run"].split()]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= role.get("env", {}) | {
            "TANAGERWORKS_SETTINGS": str(settings),
            "PYTHONPATH": str(self.root / "target/deps"),
        }
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            command,
            cwd=self.root,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.first = False
        self.fleet.record(f"node {self.name} started")

    def signal(self, number):
        self.fleet.record(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    @property
    def frontend(self):
        return self.ip, self.fleet.ports["frontend"]

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                status, _headers, _body = await fetch(
                    (self.ip, self.fleet.ports["readiness"]), "GET", "/readyz", {}
                )
                return status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Fleet:
    """Edge processes of a deployment like pgdc-dryerbook: 6 machines in 3 zones."""

    def __init__(self, record, store, network, sizes=(3, 1, 2), bounds=None):
        self.record, self.store = record, store
        self.bounds = BOUNDS | (bounds or {})
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        host = loopback(network, 0)
        names = ("frontend", "readiness", "control", "first")
        self.ports = {name: free_port(host) for name in names}
        self.nodes = []
        for zone, count in zip(ZONES, sizes, strict=True):
            for number in range(count):
                ip = loopback(network, len(self.nodes))
                self.nodes.append(Node(self, f"edge-{zone}-{number + 1}", ip, zone))

    async def start(self):
        for node in self.nodes:
            node.start()
        await self.wait_ready(self.nodes)

    async def wait_ready(self, nodes, limit_s=20.0):
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if all(await asyncio.gather(*(node.is_ready() for node in nodes))):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the edge processes did not become ready")

    def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# Clients


async def fetch(address, method, target, headers, body=b""):
    """Sends one request on a new connection; returns status, headers and body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        if "host" not in {name.lower() for name in headers}:
            lines.append(f"Host: {address[0]}:{address[1]}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        line, answer = await read_head(reader)
        status = int(line.split(" ")[1])
        if "chunked" in answer.get("transfer-encoding", ""):
            return status, answer, await read_request_body(reader, answer)
        return status, answer, await reader.readexactly(int(answer.get("content-length", 0)))
    finally:
        writer.transport.abort()


def new_id(generator=random):
    return f"{generator.getrandbits(64):016x}"


class StreamResult:
    """One client attempt of a stream."""

    def __init__(self, attempt_id):
        self.attempt_id = attempt_id
        self.status = None
        self.headers = {}
        # Event ids and their data, as they arrived.
        self.events = []
        self.complete = False
        self.error = ""


async def open_stream(address, target, headers, body, deadline_s, result):
    """Sends a request for a stream and reads its events into `result`."""
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"POST {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, result.headers = await read_head(reader)
            result.status = int(line.split(" ")[1])
            if "chunked" not in result.headers.get("transfer-encoding", ""):
                length = int(result.headers.get("content-length", 0))
                result.error = (await reader.readexactly(length)).decode("latin-1")
                result.complete = result.status == 200
                return
            rest = b""
            while True:
                size = int((await reader.readline() or b"x").strip(), 16)
                rest += await reader.readexactly(size)
                await reader.readline()
                while b"\n\n" in rest:
                    event, _end, rest = rest.partition(b"\n\n")
                    fields = dict(
                        field.split(": ", 1) for field in event.decode().split("\n") if field
                    )
                    result.events.append((int(fields["id"]), fields["data"]))
                if not size:
                    result.complete = not rest
                    return
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as error:
        result.error = result.error or repr(error)
    finally:
        if writer is not None:
            writer.transport.abort()


def model_headers(attempt_id, parts, deadline_ms, key=KEY):
    return {
        "X-Tanagerworks-Attempt-Id": attempt_id,
        "X-Tanagerworks-Model": "m",
        "X-Tanagerworks-Token-Counts": f"{sum(tokens for _part, tokens in parts)},300",
        "X-Tanagerworks-Prefix-Hash": ",".join(f"{part}:{tokens}" for part, tokens in parts),
        "X-Tanagerworks-Deadline-Ms": str(int(deadline_ms)),
        "Authorization": f"Bearer {key}",
    }


def configuration(version, routes, services, keys=(KEY,), **limits):
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
        "tenants": [{"name": TENANT, "api-keys": list(keys)}],
    }


def stream_route(name, prefix, service, timeout_ms=12000, attempts=2, resumable=True):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "type": "streaming",
        "timeout-ms": timeout_ms,
        "target-latency-ms": 300,
        "priority": 0,
        "service": service,
        "max-attempts": attempts,
        "anonymous": False,
        "session-affinity": True,
        "resumable": resumable,
        "target-gap-ms": 250,
    }


def plain_route(name, prefix, service, kind, timeout_ms=1500, attempts=2):
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
        "session-affinity": False,
        "resumable": False,
        "target-gap-ms": 0,
    }


MODEL_SERVICE = {
    "name": "llm",
    "health-path": "/healthz",
    "max-connections": 360,
    "cold-start-s": 3.0,
    "cold-per-s": 12.0,
    "engine": {"capacity": 64, "kv-capacity": 550976},
}
PLAIN_SERVICE = {"name": "desk", "health-path": "/healthz", "max-connections": 96}


def main(folder, case):
    """Runs `case(record, trouble)`; exits with 1 if it returns what broke the rule, 0 if not."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        async with asyncio.timeout(110):
            return await case(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record(f"RULE BROKEN: {broken}" if broken else "the rule held")
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
