"""Shared parts of the subcommands: description, flags and access to the nodes."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import cached_property

from absl import flags

from tanagerworks.ctl.client import AdminClient, read_key
from tanagerworks.ctl.output import Printer
from tanagerworks.errors import RequestError


class UsageError(RequestError):
    """The command line is not valid for the subcommand."""

    code = "usage"


@dataclass
class Invocation:
    """One run of a subcommand: its arguments, flags and output."""

    arguments: Sequence[str]
    flag_values: flags.FlagValues
    printer: Printer

    def string_flag(self, name: str) -> str | None:
        """Returns the value of a flag as a string, None if it is not set."""
        value = self.flag_values[name].value
        return None if value is None else str(value)

    def seconds_flag(self, name: str) -> float:
        """Returns the value of a flag in seconds, 0.0 if it is not set."""
        return float(self.flag_values[name].value or 0.0)

    @property
    def nodes(self) -> list[str]:
        """Administration addresses of the nodes to query, without duplicates.

        Raises:
            UsageError: none are given.
        """
        addresses = list(dict.fromkeys(self.flag_values["nodes"].value or []))
        if not addresses:
            raise UsageError("give the administration ports to query with --nodes=IP:PORT,...")
        return addresses

    @cached_property
    def client(self) -> AdminClient:
        """Client with the operator's key.

        Raises:
            KeyMissingError: the key is missing or its file cannot be read.
        """
        key = read_key(self.string_flag("key_file"))
        return AdminClient(key, self.seconds_flag("timeout_s"), self.string_flag("ca_file"))


@dataclass(frozen=True)
class Command:
    """A subcommand; `arguments` names the positional arguments for the help text."""

    name: str
    arguments: str
    summary: str
    # Lowest and highest number of positional arguments.
    argument_counts: tuple[int, int]
    run: Callable[[Invocation], int]


MAX_ARGUMENTS = 1000


def define_flags(flag_values: flags.FlagValues) -> None:
    """Adds the flags that the subcommands share."""
    flags.DEFINE_list(
        "nodes",
        [],
        "Administration ports of the nodes to query, as IP:PORT,IP:PORT.",
        flag_values=flag_values,
    )
    flags.DEFINE_list(
        "logs",
        [],
        "Log files of edge processes, as FILE,FILE; default: explain reads standard input.",
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        "key_file",
        None,
        "File with the administration key; default: the environment variable TANAGERCTL_KEY.",
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        "ca_file",
        None,
        "PEM file with the CA certificates to trust; if given, all calls use TLS.",
        flag_values=flag_values,
    )
    flags.DEFINE_enum(
        "output",
        "table",
        ["table", "json"],
        "Tables for people or JSON for programs.",
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        "timeout_s",
        5.0,
        "Longest wait for one answer, in seconds.",
        lower_bound=0.1,
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        "base", None, "File with the full note to compare with.", flag_values=flag_values
    )
    flags.DEFINE_string(
        "reason", "", "Reason for the action; recorded in the audit trail.", flag_values=flag_values
    )
    flags.DEFINE_integer(
        "at_serial", None, "Highest serial that replay includes.", flag_values=flag_values
    )
    flags.DEFINE_integer(
        "prompt_tokens",
        0,
        "Tokens in the chat's prompt, which another engine would have to prefill; for explain.",
        lower_bound=0,
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        "follow_s",
        0.0,
        "Seconds for which events follows; 0 follows until it is interrupted.",
        lower_bound=0.0,
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        "method", "GET", "Method of the request; for route.", flag_values=flag_values
    )
    flags.DEFINE_string("host", None, "Host of the request; for route.", flag_values=flag_values)
    flags.DEFINE_string("path", None, "Path of the request; for route.", flag_values=flag_values)
    flags.DEFINE_string(
        "customer", None, "Name of the request's customer; for route.", flag_values=flag_values
    )
    flags.DEFINE_string(
        "customer_key_file",
        None,
        "File with the API key of the request, instead of --customer; for route.",
        flag_values=flag_values,
    )
    flags.DEFINE_string("model", "", "Model of the prompt; for route.", flag_values=flag_values)
    flags.DEFINE_list(
        "parts", [], "Parts of the prompt, as ID:TOKENS,...; for route.", flag_values=flag_values
    )
    flags.DEFINE_string(
        "last_event_id",
        None,
        "Id of the last event of the stream that the request goes on with; for route.",
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        "resumes",
        None,
        "Id of the attempt that began that stream; for route.",
        flag_values=flag_values,
    )
