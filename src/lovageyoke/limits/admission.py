"""Asynchronous admission of requests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib

import anyio

from lovageyoke.clock import api as clock_api
from lovageyoke.limits import control as admission_control
from lovageyoke.limits import tickets

State = tickets.TicketState


class Admission:
    """Suspends tasks until the admission control admits them.

    Attributes:
        control: Admission control.
        clock: Source of time.
    """

    def __init__(
        self,
        control: admission_control.AdmissionControl,
        clock: clock_api.Clock,
    ) -> None:
        self.control = control
        self.clock = clock
        self._events: dict[tickets.Ticket, anyio.Event] = {}

    @contextlib.asynccontextmanager
    async def acquire(
        self, service: str, deadline_ms: float
    ) -> AsyncIterator[tickets.Ticket]:
        """Holds an admission slot for one request while the block runs.

        Args:
            service: Name of the service.
            deadline_ms: Monotonic time of the caller's deadline.

        Raises:
            AdmissionError: The request was refused, at once or after a wait;
                its kind is OVERLOADED, DEADLINE_BEFORE_DISPATCH, NO_UPSTREAM
                or UNKNOWN_SERVICE.
        """
        ticket = self.control.arrive(service, deadline_ms, self.clock.now_ms())
        try:
            if ticket.state is State.WAITING:
                await self._wait(ticket)
            yield ticket
        finally:
            self.announce(self.control.end(ticket, self.clock.now_ms()))

    def set_capacity(self, service: str, capacity: int) -> None:
        """Sets how many requests a service's upstreams may hold."""
        now_ms = self.clock.now_ms()
        self.announce(self.control.set_capacity(service, capacity, now_ms))

    def remove_service(self, service: str) -> None:
        """Removes a service and refuses its waiting requests."""
        self.announce(self.control.remove_service(service))

    def announce(self, changed: Iterable[tickets.Ticket]) -> None:
        """Wakes the tasks whose tickets are no longer waiting."""
        for ticket in changed:
            event = self._events.get(ticket)
            if event is not None:
                event.set()

    async def _wait(self, ticket: tickets.Ticket) -> None:
        event = anyio.Event()
        self._events[ticket] = event
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._expire, ticket, event)
                await event.wait()
                tasks.cancel_scope.cancel()
        finally:
            del self._events[ticket]
        if ticket.state is not State.ADMITTED:
            raise self.control.error_for(ticket)

    async def _expire(self, ticket: tickets.Ticket, event: anyio.Event) -> None:
        await self.clock.sleep_ms(ticket.expires_ms - self.clock.now_ms())
        self.control.expire(ticket)
        event.set()
