"""Invalid requests on the caller port: each gets a typed error and reaches no backend server."""

import json
import logging
import socket

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.builders import CUSTOMER_KEY, note_with_backends
from tests.fakes import FakeBackend, RouterUnderTest, send_response

_SECRET = "the-text-of-a-chat"
_FUZZ = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
_CHAT = {"model": "wax", "messages": [{"role": "user", "content": _SECRET}]}
_LATIN = st.characters(max_codepoint=255)


@pytest.fixture(name="port", scope="module")
def open_port():
    records = []
    handler = logging.Handler()
    handler.emit = records.append
    root = logging.getLogger()
    level = root.level
    root.addHandler(handler)
    root.setLevel(logging.DEBUG)
    with FakeBackend(lambda _, conn: send_response(conn, 200, b"{}")) as backend:
        note = note_with_backends(engines={"m1": backend.address}, servers={"d1": backend.address})
        with RouterUnderTest(
            note, request_read_timeout_s=1.0, max_body_bytes=20_000, max_header_bytes=8_000
        ) as router:
            yield _Port(router, backend, records)
    root.setLevel(level)
    root.removeHandler(handler)


class _Port:
    def __init__(self, router, backend, records):
        host, port = router.settings.caller_address.split(":")
        self.address = host, int(port)
        self.backend = backend
        self.records = records

    def send(self, raw, half_close=True):
        """Sends bytes; returns what the server sends until it closes the connection."""
        with socket.create_connection(self.address, 10) as caller:
            received = b""
            try:
                caller.sendall(raw)
                if half_close:
                    caller.shutdown(socket.SHUT_WR)
                while data := caller.recv(65536):
                    received += data
            except ConnectionError:
                pass
            return received

    def refuse(self, raw, half_close=True):
        """Sends bytes that must be refused with one typed error; returns status and code."""
        response = self.send(raw, half_close)
        head, _, body = response.partition(b"\r\n\r\n")
        assert response.count(b"HTTP/1.1 ") == 1, response
        status = int(head.split()[1])
        assert 400 <= status < 500, response
        assert b"X-Outcome: not_run" in head
        error = json.loads(body)["error"]
        assert error["outcome"] == "not_run"
        self.check_no_trace()
        return status, error["code"]

    def check_no_trace(self):
        seen, self.backend.requests = self.backend.requests, []
        assert not seen
        text = "\n".join(str(vars(record)) for record in self.records)
        self.records.clear()
        assert _SECRET not in text
        assert CUSTOMER_KEY not in text
        assert "fuzzed-key" not in text


def _request(body, *lines, method="POST", target="/v1/chat/completions", key=CUSTOMER_KEY):
    """Returns a request; a length in `lines` replaces the correct one."""
    text = "".join(f"{line}\r\n" for line in lines)
    if "content-length" not in text.lower() and "transfer-encoding" not in text.lower():
        text += f"Content-Length: {len(body)}\r\n"
    head = f"{method} {target} HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer {key}\r\n{text}\r\n"
    return head.encode("latin-1") + body


def _chat(**fields):
    return json.dumps({**_CHAT, **fields}).encode()


@_FUZZ
@given(st.binary(min_size=1, max_size=200))
def test_bytes_that_are_no_request(port, line):
    """Guards against a crash, a hang or a plain-text error on malformed HTTP."""
    port.refuse(b"x" + line + b"\r\n\r\n")


@_FUZZ
@given(
    st.sampled_from(["", " ", "a b", "X\x00", "\u00e9", "X-\x7f", "Transfer-Encoding "]),
    st.text(_LATIN, max_size=30),
)
def test_malformed_header_names(port, name, value):
    """Guards against header lines that another parser reads differently."""
    port.refuse(_request(_chat(), f"{name}: {value}"))


@pytest.mark.parametrize("control", ["\x00", "\x01", "\x0b", "\x7f", "a\rX: 1", "a\nX: 1", "\r"])
@pytest.mark.parametrize("target", ["/v1/chat/completions", "/services/orders/bookings"])
def test_header_injection(port, control, target):
    """Guards against a value that becomes another header at a backend server."""
    port.refuse(_request(_chat(), f"X-Order-Number: 7{control}", target=target))


