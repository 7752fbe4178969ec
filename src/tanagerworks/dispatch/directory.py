"""All backend servers that a node knows, from published entries and the loads of its peers."""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from xxhash import xxh32_intdigest

from tanagerworks.dispatch.server_state import PeerLoad, ServerState
from tanagerworks.dispatch.software_versions import VersionHistory
from tanagerworks.published.model import ServerEntry

# Servers whose entries expired during an outage of the store register again within this time after
# its end. Until then, a missing entry does not prove that its server has stopped.
REREGISTRATION_S = 2.0
# Operators write again within this time what a restored store has lost. Until then, a missing
# item does not prove that a zone is back in service.
OPERATOR_REWRITE_S = 5.0

# Processes that are remembered after their removal, the latest ones.
_MAX_REMOVED_PROCESSES = 1_024
# Prefix of the name under which the load of another zone is recorded; no node has it.
_ZONE_PREFIX = "zone/"


def server_key(server_id: str) -> int:
    """Returns the 32-bit hash that identifies a server in summaries of zones."""
    return xxh32_intdigest(server_id.encode())


@dataclass(frozen=True, slots=True)
class ServerProcess:
    """One process of a server, as its entry names it; `started_ms` is Unix time."""

    server_id: str
    started_ms: int | None


@dataclass(frozen=True, slots=True)
class ReplacedProcess:
    """A process in whose place, under the same id, another one of another software version runs.

    `since_s` is the earliest time at which the store can have taken the entry of the new process.
    """

    process: ServerProcess
    since_s: float


def process_of(entry: ServerEntry) -> ServerProcess:
    """Returns the process that an entry describes."""
    return ServerProcess(entry.server_id, entry.started_ms)


@dataclass(frozen=True, slots=True)
class _HeldDeletion:
    # Also the key in `Directory.held_deletions`.
    server_id: str
    until_s: float


