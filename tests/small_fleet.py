"""A platform stand-in, one engine stand-in and one node as processes, for end-to-end tests."""

from contextlib import contextmanager

from tests.builders import note_document
from tools.fleet import Fleet, free_address, new_node


@contextmanager
def small_fleet(directory, **agent_settings):
    """Yields the fleet, the addresses of its node and the address of the engine.

    `agent_settings` are further settings of the agent.
    """
    engine_address = free_address()
    node = new_node("n1", "sfax-medina")
    document = note_document(
        nodes={"n1": {"zone": "sfax-medina", "peer_address": node.peer_address}}
    )
    document["statement"]["engines"]["m1"]["address"] = engine_address
    with Fleet(directory) as fleet:
        fleet.start_platform()
        fleet.start_engine("m1", engine_address, tokens_per_s=500.0)
        fleet.wait_until_ready("m1", f"http://{engine_address}/v1/boot")
        fleet.publish_note(document)
        fleet.start_node(node, [], **agent_settings)
        fleet.wait_for_node(node)
        yield fleet, node, engine_address
