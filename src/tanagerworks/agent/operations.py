"""Status reports and operator actions of one agent; called only on its event loop."""

import asyncio
import logging
from typing import Any

from opentelemetry.metrics import CallbackOptions, Meter, Observation

from tanagerworks.agent.admin_models import (
    ActionReport,
    CustomerStatus,
    EngineStatus,
    ExplainReport,
    ExplainStage,
    HealthReport,
    NodeStatus,
    NoteReport,
    StatusReport,
    ZoneStatus,
)
from tanagerworks.agent.explain import Explanation
from tanagerworks.agent.state import AgentState
from tanagerworks.audit.trail import AuditTrail, EventKind
from tanagerworks.clock import boot_time_s
from tanagerworks.errors import ConflictError, NotReadyError
from tanagerworks.membership.table import NodeTable
from tanagerworks.note.model import Note
from tanagerworks.rpc.tanager_pb2 import NodeEntry

_LOGGER = logging.getLogger(__name__)


class AgentOperations:
    """Reports the agent's state and carries out the actions of operators."""

    def __init__(
        self,
        state: AgentState,
        trail: AuditTrail,
        *,
        zone: str,
        drain_notice_s: float,
        table: NodeTable | None = None,
    ) -> None:
        self.state = state
        self.trail = trail
        self.zone = zone
        self.table = table
        self.drain_notice_s = drain_notice_s
        self.started_at_s = boot_time_s()
        self.drained_by: str | None = None
        self.stopping = False
        self._refusal_timer: asyncio.TimerHandle | None = None

    @property
    def serial(self) -> int:
        """Serial of the note in force, 0 if there is none."""
        return self.state.note.serial if self.state.note else 0

    def health(self) -> HealthReport:
        """Returns whether callers should be sent to this node, and the reason if not."""
        if self.state.note is None:
            return HealthReport(ok=False, reason="no release note is in force")
        if self.drained_by is not None:
            return HealthReport(ok=False, reason=f"drained by {self.drained_by}")
        if self.stopping:
            return HealthReport(ok=False, reason="the agent is shutting down")
        return HealthReport(ok=True)

    def status(self) -> StatusReport:
        """Returns this node's view of the fleet."""
        note = self.state.note
        return StatusReport(
            node_id=self.state.node_id,
            zone=self.zone,
            incarnation=self.state.incarnation,
            uptime_s=round(boot_time_s() - self.started_at_s, 3),
            serial=self.serial,
            digest=note.digest() if note else None,
            ready=self.health().ok,
            slots_on_hold=self.state.ledger.is_on_hold(self.state.clock()),
            drained_by=self.drained_by,
            stopping=self.stopping,
            audit_sequence=self.trail.head_sequence,
            audit_export_failures=self.trail.export_failures,
            nodes=self._nodes(note) if note else (),
            zones=self._zones(note) if note else (),
            engines=self._engines(note) if note else (),
            customers=self._customers(note) if note else (),
        )

    def note(self) -> NoteReport:
        """Returns the note in force.

        Raises:
            NotReadyError: there is none.
        """
        note = self._note_in_force()
        return NoteReport(
            serial=note.serial,
            digest=note.digest(),
            statement=note.statement.model_dump(mode="json"),
        )

    def mark_stopping(self) -> None:
        """Makes this node permanently not ready, because the agent is shutting down."""
        self.stopping = True
        self.state.draining = True
        self.state.notify_watchers()

    def drain(self, who: str, reason: str) -> ActionReport:
        """Makes this node not ready, and refuses new work after `drain_notice_s`.

        In this time the load balancer notices that the node is not ready, so that callers need
        not be refused.
        """
        changed = self.drained_by is None
        if changed:
            self.drained_by = who
            self.state.draining = True
            self.state.notify_watchers()
            loop = asyncio.get_running_loop()
            self._refusal_timer = loop.call_later(self.drain_notice_s, self._refuse_claims)
            self._record_action(EventKind.OPERATOR_DRAIN, who, "in service", "drained", reason)
        return self._action_report(changed)

    def undrain(self, who: str, reason: str) -> ActionReport:
        """Reverts a drain.

        Raises:
            ConflictError: the agent is shutting down.
        """
        if self.stopping:
            raise ConflictError("the agent is shutting down")
        changed = self.drained_by is not None
        if changed:
            if self._refusal_timer is not None:
                self._refusal_timer.cancel()
            self.drained_by = None
            self.state.refuses_claims = False
            self.state.draining = False
            self.state.notify_watchers()
            self._record_action(EventKind.OPERATOR_UNDRAIN, who, "drained", "in service", reason)
        return self._action_report(changed)

    def _refuse_claims(self) -> None:
        self.state.refuses_claims = True

    def explain(
        self, customer_name: str, model_name: str, chat_key: str, prompt_tokens: int = 0
    ) -> ExplainReport:
        """Returns every stage of the routing decision for a chat, as it would be made now.

        Raises:
            NotReadyError: there is no note in force.
        """
        note = self._note_in_force()
        explanation = Explanation(self.state.scheduler, note, self.state.clock())
        health = self.health()
        if health.ok:
            explanation.trace_chat(customer_name, model_name, chat_key, prompt_tokens)
        else:
            explanation.stages.append(
                ExplainStage(stage="node", passed=False, reason=health.reason)
            )
        return explanation.build_report(self.state.node_id, customer_name, model_name)

    def register_metrics(self, meter: Meter) -> None:
        """Registers the gauges and counters of the node's state."""

        def serial(_options: CallbackOptions) -> list[Observation]:
            return [Observation(self.serial)]

        def ready(_options: CallbackOptions) -> list[Observation]:
            return [Observation(int(self.health().ok))]

        def used(_options: CallbackOptions) -> list[Observation]:
            return [Observation(len(self.state.ledger.grants))]

        def records(_options: CallbackOptions) -> list[Observation]:
            return [Observation(self.trail.head_sequence)]

        meter.create_observable_gauge(
            "tanager_note_serial", [serial], description="Serial of the note in force."
        )
        meter.create_observable_gauge(
            "tanager_node_ready", [ready], description="1 while this node takes callers."
        )
        meter.create_observable_gauge(
            "tanager_slots_used", [used], description="Slots in use by this node's routers."
        )
        meter.create_observable_counter(
            "tanager_audit_records", [records], description="Audit records of this process."
        )

    def _note_in_force(self) -> Note:
        if self.state.note is None:
            raise NotReadyError("no release note is in force")
        return self.state.note

    def _record_action(
        self, kind: EventKind, who: str, before: str, after: str, reason: str
    ) -> None:
        self.trail.record(
            kind,
            who=who,
            subject=f"nodes.{self.state.node_id}",
            serial=self.serial,
            before=before,
            after=after,
            reason=reason,
        )
        _LOGGER.info("operator action", extra={"action": kind.value, "who": who})

    def _action_report(self, changed: bool) -> ActionReport:
        return ActionReport(
            node_id=self.state.node_id,
            ready=self.health().ok,
            drained_by=self.drained_by,
            changed=changed,
        )

    def _nodes(self, note: Note) -> tuple[NodeStatus, ...]:
        return tuple(
            NodeStatus(
                node_id=node_id,
                zone=node.zone,
                peer_address=node.peer_address,
                **self._node_state(node_id),
            )
            for node_id, node in sorted(note.statement.nodes.items())
        )

    def _node_state(self, node_id: str) -> dict[str, Any]:
        if node_id == self.state.node_id:
            return {
                "state": "self",
                "incarnation": self.state.incarnation,
                "serial": self.serial,
                "running": len(self.state.ledger.grants),
            }
        if self.table is None:
            return {}
        fields: dict[str, Any] = {"state": self.table.liveness(node_id, self.state.clock()).value}
        member = self.table.members.get(node_id)
        if member is not None:
            entry = NodeEntry.FromString(member.entry.payload)
            fields["incarnation"] = member.entry.incarnation
            fields["serial"] = entry.note_serial
            fields["running"] = entry.running
        return fields

    def _zones(self, note: Note) -> tuple[ZoneStatus, ...]:
        scheduler, now_s = self.state.scheduler, self.state.clock()
        reports = []
        for name, zone in sorted(note.statement.zones.items()):
            engines = [e for e, engine in note.statement.engines.items() if engine.zone == name]
            reports.append(
                ZoneStatus(
                    zone=name,
                    region=zone.region,
                    state=zone.state.value,
                    engines=len(engines),
                    eligible_engines=sum(scheduler.is_eligible(e, now_s) for e in engines),
                )
            )
        return tuple(reports)

    def _engines(self, note: Note) -> tuple[EngineStatus, ...]:
        scheduler, now_s = self.state.scheduler, self.state.clock()
        reports = []
        for engine_id, engine in sorted(note.statement.engines.items()):
            own = scheduler.ledger.running_count(engine_id)
            reports.append(
                EngineStatus(
                    engine_id=engine_id,
                    zone=engine.zone,
                    model=engine.model,
                    version=engine.version,
                    eligible=scheduler.is_eligible(engine_id, now_s),
                    why_not=scheduler.ineligible_reason(engine_id, now_s),
                    slots=engine.slots,
                    owned_slots=scheduler.ledger.owned_count(engine_id),
                    free_slots=scheduler.ledger.free_count(engine_id, now_s),
                    used_slots=own,
                    allowance=scheduler.allowance(engine_id),
                    boot_id=scheduler.cold_starts.boot_id(engine_id) or None,
                    warm_answers=scheduler.cold_starts.answer_count(engine_id),
                    running=own + scheduler.running_counts.total_running(engine_id),
                )
            )
        return tuple(reports)

    def _customers(self, note: Note) -> tuple[CustomerStatus, ...]:
        limits = self.state.scheduler.limits
        reports = []
        for name, customer in sorted(note.statement.customers.items()):
            use = limits.customers.get(name)
            reports.append(
                CustomerStatus(
                    customer=name,
                    request_class=customer.request_class,
                    max_streams=customer.max_streams,
                    requests_per_s=customer.requests_per_s,
                    weight=customer.weight,
                    streams=use.running if use else 0,
                )
            )
        return tuple(reports)
