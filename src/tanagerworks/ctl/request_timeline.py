"""What the logs of several processes say of one request, and the beliefs that it rested on."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from tanagerworks.ctl.output import Printer
from tanagerworks.errors import NotFoundError, RequestError

# Beliefs are looked for this long before the request: longer than an outage that still matters.
_BELIEFS_BEFORE_S = 10.0
# And after its last line: a process notices the loss of a peer or of the store by silence.
_BELIEFS_AFTER_S = 2.0
_HIDDEN = frozenset({"time", "level", "program", "logger", "message", "node", "call"})
# Messages about the node itself rather than about one server or one request.
_NODE_MESSAGES = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "settings reloaded",
        "settings not reloaded",
        "store answers",
        "store does not answer",
        "store history lost; listing anew",
        "configuration in force",
        "published value unusable",
        "zone out of service",
        "zone back in service",
        "peer lost",
        "log records dropped",
        "node is isolated",
        "node is no longer isolated",
    }
)


class LogsUnreadableError(RequestError):
    """A log file cannot be read."""

    code = "logs_unreadable"


class RequestUnknownError(NotFoundError):
    """No line of the logs names the request."""

    code = "request_unknown"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line; `time_s` is Unix time by the clock of its node."""

    time_s: float
    node: str
    level: str
    message: str
    fields: dict[str, object]

    @property
    def details(self) -> str:
        """The line's own fields as one text."""
        shown = (f"{k}={_text(v)}" for k, v in self.fields.items() if k not in _HIDDEN)
        return " ".join(shown)


@dataclass(frozen=True, slots=True)
class RequestStory:
    """The lines of one request in order, and the beliefs of its nodes around it."""

    request: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    conclusion: str


def _text(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)


def read_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yields the structured lines of files, or of standard input without any.

    Text before a line's JSON object, such as the prefix of a log collector, is passed over.

    Raises:
        LogsUnreadableError: a file cannot be read.
    """
    found = list(paths)
    if not found:
        yield from _parse(sys.stdin)
        return
    for path in found:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as stream:
                yield from _parse(stream)
        except OSError as error:
            raise LogsUnreadableError(f"{path}: {error.strerror}") from error


def _parse(stream: Iterable[str]) -> Iterator[LogLine]:
    for text in stream:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            time_s = datetime.fromisoformat(fields["time"]).timestamp()
            message = fields["message"]
        except (ValueError, KeyError, TypeError):
            continue
        node = str(fields.get("node", ""))
        yield LogLine(time_s, node, str(fields.get("level", "")), str(message), fields)


def tell(lines: Iterable[LogLine], request_id: str) -> RequestStory:
    """Returns the story of a request.

    Raises:
        RequestUnknownError: no line names it.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    request = tuple(line for line in ordered if line.fields.get("call") == request_id)
    if not request:
        raise RequestUnknownError(f"no line of these logs names the request {request_id}")
    nodes = {line.node for line in request}
    servers = _servers(request)
    first_s = request[0].time_s - _BELIEFS_BEFORE_S
    last_s = request[-1].time_s + _BELIEFS_AFTER_S
    beliefs = []
    for line in ordered:
        if line.node not in nodes or line.fields.get("call") is not None:
            continue
        if not first_s <= line.time_s <= last_s and line.message != "started":
            continue
        if line.message == "started" and line.time_s < first_s:
            continue
        if line.message in _NODE_MESSAGES or line.fields.get("server") in servers:
            beliefs.append(line)
    return RequestStory(request, tuple(beliefs), _conclude(request, beliefs))


def _servers(request: Iterable[LogLine]) -> set[object]:
    servers: set[object] = set()
    for line in request:
        servers.add(line.fields.get("server"))
        considered = line.fields.get("considered")
        if isinstance(considered, list):
            servers.update(entry[0] for entry in considered if isinstance(entry, list) and entry)
    return servers - {None, ""}


def _conclude(request: tuple[LogLine, ...], beliefs: Iterable[LogLine]) -> str:
    last = request[-1]
    if last.message != "request ended":
        restarts = [
            line
            for line in beliefs
            if line.message == "started" and line.node == last.node and line.time_s > last.time_s
        ]
        if restarts:
            return f"{last.node} ended without a stop before the request did, and started again"
        return "the logs end before the request does"
    outcome = str(last.fields.get("outcome"))
    reason = last.fields.get("reason")
    failures = [
        f"{line.fields.get('server')}: {line.fields.get('reason')}"
        for line in request
        if line.message == "attempt failed"
    ]
    parts = [outcome if reason is None else f"{outcome}: {reason}"]
    if last.fields.get("run"):
        parts.append(f"outcome {last.fields['run']}")
    first_byte_ms = last.fields.get("first_byte_ms")
    if outcome != "answered" and not failures:
        begun = f"the answer began after {first_byte_ms} ms" if first_byte_ms else "no answer began"
        parts.append(f"{begun}, the request ended after {last.fields.get('took_ms')} ms")
    if failures:
        parts.append("after " + ", then ".join(failures))
    stopped = [line for line in request if line.fields.get("not_again")]
    if stopped:
        parts.append(f"not sent again because {stopped[-1].fields['not_again']}")
    return "; ".join(parts)


def print_story(printer: Printer, story: RequestStory) -> None:
    """Prints the story as tables, or as one JSON document."""
    printer.document(
        {
            "conclusion": story.conclusion,
            "request": [line.fields for line in story.request],
            "beliefs": [line.fields for line in story.beliefs],
        }
    )
    origin_s = story.request[0].time_s
    for title, lines in (("request", story.request), ("beliefs", story.beliefs)):
        rows = [
            (f"{line.time_s - origin_s:+.3f}", line.node, line.level, line.message, line.details)
            for line in lines
        ]
        if rows:
            printer.table(title, ("s", "node", "level", "message", "details"), rows)
    printer.text(story.conclusion)
