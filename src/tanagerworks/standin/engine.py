"""Stand-in for a model engine with a prefix cache, streaming and faults that can be injected.

It runs requests in a limited number of slots, answers deterministically and counts requests,
overloads and cold starts itself, so that tests and demos do not rely on the routers' counts.
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
from tanagerworks.standin.server import Request, ResponseWriter, serve_standin, wait_forever
from tanagerworks.wsgi import Response, json_response

# Limits of the streams kept for resumption and of the recorded request times.
_MAX_RESUMABLE_STREAMS = 2048
_MAX_RECORDED_TIMES = 1000
_SLOW_READER_RETRY_S = 0.02
_DEFAULT_PRIORITY = 5


class EngineSettings(SettingsModel):
    """Settings of the engine stand-in."""

    address: str
    engine_id: str
    slots: int = 16
    cold_slots: int = 1
    # Complete answers after which the allowance of a cold engine doubles.
    warm_answers: int = 4
    starts_warm: bool = False
    tokens_per_s: float = 50.0
    first_token_s: float = 0.05
    prefill_tokens_per_s: float = 5000.0
    cache_tokens: int = 200_000
    # Delays until cache events and load samples become visible to readers.
    cache_event_lag_s: float = 0.5
    load_lag_s: float = 1.0
    model: str = ""
    checks_fencing: bool = False
    # Bearer key that orders must carry; empty if the engine does not check the sender.
    order_key: str = ""
    # Adds the monotonic send time to each event, for latency measurements on one machine.
    stamps_events: bool = False
    seed: int = 1


class EngineFaults(SettingsModel):
    """Faults that can be changed at run time; shares are probabilities between 0 and 1."""

    refuse_share: float = Field(default=0.0, ge=0, le=1)
    # Resets the connection before the request runs.
    drop_share: float = Field(default=0.0, ge=0, le=1)
    # Resets the connection at a random event, or pauses there for `stall_s` seconds.
    break_share: float = Field(default=0.0, ge=0, le=1)
    stall_share: float = Field(default=0.0, ge=0, le=1)
    stall_s: float = 2.0
    # Responds with the id and the text of another request.
    crossed_share: float = Field(default=0.0, ge=0, le=1)
    # Sends the right headers, but from some event on the events of another request.
    crossed_events_share: float = Field(default=0.0, ge=0, le=1)
    cache_event_gap_share: float = Field(default=0.0, ge=0, le=1)
    extra_first_token_s: float = 0.0
    draining: bool = False


class EngineCounts:
    """Counters that ``/control/counters`` returns under the names of the attributes."""

    def __init__(self) -> None:
        self.requests_by_id: Counter[str] = Counter()
        self.requests = 0
        self.max_running = 0
        self.overloaded_samples = 0
        self.cold_overruns = 0
        # Overruns within a second of a cold start that kept the connections open: routers cannot
        # detect such a cold start before a response or a probe reports the new boot id.
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
        # Seconds between taking the engine out of service and each new request.
        self.new_work_out_s: deque[float] = deque(maxlen=_MAX_RECORDED_TIMES)


class Completion:
    """One chat completion request at the engine."""

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
        # Number of token events sent; the stop event and ``[DONE]`` follow the last one.
        self.next_event = 0
        self.stop_sent = False
        self.writer: ResponseWriter | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.finished: asyncio.Future[bool] | None = None
        self.break_at_event: int | None = None
        self.stall_at_event: int | None = None
        self.cross_at_event: int | None = None
        self.response_id = request_id

    @property
    def streamed(self) -> bool:
        """Whether the answer is sent as server-sent events."""
        return bool(self.document.get("stream"))


class EngineStandin:
    """Request handler and state of the engine stand-in."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.rng = random.Random(f"{settings.seed}-{settings.engine_id}")
        self.faults = EngineFaults()
        self.counts = EngineCounts()
        self.cache = PrefixCache(settings.cache_tokens, self.rng)
        self.running: set[Completion] = set()
        # Heap of priority, arrival number and completion.
        self.waiting: list[tuple[int, int, Completion]] = []
        self.arrival_count = 0
        self.resumable: OrderedDict[str, Completion] = OrderedDict()
        self.boot_id = uuid.uuid4().hex
        self.booted_at_s = time.monotonic()
        self.answers_since_boot = 1 << 20 if settings.starts_warm else 0
        # Monotonic time of the last cold start if it kept the connections open, else None.
        self.unannounced_cold_start_at_s: float | None = None
        self.out_of_service_since_s: float | None = None
        self.model = settings.model
        self.role = "serve"
        self.highest_fencing = 0
        self.orders: list[dict[str, Any]] = []
        # Load reports by the monotonic time at which they were taken.
        self.load_history: deque[tuple[float, dict[str, Any]]] = deque([(0.0, self._load_report())])

    async def run_background(self) -> None:
        """Samples the load, which ``/v1/load`` reports `load_lag_s` seconds later."""
        if self.settings.load_lag_s <= 0:
            await wait_forever()
        while True:
            await asyncio.sleep(self.settings.load_lag_s / 4)
            self.load_history.append((time.monotonic(), self._load_report()))
            visible_s = time.monotonic() - self.settings.load_lag_s
            while len(self.load_history) > 1 and self.load_history[1][0] <= visible_s:
                self.load_history.popleft()

    def _load_report(self) -> dict[str, Any]:
        return {
            "running": len(self.running),
            "waiting": len(self.waiting),
            "slots": self.settings.slots,
            "uptime_s": time.monotonic() - self.booted_at_s,
            "draining": self.faults.draining,
            "model": self.model,
            "role": self.role,
        }

    async def handle_request(self, request: Request, writer: ResponseWriter) -> Response | None:
        """Handles one request; see `RequestHandler.handle_request`."""
        method, path = request.method, request.path
        if (method, path) == ("POST", "/v1/chat/completions"):
            return await self._handle_completion(request, writer)
        if method == "GET" and path.startswith("/v1/requests/") and path.endswith("/stream"):
            request_id = path.removeprefix("/v1/requests/").removesuffix("/stream")
            return await self._resume_stream(
                request_id, int(request.query.get("after", "0")), writer
            )
        if method == "DELETE" and path.startswith("/v1/requests/"):
            return self._cancel_request(path.removeprefix("/v1/requests/"))
        if (method, path) == ("GET", "/v1/boot"):
            uptime_s = time.monotonic() - self.booted_at_s
            return self._json_response({"boot_id": self.boot_id, "uptime_s": uptime_s})
        if (method, path) == ("GET", "/v1/load"):
            report = (
                self.load_history[0][1] if self.settings.load_lag_s > 0 else self._load_report()
            )
            return self._json_response(report)
        if (method, path) == ("GET", "/v1/cache/events"):
            return self._list_cache_events(int(request.query.get("after", "0")))
        if (method, path) == ("POST", "/v1/orders"):
            return self._apply_order(request)
        if path.startswith("/control/"):
            return self._handle_control(request, writer)
        return json_response({"error": {"code": "not_found"}}, 404)

    def _json_response(self, document: object, status: int = 200) -> Response:
        return json_response(document, status, [("X-Engine-Boot", self.boot_id)])

    def _refuse_request(self, code: str) -> Response:
        self.counts.refused += 1
        return self._json_response({"error": {"code": code, "message": "not run"}}, 503)

    # Chat completions

    async def _handle_completion(self, request: Request, writer: ResponseWriter) -> Response | None:
        priority = int(request.headers.get("x-priority", _DEFAULT_PRIORITY))
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        completion = Completion(request_id, request.json(), priority)
        completion.chat_key = request.headers.get("x-chat-key", "")
        if self.faults.draining:
            return self._refuse_request("engine_draining")
        if self._should_inject(self.faults.refuse_share):
            return self._refuse_request("engine_refused")
        if self._should_inject(self.faults.drop_share):
            self.counts.refused += 1
            writer.abort()
            return None
        completion.boot_id = self.boot_id
        self._plan_faults(completion)
        self.counts.requests += 1
        self.counts.requests_by_id[request_id] += 1
        if self.out_of_service_since_s is not None:
            self.counts.new_work_out_s.append(time.monotonic() - self.out_of_service_since_s)
        if not await self._run_completion(completion, writer):
            return None
        return None if completion.streamed else self._completion_response(completion)

    def _plan_faults(self, completion: Completion) -> None:
        token_count = len(completion.tokens)
        if self._should_inject(self.faults.break_share):
            completion.break_at_event = self.rng.randrange(token_count + 1)
        if self._should_inject(self.faults.stall_share):
            completion.stall_at_event = self.rng.randrange(token_count)
        if self._should_inject(self.faults.crossed_share):
            self.counts.crossed += 1
            completion.response_id = uuid.uuid4().hex
            completion.tokens = expected_tokens(completion.response_id, token_count)
        elif completion.streamed and self._should_inject(self.faults.crossed_events_share):
            self.counts.crossed += 1
            completion.cross_at_event = self.rng.randrange(token_count)

    def _should_inject(self, share: float) -> bool:
        return share > 0 and self.rng.random() < share

    async def _run_completion(self, completion: Completion, writer: ResponseWriter) -> bool:
        """Runs the completion until it ends; returns whether the answer is complete."""
        completion.writer = writer
        completion.finished = asyncio.get_running_loop().create_future()
        writer.on_disconnect = lambda: self._handle_disconnect(completion)
        self.arrival_count += 1
        if len(self.running) >= self.settings.slots or self._is_allowance_used():
            self._abort_disconnected()
        if len(self.running) < self.settings.slots:
            self._start_completion(completion)
        else:
            heapq.heappush(self.waiting, (completion.priority, self.arrival_count, completion))
        self._count_overload(completion)
        return await completion.finished

    def compute_allowance(self) -> int:
        """Returns how many requests the engine can run at once in its present state of warm-up.

        After a cold start it is `cold_slots`, and doubles with every `warm_answers` complete
        answers up to `slots`. A request above it is counted as a cold overrun.
        """
        doublings = self.answers_since_boot // self.settings.warm_answers
        if doublings > 16:
            return self.settings.slots
        return min(self.settings.slots, self.settings.cold_slots << doublings)

    def _count_since_boot(self) -> int:
        """Returns the number of running and waiting requests that arrived after the cold start."""
        running_count = sum(1 for completion in self.running if completion.boot_id == self.boot_id)
        return running_count + sum(1 for item in self.waiting if item[2].boot_id == self.boot_id)

    def _is_allowance_used(self) -> bool:
        allowance = self.compute_allowance()
        return allowance < self.settings.slots and self._count_since_boot() >= allowance

    def _count_overload(self, completion: Completion) -> None:
        load = len(self.running) + len(self.waiting)
        self.counts.max_running = max(self.counts.max_running, load)
        if load > self.settings.slots:
            self.counts.overloaded_samples += 1
        allowance = self.compute_allowance()
        if allowance < self.settings.slots and self._count_since_boot() > allowance:
            cold_start_at_s = self.unannounced_cold_start_at_s
            if cold_start_at_s is not None and time.monotonic() - cold_start_at_s < 1.0:
                self.counts.cold_overruns_unseen += 1
            else:
                self.counts.cold_overruns += 1

    def _abort_disconnected(self) -> None:
        """Aborts requests whose clients disconnected in this iteration of the event loop.

        Otherwise a disconnect could be processed after a later request and an overload be counted
        that did not exist.
        """
        for completion in [*self.running, *(item[2] for item in self.waiting)]:
            if completion.writer is not None and completion.writer.is_peer_closed():
                completion.writer.abort()

    def _start_completion(self, completion: Completion) -> None:
        messages = completion.document["messages"]
        prompt_tokens = sum(count_tokens(prompt_text([message])) for message in messages)
        cached = (
            self.cache.count_cached_tokens(messages) if not completion.next_event else prompt_tokens
        )
        if not completion.next_event:
            self.counts.prompt_tokens += prompt_tokens
            self.counts.cached_tokens += cached
        self.running.add(completion)
        delay_s = (
            self.settings.first_token_s
            + self.faults.extra_first_token_s
            + (prompt_tokens - cached) / self.settings.prefill_tokens_per_s
        )
        loop = asyncio.get_running_loop()
        if completion.streamed:
            assert completion.writer is not None
            completion.writer.start_response(
                200, [("Content-Type", "text/event-stream"), *self._response_headers(completion)]
            )
            completion.timer = loop.call_later(delay_s, self._send_next_event, completion)
            return
        delay_s += (len(completion.tokens) - 1) / self.settings.tokens_per_s
        if completion.stall_at_event is not None:
            delay_s += self.faults.stall_s
        completion.timer = loop.call_later(delay_s, self._finish_unstreamed, completion)

    def _response_headers(self, completion: Completion) -> list[tuple[str, str]]:
        return [("X-Request-Id", completion.response_id), ("X-Engine-Boot", completion.boot_id)]

    def _send_next_event(self, completion: Completion) -> None:
        """Sends the next event of a stream and schedules the one after it."""
        writer = completion.writer
        assert writer is not None
        loop = asyncio.get_running_loop()
        if writer.paused:
            completion.timer = loop.call_later(
                _SLOW_READER_RETRY_S, self._send_next_event, completion
            )
            return
        event_number = completion.next_event
        if completion.break_at_event is not None and event_number >= completion.break_at_event:
            self._break_connection(completion)
            return
        if completion.stall_at_event is not None and event_number >= completion.stall_at_event:
            completion.stall_at_event = None
            completion.timer = loop.call_later(
                self.faults.stall_s, self._send_next_event, completion
            )
            return
        completion.next_event += 1
        if event_number < len(completion.tokens):
            writer.write_body(self._encode_token(completion, event_number))
            if completion.next_event < len(completion.tokens):
                completion.timer = loop.call_later(
                    1.0 / self.settings.tokens_per_s, self._send_next_event, completion
                )
                return
        if completion.break_at_event is not None:
            self._break_connection(completion)
            return
        self._end_stream(completion, writer)

    def _end_stream(self, completion: Completion, writer: ResponseWriter) -> None:
        if not completion.stop_sent:
            writer.write_body(_encode_event(completion.response_id, completion.model, {}, "stop"))
        writer.write_body(b"data: [DONE]\n\n")
        self._release_slot(completion, complete=True)
        writer.end_response()

    def _encode_token(self, completion: Completion, number: int) -> bytes:
        response_id, token = completion.response_id, completion.tokens[number]
        if completion.cross_at_event is not None and number >= completion.cross_at_event:
            response_id = f"other-{completion.request_id}"
            token = expected_tokens(response_id, number + 1)[number]
        stamp = time.monotonic() if self.settings.stamps_events else None
        return _encode_event(response_id, completion.model, {"content": token}, None, stamp)

    def _finish_unstreamed(self, completion: Completion) -> None:
        if completion.break_at_event is not None:
            self._break_connection(completion)
            return
        self._release_slot(completion, complete=True)

    def _break_connection(self, completion: Completion) -> None:
        self.counts.broken += 1
        self._release_slot(completion, complete=False)
        assert completion.writer is not None
        completion.writer.abort()

    def _completion_response(self, completion: Completion) -> Response:
        prompt_tokens = count_tokens(completion.prompt)
        message = {"role": "assistant", "content": "".join(completion.tokens)}
        body = {
            "id": completion.response_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": completion.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": len(completion.tokens),
                "total_tokens": prompt_tokens + len(completion.tokens),
            },
        }
        return json_response(body, headers=self._response_headers(completion))

    def _release_slot(self, completion: Completion, complete: bool) -> None:
        """Frees the slot of a completion that ended and starts waiting ones."""
        if completion.timer is not None:
            completion.timer.cancel()
        if completion in self.running:
            self.running.discard(completion)
        else:
            self.waiting = [item for item in self.waiting if item[2] is not completion]
            heapq.heapify(self.waiting)
        if completion.writer is not None:
            completion.writer.on_disconnect = None
        self._store_resumable(completion)
        if complete:
            self.counts.whole_answers += 1
            if completion.boot_id == self.boot_id:
                self.answers_since_boot += 1
                self._cache_answer(completion)
        while self.waiting and len(self.running) < self.settings.slots:
            self._start_completion(heapq.heappop(self.waiting)[2])
        if completion.finished is not None and not completion.finished.done():
            completion.finished.set_result(complete)

    def _cache_answer(self, completion: Completion) -> None:
        answer = {"role": "assistant", "content": "".join(completion.tokens)}
        messages: Sequence[Any] = [*completion.document["messages"], answer]
        gap_share = self.faults.cache_event_gap_share
        self.cache.store_prefixes(messages, completion.chat_key, time.monotonic(), gap_share)

    def _store_resumable(self, completion: Completion) -> None:
        if not completion.streamed:
            return
        self.resumable[completion.request_id] = completion
        self.resumable.move_to_end(completion.request_id)
        while len(self.resumable) > _MAX_RESUMABLE_STREAMS:
            self.resumable.popitem(last=False)

    def _handle_disconnect(self, completion: Completion) -> None:
        self.counts.clients_gone += 1
        self._release_slot(completion, complete=False)

    async def _resume_stream(
        self, request_id: str, after: int, writer: ResponseWriter
    ) -> Response | None:
        """Resumes a stream; the response starts after the first `after` events."""
        for other in list(self.running):
            if other.request_id == request_id and other.writer is not None:
                other.writer.abort()
        completion = self.resumable.get(request_id)
        if completion is None or completion.boot_id != self.boot_id:
            return self._json_response({"error": {"code": "unknown_request"}}, 404)
        del self.resumable[request_id]
        self.counts.resumed += 1
        resumed = Completion(request_id, completion.document, completion.priority)
        resumed.chat_key, resumed.boot_id = completion.chat_key, completion.boot_id
        resumed.next_event = min(after, len(resumed.tokens))
        resumed.stop_sent = after > len(resumed.tokens)
        await self._run_completion(resumed, writer)
        return None

    def _cancel_request(self, request_id: str) -> Response:
        self.resumable.pop(request_id, None)
        completions = [*self.running, *(item[2] for item in self.waiting)]
        matching = [completion for completion in completions if completion.request_id == request_id]
        for completion in matching:
            self.counts.cancelled += 1
            assert completion.writer is not None
            completion.writer.abort()
            self.resumable.pop(request_id, None)
        known = request_id in self.counts.requests_by_id
        return self._json_response({"cancelled": len(matching)}, 200 if known else 404)

    def _list_cache_events(self, after: int) -> Response:
        visible_s = time.monotonic() - self.settings.cache_event_lag_s
        events = self.cache.events_after(after, visible_s)
        documents = [event.as_document() for event in events]
        return self._json_response({"boot_id": self.boot_id, "events": documents})

    def _apply_order(self, request: Request) -> Response:
        """Loads a model or an adapter, or changes the role.

        With `checks_fencing`, an order with a lower fencing number than an earlier one is refused.
        """
        key = self.settings.order_key
        if key and request.headers.get("authorization") != f"Bearer {key}":
            return self._json_response({"error": {"code": "unknown_sender"}}, 403)
        document = request.json()
        fencing = int(document["fencing"])
        if self.settings.checks_fencing and fencing < self.highest_fencing:
            return self._json_response({"error": {"code": "stale_fencing"}}, 409)
        self.highest_fencing = max(self.highest_fencing, fencing)
        kind, argument = str(document["kind"]), str(document["argument"])
        if kind == "load_model":
            if argument != self.model:
                self.model = argument
                self._cold_start()
        elif kind == "change_role":
            self.role = argument
        elif kind != "load_adapter":
            return self._json_response({"error": {"code": "unknown_order"}}, 400)
        self.orders.append({"kind": kind, "argument": argument, "fencing": fencing})
        return self._json_response({"done": True})

    def _cold_start(self) -> None:
        self.boot_id = uuid.uuid4().hex
        self.booted_at_s = time.monotonic()
        self.answers_since_boot = 0
        self.counts.cold_starts += 1
        self.cache.clear()

    # Control interface

    def _handle_control(self, request: Request, writer: ResponseWriter) -> Response:
        method, path = request.method, request.path
        if (method, path) == ("GET", "/control/counters"):
            return json_response(self._counters_document())
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
            break_connections = bool(request.json().get("break_connections", True))
            self._cold_start()
            self.unannounced_cold_start_at_s = None if break_connections else self.booted_at_s
            if break_connections:
                writer.abort_other_connections()
            return json_response({"boot_id": self.boot_id})
        if (method, path) == ("POST", "/control/zone"):
            state = request.json()["state"]
            self.out_of_service_since_s = time.monotonic() if state != "in" else None
            return json_response({"state": state})
        return json_response({"error": {"code": "not_found"}}, 404)

    def _counters_document(self) -> dict[str, Any]:
        counts = self.counts
        return {
            **{name: value for name, value in vars(counts).items() if isinstance(value, int)},
            "requests_by_id": dict(counts.requests_by_id),
            "new_work_out_s": list(counts.new_work_out_s),
            "running": len(self.running),
            "waiting": len(self.waiting),
            "allowance": self.compute_allowance(),
            "boot_id": self.boot_id,
            "orders": self.orders,
        }


def _encode_event(
    request_id: str,
    model: str,
    delta: dict[str, str],
    finish_reason: str | None,
    sent_s: float | None = None,
) -> bytes:
    document: dict[str, Any] = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }
    if sent_s is not None:
        document["sent_s"] = sent_s
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"


def serve_engine(settings: EngineSettings) -> int:
    """Serves until a signal arrives; returns the exit status."""
    return serve_standin(settings.address, lambda: EngineStandin(settings))
