"""The course of the demonstration."""

from __future__ import annotations

import anyio
import httpx
import rich.console

from lovageyoke.clock import api as clock_api
from lovageyoke.config import audit
from lovageyoke.config import document
from lovageyoke.config import intent
from lovageyoke.demo import intents
from lovageyoke.demo import promises
from lovageyoke.demo import report
from lovageyoke.demo import scene
from lovageyoke.demo import traffic

SIZES = {"booking": 4, "maps": 6, "scans": 3}
SEED = 20_261_204
OPERATOR = "demonstration"
BOOKINGS = 40
MAP_READS = 240
MAP_INTERVAL_MS = 20.0
SCAN_CHUNK_DELAY_MS = 25.0
DRAIN_NOTICE_MS = 3_000.0
SETTLE_MS = 3_000.0
SETTLE_STEP_MS = 20.0
MAX_CONNECTIONS = 200


class Demonstration:
    """Sends requests through a scene while things go wrong in it.

    Attributes:
        scene: What runs.
        callers: Who sends requests.
        confirmed: Plan ids that were confirmed.
        drained_served: Requests that the drained upstream had accepted after
            its notice, and at the end.
    """

    def __init__(self, running: scene.Scene, client: httpx.AsyncClient) -> None:
        self.scene = running
        self.callers = traffic.Callers(client, running.clock)
        self.confirmed: list[str] = []
        self.drained_served = (0, 0)

    async def run(self) -> promises.Observed:
        """Runs the whole course and returns what was observed."""
        await self._configure()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_bookings)
            tasks.start_soon(self._read_maps)
            tasks.start_soon(self._download_while_draining)
            tasks.start_soon(self._stall_an_upstream)
        return await self._observe()

    def _address(self, number: int) -> str:
        entries = self.scene.entries
        return entries[number % len(entries)].addresses.caller

    async def _configure(self) -> None:
        texts = (
            intents.booking(self.scene.groups["booking"].places),
            intents.maps(self.scene.groups["maps"].places),
            intents.scans(self.scene.groups["scans"].places),
        )
        store = self.scene.entries[0].fleet.store
        for text in texts:
            plan = await store.plan(intent.parse(text))
            await store.confirm(plan, OPERATOR)
            self.confirmed.append(plan.plan_id)
        await self._wait_until_in_force(len(texts))

    async def _wait_until_in_force(self, services: int) -> None:
        clock = self.scene.clock
        until_ms = clock.now_ms() + SETTLE_MS
        while clock.now_ms() < until_ms:
            counts = [
                len(each.fleet.view.services()) for each in self.scene.entries
            ]
            if min(counts) == services:
                return
            await clock.sleep_ms(SETTLE_STEP_MS)

    async def _send_bookings(self) -> None:
        for number in range(BOOKINGS):
            identity = f"booking-{number}"
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._book, number, identity)
                if number % 10 == 0:
                    tasks.start_soon(self._book, number + 1, identity)
            await self.scene.clock.sleep_ms(MAP_INTERVAL_MS)
        await self._book(2, "booking-1")

    async def _book(self, number: int, identity: str) -> None:
        await self.callers.book(self._address(number), identity)

    async def _read_maps(self) -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(MAP_READS):
                address = self._address(number)
                tasks.start_soon(self.callers.read_map, address, number)
                await self.scene.clock.sleep_ms(MAP_INTERVAL_MS)

    async def _stall_an_upstream(self) -> None:
        behaviour = self.scene.groups["maps"].upstreams[0].behaviour
        await self.scene.clock.sleep_ms(1_000)
        behaviour.stalled = True
        await self.scene.clock.sleep_ms(1_500)
        behaviour.stalled = False

    async def _download_while_draining(self) -> None:
        upstreams = self.scene.groups["scans"].upstreams
        for each in upstreams:
            each.behaviour.chunk_delay_ms = SCAN_CHUNK_DELAY_MS
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.callers.download, self._address(0))
            await self.scene.clock.sleep_ms(500)
            await self._drain_the_busy_one()
            for number in range(1, 4):
                tasks.start_soon(self.callers.download, self._address(number))
                await self.scene.clock.sleep_ms(200)

    async def _drain_the_busy_one(self) -> None:
        group = self.scene.groups["scans"]
        busiest = max(group.upstreams, key=lambda each: each.in_flight)
        busiest.behaviour.draining = True
        served = group.ledger.served
        await self.scene.clock.sleep_ms(DRAIN_NOTICE_MS)
        after_notice = served.get(busiest.upstream_id, 0)
        async with anyio.create_task_group() as tasks:
            for number in range(3):
                tasks.start_soon(self.callers.download, self._address(number))
        at_end = served.get(busiest.upstream_id, 0)
        self.drained_served = (after_notice, at_end)

    async def _observe(self) -> promises.Observed:
        groups = self.scene.groups
        return promises.Observed(
            record=self.callers.record,
            runs=groups["booking"].ledger.runs,
            probe_times_ms={
                name: self.scene.probe_times_of(name) for name in groups
            },
            probes_per_s=intents.PROBES_PER_S,
            drained_served=self.drained_served,
            versions={
                entry.settings.entry.entry_id: {
                    name: each.version
                    for name, each in entry.fleet.view.services().items()
                }
                for entry in self.scene.entries
            },
            confirmed=tuple(self.confirmed),
            audited=await self._audited(),
        )

    async def _audited(self) -> tuple[document.AuditRecord, ...]:
        store = self.scene.entries[-1].fleet.store
        return await audit.find(store, audit.AuditQuery())


async def demonstrate(
    clock: clock_api.Clock, console: rich.console.Console
) -> bool:
    """Runs the demonstration and prints its report.

    Returns:
        Whether every promise held.
    """
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
    async with (
        scene.running(clock, SIZES, SEED) as running,
        httpx.AsyncClient(
            timeout=traffic.TIMEOUT_S, limits=limits, trust_env=False
        ) as client,
    ):
        observed = await Demonstration(running, client).run()
    judged = promises.judge(observed)
    report.show(console, observed.record, judged, observed.audited)
    return all(each.held for each in judged)
