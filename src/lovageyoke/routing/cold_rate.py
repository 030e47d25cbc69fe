"""Share of one process in the rate that a cold upstream accepts.

A cold upstream that gets more requests than it accepts crashes, so its limit
also has to hold for processes that can't reach each other. Therefore only
processes of the upstream's failure domain send to it, and those that are gone
keep their place among them. So few of them send that two groups which know
nothing of each other stay below the bound together, if the rate is low.
"""

from __future__ import annotations

import math

from lovageyoke.routing import rate_share

MS_PER_SECOND = 1_000.0
GROUPS = 2  # A partition within a failure domain has two sides.


def sender_count(per_s: float, processes: int, most: float) -> int:
    """Returns the number of processes that send to a cold upstream.

    Args:
        per_s: Requests per second that the upstream accepts.
        processes: Number of processes of its failure domain.
        most: Requests that it may get in any second.
    """
    # With more senders than requests per second, each of them sends at most
    # once in any second.
    wanted = max(math.floor(most / GROUPS), math.floor(per_s) + 1)
    return max(1, min(wanted, processes, math.floor(most)))


def interval_ms(
    per_s: float, position: int | None, processes: int, most: float
) -> float:
    """Returns the time between two sends of a process to a cold upstream.

    Args:
        per_s: Requests per second that the upstream accepts.
        position: Position of the process among those of the upstream's
            failure domain, from 0; None if it is in another one.
        processes: Number of processes of the failure domain.
        most: Requests that the upstream may get in any second.

    Returns:
        The time in milliseconds; infinite if the process is no sender.
    """
    senders = sender_count(per_s, processes, most)
    if position is None or position >= senders:
        return math.inf
    if senders <= per_s:
        # Each sender may send once more than its rate in any second.
        per_s = min(per_s, most - senders)
    return MS_PER_SECOND * senders / max(per_s, rate_share.MIN_PER_S)
