"""Admission: limits per customer and a fair queue per request class.

Within a class, requests are ordered by start-time fair queueing (Goyal, Vin and Cheng, 1996) with
the customers' weights, so a customer that surges delays mostly its own requests.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # Only named in annotations: the models of notes take long to load.
    from tanagerworks.note.model import Customer, RequestClass

# A customer may use its rate of this long at once.
BURST_S = 1.0


@dataclass(slots=True)
class CustomerUsage:
    """What one customer uses at this node."""

    running: int = 0
    tokens: float = math.inf
    refilled_at_s: float = 0.0


class CustomerLimits:
    """Limits `max_streams` and `requests_per_s`, divided over the live nodes."""

    def __init__(self) -> None:
        self.customers: dict[str, CustomerUsage] = {}

    def stream_limit(self, customer: Customer, live_nodes: int) -> int:
        """Returns this node's part of a customer's streams, rounded up so that it is never 0."""
        return math.ceil(customer.max_streams / max(1, live_nodes))

    def is_at_stream_limit(self, name: str, customer: Customer, live_nodes: int) -> bool:
        """Returns whether the customer has all the streams that this node allows."""
        use = self.customers.setdefault(name, CustomerUsage())
        return use.running >= self.stream_limit(customer, live_nodes)

    def take_token(self, name: str, customer: Customer, live_nodes: int, now_s: float) -> float:
        """Takes one request from the customer's rate; returns the wait in seconds if it is over."""
        use = self.customers.setdefault(name, CustomerUsage())
        rate = customer.requests_per_s / max(1, live_nodes)
        burst = max(1.0, rate * BURST_S)
        use.tokens = min(burst, use.tokens + (now_s - use.refilled_at_s) * rate)
        use.refilled_at_s = now_s
        if use.tokens < 1.0:
            return (1.0 - use.tokens) / rate
        use.tokens -= 1.0
        return 0.0

    def record_start(self, name: str) -> None:
        """Counts a running request."""
        self.customers.setdefault(name, CustomerUsage()).running += 1

    def record_end(self, name: str) -> None:
        """Takes back a running request."""
        use = self.customers.get(name)
        if use is not None and use.running:
            use.running -= 1


@dataclass(order=True, slots=True)
class _Entry:
    start_tag: float
    sequence: int
    claim_id: str = field(compare=False)
    customer: str = field(compare=False)
    deadline_s: float = field(compare=False)


class FairQueue:
    """Waiting claims of one class, in fair order between customers."""

    def __init__(self) -> None:
        self.entries: dict[str, _Entry] = {}
        self.heap: list[_Entry] = []
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        self.sequence = 0

    def __len__(self) -> int:
        return len(self.entries)

    def push(
        self, claim_id: str, customer: str, weight: float, deadline_s: float, max_queue: int
    ) -> str | None:
        """Adds a claim; returns the claim that has to go because the queue is full.

        The claim with the latest fair start goes, so a surging customer cannot fill the queue
        against the others. It can be the new claim itself.
        """
        start_tag = max(self.virtual_time, self.finish_tags.get(customer, 0.0))
        self.sequence += 1
        entry = _Entry(start_tag, self.sequence, claim_id, customer, deadline_s)
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
        """Counts a request that was served without waiting."""
        start_tag = max(self.virtual_time, self.finish_tags.get(customer, 0.0))
        self.finish_tags[customer] = start_tag + 1.0 / weight
        if not self.entries:
            # Nobody waits, so nobody is ahead: serving moves the virtual time with it.
            self.virtual_time = start_tag

    def remove(self, claim_id: str) -> bool:
        """Takes out a claim that was served or has gone; returns whether it was waiting."""
        return self.entries.pop(claim_id, None) is not None

    def remove_served(self, claim_id: str) -> None:
        """Takes out a claim that got a slot and advances the virtual time."""
        entry = self.entries.pop(claim_id, None)
        if entry is not None:
            self.virtual_time = max(self.virtual_time, entry.start_tag)

    def claims_in_order(self, limit: int) -> list[str]:
        """Returns up to `limit` waiting claims, the fairest first."""
        while self.heap and self.entries.get(self.heap[0].claim_id) is not self.heap[0]:
            heapq.heappop(self.heap)
        if len(self.heap) > 2 * len(self.entries) + 16:
            self.heap = sorted(self.entries.values())
        live = (e for e in self.heap if self.entries.get(e.claim_id) is e)
        return [entry.claim_id for entry in heapq.nsmallest(limit, live)]

    def expired_claims(self, now_s: float) -> list[str]:
        """Returns the claims whose deadline has passed."""
        return [e.claim_id for e in self.entries.values() if e.deadline_s <= now_s]

    def drop_past_tags(self) -> None:
        """Drops finish tags that lie in the past: they no longer change any order."""
        for customer in [c for c, tag in self.finish_tags.items() if tag <= self.virtual_time]:
            del self.finish_tags[customer]


class AdmissionQueue:
    """One fair queue per class; a lower priority number is served first."""

    def __init__(self) -> None:
        self.queues: dict[str, FairQueue] = {}
        self.class_of: dict[str, str] = {}
        self.order: list[str] = []

    def __len__(self) -> int:
        return len(self.class_of)

    def __contains__(self, claim_id: str) -> bool:
        return claim_id in self.class_of

    def set_classes(self, classes: dict[str, RequestClass]) -> None:
        """Takes over the classes of a note; claims of a withdrawn class keep their queue."""
        for name in classes:
            self.queues.setdefault(name, FairQueue())
        self.order = sorted(classes, key=lambda name: (classes[name].priority, name))
        self.order += [name for name in self.queues if name not in classes]

    def push(
        self,
        class_name: str,
        claim_id: str,
        customer: str,
        weight: float,
        deadline_s: float,
        max_queue: int,
    ) -> str | None:
        """Adds a claim; returns the claim that had to go, possibly the new one."""
        dropped = self.queues[class_name].push(claim_id, customer, weight, deadline_s, max_queue)
        if dropped != claim_id:
            self.class_of[claim_id] = class_name
        if dropped is not None:
            self.class_of.pop(dropped, None)
        return dropped

    def remove(self, claim_id: str) -> bool:
        """Takes out a claim whose caller has gone; returns whether it was waiting."""
        name = self.class_of.pop(claim_id, None)
        return name is not None and self.queues[name].remove(claim_id)

    def remove_served(self, claim_id: str) -> None:
        """Takes out a claim that got a slot."""
        name = self.class_of.pop(claim_id, None)
        if name is not None:
            self.queues[name].remove_served(claim_id)

    def claims_in_order(self, limit: int) -> Iterator[str]:
        """Yields up to `limit` claims of each class, by priority, then in fair order."""
        for name in self.order:
            yield from self.queues[name].claims_in_order(limit)

    def expired_claims(self, now_s: float) -> list[str]:
        """Returns the claims whose deadline has passed."""
        return [claim for queue in self.queues.values() for claim in queue.expired_claims(now_s)]
