"""This process's share of the fleet-wide retry budget.

In any window, all processes together may send a service at most ``ratio`` x
its requests + ``extra`` retries. Each process counts its own requests and
retries over a sliding window and limits its retries to ``ratio`` x its own
requests + its share of ``extra``. The sums over the fleet then meet the bound.
"""

from __future__ import annotations

import collections

# Margin for requests near the edge of a window, which are counted
# differently.
SAFETY_FACTOR = 0.85


class WindowBudget:
    """Retry budget of one service in one process.

    Attributes:
        ratio: Retries allowed per request.
        extra: Further retries per window, shared by the whole fleet.
        window_ms: Window length in milliseconds.
        requests: Arrival times of the requests in the window.
        retries: Send times of the retries in the window.
        refused: Retries rejected since the start.
    """

    def __init__(self, ratio: float, extra: float, window_ms: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_ms = window_ms
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()
        self.refused = 0

    def set_bounds(self, ratio: float, extra: float, window_ms: float) -> None:
        """Changes the bounds and keeps the recorded requests and retries."""
        self.ratio = ratio
        self.extra = extra
        self.window_ms = window_ms

    def record_request(self, now_ms: float) -> None:
        """Records a request for the service."""
        self.expire(now_ms)
        self.requests.append(now_ms)

    def try_spend(self, now_ms: float, processes: int) -> bool:
        """Spends one retry if the budget allows it.

        Args:
            now_ms: Current time in milliseconds.
            processes: Processes that share ``extra``.
        """
        if self.remaining(now_ms, processes) < 1.0:
            self.refused += 1
            return False
        self.retries.append(now_ms)
        return True

    def remaining(self, now_ms: float, processes: int) -> float:
        """Returns the number of retries that may still be sent now."""
        self.expire(now_ms)
        allowed = self.ratio * len(self.requests)
        allowed += self.extra / max(1, processes)
        return SAFETY_FACTOR * allowed - len(self.retries)

    def expire(self, now_ms: float) -> None:
        """Removes requests and retries older than the window."""
        window_start_ms = now_ms - self.window_ms
        for times in (self.requests, self.retries):
            while times and times[0] < window_start_ms:
                times.popleft()
