"""Background task that probes upstreams."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools

import anyio
import anyio.abc
from loguru import logger

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.membership import api as membership_api
from lovageyoke.probing import api
from lovageyoke.probing import budget as probe_budget
from lovageyoke.probing import fleet
from lovageyoke.probing import presets
from lovageyoke.probing import scheduler
from lovageyoke.routing import api as routing_api
from lovageyoke.transport import api as transport_api

SCHEDULE_INTERVAL_MS = 20.0

DrainListener = Callable[[str, str], None]


class ProbedService:
    """A service whose upstreams are probed.

    Attributes:
        name: Name of the service.
        scheduler: Decides when to probe which upstream.
        targets: Target of each upstream, by upstream id.
    """

    def __init__(
        self,
        name: str,
        probe_scheduler: scheduler.ProbeScheduler,
        targets: dict[str, transport_api.Target],
    ) -> None:
        self.name = name
        self.scheduler = probe_scheduler
        self.targets = targets


class Prober:
    """Runs the probe schedulers of all services in one task.

    Attributes:
        probe: Requests the load of an upstream.
        view: View of the membership.
        clock: Time source.
        on_drain: Called with the service name and upstream id when a probe
            reports that the upstream is draining.
        share: Share of the fleet's budgets that this entry VM may use.
        services: Probed services by name.
        budgets: Budget of each service by name. The budget of a removed
            service is kept while it has sends in its window, so that removing
            and adding a service doesn't exceed the limit.
    """

    def __init__(
        self,
        probe: api.Probe,
        view: membership_api.MembershipView,
        clock: clock_api.Clock,
        on_drain: DrainListener,
    ) -> None:
        self.probe = probe
        self.view = view
        self.clock = clock
        self.on_drain = on_drain
        self.share = fleet.FleetShare(clock.now_ms())
        self.services: dict[str, ProbedService] = {}
        self.budgets: dict[str, probe_budget.ProbeBudget] = {}
        self._due: list[tuple[float, int, str, ProbedService]] = []
        self._sequence = itertools.count()

    def add(
        self,
        name: str,
        policy: routing_api.RoutingPolicy,
        probes_per_s: float,
        parameters: presets.ProbeParameters,
        targets: dict[str, transport_api.Target],
    ) -> ProbedService:
        """Starts probing a service, or replaces its parameters.

        Args:
            name: Name of the service.
            policy: Routing policy of the service.
            probes_per_s: Probes per second that the fleet may send.
            parameters: Probe parameters of the service's preset.
            targets: Target of each upstream, by upstream id.
        """
        previous = self.services.get(name)
        budget = self.budgets.get(name)
        if budget is None:
            budget = probe_budget.ProbeBudget(name, probes_per_s, self.share)
            self.budgets[name] = budget
        budget.set_rate(probes_per_s)
        probe_scheduler = scheduler.ProbeScheduler(policy, budget, parameters)
        if previous is not None:
            probe_scheduler.counters = previous.scheduler.counters
        service = ProbedService(name, probe_scheduler, targets)
        self.services[name] = service
        self._schedule(name, service, self.clock.now_ms())
        return service

    def remove(self, name: str) -> None:
        """Stops probing a service."""
        self.services.pop(name, None)
        now_ms = self.clock.now_ms()
        self.budgets = {
            each: budget
            for each, budget in self.budgets.items()
            if each in self.services or budget.has_recent_sends(now_ms)
        }

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                now_ms = self.clock.now_ms()
                version = self.share.version
                self.share.update(self.view, now_ms)
                if self.share.version != version:
                    self._schedule_all(now_ms)
                self.start_due(tasks, now_ms)
                await self.clock.sleep_ms(SCHEDULE_INTERVAL_MS)

    def start_due(self, tasks: anyio.abc.TaskGroup, now_ms: float) -> None:
        """Starts the probes that are due."""
        while self._due and self._due[0][0] <= now_ms:
            _, _, name, service = heapq.heappop(self._due)
            if self.services.get(name) is not service:
                continue
            upstream_id = service.scheduler.next_target(now_ms)
            while upstream_id is not None:
                tasks.start_soon(self._run_probe, service, upstream_id)
                upstream_id = service.scheduler.next_target(now_ms)
            self._schedule(name, service, service.scheduler.recheck_ms(now_ms))

    def _schedule_all(self, now_ms: float) -> None:
        self._due = [
            (now_ms, next(self._sequence), name, service)
            for name, service in self.services.items()
        ]

    def _schedule(
        self, name: str, service: ProbedService, due_ms: float
    ) -> None:
        item = (due_ms, next(self._sequence), name, service)
        heapq.heappush(self._due, item)

    async def _run_probe(
        self, service: ProbedService, upstream_id: str
    ) -> None:
        if service.scheduler.is_late(upstream_id, self.clock.now_ms()):
            service.scheduler.drop(upstream_id)
            return
        report = None
        timed_out = False
        target = service.targets.get(upstream_id)
        if target is not None:
            timeout_ms = service.scheduler.timeout_ms(upstream_id)
            with anyio.move_on_after(timeout_ms / 1_000.0) as scope:
                report = await self._send_probe(target)
            timed_out = scope.cancelled_caught
        now_ms = self.clock.now_ms()
        service.scheduler.finish(upstream_id, report, now_ms, timed_out)
        if report is not None and report.draining:
            # On a busy VM all probes of the peers may be late, so they may
            # not see the drain themselves.
            self.on_drain(service.name, upstream_id)

    async def _send_probe(
        self, target: transport_api.Target
    ) -> routing_api.LoadReport | None:
        try:
            return await self.probe.probe(target)
        except (exceptions.LovageyokeError, OSError) as error:
            logger.debug(
                "probe of upstream {} failed: {}", target.upstream_id, error
            )
            return None
