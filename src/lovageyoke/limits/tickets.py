"""Queued and admitted requests of services."""

from __future__ import annotations

import collections
import enum

import attrs


class TicketState(enum.Enum):
    """State of a request for admission."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    EXPIRED = "expired"
    ENDED = "ended"


@attrs.define(eq=False)
class ServiceQueue:
    """The requests of one service, waiting and admitted.

    Attributes:
        name: The service.
        team: The team that owns it.
        weight: Weight among the team's services.
        capacity: Requests that its upstreams may hold.
        max_queue: Requests that may wait.
        queue_timeout_ms: How long a request may wait.
        in_use: Requests admitted and not yet ended.
        waiting: Requests that wait.
        mean_hold_ms: Mean time from admission to end, None before the first.
        granted: Sequence number of the last admission; breaks ties.
        pending: Tickets in order of arrival; includes abandoned ones.
    """

    name: str
    team: str
    weight: float = 1.0
    capacity: int = 0
    max_queue: int = 0
    queue_timeout_ms: float = 0.0
    in_use: int = 0
    waiting: int = 0
    mean_hold_ms: float | None = None
    granted: int = 0
    pending: collections.deque[Ticket] = attrs.field(factory=collections.deque)

    def expected_wait_ms(self) -> float:
        """Returns how long a request at the end of the queue will wait."""
        if self.mean_hold_ms is None:
            return 0.0
        return self.waiting * self.mean_hold_ms / max(1, self.in_use)


@attrs.define(eq=False)
class Ticket:
    """A request for admission.

    Attributes:
        queue: Queue of the requested service.
        arrived_ms: Arrival time.
        deadline_ms: Monotonic time of its caller's deadline.
        expires_ms: When it stops waiting.
        admitted_ms: When it was admitted.
        state: Current state.
    """

    queue: ServiceQueue
    arrived_ms: float
    deadline_ms: float
    expires_ms: float
    admitted_ms: float = 0.0
    state: TicketState = TicketState.WAITING
