"""Platform follower, pause guard, probes and shutdown of the agent."""

import asyncio
import threading
import time
import zlib
from collections import deque
from random import Random

import grpc
import pytest
import yaml

from tanagerworks.agent.entry_limits import EntryLimiter, engine_pools, expand_counts
from tanagerworks.agent.main import _drain
from tanagerworks.agent.note_keeper import NoteKeeper, SubmitResult
from tanagerworks.agent.pauses import PauseGuard
from tanagerworks.agent.platform_client import PlatformClient, PlatformValue
from tanagerworks.agent.platform_follower import DELTA_KEY, FULL_KEY, Backoff, PlatformFollower
from tanagerworks.agent.probes import EngineProber, EngineReport, assigned_engines
from tanagerworks.agent.state import AgentState
from tanagerworks.errors import BackendError, PlatformError
from tanagerworks.note.model import MAX_NOTE_BYTES, Engine, Note
from tanagerworks.rpc.tanager_pb2 import ExchangeRequest, NodeEntry
from tanagerworks.rpc.tanager_pb2_grpc import PeerExchangeStub
from tanagerworks.wsgi import Response, create_server, json_response
from tests.builders import note_document
from tools.fleet import Fleet, free_address, key_sha256, new_node

WAIT_S = 10.0
ADMIN_KEY = "reader-key"


class _FakePlatformClient:
    """Platform client whose values a test sets; `down` makes every call fail."""

    def __init__(self):
        self.values = {}
        self.vms = {}
        self.down = False
        self.reads = deque()

    def publish(self, key, document):
        content = yaml.safe_dump(document).encode()
        self.values[key] = PlatformValue(str(hash(content)), content)

    def read_value(self, key, after=None, wait_s=0.0):
        self.reads.append(key)
        end_s = time.monotonic() + min(wait_s, 0.02)
        while True:
            if self.down:
                raise PlatformError("down")
            value = self.values.get(key)
            if value is not None and value.revision != after:
                return value
            if time.monotonic() > end_s:
                return None
            time.sleep(0.002)

    def read_vms(self):
        if self.down:
            raise PlatformError("down")
        return dict(self.vms)


class _FollowerUnderTest:
    def __init__(self, platform):
        self.accepted = []
        self.refused = []
        self.vms = []
        self.note_keeper = NoteKeeper(
            lambda note, source: self.accepted.append(note.serial),
            lambda source, serial, error: self.refused.append(error.code),
        )
        self.note_keeper.start_applying_notes()
        self.follower = PlatformFollower(
            platform,
            self.note_keeper,
            Random(1),
            watch_s=0.5,
            vm_poll_s=0.01,
            on_contact=lambda: None,
            on_vm_list=self.vms.append,
        )

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.005)


def _run_follower(platform, check):
    async def run():
        followed = _FollowerUnderTest(platform)
        task = asyncio.create_task(followed.follower.run())
        try:
            await check(followed)
        finally:
            task.cancel()

    asyncio.run(run())


def _delta_document(serial, base, answers=5):
    return {"serial": serial, "base": base, "changed": {"rules": {"warm_answers": answers}}}


def test_missing_base_is_fetched_once_it_is_published():
    """Guards against a node that keeps an old note because it missed the base of a delta."""
    platform = _FakePlatformClient()
    platform.publish(FULL_KEY, note_document(3))
    platform.publish(DELTA_KEY, _delta_document(6, 5))

    async def check(followed):
        await followed.wait_until(lambda: followed.accepted == [3])
        await followed.wait_until(lambda: followed.note_keeper.pending_delta is not None)
        platform.publish(FULL_KEY, note_document(5))
        await followed.wait_until(lambda: followed.note_keeper.serial == 6)
        assert followed.note_keeper.in_force.note.statement.rules.warm_answers == 5

    _run_follower(platform, check)


