"""Requests to a model engine: checks before sending, cancellation, resumption of a stream."""

import json
import logging
import time
from collections.abc import Mapping

from tanagerworks.errors import (
    BackendConnectError,
    BackendError,
    BackendProtocolError,
    BackendRestartedError,
    CapacityError,
    DeadlineError,
    RequestError,
)
from tanagerworks.note.model import Engine
from tanagerworks.outcome import Outcome
from tanagerworks.router.agent_link import AgentLink
from tanagerworks.router.backend_connection import BackendConnection, BackendConnectionPool
from tanagerworks.router.backend_response import BackendResponse
from tanagerworks.router.held_slots import Grant

_LOGGER = logging.getLogger(__name__)

# Time for which a response on a connection confirms the boot id of the engine.
BOOT_ID_MAX_AGE_S = 0.5
_CONTROL_TIMEOUT_S = 1.0
_MAX_CONTROL_BYTES = 65_536
_MAX_CHECK_ROUNDS = 3
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404


class EngineClient:
    """Sends requests to engines over pooled connections."""

    def __init__(self, link: AgentLink, connections: BackendConnectionPool) -> None:
        self.link = link
        self.connections = connections

    def acquire_connection(self, engine: Engine, grant: Grant) -> BackendConnection:
        """Returns a connection on which the request may be sent immediately.

        The age of the view and the grant's `start_by_s` are checked last, because connecting and
        confirming the boot id take time.

        Raises:
            TanagerError: the request must not be sent; the outcome is NOT_RUN.
        """
        connection = self.connections.acquire(engine.address)
        try:
            for _ in range(_MAX_CHECK_ROUNDS):
                self._confirm_boot(connection, engine, grant)
                view = self.link.fresh_view()
                if grant.engine_id not in view.eligible:
                    raise CapacityError("the engine was taken out of service")
                now_s = self.link.now()
                if now_s >= grant.start_by_s:
                    raise DeadlineError("the borrowed slot can no longer be used")
                fresh = now_s - view.known_at_s <= self.link.max_view_age_s or self.link.agent_lost
                if fresh and self._is_boot_confirmed(connection, engine, grant, now_s):
                    return connection
            raise CapacityError("the checks before sending took too long")
        except BaseException:
            connection.close()
            raise

    def _is_boot_confirmed(
        self, connection: BackendConnection, engine: Engine, grant: Grant, now_s: float
    ) -> bool:
        if grant.slot.index < engine.cold_slots:
            return True
        return (
            bool(grant.boot_id)
            and connection.boot_id == grant.boot_id
            and now_s - connection.boot_confirmed_at_s < BOOT_ID_MAX_AGE_S
        )

    def _confirm_boot(self, connection: BackendConnection, engine: Engine, grant: Grant) -> None:
        if self._is_boot_confirmed(connection, engine, grant, self.link.now()):
            return
        requested_at_s = self.link.now()
        try:
            response = connection.send_request(
                "GET", "/v1/boot", b"", {}, time.monotonic() + _CONTROL_TIMEOUT_S
            )
            body = response.read_all(_MAX_CONTROL_BYTES)
            boot_id = str(json.loads(body)["boot_id"]) if response.status == _HTTP_OK else ""
        except (BackendError, OSError, ValueError, KeyError, TypeError) as error:
            raise BackendConnectError("the engine does not report its boot id") from error
        if not response.reusable:
            raise BackendConnectError(
                "the engine closes the connection after reporting its boot id"
            )
        connection.boot_id, connection.boot_confirmed_at_s = boot_id, requested_at_s
        if not boot_id or boot_id != grant.boot_id:
            raise BackendRestartedError("the engine's boot id differs from that of the grant")

    def record_boot_id(self, connection: BackendConnection, response: BackendResponse) -> str:
        """Records the boot id that a response reports; returns it, empty if there is none."""
        boot_id = response.headers.get("X-Engine-Boot", "")
        connection.boot_id, connection.boot_confirmed_at_s = boot_id, self.link.now()
        return boot_id

    def release_connection(self, connection: BackendConnection, response: BackendResponse) -> None:
        """Returns a connection to the pool whose response has just been read to the end."""
        connection.boot_confirmed_at_s = self.link.now()
        self.connections.release(connection, response)

    def cancel_request(self, engine: Engine, request_id: str, response_started: bool) -> bool:
        """Cancels a request; returns whether it is certain that the engine no longer has it.

        `response_started` states that the engine had started to respond. Only then does an unknown
        id mean that the request has ended; otherwise the engine may not have read it yet.
        """
        try:
            connection = self.connections.open_connection(engine.address)
        except BackendConnectError as error:
            # No process listens, so the one that had the request has ended.
            return isinstance(error.__cause__, ConnectionRefusedError)
        try:
            response = connection.send_request(
                "DELETE",
                f"/v1/requests/{request_id}",
                b"",
                {"X-Request-Id": request_id},
                time.monotonic() + _CONTROL_TIMEOUT_S,
            )
            response.read_all(_MAX_CONTROL_BYTES)
        except (BackendError, RequestError, OSError) as error:
            _LOGGER.warning(
                "cannot cancel a request at its engine",
                extra={"request_id": request_id, "error": type(error).__name__},
            )
            return False
        finally:
            connection.close()
        if response.status == _HTTP_NOT_FOUND:
            return response_started
        return _HTTP_OK <= response.status < 300

    def resume_stream(
        self, engine: Engine, request_id: str, events: int, boot_id: str, deadline_s: float
    ) -> tuple[BackendConnection, BackendResponse]:
        """Requests the rest of a stream after `events` events, on a new connection.

        Returns the connection and the response with its body still unread.

        Raises:
            BackendError: the engine does not continue the stream.
            OSError: the connection failed.
        """
        connection = self.connections.open_connection(engine.address)
        headers: Mapping[str, str] = {"X-Request-Id": request_id}
        try:
            response = connection.send_request(
                "GET", f"/v1/requests/{request_id}/stream?after={events}", b"", headers, deadline_s
            )
            if response.status != _HTTP_OK:
                raise BackendError("the engine does not resume the stream", outcome=Outcome.RAN)
            check_request_id(response, request_id)
            if self.record_boot_id(connection, response) != boot_id:
                raise BackendProtocolError("the engine restarted", outcome=Outcome.RAN)
        except BaseException:
            connection.close()
            raise
        return connection, response


def check_request_id(response: BackendResponse, request_id: str) -> None:
    """Raises BackendProtocolError if the response belongs to another request."""
    if response.headers.get("X-Request-Id") != request_id:
        raise BackendProtocolError("the response belongs to another request")
