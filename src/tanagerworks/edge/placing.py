"""Pipeline stage that chooses a backend server for a request and queues it if all are full."""

import asyncio
import logging
import random
from collections.abc import Callable
from enum import Enum

from tanagerworks.dispatch.choice import Choice
from tanagerworks.dispatch.dispatcher import MAX_QUEUED_REQUESTS, Dispatcher, DispatchRequest
from tanagerworks.edge.request_state import MAX_LOGGED_ID_LENGTH, RequestState
from tanagerworks.errors import (
    CapacityError,
    NoServerError,
    PartQuarantinedError,
    RequestQuarantinedError,
    ServersUnreachableError,
)

_LOGGER = logging.getLogger(__name__)

# Random factor on Retry-After when no capacity is free, so that callers do not retry all at once.
_RETRY_AFTER_SPREAD = (0.5, 1.5)
# The same while no server wants requests: callers that return sooner would be refused again.
_PAUSED_RETRY_AFTER_SPREAD = (1.0, 1.2)


class Placement(Enum):
    """What is done with a request after the choice of a server."""

    SEND = "is sent to the chosen server"
    WAIT = "waits for a free server"
    NO_SERVER = "is refused: no server may take it"
    TOO_LATE = "is refused: it cannot be served before its deadline"


def decide_placement(
    dispatcher: Dispatcher, dispatch_request: DispatchRequest, choice: Choice, now_s: float
) -> Placement:
    """Returns what is done with a request for which a server was chosen, or none; counts nothing.

    A request that is bound to a software version does not wait behind the queue.
    """
    is_bound = dispatch_request.software_version is not None
    queue = dispatcher.queue(dispatch_request.service)
    if choice.state is not None and (is_bound or not queue.count_ahead(dispatch_request.priority)):
        return Placement.SEND
    if not choice.has_candidates:
        return Placement.NO_SERVER
    if not dispatcher.can_finish_in_time(dispatch_request, now_s):
        return Placement.TOO_LATE
    return Placement.WAIT


