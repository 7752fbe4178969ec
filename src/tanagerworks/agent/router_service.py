"""Serves the routers on the node's VM over gRPC."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable

from grpc.aio import ServicerContext

from tanagerworks.agent.state import AgentState
from tanagerworks.errors import NotReadyError
from tanagerworks.routing.claims import Claim, Evidence, Refused
from tanagerworks.routing.placement import Candidate
from tanagerworks.routing.slots import SlotId
from tanagerworks.rpc.tanager_pb2 import (
    ClaimReply,
    ClaimRequest,
    Ended,
    RefreshRequest,
    ReleaseReply,
    ReleaseRequest,
    Slot,
    View,
    WatchRequest,
)
from tanagerworks.rpc.tanager_pb2_grpc import NodeAgentServicer

# Routers consider the agent lost when their view gets too old, so views are sent this often.
VIEW_PERIOD_S = 0.5
# A refusal for a missed deadline is sent this long before the deadline, so that it arrives before
# the router's own timeout.
REPLY_MARGIN_S = 0.1


class RouterService(NodeAgentServicer):
    """gRPC service of the agent for the routers on its VM."""

    def __init__(
        self, state: AgentState, ensure_fresh: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        self.state = state
        # Awaited before a view of an open watch is sent; returns at once unless the process paused.
        self.ensure_fresh = ensure_fresh
        # Open watches by router process.
        self.open_watches: Counter[str] = Counter()

    async def Watch(  # noqa: N802 - the name is fixed by the gRPC service
        self, request: WatchRequest, context: ServicerContext
    ) -> AsyncIterator[View]:
        """Sends a view at once, on every change and at least every `VIEW_PERIOD_S`.

        The stream ends when the agent stops; otherwise the server would wait for it until the end
        of its grace period. A router process is considered lost when its last stream ends.
        """
        now_s = self.state.clock()
        for slot in request.held:
            slot_id = SlotId(slot.engine_id, slot.index)
            self.state.scheduler.restore_grant(slot_id, slot.grant_id, request.instance_id, now_s)
        self.open_watches[request.instance_id] += 1
        serial = request.note_serial
        try:
            while not self.state.stopping.is_set():
                if self.ensure_fresh is not None:
                    await self.ensure_fresh()
                changed = self.state.changed
                view = self.state.build_view(serial)
                serial = view.note_serial
                yield view
                try:
                    await asyncio.wait_for(changed.wait(), VIEW_PERIOD_S)
                except TimeoutError:
                    continue
        finally:
            self.open_watches[request.instance_id] -= 1
            if not self.open_watches[request.instance_id]:
                del self.open_watches[request.instance_id]
                self.state.scheduler.mark_holder_lost(request.instance_id, self.state.clock())

    async def Refresh(  # noqa: N802
        self, request: RefreshRequest, context: ServicerContext
    ) -> View:
        """Returns the view; `PauseInterceptor` refreshes an old state before."""
        return self.state.build_view(request.note_serial)

    async def Claim(  # noqa: N802
        self, request: ClaimRequest, context: ServicerContext
    ) -> ClaimReply:
        """Waits for a slot until the deadline; cancelling the call removes the claim."""
        arrived_at_s = self.state.clock()
        if self.state.refuses_claims:
            return ClaimReply(
                refusal=NotReadyError.code,
                reason="the node takes no new work",
                retry_after_s=NotReadyError.retry_after_s or 0.0,
            )
        claim = Claim(
            claim_id=f"{request.instance_id}/{request.request_id}",
            holder=request.instance_id,
            customer=request.customer,
            request_class=request.request_class,
            deadline_s=arrived_at_s + request.deadline_s - REPLY_MARGIN_S,
            candidates=[Candidate(item.engine_id, item.rebuild_s) for item in request.candidates],
            arrived_at_s=arrived_at_s,
            chat_hash=request.chat_hash,
            explain=request.explain,
        )
        decision = await self.state.claim_slot(claim)
        if isinstance(decision, Refused):
            return ClaimReply(
                refusal=decision.error.code,
                reason=decision.reason,
                retry_after_s=decision.retry_after_s,
                trace=claim.trace,
            )
        grant = decision.grant
        return ClaimReply(
            slot=Slot(
                engine_id=grant.slot.engine_id, index=grant.slot.index, grant_id=grant.grant_id
            ),
            boot_id=decision.boot_id,
            # The router counts from when it sent the claim, which is before the claim arrived here.
            start_by_s=grant.start_by_s - arrived_at_s,
            max_work_s=grant.max_work_s,
            cold=decision.cold,
            trace=claim.trace,
        )

    async def Release(  # noqa: N802
        self, request: ReleaseRequest, context: ServicerContext
    ) -> ReleaseReply:
        """Releases the slots of requests that ended and applies the evidence about engines."""
        for ended in request.ended:
            slot = SlotId(ended.slot.engine_id, ended.slot.index)
            self.state.release_slot(slot, ended.slot.grant_id, _parse_evidence(ended))
        return ReleaseReply()


def _parse_evidence(ended: Ended) -> Evidence | None:
    message = ended.evidence
    if not message.engine_id:
        return None
    return Evidence(
        engine_id=message.engine_id,
        boot_id=message.boot_id,
        whole=message.whole,
        first_token_s=message.first_token_s,
        expected_first_token_s=message.expected_first_token_s,
        failure=message.failure,
        chat_hash=message.chat_hash,
        first_choice=message.first_choice,
    )
