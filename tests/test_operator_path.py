"""The operator's tool and the audit trail across separate processes."""

import json
import re

import pytest

from tanagerworks.audit.merge import exports_from_log, verify_chain
from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.ctl.main import main
from tests.admin_builders import ACT_KEY, admin_settings
from tests.builders import CUSTOMER_KEY
from tests.small_fleet import small_fleet


@pytest.fixture(name="running")
def running_fleet(tmp_path):
    keys = admin_settings().model_dump(mode="json")["keys"]
    with small_fleet(tmp_path, admin={"keys": keys}, drain_notice_s=0.0) as (fleet, node, _engine):
        yield fleet, node


def _send_chat(fleet, node):
    body = {"model": "wax", "messages": [{"role": "user", "content": "Hello"}], "max_tokens": 2}
    answer = fleet.pool.request(
        "POST",
        f"http://{node.caller_addresses[0]}/v1/chat/completions",
        body=json.dumps(body),
        headers={"Authorization": f"Bearer {CUSTOMER_KEY}"},
    )
    return answer.status, answer.headers.get("X-Outcome")


def test_drain_refuses_callers_as_not_run_until_undrain(running, monkeypatch):
    """Guards against a drained node that still starts work, or whose drain cannot be ended."""
    fleet, node = running
    monkeypatch.setenv("TANAGERCTL_KEY", ACT_KEY)
    monkeypatch.setattr("tanagerworks.program.configure_logging", lambda *_arguments: None)
    nodes = f"--nodes={node.admin_address}"
    assert _send_chat(fleet, node)[0] == 200
    assert main(["tanagerctl", "status", nodes]) == ExitStatus.OK
    assert main(["tanagerctl", "drain", nodes, "--reason=test"]) == ExitStatus.OK
    assert fleet.pool.request("GET", f"http://{node.admin_address}/readyz").status == 503
    assert _send_chat(fleet, node) == (503, "not_run")
    assert main(["tanagerctl", "undrain", nodes]) == ExitStatus.OK
    assert fleet.pool.request("GET", f"http://{node.admin_address}/readyz").status == 200
    assert _send_chat(fleet, node)[0] == 200
    metrics = fleet.pool.request("GET", f"http://{node.admin_address}/metrics").data.decode()
    assert re.search(r"^tanager_node_ready\{.*\} 1\.0$", metrics, re.MULTILINE)
    assert main(["tanagerctl", "audit", nodes]) == ExitStatus.OK
    agent = fleet.processes["n1-agent"]
    assert agent.stop() == 0
    (export,) = exports_from_log(agent.log_path.read_text().splitlines())
    assert verify_chain(export) == []
    kinds = [record.kind.value for record in export.records]
    assert kinds[0] == "node_started"
    assert kinds[-3:] == ["operator_drain", "operator_undrain", "node_stopped"]
