"""Requests that wait in this process until an upstream has free capacity.

An upstream loaded beyond its capacity slows down for all its requests, so
the requests of a burst are queued here, where they can use the next free slot
of any upstream. Requests that can still meet their latency target go first,
by priority, then by what their account has used and by target time; late ones
use the remaining capacity. A request that can't be started in time is refused
at once, also when a more urgent one takes its place.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import math

import attrs

from lovageyoke.limits import served_shares
from lovageyoke.limits import shared_capacity
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
        kind: Name of its kind, usually of its route; empty if unknown.
        account: Name of its client account, None if it has none.
        waited_ms: Time that its caller spent on earlier tries.
        run_ms: Expected duration of its run.
        displaced: Whether it was refused in favour of a more urgent request.
    """

    priority: int
    arrived_ms: float
    target_ms: float
    give_up_ms: float
    start: Callable[[load_view.UpstreamView | None], bool]
    refuse: Callable[[], None]
    kind: str = ""
    account: str | None = None
    waited_ms: float = 0.0
    run_ms: float = 0.0
    displaced: bool = False

    @property
    def groups(self) -> tuple[served_shares.Group, ...]:
        """The groups whose shares it counts for."""
        return groups_of(self.kind, self.account)

    def is_late(self, now_ms: float) -> bool:
        """Returns whether it can no longer meet its latency target."""
        return now_ms > self.target_ms


def groups_of(
    kind: str, account: str | None
) -> tuple[served_shares.Group, ...]:
    """Returns the groups of the requests of a kind and an account."""
    if account is None:
        return (("kind", kind),)
    return ("kind", kind), ("account", account)


