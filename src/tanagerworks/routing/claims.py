"""Claims for engine slots, and what a node decides on them."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from tanagerworks.errors import TanagerError
from tanagerworks.routing.placement import Candidate
from tanagerworks.routing.slots import Grant, SlotId


@dataclass(slots=True)
class Claim:
    """A request for a slot; times are on the node's CLOCK_BOOTTIME."""

    claim_id: str
    holder: str
    customer: str
    request_class: str
    deadline_s: float
    candidates: Sequence[Candidate]
    arrived_at_s: float
    chat_hash: int = 0
    explain: bool = False
    borrow_attempts: int = 0
    # Engines that no peer lent a slot of; asked again after `borrow_retry_at_s`.
    refused_engines: set[str] = field(default_factory=set)
    borrow_retry_at_s: float = -math.inf
    # Peers that report no free slot are asked again after `ask_retry_at_s`, at growing intervals.
    ask_retry_at_s: float = -math.inf
    ask_rounds: int = 0
    borrowing: bool = False
    peers: list[str] = field(default_factory=list)
    wishes: tuple[tuple[str, int], ...] = ()
    trace: list[str] = field(default_factory=list)

    @property
    def borrow_id(self) -> str:
        """Name of the current attempt to borrow."""
        return f"{self.claim_id}#{self.borrow_attempts}"

    def add_trace_step(self, stage: str, reason: str) -> None:
        """Adds a stage to the trace, if the caller wants one."""
        if self.explain:
            self.trace.append(f"{stage}: {reason}")


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim has a slot. `cold` slots need no proof of the boot id."""

    claim: Claim
    grant: Grant
    boot_id: str
    cold: bool


@dataclass(frozen=True, slots=True)
class MustBorrow:
    """The claim needs a slot of a peer; `peers` in the order in which to ask them."""

    claim: Claim
    # Names this attempt to the lenders, so that a repeated request gets the same slot.
    borrow_id: str
    peers: Sequence[str]
    wishes: Sequence[tuple[str, int]]


@dataclass(frozen=True, slots=True)
class Queued:
    """The claim waits in the admission queue."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Refused:
    """The claim is refused; nothing ran."""

    claim: Claim
    error: type[TanagerError]
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class ReturnSlot:
    """A borrowed slot that goes back to its owner."""

    lender: str
    slot: SlotId
    loan_id: int


Decision = Granted | MustBorrow | Queued | Refused
Effect = Granted | MustBorrow | Refused | ReturnSlot


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a router saw of an engine while it served one request."""

    engine_id: str
    boot_id: str = ""
    whole: bool = False
    first_token_s: float = 0.0
    expected_first_token_s: float = 0.0
    failure: str = ""
    chat_hash: int = 0
    first_choice: str = ""


@dataclass(frozen=True, slots=True)
class NodeReport:
    """What a node tells its peers about itself."""

    note_serial: int
    # The node's own time; orders its reports of running requests.
    stamp_s: float
    drained_serial: int
    all_drained_serial: int
    running: Mapping[str, int]
    # Engine id -> (lowest free index, number of free slots).
    free: Mapping[str, tuple[int, int]]
    # (engine id, boot id, answers seen by the node).
    warm_answers: Sequence[tuple[str, str, int]]
    # (chat hash, engine id); an empty engine id means the first choice again.
    placement_overrides: Sequence[tuple[int, str]]
