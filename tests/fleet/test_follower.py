"""A process follows the store, either directly or through its peers."""

from __future__ import annotations

import zlib

import pytest
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import manual_clock
from fakes import positions
from fakes import revision_store
from lovageyoke.errors import exceptions
from lovageyoke.fleet import changes as fleet_changes
from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.fleet import snapshot
from lovageyoke.fleet import watching

pytestmark = pytest.mark.anyio


async def test_a_start_uses_stale_reads_and_then_watches(
    store: revision_store.RevisionStore, harness: conftest.FollowerHarness
) -> None:
    await harness.start_alone()
    assert_that(harness.versions, matchers.Equals([3]))
    assert_that(harness.upstreams, matchers.Equals(["u1", "u2"]))
    store.put("up/u2", b"draining")
    store.put("config", b"5")
    await harness.follower.step()
    calls = ["stale-list", "stale-list", "watch"]
    assert_that(store.call_names, matchers.Equals(calls))
    assert_that(harness.draining, matchers.Equals(["u2"]))
    assert_that(harness.versions, matchers.Equals([3, 5]))
    assert_that(harness.change_count, matchers.Equals(1))


async def test_a_start_with_peers_makes_no_store_call(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    harness.has_peer = True
    clock.advance(fleet_follower.DISCOVERY_MS)
    follower = harness.follower
    assert_that(
        follower.request_snapshot(clock.now_ms()), matchers.Equals(True)
    )
    assert_that(harness.asked, matchers.Equals([0]))
    # The answer is pending, so no second request is sent yet.
    assert_that(
        follower.request_snapshot(clock.now_ms()), matchers.Equals(True)
    )
    assert_that(harness.asked, matchers.HasLength(1))
    update = messages.ConfigurationUpdate(3, 2, zlib.compress(b"3"))
    harness.replica.configurations.apply_update(update)
    upstream = conftest.decode_upstream("up/u9", b"x")
    whole = snapshot.Snapshot(
        positions.at(9),
        5,
        (snapshot.Entry("up/u9", positions.at(4), upstream),),
    )
    for part in snapshot.pack(whole):
        harness.replica.add_snapshot_part(part, clock.now_ms())
    assert_that(harness.replica.is_complete, matchers.Equals(True))
    assert_that(harness.upstreams, matchers.Equals(["u9"]))
    assert_that(harness.replica.position.revision, matchers.Equals(9))
    age_ms = harness.replica.staleness_ms(clock.now_ms())
    assert_that(age_ms, matchers.Equals(5))
    assert_that(store.call_names, matchers.Equals([]))


async def test_a_start_without_answer_from_peers_reads_the_store(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    harness.has_peer = True
    clock.advance(harness.follower.bootstrap_timeout_ms)
    await harness.follower.step()
    assert_that(harness.upstreams, matchers.Equals(["u1", "u2"]))
    assert_that(store.call_names[0], matchers.Equals("stale-list"))


async def test_a_watcher_sends_a_new_configuration_to_all(
    store: revision_store.RevisionStore, harness: conftest.FollowerHarness
) -> None:
    await harness.start_alone()
    harness.sent.clear()
    store.put("config", b"5")
    await harness.follower.step()
    ((update, from_peer),) = harness.sent
    assert_that(from_peer, matchers.Equals(False))
    assert_that(update.version, matchers.Equals(5))
    assert_that(zlib.decompress(update.packed), matchers.Equals(b"5"))


async def test_a_configuration_from_a_peer_is_forwarded_as_such(
    harness: conftest.FollowerHarness,
) -> None:
    await harness.start_alone()
    harness.sent.clear()
    update = messages.ConfigurationUpdate(5, 9, zlib.compress(b"5"))
    harness.replica.configurations.apply_update(update)
    harness.replica.configurations.apply_update(update)
    ((_, from_peer),) = harness.sent
    assert_that(from_peer, matchers.Equals(True))


async def test_an_older_configuration_is_never_applied(
    harness: conftest.FollowerHarness,
) -> None:
    await harness.start_alone()
    old = messages.ConfigurationUpdate(2, 1, zlib.compress(b"2"))
    harness.replica.configurations.apply_update(old)
    broken = messages.ConfigurationUpdate(9, 1, b"no zlib")
    harness.replica.configurations.apply_update(broken)
    assert_that(harness.versions, matchers.Equals([3]))


async def test_a_compacted_history_causes_a_full_read(
    store: revision_store.RevisionStore, harness: conftest.FollowerHarness
) -> None:
    await harness.start_alone()
    store.remove("up/u1")
    store.compacted_revision = store.revision
    await harness.follower.step()
    assert_that(store.call_names[-2:], matchers.Equals(["list", "list"]))
    assert_that(harness.upstreams, matchers.Equals(["u2"]))


async def test_changes_are_applied_from_heartbeats(
    harness: conftest.FollowerHarness,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    replica = harness.replica
    change = messages.EntryChange(
        "up/u1", positions.at(replica.position.revision + 1), None
    )
    news = replica.apply_heartbeat(
        heartbeat_of(
            revision=replica.position.revision + 1,
            since_revision=replica.position.revision,
            changes=(change,),
            fresh_age_ms=7,
        ),
        clock.now_ms(),
    )
    assert_that(news, matchers.Equals(True))
    assert_that(harness.upstreams, matchers.Equals(["u2"]))
    assert_that(replica.staleness_ms(clock.now_ms()), matchers.Equals(7))


async def test_a_missed_change_is_requested_and_then_read(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    store.remove("up/u1")
    heartbeat = heartbeat_of(
        revision=store.revision + 1, since_revision=store.revision
    )
    replica = harness.replica
    replica.apply_heartbeat(heartbeat, clock.now_ms())
    assert_that(replica.behind_since_ms(clock.now_ms()), matchers.Is(None))
    gap_ms = clock.now_ms()
    clock.advance(fleet_replica.READ_GAP_MS)
    behind_ms = replica.behind_since_ms(clock.now_ms())
    assert_that(behind_ms, matchers.Equals(gap_ms))
    harness.has_peer = True
    assert_that(
        harness.follower.request_snapshot(clock.now_ms()),
        matchers.Equals(True),
    )
    # A peer without the missed change doesn't answer.
    assert_that(harness.asked, matchers.Equals([store.revision]))
    calls = len(store.call_names)
    clock.advance(fleet_follower.PEER_TIMEOUT_MS)
    await harness.follower.step()
    assert_that(store.call_names[calls:], matchers.Equals(["list", "list"]))
    assert_that(harness.upstreams, matchers.Equals(["u2"]))


async def test_a_process_without_recent_confirmation_watches_itself(
    harness: conftest.FollowerHarness,
    members: fleet_members.Members,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    follower = harness.follower
    # The store refuses this process, so its peers watch instead.
    follower.store_ok = False
    now_ms = clock.now_ms()
    for name in ("n2", "n3", "n4"):
        members.apply_heartbeat(heartbeat_of(name), now_ms)
    harness.replica.fresh_ms = now_ms
    assert_that(follower.should_watch(now_ms), matchers.Equals(False))
    harness.replica.fresh_ms = now_ms - watching.STALE_MS - 1.0
    assert_that(follower.should_watch(now_ms), matchers.Equals(True))


async def test_a_process_that_does_not_watch_learns_that_the_store_is_back(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    members: fleet_members.Members,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    follower = harness.follower
    trouble = exceptions.PlatformUnavailableError("no answer")
    follower.record_failure(trouble)
    for store.error in (trouble, None):
        clock.advance(fleet_follower.RECHECK_MS)
        now_ms = clock.now_ms()
        for name in ("n2", "n3"):
            members.apply_heartbeat(heartbeat_of(name), now_ms)
        harness.replica.fresh_ms = now_ms
        await follower.step()
        back = store.error is None
        assert_that(follower.store_ok, matchers.Equals(back))
    assert_that(store.call_names[-1], matchers.Equals("stale-list"))


async def test_a_refused_process_does_not_retain_deleted_entries(
    harness: conftest.FollowerHarness,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    harness.follower.record_failure(exceptions.PlatformUnavailableError("no"))
    replica = harness.replica
    replica.fresh_ms = clock.now_ms()
    replica.expire_retained(clock.now_ms())
    change = messages.EntryChange(
        "up/u1", positions.at(replica.position.revision + 1), None
    )
    replica.apply_heartbeat(
        heartbeat_of(
            revision=replica.position.revision + 1,
            since_revision=replica.position.revision,
            changes=(change,),
            store_ok=False,
        ),
        clock.now_ms(),
    )
    assert_that(harness.upstreams, matchers.Equals(["u2"]))


async def test_entries_survive_an_outage_for_all(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    await harness.follower.step()
    store.error = exceptions.PlatformUnavailableError("down")
    clock.advance(fleet_replica.OUTAGE_MS + 1.0)
    harness.replica.expire_retained(clock.now_ms())
    with pytest.raises(exceptions.PlatformUnavailableError):
        await harness.follower.step()
    harness.follower.record_failure(store.error)
    store.error = None
    store.remove("up/u1")
    await harness.follower.step()
    assert_that(harness.upstreams, matchers.Equals(["u1", "u2"]))
    clock.advance(1_800.0)
    asked = len(store.call_names)
    harness.replica.expire_retained(clock.now_ms())
    assert_that(harness.upstreams, matchers.Equals(["u2"]))
    assert_that(store.call_names, matchers.HasLength(asked))


async def test_an_entry_retained_in_an_outage_is_not_in_snapshots(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    harness.replica.registry.record_outage(clock.now_ms())
    store.remove("up/u1")
    await harness.follower.step()
    assert_that(harness.upstreams, matchers.Equals(["u1", "u2"]))
    request = messages.SnapshotRequest(harness.replica.position)
    assembler = snapshot.SnapshotAssembler()
    for each in harness.replica.snapshot_for(request, clock.now_ms()):
        if isinstance(each, messages.SnapshotPart):
            whole = assembler.add(each)
    assert whole is not None
    keys = [each.key for each in whole.entries]
    assert_that(keys, matchers.Equals(["up/u2"]))


async def test_buffered_changes_are_bounded(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    for index in range(500):
        store.put(f"up/x{index}", b"y" * 40)
    await harness.follower.step()
    replica = harness.replica
    assert_that(replica.position.revision, matchers.Equals(store.revision))
    for after_ms, most in (
        (0.0, fleet_changes.MAX_FRESH_BYTES),
        (fleet_changes.FRESH_MS + 1.0, fleet_changes.MAX_CHANGES_BYTES),
    ):
        clock.advance(after_ms)
        since, changes = replica.recent.for_heartbeat(
            replica.position, clock.now_ms()
        )
        size = fleet_changes.size_of(changes)
        assert_that(size, matchers.LessThan(most + 1))
        assert_that(changes[0].position.previous(), matchers.Equals(since))
    assert_that(len(changes), matchers.LessThan(60))
    assert_that(
        replica.recent.buffer, matchers.HasLength(fleet_changes.MAX_CHANGES)
    )


@pytest.mark.parametrize(
    ("peers", "is_seed", "waits", "reads"),
    [
        (0, True, 0.5, True),
        (0, False, 0.5, False),
        (0, False, 1.0, True),
        (60, False, 1.0, False),
        (60, False, 2.0, False),
        (60, False, 9.0, False),
    ],
)
def test_a_start_without_a_source_reads_only_as_one_of_the_first(
    harness: conftest.FollowerHarness,
    members: fleet_members.Members,
    state_of: conftest.StateOf,
    *,
    peers: int,
    is_seed: bool,
    waits: float,
    reads: bool,
) -> None:
    """Guards against a read of the store by each process of a large fleet."""
    follower = harness.follower
    follower.is_seed = is_seed
    since_ms = waits * follower.bootstrap_timeout_ms
    members.record_contact("a", since_ms)
    for index in range(peers):
        # All of them rank before this process.
        members.merge(state_of(f"p{index}"), since_ms)
        members.others[f"p{index}"].id_hash = -1
    found = follower.should_read_at_start(since_ms, since_ms, has_source=False)
    assert_that(found, matchers.Equals(reads))


def test_a_process_that_peers_do_not_answer_reads_in_the_end(
    harness: conftest.FollowerHarness,
    members: fleet_members.Members,
    state_of: conftest.StateOf,
) -> None:
    follower = harness.follower
    timeout_ms = follower.bootstrap_timeout_ms
    late_ms = timeout_ms * fleet_follower.START_ANY_READER
    members.record_contact("a", late_ms)
    for index in range(60):
        members.merge(state_of(f"p{index}"), 0.0)
        members.others[f"p{index}"].id_hash = -1
    for since_ms, reads in ((2.0 * timeout_ms, False), (late_ms, True)):
        found = follower.should_read_at_start(since_ms, since_ms, True)
        assert_that(found, matchers.Equals(reads))
