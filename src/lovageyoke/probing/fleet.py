"""Share of the fleet's probe budgets that this entry VM may use."""

from __future__ import annotations

from lovageyoke.membership import api
from lovageyoke.membership import rendezvous

WINDOW_MS = 1_000.0
MAX_SEND_DELAY_MS = 50.0
STABLE_VIEW_MS = 10_000.0
MAX_UPDATE_GAP_MS = 500.0


class FleetShare:
    """Computes an integer number of probes per window from membership.

    Fractional shares would break the limit: sixteen entry VMs that may each
    send one probe every three seconds may all send it in the same second. So
    each entry VM gets its share rounded down. The remainder goes, one probe
    each, to the entry VMs that rank first in a rendezvous order, and only
    while the membership view is stable, since all entry VMs must agree on
    the members.

    A smaller divisor takes effect only after a full window, since peers may
    have used their larger shares within it. For the same reason a new process
    waits for a full window, and so does one that has not read membership for
    longer than ``MAX_UPDATE_GAP_MS``.

    Attributes:
        divisor: Largest probe divisor seen within the last window.
        member_ids: Entry ids in the current view.
        last_unstable_ms: When the view last changed or had a member that was
            not alive.
        started_ms: When this process started or last resumed after a gap in
            its updates.
        updated_ms: When the view was last read.
        version: Increases whenever the shares may have changed.
    """

    def __init__(self, now_ms: float) -> None:
        self.divisor = 1
        self.member_ids: tuple[str, ...] = ()
        self.self_id = ""
        self.last_unstable_ms = now_ms
        self.started_ms = now_ms
        self.updated_ms = now_ms
        self.version = 0
        self._stable = False
        self._lower_divisor: int | None = None
        self._lower_divisor_since_ms = now_ms

    def update(self, view: api.MembershipView, now_ms: float) -> None:
        """Reads membership; must run at least every ``MAX_UPDATE_GAP_MS``."""
        if now_ms - self.updated_ms > MAX_UPDATE_GAP_MS:
            self.started_ms = now_ms
            self.version += 1
        self.updated_ms = now_ms
        self.self_id = view.self_id()
        self._update_members(view.members(), now_ms)
        self._update_divisor(max(1, view.probe_divisor(now_ms)), now_ms)
        stable = self._is_stable()
        self.version += stable != self._stable
        self._stable = stable

    def allowance(self, key: str, probes: int) -> int:
        """Returns how many probes this entry VM may send in one window.

        Args:
            key: Identifies the budget; determines which entry VMs get the
                remainder.
            probes: Probes that the fleet may send in one window.
        """
        allowance = probes // self.divisor
        remainder = probes - allowance * self.divisor
        if remainder and self._stable:
            order = rendezvous.ranked(key, self.member_ids)
            allowance += order.index(self.self_id) < remainder
        return allowance

    def covers_window(self, window_ms: float, now_ms: float) -> bool:
        """Returns whether membership was read without gaps for a window."""
        return (
            now_ms - self.updated_ms <= MAX_UPDATE_GAP_MS
            and now_ms - self.started_ms > window_ms
        )

    def _is_stable(self) -> bool:
        return (
            self.divisor == len(self.member_ids)
            and self.self_id in self.member_ids
            and self.updated_ms - self.last_unstable_ms > STABLE_VIEW_MS
        )

    def _update_members(
        self, members: tuple[api.Member, ...], now_ms: float
    ) -> None:
        member_ids = tuple(sorted(each.entry_id for each in members))
        any_not_alive = any(
            each.state is not api.MemberState.ALIVE for each in members
        )
        if any_not_alive or member_ids != self.member_ids:
            self.last_unstable_ms = now_ms
            self.member_ids = member_ids

    def _update_divisor(self, divisor: int, now_ms: float) -> None:
        if divisor >= self.divisor:
            self.version += divisor > self.divisor
            self.divisor = divisor
            self._lower_divisor = None
            return
        if self._lower_divisor is None:
            self._lower_divisor = divisor
            self._lower_divisor_since_ms = now_ms
        self._lower_divisor = max(self._lower_divisor, divisor)
        if (
            now_ms - self._lower_divisor_since_ms
            > WINDOW_MS + MAX_SEND_DELAY_MS
        ):
            self.divisor = self._lower_divisor
            self._lower_divisor = None
            self.version += 1
