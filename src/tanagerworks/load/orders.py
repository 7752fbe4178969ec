"""Callers of a service: bookings and debits, with or without a ticket, and status reads."""

import asyncio
import json
import random
import time
from collections.abc import Mapping
from typing import Any

from tanagerworks.load.http_client import Call, CallBrokenError, CallNotSentError
from tanagerworks.load.report import ObservedOutcome, OrderRecord
from tanagerworks.load.run import NOT_CONNECTED, Attempt, LoadRun, parse_error_response
from tanagerworks.load.settings import OrderLoad

_ORDER_KINDS = ("bookings", "debits")
# Retries of a repeatable call after an unknown outcome.
_MAX_UNKNOWN_RETRIES = 2


class OrderCaller:
    """One caller that sends bookings and debits and reads the status of earlier ones."""

    def __init__(self, run: LoadRun, load: OrderLoad, number: int) -> None:
        self.run = run
        self.load = load
        self.number = number
        self.rng = random.Random(f"{run.settings.seed}-{load.customer}-orders-{number}")
        self.order_count = 0

    async def send_orders(self, until_s: float) -> None:
        """Sends orders and status reads until the run is stopped or `until_s` (monotonic clock)."""
        while not self.run.stopped.is_set() and time.monotonic() < until_s:
            if self.order_count and self.rng.random() < self.load.status_share:
                await self._read_status()
            else:
                await self._send_order()
            await self.run.sleep_unless_stopped(self.load.pause_s * self.rng.uniform(0.5, 1.5))

    def _order_number(self, count: int) -> str:
        return f"{self.run.settings.name}-{self.load.customer}-{self.number}-{count}"

    async def _read_status(self) -> None:
        order = self._order_number(self.rng.randint(1, self.order_count))
        path = f"/services/{self.load.service}/orders/{order}"
        started_s = time.monotonic()
        attempt, node, _calls = await self._call_with_retries("GET", path, {}, b"", repeatable=True)
        self._record_result("status_read", started_s, node, _check_order_number(attempt, order))

    async def _send_order(self) -> None:
        self.order_count += 1
        order = self._order_number(self.order_count)
        kind = self.rng.choice(_ORDER_KINDS)
        path = f"/services/{self.load.service}/{kind}"
        headers = {"X-Order-Number": order}
        with_ticket = self.rng.random() < self.load.ticket_share
        started_s = time.monotonic()
        if with_ticket:
            ticket_request = json.dumps({"service": self.load.service}).encode()
            ticket_attempt, node, _calls = await self._call_with_retries(
                "POST", "/v1/tickets", {}, ticket_request, True
            )
            if ticket_attempt.outcome is not ObservedOutcome.WHOLE:
                # Only the ticket was requested, so the order itself did not run.
                self.run.report.orders[order] = OrderRecord(True, ObservedOutcome.NOT_RUN.value, 0)
                not_run = Attempt(ObservedOutcome.NOT_RUN, f"ticket_{ticket_attempt.code}")
                self._record_result("order", started_s, node, not_run)
                return
            headers["Idempotency-Key"] = str(ticket_attempt.document["ticket"])
        body = json.dumps({"order": order, "tins": self.rng.randint(1, 40)}).encode()
        attempt, node, calls = await self._call_with_retries(
            "POST", path, headers, body, with_ticket
        )
        attempt = _check_order_number(attempt, order)
        self.run.report.orders[order] = OrderRecord(with_ticket, attempt.outcome.value, calls)
        self._record_result("order", started_s, node, attempt)
        repeats = self.rng.random() < self.load.repeat_share
        if repeats and with_ticket and attempt.outcome is ObservedOutcome.WHOLE:
            await self._repeat_completed_call(path, headers, body, node, attempt)

    async def _repeat_completed_call(
        self, path: str, headers: Mapping[str, str], body: bytes, node: str, first: Attempt
    ) -> None:
        """Repeats a successful call at another node, which must replay the same answer."""
        other = self.run.balancer.choose_node([node])
        repeated = await self._send_attempt(other, "POST", path, headers, body)
        self.run.report.counts["ticket_repeats"] += 1
        if repeated.outcome is not ObservedOutcome.WHOLE:
            self.run.report.counts["ticket_repeats_not_answered"] += 1
        elif repeated.document != first.document:
            self.run.report.counts["ticket_repeats_differing"] += 1

    async def _call_with_retries(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, repeatable: bool
    ) -> tuple[Attempt, str, int]:
        """Sends a request until it gets an answer or may not be retried.

        A request that did not run is retried at another node. One with an unknown outcome is
        retried only if it is repeatable; its outcome stays unknown even if a later attempt did
        not run, as the earlier one may have.

        Returns the deciding attempt, the last node and the number of attempts.
        """
        tried: list[str] = []
        unknown: Attempt | None = None
        unknown_count = 0
        while True:
            node = self.run.balancer.choose_node(tried)
            tried.append(node)
            started_s = time.monotonic()
            attempt = await self._send_attempt(node, method, path, headers, body)
            if attempt.outcome is ObservedOutcome.UNKNOWN:
                self.run.record_failure(started_s, node, f"{method} {path}", attempt)
                unknown = unknown or attempt
                unknown_count += 1
                retry = repeatable and unknown_count <= _MAX_UNKNOWN_RETRIES
            else:
                retry = attempt.retryable
            if not retry or not self.run.may_retry(len(tried)):
                break
            self.run.report.failed_attempts[attempt.code] += 1
            await self.run.sleep_before_retry()
        if attempt.outcome is ObservedOutcome.NOT_RUN and unknown is not None:
            attempt = unknown
        return attempt, node, len(tried)

    async def _send_attempt(
        self, node: str, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Attempt:
        try:
            call = await Call.connect(node)
        except CallNotSentError:
            self.run.balancer.mark_node_down(node)
            return NOT_CONNECTED
        all_headers = {"Authorization": f"Bearer {self.load.key}", **headers}
        try:
            async with asyncio.timeout(self.run.settings.answer_timeout_s):
                await call.send_request(method, path, all_headers, body)
                answer = await call.read_body()
        except CallBrokenError:
            return Attempt(ObservedOutcome.UNKNOWN, "connection_broken")
        except TimeoutError:
            return Attempt(ObservedOutcome.UNKNOWN, "timeout")
        finally:
            call.close()
        if not 200 <= call.status < 300:
            return parse_error_response(call.status, call.headers, answer)
        try:
            return Attempt(ObservedOutcome.WHOLE, document=json.loads(answer))
        except ValueError:
            return Attempt(ObservedOutcome.WRONG, "malformed_answer")

    def _record_result(self, kind: str, started_s: float, node: str, attempt: Attempt) -> None:
        self.run.report.record_outcome(self.load.customer, kind, attempt.outcome)
        if attempt.outcome is ObservedOutcome.WHOLE:
            self.run.report.record_duration(f"{kind}_s", time.monotonic() - started_s)
        elif attempt.outcome is not ObservedOutcome.UNKNOWN:
            self.run.record_failure(started_s, node, kind, attempt)


def _check_order_number(attempt: Attempt, order: str) -> Attempt:
    """Returns `attempt`, or a wrong answer if its document is for another order."""
    if attempt.outcome is not ObservedOutcome.WHOLE:
        return attempt
    document: Any = attempt.document
    if isinstance(document, dict) and document.get("order") == order:
        return attempt
    return Attempt(ObservedOutcome.WRONG, "wrong_answer")
