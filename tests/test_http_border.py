"""Connections of callers when memory or descriptors are short. No network: transports are fakes.

The load is a few callers that read slowly, send large bodies or open connections one after another.
"""

import asyncio

from tanagerworks.edge.http_server import HttpServer, HttpServerConnection
from tanagerworks.edge.memory_budget import MemoryBudget
from tanagerworks.published.model import CallerLimits

POST = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
GET = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"
BUDGET_BYTES = 1_000_000


class FakeTransport(asyncio.Transport):
    """Keeps what is written; `unsent` bytes of it have not been taken by the caller."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.unsent = 0
        self.aborted = False

    def get_extra_info(self, name, default=None):
        return self

    def setsockopt(self, *args):
        """Stands in for the option of the socket."""

    def set_write_buffer_limits(self, high=None, low=None):
        """Has no limit."""

    def get_write_buffer_size(self):
        return self.unsent

    def write(self, data):
        self.written += data

    def write_eof(self):
        """Sends nothing."""

    def is_closing(self):
        return self.aborted

    def pause_reading(self):
        """Input comes from the test."""

    resume_reading = pause_reading

    def abort(self):
        self.aborted = True

    close = abort


async def answer(head, body, responder):
    """Answers with the length of the body."""
    responder.send_response(200, [], b"%d" % len(body))


def connect(server, data=b""):
    """Returns a connection that has received `data`, and its transport."""
    connection, transport = HttpServerConnection(server), FakeTransport()
    connection.connection_made(transport)
    if data:
        connection.data_received(data)
    return connection, transport


def run(scenario, budget_bytes=BUDGET_BYTES, limits=CallerLimits, **options):
    """Runs `scenario` with a server."""

    async def main():
        await scenario(HttpServer(answer, limits, MemoryBudget(budget_bytes), **options))

    asyncio.run(main())


async def turns():
    """Lets handlers and callbacks run."""
    for _ in range(5):
        await asyncio.sleep(0)


def test_answer_that_is_still_read_is_not_ended_as_idle():
    """Guards against slow but steady readers that get a truncated answer."""

    async def scenario(server):
        reader, transport = connect(server)
        transport.unsent = 50_000
        reader.data_received(GET)
        await turns()
        now_s = asyncio.get_running_loop().time()
        assert not server.memory.end_connection(now_s + 60.0)
        assert not server.memory.end_one(now_s + 60.0)
        transport.unsent = 0
        reader.check_unsent(now_s)
        assert server.memory.end_connection(now_s + 60.0)
        assert transport.aborted

    run(scenario)


def test_new_connection_does_not_end_the_one_before():
    """Guards against a reset of a connection that is about to send its first request."""

    async def scenario(server):
        connections = [connect(server) for _ in range(3)]
        assert not connections[0][1].aborted
        assert connections[1][1].written.startswith(b"HTTP/1.1 503")
        server.memory.idle.since_s[connections[0][0]] -= 1.0
        _newcomer, transport = connect(server)
        assert connections[0][1].aborted
        assert not transport.written

    run(scenario, max_connections=1)


def test_whole_body_has_its_own_shorter_timeout():
    """Guards against a body timeout that is enforced only after the longer idle timeout."""

    async def scenario(server):
        _connection, transport = connect(server, POST % 10 + b"b")
        await asyncio.sleep(0.2)
        assert transport.written.startswith(b"HTTP/1.1 408")

    run(scenario, body_timeout_s=0.05)


def test_single_body_larger_than_the_budget_is_served():
    """Guards against a legal body that is read to its end and then always refused."""

    async def scenario(server):
        size = 2 * BUDGET_BYTES
        connection, transport = connect(server, POST % size)
        for _ in range(20):
            connection.data_received(b"b" * (size // 20))
            await turns()
        assert transport.written.startswith(b"HTTP/1.1 200")
        assert transport.written.endswith(b"%d" % size)
        assert server.memory.bodies.reserved_bytes == 0

    run(scenario)


def test_connections_go_on_parsing_if_one_fails(caplog):
    """Guards against an unexpected error that leaves other callers without an answer."""

    async def scenario(server):
        failing, other = connect(server), connect(server)
        failing[0].http = None
        server.parse_later(failing[0])
        other[0].http.receive_data(GET)
        server.parse_later(other[0])
        await turns()
        assert failing[1].aborted
        assert other[1].written.startswith(b"HTTP/1.1 200")

    run(scenario)
    assert "cannot be processed" in caplog.text


def test_grant_of_a_former_reservation_does_not_end_the_wait():
    """Guards against a request that waits for room with no time limit."""

    async def scenario(server):
        server.memory.bodies.reserve(server.memory.bodies.limit_bytes, lambda: None)
        connection, _transport = connect(server, POST % 100_000)
        assert connection.room_timer is not None
        connection._continue_with_room()
        assert connection.room_timer is not None

    run(scenario)


def test_running_request_is_not_taken_for_incomplete():
    """Guards against the end of a running request whose body came just after its grant."""

    async def scenario(server):
        server.handler = lambda *args: asyncio.sleep(60.0)
        blocker = server.memory.bodies.reserve(server.memory.bodies.limit_bytes, lambda: None)
        connection, _transport = connect(server, POST % 100_000)
        blocker.release()
        connection.data_received(b"b" * 100_000)
        await turns()
        assert connection.task is not None
        now_s = asyncio.get_running_loop().time()
        assert not server.memory.end_one(now_s + 60.0)
        connection.task.cancel()

    run(scenario)
