"""State that the tasks of the forwarding process share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from lovageyoke.clock import api as clock_api
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import queue_counts
from lovageyoke.hop import attempt as hop_attempt
from lovageyoke.limits import admission_queue as limits_queue
from lovageyoke.limits import quota
from lovageyoke.limits import shared_capacity
from lovageyoke.limits import shutdown
from lovageyoke.node import cold_starts
from lovageyoke.node import quota_limiter
from lovageyoke.node import rate_limiter
from lovageyoke.node import report_exchange
from lovageyoke.node import settings as node_settings
from lovageyoke.observe import events
from lovageyoke.observe import exposition
from lovageyoke.retry import caller_wait
from lovageyoke.retry import window_budget
from lovageyoke.routing import account_table
from lovageyoke.routing import load_view
from lovageyoke.routing import model
from lovageyoke.routing import probe_interval
from lovageyoke.routing import route_table
from lovageyoke.routing import subset
from lovageyoke.routing import work_estimate

PRIOR_REQUESTS = 0.5
MIN_OBSERVED_MS = 1_000.0
MS_PER_SECOND = 1_000.0
CHECK_RESPONSE_MS = 8.0  # Most health checks are answered within this time.
ADMIT_INTERVAL_MS = 20.0  # Interval at which queued requests are tried again.

DecodeLoad = Callable[[bytes | None], load_view.LoadReport | None]
DecodeDeadline = Callable[[bytes | None], float | None]
DecodeColdTime = Callable[[bytes | None], float | None]


class NodeState:
    """State shared by the tasks of one process, which run in one thread.

    Attributes:
        settings: Settings of the process.
        clock: Source of time.
        rng: Source of random numbers.
        log: The event log.
        client: Sends requests to upstreams.
        decode_load: Decodes the load report in a response's header.
        decode_cold_time: Decodes for how long an upstream is still cold.
        members: The processes of the fleet.
        loads: Load views of the upstreams.
        rate_limiter: Rate limits of the upstreams.
        quotas: Fleet-wide quotas of the client accounts.
        cold_starts: Limits the rate of cold upstreams.
        work: Work estimates of routes and services.
        table: The routes, None before a configuration is known.
        accounts: The client accounts, None if callers need no API key.
        had_accounts: Whether any configuration had client accounts. What
            identifies a caller is not forwarded from then on.
        configuration: The current configuration.
        dealer: Picks the service for a route with a traffic split.
        caller_waits: Estimates how long callers have waited before.
        retry_budgets: Retry budgets by service.
        upstreams_known: Whether a list of upstreams was received.
        shutdown: The planned stop in progress, if any.
        reports: Load reports exchanged with the peers.
        period_ms: Time between two heartbeats and between health checks of
            the busiest service.
        phase_ms: Offset of the heartbeats and health checks in the period.
        peak_lag_ms: Recent peak lag of the event loop.
        started_ms: When this process started.
        subsets: The upstreams that this process uses, by service.
        upstream_counts: Number of upstreams that aren't evacuated, by service.
        subsets_version: Version of the list of upstreams of ``subsets``.
        heartbeat_requested: Set when a heartbeat should be sent at once.
        remote_heartbeat_requested: The same for the other failure domains.
        sends: Requests sent to upstreams since the start.
        hedges: Hedges sent since the start.
        loop_lag_ms: Histogram of the event loop's lag.
        request_queued: Set when a request is queued.
        queues: Admission queues by service.
    """

    def __init__(
        self,
        *,
        settings: node_settings.NodeSettings,
        clock: clock_api.Clock,
        rng: random.Random,
        log: events.EventLog,
        client: hop_attempt.UpstreamClient,
        decode_load: DecodeLoad,
        decode_rate_limit: rate_limiter.DecodeRateLimit,
        decode_cold_time: DecodeColdTime,
        members: fleet_members.Members,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.log = log
        self.client = client
        self.decode_load = decode_load
        self.decode_cold_time = decode_cold_time
        self.members = members
        self.loads = load_view.LoadView()
        self.rate_limiter = rate_limiter.RateLimiter(
            clock=clock,
            rng=rng,
            log=log,
            decode=decode_rate_limit,
            members=members,
            loads=self.loads,
            request_heartbeat=self.request_heartbeat,
        )
        self.quotas = quota_limiter.QuotaLimiter(
            clock=clock,
            rng=rng,
            log=log,
            members=members,
            request_heartbeat=self.request_heartbeat,
            period_ms=lambda: self.period_ms,
            tolerance=tolerance_of(settings.bounds),
        )
        self.rate_limiter.cold_over = settings.bounds.cold_over
        self.rate_limiter.cold_slack = settings.bounds.cold_slack
        self.cold_starts = cold_starts.ColdStarts(self.rate_limiter)
        self.work = work_estimate.WorkEstimates()
        self.table: route_table.RouteTable | None = None
        self.accounts: account_table.AccountTable | None = None
        self.had_accounts = False
        self.configuration: model.Configuration | None = None
        self.dealer = route_table.WeightedRoundRobin()
        self.caller_waits = caller_wait.CallerWaitEstimator()
        self.retry_budgets: dict[str, window_budget.WindowBudget] = {}
        self.upstreams_known = False
        self.shutdown: shutdown.Shutdown | None = None
        self.reports = report_exchange.ReportExchange(
            members, self.loads, self.request_heartbeat
        )
        self.period_ms = probe_interval.MIN_INTERVAL_MS
        self.phase_ms = rng.uniform(0.0, probe_interval.MIN_INTERVAL_MS)
        self.peak_lag_ms = 0.0
        self.started_ms = clock.now_ms()
        self.subsets: dict[str, list[load_view.UpstreamView]] = {}
        self.upstream_counts: dict[str, int] = {}
        self.subsets_version = 0
        self.heartbeat_requested = asyncio.Event()
        self.remote_heartbeat_requested = False
        self.sends = 0
        self.hedges = 0
        self.loop_lag_ms = exposition.Histogram()
        self.request_queued = asyncio.Event()
        self.queues: dict[str, limits_queue.AdmissionQueue] = {}

    @property
    def failure_domain(self) -> str:
        """The failure domain of this process."""
        return self.settings.failure_domain

    @property
    def leaving(self) -> bool:
        """Whether this process is shutting down."""
        return self.shutdown is not None

    @property
    def ready(self) -> bool:
        """Whether this process accepts callers' requests."""
        return (
            self.table is not None and self.upstreams_known and not self.leaving
        )

    def apply_settings(self, settings: node_settings.NodeSettings) -> None:
        """Applies reloaded settings."""
        self.settings = settings
        bounds = settings.bounds
        self.quotas.set_tolerance(tolerance_of(bounds))
        self.rate_limiter.cold_over = bounds.cold_over
        self.rate_limiter.cold_slack = bounds.cold_slack
        for budget in self.retry_budgets.values():
            budget.set_bounds(
                bounds.budget_ratio,
                bounds.budget_extra,
                bounds.budget_window_ms,
            )

    def apply_configuration(self, configuration: model.Configuration) -> None:
        """Applies a new configuration."""
        self.configuration = configuration
        self.table = route_table.RouteTable(configuration.routes)
        self.apply_accounts(configuration.accounts)
        self.dealer.keep_only(configuration.routes)
        names = {each.name for each in configuration.routes}
        self.work.keep_only(names)
        self.caller_waits.keep_only(names)
        self.cold_starts.apply_services(configuration.services)

    def apply_accounts(
        self, accounts: tuple[model.ClientAccount, ...] | None
    ) -> None:
        """Applies the client accounts of a new configuration."""
        self.accounts = None
        if accounts is not None:
            self.accounts = account_table.AccountTable(accounts)
            self.had_accounts = True
        elif self.had_accounts:
            self.log.event("accounts-ended")
        self.quotas.apply_accounts(accounts or ())

    def apply_upstreams(self, upstreams: list[model.Upstream]) -> None:
        """Applies a new list of upstreams."""
        before = set(self.loads.by_id)
        self.loads.replace_upstreams(upstreams, self.clock.now_ms())
        self.upstreams_known = True
        for upstream_id in before - set(self.loads.by_id):
            self.reports.drop(upstream_id)
        self.cold_starts.apply_entries()
        self.rate_limiter.apply_upstreams()

    @property
    def configuration_version(self) -> int:
        """Version of the current configuration, 0 for none."""
        return self.configuration.version if self.configuration else 0

    def until_period_ms(self, period_ms: float) -> float:
        """Returns the time until the next multiple of a period.

        All tasks with the same period are thereby aligned.
        """
        return period_ms - (self.clock.now_ms() - self.phase_ms) % period_ms

    def until_heartbeat_ms(self) -> float:
        """Returns the time until the next heartbeat.

        It follows the health checks, so that it carries their results.
        """
        return self.until_period_ms(self.period_ms) + CHECK_RESPONSE_MS

    def subset(self, service: str) -> list[load_view.UpstreamView]:
        """Returns the upstreams of a service that this process uses."""
        if self.subsets_version != self.loads.changes:
            self.subsets_version = self.loads.changes
            self.subsets = {}
        found = self.subsets.get(service)
        if found is None:
            own = self.members.own.peer
            views = self.loads.of_service(service)
            found = subset.choose(views, own.node_id, own.failure_domain)
            self.subsets[service] = found
            self.upstream_counts[service] = sum(
                not each.upstream.evacuated for each in views
            )
        return found

    def upstream_count(self, service: str) -> int:
        """Returns how many upstreams of a service aren't evacuated."""
        self.subset(service)
        return self.upstream_counts[service]

    def fleet_waiting(
        self, service: str, own: shared_capacity.Urgency, now_ms: float
    ) -> shared_capacity.Waiting:
        """Returns what is known of a service's queued requests in the fleet.

        Args:
            service: The service.
            own: Urgency of the request that the others are compared with.
            now_ms: The time.
        """
        counts = queue_counts.of_fleet(
            self.members, self.waiting_counts(now_ms), now_ms
        )
        return shared_capacity.Waiting.from_counts(counts, service, own)

    def requests_per_s(self, service: str, now_ms: float) -> float:
        """Returns the estimated request rate of a service in the fleet."""
        budget = self.retry_budget(service)
        budget.expire(now_ms)
        # A process that has just started may have seen no request yet; the
        # service must not be taken for idle.
        seen = len(budget.requests) + PRIOR_REQUESTS
        since_ms = max(MIN_OBSERVED_MS, now_ms - self.started_ms)
        workers = self.members.view(now_ms).workers
        own_per_ms = seen / min(budget.window_ms, since_ms)
        return own_per_ms * MS_PER_SECOND * max(1, workers)

    def retry_budget(self, service: str) -> window_budget.WindowBudget:
        """Returns the retry budget of a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = window_budget.WindowBudget(
                bounds.budget_ratio,
                bounds.budget_extra,
                bounds.budget_window_ms,
            )
            self.retry_budgets[service] = budget
        return budget

    def queue(self, service: str) -> limits_queue.AdmissionQueue:
        """Returns the admission queue of a service."""
        queue = self.queues.get(service)
        if queue is None:
            queue = limits_queue.AdmissionQueue()
            self.queues[service] = queue
        return queue

    def waiting_counts(self, now_ms: float) -> tuple[tuple[str, int], ...]:
        """Returns the services with queued requests, each with the count 1.

        The count stands for this process; collectors add up the counts. The
        numbers of queued requests by urgency follow, each under its own key
        and at most ``shared_capacity.MAX_COUNTED``.
        """
        counts = []
        for service, queue in self.queues.items():
            if not queue.queued:
                continue
            counts.append((service, 1))
            for urgency, count in queue.by_urgency(now_ms).items():
                counted = min(count, shared_capacity.MAX_COUNTED)
                counts.append((urgency.key(service), counted))
        return tuple(counts)

    def offer_slot(self, service: str, view: load_view.UpstreamView) -> None:
        """Offers the slot of a finished request to the next queued one."""
        queue = self.queues.get(service)
        if queue is not None and queue.queued:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.admit_to_slot, queue, view)

    def admit_to_slot(
        self,
        queue: limits_queue.AdmissionQueue,
        view: load_view.UpstreamView,
    ) -> None:
        """Starts a queued request at an upstream that has a free slot."""
        queue.admit(self.clock.now_ms(), view)

    def admit_queued(self) -> None:
        """Starts queued requests where upstreams have capacity."""
        if not any(queue.queued for queue in self.queues.values()):
            self.request_queued.clear()
            return
        now_ms = self.clock.now_ms()
        for queue in self.queues.values():
            if queue.queued:
                queue.admit(now_ms)

    def request_heartbeat(self, is_local: bool) -> None:
        """Requests a heartbeat at once.

        Args:
            is_local: Whether its cause comes from this failure domain, so
                that the other domains need it too.
        """
        self.heartbeat_requested.set()
        self.remote_heartbeat_requested |= is_local


def tolerance_of(bounds: node_settings.Bounds) -> quota.Tolerance:
    """Returns by how much a window may exceed an account's quota."""
    return quota.Tolerance(
        bounds.quota_window_ms, bounds.quota_over, bounds.quota_slack
    )
