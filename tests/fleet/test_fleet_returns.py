"""A whole fleet follows a store that returns from an older copy."""

from __future__ import annotations

import attrs
import pytest
from tests.fleet import conftest
from tests.fleet import scenarios
from testtools import matchers
from testtools.assertions import assert_that

from fakes import fleet as fleet_fake
from fakes import virtual_time
from lovageyoke.errors import exceptions

UPSTREAMS = [f"u{index:03}" for index in range(34)]
SIZES = [[6, 5, 5], [50, 40, 40], scenarios.LARGE]
SIZE_IDS = ["16", "130", "311"]
START_MS = 6_000.0
COPY_AGE_MS = 5_000.0
OUTAGE_MS = 2_000.0
RESTART_GAP_MS = 300.0  # Between two processes.
RESTART_MS = 500.0
MAX_CALLS_PER_S = 200  # Without watches; a store serves 2,000 reads a second.
MAX_REPEATED_CALLS_PER_S = 50  # Of a fleet of 16.
LEFT = "u003"  # Left after the copy was made.
CAME = "new"  # Registered after the copy was made.


@attrs.define
class Drill:
    """A fleet and its store, which is away and returns from a copy."""

    fleet: fleet_fake.Fleet
    store: virtual_time.SharedStore

    def run_to_return(self) -> None:
        """Runs until the store is back; all its latest writes are lost."""
        copy = self.store.copy()
        self.store.put("config", b"2")
        self.store.put(f"up/{LEFT}", b"draining")
        self.store.put(f"up/{CAME}", b"x")
        self.fleet.run(COPY_AGE_MS)
        assert_that(self.all_at(2), matchers.Equals(True))
        self.store.error = exceptions.PlatformUnavailableError("away")
        self.fleet.run(OUTAGE_MS)
        self.store.error = None
        self.store.restore(copy)
        self.store.totals.clear()

    def write_again(self) -> None:
        """Writes what was lost, and a newer configuration."""
        self.store.put("config", b"2")
        self.store.put(f"up/{LEFT}", b"draining")
        self.store.put(f"up/{CAME}", b"x")
        self.store.put("config", b"3")

    def all_at(self, version: int) -> bool:
        expected = {*UPSTREAMS, CAME} - {LEFT}
        return scenarios.all_at_version(self.fleet, version) and all(
            each.upstreams == expected for each in self.fleet.running()
        )

    def all_know_the_position(self) -> bool:
        return all(
            each.replica.position == self.store.position
            for each in self.fleet.running()
        )


@pytest.fixture
def drill(request: pytest.FixtureRequest) -> Drill:
    store = virtual_time.SharedStore()
    store.put("config", b"1")
    for name in UPSTREAMS:
        store.put(f"up/{name}", b"x")
    fleet = fleet_fake.Fleet(
        conftest.LAYOUT, request.param, loss=0.01, store=store
    )
    fleet.run(START_MS)
    return Drill(fleet, store)


@pytest.mark.parametrize("drill", SIZES, ids=SIZE_IDS, indirect=True)
def test_changes_after_a_return_reach_all_in_time(drill: Drill) -> None:
    # Guards against processes that keep to the lost history, and against a
    # read of the store by each process at the same time.
    drill.run_to_return()
    drill.write_again()
    drill.fleet.run_until(
        lambda: drill.all_at(3) and drill.all_know_the_position(),
        scenarios.CHANGE_BOUND_MS,
    )
    calls = drill.store.totals.total() - drill.store.totals["watch"]
    assert_that(calls, matchers.LessThan(MAX_CALLS_PER_S))
    scenarios.check_monotonic(drill.fleet)


def calls_in_a_second(drill: Drill) -> int:
    drill.store.totals.clear()
    drill.fleet.run(1_000.0)
    return drill.store.totals.total()


@pytest.mark.parametrize("drill", SIZES[:1], ids=SIZE_IDS[:1], indirect=True)
def test_a_store_that_never_has_the_history_is_not_read_in_a_loop(
    drill: Drill,
) -> None:
    # Guards against several hundred calls a second while each watch gets 410.
    drill.store.compacted_revision = 1_000_000
    drill.fleet.run(2_000.0)
    calls = calls_in_a_second(drill)
    assert_that(calls, matchers.LessThan(MAX_REPEATED_CALLS_PER_S))


@pytest.mark.parametrize("drill", SIZES[:1], ids=SIZE_IDS[:1], indirect=True)
def test_a_store_that_answers_in_an_earlier_era_is_not_asked_in_a_loop(
    drill: Drill,
) -> None:
    # Guards against calls without a pause to a copy that serves beside the
    # restored store.
    drill.run_to_return()
    drill.fleet.run(1_000.0)
    drill.store.era -= 1
    drill.fleet.run(2_000.0)
    calls = calls_in_a_second(drill)
    assert_that(calls, matchers.LessThan(MAX_REPEATED_CALLS_PER_S))


def restart_in_turn(drill: Drill) -> None:
    """Schedules a restart of each process, a few at a time."""
    for index, process in enumerate(drill.fleet.processes):
        after_ms = index * RESTART_GAP_MS
        drill.fleet.schedule(after_ms, process.stop)
        drill.fleet.schedule(after_ms + RESTART_MS, process.start)


@pytest.mark.parametrize("drill", SIZES[:1], ids=SIZE_IDS[:1], indirect=True)
def test_a_return_during_a_rolling_restart_is_followed(drill: Drill) -> None:
    # Guards against processes that start between the outage and the return
    # and take the lost history from their peers.
    drill.fleet.schedule(COPY_AGE_MS, lambda: restart_in_turn(drill))
    drill.run_to_return()
    drill.write_again()
    drill.fleet.run(len(drill.fleet.processes) * RESTART_GAP_MS + RESTART_MS)
    drill.fleet.run_until(
        lambda: drill.all_at(3) and drill.all_know_the_position(),
        scenarios.JOIN_BOUND_MS,
    )
    scenarios.check_monotonic(drill.fleet)


@pytest.mark.parametrize("drill", SIZES[:1], ids=SIZE_IDS[:1], indirect=True)
def test_domains_cut_off_from_the_store_follow_a_return(drill: Drill) -> None:
    # Guards against a domain whose collector knows the lost history only.
    lost = drill.fleet.processes[6:11]
    own_store = virtual_time.SharedStore()
    own_store.error = exceptions.PlatformUnavailableError("cut off")
    for each in lost:
        each.follower.store = own_store
    drill.run_to_return()
    drill.write_again()
    drill.fleet.run_until(
        lambda: drill.all_at(3) and drill.all_know_the_position(),
        scenarios.CHANGE_BOUND_MS,
    )
