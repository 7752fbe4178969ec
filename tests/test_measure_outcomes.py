"""Outcomes of calls under random faults; the measurement must detect a faulty router."""

import pytest

from tanagerworks.errors import BackendError
from tanagerworks.outcome import Outcome
from tanagerworks.router import service_endpoint
from tanagerworks.router.backend_connection import BackendConnection
from tanagerworks.router.service_calls import ServiceCaller
from tanagerworks.routing.tickets import TicketCallStore
from tools.measure_outcomes import simulate_amplification, simulate_outcomes

_REQUESTS = 3000


def test_outcomes_hold_under_all_failures():
    """Guards against calls that run twice or are reported as NOT_RUN but may have run."""
    metrics = simulate_outcomes(7, _REQUESTS)
    assert metrics["outcome.requests"] >= _REQUESTS
    assert metrics["outcome.double_executions"] == 0
    assert metrics["outcome.false_not_run"] == 0


def _not_run_always(self, error):
    return BackendError("failed", outcome=Outcome.NOT_RUN)


def _discard_result(self, nonce, call, result, size_bytes):
    self.remove_call(nonce, call)


def _all_refusals_trusted(original):
    def read(self, call, response):
        return original(self, type(call)(**{**vars(call), "trust_refusal": True}), response)

    return read


@pytest.mark.parametrize(
    ("owner", "name", "broken", "metric"),
    [
        (BackendConnection, "_backend_error", _not_run_always, "outcome.false_not_run"),
        (
            ServiceCaller,
            "_read_response",
            _all_refusals_trusted(ServiceCaller._read_response),
            "outcome.false_not_run",
        ),
        (
            service_endpoint,
            "is_repeatable",
            lambda *_: True,
            "outcome.double_executions",
        ),
        (TicketCallStore, "finish_call", _discard_result, "outcome.double_executions"),
    ],
    ids=["bytes not counted", "refusals trusted", "all repeated", "result discarded"],
)
def test_broken_router_is_caught(monkeypatch, owner, name, broken, metric):
    """Guards against a measurement that reports zero although the router has a fault."""
    monkeypatch.setattr(owner, name, broken)
    assert simulate_outcomes(7, _REQUESTS)[metric] > 0


def test_retries_do_not_amplify(monkeypatch):
    """Guards against retries that multiply the load of the servers that still work."""
    assert simulate_amplification(7, 3000) <= 1.1
    monkeypatch.setattr("tanagerworks.routing.retries.RetryBudget.acquire_retry", lambda *_: True)
    monkeypatch.setattr("tanagerworks.routing.retries.RecentFailures.is_avoided", lambda *_: False)
    assert simulate_amplification(7, 3000) > 1.1
