"""Ranking of engines for a chat by weighted rendezvous hashing.

Every node computes the same ranking from the chat's key and the configured engines, so nothing
has to be stored or exchanged, and the loss of an engine moves only that engine's chats.
Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998); weights
by the logarithm method of Schindelhauer and Schomaker (2005).
"""

import math
from collections.abc import Iterable, Mapping
from heapq import nlargest

from xxhash import xxh3_64_intdigest

_HASH_RANGE = float(2**64)


def chat_hash(chat_key: str) -> int:
    """Returns the 64-bit hash by which nodes identify a chat."""
    return xxh3_64_intdigest(chat_key.encode())


def rank_equally(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the first `count` names of the ranking with equal weights.

    With equal weights, the order of the digests is the order of the scores. This avoids the
    logarithms and the full sort, as a large note ranks all nodes for every engine.
    """
    suffix = f"\0{key}"
    return nlargest(count, names, key=lambda name: xxh3_64_intdigest(f"{name}{suffix}".encode()))


def place_equally(key: str, name: str, others: Iterable[str], count: int) -> int | None:
    """Returns the place of `name`, from 0, in the ranking of `rank_equally`; None from `count` on.

    It stops at the first `count` names that come before, which are found soon in most rankings.
    """
    suffix = f"\0{key}"
    digest = xxh3_64_intdigest(f"{name}{suffix}".encode())
    place = 0
    for other in others:
        if xxh3_64_intdigest(f"{other}{suffix}".encode()) > digest:
            place += 1
            if place >= count:
                return None
    return place


def rank_engines(chat_key: str, weights: Mapping[str, float]) -> list[str]:
    """Returns the engine ids in order, starting with the first choice of the chat.

    `weights` maps engine ids to positive weights, such as their slots.
    """
    scored = []
    for engine_id, weight in weights.items():
        digest = xxh3_64_intdigest(f"{engine_id}\0{chat_key}".encode())
        # Adding one half keeps the argument of the logarithm inside (0, 1).
        uniform = (digest + 0.5) / _HASH_RANGE
        scored.append((-weight / math.log(uniform), engine_id))
    scored.sort(reverse=True)
    return [engine_id for _score, engine_id in scored]
