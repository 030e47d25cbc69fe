"""Signals that stop a command."""

from __future__ import annotations

import os
import signal

import anyio

FORCED_EXIT_CODE = 130


async def set_on_stop(shutdown: anyio.Event) -> None:
    """Sets an event at the first SIGTERM or SIGINT; exits at the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            if shutdown.is_set():
                os._exit(FORCED_EXIT_CODE)
            shutdown.set()
