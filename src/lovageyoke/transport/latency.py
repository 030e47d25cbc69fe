"""Estimate of an upstream's response latency."""

from __future__ import annotations

# Gains of RFC 6298's smoothed round-trip time and its variation.
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATIONS = 4
_MARGIN = 4

UNKNOWN_BOUND_MS = 2_000.0
MIN_BOUND_MS = 500.0


class LatencyEstimate:
    """Smoothed time to the first byte of a response.

    Attributes:
        mean_ms: Smoothed latency, None before the first sample.
        deviation_ms: Smoothed deviation from the mean.
    """

    def __init__(self) -> None:
        self.mean_ms: float | None = None
        self.deviation_ms = 0.0

    def add(self, latency_ms: float) -> None:
        """Adds a sample."""
        if self.mean_ms is None:
            self.mean_ms = latency_ms
            self.deviation_ms = latency_ms / 2
            return
        error_ms = latency_ms - self.mean_ms
        self.mean_ms += _MEAN_GAIN * error_ms
        self.deviation_ms += _DEVIATION_GAIN * (
            abs(error_ms) - self.deviation_ms
        )

    def silence_bound_ms(self) -> float:
        """Returns how long to wait for the first byte of a response."""
        if self.mean_ms is None:
            return UNKNOWN_BOUND_MS
        spread_ms = _DEVIATIONS * self.deviation_ms
        return max(MIN_BOUND_MS, _MARGIN * (self.mean_ms + spread_ms))
