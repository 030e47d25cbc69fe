"""Operators who race to change services, through any entry."""

from __future__ import annotations

import anyio

from lovageyoke.clock import virtual
from lovageyoke.config import audit
from lovageyoke.config import intent
from lovageyoke.config import model
from lovageyoke.config import plan as plans
from lovageyoke.config import store
from lovageyoke.errors import exceptions
from lovageyoke.soak import change_invariants
from lovageyoke.soak import fleet as fleet_lib
from lovageyoke.store import fake as fake_platform

SERVICES = ("booking", "map", "archive")
MAX_GAP_MS = 800.0
RACE_SHARE = 0.5
MAX_CONFIRMS = 4
MS_PER_SECOND = 1_000.0


class Operators:
    """Plan and confirm changes until they are stopped.

    Attributes:
        fleet: The fleet.
        stopped: Set when no more changes are wanted.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self.fleet = fleet
        self.stopped = False
        self._serial = 0

    async def run(self) -> None:
        """Makes changes, half of them in a race with another."""
        rng = self.fleet.rng
        while not self.stopped:
            gap_ms = rng.uniform(0, MAX_GAP_MS)
            await anyio.sleep(gap_ms / MS_PER_SECOND)
            name = rng.choice(SERVICES)
            for _ in range(1 + (rng.random() < RACE_SHARE)):
                entry = rng.choice(sorted(self.fleet.entries))
                self._serial += 1
                self.fleet.tasks.start_soon(
                    self._change, entry, name, self._serial
                )

    async def read_trail(self) -> None:
        """Checks the audit trail, with no fault in force."""
        platform = fake_platform.FakePlatform(
            self.fleet.store, virtual.LoopClock()
        )
        config = store.ConfigStore(platform, virtual.LoopClock())
        query = audit.AuditQuery(limit=audit.MAX_LIMIT)
        records = await audit.find(config, query)
        self.fleet.ledger.observe(
            change_invariants.TrailRead(
                {(each.service, each.version): each.plan_id for each in records}
            )
        )

    async def _change(self, entry: str, name: str, serial: int) -> None:
        config = self.fleet.entries[entry].config
        operator = f"operator-{serial}"
        wanted = model.Service(
            name=name, team="t", path_prefixes=(f"/{name}/{serial}",)
        )
        try:
            plan = await config.plan(intent.Intent(name, wanted))
            await self._confirm(config, plan, operator)
        except exceptions.LovageyokeError as error:
            self.fleet.trace.step("change failed", serial, error.kind)

    async def _confirm(
        self, config: store.ConfigStore, plan: plans.Plan, operator: str
    ) -> None:
        for _ in range(MAX_CONFIRMS):
            try:
                await config.confirm(plan, operator, force=True)
            except exceptions.PlatformOutcomeUnknownError:
                continue
            self.fleet.trace.step("confirmed", plan.name, plan.plan_id)
            self.fleet.ledger.observe(
                change_invariants.PlanConfirmed(
                    plan.name, plan.base_version, plan.plan_id
                )
            )
            return
