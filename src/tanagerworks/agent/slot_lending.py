"""Lends slots to peers and borrows slots from them over gRPC."""

import logging
from collections.abc import Callable, Mapping, Sequence

import grpc
from grpc.aio import ServicerContext

from tanagerworks.agent.state import AgentState
from tanagerworks.errors import CapacityError
from tanagerworks.routing.slots import SlotId
from tanagerworks.rpc.tanager_pb2 import (
    BorrowReply,
    BorrowRequest,
    BorrowWish,
    EngineCount,
    FreeSlots,
    ReturnReply,
    ReturnRequest,
    Slot,
)
from tanagerworks.rpc.tanager_pb2_grpc import PeerExchangeServicer, PeerExchangeStub

_LOGGER = logging.getLogger(__name__)
# Time that a peer has to answer a Borrow; asking the next peer is cheaper than waiting longer.
BORROW_TIMEOUT_S = 0.25
RETURN_TIMEOUT_S = 1.0


class SlotLending(PeerExchangeServicer):
    """Serves `Borrow` and `Return`; the other calls of the service are in a subclass."""

    def __init__(self, state: AgentState) -> None:
        self.state = state

    async def Borrow(  # noqa: N802 - the name is fixed by the gRPC service
        self, request: BorrowRequest, context: ServicerContext
    ) -> BorrowReply:
        """Lends the first wanted slot that is free, and exchanges running counts."""
        wanted_slots = [(wish.engine_id, wish.below_index) for wish in request.wishes]
        loan = self.state.lend_slot(
            request.sender, request.incarnation, request.claim_id, wanted_slots
        )
        reply = BorrowReply()
        now_s = self.state.clock()
        if wanted_slots:
            counts = {item.engine_id: item.running for item in request.running}
            scheduler = self.state.scheduler
            scheduler.update_running_counts(request.sender, counts, request.stamp_s)
            reply.running.extend(_count_messages(scheduler.pool_counts(wanted_slots[0][0])))
            self.state.counts_sent_in_borrow = True
            reply.stamp_s = now_s
        for engine_id, _index_limit in wanted_slots:
            lowest = self.state.ledger.lowest_free(engine_id, now_s)
            if lowest is not None:
                count = self.state.ledger.free_count(engine_id, now_s)
                reply.free.append(FreeSlots(engine_id=engine_id, lowest=lowest, count=count))
        if loan is None:
            reply.refusal = CapacityError.code
            return reply
        reply.slot.CopyFrom(
            Slot(engine_id=loan.slot.engine_id, index=loan.slot.index, grant_id=loan.loan_id)
        )
        # A duration, which the borrower counts from the sending of its request.
        reply.start_by_s = loan.max_lent_s
        reply.max_work_s = loan.max_work_s
        return reply

    async def Return(  # noqa: N802
        self, request: ReturnRequest, context: ServicerContext
    ) -> ReturnReply:
        """Accepts returned slots, and ends the loans of Borrow calls whose reply was lost."""
        now_s = self.state.clock()
        scheduler = self.state.scheduler
        for slot in request.slots:
            slot_id = SlotId(slot.engine_id, slot.index)
            self.state.apply_effects(
                scheduler.accept_returned_slot(request.sender, slot_id, slot.grant_id, now_s)
            )
        for borrow_id in request.claim_ids:
            self.state.apply_effects(
                scheduler.cancel_loan(request.sender, request.incarnation, borrow_id, now_s)
            )
        return ReturnReply()


class PeerSlotBorrower:
    """Borrows slots from peers; `stub_for` returns the stub of a node, or None if it has none."""

    def __init__(
        self, state: AgentState, stub_for: Callable[[str], PeerExchangeStub | None]
    ) -> None:
        self.state = state
        self.stub_for = stub_for

    async def borrow_slot(
        self, lender: str, borrow_id: str, wanted_slots: Sequence[tuple[str, int]]
    ) -> tuple[SlotId, int, float, float] | None:
        """Asks `lender` for one of `wanted_slots`, pairs of engine id and slot index limit.

        Returns (slot, loan id, seconds after the sending of the request in which work may start,
        max_work_s), or None if the peer lent no slot or did not answer.
        """
        stub = self.stub_for(lender)
        if stub is None:
            return None
        request = BorrowRequest(
            sender=self.state.node_id,
            incarnation=self.state.incarnation,
            claim_id=borrow_id,
            note_serial=self.state.ledger.serial,
            wishes=[
                BorrowWish(engine_id=e, below_index=index_limit) for e, index_limit in wanted_slots
            ],
            running=_count_messages(self.state.scheduler.pool_counts(wanted_slots[0][0])),
            stamp_s=self.state.clock(),
        )
        self.state.counts_sent_in_borrow = True
        try:
            reply = await stub.Borrow(request, timeout=BORROW_TIMEOUT_S)
        except grpc.RpcError as error:
            _LOGGER.info(
                "peer did not answer a Borrow call",
                extra={"peer": lender, "code": str(getattr(error, "code", lambda: "")())},
            )
            # The peer may have lent a slot in an answer that was lost.
            self.state.spawn_task(self._send_return(lender, ReturnRequest(claim_ids=[borrow_id])))
            return None
        free = {item.engine_id: (item.lowest, item.count) for item in reply.free}
        counts = {item.engine_id: item.running for item in reply.running}
        self.state.scheduler.update_running_counts(lender, counts, reply.stamp_s)
        self.state.scheduler.update_free_slots(
            lender, [e for e, _index_limit in wanted_slots], free
        )
        if reply.refusal:
            return None
        slot = SlotId(reply.slot.engine_id, reply.slot.index)
        return slot, reply.slot.grant_id, reply.start_by_s, reply.max_work_s

    async def return_slot(self, lender: str, slot: SlotId, loan_id: int) -> None:
        """Returns a borrowed slot; if that fails, the loan expires at the lender."""
        returned = Slot(engine_id=slot.engine_id, index=slot.index, grant_id=loan_id)
        await self._send_return(lender, ReturnRequest(slots=[returned]))

    async def _send_return(self, lender: str, request: ReturnRequest) -> None:
        stub = self.stub_for(lender)
        if stub is None:
            return
        request.sender = self.state.node_id
        request.incarnation = self.state.incarnation
        try:
            await stub.Return(request, timeout=RETURN_TIMEOUT_S)
        except grpc.RpcError as error:
            _LOGGER.info(
                "cannot return a borrowed slot to its peer",
                extra={"peer": lender, "code": str(getattr(error, "code", lambda: "")())},
            )


def _count_messages(running: Mapping[str, int]) -> list[EngineCount]:
    return [EngineCount(engine_id=engine_id, running=count) for engine_id, count in running.items()]
