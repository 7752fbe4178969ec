"""Stand-in for an order service, whose bookings and debits must not run twice."""

import asyncio
import random
import time
from collections import Counter, deque
from typing import Any

from pydantic import Field

from tanagerworks.settings.loader import SettingsModel
from tanagerworks.standin.server import Request, ResponseWriter, serve_standin, wait_forever
from tanagerworks.wsgi import Response, json_response

_MAX_RECORDED_TIMES = 1000


class OrderServiceSettings(SettingsModel):
    """Settings of the order service stand-in."""

    address: str
    server_id: str
    # Replays the stored response to a request with a known Idempotency-Key.
    deduplicates: bool = False
    work_s: float = 0.002
    seed: int = 1


class OrderServiceFaults(SettingsModel):
    """Faults that can be changed at run time; shares are probabilities between 0 and 1."""

    refuse_share: float = Field(default=0.0, ge=0, le=1)
    # Resets the connection before the order is executed, or after it.
    break_before_share: float = Field(default=0.0, ge=0, le=1)
    break_after_share: float = Field(default=0.0, ge=0, le=1)
    # Executes the order without delay but responds `late_s` seconds later.
    late_answer_share: float = Field(default=0.0, ge=0, le=1)
    # Executes the order `late_s` seconds later, even if the caller has disconnected by then.
    late_execution_share: float = Field(default=0.0, ge=0, le=1)
    late_s: float = 2.0


class OrderServiceStandin:
    """Request handler and state of the order service stand-in."""

    def __init__(self, settings: OrderServiceSettings) -> None:
        self.settings = settings
        self.rng = random.Random(f"{settings.seed}-{settings.server_id}")
        self.faults = OrderServiceFaults()
        # Number of executions by the caller's order number, or by request id if it sent none.
        self.executions: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.answers_by_key: dict[str, dict[str, Any]] = {}
        self.tasks: set[asyncio.Task[dict[str, Any]]] = set()
        # Bookings and debits received, including refused ones.
        self.requests = 0
        self.out_of_service_since_s: float | None = None
        # For each request after this server's zone was taken out: seconds since then.
        self.new_work_out_s: deque[float] = deque(maxlen=_MAX_RECORDED_TIMES)

    async def run_background(self) -> None:
        """Waits until it is cancelled; this stand-in has no background work."""
        await wait_forever()

    async def handle_request(self, request: Request, writer: ResponseWriter) -> Response | None:
        """Handles one request; see `RequestHandler.handle_request`."""
        method, path = request.method, request.path
        if path.startswith("/control/"):
            return self._handle_control(request)
        if self.out_of_service_since_s is not None:
            self.new_work_out_s.append(time.monotonic() - self.out_of_service_since_s)
        if method == "POST" and path in ("/bookings", "/debits"):
            return await self._handle_order(request, writer)
        if method == "GET" and path.startswith("/orders/"):
            order_number = path.rpartition("/")[2]
            return json_response(
                {"order": order_number, "executed": self.executions[order_number] > 0}
            )
        if method == "GET" and path.startswith("/stock/"):
            return json_response({"item": path.rpartition("/")[2], "quantity": 7})
        return json_response({"error": {"code": "not_found"}}, 404)

    async def _handle_order(self, request: Request, writer: ResponseWriter) -> Response | None:
        order_number = request.headers.get("x-order-number") or request.headers.get(
            "x-request-id", ""
        )
        key = request.headers.get("idempotency-key", "")
        self.requests += 1
        if self._should_inject(self.faults.refuse_share):
            self.refused[order_number] += 1
            return json_response({"error": {"code": "refused", "message": "not run"}}, 503)
        if self._should_inject(self.faults.break_before_share):
            writer.abort()
            return None
        delay_s = self.settings.work_s
        if self._should_inject(self.faults.late_execution_share):
            delay_s += self.faults.late_s
        # Runs in a separate task, as a server does not stop its work when the caller disconnects.
        task = asyncio.create_task(self._execute_order(order_number, key, delay_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        answer = await asyncio.shield(task)
        if self._should_inject(self.faults.break_after_share):
            writer.abort()
            return None
        if self._should_inject(self.faults.late_answer_share):
            await asyncio.sleep(self.faults.late_s)
        return json_response(answer, 201)

    async def _execute_order(self, order_number: str, key: str, delay_s: float) -> dict[str, Any]:
        await asyncio.sleep(delay_s)
        if self.settings.deduplicates and key in self.answers_by_key:
            return self.answers_by_key[key]
        self.executions[order_number] += 1
        answer = {"order": order_number, "server": self.settings.server_id}
        if self.settings.deduplicates and key:
            self.answers_by_key[key] = answer
        return answer

    def _should_inject(self, share: float) -> bool:
        return share > 0 and self.rng.random() < share

    def _handle_control(self, request: Request) -> Response:
        method, path = request.method, request.path
        if (method, path) == ("GET", "/control/executions"):
            return json_response(
                {
                    "executions": dict(self.executions),
                    "refused": dict(self.refused),
                    "requests": self.requests,
                    "new_work_out_s": list(self.new_work_out_s),
                }
            )
        if (method, path) == ("POST", "/control/zone"):
            state = request.json()["state"]
            self.out_of_service_since_s = time.monotonic() if state != "in" else None
            return json_response({"state": state})
        if path == "/control/faults":
            if method == "POST":
                changed = {**self.faults.model_dump(), **request.json()}
                self.faults = OrderServiceFaults.model_validate(changed)
            elif method == "DELETE":
                self.faults = OrderServiceFaults()
            return json_response(self.faults.model_dump())
        return json_response({"error": {"code": "not_found"}}, 404)


def serve_order_service(settings: OrderServiceSettings) -> int:
    """Serves until a signal arrives; returns the exit status."""
    return serve_standin(settings.address, lambda: OrderServiceStandin(settings))
