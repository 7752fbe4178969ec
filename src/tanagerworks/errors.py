"""Exception tree of the project.

Every class has a stable ``code`` for programs to match on, the HTTP ``status`` under which a
caller sees it, and the ``outcome`` of the request that failed.
"""

from collections.abc import Sequence

from tanagerworks.outcome import Outcome


class TanagerError(Exception):
    """Base of all errors that the project raises on purpose."""

    code = "internal_error"
    status = 500
    outcome = Outcome.UNKNOWN
    # Seconds after which the caller may try again; None when a repeat would fail the same way.
    retry_after_s: float | None = None

    def __init__(self, message: str, *, outcome: Outcome | None = None) -> None:
        super().__init__(message)
        self.message = message
        if outcome is not None:
            self.outcome = outcome


class InvariantError(TanagerError):
    """A condition that must always hold does not; only raised with the setting ``invariants``."""

    code = "invariant_violated"


class SettingsError(TanagerError):
    """A settings file that cannot be used; gives the file, the key path and the reason."""

    code = "settings_invalid"

    def __init__(self, file: str, key_path: str, reason: str) -> None:
        super().__init__(f"{file}: {key_path or '(document)'}: {reason}")
        self.file = file
        self.key_path = key_path
        self.reason = reason


class TlsError(TanagerError):
    """A key or certificate file that cannot be used."""

    code = "tls_invalid"

    def __init__(self, file: str, reason: str) -> None:
        super().__init__(f"{file}: {reason}")
        self.file = file
        self.reason = reason


class RequestError(TanagerError):
    """A request that is refused before anything reached a backend server."""

    code = "bad_request"
    status = 400
    outcome = Outcome.NOT_RUN


class AuthenticationError(RequestError):
    """The bearer key belongs to no customer."""

    code = "invalid_api_key"
    status = 401


class PermissionDeniedError(RequestError):
    """The customer may not use what it asked for."""

    code = "permission_denied"
    status = 403


class NotFoundError(RequestError):
    """No such path, model or service."""

    code = "not_found"
    status = 404


class ModelNotFoundError(NotFoundError):
    """No model, version or alias of this name is in force for the customer."""

    code = "model_not_found"


class PayloadTooLargeError(RequestError):
    """The body is over the configured limit."""

    code = "payload_too_large"
    status = 413


class ConflictError(RequestError):
    """The request collides with another one that is running."""

    code = "conflict"
    status = 409


class TicketRequiredError(RequestError):
    """An idempotency key was given for a service that does not deduplicate by key."""

    code = "ticket_required"
    status = 422


class BadPathError(RequestError):
    """The path could mean another path to a backend server than to the router."""

    code = "bad_path"


class RequestTimeoutError(RequestError):
    """The caller did not send its whole request in time."""

    code = "request_timeout"
    status = 408


class TicketMismatchError(RequestError):
    """The ticket is bound to another customer, service or request."""

    code = "ticket_mismatch"
    status = 409


class TicketRunningError(TanagerError):
    """The call under the ticket is still running; its outcome is not known yet."""

    code = "ticket_running"
    status = 409
    retry_after_s = 1.0


class TicketResultDroppedError(TanagerError):
    """The call under the ticket ran, but its answer was too large to be kept."""

    code = "ticket_result_dropped"
    status = 409
    outcome = Outcome.RAN


class TicketUnknownError(TanagerError):
    """The process that issued the ticket is gone or the ticket expired."""

    code = "ticket_unknown"
    status = 409
    outcome = Outcome.UNKNOWN


class CapacityError(RequestError):
    """No backend server may take the request now."""

    code = "no_capacity"
    status = 503
    retry_after_s = 1.0


class StreamLimitError(CapacityError):
    """The router process has as many open streams as it can serve in time."""

    code = "too_many_streams"


class RateLimitError(RequestError):
    """The customer is over its own limit."""

    code = "rate_limit_exceeded"
    status = 429
    retry_after_s = 1.0


class DeadlineError(RequestError):
    """The deadline passed while the request was waiting."""

    code = "deadline_exceeded"
    status = 503
    retry_after_s = 1.0


