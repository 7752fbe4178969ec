"""ORDER: streams go on at another software version after their route's timeout was shortened."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from harness import (  # noqa: E402
    MODEL_SERVICE,
    ModelServer,
    Store,
    StreamCaller,
    configuration,
    main,
    start_edges,
    stream_route,
)

# The machines of the site file: regina 3, saskatoon 1, brandon 2.
MACHINES = ["regina", "saskatoon", "brandon", "regina", "brandon", "regina"]
ZONES = ["regina", "saskatoon", "brandon"]
STREAMS = 100
# A quarter of the servers is still of the old version: scale_in takes 0.25 in the site file.
OLD_SERVERS = 2
NEW_SERVERS = 6
OLD_TIMEOUT_MS = 12000
NEW_TIMEOUT_MS = 5000
SIDE_BY_SIDE_S = 4.0
# From the removal of the old servers' entries to their exit; at least drain-timeout-ms (2 s).
EXIT_AFTER_S = 9.0


class SlowModelServer(ModelServer):
    """Takes 11 s for a stream, with pauses of 0.2 s."""

    events = 55
    interval_s = 0.2


async def scenario(folder, record, troubled):
    store = Store()
    await store.start()
    old = [
        SlowModelServer(store, record, f"i-a{n}", "dele69a", ZONES[n % 3], 64, version="v1")
        for n in range(OLD_SERVERS)
    ]
    new = [
        SlowModelServer(store, record, f"i-b{n}", "dele69a", ZONES[n % 3], 64, version="v2")
        for n in range(NEW_SERVERS)
    ]
    for server in old + new:
        await server.start()
    route = stream_route("counter", "/chat/", "dele69a", OLD_TIMEOUT_MS)
    store.put("op/config", configuration(3, [route], [MODEL_SERVICE]))
    edges = await start_edges(folder, record, store, MACHINES)
    try:
        await asyncio.sleep(SIDE_BY_SIDE_S)
        callers = [
            StreamCaller(number, edges, record, retry_after_s=0.1) for number in range(STREAMS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(0.6)
        on_old = sum(caller.versions == ["v1"] for caller in callers)
        for server in old:
            server.leave_without_notice()
            asyncio.get_running_loop().call_later(EXIT_AFTER_S, server.exit)
        await asyncio.sleep(0.5)
        if troubled:
            route = stream_route("counter", "/chat/", "dele69a", NEW_TIMEOUT_MS)
            store.put("op/config", configuration(5, [route], [MODEL_SERVICE]))
            record(f"the operator shortens the timeout of the route to {NEW_TIMEOUT_MS} ms")
        await asyncio.gather(*tasks)
        mixed = sum(len(set(caller.versions)) > 1 for caller in callers)
        record(
            f"{on_old} streams began at v1; {mixed} of {STREAMS} hold events of two versions"
            " (2 are allowed)"
        )
        if on_old < 10:
            raise RuntimeError("too few streams began at the old version")
        return mixed <= 2
    finally:
        for edge in edges:
            await edge.end()


main(__file__, scenario)
