"""Reports of the software versions that have served lately, in messages between nodes."""

from tanagerworks.dispatch.software_versions import MIN_LIFETIME_S, VersionHistory
from tanagerworks.rpc.edge_pb2 import NodeState

# Versions in one message. A fleet with more does not share how long it has known them.
_MAX_VERSIONS = 16


def add_version_reports(state: NodeState, history: VersionHistory, now_s: float) -> None:
    """Adds how long streams may last and the versions that a node knows to a message.

    If there are too many versions, they are left out. `now_s` is event loop time, the clock of the
    history.
    """
    if history.lifetime_s > MIN_LIFETIME_S:
        state.stream_lifetime_ms = int(history.lifetime_s * 1000)
    versions = list(history.all_versions(now_s))
    if history.known_from_s is None or len(versions) > _MAX_VERSIONS:
        return
    known_for_s = min(history.lifetime_s, now_s - history.known_from_s)
    state.versions_known_ms = max(0, int(known_for_s * 1000))
    for service, version, age_s in versions:
        state.served_versions.add(service=service, version=version, age_ms=int(age_s * 1000))


def merge_version_reports(
    state: NodeState, history: VersionHistory, now_s: float, copy_confirmed_s: float
) -> None:
    """Records what a peer's message says of versions, and for how long the peer has known all.

    `now_s` is event loop time, the clock of the history. The peer knows the versions up to
    `copy_confirmed_s`, the time up to which its copy of the store has all changes.
    """
    if state.HasField("stream_lifetime_ms"):
        history.extend_lifetime(state.stream_lifetime_ms / 1000)
    for served in state.served_versions:
        if served.version not in history.present.get(served.service, ()):
            history.record_left(served.service, served.version, now_s - served.age_ms / 1000)
    if state.HasField("versions_known_ms"):
        known_for_s = min(history.lifetime_s, state.versions_known_ms / 1000)
        history.extend_back(now_s - known_for_s, copy_confirmed_s)
