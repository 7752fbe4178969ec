"""Calls to plain services through a router in this process, with servers that fail."""

import json
import socket
from gzip import compress

import pytest

from tanagerworks.routing.tickets import request_digest
from tests.builders import CUSTOMER_KEY, OTHER_CUSTOMER_KEY, note_with_backends
from tests.fakes import FakeBackend, RouterUnderTest, send_response
from tools.fleet import free_address


def _respond_booked(request, conn):
    return send_response(conn, 201, b"booked " + request.body, X_Server="desk")


def _close_connection(request, conn):
    return False


def _outcome(response):
    return response.status, response.headers.get("X-Outcome")


def test_refused_connection_is_not_run_and_not_moved():
    """Guards against a non-repeatable call that is sent to a second server."""
    with FakeBackend(_respond_booked) as server:
        note = note_with_backends(servers={"d1": free_address(), "d2": server.address})
        with RouterUnderTest(note) as router:
            outcomes = {
                _outcome(router.request("POST", "/services/orders/bookings", b"x"))
                for _ in range(12)
            }
            assert outcomes == {(502, "not_run"), (201, None)}
            assert {request.connection for request in server.requests} == set(
                range(1, len(server.requests) + 1)
            )


@pytest.mark.parametrize(
    ("path", "method", "executions"),
    [
        ("/bookings", "POST", 1),
        ("/draw/7", "GET", 1),
        ("/draws", "GET", 4),
        ("/quotes/a", "POST", 4),
        ("/quotesx", "POST", 1),
        ("/stock", "PUT", 4),
    ],
)
def test_break_after_the_request_is_unknown(path, method, executions):
    """Guards against a retry that the route with the longest prefix forbids."""
    with (
        FakeBackend(_close_connection) as server,
        RouterUnderTest(note_with_backends(servers={"d1": server.address})) as router,
    ):
        response = router.request(method, f"/services/orders{path}", b"")
        assert _outcome(response) == (502, "unknown")
        assert len(server.requests) == executions


def test_server_that_closed_the_idle_connection_is_not_taken_for_not_run():
    """Guards against NOT_RUN after bytes were sent on a pooled connection that was closed."""

    def handle(request, conn):
        if request.target == "/quotes/first":
            return send_response(conn, 200, b"")
        return False

    with (
        FakeBackend(handle) as server,
        RouterUnderTest(note_with_backends(servers={"d1": server.address})) as router,
    ):
        assert router.request("POST", "/services/orders/quotes/first").status == 200
        response = router.request("POST", "/services/orders/quotes/second")
        assert _outcome(response) == (502, "unknown")
        assert server.requests[0].connection == server.requests[1].connection


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nshort\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno length",
    ],
)
def test_broken_response_ran_and_is_not_retried(raw):
    """Guards against an incomplete response with a success status, and a retry after RAN."""

    def handle(request, conn):
        conn.sendall(raw)
        return False

    with (
        FakeBackend(handle) as server,
        RouterUnderTest(note_with_backends(servers={"d1": server.address})) as router,
    ):
        assert _outcome(router.request("GET", "/services/orders/stock")) == (502, "ran")
        assert len(server.requests) == 1


@pytest.mark.parametrize(("trusted", "outcome"), [(True, "not_run"), (False, "unknown")])
def test_refusal_is_not_run_only_if_trusted(trusted, outcome):
    """Guards against trusting a refusal although the release note does not allow it."""
    with (
        FakeBackend(lambda _, conn: send_response(conn, 503, b"busy")) as server,
        RouterUnderTest(
            note_with_backends(servers={"d1": server.address}, trust_refusal=trusted)
        ) as router,
    ):
        response = router.request("POST", "/services/orders/bookings", b"x")
        assert _outcome(response) == (503, outcome)
        assert len(server.requests) == 1


def test_repeatable_call_moves_to_another_server():
    """Guards against a repeatable call that fails although another server could serve it."""
    with FakeBackend(_respond_booked) as server:
        note = note_with_backends(servers={"d1": free_address(), "d2": server.address})
        with RouterUnderTest(note) as router:
            responses = [router.request("GET", "/services/orders/stock") for _ in range(6)]
            assert {response.status for response in responses} == {201}


def test_hop_by_hop_headers_and_keys_are_not_relayed():
    """Guards against relaying a customer's key or a hop-by-hop header."""

    def handle(request, conn):
        hop = {"Connection": "keep-alive, X-Hop", "X_Hop": "1"}
        return send_response(conn, 200, compress(b"ok"), Content_Encoding="gzip", **hop)

    with (
        FakeBackend(handle) as server,
        RouterUnderTest(note_with_backends(servers={"d1": server.address})) as router,
    ):
        response = router.request(
            "POST",
            "/services/orders/bookings?a=%2F1",
            b"x",
            Connection="X-Secret",
            X_Secret="s",
            X_Order_Number="7",
            TE="trailers",
            Proxy_Authorization="p",
        )
        assert response.status == 200
        assert "X-Hop" not in response.headers
        assert response.data == b"ok"
        (seen,) = server.requests
        assert seen.target == "/bookings?a=%2F1"
        assert seen.headers["X-Order-Number"] == "7"
        assert seen.headers["X-Request-Id"] == response.headers["X-Request-Id"]
        for name in ("X-Secret", "Te", "Proxy-Authorization", "Authorization"):
            assert name not in seen.headers


