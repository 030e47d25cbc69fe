"""Timers of many exchanges, served by one task."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import heapq
import itertools

import anyio
import anyio.abc

from lovageyoke.clock import api as clock_api


class Timer:
    """A callback scheduled for a time.

    Attributes:
        due_ms: When it is due.
        callback: The callback, None once called or cancelled.
    """

    __slots__ = ("callback", "due_ms")

    def __init__(self, due_ms: float, callback: Callable[[], None]) -> None:
        self.due_ms = due_ms
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancels the callback."""
        self.callback = None


class Timers:
    """Calls callbacks when they are due, from a task that runs ``run``.

    Callbacks may start tasks, which avoids a task group per request.

    Attributes:
        heap: Due time, sequence number and timer, the earliest first.
    """

    def __init__(self, clock: clock_api.Clock) -> None:
        self._clock = clock
        self.heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._sleep_scope: anyio.CancelScope | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    def call_at(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback at a monotonic time in milliseconds."""
        timer = Timer(due_ms, callback)
        item = (due_ms, next(self._order), timer)
        heapq.heappush(self.heap, item)
        if self.heap[0] is item and self._sleep_scope is not None:
            self._sleep_scope.cancel()
        return timer

    def spawn(
        self, scope: anyio.CancelScope, function: Callable[[], Awaitable[None]]
    ) -> bool:
        """Starts a task that is cancelled with ``run`` or its scope.

        Returns:
            Whether it was started, which requires ``run`` to be running.
        """
        if self._tasks is None:
            return False
        self._tasks.start_soon(_run_in, scope, function)
        return True

    async def run(self) -> None:
        """Calls callbacks until it is cancelled."""
        async with anyio.create_task_group() as self._tasks:
            while True:
                self._call_due()
                with anyio.CancelScope() as self._sleep_scope:
                    await self._wait()

    def _call_due(self) -> None:
        now_ms = self._clock.now_ms()
        while self.heap and self._is_expired(self.heap[0][2], now_ms):
            timer = heapq.heappop(self.heap)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()

    def _is_expired(self, timer: Timer, now_ms: float) -> bool:
        return timer.callback is None or timer.due_ms <= now_ms

    async def _wait(self) -> None:
        if not self.heap:
            await anyio.sleep_forever()
        wait_ms = self.heap[0][0] - self._clock.now_ms()
        await self._clock.sleep_ms(wait_ms)


async def _run_in(
    scope: anyio.CancelScope, function: Callable[[], Awaitable[None]]
) -> None:
    with scope:
        await function()
