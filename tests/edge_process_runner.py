"""Runs a complete edge process with the platform adapter beside stand-ins, for tests."""

import asyncio
import os
import signal

from adapter.backend_http import BackendHttp
from adapter.caller_http import CallerHttp
from adapter.store import MetadataStore

from tanagerworks.edge.process import EdgeProcess, PlatformAdapter
from tanagerworks.errors import SettingsError
from tanagerworks.settings.edge import EdgeSettings
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    ServerStandin,
    StoreStandin,
    respond_with,
    wait_until,
)
from tools.fleet import free_address


class SettingsSeeds:
    """Implements `PeerFinder` with the seed addresses of the settings."""

    def __init__(self, settings):
        self.settings = settings

    def seed_addresses(self):
        return self.settings.seeds

    def apply_settings(self, settings):
        self.settings = settings


def edge_settings(store, stop_limit_s=4.0, **changes):
    """Settings of a process with free ports on loopback."""
    fields = {
        "node": "node-1",
        "zone": "zone-a",
        "addresses": {
            name: free_address() for name in ("callers", "readiness", "peers", "metrics")
        },
        "seeds": [],
        "store": {"address": store.address, "wait_s": 0.5, "timeout_s": 0.5},
        "bounds": {
            "stop_limit_s": stop_limit_s,
            "repeat_ratio": 0.2,
            "repeat_window_s": 10,
            "repeat_minimum": 50,
            "cold_factor": 1.5,
            "cold_extra": 5,
        },
    }
    return EdgeSettings.model_validate(fields | changes)


def run_process(scenario, route_timeout_ms=None, stop_limit_s=4.0):
    """Runs `scenario(process, store, server, settings_versions)` beside a process, then stops it.

    The process reloads the last element of `settings_versions`; None stands for a bad file.
    `route_timeout_ms` replaces the timeout of the routes that `publish_to_store` publishes.
    """

    async def run():
        store = await StoreStandin().start()
        store.route_timeout_ms = route_timeout_ms
        server = await ServerStandin("a", respond_with()).start()
        initial_settings = edge_settings(store, stop_limit_s)
        settings_versions = [initial_settings]

        def reload_settings():
            if settings_versions[-1] is None:
                raise SettingsError("file", "", "cannot be read")
            return settings_versions[-1]

        seeds = SettingsSeeds(initial_settings)
        adapter = PlatformAdapter(MetadataStore(store.address), CallerHttp(), BackendHttp(), seeds)
        process = EdgeProcess(initial_settings, adapter, reload_settings)
        running = asyncio.get_running_loop().create_task(process.run())
        await wait_until(lambda: process.tasks)
        try:
            async with asyncio.timeout(30):
                await scenario(process, store, server, settings_versions)
                if not process.stop_requested.is_set():
                    os.kill(os.getpid(), signal.SIGTERM)
                assert await running == 0
        finally:
            running.cancel()
            store.server.close_listener()
            server.server.close()

    asyncio.run(run())


def publish_to_store(store, server):
    """Publishes a configuration with a route of the plain service, and the server."""
    routes = [
        wire_route | ({"timeout-ms": store.route_timeout_ms} if store.route_timeout_ms else {})
        for wire_route in WIRE_CONFIGURATION["routes"]
    ]
    store.put("op/config", WIRE_CONFIGURATION | {"routes": routes})
    store.put("servers/a", WIRE_ENTRY | {"address": f"127.0.0.1:{server.port}", "service": "desk"})
