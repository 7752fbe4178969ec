"""What is known about the execution of a request that did not get a complete response."""

from enum import Enum


class Outcome(Enum):
    """Whether a failed request was executed by a backend server.

    ``NOT_RUN`` is certain, so a retry is safe: no byte of the request reached a backend server, or
    a backend server whose refusals are trusted refused it. ``RAN`` is certain too. ``UNKNOWN``
    means that the request may have been executed.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
