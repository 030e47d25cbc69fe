"""Simulated fleets in virtual time and checks of their state.

The time bounds are those of the deployments, less the time that the store
takes to deliver a change.
"""

from __future__ import annotations

from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import fleet as fleet_fake
from fakes import positions
from lovageyoke.store import revisions

CHANGE_BOUND_MS = 1_500.0
FAILURE_BOUND_MS = 4_000.0
JOIN_BOUND_MS = 3_000.0
UPSTREAMS = [f"u{index}" for index in range(12)]
SMALL = [6, 5, 3]
LARGE = [67, 62, 54, 61, 67]
SIZES = [SMALL, LARGE]
SIZE_IDS = ["14", "311"]
FAULT_SIZES = [SMALL, [20, 20, 20]]
FAULT_IDS = ["14", "60"]
LARGE_PERIOD_MS = 200.0  # Requests take about 1 s in large deployments.


def fleet_of(
    domains: list[int],
    *,
    upstreams: list[str] = UPSTREAMS,
    **options: object,
) -> fleet_fake.Fleet:
    if domains == LARGE:
        options.setdefault("period_ms", LARGE_PERIOD_MS)
    made = fleet_fake.Fleet(conftest.LAYOUT, domains, **options)  # type: ignore[arg-type]
    made.populate(upstreams)
    made.run(2_000.0)
    return made


def drain(fleet: fleet_fake.Fleet, watcher: fleet_fake.Process) -> None:
    revision = (
        max(each.replica.position.revision for each in fleet.running()) + 1
    )
    event = revisions.Change("up/u3", positions.at(revision), b"draining")
    fleet.deliver_changes(watcher, event)


def configure(
    fleet: fleet_fake.Fleet, watcher: fleet_fake.Process, version: int
) -> None:
    revision = (
        max(each.replica.position.revision for each in fleet.running()) + 1
    )
    event = revisions.Change(
        "config", positions.at(revision), str(version).encode()
    )
    fleet.deliver_changes(watcher, event)


def all_drained(fleet: fleet_fake.Fleet) -> bool:
    return all("u3" not in each.upstreams for each in fleet.running())


def all_at_version(fleet: fleet_fake.Fleet, version: int) -> bool:
    return all(
        each.versions and each.versions[-1] == version
        for each in fleet.running()
    )


def all_converged(fleet: fleet_fake.Fleet) -> bool:
    living = {each.node_id for each in fleet.running()}
    return all(each.live_ids() == living for each in fleet.running())


def check_monotonic(fleet: fleet_fake.Fleet) -> None:
    for each in fleet.processes:
        assert_that(each.versions, matchers.Equals(sorted(each.versions)))
        assert_that(each.revisions, matchers.Equals(sorted(each.revisions)))
