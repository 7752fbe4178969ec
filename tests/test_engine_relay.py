"""Chats through a router in this process, with engines that fail."""

import json
import socket
import threading

import pytest
from openai import APIError, OpenAI

from tests.builders import CUSTOMER_KEY, note_with_backends
from tests.fakes import (
    BOOT_ID,
    DONE_EVENT,
    FakeBackend,
    RouterUnderTest,
    encode_chunk,
    encode_event,
    send_response,
    start_stream,
    wait_until,
)
from tools.fleet import free_address


class FakeEngine:
    """An engine whose responses to each kind of request a test can replace."""

    def __init__(self):
        self.boot_id = BOOT_ID
        self.chat = self.stream_whole
        self.resume = self.unknown
        self.cancel = self.unknown

    def __call__(self, request, conn):
        if request.target == "/v1/boot":
            body = json.dumps({"boot_id": self.boot_id}).encode()
            return send_response(conn, 200, body)
        if request.method == "DELETE":
            return self.cancel(request, conn)
        if request.target.startswith("/v1/requests/"):
            return self.resume(request, conn)
        return self.chat(request, conn)

    def unknown(self, request, conn):
        return send_response(conn, 404, b"{}", X_Request_Id=request.headers["X-Request-Id"])

    def stream_whole(self, request, conn):
        start_stream(conn, request.headers["X-Request-Id"], self.boot_id)
        conn.sendall(
            encode_chunk(encode_event(1))
            + encode_chunk(encode_event(2))
            + encode_chunk(DONE_EVENT)
            + encode_chunk(b"")
        )
        return True


def _respond_plain(request, conn, status=200, **headers):
    body = {
        "id": request.headers["X-Request-Id"],
        "object": "chat.completion",
        "created": 1,
        "model": "wax",
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "fine"},
                "finish_reason": "stop",
            }
        ],
    }
    headers = {
        "X_Request_Id": request.headers["X-Request-Id"],
        "X_Engine_Boot": BOOT_ID,
        **headers,
    }
    return send_response(conn, status, json.dumps(body).encode(), **headers)


@pytest.fixture(name="engine")
def fake_engine():
    return FakeEngine()


@pytest.fixture(name="backend")
def engine_backend(engine):
    with FakeBackend(engine) as backend:
        yield backend


@pytest.fixture(name="router")
def router_before_engine(backend):
    with RouterUnderTest(note_with_backends(engines={"m1": backend.address})) as router:
        yield router


def _error(response):
    return response.json()["error"]["code"], response.headers["X-Outcome"]


def _released(router, count=1):
    wait_until(lambda: len(router.agent.released) >= count)
    assert len(router.agent.released) == count
    return router.agent.released[-1].evidence


def test_stream_is_relayed_whole_and_the_connection_reused(router, backend):
    """Guards against lost or changed bytes, a lost release and an unused idle connection."""
    for count in (1, 2):
        response = router.chat(stream=True)
        assert response.data == encode_event(1) + encode_event(2) + DONE_EVENT
        evidence = _released(router, count)
        assert evidence.whole
        assert evidence.boot_id == BOOT_ID
    assert backend.connections == 1


def test_client_library_works_unchanged(engine, router):
    """Guards against a response that an ordinary client library cannot read."""

    def chat(request, conn):
        if not json.loads(request.body).get("stream"):
            return _respond_plain(request, conn)
        start_stream(conn, request.headers["X-Request-Id"])
        for text in ("fi", "ne"):
            piece = {
                "id": request.headers["X-Request-Id"],
                "object": "chat.completion.chunk",
                "created": 1,
                "model": "wax",
                "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": None}],
            }
            conn.sendall(encode_chunk(b"data: " + json.dumps(piece).encode() + b"\n\n"))
        if "break" not in json.loads(request.body)["messages"][0]["content"]:
            conn.sendall(encode_chunk(DONE_EVENT) + encode_chunk(b""))
            return True
        return False

    engine.chat = chat
    client = OpenAI(
        api_key=CUSTOMER_KEY,
        base_url=f"http://{router.settings.caller_address}/v1",
        max_retries=0,
    )
    assert [model.id for model in client.models.list()] == ["wax", "wax:v1"]

    def ask(text, stream):
        messages = [{"role": "user", "content": text}]
        return client.chat.completions.create(model="wax", messages=messages, stream=stream)

    assert ask("hello", False).choices[0].message.content == "fine"
    assert "".join(part.choices[0].delta.content for part in ask("hello", True)) == "fine"
    with pytest.raises(APIError):
        list(ask("break", True))


