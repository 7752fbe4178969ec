"""Timeline of one request from the logs of edge processes, with the state around it."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from tanagerworks.ctl.output import Printer
from tanagerworks.errors import NotFoundError, RequestError

# Lines on the state of nodes and servers are shown from this long before the request. An outage
# that ended earlier no longer affects the request.
_STATE_BEFORE_S = 10.0
# And until this long after its last line: a process detects a lost peer or store by a timeout.
_STATE_AFTER_S = 2.0
_HIDDEN_FIELDS = frozenset({"time", "level", "program", "logger", "message", "node", "call"})
# Messages about the node itself, not about one server or one request.
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
        "store listed",
        "store was restored from an older copy",
        "configuration in force",
        "published value unusable",
        "zone out of service",
        "zone back in service",
        "peer lost",
        "prompt part quarantined",
        "request quarantined",
        "quarantine ended",
        "log records dropped",
        "node is isolated",
        "node is no longer isolated",
    }
)


# What a planned stop did to a request, by the field `fate` of its last line.
_FATES = {"cut": "ended", "refused": "refused"}
# Messages about the start and the planned stop of a node's process.
_PROCESS_MESSAGES = frozenset({"started", "stopping", "stopped"})


class LogsUnreadableError(RequestError):
    """A log file cannot be read."""

    code = "logs_unreadable"


class RequestUnknownError(NotFoundError):
    """No log line belongs to the request."""

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
        """The fields other than those of every line, as ``key=value`` pairs."""
        shown = (
            f"{k}={_format_value(v)}" for k, v in self.fields.items() if k not in _HIDDEN_FIELDS
        )
        return " ".join(shown)


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """The log lines of one request and of the state of its nodes and servers, by time."""

    request_lines: tuple[LogLine, ...]
    state_lines: tuple[LogLine, ...]
    conclusion: str


def _format_value(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)


def read_log_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yields the structured log lines of files, or of standard input if `paths` is empty.

    Text before the JSON object of a line, such as the prefix of a log collector, is ignored. Lines
    without a JSON object of a log line are skipped.

    Raises:
        LogsUnreadableError: a file cannot be read.
    """
    files = list(paths)
    if not files:
        yield from _parse_lines(sys.stdin)
        return
    for path in files:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as stream:
                yield from _parse_lines(stream)
        except OSError as error:
            raise LogsUnreadableError(f"{path}: {error.strerror}") from error


def _parse_lines(stream: Iterable[str]) -> Iterator[LogLine]:
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


