"""Issues tickets and runs calls under them at most once, or forwards them to their issuer."""

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
from tanagerworks.router.backend import BackendConnections
from tanagerworks.router.http_rules import FORWARDED_HEADER, IDEMPOTENCY_KEY, passed_answer_headers
from tanagerworks.router.services import ServiceAnswer
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
REPLAYED = ("Idempotent-Replayed", "true")


class TicketDesk:
    """Tickets of this router process instance."""

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
        self.book = TicketCallStore(max_calls, max_bytes)
        self.changed = threading.Condition()

    def issue(self, customer: str, service: str, digest: str) -> str:
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

    def run(
        self,
        key: str,
        customer: str,
        service: str,
        digest: str,
        execute: Callable[[], ServiceAnswer],
        wait_s: float,
    ) -> ServiceAnswer:
        """Runs the call under a ticket of this process, or returns what it gave before.

        A repeat waits up to `wait_s` for a call that is still running.

        Raises:
            TanagerError: nothing ran now; the outcome says what is known of the call.
        """
        ticket = self.signer.verify(key)
        check_binding(ticket, customer, service)
        if ticket.instance_id != self.instance_id:
            raise TicketUnknownError("the router process that issued the ticket is gone")
        with self.changed:
            call, is_new = self.book.start_call(ticket, digest, self.now())
            if not is_new:
                self.changed.wait_for(lambda: call.state is not CallState.RUNNING, wait_s)
            if call.state is CallState.NOT_RUN:
                # The call that this repeat waited for did not run, so this one may.
                call, is_new = self.book.start_call(ticket, digest, self.now())
            if not is_new:
                return _replay(call)
        return self._execute(ticket, call, execute)

    def _execute(
        self, ticket: Ticket, call: TicketCall, execute: Callable[[], ServiceAnswer]
    ) -> ServiceAnswer:
        result: ServiceAnswer | TanagerError = TicketUnknownError("the call was given up")
        try:
            result = execute()
        except TanagerError as error:
            result = error
            raise
        finally:
            with self.changed:
                if isinstance(result, TanagerError) and result.outcome is Outcome.NOT_RUN:
                    self.book.remove_call(ticket.nonce, call)
                else:
                    size = len(result.body) if isinstance(result, ServiceAnswer) else 0
                    self.book.finish_call(ticket.nonce, call, result, size)
                self.changed.notify_all()
        return result


def _replay(call: TicketCall) -> ServiceAnswer:
    if call.state is CallState.RUNNING:
        raise TicketRunningError("the call under this ticket is still running")
    if call.state is CallState.RESULT_DROPPED:
        raise TicketResultDroppedError("the call ran; its answer was too large to keep")
    result = call.result
    if isinstance(result, ServiceAnswer):
        return replace(result, headers=(*result.headers, REPLAYED))
    assert isinstance(result, TanagerError)
    # A fresh object: the traceback of the first one belongs to another thread.
    again = type(result)(result.message, outcome=result.outcome)
    raise again


def check_binding(ticket: Ticket, customer: str, service: str) -> None:
    """Raises TicketMismatchError for another customer's or service's ticket."""
    if ticket.customer != customer or ticket.service != service:
        raise TicketMismatchError("the ticket is bound to another customer or service")


class TicketForwarder:
    """Sends calls under tickets of other router processes to these."""

    def __init__(self, connections: BackendConnections, max_answer_bytes: int) -> None:
        self.connections = connections
        self.max_answer_bytes = max_answer_bytes

    def forward(
        self,
        key: str,
        view: RouterView,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> ServiceAnswer:
        """Returns the answer of the issuing process.

        Raises:
            TicketUnknownError: it cannot be reached, or did not answer wholly.
        """
        ticket = read_ticket(key)
        address = _forward_address(ticket, view)
        headers = {**headers, IDEMPOTENCY_KEY: key, FORWARDED_HEADER: ticket.instance_id}
        connection = None
        try:
            connection = self.connections.open(address)
            answer = connection.exchange(
                method, target, body, headers, self.connections.now() + timeout_s
            )
            payload = answer.read_whole(self.max_answer_bytes)
        except (BackendError, RequestError, OSError) as error:
            raise TicketUnknownError("the router process of the ticket is not reached") from error
        finally:
            if connection is not None:
                connection.close()
        if not answer.framed or not answer.headers.get("X-Request-Id"):
            raise TicketUnknownError("the address of the ticket is not of a router process")
        outcome = answer.headers.get("X-Outcome")
        return ServiceAnswer(
            answer.status,
            (
                *passed_answer_headers(answer.headers),
                *([REPLAYED] if answer.headers.get(REPLAYED[0]) else []),
            ),
            payload,
            Outcome(outcome) if outcome else None,
        )


def _forward_address(ticket: Ticket, view: RouterView) -> str:
    """Returns where the issuing process takes calls.

    This process cannot check the signature of another one. An address that no agent vouches for
    must therefore at least be on a node of the release note, so that a forged ticket cannot make
    the router connect to other machines.
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
