"""Which servers may still get requests when their service has no usable server.

A leaving server and one in a zone out of service work on for a time that operators set. It is
counted from the store's acknowledgement of the change, which a node does not know. The node counts
from the earliest time that the acknowledgement can have, so it never stops later than allowed.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from tanagerworks.dispatch.choice import Candidate, Choice
from tanagerworks.dispatch.directory import Directory
from tanagerworks.dispatch.server_state import ServerState

# Requests stop this long before the end of the bound: connecting takes up to 0.15 s, and the rest
# is for the way of the request to the server.
STOP_MARGIN_S = 0.3
# Ends that differ by less count as equal. Nodes read the store every 0.25 s, so two changes of one
# moment can be recorded that far apart.
_EQUAL_END_S = 0.25


@dataclass(frozen=True, slots=True)
class NoticeBounds:
    """How long servers work on after the store's acknowledgement, in seconds; 0 means never."""

    leaving_s: float = 0.0
    zone_s: float = 0.0


def last_resort_end_s(state: ServerState, directory: Directory, bounds: NoticeBounds) -> float:
    """Returns the time until which a request may be sent to a server; infinite if it is in service.

    A server that is leaving in a zone out of service has to satisfy both bounds.
    """
    end_s = math.inf
    if state.leaving:
        end_s = _bound_end_s(state.leaving_since_s, bounds.leaving_s)
    if state.entry.zone in directory.zones_out:
        since_s = directory.zone_out_since_s.get(state.entry.zone, -math.inf)
        end_s = min(end_s, _bound_end_s(since_s, bounds.zone_s))
    return end_s


def _bound_end_s(since_s: float, bound_s: float) -> float:
    return since_s + bound_s - STOP_MARGIN_S if bound_s > 0.0 else -math.inf


def find_last_resort(
    states: Iterable[ServerState], directory: Directory, bounds: NoticeBounds, now_s: float
) -> list[ServerState]:
    """Returns the servers out of service to which requests may be sent now.

    There are none while any server is in service, also if it is ejected: it may be tried.
    """
    found = []
    for state in states:
        if state.removed:
            continue
        end_s = last_resort_end_s(state, directory, bounds)
        if end_s == math.inf:
            return []
        if end_s > now_s and not state.is_ejected(now_s):
            found.append(state)
    return found


def choose_longest_lasting(
    candidates: Sequence[Candidate],
    end_s: Callable[[ServerState], float],
    choose: Callable[[Sequence[Candidate]], Choice],
) -> Choice:
    """Returns the choice among the servers with the latest end that have room.

    `choose` decides between servers whose ends are within `_EQUAL_END_S` of the latest.
    """
    left = sorted(candidates, key=lambda candidate: end_s(candidate.state), reverse=True)
    choice = choose(())
    while left:
        latest_s = end_s(left[0].state)
        equal = [
            candidate for candidate in left if end_s(candidate.state) > latest_s - _EQUAL_END_S
        ]
        choice = choose(equal)
        if choice.state is not None:
            return replace(choice, last_resort=True)
        left = left[len(equal) :]
    return choice