class Directory:
    """Backend servers by id, and availability zones that are out of service."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerState] = {}
        # Time up to which all published changes are certain to have been applied, and the same by
        # what has arrived from the store and from peers, which may have been delayed.
        self.confirmed_s = float("-inf")
        self.estimated_s = float("-inf")
        self.by_service: dict[str, list[ServerState]] = {}
        self.zones_out: set[str] = set()
        # Earliest time at which the store can have acknowledged that a zone is out of service;
        # -infinity if unknown.
        self.zone_out_since_s: dict[str, float] = {}
        # States by `server_key`.
        self.by_key: dict[int, ServerState] = {}
        # Names under which the loads of other zones are recorded.
        self.zone_names: set[str] = set()
        # Ids of the servers at which each peer has requests in progress, as it last reported.
        self.servers_by_peer: dict[str, set[str]] = {}
        self.versions = VersionHistory()
        self.held_deletions: dict[str, _HeldDeletion] = {}
        self.hold_deletions_until_s = float("-inf")
        # Zones out of service that the store has lost, and until when they stay out.
        self.held_zone_returns: dict[str, float] = {}
        # Removed servers at which this node still has requests in progress. The entry of a server
        # that is only slow to renew it expires, but comes back.
        self.removed_servers: dict[str, ServerState] = {}
        # Removed processes that said that they leave or want no requests for a time. An entry may
        # expire and come back while that holds.
        self.removed_processes: dict[tuple[str, int], ServerState] = {}
        # Not yet taken into account for the origins of streams.
        self.replaced_processes: deque[ReplacedProcess] = deque(maxlen=_MAX_REMOVED_PROCESSES)

    def hold_deletions(self, now_s: float) -> None:
        """Delays deletions for `REREGISTRATION_S` from now, the end of an outage of the store."""
        self.hold_deletions_until_s = now_s + REREGISTRATION_S

    @property
    def copy_as_of_s(self) -> float:
        """Time up to which published changes have been applied, as far as this node can tell."""
        return max(self.confirmed_s, self.estimated_s)

    def record_suspension(self, suspended_s: float) -> None:
        """Moves recorded times back after a time that the clock of this node has left out."""
        self.confirmed_s -= suspended_s
        self.estimated_s -= suspended_s
        for zone in self.zone_out_since_s:
            self.zone_out_since_s[zone] -= suspended_s
        for state in (*self.servers.values(), *self.removed_processes.values()):
            state.record_suspension(suspended_s)

    def put_zone_out(self, zone: str, acknowledged_after_s: float | None = None) -> None:
        """Takes a zone out of service.

        The store cannot have acknowledged that before `acknowledged_after_s`, by default the time
        up to which all changes have been applied.
        """
        self.held_zone_returns.pop(zone, None)
        if acknowledged_after_s is None:
            acknowledged_after_s = self._change_since_s()
        if zone not in self.zones_out:
            self.zone_out_since_s[zone] = acknowledged_after_s
        self.zones_out.add(zone)

    def return_zone(self, zone: str) -> None:
        """Puts a zone back in service."""
        self.held_zone_returns.pop(zone, None)
        self.zones_out.discard(zone)
        self.zone_out_since_s.pop(zone, None)

    def hold_zone_return(self, zone: str, now_s: float) -> None:
        """Keeps a zone that the store has lost out of service for `OPERATOR_REWRITE_S`."""
        self.held_zone_returns[zone] = now_s + OPERATOR_REWRITE_S

    def apply_held_returns(self, now_s: float) -> list[str]:
        """Puts the zones back in service whose held return is due; returns their names."""
        due = [zone for zone, until_s in self.held_zone_returns.items() if now_s >= until_s]
        for zone in due:
            self.return_zone(zone)
        return due

    def _change_since_s(self) -> float:
        """Returns the earliest time at which the store can have taken a change not yet applied."""
        return self.confirmed_s

    def put(
        self, entry: ServerEntry, now_s: float, acknowledged_after_s: float | None = None
    ) -> str:
        """Applies a published entry; `acknowledged_after_s` is that of `put_zone_out`.

        Returns what changed as one word for the log: "new" for an unknown server, even if it is
        already leaving, "updated" also for one that was removed in the meantime but still runs
        requests of this node, "restarted" for another process of a known one, "leaving" for a known
        process that starts to leave, and "updated" otherwise, also for a change of the service.
        """
        self.held_deletions.pop(entry.server_id, None)
        self._restore(entry, now_s)
        if acknowledged_after_s is None:
            acknowledged_after_s = self._change_since_s()
        known = self.servers.get(entry.server_id)
        if known is not None and known.entry.started_ms == entry.started_ms:
            moved = (known.entry.service, known.entry.version) != (entry.service, entry.version)
            was_leaving = known.entry.leaving
            if entry.cold_s > 0.0 and entry.cold_s != known.entry.cold_s:
                known.cold_until_s = now_s + entry.cold_s
            if entry.leaving and known.entry_leaving_since_s is None:
                known.entry_leaving_since_s = acknowledged_after_s
            known.entry = entry
            known.removed = False
            if moved:
                self._rebuild_index(now_s)
            return "leaving" if entry.leaving and not was_leaving else "updated"
        state = ServerState(entry, now_s + entry.cold_s)
        if entry.leaving:
            # The entry of a process that this node does not know may have expired and come back.
            state.entry_leaving_since_s = float("-inf")
        self._restore_statements(state, acknowledged_after_s)
        if known is not None:
            for peer, load in known.peer_loads.items():
                state.set_peer_load(peer, load)
            known.removed = True
            if known.entry.version != entry.version:
                self.replaced_processes.append(
                    ReplacedProcess(process_of(known.entry), acknowledged_after_s)
                )
        self.servers[entry.server_id] = state
        self._rebuild_index(now_s)
        return "new" if known is None else "restarted"

    def _restore(self, entry: ServerEntry, now_s: float) -> None:
        """Adds a removed server with its counts if the entry is that of the same process."""
        removed = self.removed_servers.pop(entry.server_id, None)
        if removed is None or removed.entry.started_ms != entry.started_ms:
            return
        removed.cold_until_s = max(removed.cold_until_s, now_s + entry.cold_s)
        self.servers[entry.server_id] = removed
        self._rebuild_index(now_s)

    def delete(self, server_id: str, now_s: float) -> str:
        """Applies the deletion of an entry, or holds it after an outage of the store.

        Returns what changed as one word for the log: "gone", "held" or "unknown".
        """
        if server_id not in self.servers:
            return "unknown"
        if now_s < self.hold_deletions_until_s:
            self.held_deletions[server_id] = _HeldDeletion(server_id, self.hold_deletions_until_s)
            return "held"
        self._remove(server_id, now_s)
        return "gone"

    def apply_held_deletions(self, now_s: float) -> list[str]:
        """Removes the servers whose held deletion is due; returns their ids."""
        due = [held.server_id for held in self.held_deletions.values() if now_s >= held.until_s]
        for server_id in due:
            del self.held_deletions[server_id]
            self._remove(server_id, now_s)
        return due

    def _remove(self, server_id: str, now_s: float) -> None:
        state = self.servers.pop(server_id)
        state.removed = True
        self._keep_statements(state)
        self.removed_servers[server_id] = state
        self.removed_servers = {
            removed_id: removed
            for removed_id, removed in self.removed_servers.items()
            if removed.running
        }
        self._rebuild_index(now_s)

    def _keep_statements(self, state: ServerState) -> None:
        """Remembers what a removed process has said, if its entry tells processes apart."""
        started_ms = state.entry.started_ms
        if started_ms is None:
            return
        if not state.leaving and not state.resume_allowance:
            return
        self.removed_processes[state.server_id, started_ms] = state
        if len(self.removed_processes) > _MAX_REMOVED_PROCESSES:
            del self.removed_processes[next(iter(self.removed_processes))]

    def _restore_statements(self, state: ServerState, acknowledged_after_s: float) -> None:
        """Applies what a process said before its entry was removed."""
        if state.entry.started_ms is None:
            return
        removed = self.removed_processes.pop((state.server_id, state.entry.started_ms), None)
        if removed is None:
            return
        state.leaving_said_at_s = removed.leaving_said_at_s
        state.entry_leaving_since_s = removed.entry_leaving_since_s
        if state.entry.leaving and state.entry_leaving_since_s is None:
            state.entry_leaving_since_s = acknowledged_after_s
        if removed.resume_allowance:
            state.record_pause(removed.paused_until_s, removed.pause_said_at_s)

    def _rebuild_index(self, now_s: float) -> None:
        self.by_service = {}
        self.by_key = {server_key(server_id): state for server_id, state in self.servers.items()}
        versions: dict[str, set[str]] = {}
        for state in self.servers.values():
            self.by_service.setdefault(state.entry.service, []).append(state)
            versions.setdefault(state.entry.service, set()).add(state.entry.version)
        self.versions.set_present(versions, now_s)

    def set_peer_loads(self, peer: str, loads: Mapping[str, PeerLoad]) -> None:
        """Replaces the loads of `peer`, by server id; an empty mapping removes all its loads."""
        for server_id in self.servers_by_peer.get(peer, set()) - loads.keys():
            state = self.servers.get(server_id)
            if state is not None:
                state.set_peer_load(peer, None)
        for server_id, load in loads.items():
            state = self.servers.get(server_id)
            if state is not None:
                state.set_peer_load(peer, load)
        if loads:
            self.servers_by_peer[peer] = set(loads)
        else:
            self.servers_by_peer.pop(peer, None)

    def set_zone_loads(
        self, zone: str, loads: Mapping[int, PeerLoad], part: int = 0, parts: int = 1
    ) -> None:
        """Replaces the load of another zone at the servers of one part, by server key.

        A server is in the part that is the remainder of its key divided by `parts`. The load of a
        zone is always replaced, never added to, so that no node counts twice.
        """
        name = _ZONE_PREFIX + zone
        self.zone_names.add(name)
        for key, state in self.by_key.items():
            if key % parts == part:
                state.set_peer_load(name, loads.get(key))

    def own_zone_loads(self) -> dict[int, PeerLoad]:
        """Returns the load of this node and the peers in its zone, by server key."""
        loads = {}
        for key, state in self.by_key.items():
            load = state.load_except(self.zone_names)
            if load.running > 0:
                loads[key] = load
        return loads

    def is_out_of_service(self, state: ServerState) -> bool:
        """Whether a server is leaving or in a zone out of service."""
        return state.leaving or state.entry.zone in self.zones_out

    def usable_servers(self, service: str, now_s: float) -> Iterator[ServerState]:
        """Yields the servers of a service that may get new work, whatever their load.

        Not usable are those that are leaving, removed, ejected, or in a zone out of service.
        """
        for state in self.by_service.get(service, ()):
            if state.leaving or state.removed:
                continue
            if state.entry.zone in self.zones_out:
                continue
            if state.is_ejected(now_s):
                continue
            yield state
