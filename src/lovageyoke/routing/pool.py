"""The pool policy: power of d choices over a pool of recent reports."""

from __future__ import annotations

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
import random
from typing import cast

import attrs

from lovageyoke.config import model
from lovageyoke.probing import presets
from lovageyoke.routing import api
from lovageyoke.routing import cost
from lovageyoke.routing import ejection
from lovageyoke.routing import report_pool
from lovageyoke.routing import slow_start
from lovageyoke.routing import state
from lovageyoke.routing import tracking

SAMPLE_SIZE = 14
HALF_LIFE_MS = 40.0
MAX_USES = 8
LATENCY_SMOOTHING = 0.05
IDLE_MS = 5_000.0


@attrs.define(eq=False)
class PooledState(state.UpstreamState):
    """Upstream state with its latest report and health.

    Attributes:
        report: Latest report.
        health: Recent latency and failures.
        slow_start_ms: When its slow start began, or None if not in slow start.
        remote: Whether it is in another failure domain.
    """

    report: report_pool.PooledReport = attrs.field(
        factory=report_pool.PooledReport
    )
    health: ejection.Health = attrs.field(factory=ejection.Health)
    slow_start_ms: float | None = None
    remote: bool = False


class PoolPolicy(tracking.TrackingPolicy):
    """Chooses the cheapest of a few random upstreams by recent reports.

    Source: the pool of probes and its reuse limit follow Wydrowski et al.,
    "Load is not what you should balance: Introducing Prequal", NSDI 2024;
    here the reports of ordinary responses fill the pool.

    Attributes:
        routing: Routing settings of the service.
        own_failure_domain: Where this entry VM runs.
        plan: Probe parameters of the service's preset.
        pool: The recent reports.
        ejector: Ejects outliers.
        latency_ms: Smoothed latency over all upstreams.
        chosen_ms: When a request was last routed.
    """

    def __init__(
        self,
        routing: model.Routing,
        own_failure_domain: str,
        rng: random.Random,
    ) -> None:
        super().__init__(rng)
        self.routing = routing
        self.own_failure_domain = own_failure_domain
        self.plan = presets.PARAMETERS[routing.preset]
        self.pool = report_pool.ReportPool(HALF_LIFE_MS, MAX_USES)
        self.ejector = ejection.Ejector()
        self.latency_ms = 0.0
        self.chosen_ms = float("-inf")

    def create_state(
        self, upstream: model.Upstream, now_ms: float
    ) -> PooledState:
        """Returns a new state, in slow start unless it is the first one."""
        slow_start_ms = now_ms if self.states else None
        return PooledState(upstream, now_ms, slow_start_ms=slow_start_ms)

    def set_upstreams(
        self, upstreams: tuple[model.Upstream, ...], now_ms: float
    ) -> None:
        """Replaces the upstreams; keeps the state of those that remain."""
        super().set_upstreams(upstreams, now_ms)
        for known in self.states.values():
            domain = known.upstream.failure_domain
            as_pooled(known).remote = domain != self.own_failure_domain

    def refresh_usable(self) -> None:
        """Recomputes the upstreams that may receive new requests."""
        self.usable = [
            known
            for known in self.states.values()
            if known.usable and as_pooled(known).health.until_ms is None
        ]

    def choose(self, now_ms: float, excluded: AbstractSet[str]) -> str | None:
        """Returns the id of an upstream, or None if none is usable."""
        self.chosen_ms = now_ms
        self.check_outliers(now_ms)
        return super().choose(now_ms, excluded)

    def pick(
        self, candidates: Sequence[state.UpstreamState], now_ms: float
    ) -> state.UpstreamState:
        """Chooses the cheapest of a random sample."""
        pooled = cast(Sequence[PooledState], candidates)
        rand = self.rng.random
        count = len(pooled)
        best = pooled[int(rand() * count)]
        best_cost = self.cost(best, now_ms)
        for _ in range(min(SAMPLE_SIZE, count) - 1):
            other = pooled[int(rand() * count)]
            if other is best:
                continue
            other_cost = self.cost(other, now_ms)
            if other_cost < best_cost:
                best, best_cost = other, other_cost
        return best

    def cost(self, known: PooledState, now_ms: float) -> float:
        """Returns the cost of sending a request to an upstream now."""
        load = self.pool.estimate(known.report, known.in_flight, now_ms)
        relative = 1.0
        latency_ms = known.health.latency_ms
        if latency_ms is not None and self.latency_ms > 0.0:
            relative = latency_ms / self.latency_ms
        share = 1.0
        if known.slow_start_ms is not None or known.report.cold:
            share = self.slow_start_share(known, now_ms)
        return cost.estimate(
            load, known.upstream.slots, relative, share, known.remote
        )

    def slow_start_share(self, known: PooledState, now_ms: float) -> float:
        """Returns the share of its normal load an upstream may receive."""
        if known.report.cold:
            known.slow_start_ms = now_ms
        share = slow_start.share(known.slow_start_ms, known.report.cold, now_ms)
        if share >= 1.0:
            known.slow_start_ms = None
        return share

    def check_outliers(self, now_ms: float) -> None:
        """Ejects outliers and readmits upstreams after their ejection."""
        if now_ms - self.ejector.checked_ms < ejection.CHECK_INTERVAL_MS:
            return
        pooled = [
            as_pooled(known) for known in self.states.values() if known.usable
        ]
        was_out = [each for each in pooled if each.health.until_ms is not None]
        healths = [each.health for each in pooled]
        if not self.ejector.check(healths, now_ms):
            return
        for each in was_out:
            if each.health.until_ms is None:
                each.slow_start_ms = now_ms
        self.refresh_usable()

    def dispatched(self, upstream_id: str, now_ms: float) -> None:
        """Counts a request that was sent, and one use of the report."""
        super().dispatched(upstream_id, now_ms)
        known = self.states.get(upstream_id)
        if known is not None:
            report = as_pooled(known).report
            report.uses += 1
            report.change += 1

    def completed(self, completion: api.Completion, now_ms: float) -> None:
        """Records the report and the latency of an exchange."""
        super().completed(completion, now_ms)
        found = self.states.get(completion.upstream_id)
        if found is None:
            return
        known = as_pooled(found)
        known.report.change -= 1
        if completion.result is api.Result.FAILED:
            known.health.record_failure()
        elif completion.result is api.Result.OK:
            self.record_latency(known, completion.latency_ms)
        if completion.report is not None:
            self.pool.update(known.report, completion.report, now_ms)

    def record_latency(self, known: PooledState, latency_ms: float) -> None:
        """Records the latency of a response."""
        known.health.record(latency_ms)
        if self.latency_ms <= 0.0:
            self.latency_ms = latency_ms
        self.latency_ms += LATENCY_SMOOTHING * (latency_ms - self.latency_ms)

    def probed(
        self,
        upstream_id: str,
        report: api.LoadReport | None,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Records the report of a probe in the pool."""
        was_usable = self.is_usable(upstream_id)
        super().probed(upstream_id, report, latency_ms, now_ms)
        found = self.states.get(upstream_id)
        if found is None:
            return
        known = as_pooled(found)
        if report is None:
            known.health.record_failure()
            return
        if known.usable and not was_usable:
            known.slow_start_ms = now_ms
        self.pool.update(known.report, report, now_ms)

    def restore(self, upstream_id: str, now_ms: float) -> None:
        """Allows new requests again, with a slow start."""
        was_usable = self.is_usable(upstream_id)
        super().restore(upstream_id, now_ms)
        if not was_usable and self.is_usable(upstream_id):
            as_pooled(self.states[upstream_id]).slow_start_ms = now_ms

    def is_usable(self, upstream_id: str) -> bool:
        """Returns whether an upstream is known and not draining."""
        known = self.states.get(upstream_id)
        return known is not None and known.usable

    def probe_targets(self, now_ms: float, most: int) -> tuple[str, ...]:
        """Returns the upstreams with stale reports, oldest first."""
        drained = super().probe_targets(now_ms, most)
        stale_ms = now_ms - self.plan.max_report_age_ms
        stale = [
            (as_pooled(known).report.received_ms, upstream_id)
            for upstream_id, known in self.states.items()
            if known.usable and as_pooled(known).report.received_ms < stale_ms
        ]
        stale.sort()
        ordered = drained + tuple(each for _, each in stale)
        return ordered[:most]


def as_pooled(known: state.UpstreamState) -> PooledState:
    """Returns a state of this policy, which creates no other kind."""
    assert isinstance(known, PooledState)  # noqa: S101
    return known
