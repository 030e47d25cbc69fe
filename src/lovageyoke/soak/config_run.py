"""Randomised runs of operators and followers under faults."""

from __future__ import annotations

import collections
import random

import anyio
import attrs

from lovageyoke.bench import config_fleet
from lovageyoke.clock import virtual
from lovageyoke.config import audit
from lovageyoke.config import groups
from lovageyoke.config import intent
from lovageyoke.config import model
from lovageyoke.config import plan as plans
from lovageyoke.config import updates
from lovageyoke.errors import exceptions
from lovageyoke.soak import config_invariants
from lovageyoke.soak import config_platform
from lovageyoke.soak import invariants
from lovageyoke.store import faults

ENTRIES = 4
OPERATORS = 3
SERVICES_IN_ONE_GROUP = 3
SETTLE_MS = 15_000.0
MAX_PAUSE_MS = 150.0
MAX_DELAYS_MS = (2.0, 1_500.0)
LOSSES = (0.0, 0.3)
MAX_FAULT_MS = 2_000.0
ANNOUNCE_SHARE = 0.7
REPEAT_SHARE = 0.3
UNDO_SHARE = 0.2
RESTART_SHARE = 0.1


@attrs.define
class Report:
    """Counts of a run.

    Attributes:
        seed: Its seed.
        steps: Platform calls and operators' actions.
        confirmed: Plans that took effect.
        conflicts: Plans that lost a race.
        refused: Confirmations that were known to have no effect.
        unknown: Confirmations that ended with an unknown outcome.
        writes: Writes of documents that were checked.
        version_checks: Versions in views that were compared.
        restarts: Entries that were replaced.
    """

    seed: int
    steps: int = 0
    confirmed: int = 0
    conflicts: int = 0
    refused: int = 0
    unknown: int = 0
    writes: int = 0
    version_checks: int = 0
    restarts: int = 0

    def plus(self, other: Report) -> Report:
        """Returns the sum of two reports, with this one's seed."""
        sums = {
            name: count + getattr(other, name)
            for name, count in attrs.asdict(self).items()
        }
        return Report(**{**sums, "seed": self.seed})


def run(seed: int, duration_ms: float) -> Report:
    """Runs operators and faults for a virtual time, then checks the trail.

    Raises:
        InvariantError: An invariant was broken.
    """
    soak = ConfigSoak(seed, duration_ms)
    try:
        anyio.run(
            soak.run,
            backend_options={"loop_factory": virtual.VirtualEventLoop},
        )
    except BaseExceptionGroup as group:
        raise _first_of(group) from group
    return soak.report


