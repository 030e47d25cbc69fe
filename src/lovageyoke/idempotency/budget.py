"""Token budget of a shard's writes to the platform."""

from __future__ import annotations

MS_PER_SECOND = 1_000.0
ROUNDING = 1e-6


class WriteBudget:
    """Token bucket that lets the most urgent writes go first.

    Attributes:
        rate_per_s: Writes a second.
        burst: Writes that may be saved up.
        tokens: Writes saved up at ``updated_ms``; it may be negative.
        updated_ms: When it was last computed.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_ms: float | None = None

    def delay_ms(self, now_ms: float, reserve: float = 0.0) -> float:
        """Returns how long to wait until a write leaves ``reserve`` tokens."""
        self._refill(now_ms)
        missing = 1.0 + reserve - self.tokens
        if missing <= ROUNDING:
            return 0.0
        return missing * MS_PER_SECOND / self.rate_per_s

    def spend(self, now_ms: float) -> None:
        """Takes a token."""
        self._refill(now_ms)
        self.tokens -= 1.0

    def _refill(self, now_ms: float) -> None:
        if self.updated_ms is not None:
            elapsed_ms = now_ms - self.updated_ms
            gained = elapsed_ms * self.rate_per_s / MS_PER_SECOND
            self.tokens = min(self.burst, self.tokens + gained)
        self.updated_ms = now_ms
