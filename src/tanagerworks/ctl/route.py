"""Subcommand that asks an edge process where a request would go: route."""

from pydantic import ValidationError

from tanagerworks.ctl.client import NodeRefusedError, read_key
from tanagerworks.ctl.command import Command, Invocation, UsageError
from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.errors import CustomerUnknownError, RouteUnknownError
from tanagerworks.rpc.route_models import QuestionPart, RouteAnswer, RouteQuestion

_UNKNOWN_CODES = (RouteUnknownError.code, CustomerUnknownError.code)


def _parse_parts(values: list[str]) -> tuple[QuestionPart, ...]:
    parts = []
    for value in values:
        part_id, _colon, tokens = value.rpartition(":")
        if not part_id or not (tokens.isascii() and tokens.isdigit()):
            raise UsageError(f"--parts: {value} is not ID:TOKENS")
        parts.append(QuestionPart(part_id=part_id, tokens=int(tokens)))
    return tuple(parts)


def build_question(invocation: Invocation) -> RouteQuestion:
    """Returns the request that the flags describe.

    Raises:
        UsageError: a flag is missing or invalid.
        KeyMissingError: the file with the customer's key cannot be read or is empty.
    """
    if not invocation.string_flag("host") or not invocation.string_flag("path"):
        raise UsageError("route needs --host and --path")
    key_file = invocation.string_flag("customer_key_file")
    try:
        return RouteQuestion(
            method=(invocation.string_flag("method") or "").upper(),
            host=invocation.string_flag("host") or "",
            path=invocation.string_flag("path") or "",
            customer=invocation.string_flag("customer"),
            api_key=read_key(key_file) if key_file is not None else None,
            model=invocation.string_flag("model") or "",
            parts=_parse_parts(invocation.flag_values["parts"].value or []),
            last_event_id=invocation.string_flag("last_event_id"),
            resumes=invocation.string_flag("resumes"),
        )
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        raise UsageError(f"{place or 'flags'}: {first['msg']}") from error


def route(invocation: Invocation) -> int:
    """Prints where a request would go at one node; the node sends nothing.

    Raises:
        UsageError: not exactly one node is named, or a flag is missing or invalid.
    """
    if len(invocation.nodes) != 1:
        raise UsageError("route takes exactly one node, with the address addresses.admin")
    question = build_question(invocation)
    try:
        answer = invocation.client.ask_route(invocation.nodes[0], question)
    except NodeRefusedError as error:
        if error.node_code not in _UNKNOWN_CODES:
            raise
        invocation.printer.print_error(error.message)
        return ExitStatus.UNKNOWN_REQUEST
    _print_answer(invocation, answer)
    return ExitStatus.OK if answer.placement == "send" else ExitStatus.FINDING


def _print_answer(invocation: Invocation, answer: RouteAnswer) -> None:
    printer = invocation.printer
    printer.print_json(answer.model_dump(mode="json"))
    fields = answer.model_dump(
        exclude={"candidates", "left_out", "limits", "queue", "second_server", "ages", "services"}
    )
    rows = [(name.replace("_", " "), value) for name, value in fields.items()]
    for title, model in (
        ("limit", answer.limits),
        ("queue", answer.queue),
        ("second server", answer.second_server),
        ("age", answer.ages),
    ):
        rows += [(f"{title}: {name}", value) for name, value in model.model_dump().items()]
    printer.print_table("request", ("field", "value"), rows)
    names = list(answer.candidates[0].parts) if answer.candidates else []
    candidate_rows = [
        (
            candidate.server,
            candidate.zone,
            candidate.chosen,
            f"{candidate.load}/{candidate.slots}",
            candidate.reported_age_s,
            candidate.score,
            *(candidate.parts[name] for name in names),
        )
        for candidate in answer.candidates
    ]
    header = ("server", "zone", "chosen", "load", "reported s ago", "score", *names)
    printer.print_table("candidates", header, candidate_rows)
    left_out_rows = [(server.server, server.zone, server.reason) for server in answer.left_out]
    printer.print_table("left out", ("server", "zone", "reason"), left_out_rows)


COMMANDS = (
    Command("route", "", "shows where an edge process would send a request", (0, 0), route),
)
