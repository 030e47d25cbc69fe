"""Rate limits that upstreams state in their responses.

An upstream in need states how many requests per second it accepts from the
whole fleet. The limit holds until the upstream answers without stating one.
"""

from __future__ import annotations

import enum
import math

import attrs

from lovageyoke.routing import rate_share

# Statements closer to each other than the delay of a message have no known
# order; the first one is kept.
ORDER_TOLERANCE_MS = 50.0


class Source(enum.Enum):
    """Where a statement comes from."""

    RESPONSE = "response"
    HEALTH_CHECK = "health-check"
    PEER = "peer"


@attrs.frozen
class Statement:
    """What an upstream stated.

    Attributes:
        per_s: Requests per second from all processes, None for no limit.
        stated_ms: When it was received, by the local clock.
    """

    per_s: float | None
    stated_ms: float


@attrs.define
class RateLimit:
    """The rate limit of one upstream as known to this process.

    Attributes:
        statement: The newest statement.
        cold_per_s: The rate that holds while the upstream is cold, None if it
            isn't.
        share: The share of this process.
        queued_ms: When the statement last queued for the peers was received.
        in_health_checks: Whether the upstream states limits in the responses
            to health checks too. Only then does a health check without one
            end the limit.
    """

    statement: Statement = Statement(None, -math.inf)
    in_health_checks: bool = False
    cold_per_s: float | None = None
    share: rate_share.RateShare = attrs.field(factory=rate_share.RateShare)
    queued_ms: float = -math.inf

    @property
    def per_s(self) -> float | None:
        """The limit, None if there is none; the lower one if there are two."""
        stated = self.statement.per_s
        if stated is None or self.cold_per_s is None:
            return self.cold_per_s if stated is None else stated
        return min(stated, self.cold_per_s)

    @property
    def was_stated(self) -> bool:
        """Whether the upstream has stated a limit, or that one has ended."""
        return math.isfinite(self.statement.stated_ms)

    @property
    def is_sender(self) -> bool:
        """Whether this process sends requests to the upstream."""
        interval_ms = self.share.interval_ms
        return interval_ms is None or math.isfinite(interval_ms)

    def apply_response(
        self,
        per_s: float | None,
        *,
        sent_ms: float,
        now_ms: float,
        source: Source,
    ) -> bool:
        """Applies a response of the upstream.

        Args:
            per_s: The limit in the response, None if it has none.
            sent_ms: When the request was sent. The response may be older than
                a statement that was received in the meantime.
            now_ms: When the response was received.
            source: Whether it answers a request or a health check.

        Returns:
            Whether the limit has changed.
        """
        is_check = source is Source.HEALTH_CHECK
        if per_s is None:
            is_older = sent_ms < self.statement.stated_ms
            if is_older or (is_check and not self.in_health_checks):
                return False
        elif is_check:
            self.in_health_checks = True
        changed = per_s != self.statement.per_s
        self.statement = Statement(per_s, now_ms)
        return changed

    def apply_peer(self, statement: Statement) -> bool:
        """Applies a statement that a peer has received.

        Returns:
            Whether it was newer than the known one.
        """
        newest_ms = self.statement.stated_ms + ORDER_TOLERANCE_MS
        if statement.stated_ms <= newest_ms:
            return False
        self.statement = statement
        return True
