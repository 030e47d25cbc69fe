"""Gives cold upstreams a growing part of the work."""

from __future__ import annotations

RAMP_MS = 5_000.0
FLOOR = 0.1


def part(started_ms: float | None, cold: bool, now_ms: float) -> float:
    """Returns the part of its usual work that an upstream may be sent.

    Args:
        started_ms: When its slow start began, or None when it is over.
        cold: Whether its newest report says that it is warming up.
        now_ms: The present time in milliseconds.

    Returns:
        A number from ``FLOOR`` to 1.
    """
    if cold:
        return FLOOR
    if started_ms is None:
        return 1.0
    return min(1.0, max(FLOOR, (now_ms - started_ms) / RAMP_MS))
