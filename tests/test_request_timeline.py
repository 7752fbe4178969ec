"""The timeline that explains a failed request from the logs of several processes."""

import json

import pytest

from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.ctl.main import main
from tanagerworks.ctl.request_timeline import RequestUnknownError, build_timeline, read_log_lines


def log_line(second, message, node="node-1", level="info", **fields):
    return json.dumps(
        {
            "time": f"2026-01-01T00:00:{second:06.3f}+00:00",
            "level": level,
            "program": "tanager-edge",
            "node": node,
            "message": message,
        }
        | fields
    )


SERVER_LOST = [
    log_line(20.0, "server chosen", call="c1", server="a", considered=[["a", 1.0, 0, 0]], sends=0),
    log_line(20.4, "attempt failed", level="warning", call="c1", server="a",
             reason="connection closed before the answer was complete", outcome="unknown",
             not_again="it may have run and must not run twice"),
    log_line(20.401, "request ended", level="warning", call="c1", server="a",
             outcome="backend_failed", reason="connection closed", run="unknown"),
    log_line(20.9, "server entry", server="a", event="gone", revision=7),
    log_line(20.95, "server entry", server="other", event="gone", revision=8),
    log_line(18.0, "store does not answer", level="warning", reason="timed out"),
    log_line(3.0, "store answers"),
    log_line(20.1, "peer lost", node="node-2", peer="node-1"),
    "not a log line",
    "{broken",
]  # fmt: skip


def write_log(tmp_path, name, lines):
    path = tmp_path / name
    path.write_text("\n".join(lines), encoding="utf-8")
    return str(path)


def test_timeline_of_a_request(tmp_path):
    """Guards against a timeline without the cause, or with lines of other nodes and servers."""
    path = write_log(tmp_path, "log", SERVER_LOST)
    timeline = build_timeline(read_log_lines([path]), "c1")
    assert [shown.message for shown in timeline.request_lines] == [
        "server chosen",
        "attempt failed",
        "request ended",
    ]
    assert [shown.message for shown in timeline.state_lines] == [
        "store does not answer",
        "server entry",
    ]
    assert "must not run twice" in timeline.conclusion
    assert "connection closed before the answer" in timeline.conclusion


def test_timeline_shows_what_servers_said_and_what_is_quarantined(tmp_path):
    """Guards against a refusal whose cause is in the logs and not in the timeline."""
    causes = [
        ("store was restored from an older copy", {"era": 2}),
        ("request quarantined", {"key": "00ff", "crashes": 2}),
        ("server says that it leaves", {"server": "a"}),
        ("server wants no requests", {"server": "a", "named_s": 2.0}),
    ]
    lines = [log_line(20.0 + n / 10, cause, **fields) for n, (cause, fields) in enumerate(causes)]
    path = write_log(tmp_path, "log", [*SERVER_LOST, *lines])
    shown = build_timeline(read_log_lines([path]), "c1").state_lines
    assert {cause for cause, _fields in causes} <= {line.message for line in shown}


def test_process_that_was_killed(tmp_path):
    """Guards against a request that has no last line because its process was killed."""
    first = write_log(tmp_path, "a", ["   1.5 node-1 " + SERVER_LOST[0]])
    second = write_log(
        tmp_path, "b", [log_line(23.0, "started"), log_line(23.1, "started", node="node-2")]
    )
    timeline = build_timeline(read_log_lines([first, second]), "c1")
    assert "ended without a stop" in timeline.conclusion
    assert [shown.node for shown in timeline.state_lines] == ["node-1"]


CUT = {
    "outcome": "route_timeout", "reason": "the response was incomplete at the deadline",
    "took_ms": 4050.0, "fate": "cut", "came_after_signal_ms": 3250.0,
    "ended_after_signal_ms": 7300.0, "expected_ms": 1400.0, "expected_from": 10,
}  # fmt: skip
BEFORE = {"came_after_signal_ms": -1250.0, "expected_ms": None, "expected_from": None}


@pytest.mark.parametrize(
    ("changes", "conclusion"),
    [
        ({}, "ended by the stop of node-1; it came 3.250 s after the signal and ended 7.300 s after"
             " it; it was expected to take at most 1.400 s, from 10 samples; route_timeout: "),
        (BEFORE, "ended by the stop of node-1; it came 1.250 s before the signal and ended 7.300 s"
                 " after it; route_timeout: "),
        ({"fate": "refused", "expected_from": None}, "refused by the stop of node-1; it came 3.250"
         " s after the signal and ended 7.300 s after it; it was expected to take at most 1.400 s,"
         " from its route; route_timeout: "),
        ({"fate": "failed"}, "route_timeout: "),
    ],
)  # fmt: skip
def test_request_that_a_planned_stop_ended(tmp_path, changes, conclusion):
    """Guards against a stop that is taken for a timeout of the request itself."""
    lines = [SERVER_LOST[0], log_line(24.0, "request ended", call="c1", **CUT | changes)]
    timeline = build_timeline(read_log_lines([write_log(tmp_path, "log", lines)]), "c1")
    assert timeline.conclusion.startswith(conclusion)


@pytest.mark.parametrize(
    ("messages", "conclusion"),
    [
        (["stopping", "started"], "was killed before it logged"),
        (["stopping", "stopped", "started"], "its log lacks the end"),
        (["stopping"], "the logs end before the request does, while node-1 was stopping"),
        (["started", "stopping", "stopped"], "ended without a stop"),
    ],
)
def test_request_without_an_end_at_a_node_that_stops(tmp_path, messages, conclusion):
    """Guards against a stop that seems to be a crash, or belongs to a later process."""
    later = [log_line(24.0 + n, message) for n, message in enumerate(messages)]
    path = write_log(tmp_path, "log", [SERVER_LOST[0], *later])
    assert conclusion in build_timeline(read_log_lines([path]), "c1").conclusion


def test_logs_that_end_early(tmp_path):
    """Guards against a guessed cause when the logs end before the request does."""
    path = write_log(tmp_path, "a", SERVER_LOST[:1])
    assert "logs end" in build_timeline(read_log_lines([path]), "c1").conclusion


def test_unknown_request(tmp_path):
    """Guards against an empty timeline for a request that the logs do not contain."""
    path = write_log(tmp_path, "a", SERVER_LOST)
    with pytest.raises(RequestUnknownError):
        build_timeline(read_log_lines([path]), "c2")


def test_command(tmp_path, capsys, monkeypatch):
    """Guards against a subcommand that needs a key or a node although it only reads logs."""
    monkeypatch.setattr("tanagerworks.program.configure_logging", lambda *_arguments: None)
    path = write_log(tmp_path, "a", SERVER_LOST)
    assert main(["tanagerctl", "explain", "c1", f"--logs={path}"]) == ExitStatus.OK
    assert "must not run twice" in capsys.readouterr().out
    assert main(["tanagerctl", "explain", "c1", f"--logs={path}", "--output=json"]) == ExitStatus.OK
    assert json.loads(capsys.readouterr().out)["request"][0]["call"] == "c1"
    assert main(["tanagerctl", "explain", "c9", f"--logs={path}"]) != ExitStatus.OK
    assert main(["tanagerctl", "explain", "c1", "--logs=/nowhere/log"]) != ExitStatus.OK
    assert main(["tanagerctl", "explain", "one", "two"]) == ExitStatus.USAGE
