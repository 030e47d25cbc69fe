"""Selects the upstreams for a request's attempts."""

from __future__ import annotations

from collections.abc import Collection
import math

from lovageyoke.limits import shared_capacity
from lovageyoke.node import state as node_state
from lovageyoke.routing import load_view
from lovageyoke.routing import model
from lovageyoke.routing import placement

# Share of the heartbeat period. Requests that were sent more recently are not
# included in the load reports yet.
REPORT_AGE_SHARE = 0.75
MS_PER_SECOND = 1_000.0


class UpstreamSelector:
    """Selects upstreams for a request's attempts.

    Attributes:
        node: Shared state of the process.
        route: The request's route.
        service: The service that serves it.
        target_ms: When the route's latency target ends, counted from the
            caller's first try.
        deadline_ms: When the final response is due.
        request_bytes: Size of the request's body.
    """

    def __init__(
        self,
        node: node_state.NodeState,
        route: model.Route,
        service: str,
        first_tried_ms: float,
        deadline_ms: float,
        *,
        request_bytes: int = 0,
    ) -> None:
        self.node = node
        self.route = route
        self.service = service
        self.target_ms = first_tried_ms + route.target_latency_ms
        self.deadline_ms = deadline_ms
        self.request_bytes = request_bytes

    @property
    def work(self) -> placement.WorkEstimate:
        """The estimated work of the request."""
        return self.node.work.estimate(
            self.route, self.service, self.request_bytes
        )

    @property
    def latest_start_ms(self) -> float:
        """Latest start that meets the target at an upstream of usual pace."""
        return self.target_ms - self.run_ms

    @property
    def run_ms(self) -> float:
        """Time to reserve for a run at an upstream of usual pace."""
        return placement.LATENCY_MARGIN * self.work.service_ms

    def until_stop_ms(self, now_ms: float) -> float:
        """Returns the time until the runs of a stopping process must end."""
        stop = self.node.shutdown
        return math.inf if stop is None else stop.answers_due_ms - now_ms

    def left_ms(self, now_ms: float) -> float:
        """Returns the time until an upstream must have responded.

        That is the deadline, or earlier if this process is about to stop.
        """
        return min(self.deadline_ms - now_ms, self.until_stop_ms(now_ms))

    def views(self) -> list[load_view.UpstreamView]:
        """Returns the upstreams that this process may use."""
        node = self.node
        limiter = node.rate_limiter
        now_ms = node.clock.now_ms()
        node.cold_starts.expire(now_ms)
        limiter.update_shares(now_ms)
        subset = node.subset(self.service)
        additional = limiter.additional_views(self.service, subset)
        return subset + additional if additional else subset

    def estimate_all(
        self, tried: Collection[tuple[str, int]] = ()
    ) -> list[placement.Candidate]:
        """Returns estimates for all upstreams that were not tried."""
        node = self.node
        return placement.evaluate_all(
            self.views(),
            self.work,
            failure_domain=node.failure_domain,
            default_slowdown=node.loads.mean_slowdown(self.service),
            now_ms=node.clock.now_ms(),
            excluded=tried,
        )

    def select_first(
        self,
        freed: load_view.UpstreamView | None,
        was_queued: bool,
        tried: Collection[tuple[str, int]] = (),
    ) -> placement.Candidate | None:
        """Returns an upstream for a request that has not run, if there is one.

        While the target can still be met, only upstreams that meet it
        qualify. After that, any upstream that responds before the deadline
        qualifies, except those that other requests need to meet their target.

        Args:
            freed: An upstream where a request of this process has just
                ended; no other one is considered. All other free capacity is
                visible to all processes at once, so it is taken only with
                some probability.
            was_queued: Whether the request has been queued.
            tried: Keys of the upstreams that were tried.
        """
        choices = self.estimate_all(tried)
        now_ms = self.node.clock.now_ms()
        candidates = placement.with_free_capacity(
            choices, min(self.target_ms - now_ms, self.until_stop_ms(now_ms))
        )
        if not candidates and now_ms > self.latest_start_ms:
            candidates = placement.with_free_capacity(
                choices, self.left_ms(now_ms)
            )
            if self.is_capacity_scarce(choices, now_ms):
                candidates = placement.too_slow(
                    candidates, self.route.target_latency_ms
                )
        if freed is not None:
            candidates = [each for each in candidates if each.view is freed]
        elif not self.takes_shared_capacity(candidates, was_queued):
            # A rate limit reserves capacity for this process.
            candidates = [
                each for each in candidates if each.view.is_rate_limited()
            ]
        return placement.choose_weighted(candidates, self.node.rng)

    def sends_within(
        self, choices: list[placement.Candidate], duration_ms: float
    ) -> float:
        """Returns how many requests rate limits permit within a time.

        Args:
            choices: The upstreams to select from.
            duration_ms: The time; infinitely many if any has no limit.
        """
        now_ms = self.node.clock.now_ms()
        return sum(
            each.view.rate_limit.share.sends_within(duration_ms, now_ms)
            if each.view.rate_limit is not None
            else math.inf
            for each in choices
        )

    def is_late(self) -> bool:
        """Returns whether an upstream of usual pace would miss the target."""
        return self.node.clock.now_ms() > self.latest_start_ms

    def is_capacity_scarce(
        self, choices: list[placement.Candidate], now_ms: float
    ) -> bool:
        """Returns whether requests that can meet the target need all capacity.

        This holds if one is queued, or if little capacity is left at the
        upstreams that are fast enough for the target.
        """
        if self.node.queue(self.service).any_in_time(now_ms):
            return True
        return placement.is_scarce(choices, self.route.target_latency_ms)

    def takes_shared_capacity(
        self, choices: list[placement.Candidate], was_queued: bool
    ) -> bool:
        """Returns whether to take capacity that is visible to all processes.

        The probability is the free capacity that more urgent requests leave,
        divided by the number of requests expected to compete for it.

        Args:
            choices: The upstreams with capacity.
            was_queued: Whether the request has been queued.
        """
        if not choices:
            return False
        node = self.node
        now_ms = node.clock.now_ms()
        free = sum(each.free for each in choices)
        report_age_ms = REPORT_AGE_SHARE * node.period_ms
        tries = report_age_ms / node_state.ADMIT_INTERVAL_MS
        waiting = self.fleet_waiting(now_ms)
        # Each competitor takes any upstream of the service, so few free ones
        # get few of the tries.
        share = len(choices) / max(1, node.upstream_count(self.service))
        level_tries = share * tries * waiting.level
        all_tries = share * tries * waiting.total
        if not was_queued:
            requests_per_s = node.requests_per_s(self.service, now_ms)
            arrivals = share * requests_per_s / MS_PER_SECOND * report_age_ms
            level_tries += arrivals
            all_tries += arrivals
        return node.rng.random() < shared_capacity.probability(
            free, share * waiting.ahead, level_tries, all_tries
        )

    def fleet_waiting(self, now_ms: float) -> shared_capacity.Waiting:
        """Returns what is known of the service's queued requests."""
        own = shared_capacity.urgency(self.is_late(), self.route.priority)
        return self.node.fleet_waiting(self.service, own, now_ms)

    def select_other(
        self, tried: Collection[tuple[str, int]]
    ) -> placement.Candidate | None:
        """Returns an upstream for a retry or hedge that responds in time."""
        left_ms = self.left_ms(self.node.clock.now_ms())
        choices = placement.with_free_capacity(
            self.estimate_all(tried), left_ms
        )
        return placement.choose_weighted(choices, self.node.rng)
