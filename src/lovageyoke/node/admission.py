"""Admission of one caller's request: its first attempt or its refusal."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from lovageyoke.errors import kinds
from lovageyoke.limits import admission_queue

if TYPE_CHECKING:
    from lovageyoke.node import race as node_race
    from lovageyoke.routing import load_view

Kind = kinds.ErrorKind


class Admission:
    """Starts a request now or when an upstream has capacity, or refuses it.

    Attributes:
        race: The request.
        queue: The waiting requests of its service.
        groups: Groups whose shares of the capacity it counts for.
        counted: Whether it has been counted as started.
    """

    def __init__(self, race: node_race.Race) -> None:
        self.race = race
        self.queue = race.node.queue(race.service)
        self.groups = admission_queue.groups_of(race.route.name, race.account)
        self.counted = False
        self.queue.shares.record_arrival(self.groups, race.arrived_ms)

    async def start(self) -> kinds.ErrorKind | None:
        """Starts an attempt of a request that has not run.

        Returns:
            The reason if no attempt was started, else None.
        """
        race = self.race
        choices = race.selector.estimate_all(race.tried)
        if not choices:
            limited = race.node.rate_limiter.limited(race.service)
            return self.overloaded() if limited else Kind.NO_UPSTREAM
        now_ms = race.node.clock.now_ms()
        soonest_ms = min(each.latency_ms for each in choices)
        left_ms = race.sending.deadline_ms - now_ms
        if soonest_ms > left_ms:
            return self.overloaded()
        until_stop_ms = race.selector.until_stop_ms(now_ms)
        if soonest_ms > until_stop_ms:
            return self.leaving()
        # A late request uses only capacity that is of no use to requests
        # that can still meet their target.
        if self.queue.starts_ahead(
            race.route.priority, race.selector.is_late(), now_ms
        ) and self.try_start(None, was_queued=False):
            return None
        wait_ms = min(
            left_ms * admission_queue.MAX_WAIT_SHARE,
            until_stop_ms - race.selector.run_ms,
        )
        if wait_ms <= 0.0:
            return self.leaving()
        started: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        request = self.queued_request(started, now_ms + wait_ms)
        sends = race.selector.sends_within(choices, wait_ms)
        if not self.queue.enter(request, now_ms, sends):
            return self.overloaded()
        return await self.wait(request, started)

    def overloaded(self) -> kinds.ErrorKind:
        """Returns the error of a refusal; logs the rate limits in its way."""
        race = self.race
        self.queue.record_turned_away(race.route.priority)
        race.steps.append(f"refused priority={race.route.priority}")
        race.steps.extend(race.node.rate_limiter.story(race.service))
        return Kind.OVERLOADED

    def leaving(self) -> kinds.ErrorKind:
        """Returns the error if this process stops before a run would end."""
        self.race.steps.append("no time before the stop")
        return Kind.LEAVING

    def queued_request(
        self, started: asyncio.Future[bool], give_up_ms: float
    ) -> admission_queue.QueuedRequest:
        """Returns the request as it is queued.

        Args:
            started: Set to whether it was started when its wait ends.
            give_up_ms: When it is refused if still waiting.
        """
        race = self.race

        def start(freed: load_view.UpstreamView | None) -> bool:
            if started.done() or not self.try_start(freed, was_queued=True):
                return False
            started.set_result(True)
            return True

        return admission_queue.QueuedRequest(
            race.route.priority,
            race.arrived_ms,
            race.selector.latest_start_ms,
            give_up_ms,
            start,
            functools.partial(_set_refused, started),
            race.route.name,
            race.account,
            race.waited_ms,
            race.selector.run_ms,
        )

    async def wait(
        self,
        request: admission_queue.QueuedRequest,
        started: asyncio.Future[bool],
    ) -> kinds.ErrorKind | None:
        """Waits until a queued request is started or refused."""
        race = self.race
        race.node.request_queued.set()
        race.steps.append(f"wait behind={len(self.queue.queued) - 1}")
        try:
            if await started:
                return None
        finally:
            self.queue.remove(request)
        reason = "displaced" if request.displaced else "expired"
        race.steps.append(f"{reason} priority={race.route.priority}")
        now_ms = race.node.clock.now_ms()
        if race.selector.until_stop_ms(now_ms) <= race.selector.run_ms:
            return self.leaving()
        return Kind.OVERLOADED

    def try_start(
        self, freed: load_view.UpstreamView | None, *, was_queued: bool
    ) -> bool:
        """Starts an attempt if an upstream has capacity for it.

        Args:
            freed: The only upstream to consider, None for any.
            was_queued: Whether the request has been queued.

        Returns:
            Whether an attempt was started.
        """
        race = self.race
        if not race.try_start(freed, was_queued):
            return False
        if not self.counted:
            self.counted = True
            self.queue.shares.record_start(
                self.groups,
                race.selector.work.service_ms,
                race.node.clock.now_ms(),
            )
        return True


def _set_refused(started: asyncio.Future[bool]) -> None:
    if not started.done():
        started.set_result(False)
