"""The administration port: keys, roles, documents, limits."""

import datetime
import threading

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from urllib3.exceptions import HTTPError

from tanagerworks.agent.admin_models import PUBLISHED
from tanagerworks.agent.vm_audit import VmAudit
from tanagerworks.audit.changes import record_note_accepted, record_note_refused
from tanagerworks.audit.merge import verify_chain
from tanagerworks.audit.trail import AuditTrail, EventKind, TrailExport
from tanagerworks.membership.entries import Liveness
from tanagerworks.note.model import Note
from tests.admin_builders import ACT_KEY, READ_KEY, running_admin
from tests.builders import note_document


@pytest.fixture(name="admin", scope="module")
def one_admin():
    with running_admin() as admin:
        yield admin


@pytest.mark.parametrize(
    ("path", "key", "method", "status", "code"),
    [
        ("/admin/v1/status", "wrong", "GET", 401, "invalid_api_key"),
        ("/admin/v1/status", "", "GET", 401, "invalid_api_key"),
        ("/admin/v1/none", "wrong", "GET", 401, "invalid_api_key"),
        ("/admin/v1/none", READ_KEY, "GET", 404, "not_found"),
        ("/admin/v1/drain", READ_KEY, "POST", 403, "permission_denied"),
        ("/admin/v1/undrain", READ_KEY, "POST", 403, "permission_denied"),
        ("/admin/v1/drain", ACT_KEY, "GET", 405, "method_not_allowed"),
        ("/admin/v1/explain", READ_KEY, "GET", 400, "bad_request"),
        ("/admin/v1/audit?after=-1", READ_KEY, "GET", 400, "bad_request"),
        ("/admin/v1/events?wait_s=inf", READ_KEY, "GET", 400, "bad_request"),
    ],
)
def test_refusals_have_stable_codes(admin, path, key, method, status, code):
    """Guards against calls that are served without the right key, and refusals without a code."""
    answer = admin.request(path, key=key, method=method)
    assert answer.status == status
    error = PUBLISHED["error"].model_validate_json(answer.data).error
    assert (error.code, error.outcome) == (code, "not_run")
    assert admin.state.refuses_claims is False


@pytest.mark.parametrize(
    "path",
    ["status", "note", "explain?customer=club-carthage&model=wax&chat_key=c", "audit", "events"],
)
def test_documents_fit_their_published_schema(admin, path):
    """Guards against a document that differs from the schema that programs rely on."""
    answer = admin.request(f"/admin/v1/{path}")
    assert answer.status == 200
    published = PUBLISHED[f"GET /admin/v1/{path.partition('?')[0]}"]
    document = published.model_validate_json(answer.data).model_dump(mode="json")
    assert document == answer.json()
    _status, schema = admin.get_json("/admin/v1/schema")
    assert set(schema["documents"]) == set(PUBLISHED)


def test_drain_stops_new_work_and_names_the_key():
    """Guards against a drained node that stays ready, and an action recorded without a name."""
    with running_admin() as admin:
        assert admin.get_json("/readyz")[0] == 200
        status, report = admin.post_action("/admin/v1/drain", reason="kernel update")
        assert (status, report["changed"], report["drained_by"]) == (200, True, "amina")
        assert admin.post_action("/admin/v1/drain")[1]["changed"] is False
        ready, health = admin.get_json("/readyz")
        assert (ready, health["reason"]) == (503, "drained by amina")
        assert admin.state.refuses_claims is True
        _status, explained = admin.get_json(
            "/admin/v1/explain?customer=club-carthage&model=wax&chat_key=c"
        )
        assert explained["engine_id"] is None
        assert explained["stages"][-1]["reason"] == "drained by amina"
        assert admin.post_action("/admin/v1/undrain")[1]["changed"] is True
        assert admin.state.refuses_claims is False
        assert admin.get_json("/readyz")[0] == 200
        export = TrailExport.model_validate_json(admin.request("/admin/v1/audit").data)
    assert verify_chain(export) == []
    actions = [record for record in export.records if record.who == "amina"]
    assert [record.kind for record in actions] == [
        EventKind.OPERATOR_DRAIN,
        EventKind.OPERATOR_UNDRAIN,
    ]
    assert actions[0].reason == "kernel update"


