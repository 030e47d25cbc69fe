"""What an entry VM knows of one upstream."""

from __future__ import annotations

import attrs

from lovageyoke.config import model
from lovageyoke.routing import api

DRAIN_HOLD_MS = 5_000.0


@attrs.define(eq=False)
class UpstreamState:
    """State of one upstream, seen from one entry VM.

    Attributes:
        upstream: Its configuration.
        added_ms: When it became known; the slow start counts from here.
        in_flight: Requests that this entry has in flight there.
        drained: Whether a sign outside of its reports stopped new work.
        draining_reported_ms: When it last reported that it drains, or None.
    """

    upstream: model.Upstream
    added_ms: float
    in_flight: int = 0
    drained: bool = False
    draining_reported_ms: float | None = None

    @property
    def usable(self) -> bool:
        """Whether new work may be sent to it."""
        return not (
            self.upstream.draining
            or self.drained
            or self.draining_reported_ms is not None
        )

    def note_report(self, report: api.LoadReport, now_ms: float) -> None:
        """Records the drain flag of a report that came with a response."""
        if report.draining:
            self.draining_reported_ms = now_ms

    def note_probe(self, report: api.LoadReport, now_ms: float) -> bool:
        """Records the drain flag of a probe's report.

        Only a probe lifts a reported drain, and only after a hold time, since
        a response may carry a report from before the drain.

        Returns:
            Whether a reported drain was lifted.
        """
        if report.draining:
            self.draining_reported_ms = now_ms
            return False
        reported_ms = self.draining_reported_ms
        if reported_ms is None or now_ms - reported_ms < DRAIN_HOLD_MS:
            return False
        self.draining_reported_ms = None
        return True