class ConfigSoak:
    """One run.

    Attributes:
        report: Its counts.
        absent: Plans that lost a race.
        present: Plans that were reported to be in force.
    """

    def __init__(self, seed: int, duration_ms: float) -> None:
        self.report = Report(seed)
        self.absent: set[str] = set()
        self.present: set[str] = set()
        self._planned: collections.Counter[str] = collections.Counter()
        self._refused: set[str] = set()
        self._doubtful: set[str] = set()
        self._duration_ms = duration_ms
        self._random = random.Random(seed)  # noqa: S311
        self._clock = virtual.LoopClock()
        self._state = config_platform.CheckedStore(seed)
        self._fleet = config_fleet.ConfigFleet(
            ENTRIES,
            self._clock,
            seed,
            state=self._state,
            client_type=config_platform.LatePlatform,
        )
        self._views: dict[int, config_invariants.ViewWatch] = {}
        self._names = _service_names()
        self._is_over = False

    async def run(self) -> None:
        """Runs to the end and checks what must hold then."""
        async with anyio.create_task_group() as tasks:
            started = anyio.Event()
            tasks.start_soon(self._fleet.run, started)
            await started.wait()
            await self._run_under_faults()
            await self._settle()
            await self._check_end()
            tasks.cancel_scope.cancel()

    async def _run_under_faults(self) -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(OPERATORS):
                tasks.start_soon(self._operate, f"operator-{number}")
            tasks.start_soon(self._inject)
            tasks.start_soon(self._watch_views)
            await self._clock.sleep_ms(self._duration_ms)
            self._is_over = True

    async def _operate(self, name: str) -> None:
        while not self._is_over:
            await self._pause()
            entry = self._any_entry()
            try:
                plan = await self._plan(entry)
            except exceptions.LovageyokeError:
                continue
            self._planned[plan.plan_id] += 1
            await self._pause()
            while await self._confirm(plan, name) or self._draw(REPEAT_SHARE):
                await self._pause()

    async def _plan(self, entry: config_fleet.FleetEntry) -> plans.Plan:
        self.report.steps += 1
        name = self._random.choice(self._names)
        if self._draw(UNDO_SHARE):
            return await entry.store.undo(name)
        host = f"h{self._random.randrange(1_000)}.example"
        service = model.Service(name, "soak", (host,))
        return await entry.store.plan(intent.Intent(name, service))

    async def _confirm(self, plan: plans.Plan, operator: str) -> bool:
        """Confirms a plan once; returns whether to try again."""
        self.report.steps += 1
        entry = self._any_entry()
        try:
            confirmed = await entry.store.confirm(plan, operator, force=True)
        except exceptions.PlatformOutcomeUnknownError:
            self.report.unknown += 1
            self._doubtful.add(plan.plan_id)
            return not self._is_over
        except exceptions.OperatorError:
            self.report.conflicts += 1
            self.absent.add(plan.plan_id)
            return False
        except exceptions.PlatformUnavailableError:
            self.report.refused += 1
            if not self._is_over and self._draw(REPEAT_SHARE):
                return True
            self._refused.add(plan.plan_id)
            return False
        self.report.confirmed += not confirmed.repeated
        self.present.add(plan.plan_id)
        if self._draw(ANNOUNCE_SHARE):
            state = confirmed.state
            update = updates.from_document(state.group, state.document)
            entry.follower.apply_update(update)
        return False

    async def _inject(self) -> None:
        while not self._is_over:
            entry = self._any_entry()
            entry.injector.faults = self._draw_faults()
            conditions = self._fleet.network.conditions
            conditions.loss = self._random.choice(LOSSES)
            conditions.max_delay_ms = self._random.choice(MAX_DELAYS_MS)
            if self._draw(RESTART_SHARE):
                self.report.restarts += 1
                self._fleet.start(entry.entry_id)
            pause_ms = self._random.uniform(0, MAX_FAULT_MS)
            await self._clock.sleep_ms(pause_ms)

    def _draw_faults(self) -> faults.Faults:
        return self._random.choice(
            (
                faults.Faults(latency_ms=3.0),
                faults.Faults(outage=True),
                faults.Faults(latency_ms=300.0, dead_watches=True),
                faults.Faults(latency_ms=20.0, lost_answer_share=0.4),
                faults.Faults(latency_ms=1.0, lost_request_share=0.4),
                faults.Faults(refused_share=0.4, lost_answer_share=0.2),
            )
        )

    async def _watch_views(self) -> None:
        while not self._is_over:
            for entry in self._fleet.entries.values():
                watch = self._views.setdefault(
                    id(entry.view), config_invariants.ViewWatch(entry.view)
                )
                watch.check()
            await self._clock.sleep_ms(1.0)

    async def _settle(self) -> None:
        self._fleet.network.conditions.loss = 0.0
        self._fleet.set_faults(faults.Faults())
        await self._clock.sleep_ms(SETTLE_MS)
        for watch in self._views.values():
            watch.check()

    async def _check_end(self) -> None:
        store = self._any_entry().store
        trail = await audit.find(store, audit.AuditQuery(limit=10_000))
        config_invariants.check_trail(trail)
        plan_ids = {each.plan_id for each in trail}
        absent = self.absent | self._known_refused()
        if self.present - plan_ids or absent & plan_ids:
            raise invariants.InvariantError(
                "broken: what operators were told is what the trail says"
            )
        await self._check_views()
        counter = self._state.counter
        self.report.steps += sum(counter.admitted.values())
        self.report.writes = self._state.writes
        self.report.version_checks = sum(
            each.checks for each in self._views.values()
        )

    def _known_refused(self) -> set[str]:
        """Returns the plans that no confirmation can have put in force.

        Two operators who propose the same change hold the same plan.
        """
        return {
            plan_id
            for plan_id in self._refused - self._doubtful - self.present
            if self._planned[plan_id] == 1
        }

    async def _check_views(self) -> None:
        store = self._any_entry().store
        for group in range(groups.GROUP_COUNT):
            newest = (await store.read_group(group)).document
            for entry in self._fleet.entries.values():
                for name, each in newest.entries.items():
                    found = entry.view.service(name)
                    if found != each.versioned():
                        raise invariants.InvariantError(
                            f"broken: {entry.entry_id} has the newest {name}"
                        )

    def _any_entry(self) -> config_fleet.FleetEntry:
        return self._random.choice(list(self._fleet.entries.values()))

    def _draw(self, share: float) -> bool:
        return self._random.random() < share

    async def _pause(self) -> None:
        await self._clock.sleep_ms(self._random.uniform(0, MAX_PAUSE_MS))


def _service_names() -> list[str]:
    """Returns services that share a group, and one of another group."""
    names = [f"service-{number}" for number in range(1_000)]
    shared = [each for each in names if groups.group_of(each) == 0]
    other = next(each for each in names if groups.group_of(each) == 1)
    return [*shared[:SERVICES_IN_ONE_GROUP], other]


def _first_of(group: BaseExceptionGroup[BaseException]) -> BaseException:
    first: BaseException = group
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    return first
