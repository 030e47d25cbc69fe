"""Coroutines and a store in the virtual time of a simulated fleet."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
from typing import Any

from fakes import manual_clock
from fakes import revision_store
from lovageyoke.clock import api
from lovageyoke.store import positions
from lovageyoke.store import revisions

CALL_MS = 5.0
WATCH_STEP_MS = 10.0  # A waiting watch notices a change this soon.
Schedule = Callable[[float, Callable[[], None]], None]


class Pause:
    """Suspends a coroutine of ``drive`` for some milliseconds."""

    def __init__(self, duration_ms: float) -> None:
        self.duration_ms = duration_ms

    def __await__(self) -> Generator[float, None, None]:
        yield self.duration_ms


class VirtualClock(api.Clock):
    """The fleet's clock, for coroutines that ``drive`` runs."""

    def __init__(self, clock: manual_clock.ManualClock) -> None:
        self.clock = clock

    def now_ms(self) -> float:
        return self.clock.now_ms()

    def wall_ms(self) -> int:
        return self.clock.wall_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        await Pause(duration_ms)


def drive(
    coroutine: Coroutine[Any, Any, None],
    schedule: Schedule,
    is_current: Callable[[], bool],
) -> None:
    """Runs a coroutine that only waits by ``Pause``.

    Args:
        coroutine: The coroutine.
        schedule: Schedules an action after some milliseconds.
        is_current: Whether the process that runs it still lives.
    """

    def step() -> None:
        if not is_current():
            coroutine.close()
            return
        try:
            pause_ms = coroutine.send(None)
        except StopIteration:
            return
        schedule(max(0.1, pause_ms), step)

    step()


class SharedStore(revision_store.RevisionStore):
    """A store whose calls take time and are counted.

    Attributes:
        totals: Calls by name.
    """

    def __init__(self) -> None:
        super().__init__()
        self.totals: collections.Counter[str] = collections.Counter()

    def record_call(self, name: str) -> None:
        self.totals[name] += 1
        super().record_call(name)

    async def get(
        self, key: str
    ) -> tuple[revisions.Item | None, positions.Position]:
        await Pause(CALL_MS)
        return await super().get(key)

    async def list_items(
        self, prefix: str, stale: bool = False
    ) -> revisions.Listing:
        await Pause(CALL_MS)
        return await super().list_items(prefix, stale)

    async def watch(
        self, prefix: str, after: positions.Position, wait_ms: float
    ) -> revisions.Changes:
        self.record_call("watch")
        waited_ms = 0.0
        found = self.changes_after(prefix, after)
        while not found.events and waited_ms < wait_ms:
            await Pause(WATCH_STEP_MS)
            waited_ms += WATCH_STEP_MS
            if self.error is not None:
                raise self.error
            found = self.changes_after(prefix, after)
        await Pause(CALL_MS)
        return self.changes_after(prefix, after)
