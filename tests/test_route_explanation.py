"""The explanation of a choice: it agrees with the next real choice, counts nothing, shows no key.

Decisions are tested without a network; the administration address on loopback.
"""

import asyncio
import hashlib
import random

import pytest
from adapter.backend_http import BackendHttp
from adapter.caller_http import CallerHttp
from adapter.store import MetadataStore
from pydantic import ValidationError

from tanagerworks.ctl.exit_status import ExitStatus
from tanagerworks.ctl.main import main
from tanagerworks.dispatch.hedging import HedgingPolicy
from tanagerworks.edge.admin_port import AdminPort, read_key_digests
from tanagerworks.edge.hedging import Hedger
from tanagerworks.edge.http_messages import RequestHead
from tanagerworks.edge.pipeline import Pipeline
from tanagerworks.edge.process import EdgeProcess, PlatformAdapter
from tanagerworks.edge.route_explanation import RouteExplainer
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import CustomerUnknownError, RouteUnknownError, SettingsError
from tanagerworks.rpc.route_models import RouteQuestion
from tests.edge_builders import API_KEY, PLAIN_SERVICE, dispatch_request, dispatcher, server_entry
from tests.edge_process_runner import SettingsSeeds, edge_settings
from tests.platform_standin import StoreStandin, wait_until
from tests.virtual_fleet import run_in_virtual_time
from tools.fleet import free_address

ADMIN_KEY = "operator-key"
DIGEST = hashlib.sha256(ADMIN_KEY.encode()).hexdigest()


def new_pipeline(servers=6):
    entries = [server_entry(f"m{number}", cold_s=5.0 * (number % 2)) for number in range(servers)]
    entries += [
        server_entry(f"d{number}", PLAIN_SERVICE, zone=f"zone-{'ab'[number % 2]}")
        for number in range(servers)
    ]
    return Pipeline(
        dispatcher(servers=entries), CallerHttp(), BackendHttp(), "zone-a", EdgeMetrics()
    )


def question(path="/chat/x", **changes):
    return RouteQuestion(host="host.example", path=path, **({"customer": "customer-1"} | changes))


def real_request(pipeline, call_id, path, parts, now_s):
    """The request as the pipeline classifies it when a caller sends it."""
    listed = ",".join(f"{part['part_id']}:{part['tokens']}" for part in parts)
    headers = [
        (b"x-tanagerworks-attempt-id", call_id.encode()),
        (b"host", b"host.example"),
        (b"authorization", b"Bearer " + API_KEY.encode()),
        (b"x-tanagerworks-prefix-hash", listed.encode()),
        (b"x-tanagerworks-model", b"m"),
    ]
    head = RequestHead(b"GET", path.encode(), headers, has_body=False)
    call = pipeline.caller_dialect.parse_call(head)
    return pipeline.classify_call(pipeline.dispatcher.configuration, call, head, b"", None, now_s)


def counts(node):
    """What a real choice would change."""
    limiters = [*node.cold_start_limiters.values(), *node.named_limit_limiters.values()]
    return (
        [repr(state) for state in node.directory.servers.values()],
        [(type(limiter), repr(vars(limiter))) for limiter in limiters],
        [(name, len(queue)) for name, queue in node.queues.items()],
        [repr(vars(budget)) for budget in node.retry_budgets.values()],
        dict(node.quarantine_gate.probes),
    )


async def compare_choices(explainer_type, requests=150):
    """Returns how often explanation and choice differ, and how often the explanation counted."""
    pipeline, differing, counted = new_pipeline(), 0, 0
    node, explainer = pipeline.dispatcher, explainer_type(pipeline, "node-1")
    generator = random.Random(7)
    now_s = asyncio.get_running_loop().time
    for state in node.directory.servers.values():
        state.cold_until_s = now_s() + 60.0 if state.is_cold(0.0) else 0.0
    explainer.explain(question(), now_s())
    explainer.explain(question("/desk-read/x"), now_s())
    for number in range(requests):
        # Cold servers get tokens for further requests. The clock stands still from here on.
        await asyncio.sleep(0.05)
        path = generator.choice(("/chat/x", "/desk-read/x"))
        parts = [
            {"part_id": f"system-{generator.randrange(5)}", "tokens": 9_000},
            {"part_id": f"own-{number}", "tokens": 50},
        ]
        if path != "/chat/x":
            parts = []
        before = counts(node)
        explained = explainer.explain(question(path, model="m", parts=parts), now_s())
        counted += counts(node) != before
        if counted:
            break
        request = real_request(pipeline, f"call-{number}", path, parts, now_s())
        if explained.placement != "send":
            # The request would wait or be refused.
            differing += node.choose_server(request.dispatch_request, now_s()).state is not None
            continue
        choice = await pipeline.placer.place_request(request)
        differing += choice.state.server_id != explained.server
        node.record_sent(request.dispatch_request, explained.server, now_s())
    return differing, counted


