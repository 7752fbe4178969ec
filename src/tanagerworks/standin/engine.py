"""Stand-in for a model engine: batches, caches prefixes, streams a known answer, fails on command.

Everything that it counts is counted here, at the engine, so that a test or a demo does not have to
believe the routers.
"""

import asyncio
import heapq
import json
import random
import time
import uuid
from collections import Counter, OrderedDict, deque
from collections.abc import Sequence
from typing import Any

from pydantic import Field

from tanagerworks.settings.loader import SettingsModel
from tanagerworks.standin.answers import (
    DEFAULT_MAX_TOKENS,
    count_tokens,
    expected_tokens,
    prompt_text,
)
from tanagerworks.standin.prefix_cache import PrefixCache
from tanagerworks.standin.server import Exchange, Request, run_forever, serve_routes
from tanagerworks.wsgi import Response, json_response

# Answers that can be resumed, and event times that a report lists.
_MAX_RESUMABLE = 2048
_MAX_TIMES = 1000
_PAUSED_RETRY_S = 0.02
_DEFAULT_PRIORITY = 5


class EngineSettings(SettingsModel):
    """Settings of the engine stand-in."""

    address: str
    engine_id: str
    slots: int = 16
    cold_slots: int = 1
    # Whole answers that double the allowance of a cold engine.
    warm_answers: int = 4
    starts_warm: bool = False
    tokens_per_s: float = 50.0
    first_token_s: float = 0.05
    prefill_tokens_per_s: float = 5000.0
    cache_tokens: int = 200_000
    cache_event_lag_s: float = 0.5
    load_lag_s: float = 1.0
    model: str = ""
    checks_fencing: bool = False
    # Orders need this bearer key; empty when the engine does not check the sender.
    order_key: str = ""
    # Adds the time of sending to each event, for measurements on one machine.
    stamps_events: bool = False
    seed: int = 1


class EngineFaults(SettingsModel):
    """Failures that can be switched while the engine runs; shares are between 0 and 1."""

    refuse_share: float = Field(default=0.0, ge=0, le=1)
    # Closes the connection without an answer, before anything ran.
    drop_share: float = Field(default=0.0, ge=0, le=1)
    break_share: float = Field(default=0.0, ge=0, le=1)
    stall_share: float = Field(default=0.0, ge=0, le=1)
    stall_s: float = 2.0
    # Answers under another request's id with another request's text.
    crossed_share: float = Field(default=0.0, ge=0, le=1)
    # Right headers, but events of another request from the middle of the stream on.
    crossed_events_share: float = Field(default=0.0, ge=0, le=1)
    cache_event_gap_share: float = Field(default=0.0, ge=0, le=1)
    extra_first_token_s: float = 0.0
    draining: bool = False


class EngineCounts:
    """What the engine saw."""

    def __init__(self) -> None:
        self.requests_by_id: Counter[str] = Counter()
        self.requests = 0
        self.max_running = 0
        self.overloaded_samples = 0
        self.cold_overruns = 0
        # Overruns within a second of a cold start that kept the connections: an unannounced cold
        # start cannot be seen before an answer or a probe shows it.
        self.cold_overruns_unseen = 0
        self.refused = 0
        self.whole_answers = 0
        self.clients_gone = 0
        self.broken = 0
        self.resumed = 0
        self.cancelled = 0
        self.crossed = 0
        self.cold_starts = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        # Seconds after the engine was switched out, one for each new request.
        self.new_work_out_s: deque[float] = deque(maxlen=_MAX_TIMES)


class Work:
    """One request at the engine."""

    def __init__(self, request_id: str, document: dict[str, Any], priority: int) -> None:
        self.request_id = request_id
        self.document = document
        self.priority = priority
        self.chat_key = ""
        self.boot_id = ""
        self.prompt = prompt_text(document["messages"])
        self.tokens = expected_tokens(
            self.prompt, int(document.get("max_tokens") or DEFAULT_MAX_TOKENS)
        )
        self.model = str(document["model"])
        # Number of events sent, counted from the first token; the last two end the stream.
        self.next_event = 0
        self.stop_sent = False
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.done: asyncio.Future[bool] | None = None
        self.break_at: int | None = None
        self.stall_at: int | None = None
        self.cross_at: int | None = None
        self.shown_id = request_id

    @property
    def streamed(self) -> bool:
        """Whether the answer is server-sent events."""
        return bool(self.document.get("stream"))


