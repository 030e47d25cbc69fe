"""Event loop in virtual time: time passes only while no task can run."""

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
        virtual_s: The present time in seconds.
    """

    def __init__(self) -> None:
        self.virtual_s = 0.0
        super().__init__(_VirtualSelector(self))
        self._clock_resolution = CLOCK_RESOLUTION_S

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.virtual_s


class LoopClock(api.Clock):
    """Reads the time of the running event loop, so both move together."""

    def now_ms(self) -> float:
        """Returns the loop's time in milliseconds."""
        return anyio.current_time() * MS_PER_SECOND

    def wall_ms(self) -> int:
        """Returns the loop's time, rounded down."""
        return int(self.now_ms())

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleeps on the event loop."""
        await anyio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)


class _VirtualSelector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting for sockets."""

    def __init__(self, loop: VirtualEventLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns no events after passing ``timeout`` seconds."""
        if timeout is None:
            raise RuntimeError("every task waits for something that can't come")
        self.loop.virtual_s += max(0.0, timeout)
        return []
