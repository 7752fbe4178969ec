"""Decides whether the head of a response is that of a server's answer to a request.

All responses of servers go through `check_answer`: those that are buffered or relayed as they
arrive, streams, those that go on with a stream, both attempts of a hedge, and those that another
node passes on.
"""

from tanagerworks.edge.http_messages import HeaderList, find_header
from tanagerworks.edge.interfaces import ResponseMetadata
from tanagerworks.errors import BackendProtocolError

_NO_CONTENT = 204


def is_success(status: int) -> bool:
    """Whether a status states that the server has run the request to a good end."""
    return 200 <= status < 300


def check_answer(
    call_id: str, status: int, headers: HeaderList, metadata: ResponseMetadata, is_new: bool
) -> None:
    """Checks that a response belongs to the request `call_id` and says nothing impossible.

    On a connection that has had requests before (not `is_new`), a response without an id may be a
    late one to an earlier request. On a new one, errors may come without: a server that cannot read
    the request does not know its id.

    Raises:
        BackendProtocolError: the response is no answer; the request may have run.
    """
    if metadata.call_id is not None and metadata.call_id != call_id:
        raise BackendProtocolError("the response has the id of another request")
    if metadata.call_id is None and (not is_new or is_success(status)):
        raise BackendProtocolError("the response has no request id")
    if not is_success(status):
        return
    if not metadata.signed:
        raise BackendProtocolError("the success has no signature of a server")
    if metadata.not_run:
        raise BackendProtocolError("the success states that the request has not run")
    if status == _NO_CONTENT and _states_content(headers):
        raise BackendProtocolError("a response without content states a length")


def _states_content(headers: HeaderList) -> bool:
    length = find_header(headers, b"content-length")
    return find_header(headers, b"transfer-encoding") is not None or length not in (None, b"0")
