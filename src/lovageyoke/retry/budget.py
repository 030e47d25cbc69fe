"""Token bucket that limits the retries and hedges of a service."""

from __future__ import annotations

from lovageyoke.config import model

FLOOR_PER_S = 0.5
MAX_TOKENS = 10.0
MS_PER_SECOND = 1_000.0


class RetryBudget:
    """Limits retries to a ratio of the requests plus a small constant rate.

    Each first attempt adds ``ratio`` tokens, each second adds ``floor_per_s``
    tokens, and each retry or hedge costs one. The bucket holds at most
    ``max_tokens``, so the retries in any period are at most ``max_tokens +
    ratio x requests + floor_per_s x seconds``.

    Attributes:
        ratio: Tokens added per first attempt.
        floor_per_s: Tokens added per second.
        max_tokens: Capacity of the bucket.
        tokens: Tokens available at ``updated_ms``.
        updated_ms: Time of the last refill.
        spent: Tokens spent since the start.
        refused: Retries and hedges rejected since the start.
    """

    def __init__(
        self,
        now_ms: float,
        ratio: float = model.DEFAULT_RETRY_RATIO,
        floor_per_s: float = FLOOR_PER_S,
        max_tokens: float = MAX_TOKENS,
    ) -> None:
        self.ratio = ratio
        self.floor_per_s = floor_per_s
        self.max_tokens = max_tokens
        self.tokens = min(1.0, max_tokens)
        self.updated_ms = now_ms
        self.spent = 0
        self.refused = 0

    def record_request(self, now_ms: float) -> None:
        """Adds the tokens of a first attempt."""
        self.refill(now_ms)
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def try_spend(self, now_ms: float) -> bool:
        """Spends the token of one retry or hedge if one is available."""
        self.refill(now_ms)
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True

    def refill(self, now_ms: float) -> None:
        """Adds the tokens of the time since the last refill."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        earned = elapsed_ms / MS_PER_SECOND * self.floor_per_s
        self.tokens = min(self.max_tokens, self.tokens + earned)
        self.updated_ms = max(self.updated_ms, now_ms)