def test_broken_stream_is_resumed_after_the_last_whole_event(engine, router, backend):
    """Guards against a lost, repeated or partial event if the connection breaks within one."""
    comment = b": keeps the connection open\n\n"

    def chat(request, conn):
        start_stream(conn, request.headers["X-Request-Id"])
        conn.sendall(
            encode_chunk(encode_event(1) + comment + encode_event(2))
            + encode_chunk(encode_event(3)[:7])
        )
        return False

    def resume(request, conn):
        start_stream(conn, request.headers["X-Request-Id"])
        conn.sendall(encode_chunk(encode_event(3)) + encode_chunk(DONE_EVENT) + encode_chunk(b""))
        return True

    engine.chat, engine.resume = chat, resume
    response = router.chat(stream=True)
    assert (
        response.data == encode_event(1) + comment + encode_event(2) + encode_event(3) + DONE_EVENT
    )
    request_id = response.headers["X-Request-Id"]
    assert (
        backend.requests_with_method("GET")[0].target == f"/v1/requests/{request_id}/stream?after=2"
    )
    assert _released(router).whole


@pytest.mark.parametrize(
    "ending",
    [b"", encode_chunk(b""), b"zz\r\n", b"5\r\nabcdefgh"],
    ids=["cut", "no end mark", "bad chunk size", "bad chunk end"],
)
def test_stream_that_cannot_be_resumed_ends_in_an_error_event(engine, router, ending):
    """Guards against an incomplete stream that looks complete."""

    def chat(request, conn):
        start_stream(conn, request.headers["X-Request-Id"])
        conn.sendall(encode_chunk(encode_event(1)) + ending)
        return False

    engine.chat = chat
    response = router.chat(stream=True)
    first, last = response.data.split(b"\n\n", 1)
    assert first + b"\n\n" == encode_event(1)
    assert last.startswith(b"event: error\ndata: ")
    document = json.loads(last.partition(b"data: ")[2])
    assert document["error"]["outcome"] == "ran"
    assert not _released(router).whole


def test_resumed_stream_of_a_restarted_engine_is_refused(engine, router):
    """Guards against joining the responses of an engine before and after a restart."""

    def chat(request, conn):
        start_stream(conn, request.headers["X-Request-Id"])
        conn.sendall(encode_chunk(encode_event(1)))
        return False

    def resume(request, conn):
        start_stream(conn, request.headers["X-Request-Id"], "boot-2")
        conn.sendall(encode_chunk(encode_event(2)) + encode_chunk(DONE_EVENT) + encode_chunk(b""))
        return True

    engine.chat, engine.resume = chat, resume
    assert b"event: error" in router.chat(stream=True).data


@pytest.mark.parametrize("headers", [{"X_Request_Id": "another"}, {"X_Request_Id": ""}])
def test_response_to_another_request_never_reaches_the_caller(engine, router, backend, headers):
    """Guards against swapped responses, and against reusing such a connection."""
    engine.chat = lambda request, conn: _respond_plain(request, conn, **headers)
    assert _error(router.chat()) == ("backend_protocol", "unknown")
    engine.chat = _respond_plain
    assert router.chat().status == 200
    connections = [request.connection for request in backend.requests_with_method("POST")]
    assert connections[0] != connections[1]


def test_event_of_another_request_never_reaches_the_caller(engine, router):
    """Guards against a stream that continues with the events of another request."""

    def encode_event_with_id(request_id, number):
        return b'data: {"id":"%s","n":%d}\n\n' % (request_id.encode(), number)

    def chat(request, conn):
        request_id = request.headers["X-Request-Id"]
        start_stream(conn, request_id)
        conn.sendall(encode_chunk(encode_event_with_id(request_id, 1)))
        conn.sendall(
            encode_chunk(encode_event_with_id(request_id, 2) + encode_event_with_id("another", 3))
        )
        conn.sendall(encode_chunk(DONE_EVENT) + encode_chunk(b""))
        return True

    def resume(request, conn):
        request_id = request.headers["X-Request-Id"]
        start_stream(conn, request_id)
        events = [encode_event_with_id(request_id, 1), encode_event_with_id(request_id, 2)]
        rest = events[int(request.target.rpartition("=")[2]) :]
        conn.sendall(encode_chunk(b"".join(rest)) + encode_chunk(DONE_EVENT) + encode_chunk(b""))
        return True

    engine.chat, engine.resume = chat, resume
    response = router.chat(stream=True)
    request_id = response.headers["X-Request-Id"]
    assert (
        response.data
        == encode_event_with_id(request_id, 1) + encode_event_with_id(request_id, 2) + DONE_EVENT
    )


def test_plain_response_is_checked_before_the_caller_sees_a_status(engine, router):
    """Guards against a success status before an incomplete response."""

    def chat(request, conn):
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Request-Id: "
            + request.headers["X-Request-Id"].encode()
            + b"\r\n\r\n{"
        )
        return False

    engine.chat = chat
    assert _error(router.chat()) == ("backend_protocol", "ran")


def test_no_byte_sent_moves_to_another_engine(backend):
    """Guards against a failed request although nothing was sent and another engine is free."""
    note = note_with_backends(engines={"m1": backend.address, "m2": free_address()})
    with RouterUnderTest(note) as router:
        for number in range(8):
            assert router.chat(stream=True, user=str(number)).data.endswith(DONE_EVENT)
        claimed = {request.candidates[0].engine_id for request in router.agent.claims}
        assert claimed == {"m1", "m2"}
        wait_until(lambda: len(router.agent.released) == len(router.agent.claims))


