"""The cost of sending a request to an upstream."""

from __future__ import annotations

LATENCY_DEADBAND = 1.5
QUEUE_WEIGHT = 2.0
REMOTE_COST = 0.1


def estimate(
    load: float,
    slots: int,
    relative_latency: float,
    share: float,
    remote: bool,
) -> float:
    """Returns the relative cost of an upstream; the lowest is chosen.

    The cost approximates the expected latency: the service time, plus the
    queueing delay once all slots are in use. Relative latency counts only
    above ``LATENCY_DEADBAND``, since small differences are noise.

    Args:
        load: Expected number of requests at the upstream.
        slots: Requests that the upstream serves concurrently.
        relative_latency: Ratio of its latency to the mean of its peers.
        share: Share of its normal load that it may receive, up to 1.
        remote: Whether it is in another failure domain.
    """
    busy = (load + 1.0) / slots
    if busy > 1.0:
        busy += QUEUE_WEIGHT * (busy - 1.0)
    slowness = 1.0
    if relative_latency > LATENCY_DEADBAND:
        slowness = relative_latency
    value = (1.0 + busy / share) * slowness
    if remote:
        value += REMOTE_COST / slots
    return value
