"""Invariants that a router checks at run time if the setting ``invariants`` is on."""

import logging
from collections.abc import Callable

from tanagerworks.errors import InvariantError

_LOGGER = logging.getLogger(__name__)


class Invariants:
    """Checks conditions that must always hold; calls `on_violation` before raising the error."""

    def __init__(
        self, enabled: bool = False, on_violation: Callable[[], None] = lambda: None
    ) -> None:
        self.enabled = enabled
        self.on_violation = on_violation

    def require(self, condition: bool, reason: str) -> None:
        """Raises InvariantError with `reason` unless the condition holds."""
        if condition or not self.enabled:
            return
        _LOGGER.critical("invariant violated", extra={"reason": reason})
        self.on_violation()
        raise InvariantError(reason)
