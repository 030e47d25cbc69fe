"""Disconnects a peer that reads nothing of what is written to it."""

from __future__ import annotations

import asyncio


class UnreadTimer:
    """Aborts a connection if its write buffer doesn't shrink for a time.

    Attributes:
        transport: The connection.
        size_bytes: Size of the write buffer when the time started.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.size_bytes = 0
        self.timer: asyncio.TimerHandle | None = None

    def start(self, timeout_ms: float) -> None:
        """Starts the time limit, again after progress."""
        self.stop()
        self.size_bytes = self.transport.get_write_buffer_size()
        if self.size_bytes:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(
                timeout_ms / 1_000.0, self.check, timeout_ms
            )

    def check(self, timeout_ms: float) -> None:
        """Aborts the connection if nothing was read since the start."""
        if self.transport.get_write_buffer_size() >= self.size_bytes:
            self.transport.abort()
        else:
            self.start(timeout_ms)

    def stop(self) -> None:
        """Ends the time limit."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
