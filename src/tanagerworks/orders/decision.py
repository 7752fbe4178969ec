"""Decides which orders this node sends so that engines serve the stated model and version.

Every node computes the sender of an engine's orders from the note and the living nodes, so nothing
is shared. Two nodes may disagree on who lives; fencing numbers, and for engines that ignore them a
stricter choice of the sender, keep an outdated order from undoing a newer one.
"""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from tanagerworks.note.model import Engine, Note
from tanagerworks.routing.ranking import rank_engines

# An engine's state that was read longer ago than this is read again before an order is sent.
MAX_READ_AGE_S = 1.0
# An order shows in the engine's reports after the load and the lag of the reports.
REPEAT_AFTER_S = 120.0
# Incarnations are milliseconds of the boot clock, which need 44 bits for 557 years.
_INCARNATION_BITS = 44


@dataclass(frozen=True)
class Order:
    """One order to an engine; `fencing` grows with the note's serial, then the incarnation."""

    engine_id: str
    kind: str
    argument: str
    fencing: int


def fencing_number(serial: int, incarnation: int) -> int:
    """Returns the fencing number of a process: the note's serial above its incarnation.

    A node on an older note always has a lower number than one on a newer note. The number has up
    to 97 bits.

    Raises:
        ValueError: the incarnation does not fit.
    """
    if not 0 <= incarnation < 1 << _INCARNATION_BITS:
        raise ValueError(f"incarnation {incarnation} is over {_INCARNATION_BITS} bits")
    return (serial << _INCARNATION_BITS) | incarnation


def order_sender(
    engine_id: str, engine: Engine, nodes: Collection[str], live_nodes: Collection[str]
) -> str | None:
    """Returns the node that sends an engine's orders; None if no node may.

    It is the engine's first living node by rendezvous hash. An engine that ignores fencing numbers
    gets orders only from the first of all nodes of the note: while that one is away, nobody sends,
    since it may only be cut off and still send.
    """
    for node_id in rank_engines(f"orders\0{engine_id}", dict.fromkeys(nodes, 1.0)):
        if node_id in live_nodes:
            return node_id
        if not engine.checks_fencing:
            return None
    return None


def load_model_argument(engine: Engine) -> str:
    """Returns the argument of a `load_model` order for the stated model and version."""
    return f"{engine.model}:{engine.version}"


def model_differs(engine: Engine, reported_model: str) -> bool:
    """Returns whether an engine reports another model or version than the stated one.

    An engine may report ``MODEL:VERSION``, only the model, or nothing; what it does not report is
    taken as it should be.
    """
    model, _, version = reported_model.partition(":")
    if not model:
        return False
    return model != engine.model or (bool(version) and version != engine.version)


class LoadPacer:
    """Keeps the loads of all nodes below the rate of the weight store, without shared state.

    Each node takes an equal part of the rate, over all nodes of the note: nodes that are away may
    still load.
    """

    def __init__(self, loads_per_s: float, random: Random) -> None:
        self.loads_per_s = loads_per_s
        self.random = random
        self.next_at_s: float | None = None

    def try_start_load(self, nodes: int, now_s: float) -> bool:
        """Returns whether this node may start a load now, and counts it if so."""
        interval_s = nodes / self.loads_per_s
        if self.next_at_s is None:
            # Spreads the first loads of nodes that see a new note at the same time.
            self.next_at_s = now_s + self.random.random() * interval_s
        if now_s < self.next_at_s:
            return False
        self.next_at_s = now_s + interval_s
        return True


class OrderPlanner:
    """The orders of one node: what it has sent and what it may send next."""

    def __init__(self, node_id: str, pacer: LoadPacer) -> None:
        self.node_id = node_id
        self.pacer = pacer
        # Last order by engine, and when it was sent.
        self.sent: dict[str, tuple[Order, float]] = {}
        # Orders that an engine refused; the same number is refused again.
        self.refused: dict[str, Order] = {}

    def assigned_engines(self, note: Note, live_nodes: Collection[str]) -> list[str]:
        """Returns the engines to which this node sends orders."""
        statement = note.statement
        for known in (self.sent, self.refused):
            for engine_id in known.keys() - statement.engines.keys():
                del known[engine_id]
        return [
            engine_id
            for engine_id, engine in sorted(statement.engines.items())
            if order_sender(engine_id, engine, statement.nodes, live_nodes) == self.node_id
        ]

    def next_order(
        self,
        note: Note,
        incarnation: int,
        live_nodes: Collection[str],
        engine_id: str,
        reported_model: str,
        read_at_s: float,
        now_s: float,
    ) -> Order | None:
        """Returns the order that has to be sent now, None if there is none.

        `reported_model` is what the engine said at `read_at_s`; an older answer gives no order.
        """
        engine = note.statement.engines.get(engine_id)
        if engine is None or now_s - read_at_s > MAX_READ_AGE_S:
            return None
        nodes = note.statement.nodes
        if order_sender(engine_id, engine, nodes, live_nodes) != self.node_id:
            return None
        if not model_differs(engine, reported_model):
            self.sent.pop(engine_id, None)
            return None
        fencing = fencing_number(note.serial, incarnation)
        order = Order(engine_id, "load_model", load_model_argument(engine), fencing)
        if self.refused.get(engine_id) == order:
            return None
        last, sent_at_s = self.sent.get(engine_id, (None, 0.0))
        if last == order and now_s - sent_at_s < REPEAT_AFTER_S:
            return None
        if not self.pacer.try_start_load(len(nodes), now_s):
            return None
        self.sent[engine_id] = (order, now_s)
        return order

    def record_refusal(self, order: Order) -> None:
        """Takes an engine's refusal; the order is not sent again under this number."""
        self.refused[order.engine_id] = order
