"""Delay after which a slow repeatable request is hedged.

Sending a hedge costs a token of the service's retry budget.
"""

from __future__ import annotations

from hdrh import histogram

from lovageyoke.retry import marks as call_marks

HEDGE_PERCENTILE = 95.0
MIN_SAMPLES = 50
MIN_DELAY_MS = 1.0
WINDOW_MS = 10_000.0
REFRESH_MS = 200.0
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1_000.0


class RecentLatency:
    """A latency percentile over the last one to two windows.

    Attributes:
        percentile: From 0 to 100.
        window_ms: Window length in milliseconds.
    """

    def __init__(
        self,
        now_ms: float,
        percentile: float = HEDGE_PERCENTILE,
        window_ms: float = WINDOW_MS,
    ) -> None:
        self.percentile = percentile
        self.window_ms = window_ms
        # Created on first use: a histogram takes tens of kilobytes, and most
        # services are idle.
        self._current: histogram.HdrHistogram | None = None
        self._previous: histogram.HdrHistogram | None = None
        self._rotated_ms = now_ms
        self._value_ms: float | None = None
        self._refreshed_ms = -REFRESH_MS

    def record(self, latency_ms: float, now_ms: float) -> None:
        """Records the latency of a successful exchange."""
        self._rotate(now_ms)
        microseconds = int(max(0.0, latency_ms) * US_PER_MS)
        if self._current is None:
            self._current = _create_histogram()
        self._current.record_value(min(microseconds, MAX_LATENCY_US))

    def value_ms(self, now_ms: float) -> float | None:
        """Returns the percentile, or None with too few samples."""
        self._rotate(now_ms)
        if now_ms - self._refreshed_ms >= REFRESH_MS:
            self._refreshed_ms = now_ms
            self._value_ms = self._compute_ms()
        return self._value_ms

    def _compute_ms(self) -> float | None:
        if self._current is None and self._previous is None:
            return None
        merged = _create_histogram()
        for each in (self._previous, self._current):
            if each is not None:
                merged.add(each)
        if merged.get_total_count() < MIN_SAMPLES:
            return None
        value: float = merged.get_value_at_percentile(self.percentile)
        return value / US_PER_MS

    def _rotate(self, now_ms: float) -> None:
        if now_ms - self._rotated_ms < self.window_ms:
            return
        stale = now_ms - self._rotated_ms >= 2 * self.window_ms
        self._previous = None if stale else self._current
        self._current = None
        self._rotated_ms = now_ms


def delay_ms(
    latency: RecentLatency,
    repeatable: bool,
    marks: call_marks.CallMarks,
    now_ms: float,
    deadline_ms: float,
) -> float | None:
    """Returns how long to wait for the first attempt before a hedge.

    Args:
        latency: Recent latencies of the service.
        repeatable: Whether the request is safe to execute twice.
        marks: Marks received with the request.
        now_ms: When the first attempt is sent, in milliseconds.
        deadline_ms: Monotonic time of the request's deadline.

    Returns:
        Milliseconds, or None if the request must not be hedged.
    """
    if not repeatable or marks.no_retry or marks.attempt > 0:
        return None
    typical_ms = latency.value_ms(now_ms)
    if typical_ms is None:
        return None
    delay = max(MIN_DELAY_MS, typical_ms)
    if now_ms + delay + typical_ms >= deadline_ms:
        return None
    return delay


def _create_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
