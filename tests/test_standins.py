"""Counters and faults of the stand-in processes, on which the demo and the soak test rely."""

import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest
from urllib3.exceptions import HTTPError

from tanagerworks.standin.answers import expected_answer
from tools.fleet import Fleet, free_address, free_port

_MESSAGES = [{"role": "user", "content": "How coarse is the winter wax? " * 20}]


@pytest.fixture(name="fleet")
def fleet_of_standins(tmp_path):
    with Fleet(tmp_path) as fleet:
        yield fleet


def _start_engine(fleet, **settings):
    address = free_address()
    fleet.start_engine("m1", address, **settings)
    fleet.wait_until_ready("m1", f"http://{address}/v1/boot")
    return f"http://{address}"


def _post_json(fleet, url, document, **headers):
    return fleet.pool.request("POST", url, body=json.dumps(document), headers=headers, timeout=10)


def _send_chat(fleet, engine, request_id="r1", stream=False, **fields):
    body = {"model": "wax", "messages": _MESSAGES, "stream": stream, **fields}
    headers = {"X-Request-Id": request_id}
    return _post_json(fleet, f"{engine}/v1/chat/completions", body, **headers)


def _get_counters(fleet, engine):
    return fleet.get_json(f"{engine}/control/counters")


def _wait_until(condition):
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline, "condition not reached"
        time.sleep(0.01)


def _join_stream_text(stream):
    lines = [line[6:] for line in stream.decode().splitlines() if line.startswith("data: {")]
    events = [json.loads(line)["choices"][0]["delta"] for line in lines]
    return "".join(event.get("content", "") for event in events)


def test_engine_answers_its_own_prompt_and_caches_it(fleet):
    """Guards against unpredictable answers and a prefix cache that has no effect.

    Callers detect wrong answers by computing the expected one from the prompt.
    """
    engine = _start_engine(fleet, starts_warm=True, cache_event_lag_s=0.0)
    whole = _send_chat(fleet, engine).json()["choices"][0]["message"]["content"]
    assert whole == expected_answer(_MESSAGES)
    assert _join_stream_text(_send_chat(fleet, engine, stream=True).data) == whole
    counters = _get_counters(fleet, engine)
    assert counters["cached_tokens"] * 2 == counters["prompt_tokens"]
    events = fleet.get_json(f"{engine}/v1/cache/events?after=0")["events"]
    assert [event["kind"] for event in events] == ["stored", "stored"]


def test_engine_counts_overload_but_not_a_closed_request(fleet):
    """Guards against a wrong count of overloads.

    A request above the slots must be counted; one that arrives right after its predecessor
    disconnected must not, even if the event loop has not handled the disconnect yet.
    """
    engine = _start_engine(fleet, slots=2, starts_warm=True, first_token_s=0.3)
    with ThreadPoolExecutor(3) as threads:
        list(threads.map(lambda number: _send_chat(fleet, engine, f"r{number}"), range(3)))
    counters = _get_counters(fleet, engine)
    assert (counters["max_running"], counters["overloaded_samples"]) == (3, 1)

    host, port = engine.removeprefix("http://").split(":")
    body = json.dumps({"model": "wax", "messages": _MESSAGES, "stream": True}).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: m1\r\nContent-Length: {len(body)}\r\n\r\n"
    for _number in range(20):
        with socket.create_connection((host, int(port))) as client:
            client.sendall(head.encode() + body)
            assert client.recv(64).startswith(b"HTTP/1.1 200")
    counters = _get_counters(fleet, engine)
    assert counters["overloaded_samples"] == 1
    assert counters["clients_gone"] >= 19


def test_cold_engine_counts_work_above_its_allowance(fleet):
    """Guards against missing the overload of an engine whose allowance a cold start reduced."""
    engine = _start_engine(fleet, slots=8, cold_slots=1, warm_answers=1, first_token_s=0.2)
    with ThreadPoolExecutor(2) as threads:
        list(threads.map(lambda number: _send_chat(fleet, engine, f"r{number}"), range(2)))
    counters = _get_counters(fleet, engine)
    assert (counters["cold_overruns"], counters["allowance"]) == (1, 4)
    _post_json(fleet, f"{engine}/control/cold", {"break_connections": False})
    assert _get_counters(fleet, engine)["allowance"] == 1
    assert _get_counters(fleet, engine)["boot_id"] != counters["boot_id"]


