"""Finds the prompt parts that crash backend servers and keeps requests with them from servers.

A part is a suspect of a crash if a request with it was at the server and its answer was only about
to start. An answer that gets under way after the crash clears the part: the server that gave it has
survived. Crashes that a quarantined part explains are no evidence against the parts that occur
beside it. Nodes merge their evidence, so that crashes seen by different nodes count together.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Set
from dataclasses import dataclass, field, replace

from xxhash import xxh3_64_intdigest

# Servers that end within this time of each other may have a common cause that is no request, unless
# the request was sent to the second one after the first had ended.
COMMON_CAUSE_S = 0.5
# Independent crashes that quarantine a part to which no answer was known before, and any other.
_UNKNOWN_PART_CRASHES = 2
_KNOWN_PART_CRASHES = 4
# Duration of a quarantine after two crashes, and its growth with each further crash.
_FIRST_QUARANTINE_S = 30.0
_QUARANTINE_GROWTH = 4.0
# Evidence is dropped after this time, which is also the longest quarantine.
EVIDENCE_RETENTION_S = 600.0
_MAX_CRASHES = 64
# Parts beyond this number are left out, first those to which answers are known.
_MAX_SUSPECTS_PER_CRASH = 96
# Parts whose last answer is remembered, the most recent ones.
_MAX_ANSWERED_PARTS = 4_096


def suspect_key(part_id: str) -> int:
    """Returns the 64-bit hash that identifies a part of the prompts of any model."""
    return xxh3_64_intdigest(part_id.encode())


def process_key(server_id: str, started_ms: int | None) -> int:
    """Returns the 64-bit hash that identifies one process of a server at all nodes."""
    return xxh3_64_intdigest(f"{server_id}\0{started_ms}".encode())


@dataclass(frozen=True, slots=True)
class Suspect:
    """A part that may be the cause of a crash; `depth` is its place in the prompt, from 0.

    `in_flight_s` is the time for which the latest request with it had been at the server.
    """

    depth: int
    in_flight_s: float
    # Whether an answer to a prompt with the part was known before the crash.
    answered_before: bool = False
    # Whether one got under way after the crash, so that the part is not its cause.
    cleared: bool = False

    def merge(self, other: "Suspect") -> "Suspect":
        """Returns what two nodes know together."""
        return Suspect(
            max(self.depth, other.depth),
            min(self.in_flight_s, other.in_flight_s),
            self.answered_before or other.answered_before,
            self.cleared or other.cleared,
        )


@dataclass(slots=True)
class ServerCrash:
    """The end of one server process; times are in seconds of the clock that the caller passes."""

    crashed_at_s: float
    suspects: dict[int, Suspect] = field(default_factory=dict)
    # When this node last learned something of the crash.
    changed_at_s: float = -math.inf


@dataclass(frozen=True, slots=True)
class Quarantine:
    """A part that no request may bring to a server before `until_s`."""

    until_s: float
    crashes: int


class CrashEvidence:
    """Crashes with their suspects, and the quarantines that follow from them."""

    def __init__(self) -> None:
        # By `process_key`, in the order in which this node learned of them.
        self.crashes: dict[int, ServerCrash] = {}
        # By `suspect_key`.
        self.quarantines: dict[int, Quarantine] = {}
        # Time of the last answer by `suspect_key`; the least recent first.
        self.answered_at_s: OrderedDict[int, float] = OrderedDict()
        # Called with the parts whose quarantine has begun and those whose quarantine has ended.
        self.on_quarantines_changed: Callable[[Set[int], Set[int]], None] = (
            lambda _begun, _ended: None
        )

    def merge_crash(self, process: int, reported: ServerCrash, now_s: float) -> None:
        """Adds what is reported of a crash to what is known of it.

        `process` is the `process_key` of the server. Times are in seconds of the caller's clock.
        """
        if now_s - reported.crashed_at_s >= EVIDENCE_RETENTION_S:
            return
        crash = self.crashes.get(process)
        changed = crash is None
        if crash is None:
            crash = self.crashes[process] = ServerCrash(reported.crashed_at_s)
        unanswered_first = sorted(
            reported.suspects.items(), key=lambda item: item[0] in self.answered_at_s
        )
        for key, suspect in unanswered_first:
            known = crash.suspects.get(key)
            if known is None and len(crash.suspects) >= _MAX_SUSPECTS_PER_CRASH:
                continue
            merged = self._add_answers(key, suspect, crash.crashed_at_s)
            merged = merged if known is None else known.merge(merged)
            if merged != known:
                crash.suspects[key] = merged
                changed = True
        if changed:
            crash.changed_at_s = now_s
            self._update(now_s)

    def _add_answers(self, key: int, suspect: Suspect, crashed_at_s: float) -> Suspect:
        """Returns the suspect with what this node knows of answers to its part."""
        answered_at_s = self.answered_at_s.get(key)
        if answered_at_s is None:
            return suspect
        cleared = answered_at_s > crashed_at_s
        return replace(
            suspect,
            answered_before=suspect.answered_before or not cleared,
            cleared=suspect.cleared or cleared,
        )

    def record_answer(self, part_ids: Iterable[str], now_s: float) -> None:
        """Records that an answer to a prompt with these shared parts is under way."""
        changed = False
        for part_id in part_ids:
            key = suspect_key(part_id)
            self.answered_at_s[key] = now_s
            self.answered_at_s.move_to_end(key)
            for crash in self.crashes.values():
                suspect = crash.suspects.get(key)
                if suspect is not None and not suspect.cleared and crash.crashed_at_s < now_s:
                    crash.suspects[key] = replace(suspect, cleared=True)
                    crash.changed_at_s = now_s
                    changed = True
        while len(self.answered_at_s) > _MAX_ANSWERED_PARTS:
            self.answered_at_s.popitem(last=False)
        if changed:
            self._update(now_s)

    def _update(self, now_s: float) -> None:
        """Drops old crashes and quarantines the fewest parts that explain the others."""
        for process, crash in list(self.crashes.items()):
            expired = now_s - crash.crashed_at_s >= EVIDENCE_RETENTION_S
            if expired or len(self.crashes) > _MAX_CRASHES:
                del self.crashes[process]
        former = self.quarantines
        self.quarantines = {}
        unexplained = list(self.crashes.values())
        while found := self._strongest_cases(unexplained):
            for key, crashes in found.items():
                self.quarantines[key] = _quarantine(crashes)
            unexplained = [crash for crash in unexplained if not found.keys() & crash.suspects]
        if former.keys() != self.quarantines.keys():
            self.on_quarantines_changed(
                self.quarantines.keys() - former.keys(), former.keys() - self.quarantines.keys()
            )

    def _strongest_cases(self, crashes: Iterable[ServerCrash]) -> dict[int, list[ServerCrash]]:
        """Returns the parts with the most evidence and their crashes; empty if none has enough.

        Among parts in equally many crashes, an answer known before speaks for a part; of the others
        the deepest is taken, since it occurs in the fewest prompts.
        """
        cases: dict[int, list[ServerCrash]] = {}
        for crash in crashes:
            for key, suspect in crash.suspects.items():
                if not suspect.cleared:
                    cases.setdefault(key, []).append(crash)
        best: dict[int, list[ServerCrash]] = {}
        best_strength = (0, False, 0)
        for key, found in cases.items():
            suspects = [crash.suspects[key] for crash in found]
            known = any(suspect.answered_before for suspect in suspects)
            needed = _KNOWN_PART_CRASHES if known else _UNKNOWN_PART_CRASHES
            if _count_independent(key, found) < needed:
                continue
            strength = (len(found), not known, max(suspect.depth for suspect in suspects))
            if strength > best_strength:
                best, best_strength = {}, strength
            if strength == best_strength:
                best[key] = found
        return best

    def find_quarantines(self, part_ids: Iterable[str]) -> dict[str, Quarantine]:
        """Returns the quarantines of the parts of a prompt, by id."""
        if not self.quarantines:
            return {}
        found = {}
        for part_id in part_ids:
            quarantine = self.quarantines.get(suspect_key(part_id))
            if quarantine is not None:
                found[part_id] = quarantine
        return found

    def changed_crashes(self, since_s: float) -> Iterator[tuple[int, ServerCrash]]:
        """Yields the crashes that have changed for this node since a time, latest first."""
        for process, crash in reversed(self.crashes.items()):
            if crash.changed_at_s >= since_s:
                yield process, crash

    def quarantine_crashes(self) -> Iterator[tuple[int, ServerCrash]]:
        """Yields the crashes with quarantined parts, latest first, reduced to these parts."""
        for process, crash in reversed(self.crashes.items()):
            suspects = {
                key: suspect for key, suspect in crash.suspects.items() if key in self.quarantines
            }
            if suspects:
                yield process, ServerCrash(crash.crashed_at_s, suspects, crash.changed_at_s)


def _count_independent(key: int, crashes: Iterable[ServerCrash]) -> int:
    """Returns how many crashes with a part cannot have had a common cause that is no request."""
    count = 0
    counted_s = -math.inf
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at_s):
        sent_s = crash.crashed_at_s - crash.suspects[key].in_flight_s
        if sent_s > counted_s or crash.crashed_at_s - counted_s >= COMMON_CAUSE_S:
            count += 1
            counted_s = crash.crashed_at_s
    return count


def _quarantine(crashes: list[ServerCrash]) -> Quarantine:
    growth = _QUARANTINE_GROWTH ** (len(crashes) - _UNKNOWN_PART_CRASHES)
    duration_s = min(_FIRST_QUARANTINE_S * growth, EVIDENCE_RETENTION_S)
    return Quarantine(max(crash.crashed_at_s for crash in crashes) + duration_s, len(crashes))
