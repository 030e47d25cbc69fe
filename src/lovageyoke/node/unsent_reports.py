"""Load reports and failures that were not sent to peers yet."""

from __future__ import annotations

from lovageyoke.fleet import messages
from lovageyoke.routing import load_view

MAX_AGE_MS = 60_000.0


class UnsentReports:
    """The latest report and the unreported failures of each upstream.

    Attributes:
        views: Upstreams with unsent reports or failures by id, in the order
            in which they were added.
        failures: Failed exchanges by upstream id.
    """

    def __init__(self) -> None:
        self.views: dict[str, load_view.UpstreamView] = {}
        self.failures: dict[str, int] = {}

    def add(self, view: load_view.UpstreamView) -> None:
        """Queues the report of an upstream."""
        self.views.setdefault(view.upstream.upstream_id, view)

    def add_failures(self, view: load_view.UpstreamView, count: int) -> None:
        """Queues failed exchanges with an upstream."""
        upstream_id = view.upstream.upstream_id
        self.failures[upstream_id] = self.failures.get(upstream_id, 0) + count
        self.views.setdefault(upstream_id, view)

    def drop(self, upstream_id: str) -> None:
        """Discards the report and failures of a removed upstream."""
        self.views.pop(upstream_id, None)
        self.failures.pop(upstream_id, None)

    def take(
        self, now_ms: float, limit: int | None = None
    ) -> tuple[messages.Report, ...]:
        """Removes and returns the next reports to send.

        Args:
            now_ms: The time.
            limit: Maximum number of reports, None for all. The others remain
                queued.
        """
        chosen = list(self.views)[:limit]
        return tuple(self.take_one(each, now_ms) for each in chosen)

    def take_one(self, upstream_id: str, now_ms: float) -> messages.Report:
        """Removes and returns the report of one upstream."""
        view = self.views.pop(upstream_id)
        report = view.report or load_view.LoadReport(0, 0, 0)
        age_ms = min(now_ms - view.reported_ms, MAX_AGE_MS)
        return messages.Report(
            load_view.short_id(upstream_id),
            report.running,
            report.waiting,
            report.slots,
            round((report.slowdown or 0.0) * 100.0),
            max(0, round(age_ms)),
            self.failures.pop(upstream_id, 0),
        )
