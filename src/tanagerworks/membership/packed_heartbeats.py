"""Heartbeats of all nodes in one byte each.

At 350 nodes the heartbeats as numbers with names would take more than the whole budget of an
exchange. Both sides know the names from the release note, and a receiver knows about where each
heartbeat stands, so the remainder by 255 is enough.
"""

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

_MODULUS = 255
# At most half of the range, beyond which progress and an older value look the same.
_MAX_PROGRESS = 127
# Beats that may arrive at once besides those that the elapsed time explains.
_SLACK_BEATS = 4

UNKNOWN_HEARTBEAT = 0


def hash_node_ids(node_ids: Sequence[str]) -> int:
    """Returns a 32-bit hash of the sorted `node_ids`, by which two nodes tell that theirs agree."""
    return xxh3_64_intdigest("\0".join(node_ids).encode()) & 0xFFFFFFFF


def pack_heartbeats(heartbeats: Iterable[int | None]) -> bytes:
    """Returns one byte for each heartbeat; None stands for a node that is unknown or dead."""
    return bytes(
        UNKNOWN_HEARTBEAT if heartbeat is None else heartbeat % _MODULUS + 1
        for heartbeat in heartbeats
    )


def heartbeat_advance(known: int, pulse: int, elapsed_periods: float) -> int:
    """Returns by how many beats `pulse` is ahead of the heartbeat `known`; 0 if it is not.

    `elapsed_periods` is the time since `known` last moved, in heartbeat periods. A larger step than
    it explains belongs to an older value or to another process of the node.
    """
    if pulse == UNKNOWN_HEARTBEAT:
        return 0
    ahead = (pulse - 1 - known) % _MODULUS
    if ahead > min(_MAX_PROGRESS, int(elapsed_periods) + _SLACK_BEATS):
        return 0
    return ahead
