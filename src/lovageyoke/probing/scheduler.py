"""Decides when to probe the upstreams of one service."""

from __future__ import annotations

from lovageyoke.probing import budget as probe_budget
from lovageyoke.probing import counters as probe_counters
from lovageyoke.probing import fleet
from lovageyoke.probing import presets
from lovageyoke.routing import api

IDLE_RECHECK_MS = 500.0
NO_ALLOWANCE_RECHECK_MS = 5_000.0
# The timeout grows because a busy VM reads the responses to its probes late.
MAX_TIMEOUT_DOUBLINGS = 2


class ProbeScheduler:
    """Schedules probes of upstreams with stale reports within the budget.

    Attributes:
        policy: Selects the upstreams to probe and receives the results.
        budget: Limits the probes.
        parameters: Probe parameters of the service's preset.
        counters: Probe counters for metrics.
        pending: When each probe in flight was scheduled, by upstream id.
        consecutive_timeouts: Number of consecutive probes that timed out, by
            upstream id.
    """

    def __init__(
        self,
        policy: api.RoutingPolicy,
        budget: probe_budget.ProbeBudget,
        parameters: presets.ProbeParameters,
    ) -> None:
        self.policy = policy
        self.budget = budget
        self.parameters = parameters
        self.counters = probe_counters.ProbeCounters()
        self.pending: dict[str, float] = {}
        self.consecutive_timeouts: dict[str, int] = {}

    def next_target(self, now_ms: float) -> str | None:
        """Returns an upstream to probe now and charges it to the budget."""
        self.counters.allowance = self.budget.allowance(now_ms)
        if len(self.pending) >= self.parameters.max_pending:
            return None
        allowed_ms = self.budget.next_send_ms(now_ms)
        if allowed_ms is None or allowed_ms > now_ms:
            return None
        limit = len(self.pending) + 1
        for upstream_id in self.policy.probe_targets(now_ms, limit):
            if upstream_id in self.pending:
                continue
            if not self.budget.try_spend(now_ms):
                return None
            self.pending[upstream_id] = now_ms
            self.counters.sent += 1
            return upstream_id
        return None

    def recheck_ms(self, now_ms: float) -> float:
        """Returns when to call ``next_target`` again after it returned None."""
        allowed_ms = self.budget.next_send_ms(now_ms)
        if allowed_ms is None:
            stable = self.budget.is_allowance_stable(now_ms)
            delay_ms = NO_ALLOWANCE_RECHECK_MS if stable else IDLE_RECHECK_MS
            return now_ms + delay_ms
        delay_ms = min(IDLE_RECHECK_MS, self.parameters.max_report_age_ms / 4.0)
        return max(allowed_ms, now_ms + delay_ms)

    def timeout_ms(self, upstream_id: str) -> float:
        """Returns the timeout of the next probe of an upstream.

        It doubles with each consecutive timeout, at most
        ``MAX_TIMEOUT_DOUBLINGS`` times.
        """
        doublings = min(
            self.consecutive_timeouts.get(upstream_id, 0), MAX_TIMEOUT_DOUBLINGS
        )
        return self.parameters.timeout_ms * 2.0**doublings

    def is_late(self, upstream_id: str, now_ms: float) -> bool:
        """Returns whether a pending probe must be dropped instead of sent.

        The budget's windows allow for a delay of at most
        ``MAX_SEND_DELAY_MS`` between the decision and the send.
        """
        return now_ms - self.pending[upstream_id] > fleet.MAX_SEND_DELAY_MS

    def drop(self, upstream_id: str) -> None:
        """Removes a pending probe that was not sent."""
        del self.pending[upstream_id]
        self.counters.dropped += 1

    def finish(
        self,
        upstream_id: str,
        report: api.LoadReport | None,
        now_ms: float,
        timed_out: bool = False,
    ) -> None:
        """Records the end of a probe and passes its result to the policy.

        Args:
            upstream_id: Id of the probed upstream.
            report: Load report, or None if the probe failed.
            now_ms: Current time in milliseconds.
            timed_out: Whether the probe was cancelled on a timeout.
        """
        latency_ms = now_ms - self.pending.pop(upstream_id, now_ms)
        self.counters.total_latency_ms += latency_ms
        if report is not None:
            self.counters.succeeded += 1
        elif timed_out:
            self.counters.timed_out += 1
        else:
            self.counters.failed += 1
        if timed_out:
            self.consecutive_timeouts[upstream_id] = (
                self.consecutive_timeouts.get(upstream_id, 0) + 1
            )
        else:
            self.consecutive_timeouts.pop(upstream_id, None)
        self.policy.probed(upstream_id, report, latency_ms, now_ms)
