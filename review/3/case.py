"""CONFIG: one answer without end keeps a machine from answering its other callers."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from harness import (  # noqa: E402
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Client,
    ModelServer,
    Server,
    Store,
    configuration,
    main,
    plain_route,
    start_edges,
    stream_route,
)

ZONES = ["regina", "saskatoon", "brandon"]
# The clients of regina in the site file.
CLIENTS = 22
DEADLINE_MS = 1500
ROUTE_TIMEOUT_S = 0.8
# From when all machines are in touch: contact-ms after they are ready.
CONTACT_S = 3.0
TROUBLE_AT_S = 4.0
LENGTH_S = 18.0
# The link of a machine carries 125,000,000 bytes a second.
BYTES_PER_S = 1_000_000
BLOCK = b"9\r\ndata: x\n\n\r\n" * 1000


class FaultyModelServer(ModelServer):
    """Gives one of its answers bytes without end, until the caller closes."""

    endless_from_s = None
    interval_s = 0.03

    async def answer(self, line, headers, body, writer):
        if self.endless_from_s is None or time.monotonic() < self.endless_from_s:
            await super().answer(line, headers, body, writer)
            return
        self.endless_from_s = None
        attempt = headers["x-tanagerworks-attempt-id"]
        self.run(attempt)
        self.record(f"{self.server_id} answers {attempt} with bytes without end")
        writer.write(
            self.head(attempt, "content-type: text/event-stream", "transfer-encoding: chunked")
        )
        began_s = time.monotonic()
        sent = 0
        try:
            while True:
                writer.write(BLOCK)
                await writer.drain()
                sent += len(BLOCK)
                await asyncio.sleep(max(0.0, sent / BYTES_PER_S - (time.monotonic() - began_s)))
        finally:
            self.record(
                f"the caller of {attempt} closed after {time.monotonic() - began_s:.2f} s, {sent} bytes"
            )


async def stream(edge, number, record):
    """Asks for a stream and reads what comes until its end, or the client's deadline."""
    attempt = f"{number:04x}5a5a5a5a"
    began_s = time.monotonic()
    received = 0
    record(f"{attempt} sent: POST /chat/x")
    try:
        async with asyncio.timeout(12.0):
            reader, writer = await asyncio.open_connection(*edge.frontend)
            lines = [
                "POST /chat/x HTTP/1.1",
                f"host: {HOST}",
                f"x-tanagerworks-attempt-id: {attempt}",
                "x-tanagerworks-deadline-ms: 12000",
                f"authorization: Bearer {KEY}",
                "x-tanagerworks-model: m",
                "x-tanagerworks-token-counts: 700,300",
                f"x-tanagerworks-prefix-hash: aa{number:02x}:600,bb{number:02x}:100",
                "connection: close",
                "content-length: 4",
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\nbody").encode())
            while data := await asyncio.wait_for(reader.read(65536), 2.0):
                received += len(data)
            writer.close()
    except (OSError, TimeoutError) as error:
        record(f"{attempt}: {error!r}")
    record(f"{attempt}: {received} bytes in {time.monotonic() - began_s:.2f} s")


async def scenario(folder, record, troubled):
    store = Store()
    await store.start()
    desks = [Server(store, record, f"i-b{n}", "xano55b", zone, 6) for n, zone in enumerate(ZONES)]
    models = [
        FaultyModelServer(store, record, f"i-m{n}", "dele69a", zone, 64)
        for n, zone in enumerate(ZONES)
    ]
    for server in desks + models:
        await server.start()
    routes = [
        plain_route("read", "/read/", "idempotent", "xano55b", attempts=2),
        plain_route("book", "/book/", "non_idempotent", "xano55b"),
        stream_route("counter", "/chat/", "dele69a"),
    ]
    store.put("op/config", configuration(3, routes, [PLAIN_SERVICE, MODEL_SERVICE]))
    edges = await start_edges(folder, record, store, ZONES)
    # The machine that gets the answer without end, and whose callers are judged.
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
            attempt = f"{number:04x}{count:04x}"
            answer = await client.send(
                method,
                path,
                HOST,
                attempt,
                KEY,
                DEADLINE_MS,
                body,
                wait_s=DEADLINE_MS / 1000,
            )
            answers.append((sent_s, attempt, answer))
            await asyncio.sleep(0.5)

    try:
        if troubled:
            # One of the model servers, the one that gets the next stream.
            for server in models:
                server.endless_from_s = ready_s + TROUBLE_AT_S
        tasks = [asyncio.create_task(book(number)) for number in range(CLIENTS)]
        for number in range(4):
            await asyncio.sleep(ready_s + 1.0 + number - time.monotonic())
            if number == 3:
                await asyncio.sleep(TROUBLE_AT_S - 4.0 + 0.1)
                streaming = asyncio.create_task(stream(edge, number, record))
                await asyncio.sleep(1.0)
                for server in models:
                    server.endless_from_s = None
                tasks.append(streaming)
            else:
                tasks.append(asyncio.create_task(stream(edge, number, record)))
        await asyncio.gather(*tasks)
        judged = [
            (attempt, answer)
            for sent_s, attempt, answer in answers
            if sent_s >= ready_s + CONTACT_S
        ]
        overdue = [
            (attempt, answer) for attempt, answer in judged if answer.took_s >= ROUTE_TIMEOUT_S
        ]
        unanswered = [
            attempt for attempt, answer in overdue if answer.took_s >= ROUTE_TIMEOUT_S + 0.5
        ]
        runs = {attempt for server in desks for _time, attempt in server.runs}
        record(
            f"{len(judged)} requests on routes with timeout-ms 800: {len(overdue)} unanswered after"
            f" 0.8 s, {len(unanswered)} of these unanswered after 1.3 s;"
            f" {len(runs.intersection(unanswered))} of the unanswered ran"
        )
        if len(judged) < 100:
            raise RuntimeError("too few requests")
        return len(unanswered) < 8 or len(unanswered) <= len(overdue) / 2
    finally:
        for edge in edges:
            await edge.end()


main(__file__, scenario)
