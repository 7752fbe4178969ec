"""Pipeline stage that chooses a backend server for a request and queues it if all are full."""

import asyncio
import logging
import random

from tanagerworks.dispatch.choice import Choice
from tanagerworks.dispatch.dispatcher import MAX_QUEUED_REQUESTS, Demand, Dispatcher
from tanagerworks.edge.request_state import RequestState
from tanagerworks.errors import CapacityError, NoServerError

_LOGGER = logging.getLogger(__name__)

# Random factor on Retry-After when no capacity is free, so that callers do not retry all at once.
_RETRY_AFTER_SPREAD = (0.5, 1.5)


class RequestPlacer:
    """Assigns requests to servers by priority, and fairly between customers."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        # Events that wake queued requests, by call id.
        self.waiters: dict[str, asyncio.Event] = {}
        self.random = random.Random()

    async def place_request(self, request: RequestState) -> Choice:
        """Returns the server for the next attempt and counts the attempt as started.

        Waits in the queue of the service if no server has free capacity.

        Raises:
            NoServerError: the service has no server that the request may be sent to.
            CapacityError: no server can run the request before its deadline, or the queue
                is full.
        """
        demand = request.demand
        loop = asyncio.get_running_loop()
        queue = self.dispatcher.queue(demand.service)
        choice = self.dispatcher.choose_server(demand, loop.time())
        if choice.state is not None and queue.count_ahead(demand.priority) == 0:
            queue.charge(demand.priority, demand.customer)
            self.dispatcher.record_start(demand, choice, loop.time())
            return choice
        if not self.dispatcher.has_candidates(demand, loop.time()):
            raise NoServerError(f"no backend server may take the request: {choice.reason}")
        if not self.dispatcher.can_finish_in_time(demand, loop.time()):
            raise self._capacity_error("the queue cannot be served before the deadline", demand)
        return await self._wait_for_server(request)

    def _capacity_error(self, message: str, demand: Demand) -> CapacityError:
        error = CapacityError(message)
        error.retry_after_s = self.dispatcher.expected_wait_s(
            demand, asyncio.get_running_loop().time()
        ) * self.random.uniform(*_RETRY_AFTER_SPREAD)
        return error

    async def _wait_for_server(self, request: RequestState) -> Choice:
        demand = request.demand
        queue = self.dispatcher.queue(demand.service)
        dropped_call_id = queue.push(
            demand.call_id, demand.priority, demand.customer, demand.deadline_s, MAX_QUEUED_REQUESTS
        )
        if dropped_call_id == demand.call_id:
            raise self._capacity_error("the queue of the service is full", demand)
        if dropped_call_id is not None and dropped_call_id in self.waiters:
            self.waiters[dropped_call_id].set()
        _LOGGER.info(
            "request queued",
            extra={"call": demand.call_id, "service": demand.service, "ahead": len(queue) - 1},
        )
        event = self.waiters[demand.call_id] = asyncio.Event()
        placed = False
        try:
            while True:
                event.clear()
                choice = self._choose_if_first(demand)
                if choice is not None:
                    placed = True
                    return choice
                if demand.call_id not in queue.queues[demand.priority].entries:
                    raise self._capacity_error(
                        "dropped from the full queue for another customer's request", demand
                    )
                await event.wait()
        finally:
            del self.waiters[demand.call_id]
            if placed:
                queue.remove_served(demand.call_id, demand.priority)
                self.wake_first_waiter(demand.service)
            else:
                queue.remove(demand.call_id, demand.priority)

    def _choose_if_first(self, demand: Demand) -> Choice | None:
        """Returns the choice if the request is first in the queue and a server is free."""
        first = next(self.dispatcher.queue(demand.service).next_requests(1), None)
        if first != demand.call_id:
            return None
        now_s = asyncio.get_running_loop().time()
        choice = self.dispatcher.choose_server(demand, now_s)
        if choice.state is None:
            return None
        self.dispatcher.record_start(demand, choice, now_s)
        return choice

    def wake_first_waiter(self, service: str) -> None:
        """Wakes the first request in the queue of a service to choose a server again."""
        for call_id in self.dispatcher.queue(service).next_requests(1):
            event = self.waiters.get(call_id)
            if event is not None:
                event.set()
            return

    def wake_first_waiters(self) -> None:
        """Wakes the first request of every queue; called when the state of servers has changed."""
        for service in self.dispatcher.queues:
            self.wake_first_waiter(service)
