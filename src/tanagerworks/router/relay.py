"""Sends a chat request to its engine and relays the answer."""

from collections.abc import Iterator

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from tanagerworks.errors import BackendProtocolError
from tanagerworks.router.agent_link import AgentLink
from tanagerworks.router.backend import BackendConnections, send_request
from tanagerworks.router.request import ChatRequest
from tanagerworks.rpc.tanager_pb2 import Ended
from tanagerworks.wsgi import Response

_READ_BYTES = 65_536
_END_MARK = b"data: [DONE]"


class EngineRelay:
    """Relays answers of engines to callers."""

    def __init__(self, link: AgentLink, connections: BackendConnections) -> None:
        self.link = link
        self.connections = connections

    def open(self, request: ChatRequest) -> Response:
        """Sends the request and returns the response, whose body is relayed as it is read."""
        assert request.engine is not None
        assert request.claim is not None
        address = request.engine.address
        try:
            connection = self.connections.take(address)
            answer = send_request(
                connection,
                "POST",
                "/v1/chat/completions",
                request.body,
                {"Content-Type": "application/json", "X-Request-Id": request.request_id},
                request.engine.max_work_s,
            )
            if answer.headers.get("X-Request-Id") != request.request_id:
                connection.close()
                raise BackendProtocolError("the answer belongs to another request")
        except BaseException:
            self.link.release(Ended(slot=request.claim.slot))
            raise
        headers = [
            ("Content-Type", answer.headers.get("Content-Type", "application/json")),
            ("X-Request-Id", request.request_id),
        ]
        return Response(answer.status, headers, self._pieces(request, connection, answer))

    def _pieces(
        self, request: ChatRequest, connection: HTTPConnection, answer: HTTPResponse
    ) -> Iterator[bytes]:
        assert request.engine is not None
        assert request.claim is not None
        tail = b""
        whole = False
        try:
            while piece := answer.read1(_READ_BYTES):
                tail = (tail + piece)[-64:]
                yield piece
            whole = not request.streamed or _END_MARK in tail
            if not whole:
                yield b'event: error\ndata: {"error":{"code":"backend_protocol"}}\n\n'
        except (HTTPError, OSError):
            yield b'event: error\ndata: {"error":{"code":"backend_failed"}}\n\n'
        finally:
            if whole:
                self.connections.give_back(request.engine.address, connection)
            else:
                connection.close()
            self.link.release(Ended(slot=request.claim.slot))
