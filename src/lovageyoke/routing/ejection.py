"""Outlier ejection of slow and failing upstreams."""

from __future__ import annotations

from collections.abc import Sequence
import statistics

import attrs

SLOW_FACTOR = 3.0
MIN_SAMPLES = 5
MAX_CONSECUTIVE_FAILURES = 3
BASE_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 30_000.0
MIN_HEALTHY_SHARE = 0.67
CHECK_INTERVAL_MS = 50.0
SMOOTHING = 0.2


@attrs.define(eq=False)
class Health:
    """Recent latency and failures of one upstream.

    Attributes:
        latency_ms: Smoothed latency, None before the first response.
        samples: Responses since the last ejection began or ended.
        failures: Consecutive failures.
        ejections: Consecutive ejections without a healthy period in between.
        until_ms: When the ejection ends, or None if not ejected.
        returned_ms: When the last ejection ended.
    """

    latency_ms: float | None = None
    samples: int = 0
    failures: int = 0
    ejections: int = 0
    until_ms: float | None = None
    returned_ms: float = float("-inf")

    def record(self, latency_ms: float) -> None:
        """Records a response."""
        self.failures = 0
        self.samples += 1
        known_ms = self.latency_ms
        if known_ms is None:
            known_ms = latency_ms
        self.latency_ms = known_ms + SMOOTHING * (latency_ms - known_ms)

    def record_failure(self) -> None:
        """Records a failed exchange."""
        self.failures += 1

    def is_outlier(self, median_ms: float) -> bool:
        """Returns whether the upstream is a latency or failure outlier."""
        if self.failures >= MAX_CONSECUTIVE_FAILURES:
            return True
        return (
            self.latency_ms is not None
            and self.samples >= MIN_SAMPLES
            and self.latency_ms > SLOW_FACTOR * median_ms
        )


class Ejector:
    """Ejects outliers while enough healthy upstreams remain.

    Attributes:
        min_healthy_share: Fraction of the upstreams that is never ejected.
        checked_ms: When outliers were last detected.
    """

    def __init__(self, min_healthy_share: float = MIN_HEALTHY_SHARE) -> None:
        self.min_healthy_share = min_healthy_share
        self.checked_ms = float("-inf")

    def check(self, healths: Sequence[Health], now_ms: float) -> bool:
        """Ejects outliers and readmits upstreams whose ejection ended.

        Args:
            healths: Health of all upstreams that are not draining.
            now_ms: Current time in milliseconds.

        Returns:
            Whether any upstream was ejected or readmitted.
        """
        if now_ms - self.checked_ms < CHECK_INTERVAL_MS:
            return False
        self.checked_ms = now_ms
        changed = self._readmit(healths, now_ms)
        candidates = self._outliers(healths)
        ejected = sum(each.until_ms is not None for each in healths)
        allowed = len(healths) - self._min_healthy(len(healths)) - ejected
        for health in candidates[: max(0, allowed)]:
            self._eject(health, now_ms)
            changed = True
        return changed

    def _min_healthy(self, count: int) -> int:
        return max(1, -int(-count * self.min_healthy_share // 1))

    def _readmit(self, healths: Sequence[Health], now_ms: float) -> bool:
        changed = False
        for health in healths:
            if health.until_ms is not None and health.until_ms <= now_ms:
                health.until_ms = None
                health.returned_ms = now_ms
                health.samples = 0
                health.failures = 0
                changed = True
        return changed

    def _outliers(self, healths: Sequence[Health]) -> list[Health]:
        known = [
            each.latency_ms for each in healths if each.latency_ms is not None
        ]
        median_ms = statistics.median(known) if known else float("inf")
        outliers = [
            each
            for each in healths
            if each.until_ms is None and each.is_outlier(median_ms)
        ]
        outliers.sort(key=lambda each: -(each.latency_ms or 0.0))
        return outliers

    def _eject(self, health: Health, now_ms: float) -> None:
        if now_ms - health.returned_ms > MAX_EJECTION_MS:
            health.ejections = 0
        duration_ms = min(
            MAX_EJECTION_MS, BASE_EJECTION_MS * 2.0**health.ejections
        )
        health.ejections += 1
        health.until_ms = now_ms + duration_ms
        health.samples = 0
        health.failures = 0