def test_undrain_does_not_revive_a_stopping_agent():
    """Guards against an agent that becomes ready again during its shutdown."""
    with running_admin() as admin:
        admin.post_action("/admin/v1/drain")
        admin.loop.call_soon_threadsafe(admin.operations.mark_stopping)
        status, document = admin.post_action("/admin/v1/undrain")
        assert (status, document["error"]["code"]) == (409, "conflict")
        assert admin.get_json("/readyz")[0] == 503


def test_explain_names_the_stage_that_refuses(admin):
    """Guards against an operator who cannot see why a customer is refused."""
    path = "/admin/v1/explain?customer=club-carthage&model={}&chat_key=c"
    _status, found = admin.get_json(path.format("wax"))
    assert (found["engine_id"], found["ranking"]) == ("m1", ["m1"])
    _status, refused = admin.get_json(path.format("tallow"))
    assert refused["engine_id"] is None
    assert refused["stages"][-1] == {
        "stage": "model",
        "passed": False,
        "reason": "no such model, version or alias for this customer",
    }


def test_explain_claims_nothing_and_tells_why_engines_are_out():
    """Guards against an explanation that takes slots, or omits why an engine is not eligible."""
    engines = note_document()["statement"]["engines"]
    engines["m2"] = {**engines["m1"], "address": "127.0.0.1:8002", "zone": "sfax-thyna"}
    zones = {"sfax-medina": {}, "sfax-thyna": {"state": "draining"}}
    path = "/admin/v1/explain?customer=club-carthage&model=wax&chat_key=c"
    with running_admin(note=note_document(engines=engines, zones=zones)) as admin:
        for _ in range(20):
            _status, report = admin.get_json(path)
        assert (report["way"], report["engine_id"]) == ("own", "m1")
        assert not admin.state.ledger.grants
        reasons = [stage["reason"] for stage in report["stages"] if not stage["passed"]]
        assert reasons == ["m2 in sfax-thyna: the zone is draining"]
        now_s = admin.state.clock()
        for _ in range(2):
            admin.loop.call_soon_threadsafe(admin.state.ledger.claim_slot, "m1", 8, "router", now_s)
        # Both slots that a cold engine may use are taken.
        assert admin.get_json(path)[1]["way"] == "wait"


def test_explain_waits_for_the_cached_prefix_of_a_long_chat():
    """Guards against an explanation that differs from the router's choice for long prompts."""
    engines = note_document()["statement"]["engines"]
    engines["m2"] = {**engines["m1"], "address": "127.0.0.1:8002"}
    path = "/admin/v1/explain?customer=club-carthage&model=wax&chat_key=c&prompt_tokens={}"
    with running_admin(note=note_document(engines=engines)) as admin:
        first = admin.get_json(path.format(0))[1]["ranking"][0]
        now_s = admin.state.clock()
        for _ in range(2):
            admin.loop.call_soon_threadsafe(
                admin.state.ledger.claim_slot, first, 8, "router", now_s
            )
        short, long = (admin.get_json(path.format(tokens))[1] for tokens in (0, 100_000))
        assert short["way"] == "own"
        assert short["engine_id"] != first
        assert (long["way"], long["engine_id"]) == ("wait", first)


def test_accepted_note_records_zone_and_key_changes():
    """Guards against a zone or key change without an audit record."""
    document = note_document(serial=2, zones={"sfax-medina": {"state": "out"}})
    document["statement"]["customers"]["club-carthage"]["key_sha256"] = ["0" * 64]
    with running_admin() as admin:
        admin.apply_note(Note.model_validate(document))
        records = admin.trail.export().records
    last = {record.kind: record for record in records if record.serial == 2}
    assert last[EventKind.NOTE_ACCEPTED].after.startswith("2 ")
    assert (last[EventKind.ZONE_CHANGED].before, last[EventKind.ZONE_CHANGED].after) == (
        "in",
        "out",
    )
    assert last[EventKind.KEY_ROTATED].subject == "customers.club-carthage"


def test_repeated_refusals_leave_one_record():
    """Guards against a repeated bad note whose refusals push all other records out of the trail."""
    trail = AuditTrail("n1", 1)
    note = Note.model_validate(note_document(serial=2))
    for _ in range(3):
        record_note_refused(trail, note, 1, "serial 1 is below 2 in force", "platform")
        record_note_refused(trail, note, None, "x" * 9000, "10.0.0.1:1")
    record_note_accepted(trail, note, Note.model_validate(note_document(serial=3)), "platform")
    record_note_refused(trail, note, 1, "serial 1 is below 2 in force", "platform")
    kinds = [record.kind.value for record in trail.export().records]
    assert kinds == ["note_refused", "note_refused", "note_accepted", "note_refused"]


