"""Disconnects a peer that reads nothing of what is written to it."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios

# Checks per time limit. Bytes that are added after the start hide what was
# read in the first interval only.
CHECKS = 4


def unread_bytes(transport: asyncio.Transport) -> int:
    """Returns the number of written bytes that the peer has not received.

    A full socket takes more only when a third of its buffer is free, so the
    write buffer alone doesn't tell a slow peer from a silent one.
    """
    size = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return size
    queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return size + int.from_bytes(queued, sys.byteorder)


class UnreadTimer:
    """Aborts a connection if nothing is read from it for a time.

    Attributes:
        transport: The connection.
        unread_bytes: Bytes that the peer had not received at the last check.
        unchanged: Number of checks since it has shrunk.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.unread_bytes = 0
        self.unchanged = 0
        self.timer: asyncio.TimerHandle | None = None

    def start(self, timeout_ms: float) -> None:
        """Starts the time limit if anything is unread."""
        self.stop()
        self.unchanged = 0
        self.unread_bytes = unread_bytes(self.transport)
        if self.transport.get_write_buffer_size():
            self.schedule(timeout_ms)

    def check(self, timeout_ms: float) -> None:
        """Aborts the connection if nothing was read for the time limit."""
        left_bytes = unread_bytes(self.transport)
        self.unchanged += 1
        if left_bytes < self.unread_bytes:
            self.unchanged = 0
        self.unread_bytes = left_bytes
        if self.unchanged >= CHECKS:
            self.transport.abort()
        elif self.transport.get_write_buffer_size():
            self.schedule(timeout_ms)

    def schedule(self, timeout_ms: float) -> None:
        """Schedules the next check."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            timeout_ms / CHECKS / 1_000.0, self.check, timeout_ms
        )

    def stop(self) -> None:
        """Ends the time limit."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
