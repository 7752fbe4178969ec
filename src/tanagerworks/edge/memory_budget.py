"""Bounds the memory and the connections that callers make one process hold.

Every connection states what it holds: heads, bodies, input that is not parsed yet, unsent output.
What does not fit is refused. Before that, room is made by ending connections that hold memory and
deliver nothing. All decisions are pure: times are arguments, in seconds of the event loop's clock,
sizes are in bytes.
"""

from collections import OrderedDict
from enum import Enum
from typing import Protocol

from tanagerworks.edge.body_budget import BodyBudget

# Input that has not delivered `PROGRESS_BYTES` for this long may be ended to make room. Callers on
# working links deliver that much in milliseconds; a lost packet costs them 0.2 to 0.3 s.
STALLED_S = 0.5
# Progress that counts. Single bytes that arrive now and then do not protect their connection.
PROGRESS_BYTES = 4_096
# A running answer is ended to make room if its caller has read nothing for this long.
UNREAD_S = 2.0
# Time for which input is discarded after a response that closes the connection. Closing a socket
# with unread input resets the connection, and the caller could lose the response.
LINGER_S = 1.0
# Time for which a connection without any request yet does not count as idle: its caller has opened
# it to send one.
FIRST_REQUEST_GRACE_S = 0.5
# Refused connections that linger at most when a stalled one is ended for its descriptor, which it
# keeps until it has lingered. So callers exceed their limit by no more than this.
MAX_LINGERING = 64
# Requests up to `SMALL_INPUT_BYTES` may take the whole budget, other input `LARGE_INPUT_SHARE` of
# it, so that ordinary requests are served beside a crowd of larger ones.
SMALL_INPUT_BYTES = 8_192
LARGE_INPUT_SHARE = 0.8
# Connections without a request may take this share of the budget.
CONNECTION_SHARE = 0.9
# Part of the budget that bodies over 64 KiB may reserve at once.
LARGE_BODIES_SHARE = 0.4
# Part of the process's memory limit that is left to what is not counted: the allocator's gaps, the
# log queue, the view of the store as it grows.
UNCOUNTED_SHARE = 0.12
# The budget has at least this part of the memory limit, whatever the process itself takes.
MIN_BUDGET_SHARE = 0.1
# What callers hold on a quiet day; the process's own memory can be measured only below it.
QUIET_BYTES = 4_000_000
# Descriptors of the process that are no connections, and those of its machine's other needs.
DESCRIPTORS_KEPT_FOR_FILES = 200
_CALLERS_SHARE = 0.45
_MIN_CONNECTIONS = 16
# Connections that are considered at most when room is made for one request.
_MAX_ENDED_AT_ONCE = 64


class EndReason(Enum):
    """Why a connection was ended or refused; label `of` of `tanager.connections.ended`."""

    STALLED_INPUT = "stalled_input"
    UNREAD_OUTPUT = "unread_output"
    IDLE = "idle"
    CLOSING = "closing"
    NO_MEMORY = "no_memory"
    NO_DESCRIPTOR = "no_descriptor"
    BODY_TIMEOUT = "body_timeout"


_STALLED = EndReason.STALLED_INPUT


class Holder(Protocol):
    """A connection that holds memory."""

    held_bytes: int

    def end(self, reason: EndReason) -> None:
        """Gives up what the connection holds, or nearly all of it, at once."""


class Waiters:
    """Holders in the order in which they last made progress; all operations take constant time."""

    def __init__(self) -> None:
        self.since_s: OrderedDict[Holder, float] = OrderedDict()

    def put(self, holder: Holder, now_s: float) -> None:
        """Adds a holder, or records that it has made progress."""
        self.since_s[holder] = now_s
        self.since_s.move_to_end(holder)

    def discard(self, holder: Holder) -> None:
        """Removes a holder if it is present."""
        self.since_s.pop(holder, None)

    def first(self, now_s: float, min_age_s: float, keep: Holder | None = None) -> Holder | None:
        """Returns the holder without progress for longest, if that is at least `min_age_s`.

        `keep` is passed over.
        """
        for holder, since_s in self.since_s.items():
            if holder is keep:
                continue
            return holder if now_s - since_s >= min_age_s else None
        return None


