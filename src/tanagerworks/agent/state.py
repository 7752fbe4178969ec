"""State of the node agent, changed only on its event loop."""

import asyncio

from tanagerworks.note.model import Note
from tanagerworks.routing.slots import SlotId, SlotLedger
from tanagerworks.rpc.tanager_pb2 import EngineView, View


class AgentState:
    """The note in force, the slot ledger and the views sent to routers."""

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.note: Note | None = None
        self.ledger = SlotLedger(node_id)
        self.draining = False
        # Set while an operator keeps new work from this node.
        self.closed = False
        self.changed = asyncio.Event()

    def accept(self, note: Note) -> None:
        """Puts a note in force."""
        self.note = note
        self.ledger.apply(note.statement)
        self.notify()

    def notify(self) -> None:
        """Wakes all watchers of the view."""
        self.changed.set()
        self.changed = asyncio.Event()

    def view(self, known_serial: int) -> View:
        """Returns the view for a router that has the note `known_serial`."""
        view = View(node_id=self.node_id, draining=self.draining, ready=self.note is not None)
        if self.note is None:
            return view
        view.note_serial = self.note.serial
        if self.note.serial != known_serial:
            view.note = self.note.canonical()
        for engine_id, engine in self.note.statement.engines.items():
            zone = self.note.statement.zones[engine.zone]
            view.engines.append(
                EngineView(
                    engine_id=engine_id,
                    eligible=zone.state.value == "in",
                    allowance=engine.slots,
                )
            )
        return view

    def claim(self, engine_ids: list[str]) -> tuple[SlotId, int] | None:
        """Returns the first free slot in order of preference."""
        if self.note is None:
            return None
        for engine_id in engine_ids:
            engine = self.note.statement.engines.get(engine_id)
            if engine is None:
                continue
            granted = self.ledger.claim(engine_id, engine.slots)
            if granted is not None:
                return granted
        return None
