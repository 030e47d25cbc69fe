"""A store that is restored from an older copy is followed again at once.

It loses its latest writes, enters a new era and assigns their revisions again.
"""

from __future__ import annotations

import anyio
import pytest
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import manual_clock
from fakes import positions
from fakes import revision_store
from lovageyoke.errors import exceptions
from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import messages
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.fleet import snapshot
from lovageyoke.store import revisions

pytestmark = pytest.mark.anyio

LOST_WRITES = 12


@pytest.fixture
async def returned(
    store: revision_store.RevisionStore, harness: conftest.FollowerHarness
) -> conftest.FollowerHarness:
    """A follower whose store has lost the writes that it knows."""
    await harness.start_alone()
    copy = store.copy()
    for version in range(4, 4 + LOST_WRITES):
        store.put("config", str(version).encode())
    await harness.follower.step()
    store.restore(copy)
    return harness


def other_process(
    store: revision_store.RevisionStore, harness: conftest.FollowerHarness
) -> conftest.FollowerHarness:
    return conftest.FollowerHarness(
        store, harness.follower.members, harness.clock, harness.replica.log
    )


def parts_of(
    replica: fleet_replica.Replica, clock: manual_clock.ManualClock
) -> list[messages.SnapshotPart]:
    request = messages.SnapshotRequest(positions.at(0))
    return [
        each
        for each in replica.snapshot_for(request, clock.now_ms())
        if isinstance(each, messages.SnapshotPart)
    ]


async def test_changes_below_the_former_revision_are_applied(
    store: revision_store.RevisionStore, returned: conftest.FollowerHarness
) -> None:
    # Guards against review/11: draining upstreams got requests, and new ones
    # none, until the store had passed its former revision.
    await returned.follower.step()
    store.put("up/u1", b"draining")
    store.put("up/u3", b"x")
    await returned.follower.step()
    assert_that(returned.draining, matchers.Equals(["u1"]))
    assert_that(returned.upstreams, matchers.Equals(["u1", "u2", "u3"]))


async def test_a_watch_is_not_continued_in_another_history(
    store: revision_store.RevisionStore, returned: conftest.FollowerHarness
) -> None:
    # Guards against a store that passes its former revision before the next
    # watch, so that no 410 tells of its return.
    store.put("up/u1", b"draining")
    for index in range(LOST_WRITES):
        store.put(f"up/x{index}", b"x")
    await returned.follower.step()
    assert_that(returned.draining, matchers.Equals(["u1"]))
    assert_that(returned.upstreams, matchers.HasLength(LOST_WRITES + 2))


async def test_the_version_in_force_outlasts_a_return(
    store: revision_store.RevisionStore, returned: conftest.FollowerHarness
) -> None:
    # Guards against a configuration of the copy that replaces a newer one.
    newest = returned.versions[-1]
    await returned.follower.step()
    store.put("config", str(newest).encode())
    store.put("config", str(newest + 1).encode())
    await returned.follower.step()
    assert_that(returned.versions[-2:], matchers.Equals([newest, newest + 1]))


async def step_through_pauses(harness: conftest.FollowerHarness) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(harness.follower.step)
        await anyio.wait_all_tasks_blocked()
        harness.clock.advance(2.0 * fleet_follower.RETRY_MAX_MS)


@pytest.mark.parametrize("watches_between", [False, True])
async def test_two_returns_in_a_row_are_followed(
    store: revision_store.RevisionStore,
    returned: conftest.FollowerHarness,
    *,
    watches_between: bool,
) -> None:
    # Guards against a return to a copy of the time before the last return.
    copy = store.copy()
    store.put("up/u3", b"x")
    await returned.follower.step()
    if watches_between:
        await returned.follower.step()
    store.restore(copy)
    await step_through_pauses(returned)
    store.put("up/u4", b"x")
    await returned.follower.step()
    assert_that(returned.upstreams, matchers.Contains("u4"))
    assert_that(returned.replica.returns, matchers.Equals(2))
    assert_that(returned.replica.position, matchers.Equals(store.position))


