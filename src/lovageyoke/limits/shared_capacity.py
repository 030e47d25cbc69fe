"""Competition of all processes for capacity that is visible to all of them.

Each process knows, from heartbeats, how many requests of a service are queued
in the fleet and how urgent they are. The numbers are about as old as the load
reports. No process decides for another: each takes capacity with a probability
such that all together take about what is free.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

MAX_PRIORITY = 9  # Less urgent priorities count as this one.
# Most queued requests of one urgency that a process reports. It tries them one
# after the other and stops at the first that gets nothing, so with long queues
# the full number would leave capacity unused.
MAX_COUNTED = 2
# A class that is behind more urgent ones keeps this part of what it would
# get if all were equal.
MIN_RELATIVE_SHARE = 0.3
SEPARATOR = "\0"  # Between a service's name and an urgency, in counts.


@attrs.frozen(order=True)
class Urgency:
    """How urgent a request is; the smaller goes first.

    Attributes:
        late: Whether it can no longer meet its latency target.
        priority: Its priority, at most ``MAX_PRIORITY``.
    """

    late: bool
    priority: int

    def key(self, service: str) -> str:
        """Returns the key of its count in heartbeats."""
        return f"{service}{SEPARATOR}{int(self.late)}{self.priority}"


def urgency(late: bool, priority: int) -> Urgency:
    """Returns the urgency of a request."""
    return Urgency(late, min(max(priority, 0), MAX_PRIORITY))


@attrs.frozen
class Waiting:
    """Queued requests of a service in the whole fleet, as counted.

    Attributes:
        total: All of them.
        ahead: Those more urgent than the one that decides, and as late.
        level: Those equally urgent.
    """

    total: int
    ahead: int
    level: int

    @classmethod
    def from_counts(
        cls, counts: Iterable[tuple[str, int]], service: str, own: Urgency
    ) -> Waiting:
        """Returns what the counts in heartbeats tell of a service.

        Processes of earlier versions state only that they have queued
        requests; if all do, these count as equally urgent.

        Args:
            counts: Counts by key.
            service: The service.
            own: Urgency of the request that decides.
        """
        processes = total = ahead = level = 0
        for key, count in counts:
            name, _, code = key.partition(SEPARATOR)
            if name != service:
                continue
            if not code:
                processes = count
                continue
            total += count
            late = code[0] == "1"
            if late == own.late:
                priority = int(code[1:])
                ahead += count if priority < own.priority else 0
                level += count if priority == own.priority else 0
        if total == 0:
            return cls(processes, 0, processes)
        return cls(total, ahead, level)


def probability(
    free: float, ahead: float, level_tries: float, all_tries: float
) -> float:
    """Returns the probability with which to take free capacity.

    Answers a burst of one kind of request that arrives at
    all processes: the more urgent requests of other processes have the first
    claim, and the rest is divided among equal ones. A less urgent class is
    never starved: it keeps a part of its proportional share.

    Args:
        free: Requests that there is room for.
        ahead: More urgent requests of other processes, each of which is
            expected to take room for one.
        level_tries: Expected tries of equally urgent requests, this one
            included, until the load reports show what was taken.
        all_tries: Expected tries of all requests in that time.
    """
    share = (free - ahead) / max(level_tries, 1.0)
    least = MIN_RELATIVE_SHARE * free / max(all_tries, 1.0)
    return min(1.0, max(share, least))
