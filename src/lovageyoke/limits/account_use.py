"""What one process knows of the use of a client account's quota."""

from __future__ import annotations

import collections
import enum
import math

import attrs

from lovageyoke.limits import quota as limits_quota

# Share of the depth above which the tokens aren't reported; the others then
# assume that this many are left.
UNREPORTED_DEPTH_SHARE = 0.5
# Without newer reports all processes add the same tokens and use the same ones.
# They add none after this time, and assume that those left are being used by
# the others.
MAX_REFILL_MS = 60.0
MS_PER_SECOND = 1_000.0


class Mode(enum.Enum):
    """Where a process knows the tokens from."""

    COLLECTOR = "collector"  # It keeps count for its failure domain.
    FOLLOWER = "follower"  # A collector reports them.
    ISOLATED = "isolated"  # It has a share of its own.


@attrs.define(eq=False)
class AccountUse:
    """Use of one account's quota.

    Attributes:
        name: Name of the account.
        number: Its number in messages.
        bucket: The tokens, as far as this process keeps count of them.
        phase: Random number of at least 0 and below 1, so that processes
            don't admit in step.
        api_keys: The keys of the account.
        removed_ms: When the account was removed, None if it wasn't.
        credit: Shares of refused requests, added up until they make one.
        demand: Requests of all processes whose counts this one receives.
        admitted: Requests admitted here, less those refunded.
        offered: Requests received here.
        domain_admitted: The same for the failure domain, since this process
            has counted them.
        domain_offered: The same for requests received.
        unreported: Time of each request admitted here that the collector
            may not know, and of each refund, with its sign.
        reported_tokens: Tokens in the collector's last report.
        reported_demand_per_s: Requests per second in that report.
        reported_ms: When that report was received.
        repeats_left: Messages in which a collector still reports the quota.
        refused: Requests refused since the start.
        refused_before: ``refused`` when limiting last started.
        last_refused_ms: Time of the last refusal.
        limited: Whether requests were refused recently.
    """

    name: str
    number: int
    bucket: limits_quota.Bucket
    phase: float
    credit: float
    demand: limits_quota.Demand = attrs.field(factory=limits_quota.Demand)
    admitted: int = 0
    offered: int = 0
    domain_admitted: int = 0
    domain_offered: int = 0
    unreported: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    reported_tokens: float = 0.0
    reported_demand_per_s: float = 0.0
    reported_ms: float = -1e12
    repeats_left: int = 0
    refused: int = 0
    refused_before: int = 0
    last_refused_ms: float = 0.0
    limited: bool = False
    api_keys: frozenset[str] = attrs.field(
        factory=frozenset, repr=False
    )  # Secrets.
    removed_ms: float | None = None

    def count_admitted(self, change: int) -> None:
        """Counts an admission, or takes one back if the change is negative."""
        self.admitted += change
        self.domain_admitted += change

    def drop_reported(self, until_ms: float) -> None:
        """Drops the admissions that the collector knows of."""
        while self.unreported and self.unreported[0][0] <= until_ms:
            self.unreported.popleft()

    def reported_level(
        self,
        now_ms: float,
        *,
        heard_ms: float,
        oldest_ms: float,
        horizon_ms: float,
    ) -> float:
        """Returns the tokens according to the collector and own admissions.

        Args:
            now_ms: The time.
            heard_ms: When the collector last reported quotas.
            oldest_ms: When an account must have been reported; its quota
                is not nearly used up otherwise.
            horizon_ms: Time within which all processes together use the
                present tokens in overload.
        """
        is_reported = self.reported_ms >= oldest_ms
        depth = self.bucket.quota.depth
        tokens = (
            self.reported_tokens
            if is_reported
            else UNREPORTED_DEPTH_SHARE * depth
        )
        since_ms = now_ms - (self.reported_ms if is_reported else heard_ms)
        refill_ms = min(since_ms, MAX_REFILL_MS)
        tokens += refill_ms / MS_PER_SECOND * self.bucket.quota.per_s
        tokens = min(depth, tokens)
        if tokens > 0.0 and since_ms > MAX_REFILL_MS:
            tokens *= math.exp((MAX_REFILL_MS - since_ms) / horizon_ms)
        return tokens - sum(change for _, change in self.unreported)

    def takes_share(self, ratio: float) -> bool:
        """Returns whether to admit a request if only a share is admitted.

        The shares are added up instead of drawing random numbers, so that the
        number of admitted requests is exact.
        """
        if ratio >= 1.0:
            return True
        self.credit += ratio
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