class AdmissionQueue:
    """The waiting requests of one service.

    Attributes:
        queued: The requests.
        start_interval_ms: Mean time between two starts while requests wait.
        last_start_ms: Time of the last start.
        refused: Requests refused since the start.
        expired_by: Those whose wait expired, by priority.
        turned_away_by: Those refused on arrival, by priority.
        displaced_by: Those displaced by a more urgent one, by priority.
        shares: Capacity that kinds and accounts have received.
    """

    def __init__(self) -> None:
        self.queued: list[QueuedRequest] = []
        self.start_interval_ms = INITIAL_INTERVAL_MS
        self.last_start_ms: float | None = None
        self.refused = 0
        self.expired_by: collections.Counter[int] = collections.Counter()
        self.turned_away_by: collections.Counter[int] = collections.Counter()
        self.displaced_by: collections.Counter[int] = collections.Counter()
        self.shares = served_shares.ServedShares()

    def sort_key(
        self, request: QueuedRequest, now_ms: float
    ) -> tuple[bool, bool, int, int, float]:
        """Returns the sort key of a request; smaller keys go first.

        Answers a burst of one kind of request and an account far above its
        usual rate: groups that get too little of the average share first,
        then requests that can meet their target by priority, and in one
        priority the accounts that have used less. Callers that retry at once
        don't overtake others: the time counts from their last try.
        """
        account_level = 0
        if request.account is not None:
            account_level = self.shares.use_level(
                ("account", request.account), now_ms
            )
        return (
            not self.shares.is_starved(request.groups),
            request.is_late(now_ms),
            request.priority,
            account_level,
            request.target_ms + request.waited_ms,
        )

    def expected_wait_ms(
        self, priority: int, account: str | None = None
    ) -> float:
        """Returns the expected wait of a request that arrives now."""
        ahead = self._count_ahead(priority, account)
        return (ahead + 1) * self.start_interval_ms

    def starts_ahead(self, priority: int, is_late: bool, now_ms: float) -> bool:
        """Returns whether an arriving request may start before those waiting.

        Answers callers that retry at once: a late request takes no capacity
        from late requests that wait. A request that can
        meet its target passes late and less urgent ones.
        """
        return not any(
            each.is_late(now_ms) == is_late and each.priority <= priority
            for each in self.queued
        )

    def any_in_time(self, now_ms: float) -> bool:
        """Returns whether any waiting request can meet its target."""
        return any(not each.is_late(now_ms) for each in self.queued)

    def by_urgency(
        self, now_ms: float
    ) -> collections.Counter[shared_capacity.Urgency]:
        """Returns the number of waiting requests by urgency."""
        return collections.Counter(
            shared_capacity.urgency(each.is_late(now_ms), each.priority)
            for each in self.queued
        )

    def record_turned_away(self, priority: int) -> None:
        """Counts a request that was refused without being queued."""
        self.turned_away_by[priority] += 1

    def add(self, request: QueuedRequest) -> None:
        """Adds a request."""
        self.queued.append(request)

    def enter(
        self, request: QueuedRequest, now_ms: float, sends: float = math.inf
    ) -> bool:
        """Decides on an arriving request.

        It is queued if it is expected to start in time. Waiting requests that
        can no longer be started in time behind it are refused.

        Args:
            request: The request.
            now_ms: Current time in milliseconds.
            sends: Number of requests that can be sent in its time.

        Returns:
            Whether it was queued; otherwise it has to be refused.
        """
        if self.shares.is_starved(request.groups):
            ahead = sum(
                self.shares.is_starved(each.groups) for each in self.queued
            )
        else:
            ahead = self._count_ahead(request.priority, request.account)
        left_ms = request.give_up_ms - now_ms
        if not self._starts_within(ahead, left_ms, sends):
            return False
        self.add(request)
        self.displace(request, now_ms, sends)
        return True

    def displace(
        self, request: QueuedRequest, now_ms: float, sends: float
    ) -> None:
        """Refuses those that can't start in time behind a new request.

        Answers a burst of one kind of request: a less urgent
        request that would wait in vain is refused at once, while its caller
        has time for another try.
        """
        if len(self.queued) == 1:
            return
        ordered = sorted(
            self.queued, key=lambda each: self.sort_key(each, now_ms)
        )
        ahead = 0
        for each in ordered:
            wait_ms = (ahead + 1) * self.start_interval_ms
            in_time = now_ms + wait_ms < each.give_up_ms
            fits = in_time and ahead < min(sends, MAX_WAITING)
            yields = each is not request and self._yields(
                each, request.priority, request.account
            )
            if fits or not yields:
                ahead += 1
                continue
            self.queued.remove(each)
            each.displaced = True
            self.displaced_by[each.priority] += 1
            self._refuse(each)

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
        if len(self.queued) > 1:
            self.queued.sort(key=lambda each: self.sort_key(each, now_ms))
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
            self.expired_by[queued_request.priority] += 1
            self._refuse(queued_request)

    def end_waits_by(self, answers_due_ms: float, now_ms: float) -> None:
        """Lets no request wait so long that it can't run before a time.

        Args:
            answers_due_ms: When all runs must have ended.
            now_ms: The time.
        """
        for each in self.queued:
            latest_ms = answers_due_ms - each.run_ms
            each.give_up_ms = min(each.give_up_ms, latest_ms)
        self.refuse_expired(now_ms)

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

    def refusals(self) -> dict[str, int]:
        """Returns the refusals since the start by reason and priority."""
        reasons = {
            "turned_away": self.turned_away_by,
            "expired": self.expired_by,
            "displaced": self.displaced_by,
        }
        return {
            f"{reason}_p{priority}": count
            for reason, counts in reasons.items()
            for priority, count in sorted(counts.items())
        }

    def _refuse(self, request: QueuedRequest) -> None:
        self.refused += 1
        request.refuse()

    def _count_ahead(self, priority: int, account: str | None) -> int:
        return sum(
            not self._yields(each, priority, account) for each in self.queued
        )

    def _starts_within(self, ahead: int, left_ms: float, sends: float) -> bool:
        if ahead >= min(sends, MAX_WAITING):
            return False
        return not self.queued or (ahead + 1) * self.start_interval_ms < left_ms

    def _yields(
        self, waiting: QueuedRequest, priority: int, account: str | None
    ) -> bool:
        """Returns whether a waiting request goes behind one that arrives.

        It does if it is less urgent, or if its account has used clearly more.
        Requests of one account and priority keep their places.
        """
        if waiting.priority != priority:
            return waiting.priority > priority
        if account is None or waiting.account in {None, account}:
            return False
        now_ms = self.shares.total.updated_ms
        level = self.shares.use_level
        return level(("account", str(waiting.account)), now_ms) > level(
            ("account", account), now_ms
        )
