"""Estimated load and slowdown of each upstream.

Reports come from probes, responses and other processes. Between reports the
estimate adds the requests that this process has sent since the last one.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
import zlib

import attrs

from lovageyoke.routing import cold_state
from lovageyoke.routing import model
from lovageyoke.routing import rate_limit as routing_rate_limit

SLOWDOWN_DECAY_MS = 400.0  # Slowdowns change about twice a second.
FAILURE_HALF_LIFE_MS = 2_500.0
MIN_FAILURE_RATE = 0.001
FAILURE_SMOOTHING = 0.3  # A few consecutive failures bring the rate near 1.
MAX_UNANSWERED_PROBES = 2  # As many in a row mean a failure.
MAX_FORMER_LIMITS = 1_000
COLD_SLOWDOWN = 2.0  # Upstreams start at about half speed.
MEAN_SLOWDOWN_SMOOTHING = 0.02  # Weight of one report.


@attrs.frozen
class LoadReport:
    """Load reported by an upstream.

    Attributes:
        running: Requests being served.
        waiting: Requests in the upstream's queue.
        slots: Requests that it can serve concurrently.
        slowdown: Current service time relative to normal; None if unknown.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@attrs.define
class UpstreamView:
    """Estimated state of one upstream.

    Attributes:
        upstream: The upstream.
        added_ms: When the upstream was added.
        report: Latest report, if any.
        reported_ms: When the report was made, by the local clock.
        own_in_flight: Requests of this process in flight there.
        own_in_flight_at_report: ``own_in_flight`` when the report was made.
        failure_rate: Failure rate of recent exchanges at ``failure_ms``.
        failure_ms: When ``failure_rate`` was last changed.
        unhealthy: Whether its health check reports a failure.
        sent_slowdown: Slowdown last sent to the other processes.
        unanswered_probes: Consecutive health checks without an answer.
        rate_limit: The rate limit, None if the upstream never stated one and
            isn't cold.
        cold: For how long it is cold, None if it hasn't been.
    """

    upstream: model.Upstream
    added_ms: float
    report: LoadReport | None = None
    reported_ms: float = -math.inf
    own_in_flight: int = 0
    own_in_flight_at_report: int = 0
    failure_rate: float = 0.0
    failure_ms: float = 0.0
    unhealthy: bool = False
    sent_slowdown: float = 1.0
    unanswered_probes: int = 0
    rate_limit: routing_rate_limit.RateLimit | None = None
    cold: cold_state.ColdState | None = None

    def record_entry(self, upstream: model.Upstream, now_ms: float) -> None:
        """Records for how long the upstream is cold by its entry."""
        if upstream.cold_ms > 0.0:
            if self.cold is None:
                self.cold = cold_state.ColdState()
            self.cold.apply_entry(upstream.cold_ms, now_ms)

    def apply_report(
        self,
        report: LoadReport,
        made_ms: float,
        own_in_flight: int | None = None,
    ) -> bool:
        """Takes a report unless a later one is known.

        Args:
            report: The report.
            made_ms: When it was made, by the local clock.
            own_in_flight: Requests of this process that the report includes;
                the current count if None.

        Returns:
            Whether it was taken.
        """
        if made_ms <= self.reported_ms:
            return False
        if report.slowdown is None and self.report is not None:
            report = attrs.evolve(report, slowdown=self.report.slowdown)
        self.report = report
        self.reported_ms = made_ms
        self.own_in_flight_at_report = (
            self.own_in_flight if own_in_flight is None else own_in_flight
        )
        return True

    def record_outcome(self, failed: bool, now_ms: float) -> None:
        """Updates the failure rate with the outcome of an exchange."""
        rate = self.aged_failure_rate(now_ms)
        target = 1.0 if failed else 0.0
        self.failure_rate = rate + FAILURE_SMOOTHING * (target - rate)
        self.failure_ms = now_ms

    def aged_failure_rate(self, now_ms: float) -> float:
        """Returns the failure rate, decayed exponentially with time."""
        if self.failure_rate < MIN_FAILURE_RATE:
            return 0.0
        age_ms = now_ms - self.failure_ms
        return self.failure_rate * math.exp2(-age_ms / FAILURE_HALF_LIFE_MS)

    def load(self) -> int:
        """Returns the estimated number of requests at the upstream."""
        if self.report is None:
            return self.own_in_flight
        reported = self.report.running + self.report.waiting
        return max(
            self.own_in_flight,
            reported + self.own_in_flight - self.own_in_flight_at_report,
        )

    def rate_wait_ms(self, now_ms: float) -> float:
        """Returns the time until the rate limit permits a send.

        It is infinite if only other processes may send.
        """
        if self.rate_limit is None:
            return 0.0
        return self.rate_limit.share.wait_ms(now_ms)

    def is_rate_limited(self) -> bool:
        """Returns whether the upstream has a rate limit."""
        return self.rate_limit is not None and (
            self.rate_limit.per_s is not None
        )

    def is_cold_limited(self) -> bool:
        """Returns whether the upstream has a rate limit as it is cold."""
        return self.rate_limit is not None and (
            self.rate_limit.cold_per_s is not None
        )

    def record_send(self, now_ms: float) -> None:
        """Records that this process sends a request to the upstream."""
        self.own_in_flight += 1
        if self.rate_limit is not None:
            self.rate_limit.share.last_sent_ms = now_ms

    def slots(self) -> int:
        """Returns the requests that the upstream serves concurrently."""
        if self.report is not None and self.report.slots > 0:
            return self.report.slots
        return max(1, self.upstream.slots)

    def slowdown(self, now_ms: float, default_slowdown: float) -> float:
        """Returns the expected service time relative to normal.

        Args:
            now_ms: Current time in milliseconds.
            default_slowdown: Slowdown of an upstream without reports.
        """
        slowdown = default_slowdown
        if self.report is not None and self.report.slowdown is not None:
            age_ms = max(0.0, now_ms - self.reported_ms)
            weight = math.exp(-age_ms / SLOWDOWN_DECAY_MS)
            slowdown = self.report.slowdown * weight + default_slowdown * (
                1.0 - weight
            )
        if now_ms < self.added_ms + self.upstream.cold_ms:
            slowdown *= COLD_SLOWDOWN
        return slowdown


