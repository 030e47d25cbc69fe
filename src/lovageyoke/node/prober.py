"""Health checks of the upstreams that are assigned to this process."""

from __future__ import annotations

import asyncio

from lovageyoke.errors import exceptions
from lovageyoke.fleet import members as fleet_members
from lovageyoke.hop import connection as hop_connection
from lovageyoke.hop import messages
from lovageyoke.node import state as node_state
from lovageyoke.routing import load_view
from lovageyoke.routing import probe_interval
from lovageyoke.routing import rate_limit

SLOT_CHECK_PERIOD_MS = 1_000.0  # For upstreams whose health check uses a slot.
RATE_LIMITED_PERIOD_MS = 1_000.0  # For upstreams that accept few requests.
COLD_PERIOD_MS = 250.0  # For cold upstreams, which are cold for seconds.
MAX_SUSPECT_PERIOD_MS = 200.0  # For silent or unhealthy upstreams.
POLL_INTERVAL_MS = 100.0  # At which a task looks whether its check is due.
MIN_PERIOD_CHANGE = 0.2  # Smaller relative changes of the period are ignored.
# Peers detect a silent process after a few missed heartbeats, so the period
# must stay short.
MAX_HEARTBEAT_MS = 400.0
RESPONSE_TIMEOUT_MS = 300.0
ASSIGNMENT_INTERVAL_MS = 200.0
OK_STATUS = 200


