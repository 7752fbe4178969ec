"""Requests that wait for a server of a service: by priority, then fair between customers."""

from collections.abc import Iterator

from tanagerworks.routing.admission import FairQueue

# Customers count alike: the configuration gives them no weights.
_WEIGHT = 1.0


class WaitingRequests:
    """Waiting requests of one service, one fair queue for each priority."""

    def __init__(self) -> None:
        self.queues: dict[int, FairQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def count_ahead(self, priority: int) -> int:
        """Returns how many requests wait that are at least as urgent."""
        return sum(len(queue) for level, queue in self.queues.items() if level <= priority)

    def push(
        self, call_id: str, priority: int, customer: str, deadline_s: float, most: int
    ) -> str | None:
        """Adds a request; returns the one that has to go, possibly the new one.

        `most` is the number that may wait at this priority.
        """
        queue = self.queues.setdefault(priority, FairQueue())
        return queue.push(call_id, customer, _WEIGHT, deadline_s, most)

    def charge(self, priority: int, customer: str) -> None:
        """Counts a request that was served without waiting."""
        self.queues.setdefault(priority, FairQueue()).charge_customer(customer, _WEIGHT)

    def remove(self, call_id: str, priority: int) -> None:
        """Takes out a request that has gone."""
        self.queues[priority].remove(call_id)

    def served(self, call_id: str, priority: int) -> None:
        """Takes out a request that got a server."""
        self.queues[priority].remove_served(call_id)

    def in_order(self, limit: int) -> Iterator[str]:
        """Yields up to `limit` requests of each priority, the most urgent first."""
        for priority in sorted(self.queues):
            yield from self.queues[priority].claims_in_order(limit)