def test_bad_and_stale_values_change_nothing():
    """Guards against an invalid, conflicting or stale value that replaces the note in force."""
    platform = _FakePlatformClient()
    platform.publish(FULL_KEY, note_document(3))
    platform.publish(DELTA_KEY, _delta_document(4, 3))

    async def check(followed):
        await followed.wait_until(lambda: followed.note_keeper.serial == 4)
        platform.publish(DELTA_KEY, _delta_document(5, 4, answers="many"))
        await followed.wait_until(lambda: "note_invalid" in followed.refused)
        platform.publish(DELTA_KEY, _delta_document(4, 3, answers=9))
        await followed.wait_until(lambda: "serial_conflict" in followed.refused)
        platform.publish(DELTA_KEY, _delta_document(2, 1))
        await followed.wait_until(lambda: followed.follower.stale)
        assert followed.note_keeper.serial == 4
        assert followed.accepted == sorted(followed.accepted)

    _run_follower(platform, check)


def test_outage_keeps_note_and_vm_list_and_ends():
    """Guards against a node that drops its note or VM list while the platform is down."""
    platform = _FakePlatformClient()
    platform.publish(FULL_KEY, note_document(1))
    platform.vms = {"m1": "leaving"}

    async def check(followed):
        await followed.wait_until(lambda: followed.note_keeper.serial == 1 and followed.vms)
        platform.down = True
        await followed.wait_until(lambda: followed.follower.failures >= 4)
        assert followed.vms[-1] == {"m1": "leaving"}
        platform.publish(FULL_KEY, note_document(2))
        platform.down = False
        await followed.wait_until(lambda: followed.note_keeper.serial == 2)

    _run_follower(platform, check)


def test_backoff_is_jittered_bounded_and_honours_retry_after():
    """Guards against nodes that retry at the same time at a platform that limits its readers."""
    backoff = Backoff(Random(1))
    delays = [backoff.next_delay_s() for _ in range(100)]
    assert max(delays) <= 4.0
    assert len(set(delays)) == 100
    assert sum(delays[-50:]) > sum(delays[:4])
    assert backoff.next_delay_s(at_least_s=9.0) >= 9.0


def test_packed_note_of_a_peer_is_bounded():
    """Guards against a small message of a peer that expands until memory runs out."""

    async def check():
        sender = NoteKeeper(lambda note, source: None)
        sender.submit_note(Note.model_validate(note_document(4)), "test")
        receiver = NoteKeeper(lambda note, source: None)
        assert (
            await receiver.submit_packed_note(sender.pack_note(), "peer") is SubmitResult.ACCEPTED
        )
        assert receiver.in_force.digest == sender.in_force.digest
        bomb = zlib.compress(b" " * 50_000_000)
        assert await receiver.submit_packed_note(bomb, "peer") is SubmitResult.REFUSED
        assert await receiver.submit_packed_note(b"x", "peer") is SubmitResult.REFUSED
        assert receiver.serial == 4

    asyncio.run(check())


@pytest.fixture(name="http_answers")
def platform_client_with_answers():
    """Yields a platform client, and the queue of the answers that its server gives in turn."""
    answers = deque()

    def app(environ, start_response):
        response = answers.popleft()
        start_response(response.status_line, response.headers)
        return response.body

    address = free_address()
    server = create_server(address, app, threads=2)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    yield PlatformClient(f"http://{address}", 5.0, reader="n1"), answers
    server.stop()


def test_platform_answers_are_checked(http_answers):
    """Guards against an agent that uses a malformed or oversized answer of the platform."""
    client, answers = http_answers
    answers.append(json_response({"vms": {"m1": "leaving", "w1": "live"}}))
    assert client.read_vms() == {"m1": "leaving", "w1": "live"}
    answers.append(Response(200, [("ETag", "r1"), ("Content-Length", "2")], [b"ab"]))
    assert client.read_value("k") == PlatformValue("r1", b"ab")
    for status in (304, 404):
        answers.append(Response(status, [("Content-Length", "0")]))
        assert client.read_value("k", "r1", 0.1) is None
    large = MAX_NOTE_BYTES + 1
    for bad in (
        json_response({"vms": {"m1": "gone"}}),
        json_response({}),
        json_response({}, 500),
        Response(302, [("Location", "/v1/vms"), ("Content-Length", "0")]),
        Response(200, [("Content-Length", str(large))], [b"x" * large]),
    ):
        answers.append(bad)
        with pytest.raises(PlatformError):
            client.read_vms()
    answers.append(json_response({}, 429, [("Retry-After", "7")]))
    with pytest.raises(PlatformError) as caught:
        client.read_value("k")
    assert caught.value.retry_after_s == 7.0


