"""Fake backend servers and node agents on loopback, for failures the stand-ins cannot cause."""

import json
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field

import grpc
from opentelemetry.metrics import NoOpMeter
from urllib3 import HTTPConnectionPool

from tanagerworks.clock import boot_time_s
from tanagerworks.note.model import Note
from tanagerworks.router.main import Router
from tanagerworks.router.metrics import RouterMetrics
from tanagerworks.rpc.tanager_pb2 import (
    ClaimReply,
    EngineView,
    ReleaseReply,
    Slot,
    View,
)
from tanagerworks.rpc.tanager_pb2_grpc import (
    NodeAgentServicer,
    add_NodeAgentServicer_to_server,
)
from tanagerworks.settings.router import RouterSettings
from tests.builders import CUSTOMER_KEY
from tools.fleet import free_address

BOOT_ID = "boot-1"


@dataclass
class ReceivedRequest:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int


Handler = Callable[[ReceivedRequest, socket.socket], bool]


class FakeBackend:
    """Reads requests and calls `handle`, which writes the responses.

    `handle` returns whether the connection stays open.
    """

    def __init__(self, handle: Handler) -> None:
        self.handle = handle
        self.requests: list[ReceivedRequest] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> "FakeBackend":
        return self

    def __exit__(self, *_details: object) -> None:
        self.listener.close()

    def requests_with_method(self, method: str) -> list[ReceivedRequest]:
        return [request for request in self.requests if request.method == method]

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                conn, _ = self.listener.accept()
                self.connections += 1
                args = (conn, self.connections)
                threading.Thread(target=self._serve, args=args, daemon=True).start()

    def _serve(self, conn: socket.socket, number: int) -> None:
        with suppress(OSError, ValueError), conn, conn.makefile("rb") as reader:
            while line := reader.readline():
                method, target, _ = line.decode().split()
                headers = {}
                while (line := reader.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode("latin-1").partition(":")
                    headers[name.title()] = value.strip()
                body = reader.read(int(headers.get("Content-Length", "0")))
                request = ReceivedRequest(method, target, headers, body, number)
                self.requests.append(request)
                if not self.handle(request, conn):
                    return


def send_response(conn: socket.socket, status: int, body: bytes, **headers: str) -> bool:
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return True


def encode_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def start_stream(conn: socket.socket, request_id: str, boot_id: str = BOOT_ID) -> None:
    conn.sendall(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        f"X-Request-Id: {request_id}\r\nX-Engine-Boot: {boot_id}\r\n\r\n".encode()
    )


def encode_event(number: int) -> bytes:
    return b'data: {"n": %d}\n\n' % number


DONE_EVENT = b"data: [DONE]\n\n"


@dataclass
class FakeAgent(NodeAgentServicer):
    """Grants slots of the engines of a note; tests change its fields while it runs."""

    note: Note
    address: str = field(default_factory=free_address)
    boot_id: str = BOOT_ID
    cold: bool = False
    # Slot index that is granted.
    index: int = 0
    start_by_s: float = 0.0
    max_work_s: float = 20.0
    refusal: str = ""
    view_delay_s: float = 0.0
    out_of_service: set[str] = field(default_factory=set)
    claims: list = field(default_factory=list)
    released: list = field(default_factory=list)
    # Slots in use that the router reported with each Watch call.
    held: list = field(default_factory=list)
    refreshes: int = 0
    # Number of the next Release calls that fail.
    fail_releases: int = 0
    before_grant: Callable[[], None] = lambda: None

    def __post_init__(self) -> None:
        self.server = None
        self.grants = 0
        self.stopping = threading.Event()

    def start(self) -> None:
        self.stopping = threading.Event()
        self.server = grpc.server(ThreadPoolExecutor(32))
        add_NodeAgentServicer_to_server(self, self.server)
        self.server.add_insecure_port(self.address)
        self.server.start()

    def stop(self) -> None:
        self.stopping.set()
        self.server.stop(0).wait()

    def view(self, serial: int) -> View:
        view = View(note_serial=self.note.serial, ready=True, node_id="n1")
        view.sent_at_boot_s = boot_time_s() - self.view_delay_s
        if serial != self.note.serial:
            view.note = self.note.canonical_json()
        for engine_id in self.note.statement.engines:
            eligible = engine_id not in self.out_of_service
            view.engines.append(EngineView(engine_id=engine_id, eligible=eligible))
        return view

    def Watch(self, request, context):  # noqa: N802
        self.held.append(list(request.held))
        serial = request.note_serial
        while not self.stopping.is_set() and context.is_active():
            view = self.view(serial)
            yield view
            # The note may have changed since; the next view has to contain the new one.
            serial = view.note_serial
            self.stopping.wait(0.1)

    def Refresh(self, request, context):  # noqa: N802
        self.refreshes += 1
        return self.view(request.note_serial)

    def Claim(self, request, context):  # noqa: N802
        self.claims.append(request)
        self.before_grant()
        if self.refusal:
            return ClaimReply(refusal=self.refusal, reason="refused by the test")
        self.grants += 1
        engine_id = request.candidates[0].engine_id
        return ClaimReply(
            slot=Slot(engine_id=engine_id, index=self.index, grant_id=self.grants),
            boot_id=self.boot_id,
            cold=self.cold,
            start_by_s=self.start_by_s,
            max_work_s=self.max_work_s,
        )

    def Release(self, request, context):  # noqa: N802
        if self.fail_releases:
            self.fail_releases -= 1
            context.abort(grpc.StatusCode.UNAVAILABLE, "refused by the test")
        self.released.extend(request.ended)
        return ReleaseReply()


class RouterUnderTest:
    """A router in this process, with a fake agent of its own unless one is given."""

    def __init__(self, note: Note, agent: FakeAgent | None = None, **settings: object) -> None:
        self.agent = agent or FakeAgent(note)
        if agent is None:
            self.agent.start()
        self.settings = RouterSettings.model_validate(
            {
                "router_id": "n1-0",
                "zone": "sfax-medina",
                "caller_address": free_address(),
                "forward_address": free_address(),
                "agent_address": self.agent.address,
                "max_streams": 8,
                "drain_notice_s": 0.0,
                "drain_limit_s": 5.0,
                **settings,
            }
        )
        self.router = Router(self.settings, RouterMetrics(NoOpMeter("test")))
        self.router.start()
        host, port = self.settings.caller_address.split(":")
        self.pool = HTTPConnectionPool(host, int(port), retries=False, maxsize=16)
        wait_until(lambda: self.request("GET", "/readyz").status == 200)

    def __enter__(self) -> "RouterUnderTest":
        return self

    def __exit__(self, *_details: object) -> None:
        stop_now = threading.Event()
        stop_now.set()
        self.router.drain(stop_now)
        self.agent.stop()

    def request(self, method, target, body=None, key=CUSTOMER_KEY, **headers):
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            sent["Authorization"] = f"Bearer {key}"
        return self.pool.request(method, target, body=body, headers=sent, timeout=20.0)

    def chat(self, stream=False, preload=True, **fields):
        document = {
            "model": "wax",
            "messages": [{"role": "user", "content": "How coarse is the winter wax?"}],
            "stream": stream,
            **fields,
        }
        return self.pool.request(
            "POST",
            "/v1/chat/completions",
            body=json.dumps(document),
            headers={"Authorization": f"Bearer {CUSTOMER_KEY}"},
            preload_content=preload,
            timeout=20.0,
        )


def wait_until(condition: Callable[[], bool], timeout_s: float = 10.0) -> None:
    """Waits until a condition holds that another thread or process fulfils."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition did not come about"
        time.sleep(0.005)
