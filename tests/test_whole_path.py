"""Requests through separate processes, from the caller to the engine."""

import json

import pytest

from tests.builders import CUSTOMER_KEY
from tests.small_fleet import small_fleet


@pytest.fixture(name="running")
def running_fleet(tmp_path):
    with small_fleet(tmp_path) as (fleet, node, engine_address):
        yield fleet, node.caller_addresses[0], engine_address


def _chat(fleet, caller, key=CUSTOMER_KEY, stream=False):
    body = {
        "model": "wax",
        "messages": [{"role": "user", "content": "How coarse is the winter wax?"}],
        "max_tokens": 5,
        "stream": stream,
    }
    return fleet.pool.request(
        "POST",
        f"http://{caller}/v1/chat/completions",
        body=json.dumps(body),
        headers={"Authorization": f"Bearer {key}"},
    )


def test_request_is_served_end_to_end(running):
    """Guards against a failure anywhere between caller and engine."""
    fleet, caller, engine_address = running
    plain = _chat(fleet, caller)
    assert plain.status == 200
    assert plain.json()["id"] == plain.headers["X-Request-Id"]
    assert len(plain.json()["choices"][0]["message"]["content"].split()) == 5
    streamed = _chat(fleet, caller, stream=True)
    assert streamed.data.endswith(b"data: [DONE]\n\n")
    counters = fleet.get_json(f"http://{engine_address}/control/counters")
    assert counters["requests"] == 2
    assert counters["overloaded_samples"] == 0


def test_wrong_key_reaches_no_engine(running):
    """Guards against serving a caller without a customer's key."""
    fleet, caller, engine_address = running
    response = _chat(fleet, caller, key="wrong")
    assert response.status == 401
    assert response.json()["error"]["code"] == "invalid_api_key"
    assert response.headers["X-Outcome"] == "not_run"
    assert fleet.get_json(f"http://{engine_address}/control/counters")["requests"] == 0
