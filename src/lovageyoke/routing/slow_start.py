"""Slow start of cold upstreams."""

from __future__ import annotations

RAMP_MS = 5_000.0
MIN_SHARE = 0.1


def share(started_ms: float | None, cold: bool, now_ms: float) -> float:
    """Returns the share of its normal load an upstream may receive.

    Args:
        started_ms: When its slow start began, or None if not in slow start.
        cold: Whether its latest report says that it is warming up.
        now_ms: Current time in milliseconds.

    Returns:
        A number from ``MIN_SHARE`` to 1.
    """
    if cold:
        return MIN_SHARE
    if started_ms is None:
        return 1.0
    return min(1.0, max(MIN_SHARE, (now_ms - started_ms) / RAMP_MS))
