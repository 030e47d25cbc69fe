"""Time limit for the next bytes or the next request of a caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class ReadTimer:
    """A time limit that can be started again.

    Attributes:
        on_timeout: Called when the time has passed.
        timer: The pending call, None while there is no limit.
    """

    def __init__(self, on_timeout: Callable[[], None]) -> None:
        self.on_timeout = on_timeout
        self.timer: asyncio.TimerHandle | None = None

    def start(self, timeout_ms: float) -> None:
        """Starts the time limit anew."""
        self.stop()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(timeout_ms / 1_000.0, self.expire)

    def stop(self) -> None:
        """Ends the time limit."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def end_s(self) -> float:
        """Returns when the limit ends on the event loop's clock, 0 for none."""
        return 0.0 if self.timer is None else self.timer.when()

    def expire(self) -> None:
        """Reports that the time has passed."""
        self.timer = None
        self.on_timeout()
