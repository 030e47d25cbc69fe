"""Probe counters for metrics."""

from __future__ import annotations

import attrs


@attrs.define
class ProbeCounters:
    """Probes of one service since the process started.

    Attributes:
        sent: Probes sent.
        succeeded: Probes that returned a report.
        failed: Probes that ended without a report before the timeout.
        timed_out: Probes cancelled on a timeout.
        dropped: Probes not sent because their task started too late.
        allowance: Probes that this entry VM may currently send in one window.
        total_latency_ms: Sum of the latencies of all finished probes.
    """

    sent: int = 0
    succeeded: int = 0
    failed: int = 0
    timed_out: int = 0
    dropped: int = 0
    allowance: int = 0
    total_latency_ms: float = 0.0
