"""Issues tickets and runs calls with them at most once, or forwards them to the issuer."""

import ipaddress
import secrets
import threading
from collections.abc import Callable
from dataclasses import replace

from tanagerworks.clock import boot_time_s
from tanagerworks.errors import (
    BackendError,
    RequestError,
    TanagerError,
    TicketMismatchError,
    TicketResultDroppedError,
    TicketRunningError,
    TicketUnknownError,
)
from tanagerworks.outcome import Outcome
from tanagerworks.router.backend_connection import BackendConnectionPool
from tanagerworks.router.http_rules import (
    IDEMPOTENCY_KEY,
    INSTANCE_HEADER,
    relayed_response_headers,
)
from tanagerworks.router.service_calls import ServiceResponse
from tanagerworks.router.view import RouterView
from tanagerworks.routing.tickets import (
    CallState,
    Ticket,
    TicketCall,
    TicketCallStore,
    TicketSigner,
    read_ticket,
)

_SECRET_BYTES = 32
_NONCE_BYTES = 16
REPLAYED_HEADER = ("Idempotent-Replayed", "true")


class TicketService:
    """Issues the tickets of this router process and runs the calls with them."""

    def __init__(
        self,
        instance_id: str,
        forward_address: str,
        *,
        lifetime_s: float,
        max_calls: int,
        max_bytes: int,
        now: Callable[[], float] = boot_time_s,
    ) -> None:
        self.instance_id = instance_id
        self.forward_address = forward_address
        self.lifetime_s = lifetime_s
        self.now = now
        self.signer = TicketSigner(secrets.token_bytes(_SECRET_BYTES))
        self.calls = TicketCallStore(max_calls, max_bytes)
        self.changed = threading.Condition()

    def issue_ticket(self, customer: str, service: str, digest: str) -> str:
        """Returns a new ticket for one call."""
        return self.signer.sign(
            Ticket(
                self.instance_id,
                self.forward_address,
                customer,
                service,
                secrets.token_hex(_NONCE_BYTES),
                self.now() + self.lifetime_s,
                digest,
            )
        )

    def run_call(
        self,
        key: str,
        customer: str,
        service: str,
        digest: str,
        execute: Callable[[], ServiceResponse],
        wait_s: float,
    ) -> ServiceResponse:
        """Runs the call with a ticket of this process, or returns its earlier response.

        A retry waits up to `wait_s` for the first call if that is still running.

        Raises:
            TanagerError: there is no response; the outcome states what is known of the call.
        """
        ticket = self.signer.verify(key)
        check_ticket_binding(ticket, customer, service)
        if ticket.instance_id != self.instance_id:
            raise TicketUnknownError("the router process that issued the ticket has ended")
        with self.changed:
            call, is_new = self.calls.start_call(ticket, digest, self.now())
            if not is_new:
                self.changed.wait_for(lambda: call.state is not CallState.RUNNING, wait_s)
            if call.state is CallState.NOT_RUN:
                # The call that this one waited for did not run, so this one may.
                call, is_new = self.calls.start_call(ticket, digest, self.now())
            if not is_new:
                return _replayed_response(call)
        return self._execute_call(ticket, call, execute)

    def _execute_call(
        self, ticket: Ticket, call: TicketCall, execute: Callable[[], ServiceResponse]
    ) -> ServiceResponse:
        result: ServiceResponse | TanagerError = TicketUnknownError("the call was abandoned")
        try:
            result = execute()
        except TanagerError as error:
            result = error
            raise
        finally:
            with self.changed:
                if isinstance(result, TanagerError) and result.outcome is Outcome.NOT_RUN:
                    self.calls.remove_call(ticket.nonce, call)
                else:
                    size = len(result.body) if isinstance(result, ServiceResponse) else 0
                    self.calls.finish_call(ticket.nonce, call, result, size)
                self.changed.notify_all()
        return result


def _replayed_response(call: TicketCall) -> ServiceResponse:
    if call.state is CallState.RUNNING:
        raise TicketRunningError("the call with this ticket is still running")
    if call.state is CallState.RESULT_DROPPED:
        raise TicketResultDroppedError("the call ran; its response was too large to keep")
    result = call.result
    if isinstance(result, ServiceResponse):
        return replace(result, headers=(*result.headers, REPLAYED_HEADER))
    assert isinstance(result, TanagerError)
    # A new object, because the traceback of the first one belongs to another thread.
    replayed_error = type(result)(result.message, outcome=result.outcome)
    raise replayed_error


def check_ticket_binding(ticket: Ticket, customer: str, service: str) -> None:
    """Raises TicketMismatchError if the ticket belongs to another customer or service."""
    if ticket.customer != customer or ticket.service != service:
        raise TicketMismatchError("the ticket is bound to another customer or service")


class TicketForwarder:
    """Forwards calls to the router processes that issued their tickets."""

    def __init__(self, connections: BackendConnectionPool, max_answer_bytes: int) -> None:
        self.connections = connections
        self.max_answer_bytes = max_answer_bytes

    def forward_call(
        self,
        key: str,
        view: RouterView,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> ServiceResponse:
        """Returns the response of the issuing process.

        Raises:
            TicketUnknownError: it cannot be reached, or its response is not complete.
        """
        ticket = read_ticket(key)
        address = _issuer_address(ticket, view)
        headers = {**headers, IDEMPOTENCY_KEY: key, INSTANCE_HEADER: ticket.instance_id}
        connection = None
        try:
            connection = self.connections.open_connection(address)
            response = connection.send_request(
                method, target, body, headers, self.connections.now() + timeout_s
            )
            payload = response.read_all(self.max_answer_bytes)
        except (BackendError, RequestError, OSError) as error:
            raise TicketUnknownError(
                "the router process that issued the ticket cannot be reached"
            ) from error
        finally:
            if connection is not None:
                connection.close()
        if not response.framed or not response.headers.get("X-Request-Id"):
            raise TicketUnknownError("the address in the ticket is not that of a router process")
        outcome = response.headers.get("X-Outcome")
        return ServiceResponse(
            response.status,
            (
                *relayed_response_headers(response.headers),
                *([REPLAYED_HEADER] if response.headers.get(REPLAYED_HEADER[0]) else []),
            ),
            payload,
            Outcome(outcome) if outcome else None,
        )


def _issuer_address(ticket: Ticket, view: RouterView) -> str:
    """Returns the address at which the issuing process accepts forwarded calls.

    This process cannot check the signature of another one. An address that is not in the agent's
    view must therefore be on a node of the release note, so that a forged ticket cannot make the
    router connect to other machines.
    """
    known = view.instances.get(ticket.instance_id)
    if known is not None:
        return known
    host, _, port = ticket.forward_address.rpartition(":")
    nodes = view.require_index().note.statement.nodes.values()
    hosts = {node.peer_address.rpartition(":")[0] for node in nodes}
    try:
        ipaddress.IPv4Address(host)
        valid = host in hosts and 0 < int(port) < 65_536
    except ValueError:
        valid = False
    if not valid:
        raise TicketUnknownError("the router process that issued the ticket is not known")
    return ticket.forward_address