class _FakeClock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def test_pause_is_followed_by_a_refresh_before_the_answer():
    """Guards against a node that answers with the state from before a pause of its process."""
    clock = _FakeClock()
    released = asyncio.Event()
    refreshed = []

    async def refresh():
        await released.wait()
        refreshed.append(clock.now_s)
        return True

    async def check():
        guard = PauseGuard(clock, refresh, max_gap_s=1.0, refresh_timeout_s=5.0)
        await guard.ensure_fresh()
        clock.now_s += 0.9
        await guard.ensure_fresh()
        assert guard.pauses == 0
        clock.now_s += 30.0
        answers = [asyncio.create_task(guard.ensure_fresh()) for _ in range(3)]
        await asyncio.sleep(0)
        assert guard.pauses == 1
        assert not any(task.done() for task in answers)
        released.set()
        await asyncio.gather(*answers)
        assert refreshed == [clock.now_s]

    asyncio.run(check())


def test_isolated_node_answers_after_a_bounded_refresh():
    """Guards against a node that stops serving in a partition because its refresh never ends."""

    async def check():
        clock = _FakeClock()
        guard = PauseGuard(clock, asyncio.Event().wait, max_gap_s=1.0, refresh_timeout_s=0.01)
        clock.now_s += 5.0
        await asyncio.wait_for(guard.ensure_fresh(), WAIT_S)

    asyncio.run(check())


def test_second_signal_ends_the_shutdown():
    """Guards against a graceful shutdown that a second signal cannot cut short."""

    class EndlessState:
        def __init__(self):
            self.stopping = asyncio.Event()

        def notify_watchers(self):
            pass

        async def drain_for_shutdown(self, notice_s, limit_s):
            await asyncio.Event().wait()

    class Signals:
        def __init__(self):
            self.second = asyncio.Event()

    class Settings:
        drain_notice_s = drain_limit_s = 60.0

    async def check():
        state, signals = EndlessState(), Signals()
        task = asyncio.create_task(_drain(state, Settings, signals))
        await asyncio.sleep(0)
        assert not task.done()
        signals.second.set()
        assert await asyncio.wait_for(task, WAIT_S) is False
        assert state.stopping.is_set()

    asyncio.run(check())


def test_engines_are_divided_over_the_nodes():
    """Guards against engines that no node probes, and against nodes that probe all of them."""
    nodes = [f"n{number}" for number in range(35)]
    engines = [f"m{number}" for number in range(71)]
    shares = {node: assigned_engines(node, nodes, engines, 2) for node in nodes}
    for engine in engines:
        assert sum(engine in share for share in shares.values()) == 2
    assert max(map(len, shares.values())) < len(engines) / 3
    shares_without_n0 = {node: assigned_engines(node, nodes[1:], engines, 2) for node in nodes[1:]}
    moved = sum(len(set(shares_without_n0[node]) - set(shares[node])) for node in nodes[1:])
    assert moved <= len(shares["n0"])


def _build_prober(client, down):
    engine = Engine.model_validate(note_document()["statement"]["engines"]["m1"])
    return EngineProber(
        "n1",
        client,
        Random(1),
        period_s=0.001,
        per_engine=2,
        engines=lambda: {"m1": engine},
        nodes=lambda: ["n1", "n2"],
        on_report=lambda engine_id, report: None,
        set_down=lambda engine_id, is_down: down.append(is_down),
    )


def test_engine_is_down_after_three_failed_probes_and_up_after_one():
    """Guards against an engine taken out of service by one lost probe."""
    failures = [False, True, True, False, True, True, True, True, False]

    class Client:
        def read_report(self, address):
            if failures.pop(0):
                raise BackendError("no answer")
            return EngineReport("b1", 1.0, 0, 0)

    async def check():
        down = []
        prober = _build_prober(Client(), down)
        task = asyncio.create_task(prober.run())
        async with asyncio.timeout(WAIT_S):
            while failures and not task.done():
                await asyncio.sleep(0.001)
            while len(down) < 2 and not task.done():
                await asyncio.sleep(0.001)
        task.cancel()
        assert down == [True, False]

    asyncio.run(check())


