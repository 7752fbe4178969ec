"""Builders of test data for the edge process: configurations, server entries, prompts, requests.

`changes` replaces the default values of the fields that it names.
"""

from tanagerworks.dispatch.cached_parts import part_key
from tanagerworks.dispatch.choice import Prompt, PromptPart
from tanagerworks.dispatch.crash_evidence import ServerCrash, Suspect, suspect_key
from tanagerworks.dispatch.dispatcher import Dispatcher, DispatchRequest, FleetBounds
from tanagerworks.membership.peer_table import Peer, PeerTable
from tanagerworks.published.model import (
    CallerLimits,
    Configuration,
    Customer,
    ExecutionSemantics,
    Route,
    ServerEntry,
    Service,
    WeightedService,
    index_routes,
)

MODEL_SERVICE = "models"
PLAIN_SERVICE = "desk"
API_KEY = "key-1"


def route(name="desk-read", **changes):
    """An idempotent route of the plain service with the path prefix `/NAME/`."""
    fields = {
        "name": name,
        "host": "host.example",
        "prefix": f"/{name}/",
        "execution": ExecutionSemantics.IDEMPOTENT,
        "streams": False,
        "resumable": False,
        "anonymous": False,
        "priority": 1,
        "max_attempts": 2,
        "timeout_s": 2.0,
        "objective_s": 0.3,
        "gap_objective_s": 0.25,
        "targets": (WeightedService(PLAIN_SERVICE, 1.0),),
    }
    return Route(**(fields | changes))


def stream_route(name="chat", **changes):
    """A route of streams that must not be retried."""
    fields = {
        "execution": ExecutionSemantics.AT_MOST_ONCE,
        "streams": True,
        "max_attempts": 1,
        "targets": (WeightedService(MODEL_SERVICE, 1.0),),
    }
    return route(name, **(fields | changes))


def non_idempotent_route(name="desk-book", **changes):
    """A route of the plain service whose requests may run at most once."""
    return route(
        name, **({"execution": ExecutionSemantics.AT_MOST_ONCE, "max_attempts": 1} | changes)
    )


def configuration(version=1, routes=None, cold_per_s=12.0, limits=None):
    """A configuration with a service of model servers and a plain service."""
    route_tuple = tuple(
        routes
        if routes is not None
        else (route(), non_idempotent_route(), stream_route(), stream_route("plan", resumable=True))
    )
    return Configuration(
        version=version,
        routes=route_tuple,
        services={
            MODEL_SERVICE: Service(MODEL_SERVICE, 400, cold_per_s, True),
            PLAIN_SERVICE: Service(PLAIN_SERVICE, 100, 0.0, False),
        },
        customers={API_KEY: Customer("customer-1", None)},
        limits=limits or CallerLimits(),
        routes_by_host=index_routes(route_tuple),
    )


def server_entry(server_id, service=MODEL_SERVICE, **changes):
    """The published entry of a server that is ready and past its cold start."""
    fields = {
        "server_id": server_id,
        "service": service,
        "host": "127.0.0.1",
        "port": 1,
        "zone": "zone-a",
        "slots": 64 if service == MODEL_SERVICE else 6,
        "leaving": False,
        "cold_s": 0.0,
        "started_ms": 1,
        "version": "v1",
    }
    return ServerEntry(**(fields | changes))


def prompt(*parts):
    """A prompt made of (id, tokens) parts."""
    return Prompt("m", tuple(PromptPart(name, size, part_key("m", name)) for name, size in parts))


def dispatch_request(call_id="call-1", service=MODEL_SERVICE, request_prompt=None, **changes):
    """A demand for a server; the properties not given are those of an ordinary request."""
    fields = {
        "call_id": call_id,
        "service": service,
        "zone": "zone-a",
        "priority": 1,
        "customer": "customer-1",
        "deadline_s": 100.0,
        "prompt": request_prompt,
    }
    return DispatchRequest(**(fields | changes))


def crash(crashed_at_s, *part_ids, in_flight_s=0.2, **changes):
    """A crash with the given parts, the first part of the prompt first, as its suspects."""
    return ServerCrash(
        crashed_at_s,
        {
            suspect_key(part_id): Suspect(depth, in_flight_s, **changes)
            for depth, part_id in enumerate(part_ids)
        },
    )


BOUNDS = FleetBounds(
    repeat_ratio=0.2, repeat_minimum=50, repeat_window_s=10.0, cold_factor=1.5, cold_extra=5.0
)


def peer(name, last_seen_s=0.0, **changes):
    """A live peer.

    Peers are told apart by name; those with names of equal length have the same address.
    """
    fields = {
        "name": name,
        "address": f"127.0.0.1:{1000 + len(name)}",
        "zone": "zone-b",
        "incarnation": 1,
        "sequence": 1,
        "last_seen_s": last_seen_s,
        "revision": 1,
        "stopping": False,
    }
    return Peer(**(fields | changes))


def dispatcher(name="node-1", servers=(), peers=(), started_s=-1000.0, initial_configuration=None):
    """A dispatcher whose directory and peer table hold the given servers and peers from time 0."""
    peer_table = PeerTable(started_s)
    for known_peer in peers:
        peer_table.record_message(known_peer)
    new_dispatcher = Dispatcher(name, BOUNDS, peer_table)
    new_dispatcher.apply_configuration(initial_configuration or configuration())
    for known_server in servers:
        new_dispatcher.directory.put(known_server, 0.0)
    return new_dispatcher
