"""Audit records of state changes of VMs and backend servers, and of key rotations."""

from collections.abc import Callable, Collection, Mapping
from datetime import datetime

from tanagerworks.audit.trail import AuditTrail, EventKind
from tanagerworks.membership.entries import LIVE_STATES, Liveness

_LIVE = "live"
_UNKNOWN = "unknown"


class VmAudit:
    """Writes one audit record for each change of state that the agent observes."""

    def __init__(self, trail: AuditTrail, serial: Callable[[], int]) -> None:
        self.trail = trail
        self.serial = serial
        self.leaving: frozenset[str] = frozenset()
        self.nodes: dict[str, str] = {}

    def record_leaving(self, leaving: Collection[str]) -> None:
        """Records changes of the names that the platform's VM list marks as leaving."""
        current = frozenset(leaving)
        for name in sorted(current ^ self.leaving):
            states = ("in service", "leaving") if name in current else ("leaving", "in service")
            self._record_vm_change("platform", f"vms.{name}", *states, reason="VM list")
        self.leaving = current

    def record_engine_down(self, engine_id: str, down: bool) -> None:
        """Records an engine that stopped answering probes, or answers them again."""
        states = ("up", "down") if down else ("down", "up")
        self._record_vm_change("probes", f"engines.{engine_id}", *states, reason="probes")

    def record_liveness(self, liveness: Mapping[str, Liveness]) -> None:
        """Records changes of the other nodes of the note; a suspect node counts as live.

        A node counts as dead until this process receives its first heartbeat. That change is not
        recorded, so that a start does not record the whole fleet.
        """
        current: dict[str, str] = {}
        for name, observed in sorted(liveness.items()):
            before = self.nodes.get(name, _UNKNOWN)
            state = _LIVE if observed in LIVE_STATES else observed.value
            if before == _UNKNOWN:
                current[name] = _UNKNOWN if observed is Liveness.DEAD else state
                continue
            if before != state:
                self._record_vm_change("peers", f"nodes.{name}", before, state, reason="heartbeats")
            current[name] = state
        self.nodes = current

    def record_incarnation(self, incarnation: int) -> None:
        """Records the incarnation of this process, if it differs from that of the audit chain."""
        if incarnation == self.trail.incarnation:
            return
        self.trail.record(
            EventKind.INCARNATION_RAISED,
            who="peers",
            subject=f"nodes.{self.trail.node_id}",
            serial=self.serial(),
            before=str(self.trail.incarnation),
            after=str(incarnation),
            reason="peers remember a process of this node with a higher number",
        )

    def record_peer_key(self, expires_at: datetime) -> None:
        """Records a change of the key and certificates for peer connections."""
        self.trail.record(
            EventKind.KEY_ROTATED,
            who="files",
            subject=f"nodes.{self.trail.node_id}.peer_tls",
            serial=self.serial(),
            after=f"valid until {expires_at.isoformat()}",
        )

    def _record_vm_change(
        self, who: str, subject: str, before: str, after: str, reason: str
    ) -> None:
        self.trail.record(
            EventKind.VM_CHANGED,
            who=who,
            subject=subject,
            serial=self.serial(),
            before=before,
            after=after,
            reason=reason,
        )
