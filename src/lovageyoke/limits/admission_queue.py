"""Requests that wait in this process until an upstream has free capacity.

An upstream loaded beyond its capacity slows down for all its requests, so
the requests of a burst are queued here, where they can use the next free slot
of any upstream. Requests that can still meet their latency target go first,
by priority and then by target time; late ones use the remaining capacity. A
request that can't be started in time is refused at once.
"""

from __future__ import annotations

from collections.abc import Callable
import math

import attrs

from lovageyoke.routing import load_view

MAX_WAIT_SHARE = 0.5  # Of the time to the deadline; allows a retry.
INITIAL_INTERVAL_MS = 5.0
INTERVAL_SMOOTHING = 0.1
MAX_INTERVAL_MS = 200.0
MAX_WAITING = 2_000


@attrs.define(eq=False)
class QueuedRequest:
    """A waiting request.

    Attributes:
        priority: Its priority; 0 goes first.
        arrived_ms: Arrival time.
        target_ms: Latest start that meets its latency target.
        give_up_ms: When it is refused if still waiting.
        start: Starts it if an upstream has capacity, and returns whether one
            had. Its argument is the only upstream to take, None for any.
        refuse: Ends the wait with a refusal.
    """

    priority: int
    arrived_ms: float
    target_ms: float
    give_up_ms: float
    start: Callable[[load_view.UpstreamView | None], bool]
    refuse: Callable[[], None]

    def is_late(self, now_ms: float) -> bool:
        """Returns whether it can no longer meet its latency target."""
        return now_ms > self.target_ms

    def sort_key(self, now_ms: float) -> tuple[bool, int, float]:
        """Returns its sort key; smaller keys go first."""
        return self.is_late(now_ms), self.priority, self.target_ms


class AdmissionQueue:
    """The waiting requests of one service.

    Attributes:
        queued: The requests.
        start_interval_ms: Mean time between two starts while requests wait.
        last_start_ms: Time of the last start.
        refused: Requests refused since the start.
    """

    def __init__(self) -> None:
        self.queued: list[QueuedRequest] = []
        self.start_interval_ms = INITIAL_INTERVAL_MS
        self.last_start_ms: float | None = None
        self.refused = 0

    def expected_wait_ms(self, priority: int) -> float:
        """Returns the expected wait of a request that arrives now."""
        ahead = sum(each.priority <= priority for each in self.queued)
        return (ahead + 1) * self.start_interval_ms

    def admits(
        self, priority: int, left_ms: float, sends: float = math.inf
    ) -> bool:
        """Returns whether a request is expected to start in time.

        Args:
            priority: Its priority.
            left_ms: Time within which it must start.
            sends: Number of requests that can be sent within that time.
        """
        if len(self.queued) >= min(sends, MAX_WAITING):
            return False
        return not self.queued or self.expected_wait_ms(priority) < left_ms

    def any_in_time(self, now_ms: float) -> bool:
        """Returns whether any waiting request can meet its target."""
        return any(not each.is_late(now_ms) for each in self.queued)

    def add(self, queued_request: QueuedRequest) -> None:
        """Adds a request."""
        self.queued.append(queued_request)

    def remove(self, queued_request: QueuedRequest) -> None:
        """Removes a request whose caller disconnected."""
        if queued_request in self.queued:
            self.queued.remove(queued_request)

    def admit(
        self, now_ms: float, freed: load_view.UpstreamView | None = None
    ) -> int:
        """Starts waiting requests while upstreams have capacity.

        Args:
            now_ms: Current time in milliseconds.
            freed: An upstream where a request of this process has ended; one
                waiting request may take its slot. None to try all upstreams.

        Returns:
            Number of requests started.
        """
        self.refuse_expired(now_ms)
        self.queued.sort(key=lambda each: each.sort_key(now_ms))
        started = 0
        blocked: set[bool] = set()
        for queued_request in list(self.queued):
            late = queued_request.is_late(now_ms)
            if late in blocked:
                continue
            if not queued_request.start(freed):
                # Late requests may use upstreams too slow for the others.
                blocked.add(late)
                continue
            self.queued.remove(queued_request)
            started += 1
            self.record_start(now_ms)
            if freed is not None:
                break
        if not self.queued:
            self.last_start_ms = None
        return started

    def refuse_expired(self, now_ms: float) -> None:
        """Refuses the requests whose wait has expired."""
        late = [each for each in self.queued if now_ms >= each.give_up_ms]
        for queued_request in late:
            self.queued.remove(queued_request)
            self.refused += 1
            queued_request.refuse()

    def record_start(self, now_ms: float) -> None:
        """Updates the mean interval between starts."""
        if self.last_start_ms is not None:
            start_interval_ms = min(
                now_ms - self.last_start_ms, MAX_INTERVAL_MS
            )
            self.start_interval_ms += INTERVAL_SMOOTHING * (
                start_interval_ms - self.start_interval_ms
            )
        self.last_start_ms = now_ms
