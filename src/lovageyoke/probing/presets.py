"""Probe parameters of the presets."""

from __future__ import annotations

import attrs

from lovageyoke.config import model


@attrs.frozen
class ProbeParameters:
    """Limits on the age, duration and concurrency of probes.

    Attributes:
        max_report_age_ms: Age above which a report is stale and its upstream
            is due for a probe.
        timeout_ms: Time after which a probe is cancelled.
        max_pending: Maximum number of probes in flight on one entry VM.
    """

    max_report_age_ms: float
    timeout_ms: float
    max_pending: int


PARAMETERS = {
    model.Preset.PROBE_COST: ProbeParameters(
        max_report_age_ms=1_000.0, timeout_ms=100.0, max_pending=2
    ),
    model.Preset.TAIL_LATENCY: ProbeParameters(
        max_report_age_ms=100.0, timeout_ms=50.0, max_pending=4
    ),
}