class IgnoresPrompt(RouteExplainer):
    """Mutation: the explained request has no prompt."""

    def _classify(self, configuration, asked, now_s):
        return super()._classify(configuration, asked.model_copy(update={"parts": ()}), now_s)


class TakesRunningPlace(RouteExplainer):
    """Mutation: the explanation counts a request as started."""

    def explain(self, asked, now_s):
        answer = super().explain(asked, now_s)
        if answer.server is not None:
            request = dispatch_request(f"explained-{now_s}")
            choice = self.dispatcher.choose_server(request, now_s)
            self.dispatcher.record_start(request, choice, now_s)
        return answer


def test_explanation_agrees_with_the_next_choice():
    """Guards against an explanation that names another server than a request then gets."""
    assert run_in_virtual_time(compare_choices(RouteExplainer)) == (0, 0)
    assert run_in_virtual_time(compare_choices(IgnoresPrompt))[0] > 0
    assert run_in_virtual_time(compare_choices(TakesRunningPlace))[1] > 0


@pytest.mark.parametrize("path", ["/chat/x", "/desk-read/x"])
def test_parts_of_a_score_add_up(path):
    """Guards against a part of the score that is missing from the explanation."""
    pipeline = new_pipeline()
    for number, state in enumerate(pipeline.dispatcher.directory.servers.values()):
        state.running, state.failure_share, state.failed_at_s = number % 6, 0.1 * number, 0.0
    asked = question(path, parts=[{"part_id": "p", "tokens": 900}])
    answer = RouteExplainer(pipeline, "node-1").explain(asked, 1.0)
    assert [candidate.chosen for candidate in answer.candidates].count(True) == 1
    for candidate in answer.candidates:
        assert sum(candidate.parts.values()) == pytest.approx(candidate.score)


def test_servers_left_out_have_their_reasons():
    """Guards against a server that is missing from the explanation, or has a wrong reason."""
    pipeline = new_pipeline(servers=80)
    directory = pipeline.dispatcher.directory
    states = [directory.servers[f"d{number}"] for number in range(80)]
    states[0].record_leaving(0.0)
    states[2].record_pause(9.0, 0.0)
    states[4].running = 30
    states[6].fleet_ejected = True
    directory.put_zone_out("zone-b")
    answer = RouteExplainer(pipeline, "node-1").explain(question("/desk-read/x"), 1.0)
    reasons = {server.server: server.reason for server in answer.left_out}
    assert [reasons[f"d{number}"] for number in (0, 1, 2, 4, 6)] == [
        "leaving",
        "in a zone out of service",
        "wants no requests for 8.0 s",
        "full",
        "ejected after failures",
    ]
    assert len(answer.candidates) == 36
    assert len(answer.candidates) + len(answer.left_out) + answer.unlisted_servers == 80
    many = RouteExplainer(new_pipeline(200), "node-1").explain(question(), 1.0)
    assert (len(many.candidates), len(many.left_out), many.unlisted_servers) == (64, 64, 72)


def test_unknown_and_waiting_requests():
    """Guards against a guess for a request that has no route, no customer or no place."""
    pipeline = new_pipeline()
    explainer = RouteExplainer(pipeline, "node-1")
    with pytest.raises(RouteUnknownError):
        explainer.explain(question("/nowhere"), 1.0)
    for changes in ({"customer": "nobody"}, {"customer": None, "api_key": "wrong"}):
        with pytest.raises(CustomerUnknownError):
            explainer.explain(question(**changes), 1.0)
    with pytest.raises(ValidationError):
        question(api_key=API_KEY)
    pipeline.dispatcher.queue("models").push("waiting", 1, "customer-1", 9.0, 8)
    answer = explainer.explain(question(), 1.0)
    assert (answer.placement, answer.queue.ahead) == ("wait", 1)
    assert answer.reason == "requests that are at least as urgent wait already"
    resumed = explainer.explain(question("/plan/x", last_event_id="3", resumes="c1"), 1.0)
    assert (resumed.placement, resumed.server) == ("unknown", None)
    for asked in (question(), question(customer=None, api_key=API_KEY)):
        answer = explainer.explain(asked, 1.0)
        assert answer.customer == "customer-1"
        assert API_KEY not in answer.model_dump_json()


def test_second_server_is_announced_for_hedged_routes_only():
    """Guards against an explanation that promises a hedge which is never sent."""
    pipeline = new_pipeline()
    explainer = RouteExplainer(pipeline, "node-1")
    assert not explainer.explain(question("/desk-read/x"), 1.0).second_server.asked
    pipeline.hedger = Hedger(pipeline, "zone-a", HedgingPolicy(0.95, 0.01, 0.05))
    assert not explainer.explain(question("/desk-read/x"), 1.0).second_server.asked
    for _number in range(100):
        pipeline.hedger.route_times.record("desk-read", 0.03, 2.0)
    second = explainer.explain(question("/desk-read/x"), 5.0).second_server
    assert (second.asked, second.after_s) == (True, pytest.approx(0.03, rel=0.1))
    assert not explainer.explain(question("/desk-book/x"), 5.0).second_server.asked