@pytest.mark.parametrize(
    "lines",
    [
        ("Content-Length: 5", "Content-Length: 6"),
        ("Content-Length: 5, 5",),
        ("Content-Length: 5", "Transfer-Encoding: chunked"),
        ("Transfer-Encoding: chunked", "Transfer-Encoding: identity"),
        ("Transfer-Encoding: chunked, identity",),
        ("Transfer-Encoding: xchunked",),
        ("Transfer-Encoding:\x0bchunked",),
        ("Transfer-Encoding : chunked",),
        (" Transfer-Encoding: chunked", "Content-Length: 5"),
        ("Content-Length: +5",),
        ("Content-Length: -5",),
        ("Content-Length: 0x5",),
        ("Content-Length: 5_0",),
        ("Content-Length: ",),
        ("Content-Length: 99999999999999999999",),
    ],
)
def test_lengths_that_two_parsers_read_differently(port, lines):
    """Guards against request smuggling in the body of a request."""
    smuggled = _request(b"", method="GET", target="/v1/models")
    assert port.refuse(_request(b"5\r\nhello\r\n0\r\n\r\n" + smuggled, *lines))[0] in (400, 413)


def test_request_behind_a_trailer_is_not_served(port):
    """Guards against a trailer that is parsed as the next request."""
    body = b"2\r\n{}\r\n0\r\nX: 1\r\n\r\n" + _request(b"", method="GET", target="/v1/models")
    assert port.refuse(_request(body, "Transfer-Encoding: chunked")) == (400, "bad_request")


@_FUZZ
@given(st.sampled_from([b"zz", b"-5", b"", b"5", b"ffffffffffff", b"7\r\nab"]), st.binary())
def test_broken_chunks(port, size, rest):
    """Guards against accepting a body whose end is not certain."""
    port.refuse(_request(size + b"\r\n\xff" + rest, "Transfer-Encoding: chunked"))


@pytest.mark.parametrize("missing", [1, 30, 10_000])
def test_truncated_body(port, missing):
    """Guards against an incomplete body that is accepted as complete."""
    body = _chat()
    raw = _request(body, f"Content-Length: {len(body) + missing}")
    assert port.refuse(raw) == (400, "bad_request")


@pytest.mark.parametrize("sent", [b"", b"POST /v1/chat", _request(_chat())[:-5]])
def test_slow_request(port, sent):
    """Guards against callers that occupy threads by sending a request slowly."""
    if not sent:
        # No request was started, so there is no response.
        assert port.send(b"", half_close=True) == b""
        return
    assert port.refuse(sent, half_close=False) == (408, "request_timeout")


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (_request(b"", "X-Long: " + "a" * 9000), 413),
        (_request(b"", *[f"X-{number}: 1" for number in range(200)]), 400),
        (_request(b"", target="/" + "a" * 9000), 413),
        (_request(b"a" * 20_001), 413),
        (
            _request(
                b"1388\r\n" + b"a" * 5000 + b"\r\n" + b"ffff\r\n", "Transfer-Encoding: chunked"
            ),
            413,
        ),
    ],
    ids=["header", "headers", "target", "body", "chunks"],
)
def test_oversized_requests(port, raw, status):
    """Guards against callers that exhaust the memory."""
    assert port.refuse(raw) == (status, "payload_too_large" if status == 413 else "bad_request")


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)


@_FUZZ
@given(_JSON)
def test_wrong_documents(port, document):
    """Guards against an untyped error on a JSON document of the wrong structure."""
    port.refuse(_request(json.dumps(document).encode()))
    port.refuse(_request(json.dumps(document).encode(), target="/v1/tickets"))


@_FUZZ
@given(st.sampled_from(["model", "messages", "stream"]), _JSON)
def test_wrong_types(port, name, value):
    """Guards against an untyped error on a field of the wrong type."""
    fields = {"model": "no-such-model", name: value}
    port.refuse(_request(_chat(**fields)))


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 15_000,
        b'{"messages":' + b"[" * 9_000 + b"]" * 9_000 + b"}",
        _chat()[:-1],
        b"\xff\xfe{}",
        b"NaN",
        b"",
    ],
)
def test_broken_json(port, body):
    """Guards against a parser that exhausts the stack, and against incomplete documents."""
    assert port.refuse(_request(body)) == (400, "bad_request")


@_FUZZ
@given(st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=20))
def test_unknown_keys(port, text):
    """Guards against accepting a key that is only similar to a customer's."""
    for key in (f"fuzzed-key{text}", CUSTOMER_KEY + text + "x"):
        for target in ("/v1/chat/completions", "/v1/tickets", "/services/orders/bookings"):
            status, code = port.refuse(_request(_chat(), key=key, target=target))
            assert (status, code) in ((401, "invalid_api_key"), (400, "bad_request"))


@_FUZZ
@given(
    st.lists(
        st.sampled_from(["..", "%2e%2e", ".%2E", "%252e%252e", "%2f..", "..;a", "", "%5c..", "\\"]),
        min_size=1,
        max_size=3,
    ),
    st.sampled_from(["GET", "POST", "DELETE"]),
)
def test_path_escapes(port, parts, method):
    """Guards against a path that reaches another service at the backend server."""
    target = "/services/orders/a/" + "/".join(parts) + "/b"
    assert port.refuse(_request(b"", method=method, target=target))[0] == 400
