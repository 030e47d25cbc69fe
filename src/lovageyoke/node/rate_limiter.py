"""Keeps requests within the rates that upstreams accept from the fleet.

An upstream states its rate, or has that of its service while it is cold (see
``cold_starts``).
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
import random

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.fleet import domain_rank
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages as fleet_messages
from lovageyoke.fleet import transmissions
from lovageyoke.hop import messages as hop_messages
from lovageyoke.node import limit_reports
from lovageyoke.node import report_exchange
from lovageyoke.observe import events
from lovageyoke.routing import cold_rate
from lovageyoke.routing import load_view
from lovageyoke.routing import rate_limit
from lovageyoke.routing import rate_share

MAX_CHANGED_LIMITS = 40  # Changed limits per message.
ROUND_ROBIN_LIMITS = 3
# An unchanged limit is sent again after this time, so that peers can order it
# among older statements.
REFRESH_MS = 1_000.0
SETTLED_MS = 10_000.0  # After this time all peers know this process.
MS_PER_SECOND = 1_000.0

DecodeRateLimit = Callable[[hop_messages.Headers], float | None]


class RateLimiter:
    """The upstreams' rate limits and this process's shares of them.

    Attributes:
        clock: Source of time.
        rng: Source of random numbers.
        log: The event log.
        decode: Decodes the limit in the headers of a response.
        members: The processes of the fleet.
        loads: The upstreams.
        request_heartbeat: Requests a heartbeat at once; the argument tells
            whether the other failure domains need it too.
        started_ms: When this process started.
        cold_over: Multiple of a cold upstream's rate that it may get in one
            second.
        cold_slack: Requests that it may get in one second in addition.
        views: The upstreams that have a limit or have stated one, by id.
        malformed: Ids of the upstreams whose last limit was malformed.
        local_updates: Selects the limits to send in the own failure domain.
        remote_updates: The same for the other failure domains.
        changes: Counter of changed limits.
        domain_ranks: Ranks the processes that may send to cold upstreams.
        share_inputs: What the current shares were computed from.
    """

    def __init__(
        self,
        *,
        clock: clock_api.Clock,
        rng: random.Random,
        log: events.EventLog,
        decode: DecodeRateLimit,
        members: fleet_members.Members,
        loads: load_view.LoadView,
        request_heartbeat: report_exchange.RequestHeartbeat,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.log = log
        self.decode = decode
        self.members = members
        self.loads = loads
        self.request_heartbeat = request_heartbeat
        self.started_ms = clock.now_ms()
        self.cold_over = 1.5
        self.cold_slack = 8.0
        self.views: dict[str, load_view.UpstreamView] = {}
        self.malformed: set[str] = set()
        self.local_updates = transmissions.TransmissionQueue()
        self.remote_updates = transmissions.TransmissionQueue()
        self.changes = 0
        self.domain_ranks = domain_rank.DomainRanks(members)
        self.share_inputs: tuple[object, ...] = ()

    # Statements

    def record_response(
        self,
        view: load_view.UpstreamView,
        headers: hop_messages.Headers,
        sent_ms: float,
        source: rate_limit.Source,
    ) -> None:
        """Records the limit in a response, or that it has none.

        Args:
            view: The upstream that responded.
            headers: The headers of the response.
            sent_ms: When the request was sent.
            source: Whether it was a request or a health check.
        """
        try:
            per_s = self.decode(headers)
        except exceptions.DecodeError as error:
            self.log_malformed(view, error)
            return
        limit = view.rate_limit
        if per_s is None and (limit is None or not limit.was_stated):
            return
        self.malformed.discard(view.upstream.upstream_id)
        limit = self.limit_of(view)
        before = limit.statement
        limit.apply_response(
            per_s,
            sent_ms=sent_ms,
            now_ms=self.clock.now_ms(),
            source=source,
        )
        self.process_statement(view, before, source, is_local=True)

    def record_peer_report(
        self,
        report: fleet_messages.RateLimitReport,
        now_ms: float,
        is_local: bool,
    ) -> None:
        """Records a limit received from a peer.

        Args:
            report: The limit.
            now_ms: The time.
            is_local: Whether the peer is in this failure domain.
        """
        view = self.loads.by_id.get(report.upstream_id)
        if view is None or view.upstream.started_ms != report.started_ms:
            # Another start of the upstream has no part in the limit.
            return
        limit = self.limit_of(view)
        before = limit.statement
        limit.apply_peer(
            rate_limit.Statement(report.per_s, now_ms - report.age_ms)
        )
        self.process_statement(
            view, before, rate_limit.Source.PEER, is_local=is_local
        )

    def process_statement(
        self,
        view: load_view.UpstreamView,
        before: rate_limit.Statement,
        source: rate_limit.Source,
        *,
        is_local: bool,
    ) -> None:
        """Logs and queues a statement if it is new.

        Args:
            view: The upstream.
            before: The statement that was known before.
            source: Where the statement comes from.
            is_local: Whether the other failure domains need it.
        """
        limit = self.limit_of(view)
        changed = limit.statement.per_s != before.per_s
        if changed:
            self.changes += 1
            self.log_change(view, before, source)
        collecting = self.members.collecting_since_ms is not None
        if source is rate_limit.Source.PEER and not collecting:
            return
        stated_ms = limit.statement.stated_ms
        if not changed and stated_ms - limit.queued_ms < REFRESH_MS:
            return
        limit.queued_ms = stated_ms
        self.local_updates.queue([view.upstream.upstream_id])
        if is_local and collecting:
            self.remote_updates.queue([view.upstream.upstream_id])
        if changed:
            self.request_heartbeat(is_local)

    def limit_of(self, view: load_view.UpstreamView) -> rate_limit.RateLimit:
        """Returns the limit of an upstream; adds one if it has none."""
        if view.rate_limit is None:
            view.rate_limit = rate_limit.RateLimit()
            self.views[view.upstream.upstream_id] = view
        return view.rate_limit

    def apply_upstreams(self) -> None:
        """Applies a new list of upstreams.

        Starts that no longer exist are forgotten. The limit of one that has
        come back holds again.
        """
        known = self.loads.by_id
        for upstream_id, view in list(self.views.items()):
            if known.get(upstream_id) is not view:
                del self.views[upstream_id]
        self.malformed &= known.keys()
        for upstream_id, view in known.items():
            if view.rate_limit is not None and upstream_id not in self.views:
                self.views[upstream_id] = view
                self.changes += 1

    # Messages

    def reports_to_send(
        self, now_ms: float, is_remote: bool
    ) -> tuple[fleet_messages.RateLimitReport, ...]:
        """Returns the limits for the next heartbeat.

        Args:
            now_ms: The time.
            is_remote: Whether it goes to the other failure domains.
        """
        queue = self.remote_updates if is_remote else self.local_updates
        upstream_ids = queue.take(MAX_CHANGED_LIMITS)
        if self.members.collecting_since_ms is not None:
            repeated = [
                upstream_id
                for upstream_id, view in self.views.items()
                if limit_reports.is_repeated(view, now_ms)
            ]
            upstream_ids.extend(
                queue.take_round_robin(repeated, ROUND_ROBIN_LIMITS)
            )
        found = (self.views.get(each) for each in upstream_ids)
        return tuple(
            report
            for view in found
            if view
            for report in limit_reports.reports_of(view, now_ms)
        )

    # Shares

    def update_shares(self, now_ms: float) -> None:
        """Recomputes the shares if any of their inputs has changed."""
        if not self.views:
            return
        view = self.members.view(now_ms)
        inputs = (
            self.changes,
            self.members.changes,
            self.members.own.leaving,
            view.size,
            view.workers,
        )
        if inputs == self.share_inputs:
            return
        self.share_inputs = inputs
        for each in self.views.values():
            self.update_share(each, max(view.size, view.workers), now_ms)

    def update_share(
        self, view: load_view.UpstreamView, processes: int, now_ms: float
    ) -> None:
        """Recomputes this process's share of one limit."""
        limit = self.limit_of(view)
        interval_ms = None
        if limit.per_s is not None and limit.cold_per_s is not None:
            position = self.domain_ranks.position(
                view.upstream.upstream_id, view.upstream.failure_domain
            )
            most = self.cold_over * limit.cold_per_s + self.cold_slack
            interval_ms = cold_rate.interval_ms(
                limit.per_s, position, self.domain_ranks.size, most
            )
        elif limit.per_s is not None:
            position = self.members.duty_position(
                view.upstream.upstream_id,
                view.upstream.failure_domain,
                rate_share.sender_count(limit.per_s, processes),
                now_ms,
            )
            interval_ms = rate_share.interval_ms(
                limit.per_s, position, processes
            )
        limit.share.update(
            interval_ms,
            now_ms,
            phase=self.rng.random(),
            settled=now_ms - self.started_ms >= SETTLED_MS,
        )

    def additional_views(
        self, service: str, views: Collection[load_view.UpstreamView]
    ) -> list[load_view.UpstreamView]:
        """Returns the upstreams that this process sends to for the fleet.

        Only the senders of a limited upstream may use it, so they do so even
        if it isn't in their subset.

        Args:
            service: The service.
            views: The subset of this process.
        """
        limited = self.limited(service)
        if not limited:
            return []
        in_subset = {id(each) for each in views}
        return [
            each
            for each in limited
            if self.limit_of(each).is_sender and id(each) not in in_subset
        ]

    def limited(self, service: str) -> list[load_view.UpstreamView]:
        """Returns the upstreams of a service that have a limit."""
        return [
            each
            for each in self.views.values()
            if each.upstream.service == service
            and each.rate_limit is not None
            and each.rate_limit.per_s is not None
        ]

    def story(self, service: str) -> list[str]:
        """Returns the limits of a service's upstreams for a request's log."""
        now_ms = self.clock.now_ms()
        return [
            f"{'cold' if each.is_cold_limited() else 'rate-limited'}"
            f" {each.upstream.upstream_id}"
            f" wait={each.rate_wait_ms(now_ms):.0f}"
            for each in self.limited(service)
        ]

    def retry_after_ms(self, service: str) -> float | None:
        """Returns the mean time between two requests that a service accepts.

        Returns:
            The time, None if any upstream of the service has no limit.
        """
        upstreams = [
            each
            for each in self.loads.of_service(service)
            if each.upstream.accepts_requests
        ]
        limits = [each.rate_limit for each in upstreams]
        rates = [each.per_s for each in limits if each is not None]
        known = [each for each in rates if each is not None]
        if not known or len(known) < len(upstreams):
            return None
        return MS_PER_SECOND / max(sum(known), rate_share.MIN_PER_S)

    def limited_count(self) -> int:
        """Returns the number of upstreams that state a limit."""
        return sum(
            self.limit_of(each).statement.per_s is not None
            for each in self.views.values()
        )

    # Log

    def log_change(
        self,
        view: load_view.UpstreamView,
        before: rate_limit.Statement,
        source: rate_limit.Source,
    ) -> None:
        """Logs that a limit was stated, has changed or has ended."""
        statement = self.limit_of(view).statement
        self.log.event(
            "rate-limit",
            upstream=view.upstream.upstream_id,
            service=view.upstream.service,
            per_s=statement.per_s,
            before_per_s=before.per_s,
            source=source.value,
            age_ms=limit_reports.age_ms(statement, self.clock.now_ms()),
        )

    def log_malformed(
        self, view: load_view.UpstreamView, error: exceptions.DecodeError
    ) -> None:
        """Logs a malformed limit, once until a valid one is received."""
        upstream_id = view.upstream.upstream_id
        if upstream_id not in self.malformed:
            self.malformed.add(upstream_id)
            self.log.event(
                "rate-limit-malformed",
                upstream=upstream_id,
                detail=str(error),
            )
