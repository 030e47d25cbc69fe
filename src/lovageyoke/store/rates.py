"""Rate limits and call counters of the platform's service."""

from __future__ import annotations

import enum

import attrs

MS_PER_SECOND = 1_000
WRITES_PER_S = 500.0
READS_PER_S = 2_000.0


class CallKind(enum.Enum):
    """Kinds of calls that the platform counts separately."""

    GET = "get"
    CREATE = "create"
    COMPARE_AND_SWAP = "compare-and-swap"
    DELETE = "delete"
    WATCH = "watch"
    GRANT_LEASE = "grant-lease"
    RENEW_LEASE = "renew-lease"
    LIST_VMS = "list-vms"


READS = frozenset({CallKind.GET, CallKind.WATCH, CallKind.LIST_VMS})


@attrs.define
class TokenBucket:
    """Limits calls to ``rate_per_s`` with bursts of up to ``capacity``.

    Attributes:
        rate_per_s: Tokens added per second.
        capacity: Maximum number of tokens.
        tokens: Tokens available at ``updated_ms``.
        updated_ms: When ``tokens`` was last updated, in milliseconds.
    """

    rate_per_s: float
    capacity: float
    tokens: float = attrs.field(
        default=attrs.Factory(lambda self: self.capacity, takes_self=True)
    )
    updated_ms: float | None = None

    def has_token(self, now_ms: float) -> bool:
        """Returns whether a token is available."""
        self._refill(now_ms)
        return self.tokens >= 1

    def take(self, now_ms: float) -> bool:
        """Takes one token; returns False if none is available."""
        self._refill(now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now_ms: float) -> None:
        if self.updated_ms is not None:
            elapsed_ms = max(0.0, now_ms - self.updated_ms)
            added = elapsed_ms * self.rate_per_s / MS_PER_SECOND
            self.tokens = min(self.capacity, self.tokens + added)
        self.updated_ms = now_ms


class CallCounter:
    """Counts calls by kind and enforces the platform's rate limits.

    A watch is counted once, when it starts.

    Attributes:
        admitted: Number of admitted calls by kind.
        refused: Number of calls rejected by the rate limit, by kind.
        writes: Token bucket of the calls that write.
        reads: Token bucket of all other calls.
    """

    def __init__(
        self,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
    ) -> None:
        self.admitted = dict.fromkeys(CallKind, 0)
        self.refused = dict.fromkeys(CallKind, 0)
        self.writes = TokenBucket(writes_per_s, writes_per_s)
        self.reads = TokenBucket(reads_per_s, reads_per_s)

    def admit(self, kind: CallKind, now_ms: float) -> bool:
        """Counts a call; returns False if it exceeds the rate limit."""
        bucket = self.reads if kind in READS else self.writes
        admitted = bucket.take(now_ms)
        counts = self.admitted if admitted else self.refused
        counts[kind] += 1
        return admitted
