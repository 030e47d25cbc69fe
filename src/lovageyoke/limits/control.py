"""Admission control: admits, queues or refuses requests."""

from __future__ import annotations

import attrs

from lovageyoke.config import model
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.limits import tickets

HOLD_SMOOTHING = 0.05
MAX_TEAM_SHARE = 0.8

State = tickets.TicketState


@attrs.define(eq=False)
class Team:
    """The admitted requests of one team's services.

    Attributes:
        weight: Weight relative to other teams.
        services: Number of its services.
        in_use: Requests admitted and not yet ended.
    """

    weight: float = 1.0
    services: int = 0
    in_use: int = 0


class AdmissionControl:
    """Shares a process-wide request limit between teams and services.

    A free slot goes to the waiting team with the fewest slots relative to its
    weight, then to its service by the same rule: weighted max-min fairness
    over slots in use. Fairness by request count, as in start-time fair
    queueing, would favor services with long downloads, since a request holds
    its slot for a millisecond or for minutes. One team can't use all slots,
    so that another team's first request need not wait for a long one to end.

    Attributes:
        limit: Requests that may be admitted at a time.
        in_use: Requests admitted and not yet ended.
        queues: Queue of each service by name.
        teams: Teams by name.
        refused: Requests refused at once, since the start.
        expired: Requests whose wait expired, since the start.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_use = 0
        self.queues: dict[str, tickets.ServiceQueue] = {}
        self.teams: dict[str, Team] = {}
        self.refused = 0
        self.expired = 0
        self._waiting: dict[tickets.ServiceQueue, None] = {}
        self._grants = 0

    def set_service(self, service: model.Service, weight: float = 1.0) -> None:
        """Adds a service, or replaces its limits.

        Args:
            service: The service.
            weight: Weight among its team's services.
        """
        queue = self.queues.get(service.name)
        if queue is None:
            queue = tickets.ServiceQueue(service.name, service.team)
            self.queues[service.name] = queue
            self._team(service.team).services += 1
        elif queue.team != service.team:
            self._move(queue, service.team)
        queue.weight = weight
        queue.max_queue = service.limits.max_queue
        queue.queue_timeout_ms = service.limits.queue_timeout_ms

    def set_team_weight(self, team: str, weight: float) -> None:
        """Sets a team's share among teams; the default is 1."""
        self._team(team).weight = weight

    def set_capacity(
        self, service: str, capacity: int, now_ms: float
    ) -> list[tickets.Ticket]:
        """Sets how many requests a service's upstreams may hold.

        Returns:
            Tickets that are no longer waiting.
        """
        queue = self.queues[service]
        grown = capacity > queue.capacity
        queue.capacity = capacity
        return self.grant(now_ms) if grown else []

    def remove_service(self, service: str) -> list[tickets.Ticket]:
        """Removes a service; expires and returns its waiting tickets.

        Requests that were admitted count until they end.
        """
        queue = self.queues.pop(service)
        self._leave(queue.team)
        waiting = [
            each for each in queue.pending if each.state is State.WAITING
        ]
        for ticket in waiting:
            self.expire(ticket)
        return waiting

    def arrive(
        self, service: str, deadline_ms: float, now_ms: float
    ) -> tickets.Ticket:
        """Admits or queues a request.

        Args:
            service: Name of the service.
            deadline_ms: Monotonic time of its caller's deadline.
            now_ms: Current time in milliseconds.

        Raises:
            AdmissionError: Kind UNKNOWN_SERVICE, NO_UPSTREAM, OVERLOADED when
                the queue is full or too slow, or DEADLINE_BEFORE_DISPATCH when
                the request could not start in time.
        """
        queue = self.queues.get(service)
        if queue is None:
            raise self._refusal(kinds.ErrorKind.UNKNOWN_SERVICE, service)
        expires_ms = min(deadline_ms, now_ms + queue.queue_timeout_ms)
        ticket = tickets.Ticket(queue, now_ms, deadline_ms, expires_ms)
        if deadline_ms <= now_ms:
            raise self._refusal(
                kinds.ErrorKind.DEADLINE_BEFORE_DISPATCH, service
            )
        if not queue.waiting and self._has_room(queue):
            self._admit(queue, ticket, now_ms)
            return ticket
        self._check_queue(queue, ticket)
        queue.pending.append(ticket)
        queue.waiting += 1
        self._waiting[queue] = None
        return ticket

    def end(
        self, ticket: tickets.Ticket, now_ms: float
    ) -> list[tickets.Ticket]:
        """Records that a request ended or that its caller disconnected.

        Returns:
            Other tickets that are no longer waiting.
        """
        state = ticket.state
        ticket.state = State.ENDED
        queue = ticket.queue
        if state is State.WAITING:
            self._drop_waiting(queue)
        if state is not State.ADMITTED:
            return []
        self._release(queue)
        hold_ms = now_ms - ticket.admitted_ms
        known_ms = queue.mean_hold_ms
        if known_ms is None:
            known_ms = hold_ms
        queue.mean_hold_ms = known_ms + HOLD_SMOOTHING * (hold_ms - known_ms)
        return self.grant(now_ms)

    def expire(self, ticket: tickets.Ticket) -> None:
        """Ends the wait of a ticket that has expired."""
        if ticket.state is not State.WAITING:
            return
        ticket.state = State.EXPIRED
        self.expired += 1
        self._drop_waiting(ticket.queue)

    def grant(self, now_ms: float) -> list[tickets.Ticket]:
        """Admits waiting requests while slots are free.

        Returns:
            Tickets that were admitted, or found to have expired.
        """
        changed = []
        while self.in_use < self.limit and self._waiting:
            queue = self._next_queue()
            if queue is None:
                break
            ticket = queue.pending.popleft()
            if ticket.state is not State.WAITING:
                continue
            if ticket.expires_ms <= now_ms:
                self.expire(ticket)
            else:
                self._drop_waiting(queue)
                self._admit(queue, ticket, now_ms)
            changed.append(ticket)
        return changed

    def error_for(self, ticket: tickets.Ticket) -> exceptions.AdmissionError:
        """Returns the error for a ticket that was not admitted."""
        kind = kinds.ErrorKind.OVERLOADED
        if ticket.expires_ms >= ticket.deadline_ms:
            kind = kinds.ErrorKind.DEADLINE_BEFORE_DISPATCH
        return exceptions.AdmissionError(
            f"service {ticket.queue.name} had no room in time",
            kind,
        )

    def _next_queue(self) -> tickets.ServiceQueue | None:
        eligible = [queue for queue in self._waiting if self._has_room(queue)]
        return min(eligible, key=self._priority, default=None)

    def _priority(
        self, queue: tickets.ServiceQueue
    ) -> tuple[float, float, int]:
        team = self.teams[queue.team]
        return (
            team.in_use / team.weight,
            queue.in_use / queue.weight,
            queue.granted,
        )

    def _has_room(self, queue: tickets.ServiceQueue) -> bool:
        return (
            self.in_use < self.limit
            and queue.in_use < queue.capacity
            and self.teams[queue.team].in_use < self.team_ceiling()
        )

    def team_ceiling(self) -> int:
        """Returns the maximum number of slots per team."""
        if len(self.teams) == 1:
            return self.limit
        return max(1, int(self.limit * MAX_TEAM_SHARE))

    def _admit(
        self,
        queue: tickets.ServiceQueue,
        ticket: tickets.Ticket,
        now_ms: float,
    ) -> None:
        ticket.state = State.ADMITTED
        ticket.admitted_ms = now_ms
        self._grants += 1
        queue.granted = self._grants
        queue.in_use += 1
        self.teams[queue.team].in_use += 1
        self.in_use += 1

    def _release(self, queue: tickets.ServiceQueue) -> None:
        queue.in_use -= 1
        self.teams[queue.team].in_use -= 1
        self.in_use -= 1
        self._forget_unused(queue.team)

    def _drop_waiting(self, queue: tickets.ServiceQueue) -> None:
        queue.waiting -= 1
        if not queue.waiting:
            queue.pending.clear()
            self._waiting.pop(queue, None)

    def _check_queue(
        self, queue: tickets.ServiceQueue, ticket: tickets.Ticket
    ) -> None:
        if queue.capacity < 1:
            raise self._refusal(kinds.ErrorKind.NO_UPSTREAM, queue.name)
        if queue.waiting >= queue.max_queue:
            raise self._refusal(kinds.ErrorKind.OVERLOADED, queue.name)
        ready_ms = ticket.arrived_ms + queue.expected_wait_ms()
        if ready_ms >= ticket.deadline_ms:
            raise self._refusal(
                kinds.ErrorKind.DEADLINE_BEFORE_DISPATCH, queue.name
            )
        if ready_ms >= ticket.expires_ms:
            raise self._refusal(kinds.ErrorKind.OVERLOADED, queue.name)

    def _refusal(
        self, kind: kinds.ErrorKind, service: str
    ) -> exceptions.AdmissionError:
        self.refused += 1
        return exceptions.AdmissionError(
            f"service {service} can't take the request", kind
        )

    def _team(self, name: str) -> Team:
        return self.teams.setdefault(name, Team())

    def _leave(self, name: str) -> None:
        self.teams[name].services -= 1
        self._forget_unused(name)

    def _forget_unused(self, name: str) -> None:
        team = self.teams[name]
        if team.services < 1 and team.in_use < 1:
            del self.teams[name]

    def _move(self, queue: tickets.ServiceQueue, team: str) -> None:
        self.teams[queue.team].in_use -= queue.in_use
        self._leave(queue.team)
        queue.team = team
        joined = self._team(team)
        joined.services += 1
        joined.in_use += queue.in_use
