"""Exit statuses of ``tanagerctl``; they are part of its published interface."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a subcommand; the highest one that applies is used."""

    OK = 0
    FINDING = 1
    USAGE = 2
    PARTIAL = 3
    UNREACHABLE = 4
    REFUSED = 5
    UNKNOWN_REQUEST = 6


EXIT_STATUS_HELP = """Exit statuses; the highest one that applies is used:
  0  done, nothing to report
  1  finding: the note cannot be accepted, statements differ, serials differ between nodes,
     the chat or the request would not be served now, or a trail does not verify
  2  wrong command line, or no key
  3  some nodes did not answer; the output is partial
  4  no node answered
  5  a node refused the call, for example because the key lacks the role
  6  a node has no route for the host and path, or does not know the customer or key"""