class RequestPlacer:
    """Assigns requests to servers by priority, and fairly between customers."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        # Events that wake queued requests, by call id.
        self.waiters: dict[str, asyncio.Event] = {}
        # Events of requests that wait for a server of their stream's software version, by service
        # and call id. They are not in the queue: its first request would keep others from servers
        # of other versions.
        self.version_waiters: dict[str, dict[str, asyncio.Event]] = {}
        self.random = random.Random()
        # Returns whether this node is cut off from all servers, so that waiting is in vain.
        self.is_cut_off: Callable[[], bool] = lambda: False
        # Returns whether only other nodes may send the request to servers by now.
        self.is_sent_elsewhere: Callable[[RequestState], bool] = lambda _request: False
        # Raises an error if a request that waits must not be sent any more.
        self.check_start: Callable[[RequestState], None] = lambda _request: None

    async def place_request(self, request: RequestState) -> Choice:
        """Returns the server for the next attempt and counts the attempt as started.

        Waits in the queue of the service if no server has free capacity; a request that is bound to
        a software version waits beside the queue, and is served first.

        Raises:
            PartQuarantinedError: a part of the prompt has crashed servers.
            RequestQuarantinedError: the request itself has crashed servers.
            NoServerError: the service has no server that the request may be sent to.
            CapacityError: no server can run the request before its deadline, or the queue
                is full.
            StoppingError: it waited, and may not end any more before the node stops.
        """
        dispatch_request = request.dispatch_request
        loop = asyncio.get_running_loop()
        self._check_quarantine(dispatch_request)
        queue = self.dispatcher.queue(dispatch_request.service)
        choice = self.dispatcher.choose_server(dispatch_request, loop.time())
        placement = decide_placement(self.dispatcher, dispatch_request, choice, loop.time())
        if placement is Placement.SEND:
            queue.charge(dispatch_request.priority, dispatch_request.customer)
            self.dispatcher.record_start(dispatch_request, choice, loop.time())
            return choice
        if placement is Placement.NO_SERVER:
            raise self._no_server_error(dispatch_request)
        if placement is Placement.TOO_LATE:
            raise self._capacity_error(
                "the queue cannot be served before the deadline", dispatch_request
            )
        if dispatch_request.software_version is not None:
            return await self._wait_for_version(request)
        return await self._wait_for_server(request)

    async def _wait_for_version(self, request: RequestState) -> Choice:
        """Returns the choice once a server of the request's software version is free.

        Raises:
            NoServerError: no server of the version is left for the request.
            CapacityError: too many requests wait so.
        """
        dispatch_request = request.dispatch_request
        waiters = self.version_waiters.setdefault(dispatch_request.service, {})
        if len(waiters) >= MAX_QUEUED_REQUESTS:
            raise self._capacity_error(
                "too many requests wait for servers of their versions", dispatch_request
            )
        event = waiters[dispatch_request.call_id] = asyncio.Event()
        _LOGGER.info(
            "request waits for a server of its version",
            extra={
                "call": dispatch_request.call_id,
                "software": dispatch_request.software_version,
                "waiting": len(waiters),
            },
        )
        try:
            while True:
                await event.wait()
                event.clear()
                self._check_reachability(request)
                self.check_start(request)
                self._check_quarantine(dispatch_request)
                choice = self._choose(dispatch_request)
                if choice is not None:
                    return choice
        finally:
            waiters.pop(dispatch_request.call_id, None)

    def _no_server_error(self, dispatch_request: DispatchRequest) -> NoServerError:
        now_s = asyncio.get_running_loop().time()
        unusable = self.dispatcher.describe_unusable_servers(dispatch_request.service, now_s)
        return NoServerError(
            f"no backend server may take the request: {unusable or 'none is left'}"
        )

    def _check_reachability(self, request: RequestState) -> None:
        if self.is_cut_off():
            raise ServersUnreachableError("this node reaches no server")
        if self.is_sent_elsewhere(request):
            raise ServersUnreachableError("only other nodes may send to the servers")

    def _check_quarantine(self, dispatch_request: DispatchRequest) -> None:
        refusal = self.dispatcher.check_quarantine(
            dispatch_request, asyncio.get_running_loop().time()
        )
        if refusal is None:
            return
        error: CapacityError
        if refusal.is_request:
            error = RequestQuarantinedError(
                f"{refusal.suspect_id} has crashed {refusal.crashes} servers"
            )
        else:
            error = PartQuarantinedError(
                f"part {refusal.suspect_id[:MAX_LOGGED_ID_LENGTH]} of the prompt has crashed"
                f" {refusal.crashes} servers"
            )
        error.retry_after_s = refusal.retry_after_s
        raise error

    def _capacity_error(self, message: str, dispatch_request: DispatchRequest) -> CapacityError:
        now_s = asyncio.get_running_loop().time()
        unusable = self.dispatcher.describe_unusable_servers(dispatch_request.service, now_s)
        error = CapacityError(f"{message} ({unusable})" if unusable else message)
        paused = self.dispatcher.remaining_pause_s(dispatch_request.service, now_s) > 0.0
        spread = _PAUSED_RETRY_AFTER_SPREAD if paused else _RETRY_AFTER_SPREAD
        error.retry_after_s = self.dispatcher.estimate_retry_after_s(
            dispatch_request, now_s
        ) * self.random.uniform(*spread)
        return error

    def retry_after_pause_s(self, service: str) -> float | None:
        """Returns the seconds until callers may return; None if a server wants requests now."""
        pause_s = self.dispatcher.remaining_pause_s(service, asyncio.get_running_loop().time())
        if pause_s <= 0.0:
            return None
        return pause_s * self.random.uniform(*_PAUSED_RETRY_AFTER_SPREAD)

    async def _wait_for_server(self, request: RequestState) -> Choice:
        dispatch_request = request.dispatch_request
        queue = self.dispatcher.queue(dispatch_request.service)
        dropped_call_id = queue.push(
            dispatch_request.call_id,
            dispatch_request.priority,
            dispatch_request.customer,
            dispatch_request.deadline_s,
            MAX_QUEUED_REQUESTS,
        )
        if dropped_call_id == dispatch_request.call_id:
            raise self._capacity_error("the queue of the service is full", dispatch_request)
        if dropped_call_id is not None and dropped_call_id in self.waiters:
            self.waiters[dropped_call_id].set()
        _LOGGER.info(
            "request queued",
            extra={
                "call": dispatch_request.call_id,
                "service": dispatch_request.service,
                "ahead": len(queue) - 1,
            },
        )
        event = self.waiters[dispatch_request.call_id] = asyncio.Event()
        placed = False
        try:
            while True:
                event.clear()
                self._check_reachability(request)
                self.check_start(request)
                self._check_quarantine(dispatch_request)
                choice = self._choose_if_first(dispatch_request)
                if choice is not None:
                    placed = True
                    return choice
                if dispatch_request.call_id not in queue.queues[dispatch_request.priority].entries:
                    raise self._capacity_error(
                        "dropped from the full queue for another customer's request",
                        dispatch_request,
                    )
                await event.wait()
        finally:
            # Another request may have had the same id.
            self.waiters.pop(dispatch_request.call_id, None)
            if placed:
                queue.remove_served(dispatch_request.call_id, dispatch_request.priority)
            else:
                queue.remove(dispatch_request.call_id, dispatch_request.priority)
            self.wake_first_waiter(dispatch_request.service)

    def _choose_if_first(self, dispatch_request: DispatchRequest) -> Choice | None:
        """Returns the choice if the request is first in the queue and a server is free.

        Raises:
            NoServerError: no server of the service is left for the request.
        """
        first = next(self.dispatcher.queue(dispatch_request.service).next_requests(1), None)
        if first != dispatch_request.call_id:
            return None
        return self._choose(dispatch_request)

    def _choose(self, dispatch_request: DispatchRequest) -> Choice | None:
        """Returns the choice, which counts as started, or None if no server is free.

        Raises:
            NoServerError: no server of the service is left for the request.
        """
        now_s = asyncio.get_running_loop().time()
        choice = self.dispatcher.choose_server(dispatch_request, now_s)
        if choice.state is None:
            if not choice.has_candidates:
                raise self._no_server_error(dispatch_request)
            return None
        self.dispatcher.record_start(dispatch_request, choice, now_s)
        return choice

    def wake_first_waiter(self, service: str) -> None:
        """Wakes the first request in the queue of a service to choose a server again.

        Also wakes those that wait for a server of their stream's software version.
        """
        for version_waiter in self.version_waiters.get(service, {}).values():
            version_waiter.set()
        for call_id in self.dispatcher.queue(service).next_requests(1):
            event = self.waiters.get(call_id)
            if event is not None:
                event.set()
            return

    def wake_all_waiters(self) -> None:
        """Wakes all queued requests; called when some of them may have to be refused."""
        for event in self.waiters.values():
            event.set()
        for events in self.version_waiters.values():
            for event in events.values():
                event.set()

    def wake_first_waiters(self) -> None:
        """Wakes the first request of every queue; called when the state of servers has changed."""
        for service in self.dispatcher.queues:
            self.wake_first_waiter(service)
