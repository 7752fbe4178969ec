"""Packs the heartbeat counters of all nodes into one byte each.

With 350 nodes, counters with node names would exceed the maximum size of a message. Sender and
receiver know the names from the release note, so the position of a byte identifies the node. The
receiver also has a recent value of each counter, so the counter modulo 255 is enough to detect how
far it has advanced.
"""

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

_MODULUS = 255
# Half of the range: with a larger difference an older value is indistinguishable from a newer one.
_MAX_ADVANCE = 127
# Advance that is accepted beyond the elapsed periods, since messages may be delayed.
_ADVANCE_TOLERANCE = 4

# Packed value of a node that is unknown or dead.
UNKNOWN_HEARTBEAT = 0


def hash_node_ids(node_ids: Sequence[str]) -> int:
    """Returns a 32-bit hash of the sorted `node_ids`, for comparing the lists of two nodes."""
    return xxh3_64_intdigest("\0".join(node_ids).encode()) & 0xFFFFFFFF


def pack_heartbeats(heartbeats: Iterable[int | None]) -> bytes:
    """Returns one byte for each heartbeat counter; None is a node that is unknown or dead."""
    return bytes(
        UNKNOWN_HEARTBEAT if heartbeat is None else heartbeat % _MODULUS + 1
        for heartbeat in heartbeats
    )


def heartbeat_advance(known: int, packed: int, elapsed_periods: float) -> int:
    """Returns by how much the `packed` counter is ahead of the counter `known`; 0 if it is not.

    `elapsed_periods` is the time since `known` last advanced, in heartbeat periods. An advance that
    does not fit into that time means an older value or one of another process of the node.
    """
    if packed == UNKNOWN_HEARTBEAT:
        return 0
    ahead = (packed - 1 - known) % _MODULUS
    if ahead > min(_MAX_ADVANCE, int(elapsed_periods) + _ADVANCE_TOLERANCE):
        return 0
    return ahead