class MemoryBudget:
    """What callers' connections hold, and whose connections end first if it gets too much."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        # Room that large bodies have reserved; what has arrived of them is not in `held_bytes`.
        self.bodies = BodyBudget(int(LARGE_BODIES_SHARE * limit_bytes), self._has_room_for_body)
        self.peak_bytes = 0
        # Connections with a request that is not complete (with room for a large body, or without),
        # without a request, with unread output, and those that wait for their caller to close.
        self.incomplete_large = Waiters()
        self.incomplete = Waiters()
        self.idle = Waiters()
        self.unread = Waiters()
        self.closing = Waiters()

    def set_limit(self, memory_limit_bytes: float, base_bytes: float) -> None:
        """Derives the budget from the process's limit and what the process itself takes."""
        limit = memory_limit_bytes * (1.0 - UNCOUNTED_SHARE) - base_bytes
        self.limit_bytes = int(max(limit, MIN_BUDGET_SHARE * memory_limit_bytes))
        self.bodies.limit_bytes = int(LARGE_BODIES_SHARE * self.limit_bytes)

    def taken_bytes(self) -> int:
        """Bytes that are held or reserved."""
        return self.held_bytes + self.bodies.reserved_bytes

    def is_short(self) -> bool:
        """Whether only small requests are still let in."""
        return self.taken_bytes() > LARGE_INPUT_SHARE * self.limit_bytes

    def is_quiet(self) -> bool:
        """Whether callers hold no large body and have held next to nothing since the start."""
        return self.peak_bytes < QUIET_BYTES and not self.bodies.reserved_bytes

    def update(self, holder: Holder, size: int) -> None:
        """Records that a holder now holds `size` bytes."""
        self.held_bytes += size - holder.held_bytes
        holder.held_bytes = size
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes

    def make_room(
        self,
        size: int,
        share: float,
        now_s: float,
        keep: Holder | None = None,
        own_bytes: int = 0,
    ) -> bool:
        """Whether `size` further bytes fit in `share` of the budget; ends connections if necessary.

        The order: those that have lingered and are not closed yet, stalled input, connections
        without a request, and, if the whole budget may be filled, refused ones that still linger:
        a small request is served rather than that a refusal surely arrives. `keep` is not ended;
        `own_bytes` of what is taken are its own and do not count.
        """
        allowed = share * self.limit_bytes + own_bytes
        if self.taken_bytes() + size <= allowed:
            return True
        for _ in range(_MAX_ENDED_AT_ONCE):
            if self.taken_bytes() + size <= allowed:
                return True
            lingering = ((self.closing, 0.0, EndReason.CLOSING),) if share >= 1.0 else ()
            if not (self.end_one(now_s, keep) or self._end_first(lingering, now_s, keep)):
                return False
        return self.taken_bytes() + size <= allowed

    def make_room_for_body(self, size: int, now_s: float, keep: Holder) -> bool:
        """Whether a large body fits; ends connections whose large bodies are stalled."""
        for _ in range(_MAX_ENDED_AT_ONCE):
            if self.bodies.fits(size):
                return True
            if not self._end_first(((self.incomplete_large, STALLED_S, _STALLED),), now_s, keep):
                return False
        return self.bodies.fits(size)

    def _has_room_for_body(self, size: int) -> bool:
        return self.taken_bytes() + size <= LARGE_INPUT_SHARE * self.limit_bytes

    def end_one(self, now_s: float, keep: Holder | None = None) -> bool:
        """Ends the connection whose end costs its caller least; returns whether there was one."""
        order = (
            (self.closing, LINGER_S, EndReason.CLOSING),
            (self.incomplete_large, STALLED_S, _STALLED),
            (self.incomplete, STALLED_S, _STALLED),
            (self.idle, STALLED_S, EndReason.IDLE),
        )
        return self._end_first(order, now_s, keep)

    def end_connection(self, now_s: float) -> bool:
        """Ends a connection for its descriptor; returns whether there was one to end."""
        order = (
            (self.idle, FIRST_REQUEST_GRACE_S, EndReason.IDLE),
            (self.closing, LINGER_S, EndReason.CLOSING),
        )
        if self._end_first(order, now_s, None):
            return True
        if len(self.closing.since_s) >= MAX_LINGERING:
            return False
        stalled = (
            (self.incomplete, STALLED_S, _STALLED),
            (self.incomplete_large, STALLED_S, _STALLED),
        )
        return self._end_first(stalled, now_s, None)

    def _end_first(
        self, order: tuple[tuple[Waiters, float, EndReason], ...], now_s: float, keep: Holder | None
    ) -> bool:
        for waiters, min_age_s, reason in order:
            holder = waiters.first(now_s, min_age_s, keep)
            if holder is None:
                continue
            waiters.discard(holder)
            holder.end(reason)
            return True
        return False

    def end_unread(self, now_s: float) -> None:
        """Ends answers that nobody reads while more is taken than the budget has."""
        while self.taken_bytes() > self.limit_bytes:
            holder = self.unread.first(now_s, UNREAD_S)
            if holder is None:
                return
            self.unread.discard(holder)
            holder.end(EndReason.UNREAD_OUTPUT)


def caller_connections(max_open_files: int) -> int:
    """Returns the number of callers' connections that a limit on descriptors allows.

    A request in progress takes a second descriptor for its server, and idle connections to servers,
    peers and the store take some; so callers get less than half of what is not kept for files.
    """
    return max(
        _MIN_CONNECTIONS, int(_CALLERS_SHARE * (max_open_files - DESCRIPTORS_KEPT_FOR_FILES))
    )


def input_share(size: int) -> float:
    """Returns the share of the budget that a request with `size` bytes of input may fill."""
    return 1.0 if size <= SMALL_INPUT_BYTES else LARGE_INPUT_SHARE
