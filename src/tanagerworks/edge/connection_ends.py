"""Counts and logs why callers' connections were ended or refused."""

import logging
from collections import Counter

from tanagerworks.edge.memory_budget import EndReason

_LOGGER = logging.getLogger(__name__)


class ConnectionEnds:
    """Ends by reason; the log gets one line for all since the last one, however many there are."""

    def __init__(self) -> None:
        self.total: Counter[str] = Counter()
        self.logged: Counter[str] = Counter()

    def record(self, reason: EndReason) -> None:
        """Counts a connection that was ended or refused."""
        self.total[reason.value] += 1

    def log(self) -> None:
        """Logs the reasons with their numbers since the last call, if there are any."""
        new = self.total - self.logged
        if not new:
            return
        self.logged = self.total.copy()
        _LOGGER.warning("connections of callers ended or refused", extra={"reasons": dict(new)})
