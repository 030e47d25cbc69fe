"""Which requests a stopping process still accepts."""

from __future__ import annotations

import attrs

STOP_MARGIN_MS = 600.0  # Reserve before the end of the grace period.
# Callers may still send requests after the signal.
ACCEPT_ALL_MS = 3_000.0
MAX_ACCEPT_ALL_SHARE = 0.5  # Of the grace period.
ANSWER_MARGIN_MS = 100.0  # Time to write an answer given at the deadline.


@attrs.frozen
class Shutdown:
    """A planned stop.

    Attributes:
        started_ms: When the stop signal was received.
        grace_ms: Time between the signal and the end of the process.
    """

    started_ms: float
    grace_ms: float

    @property
    def end_ms(self) -> float:
        """When the process ends at the latest."""
        return self.started_ms + self.grace_ms - STOP_MARGIN_MS

    @property
    def answers_due_ms(self) -> float:
        """When upstreams must have responded, so that callers are answered."""
        return self.end_ms - ANSWER_MARGIN_MS

    @property
    def accepts_all_until_ms(self) -> float:
        """Until when every request is accepted."""
        share_ms = MAX_ACCEPT_ALL_SHARE * self.grace_ms
        return self.started_ms + min(ACCEPT_ALL_MS, share_ms)

    def accepts(self, now_ms: float, deadline_ms: float) -> bool:
        """Returns whether a request will be answered before the end.

        Args:
            now_ms: When the request arrived.
            deadline_ms: When its answer is due at the latest.
        """
        if now_ms < self.accepts_all_until_ms:
            return True
        return deadline_ms <= self.answers_due_ms
