"""Prompt parts that a node has recently announced to its peers, or still has to announce."""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping

from tanagerworks.rpc.edge_pb2 import Placement

# Maximum number of prompt parts in one `Placement` message. At 8 bytes each, several of these
# messages fit into a datagram.
_PARTS_PER_PLACEMENT = 48


class PartAnnouncements:
    """Keys of prompt parts by server id, in one group for each round of messages.

    Times are in seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        # Latest last.
        self.rounds: deque[tuple[float, dict[str, set[int]]]] = deque()

    def add_round(self, now_s: float, parts_by_server: Mapping[str, Iterable[int]]) -> None:
        """Starts a new round with the given parts."""
        self.rounds.append((now_s, {name: set(parts) for name, parts in parts_by_server.items()}))

    def add_parts(self, server_id: str, parts: Iterable[int]) -> None:
        """Adds parts to the current round, except those that a round already has."""
        if not self.rounds:
            return
        new_parts = set(parts)
        for _time_s, parts_by_server in self.rounds:
            new_parts -= parts_by_server.get(server_id, set())
        if new_parts:
            self.rounds[-1][1].setdefault(server_id, set()).update(new_parts)

    def drop_before(self, time_s: float) -> None:
        """Drops the rounds that began before a time."""
        while self.rounds and self.rounds[0][0] < time_s:
            self.rounds.popleft()

    def placements_since(self, since_s: float) -> Iterator[Placement]:
        """Yields the parts of the rounds since a time, latest first, in small messages."""
        for time_s, parts_by_server in reversed(self.rounds):
            if time_s < since_s:
                return
            for server_id, parts in parts_by_server.items():
                ordered = sorted(parts)
                for start in range(0, len(ordered), _PARTS_PER_PLACEMENT):
                    chunk = ordered[start : start + _PARTS_PER_PLACEMENT]
                    yield Placement(server_id=server_id, parts=chunk)
