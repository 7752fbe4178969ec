"""Invariants that the router checks at run time."""

import socket
from random import Random

import pytest

from tanagerworks.errors import BackendError, InvariantError
from tanagerworks.note.model import ServiceServer
from tanagerworks.outcome import Outcome
from tanagerworks.router.backend_connection import BackendConnection, BackendConnectionPool
from tanagerworks.router.invariants import Invariants
from tanagerworks.router.service_calls import ServiceCall, ServiceCaller


class _NoRetries:
    def record_request(self, backend):
        pass

    def acquire_retry(self, backend):
        return False


def _call(invariants):
    near, far = socket.socketpair()
    with near, far:
        # The server accepts the request and closes the connection without a response.
        far.shutdown(socket.SHUT_WR)
        caller = ServiceCaller(
            BackendConnectionPool(1.0, connect=lambda *_arguments: near),
            _NoRetries(),
            "z1",
            Random(1),
            invariants=invariants,
        )
        call = ServiceCall("r1", "orders", "POST", "/bookings", {}, b"x", repeatable=False)
        server = ServiceServer(address="127.0.0.1:1", zone="z1")
        caller.call(call, {"d1": server})


def test_true_outcome_passes():
    """Guards against an invariant that fails for a correct router."""
    with pytest.raises(BackendError) as caught:
        _call(Invariants(True))
    assert caught.value.outcome is Outcome.UNKNOWN


def test_false_not_run_is_detected(monkeypatch):
    """Guards against a request that was sent and is reported as NOT_RUN."""
    monkeypatch.setattr(
        BackendConnection,
        "_backend_error",
        lambda _self, _error: BackendError("failed", outcome=Outcome.NOT_RUN),
    )
    with pytest.raises(InvariantError):
        _call(Invariants(True))
    with pytest.raises(BackendError):
        _call(Invariants(False))