def build_timeline(lines: Iterable[LogLine], request_id: str) -> RequestTimeline:
    """Returns the timeline of a request.

    Raises:
        RequestUnknownError: no line belongs to it.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    request = tuple(line for line in ordered if line.fields.get("call") == request_id)
    if not request:
        raise RequestUnknownError(f"these logs have no line of the request {request_id}")
    nodes = {line.node for line in request}
    servers = _collect_servers(request)
    first_s = request[0].time_s - _STATE_BEFORE_S
    last_s = request[-1].time_s + _STATE_AFTER_S
    state_lines = []
    for line in ordered:
        if line.node not in nodes or line.fields.get("call") is not None:
            continue
        # The end and the restart of the node's process are shown however late they are.
        if line.time_s < first_s:
            continue
        if line.time_s > last_s and line.message not in _PROCESS_MESSAGES:
            continue
        if line.message in _NODE_MESSAGES or line.fields.get("server") in servers:
            state_lines.append(line)
    return RequestTimeline(request, tuple(state_lines), _format_conclusion(request, state_lines))


def _collect_servers(request: Iterable[LogLine]) -> set[object]:
    servers: set[object] = set()
    for line in request:
        servers.add(line.fields.get("server"))
        considered = line.fields.get("considered")
        if isinstance(considered, list):
            servers.update(entry[0] for entry in considered if isinstance(entry, list) and entry)
    return servers - {None, ""}


def _format_conclusion(request: tuple[LogLine, ...], state_lines: Iterable[LogLine]) -> str:
    last = request[-1]
    if last.message != "request ended":
        return _conclude_without_end(last, state_lines)
    outcome = str(last.fields.get("outcome"))
    reason = last.fields.get("reason")
    failures = [
        f"{line.fields.get('server')}: {line.fields.get('reason')}"
        for line in request
        if line.message == "attempt failed"
    ]
    parts = [outcome if reason is None else f"{outcome}: {reason}"]
    fate = last.fields.get("fate")
    if fate in _FATES:
        parts = [f"{_FATES[fate]} by the stop of {last.node}", *_describe_stop(last), *parts]
    if last.fields.get("run"):
        parts.append(f"outcome {last.fields['run']}")
    first_byte_ms = last.fields.get("first_byte_ms")
    if outcome != "answered" and not failures:
        answer_start = (
            f"the answer began after {first_byte_ms} ms" if first_byte_ms else "no answer began"
        )
        parts.append(f"{answer_start}, the request ended after {last.fields.get('took_ms')} ms")
    if failures:
        parts.append("after " + ", then ".join(failures))
    stopped = [line for line in request if line.fields.get("not_again")]
    if stopped:
        parts.append(f"not sent again because {stopped[-1].fields['not_again']}")
    return "; ".join(parts)


def _conclude_without_end(last: LogLine, state_lines: Iterable[LogLine]) -> str:
    """Returns the conclusion on a request whose end no line states; `last` is its last line."""
    stop = None
    restarted = False
    for line in state_lines:
        if line.message not in _PROCESS_MESSAGES or line.node != last.node:
            continue
        if line.message != "started":
            stop = line
        elif line.time_s > last.time_s:
            restarted = True
            break
        else:
            stop = None
    if stop is not None and stop.message == "stopped":
        return f"{last.node} stopped, and its log lacks the end of the request"
    if stop is not None and restarted:
        return f"{last.node} was stopping and was killed before it logged the end of the request"
    if stop is not None:
        return f"the logs end before the request does, while {last.node} was stopping"
    if restarted:
        return f"{last.node} ended without a stop before the request did, and started again"
    return "the logs end before the request does"


def _describe_stop(last: LogLine) -> list[str]:
    """Returns when a request came and ended relative to a stop signal, and what was expected."""
    came_ms = last.fields.get("came_after_signal_ms")
    ended_ms = last.fields.get("ended_after_signal_ms")
    if not isinstance(came_ms, int | float) or not isinstance(ended_ms, int | float):
        return []
    relation = "after" if came_ms >= 0 else "before"
    described = [
        f"it came {abs(came_ms) / 1000:.3f} s {relation} the signal"
        f" and ended {ended_ms / 1000:.3f} s after it"
    ]
    expected_ms = last.fields.get("expected_ms")
    if isinstance(expected_ms, int | float):
        samples = last.fields.get("expected_from")
        source = "from its route" if samples is None else f"from {samples} samples"
        described.append(f"it was expected to take at most {expected_ms / 1000:.3f} s, {source}")
    return described


def print_timeline(printer: Printer, timeline: RequestTimeline) -> None:
    """Prints the timeline as tables, or as one JSON document."""
    printer.print_json(
        {
            "conclusion": timeline.conclusion,
            "request": [line.fields for line in timeline.request_lines],
            "beliefs": [line.fields for line in timeline.state_lines],
        }
    )
    origin_s = timeline.request_lines[0].time_s
    for title, lines in (("request", timeline.request_lines), ("beliefs", timeline.state_lines)):
        rows = [
            (f"{line.time_s - origin_s:+.3f}", line.node, line.level, line.message, line.details)
            for line in lines
        ]
        if rows:
            printer.print_table(title, ("s", "node", "level", "message", "details"), rows)
    printer.print_text(timeline.conclusion)
