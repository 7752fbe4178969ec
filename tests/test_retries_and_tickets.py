"""Retry budget, ticket calls and path rules, without I/O."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerworks.errors import BadPathError, CapacityError, TicketRequiredError
from tanagerworks.outcome import Outcome
from tanagerworks.router.http_rules import split_target
from tanagerworks.routing.retries import (
    INITIAL_RETRIES,
    RecentFailures,
    RetryBudget,
    backoff_s,
    may_retry,
)
from tanagerworks.routing.tickets import (
    CallState,
    Ticket,
    TicketCallStore,
    TicketSigner,
    read_ticket,
)


@pytest.mark.parametrize("repeatable", [True, False])
def test_request_that_ran_is_never_retried(repeatable):
    """Guards against a second execution of a request that ran or may have run."""
    assert not may_retry(Outcome.RAN, repeatable)
    assert may_retry(Outcome.NOT_RUN, repeatable)
    assert may_retry(Outcome.UNKNOWN, repeatable) is repeatable


@settings(derandomize=True)
@given(st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_the_share(steps):
    """Guards against more retries than the initial tokens and a tenth of the requests."""
    budget = RetryBudget(0.1)
    requests = retries = 0
    for is_request in steps:
        if is_request:
            budget.record_request("m1")
            requests += 1
        else:
            retries += budget.acquire_retry("m1")
        assert retries <= INITIAL_RETRIES + 0.1 * requests + 1e-9


def test_backoff_is_bounded_and_failures_expire():
    """Guards against unbounded delays, and against a server that is avoided for ever."""
    random = Random(1)
    assert all(0 <= backoff_s(attempt, random) <= 0.5 for attempt in range(1, 30))
    failures = RecentFailures()
    failures.record_attempt("m1", True, 0.0)
    assert failures.is_avoided("m1", 0.4)
    assert not failures.is_avoided("m1", 0.6)
    failures.record_attempt("m1", True, 0.6)
    assert failures.is_avoided("m1", 1.5)
    failures.record_attempt("m1", False, 1.5)
    assert not failures.is_avoided("m1", 1.5)


def _ticket(nonce, expires_at_s=10.0):
    return Ticket("i", "127.0.0.1:1", "c", "orders", nonce, expires_at_s)


@settings(derandomize=True)
@given(st.text(max_size=60), st.integers(0, 400), st.characters(max_codepoint=127))
def test_changed_ticket_is_refused(text, place, character):
    """Guards against a forged ticket, and against an error of another type."""
    signer = TicketSigner(bytes(32))
    signed = signer.sign(_ticket("n"))
    assert signer.verify(signed) == _ticket("n")
    place %= len(signed)
    changed = signed[:place] + character + signed[place + 1 :]
    if changed != signed:
        with pytest.raises(TicketRequiredError):
            signer.verify(changed)
    with pytest.raises(TicketRequiredError):
        read_ticket("tt1." + text)


def test_ticket_calls_are_bounded():
    """Guards against memory use that grows with the number of calls."""
    calls = TicketCallStore(max_calls=2, max_bytes=10)
    first, _ = calls.start_call(_ticket("a"), "d", 0.0)
    second, _ = calls.start_call(_ticket("b"), "d", 0.0)
    calls.finish_call("a", first, "kept", 8)
    calls.finish_call("b", second, "too large", 3)
    assert (first.state, second.state) == (CallState.FINISHED, CallState.RESULT_DROPPED)
    with pytest.raises(CapacityError):
        calls.start_call(_ticket("c"), "d", 5.0)
    _, is_new = calls.start_call(_ticket("c", 20.0), "d", 11.0)
    assert is_new
    assert calls.stored_bytes == 0
    assert set(calls.calls) == {"c"}


@settings(derandomize=True)
@given(st.text(st.characters(max_codepoint=255), max_size=30))
def test_accepted_path_has_one_meaning(text):
    """Guards against a path that a backend could resolve to another one."""
    try:
        path, _ = split_target("/" + text)
    except BadPathError:
        return
    parts = path.split("/")[1:]
    assert not any(part in (".", "..") for part in parts)
    assert all(parts[:-1])
    assert not any(character < " " or character in "\\\x7f" for character in path)
