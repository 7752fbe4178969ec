"""What the log and the metrics say of the requests that a planned stop refuses, ends or leaves."""

import asyncio
import math
import os
import signal
import time
from queue import Queue

from adapter.backend_http import BackendHttp
from adapter.caller_http import CallerHttp
from adapter.store import MetadataStore

from tanagerworks.edge import pipeline as pipeline_module
from tanagerworks.edge.main import _run_process
from tanagerworks.edge.process import _INTERPRETER_EXIT_S, PlatformAdapter
from tanagerworks.published.model import CallerLimits
from tanagerworks.telemetry.queued_logs import BoundedQueueHandler
from tests.edge_builders import MODEL_SERVICE
from tests.edge_process_runner import (
    SettingsSeeds,
    edge_settings,
    publish_to_store,
    run_process,
)
from tests.platform_standin import (
    StoreStandin,
    never_respond,
    request_bytes,
    run_scenario,
    send_request,
    stream_events,
    wait_until,
)


def caller_address(process):
    return process.caller_server.listener.sockets[0].getsockname()


def records(caplog, message):
    return [record for record in caplog.records if record.message == message]


def test_refused_request_is_named_with_what_was_expected_of_it(caplog):
    """Guards against refusals that cannot be told from those of a node without configuration."""
    caplog.set_level("INFO")

    async def scenario(port, pipeline, servers):
        now_s = asyncio.get_running_loop().time()
        for _repetition in range(10):
            pipeline.durations.record_duration("chat", 0.7)
        pipeline.begin_shutdown(now_s + 0.5, now_s + 0.4, now_s - 1.0)
        return await send_request(port, request_bytes("/chat/x", "c1", "POST"))

    run_scenario([[stream_events(1, 3)]], scenario, service=MODEL_SERVICE)
    (record,) = records(caplog, "request ended")
    assert (record.call, record.route, record.outcome) == ("c1", "chat", "stopping")
    assert (record.expected_ms, record.expected_from) == (700.0, 10)
    assert 1000.0 <= record.came_after_signal_ms <= record.ended_after_signal_ms


def test_request_that_the_stop_ends_is_named_with_its_times(caplog):
    """Guards against a request that is cut without a line on when it came and what was expected."""
    caplog.set_level("INFO")

    async def scenario(port, pipeline, servers):
        before = asyncio.ensure_future(send_request(port, request_bytes("/desk-read/x", "before")))
        await wait_until(lambda: servers[0].requests)
        now_s = asyncio.get_running_loop().time()
        pipeline.begin_shutdown(now_s + 0.8, now_s)
        during = asyncio.ensure_future(send_request(port, request_bytes("/desk-read/x", "during")))
        await wait_until(lambda: len(servers[0].requests) == 2)
        await asyncio.sleep(now_s + 0.8 - asyncio.get_running_loop().time())
        pipeline.expire_requests()
        await asyncio.gather(before, during)
        return pipeline.shutdown.fates

    fates = run_scenario([[never_respond()]], scenario)
    lines = {record.call: record for record in records(caplog, "request ended")}
    assert lines["before"].came_after_signal_ms < 0.0
    assert not hasattr(lines["before"], "expected_ms")
    assert lines["during"].came_after_signal_ms >= 0.0
    assert lines["during"].expected_ms > 0.0
    assert lines["during"].ended_after_signal_ms >= 800.0
    assert {fate.value: count for fate, count in fates.items()} == {"cut": 2}


def test_request_is_named_before_there_is_a_configuration(caplog, monkeypatch):
    """Guards against refusals, and callers that leave, without a line that names the request."""
    caplog.set_level("INFO")

    monkeypatch.setattr(pipeline_module, "_MAX_STARTUP_WAIT_S", 20.0)

    async def scenario(process, store, server, settings_versions):
        process.pipeline.created_s = time.monotonic()
        _reader, writer = await asyncio.open_connection(*caller_address(process))
        writer.write(request_bytes("/book/x", "left", "POST"))
        await wait_until(lambda: process.pipeline.active_requests)
        writer.transport.abort()
        await wait_until(lambda: not process.pipeline.active_requests)
        process.pipeline.created_s = -math.inf
        raw = request_bytes("/book/x", "refused", "POST")
        assert (await send_request(process.caller_server, raw)).status == 503

    run_process(scenario)
    lines = {record.call: record.outcome for record in records(caplog, "request ended")}
    assert lines == {"left": "caller_left", "refused": "no_configuration"}


