"""Messages to peers leave room on the links of small VMs."""

from __future__ import annotations

import pytest
from tests.fleet import conftest
from tests.fleet import reporting
from tests.fleet import scenarios
from testtools import matchers
from testtools.assertions import assert_that

from fakes import fleet as fleet_fake
from fakes import positions
from fakes import virtual_time
from lovageyoke.fleet import watching
from lovageyoke.store import revisions

DOMAINS = [82, 12, 12]
LARGE = 215  # Capacities in percent of a core.
SMALL = 43
LINKS = {LARGE: 12_500_000.0, SMALL: 625_000.0}  # In bytes per second.
LEAVING = reporting.UPSTREAMS[:20]
# An entry with its address, times and counters has about this size.
VALUE_BYTES = 200
DRAINING = b"draining".ljust(VALUE_BYTES)
WITHOUT_LARGE_MS = 1_500.0  # Until a small VM collects.
REGISTERED = reporting.UPSTREAMS[:130]
REGISTER_MS = 50.0  # Between two batches of them.
BATCH = 4
SETTLED_MS = 4_000.0
DRAIN_BOUND_MS = 2_500.0  # Also that of a configuration.


def fleet_without_large_vms() -> fleet_fake.Fleet:
    """Returns a fleet whose first domain has just lost its large VMs."""
    fleet = scenarios.fleet_of(
        DOMAINS,
        upstreams=reporting.UPSTREAMS,
        large_each=reporting.LARGE_EACH,
        loss=0.01,
        links=LINKS,
    )
    reporting.Reports(fleet).start()
    for each in fleet.processes:
        if each.domain == "domain-0" and each.capacity == LARGE:
            each.stop()
    fleet.run(WITHOUT_LARGE_MS)
    return fleet


def drain_batch(fleet: fleet_fake.Fleet, watcher: fleet_fake.Process) -> None:
    revision = max(each.replica.position.revision for each in fleet.running())
    changes = [
        revisions.Change(
            f"up/{name}", positions.at(revision + 1 + index), DRAINING
        )
        for index, name in enumerate(LEAVING)
    ]
    fleet.deliver_changes(watcher, *changes)


def knows_batch(process: fleet_fake.Process) -> bool:
    return not process.upstreams.intersection(LEAVING)


@pytest.mark.parametrize("watcher_domain", ["domain-0", "domain-1"])
def test_a_domain_without_large_vms_learns_of_changes_in_time(
    watcher_domain: str,
) -> None:
    fleet = fleet_without_large_vms()
    watcher = next(
        each
        for each in reversed(fleet.running())
        if each.domain == watcher_domain
    )
    drain_batch(fleet, watcher)
    scenarios.configure(fleet, watcher, 2)
    fleet.run_until(
        lambda: (
            all(map(knows_batch, fleet.running()))
            and scenarios.all_at_version(fleet, 2)
        ),
        scenarios.CHANGE_BOUND_MS,
    )


def test_a_small_collector_stays_within_its_link() -> None:
    fleet = fleet_without_large_vms()
    fleet.sent_bytes.clear()
    for each in fleet.processes:
        each.uplink.lost = 0
    fleet.run(1_000.0)
    small = [each for each in fleet.running() if each.capacity == SMALL]
    most = max(fleet.sent_bytes.get(each.address, 0) for each in small)
    assert_that(most, matchers.LessThan(LINKS[SMALL]))
    assert_that(sum(each.uplink.lost for each in small), matchers.Equals(0))
    assert_that(fleet.collectors("domain-0"), matchers.HasLength(1))


def test_a_start_of_all_does_not_choke_the_links() -> None:
    store = virtual_time.SharedStore()
    store.put("config", b"1")
    fleet = fleet_fake.Fleet(
        conftest.LAYOUT,
        DOMAINS,
        large_each=reporting.LARGE_EACH,
        loss=0.01,
        store=store,
        links=LINKS,
    )
    most_collecting = 0
    fleet.run(1_000.0)
    # The upstreams register while the processes get to know each other.
    for start in range(0, len(REGISTERED), BATCH):
        for name in REGISTERED[start : start + BATCH]:
            store.put(f"up/{name}", b"x".ljust(VALUE_BYTES))
        fleet.run(REGISTER_MS)
        collecting = len(fleet.collectors("domain-0"))
        most_collecting = max(most_collecting, collecting)
    assert_that(most_collecting, matchers.LessThan(4))
    fleet.run_until(
        lambda: all(
            each.upstreams == set(REGISTERED) for each in fleet.running()
        ),
        scenarios.CHANGE_BOUND_MS,
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_leavings_reach_all_when_collectors_and_watchers_have_just_failed(
    seed: int,
) -> None:
    store = virtual_time.SharedStore()
    store.put("config", b"1")
    for name in REGISTERED:
        store.put(f"up/{name}", b"x".ljust(VALUE_BYTES))
    fleet = fleet_fake.Fleet(
        conftest.LAYOUT,
        [37, 38, 45],
        seed=seed,
        large_each=reporting.LARGE_EACH,
        loss=0.02,
        period_ms=60.0,
        store=store,
        links=LINKS,
    )
    fleet.run(SETTLED_MS)
    now_ms = fleet.clock.now_ms()
    for each in fleet.running():
        watches = watching.should_watch(each.node.members, now_ms, 0.0, True)
        collects = each.domain == "domain-0" and each.capacity == LARGE
        if watches or collects:
            each.stop()
    fleet.run(100.0)
    for name in LEAVING[:11]:
        store.put(f"up/{name}", DRAINING)
    store.put("config", b"2")
    fleet.run_until(
        lambda: (
            all(
                not each.upstreams.intersection(LEAVING[:11])
                for each in fleet.running()
            )
            and scenarios.all_at_version(fleet, 2)
        ),
        DRAIN_BOUND_MS,
    )