class EngineStandin:
    """Routes of the engine stand-in."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.chance = random.Random(f"{settings.seed}-{settings.engine_id}")
        self.faults = EngineFaults()
        self.counts = EngineCounts()
        self.cache = PrefixCache(settings.cache_tokens, self.chance)
        self.running: set[Work] = set()
        self.waiting: list[tuple[int, int, Work]] = []
        self.arrivals = 0
        self.resumable: OrderedDict[str, Work] = OrderedDict()
        self.boot_id = uuid.uuid4().hex
        self.booted_s = time.monotonic()
        self.whole_since_boot = 1 << 20 if settings.starts_warm else 0
        self.unseen_cold_start_s: float | None = None
        self.out_since_s: float | None = None
        self.model = settings.model
        self.role = "serve"
        self.highest_fencing = 0
        self.orders: list[dict[str, Any]] = []
        self.load_history: deque[tuple[float, dict[str, Any]]] = deque([(0.0, self._load())])

    async def run(self) -> None:
        """Takes the samples that load reports show later."""
        if self.settings.load_lag_s <= 0:
            await run_forever()
        while True:
            await asyncio.sleep(self.settings.load_lag_s / 4)
            self.load_history.append((time.monotonic(), self._load()))
            visible_s = time.monotonic() - self.settings.load_lag_s
            while len(self.load_history) > 1 and self.load_history[1][0] <= visible_s:
                self.load_history.popleft()

    def _load(self) -> dict[str, Any]:
        return {
            "running": len(self.running),
            "waiting": len(self.waiting),
            "slots": self.settings.slots,
            "uptime_s": time.monotonic() - self.booted_s,
            "draining": self.faults.draining,
            "model": self.model,
            "role": self.role,
        }

    async def handle(self, request: Request, exchange: Exchange) -> Response | None:
        """Answers one request."""
        method, path = request.method, request.path
        if (method, path) == ("POST", "/v1/chat/completions"):
            return await self._complete(request, exchange)
        if method == "GET" and path.startswith("/v1/requests/") and path.endswith("/stream"):
            request_id = path.removeprefix("/v1/requests/").removesuffix("/stream")
            return await self._resume(request_id, int(request.query.get("after", "0")), exchange)
        if method == "DELETE" and path.startswith("/v1/requests/"):
            return self._cancel(path.removeprefix("/v1/requests/"))
        if (method, path) == ("GET", "/v1/boot"):
            uptime_s = time.monotonic() - self.booted_s
            return self._json({"boot_id": self.boot_id, "uptime_s": uptime_s})
        if (method, path) == ("GET", "/v1/load"):
            report = self.load_history[0][1] if self.settings.load_lag_s > 0 else self._load()
            return self._json(report)
        if (method, path) == ("GET", "/v1/cache/events"):
            return self._cache_events(int(request.query.get("after", "0")))
        if (method, path) == ("POST", "/v1/orders"):
            return self._order(request)
        if path.startswith("/control/"):
            return self._control(request, exchange)
        return json_response({"error": {"code": "not_found"}}, 404)

    def _json(self, document: object, status: int = 200) -> Response:
        return json_response(document, status, [("X-Engine-Boot", self.boot_id)])

    def _refuse(self, code: str) -> Response:
        self.counts.refused += 1
        return self._json({"error": {"code": code, "message": "not run"}}, 503)

    # Requests

    async def _complete(self, request: Request, exchange: Exchange) -> Response | None:
        priority = int(request.headers.get("x-priority", _DEFAULT_PRIORITY))
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        work = Work(request_id, request.json(), priority)
        work.chat_key = request.headers.get("x-chat-key", "")
        if self.faults.draining:
            return self._refuse("engine_draining")
        if self._happens(self.faults.refuse_share):
            return self._refuse("engine_refused")
        if self._happens(self.faults.drop_share):
            self.counts.refused += 1
            exchange.abort()
            return None
        work.boot_id = self.boot_id
        self._plan_faults(work)
        self.counts.requests += 1
        self.counts.requests_by_id[request_id] += 1
        if self.out_since_s is not None:
            self.counts.new_work_out_s.append(time.monotonic() - self.out_since_s)
        if not await self._enter(work, exchange):
            return None
        return None if work.streamed else self._whole_answer(work)

    def _plan_faults(self, work: Work) -> None:
        last = len(work.tokens)
        if self._happens(self.faults.break_share):
            work.break_at = self.chance.randrange(last + 1)
        if self._happens(self.faults.stall_share):
            work.stall_at = self.chance.randrange(last)
        if self._happens(self.faults.crossed_share):
            self.counts.crossed += 1
            work.shown_id = uuid.uuid4().hex
            work.tokens = expected_tokens(work.shown_id, last)
        elif work.streamed and self._happens(self.faults.crossed_events_share):
            self.counts.crossed += 1
            work.cross_at = self.chance.randrange(last)

    def _happens(self, share: float) -> bool:
        return share > 0 and self.chance.random() < share

    async def _enter(self, work: Work, exchange: Exchange) -> bool:
        """Runs the work to its end; returns whether the answer is whole."""
        work.exchange = exchange
        work.done = asyncio.get_running_loop().create_future()
        exchange.on_gone = lambda: self._client_gone(work)
        self.arrivals += 1
        if len(self.running) >= self.settings.slots or self._cold_full():
            self._drop_closed()
        if len(self.running) < self.settings.slots:
            self._start(work)
        else:
            heapq.heappush(self.waiting, (work.priority, self.arrivals, work))
        self._check_bounds(work)
        return await work.done

    def allowance(self) -> int:
        """Returns how many requests the engine bears, given its answers since the cold start."""
        doublings = self.whole_since_boot // self.settings.warm_answers
        if doublings > 16:
            return self.settings.slots
        return min(self.settings.slots, self.settings.cold_slots << doublings)

    def _since_boot(self) -> int:
        """Returns the number of requests here that came after the cold start."""
        own = sum(1 for work in self.running if work.boot_id == self.boot_id)
        return own + sum(1 for item in self.waiting if item[2].boot_id == self.boot_id)

    def _cold_full(self) -> bool:
        allowance = self.allowance()
        return allowance < self.settings.slots and self._since_boot() >= allowance

    def _check_bounds(self, work: Work) -> None:
        load = len(self.running) + len(self.waiting)
        self.counts.max_running = max(self.counts.max_running, load)
        if load > self.settings.slots:
            self.counts.overloaded_samples += 1
        allowance = self.allowance()
        if allowance < self.settings.slots and self._since_boot() > allowance:
            unseen = self.unseen_cold_start_s
            if unseen is not None and time.monotonic() - unseen < 1.0:
                self.counts.cold_overruns_unseen += 1
            else:
                self.counts.cold_overruns += 1

    def _drop_closed(self) -> None:
        """Ends work whose client closed its connection in the same turn of the event loop.

        Without this an earlier close could be counted after a later request, as an overload that
        never was.
        """
        for work in [*self.running, *(item[2] for item in self.waiting)]:
            if work.exchange is not None and work.exchange.peer_closed():
                work.exchange.abort()

    def _start(self, work: Work) -> None:
        messages = work.document["messages"]
        prompt_tokens = sum(count_tokens(prompt_text([message])) for message in messages)
        cached = self.cache.cached_tokens(messages) if not work.next_event else prompt_tokens
        if not work.next_event:
            self.counts.prompt_tokens += prompt_tokens
            self.counts.cached_tokens += cached
        self.running.add(work)
        delay_s = (
            self.settings.first_token_s
            + self.faults.extra_first_token_s
            + (prompt_tokens - cached) / self.settings.prefill_tokens_per_s
        )
        loop = asyncio.get_running_loop()
        if work.streamed:
            assert work.exchange is not None
            work.exchange.start(
                200, [("Content-Type", "text/event-stream"), *self._answer_headers(work)]
            )
            work.timer = loop.call_later(delay_s, self._emit, work)
            return
        delay_s += (len(work.tokens) - 1) / self.settings.tokens_per_s
        if work.stall_at is not None:
            delay_s += self.faults.stall_s
        work.timer = loop.call_later(delay_s, self._finish_whole, work)

    def _answer_headers(self, work: Work) -> list[tuple[str, str]]:
        return [("X-Request-Id", work.shown_id), ("X-Engine-Boot", work.boot_id)]

    def _emit(self, work: Work) -> None:
        """Sends the next event of a stream and sets the time of the one after it."""
        exchange = work.exchange
        assert exchange is not None
        loop = asyncio.get_running_loop()
        if exchange.paused:
            work.timer = loop.call_later(_PAUSED_RETRY_S, self._emit, work)
            return
        number = work.next_event
        if work.break_at is not None and number >= work.break_at:
            self._break(work)
            return
        if work.stall_at is not None and number >= work.stall_at:
            work.stall_at = None
            work.timer = loop.call_later(self.faults.stall_s, self._emit, work)
            return
        work.next_event += 1
        if number < len(work.tokens):
            exchange.write(self._event(work, number))
            if work.next_event < len(work.tokens):
                work.timer = loop.call_later(1.0 / self.settings.tokens_per_s, self._emit, work)
                return
        if work.break_at is not None:
            self._break(work)
            return
        self._end_stream(work, exchange)

    def _end_stream(self, work: Work, exchange: Exchange) -> None:
        if not work.stop_sent:
            exchange.write(_event_bytes(work.shown_id, work.model, {}, "stop"))
        exchange.write(b"data: [DONE]\n\n")
        self._leave(work, whole=True)
        exchange.end()

    def _event(self, work: Work, number: int) -> bytes:
        shown_id, token = work.shown_id, work.tokens[number]
        if work.cross_at is not None and number >= work.cross_at:
            shown_id = f"other-{work.request_id}"
            token = expected_tokens(shown_id, number + 1)[number]
        stamp = time.monotonic() if self.settings.stamps_events else None
        return _event_bytes(shown_id, work.model, {"content": token}, None, stamp)

    def _finish_whole(self, work: Work) -> None:
        if work.break_at is not None:
            self._break(work)
            return
        self._leave(work, whole=True)

    def _break(self, work: Work) -> None:
        self.counts.broken += 1
        self._leave(work, whole=False)
        assert work.exchange is not None
        work.exchange.abort()

    def _whole_answer(self, work: Work) -> Response:
        prompt_tokens = count_tokens(work.prompt)
        message = {"role": "assistant", "content": "".join(work.tokens)}
        body = {
            "id": work.shown_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": work.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": len(work.tokens),
                "total_tokens": prompt_tokens + len(work.tokens),
            },
        }
        return json_response(body, headers=self._answer_headers(work))

    def _leave(self, work: Work, whole: bool) -> None:
        """Frees the slot at once and lets the next waiting request run."""
        if work.timer is not None:
            work.timer.cancel()
        if work in self.running:
            self.running.discard(work)
        else:
            self.waiting = [item for item in self.waiting if item[2] is not work]
            heapq.heapify(self.waiting)
        if work.exchange is not None:
            work.exchange.on_gone = None
        self._keep_resumable(work)
        if whole:
            self.counts.whole_answers += 1
            if work.boot_id == self.boot_id:
                self.whole_since_boot += 1
                self._cache_answer(work)
        while self.waiting and len(self.running) < self.settings.slots:
            self._start(heapq.heappop(self.waiting)[2])
        if work.done is not None and not work.done.done():
            work.done.set_result(whole)

    def _cache_answer(self, work: Work) -> None:
        answer = {"role": "assistant", "content": "".join(work.tokens)}
        messages: Sequence[Any] = [*work.document["messages"], answer]
        gap_share = self.faults.cache_event_gap_share
        self.cache.store(messages, work.chat_key, time.monotonic(), gap_share)

    def _keep_resumable(self, work: Work) -> None:
        if not work.streamed:
            return
        self.resumable[work.request_id] = work
        self.resumable.move_to_end(work.request_id)
        while len(self.resumable) > _MAX_RESUMABLE:
            self.resumable.popitem(last=False)

    def _client_gone(self, work: Work) -> None:
        self.counts.clients_gone += 1
        self._leave(work, whole=False)

    async def _resume(self, request_id: str, after: int, exchange: Exchange) -> Response | None:
        """Continues a stream after its first `after` events; the answer starts with the next."""
        for running in list(self.running):
            if running.request_id == request_id and running.exchange is not None:
                running.exchange.abort()
        work = self.resumable.get(request_id)
        if work is None or work.boot_id != self.boot_id:
            return self._json({"error": {"code": "unknown_request"}}, 404)
        del self.resumable[request_id]
        self.counts.resumed += 1
        resumed = Work(request_id, work.document, work.priority)
        resumed.chat_key, resumed.boot_id = work.chat_key, work.boot_id
        resumed.next_event = min(after, len(resumed.tokens))
        resumed.stop_sent = after > len(resumed.tokens)
        await self._enter(resumed, exchange)
        return None

    def _cancel(self, request_id: str) -> Response:
        self.resumable.pop(request_id, None)
        works = [*self.running, *(item[2] for item in self.waiting)]
        found = [work for work in works if work.request_id == request_id]
        for work in found:
            self.counts.cancelled += 1
            assert work.exchange is not None
            work.exchange.abort()
            self.resumable.pop(request_id, None)
        known = request_id in self.counts.requests_by_id
        return self._json({"cancelled": len(found)}, 200 if known else 404)

    def _cache_events(self, after: int) -> Response:
        visible_s = time.monotonic() - self.settings.cache_event_lag_s
        events = self.cache.events_after(after, visible_s)
        documents = [event.document() for event in events]
        return self._json({"boot_id": self.boot_id, "events": documents})

    def _order(self, request: Request) -> Response:
        """Loads a model or an adapter, or changes the role."""
        key = self.settings.order_key
        if key and request.headers.get("authorization") != f"Bearer {key}":
            return self._json({"error": {"code": "unknown_sender"}}, 403)
        document = request.json()
        fencing = int(document["fencing"])
        if self.settings.checks_fencing and fencing < self.highest_fencing:
            return self._json({"error": {"code": "stale_fencing"}}, 409)
        self.highest_fencing = max(self.highest_fencing, fencing)
        kind, argument = str(document["kind"]), str(document["argument"])
        if kind == "load_model":
            if argument != self.model:
                self.model = argument
                self._go_cold()
        elif kind == "change_role":
            self.role = argument
        elif kind != "load_adapter":
            return self._json({"error": {"code": "unknown_order"}}, 400)
        self.orders.append({"kind": kind, "argument": argument, "fencing": fencing})
        return self._json({"done": True})

    def _go_cold(self) -> None:
        self.boot_id = uuid.uuid4().hex
        self.booted_s = time.monotonic()
        self.whole_since_boot = 0
        self.counts.cold_starts += 1
        self.cache.clear()

    # Control

    def _control(self, request: Request, exchange: Exchange) -> Response:
        method, path = request.method, request.path
        if (method, path) == ("GET", "/control/counters"):
            return json_response(self._counters())
        if (method, path) == ("DELETE", "/control/counters"):
            self.counts = EngineCounts()
            return json_response({})
        if path == "/control/faults":
            if method == "POST":
                changed = {**self.faults.model_dump(), **request.json()}
                self.faults = EngineFaults.model_validate(changed)
            elif method == "DELETE":
                self.faults = EngineFaults()
            return json_response(self.faults.model_dump())
        if (method, path) == ("POST", "/control/cold"):
            breaks = bool(request.json().get("break_connections", True))
            self._go_cold()
            self.unseen_cold_start_s = None if breaks else self.booted_s
            if breaks:
                exchange.abort_others()
            return json_response({"boot_id": self.boot_id})
        if (method, path) == ("POST", "/control/zone"):
            state = request.json()["state"]
            self.out_since_s = time.monotonic() if state != "in" else None
            return json_response({"state": state})
        return json_response({"error": {"code": "not_found"}}, 404)

    def _counters(self) -> dict[str, Any]:
        counts = self.counts
        return {
            **{name: value for name, value in vars(counts).items() if isinstance(value, int)},
            "requests_by_id": dict(counts.requests_by_id),
            "new_work_out_s": list(counts.new_work_out_s),
            "running": len(self.running),
            "waiting": len(self.waiting),
            "allowance": self.allowance(),
            "boot_id": self.boot_id,
            "orders": self.orders,
        }


def _event_bytes(
    request_id: str,
    model: str,
    delta: dict[str, str],
    finish: str | None,
    sent_s: float | None = None,
) -> bytes:
    document: dict[str, Any] = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    if sent_s is not None:
        document["sent_s"] = sent_s
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"


def serve_engine(settings: EngineSettings) -> int:
    """Serves until a signal; returns the exit status."""
    return serve_routes(settings.address, lambda: EngineStandin(settings))
