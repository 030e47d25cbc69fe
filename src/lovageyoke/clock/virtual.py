"""Event loop in virtual time, which advances only when no task is ready."""

from __future__ import annotations

import asyncio
import selectors

import anyio

from lovageyoke.clock import api

MS_PER_SECOND = 1_000.0
CLOCK_RESOLUTION_S = 1e-9


class VirtualEventLoop(asyncio.SelectorEventLoop):
    """Runs tasks without sockets or threads, in a reproducible order.

    Attributes:
        virtual_s: The current virtual time, in seconds.
    """

    def __init__(self) -> None:
        self.virtual_s = 0.0
        super().__init__(_VirtualSelector(self))
        self._clock_resolution = CLOCK_RESOLUTION_S

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.virtual_s


class LoopClock(api.Clock):
    """Clock that reads the running event loop, so both advance together."""

    def now_ms(self) -> float:
        """Returns the loop's time in milliseconds."""
        return anyio.current_time() * MS_PER_SECOND

    def wall_ms(self) -> int:
        """Returns the loop's time in milliseconds, rounded down."""
        return int(self.now_ms())

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task for ``duration_ms`` milliseconds."""
        await anyio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances the loop's time instead of waiting."""

    def __init__(self, loop: VirtualEventLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the time by ``timeout`` seconds and returns no events."""
        if timeout is None:
            raise RuntimeError(
                "deadlock: no task is ready and no timer is scheduled"
            )
        self.loop.virtual_s += max(0.0, timeout)
        return []
