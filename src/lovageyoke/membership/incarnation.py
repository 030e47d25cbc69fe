"""Where the incarnation of a process comes from, and who must yield.

An incarnation is the wall clock at the start, with random low bits. It needs
no disk and no platform, so an entry starts in an outage. Should the clock have
gone back, the process learns from its peers that a higher incarnation exists:
if that one has been heard since this process started, another process runs
under the same id and this one must end; if not, it was this entry's
predecessor, and this process takes the incarnation after it.
"""

from __future__ import annotations

import enum
import random

from lovageyoke.clock import api as clock_api

RANDOM_BITS = 10
SETTLE_MS = 6_000.0
MARGIN_MS = 3_000.0


def first_incarnation(clock: clock_api.Clock, rng: random.Random) -> int:
    """Returns the incarnation of a process that starts now."""
    return (clock.wall_ms() << RANDOM_BITS) | rng.getrandbits(RANDOM_BITS)


class Contest(enum.Enum):
    """What follows from a higher incarnation of this entry's id."""

    UNDECIDED = "undecided"
    YIELD = "yield"
    OUTBID = "outbid"


def contest(uptime_ms: float, age_ms: float | None) -> Contest:
    """Decides between this process and a higher incarnation of its id.

    Args:
        uptime_ms: Time since this process started, in milliseconds.
        age_ms: Time since a sign of life of the other process, in
            milliseconds; None when there was none.
    """
    if uptime_ms < SETTLE_MS:
        return Contest.UNDECIDED
    if age_ms is not None and age_ms < uptime_ms - MARGIN_MS:
        return Contest.YIELD
    return Contest.OUTBID
