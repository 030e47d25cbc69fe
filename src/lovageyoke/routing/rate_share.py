"""Share of one process in the rate limit of an upstream.

An upstream's limit holds for the whole fleet. Only a number of processes that
grows with the limit sends to it; they are the first ones in an order that all
processes compute alike. Each of them leaves the same time between two sends,
so the sum over the fleet stays below the limit without coordination.
"""

from __future__ import annotations

import math

import attrs

# Processes learn at different times that another one has become a sender or
# is gone. A new sender waits for longer than that.
HANDOVER_MS = 2_500.0
# Senders per request and second that the upstream accepts, and in addition.
# More of them use the limit better; each may send once more in any window.
SENDERS_PER_RATE = 1.5
EXTRA_SENDERS = 3
# An upstream that accepts less is asked at this rate whether its limit still
# holds; nobody else would lift it.
MIN_PER_S = 0.1
MS_PER_SECOND = 1_000.0


def sender_count(per_s: float, processes: int) -> int:
    """Returns the number of processes that send to an upstream.

    Args:
        per_s: Requests per second that the upstream accepts.
        processes: Number of processes that may be sending requests.
    """
    wanted = math.floor(SENDERS_PER_RATE * per_s) + EXTRA_SENDERS
    return max(1, min(wanted, processes))


def interval_ms(per_s: float, position: int | None, processes: int) -> float:
    """Returns the time between two sends of a process to an upstream.

    Args:
        per_s: Requests per second that the upstream accepts.
        position: Position of the process among those that may be senders,
            from 0; None if it may not.
        processes: Number of processes that may be sending requests.

    Returns:
        The time in milliseconds; infinite if the process is no sender.
    """
    senders = sender_count(per_s, processes)
    if position is None or position >= senders:
        return math.inf
    return MS_PER_SECOND * senders / max(per_s, MIN_PER_S)


@attrs.define
class RateShare:
    """This process's share of an upstream's limit.

    Attributes:
        interval_ms: Time between two sends; infinite if this process is no
            sender, None while the upstream has no limit.
        earliest_ms: Time before which nothing is sent, as another process may
            still be sending instead.
        last_sent_ms: Time of the last send.
    """

    interval_ms: float | None = None
    earliest_ms: float = -math.inf
    last_sent_ms: float = -math.inf

    def update(
        self,
        interval_ms: float | None,
        now_ms: float,
        *,
        phase: float,
        settled: bool,
    ) -> None:
        """Sets the time between two sends.

        Args:
            interval_ms: The new time; see the attribute.
            now_ms: The time.
            phase: Random part of the interval before the first send, at
                least 0 and below 1, so that senders don't send in step.
            settled: Whether this process has been a possible sender for so
                long that the others count on it.
        """
        before = self.interval_ms
        self.interval_ms = interval_ms
        if interval_ms is None or math.isinf(interval_ms):
            return
        if before is None or math.isinf(before):
            known_to_others = settled and before is None
            handover_ms = 0.0 if known_to_others else HANDOVER_MS
            self.earliest_ms = now_ms + handover_ms + phase * interval_ms

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time until the next send; infinite for no sender."""
        if self.interval_ms is None:
            return 0.0
        if math.isinf(self.interval_ms):
            return math.inf
        next_ms = max(self.earliest_ms, self.last_sent_ms + self.interval_ms)
        return max(0.0, next_ms - now_ms)

    def sends_within(self, duration_ms: float, now_ms: float) -> float:
        """Returns how many requests can be sent within a time."""
        if self.interval_ms is None:
            return math.inf
        wait_ms = self.wait_ms(now_ms)
        if wait_ms > duration_ms:
            return 0.0
        return 1.0 + (duration_ms - wait_ms) // self.interval_ms
