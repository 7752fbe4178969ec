"""The stage that finds a backend server for a request, perhaps after a wait."""

import asyncio
import logging
import random

from tanagerworks.dispatch.choice import Choice
from tanagerworks.dispatch.dispatcher import MAX_WAITING, Demand, Dispatcher
from tanagerworks.edge.request_state import RequestState
from tanagerworks.errors import CapacityError, NoServerError

_LOGGER = logging.getLogger(__name__)

# Retry-After of a refusal for lack of places: spread, so that callers do not come back together.
_RETRY_AFTER_SPREAD = (0.5, 1.5)


class RequestPlacer:
    """Gives requests to servers, the most urgent first and fairly between customers."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.waiters: dict[str, asyncio.Event] = {}
        self.random = random.Random()

    async def place_request(self, request: RequestState) -> Choice:
        """Returns the server for the next attempt, counted as begun.

        Raises:
            CapacityError: no server can take the request in time.
        """
        demand = request.demand
        loop = asyncio.get_running_loop()
        room = self.dispatcher.room(demand.service)
        choice = self.dispatcher.choose(demand, loop.time())
        if choice.state is not None and room.count_ahead(demand.priority) == 0:
            room.charge(demand.priority, demand.customer)
            self.dispatcher.begin(demand, choice, loop.time())
            return choice
        if not self.dispatcher.candidates_left(demand, loop.time()):
            raise NoServerError(f"no backend server may take the request: {choice.reason}")
        if not self.dispatcher.may_be_served_in_time(demand, loop.time()):
            raise self._capacity_error("the requests ahead leave no time for this one", demand)
        return await self._wait_for_server(request)

    def _capacity_error(self, message: str, demand: Demand) -> CapacityError:
        error = CapacityError(message)
        error.retry_after_s = self.dispatcher.expected_wait_s(
            demand, asyncio.get_running_loop().time()
        ) * self.random.uniform(*_RETRY_AFTER_SPREAD)
        return error

    async def _wait_for_server(self, request: RequestState) -> Choice:
        demand = request.demand
        room = self.dispatcher.room(demand.service)
        dropped_call_id = room.push(
            demand.call_id, demand.priority, demand.customer, demand.deadline_s, MAX_WAITING
        )
        if dropped_call_id == demand.call_id:
            raise self._capacity_error("too many requests wait", demand)
        if dropped_call_id is not None and dropped_call_id in self.waiters:
            self.waiters[dropped_call_id].set()
        _LOGGER.info(
            "request waits",
            extra={"call": demand.call_id, "service": demand.service, "ahead": len(room) - 1},
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
                if demand.call_id not in room.queues[demand.priority].entries:
                    raise self._capacity_error("another customer's request goes first", demand)
                await event.wait()
        finally:
            del self.waiters[demand.call_id]
            if placed:
                room.served(demand.call_id, demand.priority)
                self.wake_first_waiter(demand.service)
            else:
                room.remove(demand.call_id, demand.priority)

    def _choose_if_first(self, demand: Demand) -> Choice | None:
        """Returns the choice for a waiting request if it is first and a server is free."""
        first = next(self.dispatcher.room(demand.service).in_order(1), None)
        if first != demand.call_id:
            return None
        now_s = asyncio.get_running_loop().time()
        choice = self.dispatcher.choose(demand, now_s)
        if choice.state is None:
            return None
        self.dispatcher.begin(demand, choice, now_s)
        return choice

    def wake_first_waiter(self, service: str) -> None:
        """Lets the first waiting request of a service look for a server again."""
        for call_id in self.dispatcher.room(service).in_order(1):
            event = self.waiters.get(call_id)
            if event is not None:
                event.set()
            return

    def wake_first_waiters(self) -> None:
        """As `wake`, for every service; called when beliefs about servers have changed."""
        for service in self.dispatcher.waiting:
            self.wake_first_waiter(service)
