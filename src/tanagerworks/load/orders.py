"""Callers of a plain service: bookings and debits with and without tickets, status reads."""

import asyncio
import json
import random
import time
from collections.abc import Mapping
from typing import Any

from tanagerworks.load.caller import NOT_CONNECTED, Attempt, Run, refusal
from tanagerworks.load.http_client import Call, CallBrokenError, CallNotSentError
from tanagerworks.load.report import OrderRecord, Seen
from tanagerworks.load.settings import OrderLoad

_KINDS = ("bookings", "debits")
# Repeats of a call with a ticket whose outcome stayed unknown.
_UNKNOWN_REPEATS = 2


class OrderCaller:
    """One caller that books, debits and reads."""

    def __init__(self, run: Run, load: OrderLoad, number: int) -> None:
        self.run = run
        self.load = load
        self.number = number
        self.chance = random.Random(f"{run.settings.seed}-{load.customer}-orders-{number}")
        self.orders = 0

    async def send_orders(self, until_s: float) -> None:
        """Sends orders and reads until the run ends."""
        while not self.run.stopped.is_set() and time.monotonic() < until_s:
            if self.orders and self.chance.random() < self.load.status_share:
                await self._read_status()
            else:
                await self._order()
            await self.run.pause(self.load.pause_s * self.chance.uniform(0.5, 1.5))

    def _order_number(self, count: int) -> str:
        return f"{self.run.settings.name}-{self.load.customer}-{self.number}-{count}"

    async def _read_status(self) -> None:
        order = self._order_number(self.chance.randint(1, self.orders))
        path = f"/services/{self.load.service}/orders/{order}"
        started_s = time.monotonic()
        attempt, node, _calls = await self._repeat("GET", path, {}, b"", repeatable=True)
        self._finish("status_read", started_s, node, _own_answer(attempt, order))

    async def _order(self) -> None:
        self.orders += 1
        order = self._order_number(self.orders)
        kind = self.chance.choice(_KINDS)
        path = f"/services/{self.load.service}/{kind}"
        headers = {"X-Order-Number": order}
        with_ticket = self.chance.random() < self.load.ticket_share
        started_s = time.monotonic()
        if with_ticket:
            wish = json.dumps({"service": self.load.service}).encode()
            issued, node, _calls = await self._repeat("POST", "/v1/tickets", {}, wish, True)
            if issued.seen is not Seen.WHOLE:
                # Nothing but a ticket was asked for, so the order itself did not run.
                self.run.report.orders[order] = OrderRecord(True, Seen.NOT_RUN.value, 0)
                not_run = Attempt(Seen.NOT_RUN, f"ticket_{issued.code}")
                self._finish("order", started_s, node, not_run)
                return
            headers["Idempotency-Key"] = str(issued.document["ticket"])
        body = json.dumps({"order": order, "tins": self.chance.randint(1, 40)}).encode()
        attempt, node, calls = await self._repeat("POST", path, headers, body, with_ticket)
        attempt = _own_answer(attempt, order)
        self.run.report.orders[order] = OrderRecord(with_ticket, attempt.seen.value, calls)
        self._finish("order", started_s, node, attempt)
        repeats = self.chance.random() < self.load.repeat_share
        if repeats and with_ticket and attempt.seen is Seen.WHOLE:
            await self._repeat_done(path, headers, body, node, attempt)

    async def _repeat_done(
        self, path: str, headers: Mapping[str, str], body: bytes, node: str, first: Attempt
    ) -> None:
        """Repeats a call that succeeded through another node; it must replay the answer."""
        other = self.run.balancer.choose([node])
        again = await self._attempt(other, "POST", path, headers, body)
        self.run.report.counts["ticket_repeats"] += 1
        if again.seen is not Seen.WHOLE:
            self.run.report.counts["ticket_repeats_not_answered"] += 1
        elif again.document != first.document:
            self.run.report.counts["ticket_repeats_differing"] += 1

    async def _repeat(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, repeatable: bool
    ) -> tuple[Attempt, str, int]:
        """Calls until there is an answer or no further call is allowed.

        A call that was not run goes to another node. One with an unknown outcome is repeated only
        if it is safe to repeat, and a later "not run" does not undo the earlier unknown outcome.
        """
        tried: list[str] = []
        unknown: Attempt | None = None
        unknowns = 0
        while True:
            node = self.run.balancer.choose(tried)
            tried.append(node)
            started_s = time.monotonic()
            attempt = await self._attempt(node, method, path, headers, body)
            if attempt.seen is Seen.UNKNOWN:
                self.run.record_failure(started_s, node, f"{method} {path}", attempt)
                unknown = unknown or attempt
                unknowns += 1
                again = repeatable and unknowns <= _UNKNOWN_REPEATS
            else:
                again = attempt.again
            if not again or not self.run.may_retry(len(tried)):
                break
            self.run.report.failed_attempts[attempt.code] += 1
            await self.run.pause_before_retry()
        if attempt.seen is Seen.NOT_RUN and unknown is not None:
            attempt = unknown
        return attempt, node, len(tried)

    async def _attempt(
        self, node: str, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Attempt:
        try:
            call = await Call.connect(node)
        except CallNotSentError:
            self.run.balancer.mark_down(node)
            return NOT_CONNECTED
        all_headers = {"Authorization": f"Bearer {self.load.key}", **headers}
        try:
            async with asyncio.timeout(self.run.settings.answer_timeout_s):
                await call.send(method, path, all_headers, body)
                answer = await call.read_all()
        except CallBrokenError:
            return Attempt(Seen.UNKNOWN, "connection_broken")
        except TimeoutError:
            return Attempt(Seen.UNKNOWN, "timeout")
        finally:
            call.close()
        if not 200 <= call.status < 300:
            return refusal(call.status, call.headers, answer)
        try:
            return Attempt(Seen.WHOLE, document=json.loads(answer))
        except ValueError:
            return Attempt(Seen.WRONG, "malformed_answer")

    def _finish(self, kind: str, started_s: float, node: str, attempt: Attempt) -> None:
        self.run.report.record_end(self.load.customer, kind, attempt.seen)
        if attempt.seen is Seen.WHOLE:
            self.run.report.record_time(f"{kind}_s", time.monotonic() - started_s)
        elif attempt.seen is not Seen.UNKNOWN:
            self.run.record_failure(started_s, node, kind, attempt)


def _own_answer(attempt: Attempt, order: str) -> Attempt:
    """Checks that a whole answer belongs to the order."""
    if attempt.seen is not Seen.WHOLE:
        return attempt
    document: Any = attempt.document
    if isinstance(document, dict) and document.get("order") == order:
        return attempt
    return Attempt(Seen.WRONG, "wrong_answer")
