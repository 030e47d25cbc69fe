"""Evacuations reach every process and hold until their key is removed."""

from __future__ import annotations

import pytest
from tests.fleet import conftest
from tests.fleet import scenarios
from testtools import matchers
from testtools.assertions import assert_that

from fakes import fleet as fleet_fake
from fakes import manual_clock
from fakes import positions
from fakes import revision_store
from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import messages
from lovageyoke.fleet import registry as fleet_registry
from lovageyoke.fleet import replica as fleet_replica
from lovageyoke.fleet import snapshot
from lovageyoke.routing import model
from lovageyoke.store import revisions

KEY = "config-evacuate/a"  # All upstreams of the fixtures are in this domain.
SIZES = [[6, 5, 5], [50, 40, 40], scenarios.LARGE]
SIZE_IDS = ["16", "130", "311"]


def open_ids(replica: fleet_replica.Replica) -> list[str]:
    """Returns the upstreams that may get requests."""
    return sorted(
        each.upstream_id
        for each in replica.registry.upstreams()
        if each.accepts_requests
    )


def deliver(
    fleet: fleet_fake.Fleet,
    watcher: fleet_fake.Process,
    value: bytes | None,
) -> None:
    revision = (
        max(each.replica.position.revision for each in fleet.running()) + 1
    )
    change = revisions.Change(KEY, positions.at(revision), value)
    fleet.deliver_changes(watcher, change)


def is_evacuated(fleet: fleet_fake.Fleet) -> bool:
    return all(not each.upstreams for each in fleet.running())


def is_open(fleet: fleet_fake.Fleet) -> bool:
    return all(
        each.upstreams == set(scenarios.UPSTREAMS) for each in fleet.running()
    )


def apply_snapshot(
    sender: fleet_replica.Replica, receiver: fleet_replica.Replica
) -> None:
    answer = sender.snapshot_for(messages.SnapshotRequest(positions.at(0)), 0.0)
    for part in answer:
        if isinstance(part, messages.SnapshotPart):
            receiver.add_snapshot_part(part, 0.0)


@pytest.fixture
def registry() -> fleet_registry.Registry:
    made = fleet_registry.Registry(conftest.LAYOUT.decode_entry)
    made.put("up/u1", b"x", positions.at(4), 0.0)
    made.put(KEY, b"{}", positions.at(5), 0.0)
    return made


def test_upstreams_of_an_evacuated_domain_are_kept_but_get_nothing(
    registry: fleet_registry.Registry,
) -> None:
    (found,) = registry.upstreams()
    assert_that(found.accepts_requests, matchers.Equals(False))
    assert_that(found.draining, matchers.Equals(False))
    assert_that(
        registry.remove(KEY, positions.at(6), 0.0), matchers.Equals(True)
    )
    (found,) = registry.upstreams()
    assert_that(found.accepts_requests, matchers.Equals(True))


def test_an_older_change_or_listing_neither_begins_nor_ends_an_evacuation(
    registry: fleet_registry.Registry,
) -> None:
    # Guards against a stale read that undoes a newer state.
    item = revisions.Item("up/u1", b"x", positions.at(4))
    registry.apply_listing(revisions.Listing((item,), positions.at(4)), 0.0)
    registry.remove(KEY, positions.at(3), 0.0)
    assert_that(registry.evacuated_domains(), matchers.Equals({"a"}))
    registry.remove(KEY, positions.at(6), 0.0)
    evacuation = revisions.Item(KEY, b"{}", positions.at(5))
    registry.apply_listing(
        revisions.Listing((item, evacuation), positions.at(5)), 0.0
    )
    registry.put(KEY, b"{}", positions.at(5), 0.0)
    assert_that(registry.evacuated_domains(), matchers.Equals(set()))


def test_an_outage_does_not_delay_the_end_of_an_evacuation(
    registry: fleet_registry.Registry,
) -> None:
    # Upstreams deleted in an outage are retained; nobody registers an
    # evacuation again.
    registry.record_outage(1_000.0)
    assert_that(
        registry.remove(KEY, positions.at(6), 1_000.0), matchers.Equals(True)
    )
    assert_that(registry.evacuated_domains(), matchers.Equals(set()))


def test_a_snapshot_carries_evacuations() -> None:
    upstream = conftest.decode_upstream("up/u1", b"x")
    entries = (
        snapshot.Entry(KEY, positions.at(7), model.Evacuation("a")),
        snapshot.Entry("up/u1", positions.at(4), upstream),
    )
    (part,) = snapshot.pack(snapshot.Snapshot(positions.at(9), 0, entries))
    found = snapshot.SnapshotAssembler().add(part)
    assert found is not None
    assert_that(found.entries, matchers.Equals(entries))


