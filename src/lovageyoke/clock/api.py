"""Interface of the clock."""

from __future__ import annotations

import abc


class Clock(abc.ABC):
    """Source of time, in milliseconds.

    Durations come from ``now_ms``. ``wall_ms`` labels records for people and
    is never compared to decide anything.
    """

    @abc.abstractmethod
    def now_ms(self) -> float:
        """Returns a monotonic time in milliseconds from an arbitrary start."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""

    @abc.abstractmethod
    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task for ``duration_ms`` milliseconds."""
