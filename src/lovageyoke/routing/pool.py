"""The pool policy: power of d choices over a pool of recent reports."""

from __future__ import annotations

from collections.abc import Sequence
import random

from lovageyoke.config import model
from lovageyoke.routing import api
from lovageyoke.routing import state
from lovageyoke.routing import tracking

CHOICES = 3


class PoolPolicy(tracking.TrackingPolicy):
    """Chooses the cheapest of a few random upstreams by recent reports.

    Attributes:
        routing: Routing settings of the service.
        own_failure_domain: Where this entry VM runs.
        loads: Last reported load of each upstream by id.
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
        self.loads: dict[str, int] = {}

    def pick(
        self, candidates: Sequence[state.UpstreamState], now_ms: float
    ) -> state.UpstreamState:
        """Chooses the cheapest of a random sample."""
        count = min(CHOICES, len(candidates))
        return min(self.rng.sample(candidates, count), key=self.load)

    def load(self, known: state.UpstreamState) -> int:
        """Returns the expected requests at an upstream."""
        reported = self.loads.get(known.upstream.upstream_id, 0)
        return reported + known.in_flight

    def completed(self, completion: api.Completion, now_ms: float) -> None:
        """Takes the report of a response into the pool."""
        super().completed(completion, now_ms)
        if completion.report is not None:
            self.take_report(completion.upstream_id, completion.report)

    def probed(
        self,
        upstream_id: str,
        report: api.LoadReport | None,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Takes the report of a probe into the pool."""
        super().probed(upstream_id, report, latency_ms, now_ms)
        if report is not None:
            self.take_report(upstream_id, report)

    def take_report(self, upstream_id: str, report: api.LoadReport) -> None:
        """Keeps the newest load of an upstream."""
        if upstream_id in self.states:
            self.loads[upstream_id] = report.in_flight + report.queued
