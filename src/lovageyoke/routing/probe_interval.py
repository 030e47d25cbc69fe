"""Interval between health probes of a service's upstreams.

Bounds the load caused by the probes themselves. A report is useful only while
it is newer than the service time, and a service with few requests makes few
routing choices, so the interval follows the service time and request rate.
"""

from __future__ import annotations

MIN_INTERVAL_MS = 40.0
MAX_INTERVAL_MS = 1_000.0
SERVICE_TIME_SHARE = 0.25  # Of the service time; requests outlast reports.
PROBES_PER_REQUEST = 8.0  # Per service, over the whole fleet.
PROBE_RATE_SHARE = 0.7  # Fraction of the deployment's probe rate limit.
MS_PER_SECOND = 1_000.0


def interval_ms(
    service_ms: float,
    upstreams: int,
    requests_per_s: float,
    max_probes_per_s: float,
) -> float:
    """Returns the time between two probes of an upstream.

    Args:
        service_ms: Typical service time of the service's requests.
        upstreams: Number of upstreams of the service.
        requests_per_s: Request rate of the service over the whole fleet.
        max_probes_per_s: Limit on the probe rate of one upstream.
    """
    freshness_ms = SERVICE_TIME_SHARE * service_ms
    probes_per_s = PROBES_PER_REQUEST * requests_per_s
    demand_ms = MAX_INTERVAL_MS
    if probes_per_s > 0.0:
        demand_ms = MS_PER_SECOND * upstreams / probes_per_s
    rate_limit_ms = MS_PER_SECOND / (
        PROBE_RATE_SHARE * max(0.1, max_probes_per_s)
    )
    unbounded_ms = max(freshness_ms, demand_ms, MIN_INTERVAL_MS)
    return max(min(unbounded_ms, MAX_INTERVAL_MS), rate_limit_ms)
