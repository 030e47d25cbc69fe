"""Detects that a caller has disconnected."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib

import anyio

from lovageyoke.caller import api
from lovageyoke.transport import timers

# Most responses complete sooner and then need no task for the detection.
WATCH_DELAY_MS = 20.0


@contextlib.contextmanager
def cancelled_on_disconnect(
    receive: api.Receive, timer_queue: timers.Timers, now_ms: float
) -> Iterator[None]:
    """Cancels the block when the caller disconnects.

    Args:
        receive: The ASGI receive function, after the body was read.
        timer_queue: Starts the detection after a delay.
        now_ms: Current time in milliseconds.
    """
    with anyio.CancelScope() as block:
        watch = _DisconnectWatch(receive, block, timer_queue)
        timer = timer_queue.call_at(now_ms + WATCH_DELAY_MS, watch.start)
        try:
            yield
        finally:
            timer.cancel()
            watch.stop()


class _DisconnectWatch:
    def __init__(
        self,
        receive: api.Receive,
        block: anyio.CancelScope,
        timer_queue: timers.Timers,
    ) -> None:
        self._scope: anyio.CancelScope | None = None
        self._receive = receive
        self._block = block
        self._timers = timer_queue

    def start(self) -> None:
        self._scope = anyio.CancelScope()
        self._timers.spawn(self._scope, self._run)

    def stop(self) -> None:
        if self._scope is not None:
            self._scope.cancel()

    async def _run(self) -> None:
        message = await self._receive()
        while message["type"] != "http.disconnect":
            message = await self._receive()
        self._block.cancel()
