"""Progress of a running attempt, and when to hedge it."""

from __future__ import annotations

import attrs

# An attempt that exceeds its expected work by this factor is overdue, and its
# remaining time can no longer be derived from the work.
OVERDUE_FACTOR = 1.5
MIN_REMAINING_SHARE = 0.1
MIN_SPEEDUP = 1.3
HEDGE_COST_MS = 15.0
TARGET_SHARE = 0.9  # Attempts expected within this share are not hedged.


@attrs.define
class Progress:
    """Progress of one attempt, derived from the observed slowdowns.

    Attributes:
        service_ms: Expected work of the request at a slowdown of 1.
        queue_ms: Expected queue wait before the work begins.
        started_ms: When the attempt was sent.
        updated_ms: When ``done`` was last updated.
        done: Estimated share of the work that is complete.
        slowdown_integral: Integral of the slowdown over time, in ms.
    """

    service_ms: float
    queue_ms: float
    started_ms: float
    updated_ms: float
    done: float = 0.0
    slowdown_integral: float = 0.0

    def advance(self, slowdown: float, now_ms: float) -> None:
        """Adds the work done since the last call.

        Args:
            slowdown: Slowdown of the upstream since the last call.
            now_ms: Current time in milliseconds.
        """
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        self.slowdown_integral += elapsed_ms * slowdown
        waited_ms = min(self.queue_ms, elapsed_ms)
        self.queue_ms -= waited_ms
        self.done += (elapsed_ms - waited_ms) / (self.service_ms * slowdown)

    def mean_slowdown(self, now_ms: float) -> float:
        """Returns the mean slowdown since the attempt was sent."""
        elapsed_ms = now_ms - self.started_ms
        return self.slowdown_integral / elapsed_ms if elapsed_ms > 0.0 else 1.0

    def remaining_ms(self, slowdown: float) -> float:
        """Returns the expected time until the response.

        An attempt that takes much longer than its expected work is assumed
        to need its overrun once more, as its upstream may be unresponsive.
        """
        share = max(1.0 - self.done, MIN_REMAINING_SHARE)
        if self.done > OVERDUE_FACTOR:
            share = self.done - 1.0
        return self.queue_ms + share * self.service_ms * slowdown


def meets_target(
    elapsed_ms: float, remaining_ms: float, target_ms: float
) -> bool:
    """Returns whether a running attempt is expected within its target.

    Args:
        elapsed_ms: Time since the request arrived.
        remaining_ms: Expected time until the attempt's response.
        target_ms: Latency target of the request.
    """
    return elapsed_ms + remaining_ms <= TARGET_SHARE * target_ms


def should_hedge(
    remaining_ms: float, alternative_ms: float, time_left_ms: float
) -> bool:
    """Returns whether to hedge a late request to another upstream.

    Args:
        remaining_ms: Expected time until the running attempt's response.
        alternative_ms: Expected latency of the other upstream.
        time_left_ms: Time until the request's deadline.
    """
    if alternative_ms >= time_left_ms:
        return False
    return remaining_ms > MIN_SPEEDUP * alternative_ms + HEDGE_COST_MS
