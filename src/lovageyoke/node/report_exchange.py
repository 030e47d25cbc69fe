"""Exchange of the upstreams' load reports and failures with the peers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import functools

from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.node import unsent_reports
from lovageyoke.routing import load_view

# A pace that changes by this factor is sent at once, as requests should move
# to other upstreams.
URGENT_PACE_CHANGE = 1.5
# A report that is newer by no more than this is the known report, received
# back from a collector.
ECHO_TOLERANCE_MS = 5.0
MAX_REPORTED_FAILURES = 8  # Failures of an upstream counted per message.
MIN_PACE = 0.01
MAX_CACHED_LOADS = 1_024  # Upstreams with few slots report few different loads.

RequestHeartbeat = Callable[[bool], None]


class ReportExchange:
    """Load reports and failures to send to the peers and received from them.

    Attributes:
        members: The processes of the fleet.
        loads: Load views of the upstreams.
        request_heartbeat: Requests a heartbeat at once; the argument tells
            whether the other failure domains need it too.
        unsent_reports: Reports for the next heartbeat.
        unsent_remote_reports: The same for the other failure domains.
        own_reported_failures: Recently sent failures by upstream number. The
            collector sends them back; they must not be counted twice.
    """

    def __init__(
        self,
        members: fleet_members.Members,
        loads: load_view.LoadView,
        request_heartbeat: RequestHeartbeat,
    ) -> None:
        self.members = members
        self.loads = loads
        self.request_heartbeat = request_heartbeat
        self.unsent_reports = unsent_reports.UnsentReports()
        self.unsent_remote_reports = unsent_reports.UnsentReports()
        self.own_reported_failures: dict[int, int] = {}

    def drop(self, upstream_id: str) -> None:
        """Discards the unsent reports of a removed upstream."""
        self.unsent_reports.drop(upstream_id)
        self.unsent_remote_reports.drop(upstream_id)

    def record_report(
        self,
        view: load_view.UpstreamView,
        report: load_view.LoadReport,
        now_ms: float,
    ) -> None:
        """Records a report that this process received from the upstream."""
        if not self.loads.apply_report(view, report, now_ms):
            return
        self.queue_report(view, is_local=True)

    def queue_report(
        self, view: load_view.UpstreamView, is_local: bool
    ) -> None:
        """Queues an upstream's new report for the peers.

        Args:
            view: The upstream.
            is_local: Whether the report comes from this failure domain; only
                then do the other domains need it.
        """
        self.unsent_reports.add(view)
        if is_local and self.members.collecting_since_ms is not None:
            self.unsent_remote_reports.add(view)
        pace = view.report.slowdown if view.report else None
        if pace is None:
            return
        told = max(view.sent_slowdown, MIN_PACE)
        change = max(pace, told) / max(MIN_PACE, min(pace, told))
        if change >= URGENT_PACE_CHANGE:
            self.request_heartbeat(is_local)

    def record_failure(self, view: load_view.UpstreamView) -> None:
        """Queues a failed exchange for the peers."""
        self.unsent_reports.add_failures(view, 1)
        if self.members.collecting_since_ms is not None:
            self.unsent_remote_reports.add_failures(view, 1)
        else:
            number = load_view.short_id(view.upstream.upstream_id)
            self.own_reported_failures[number] = (
                self.own_reported_failures.get(number, 0) + 1
            )

    def reports_to_send(
        self, now_ms: float, limit: int | None = None
    ) -> tuple[messages.Report, ...]:
        """Removes and returns the reports for the own failure domain.

        Args:
            now_ms: The time.
            limit: Maximum number of reports, None for all; the others remain
                queued for the next message.
        """
        for view in list(self.unsent_reports.views.values())[:limit]:
            if view.report and view.report.slowdown:
                view.sent_slowdown = view.report.slowdown
        return self.unsent_reports.take(now_ms, limit)

    def remote_reports_to_send(
        self, now_ms: float, limit: int
    ) -> tuple[messages.Report, ...]:
        """Removes and returns the reports for the other failure domains.

        Args:
            now_ms: The time.
            limit: Maximum number of reports; the others remain queued for the
                next message.
        """
        return self.unsent_remote_reports.take(now_ms, limit)

    def record_peer_report(
        self, report: messages.Report, now_ms: float, is_local: bool
    ) -> None:
        """Records a report received from a peer."""
        self.record_peer_reports((report,), now_ms, is_local)

    def record_peer_reports(
        self,
        reports: Iterable[messages.Report],
        now_ms: float,
        is_local: bool,
    ) -> None:
        """Records the reports in a peer's message.

        Args:
            reports: The reports.
            now_ms: The time.
            is_local: Whether the peer is in this failure domain.
        """
        collecting = self.members.collecting_since_ms is not None
        loads = self.loads
        views = loads.by_short_id
        for report in reports:
            view = views.get(report.number)
            if view is None:
                continue
            if report.failures:
                self.record_peer_failures(view, report, now_ms, is_local)
            made_ms = now_ms - report.age_ms
            if made_ms <= view.reported_ms + ECHO_TOLERANCE_MS:
                continue
            if report.slots == 0:
                continue
            load = _load_of(
                report.running,
                report.waiting,
                report.slots,
                report.pace_percent,
            )
            if loads.apply_report(view, load, made_ms) and collecting:
                self.queue_report(view, is_local)

    def record_peer_failures(
        self,
        view: load_view.UpstreamView,
        report: messages.Report,
        now_ms: float,
        is_local: bool,
    ) -> None:
        """Records the failures in a peer's report, except this process's own.

        A collector sends a process's failures back to it; they are already
        counted.
        """
        failures = min(report.failures, MAX_REPORTED_FAILURES)
        own = min(self.own_reported_failures.get(report.number, 0), failures)
        if own:
            self.own_reported_failures[report.number] -= own
        for _ in range(failures - own):
            view.record_outcome(True, now_ms)
        if self.members.collecting_since_ms is not None:
            self.unsent_reports.add_failures(view, failures)
            if is_local:
                self.unsent_remote_reports.add_failures(view, failures)


@functools.lru_cache(MAX_CACHED_LOADS)
def _load_of(
    running: int, waiting: int, slots: int, pace_percent: int
) -> load_view.LoadReport:
    pace = pace_percent / 100.0 if pace_percent else None
    return load_view.LoadReport(running, waiting, slots, pace)
