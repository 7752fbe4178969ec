"""The operator's tool against running administration ports."""

import json
import queue

import pytest
import yaml

from tanagerworks.audit.trail import EventKind
from tanagerworks.ctl.audit import EventFollower
from tanagerworks.ctl.client import AdminClient
from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.ctl.main import main
from tanagerworks.note.model import Note
from tests.admin_builders import ACT_KEY, READ_KEY, running_admin
from tests.builders import note_document
from tools.fleet import free_address


@pytest.fixture(name="ctl")
def ctl_runner(monkeypatch, capsys):
    # The programs' log handler would outlive the test and write to its closed stream.
    monkeypatch.setattr("tanagerworks.program.configure_logging", lambda *_arguments: None)

    def run(*arguments, key=READ_KEY):
        monkeypatch.setenv("TANAGERCTL_KEY", key)
        status = main(["tanagerctl", *arguments])
        captured = capsys.readouterr()
        for text in (captured.out, captured.err):
            assert READ_KEY not in text
            assert ACT_KEY not in text
        return status, captured.out, captured.err

    return run


@pytest.fixture(name="pair")
def two_nodes():
    nodes = {
        name: {"zone": "sfax-medina", "peer_address": f"127.0.0.1:700{number}"}
        for number, name in enumerate(("n1", "n2"))
    }
    note = note_document(nodes=nodes)
    with (
        running_admin(node_id="n1", note=note) as first,
        running_admin(node_id="n2", note=note) as second,
    ):
        yield first, second, f"--nodes={first.address},{second.address}"


def _write_yaml(path, document):
    path.write_text(yaml.safe_dump(document))
    return str(path)


def test_check_prints_every_fault(ctl, tmp_path):
    """Guards against an operator who finds the faults of a note one publication at a time."""
    good = _write_yaml(tmp_path / "good.yaml", note_document())
    assert ctl("check", good)[0] == ExitStatus.OK
    document = note_document(serial=0)
    document["statement"]["engines"]["m1"]["slots"] = 0
    bad = _write_yaml(tmp_path / "bad.yaml", document)
    status, out, _errors = ctl("check", bad, "--output=json")
    assert status == ExitStatus.FINDING
    places = {fault["place"] for fault in json.loads(out)["faults"]}
    assert places == {"serial", "statement.engines.m1.slots"}
    assert ctl("check", str(tmp_path / "none.yaml"))[0] == ExitStatus.USAGE


def test_delta_is_checked_and_rendered_on_its_base(ctl, tmp_path):
    """Guards against a rendered note that differs from the one that nodes build from the delta."""
    base = _write_yaml(tmp_path / "full.yaml", note_document(serial=7))
    change = {"zones": {"sfax-medina": {"state": "out"}}}
    delta = _write_yaml(tmp_path / "delta.yaml", {"serial": 8, "base": 7, "changed": change})
    assert ctl("check", delta)[0] == ExitStatus.OK
    status, out, _errors = ctl("check", delta, f"--base={base}", "--output=json")
    assert status == ExitStatus.OK
    digest = json.loads(out)["digest"]
    status, out, _errors = ctl("render", delta, f"--base={base}")
    assert status == ExitStatus.OK
    rendered = tmp_path / "rendered.yaml"
    rendered.write_text(out)
    status, out, _errors = ctl("check", str(rendered), "--output=json")
    assert (status, json.loads(out)["digest"]) == (ExitStatus.OK, digest)
    assert ctl("diff", str(rendered), f"--base={rendered}")[0] == ExitStatus.OK
    status, out, _errors = ctl("check", delta, f"--base={rendered}", "--output=json")
    assert status == ExitStatus.OK
    stale = _write_yaml(tmp_path / "stale.yaml", {"serial": 6, "base": 5})
    status, out, _errors = ctl("check", stale, f"--base={base}", "--output=json")
    assert (status, json.loads(out)["code"]) == (ExitStatus.FINDING, "serial_stale")
    other = _write_yaml(tmp_path / "other.yaml", {"serial": 9, "base": 8})
    status, out, _errors = ctl("render", other, f"--base={base}", "--output=json")
    assert (status, json.loads(out)["code"]) == (ExitStatus.FINDING, "note_base_missing")
    assert ctl("render", delta)[0] == ExitStatus.USAGE


