"""Checks of the example files and of the page of stable codes."""

from pathlib import Path

import pytest

import tanagerworks.agent.node
import tanagerworks.ctl.main
import tanagerworks.router.app
import tanagerworks.tls.peer_credentials  # noqa: F401 - defines codes, as do the others
from tanagerworks.errors import TanagerError
from tanagerworks.note.acceptance import NoteInForce
from tanagerworks.note.delta import Delta
from tanagerworks.note.model import Note
from tanagerworks.note.parsing import parse_note
from tanagerworks.settings.agent import AgentSettings
from tanagerworks.settings.loader import load_settings
from tanagerworks.settings.router import RouterSettings
from tanagerworks.standin.engine import EngineSettings
from tanagerworks.standin.order_service import OrderServiceSettings
from tanagerworks.standin.platform import PlatformSettings
from tools.fleet import key_sha256

_EXAMPLES = Path(__file__).parents[1] / "examples"
# Nodes, engines, order or booking servers, customers, zones.
_SIZES = {"regie": (6, 5, 3, 10, 3), "commission": (9, 10, 3, 10, 3)}


def _parse_full_note(name) -> Note:
    return parse_note((_EXAMPLES / name / "release-note-full.yaml").read_bytes())


@pytest.mark.parametrize("name", _SIZES)
def test_notes_are_accepted_in_turn(name):
    """Guards against examples that nodes refuse or that do not describe the deployment."""
    in_force = NoteInForce()
    assert in_force.accept_note(_parse_full_note(name))
    statement = in_force.note.statement
    (service,) = statement.services.values()
    sizes = (statement.nodes, statement.engines, service.servers, statement.customers)
    assert (*map(len, sizes), len(statement.zones)) == _SIZES[name]
    assert {customer.request_class for customer in statement.customers.values()} == {
        "quick",
        "counter",
        "patient",
    }
    assert all(route.repeatable == (route.method == "GET") for route in service.routes)
    for customer, item in statement.customers.items():
        assert item.key_sha256 == (key_sha256(f"example-{customer}"),)
    delta = parse_note((_EXAMPLES / name / "release-note-delta.yaml").read_bytes())
    assert isinstance(delta, Delta)
    assert in_force.accept_note(delta)


@pytest.mark.parametrize("name", _SIZES)
def test_settings_fit_the_note(name):
    """Guards against settings that a program refuses or that contradict the note."""
    directory = _EXAMPLES / name / "settings"
    statement = _parse_full_note(name).statement
    agent = load_settings(directory / "agent.yaml", AgentSettings)
    node = statement.nodes[agent.node_id]
    assert (node.zone, node.peer_address) == (agent.zone, agent.peer_address)
    peers = {other.peer_address for other in statement.nodes.values()}
    assert set(agent.seed_peers) == peers - {agent.peer_address}
    router = load_settings(directory / "router.yaml", RouterSettings)
    assert (router.zone, router.agent_address) == (agent.zone, agent.router_link_address)
    longest_s = max(engine.max_work_s for engine in statement.engines.values())
    assert agent.drain_limit_s > longest_s
    assert router.drain_limit_s > longest_s
    standin = load_settings(directory / "standin-engine.yaml", EngineSettings)
    engine = statement.engines[standin.engine_id]
    assert (standin.address, standin.model, standin.slots, standin.cold_slots) == (
        engine.address,
        engine.model,
        engine.slots,
        engine.cold_slots,
    )
    (service,) = statement.services.values()
    order_service = load_settings(directory / "standin-order-service.yaml", OrderServiceSettings)
    assert service.servers[order_service.server_id].address == order_service.address
    assert order_service.deduplicates == service.deduplicates_by_key
    platform = load_settings(directory / "standin-platform.yaml", PlatformSettings)
    assert agent.platform_url == f"http://{platform.address}"


def _collect_codes(error: type[TanagerError]) -> set[str]:
    return {error.code}.union(*(_collect_codes(child) for child in error.__subclasses__()))


def test_codes_page_names_every_stable_code():
    """Guards against a code that operators see and that the page of codes does not explain."""
    page = (_EXAMPLES.parent / "docs" / "operations" / "codes.md").read_text()
    assert {code for code in _collect_codes(TanagerError) if f"`{code}`" not in page} == set()
