"""Crowds of clients that the operators do not control, against one real edge process.

A crowd opens connections, sends its pieces on each of them and keeps them open. Ordinary requests
are sent before, beside and after it. Clients are plain sockets, so that they cost little.
"""

import asyncio
import contextlib
import json
import resource
import signal
import socket
from dataclasses import dataclass
from pathlib import Path

from tests.edge_node import EdgeNode
from tests.platform_standin import (
    WIRE_CONFIGURATION,
    WIRE_ENTRY,
    ServerStandin,
    StoreStandin,
    read_response,
    request_bytes,
    response_head,
    wait_until,
)

# Legal sizes under the limits of `WIRE_CONFIGURATION`.
LEGAL_BODY_BYTES = 4_194_304
# Descriptors that this process needs, for its side of a crowd and the servers of its requests.
_DESCRIPTORS = 8_192
_ATTEMPTS = 40
_ATTEMPT_PAUSE_S = 0.25
_SAMPLE_INTERVAL_S = 0.05
# Each client waits this long at most until the process takes its next piece.
_SEND_LIMIT_S = 4.0
# More than the kernel's buffers of one connection.
LARGE_ANSWER_BYTES = 8_000_000
BUFFERED_ANSWER_BYTES = 250_000
_PIECE = b"a" * 16_384
# Each client sends an id of its own in place of this one, in pieces that are no larger than this.
CALL_ID = b"CALL-ID"
_MAX_REQUEST_BYTES = 1_024


@dataclass(frozen=True)
class Crowd:
    """`clients` connections that each send `pieces` in order and stay open, unread, for `hold_s`.

    `arrivals` is the number of times that each client connects anew and leaves after its pieces.
    """

    clients: int
    pieces: tuple[bytes, ...]
    hold_s: float = 3.0
    pause_s: float = 0.0
    arrivals: int = 1
    # Descriptors that the edge process may open; None leaves its limit as it is.
    max_open_files: int | None = None


@dataclass(frozen=True)
class Outcome:
    """What one run has shown; memory in MB (1e6 bytes)."""

    alive: bool
    peak_mb: float
    end_mb: float
    open_files: int
    answered_beside: bool
    answered_after: bool


def crowd_request(path, method="GET", *headers):
    """A request with the id of its client and a deadline that leaves time for slow reading."""
    raw = request_bytes(path, CALL_ID.decode(), method, b"", *headers)
    return raw.replace(b"deadline-ms: 1500", b"deadline-ms: 14000")


async def _answer(server, headers, reader, writer):
    """Answers by path: large, just small enough to be buffered, or short."""
    target = server.requests[-1][0].split()[1]
    server.requests.clear()
    server.bodies.clear()
    size = {"/read/large": LARGE_ANSWER_BYTES, "/read/buffered": BUFFERED_ANSWER_BYTES}.get(
        target, 2
    )
    writer.write(response_head(headers, "200 OK", f"content-length: {size}"))
    for start in range(0, size, len(_PIECE)):
        writer.write(_PIECE[: size - start])
        await writer.drain()
        if target == "/read/held":
            await asyncio.sleep(8.0)


def run_crowd(directory, crowd, memory_limit_mb):
    """Runs one edge process with `memory_limit_mb` beside the crowd; returns the `Outcome`."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < _DESCRIPTORS <= hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (_DESCRIPTORS, hard))
    return asyncio.run(_run_crowd(directory, crowd, memory_limit_mb))


async def _run_crowd(directory, crowd, memory_limit_mb):
    store = await StoreStandin().start()
    store.page_size = 500
    server = await ServerStandin("a", _answer).start()
    route = WIRE_CONFIGURATION["routes"][1] | {"timeout-ms": 15_000}
    read = {"type": "idempotent", "name": "r-3", "prefix": "/read/"}
    store.put("op/config", WIRE_CONFIGURATION | {"routes": [route, route | read]})
    entry = WIRE_ENTRY | {"service": "desk", "address": f"127.0.0.1:{server.port}"}
    store.put("servers/a", entry | {"cold-remaining-ms": 0})
    node = EdgeNode(1, directory, store.address, [])
    document = json.loads(node.settings.read_text())
    node.settings.write_text(json.dumps(document | {"memory_limit_mb": memory_limit_mb}))
    await node.start()
    if crowd.max_open_files is not None:
        limits = (crowd.max_open_files, crowd.max_open_files)
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, limits)
    try:
        await wait_until(lambda: b'"started"' in node.log.read_bytes())
        assert await _is_answered(node), "no answer without any crowd"
        open_files = [0]
        watch = asyncio.create_task(_watch_open_files(node, open_files))
        clients = asyncio.gather(*(_run_client(node, crowd, n) for n in range(crowd.clients)))
        await asyncio.sleep(crowd.hold_s / 2)
        beside = await _is_answered(node)
        await clients
        after = await _is_answered(node)
        watch.cancel()
        alive = node.process.returncode is None
        peak_mb, end_mb = (_memory_mb(node, name) for name in ("VmHWM:", "VmRSS:"))
        return Outcome(alive, peak_mb, end_mb, max(open_files), beside, after)
    finally:
        await node.end(signal.SIGKILL)
        store.server.close_listener()
        server.server.close()


async def _run_client(node, crowd, number):
    loop = asyncio.get_running_loop()
    host, _colon, port = node.callers.partition(":")
    for arrival in range(crowd.arrivals):
        with socket.socket() as client:
            client.setblocking(False)
            # A small window, so that unread answers stay in the process.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(_SEND_LIMIT_S):
                    await loop.sock_connect(client, (host, int(port)))
                    for piece in crowd.pieces:
                        if len(piece) < _MAX_REQUEST_BYTES:
                            piece = piece.replace(CALL_ID, b"%d-%d" % (number, arrival))
                        await loop.sock_sendall(client, piece)
                        await asyncio.sleep(crowd.pause_s)
            if arrival == crowd.arrivals - 1:
                await asyncio.sleep(crowd.hold_s)


async def _is_answered(node):
    """Whether one ordinary request is answered; refusals are tried again as callers do."""
    host, _colon, port = node.callers.partition(":")
    for attempt in range(_ATTEMPTS):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(request_bytes("/book/x", f"ordinary-{attempt}", "POST", b"body"))
                status = (await read_response(reader)).status
                writer.close()
                if status == 200:
                    return True
        await asyncio.sleep(_ATTEMPT_PAUSE_S)
    return False


async def _watch_open_files(node, seen):
    while node.process.returncode is None:
        with contextlib.suppress(OSError):
            seen.append(len(list(Path(f"/proc/{node.process.pid}/fd").iterdir())))
        await asyncio.sleep(_SAMPLE_INTERVAL_S)


def _memory_mb(node, name):
    """Reads a line of the process's status; 0 if the process has ended."""
    try:
        status = Path(f"/proc/{node.process.pid}/status").read_text(encoding="ascii")
    except OSError:
        return 0.0
    return int(status.partition(name)[2].split()[0]) * 1024 / 1e6 if name in status else 0.0
