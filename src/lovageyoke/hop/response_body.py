"""Collects the body of an upstream's response until it is complete or large."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lovageyoke.hop import api
from lovageyoke.limits import memory_budget

# Larger response bodies are streamed instead of buffered.
STREAMING_THRESHOLD_BYTES = 1_048_576
CHARGED_STEP_BYTES = 65_536


class ResponseBody:
    """The part of a body that has been received and not been passed on.

    Attributes:
        budget: Counts the bytes, in steps.
        collected: The bytes. Chunks of a few bytes each would take many times
            their size.
        charged_bytes: Bytes that are counted in the budget.
    """

    def __init__(self, budget: memory_budget.MemoryBudget) -> None:
        self.budget = budget
        self.collected = bytearray()
        self.charged_bytes = 0

    def add(self, chunk: bytes) -> None:
        """Adds received bytes."""
        self.collected += chunk
        uncharged = len(self.collected) - self.charged_bytes
        if uncharged >= CHARGED_STEP_BYTES:
            self.charged_bytes += uncharged
            self.budget.take(uncharged)

    def take(self) -> bytes:
        """Returns all bytes; none are left."""
        taken = bytes(self.collected)
        self.clear()
        return taken

    def clear(self) -> None:
        """Drops all bytes."""
        self.collected = bytearray()
        if self.charged_bytes:
            self.budget.take(-self.charged_bytes)
            self.charged_bytes = 0

    def should_stream(self) -> bool:
        """Returns whether to pass the body on instead of collecting it."""
        if len(self.collected) > STREAMING_THRESHOLD_BYTES:
            return True
        return self.charged_bytes > 0 and self.budget.is_short()


def pause_until_writable(
    transport: asyncio.Transport, sink: api.BodySink, abort: Callable[[], None]
) -> None:
    """Pauses reading until the sink can accept more data.

    Args:
        transport: The connection to pause.
        sink: Receives the data.
        abort: Called if waiting for the sink failed.
    """

    def resume(task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is not None:
            abort()
        elif not transport.is_closing():
            transport.resume_reading()

    transport.pause_reading()
    asyncio.ensure_future(sink.wait_writable()).add_done_callback(resume)
