"""What is known about the execution of a request that did not get a whole answer."""

from enum import Enum


class Outcome(Enum):
    """Typed outcome of a request.

    ``NOT_RUN`` is a proof: no byte of the request reached a backend server, or a backend
    server that the release note trusts refused it.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
