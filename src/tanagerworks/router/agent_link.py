"""Connection of a router to the node agent on its VM: views, slots and releases."""

import logging
import threading
import uuid
from collections.abc import Callable
from dataclasses import replace

import grpc

from tanagerworks.clock import boot_time_s
from tanagerworks.errors import (
    CapacityError,
    DeadlineError,
    NotReadyError,
    RateLimitError,
    RequestError,
)
from tanagerworks.note.model import Statement
from tanagerworks.router.held_slots import Grant, HeldSlots
from tanagerworks.router.invariants import Invariants
from tanagerworks.router.view import RouterView, apply_view_message
from tanagerworks.rpc.tanager_pb2 import (
    ClaimReply,
    ClaimRequest,
    Evidence,
    RefreshRequest,
    ReleaseRequest,
    View,
    WatchRequest,
)
from tanagerworks.rpc.tanager_pb2_grpc import NodeAgentStub

_LOGGER = logging.getLogger(__name__)
_RECONNECT_PAUSE_S = 0.2
_REFRESH_TIMEOUT_S = 0.5
# Within this time after a failed refresh, requests do not wait for another refresh.
_REFRESH_PAUSE_S = 0.2
_RELEASE_TIMEOUT_S = 2.0
_RELEASE_RETRY_S = 0.1
_RELEASE_BATCH = 256
_RELEASE_WAIT_S = 0.5
# The agent replies to a claim by its deadline; the margin covers the delivery of the reply.
_CLAIM_MARGIN_S = 0.5

_REFUSALS = {
    error.code: error for error in (CapacityError, DeadlineError, NotReadyError, RateLimitError)
}


