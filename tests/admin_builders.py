"""An administration port on a real event loop, for tests."""

import asyncio
import contextlib
import json
import threading

from urllib3 import PoolManager

from tanagerworks.agent.admin import AdminServer
from tanagerworks.agent.operations import AgentOperations
from tanagerworks.agent.state import AgentState
from tanagerworks.audit.changes import record_note_accepted
from tanagerworks.audit.trail import AuditTrail
from tanagerworks.note.model import Note
from tanagerworks.settings.admin import AdminSettings
from tests.builders import note_document
from tools.fleet import free_address, key_sha256

READ_KEY = "read-key-of-tests"
ACT_KEY = "act-key-of-tests"


def admin_settings(**settings):
    keys = {
        "watcher": {"sha256": [key_sha256(READ_KEY)], "role": "read"},
        "amina": {"sha256": [key_sha256(ACT_KEY)], "role": "act"},
    }
    return AdminSettings.model_validate({"keys": keys, "max_wait_s": 5.0, **settings})


class RunningAdmin:
    """An agent's state behind its administration port."""

    def __init__(self, node_id="n1", note=None, **settings):
        self.settings = admin_settings(**settings)
        self.address = free_address()
        self.state = AgentState(node_id)
        self.trail = AuditTrail(node_id, 3)
        self.operations = AgentOperations(
            self.state, self.trail, zone="sfax-medina", drain_notice_s=0.0
        )
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.pool = PoolManager(retries=False, cert_reqs="CERT_NONE")
        self.note = Note.model_validate(note or note_document())

    def apply_note(self, note):
        async def run():
            record_note_accepted(self.trail, self.state.note, note, "platform")
            self.state.apply_note(note)
            # Every node has drained the slots that the note took from it, so all are usable.
            for peer in self.state.ledger.peers:
                self.state.ledger.update_serials(peer, note.serial, note.serial, note.serial)
            self.state.end_start_hold()
            self.state.ledger.tick(self.state.clock())

        asyncio.run_coroutine_threadsafe(run(), self.loop).result()

    def request(self, path, key=READ_KEY, method="GET", scheme="http", **options):
        headers = {"Authorization": f"Bearer {key}", **options.pop("headers", {})}
        url = f"{scheme}://{self.address}{path}"
        return self.pool.request(method, url, headers=headers, **options)

    def get_json(self, path, **options):
        answer = self.request(path, **options)
        return answer.status, json.loads(answer.data)

    def post_action(self, path, key=ACT_KEY, **document):
        return self.get_json(path, key=key, method="POST", body=json.dumps(document))


@contextlib.contextmanager
def running_admin(**options):
    admin = RunningAdmin(**options)
    admin.thread.start()
    server = AdminServer(admin.address, admin.settings, admin.operations, admin.loop)
    server.start()
    try:
        admin.apply_note(admin.note)
        yield admin
    finally:
        server.stop()
        admin.loop.call_soon_threadsafe(admin.loop.stop)
        admin.thread.join()
        admin.loop.close()
