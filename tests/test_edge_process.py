"""A complete edge process with the platform adapter: start, requests, reload, shutdown."""

import asyncio
import logging
import os
import signal
from dataclasses import replace

from tanagerworks.edge.process import _run_with_restarts
from tests.edge_builders import BOUNDS, dispatch_request, dispatcher, server_entry
from tests.edge_process_runner import publish_to_store, run_process
from tests.platform_standin import request_bytes, send_request, wait_until

GET_READY = b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n"
GET_METRICS = b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n"


def test_ready_only_with_a_configuration_and_a_server():
    """Guards against callers that are sent to a node without a configuration or a server.

    The balancer sends callers to every node that reports that it is ready.
    """

    async def scenario(process, store, server, settings_versions):
        assert (await send_request(process.readiness_server, GET_READY)).status == 503
        assert (await send_request(process.caller_server, request_bytes("/book/x"))).status == 503
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        assert (await send_request(process.readiness_server, GET_READY)).status == 200
        assert (await send_request(process.caller_server, request_bytes("/book/x"))).status == 200
        # Nobody has asked for the metrics, so their library is not imported for this process.
        assert process.metrics.meter is None
        metrics = await send_request(process.metrics_server, GET_METRICS)
        assert b"tanager_requests_total" in metrics.body
        process.stop_requested.set()
        assert (await send_request(process.readiness_server, GET_READY)).status == 503

    run_process(scenario)


def test_changed_settings_are_applied_and_invalid_ones_are_not():
    """Guards against a reload that ends the process, interrupts requests or has no effect."""

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        bounds = settings_versions[0].bounds.model_copy(update={"repeat_ratio": 0.5})
        settings_versions.append(
            settings_versions[0].model_copy(update={"seeds": ["127.0.0.1:9"], "bounds": bounds})
        )
        os.kill(os.getpid(), signal.SIGHUP)
        await wait_until(lambda: process.dispatcher.bounds.repeat_ratio == 0.5)
        assert process.peer_finder.seed_addresses() == ["127.0.0.1:9"]
        settings_versions.append(None)
        os.kill(os.getpid(), signal.SIGHUP)
        assert (await send_request(process.caller_server, request_bytes("/book/x"))).status == 200
        settings_versions.append(settings_versions[0])
        # Without a signal the process finds the change by itself.
        await wait_until(lambda: process.dispatcher.bounds.repeat_ratio == 0.2)

    run_process(scenario)


def test_reload_applies_all_of_a_change_or_logs_what_it_leaves(caplog):
    """Guards against a reload that applies half of a change.

    Retry budgets and limiters that exist already must follow the new bounds. Name, zone and
    addresses belong to a process, so it must go on with all of the old ones.
    """
    caplog.set_level("INFO")

    async def scenario(process, store, server, settings_versions):
        publish_to_store(store, server)
        await wait_until(process.is_ready)
        budget = process.dispatcher.retry_budget("desk")
        bounds = settings_versions[0].bounds.model_copy(
            update={"repeat_ratio": 0.5, "repeat_minimum": 7.0, "repeat_window_s": 3.0}
        )
        settings_versions.append(
            settings_versions[0].model_copy(
                update={
                    "bounds": bounds,
                    "node": "other",
                    "zone": "zone-x",
                    "log_level": "warning",
                }
            )
        )
        level = logging.getLogger().level
        try:
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: process.dispatcher.bounds.repeat_ratio == 0.5)
            assert logging.getLogger().level == logging.WARNING
        finally:
            logging.getLogger().setLevel(level)
        assert (budget.ratio, budget.minimum, budget.window_s) == (0.5, 7.0, 3.0)
        assert (process.settings.node, process.settings.zone) == ("node-1", "zone-a")
        assert process.peer_exchange.node == "node-1"

    run_process(scenario)


def test_changed_bound_reaches_the_limiter_of_a_cold_server():
    """Guards against a cold server that gets requests by the bounds of an earlier reload."""
    node = dispatcher(servers=[server_entry("a", cold_s=10.0)])
    request = dispatch_request()
    node.choose_server(request, 0.0)
    before = node.cold_start_limiters["a"].bound_per_s
    node.apply_bounds(replace(BOUNDS, cold_factor=BOUNDS.cold_factor / 2, cold_extra=0.0))
    node.choose_server(request, 0.1)
    assert node.cold_start_limiters["a"].bound_per_s < before / 2


def test_failed_task_is_restarted():
    """Guards against an exception that silently ends a background task of the process."""

    async def run():
        runs = []

        async def work():
            runs.append(1)
            if len(runs) < 2:
                raise RuntimeError("unforeseen")

        await _run_with_restarts(work)
        assert len(runs) == 2

    asyncio.run(run())