def test_unknown_outcome_is_not_retried_and_holds_its_slot(engine, backend):
    """Guards against two copies of a request at engines, and a slot that is freed too early."""
    engine.chat = lambda request, conn: False
    with RouterUnderTest(note_with_backends(engines={"m1": backend.address})) as router:
        router.agent.max_work_s = 0.5
        assert _error(router.chat()) == ("backend_failed", "unknown")
        assert len(backend.requests_with_method("POST")) == 1
        # The engine does not know the request, but it might still read it.
        assert len(backend.requests_with_method("DELETE")) == 1
        assert not router.agent.released
        assert _released(router).failure == "backend_failed"


@pytest.mark.parametrize("stream", [True, False])
def test_caller_that_leaves_cancels_its_request(engine, router, backend, stream):
    """Guards against work for a caller that disconnected, even before the first token."""
    release = threading.Event()

    def chat(request, conn):
        if stream:
            start_stream(conn, request.headers["X-Request-Id"])
        else:
            head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Request-Id: {}\r\n\r\n"
            conn.sendall(head.format(request.headers["X-Request-Id"]).encode())
        release.wait(10)
        return False

    engine.chat = chat
    engine.cancel = lambda request, conn: send_response(conn, 200, b"{}")
    host, port = router.settings.caller_address.split(":")
    body = json.dumps({"model": "wax", "messages": [{"role": "user"}], "stream": stream})
    head = f"Authorization: Bearer {CUSTOMER_KEY}\r\nContent-Length: {len(body)}"
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(f"POST /v1/chat/completions HTTP/1.1\r\n{head}\r\n\r\n{body}".encode())
        wait_until(lambda: backend.requests_with_method("POST"))
    wait_until(lambda: backend.requests_with_method("DELETE"))
    request_id = backend.requests_with_method("POST")[0].headers["X-Request-Id"]
    assert backend.requests_with_method("DELETE")[0].target == f"/v1/requests/{request_id}"
    assert not _released(router).whole
    release.set()


def test_work_is_cancelled_at_its_longest_time(engine, router, backend):
    """Guards against a request that runs at an engine for longer than its slot may be held."""
    release = threading.Event()

    def chat(request, conn):
        start_stream(conn, request.headers["X-Request-Id"])
        conn.sendall(encode_chunk(encode_event(1)))
        release.wait(10)
        return False

    engine.chat = chat
    router.agent.max_work_s = 0.3
    response = router.chat(stream=True)
    assert b'"code": "backend_timeout"' in response.data
    assert len(backend.requests_with_method("DELETE")) == 1
    release.set()


def test_streams_beyond_the_limit_are_refused(engine, backend):
    """Guards against so many streams in one process that all of them are slow."""
    release = threading.Event()

    def chat(request, conn):
        start_stream(conn, request.headers["X-Request-Id"])
        conn.sendall(encode_chunk(encode_event(1)))
        release.wait(10)
        conn.sendall(encode_chunk(DONE_EVENT) + encode_chunk(b""))
        return True

    engine.chat = chat
    note = note_with_backends(engines={"m1": backend.address})
    with RouterUnderTest(note, max_streams=1) as router:
        first = router.chat(stream=True, preload=False)
        assert _error(router.chat()) == ("too_many_streams", "not_run")
        assert router.request("GET", "/livez").status == 200
        release.set()
        assert first.read() == encode_event(1) + DONE_EVENT
        assert router.chat(stream=True).status == 200


def test_versions_aliases_and_unknown_fields(backend):
    """Guards against a chat that changes its version, and against lost request fields."""
    note = note_with_backends(engines={"m1": backend.address})
    document = note.model_dump(mode="json")
    statement = document["statement"]
    statement["models"] = {
        "wax": {"versions": {"v1": 0.5, "v2": 0.5, "v3": 0.0}, "aliases": ["best"]}
    }
    statement["engines"]["m2"] = {**statement["engines"]["m1"], "version": "v2"}
    with RouterUnderTest(type(note).model_validate_json(json.dumps(document))) as router:

        def engine_of(**fields):
            assert router.chat(stream=True, **fields).status == 200
            return router.agent.claims[-1].candidates[0].engine_id

        chosen = [engine_of(user=str(number)) for number in range(12)]
        assert set(chosen) == {"m1", "m2"}
        assert chosen == [engine_of(user=str(number), model="best") for number in range(12)]
        assert engine_of(model="wax:v2", logit_bias={"7": 1}) == "m2"
        sent = json.loads(backend.requests_with_method("POST")[-1].body)
        assert (sent["model"], sent["logit_bias"]) == ("wax", {"7": 1})
        assert _error(router.chat(model="wax:v3")) == ("no_capacity", "not_run")
        assert _error(router.chat(model="wax:v9")) == ("model_not_found", "not_run")
