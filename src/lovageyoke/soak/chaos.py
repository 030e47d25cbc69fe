"""Injects faults, several at once."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from lovageyoke.soak import fleet as fleet_lib

MS_PER_SECOND = 1_000.0
MAX_GAP_MS = 4_000.0
MAX_FAULT_MS = 6_000.0
MIN_LIVE_ENTRIES = 2
NEW_NAME_SHARE = 0.5
OBSERVER_SHARE = 0.6

Heal = Callable[[], None]


class Chaos:
    """Injects a fault now and then and heals each after a while.

    Attributes:
        fleet: The fleet.
        stopped: Set when no more faults are wanted.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self.fleet = fleet
        self.rng = fleet.rng
        self.stopped = False
        self.kinds: tuple[tuple[str, Callable[[], Heal | None]], ...] = (
            ("outage", self._outage),
            ("slow platform", self._slow_platform),
            ("lost answers", self._lost_answers),
            ("late writes", self._late_writes),
            ("message loss", self._message_loss),
            ("reordered messages", self._reorder),
            ("one-way cut", self._cut),
            ("paused entry", self._pause),
            ("crashed entry", self._crash),
            ("wrong suspicion", self._suspect),
        )

    async def run(self) -> None:
        """Injects faults until it is stopped."""
        while not self.stopped:
            gap_ms = self.rng.uniform(0, MAX_GAP_MS)
            await anyio.sleep(gap_ms / MS_PER_SECOND)
            name, inject = self.rng.choice(self.kinds)
            heal = inject()
            if heal is not None:
                self.fleet.trace.fault(name)
                self.fleet.tasks.start_soon(self._heal_later, heal)

    async def _heal_later(self, heal: Heal) -> None:
        duration_ms = self.rng.uniform(0, MAX_FAULT_MS)
        await anyio.sleep(duration_ms / MS_PER_SECOND)
        heal()

    def _set_faults(self, **shares: float) -> Heal:
        faults = self.fleet.injector.faults
        before = {name: getattr(faults, name) for name in shares}
        for name, value in shares.items():
            setattr(faults, name, value)

        def heal() -> None:
            for name in before:
                setattr(faults, name, 0)

        return heal

    def _outage(self) -> Heal | None:
        return self._set_faults(outage=True)

    def _slow_platform(self) -> Heal | None:
        return self._set_faults(
            latency_ms=self.rng.uniform(1, 500),
            jitter_ms=self.rng.uniform(50, 1_000),
        )

    def _lost_answers(self) -> Heal | None:
        return self._set_faults(
            lost_answer_share=0.4, lost_request_share=0.2, refused_share=0.1
        )

    def _late_writes(self) -> Heal | None:
        self.fleet.delays.late_share = 0.2

        def heal() -> None:
            self.fleet.delays.late_share = 0.0

        return heal

    def _message_loss(self) -> Heal | None:
        conditions = self.fleet.network.conditions
        conditions.loss = self.rng.uniform(0.1, 0.6)
        conditions.duplication = 0.2

        def heal() -> None:
            conditions.loss = 0.0
            conditions.duplication = 0.0

        return heal

    def _reorder(self) -> Heal | None:
        conditions = self.fleet.network.conditions
        conditions.max_delay_ms = self.rng.uniform(50, 2_000)

        def heal() -> None:
            conditions.max_delay_ms = 3.0

        return heal

    def _cut(self) -> Heal | None:
        names = sorted(self.fleet.entries)
        source, target = self.rng.sample(names, 2)
        self.fleet.network.cut(source, target)

        def heal() -> None:
            self.fleet.network.cuts.discard((source, target))

        return heal

    def _pause(self) -> Heal | None:
        entry = self.fleet.entries[self.rng.choice(sorted(self.fleet.entries))]
        entry.gate.close()
        return entry.gate.open

    def _crash(self) -> Heal | None:
        if len(self.fleet.entries) <= MIN_LIVE_ENTRIES:
            return None
        name = self.rng.choice(sorted(self.fleet.entries))
        self.fleet.crash(name)

        def replace() -> None:
            if self.rng.random() < NEW_NAME_SHARE:
                self.fleet.start(f"e{self.fleet.serial}")
            else:
                self.fleet.start(name)

        return replace

    def _suspect(self) -> Heal | None:
        names = sorted(self.fleet.entries)
        name = self.rng.choice(names)
        duration_ms = self.rng.uniform(0, MAX_FAULT_MS)
        for observer in names:
            if observer != name and self.rng.random() < OBSERVER_SHARE:
                self.fleet.suspect(observer, name, duration_ms)
        return lambda: None
