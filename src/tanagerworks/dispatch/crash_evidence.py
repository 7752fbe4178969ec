"""Finds the requests and prompt parts that crash backend servers and keeps them from servers.

A request and each shared part of its prompt are suspects of a crash if the request was at the
server and its answer was only about to start. The request is known again by its identity. An answer
that gets under way after the crash clears a suspect: the server that gave it has survived. Crashes
that a quarantined suspect explains are no evidence against those that occur beside it. Nodes merge
their evidence, so that crashes seen by different nodes count together.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Set
from dataclasses import dataclass, field, replace

from xxhash import xxh3_64_intdigest

# Servers that end within this time of each other may have a common cause that is no request, unless
# the request was sent to the second one after the first had ended.
COMMON_CAUSE_S = 0.5
# Depth of the identity of a request among its suspects: it occurs in fewer requests than any part.
REQUEST_DEPTH = 1_000_000
# Independent crashes that quarantine a suspect to which no answer was known before, and any other.
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
# Suspects whose last answer is remembered, the most recent ones.
_MAX_ANSWERED_PARTS = 4_096


def suspect_key(suspect_id: str) -> int:
    """Returns the 64-bit hash of the id of a prompt part, or of the identity of a request."""
    return xxh3_64_intdigest(suspect_id.encode())


def process_key(server_id: str, started_ms: int | None) -> int:
    """Returns the 64-bit hash that identifies one process of a server at all nodes."""
    return xxh3_64_intdigest(f"{server_id}\0{started_ms}".encode())


@dataclass(frozen=True, slots=True)
class Suspect:
    """What may be the cause of a crash: a part of prompts, or a request.

    `depth` is the place of a part in its prompt, from 0, or `REQUEST_DEPTH`.
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
    """A suspect that must not reach a server before `until_s`."""

    until_s: float
    crashes: int
    # Whether the suspect is a request rather than a part of prompts.
    is_request: bool


class CrashEvidence:
    """Crashes with their suspects, and the quarantines that follow from them."""

    def __init__(self) -> None:
        # By `process_key`, in the order in which this node learned of them.
        self.crashes: dict[int, ServerCrash] = {}
        # By `suspect_key`.
        self.quarantines: dict[int, Quarantine] = {}
        # Time of the last answer by `suspect_key`; the least recent first.
        self.answered_at_s: OrderedDict[int, float] = OrderedDict()
        # Called with the suspects whose quarantine has begun and those whose quarantine has ended.
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

    def record_answer(self, suspect_ids: Iterable[str], now_s: float) -> None:
        """Records that an answer to a request with these identities is under way."""
        changed = False
        for suspect_id in suspect_ids:
            key = suspect_key(suspect_id)
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
        """Drops old crashes and quarantines the fewest suspects that explain the others."""
        for process, crash in list(self.crashes.items()):
            expired = now_s - crash.crashed_at_s >= EVIDENCE_RETENTION_S
            if expired or len(self.crashes) > _MAX_CRASHES:
                del self.crashes[process]
        former = self.quarantines
        self.quarantines = {}
        unexplained = list(self.crashes.values())
        while found := self._strongest_cases(unexplained):
            for key, crashes in found.items():
                self.quarantines[key] = _quarantine(key, crashes)
            unexplained = [crash for crash in unexplained if not found.keys() & crash.suspects]
        if former.keys() != self.quarantines.keys():
            self.on_quarantines_changed(
                self.quarantines.keys() - former.keys(), former.keys() - self.quarantines.keys()
            )

    def _strongest_cases(self, crashes: Iterable[ServerCrash]) -> dict[int, list[ServerCrash]]:
        """Returns the suspects with the most evidence and their crashes; empty if none has enough.

        Among those in equally many crashes, an answer known before speaks for a suspect; of the
        others the deepest is taken, since it occurs in the fewest requests.
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

    def find_quarantines(self, suspect_ids: Iterable[str]) -> dict[str, Quarantine]:
        """Returns the quarantines that concern a request with these identities, by id."""
        if not self.quarantines:
            return {}
        found = {}
        for suspect_id in suspect_ids:
            quarantine = self.quarantines.get(suspect_key(suspect_id))
            if quarantine is not None:
                found[suspect_id] = quarantine
        return found

    def changed_crashes(self, since_s: float) -> Iterator[tuple[int, ServerCrash]]:
        """Yields the crashes that have changed for this node since a time, latest first."""
        for process, crash in reversed(self.crashes.items()):
            if crash.changed_at_s >= since_s:
                yield process, crash

    def quarantine_crashes(self) -> Iterator[tuple[int, ServerCrash]]:
        """Yields the crashes with quarantined suspects, latest first, reduced to these."""
        for process, crash in reversed(self.crashes.items()):
            suspects = {
                key: suspect for key, suspect in crash.suspects.items() if key in self.quarantines
            }
            if suspects:
                yield process, ServerCrash(crash.crashed_at_s, suspects, crash.changed_at_s)


def _count_independent(key: int, crashes: Iterable[ServerCrash]) -> int:
    """Returns how many crashes with a suspect cannot have had a common cause that is no request."""
    count = 0
    counted_s = -math.inf
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at_s):
        sent_s = crash.crashed_at_s - crash.suspects[key].in_flight_s
        if sent_s > counted_s or crash.crashed_at_s - counted_s >= COMMON_CAUSE_S:
            count += 1
            counted_s = crash.crashed_at_s
    return count


def _quarantine(key: int, crashes: list[ServerCrash]) -> Quarantine:
    growth = _QUARANTINE_GROWTH ** (len(crashes) - _UNKNOWN_PART_CRASHES)
    duration_s = min(_FIRST_QUARANTINE_S * growth, EVIDENCE_RETENTION_S)
    until_s = max(crash.crashed_at_s for crash in crashes) + duration_s
    is_request = any(crash.suspects[key].depth == REQUEST_DEPTH for crash in crashes)
    return Quarantine(until_s, len(crashes), is_request)
