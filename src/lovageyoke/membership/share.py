"""Share of the local entry VM in the probe budgets."""

from __future__ import annotations

from lovageyoke.membership import api
from lovageyoke.membership import roster as roster_lib

VALIDITY_MS = 90 * 60 * 1_000.0
MAX_CLOCK_DRIFT = 0.01


class ProbeShare:
    """Decides whether this process may probe, and with which share.

    A roster is valid for ``validity_ms`` from the time at which its read was
    requested. A process that is paused or cut off from the platform for
    longer stops probing by its own clock, so others may free its slot after
    the same time without a message from it.

    Attributes:
        holder: This process.
        validity_ms: Validity of a roster read, in milliseconds.
        roster: The newest roster read.
        asked_ms: When that read was requested.
        released: Whether this process has released its share permanently.
    """

    def __init__(
        self, holder: roster_lib.Holder, validity_ms: float = VALIDITY_MS
    ) -> None:
        self.holder = holder
        self.validity_ms = validity_ms
        self.roster = roster_lib.Roster()
        self.asked_ms: float | None = None
        self.released = False
        self._acknowledged: dict[roster_lib.Holder, int] = {}
        self._grown_seen_ms = 0.0
        self._revoked_seen_ms: dict[roster_lib.Holder, float] = {}

    @property
    def lapse_ms(self) -> float:
        """Time without a read after which a process has no share.

        Includes the maximum drift between the clocks of two processes.
        """
        return self.validity_ms * (1 + MAX_CLOCK_DRIFT)

    def observe(
        self, roster: roster_lib.Roster, asked_ms: float, now_ms: float
    ) -> None:
        """Applies a roster that was read from or written to the platform.

        Args:
            roster: The roster.
            asked_ms: When the call was made.
            now_ms: The current time in milliseconds.
        """
        if roster.generation < self.roster.generation:
            return
        if roster.grown_generation != self.roster.grown_generation:
            self._grown_seen_ms = now_ms
        revoked = {each.holder for each in roster.slots if each.revoked}
        self._revoked_seen_ms = {
            holder: self._revoked_seen_ms.get(holder, now_ms)
            for holder in revoked
        }
        self.roster = roster
        self.asked_ms = max(self.asked_ms or asked_ms, asked_ms)

    def acknowledge(self, holder: roster_lib.Holder, generation: int) -> None:
        """Records that a process has read a generation of the roster."""
        known = self._acknowledged.get(holder, 0)
        self._acknowledged[holder] = max(known, generation)

    def divisor(self, now_ms: float) -> int:
        """Returns the probe divisor of this process.

        Returns:
            The capacity of the roster, or ``NO_SHARE_DIVISOR`` if this process
            must not probe.
        """
        slot = self.roster.slot_of(self.holder)
        if slot is None or slot.revoked or not self.is_valid(now_ms):
            return api.NO_SHARE_DIVISOR
        if slot.index >= self.roster.usable:
            return api.NO_SHARE_DIVISOR
        return self.roster.capacity

    def is_valid(self, now_ms: float) -> bool:
        """Returns whether the roster was read recently enough."""
        if self.asked_ms is None or self.released:
            return False
        return now_ms - self.asked_ms <= self.validity_ms

    def suspend(self) -> None:
        """Invalidates the share until the roster is read again."""
        self.asked_ms = None

    def release(self) -> None:
        """Releases the share permanently, before its slot is freed."""
        self.released = True

    def change_holder(self, holder: roster_lib.Holder) -> None:
        """Changes the incarnation; the new holder has no slot yet."""
        self.holder = holder

    def confirms_growth(self, now_ms: float) -> bool:
        """Returns whether the slots above ``usable`` may be made usable."""
        if self.roster.usable >= self.roster.capacity:
            return False
        if now_ms - self._grown_seen_ms > self.lapse_ms:
            return True
        return all(
            self._acknowledged.get(each.holder, 0)
            >= self.roster.grown_generation
            for each in self.roster.slots
            if each.holder != self.holder
        )

    def lapsed(self, now_ms: float) -> tuple[roster_lib.Holder, ...]:
        """Returns holders revoked for longer than ``lapse_ms``."""
        return tuple(
            holder
            for holder, seen_ms in self._revoked_seen_ms.items()
            if now_ms - seen_ms > self.lapse_ms
        )
