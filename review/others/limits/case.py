"""DENIED: connections that were open before a change of the limits refuse what it allows."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "standins"))

from harness import (  # noqa: E402
    HOST,
    KEY,
    PLAIN_SERVICE,
    Client,
    Server,
    Store,
    configuration,
    main,
    plain_route,
    start_edges,
)

ZONES = ["regina", "saskatoon", "brandon"]
CLIENTS = 22
# The largest body of a request in the site file.
BODY_BYTES = 72_000
OLD_LIMIT = 65_536
NEW_LIMIT = 4_194_304
# Twice config-apply-ms, so that the new version must be in force, and contact-ms.
WAIT_S = 4.0


async def scenario(folder, record, troubled):
    store = Store()
    await store.start()
    desks = [Server(store, record, f"i-b{n}", "xano55b", zone, 6) for n, zone in enumerate(ZONES)]
    for server in desks:
        await server.start()
    routes = [plain_route("book", "/book/", "non_idempotent", "xano55b")]
    limits = {"max-body-bytes": OLD_LIMIT if troubled else NEW_LIMIT}
    store.put("op/config", configuration(3, routes, [PLAIN_SERVICE], **limits))
    edges = await start_edges(folder, record, store, ZONES)
    clients = [Client(edges[number % 3].frontend, record) for number in range(CLIENTS)]
    answers = []

    async def book(number, count, body):
        attempt = f"{number:04x}{count:04x}"
        answers.append(
            await clients[number].send("POST", "/book/x", HOST, attempt, KEY, 1500, body)
        )

    try:
        for count in range(3):
            await asyncio.gather(*(book(number, count, b"b" * 600) for number in range(CLIENTS)))
            await asyncio.sleep(1.0)
        if troubled:
            store.put(
                "op/config",
                configuration(5, routes, [PLAIN_SERVICE], **{"max-body-bytes": NEW_LIMIT}),
            )
            record(f"the operator raises max-body-bytes from {OLD_LIMIT} to {NEW_LIMIT}")
        await asyncio.sleep(WAIT_S)
        record(f"the clients send bodies of {BODY_BYTES} bytes on the connections that they kept")
        for count in range(3, 5):
            await asyncio.gather(
                *(book(number, count, b"b" * BODY_BYTES) for number in range(CLIENTS))
            )
        denied = [answer for answer in answers if 400 <= answer.status < 500]
        allowed = 5 + len(answers) / 500
        record(
            f"{len(denied)} of {len(answers)} proper requests were ended with"
            f" {sorted({answer.status for answer in denied})}; {allowed:.1f} are allowed"
        )
        return len(denied) <= allowed
    finally:
        for edge in edges:
            await edge.end()


main(__file__, scenario)
