"""Interface of the clock."""

from __future__ import annotations

import abc


class Clock(abc.ABC):
    """Source of time, in milliseconds.

    ``now_ms`` measures durations. ``wall_ms`` only timestamps records for
    display; no decision may depend on it.
    """

    @abc.abstractmethod
    def now_ms(self) -> float:
        """Returns monotonic milliseconds since an arbitrary origin."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""

    @abc.abstractmethod
    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task for ``duration_ms`` milliseconds."""
