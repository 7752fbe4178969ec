"""All processes of the system are killed at the same moment; clients take their streams up."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness3 import kit

FOLDER = Path(__file__).resolve().parent
SERVERS = 5
STREAMS_PER_S = 19
TRAFFIC_S, KILL_AT_S, DOWN_S = 20.0, 8.0, 0.5
# Pause of a client between two tries, and the tries of one stream at most.
PAUSE_S, TRIES = 1.5, 4
CONTACT_S = kit.BOUNDS["contact-ms"] / 1000


class ChatServer(kit.ModelServer):
    events, pause_s = 49, 0.1


class Sent:
    """One client attempt."""

    def __init__(self, result, is_take_up, in_touch):
        self.result, self.is_take_up, self.in_touch = result, is_take_up, in_touch

    def goes_on(self):
        return bool(self.result.events) or self.result.complete


class Case:
    """The run: its machines, what was sent, and since when the machines are in touch."""

    def __init__(self, record):
        self.record = record
        self.fleet = None
        self.sent = []
        self.in_touch_from_s = 0.0
        self.generator = random.Random(1)

    async def client(self, number):
        """Sends one stream; takes it up a few times if it breaks off."""
        generator = self.generator
        parts = [("5c1e07a2", 400), (f"{number % 30:x}a7", 299), (kit.new_id(generator)[:8], 130)]
        deadline_s = time.monotonic() + 12.0
        events, first_id = [], None
        for _ in range(TRIES):
            node = generator.choice(self.fleet.nodes)
            result = kit.StreamResult(kit.new_id(generator))
            left_s = deadline_s - time.monotonic()
            headers = kit.model_headers(result.attempt_id, parts, left_s * 1000)
            if events:
                headers["Last-Event-Id"] = str(events[-1][0])
                headers["Resumes"] = first_id
            in_touch = time.monotonic() >= self.in_touch_from_s
            self.sent.append(Sent(result, bool(events), in_touch))
            self.record(
                f"client sends {result.attempt_id} to {node.name} resumes {headers.get('Resumes')}"
                f"{'' if in_touch else ', not in touch'}"
            )
            body = b"prompt %d" % number
            await kit.open_stream(node.frontend, "/pufi791/2f", headers, body, left_s, result)
            self.record(
                f"client got for {result.attempt_id}: {result.status}, {len(result.events)} events,"
                f" {'complete' if result.complete else 'broken off ' + result.error}"
            )
            if result.complete:
                return
            if result.events and first_id is None:
                first_id = result.attempt_id
            events += result.events
            retry_after_s = float(result.headers.get("retry-after", 0))
            pause_s = min(max(PAUSE_S, retry_after_s), (deadline_s - time.monotonic()) / 3)
            if pause_s <= 0:
                return
            await asyncio.sleep(pause_s)

    async def kill_all(self):
        for node in self.fleet.nodes:
            node.kill()
        await asyncio.sleep(DOWN_S)
        for node in self.fleet.nodes:
            node.start()
        self.in_touch_from_s = time.monotonic() + CONTACT_S
        await self.fleet.wait_ready(self.fleet.nodes)
        self.record("all machines are ready again")


async def case(record, trouble):
    network = random.randrange(20, 120)
    store = kit.Store(record, kit.loopback(network, 300))
    await store.start()
    zones = list(kit.ZONES)
    servers = [
        ChatServer(record, store, kit.loopback(network, 400 + n), f"i-{n + 1}", "llm", zones[n % 3])
        for n in range(SERVERS)
    ]
    routes = [kit.stream_route("r-chat", "/pufi791/", "llm")]
    store.put("op/config", kit.configuration(7, routes, [kit.MODEL_SERVICE]))
    for server in servers:
        await server.start()
    run = Case(record)
    run.fleet = kit.Fleet(record, store, network)
    tasks = []
    kill = None
    try:
        await run.fleet.start()
        await asyncio.sleep(CONTACT_S)
        began_s = time.monotonic()
        number = 0
        while time.monotonic() - began_s < TRAFFIC_S:
            tasks.append(asyncio.create_task(run.client(number)))
            number += 1
            if trouble and kill is None and time.monotonic() - began_s >= KILL_AT_S:
                run.in_touch_from_s = float("inf")
                kill = asyncio.create_task(run.kill_all())
            await asyncio.sleep(began_s + number / STREAMS_PER_S - time.monotonic())
        await asyncio.wait([*tasks, *([kill] if kill else [])])
    finally:
        run.fleet.stop()
    new = [one for one in run.sent if not one.is_take_up and one.in_touch]
    taken_up = [one for one in run.sent if one.is_take_up and one.in_touch]
    new_share = sum(one.goes_on() for one in new) / len(new)
    share = sum(one.goes_on() for one in taken_up) / max(1, len(taken_up))
    record(f"{len(new)} new streams at machines in touch, {new_share:.2f} begin")
    record(f"{len(taken_up)} taken up at machines in touch, {share:.2f} go on")
    if len(taken_up) >= 12 and share < 0.5 * new_share:
        return (
            f"LOST: {share:.2f} of {len(taken_up)} streams go on, {new_share:.2f} of new ones begin"
        )
    return None


kit.main(FOLDER, case)