class Prober:
    """Checks the health and load of the upstreams assigned to this process.

    Each upstream is assigned to a process in its own failure domain, which
    avoids latency and traffic between failure domains.

    Attributes:
        node: Shared state of the process.
        tasks: One check task per upstream, by the upstream's key.
        periods_ms: Time between two checks of an upstream, by service.
        assignment_inputs: The inputs of the current assignment.
        sent: Health checks sent since the start.
    """

    def __init__(self, node: node_state.NodeState) -> None:
        self.node = node
        self.tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self.periods_ms: dict[str, float] = {}
        self.assignment_inputs: tuple[object, ...] = ()
        self.sent = 0

    async def run(self) -> None:
        """Keeps the assignment up to date until cancelled."""
        try:
            while True:
                self.update_assignment()
                await self.node.clock.sleep_ms(ASSIGNMENT_INTERVAL_MS)
        finally:
            for task in self.tasks.values():
                task.cancel()
            self.tasks.clear()
            self.assignment_inputs = ()

    def update_assignment(self) -> None:
        """Recomputes the assignment if any of its inputs has changed."""
        now_ms = self.node.clock.now_ms()
        self.update_periods(now_ms)
        working = self.node.members.view(now_ms).working
        inputs = (
            self.node.loads.changes,
            self.node.members.changes,
            self.node.leaving,
            tuple((domain, len(each)) for domain, each in working.items()),
        )
        if inputs != self.assignment_inputs:
            self.assignment_inputs = inputs
            self.update_tasks(self.assigned_upstreams(now_ms))

    def update_tasks(
        self, assigned: dict[tuple[str, int], load_view.UpstreamView]
    ) -> None:
        """Runs one check task for each assigned upstream."""
        for key in [each for each in self.tasks if each not in assigned]:
            self.tasks.pop(key).cancel()
        for key, view in assigned.items():
            task = self.tasks.get(key)
            if task is None or task.done():
                self.tasks[key] = asyncio.ensure_future(self.check(view))

    def assigned_upstreams(
        self, now_ms: float
    ) -> dict[tuple[str, int], load_view.UpstreamView]:
        """Returns the upstreams that are assigned to this process."""
        members = self.node.members
        own_id = members.own.peer.node_id
        assigned: dict[tuple[str, int], load_view.UpstreamView] = {}
        if self.node.leaving:
            return assigned
        for view in self.node.loads.by_id.values():
            upstream = view.upstream
            states = members.duty_states(upstream.failure_domain, now_ms)
            if upstream.draining or not states:
                continue
            is_remote = upstream.failure_domain != members.domain
            if is_remote and states[0].peer.failure_domain != members.domain:
                # The processes of the upstream's own domain check it.
                continue
            if fleet_members.duty_owner(upstream.upstream_id, states) == own_id:
                assigned[upstream.key] = view
        return assigned

    def update_periods(self, now_ms: float) -> None:
        """Updates each service's check period and the heartbeat period."""
        node = self.node
        max_probes_per_s = node.settings.bounds.probes_per_s
        self.periods_ms = {
            name: probe_interval.interval_ms(
                node.work.service_time_ms(name),
                len(service.upstreams),
                node.requests_per_s(name, now_ms),
                max_probes_per_s,
            )
            for name, service in node.loads.services.items()
            if service.upstreams
        }
        shortest_ms = min(self.periods_ms.values(), default=MAX_HEARTBEAT_MS)
        heartbeat_ms = min(shortest_ms, MAX_HEARTBEAT_MS)
        # A change shifts the schedule of all checks, so small ones are
        # ignored.
        if (
            abs(heartbeat_ms - node.period_ms)
            > MIN_PERIOD_CHANGE * node.period_ms
        ):
            node.period_ms = heartbeat_ms

    def until_check_ms(self, view: load_view.UpstreamView) -> float:
        """Returns the time until the next check of an upstream.

        Checks are aligned to the heartbeat period, so that the next heartbeat
        carries all results while they are fresh.
        """
        service = view.upstream.service
        period_ms = self.periods_ms.get(service, MAX_HEARTBEAT_MS)
        if view.report is None or view.report.slowdown is None:
            return self.node.until_period_ms(SLOT_CHECK_PERIOD_MS)
        if view.is_cold_limited():
            return self.node.until_period_ms(COLD_PERIOD_MS)
        if view.is_rate_limited():
            return self.node.until_period_ms(RATE_LIMITED_PERIOD_MS)
        if view.unanswered_probes or view.unhealthy:
            period_ms = min(period_ms, MAX_SUSPECT_PERIOD_MS)
        base_ms = self.node.period_ms
        aligned_ms = base_ms * max(1, round(period_ms / base_ms))
        return self.node.until_period_ms(aligned_ms)

    async def check(self, view: load_view.UpstreamView) -> None:
        """Checks one upstream periodically over a persistent connection."""
        connection: hop_connection.ClientConnection | None = None
        try:
            while True:
                pause_ms = self.until_check_ms(view)
                if pause_ms > POLL_INTERVAL_MS:
                    # The period may become shorter in the meantime.
                    await self.node.clock.sleep_ms(POLL_INTERVAL_MS)
                    continue
                await self.node.clock.sleep_ms(pause_ms)
                connection = await self.check_once(view, connection)
        except Exception as error:
            upstream_id = view.upstream.upstream_id
            self.node.log.failure("check-failed", error, upstream=upstream_id)
            self.record_no_response(view)
            # The next update of the assignment starts the task again.
            self.assignment_inputs = ()
        finally:
            if connection is not None:
                connection.abort()

    async def check_once(
        self,
        view: load_view.UpstreamView,
        connection: hop_connection.ClientConnection | None,
    ) -> hop_connection.ClientConnection | None:
        """Runs one check; returns the connection for the next one."""
        upstream = view.upstream
        try:
            if connection is None or not connection.usable():
                connection = await hop_connection.connect(
                    upstream.host,
                    upstream.port,
                    self.node.client.names.request_id,
                    RESPONSE_TIMEOUT_MS,
                )
            self.sent += 1
            sent_ms = self.node.clock.now_ms()
            response = await self.send_check(view, connection)
        except (exceptions.UpstreamError, TimeoutError):
            self.record_no_response(view)
            if connection is not None:
                connection.abort()
            return None
        self.record_response(view, response, sent_ms)
        return connection

    async def send_check(
        self,
        view: load_view.UpstreamView,
        connection: hop_connection.ClientConnection,
    ) -> messages.Response:
        """Sends a check over a connection and waits for the response."""
        upstream = view.upstream
        headers = [(b"host", f"{upstream.host}:{upstream.port}".encode())]
        start = f"GET {self.path_of(upstream.service)} HTTP/1.1".encode()
        done = connection.send_request(
            messages.encode_head(start, headers), b"", None
        )
        async with asyncio.timeout(RESPONSE_TIMEOUT_MS / 1_000.0):
            return await done

    def path_of(self, service: str) -> str:
        """Returns the health check path of a service."""
        configuration = self.node.configuration
        if configuration is None or service not in configuration.services:
            return "/health"
        return configuration.services[service].health_path

    def record_no_response(self, view: load_view.UpstreamView) -> None:
        """Records a check without a valid response."""
        view.unanswered_probes += 1
        now_ms = self.node.clock.now_ms()
        view.record_outcome(True, now_ms)
        self.node.reports.record_failure(view)
        if view.unanswered_probes == load_view.MAX_UNANSWERED_PROBES:
            self.node.log.event(
                "upstream-silent", upstream=view.upstream.upstream_id
            )

    def record_response(
        self,
        view: load_view.UpstreamView,
        response: messages.Response,
        sent_ms: float,
    ) -> None:
        """Records the response to a check.

        Args:
            view: The upstream.
            response: The response.
            sent_ms: When the check was sent.
        """
        now_ms = self.node.clock.now_ms()
        names = self.node.client.names
        answering_id = response.header(names.answering_upstream)
        if (
            answering_id is not None
            and answering_id.decode("latin-1") != view.upstream.upstream_id
        ):
            # The address has been reassigned to another upstream.
            self.record_no_response(view)
            return
        view.unanswered_probes = 0
        unhealthy = response.status != OK_STATUS
        if unhealthy != view.unhealthy:
            view.unhealthy = unhealthy
            self.node.log.event(
                "upstream-health",
                upstream=view.upstream.upstream_id,
                healthy=not unhealthy,
            )
        if unhealthy:
            view.record_outcome(True, now_ms)
            self.node.reports.record_failure(view)
        report = self.node.decode_load(response.header(names.load))
        if report is not None:
            self.node.reports.record_report(view, report, now_ms)
        self.node.cold_starts.record_check(
            view,
            self.node.decode_cold_time(response.header(names.cold_time_left)),
            sent_ms,
        )
        self.node.rate_limiter.record_response(
            view, response.headers, sent_ms, rate_limit.Source.HEALTH_CHECK
        )
