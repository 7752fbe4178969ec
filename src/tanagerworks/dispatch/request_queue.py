"""Queue of the requests of one service: by priority, then fair between customers."""

from collections.abc import Iterator

from tanagerworks.routing.admission import FairQueue

# All customers have the same weight: the configuration gives them none.
_WEIGHT = 1.0


class RequestQueue:
    """Queued requests of one service, in one fair queue per priority."""

    def __init__(self) -> None:
        self.queues: dict[int, FairQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def count_ahead(self, priority: int) -> int:
        """Returns the number of queued requests that are at least as urgent as `priority`."""
        return sum(len(queue) for level, queue in self.queues.items() if level <= priority)

    def push(
        self, call_id: str, priority: int, customer: str, deadline_s: float, max_requests: int
    ) -> str | None:
        """Adds a request; returns the id of the one dropped for it, possibly the new one, or None.

        `max_requests` is the number of requests that may be queued at this priority.
        """
        queue = self.queues.setdefault(priority, FairQueue())
        return queue.push(call_id, customer, _WEIGHT, deadline_s, max_requests)

    def charge(self, priority: int, customer: str) -> None:
        """Charges the customer for a request that got a server without being queued."""
        self.queues.setdefault(priority, FairQueue()).charge_customer(customer, _WEIGHT)

    def remove(self, call_id: str, priority: int) -> None:
        """Removes a request that got no server, if it is still queued."""
        self.queues[priority].remove(call_id)

    def remove_served(self, call_id: str, priority: int) -> None:
        """Removes a request that got a server."""
        self.queues[priority].remove_served(call_id)

    def next_requests(self, limit: int) -> Iterator[str]:
        """Yields the ids of up to `limit` requests of each priority, the most urgent first."""
        for priority in sorted(self.queues):
            yield from self.queues[priority].claims_in_order(limit)
