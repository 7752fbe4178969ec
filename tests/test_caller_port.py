"""Graceful shutdown and keep-alive of the caller port."""

import socket
import threading

import pytest

from tests.builders import CUSTOMER_KEY, note_with_backends
from tests.fakes import (
    DONE_EVENT,
    FakeBackend,
    RouterUnderTest,
    encode_chunk,
    encode_event,
    start_stream,
    wait_until,
)
from tests.test_engine_relay import FakeEngine


class _Drain:
    """Drains a router in a thread; `stop_now` stands for the second signal."""

    def __init__(self, router):
        self.stop_now = threading.Event()
        self.status = []
        target = lambda: self.status.append(router.router.drain(self.stop_now))  # noqa: E731
        self.thread = threading.Thread(target=target)
        self.thread.start()
        wait_until(lambda: router.router.app.draining)

    def join(self):
        self.thread.join(10)
        return self.status[0]


@pytest.fixture(name="gated")
def gated_engine():
    gate = threading.Event()
    engine = FakeEngine()

    def chat(request, conn):
        start_stream(conn, request.headers["X-Request-Id"])
        conn.sendall(encode_chunk(encode_event(1)))
        gate.wait(10)
        conn.sendall(encode_chunk(DONE_EVENT) + encode_chunk(b""))
        return True

    engine.chat = chat
    with FakeBackend(engine) as backend:
        yield gate, note_with_backends(engines={"m1": backend.address})
    gate.set()


def test_shutdown_interrupts_no_request(gated):
    """Guards against a graceful shutdown that cuts a stream or refuses a request.

    The next request on an idle connection is served as long as the listener is open.
    """
    gate, note = gated
    with RouterUnderTest(note, drain_notice_s=0.5) as router:
        stream = router.chat(stream=True, preload=False)
        assert stream.read(len(encode_event(1))) == encode_event(1)
        drain = _Drain(router)
        response = router.request("GET", "/readyz")
        assert response.status == 503
        assert response.headers["Connection"] == "close"
        host, port = router.settings.caller_address.split(":")

        def refused():
            try:
                socket.create_connection((host, int(port))).close()
            except ConnectionRefusedError:
                return True
            except ConnectionResetError:
                # The listener closed during the handshake; the next attempt must be refused.
                return False
            return False

        wait_until(refused)
        assert drain.thread.is_alive()
        gate.set()
        assert stream.read() == DONE_EVENT
        assert drain.join() == 0
        assert [ended.evidence.whole for ended in router.agent.released] == [True]


def test_second_signal_ends_the_shutdown_and_counts_the_interrupted(gated, caplog):
    """Guards against a shutdown that hangs, and against a stream that ends without an error."""
    _, note = gated
    with RouterUnderTest(note) as router:
        stream = router.chat(stream=True, preload=False)
        assert stream.read(len(encode_event(1))) == encode_event(1)
        drain = _Drain(router)
        drain.stop_now.set()
        assert b"event: error" in stream.read()
        assert drain.join() == 1
        (record,) = [record for record in caplog.records if hasattr(record, "requests")]
        assert record.requests == 1


def test_pipelined_requests_are_served(gated):
    """Guards against treating a caller that pipelines requests as disconnected."""
    gate, note = gated
    gate.set()
    with RouterUnderTest(note) as router:
        host, port = router.settings.caller_address.split(":")
        body = b'{"model": "wax", "messages": [{"role": "user"}], "stream": true}'
        head = f"Authorization: Bearer {CUSTOMER_KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        chat = b"POST /v1/chat/completions HTTP/1.1\r\n" + head.encode() + body
        with socket.create_connection((host, int(port)), 10) as caller:
            caller.sendall(chat + chat + b"GET /livez HTTP/1.1\r\nConnection: close\r\n\r\n")
            received = b""
            while data := caller.recv(65536):
                received += data
        assert received.count(DONE_EVENT) == 2
        assert received.endswith(b'{"live": true}')


def test_idle_connections_cost_no_thread(gated):
    """Guards against connections without a request that occupy the threads of the others."""
    _, note = gated
    with RouterUnderTest(note) as router:
        host, port = router.settings.caller_address.split(":")
        idle = [socket.create_connection((host, int(port))) for _ in range(100)]
        assert router.request("GET", "/livez").status == 200
        for caller in idle:
            caller.close()
