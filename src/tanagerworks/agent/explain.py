"""Explains how this node would route a chat now, stage by stage, without claiming a slot."""

from collections.abc import Sequence

from tanagerworks.agent.admin_models import ExplainReport, ExplainStage
from tanagerworks.errors import ModelNotFoundError
from tanagerworks.note.index import ModelVersion, NoteIndex
from tanagerworks.note.model import Customer, Note
from tanagerworks.routing.claims import Claim
from tanagerworks.routing.eligibility import Ineligible
from tanagerworks.routing.placement import Candidate, PlacementRule
from tanagerworks.routing.ranking import chat_hash, rank_engines
from tanagerworks.routing.scheduler import NodeScheduler


class Explanation:
    """The stages of one routing decision, in the order in which a request passes them."""

    def __init__(self, scheduler: NodeScheduler, note: Note, now_s: float) -> None:
        self.scheduler = scheduler
        self.note = note
        self.now_s = now_s
        self.stages: list[ExplainStage] = []
        self.ranking: Sequence[str] = ()
        self.way: PlacementRule | None = None
        self.engine_id: str | None = None

    def trace_chat(
        self, customer_name: str, model_name: str, chat_key: str, prompt_tokens: int = 0
    ) -> None:
        """Evaluates the stages for a chat until one of them refuses it.

        `prompt_tokens` is the length of the prefix that an engine other than the first choice
        would have to recompute.
        """
        statement = self.note.statement
        customer = statement.customers.get(customer_name)
        if customer is None:
            self._add_stage("customer", False, f"no customer named {customer_name!r}")
            return
        self._add_stage("customer", True, f"serial {self.note.serial} names the customer")
        # As in the router, the customer's name keeps equal chat keys of two customers apart.
        full_key = f"{customer_name}\0{chat_key}"
        try:
            resolved = NoteIndex(self.note).resolve_model(model_name, customer, full_key)
        except ModelNotFoundError as error:
            self._add_stage("model", False, error.message)
            return
        self._add_stage("model", True, f"{resolved.model} version {resolved.version}")
        request_class = statement.classes[customer.request_class]
        self._add_stage(
            "class",
            True,
            f"{customer.request_class}: priority {request_class.priority}, "
            f"deadline {request_class.deadline_s:g} s, queue {request_class.max_queue}",
        )
        if not self._check_limits(customer_name, customer):
            return
        weights = self._eligible_weights(resolved)
        self.ranking = rank_engines(full_key, weights)
        if not self.ranking:
            self._add_stage("rank", False, "no engine of the model's version is in service")
            return
        self._add_stage("rank", True, f"first choice {self.ranking[0]} of {len(self.ranking)}")
        self._preview_placement(customer_name, customer, chat_hash(full_key), prompt_tokens)

    def build_report(self, node_id: str, customer: str, model: str) -> ExplainReport:
        """Returns the evaluated stages and the placement as the published report."""
        return ExplainReport(
            node_id=node_id,
            serial=self.note.serial,
            customer=customer,
            model=model,
            ranking=tuple(self.ranking),
            way=self.way.value if self.way else None,
            engine_id=self.engine_id,
            stages=tuple(self.stages),
        )

    def _add_stage(self, stage: str, passed: bool, reason: str) -> bool:
        self.stages.append(ExplainStage(stage=stage, passed=passed, reason=reason))
        return passed

    def _check_limits(self, name: str, customer: Customer) -> bool:
        limits = self.scheduler.limits
        nodes = self.scheduler.live_node_count(self.note.statement)
        allowed = limits.stream_limit(customer, nodes)
        use = limits.customers.get(name)
        running = use.running if use else 0
        reason = f"{running} of {allowed} streams that this node allows"
        return self._add_stage("limits", running < allowed, reason)

    def _eligible_weights(self, resolved: ModelVersion) -> dict[str, float]:
        weights: dict[str, float] = {}
        for engine_id, engine in sorted(self.note.statement.engines.items()):
            if (engine.model, engine.version) != (resolved.model, resolved.version):
                continue
            why_not = self.scheduler.ineligible_reason(engine_id, self.now_s)
            if why_not:
                if why_not == Ineligible.ZONE.value:
                    why_not = f"the zone is {self.note.statement.zones[engine.zone].state.value}"
                self._add_stage("eligible", False, f"{engine_id} in {engine.zone}: {why_not}")
                continue
            weights[engine_id] = engine.slots
            allowance = self.scheduler.allowance(engine_id)
            reason = f"slots below {allowance} of {engine.slots} may be used"
            self._add_stage("eligible", True, f"{engine_id} in {engine.zone}: {reason}")
        return weights

    def _preview_placement(
        self, name: str, customer: Customer, hashed_chat_key: int, prompt_tokens: int
    ) -> None:
        engines = self.note.statement.engines
        candidates = [Candidate(self.ranking[0])]
        for engine_id in self.ranking[1:]:
            recompute_s = prompt_tokens / engines[engine_id].prefill_tokens_per_s
            candidates.append(Candidate(engine_id, recompute_s))
        request_class = self.note.statement.classes[customer.request_class]
        claim = Claim(
            claim_id="explain",
            holder="explain",
            customer=name,
            request_class=customer.request_class,
            deadline_s=self.now_s + request_class.deadline_s,
            candidates=candidates,
            arrived_at_s=self.now_s,
            chat_hash=hashed_chat_key,
            explain=True,
        )
        placement = self.scheduler.preview_placement(claim, self.now_s)
        passed = placement is not None and placement.rule is not PlacementRule.WAIT
        for step in claim.trace:
            stage, _, reason = step.partition(": ")
            self._add_stage(stage, passed, reason)
        if placement is not None:
            self.way, self.engine_id = placement.rule, placement.wanted_slots[0][0]
