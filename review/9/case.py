"""Eight of nine nodes are killed at once; clients take their streams up again at the ninth."""

import asyncio
import contextlib
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness2"))

from harness import TROUBLE, Answer, CannotRun, Server, Store, configuration, exchange, read_answer, request, route, run_case  # noqa: E402, E501

EVENTS, GAP_S = 60, 0.15
# The sheet has 37 clients.
STREAMS, NEW_STREAMS = 37, 20
CONTACT_S = 3.0
DEADLINE_MS = 12_000


async def answer_stream(server, received, writer):
    """Writes a stream of events, from the one after Last-Event-Id on."""
    _method, _target, headers, _body = received
    writer.write(
        server.head(headers, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    )
    for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
        event = f"id: {number}\ndata: {server.version} {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b"0\r\n\r\n")


def stream_request(attempt_id, number, *extra):
    return request(
        "POST",
        "/lohu930/2f",
        attempt_id,
        "X-Tanagerworks-Model: m",
        "X-Tanagerworks-Token-Counts: 260,60",
        f"X-Tanagerworks-Prefix-Hash: 5c1e07a2:100,{number % 40:08x}:100,{number:08x}:60",
        *extra,
        deadline_ms=DEADLINE_MS,
    )


def events_of(answer):
    return [event for event in answer.body.decode().split("\n\n") if event]


def start_again(case, nodes):
    """Starts killed processes again, as the platform does after a short delay."""
    for node in nodes:
        node.process.wait()
        node.start()
    case.note("the killed processes are started again")


class Stream:
    """One client with its stream."""

    def __init__(self, number, node):
        self.number, self.node = number, node
        self.attempt_id = f"{number:016x}"
        self.answer = Answer()
        self.writer = None
        self.done = None

    async def begin(self):
        reader, self.writer = await asyncio.open_connection(*self.node.callers)
        self.writer.write(stream_request(self.attempt_id, self.number))
        self.done = asyncio.create_task(read_answer(reader, self.answer))

    def whole_events(self):
        return [e for e in self.answer.body.decode().split("\n\n")[:-1] if e]


async def scenario(case):
    store = await Store().listen()
    servers = []
    for number in range(6):
        server = Server(
            f"i-{number:08x}", "atelier-modele", f"v{1 + number % 2}", f"zone-{number % 3}", 64, answer_stream
        )
        servers.append(await server.listen())
    chat = route(
        "r-chat",
        "/lohu930/",
        "streaming",
        "atelier-modele",
        **{
            "timeout-ms": DEADLINE_MS,
            "target-gap-ms": 250,
            "max-attempts": 2,
            "resumable": True,
            "session-affinity": True,
        },
    )
    services = [{"name": "atelier-modele", "max-connections": 370, "engine": {"capacity": 64}}]
    store.put("op/config", configuration(7, [chat], services))
    for server in servers:
        store.put(f"servers/{server.server_id}", server.entry())
    case.add_nodes(9, store.address)
    for node in case.nodes:
        node.start(bootstrap=True)
    await case.wait_until_ready()
    await asyncio.sleep(CONTACT_S + 1)
    case.note("nine nodes are ready; servers: " + ", ".join(f"{s.server_id} {s.version}" for s in servers))

    survivor, others = case.nodes[4], [n for n in case.nodes if n is not case.nodes[4]]
    streams = [Stream(number, others[number % 8]) for number in range(STREAMS)]
    for stream in streams:
        await stream.begin()
        await asyncio.sleep(0.01)
    await asyncio.sleep(2.0)
    begun = [stream for stream in streams if len(stream.whole_events()) >= 2]
    case.note(f"{len(begun)} of {STREAMS} streams have begun at {len(others)} nodes")
    if len(begun) < 30:
        raise CannotRun("the streams did not begin")

    if TROUBLE:
        for node in others:
            node.process.kill()
        case.note(f"killed {', '.join(n.name for n in others)}; {survivor.name} runs on")
        asyncio.get_running_loop().call_later(1.0, start_again, case, others)
    else:
        for stream in begun:
            stream.writer.transport.abort()
        case.note("clients lost their connections")
    await asyncio.gather(*(stream.done for stream in begun))

    new_streams = [
        asyncio.create_task(exchange(survivor.callers, stream_request(f"{900_000 + n:016x}", 900_000 + n), 14))
        for n in range(NEW_STREAMS)
    ]

    async def take_up(stream):
        """Takes the stream up again; returns the answer."""
        received = stream.whole_events()
        raw = stream_request(
            f"{500_000 + stream.number:016x}",
            stream.number,
            f"Last-Event-Id: {len(received)}",
            f"Resumes: {stream.attempt_id}",
        )
        answer = await exchange(survivor.callers, raw, 14)
        version = received[0].split("data: ")[1].split()[0]
        events = events_of(answer)
        went_on = answer.status == 200 and bool(events) and events[0].startswith(f"id: {len(received) + 1}\n")
        case.note(
            f"stream {stream.attempt_id} of {version} after {len(received)} events:"
            f" {answer.status}, {len(events)} events, complete {answer.complete}, goes on {went_on}"
            + (f", {answer.body[:90]!r}" if answer.status != 200 else "")
        )
        return went_on

    async def later(stream):
        await asyncio.sleep(0.2 + 0.8 * stream.number / STREAMS)
        return await take_up(stream)

    went_on = await asyncio.gather(*(later(stream) for stream in begun if not stream.answer.complete))
    if TROUBLE and survivor.process.poll() is not None:
        raise CannotRun("the surviving node has ended")
    began = 0
    for task in new_streams:
        answer = await task
        began += answer.status == 200 and bool(events_of(answer))
        case.note(f"new stream at {survivor.name}: {answer.status}, {len(events_of(answer))} events")
    share, new_share = sum(went_on) / max(1, len(went_on)), began / NEW_STREAMS
    case.note(f"{sum(went_on)} of {len(went_on)} streams taken up went on ({share:.3f})")
    case.note(f"{began} of {NEW_STREAMS} new streams began at the same node ({new_share:.3f})")
    if len(went_on) < 12 or new_share < 0.5:
        raise CannotRun("too few streams")
    return share >= new_share / 2


with contextlib.suppress(KeyboardInterrupt):
    run_case(FOLDER, scenario)
