"""A whole edge process with the platform's adapter: start, requests, reload, stop."""

import asyncio
import os
import signal

from adapter.backend_http import BackendHttp
from adapter.caller_http import CallerHttp
from adapter.store import MetadataStore

from tanagerworks.edge.process import Adapter, EdgeProcess, _keep_running
from tanagerworks.errors import SettingsError
from tanagerworks.settings.edge import EdgeSettings
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    ServerStandin,
    StoreStandin,
    answers,
    call,
    request,
    wait_until,
)
from tools.fleet import free_address


class Seeds:
    """Implements `PeerFinder` with the seeds of the settings."""

    def __init__(self, settings):
        self.settings = settings

    def seed_addresses(self):
        return self.settings.seeds

    def update(self, settings):
        self.settings = settings


def settings(store, **changes):
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


def playing(scenario):
    async def play():
        store = await StoreStandin().start()
        server = await ServerStandin("a", answers()).start()
        made = settings(store)
        files = [made]

        def reload_settings():
            if files[-1] is None:
                raise SettingsError("file", "", "cannot be read")
            return files[-1]

        seeds = Seeds(made)
        adapter = Adapter(MetadataStore(store.address), CallerHttp(), BackendHttp(), seeds)
        process = EdgeProcess(made, adapter, reload_settings)
        running = asyncio.get_running_loop().create_task(process.run())
        await wait_until(lambda: process.tasks)
        try:
            async with asyncio.timeout(30):
                await scenario(process, store, server, files)
                os.kill(os.getpid(), signal.SIGTERM)
                assert await running == 0
        finally:
            running.cancel()
            store.server.close_listener()
            server.server.close()

    asyncio.run(play())


def publish(store, server):
    store.put("op/config", WIRE_CONFIGURATION)
    store.put("servers/a", WIRE_ENTRY | {"address": f"127.0.0.1:{server.port}", "service": "desk"})


GET_READY = b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n"
GET_METRICS = b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n"


def test_ready_only_with_a_configuration_and_a_server():
    """Guards against callers that are sent to a node which can serve nobody."""

    async def scenario(process, store, server, files):
        assert (await call(process.readiness, GET_READY)).status == 503
        assert (await call(process.callers, request("/book/x"))).status == 503
        publish(store, server)
        await wait_until(process.ready)
        assert (await call(process.readiness, GET_READY)).status == 200
        assert (await call(process.callers, request("/book/x"))).status == 200
        await wait_until(lambda: process.metrics.meter is not None)
        metrics = await call(process.metrics_port, GET_METRICS)
        assert b"tanager_requests_total" in metrics.body
        process.stop_requested.set()
        assert (await call(process.readiness, GET_READY)).status == 503

    playing(scenario)


def test_changed_settings_are_taken_over_and_broken_ones_are_not():
    """Guards against a reload that ends the process, cuts requests or is ignored."""

    async def scenario(process, store, server, files):
        publish(store, server)
        await wait_until(process.ready)
        bounds = files[0].bounds.model_copy(update={"repeat_ratio": 0.5})
        files.append(files[0].model_copy(update={"seeds": ["127.0.0.1:9"], "bounds": bounds}))
        os.kill(os.getpid(), signal.SIGHUP)
        await wait_until(lambda: process.dispatcher.bounds.repeat_ratio == 0.5)
        assert process.adapter_peers.seed_addresses() == ["127.0.0.1:9"]
        files.append(None)
        os.kill(os.getpid(), signal.SIGHUP)
        assert (await call(process.callers, request("/book/x"))).status == 200
        files.append(files[0])
        # No signal this time.
        await wait_until(lambda: process.dispatcher.bounds.repeat_ratio == 0.2)

    playing(scenario)


def test_failed_task_begins_again():
    """Guards against one exception that silently ends a part of the process."""

    async def play():
        runs = []

        async def work():
            runs.append(1)
            if len(runs) < 2:
                raise RuntimeError("unforeseen")

        await _keep_running(work)
        assert len(runs) == 2

    asyncio.run(play())
