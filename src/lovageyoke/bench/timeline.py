"""Virtual time: actions that run in order of when they are due."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools


class Timeline:
    """Runs scheduled actions without waiting.

    Attributes:
        now_ms: The virtual time in milliseconds.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def schedule(self, due_ms: float, action: Callable[[], None]) -> None:
        """Runs an action at a virtual time."""
        heapq.heappush(self._events, (due_ms, next(self._order), action))

    def run(self, end_ms: float) -> None:
        """Runs the actions that are due before ``end_ms``."""
        while self._events and self._events[0][0] < end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
