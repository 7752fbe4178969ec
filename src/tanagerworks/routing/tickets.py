"""Tickets: idempotency keys issued by a router process, with at most one execution for each.

A ticket is signed with a secret that never leaves the issuing process, so only that process can
verify it and run a call for it. The call and its result stay in memory until the ticket expires;
after that, or in any other process, the outcome is unknown and nothing runs. Times are seconds on
the clock of the issuing process.
"""

import base64
import binascii
import hashlib
import hmac
import json
from dataclasses import dataclass
from enum import Enum

from tanagerworks.errors import (
    CapacityError,
    TicketMismatchError,
    TicketRequiredError,
    TicketUnknownError,
)

_PREFIX = "tt1."
_MAX_TICKET_CHARS = 1024
_MIN_SECRET_BYTES = 32


def is_ticket(key: str) -> bool:
    """Returns whether an idempotency key has the prefix of a ticket."""
    return key.startswith(_PREFIX)


def request_digest(method: str, target: str, body: bytes) -> str:
    """Returns the SHA-256 of ``METHOD SP TARGET LF BODY`` in hex.

    `target` is the path and query after ``/services/NAME``.
    """
    return hashlib.sha256(f"{method} {target}\n".encode() + body).hexdigest()


@dataclass(frozen=True)
class Ticket:
    """The process, service and request that a ticket is bound to.

    `digest` is empty if the caller gave none; the first call then binds the ticket to its request.
    """

    instance_id: str
    forward_address: str
    customer: str
    service: str
    nonce: str
    expires_at_s: float
    digest: str = ""


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)


def read_ticket(key: str) -> Ticket:
    """Returns the content of a ticket without verifying its signature.

    Raises:
        TicketRequiredError: the key was not issued by a router.
    """
    if not is_ticket(key) or len(key) > _MAX_TICKET_CHARS:
        raise TicketRequiredError("the service needs a ticket as Idempotency-Key")
    try:
        fields = json.loads(_decode(key.removeprefix(_PREFIX).partition(".")[0]))
        instance_id, address, customer, service, nonce, digest = fields[:6]
        texts = (instance_id, address, customer, service, nonce, digest)
        if not all(isinstance(text, str) for text in texts):
            raise ValueError
        expires_at_s = float(fields[6])
    except (ValueError, TypeError, KeyError, IndexError, RecursionError, binascii.Error) as error:
        raise TicketRequiredError("the Idempotency-Key is not a ticket of a router") from error
    return Ticket(instance_id, address, customer, service, nonce, expires_at_s, digest)


class TicketSigner:
    """Signs tickets with the secret of one process and verifies them.

    Raises:
        ValueError: the secret has fewer than 32 bytes.
    """

    def __init__(self, secret: bytes) -> None:
        if len(secret) < _MIN_SECRET_BYTES:
            raise ValueError("the secret is too short")
        self.secret = secret

    def _signature(self, payload: str) -> str:
        return _encode(hmac.digest(self.secret, payload.encode(), "sha256"))

    def sign(self, ticket: Ticket) -> str:
        """Returns the signed ticket as text for the ``Idempotency-Key`` header."""
        fields = [
            ticket.instance_id,
            ticket.forward_address,
            ticket.customer,
            ticket.service,
            ticket.nonce,
            ticket.digest,
            ticket.expires_at_s,
        ]
        payload = _encode(json.dumps(fields, separators=(",", ":")).encode())
        return f"{_PREFIX}{payload}.{self._signature(payload)}"

    def verify(self, key: str) -> Ticket:
        """Returns the content of a ticket that this process issued.

        Raises:
            TicketRequiredError: this process did not issue the key, so no call ran under it.
        """
        ticket = read_ticket(key)
        payload, _, signature = key.removeprefix(_PREFIX).partition(".")
        if not hmac.compare_digest(signature.encode(), self._signature(payload).encode()):
            raise TicketRequiredError("the signature of the ticket is not valid")
        return ticket


class CallState(Enum):
    """State of the call for a ticket."""

    RUNNING = "running"
    FINISHED = "finished"
    # Finished, but the answer was too large to store.
    RESULT_DROPPED = "forgotten"
    NOT_RUN = "not_run"


@dataclass
class TicketCall:
    """The call that a ticket was used for; retries of it are answered with `result`."""

    digest: str
    expires_at_s: float
    state: CallState = CallState.RUNNING
    result: object = None
    size_bytes: int = 0


class TicketCallStore:
    """Calls for the tickets of one process, bounded in number and bytes.

    Not thread-safe: the caller serialises the calls of its methods.
    """

    def __init__(self, max_calls: int, max_bytes: int) -> None:
        self.max_calls = max_calls
        self.max_bytes = max_bytes
        self.calls: dict[str, TicketCall] = {}
        self.stored_bytes = 0
        self.next_expiry_s = 0.0

    def start_call(self, ticket: Ticket, digest: str, now_s: float) -> tuple[TicketCall, bool]:
        """Returns the call for a verified ticket, and whether it is new and has to run now.

        Raises:
            TicketUnknownError: the ticket expired; nothing runs.
            TicketMismatchError: the ticket is bound to another request; nothing runs.
            CapacityError: no more calls can be stored; nothing runs.
        """
        if now_s >= ticket.expires_at_s:
            raise TicketUnknownError("the ticket expired")
        call = self.calls.get(ticket.nonce)
        bound_digest = call.digest if call is not None else ticket.digest
        if bound_digest and bound_digest != digest:
            raise TicketMismatchError("the ticket is bound to another request")
        if call is not None:
            return call, False
        self._drop_expired(now_s)
        if len(self.calls) >= self.max_calls:
            raise CapacityError("too many calls with tickets are stored")
        call = TicketCall(digest, ticket.expires_at_s)
        self.calls[ticket.nonce] = call
        return call, True

    def finish_call(self, nonce: str, call: TicketCall, result: object, size_bytes: int) -> None:
        """Stores the result of a call that ran or may have run, unless it takes too much space."""
        if self.calls.get(nonce) is not call or self.stored_bytes + size_bytes > self.max_bytes:
            call.state = CallState.RESULT_DROPPED
            return
        call.state = CallState.FINISHED
        call.result = result
        call.size_bytes = size_bytes
        self.stored_bytes += size_bytes

    def remove_call(self, nonce: str, call: TicketCall) -> None:
        """Removes a call that is known not to have run, so that a retry may run."""
        call.state = CallState.NOT_RUN
        if self.calls.get(nonce) is call:
            del self.calls[nonce]

    def _drop_expired(self, now_s: float) -> None:
        if now_s < self.next_expiry_s:
            return
        expired = [nonce for nonce, call in self.calls.items() if call.expires_at_s <= now_s]
        for nonce in expired:
            self.stored_bytes -= self.calls.pop(nonce).size_bytes
        # At most one sweep per second, as each one scans all calls.
        self.next_expiry_s = now_s + 1.0
