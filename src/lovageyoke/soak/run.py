"""A whole run: callers, faults, and a last check that claims work again."""

from __future__ import annotations

import anyio
import attrs

from lovageyoke.clock import virtual
from lovageyoke.soak import change_invariants
from lovageyoke.soak import chaos as chaos_lib
from lovageyoke.soak import entry as entry_lib
from lovageyoke.soak import fleet as fleet_lib
from lovageyoke.soak import invariants
from lovageyoke.soak import operators as operators_lib

MS_PER_SECOND = 1_000.0
MAX_REQUEST_GAP_MS = 60.0
REPEAT_SHARE = 0.5
OLD_REPEAT_SHARE = 0.1
RECENT_IDENTITIES = 20
MAX_COPIES = 3
RETRY_SHARE = 0.6
MAX_RETRY_DELAY_MS = 1_000.0
OTHER_FINGERPRINT_SHARE = 0.02
RECOVERY_MS = 20_000.0
PROBE_TRIES = 5


@attrs.frozen
class Report:
    """Result of a run that broke no invariant.

    Attributes:
        seed: Its seed.
        steps: Steps taken.
        virtual_ms: Virtual time that passed, in milliseconds.
        counts: Steps by kind.
        faults: Injected faults by kind.
        checks: Checks by invariant.
        digest: Digest of all steps.
    """

    seed: int
    steps: int
    virtual_ms: float
    counts: dict[str, int]
    faults: dict[str, int]
    checks: dict[str, int]
    digest: str


def default_invariants() -> tuple[invariants.Invariant, ...]:
    """Returns fresh invariants for a run."""
    kinds = invariants.CLAIM_INVARIANTS + change_invariants.CHANGE_INVARIANTS
    return tuple(each() for each in kinds)


def run(seed: int, steps: int) -> Report:
    """Runs at least ``steps`` steps.

    Raises:
        InvariantError: An invariant was broken.
    """
    try:
        return anyio.run(
            _run,
            seed,
            steps,
            backend_options={"loop_factory": virtual.VirtualEventLoop},
        )
    except BaseExceptionGroup as group:
        broken = _first_error(group)
        raise broken from group


def _first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    matched, _ = group.split(invariants.InvariantError)
    error: BaseException = matched or group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


async def _run(seed: int, steps: int) -> Report:
    ledger = invariants.Ledger(default_invariants())
    async with anyio.create_task_group() as tasks:
        fleet = fleet_lib.Fleet(seed, tasks, ledger)
        async with fleet.network.running():
            callers = _Callers(fleet)
            fleet.start_all()
            chaos = chaos_lib.Chaos(fleet)
            tasks.start_soon(chaos.run)
            operators = operators_lib.Operators(fleet)
            tasks.start_soon(operators.run)
            await callers.run(steps)
            chaos.stopped = True
            operators.stopped = True
            await _check_recovery(fleet)
            await operators.read_trail()
            report = _report(seed, fleet)
            tasks.cancel_scope.cancel()
    return report


class _Callers:
    """Send requests, many of them repeats, to one or more entries.

    Attributes:
        fleet: The fleet.
        used: Identities in the order of their first use, with its time.
        attempts: Attempts sent so far.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self.fleet = fleet
        self.used: list[tuple[float, str]] = []
        self.attempts = 0
        fleet.on_not_run = self.retry

    async def run(self, steps: int) -> None:
        """Sends new requests until the run has had its steps."""
        rng = self.fleet.rng
        while self.fleet.trace.steps < steps:
            gap_ms = rng.uniform(0, MAX_REQUEST_GAP_MS)
            await anyio.sleep(gap_ms / MS_PER_SECOND)
            identity = _pick_identity(self.fleet, self.used)
            self._send(identity, rng.randint(1, MAX_COPIES))
        self.fleet.on_not_run = None

    def retry(self, identity: str) -> None:
        """Sends a request that was not run again, as many callers do."""
        if self.fleet.rng.random() < RETRY_SHARE:
            self.fleet.tasks.start_soon(self._retry, identity)

    async def _retry(self, identity: str) -> None:
        delay_ms = self.fleet.rng.uniform(0, MAX_RETRY_DELAY_MS)
        await anyio.sleep(delay_ms / MS_PER_SECOND)
        self._send(identity, 1)

    def _send(self, identity: str, copies: int) -> None:
        rng = self.fleet.rng
        names = sorted(self.fleet.entries)
        for name in rng.sample(names, min(len(names), copies)):
            self.attempts += 1
            other = rng.random() < OTHER_FINGERPRINT_SHARE
            fingerprint = "g" if other else "f"
            attempt_id = f"a{self.attempts}"
            self.fleet.entries[name].start(
                entry_lib.Request(identity, fingerprint, attempt_id)
            )


def _pick_identity(
    fleet: fleet_lib.Fleet, used: list[tuple[float, str]]
) -> str:
    rng = fleet.rng
    now_ms = fleet.clock.now_ms()
    oldest_ms = now_ms - entry_lib.RETENTION_MS
    while used and used[0][0] < oldest_ms:
        used.pop(0)
    if used and rng.random() < REPEAT_SHARE:
        if rng.random() < OLD_REPEAT_SHARE:
            return rng.choice(used)[1]
        return rng.choice(used[-RECENT_IDENTITIES:])[1]
    identity = f"i{fleet.trace.steps}"
    used.append((now_ms, identity))
    return identity


async def _check_recovery(fleet: fleet_lib.Fleet) -> None:
    """Requires that claims are granted again once faults have healed."""
    await anyio.sleep(RECOVERY_MS / MS_PER_SECOND)
    for name in sorted(fleet.entries):
        entry = fleet.entries[name]
        before = entry.log.stats.granted
        for number in range(PROBE_TRIES):
            identity = f"last {name} {number}"
            await entry.serve(entry_lib.Request(identity, "f", identity))
        if entry.log.stats.granted == before:
            raise invariants.InvariantError(f"{name} can't claim any more")


def _report(seed: int, fleet: fleet_lib.Fleet) -> Report:
    return Report(
        seed=seed,
        steps=fleet.trace.steps,
        virtual_ms=fleet.clock.now_ms(),
        counts=dict(sorted(fleet.trace.counts.items())),
        faults=dict(sorted(fleet.trace.faults.items())),
        checks=fleet.ledger.checks(),
        digest=fleet.trace.hexdigest(),
    )
