"""State of one upstream as seen by an entry VM."""

from __future__ import annotations

import attrs

from lovageyoke.config import model
from lovageyoke.routing import api

DRAIN_HOLD_MS = 5_000.0


@attrs.define(eq=False)
class UpstreamState:
    """State of one upstream as seen by one entry VM.

    Attributes:
        upstream: Its configuration.
        added_ms: When the upstream was added or last restored.
        in_flight: Requests of this entry VM in flight there.
        drained: Whether it was drained other than by its own reports.
        draining_reported_ms: When it last reported draining, or None.
    """

    upstream: model.Upstream
    added_ms: float
    in_flight: int = 0
    drained: bool = False
    draining_reported_ms: float | None = None

    @property
    def usable(self) -> bool:
        """Whether it may receive new requests."""
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

        Only a probe ends a reported drain, and only after
        ``DRAIN_HOLD_MS``, since a response may carry a report from before
        the drain.

        Returns:
            Whether a reported drain was ended.
        """
        if report.draining:
            self.draining_reported_ms = now_ms
            return False
        reported_ms = self.draining_reported_ms
        if reported_ms is None or now_ms - reported_ms < DRAIN_HOLD_MS:
            return False
        self.draining_reported_ms = None
        return True
