"""Chooses the upstream of a request by expected latency.

Upstreams may slow down and recover within milliseconds. A fast upstream with
a short queue in another failure domain is preferred to a slow local one; of
similar ones the local upstream saves traffic between failure domains.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import math
import random

import attrs

from lovageyoke.routing import load_view

CROSS_DOMAIN_MS = 3.0  # Round trip between failure domains.
CROSS_DOMAIN_MS_PER_KB = 2.5  # Keeps large transfers in their domain.
UNHEALTHY_COST_MS = 2_000.0  # Used only if no other upstream is left.
FAILURE_COST_MS = 1_500.0  # Cost of a certain failure.
CONTENTION_THRESHOLD = 0.8  # Many upstreams slow down above this load.
NEGLIGIBLE_CONTENTION = 1.25
MIN_WEIGHT_CAPACITY = 0.2
RATE_LIMITED_CAPACITY = 1.0  # Requests are sent there one at a time.
LATENCY_MARGIN = 1.25  # Slowdowns change while a request is served.
# Fraction of the capacity that meets the target; less than this is used up
# within the delay of one load message.
SCARCE_CAPACITY_SHARE = 0.25
CROSS_DOMAIN_WEIGHT = 0.3  # Local upstreams of equal cost save traffic.
LATENCY_EXPONENT = 6.0  # Twice the latency gets 1/64 of the requests.


@attrs.frozen
class WorkEstimate:
    """Expected resource use of a request.

    Attributes:
        service_ms: Service time at an upstream without slowdown.
        answer_kb: Response size in kilobytes.
        contention: Factor on the service time at an upstream loaded above
            ``CONTENTION_THRESHOLD``.
        request_kb: Size of the request's body in kilobytes.
    """

    service_ms: float
    answer_kb: float
    contention: float = 1.0
    request_kb: float = 0.0

    @property
    def transfer_kb(self) -> float:
        """Size of the request and the response in kilobytes."""
        return self.request_kb + self.answer_kb


@attrs.frozen
class Candidate:
    """An upstream with its expected latency and cost.

    Attributes:
        view: The upstream.
        latency_ms: Expected time until the response.
        cost_ms: ``latency_ms`` plus the penalties of the upstream.
        capacity: Concurrency up to which the upstream works efficiently.
        free: How much of it is free now.
        cross_domain: Whether it runs in another failure domain.
    """

    view: load_view.UpstreamView
    latency_ms: float
    cost_ms: float
    capacity: float
    free: float
    cross_domain: bool = False


def expected_latency_ms(
    view: load_view.UpstreamView,
    work: WorkEstimate,
    now_ms: float,
    default_slowdown: float,
) -> float:
    """Returns the expected latency of a request sent now.

    Args:
        view: The upstream.
        work: Expected resource use of the request.
        now_ms: Current time in milliseconds.
        default_slowdown: Slowdown of an upstream without reports.
    """
    slots = view.slots()
    load = view.load()
    each_ms = view.slowdown(now_ms, default_slowdown) * work.service_ms
    if load + 1 > CONTENTION_THRESHOLD * slots:
        each_ms *= work.contention
    ahead = max(0, load + 1 - slots)
    return each_ms * (1.0 + ahead / slots)


def capacity(view: load_view.UpstreamView, work: WorkEstimate) -> float:
    """Returns the concurrency up to which an upstream works efficiently.

    Above ``CONTENTION_THRESHOLD`` an upstream subject to contention gains
    hardly any throughput, while the latency of each request grows. With few
    slots, rounding down may cost more throughput than contention: one request
    at an upstream of two slots is served at half its capacity.
    """
    slots = view.slots()
    if work.contention < NEGLIGIBLE_CONTENTION:
        return slots
    efficient = max(1, math.floor(CONTENTION_THRESHOLD * slots))
    if efficient * work.contention < CONTENTION_THRESHOLD * slots:
        return slots
    return efficient


def free_capacity(view: load_view.UpstreamView, work: WorkEstimate) -> float:
    """Returns how many more requests fit below the efficient capacity."""
    return max(0.0, capacity(view, work) - view.load())


def usable(view: load_view.UpstreamView, now_ms: float) -> bool:
    """Returns whether an upstream accepts requests of this process."""
    accepts = view.upstream.accepts_requests
    return accepts and math.isfinite(view.rate_wait_ms(now_ms))


def evaluate(
    view: load_view.UpstreamView,
    work: WorkEstimate,
    failure_domain: str,
    default_slowdown: float,
    now_ms: float,
) -> Candidate:
    """Returns the expected latency and cost of an upstream.

    Args:
        view: The upstream.
        work: Expected resource use of the request.
        failure_domain: Failure domain of this process.
        default_slowdown: Slowdown of an upstream without reports.
        now_ms: Current time in milliseconds.
    """
    latency_ms = expected_latency_ms(view, work, now_ms, default_slowdown)
    cost_ms = latency_ms + FAILURE_COST_MS * view.aged_failure_rate(now_ms)
    cross_domain = view.upstream.failure_domain != failure_domain
    if cross_domain:
        latency_ms += CROSS_DOMAIN_MS
        cost_ms += CROSS_DOMAIN_MS + CROSS_DOMAIN_MS_PER_KB * work.transfer_kb
    if (
        view.unhealthy
        or view.unanswered_probes >= load_view.MAX_UNANSWERED_PROBES
    ):
        cost_ms += UNHEALTHY_COST_MS
    capacity_now = capacity(view, work)
    free = free_capacity(view, work)
    if view.is_rate_limited():
        # The limit permits one request now, or the next one after a wait.
        wait_ms = view.rate_wait_ms(now_ms)
        latency_ms += wait_ms
        cost_ms += wait_ms
        capacity_now = min(capacity_now, RATE_LIMITED_CAPACITY)
        free = 0.0 if wait_ms > 0.0 else min(free, RATE_LIMITED_CAPACITY)
    return Candidate(
        view, latency_ms, cost_ms, capacity_now, free, cross_domain
    )


def evaluate_all(
    views: Iterable[load_view.UpstreamView],
    work: WorkEstimate,
    *,
    failure_domain: str,
    default_slowdown: float,
    now_ms: float,
    excluded: Collection[tuple[str, int]] = (),
) -> list[Candidate]:
    """Returns a candidate for each upstream that may take a request.

    Args:
        views: The upstreams of the request's service.
        work: Expected resource use of the request.
        failure_domain: Failure domain of this process.
        default_slowdown: Slowdown of an upstream without reports.
        now_ms: Current time in milliseconds.
        excluded: Upstreams already tried.
    """
    return [
        evaluate(view, work, failure_domain, default_slowdown, now_ms)
        for view in views
        if usable(view, now_ms) and view.upstream.key not in excluded
    ]


def with_free_capacity(
    candidates: Iterable[Candidate], max_ms: float
) -> list[Candidate]:
    """Returns candidates with free capacity that respond in time.

    Args:
        candidates: Upstreams to select from.
        max_ms: Limit on the time until the response.
    """
    return [
        each
        for each in candidates
        if LATENCY_MARGIN * each.latency_ms <= max_ms and each.free > 0.0
    ]


def too_slow(
    candidates: Iterable[Candidate], target_ms: float
) -> list[Candidate]:
    """Returns the candidates too slow to meet the target.

    Args:
        candidates: Upstreams to select from.
        target_ms: Latency target of a new request.
    """
    return [
        each
        for each in candidates
        if LATENCY_MARGIN * each.latency_ms > target_ms
    ]


def is_scarce(candidates: list[Candidate], target_ms: float) -> bool:
    """Returns whether little capacity that meets the target is free.

    Args:
        candidates: Upstreams to select from.
        target_ms: Latency target of a new request.
    """
    quick = [
        each
        for each in candidates
        if LATENCY_MARGIN * each.latency_ms <= target_ms
    ]
    free = sum(each.free for each in quick)
    total = sum(each.capacity for each in quick)
    return free <= SCARCE_CAPACITY_SHARE * total


def choose_weighted(
    candidates: list[Candidate], rng: random.Random
) -> Candidate | None:
    """Returns a weighted random candidate, or None if there is none.

    The weight grows with the free capacity and with a power of the inverse
    cost. Processes that share the same slightly stale reports thus spread
    their requests instead of overloading the best upstream.

    Args:
        candidates: Upstreams to select from.
        rng: Source of random numbers.
    """
    if not candidates:
        return None
    best_ms = min(each.cost_ms for each in candidates)
    weights = [
        max(MIN_WEIGHT_CAPACITY, each.free)
        * (best_ms / each.cost_ms) ** LATENCY_EXPONENT
        * (CROSS_DOMAIN_WEIGHT if each.cross_domain else 1.0)
        for each in candidates
    ]
    return rng.choices(candidates, weights)[0]
