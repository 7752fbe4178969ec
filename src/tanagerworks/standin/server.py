"""Asynchronous HTTP/1.1 server of the stand-ins.

One event loop holds all connections, so that a thousand open streams cost little processor time
and a measurement sees the router and not the stand-in.
"""

import asyncio
import json
import select
import signal
import socket
import struct
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import parse_qsl

import h11

from tanagerworks.program import EXIT_OK
from tanagerworks.wsgi import Response, json_response, parse_address

_MAX_HEADER_BYTES = 65_536
_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclass(frozen=True)
class Request:
    """One request; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client_port: int

    def json(self) -> Any:
        """Returns the body as a JSON document; an empty body is an empty object."""
        return json.loads(self.body or b"{}")


class Exchange:
    """The answer to one request, sent as a whole or in pieces."""

    def __init__(self, connection: "_Connection") -> None:
        self.connection = connection
        # Called once when the client goes away before the answer ended; the task that serves the
        # request is then cancelled.
        self.on_gone: Callable[[], None] | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def closed(self) -> bool:
        """Whether the client is gone."""
        return self.connection.transport.is_closing()

    @property
    def paused(self) -> bool:
        """Whether the client reads more slowly than the answer is written."""
        return self.connection.paused

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the status line and headers; the body is chunked unless a length is given."""
        reason = Response(status).status_line.partition(" ")[2]
        self.connection.send(h11.Response(status_code=status, headers=headers, reason=reason))

    def write(self, piece: bytes) -> None:
        """Sends a piece of the body."""
        self.connection.send(h11.Data(data=piece))

    def end(self) -> None:
        """Ends the answer."""
        self.connection.send(h11.EndOfMessage())

    def respond(self, response: Response) -> None:
        """Sends a whole answer."""
        self.start(response.status, response.headers)
        for piece in response.body:
            self.write(piece)
        self.end()

    def abort(self) -> None:
        """Resets the connection."""
        self.connection.abort()

    def abort_others(self) -> None:
        """Resets all other connections of the stand-in."""
        for connection in list(self.connection.server.connections):
            if connection is not self.connection:
                connection.abort()

    def peer_closed(self) -> bool:
        """Whether the client has closed its side, even if the event loop has not seen it yet."""
        poll = select.poll()
        try:
            poll.register(self.connection.transport.get_extra_info("socket"), _CLOSED_EVENTS)
        except (ValueError, OSError):
            return True
        return bool(poll.poll(0))


class Routes(Protocol):
    """What a stand-in serves."""

    async def handle(self, request: Request, exchange: Exchange) -> Response | None:
        """Returns the answer, or None if it was sent or broken off through `exchange`."""

    async def run(self) -> None:
        """Works in the background until it is cancelled."""


class _Connection(asyncio.Protocol):
    def __init__(self, server: "StandinServer") -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEADER_BYTES)
        self.transport: asyncio.Transport
        self.paused = False
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.exchange: Exchange | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Tells the running request that its client is gone."""
        self.server.connections.discard(self)
        self._notify_gone()

    def pause_writing(self) -> None:
        """Notes that the client reads slowly."""
        self.paused = True

    def resume_writing(self) -> None:
        """Notes that the client caught up."""
        self.paused = False

    def data_received(self, data: bytes) -> None:
        """Takes bytes of a request."""
        try:
            self.http.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError:
            self.transport.close()

    def _advance(self) -> None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self.head, self.body = event, bytearray()
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
            elif isinstance(event, h11.ConnectionClosed):
                self.transport.close()
                return

    def _dispatch(self) -> None:
        assert self.head is not None
        path, _, query = self.head.target.decode("ascii").partition("?")
        request = Request(
            method=self.head.method.decode("ascii"),
            path=path,
            query=dict(parse_qsl(query)),
            headers={
                name.decode("ascii"): value.decode("latin-1") for name, value in self.head.headers
            },
            body=bytes(self.body),
            client_port=int(self.transport.get_extra_info("peername")[1]),
        )
        self.exchange = Exchange(self)
        self.exchange.task = self.server.spawn(self._serve(request, self.exchange))

    async def _serve(self, request: Request, exchange: Exchange) -> None:
        try:
            response = await self.server.routes.handle(request, exchange)
        except (KeyError, ValueError, TypeError) as error:
            response = json_response({"error": {"code": "bad_request", "message": str(error)}}, 400)
        if response is not None and not exchange.closed:
            exchange.respond(response)

    def send(self, event: h11.Response | h11.Data | h11.EndOfMessage) -> None:
        if self.transport.is_closing():
            return
        data = self.http.send(event)
        if data:
            self.transport.write(data)
        if isinstance(event, h11.EndOfMessage):
            self.exchange = None
            if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
                self.http.start_next_cycle()
                self._advance()
            else:
                self.transport.close()

    def abort(self) -> None:
        # Without lingering the client sees a reset instead of an orderly end.
        self.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.transport.abort()
        self._notify_gone()

    def _notify_gone(self) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        if exchange.on_gone is not None:
            exchange.on_gone()
        if exchange.task is not None:
            exchange.task.cancel()


class StandinServer:
    """Connections and running requests of one stand-in."""

    def __init__(self, routes: Routes) -> None:
        self.routes = routes
        self.connections: set[_Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Runs a request in a task of its own."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


async def _serve(address: str, create: Callable[[], Routes]) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    routes = create()
    server = StandinServer(routes)
    host, port = parse_address(address)
    listener = await loop.create_server(lambda: _Connection(server), host, port, backlog=4096)
    background = asyncio.create_task(routes.run())
    waiting = asyncio.create_task(stopped.wait())
    # An error in the background work ends the stand-in instead of leaving it half alive.
    await asyncio.wait({background, waiting}, return_when=asyncio.FIRST_COMPLETED)
    listener.close()
    for connection in list(server.connections):
        connection.transport.abort()
    if background.done():
        background.result()
    background.cancel()


def serve_routes(address: str, create: Callable[[], Routes]) -> int:
    """Serves at `address` until a signal, then stops at once; returns the exit status."""
    asyncio.run(_serve(address, create))
    return EXIT_OK


async def run_forever() -> None:
    """Background work of a stand-in that has none."""
    await asyncio.Event().wait()
