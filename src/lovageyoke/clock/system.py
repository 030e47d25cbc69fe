"""Clock based on the operating system's clocks."""

from __future__ import annotations

import asyncio
import time

from lovageyoke.clock import api

NANOSECONDS_PER_MS = 1_000_000
MS_PER_SECOND = 1_000


class SystemClock(api.Clock):
    """Clock that reads the operating system's monotonic and wall clocks."""

    def now_ms(self) -> float:
        """Returns the monotonic clock in milliseconds."""
        return time.monotonic_ns() / NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return time.time_ns() // NANOSECONDS_PER_MS

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task for ``duration_ms`` milliseconds."""
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)
