"""Changes that a heartbeat does not carry reach every process."""

from __future__ import annotations

import random

import pytest
from tests.fleet import conftest
from tests.fleet import scenarios
from testtools import matchers
from testtools.assertions import assert_that

from fakes import fleet as fleet_fake
from fakes import manual_clock
from fakes import positions
from fakes import revision_store
from lovageyoke.fleet import changes
from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.fleet import snapshot
from lovageyoke.store import revisions

MANY = [f"u{index:04}" for index in range(140)]
LONG_DRAINING = b"draining".ljust(200)  # As long as a real entry.


def drain_all(fleet: fleet_fake.Fleet, watcher: fleet_fake.Process) -> None:
    """Drains all upstreams at once, too many for one heartbeat."""
    revision = max(each.replica.position.revision for each in fleet.running())
    events = tuple(
        revisions.Change(
            f"up/{name}", positions.at(revision + 1 + index), b"draining"
        )
        for index, name in enumerate(MANY)
    )
    size = sum(len(each.key) + len(each.value or b"") for each in events)
    assert_that(size, matchers.GreaterThan(changes.MAX_CHANGES_BYTES))
    fleet.deliver_changes(watcher, *events)


async def test_a_peer_that_missed_the_same_change_does_not_hide_the_gap(
    harness: conftest.FollowerHarness,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    replica = harness.replica
    known = replica.position.revision
    newer = heartbeat_of("n2", revision=known + 9, since_revision=known + 4)
    replica.apply_heartbeat(newer, clock.now_ms())
    gap_ms = clock.now_ms()
    clock.advance(fleet_replica.READ_GAP_MS)
    same = heartbeat_of("n3", revision=known, since_revision=known)
    replica.apply_heartbeat(same, clock.now_ms())
    behind_ms = replica.behind_since_ms(clock.now_ms())
    assert_that(behind_ms, matchers.Equals(gap_ms))


async def test_a_gap_ends_with_the_changes_up_to_it(
    harness: conftest.FollowerHarness,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    replica = harness.replica
    known = replica.position.revision
    newer = heartbeat_of("n2", revision=known + 9, since_revision=known + 4)
    replica.apply_heartbeat(newer, clock.now_ms())
    partial = heartbeat_of("n3", revision=known + 3, since_revision=known)
    replica.apply_heartbeat(partial, clock.now_ms())
    clock.advance(fleet_replica.READ_GAP_MS)
    behind_ms = replica.behind_since_ms(clock.now_ms())
    assert_that(behind_ms, matchers.Not(matchers.Is(None)))
    replica.apply_heartbeat(
        heartbeat_of("n3", revision=known + 4, since_revision=known + 3),
        clock.now_ms(),
    )
    behind_ms = replica.behind_since_ms(clock.now_ms())
    assert_that(behind_ms, matchers.Is(None))


async def test_a_revision_that_the_store_lacks_is_not_read_in_a_loop(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    replica = harness.replica
    wrong = heartbeat_of(
        revision=store.revision + 1_000, since_revision=store.revision + 999
    )
    replica.apply_heartbeat(wrong, clock.now_ms())
    clock.advance(fleet_follower.PEER_TIMEOUT_MS)
    await harness.follower.step()
    assert_that(store.call_names[-2:], matchers.Equals(["list", "list"]))
    await harness.follower.step()
    assert_that(store.call_names[-1], matchers.Equals("watch"))


async def test_snapshots_do_not_hide_a_configuration_too_large_for_them(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    harness.has_peer = True
    replica = harness.replica
    store.put("config", b"4")
    (part,) = snapshot.pack(
        snapshot.Snapshot(positions.at(store.revision), 0, ())
    )
    newer = heartbeat_of(configuration_version=4)
    replica.apply_heartbeat(newer, clock.now_ms())
    assert_that(replica.behind_since_ms(clock.now_ms()), matchers.Is(None))
    outdated_ms = clock.now_ms()
    for _ in range(5):
        clock.advance(fleet_follower.REQUEST_GAP_MS)
        replica.add_snapshot_part(part, clock.now_ms())
    behind_ms = replica.behind_since_ms(clock.now_ms())
    assert_that(behind_ms, matchers.Equals(outdated_ms))
    await harness.follower.step()
    assert_that(harness.versions, matchers.Equals([3, 4]))


@pytest.mark.parametrize(
    "domains",
    [scenarios.SMALL, [40, 40, 40], scenarios.LARGE],
    ids=["14", "120", "311"],
)
def test_changes_too_many_for_a_heartbeat_reach_all_within_the_bound(
    domains: list[int],
) -> None:
    fleet = scenarios.fleet_of(domains, upstreams=MANY, loss=0.01)
    drain_all(fleet, fleet.processes[-1])
    fleet.run_until(
        lambda: not any(each.upstreams for each in fleet.running()),
        scenarios.CHANGE_BOUND_MS,
    )


def snapshot_bytes(fleet: fleet_fake.Fleet) -> int:
    return sum(
        each.messenger.link.sent_bytes.get("snapshots", 0)
        for each in fleet.processes
    )


@pytest.mark.parametrize(
    "domains", [scenarios.SMALL, [40, 40, 40]], ids=["14", "120"]
)
def test_leavings_of_a_batch_reach_all_without_a_snapshot(
    domains: list[int],
) -> None:
    fleet = scenarios.fleet_of(domains, upstreams=MANY)
    before = snapshot_bytes(fleet)
    leaving = MANY[:20]
    revision = max(each.replica.position.revision for each in fleet.running())
    events = [
        revisions.Change(
            f"up/{name}", positions.at(revision + 1 + index), LONG_DRAINING
        )
        for index, name in enumerate(leaving)
    ]
    fleet.deliver_changes(fleet.processes[-1], *events)
    fleet.run_until(
        lambda: (
            not any(
                each.upstreams.intersection(leaving) for each in fleet.running()
            )
        ),
        500.0,
    )
    assert_that(snapshot_bytes(fleet), matchers.Equals(before))


@pytest.mark.parametrize("seed", range(3))
def test_all_processes_agree_after_batches_of_changes_under_loss(
    seed: int,
) -> None:
    fleet = scenarios.fleet_of(
        [20, 15, 10], upstreams=MANY, seed=seed, loss=0.05, duplicates=0.05
    )
    rng = random.Random(seed)  # noqa: S311
    watchers = rng.sample(fleet.processes, 2)
    expected = set(MANY)
    revision = max(each.replica.position.revision for each in fleet.running())
    for _ in range(8):
        batch = []
        for name in rng.sample(MANY, rng.randint(1, len(MANY))):
            revision += 1
            value = rng.choice([b"x", b"draining", None])
            batch.append(
                revisions.Change(f"up/{name}", positions.at(revision), value)
            )
            expected.discard(name)
            if value == b"x":
                expected.add(name)
        for watcher in watchers:
            fleet.deliver_changes(watcher, *batch)
            fleet.run(rng.uniform(0.0, 400.0))
    fleet.run_until(
        lambda: all(each.upstreams == expected for each in fleet.running()),
        scenarios.CHANGE_BOUND_MS,
    )
    scenarios.check_monotonic(fleet)