def run_ctl(address, monkeypatch, *flags, key=ADMIN_KEY, path="/chat/x"):
    monkeypatch.setenv("TANAGERCTL_KEY", key)
    fixed = (f"--nodes={address}", "--host=host.example", f"--path={path}")
    return asyncio.to_thread(main, ["tanagerctl", "route", *fixed, *flags])


async def exchange(address, raw):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(raw)
    status = await reader.readline()
    writer.close()
    return int(status.split()[1])


def test_administration_address(monkeypatch, capsys, tmp_path):
    """Guards against an answer without the key, or to a call that is wrong or too large."""
    monkeypatch.setattr("tanagerworks.program.configure_logging", lambda *_arguments: None)
    key_file = tmp_path / "customer.key"
    key_file.write_text(API_KEY)

    async def scenario():
        port = AdminPort(RouteExplainer(new_pipeline(), "node-1"), (DIGEST,)).create_server()
        await port.listen("127.0.0.1", 0, 8)
        address = port.listener.sockets[0].getsockname()
        named = f"127.0.0.1:{address[1]}"
        head = b"POST /route HTTP/1.1\r\nhost: x\r\nauthorization: Bearer %s\r\n"
        calls = {
            401: head % b"wrong" + b"content-length: 0\r\n\r\n",
            400: head % ADMIN_KEY.encode() + b"content-length: 2\r\n\r\n{}",
            413: head % ADMIN_KEY.encode() + b"content-length: 65537\r\n\r\n",
            404: head.replace(b"POST", b"GET") % ADMIN_KEY.encode() + b"\r\n",
        }
        for expected, raw in calls.items():
            assert await exchange(address, raw) == expected
        customer, parts = "--customer=customer-1", "--parts=a:900,b:20"
        assert await run_ctl(named, monkeypatch, customer, parts) == ExitStatus.OK
        by_key = (f"--customer_key_file={key_file}", "--output=json")
        assert await run_ctl(named, monkeypatch, *by_key) == ExitStatus.OK
        unknown = ExitStatus.UNKNOWN_REQUEST
        assert await run_ctl(named, monkeypatch, customer, path="/nowhere") == unknown
        assert await run_ctl(named, monkeypatch, "--customer=nobody") == unknown
        assert await run_ctl(named, monkeypatch, customer, key="no") == ExitStatus.REFUSED
        assert await run_ctl(named, monkeypatch, "--parts=a") == ExitStatus.USAGE
        port.close_listener()
        assert await run_ctl(free_address(), monkeypatch, customer) == ExitStatus.UNREACHABLE

    asyncio.run(scenario())
    captured = capsys.readouterr()
    assert '"route": "chat"' in captured.out
    assert "prefill" in captured.out
    assert API_KEY not in captured.out + captured.err


def test_process_opens_the_address_only_with_usable_settings(monkeypatch, tmp_path):
    """Guards against an open address without a key, and against a key file that stops the node."""
    key_file = tmp_path / "admin.keys"
    key_file.write_text(f"{DIGEST}\n{DIGEST}\n")
    assert read_key_digests(str(key_file)) == (DIGEST, DIGEST)
    monkeypatch.setattr("tanagerworks.program.configure_logging", lambda *_arguments: None)

    async def scenario():
        store = await StoreStandin().start()
        plain = edge_settings(store)
        addresses = plain.addresses.model_dump() | {"admin": free_address()}
        for changes in (
            {"addresses": addresses},
            {"addresses": addresses | {"admin": "0.0.0.0:7"}, "admin_key_file": str(key_file)},
        ):
            with pytest.raises(ValidationError):
                edge_settings(store, **changes)
        settings = edge_settings(store, addresses=addresses, admin_key_file=str(key_file))
        adapter = PlatformAdapter(
            MetadataStore(store.address), CallerHttp(), BackendHttp(), SettingsSeeds(settings)
        )

        def new_process(process_settings):
            return EdgeProcess(process_settings, adapter, lambda: process_settings)

        assert new_process(plain).admin_server is None
        process = new_process(settings)
        running = asyncio.create_task(process.run())
        await wait_until(lambda: process.admin_server.listener and process.tasks)
        status = await run_ctl(addresses["admin"], monkeypatch, "--customer=c", key="no")
        assert status == ExitStatus.REFUSED
        for task in (running, *process.tasks):
            task.cancel()
        key_file.write_text(ADMIN_KEY)
        with pytest.raises(SettingsError):
            read_key_digests(str(key_file))
        assert new_process(settings).admin_server is None

    asyncio.run(scenario())
