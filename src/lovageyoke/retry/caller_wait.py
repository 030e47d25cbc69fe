"""Estimates how long a caller has waited since its first attempt.

The estimate is for callers that retry after a rejection. A retry states only
the rest of the caller's deadline, but the time for a useful response counts
from the first attempt. A retry that can no longer succeed in time must not
take capacity that new requests need to meet their own targets.
"""

from __future__ import annotations

import attrs

MAX_VOTES = 60  # A short burst of retries does not change the estimate.
TOLERANCE = 0.06  # Address resolution uses part of the deadline.
SMOOTHING = 0.05  # Weight of one request in the moving average.


@attrs.define
class TypicalDeadline:
    """The deadline that most callers of a route state on the first attempt.

    Uses the Boyer-Moore majority vote. Retries state many different remaining
    times, so none of these reaches a majority.

    Attributes:
        deadline_ms: The deadline.
        votes: Recent requests with this deadline minus those with others,
            from 1 to ``MAX_VOTES``.
    """

    deadline_ms: float
    votes: int = 1

    def is_first_attempt(self, remaining_ms: float) -> bool:
        """Returns whether a stated deadline is that of a first attempt."""
        return remaining_ms >= (1.0 - TOLERANCE) * self.deadline_ms

    def record(self, remaining_ms: float) -> None:
        """Records the stated deadline of a request."""
        difference_ms = remaining_ms - self.deadline_ms
        if abs(difference_ms) <= TOLERANCE * self.deadline_ms:
            self.votes = min(self.votes + 1, MAX_VOTES)
            self.deadline_ms += SMOOTHING * difference_ms
        elif self.votes > 1:
            self.votes -= 1
        else:
            self.deadline_ms = remaining_ms


class CallerWaitEstimator:
    """Estimates the callers' waits from the typical deadline of each route.

    Attributes:
        typical: Typical deadlines by route.
    """

    def __init__(self) -> None:
        self.typical: dict[str, TypicalDeadline] = {}

    def record(self, route: str, remaining_ms: float | None) -> float:
        """Records a request and returns how long its caller has waited.

        Args:
            route: Name of the request's route.
            remaining_ms: The stated deadline, None if not stated.

        Returns:
            Time since the caller's first attempt, in ms; 0 for a first attempt.
        """
        if remaining_ms is None:
            return 0.0
        typical = self.typical.get(route)
        if typical is None:
            self.typical[route] = TypicalDeadline(remaining_ms)
            return 0.0
        typical.record(remaining_ms)
        if typical.is_first_attempt(remaining_ms):
            return 0.0
        return typical.deadline_ms - remaining_ms

    def keep_only(self, routes: set[str]) -> None:
        """Removes all other routes."""
        self.typical = {
            route: each
            for route, each in self.typical.items()
            if route in routes
        }
