"""Nodes of a zone are stopped in turn; a stream that comes late and lasts long is cut at the exit."""

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness2"))

from harness import BOUNDS, TROUBLE, Answer, CannotRun, Server, Store, configuration, exchange, read_answer, request, route, run_case  # noqa: E402, E501

EVENT_S = 0.05
# Events of the streams before the stop, and of those that come late: 0.5 s and 6 s.
SHORT, LONG = 10, 120
WARM_UP = 30
DEADLINE_MS = 12_000
GAP_S = 1.3
LATE_S = (3.1, 3.3, 3.5, 3.7)


async def answer_stream(server, received, writer):
    """Writes as many events as the request asks for: its tokens out, six a piece."""
    _method, _target, headers, _body = received
    events = int(headers["x-tanagerworks-token-counts"].split(",")[1]) // 6
    writer.write(
        server.head(headers, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    )
    attempt_id = headers["x-tanagerworks-attempt-id"]
    server.began[attempt_id] = time.monotonic()
    for number in range(1, events + 1):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        if writer.transport.is_closing():
            return
        server.last[attempt_id] = time.monotonic()
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")


def stream_request(number, events, path="/lohu930/2f"):
    return request(
        "POST",
        path,
        f"{number:016x}",
        "X-Tanagerworks-Model: m",
        f"X-Tanagerworks-Token-Counts: 260,{6 * events}",
        f"X-Tanagerworks-Prefix-Hash: 5c1e07a2:100,{number % 40:08x}:100,{number:08x}:60",
        deadline_ms=DEADLINE_MS,
    )


class Balancer:
    """The platform's choice of a node: two missed readiness questions take a node out.

    If fewer than half of the nodes of the zone are in rotation, all of them are used.
    """

    def __init__(self, case):
        self.case = case
        self.misses = dict.fromkeys(case.nodes, 0)

    async def run(self):
        while True:
            answers = await asyncio.gather(*(node.is_ready() for node in self.case.nodes))
            for node, ready in zip(self.case.nodes, answers, strict=True):
                self.misses[node] = 0 if ready else self.misses[node] + 1
            await asyncio.sleep(1.0)

    def usable(self):
        rotation = [node for node, misses in self.misses.items() if misses < 2]
        return self.case.nodes if 2 * len(rotation) < len(self.case.nodes) else rotation


async def scenario(case):
    store = await Store().listen()
    servers = []
    for number in range(3):
        server = Server(f"i-{number:08x}", "atelier-modele", "v1", f"zone-{number}", 64, answer_stream)
        server.began, server.last = {}, {}
        servers.append(await server.listen())
    fields = {"timeout-ms": DEADLINE_MS, "target-gap-ms": 250, "session-affinity": True}
    chat = route("r-chat", "/lohu930/", "streaming", "atelier-modele", **fields)
    services = [{"name": "atelier-modele", "max-connections": 370, "engine": {"capacity": 64}}]
    draft = route("r-draft", "/puxa403/", "streaming", "atelier-modele", **fields)
    store.put("op/config", configuration(7, [chat, draft], services))
    for server in servers:
        store.put(f"servers/{server.server_id}", server.entry())
    case.add_nodes(3, store.address, zones=1)
    for node in case.nodes:
        node.start(bootstrap=True)
    await case.wait_until_ready()
    await asyncio.sleep(4)
    balancer = Balancer(case)
    asking = asyncio.create_task(balancer.run())
    for lap in range(0, WARM_UP, 10):
        answers = await asyncio.gather(
            *(
                exchange(node.callers, stream_request(1000 * n + lap + k, SHORT))
                for n, node in enumerate(case.nodes)
                for k in range(10)
            )
        )
        if not all(answer.complete and answer.status == 200 for answer in answers):
            raise CannotRun("the streams before the stop failed")
    case.note(f"{WARM_UP} streams of {SHORT} events were complete at each node")

    # Drafts, on a route of their own, which are in progress when the nodes are stopped.
    drafts = [
        asyncio.create_task(exchange(node.callers, stream_request(800_000 + n, LONG, "/puxa403/2f"), 14))
        for n, node in enumerate(case.nodes)
    ]
    await asyncio.sleep(0.3)
    began_s = time.monotonic()
    signalled_s = {}

    async def stop_in_turn():
        for node in case.nodes:
            signalled_s[node] = time.monotonic()
            if TROUBLE:
                node.process.send_signal(signal.SIGTERM)
                case.note(f"SIGTERM to {node.name}")
            await asyncio.sleep(GAP_S)

    stopping = asyncio.create_task(stop_in_turn())
    results = []

    async def ask(number, at_s):
        await asyncio.sleep(began_s + at_s - time.monotonic())
        first = case.nodes[0]
        if TROUBLE and first not in balancer.usable():
            case.note(f"{number:016x}: the balancer does not send it to {first.name}")
            return
        answer = Answer()
        reader, writer = await asyncio.open_connection(*first.callers)
        sent_s = time.monotonic()
        writer.write(stream_request(number, LONG))
        await read_answer(reader, answer)
        ended_s = time.monotonic()
        writer.close()
        attempt_id = f"{number:016x}"
        ran = next((server for server in servers if attempt_id in server.began), None)
        after_s, took_s = sent_s - signalled_s[first], ended_s - sent_s
        case.note(
            f"{attempt_id} sent {after_s:.2f} s after the SIGTERM of {first.name}: {answer.status},"
            f" complete {answer.complete}, {answer.body.count(b'id: ')} of {LONG} events, ended"
            f" {took_s:.2f} s later, run by {ran.server_id if ran else None}"
        )
        cut = answer.status == 200 and not answer.complete
        results.append(cut and ran is not None and after_s > 3.0 and took_s < 0.7 * DEADLINE_MS / 1000)

    await asyncio.gather(*(ask(900_000 + n, at_s) for n, at_s in enumerate(LATE_S)))
    await stopping
    asking.cancel()
    for node, draft in zip(case.nodes, await asyncio.gather(*drafts), strict=True):
        case.note(f"draft in progress at {node.name}: {draft.status}, complete {draft.complete}")
    case.note(f"{sum(results)} of {len(results)} streams were read, passed on and ended without their end")
    if not results:
        raise CannotRun("no stream was sent")
    assert BOUNDS["grace-period-s"] == 8
    return not any(results)


with contextlib.suppress(KeyboardInterrupt):
    run_case(FOLDER, scenario)
