"""Incarnation of a process, and resolution of conflicts between two.

An incarnation is the wall clock at process start, with random low bits. It
needs neither disk nor platform, so an entry VM can start during an outage. If
the clock went back, the process learns from its peers that a higher
incarnation exists. If a peer has evidence that the other incarnation ran after
this process started, another process runs under the same id and this one must
exit. Otherwise it belonged to the predecessor of this process, which then
takes the next higher incarnation.
"""

from __future__ import annotations

import enum
import random

from lovageyoke.clock import api as clock_api

RANDOM_BITS = 10
MIN_UPTIME_MS = 6_000.0
AGE_MARGIN_MS = 3_000.0


def first_incarnation(clock: clock_api.Clock, rng: random.Random) -> int:
    """Returns the incarnation of a process that starts now."""
    return (clock.wall_ms() << RANDOM_BITS) | rng.getrandbits(RANDOM_BITS)


class Resolution(enum.Enum):
    """Result of a conflict with a higher incarnation of the same entry id.

    UNDECIDED waits for more evidence, YIELD ends this process, and OUTBID
    takes a higher incarnation.
    """

    UNDECIDED = "undecided"
    YIELD = "yield"
    OUTBID = "outbid"


def resolve_conflict(uptime_ms: float, age_ms: float | None) -> Resolution:
    """Resolves a conflict with a higher incarnation of the same entry id.

    Args:
        uptime_ms: Time since this process started, in milliseconds.
        age_ms: Age of the latest evidence of the other process, in
            milliseconds; None if there is none.
    """
    if uptime_ms < MIN_UPTIME_MS:
        return Resolution.UNDECIDED
    if age_ms is not None and age_ms < uptime_ms - AGE_MARGIN_MS:
        return Resolution.YIELD
    return Resolution.OUTBID
