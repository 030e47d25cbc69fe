"""What a supervisor knows of each of its children."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import enum

import attrs

DEFAULT_INITIAL_BACKOFF_MS = 50.0
DEFAULT_MAX_BACKOFF_MS = 5_000.0
DEFAULT_MAX_RESTARTS = 5
DEFAULT_WINDOW_MS = 60_000.0
DEFAULT_STOP_TIMEOUT_MS = 5_000.0

Run = Callable[[], Awaitable[None]]


class Restart(enum.Enum):
    """When a child that has ended is started again.

    NEVER makes a failure of the child a failure of its supervisor, so that no
    part of the process stays down unnoticed.
    """

    NEVER = "never"
    ON_FAILURE = "on-failure"
    ALWAYS = "always"


@attrs.frozen
class Backoff:
    """Delay before a restart, doubling with each one in the window.

    Attributes:
        initial_ms: Delay before the first restart, in milliseconds.
        max_ms: Bound of the delay, in milliseconds.
    """

    initial_ms: float = DEFAULT_INITIAL_BACKOFF_MS
    max_ms: float = DEFAULT_MAX_BACKOFF_MS

    def delay_ms(self, restarts: int) -> float:
        """Returns the delay before the restart that follows ``restarts``."""
        delay_ms = self.initial_ms
        for _ in range(restarts):
            delay_ms = min(delay_ms * 2, self.max_ms)
        return min(delay_ms, self.max_ms)


@attrs.frozen
class Child:
    """A supervised task.

    Attributes:
        name: Its name in logs and errors, unique under its supervisor.
        run: The task; it may be called again after it has ended.
        stop: Asks the task to end by itself before it is cancelled, or None
            when cancellation is all it needs.
        restart: When it is started again.
        backoff: Delay before a restart.
        max_restarts: Restarts allowed within ``window_ms``.
        window_ms: Length of the window, in milliseconds.
        stop_timeout_ms: How long the task may take to end after ``stop``, in
            milliseconds.
    """

    name: str
    run: Run
    stop: Run | None = None
    restart: Restart = Restart.ON_FAILURE
    backoff: Backoff = attrs.field(factory=Backoff)
    max_restarts: int = DEFAULT_MAX_RESTARTS
    window_ms: float = DEFAULT_WINDOW_MS
    stop_timeout_ms: float = DEFAULT_STOP_TIMEOUT_MS
