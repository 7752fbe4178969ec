"""CONFIG: bodies in small chunks keep a machine from answering its callers."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

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
    read_body,
    read_head,
    start_edges,
)

ZONES = ["regina", "saskatoon", "brandon"]
# The clients of regina in the site file, and the largest body of a request there.
CLIENTS = 22
BODY_BYTES = 72_000
CHUNK_BYTES = int(os.environ.get("CHUNK_BYTES", "4"))
DEADLINE_MS = 1500
ROUTE_TIMEOUT_S = 0.8
CONTACT_S = 3.0
TROUBLE_AT_S = 4.0
LENGTH_S = 10.0


async def upload(edge, number, record, in_chunks):
    """Sends one request with a large body, on a connection of its own."""
    attempt = f"{number:04x}ffff"
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"b" * CHUNK_BYTES)
    body = chunk * (BODY_BYTES // CHUNK_BYTES) + b"0\r\n\r\n" if in_chunks else b"b" * BODY_BYTES
    framing = "transfer-encoding: chunked" if in_chunks else f"content-length: {BODY_BYTES}"
    lines = [
        "POST /book/x HTTP/1.1",
        f"host: {HOST}",
        f"x-tanagerworks-attempt-id: {attempt}",
        f"x-tanagerworks-deadline-ms: {DEADLINE_MS}",
        f"authorization: Bearer {KEY}",
        framing,
    ]
    began_s = time.monotonic()
    status = 0
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(*edge.frontend)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, headers = await read_head(reader)
            await read_body(reader, headers)
            status = int(line.split()[1])
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record(f"{attempt}: {error!r}")
    record(f"{attempt} -> {status} {time.monotonic() - began_s:.3f} s, body of {BODY_BYTES} bytes")


async def scenario(folder, record, troubled):
    store = Store()
    await store.start()
    desks = [Server(store, record, f"i-b{n}", "xano55b", zone, 6) for n, zone in enumerate(ZONES)]
    for server in desks:
        await server.start()
    routes = [
        plain_route("read", "/read/", "idempotent", "xano55b", attempts=2),
        plain_route("book", "/book/", "non_idempotent", "xano55b"),
    ]
    store.put("op/config", configuration(3, routes, [PLAIN_SERVICE]))
    edges = await start_edges(folder, record, store, ZONES)
    edge = edges[0]
    ready_s = time.monotonic()
    answers = []

    async def book(number):
        client = Client(edge.frontend, record)
        await asyncio.sleep(number * 0.01)
        count = 0
        while time.monotonic() < ready_s + LENGTH_S:
            count += 1
            sent_s = time.monotonic()
            method, path, body = (
                ("GET", "/read/x", None) if number % 3 == 0 else ("POST", "/book/x", b"b" * 600)
            )
            answer = await client.send(
                method,
                path,
                HOST,
                f"{number:04x}{count:04x}",
                KEY,
                DEADLINE_MS,
                body,
                wait_s=DEADLINE_MS / 1000,
            )
            answers.append((sent_s, answer))
            await asyncio.sleep(0.5)

    try:
        tasks = [asyncio.create_task(book(number)) for number in range(CLIENTS)]
        await asyncio.sleep(ready_s + TROUBLE_AT_S - time.monotonic())
        record(f"{CLIENTS} clients send a body of {BODY_BYTES} bytes each, in chunks: {troubled}")
        tasks += [
            asyncio.create_task(upload(edge, number, record, troubled)) for number in range(CLIENTS)
        ]
        await asyncio.gather(*tasks)
        judged = [answer for sent_s, answer in answers if sent_s >= ready_s + CONTACT_S]
        overdue = [answer for answer in judged if answer.took_s >= ROUTE_TIMEOUT_S]
        unanswered = [answer for answer in overdue if answer.took_s >= ROUTE_TIMEOUT_S + 0.5]
        record(
            f"{len(judged)} small requests on routes with timeout-ms 800: {len(overdue)} unanswered"
            f" after 0.8 s, {len(unanswered)} of these unanswered after 1.3 s"
        )
        if len(judged) < 50:
            raise RuntimeError("too few requests")
        return len(unanswered) < 8 or len(unanswered) <= len(overdue) / 2
    finally:
        for edge in edges:
            await edge.end()


main(__file__, scenario)