@pytest.mark.anyio
async def test_a_start_reads_evacuations_in_the_same_two_calls(
    store: revision_store.RevisionStore, harness: conftest.FollowerHarness
) -> None:
    store.put(KEY, b"{}")
    await harness.start_alone()
    calls = ["stale-list", "stale-list"]
    assert_that(store.call_names, matchers.Equals(calls))
    assert_that(open_ids(harness.replica), matchers.Equals([]))
    store.remove(KEY)
    await harness.follower.step()
    assert_that(open_ids(harness.replica), matchers.Equals(["u1", "u2"]))


@pytest.mark.anyio
async def test_a_start_with_an_older_read_learns_the_evacuation_by_the_watch(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    earlier = await store.list_items("config")
    store.put(KEY, b"{}")
    read = store.list_items

    async def list_items(prefix: str, stale: bool = False) -> revisions.Listing:
        listing = await read(prefix, stale)
        return earlier if stale and prefix == "config" else listing

    monkeypatch.setattr(store, "list_items", list_items)
    await harness.start_alone()
    assert_that(open_ids(harness.replica), matchers.Equals(["u1", "u2"]))
    await harness.follower.step()
    assert_that(open_ids(harness.replica), matchers.Equals([]))


@pytest.mark.anyio
async def test_an_older_snapshot_does_not_end_an_evacuation(
    store: revision_store.RevisionStore, harness: conftest.FollowerHarness
) -> None:
    await harness.start_alone()
    old = conftest.FollowerHarness(
        store, harness.follower.members, harness.clock, harness.replica.log
    )
    await old.start_alone()
    store.put(KEY, b"{}")
    await harness.follower.step()
    apply_snapshot(old.replica, harness.replica)
    assert_that(open_ids(harness.replica), matchers.Equals([]))
    apply_snapshot(harness.replica, old.replica)
    assert_that(open_ids(old.replica), matchers.Equals([]))


@pytest.mark.anyio
@pytest.mark.parametrize(
    "key", ["config-evacuate/", "config-evacuate", "config-evacuate/b/c"]
)
async def test_an_odd_key_neither_ends_nor_stalls_a_process(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    key: str,
) -> None:
    store.put(key, b"\xff")
    await harness.start_alone()
    assert_that(open_ids(harness.replica), matchers.Equals(["u1", "u2"]))
    store.put(key, b"")
    store.put(KEY, b"no JSON")
    await harness.follower.step()
    assert_that(open_ids(harness.replica), matchers.Equals([]))
    assert_that(
        harness.replica.position.revision, matchers.Equals(store.revision)
    )


@pytest.mark.anyio
async def test_an_evacuation_holds_while_the_store_is_away(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    store.put(KEY, b"{}")
    await harness.start_alone()
    clock.advance(20_000.0)
    harness.replica.expire_retained(clock.now_ms())
    clock.advance(fleet_follower.RECHECK_MS)
    harness.replica.expire_retained(clock.now_ms())
    assert_that(open_ids(harness.replica), matchers.Equals([]))


@pytest.mark.parametrize("domains", SIZES, ids=SIZE_IDS)
def test_an_evacuation_reaches_processes_that_hear_only_from_peers(
    domains: list[int],
) -> None:
    fleet = scenarios.fleet_of(domains, loss=0.025)
    deliver(fleet, fleet.processes[2], b"{}")
    fleet.run_until(lambda: is_evacuated(fleet), scenarios.CHANGE_BOUND_MS)
    # A new process and restarted ones learn it before they use an upstream.
    fleet.add("domain-1")
    for each in fleet.processes[3:8]:
        each.start()
    fleet.run_until(
        lambda: all(each.replica.is_complete for each in fleet.running()),
        scenarios.JOIN_BOUND_MS,
    )
    assert_that(is_evacuated(fleet), matchers.Equals(True))
    deliver(fleet, fleet.processes[1], None)
    fleet.run_until(lambda: is_open(fleet), scenarios.CHANGE_BOUND_MS)
    scenarios.check_monotonic(fleet)


@pytest.mark.parametrize("domains", SIZES[:2], ids=SIZE_IDS[:2])
def test_an_evacuation_missed_by_a_domain_arrives_after_the_partition(
    domains: list[int],
) -> None:
    fleet = scenarios.fleet_of(domains)
    apart = {each.address for each in fleet.processes if each.domain[-1] == "2"}
    fleet.cut = lambda sender, receiver: (
        (sender in apart) != (receiver in apart)
    )
    deliver(fleet, fleet.processes[0], b"{}")
    fleet.run(6_000.0)
    kept = [each for each in fleet.running() if each.upstreams]
    assert_that(kept, matchers.HasLength(len(apart)))
    fleet.cut = lambda *_: False
    fleet.run_until(lambda: is_evacuated(fleet), scenarios.FAILURE_BOUND_MS)
