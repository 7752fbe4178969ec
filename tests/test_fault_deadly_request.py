"""Fault: one request comes again and again and crashes each server that begins to run it.

It has another id each time, but the same path, customer and body. Sound requests share its path,
its customer and the parts of its prompt.
"""

import asyncio

import pytest

from tanagerworks.dispatch.crash_evidence import (
    REQUEST_DEPTH,
    CrashEvidence,
    ServerCrash,
    Suspect,
    suspect_key,
)
from tanagerworks.dispatch.request_identity import request_identity
from tests.edge_builders import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration,
    non_idempotent_route,
    prompt,
    route,
    server_entry,
    stream_route,
)
from tests.platform_standin import (
    crash_on_body,
    request_bytes,
    respond_with,
    run_scenario,
    send_request,
    stream_events,
)
from tests.virtual_fleet import VirtualFleet, run_in_virtual_time

SERVERS = 8
# The operators allow three retries once the request has crashed three servers.
MAX_CRASHES = 3
# Nodes have to know of the request within this time of the crash that shows it.
CONTACT_S = 3.0
# Time between two requests.
INTERVAL_S = 0.3
DEADLY_BODY = b"deadly"
PROMPT = ("x-tanagerworks-model: m", "x-tanagerworks-prefix-hash: a1:500,b2:500,c3:20")


def run_deadly_requests(path, request_route, headers=()):
    """Returns the responses to deadly and sound requests, and the number of crashed servers."""
    service = MODEL_SERVICE if request_route.streams else PLAIN_SERVICE
    otherwise = stream_events(1, 3) if request_route.streams else respond_with()

    async def scenario(port, pipeline, servers):
        deadly, sound = [], []
        for number in range(SERVERS):
            raw = request_bytes(path, f"d{number}", "POST", DEADLY_BODY, *headers)
            deadly.append(await send_request(port, raw))
            raw = request_bytes(path, f"s{number}", "POST", b"sound %d" % number, *headers)
            sound.append(await send_request(port, raw))
            await asyncio.sleep(INTERVAL_S)
        crashed = sum(not server.server.is_serving() for server in servers)
        return deadly, sound, crashed

    scripts = [[crash_on_body(DEADLY_BODY, otherwise)] for _ in range(SERVERS)]
    return run_scenario(scripts, scenario, configuration(routes=[request_route]), service)


@pytest.mark.parametrize(
    ("path", "request_route", "headers"),
    [
        ("/desk-read/x", route(), ()),
        ("/desk-book/x", non_idempotent_route(), ()),
        ("/chat/x", stream_route(), PROMPT),
        ("/plan/x", stream_route("plan", resumable=True, max_attempts=2), PROMPT),
    ],
)
def test_deadly_request_stops_reaching_servers(path, request_route, headers):
    """Guards against a request that crashes one server after the other, whatever its kind."""
    deadly, sound, crashed = run_deadly_requests(path, request_route, headers)
    assert crashed <= MAX_CRASHES
    # The last request was refused before it was sent.
    assert deadly[-1].status == 503
    assert float(deadly[-1].headers["retry-after"]) > 0.0
    # Requests with the same path, customer and parts are served until the end.
    assert [response.status for response in sound[-3:]] == [200] * 3


def crash_with_requests(number, *identities):
    """The crash of a server at second `number`, at which requests with these identities were."""
    suspects = {suspect_key(name): Suspect(REQUEST_DEPTH, 0.1) for name in identities}
    return number, ServerCrash(float(number), suspects)


def test_sound_request_cut_beside_a_deadly_one_is_not_refused():
    """Guards against refusing a caller whose request was twice at a server that crashed."""
    evidence = CrashEvidence()
    for process, crash in (
        crash_with_requests(1, "deadly", "sound"),
        crash_with_requests(2, "deadly"),
        crash_with_requests(3, "deadly", "sound"),
    ):
        evidence.merge_crash(process, crash, crash.crashed_at_s)
    assert set(evidence.find_quarantines(["deadly", "sound"])) == {"deadly"}


def test_request_rather_than_its_parts_is_refused():
    """Guards against refusing all requests of a route for the shared parts of a deadly one."""
    evidence = CrashEvidence()
    for process in (1, 2):
        _process, crash = crash_with_requests(process, "deadly")
        crash.suspects[suspect_key("part")] = Suspect(0, 0.1)
        evidence.merge_crash(process, crash, crash.crashed_at_s)
    found = evidence.find_quarantines(["part", "deadly"])
    assert set(found) == {"deadly"}
    assert found["deadly"].is_request


@pytest.mark.parametrize(("count", "zones"), [(6, 3), (60, 3)])
def test_all_nodes_learn_of_a_deadly_request_among_many(count, zones):
    """Guards against a deadly request that other nodes learn of too late, or never.

    Each crash has as many suspects as a busy server of a large fleet. Two of five crashes are due
    to the request.
    """

    async def scenario():
        fleet = VirtualFleet(count, zones)
        fleet.put_servers([server_entry(f"server-{number}") for number in range(5)])
        fleet.start()
        await asyncio.sleep(6.0)
        for number, node in enumerate(fleet.nodes[:5]):
            identities = [f"request:{number}-{other}" for other in range(60)]
            if number in (0, 3):
                identities.append("request:deadly")
            _process, crash = crash_with_requests(number, *identities)
            state = node.dispatcher.directory.servers[f"server-{number}"]
            node.dispatcher.record_crash(state, crash.suspects, fleet.loop.time())
            await asyncio.sleep(0.2)
        await asyncio.sleep(CONTACT_S)
        refusing = [
            node
            for node in fleet.live_nodes()
            if node.dispatcher.crash_evidence.find_quarantines(["request:deadly"])
        ]
        assert len(refusing) == count

    run_in_virtual_time(scenario())


def test_node_that_never_saw_the_request_refuses_it_by_its_identity():
    """Guards against an identity that differs between nodes or between two calls."""
    fields = (b"POST", "host.example", b"/book/x?a=1", "customer-1", b"body")
    identity = request_identity(*fields, prompt(("a1", 500), ("own-1", 20)))
    assert identity == request_identity(*fields, prompt(("a1", 500), ("own-2", 20)))
    for position, other in enumerate((b"GET", "other", b"/book/x?a=2", "customer-2", b"bod")):
        changed = (*fields[:position], other, *fields[position + 1 :])
        assert request_identity(*changed, None) != identity
    # Without a body, only the prompt tells requests of one path apart.
    empty = fields[:-1] + (b"",)
    assert request_identity(*empty, prompt(("a1", 500))) != request_identity(
        *empty, prompt(("b2", 500))
    )
