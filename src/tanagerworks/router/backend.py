"""HTTP connections to backend servers.

Redirects, retries and decompression of the client library stay off: each of them would decide
something about a request that only the routing decisions may decide.
"""

import threading
from collections import defaultdict
from collections.abc import Mapping

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from tanagerworks.errors import BackendConnectError, BackendProtocolError
from tanagerworks.outcome import Outcome
from tanagerworks.wsgi import parse_address


class BackendConnections:
    """Idle connections by address; a connection that ended unusually never comes back."""

    def __init__(self, connect_timeout_s: float, max_idle: int = 64) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.max_idle = max_idle
        self.lock = threading.Lock()
        self.idle: dict[str, list[HTTPConnection]] = defaultdict(list)

    def open(self, address: str) -> HTTPConnection:
        """Returns a new connection.

        Raises:
            BackendConnectError: no connection could be made; no byte was sent.
        """
        host, port = parse_address(address)
        connection = HTTPConnection(host, port, timeout=self.connect_timeout_s)
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            connection.close()
            raise BackendConnectError(f"cannot connect: {type(error).__name__}") from error
        return connection

    def take(self, address: str) -> HTTPConnection:
        """Returns an idle connection that the server has not closed, or a new one."""
        while True:
            with self.lock:
                pool = self.idle[address]
                connection = pool.pop() if pool else None
            if connection is None:
                return self.open(address)
            if connection.is_connected:
                return connection
            connection.close()

    def give_back(self, address: str, connection: HTTPConnection) -> None:
        """Keeps a connection whose last answer was read to its end."""
        with self.lock:
            pool = self.idle[address]
            if len(pool) < self.max_idle:
                pool.append(connection)
                return
        connection.close()


def send_request(
    connection: HTTPConnection,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    timeout_s: float,
) -> HTTPResponse:
    """Sends one request and returns the answer with its body still unread.

    Raises:
        BackendProtocolError: the connection failed after bytes may have been sent.
    """
    connection.timeout = timeout_s
    if connection.sock is not None:
        connection.sock.settimeout(timeout_s)
    try:
        connection.request(
            method, path, body=body, headers=headers, preload_content=False, decode_content=False
        )
        return connection.getresponse()
    except (HTTPError, OSError) as error:
        connection.close()
        raise BackendProtocolError(
            f"request failed: {type(error).__name__}", outcome=Outcome.UNKNOWN
        ) from error
