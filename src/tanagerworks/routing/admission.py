"""Admission: limits per customer and a fair queue per request class.

Within a class, requests are ordered by start-time fair queueing (Goyal, Vin and Cheng, 1996) with
the customers' weights, so a burst of one customer delays mainly its own requests.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # Used in annotations only; importing the models of notes is slow.
    from tanagerworks.note.model import Customer, RequestClass

# Size of a customer's token bucket, in seconds of its request rate.
BURST_S = 1.0


@dataclass(slots=True)
class CustomerUsage:
    """Running requests and rate tokens of one customer at this node."""

    running: int = 0
    tokens: float = math.inf
    refilled_at_s: float = 0.0


class CustomerLimits:
    """Enforces `max_streams` and `requests_per_s`, divided over the live nodes.

    Times are seconds on the node's CLOCK_BOOTTIME.
    """

    def __init__(self) -> None:
        self.customers: dict[str, CustomerUsage] = {}

    def stream_limit(self, customer: Customer, live_nodes: int) -> int:
        """Returns this node's share of a customer's streams, rounded up to at least 1."""
        return math.ceil(customer.max_streams / max(1, live_nodes))

    def is_at_stream_limit(self, name: str, customer: Customer, live_nodes: int) -> bool:
        """Returns whether the customer's running requests have reached this node's limit."""
        usage = self.customers.setdefault(name, CustomerUsage())
        return usage.running >= self.stream_limit(customer, live_nodes)

    def take_token(self, name: str, customer: Customer, live_nodes: int, now_s: float) -> float:
        """Takes a token for one request; returns 0, or the seconds until a token is available."""
        usage = self.customers.setdefault(name, CustomerUsage())
        rate = customer.requests_per_s / max(1, live_nodes)
        burst = max(1.0, rate * BURST_S)
        usage.tokens = min(burst, usage.tokens + (now_s - usage.refilled_at_s) * rate)
        usage.refilled_at_s = now_s
        if usage.tokens < 1.0:
            return (1.0 - usage.tokens) / rate
        usage.tokens -= 1.0
        return 0.0

    def record_start(self, name: str) -> None:
        """Counts the start of a request."""
        self.customers.setdefault(name, CustomerUsage()).running += 1

    def record_end(self, name: str) -> None:
        """Counts the end of a request."""
        usage = self.customers.get(name)
        if usage is not None and usage.running:
            usage.running -= 1


@dataclass(order=True, slots=True)
class _QueueEntry:
    start_tag: float
    sequence: int
    claim_id: str = field(compare=False)
    customer: str = field(compare=False)
    deadline_s: float = field(compare=False)


class FairQueue:
    """Waiting claims of one class, in fair order between customers."""

    def __init__(self) -> None:
        self.entries: dict[str, _QueueEntry] = {}
        self.heap: list[_QueueEntry] = []
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        self.sequence = 0

    def __len__(self) -> int:
        return len(self.entries)

    def push(
        self, claim_id: str, customer: str, weight: float, deadline_s: float, max_queue: int
    ) -> str | None:
        """Adds a claim; returns the id of a claim dropped because the queue is full, or None.

        The claim with the latest start tag is dropped, so a burst of one customer cannot crowd out
        the others. It can be the new claim itself.
        """
        start_tag = max(self.virtual_time, self.finish_tags.get(customer, 0.0))
        self.sequence += 1
        entry = _QueueEntry(start_tag, self.sequence, claim_id, customer, deadline_s)
        dropped = None
        if len(self.entries) >= max_queue:
            last = max(self.entries.values(), default=entry)
            if last <= entry:
                return claim_id
            dropped = last.claim_id
            self.remove(dropped)
        self.finish_tags[customer] = start_tag + 1.0 / weight
        self.entries[claim_id] = entry
        heapq.heappush(self.heap, entry)
        return dropped

    def charge_customer(self, customer: str, weight: float) -> None:
        """Charges a customer for a request that was served without waiting."""
        start_tag = max(self.virtual_time, self.finish_tags.get(customer, 0.0))
        self.finish_tags[customer] = start_tag + 1.0 / weight
        if not self.entries:
            # With an empty queue, the virtual time follows the requests that are served at once.
            self.virtual_time = start_tag

    def remove(self, claim_id: str) -> bool:
        """Removes a claim that is no longer wanted; returns whether it was waiting."""
        return self.entries.pop(claim_id, None) is not None

    def remove_served(self, claim_id: str) -> None:
        """Removes a claim that got a slot and advances the virtual time."""
        entry = self.entries.pop(claim_id, None)
        if entry is not None:
            self.virtual_time = max(self.virtual_time, entry.start_tag)

    def claims_in_order(self, limit: int) -> list[str]:
        """Returns the ids of up to `limit` waiting claims, by start tag."""
        while self.heap and self.entries.get(self.heap[0].claim_id) is not self.heap[0]:
            heapq.heappop(self.heap)
        # Removed claims leave their entries in the heap until it is rebuilt.
        if len(self.heap) > 2 * len(self.entries) + 16:
            self.heap = sorted(self.entries.values())
        live = (e for e in self.heap if self.entries.get(e.claim_id) is e)
        return [entry.claim_id for entry in heapq.nsmallest(limit, live)]

    def expired_claims(self, now_s: float) -> list[str]:
        """Returns the claims whose deadline has passed."""
        return [e.claim_id for e in self.entries.values() if e.deadline_s <= now_s]

    def drop_past_tags(self) -> None:
        """Drops finish tags up to the virtual time, which no longer affect the order."""
        for customer in [c for c, tag in self.finish_tags.items() if tag <= self.virtual_time]:
            del self.finish_tags[customer]


class AdmissionQueue:
    """One fair queue per class; the class with the lowest priority number is served first."""

    def __init__(self) -> None:
        self.queues: dict[str, FairQueue] = {}
        self.class_by_claim: dict[str, str] = {}
        self.class_order: list[str] = []

    def __len__(self) -> int:
        return len(self.class_by_claim)

    def __contains__(self, claim_id: str) -> bool:
        return claim_id in self.class_by_claim

    def set_classes(self, classes: dict[str, RequestClass]) -> None:
        """Applies the classes of a note; claims of a withdrawn class stay queued."""
        for name in classes:
            self.queues.setdefault(name, FairQueue())
        self.class_order = sorted(classes, key=lambda name: (classes[name].priority, name))
        self.class_order += [name for name in self.queues if name not in classes]

    def push(
        self,
        class_name: str,
        claim_id: str,
        customer: str,
        weight: float,
        deadline_s: float,
        max_queue: int,
    ) -> str | None:
        """Adds a claim; returns the id of the claim dropped for it, possibly its own, or None."""
        dropped = self.queues[class_name].push(claim_id, customer, weight, deadline_s, max_queue)
        if dropped != claim_id:
            self.class_by_claim[claim_id] = class_name
        if dropped is not None:
            self.class_by_claim.pop(dropped, None)
        return dropped

    def remove(self, claim_id: str) -> bool:
        """Removes a claim that is no longer wanted; returns whether it was waiting."""
        name = self.class_by_claim.pop(claim_id, None)
        return name is not None and self.queues[name].remove(claim_id)

    def remove_served(self, claim_id: str) -> None:
        """Removes a claim that got a slot."""
        name = self.class_by_claim.pop(claim_id, None)
        if name is not None:
            self.queues[name].remove_served(claim_id)

    def claims_in_order(self, limit: int) -> Iterator[str]:
        """Yields the ids of up to `limit` claims of each class, by priority, then by start tag."""
        for name in self.class_order:
            yield from self.queues[name].claims_in_order(limit)

    def expired_claims(self, now_s: float) -> list[str]:
        """Returns the claims whose deadline has passed."""
        return [claim for queue in self.queues.values() for claim in queue.expired_claims(now_s)]
