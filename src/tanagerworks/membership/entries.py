"""What one node says of itself, as it travels between nodes."""

from dataclasses import dataclass
from enum import Enum

# Order of entries of one node: a later process first, then a later entry of one process.
Version = tuple[int, int]


class Liveness(Enum):
    """How a node looks from here."""

    ALIVE = "alive"
    # Without progress of its heartbeat for a while.
    SUSPECT = "suspect"
    DEAD = "dead"
    # Ended all its work and said so.
    STOPPED = "stopped"


LIVE_STATES = frozenset({Liveness.ALIVE, Liveness.SUSPECT})


@dataclass(frozen=True, slots=True)
class Entry:
    """One node's own account of itself.

    `incarnation` orders the successive processes of a node, `heartbeat` the entries of one
    process. `payload` is opaque here; its length counts towards the bound of an exchange.
    """

    node_id: str
    version: Version
    leaving: bool = False
    clean_stop: bool = False
    payload: bytes = b""

    @property
    def incarnation(self) -> int:
        """Number of the process that wrote the entry."""
        return self.version[0]


def first_incarnation(boot_clock_s: float) -> int:
    """Returns the number of a process that starts now, in milliseconds of the VM's boot clock."""
    return int(boot_clock_s * 1000)


def next_incarnation(own: int, highest_reported: int) -> int:
    """Returns a number above all that peers remember of this node.

    Nothing is kept on disk and the clock of a new VM may be behind that of the old one, so a
    clock alone does not order the processes.
    """
    return max(own, highest_reported + 1)
