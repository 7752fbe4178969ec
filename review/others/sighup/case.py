"""A process ends by a SIGHUP that comes while it starts."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "standins"))

from harness import (  # noqa: E402
    PLAIN_SERVICE,
    Edge,
    Server,
    Store,
    configuration,
    main,
    plain_route,
)

# From the start of the process to the change of its settings file.
CHANGE_AFTER_S = 0.2
STARTS = 3


async def scenario(folder, record, troubled):
    store = Store()
    await store.start()
    server = Server(store, record, "i-b0", "xano55b", "regina", 6)
    await server.start()
    routes = [plain_route("read", "/read/", "idempotent", "xano55b")]
    store.put("op/config", configuration(3, routes, [PLAIN_SERVICE]))
    edge = Edge(folder, record, "edge-regina-1", "regina", "127.77.0.1", store)
    ended = 0
    try:
        for _start in range(STARTS):
            edge.fields["seed-nodes"] = []
            await edge.start()
            await asyncio.sleep(CHANGE_AFTER_S)
            edge.fields["seed-nodes"] = ["127.77.0.2:8229"]
            edge.write_settings()
            record("the settings file has changed")
            if troubled:
                edge.signal(signal.SIGHUP)
            await asyncio.sleep(2.0)
            if edge.process.returncode is None and not await edge.is_ready():
                raise RuntimeError("the process has not become ready")
            record(f"exit status after 2 s: {edge.process.returncode}")
            ended += edge.process.returncode is not None
            await edge.end()
        record(f"the process ended in {ended} of {STARTS} starts")
        return ended == 0
    finally:
        await edge.end()


main(__file__, scenario)