def test_broken_stream_can_be_resumed_and_crossed_answer_is_marked(fleet):
    """Guards against a resumed stream that repeats or loses events of the broken one.

    A crossed answer must differ from the expected one in id and text.
    """
    engine = _start_engine(fleet, starts_warm=True, tokens_per_s=1000.0)
    _post_json(fleet, f"{engine}/control/faults", {"break_share": 1.0})
    answer = fleet.pool.request(
        "POST",
        f"{engine}/v1/chat/completions",
        body=json.dumps({"model": "wax", "messages": _MESSAGES, "stream": True}),
        headers={"X-Request-Id": "r9"},
        preload_content=False,
    )
    pieces = []
    with pytest.raises(HTTPError):
        pieces.extend(iter(answer.read1, b""))
    received = b"".join(pieces)
    assert _get_counters(fleet, engine)["running"] == 0
    count = received.count(b"data: ")
    rest = fleet.pool.request("GET", f"{engine}/v1/requests/r9/stream?after={count}").data
    assert _join_stream_text(received) + _join_stream_text(rest) == expected_answer(_MESSAGES)
    assert rest.endswith(b"data: [DONE]\n\n")
    _post_json(fleet, f"{engine}/control/faults", {"break_share": 0.0, "crossed_share": 1.0})
    crossed = _send_chat(fleet, engine, "r10")
    assert crossed.headers["X-Request-Id"] != "r10"
    assert crossed.json()["choices"][0]["message"]["content"] != expected_answer(_MESSAGES)


def test_engine_orders_respect_fencing_only_if_set(fleet):
    """Guards against an engine that accepts a late order although it checks fencing numbers."""
    engine = _start_engine(fleet, checks_fencing=True)
    order = {"kind": "change_role", "argument": "prefill", "fencing": 7}
    assert _post_json(fleet, f"{engine}/v1/orders", order).status == 200
    late = {**order, "argument": "serve", "fencing": 6}
    assert _post_json(fleet, f"{engine}/v1/orders", late).status == 409


def test_order_service_counts_executions_of_broken_calls(fleet):
    """Guards against missing executions in the count.

    An order whose connection breaks before it runs is not counted, one whose connection breaks
    afterwards is.
    """
    address = free_address()
    fleet.start_order_service("s1", address)
    service = f"http://{address}"
    fleet.wait_until_ready("s1", f"{service}/control/executions")
    number = {"X-Order-Number": "o1"}
    assert _post_json(fleet, f"{service}/bookings", {}, **number).status == 201
    for faults in ({"break_before_share": 1.0}, {"break_after_share": 1.0}):
        _post_json(
            fleet,
            f"{service}/control/faults",
            {"break_before_share": 0, **faults},
        )
        with pytest.raises(HTTPError):
            _post_json(fleet, f"{service}/debits", {}, **number)
    _wait_until(lambda: fleet.get_json(f"{service}/control/executions")["executions"] == {"o1": 2})


def test_platform_fails_for_some_readers_and_bounds_calls(fleet):
    """Guards against faults that affect all readers, and against an unlimited call rate.

    Rules make one reader get old values and another one no response; further readers get the
    current value until the call limit is exceeded.
    """
    fleet.start_platform(calls_per_s=10.0, vm_lag_s=0.0)
    platform = f"http://{fleet.platform_address}"

    def read(reader):
        url = f"{platform}/v1/values/release-note"
        return fleet.pool.request("GET", url, headers={"X-Reader": reader}, timeout=5)

    fleet.publish_note({"serial": 1}, key="release-note")
    _post_json(fleet, f"{platform}/control/readers", {"mode": "stale", "readers": ["n1"]})
    _post_json(fleet, f"{platform}/control/readers", {"mode": "down", "readers": ["n2"]})
    fleet.publish_note({"serial": 2}, key="release-note")
    assert read("n1").data == b"serial: 1\n"
    assert read("n3").data == b"serial: 2\n"
    with pytest.raises(HTTPError):
        read("n2")
    _post_json(fleet, f"{platform}/control/vms", {"m1": "leaving"})
    assert fleet.get_json(f"{platform}/v1/vms") == {"vms": {"m1": "leaving"}}
    with ThreadPoolExecutor(8) as threads:
        answers = list(threads.map(lambda _number: read("n3").status, range(120)))
    assert 429 in answers


def test_port_that_is_taken_for_datagrams_is_not_free(monkeypatch):
    """Guards against processes that cannot start as another one has their port for UDP."""
    with socket.socket(type=socket.SOCK_DGRAM) as holder:
        holder.bind(("127.0.0.1", 0))
        other = free_port()
        order = iter([holder.getsockname()[1], other])
        monkeypatch.setattr("tools.fleet._allocated_ports", set())
        monkeypatch.setattr(
            "tools.fleet._RANDOM", SimpleNamespace(choice=lambda _ports: next(order))
        )
        assert free_port() == other
