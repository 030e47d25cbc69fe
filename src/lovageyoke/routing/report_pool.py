"""Recent load reports, weighted by age and use."""

from __future__ import annotations

import math

import attrs

from lovageyoke.routing import api

LOAD_SMOOTHING = 0.02
NEVER_MS = float("-inf")


@attrs.define(eq=False)
class PooledReport:
    """The latest report of one upstream.

    Attributes:
        load: Requests at the upstream when it reported, with queued ones.
        received_ms: When the report arrived.
        uses: Local requests sent since then.
        change: Local requests sent minus those ended since then.
        cold: Whether it was warming up.
    """

    load: float = 0.0
    received_ms: float = NEVER_MS
    uses: int = 0
    change: int = 0
    cold: bool = False


class ReportPool:
    """Estimates the load of upstreams from aging reports.

    A report loses accuracy with age and use, since other entry VMs act on
    the same report. The estimate therefore moves from the reported load to
    the mean load of all upstreams.

    Source: Dahlin, "Interpreting Stale Load Information", IEEE TPDS 11(10),
    2000.

    Attributes:
        half_life_ms: Age at which the weight of a report is halved.
        max_uses: Local requests after which a report is ignored.
        mean_load: Mean load over recent reports.
    """

    def __init__(self, half_life_ms: float, max_uses: int) -> None:
        self.half_life_ms = half_life_ms
        self.max_uses = max_uses
        self.mean_load = 0.0
        self._decay_per_ms = math.log(2.0) / half_life_ms

    def update(
        self, pooled: PooledReport, report: api.LoadReport, now_ms: float
    ) -> None:
        """Replaces the report of an upstream."""
        pooled.load = float(report.in_flight + report.queued)
        pooled.received_ms = now_ms
        pooled.uses = 0
        pooled.change = 0
        pooled.cold = report.cold
        self.mean_load += LOAD_SMOOTHING * (pooled.load - self.mean_load)

    def estimate(
        self, pooled: PooledReport, in_flight: int, now_ms: float
    ) -> float:
        """Returns the expected number of requests at an upstream.

        Args:
            pooled: Latest report of the upstream.
            in_flight: Local requests in flight there.
            now_ms: Current time in milliseconds.
        """
        expected = self.mean_load
        expected = max(expected, in_flight)
        if pooled.uses >= self.max_uses:
            return expected + in_flight
        reported = pooled.load + pooled.change
        reported = max(reported, in_flight)
        age_ms = now_ms - pooled.received_ms
        weight = math.exp(-age_ms * self._decay_per_ms)
        return weight * reported + (1.0 - weight) * (expected + in_flight)
