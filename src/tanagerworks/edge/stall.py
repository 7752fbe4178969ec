"""Limits on the time between two complete events of a stream."""

from dataclasses import dataclass

from tanagerworks.published.model import Route


@dataclass(frozen=True, slots=True)
class StallLimits:
    """Times after which a stream without a complete event counts as stalled, in seconds.

    A stream that can resume at another server does so after `resume_factor` times the objective for
    its first event or, later, for the gap between two events. Any other stream ends once its caller
    must have given up: callers wait for the longest of `min_patience_s` and multiples of the two
    objectives, and the node for `patience_margin` times as long.
    """

    resume_factor: float = 4.0
    # Exceeds the prefill time of a long prompt.
    min_resume_s: float = 1.0
    min_patience_s: float = 2.0
    patience_per_objective: float = 4.0
    patience_per_gap: float = 8.0
    patience_margin: float = 1.5

    def resume_after_s(self, route: Route, first: bool) -> float:
        """Returns the limit for a stream that can resume; `first` is for its first event."""
        objective_s = route.objective_s if first else route.gap_objective_s
        return max(self.min_resume_s, self.resume_factor * objective_s)

    def patience_s(self, route: Route) -> float:
        """Returns how long callers wait for the first event of a stream, or for the next one."""
        return max(
            self.min_patience_s,
            self.patience_per_objective * route.objective_s,
            self.patience_per_gap * route.gap_objective_s,
        )

    def end_after_s(self, route: Route) -> float:
        """Returns the limit for a stream that cannot resume."""
        return self.patience_margin * self.patience_s(route)
