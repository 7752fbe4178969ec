"""Runs a second attempt of a late request beside the first one, and withdraws the loser.

Imported only if hedging is on. The decision is in `dispatch/hedging.py`.
"""

import asyncio
import logging
from functools import partial
from typing import Protocol

from tanagerworks.dispatch.choice import Choice
from tanagerworks.dispatch.dispatcher import Dispatcher
from tanagerworks.dispatch.hedging import (
    HedgeRefusal,
    HedgeShare,
    HedgingPolicy,
    decide_hedge,
    hedge_delay_s,
)
from tanagerworks.edge.exchange import BackendExchange
from tanagerworks.edge.health_reports import has_hung
from tanagerworks.edge.pause_timeout import PAUSE_S
from tanagerworks.edge.request_state import RESPONSE_MARGIN_S, Attempt, RequestState, RetryDenial
from tanagerworks.edge.route_times import RouteTimeTable
from tanagerworks.edge.telemetry import EdgeMetrics
from tanagerworks.errors import BackendError, BackendMisdirectedError
from tanagerworks.settings.edge import HedgingSettings

_LOGGER = logging.getLogger(__name__)


class AttemptAccounts(Protocol):
    """Accounting of attempts; the pipeline does it."""

    dispatcher: Dispatcher
    backend_exchange: BackendExchange
    metrics: EdgeMetrics

    def create_attempt(self, request: RequestState, choice: Choice) -> Attempt:
        """Returns a new attempt at the chosen server."""

    def record_attempt_failure(
        self,
        request: RequestState,
        attempt: Attempt,
        error: BackendError,
        denial: RetryDenial | None,
    ) -> asyncio.Task[None] | None:
        """Records a failed attempt; returns the check whether its server has crashed, or None."""

    def end_attempt(self, request: RequestState, attempt: Attempt) -> None:
        """Ends the accounting of an attempt; later calls have no effect."""


def hedging_policy(settings: HedgingSettings) -> HedgingPolicy:
    """Returns the policy that the settings state."""
    return HedgingPolicy(settings.quantile, settings.min_delay_ms / 1000, settings.max_share)


