"""Limit on the probes that this entry VM sends for one service."""

from __future__ import annotations

import collections

from lovageyoke.probing import fleet

MIN_SPACING_RATIO = 0.5


class ProbeBudget:
    """Allows at most an integer number of probes in any sliding window.

    A token bucket can allow its rate plus its burst in one window, so the
    limit is enforced on the send times of the last probes instead. Budgets
    below one probe per second become one probe in a longer window.

    Attributes:
        key: Identifies the budget, such as the name of the service.
        share: Share of the fleet's budgets that this entry VM may use.
        probes_per_window: Probes that the fleet may send in one window.
        window_ms: Length of the window in milliseconds.
        sent: Probes sent since the process started.
        rejected: Probes rejected since the process started.
    """

    def __init__(
        self, key: str, probes_per_s: float, share: fleet.FleetShare
    ) -> None:
        self.key = key
        self.share = share
        self.probes_per_window = 0
        self.window_ms = fleet.WINDOW_MS + fleet.MAX_SEND_DELAY_MS
        self.sent = 0
        self.rejected = 0
        self._sent_ms: collections.deque[float] = collections.deque()
        self._allowance = 0
        self._version = -1
        self.set_rate(probes_per_s)

    def set_rate(self, probes_per_s: float) -> None:
        """Sets the number of probes per second of the fleet."""
        if probes_per_s >= 1.0:
            self.probes_per_window = int(probes_per_s)
            self.window_ms = fleet.WINDOW_MS + fleet.MAX_SEND_DELAY_MS
        elif probes_per_s > 0.0:
            self.probes_per_window = 1
            self.window_ms = (
                fleet.WINDOW_MS / probes_per_s + fleet.MAX_SEND_DELAY_MS
            )
        else:
            self.probes_per_window = 0
        self._version = -1

    def allowance(self, now_ms: float) -> int:
        """Returns how many probes this entry VM may send in one window."""
        if not self.share.covers_window(self.window_ms, now_ms):
            return 0
        if self.share.version != self._version:
            self._version = self.share.version
            self._allowance = self.share.allowance(
                self.key, self.probes_per_window
            )
        if self._has_long_window and not self._is_long_window_stable(now_ms):
            return 0
        return self._allowance

    def is_allowance_stable(self, now_ms: float) -> bool:
        """Returns whether only a new share version changes the allowance."""
        return self.share.covers_window(self.window_ms, now_ms) and not (
            self._has_long_window and not self._is_long_window_stable(now_ms)
        )

    def next_send_ms(self, now_ms: float) -> float | None:
        """Returns when the next probe may be sent; None if none is allowed."""
        allowance = self.allowance(now_ms)
        if allowance < 1:
            return None
        self._drop_expired(now_ms)
        if not self._sent_ms:
            return now_ms
        spacing_ms = MIN_SPACING_RATIO * self.window_ms / allowance
        allowed_ms = self._sent_ms[-1] + spacing_ms
        if len(self._sent_ms) >= allowance:
            oldest_ms = self._sent_ms[-allowance]
            allowed_ms = max(allowed_ms, oldest_ms + self.window_ms)
        return max(now_ms, allowed_ms)

    def try_spend(self, now_ms: float) -> bool:
        """Records a probe sent now and returns True if the limit allows it."""
        allowed_ms = self.next_send_ms(now_ms)
        if allowed_ms is None or allowed_ms > now_ms:
            self.rejected += 1
            return False
        self._sent_ms.append(now_ms)
        self.sent += 1
        return True

    def has_recent_sends(self, now_ms: float) -> bool:
        """Returns whether a probe was sent within the last window."""
        self._drop_expired(now_ms)
        return bool(self._sent_ms)

    @property
    def _has_long_window(self) -> bool:
        return self.window_ms > fleet.WINDOW_MS + fleet.MAX_SEND_DELAY_MS

    def _is_long_window_stable(self, now_ms: float) -> bool:
        stable_for_ms = now_ms - self.share.last_unstable_ms
        return stable_for_ms > fleet.STABLE_VIEW_MS + self.window_ms

    def _drop_expired(self, now_ms: float) -> None:
        while self._sent_ms and now_ms - self._sent_ms[0] >= self.window_ms:
            self._sent_ms.popleft()
