"""Maintains the slot of this process in the probe roster."""

from __future__ import annotations

import random

from loguru import logger

from lovageyoke.clock import api as clock_api
from lovageyoke.errors import exceptions
from lovageyoke.membership import api
from lovageyoke.membership import planner
from lovageyoke.membership import rendezvous
from lovageyoke.membership import roster as roster_lib
from lovageyoke.membership import share as share_lib
from lovageyoke.membership import state as state_lib
from lovageyoke.store import api as platform_api

POLL_MS = 60_000.0
RETRY_MS = 1_000.0
MAX_RETRY_MS = 60_000.0
ABSENCE_TIMEOUT_MS = 30_000.0
MAX_EAGER_MEMBERS = 32
RECLAIMER_KEY = "probe-roster"


class RosterUpdater:
    """Polls the roster and makes the writes that the planner returns.

    Attributes:
        share: Share of this process.
        min_capacity: Minimum capacity of the roster.
        leaving: Whether this process is stopping.
    """

    def __init__(
        self,
        state: state_lib.MembershipState,
        share: share_lib.ProbeShare,
        platform: platform_api.Platform,
        *,
        clock: clock_api.Clock,
        rng: random.Random,
        min_capacity: int = 1,
    ) -> None:
        self.share = share
        self.min_capacity = min_capacity
        self.leaving = False
        self._state = state
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._retry_ms = RETRY_MS
        self._due_ms = clock.now_ms()
        self._missing_ms: dict[roster_lib.Holder, float] = {}

    async def run(self) -> None:
        """Maintains the slot until cancelled."""
        while True:
            if self._is_due():
                await self.attempt()
            await self._clock.sleep_ms(RETRY_MS * self._rng.uniform(0.5, 1.5))

    async def attempt(self) -> None:
        """Reads the roster once and makes at most one write."""
        try:
            read_soon = await self._read_and_write()
        except exceptions.RevisionConflictError:
            read_soon = True
        except (exceptions.PlatformError, exceptions.DecodeError) as error:
            logger.warning(
                "failed to update the probe roster: {}", error.detail
            )
            self._schedule(self._retry_ms)
            self._retry_ms = min(self._retry_ms * 2, MAX_RETRY_MS)
            return
        self._retry_ms = RETRY_MS
        self._schedule(RETRY_MS if read_soon else POLL_MS)

    async def release(self) -> None:
        """Releases the share, and frees the slot if the platform responds."""
        self.leaving = True
        self.share.release()
        for _ in range(3):
            await self.attempt()
            if self.share.roster.slot_of(self.share.holder) is None:
                return

    def addresses(self) -> dict[str, str]:
        """Returns the peer addresses of the other holders by entry id."""
        return {
            each.entry_id: each.peer_address
            for each in self.share.roster.slots
            if not each.revoked and each.entry_id != self._state.own.entry_id
        }

    async def _read_and_write(self) -> bool:
        """Reads and writes once; returns whether another write may be due."""
        asked_ms = self._clock.now_ms()
        record = await self._platform.get(roster_lib.KEY)
        self._observe(self._read(record), asked_ms)
        wanted = planner.next_roster(
            self.share, self._planner_input(), self._clock.now_ms()
        )
        if wanted is None:
            return False
        asked_ms = self._clock.now_ms()
        value = roster_lib.encode(wanted)
        if record is None:
            await self._platform.create(roster_lib.KEY, value)
        else:
            await self._platform.compare_and_swap(
                roster_lib.KEY, value, record.revision
            )
        self._observe(wanted, asked_ms)
        return True

    def _read(self, record: platform_api.Record | None) -> roster_lib.Roster:
        if record is not None:
            return roster_lib.decode(record.value)
        known = self.share.roster.generation
        if known:
            logger.error("probe roster is missing from the platform")
            self.share.suspend()
            return roster_lib.Roster(generation=known + 1)
        return roster_lib.Roster()

    def _observe(self, roster: roster_lib.Roster, asked_ms: float) -> None:
        self.share.observe(roster, asked_ms, self._clock.now_ms())
        self._state.generation = self.share.roster.generation

    def _planner_input(self) -> planner.PlannerInput:
        return planner.PlannerInput(
            peer_address=self._state.own.peer_address,
            min_capacity=self.min_capacity,
            leaving=self.leaving,
            reclaimer=self._is_reclaimer(),
            presumed_dead=self._presumed_dead(),
        )

    def _is_reclaimer(self) -> bool:
        alive = (
            entry_id
            for entry_id, state in self._state.members.states.items()
            if state is api.MemberState.ALIVE
        )
        reclaimer = rendezvous.owner(RECLAIMER_KEY, alive)
        return reclaimer == self._state.own.entry_id

    def _presumed_dead(self) -> set[roster_lib.Holder]:
        now_ms = self._clock.now_ms()
        running = {
            (each.entry_id, each.incarnation)
            for each in self._state.members.table
            if each.state is not api.MemberState.DEAD
        }
        self._missing_ms = {
            each.holder: self._missing_ms.get(each.holder, now_ms)
            for each in self.share.roster.slots
            if each.holder not in running
        }
        return {
            holder
            for holder, missing_ms in self._missing_ms.items()
            if now_ms - missing_ms > ABSENCE_TIMEOUT_MS
        }

    def _is_due(self) -> bool:
        now_ms = self._clock.now_ms()
        if now_ms >= self._due_ms:
            return True
        if self._retry_ms > RETRY_MS or self.share.released:
            return False
        if not self.share.is_valid(now_ms):
            return True
        return self._knows_newer_generation() or self.share.confirms_growth(
            now_ms
        )

    def _knows_newer_generation(self) -> bool:
        # In a large fleet, all processes would read at once after each join.
        if len(self._state.members.states) > MAX_EAGER_MEMBERS:
            return False
        newest = max(self._state.generations.values(), default=0)
        return newest > self.share.roster.generation

    def _schedule(self, delay_ms: float) -> None:
        jitter = self._rng.uniform(0.75, 1.25)
        self._due_ms = self._clock.now_ms() + delay_ms * jitter
