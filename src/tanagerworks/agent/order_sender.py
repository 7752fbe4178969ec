"""Reads the models that engines report, and sends the orders that the planner decides on."""

import asyncio
import json
import logging
from collections.abc import Callable, Collection
from pathlib import Path
from random import Random

from pydantic import BaseModel, ValidationError
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from tanagerworks.agent.daemon_call import call_in_daemon_thread
from tanagerworks.audit.trail import AuditTrail, EventKind
from tanagerworks.errors import BackendError, BackendProtocolError, SettingsError
from tanagerworks.note.model import Note
from tanagerworks.orders.decision import MAX_READ_AGE_S, LoadPacer, Order, OrderPlanner
from tanagerworks.settings.orders import OrderSettings

_LOGGER = logging.getLogger(__name__)
_HTTP_OK = 200
_HTTP_FORBIDDEN = 403
_HTTP_CONFLICT = 409
_MAX_ANSWER_BYTES = 65_536
_READ_TIMEOUT_S = 1.0


class OrderRefusedError(BackendError):
    """An engine refused an order: its fencing number is outdated or its sender unknown."""

    code = "order_refused"


class OrderExpiredError(BackendError):
    """The engine's state was read too long ago for the order to be sent."""

    code = "order_expired"


class _LoadResponse(BaseModel):
    model: str = ""


class OrderClient:
    """Reads the models of engines and sends orders; thread-safe."""

    def __init__(self, settings: OrderSettings, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.key = _read_key(settings.key_file)
        self.timeout_s = settings.timeout_s
        self.pool = PoolManager(num_pools=64, retries=False)

    def read_model(self, address: str) -> str:
        """Returns the model that the engine at `address` reports; empty if it reports none.

        Raises:
            BackendError: the engine did not answer, or not in the published format.
        """
        status, content = self._request(
            "GET", f"http://{address}/v1/load", timeout_s=_READ_TIMEOUT_S
        )
        if status != _HTTP_OK:
            raise BackendProtocolError(f"{address}: answered {status} to /v1/load")
        try:
            return _LoadResponse.model_validate_json(content).model
        except ValidationError as error:
            raise BackendProtocolError(f"{address}: the report has a wrong format") from error

    def send_order(self, address: str, order: Order, authenticates: bool, read_at_s: float) -> None:
        """Sends an order, unless the engine was read more than `MAX_READ_AGE_S` ago.

        Raises:
            OrderExpiredError: the engine has to be read again first; nothing was sent.
            OrderRefusedError: the engine refused the order.
            BackendError: the engine did not answer, or not in the published format.
        """
        # A decimal string, because JSON parsers may round integers of over 53 bits.
        document = {"kind": order.kind, "argument": order.argument, "fencing": str(order.fencing)}
        headers = {"Content-Type": "application/json"}
        if authenticates and self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        body = json.dumps(document).encode()
        if self.clock() - read_at_s > MAX_READ_AGE_S:
            raise OrderExpiredError(f"{address}: the engine was read too long ago")
        status, _content = self._request("POST", f"http://{address}/v1/orders", body, headers)
        if status in (_HTTP_FORBIDDEN, _HTTP_CONFLICT):
            raise OrderRefusedError(f"{address}: refused the order with status {status}")
        if status != _HTTP_OK:
            raise BackendProtocolError(f"{address}: answered {status} to an order")

    def _request(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        limit_s = timeout_s or self.timeout_s
        try:
            response = self.pool.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=Timeout(connect=limit_s, read=limit_s),
                redirect=False,
                preload_content=False,
            )
            content = response.read(_MAX_ANSWER_BYTES)
            response.release_conn()
        except HTTPError as error:
            raise BackendError(f"{url}: {type(error).__name__}") from error
        return response.status, content


def _read_key(path: str | None) -> str:
    if path is None:
        return ""
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, "orders.key_file", "cannot be read") from error


class OrderSender:
    """Compares engines with the note once a period and sends orders; runs on the event loop."""

    def __init__(
        self,
        node_id: str,
        settings: OrderSettings,
        trail: AuditTrail,
        random: Random,
        *,
        clock: Callable[[], float],
        note: Callable[[], Note | None],
        incarnation: Callable[[], int],
        live_nodes: Callable[[], Collection[str]],
    ) -> None:
        self.settings = settings
        self.trail = trail
        self.clock = clock
        self.note = note
        self.incarnation = incarnation
        self.live_nodes = live_nodes
        self.client = OrderClient(settings, clock)
        self.planner = OrderPlanner(node_id, LoadPacer(settings.loads_per_s, random))

    async def run(self) -> None:
        """Checks the engines that this node is responsible for, until cancelled."""
        while True:
            await asyncio.sleep(self.settings.check_period_s)
            note = self.note()
            if note is None:
                continue
            for engine_id in self.planner.assigned_engines(note, self.live_nodes()):
                await self._check_engine(engine_id)

    async def _check_engine(self, engine_id: str) -> None:
        note = self.note()
        engine = note.statement.engines.get(engine_id) if note else None
        if engine is None:
            return
        read_at_s = self.clock()
        try:
            model = await call_in_daemon_thread(
                self.client.read_model, engine.address, name="order-read"
            )
        except BackendError:
            # The probes report engines that do not answer.
            return
        # The note and the live nodes may have changed during the read.
        note = self.note()
        if note is None or note.statement.engines.get(engine_id) != engine:
            return
        order = self.planner.next_order(
            note, self.incarnation(), self.live_nodes(), engine_id, model, read_at_s, self.clock()
        )
        if order is None:
            return
        self._record_order(EventKind.ORDER_SENT, order, note.serial, model, "")
        try:
            await call_in_daemon_thread(
                self.client.send_order,
                engine.address,
                order,
                engine.checks_sender,
                read_at_s,
                name="order-send",
            )
        except OrderRefusedError as error:
            self.planner.record_refusal(order)
            self._record_order(EventKind.ORDER_REFUSED, order, note.serial, model, error.message)
        except OrderExpiredError as error:
            self.planner.sent.pop(engine_id, None)
            self._record_order(EventKind.ORDER_REFUSED, order, note.serial, model, error.message)
        except BackendError as error:
            _LOGGER.warning(
                "sending an order failed", extra={"engine": engine_id, "error": error.message}
            )

    def _record_order(
        self, kind: EventKind, order: Order, serial: int, model: str, reason: str
    ) -> None:
        self.trail.record(
            kind,
            who=f"nodes.{self.trail.node_id}",
            subject=f"engines.{order.engine_id}",
            serial=serial,
            before=model,
            after=f"{order.kind} {order.argument}",
            reason=reason or f"fencing {order.fencing}",
        )