class _Race:
    """The attempts of one request that are in progress at the same time."""

    def __init__(self, request: RequestState, accounts: AttemptAccounts) -> None:
        self.request = request
        self.accounts = accounts
        self.attempts: list[Attempt] = []
        # The attempts that have not been accounted for, by their tasks.
        self.running: dict[asyncio.Task[str], Attempt] = {}
        # The attempt that answers the caller, once one of several does.
        self.winner: Attempt | None = None
        self.crash_checks: set[asyncio.Task[None]] = set()
        # The attempt that decides the request, which the pipeline accounts for.
        self.decided: Attempt | None = None

    def start(self, attempt: Attempt) -> asyncio.Task[str]:
        """Starts an attempt; from the second on, each has to claim the answer."""
        exchange = self.accounts.backend_exchange
        task = asyncio.get_running_loop().create_task(exchange.run_attempt(self.request, attempt))
        self.attempts.append(attempt)
        self.running[task] = attempt
        if len(self.attempts) > 1:
            for runner in self.attempts:
                runner.claim_answer = partial(self._claim, runner)
        return task

    def _claim(self, attempt: Attempt) -> bool:
        """Lets the first attempt that calls this answer the caller; returns whether it may."""
        if self.winner is None:
            self.winner = attempt
            self.request.server_id = attempt.state.server_id
            # In this turn of the event loop, an attempt whose answer has arrived still reads it.
            asyncio.get_running_loop().call_soon(self._withdraw_others)
        return self.winner is attempt

    def _withdraw_others(self) -> None:
        for task, attempt in self.running.items():
            if attempt is not self.winner:
                task.cancel()
        # A cancelled attempt sends nothing any more.
        self.request.body = b""
        if not self.request.responder.finished:
            self.request.responder.release_body()

    async def finish(self) -> tuple[Attempt, asyncio.Task[str]]:
        """Returns the attempt that decides the request and its ended task.

        This is the attempt that answers the caller or, if none does, the last one to fail. The
        others are accounted for.
        """
        decided: tuple[Attempt, asyncio.Task[str]] | None = None
        while self.running:
            done, _running = await asyncio.wait(self.running, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                attempt = self.running.pop(task)
                if attempt is self.winner or (self.winner is None and self._is_last(task)):
                    decided = (attempt, task)
                else:
                    self._record_loser(attempt, task)
            if decided is not None and self.winner is None:
                break
        assert decided is not None
        if self.crash_checks and decided[1].exception() is not None:
            # The request must not crash another server if it has crashed one of these.
            await asyncio.wait(self.crash_checks)
        return decided

    def _is_last(self, task: asyncio.Task[str]) -> bool:
        """Whether no other attempt can still answer, or this one ended with an internal error."""
        if not self.running or task.cancelled():
            return True
        return not isinstance(task.exception(), BackendError)

    def _record_loser(self, attempt: Attempt, task: asyncio.Task[str]) -> None:
        """Accounts for an attempt that has failed, or has ended after another one answered."""
        error = None if task.cancelled() else task.exception()
        if isinstance(error, BackendError):
            if isinstance(error, BackendMisdirectedError):
                # No server of the route received the request, so it does not count as an attempt.
                self.request.send_count -= 1
            check = self.accounts.record_attempt_failure(
                self.request, attempt, error, RetryDenial.OTHER_ATTEMPT
            )
            if check is not None:
                self.crash_checks.add(check)
        elif error is not None:
            _LOGGER.error("attempt ended with an internal error", exc_info=error)
        elif task.cancelled():
            self.accounts.metrics.record_hedge(self.request.service, "withdrawn")
            _LOGGER.info(
                "attempt withdrawn",
                extra={"call": self.request.call.call_id, "server": attempt.state.server_id},
            )
        self.accounts.end_attempt(self.request, attempt)
        if self.winner is None:
            for other in self.running.values():
                other.claim_answer = None

    async def close(self) -> None:
        """Cancels the attempts in progress and accounts for all attempts but the decided one.

        If the request ends before any attempt has decided it, an attempt may have hung.
        """
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        try:
            if tasks:
                await asyncio.wait(tasks)
        finally:
            now_s = asyncio.get_running_loop().time()
            for task, attempt in self.running.items():
                if task.done() and not task.cancelled() and task.exception() is not None:
                    _LOGGER.info(
                        "attempt failed while it was withdrawn",
                        extra={"server": attempt.state.server_id, "reason": str(task.exception())},
                    )
            for attempt in self.attempts:
                if attempt is self.decided:
                    continue
                if self.winner is None:
                    attempt.failed = attempt.failed or has_hung(self.request, attempt, now_s)
                self.accounts.end_attempt(self.request, attempt)


class Hedger:
    """Asks a second server for an answer that is later than usual."""

    def __init__(self, accounts: AttemptAccounts, zone: str, policy: HedgingPolicy) -> None:
        self.accounts = accounts
        self.dispatcher = accounts.dispatcher
        self.policy = policy
        self.route_times = RouteTimeTable(zone)
        self.share = HedgeShare()

    def covers(self, request: RequestState) -> bool:
        """Whether the request may be hedged: it is idempotent, no stream and may be retried."""
        route = request.route
        return not route.streams and route.max_attempts > 1 and request.is_retryable()

    async def run_attempt(
        self, request: RequestState, first: Attempt
    ) -> tuple[Attempt, asyncio.Task[str]]:
        """Runs an attempt, and a second one beside it if the first is late.

        Returns the attempt that decides the request, and its ended task: the one that has answered
        the caller or, if both fail, the last one to fail. The other is accounted for. If the caller
        leaves or the deadline passes, both are closed.
        """
        loop = asyncio.get_running_loop()
        if not request.dispatch_request.tried_server_ids:
            self.share.record_request(loop.time())
        race = _Race(request, self.accounts)
        try:
            task = race.start(first)
            delay_s = await self._wait_until_late(request, first, task)
            if delay_s is not None and not request.responder.started:
                self._start_second(race, first, delay_s)
            attempt, ended = await race.finish()
            race.decided = attempt
        finally:
            await race.close()
        request.server_id = attempt.state.server_id
        answered = not ended.cancelled() and ended.exception() is None
        if answered and ended.result() == "answered":
            now_s = loop.time()
            self.route_times.record(request.route.name, now_s - first.sent_s, now_s)
        if attempt is not first:
            self._record_second_end(request, attempt, answered)
        return attempt, ended

    async def _wait_until_late(
        self, request: RequestState, attempt: Attempt, task: asyncio.Task[str]
    ) -> float | None:
        """Returns the delay after which the attempt is late once it is; None if it ends before.

        The time to connect does not count: it has its own limit.
        """
        loop = asyncio.get_running_loop()
        earliest_s = 0.0
        while not task.done():
            quantile = self.route_times.quantile(
                request.route.name, self.policy.quantile, loop.time()
            )
            delay_s = hedge_delay_s(self.policy, quantile)
            if delay_s is None:
                await asyncio.wait({task})
                return None
            now_s = loop.time()
            is_sent = attempt.state.server_id in request.dispatch_request.tried_server_ids
            due_s = max(earliest_s, (attempt.sent_s if is_sent else now_s) + delay_s)
            if is_sent and now_s >= due_s:
                return delay_s
            await asyncio.wait({task}, timeout=due_s - now_s)
            if loop.time() - due_s > PAUSE_S:
                # The process was paused; an answer may have arrived that is not read yet.
                earliest_s = loop.time() + delay_s
        return None

    def _start_second(self, race: _Race, first: Attempt, delay_s: float) -> None:
        """Starts a second attempt if the limits allow it and another server has room."""
        request = race.request
        dispatch_request = request.dispatch_request
        service = request.service
        now_s = asyncio.get_running_loop().time()
        decision = decide_hedge(
            self.dispatcher,
            dispatch_request,
            request.route.max_attempts - request.send_count,
            delay_s + RESPONSE_MARGIN_S,
            self.share,
            self.policy,
            now_s,
        )
        if decision.refusal is None and not self.dispatcher.acquire_retry(service, now_s):
            self._record_refusal(request, HedgeRefusal.BUDGET_USED)
            return
        if decision.choice is None:
            assert decision.refusal is not None
            self._record_refusal(request, decision.refusal)
            return
        self.share.record_hedge(now_s)
        self.dispatcher.queue(service).charge(request.priority, dispatch_request.customer)
        self.dispatcher.record_start(dispatch_request, decision.choice, now_s)
        self.accounts.metrics.record_retry(service)
        self.accounts.metrics.record_hedge(service, "sent")
        second = self.accounts.create_attempt(request, decision.choice)
        _LOGGER.info(
            "second server asked",
            extra={
                "call": request.call.call_id,
                "route": request.route.name,
                "first": first.state.server_id,
                "second": second.state.server_id,
                "late_after_ms": round(delay_s * 1000, 1),
                "waited_ms": round((now_s - first.sent_s) * 1000, 1),
            },
        )
        race.start(second)

    def _record_refusal(self, request: RequestState, refusal: HedgeRefusal) -> None:
        self.accounts.metrics.record_hedge(request.service, "refused", refusal.name.lower())
        _LOGGER.info(
            "no second server asked",
            extra={
                "call": request.call.call_id,
                "route": request.route.name,
                "reason": refusal.value,
            },
        )

    def _record_second_end(self, request: RequestState, second: Attempt, won: bool) -> None:
        if won:
            self.accounts.metrics.record_hedge(request.service, "won")
        _LOGGER.info(
            "second server decided",
            extra={
                "call": request.call.call_id,
                "server": second.state.server_id,
                "answered": won,
            },
        )
