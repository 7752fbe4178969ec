"""What operators may see and do at one agent; called only on its event loop."""

import asyncio
import logging

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
from tanagerworks.agent.state import AgentState
from tanagerworks.audit.trail import AuditTrail, EventKind
from tanagerworks.clock import boot_time_s
from tanagerworks.errors import ConflictError, NotReadyError
from tanagerworks.note.model import Engine, Note, Zone, ZoneState
from tanagerworks.routing.ranking import rank_engines

_LOGGER = logging.getLogger(__name__)


class AgentOperations:
    """Reports on the agent's state, and the actions of operators on it."""

    def __init__(
        self, state: AgentState, trail: AuditTrail, *, zone: str, drain_notice_s: float
    ) -> None:
        self.state = state
        self.trail = trail
        self.zone = zone
        self.drain_notice_s = drain_notice_s
        self.started_s = boot_time_s()
        self.drained_by: str | None = None
        self.stopping = False
        self._closing: asyncio.TimerHandle | None = None

    @property
    def serial(self) -> int:
        """Serial of the note in force, 0 if there is none."""
        return self.state.note.serial if self.state.note else 0

    def health(self) -> HealthReport:
        """Returns whether this node should get callers."""
        if self.state.note is None:
            return HealthReport(ok=False, reason="no release note is in force")
        if self.drained_by is not None:
            return HealthReport(ok=False, reason=f"drained by {self.drained_by}")
        if self.stopping:
            return HealthReport(ok=False, reason="the agent is shutting down")
        return HealthReport(ok=True)

    def status(self) -> StatusReport:
        """Returns what this node knows of the fleet."""
        note = self.state.note
        return StatusReport(
            node_id=self.state.node_id,
            zone=self.zone,
            incarnation=self.trail.incarnation,
            uptime_s=round(boot_time_s() - self.started_s, 3),
            serial=self.serial,
            digest=note.digest() if note else None,
            ready=self.health().ok,
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

    def begin_stop(self) -> None:
        """Makes this node not ready for good, since the agent shuts down."""
        self.stopping = True
        self.state.draining = True
        self.state.notify()

    def drain(self, who: str, reason: str) -> ActionReport:
        """Makes this node not ready, and stops new work after the notice.

        During `drain_notice_s` the load balancer learns that the node is not ready, so that
        callers need not be refused.
        """
        changed = self.drained_by is None
        if changed:
            self.drained_by = who
            self.state.draining = True
            self.state.notify()
            loop = asyncio.get_running_loop()
            self._closing = loop.call_later(self.drain_notice_s, self._close)
            self._record_action(EventKind.OPERATOR_DRAIN, who, "in service", "drained", reason)
        return self._action_report(changed)

    def undrain(self, who: str, reason: str) -> ActionReport:
        """Takes a drain back.

        Raises:
            ConflictError: the agent is shutting down.
        """
        if self.stopping:
            raise ConflictError("the agent is shutting down")
        changed = self.drained_by is not None
        if changed:
            if self._closing is not None:
                self._closing.cancel()
            self.drained_by = None
            self.state.closed = False
            self.state.draining = False
            self.state.notify()
            self._record_action(EventKind.OPERATOR_UNDRAIN, who, "drained", "in service", reason)
        return self._action_report(changed)

    def _close(self) -> None:
        self.state.closed = True

    def explain(self, customer_name: str, model_name: str, chat_key: str) -> ExplainReport:
        """Returns every stage of the decision for a chat, as it would be taken now.

        Raises:
            NotReadyError: there is no note in force.
        """
        note = self._note_in_force()
        stages: list[ExplainStage] = []
        ranking: tuple[str, ...] = ()
        chosen = None
        if _explain_admission(note, customer_name, model_name, stages):
            weights = _explain_eligibility(note, model_name, stages)
            # The router builds the same key, so that customers' chats never share one.
            ranking = tuple(rank_engines(f"{customer_name}\0{chat_key}", weights))
            chosen = self._explain_slots(note, ranking, stages)
        return ExplainReport(
            node_id=self.state.node_id,
            serial=note.serial,
            customer=customer_name,
            model=model_name,
            ranking=ranking,
            engine_id=chosen,
            stages=tuple(stages),
        )

    def register_metrics(self, meter: Meter) -> None:
        """Publishes the node's condition as gauges."""

        def serial(_options: CallbackOptions) -> list[Observation]:
            return [Observation(self.serial)]

        def ready(_options: CallbackOptions) -> list[Observation]:
            return [Observation(int(self.health().ok))]

        def used(_options: CallbackOptions) -> list[Observation]:
            return [Observation(len(self.state.ledger.used))]

        def records(_options: CallbackOptions) -> list[Observation]:
            return [Observation(self.trail.head_sequence)]

        meter.create_observable_gauge("tanager_note_serial", [serial])
        meter.create_observable_gauge("tanager_node_ready", [ready])
        meter.create_observable_gauge("tanager_slots_used", [used])
        meter.create_observable_counter("tanager_audit_records", [records])

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
            NodeStatus(node_id=node_id, zone=node.zone, peer_address=node.peer_address)
            for node_id, node in sorted(note.statement.nodes.items())
        )

    def _zones(self, note: Note) -> tuple[ZoneStatus, ...]:
        reports = []
        for name, zone in sorted(note.statement.zones.items()):
            engines = sum(1 for engine in note.statement.engines.values() if engine.zone == name)
            reports.append(
                ZoneStatus(
                    zone=name,
                    region=zone.region,
                    state=zone.state.value,
                    engines=engines,
                    eligible_engines=engines if zone.state is ZoneState.IN else 0,
                )
            )
        return tuple(reports)

    def _engines(self, note: Note) -> tuple[EngineStatus, ...]:
        scheduler, now_s = self.state.scheduler, self.state.clock()
        reports = []
        for engine_id, engine in sorted(note.statement.engines.items()):
            reports.append(
                EngineStatus(
                    engine_id=engine_id,
                    zone=engine.zone,
                    model=engine.model,
                    version=engine.version,
                    eligible=scheduler.eligible(engine_id, now_s),
                    slots=engine.slots,
                    owned_slots=scheduler.ledger.owned_count(engine_id),
                    used_slots=scheduler.ledger.running(engine_id),
                    allowance=scheduler.allowance(engine_id),
                )
            )
        return tuple(reports)

    def _customers(self, note: Note) -> tuple[CustomerStatus, ...]:
        return tuple(
            CustomerStatus(
                customer=name,
                request_class=customer.request_class,
                max_streams=customer.max_streams,
                requests_per_s=customer.requests_per_s,
                weight=customer.weight,
            )
            for name, customer in sorted(note.statement.customers.items())
        )

    def _explain_slots(
        self, note: Note, ranking: tuple[str, ...], stages: list[ExplainStage]
    ) -> str | None:
        health = self.health()
        if not health.ok:
            stages.append(ExplainStage(stage="node", passed=False, reason=health.reason))
            return None
        ledger = self.state.ledger
        for place, engine_id in enumerate(ranking, start=1):
            owned = ledger.owned_count(engine_id)
            free = ledger.free_count(engine_id, self.state.clock())
            reason = f"rank {place}: {engine_id} has {free} of {owned} own slots free"
            stages.append(ExplainStage(stage="slots", passed=free > 0, reason=reason))
            if free:
                return engine_id
        return None


