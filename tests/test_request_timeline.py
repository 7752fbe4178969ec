"""From the id of a failed request to its cause, from the logs of several processes."""

import json

import pytest

from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.ctl.main import main
from tanagerworks.ctl.request_timeline import RequestUnknownError, read_lines, tell


def line(second, message, node="node-1", level="info", **fields):
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
    line(20.0, "server chosen", call="c1", server="a", considered=[["a", 1.0, 0, 0]], sends=0),
    line(20.4, "attempt failed", level="warning", call="c1", server="a",
         reason="connection closed before the answer was complete", outcome="unknown",
         not_again="it may have run and must not run twice"),
    line(20.401, "request ended", level="warning", call="c1", server="a",
         outcome="backend_failed", reason="connection closed", run="unknown"),
    line(20.9, "server entry", server="a", event="gone", revision=7),
    line(20.95, "server entry", server="other", event="gone", revision=8),
    line(18.0, "store does not answer", level="warning", reason="timed out"),
    line(3.0, "store answers"),
    line(20.1, "peer lost", node="node-2", peer="node-1"),
    "not a log line",
    "{broken",
]  # fmt: skip


def write(tmp_path, name, lines):
    path = tmp_path / name
    path.write_text("\n".join(lines), encoding="utf-8")
    return str(path)


def test_story_of_a_request(tmp_path):
    """Guards against a story without its cause, or with beliefs of other nodes and servers."""
    path = write(tmp_path, "log", SERVER_LOST)
    story = tell(read_lines([path]), "c1")
    assert [found.message for found in story.request] == [
        "server chosen",
        "attempt failed",
        "request ended",
    ]
    assert [found.message for found in story.beliefs] == ["store does not answer", "server entry"]
    assert "must not run twice" in story.conclusion
    assert "connection closed before the answer" in story.conclusion


def test_process_that_was_killed(tmp_path):
    """Guards against a request without an end that stays unexplained."""
    first = write(tmp_path, "a", ["   1.5 node-1 " + SERVER_LOST[0]])
    second = write(tmp_path, "b", [line(23.0, "started"), line(23.1, "started", node="node-2")])
    story = tell(read_lines([first, second]), "c1")
    assert "ended without a stop" in story.conclusion
    assert [found.node for found in story.beliefs] == ["node-1"]


def test_logs_that_end_early(tmp_path):
    """Guards against a guess where the logs say nothing."""
    path = write(tmp_path, "a", SERVER_LOST[:1])
    assert "logs end" in tell(read_lines([path]), "c1").conclusion


def test_unknown_request(tmp_path):
    """Guards against an empty story that looks like an answer."""
    path = write(tmp_path, "a", SERVER_LOST)
    with pytest.raises(RequestUnknownError):
        tell(read_lines([path]), "c2")


def test_command(tmp_path, capsys, monkeypatch):
    """Guards against a subcommand that an operator cannot call without a key or a node."""
    monkeypatch.setattr("tanagerworks.program.configure_logging", lambda *_arguments: None)
    path = write(tmp_path, "a", SERVER_LOST)
    assert main(["tanagerctl", "explain", "c1", f"--logs={path}"]) == ExitStatus.OK
    assert "must not run twice" in capsys.readouterr().out
    assert main(["tanagerctl", "explain", "c1", f"--logs={path}", "--output=json"]) == ExitStatus.OK
    assert json.loads(capsys.readouterr().out)["request"][0]["call"] == "c1"
    assert main(["tanagerctl", "explain", "c9", f"--logs={path}"]) != ExitStatus.OK
    assert main(["tanagerctl", "explain", "c1", "--logs=/nowhere/log"]) != ExitStatus.OK
    assert main(["tanagerctl", "explain", "one", "two"]) == ExitStatus.USAGE
