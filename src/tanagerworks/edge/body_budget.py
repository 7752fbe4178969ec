"""Bounds the memory that the bodies of callers' requests take in one process.

Room for a body is reserved as a whole before it is read, so every body that has begun can be read
to its end. Small bodies are counted but never wait: they get through beside large ones.
"""

import asyncio
from collections import deque
from collections.abc import Callable

# Bodies up to this size never wait for room.
SMALL_BODY_BYTES = 65_536


class BodyBudget:
    """Room for bodies, in bytes; what does not fit waits in order of arrival."""

    def __init__(
        self, limit_bytes: int, has_room: Callable[[int], bool] = lambda _size: True
    ) -> None:
        self.limit_bytes = limit_bytes
        # Whether the rest of the process leaves room for so many bytes.
        self.has_room = has_room
        self.reserved_bytes = 0
        self.waiting: deque[BodyReservation] = deque()

    def reserve(self, size: int, on_granted: Callable[[], None]) -> "BodyReservation":
        """Returns a reservation of `size` bytes.

        If it is not granted at once, it waits, and `on_granted` is called later. A body larger than
        the whole budget is granted once no other one is held.
        """
        reservation = BodyReservation(self, size, on_granted)
        if size <= SMALL_BODY_BYTES or (not self.waiting and self.fits(size)):
            self._grant(reservation)
        else:
            self.waiting.append(reservation)
        return reservation

    def fits(self, size: int) -> bool:
        """Whether a body of `size` bytes would be granted now if no other one waited."""
        if not self.reserved_bytes:
            return True
        return self.reserved_bytes + size <= self.limit_bytes and self.has_room(size)

    def _grant(self, reservation: "BodyReservation") -> None:
        reservation.granted = True
        self.reserved_bytes += reservation.size

    def grant_waiting(self) -> None:
        """Grants the reservations that fit now, the first ones first."""
        while self.waiting and self.fits(self.waiting[0].size):
            reservation = self.waiting.popleft()
            self._grant(reservation)
            asyncio.get_running_loop().call_soon(reservation.on_granted)


class BodyReservation:
    """Room for one body, `size` in bytes; it has to be released, whether it was granted or not."""

    def __init__(self, budget: BodyBudget, size: int, on_granted: Callable[[], None]) -> None:
        self.budget = budget
        self.size = size
        self.on_granted = on_granted
        self.granted = False
        self.released = False

    def shrink(self, size: int) -> None:
        """Gives back what a body of `size` bytes does not need; ignored if that is not less."""
        if self.granted and not self.released and size < self.size:
            self.budget.reserved_bytes -= self.size - size
            self.size = size
            self.budget.grant_waiting()

    def release(self) -> None:
        """Gives all of the room back, or stops waiting for it; may be called repeatedly."""
        if self.released:
            return
        self.released = True
        if self.granted:
            self.budget.reserved_bytes -= self.size
        else:
            self.budget.waiting.remove(self)
        self.budget.grant_waiting()
