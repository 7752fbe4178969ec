"""Decides which orders this node sends so that engines serve the model and version of the note.

Each node computes the sender of an engine's orders from the note and its view of the live nodes,
without shared state. Two nodes may disagree on which nodes are alive. Fencing numbers, and for
engines that ignore them a stricter choice of the sender, prevent an outdated order from undoing a
newer one.
"""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from tanagerworks.note.model import Engine, Note
from tanagerworks.routing.ranking import rank_engines

# An older state of an engine is read again before an order is sent.
MAX_READ_AGE_S = 1.0
# An order without effect is retried after this time. Engines report a new model only after they
# have loaded it, and their reports lag.
RETRY_AFTER_S = 120.0
# Incarnations are milliseconds of the boot clock, which need 44 bits for 557 years.
_INCARNATION_BITS = 44


@dataclass(frozen=True)
class Order:
    """An order to an engine; `fencing` increases with the note's serial, then the incarnation."""

    engine_id: str
    kind: str
    argument: str
    fencing: int


def fencing_number(serial: int, incarnation: int) -> int:
    """Returns the fencing number of a process: the note's serial, then its incarnation.

    The serial is in the high bits, so a node with an older note always has a lower number than
    one with a newer note. The number has up to 97 bits.

    Raises:
        ValueError: the incarnation does not fit.
    """
    if not 0 <= incarnation < 1 << _INCARNATION_BITS:
        raise ValueError(f"incarnation {incarnation} does not fit in {_INCARNATION_BITS} bits")
    return (serial << _INCARNATION_BITS) | incarnation


def order_sender(
    engine_id: str, engine: Engine, nodes: Collection[str], live_nodes: Collection[str]
) -> str | None:
    """Returns the node that sends an engine's orders; None if no node may.

    It is the first live node of the engine's rendezvous hash. An engine that ignores fencing
    numbers gets orders only from the first of all nodes of the note: while that node seems dead,
    no node sends, because it may only be partitioned and still send orders.
    """
    for node_id in rank_engines(f"orders\0{engine_id}", dict.fromkeys(nodes, 1.0)):
        if node_id in live_nodes:
            return node_id
        if not engine.checks_fencing:
            return None
    return None


def load_model_argument(engine: Engine) -> str:
    """Returns the argument of a `load_model` order for the model and version of the note."""
    return f"{engine.model}:{engine.version}"


def model_differs(engine: Engine, reported_model: str) -> bool:
    """Returns whether an engine reports another model or version than the note states.

    An engine may report ``MODEL:VERSION``, only the model, or nothing; what it does not report is
    assumed to match.
    """
    model, _, version = reported_model.partition(":")
    if not model:
        return False
    return model != engine.model or (bool(version) and version != engine.version)


class LoadPacer:
    """Keeps the loads of all nodes within the rate of the weight store, without shared state.

    The rate is divided equally among all nodes of the note, because a node that seems dead may
    still start loads.
    """

    def __init__(self, loads_per_s: float, random: Random) -> None:
        self.loads_per_s = loads_per_s
        self.random = random
        self.next_at_s: float | None = None

    def try_start_load(self, nodes: int, now_s: float) -> bool:
        """Returns whether this node may start a load now; counts it if so."""
        interval_s = nodes / self.loads_per_s
        if self.next_at_s is None:
            # Spreads the first loads of nodes that receive a new note at the same time.
            self.next_at_s = now_s + self.random.random() * interval_s
        if now_s < self.next_at_s:
            return False
        self.next_at_s = now_s + interval_s
        return True


class OrderPlanner:
    """Decides the orders of one node; records those it has sent and those that were refused."""

    def __init__(self, node_id: str, pacer: LoadPacer) -> None:
        self.node_id = node_id
        self.pacer = pacer
        # Last order by engine, and the time at which it was sent.
        self.sent: dict[str, tuple[Order, float]] = {}
        # Last refused order by engine, which is not retried with the same fencing number.
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
        """Returns the order that must be sent now, None if there is none.

        `reported_model` is what the engine reported at `read_at_s`; without a report of the last
        `MAX_READ_AGE_S` seconds there is no order.
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
        if last == order and now_s - sent_at_s < RETRY_AFTER_S:
            return None
        if not self.pacer.try_start_load(len(nodes), now_s):
            return None
        self.sent[engine_id] = (order, now_s)
        return order

    def record_refusal(self, order: Order) -> None:
        """Records that an engine refused an order, so that the same order is not retried."""
        self.refused[order.engine_id] = order