class NotReadyError(RequestError):
    """The process has no usable configuration or view, or is shutting down."""

    code = "not_ready"
    status = 503
    retry_after_s = 1.0


class BackendError(TanagerError):
    """A backend server failed; the outcome says what is known about the execution."""

    code = "backend_failed"
    status = 502


class BackendConnectError(BackendError):
    """No connection could be made, so no byte of the request was sent."""

    code = "backend_unreachable"
    outcome = Outcome.NOT_RUN
    retry_after_s = 1.0


class BackendRefusedError(BackendError):
    """A backend server whose refusals the release note trusts refused the request."""

    code = "backend_refused"
    status = 503
    outcome = Outcome.NOT_RUN
    retry_after_s = 1.0


class BackendMisdirectedError(BackendRefusedError):
    """Another server has the address, so the request reached none that it was meant for."""

    code = "backend_misdirected"


class BackendRestartedError(BackendError):
    """The engine is not the process whose warmth was known, so it may be cold."""

    code = "backend_restarted"
    status = 503
    outcome = Outcome.NOT_RUN
    retry_after_s = 1.0


class BackendProtocolError(BackendError):
    """The answer does not belong to the request or is not framed as a whole answer."""

    code = "backend_protocol"


class BackendTimeoutError(BackendError):
    """The backend server did not answer within the deadline."""

    code = "backend_timeout"
    status = 504


class NoteError(TanagerError):
    """A release note that cannot be accepted."""

    code = "note_invalid"
    status = 422
    outcome = Outcome.NOT_RUN


class NoteFaultError(NoteError):
    """One fault of a release note: its place, what is wrong there, and what would be right.

    `place` is a dotted path into the note; empty for the note as a whole.
    """

    def __init__(self, place: str, reason: str, remedy: str) -> None:
        super().__init__(f"{place or '(note)'}: {reason}; {remedy}")
        self.place = place
        self.reason = reason
        self.remedy = remedy


class NoteInvalidError(NoteError):
    """A release note with faults; `faults` holds one error for each."""

    def __init__(self, faults: Sequence[NoteFaultError]) -> None:
        super().__init__("; ".join(fault.message for fault in faults))
        self.faults = tuple(faults)


class SerialConflictError(NoteError):
    """Another release note with the same serial is in force."""

    code = "serial_conflict"
    status = 409


class StaleSerialError(NoteError):
    """A release note with a higher serial is in force."""

    code = "serial_stale"
    status = 409


class NoteBaseMissingError(NoteError):
    """A delta whose base is not the note in force; the full statement is needed."""

    code = "note_base_missing"
    status = 409


class PlatformError(TanagerError):
    """The platform's configuration service, VM list or weight store did not answer as expected."""

    code = "platform_unavailable"
    status = 503


class PeerError(TanagerError):
    """A peer could not be reached or refused the exchange."""

    code = "peer_unavailable"
    status = 503


class NoConfigurationError(NotReadyError):
    """The process knows no configuration yet."""

    code = "no_configuration"
    retry_after_s = 0.2


class StoppingError(NotReadyError):
    """The process is shutting down and could not finish the request in time."""

    code = "stopping"
    # Another node takes the repeat at once, since callers repeat on a new connection.
    retry_after_s = 0.05


class BadCallError(RequestError):
    """A header of the request that must be understood cannot be read."""

    code = "bad_call"


class NoServerError(CapacityError):
    """The service has no backend server that may get new work."""

    code = "no_server"
    retry_after_s = 0.5


class RouteTimeoutError(BackendTimeoutError):
    """The route's timeout has passed before the answer was complete."""

    code = "route_timeout"


class CallerLeftError(TanagerError):
    """The caller closed its connection before the answer was complete."""

    code = "caller_left"
    status = 499


class PublishedStoreError(PlatformError):
    """The published store gave no usable answer."""

    code = "store_unavailable"


class HistoryLostError(PublishedStoreError):
    """The store has dropped the changes after the revision that was asked for."""

    code = "store_history_lost"