async def test_an_answer_of_an_earlier_era_changes_nothing(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    # Guards against a read or watch that is answered after the return is known.
    await harness.start_alone()
    replica = harness.replica
    copy = store.copy()
    store.put("up/u9", b"x")
    late_reads = [await store.list_items(each) for each in ("up/", "config")]
    late_watch = await store.watch("", replica.position, 0.0)
    store.restore(copy)
    store.put("up/u3", b"x")
    await harness.follower.step()
    fresh_ms = replica.fresh_ms
    clock.advance(10.0)
    replica.apply_read(*late_reads, clock.now_ms(), stale=False)
    replica.apply_watch(late_watch, clock.now_ms())
    assert_that(replica.position, matchers.Equals(store.position))
    assert_that(replica.fresh_ms, matchers.Equals(fresh_ms))
    assert_that(harness.upstreams, matchers.Equals(["u1", "u2", "u3"]))


async def test_reads_of_two_eras_are_not_combined(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a return between the two reads of a start.
    copy = store.copy()
    store.put("up/u9", b"x")
    read = store.list_items

    async def list_items(prefix: str, stale: bool = False) -> revisions.Listing:
        listing = await read(prefix, stale)
        if store.era == positions.ERA:
            store.restore(copy)
            store.put("up/u3", b"x")
        return listing

    monkeypatch.setattr(store, "list_items", list_items)
    await harness.start_alone()
    assert_that(harness.upstreams, matchers.Equals(["u1", "u2", "u3"]))
    assert_that(harness.replica.position, matchers.Equals(store.position))


async def test_returns_during_each_read_end_it_with_an_error(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a read that never ends.
    read = store.list_items

    async def list_items(prefix: str, stale: bool = False) -> revisions.Listing:
        store.restore(store.copy())
        return await read(prefix, stale)

    monkeypatch.setattr(store, "list_items", list_items)
    with pytest.raises(exceptions.PlatformUnavailableError):
        await harness.start_alone()


async def test_a_process_learns_of_a_return_from_its_peers(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    # Guards against a process that can't reach the store and keeps to the
    # history that was lost, as its revision is the higher one.
    await harness.start_alone()
    copy = store.copy()
    store.put("up/u9", b"x")
    await harness.follower.step()
    store.restore(copy)
    peer = other_process(store, harness)
    await peer.start_alone()
    known = peer.replica.position
    heartbeat = heartbeat_of(
        revision=known.revision, since_revision=known.revision, era=known.era
    )
    assert_that(harness.replica.is_behind(heartbeat), matchers.Equals(True))
    harness.replica.apply_heartbeat(heartbeat, clock.now_ms())
    clock.advance(fleet_replica.READ_GAP_MS)
    harness.has_peer = True
    harness.follower.request_missed_changes()
    assert_that(harness.asked, matchers.Equals([known.revision]))
    for part in parts_of(peer.replica, clock):
        harness.replica.add_snapshot_part(part, clock.now_ms())
    assert_that(harness.replica.position, matchers.Equals(known))
    behind_ms = harness.replica.behind_since_ms(clock.now_ms())
    assert_that(behind_ms, matchers.Is(None))


async def test_a_peer_of_an_earlier_era_changes_nothing(
    store: revision_store.RevisionStore,
    returned: conftest.FollowerHarness,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    # Guards against a collector that doesn't know of the return, and against
    # a snapshot that was begun before the return and arrives after it.
    old_parts = parts_of(returned.replica, clock)
    old = returned.replica.position
    await returned.follower.step()
    replica = returned.replica
    fresh_ms = replica.fresh_ms
    clock.advance(10.0)
    heartbeat = heartbeat_of(
        revision=old.revision + 1,
        since_revision=old.revision,
        changes=(messages.EntryChange("up/u1", old, None),),
    )
    replica.apply_heartbeat(heartbeat, clock.now_ms())
    for part in old_parts:
        replica.add_snapshot_part(part, clock.now_ms())
    assert_that(replica.position, matchers.Equals(store.position))
    assert_that(replica.fresh_ms, matchers.Equals(fresh_ms))
    assert_that(returned.upstreams, matchers.Equals(["u1", "u2"]))
    assert_that(
        replica.snapshot_for(
            messages.SnapshotRequest(store.position), clock.now_ms()
        ),
        matchers.Not(matchers.Equals([])),
    )


async def test_parts_of_two_eras_are_not_joined(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    # Guards against a snapshot in parts during which the store returns.
    for index in range(snapshot.PART_ENTRIES):
        store.put(f"up/x{index:03}", b"x")
    sender = other_process(store, harness)
    await sender.start_alone()
    old = parts_of(sender.replica, clock)
    copy = store.copy()
    store.restore(copy)
    await sender.follower.step()
    new = parts_of(sender.replica, clock)
    for part in (old[0], new[1], old[1]):
        harness.replica.add_snapshot_part(part, clock.now_ms())
    assert_that(harness.replica.listed, matchers.Equals(False))
    harness.replica.add_snapshot_part(new[0], clock.now_ms())
    assert_that(harness.replica.position, matchers.Equals(store.position))


async def test_a_process_that_starts_takes_the_new_era_from_its_peers(
    store: revision_store.RevisionStore,
    returned: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    # Guards against a restart that takes the lost history from the peers with
    # the highest revision: 0 of 71 requests were served (review/11).
    old_parts = parts_of(returned.replica, clock)
    await returned.follower.step()
    new_parts = parts_of(returned.replica, clock)
    for order in ((old_parts, new_parts), (new_parts, old_parts)):
        started = other_process(store, returned)
        for parts in order:
            for part in parts:
                started.replica.add_snapshot_part(part, clock.now_ms())
        assert_that(started.replica.position, matchers.Equals(store.position))


async def test_a_store_that_states_no_era_is_followed(
    store: revision_store.RevisionStore, harness: conftest.FollowerHarness
) -> None:
    store.era = -1
    store.restore(store.copy())
    await harness.start_alone()
    store.put("up/u1", b"draining")
    await harness.follower.step()
    assert_that(harness.draining, matchers.Equals(["u1"]))
    assert_that(harness.replica.returns, matchers.Equals(0))


async def test_an_era_that_becomes_known_is_entered(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    # Guards against a process that keeps to the state of a peer whose version
    # knows no eras.
    harness.replica.add_snapshot_part(
        snapshot.pack(snapshot.Snapshot(positions.at(99, 0), 0, ()))[0],
        clock.now_ms(),
    )
    assert_that(harness.replica.listed, matchers.Equals(True))
    clock.advance(fleet_follower.DISCOVERY_MS)
    await harness.follower.read_all(stale=False)
    assert_that(harness.upstreams, matchers.Equals(["u1", "u2"]))
    assert_that(harness.replica.position, matchers.Equals(store.position))
