"""For how long an upstream is cold, as far as one process knows.

An entry tells it when it is read, which may be long after it was written, so
it can only lengthen the time. The response to a health check tells it as of
now, and travels to the other processes; of these statements the newest holds.
"""

from __future__ import annotations

import math

import attrs

# Statements closer to each other than the delay of a message have no known
# order; the longer time is kept.
ORDER_TOLERANCE_MS = 50.0
# A statement of the same time left that is newer by less than this is the
# same one, delayed on its way. Without this rule, relays would prolong it.
REPEAT_MS = 1_000.0
# Smaller differences of the end don't concern the other processes.
END_TOLERANCE_MS = 200.0


@attrs.define
class ColdState:
    """When an upstream will no longer be cold.

    Attributes:
        entry_ms: When the last entry of a cold upstream was read.
        entry_end_ms: End of the time in that entry.
        stated_ms: When the newest statement was made, by the local clock.
        cold_ms: The time left in that statement.
    """

    entry_ms: float = -math.inf
    entry_end_ms: float = -math.inf
    stated_ms: float = -math.inf
    cold_ms: float = 0.0

    @property
    def end_ms(self) -> float:
        """When the upstream will no longer be cold."""
        stated_end_ms = self.stated_ms + self.cold_ms
        if self.stated_ms >= self.entry_ms:
            return stated_end_ms
        return max(stated_end_ms, self.entry_end_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Returns whether the upstream is cold."""
        return now_ms < self.end_ms

    def apply_entry(self, cold_ms: float, now_ms: float) -> None:
        """Applies the time left in an entry that was read now."""
        if now_ms + cold_ms > self.end_ms:
            self.entry_ms = now_ms
            self.entry_end_ms = now_ms + cold_ms

    def apply_check(
        self, cold_ms: float, *, sent_ms: float, now_ms: float
    ) -> bool:
        """Applies the response to a health check.

        Args:
            cold_ms: The time left in the response, 0 if it isn't cold.
            sent_ms: When the check was sent. The response may be older than a
                statement or an entry that was received in the meantime.
            now_ms: When the response was received.

        Returns:
            Whether the other processes have to know.
        """
        was_cold = self.is_cold(now_ms)
        later_ms = now_ms + cold_ms - self.end_ms
        if later_ms < 0.0 and sent_ms < max(self.stated_ms, self.entry_ms):
            return False
        if cold_ms <= 0.0 and not was_cold:
            return False
        if cold_ms > 0.0 and was_cold and abs(later_ms) < END_TOLERANCE_MS:
            if later_ms > 0.0:
                self.entry_ms = now_ms
                self.entry_end_ms = now_ms + cold_ms
            return False
        self.stated_ms = now_ms
        self.cold_ms = float(math.ceil(max(0.0, cold_ms)))
        return True

    def apply_peer(self, cold_ms: float, stated_ms: float) -> bool:
        """Applies a statement that a peer has received.

        Args:
            cold_ms: The time left in the statement.
            stated_ms: When it was made, by the local clock.

        Returns:
            Whether it replaces the known one.
        """
        newer_ms = stated_ms - self.stated_ms
        if cold_ms == self.cold_ms and newer_ms < REPEAT_MS:
            return False
        if newer_ms < -ORDER_TOLERANCE_MS:
            return False
        longer = stated_ms + cold_ms > self.stated_ms + self.cold_ms
        if newer_ms <= ORDER_TOLERANCE_MS and not longer:
            return False
        self.stated_ms = stated_ms
        self.cold_ms = cold_ms
        return True
