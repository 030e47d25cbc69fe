"""Bound on the probes that this entry VM sends for one service."""

from __future__ import annotations

import collections

from lovageyoke.probing import fleet

SPACING = 0.5


class ProbeBudget:
    """Allows at most a whole number of probes in any window.

    A token bucket allows its rate and its burst in one window, so the bound
    is kept on the times of the last probes instead. Budgets below one probe a
    second become one probe in a longer window.

    Attributes:
        key: What the budget is for, such as the service's name.
        share: This entry's part of the fleet.
        probes: Probes that the whole fleet may send in one window.
        window_ms: Length of the window in milliseconds.
        spent: Probes sent since the start.
        refused: Probes that the budget refused since the start.
    """

    def __init__(
        self, key: str, probes_per_s: float, share: fleet.FleetShare
    ) -> None:
        self.key = key
        self.share = share
        self.probes = 0
        self.window_ms = fleet.WINDOW_MS + fleet.GUARD_MS
        self.spent = 0
        self.refused = 0
        self._sent_ms: collections.deque[float] = collections.deque()
        self._rights = 0
        self._version = -1
        self.set_rate(probes_per_s)

    def set_rate(self, probes_per_s: float) -> None:
        """Replaces the fleet's budget for the service."""
        if probes_per_s >= 1.0:
            self.probes = int(probes_per_s)
            self.window_ms = fleet.WINDOW_MS + fleet.GUARD_MS
        elif probes_per_s > 0.0:
            self.probes = 1
            self.window_ms = fleet.WINDOW_MS / probes_per_s + fleet.GUARD_MS
        else:
            self.probes = 0
        self._version = -1

    def rights(self, now_ms: float) -> int:
        """Returns how many probes may be sent in one window."""
        if not self.share.is_fresh(self.window_ms, now_ms):
            return 0
        if self.share.version != self._version:
            self._version = self.share.version
            self._rights = self.share.rights(self.key, self.probes)
        if self._is_long and not self._is_long_settled(now_ms):
            return 0
        return self._rights

    def is_settled(self, now_ms: float) -> bool:
        """Returns whether rights change only with the share's version."""
        return self.share.is_fresh(self.window_ms, now_ms) and not (
            self._is_long and not self._is_long_settled(now_ms)
        )

    def next_ms(self, now_ms: float) -> float | None:
        """Returns when the next probe may be sent; None without a right."""
        rights = self.rights(now_ms)
        if rights < 1:
            return None
        self._forget(now_ms)
        if not self._sent_ms:
            return now_ms
        spacing_ms = SPACING * self.window_ms / rights
        allowed_ms = self._sent_ms[-1] + spacing_ms
        if len(self._sent_ms) >= rights:
            oldest_ms = self._sent_ms[-rights]
            allowed_ms = max(allowed_ms, oldest_ms + self.window_ms)
        return max(now_ms, allowed_ms)

    def try_spend(self, now_ms: float) -> bool:
        """Counts a probe that is sent at once, if it is within the bound."""
        allowed_ms = self.next_ms(now_ms)
        if allowed_ms is None or allowed_ms > now_ms:
            self.refused += 1
            return False
        self._sent_ms.append(now_ms)
        self.spent += 1
        return True

    def is_spent(self, now_ms: float) -> bool:
        """Returns whether a probe was sent within the last window."""
        self._forget(now_ms)
        return bool(self._sent_ms)

    @property
    def _is_long(self) -> bool:
        return self.window_ms > fleet.WINDOW_MS + fleet.GUARD_MS

    def _is_long_settled(self, now_ms: float) -> bool:
        waited_ms = now_ms - self.share.changed_ms
        return waited_ms > fleet.SETTLE_MS + self.window_ms

    def _forget(self, now_ms: float) -> None:
        while self._sent_ms and now_ms - self._sent_ms[0] >= self.window_ms:
            self._sent_ms.popleft()
