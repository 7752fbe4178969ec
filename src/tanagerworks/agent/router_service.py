"""Serves the routers on the node's VM over gRPC."""

import asyncio
from collections.abc import AsyncIterator

from grpc.aio import ServicerContext

from tanagerworks.agent.state import AgentState
from tanagerworks.errors import CapacityError, NotReadyError
from tanagerworks.routing.slots import SlotId
from tanagerworks.rpc.tanager_pb2 import (
    ClaimReply,
    ClaimRequest,
    RefreshRequest,
    ReleaseReply,
    ReleaseRequest,
    Slot,
    View,
    WatchRequest,
)
from tanagerworks.rpc.tanager_pb2_grpc import NodeAgentServicer

# Routers take a view older than this as a lost agent, so views come more often.
VIEW_PERIOD_S = 0.5


class RouterService(NodeAgentServicer):
    """The agent's side of the link to its routers."""

    def __init__(self, state: AgentState) -> None:
        self.state = state

    async def Watch(  # noqa: N802 - the name is fixed by the gRPC service
        self, request: WatchRequest, context: ServicerContext
    ) -> AsyncIterator[View]:
        """Sends a view at once, on every change and at least every `VIEW_PERIOD_S`."""
        serial = request.note_serial
        while True:
            changed = self.state.changed
            view = self.state.view(serial)
            serial = view.note_serial
            yield view
            try:
                await asyncio.wait_for(changed.wait(), VIEW_PERIOD_S)
            except TimeoutError:
                continue

    async def Refresh(  # noqa: N802
        self, request: RefreshRequest, context: ServicerContext
    ) -> View:
        """Returns the view."""
        return self.state.view(request.note_serial)

    async def Claim(  # noqa: N802
        self, request: ClaimRequest, context: ServicerContext
    ) -> ClaimReply:
        """Grants a slot or refuses."""
        if self.state.closed:
            return ClaimReply(
                refusal=NotReadyError.code,
                reason="an operator has drained the node",
                retry_after_s=NotReadyError.retry_after_s or 0.0,
            )
        granted = self.state.claim([candidate.engine_id for candidate in request.candidates])
        if granted is None:
            return ClaimReply(
                refusal=CapacityError.code,
                reason="no engine has a free slot",
                retry_after_s=CapacityError.retry_after_s or 0.0,
            )
        slot, grant_id = granted
        return ClaimReply(slot=Slot(engine_id=slot.engine_id, index=slot.index, grant_id=grant_id))

    async def Release(  # noqa: N802
        self, request: ReleaseRequest, context: ServicerContext
    ) -> ReleaseReply:
        """Frees the slots of requests that ended."""
        for ended in request.ended:
            slot = SlotId(ended.slot.engine_id, ended.slot.index)
            self.state.ledger.release(slot, ended.slot.grant_id)
        return ReleaseReply()
