"""Specification of a supervised task and its restart policy."""

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
    """When a child that has ended is restarted.

    With NEVER, a failure of the child fails its supervisor, so that no part
    of the process stays down unnoticed.
    """

    NEVER = "never"
    ON_FAILURE = "on-failure"
    ALWAYS = "always"


@attrs.frozen
class Backoff:
    """Exponential delay before a restart; doubles per restart in the window.

    Attributes:
        initial_ms: Delay before the first restart, in milliseconds.
        max_ms: Upper bound of the delay, in milliseconds.
    """

    initial_ms: float = DEFAULT_INITIAL_BACKOFF_MS
    max_ms: float = DEFAULT_MAX_BACKOFF_MS

    def delay_ms(self, restarts: int) -> float:
        """Returns the delay after ``restarts`` earlier restarts."""
        delay_ms = self.initial_ms
        for _ in range(restarts):
            delay_ms = min(delay_ms * 2, self.max_ms)
        return min(delay_ms, self.max_ms)


@attrs.frozen
class Child:
    """A supervised task.

    Attributes:
        name: Name in logs and errors, unique under its supervisor.
        run: The task; it may be called again after it has ended.
        stop: Requests a graceful stop before the task is cancelled; None if
            cancellation suffices.
        restart: Restart policy.
        backoff: Delay before a restart.
        max_restarts: Maximum number of restarts within ``window_ms``.
        window_ms: Length of the window, in milliseconds.
        stop_timeout_ms: Time for the task to end after ``stop``, in
            milliseconds; it is then cancelled.
    """

    name: str
    run: Run
    stop: Run | None = None
    restart: Restart = Restart.ON_FAILURE
    backoff: Backoff = attrs.field(factory=Backoff)
    max_restarts: int = DEFAULT_MAX_RESTARTS
    window_ms: float = DEFAULT_WINDOW_MS
    stop_timeout_ms: float = DEFAULT_STOP_TIMEOUT_MS