class AgentLink:
    """Holds the newest view from the agent, claims slots from it and releases them.

    Times are on the clock `now`, CLOCK_BOOTTIME unless a test replaces it.
    """

    def __init__(
        self,
        router_id: str,
        agent_address: str,
        forward_address: str,
        *,
        max_view_age_s: float = 2.0,
        agent_loss_grace_s: float = 5.0,
        now: Callable[[], float] = boot_time_s,
        invariants: Invariants | None = None,
    ) -> None:
        self.router_id = router_id
        self.instance_id = uuid.uuid4().hex
        self.forward_address = forward_address
        self.max_view_age_s = max_view_age_s
        self.agent_loss_grace_s = agent_loss_grace_s
        self.now = now
        # Reconnects soon after the agent restarts; the default backoff grows to minutes.
        options = [
            ("grpc.initial_reconnect_backoff_ms", 100),
            ("grpc.min_reconnect_backoff_ms", 100),
            ("grpc.max_reconnect_backoff_ms", 500),
        ]
        self.channel = grpc.insecure_channel(agent_address, options=options)
        self.stub = NodeAgentStub(self.channel)
        self.held_slots = HeldSlots(invariants)
        self.view = RouterView()
        self.view_lock = threading.Lock()
        self.refresh_lock = threading.Lock()
        self.refresh_failed_at_s = float("-inf")
        self.agent_lost = False
        self.watch_call: grpc.Call | None = None
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._follow_views, name="agent-watch", daemon=True),
            threading.Thread(target=self._send_releases, name="agent-release", daemon=True),
        ]

    def start(self) -> None:
        """Starts the threads that receive views and send releases."""
        for thread in self.threads:
            thread.start()

    def stop(self, timeout_s: float = 2.0) -> bool:
        """Closes the connection; returns whether the agent has received all releases."""
        self.held_slots.release_reusable_grants()
        released = self.held_slots.wait_until_released(timeout_s)
        self.stopping.set()
        self.channel.close()
        return released

    @property
    def view_age_s(self) -> float:
        """Age of the view in seconds."""
        return self.now() - self.view.known_at_s

    @property
    def ready(self) -> bool:
        """Whether a note is in force and a fresh view shows an agent that accepts work."""
        view = self.view
        return (
            view.index is not None
            and view.ready
            and not view.draining
            and not self.agent_lost
            and self.now() - view.known_at_s <= self.max_view_age_s
        )

    def fresh_view(self) -> RouterView:
        """Returns a view that is recent enough to send a request; refreshes an older one.

        Raises:
            NotReadyError: the view is older than `max_view_age_s`, or than the grace period while
                the agent is lost.
        """
        view = self.view
        if self.now() - view.known_at_s <= self.max_view_age_s:
            return view
        with self.refresh_lock:
            if self.view_age_s <= self.max_view_age_s:
                return self.view
            if self.now() - self.refresh_failed_at_s > _REFRESH_PAUSE_S:
                self._refresh()
        view = self.view
        limit_s = max(self.max_view_age_s, self.agent_loss_grace_s)
        if self.now() - view.known_at_s > (limit_s if self.agent_lost else self.max_view_age_s):
            raise NotReadyError("the node agent does not answer")
        return view

    def _refresh(self) -> None:
        request = RefreshRequest(router_id=self.router_id, note_serial=self._note_serial())
        sent_at_s = self.now()
        try:
            message = self.stub.Refresh(request, timeout=_REFRESH_TIMEOUT_S)
        except grpc.RpcError as error:
            self.refresh_failed_at_s = self.now()
            self._mark_agent_lost(error)
            return
        # The reply may describe the state at the time of the request.
        self._apply_view(message, sent_at_s)

    def _note_serial(self) -> int:
        index = self.view.index
        return index.note.serial if index is not None else 0

    def _follow_views(self) -> None:
        while not self.stopping.is_set():
            request = WatchRequest(
                router_id=self.router_id,
                instance_id=self.instance_id,
                held=self.held_slots.start_epoch(),
                forward_address=self.forward_address,
                note_serial=self._note_serial(),
            )
            try:
                self.watch_call = self.stub.Watch(request)
                for message in self.watch_call:
                    self._apply_view(message, self.now())
            except grpc.RpcError as error:
                if error.code() is not grpc.StatusCode.CANCELLED:
                    self._mark_agent_lost(error)
            except Exception:
                _LOGGER.exception("cannot use a view of the node agent")
            if self.agent_lost and self.view_age_s > self.agent_loss_grace_s:
                self.held_slots.release_reusable_grants()
            self.stopping.wait(_RECONNECT_PAUSE_S)

    def _restart_watch(self) -> None:
        call = self.watch_call
        if call is not None:
            call.cancel()

    def _apply_view(self, message: View, received_at_s: float) -> None:
        with self.view_lock:
            view = apply_view_message(message, self.view, received_at_s)
            # A message that was delayed in a buffer must not replace a newer view.
            if view.known_at_s < self.view.known_at_s:
                view = replace(self.view, index=view.index)
            self.view = view
        if self.agent_lost and self.now() - view.known_at_s <= self.max_view_age_s:
            self.agent_lost = False
            self.held_slots.release_reusable_grants()
            _LOGGER.info("the node agent answers again")

    def _mark_agent_lost(self, error: grpc.RpcError) -> None:
        if self.agent_lost or self.stopping.is_set():
            return
        self.agent_lost = True
        _LOGGER.warning(
            "lost the node agent; held slots are reused for the grace period",
            extra={"code": str(error.code()), "grace_s": self.agent_loss_grace_s},
        )

    def claim_slot(self, request: ClaimRequest, statement: Statement) -> Grant:
        """Returns a grant of a slot for a request.

        Raises:
            CapacityError, DeadlineError, RateLimitError: the agent refused.
            NotReadyError: the agent accepts no work, it does not reply and no reusable slot fits,
                or a new watch started during each of two claims.
        """
        request.router_id = self.router_id
        request.instance_id = self.instance_id
        for _ in range(2):
            self.fresh_view()
            if self.agent_lost:
                return self._reuse_slot(request)
            epoch = self.held_slots.epoch
            sent_at_s = self.now()
            try:
                reply = self.stub.Claim(request, timeout=request.deadline_s + _CLAIM_MARGIN_S)
            except grpc.RpcError as error:
                if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                    # The agent may have granted a slot in a reply that came too late. A new watch
                    # reports the slots that this router holds, so the agent frees any other.
                    self._restart_watch()
                    raise DeadlineError("no slot was granted within the deadline") from error
                self._mark_agent_lost(error)
                return self._reuse_slot(request)
            if reply.refusal:
                raise _error_from_refusal(reply)
            grant = _grant_from_reply(reply, sent_at_s, statement)
            if self.held_slots.add_grant(grant, epoch):
                return grant
        # Any new watch starts a new epoch, also one with the same agent process.
        raise NotReadyError("the node agent was replaced while it granted a slot")

    def _reuse_slot(self, request: ClaimRequest) -> Grant:
        engine_ids = [candidate.engine_id for candidate in request.candidates]
        if self.view_age_s <= self.agent_loss_grace_s:
            grant = self.held_slots.reuse_grant(engine_ids, self.now())
            if grant is not None:
                return grant
        raise NotReadyError("the node agent does not answer and no held slot is free")

    def release_slot(self, grant: Grant, evidence: Evidence | None = None) -> None:
        """Ends a grant whose request is no longer at the engine; repeated calls have no effect."""
        keep_for_reuse = (
            self.agent_lost
            and self.view_age_s <= self.agent_loss_grace_s
            and self.now() < grant.start_by_s
        )
        self.held_slots.end_grant(grant, evidence, keep_for_reuse)

    def release_slot_after_work(self, grant: Grant, evidence: Evidence | None = None) -> None:
        """Ends a grant after its `max_work_s`; until then its request may be at the engine."""
        self.held_slots.end_grant_later(grant, evidence, self.now() + grant.max_work_s)

    def _send_releases(self) -> None:
        while not self.stopping.is_set():
            ended = self.held_slots.wait_for_releases(self.now(), _RELEASE_BATCH, _RELEASE_WAIT_S)
            if not ended:
                continue
            request = ReleaseRequest(
                router_id=self.router_id,
                instance_id=self.instance_id,
                ended=ended,
            )
            try:
                self.stub.Release(request, timeout=_RELEASE_TIMEOUT_S)
            except grpc.RpcError as error:
                self._mark_agent_lost(error)
                self.stopping.wait(_RELEASE_RETRY_S)
                continue
            except ValueError:
                # The channel was closed by `stop`.
                return
            self.held_slots.remove_released(ended)


def _grant_from_reply(reply: ClaimReply, sent_at_s: float, statement: Statement) -> Grant:
    engine = statement.engines.get(reply.slot.engine_id)
    max_work_s = reply.max_work_s or (engine.max_work_s if engine is not None else 0.0)
    return Grant(
        slot=reply.slot,
        boot_id=reply.boot_id,
        start_by_s=sent_at_s + reply.start_by_s if reply.start_by_s else float("inf"),
        max_work_s=max_work_s,
        cold=reply.cold,
    )


def _error_from_refusal(reply: ClaimReply) -> RequestError:
    # Any other code, such as bad_request, becomes a CapacityError.
    error: RequestError = _REFUSALS.get(reply.refusal, CapacityError)(
        reply.reason or "no slot is free"
    )
    if reply.retry_after_s > 0:
        error.retry_after_s = reply.retry_after_s
    return error
