"""The state that a node announces about itself and that its peers pass on."""

from dataclasses import dataclass
from enum import Enum

# (incarnation, heartbeat) of an entry. For entries of one node the greater tuple is newer: entries
# of a later process come after those of an earlier one, and within a process in order.
EntryVersion = tuple[int, int]


class Liveness(Enum):
    """State of a node as this node's failure detector sees it."""

    ALIVE = "alive"
    # The heartbeat has not advanced for longer than the suspect timeout.
    SUSPECT = "suspect"
    # The heartbeat has not advanced for longer than the dead timeout, or the node is unknown.
    DEAD = "dead"
    # The node announced that its process ends and has finished all its work.
    STOPPED = "stopped"


# A suspect node counts as live, since its heartbeats may only be delayed.
LIVE_STATES = frozenset({Liveness.ALIVE, Liveness.SUSPECT})


@dataclass(frozen=True, slots=True)
class Entry:
    """State of one node, as announced by that node.

    `leaving` is set when the process of the node is ending, `clean_stop` if it has finished all its
    work by then. `payload` holds the serialized rest of the state, which this package does not
    decode; its length counts towards the maximum size of a message.
    """

    node_id: str
    version: EntryVersion
    leaving: bool = False
    clean_stop: bool = False
    payload: bytes = b""

    @property
    def incarnation(self) -> int:
        """Incarnation of the process that announced the entry."""
        return self.version[0]


def first_incarnation(boot_clock_s: float) -> int:
    """Returns the incarnation of a process that starts now: the VM's uptime in milliseconds."""
    return int(boot_clock_s * 1000)


def next_incarnation(own: int, highest_reported: int) -> int:
    """Returns an incarnation above every one that peers have reported for this node.

    Nothing is stored on disk, and the boot clock of a new VM may be behind that of the VM it
    replaces, so the clock alone does not order the processes of a node.
    """
    return max(own, highest_reported + 1)
