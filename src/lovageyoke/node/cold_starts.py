"""Limits the rate of requests to upstreams while they are cold."""

from __future__ import annotations

from collections.abc import Mapping
import math

from lovageyoke.fleet import messages as fleet_messages
from lovageyoke.node import rate_limiter
from lovageyoke.routing import cold_state
from lovageyoke.routing import load_view
from lovageyoke.routing import model
from lovageyoke.routing import rate_limit

# How long the end of a cold time is sent to the peers.
REPORT_END_MS = 2_000.0
REFRESH_MS = 300.0  # Cold upstreams are reported again, as messages get lost.


class ColdStarts:
    """The cold upstreams of the services that limit their rate.

    Attributes:
        limiter: Applies the limits.
        rates_per_s: Requests per second that a cold upstream accepts, by
            service; only services with a limit.
        tracked: The upstreams that are or were just limited, by id.
        queued_ms: When each of them was last queued for the peers, by id.
        next_ms: When the limit of a tracked upstream may end next.
    """

    def __init__(self, limiter: rate_limiter.RateLimiter) -> None:
        self.limiter = limiter
        self.rates_per_s: dict[str, float] = {}
        self.tracked: dict[str, load_view.UpstreamView] = {}
        self.queued_ms: dict[str, float] = {}
        self.next_ms = math.inf

    # Statements

    def apply_services(self, services: Mapping[str, model.Service]) -> None:
        """Applies the rates of a configuration."""
        self.rates_per_s = {
            name: service.cold_rate_per_s
            for name, service in services.items()
            if service.cold_rate_per_s is not None
        }
        self.apply_entries()

    def apply_entries(self) -> None:
        """Limits the upstreams that are cold by their entries."""
        if not self.rates_per_s and not self.tracked:
            return
        by_id = self.limiter.loads.by_id
        for upstream_id, view in list(self.tracked.items()):
            if upstream_id not in by_id:
                self.forget(upstream_id, view)
        for view in by_id.values():
            if view.cold is not None:
                self.update(view, view.cold, "entry")

    def record_check(
        self,
        view: load_view.UpstreamView,
        cold_ms: float | None,
        sent_ms: float,
    ) -> None:
        """Records the response to a health check.

        Args:
            view: The upstream that responded.
            cold_ms: For how long it is still cold, None if it didn't say.
            sent_ms: When the check was sent.
        """
        if cold_ms is None or (view.cold is None and cold_ms <= 0.0):
            return
        if view.cold is None:
            view.cold = cold_state.ColdState()
        now_ms = self.limiter.clock.now_ms()
        changed = view.cold.apply_check(cold_ms, sent_ms=sent_ms, now_ms=now_ms)
        source = rate_limit.Source.HEALTH_CHECK
        self.update(view, view.cold, source.value)
        queued_ms = self.queued_ms.get(view.upstream.upstream_id, -math.inf)
        if changed or (cold_ms > 0.0 and now_ms - queued_ms >= REFRESH_MS):
            self.queue_report(view, source, is_local=True, urgent=changed)

    def record_peer_report(
        self,
        report: fleet_messages.RateLimitReport,
        now_ms: float,
        is_local: bool,
    ) -> None:
        """Records for how long an upstream is cold, received from a peer.

        Args:
            report: The report.
            now_ms: The time.
            is_local: Whether the peer is in this failure domain.
        """
        view = self.limiter.loads.by_id.get(report.upstream_id)
        if report.cold_ms is None or view is None:
            return
        if view.upstream.started_ms != report.started_ms:
            # The report is about another start of the upstream.
            return
        if view.cold is None:
            view.cold = cold_state.ColdState()
        if view.cold.apply_peer(report.cold_ms, now_ms - report.age_ms):
            source = rate_limit.Source.PEER
            self.update(view, view.cold, source.value)
            self.queue_report(view, source, is_local=is_local, urgent=True)

    def queue_report(
        self,
        view: load_view.UpstreamView,
        source: rate_limit.Source,
        *,
        is_local: bool,
        urgent: bool,
    ) -> None:
        """Queues the newest statement of an upstream for the peers.

        Args:
            view: The upstream.
            source: Where the statement comes from.
            is_local: Whether the other failure domains need it.
            urgent: Whether to send it at once.
        """
        limiter = self.limiter
        upstream_id = view.upstream.upstream_id
        collecting = limiter.members.collecting_since_ms is not None
        if upstream_id not in self.tracked or (
            source is rate_limit.Source.PEER and not collecting
        ):
            return
        self.queued_ms[upstream_id] = limiter.clock.now_ms()
        limiter.local_updates.queue([upstream_id])
        if is_local and collecting:
            limiter.remote_updates.queue([upstream_id])
        if urgent:
            limiter.request_heartbeat(is_local)

    # Limits

    def update(
        self,
        view: load_view.UpstreamView,
        state: cold_state.ColdState,
        source: str,
    ) -> None:
        """Begins or ends the limit of an upstream.

        Args:
            view: The upstream.
            state: For how long it is cold.
            source: Where the last statement comes from, for the log.
        """
        now_ms = self.limiter.clock.now_ms()
        per_s = None
        if state.is_cold(now_ms):
            per_s = self.rates_per_s.get(view.upstream.service)
            self.next_ms = min(self.next_ms, state.end_ms)
        before = view.rate_limit.cold_per_s if view.rate_limit else None
        if per_s == before:
            return
        self.limit_of(view).cold_per_s = per_s
        self.limiter.changes += 1
        self.tracked[view.upstream.upstream_id] = view
        self.next_ms = min(self.next_ms, now_ms + REPORT_END_MS)
        self.limiter.log.event(
            "upstream-warm" if per_s is None else "upstream-cold",
            upstream=view.upstream.upstream_id,
            service=view.upstream.service,
            source=source,
            per_s=per_s,
            cold_ms=max(0, round(state.end_ms - now_ms)),
        )

    def limit_of(self, view: load_view.UpstreamView) -> rate_limit.RateLimit:
        """Returns the limit of an upstream; adds one if it has none.

        A new start of an upstream takes over the share of the previous one,
        so that this process doesn't send to both without a pause.
        """
        previous = self.limiter.views.get(view.upstream.upstream_id)
        is_new = view.rate_limit is None
        limit = self.limiter.limit_of(view)
        if is_new and previous is not None and previous.rate_limit is not None:
            limit.share = previous.rate_limit.share
        return limit

    def expire(self, now_ms: float) -> None:
        """Ends the limits of upstreams that are no longer cold."""
        if now_ms < self.next_ms:
            return
        self.next_ms = math.inf
        for upstream_id, view in list(self.tracked.items()):
            state = view.cold
            if state is None:
                continue
            self.update(view, state, "time")
            gone_ms = state.end_ms
            if not view.is_cold_limited():
                gone_ms += REPORT_END_MS
                if now_ms >= gone_ms:
                    self.forget(upstream_id, view)
                    continue
            self.next_ms = min(self.next_ms, gone_ms)

    def forget(self, upstream_id: str, view: load_view.UpstreamView) -> None:
        """Forgets an upstream that hasn't been cold for some time."""
        del self.tracked[upstream_id]
        self.limiter.domain_ranks.positions.pop(upstream_id, None)
        self.queued_ms.pop(upstream_id, None)
        limit = view.rate_limit
        if limit is not None and not limit.was_stated:
            # It never stated a limit of its own.
            view.rate_limit = None
            if self.limiter.views.get(upstream_id) is view:
                del self.limiter.views[upstream_id]

    def cold_count(self) -> int:
        """Returns the number of upstreams that are limited as they are cold."""
        self.expire(self.limiter.clock.now_ms())
        return sum(each.is_cold_limited() for each in self.tracked.values())
