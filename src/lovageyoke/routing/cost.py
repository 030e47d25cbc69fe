"""The cost of sending a request to an upstream."""

from __future__ import annotations

LATENCY_DEADBAND = 1.5
REMOTE_COST = 0.3


def estimate(
    load: float,
    slots: int,
    relative_latency: float,
    remote: bool,
) -> float:
    """Returns a relative cost; the cheapest upstream is chosen.

    Requests wait once the slots are taken, so load beyond them counts more
    than load below. Latency counts only where it is clearly worse than that
    of the peers, since small differences are noise.

    Args:
        load: Expected requests in the upstream.
        slots: Requests that it serves at a time.
        relative_latency: Its latency over that of its peers.
        remote: Whether it is in another failure domain.
    """
    busy = (load + 1.0) / slots
    waiting = max(0.0, busy - 1.0)
    slowness = max(1.0, relative_latency / LATENCY_DEADBAND)
    penalty = REMOTE_COST / slots if remote else 0.0
    return (busy + 2.0 * waiting) * slowness + penalty
