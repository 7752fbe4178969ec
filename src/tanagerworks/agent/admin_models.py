"""Documents of the administration port; their JSON schema is published under ``/schema``.

Fields that are None are not known to this node. Durations are seconds with the suffix ``_s``.
"""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from tanagerworks.audit.trail import AuditRecord, TrailExport


class AdminModel(BaseModel):
    """Base of the published documents; readers pass over fields that a newer agent adds."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class NodeStatus(AdminModel):
    """An entry VM as this node knows it."""

    node_id: str
    zone: str
    peer_address: str
    # alive, suspect, dead, stopped, or self.
    state: str | None = None
    incarnation: int | None = None
    serial: int | None = None
    # As last reported by the node.
    running: int | None = None


class ZoneStatus(AdminModel):
    """An availability zone and the engines in it."""

    zone: str
    region: str
    state: str
    engines: int
    eligible_engines: int


class EngineStatus(AdminModel):
    """An engine with this node's share of its slots, its load and its warmth."""

    engine_id: str
    zone: str
    model: str
    version: str
    eligible: bool
    why_not: str | None = None
    slots: int
    owned_slots: int
    # Own slots that may be used now; 0 while the node is on hold after its start.
    free_slots: int
    used_slots: int
    allowance: int
    boot_id: str | None = None
    warm_answers: int | None = None
    # Requests of all nodes that report to this one.
    running: int | None = None
    # Share of prompt tokens found in the engine's cache.
    cache_reuse: float | None = None


class CustomerStatus(AdminModel):
    """A customer's fleet-wide limits and its use at this node."""

    customer: str
    request_class: str
    max_streams: int
    requests_per_s: float
    weight: float
    streams: int


class StatusReport(AdminModel):
    """What one node knows of the fleet."""

    node_id: str
    zone: str
    incarnation: int
    uptime_s: float
    serial: int
    digest: str | None
    ready: bool
    # Own slots wait until no work of an earlier process of this node can still run.
    slots_on_hold: bool
    drained_by: str | None
    stopping: bool
    audit_sequence: int
    audit_export_failures: int
    nodes: tuple[NodeStatus, ...]
    zones: tuple[ZoneStatus, ...]
    engines: tuple[EngineStatus, ...]
    customers: tuple[CustomerStatus, ...]


class NoteReport(AdminModel):
    """The note in force."""

    serial: int
    digest: str
    statement: dict[str, Any]


class ExplainStage(AdminModel):
    """One stage of a routing decision, whether it lets the request through, and why."""

    stage: str
    passed: bool
    reason: str


class ExplainReport(AdminModel):
    """How this node would route a chat now; nothing is claimed and nothing is sent."""

    node_id: str
    serial: int
    customer: str
    model: str
    ranking: tuple[str, ...]
    # own, borrow or wait; None when the chat would be refused.
    way: str | None
    engine_id: str | None
    stages: tuple[ExplainStage, ...]


class ActionRequest(AdminModel):
    """Body of ``/drain`` and ``/undrain``."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    reason: str = Field(default="", max_length=400)


class ActionReport(AdminModel):
    """Result of an action; `changed` is False when the node was already in the state."""

    node_id: str
    ready: bool
    drained_by: str | None
    changed: bool


class EventsReport(AdminModel):
    """Audit records above the position that was asked for; `incarnation` dates the position."""

    node_id: str
    incarnation: int
    head_sequence: int
    records: tuple[AuditRecord, ...]


class HealthReport(AdminModel):
    """Answer of ``/livez`` and ``/readyz``."""

    ok: bool
    reason: str = ""


class ErrorDetail(AdminModel):
    """A refusal: `code` is stable, `outcome` says whether an action was executed."""

    message: str
    type: str
    code: str
    param: str | None = None
    outcome: str


class ErrorReport(AdminModel):
    """Body of every answer with an error status."""

    error: ErrorDetail


PUBLISHED: dict[str, type[BaseModel]] = {
    "GET /admin/v1/status": StatusReport,
    "GET /admin/v1/note": NoteReport,
    "GET /admin/v1/explain": ExplainReport,
    "GET /admin/v1/audit": TrailExport,
    "GET /admin/v1/events": EventsReport,
    "POST /admin/v1/drain": ActionReport,
    "POST /admin/v1/undrain": ActionReport,
    "GET /livez": HealthReport,
    "GET /readyz": HealthReport,
    "error": ErrorReport,
}


def published_schema() -> dict[str, Any]:
    """Returns the JSON schema of every document, by call."""
    return {
        "documents": {call: model.model_json_schema() for call, model in PUBLISHED.items()},
        "action_request": ActionRequest.model_json_schema(),
    }