def _explain_admission(
    note: Note, customer_name: str, model_name: str, stages: list[ExplainStage]
) -> bool:
    def stage(name: str, passed: bool, reason: str) -> bool:
        stages.append(ExplainStage(stage=name, passed=passed, reason=reason))
        return passed

    customer = note.statement.customers.get(customer_name)
    if customer is None:
        return stage("customer", False, f"no customer named {customer_name!r}")
    stage("customer", True, f"serial {note.serial} names the customer")
    if model_name not in note.statement.models:
        return stage("model", False, f"no model named {model_name!r}")
    if customer.models and model_name not in customer.models:
        return stage("model", False, "the customer's list of models does not name it")
    stage("model", True, "the model is in force for the customer")
    request_class = note.statement.classes[customer.request_class]
    reason = (
        f"{customer.request_class}: priority {request_class.priority}, "
        f"deadline {request_class.deadline_s:g} s, queue {request_class.max_queue}"
    )
    return stage("class", True, reason)


def _explain_eligibility(
    note: Note, model_name: str, stages: list[ExplainStage]
) -> dict[str, float]:
    weights: dict[str, float] = {}
    for engine_id, engine in sorted(note.statement.engines.items()):
        passed, reason = _engine_fits(engine, note.statement.zones[engine.zone], model_name)
        text = f"{engine_id}: {reason}"
        stages.append(ExplainStage(stage="eligible", passed=passed, reason=text))
        if passed:
            weights[engine_id] = engine.slots
    return weights


def _engine_fits(engine: Engine, zone: Zone, model_name: str) -> tuple[bool, str]:
    if engine.model != model_name:
        return False, f"serves {engine.model}"
    if zone.state is not ZoneState.IN:
        return False, f"zone {engine.zone} is {zone.state.value}"
    return True, f"zone {engine.zone} is in, weight {engine.slots}"
