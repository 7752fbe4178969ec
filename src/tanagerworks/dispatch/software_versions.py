"""The software versions that the servers of each service have run lately.

What two versions write does not fit together. Where a stream began can be told without any record
of it if its service has run one version for longer than streams last.
"""

import math
from collections.abc import Iterator, Mapping
from collections.abc import Set as AbstractSet

# A stream that a caller takes up may have begun this long ago, whatever its route's timeout is now.
MIN_LIFETIME_S = 600.0
# With longer timeouts, it lasts at most this multiple of the longest one, as a caller may come back
# after a broken connection.
_LIFETIME_PER_TIMEOUT = 1.5
# Bounds what a configuration or a message can demand.
_MAX_LIFETIME_S = 86_400.0


class VersionHistory:
    """Versions in service now, and those that have left. Times are of one clock, in seconds."""

    def __init__(self) -> None:
        # How long ago a stream that a caller takes up may have begun, at most. Versions that have
        # left are remembered for this time. It never decreases: a configuration that shortens the
        # timeout of a route does not shorten the streams that have begun.
        self.lifetime_s = MIN_LIFETIME_S
        self.present: Mapping[str, AbstractSet[str]] = {}
        # Time from which all versions are known; None before the first server, unless the whole
        # system has just started.
        self.known_from_s: float | None = None
        # When the last server of a service with a version left, by service and version.
        self.left_at_s: dict[tuple[str, str], float] = {}

    def allow_timeout(self, timeout_s: float) -> None:
        """Records that a resumable stream may take `timeout_s` seconds by some configuration."""
        self.extend_lifetime(_LIFETIME_PER_TIMEOUT * timeout_s)

    def extend_lifetime(self, lifetime_s: float) -> None:
        """Records that a stream that a caller takes up may be `lifetime_s` seconds old."""
        self.lifetime_s = max(self.lifetime_s, min(lifetime_s, _MAX_LIFETIME_S))

    def set_present(self, present: Mapping[str, AbstractSet[str]], now_s: float) -> None:
        """Replaces the versions in service; those that are missing have left now."""
        for service, versions in self.present.items():
            for version in versions - present.get(service, frozenset()):
                self.record_left(service, version, now_s)
        self.present = present
        if self.known_from_s is None and present:
            self.known_from_s = now_s
        for key, left_at_s in list(self.left_at_s.items()):
            if now_s - left_at_s > self.lifetime_s:
                del self.left_at_s[key]

    def record_left(self, service: str, version: str, left_at_s: float) -> None:
        """Records when a version was last in service, by this node's or a peer's knowledge."""
        key = (service, version)
        self.left_at_s[key] = max(left_at_s, self.left_at_s.get(key, left_at_s))

    def record_first_start(self) -> None:
        """Records that nothing has served before now, since the whole system starts."""
        self.known_from_s = -math.inf

    def record_gap(self, until_s: float) -> None:
        """Records that versions may have come and gone unseen until a time, in seconds."""
        if self.known_from_s is not None:
            self.known_from_s = max(self.known_from_s, until_s)

    def extend_back(self, known_from_s: float, known_until_s: float) -> None:
        """Records that a peer knows all versions from one time to another, both in seconds.

        A period that ends before this node's own knowledge begins leaves a gap, so it says nothing.
        """
        if self.known_from_s is not None and known_until_s >= self.known_from_s:
            self.known_from_s = min(self.known_from_s, known_from_s)

    def is_known_since(self, since_s: float) -> bool:
        """Whether all versions that have served since `since_s` are known."""
        return self.known_from_s is not None and self.known_from_s <= since_s

    def sole_version(self, service: str, now_s: float) -> str | None:
        """Returns the one version that has served for as long as streams last, or None.

        None means that there were several versions, or that there may have been: a node that has
        not known the service for so long cannot tell from the servers that it sees now.
        """
        since_s = now_s - self.lifetime_s
        if not self.is_known_since(since_s):
            return None
        versions = self._versions_since(service, since_s)
        return versions.pop() if len(versions) == 1 else None

    def _versions_since(self, service: str, since_s: float) -> set[str]:
        versions = set(self.present.get(service, ()))
        for (name, version), left_at_s in self.left_at_s.items():
            if name == service and left_at_s >= since_s:
                versions.add(version)
        return versions

    def all_versions(self, now_s: float) -> Iterator[tuple[str, str, float]]:
        """Yields the service, the version and the seconds since it served, 0 if it still does."""
        for service, versions in self.present.items():
            for version in versions:
                yield service, version, 0.0
        for (service, version), left_at_s in self.left_at_s.items():
            if version not in self.present.get(service, ()):
                yield service, version, now_s - left_at_s