def test_large_entries_are_bounded_and_keep_the_sums_per_pool():
    """Guards against entries that grow with the number of engines, and against wrong totals."""
    engine = Engine.model_validate(note_document()["statement"]["engines"]["m1"])
    engines = {
        f"m{number:03}": engine.model_copy(update={"version": f"v{number % 3}"})
        for number in range(710)
    }
    entry = NodeEntry(running=900, running_by_engine=[number % 4 for number in range(710)])
    for number in range(710):
        entry.warm.add(engine_id=f"m{number:03}", boot_id="b" * 32, answers=9)
    before = [sum(list(entry.running_by_engine)[pool::3]) for pool in range(3)]
    allowances = dict.fromkeys(engines, engine.slots) | {"m333": 2}
    pools = engine_pools(engines)
    limiter = EntryLimiter()
    earlier = NodeEntry.FromString(entry.SerializeToString())
    limiter.limit_entry(earlier, engines, pools, allowances.__getitem__)
    entry.warm[333].answers += 1
    limiter.limit_entry(entry, engines, pools, allowances.__getitem__)
    assert entry.ByteSize() < 350
    assert "m333" in {item.engine_id for item in entry.warm}
    expand_counts(entry, engines, pools)
    assert [sum(list(entry.running_by_engine)[pool::3]) for pool in range(3)] == before


def _slots_on_hold(fleet, admin_address):
    answer = fleet.pool.request(
        "GET",
        f"http://{admin_address}/admin/v1/status",
        headers={"Authorization": f"Bearer {ADMIN_KEY}"},
    )
    return answer.json()["slots_on_hold"]


@pytest.mark.parametrize("clean", [True, False])
def test_peers_record_how_a_node_ended(tmp_path, clean):
    """Guards against peers that do not record a clean stop, or record a crash as a clean stop.

    Routers of a node that crashed may still use its slots, so they must stay on hold when the node
    starts again. After a clean stop no hold is needed.
    """
    nodes = [new_node(f"n{number}", "sfax-medina", routers=0) for number in range(2)]
    addresses = {n.node_id: {"zone": n.zone, "peer_address": n.peer_address} for n in nodes}
    survey = ExchangeRequest(sender="n1", incarnation=2**50, survey=True)
    with Fleet(tmp_path) as fleet, grpc.insecure_channel(nodes[0].peer_address) as channel:
        fleet.start_platform()
        fleet.publish_note(note_document(1, nodes=addresses))
        admin = {"keys": {"reader": {"sha256": [key_sha256(ADMIN_KEY)], "role": "read"}}}
        for node in nodes:
            fleet.start_node(node, [n.peer_address for n in nodes], drain_notice_s=0.0, admin=admin)
        send_survey = PeerExchangeStub(channel).Exchange
        started_s = time.monotonic()
        fleet.wait_until_ready("n1-agent", f"http://{nodes[1].admin_address}/readyz")
        # A process whose slots are still on hold does not count as cleanly stopped.
        while _slots_on_hold(fleet, nodes[1].admin_address):
            assert time.monotonic() - started_s < WAIT_S
        reply = send_survey(survey, timeout=WAIT_S, wait_for_ready=True)
        while not reply.highest_incarnation:
            assert time.monotonic() - started_s < WAIT_S
            reply = send_survey(survey, timeout=WAIT_S)
        assert reply.unclean_predecessor
        if clean:
            assert fleet.processes["n1-agent"].stop() == 0
        else:
            fleet.processes["n1-agent"].kill()
        assert send_survey(survey, timeout=WAIT_S).unclean_predecessor is not clean


def test_leaving_service_server_gets_no_new_calls():
    """Guards against new calls to a server whose VM the platform marks as leaving."""

    async def scenario():
        servers = {
            name: {"address": f"127.0.0.1:{port}", "zone": "sfax-medina"}
            for name, port in (("d1", 8101), ("d2", 8102))
        }
        document = note_document(1, services={"orders": {"servers": servers}})
        state = AgentState("n1")
        state.apply_note(Note.model_validate(document))
        assert list(state.build_view(0).services[0].addresses) == [
            "127.0.0.1:8101",
            "127.0.0.1:8102",
        ]
        state.leaving_servers = frozenset({"d1"})
        assert list(state.build_view(0).services[0].addresses) == ["127.0.0.1:8102"]

    asyncio.run(scenario())
