"""Claims for engine slots, the decisions of a node on them, and its reports to peers."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from tanagerworks.errors import TanagerError
from tanagerworks.routing.placement import Candidate
from tanagerworks.routing.slots import Grant, SlotId


@dataclass(slots=True)
class Claim:
    """A router's request for a slot; times are seconds on the node's CLOCK_BOOTTIME."""

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
    # Engines of which no peer lent a slot; they are cleared at `borrow_retry_at_s`.
    refused_engines: set[str] = field(default_factory=set)
    borrow_retry_at_s: float = -math.inf
    # Peers that report no free slot are not asked before `ask_retry_at_s`.
    ask_retry_at_s: float = -math.inf
    ask_rounds: int = 0
    # A Borrow call for the claim is in progress.
    borrowing: bool = False
    # The full queue dropped the claim for that of another customer.
    dropped: bool = False
    # Peers still to ask, in order.
    peers: list[str] = field(default_factory=list)
    # (engine id, slot index limit), in order of preference.
    wanted_slots: tuple[tuple[str, int], ...] = ()
    trace: list[str] = field(default_factory=list)

    @property
    def borrow_id(self) -> str:
        """Id of the current attempt to borrow."""
        return f"{self.claim_id}#{self.borrow_attempts}"

    def add_trace_step(self, stage: str, reason: str) -> None:
        """Appends a stage to the trace if the caller asked for one."""
        if self.explain:
            self.trace.append(f"{stage}: {reason}")


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim has a slot.

    `cold` is set if the slot may be used even directly after a start of the engine, so the router
    need not check the boot id.
    """

    claim: Claim
    grant: Grant
    boot_id: str
    cold: bool


@dataclass(frozen=True, slots=True)
class MustBorrow:
    """The claim needs a slot of a peer; `peers` are in the order in which to ask them."""

    claim: Claim
    # Identifies this attempt to the lenders, so that a repeated request gets the same slot.
    borrow_id: str
    peers: Sequence[str]
    wanted_slots: Sequence[tuple[str, int]]


@dataclass(frozen=True, slots=True)
class Queued:
    """The claim waits in the admission queue."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Refused:
    """The claim is refused; no work was started."""

    claim: Claim
    error: type[TanagerError]
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class ReturnSlot:
    """A borrowed slot to return to its owner."""

    lender: str
    slot: SlotId
    loan_id: int


Decision = Granted | MustBorrow | Queued | Refused
# What the agent has to carry out after a call of the scheduler.
Effect = Granted | MustBorrow | Refused | ReturnSlot


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a router observed of an engine while it served one request.

    `whole` is set if the answer was complete. `failure` is an error code, empty without failure.
    `first_token_s` is the time from sending to the first token, 0 without one, and
    `expected_first_token_s` the time to prefill the whole prompt.
    """

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
    """State that a node reports to its peers."""

    note_serial: int
    # Orders the node's reports of running requests; on its own clock.
    stamp_s: float
    drained_serial: int
    all_drained_serial: int
    running: Mapping[str, int]
    # Engine id: (lowest free index, number of free slots).
    free: Mapping[str, tuple[int, int]]
    # (engine id, boot id, answers counted by the node).
    warm_answers: Sequence[tuple[str, str, int]]
    # (chat hash, engine id); an empty engine id removes the chat's override.
    placement_overrides: Sequence[tuple[int, str]]
