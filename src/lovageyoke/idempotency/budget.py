"""Rate limit of a shard's writes to the platform."""

from __future__ import annotations

MS_PER_SECOND = 1_000.0
TOKEN_TOLERANCE = 1e-6


class WriteBudget:
    """Token bucket whose reserve keeps tokens for urgent writes.

    Attributes:
        rate_per_s: Tokens added per second; a write takes one.
        burst: Capacity of the bucket in tokens.
        tokens: Tokens available at ``updated_ms``; may be negative.
        updated_ms: Time of the last refill, or None before the first.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_ms: float | None = None

    def delay_ms(self, now_ms: float, reserve: float = 0.0) -> float:
        """Returns the delay until a write would leave ``reserve`` tokens."""
        self._refill(now_ms)
        missing = 1.0 + reserve - self.tokens
        if missing <= TOKEN_TOLERANCE:
            return 0.0
        return missing * MS_PER_SECOND / self.rate_per_s

    def spend(self, now_ms: float) -> None:
        """Takes one token, even if none is available."""
        self._refill(now_ms)
        self.tokens -= 1.0

    def _refill(self, now_ms: float) -> None:
        if self.updated_ms is not None:
            elapsed_ms = now_ms - self.updated_ms
            refilled = elapsed_ms * self.rate_per_s / MS_PER_SECOND
            self.tokens = min(self.burst, self.tokens + refilled)
        self.updated_ms = now_ms
