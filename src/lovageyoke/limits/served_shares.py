"""How much of a service's capacity each group of its requests has received.

A group is a kind of request or a client account. The counts cover this
process only and decay, so that they follow a burst of a few seconds.
"""

from __future__ import annotations

import math

import attrs

HALF_LIFE_MS = 5_000.0  # Bursts last some seconds.
# Every group gets at least a quarter of the average share; the margin covers
# the time until a group that is behind gets its next slot.
MIN_RELATIVE_SHARE = 0.3
MIN_REQUESTS = 2.0  # Fewer requests say nothing of a share.
MAX_GROUPS = 512
LEVEL_WORK_MS = 200.0  # About the work of two requests.
FORGOTTEN = 0.05  # Decayed counts below this are dropped if there are many.

# What a group is, and its name.
Group = tuple[str, str]


@attrs.define
class Usage:
    """Decayed counts of one group, or of a whole service.

    Attributes:
        updated_ms: Time up to which the counts have decayed.
        requests: Requests that have arrived.
        starts: Requests that have been sent to an upstream.
        work_ms: Service time of the latter.
    """

    updated_ms: float
    requests: float = 0.0
    starts: float = 0.0
    work_ms: float = 0.0

    def decay(self, now_ms: float) -> None:
        """Decays the counts up to a time."""
        factor = math.exp2((self.updated_ms - now_ms) / HALF_LIFE_MS)
        self.updated_ms = now_ms
        self.requests *= factor
        self.starts *= factor
        self.work_ms *= factor


class ServedShares:
    """Shares of the groups of one service's requests.

    Attributes:
        total: Counts of all requests.
        groups: Counts by group.
    """

    def __init__(self) -> None:
        self.total = Usage(0.0)
        self.groups: dict[Group, Usage] = {}

    def record_arrival(self, groups: tuple[Group, ...], now_ms: float) -> None:
        """Records the arrival of a request of some groups."""
        self.total.decay(now_ms)
        self.total.requests += 1.0
        for group in groups:
            usage = self.groups.get(group)
            if usage is None:
                usage = self._add(group, now_ms)
            usage.decay(now_ms)
            usage.requests += 1.0

    def record_start(
        self, groups: tuple[Group, ...], work_ms: float, now_ms: float
    ) -> None:
        """Records that a request of some groups was sent to an upstream."""
        self.total.decay(now_ms)
        self.total.starts += 1.0
        for group in groups:
            usage = self.groups.get(group)
            if usage is not None:
                usage.decay(now_ms)
                usage.starts += 1.0
                usage.work_ms += work_ms

    def is_starved(self, groups: tuple[Group, ...]) -> bool:
        """Returns whether a group gets too little of the average share.

        Answers a burst of one kind of request: while a more
        urgent kind takes nearly all capacity, the others still get at least a
        quarter of the average share of requests served.
        """
        requests = self.total.requests
        if requests < MIN_REQUESTS:
            return False
        least = MIN_RELATIVE_SHARE * self.total.starts / requests
        for group in groups:
            usage = self.groups.get(group)
            if (
                usage is not None
                and usage.requests >= MIN_REQUESTS
                and usage.starts < least * usage.requests
            ):
                return True
        return False

    def use_level(self, group: Group, now_ms: float) -> int:
        """Returns the capacity that a group has used, on a logarithmic scale.

        Answers an account far above its usual rate: of the requests of one
        priority, those of accounts that have used less go first, so accounts
        within their fair share are served as without it. Accounts whose use
        differs by less than about twice have equal levels.
        """
        usage = self.groups.get(group)
        if usage is None:
            return 0
        age_ms = now_ms - usage.updated_ms
        work_ms = usage.work_ms * math.exp2(-age_ms / HALF_LIFE_MS)
        return int(work_ms / LEVEL_WORK_MS).bit_length()

    def _add(self, group: Group, now_ms: float) -> Usage:
        if len(self.groups) >= MAX_GROUPS:
            for usage in self.groups.values():
                usage.decay(now_ms)
            self.groups = {
                name: usage
                for name, usage in self.groups.items()
                if usage.requests > FORGOTTEN
            }
        usage = Usage(now_ms)
        self.groups[group] = usage
        return usage
