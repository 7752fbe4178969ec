"""A complete edge process with the platform adapter: start, requests, reload, shutdown."""

import asyncio
import os
import signal

from adapter.backend_http import BackendHttp
from adapter.caller_http import CallerHttp
from adapter.store import MetadataStore

from tanagerworks.edge.process import EdgeProcess, PlatformAdapter, _run_with_restarts
from tanagerworks.errors import SettingsError
from tanagerworks.settings.edge import EdgeSettings
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    ServerStandin,
    StoreStandin,
    request_bytes,
    respond_with,
    send_request,
    wait_until,
)
from tools.fleet import free_address


class Seeds:
    """Implements `PeerFinder` with the seed addresses of the settings."""

    def __init__(self, settings):
        self.settings = settings

    def seed_addresses(self):
        return self.settings.seeds

    def apply_settings(self, settings):
        self.settings = settings


def edge_settings(store, **changes):
    fields = {
        "node": "node-1",
        "zone": "zone-a",
        "addresses": {
            name: free_address() for name in ("callers", "readiness", "peers", "metrics")
        },
        "seeds": [],
        "store": {"address": store.address, "wait_s": 0.5, "timeout_s": 0.5},
        "bounds": {
            "stop_limit_s": 4.0,
            "repeat_ratio": 0.2,
            "repeat_window_s": 10,
            "repeat_minimum": 50,
            "cold_factor": 1.5,
            "cold_extra": 5,
        },
    }
    return EdgeSettings.model_validate(fields | changes)


def run_process(scenario):
    async def run():
        store = await StoreStandin().start()
        server = await ServerStandin("a", respond_with()).start()
        initial_settings = edge_settings(store)
        settings_versions = [initial_settings]

        def reload_settings():
            if settings_versions[-1] is None:
                raise SettingsError("file", "", "cannot be read")
            return settings_versions[-1]

        seeds = Seeds(initial_settings)
        adapter = PlatformAdapter(MetadataStore(store.address), CallerHttp(), BackendHttp(), seeds)
        process = EdgeProcess(initial_settings, adapter, reload_settings)
        running = asyncio.get_running_loop().create_task(process.run())
        await wait_until(lambda: process.tasks)
        try:
            async with asyncio.timeout(30):
                await scenario(process, store, server, settings_versions)
                os.kill(os.getpid(), signal.SIGTERM)
                assert await running == 0
        finally:
            running.cancel()
            store.server.close_listener()
            server.server.close()

    asyncio.run(run())


def publish_to_store(store, server):
    store.put("op/config", WIRE_CONFIGURATION)
    store.put("servers/a", WIRE_ENTRY | {"address": f"127.0.0.1:{server.port}", "service": "desk"})


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
        await wait_until(lambda: process.metrics.meter is not None)
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