@pytest.mark.parametrize(
    "path",
    [
        "/services/orders/../admin",
        "/services/orders/a/%2e%2e/admin",
        "/services/orders/%252e%252e/admin",
        "/services/orders//admin",
        "/services/orders/a%2fb",
        "/services/orders/a%5cb",
        "/services/orders/a\\b",
        "/services/orders/a%00b",
        "/services/orders/a%0d%0aX: 1",
        "/services/orders/..;x/admin",
        "/services/orders/%ff",
        "/services/orders/%2",
        "/services/%6frders/stock",
        "http://127.0.0.1:1/services/orders/stock",
        "//orders/services/orders/stock",
    ],
)
def test_path_that_could_mean_another_path_is_refused(path):
    """Guards against a path that a server resolves differently from the route rules."""
    with (
        FakeBackend(_respond_booked) as server,
        RouterUnderTest(note_with_backends(servers={"d1": server.address})) as router,
    ):
        host, port = router.settings.caller_address.split(":")
        with socket.create_connection((host, int(port))) as caller:
            line = f"GET {path} HTTP/1.1\r\nAuthorization: Bearer {CUSTOMER_KEY}\r\n\r\n"
            caller.sendall(line.encode())
            head, _, _ = caller.recv(65536).partition(b"\r\n\r\n")
        assert head.startswith((b"HTTP/1.1 400", b"HTTP/1.1 404"))
        assert b"X-Outcome: not_run" in head
        assert not server.requests


def _ticket(router, key=CUSTOMER_KEY, **fields):
    response = router.request(
        "POST", "/v1/tickets", json.dumps({"service": "orders", **fields}), key=key
    )
    assert response.status == 201
    return response.json()["ticket"]


def _book(router, ticket, body=b"x", key=CUSTOMER_KEY):
    return router.request(
        "POST", "/services/orders/bookings", body, key=key, Idempotency_Key=ticket
    )


def test_ticket_runs_once_and_replays():
    """Guards against a second execution, another request or another customer with a ticket."""
    with (
        FakeBackend(_respond_booked) as server,
        RouterUnderTest(note_with_backends(servers={"d1": server.address})) as router,
    ):
        ticket = _ticket(router)
        first, second = _book(router, ticket), _book(router, ticket)
        assert (first.status, first.data) == (second.status, second.data) == (201, b"booked x")
        assert second.headers["Idempotent-Replayed"] == "true"
        assert _book(router, ticket, b"y").json()["error"]["code"] == "ticket_mismatch"
        assert (
            _book(router, ticket, key=OTHER_CUSTOMER_KEY).json()["error"]["code"]
            == "ticket_mismatch"
        )
        bound = _ticket(router, request_sha256=request_digest("POST", "/bookings", b"z"))
        assert _book(router, bound).json()["error"]["code"] == "ticket_mismatch"
        assert _book(router, bound, b"z").status == 201
        assert len(server.requests) == 2
        assert all("Idempotency-Key" not in request.headers for request in server.requests)


def test_self_made_or_forged_key_needs_a_ticket():
    """Guards against running a call with a key whose retries would not be detected."""
    with (
        FakeBackend(_respond_booked) as server,
        RouterUnderTest(note_with_backends(servers={"d1": server.address})) as router,
    ):
        genuine = _ticket(router)
        for key in ("my-own-key", "tt1.e30.x", genuine[:-2] + "AA", "tt1." + "A" * 2000):
            response = _book(router, key)
            assert response.json()["error"]["code"] == "ticket_required"
            assert response.headers["X-Outcome"] == "not_run"
        assert not server.requests


def test_ticket_after_failures():
    """Guards against a lost outcome: UNKNOWN is replayed, a call that did not run may run."""
    modes = [_close_connection, lambda _, conn: send_response(conn, 503, b"busy"), _respond_booked]
    with (
        FakeBackend(lambda request, conn: modes[0](request, conn)) as server,
        RouterUnderTest(
            note_with_backends(servers={"d1": server.address}, trust_refusal=True)
        ) as router,
    ):
        broken = _ticket(router)
        assert _outcome(_book(router, broken)) == (502, "unknown")
        assert _outcome(_book(router, broken)) == (502, "unknown")
        assert len(server.requests) == 1
        modes.pop(0)
        refused = _ticket(router)
        assert _outcome(_book(router, refused)) == (503, "not_run")
        modes.pop(0)
        assert _book(router, refused).status == 201


def test_ticket_at_another_router_and_after_its_issuer_ended():
    """Guards against a second execution through another node, with or without the issuer."""
    with FakeBackend(_respond_booked) as server:
        note = note_with_backends(servers={"d1": server.address})
        with RouterUnderTest(note) as other:
            with RouterUnderTest(note) as issuer:
                ticket = _ticket(issuer)
                assert _book(other, ticket).data == b"booked x"
                assert _book(issuer, ticket).headers["Idempotent-Replayed"] == "true"
                assert _book(other, ticket).headers["Idempotent-Replayed"] == "true"
                unused = _ticket(issuer)
            for gone in (ticket, unused):
                response = _book(other, gone)
                assert response.json()["error"]["code"] == "ticket_unknown"
                assert response.headers["X-Outcome"] == "unknown"
        assert len(server.requests) == 1


def test_expired_ticket_is_unknown():
    """Guards against running a call whose first outcome may no longer be stored."""
    with (
        FakeBackend(_respond_booked) as server,
        RouterUnderTest(
            note_with_backends(servers={"d1": server.address}), ticket_lifetime_s=1e-6
        ) as router,
    ):
        response = _book(router, _ticket(router))
        assert (response.status, response.headers["X-Outcome"]) == (409, "unknown")
        assert not server.requests


def test_key_is_passed_on_if_the_service_deduplicates():
    """Guards against withholding the key from a service that needs it to deduplicate."""
    with (
        FakeBackend(_respond_booked) as server,
        RouterUnderTest(
            note_with_backends(servers={"d1": server.address}, deduplicates_by_key=True)
        ) as router,
    ):
        assert _book(router, "my-own-key").status == 201
        assert server.requests[0].headers["Idempotency-Key"] == "my-own-key"