@attrs.define
class ServiceView:
    """Estimated state of the upstreams of one service.

    Attributes:
        upstreams: Views by upstream key.
        mean_slowdown: Moving average over the service's reports.
    """

    upstreams: dict[tuple[str, int], UpstreamView] = attrs.field(factory=dict)
    mean_slowdown: float = 1.0


class LoadView:
    """Estimated state of all upstreams.

    Attributes:
        services: Views by service.
        by_id: View of the newest incarnation of each upstream id.
        by_short_id: The same by short id, where it is unique.
        former_limits: Rate limits that removed incarnations have stated, the
            oldest removal first.
        changes: Incremented when the list of upstreams changes.
    """

    def __init__(self) -> None:
        self.services: dict[str, ServiceView] = {}
        self.by_id: dict[str, UpstreamView] = {}
        self.by_short_id: dict[int, UpstreamView] = {}
        self.former_limits: dict[
            tuple[str, int], routing_rate_limit.RateLimit
        ] = {}
        self.changes = 0

    def replace_upstreams(
        self, upstreams: Iterable[model.Upstream], now_ms: float
    ) -> None:
        """Replaces the upstreams; keeps the state of those that remain."""
        wanted = {upstream.key: upstream for upstream in upstreams}
        for service in self.services.values():
            for key in [
                each for each in service.upstreams if each not in wanted
            ]:
                self.keep_limit(service.upstreams.pop(key))
        self.by_id = {}
        for upstream in wanted.values():
            self.upsert(upstream, now_ms)
        self.by_short_id = _index_by_short_id(self.by_id)
        self.changes += 1

    def upsert(self, upstream: model.Upstream, now_ms: float) -> None:
        """Adds an upstream or updates its configuration."""
        service = self.services.setdefault(upstream.service, ServiceView())
        view = service.upstreams.get(upstream.key)
        if view is None:
            view = UpstreamView(upstream, now_ms)
            view.rate_limit = self.former_limits.pop(upstream.key, None)
            view.record_entry(upstream, now_ms)
            service.upstreams[upstream.key] = view
        elif view.upstream != upstream:
            before, view.upstream = view.upstream, upstream
            if (before.sequence, before.cold_ms) != (
                upstream.sequence,
                upstream.cold_ms,
            ):
                view.record_entry(upstream, now_ms)
        self.by_id[upstream.upstream_id] = view

    def keep_limit(self, view: UpstreamView) -> None:
        """Keeps what a removed upstream has stated, as it may come back."""
        limit = view.rate_limit
        if limit is None or not limit.was_stated:
            return
        limit.cold_per_s = None  # The next entry states whether it is cold.
        self.former_limits[view.upstream.key] = limit
        while len(self.former_limits) > MAX_FORMER_LIMITS:
            del self.former_limits[next(iter(self.former_limits))]

    def of_service(self, name: str) -> list[UpstreamView]:
        """Returns the views of a service's upstreams."""
        service = self.services.get(name)
        return list(service.upstreams.values()) if service else []

    def mean_slowdown(self, name: str) -> float:
        """Returns the mean slowdown of a service's upstreams."""
        service = self.services.get(name)
        return service.mean_slowdown if service else 1.0

    def apply_report(
        self, view: UpstreamView, report: LoadReport, made_ms: float
    ) -> bool:
        """Applies a report if it is newer; returns whether it was."""
        if not view.apply_report(report, made_ms):
            return False
        service = self.services.get(view.upstream.service)
        if service is not None and report.slowdown is not None:
            change = report.slowdown - service.mean_slowdown
            service.mean_slowdown += MEAN_SLOWDOWN_SMOOTHING * change
        return True


def short_id(upstream_id: str) -> int:
    """Returns a 32-bit id of an upstream for messages, below 2**32.

    All processes derive it from the upstream id without coordination.
    Upstreams whose short ids collide are left out of reports; this is rare.
    """
    return zlib.crc32(upstream_id.encode())


def _index_by_short_id(
    by_id: dict[str, UpstreamView],
) -> dict[int, UpstreamView]:
    found: dict[int, UpstreamView] = {}
    shared = set()
    for upstream_id, view in by_id.items():
        number = short_id(upstream_id)
        if number in found:
            shared.add(number)
        found[number] = view
    for number in shared:
        del found[number]
    return found