def test_end_of_the_process_counts_what_became_of_requests(caplog):
    """Guards against an exit that does not tell how many requests it refused, ended or left."""
    caplog.set_level("INFO")

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        raw = request_bytes("/book/x", "c1", "POST").replace(b"1500", b"60000")
        server.script = [never_respond()]
        pending = asyncio.ensure_future(send_request(process.caller_server, raw))
        await wait_until(lambda: server.requests)
        os.kill(os.getpid(), signal.SIGTERM)
        await wait_until(lambda: process.pipeline.shutdown)
        await send_request(process.caller_server, raw.replace(b"c1", b"c2"))
        await pending

    run_process(scenario, route_timeout_ms=60_000)
    (stopping,) = records(caplog, "stopping")
    assert (stopping.active, stopping.connections) == (1, 1)
    (stopped,) = records(caplog, "stopped")
    assert stopped.requests == {"cut": 1, "refused": 1}
    assert (stopped.expired, stopped.active, stopped.unsent_bytes) == (1, 0, 0)
    assert stopped.took_ms > 3000.0


def test_signal_is_timed_while_the_event_loop_is_held_up(caplog):
    """Guards against a signal that seems to come when the event loop gets to it."""
    caplog.set_level("INFO")

    async def scenario(process, store, server, settings_versions):
        os.kill(os.getpid(), signal.SIGTERM)
        until_s = time.monotonic() + 0.3
        while time.monotonic() < until_s:
            pass

    run_process(scenario)
    (stopping,) = records(caplog, "stopping")
    assert stopping.noticed_after_ms >= 290.0


def test_log_is_written_for_as_long_as_the_stop_limit_allows(caplog):
    """Guards against a process that is killed while it still waits for a reader of its log."""
    caplog.set_level("INFO")

    async def scenario():
        store = await StoreStandin().start()
        settings = edge_settings(store, stop_limit_s=3.0)
        seeds = SettingsSeeds(settings)
        adapter = PlatformAdapter(MetadataStore(store.address), CallerHttp(), BackendHttp(), seeds)
        handler = BoundedQueueHandler(Queue())
        running = asyncio.ensure_future(
            _run_process(settings, lambda _settings: adapter, "", None, handler)
        )
        await wait_until(lambda: records(caplog, "started"))
        before_s = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        after_s = time.monotonic()
        assert await running == 0
        store.server.close_listener()
        signalled_s = handler.exit_deadline_s - (3.0 - _INTERPRETER_EXIT_S)
        assert before_s <= signalled_s <= after_s

    asyncio.run(scenario())


def test_requests_that_have_not_arrived_whole_are_counted_at_the_exit(caplog):
    """Guards against requests that an exit ends without a line, as no handler has got them."""
    caplog.set_level("INFO")
    whole = request_bytes("/book/x", "c1", "POST", b"body")
    # Connections close when nothing refers to their streams.
    streams = []

    async def scenario(process, store, server, settings_versions):
        process.caller_server.limits = lambda: CallerLimits(header_timeout_s=30.0)
        for _connection in range(3):
            streams.append(await asyncio.open_connection(*caller_address(process)))
        streams[0][1].write(whole[:20])
        streams[1][1].write(whole[:-1])
        connections = process.caller_server.connections
        await wait_until(lambda: sum(each.is_reading_request() for each in connections) == 2)
        os.kill(os.getpid(), signal.SIGTERM)

    run_process(scenario)
    (stopped,) = records(caplog, "stopped")
    assert (stopped.connections_left, stopped.incomplete_requests) == (2, 2)