def test_diff_with_the_note_in_force(ctl, pair, tmp_path):
    """Guards against a publication that changes more than the operator intended."""
    document = pair[0].note.model_dump(mode="json")
    document["serial"] = 2
    document["statement"]["zones"]["sfax-medina"]["state"] = "draining"
    path = _write_yaml(tmp_path / "next.yaml", document)
    status, out, _errors = ctl("diff", path, pair[2], "--output=json")
    assert status == ExitStatus.FINDING
    assert json.loads(out)["changes"] == [
        {"place": "zones.sfax-medina.state", "before": "in", "after": "draining"}
    ]
    base = _write_yaml(tmp_path / "base.yaml", document)
    assert ctl("diff", path, f"--base={base}")[0] == ExitStatus.OK


def test_status_sums_up_nodes_and_reports_missing_answers(ctl, pair):
    """Guards against a fleet that looks complete while nodes do not answer or differ in note."""
    first, second, nodes = pair
    now_s = first.state.clock()
    first.loop.call_soon_threadsafe(first.state.ledger.claim_slot, "m1", 8, "router", now_s)
    status, out, _errors = ctl("status", nodes, "--output=json")
    document = json.loads(out)
    assert (status, document["serials_agree"]) == (ExitStatus.OK, True)
    assert document["engines"][0]["used_slots"] == 1
    closed_address = free_address()
    status, out, errors = ctl("status", f"{nodes},{closed_address}")
    assert status == ExitStatus.PARTIAL
    assert closed_address in errors
    assert "sfax-medina" in out
    assert ctl("status", f"--nodes={closed_address}")[0] == ExitStatus.UNREACHABLE
    assert ctl("status", nodes, key="wrong")[0] == ExitStatus.REFUSED
    second.apply_note(Note.model_validate(note_document(serial=2)))
    assert ctl("status", nodes)[0] == ExitStatus.FINDING


def test_usage_errors_need_no_node(ctl):
    """Guards against a call without a key or a node that looks like a failure of the fleet."""
    address = free_address()
    assert ctl("status", f"--nodes={address}", key="")[0] == ExitStatus.USAGE
    assert ctl("status")[0] == ExitStatus.USAGE
    assert ctl("check")[0] == ExitStatus.USAGE
    assert ctl("polish")[0] == ExitStatus.USAGE
    assert ctl("drain", f"--nodes={address},{free_address()}")[0] == ExitStatus.USAGE


def test_drain_then_audit_and_replay(ctl, pair, tmp_path):
    """Guards against an action that the merged trail, or a saved copy of it, does not show."""
    first, second, nodes = pair
    only = f"--nodes={first.address}"
    assert ctl("drain", only)[0] == ExitStatus.REFUSED
    assert ctl("drain", only, "--reason=disk", key=ACT_KEY)[0] == ExitStatus.OK
    explain = ("explain", "club-carthage", "wax", "chat-1")
    assert ctl(*explain, only)[0] == ExitStatus.FINDING
    assert ctl(*explain, f"--nodes={second.address}")[0] == ExitStatus.OK
    status, out, _errors = ctl("audit", nodes, "--output=json")
    assert status == ExitStatus.OK
    document = json.loads(out)
    assert {record["node_id"] for record in document["records"]} == {"n1", "n2"}
    saved = tmp_path / "audit.json"
    saved.write_text(out)
    status, out, _errors = ctl("replay", str(saved))
    assert status == ExitStatus.OK
    assert "drained" in out
    del document["records"][1]
    saved.write_text(json.dumps(document))
    status, _out, errors = ctl("replay", str(saved))
    assert status == ExitStatus.FINDING
    assert "missing" in errors


def test_audit_reads_all_pages(ctl):
    """Guards against a long trail of which only the first page is shown and verified."""
    with running_admin() as admin:
        for number in range(1200):
            admin.trail.record(EventKind.VM_CHANGED, who="a", subject=f"v{number}", serial=1)
        status, out, _errors = ctl("audit", f"--nodes={admin.address}", "--output=json")
        assert status == ExitStatus.OK
        assert len(json.loads(out)["records"]) == admin.trail.head_sequence


def test_events_neither_repeat_nor_miss_a_record(ctl, pair):
    """Guards against events that are lost between two polls, and old events that are printed."""
    first, _second, nodes = pair
    found = queue.Queue()
    follower = EventFollower(AdminClient(READ_KEY, 5.0), first.address, found)
    follower.start()
    numbers = []
    number = 0
    while len(numbers) < 5:
        first.post_action("/admin/v1/undrain" if number % 2 else "/admin/v1/drain")
        number += 1
        while not found.empty():
            numbers.append(found.get().sequence)
    follower.stopping.set()
    assert numbers == list(range(numbers[0], numbers[0] + len(numbers)))
    assert ctl("events", nodes, "--follow_s=0.1")[0] == ExitStatus.OK
