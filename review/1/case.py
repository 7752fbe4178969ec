"""ORDER: streams go on at servers of another software version after all processes were killed."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from harness import (  # noqa: E402
    MODEL_SERVICE,
    ModelServer,
    StreamCaller,
    Store,
    configuration,
    main,
    start_edges,
    stream_route,
)

ZONES = ["regina", "saskatoon", "brandon"]
STREAMS = 40
# A quarter of the servers is still of the old version: scale_in takes 0.25 in the site file.
OLD_SERVERS = 2
NEW_SERVERS = 6
# For how long both versions serve side by side before the old one leaves.
SIDE_BY_SIDE_S = 22.0
# From the removal of the old servers' entries to the kill of all processes.
KILL_AFTER_S = 0.8
RESTART_DELAY_S = 0.3
# The old servers go on serving for drain-timeout-ms (2 s) and a little longer.
EXIT_AFTER_S = 5.0


async def scenario(folder, record, troubled):
    store = Store()
    await store.start()
    old = [
        ModelServer(store, record, f"i-a{n}", "dele69a", ZONES[n % 3], 64, version="v1")
        for n in range(OLD_SERVERS)
    ]
    new = [
        ModelServer(store, record, f"i-b{n}", "dele69a", ZONES[n % 3], 64, version="v2")
        for n in range(NEW_SERVERS)
    ]
    for server in old + new:
        await server.start()
    store.put(
        "op/config",
        configuration(3, [stream_route("counter", "/chat/", "dele69a")], [MODEL_SERVICE]),
    )
    edges = await start_edges(folder, record, store, ZONES)
    try:
        await asyncio.sleep(SIDE_BY_SIDE_S)
        callers = [StreamCaller(number, edges, record) for number in range(STREAMS)]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(1.0)
        on_old = sum(caller.versions == ["v1"] for caller in callers)
        for server in old:
            server.leave_without_notice()
            asyncio.get_running_loop().call_later(EXIT_AFTER_S, server.exit)
        await asyncio.sleep(KILL_AFTER_S)
        if troubled:
            for edge in edges:
                edge.signal(signal.SIGKILL)
            record("all processes of the system are killed")
            for edge in edges:
                await edge.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            for edge in edges:
                await edge.start()
        await asyncio.gather(*tasks)
        mixed = sum(len(set(caller.versions)) > 1 for caller in callers)
        record(
            f"{on_old} streams began at v1; {mixed} of {STREAMS} hold events of two versions (2 are allowed)"
        )
        if on_old < 3:
            raise RuntimeError("too few streams began at the old version")
        return mixed <= 2
    finally:
        for edge in edges:
            await edge.end()


main(__file__, scenario)