def test_vm_transitions_leave_one_record_each():
    """Guards against a VM that leaves, returns or dies without exactly one audit record."""
    trail = AuditTrail("n1", 1)
    audit = VmAudit(trail, lambda: 5)
    for leaving in ((), ("m1",), ("m1",), ()):
        audit.record_leaving(leaving)
    observed = (Liveness.DEAD, Liveness.ALIVE, Liveness.SUSPECT, Liveness.DEAD, Liveness.ALIVE)
    for liveness in observed:
        audit.record_liveness({"n2": liveness})
    audit.record_engine_down("m1", True)
    audit.record_incarnation(1)
    audit.record_incarnation(9)
    changes = [(record.subject, record.after) for record in trail.export().records]
    assert changes == [
        ("vms.m1", "leaving"),
        ("vms.m1", "in service"),
        ("nodes.n2", "dead"),
        ("nodes.n2", "live"),
        ("engines.m1", "down"),
        ("nodes.n1", "9"),
    ]


def test_followers_get_new_events_and_are_bounded():
    """Guards against late or repeated events, and against waiting calls that use up all threads."""
    with running_admin(max_followers=1) as admin:
        head = admin.trail.head_sequence
        stream = admin.request(
            f"/admin/v1/events?after={head}",
            headers={"Accept": "text/event-stream"},
            preload_content=False,
        )
        assert stream.readline() == b": tanagerworks\n"
        assert admin.get_json("/admin/v1/events")[1]["error"]["code"] == "too_many_followers"
        assert admin.get_json("/admin/v1/status")[0] == 200
        admin.post_action("/admin/v1/drain")
        lines = [stream.readline() for _ in range(4)]
        assert lines[1] == f"id: 3:{head + 1}\n".encode()
        assert lines[2] == b"event: operator_drain\n"
        stream.close()
    with running_admin() as admin:
        path = f"/admin/v1/events?after={admin.trail.head_sequence}&wait_s=5"
        answers = []
        waiter = threading.Thread(target=lambda: answers.append(admin.get_json(path)))
        waiter.start()
        admin.post_action("/admin/v1/drain")
        waiter.join()
        assert [record["kind"] for record in answers[0][1]["records"]] == ["operator_drain"]
        # A position from an earlier process of the node returns the trail from its start.
        _status, document = admin.get_json("/admin/v1/events?after=999&incarnation=2")
        assert document["records"][0]["sequence"] == 1


def test_large_body_is_refused(admin):
    """Guards against a request body that fills the memory."""
    answer = admin.request("/admin/v1/drain", key=ACT_KEY, method="POST", body=b" " * 70_000)
    assert answer.status == 413
    assert admin.operations.drained_by is None


def test_keys_do_not_show(admin):
    """Guards against administration keys in documents, metrics or the trail."""
    for path in ("/admin/v1/status", "/admin/v1/audit", "/admin/v1/schema", "/metrics"):
        data = admin.request(path, key=ACT_KEY).data.decode()
        assert ACT_KEY not in data
        assert admin.settings.keys["amina"].sha256[0] not in data


def test_busy_loop_is_an_unknown_outcome():
    """Guards against a call that hangs on a blocked event loop, or reports an action as not run."""
    with running_admin(call_timeout_s=0.05) as admin:
        released = threading.Event()
        admin.loop.call_soon_threadsafe(released.wait)
        try:
            status, document = admin.post_action("/admin/v1/drain")
            assert admin.get_json("/livez")[0] == 503
        finally:
            released.set()
        assert (status, document["error"]["code"]) == (503, "agent_busy")
        assert document["error"]["outcome"] == "unknown"


@pytest.mark.filterwarnings("ignore:Unverified HTTPS request")
def test_port_speaks_tls_with_certificate_files(tmp_path):
    """Guards against administration keys that cross the network in plain text."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "n1")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    (tmp_path / "cert.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    (tmp_path / "key.pem").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    files = {
        "certificate_file": str(tmp_path / "cert.pem"),
        "private_key_file": str(tmp_path / "key.pem"),
    }
    with running_admin(**files) as admin:
        assert admin.get_json("/admin/v1/status", scheme="https")[0] == 200
        # cheroot answers 400 to plain HTTP on a TLS port, or closes the connection.
        try:
            assert admin.request("/admin/v1/status").status == 400
        except HTTPError:
            pass
