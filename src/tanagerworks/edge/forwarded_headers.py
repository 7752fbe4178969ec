"""Headers of requests that a node forwards to a peer, and of the responses to them.

Only nodes set them: a node drops those of callers before it forwards a request, and the receiver
serves such requests at an address of their own.
"""

from dataclasses import dataclass, field, replace

from tanagerworks.edge.http_messages import HeaderList, RequestHead, find_header
from tanagerworks.errors import BadCallError, TanagerError
from tanagerworks.outcome import Outcome

_PREFIX = b"tanager-"
_SENDER = b"tanager-sender"
_REMAINING_MS = b"tanager-remaining-ms"
_CONFIGURATION = b"tanager-configuration"
_SENDS = b"tanager-sends"
_SENT_TO = b"tanager-sent-to"
_LAST_EVENT_ID = b"tanager-last-event-id"
_SOFTWARE = b"tanager-software"
_ERROR = b"tanager-error"
_OUTCOME = b"tanager-outcome"
# Longest number in a header.
_MAX_DIGITS = 18


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """What a node states of a request that it forwards."""

    # Name of the node.
    sender: str
    # Seconds within which the response has to be complete.
    remaining_s: float
    # Version of the configuration by which the node has admitted the request.
    configuration_version: int
    # Attempts at servers so far, and the ids of the servers that may have got the request.
    sends: int = 0
    sent_to: frozenset[str] = field(default_factory=frozenset)
    # Last complete event that the caller has; None if it has none.
    last_event_id: str | None = None
    # Software version at which the stream began; None if any will do.
    software_version: str | None = None

    def to_headers(self) -> HeaderList:
        """Returns the headers that state this."""
        headers = [
            (_SENDER, self.sender.encode()),
            (_REMAINING_MS, b"%d" % max(1, int(self.remaining_s * 1000))),
            (_CONFIGURATION, b"%d" % self.configuration_version),
            (_SENDS, b"%d" % self.sends),
        ]
        if self.sent_to:
            headers.append((_SENT_TO, ",".join(sorted(self.sent_to)).encode()))
        if self.last_event_id is not None:
            headers.append((_LAST_EVENT_ID, self.last_event_id.encode("latin-1")))
        if self.software_version is not None:
            headers.append((_SOFTWARE, self.software_version.encode()))
        return headers


def parse_forwarded_request(head: RequestHead) -> ForwardedRequest:
    """Returns what the headers of a forwarded request state.

    Raises:
        BadCallError: a header is missing or cannot be parsed.
    """
    sender = head.get(_SENDER)
    if not sender:
        raise BadCallError("the forwarded request names no sender")
    last_event_id, software = head.get(_LAST_EVENT_ID), head.get(_SOFTWARE)
    sent_to = (head.get(_SENT_TO) or b"").decode("utf-8", "replace")
    return ForwardedRequest(
        sender.decode("utf-8", "replace"),
        _parse_number(head, _REMAINING_MS) / 1000,
        _parse_number(head, _CONFIGURATION),
        _parse_number(head, _SENDS),
        frozenset(filter(None, sent_to.split(","))),
        last_event_id.decode("latin-1") if last_event_id is not None else None,
        software.decode("utf-8", "replace") if software is not None else None,
    )


def _parse_number(head: RequestHead, name: bytes) -> int:
    value = head.get(name)
    if value is None or not value.isdigit() or len(value) > _MAX_DIGITS:
        raise BadCallError(f"the forwarded request has no valid {name.decode()}")
    return int(value)


def without_forwarding(head: RequestHead) -> RequestHead:
    """Returns the head without the headers of this module."""
    return replace(head, headers=_dropped(head.headers))


def _dropped(headers: HeaderList) -> HeaderList:
    return [(name, value) for name, value in headers if not name.startswith(_PREFIX)]


def error_headers(error: TanagerError) -> HeaderList:
    """Returns the headers that state an error of the node itself."""
    return [(_ERROR, error.code.encode()), (_OUTCOME, error.outcome.value.encode())]


@dataclass(frozen=True, slots=True)
class NodeError:
    """An error of the node that a request was forwarded to, not of a server."""

    code: str
    outcome: Outcome


def parse_error(headers: HeaderList) -> NodeError | None:
    """Returns the error that a response states; None if it is that of a server."""
    code, outcome = find_header(headers, _ERROR), find_header(headers, _OUTCOME)
    if code is None:
        return None
    known = {item.value.encode(): item for item in Outcome}
    return NodeError(code.decode("latin-1"), known.get(outcome or b"", Outcome.UNKNOWN))


def to_forwarded_response(headers: HeaderList, software_version: str) -> HeaderList:
    """Returns a server's headers with its software version, for the node that sent the request."""
    return [*_dropped(headers), (_SOFTWARE, software_version.encode())]


def take_software(headers: HeaderList) -> tuple[HeaderList, str | None]:
    """Returns the headers of a server's response and the software version of the server.

    The version is None if the response is not that of a server.
    """
    version = find_header(headers, _SOFTWARE)
    return _dropped(headers), version.decode("utf-8", "replace") if version is not None else None
