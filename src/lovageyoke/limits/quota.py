"""Token bucket of a client account's quota, shared by all processes.

The bucket limits the requests of one account in the whole fleet. What it
holds is known only with a delay, so in overload a process admits a share of
the requests that uses up the tokens within a multiple of that delay, instead
of all requests while there are tokens.
"""

from __future__ import annotations

import math

import attrs

from lovageyoke.routing import model

MS_PER_SECOND = 1_000.0
# Shares of the proportional excess and of the slack by which the bucket is
# deeper than the burst. The rest is for requests admitted before their number
# is known to all.
EXCESS_DEPTH_SHARE = 0.35
SLACK_DEPTH_SHARE = 0.6
MAX_WAIT_MS = 60_000.0


@attrs.frozen
class Tolerance:
    """By how much a window may exceed a quota.

    Attributes:
        window_ms: Length of the window.
        over: Share of the quota by which a window may exceed it.
        slack: Requests by which it may exceed the quota in addition.
    """

    window_ms: float
    over: float
    slack: float


@attrs.frozen
class Quota:
    """Quota of an account.

    Attributes:
        per_s: Requests per second, above 0.
        depth: Tokens that the bucket holds.
    """

    per_s: float
    depth: float


def quota_of(account: model.ClientAccount, tolerance: Tolerance) -> Quota:
    """Returns the quota of an account that has a limit."""
    in_window = account.rate_per_s * tolerance.window_ms / MS_PER_SECOND
    excess = tolerance.over * (in_window + account.burst)
    depth = (
        account.burst
        + EXCESS_DEPTH_SHARE * excess
        + SLACK_DEPTH_SHARE * tolerance.slack
    )
    return Quota(account.rate_per_s, max(1.0, depth))


@attrs.define
class Bucket:
    """Tokens of an account.

    Attributes:
        quota: The quota.
        level: Number of tokens; negative after too many admissions.
        updated_ms: Time of ``level``.
        share: Share of the rate and depth that this process and those whose
            counts it knows may use; above 0, at most 1.
    """

    quota: Quota
    level: float
    updated_ms: float
    share: float = 1.0

    @property
    def per_s(self) -> float:
        """Tokens added per second."""
        return self.quota.per_s * self.share

    def advance(self, now_ms: float) -> float:
        """Adds the tokens of the time since the last call; returns all."""
        added = (now_ms - self.updated_ms) / MS_PER_SECOND * self.per_s
        self.level = min(self.quota.depth * self.share, self.level + added)
        self.updated_ms = now_ms
        return self.level

    def set_quota(self, quota: Quota, now_ms: float) -> None:
        """Changes the quota; a lower depth takes tokens away."""
        self.advance(now_ms)
        self.quota = quota
        self.advance(now_ms)

    def set_share(self, share: float, now_ms: float) -> None:
        """Changes the share.

        The processes that no longer belong to the group take their part of
        the tokens; those that join it bring none.
        """
        self.advance(now_ms)
        if share < self.share and self.level > 0.0:
            self.level *= share / self.share
        self.share = share


@attrs.define
class Demand:
    """Rate of the requests of an account, admitted or not.

    Attributes:
        count: Exponentially decayed count of the requests.
        updated_ms: Time of ``count``.
    """

    count: float = 0.0
    updated_ms: float = 0.0

    def record(self, requests: float, now_ms: float, decay_ms: float) -> None:
        """Records requests."""
        self.count = max(0.0, self.decayed(now_ms, decay_ms) + requests)
        self.updated_ms = now_ms

    def per_s(self, now_ms: float, decay_ms: float) -> float:
        """Returns the rate in requests per second."""
        return self.decayed(now_ms, decay_ms) / decay_ms * MS_PER_SECOND

    def decayed(self, now_ms: float, decay_ms: float) -> float:
        """Returns the count, decayed until now."""
        if self.count == 0.0:
            return 0.0
        return self.count * math.exp((self.updated_ms - now_ms) / decay_ms)


def admission_ratio(
    level: float, per_s: float, demand_per_s: float, horizon_ms: float
) -> float:
    """Returns the share of the requests to admit, 1 or more for all.

    Admitting this share uses up the present and the new tokens within the
    horizon.

    Args:
        level: Number of tokens.
        per_s: Tokens added per second.
        demand_per_s: Requests per second.
        horizon_ms: The horizon, a multiple of the delay of the counts.
    """
    horizon_s = horizon_ms / MS_PER_SECOND
    available = max(0.0, level + per_s * horizon_s)
    return available / max(1e-9, demand_per_s * horizon_s)


def wait_ms(
    level: float, per_s: float, refused: float, position: float
) -> float:
    """Returns the time after which a refused request can be admitted.

    Args:
        level: Number of tokens.
        per_s: Tokens added per second.
        refused: Recently refused requests, which may return too.
        position: Place of the request among them, at least 0 and below 1.
    """
    missing = max(0.0, 1.0 - level) + refused * position
    return min(MAX_WAIT_MS, missing / per_s * MS_PER_SECOND)
