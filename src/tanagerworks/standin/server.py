"""Asynchronous HTTP/1.1 server of the stand-ins.

A single event loop serves all connections, so that a thousand open streams use little processor
time and measurements are dominated by the router, not by the stand-in.
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
    """One HTTP request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client_port: int

    def json(self) -> Any:
        """Returns the parsed JSON body, an empty object if the body is empty.

        Raises:
            ValueError: the body is not valid JSON.
        """
        return json.loads(self.body or b"{}")


class ResponseWriter:
    """Sends the response to one request, at once or in chunks."""

    def __init__(self, connection: "_Connection") -> None:
        self.connection = connection
        # Called once if the connection ends before the response does; the task that handles the
        # request is cancelled afterwards.
        self.on_disconnect: Callable[[], None] | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self.connection.transport.is_closing()

    @property
    def paused(self) -> bool:
        """Whether the send buffer is full because the client reads too slowly."""
        return self.connection.paused

    def start_response(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the status and headers; without a Content-Length the body is chunked."""
        reason = Response(status).status_line.partition(" ")[2]
        self.connection.send(h11.Response(status_code=status, headers=headers, reason=reason))

    def write_body(self, chunk: bytes) -> None:
        """Sends a chunk of the response body."""
        self.connection.send(h11.Data(data=chunk))

    def end_response(self) -> None:
        """Sends the end of the response body."""
        self.connection.send(h11.EndOfMessage())

    def send_response(self, response: Response) -> None:
        """Sends a complete response."""
        self.start_response(response.status, response.headers)
        for chunk in response.body:
            self.write_body(chunk)
        self.end_response()

    def abort(self) -> None:
        """Resets the connection."""
        self.connection.abort()

    def abort_other_connections(self) -> None:
        """Resets all other connections of the stand-in."""
        for connection in list(self.connection.server.connections):
            if connection is not self.connection:
                connection.abort()

    def is_peer_closed(self) -> bool:
        """Returns whether the client closed its side, even if the loop has not handled it yet."""
        poll = select.poll()
        try:
            poll.register(self.connection.transport.get_extra_info("socket"), _CLOSED_EVENTS)
        except (ValueError, OSError):
            return True
        return bool(poll.poll(0))


class RequestHandler(Protocol):
    """Interface of a stand-in to its server."""

    async def handle_request(self, request: Request, writer: ResponseWriter) -> Response | None:
        """Returns the response, or None if it was sent or aborted through `writer`.

        The server answers KeyError, ValueError and TypeError with status 400.
        """

    async def run_background(self) -> None:
        """Does periodic work until it is cancelled."""


class _Connection(asyncio.Protocol):
    def __init__(self, server: "StandinServer") -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_HEADER_BYTES)
        self.transport: asyncio.Transport
        self.paused = False
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.writer: ResponseWriter | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection with the server."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Unregisters the connection and cancels the request that it was handling."""
        self.server.connections.discard(self)
        self._notify_disconnect()

    def pause_writing(self) -> None:
        """Marks the send buffer as full."""
        self.paused = True

    def resume_writing(self) -> None:
        """Marks the send buffer as writable again."""
        self.paused = False

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection on a protocol error."""
        try:
            self.http.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError:
            self.transport.close()

    def _process_events(self) -> None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self.head, self.body = event, bytearray()
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch_request()
            elif isinstance(event, h11.ConnectionClosed):
                self.transport.close()
                return

    def _dispatch_request(self) -> None:
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
        self.writer = ResponseWriter(self)
        self.writer.task = self.server.spawn_task(self._answer_request(request, self.writer))

    async def _answer_request(self, request: Request, writer: ResponseWriter) -> None:
        try:
            response = await self.server.handler.handle_request(request, writer)
        except (KeyError, ValueError, TypeError) as error:
            response = json_response({"error": {"code": "bad_request", "message": str(error)}}, 400)
        if response is not None and not writer.is_closed:
            writer.send_response(response)

    def send(self, event: h11.Response | h11.Data | h11.EndOfMessage) -> None:
        if self.transport.is_closing():
            return
        data = self.http.send(event)
        if data:
            self.transport.write(data)
        if isinstance(event, h11.EndOfMessage):
            self.writer = None
            if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
                self.http.start_next_cycle()
                self._process_events()
            else:
                self.transport.close()

    def abort(self) -> None:
        # A linger time of 0 makes the kernel send a reset instead of an orderly close.
        self.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.transport.abort()
        self._notify_disconnect()

    def _notify_disconnect(self) -> None:
        writer, self.writer = self.writer, None
        if writer is None:
            return
        if writer.on_disconnect is not None:
            writer.on_disconnect()
        if writer.task is not None:
            writer.task.cancel()


class StandinServer:
    """Open connections and request tasks of one stand-in."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler
        self.connections: set[_Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn_task(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Runs a coroutine in a task and keeps a reference to the task until it is done."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


async def _serve(address: str, create_handler: Callable[[], RequestHandler]) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    handler = create_handler()
    server = StandinServer(handler)
    host, port = parse_address(address)
    listener = await loop.create_server(lambda: _Connection(server), host, port, backlog=4096)
    background_task = asyncio.create_task(handler.run_background())
    stop_task = asyncio.create_task(stopped.wait())
    # An error in the background task ends the process, which would otherwise run without it.
    await asyncio.wait({background_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
    listener.close()
    for connection in list(server.connections):
        connection.transport.abort()
    if background_task.done():
        background_task.result()
    background_task.cancel()


def serve_standin(address: str, create_handler: Callable[[], RequestHandler]) -> int:
    """Serves at `address` until a signal arrives, then closes all connections at once.

    Returns the exit status.
    """
    asyncio.run(_serve(address, create_handler))
    return EXIT_OK


async def wait_forever() -> None:
    """Waits until it is cancelled."""
    await asyncio.Event().wait()
