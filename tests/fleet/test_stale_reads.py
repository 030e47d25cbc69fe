"""Reads and messages of different ages never bring back an older state."""

from __future__ import annotations

import zlib

import pytest
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import manual_clock
from fakes import positions
from fakes import revision_store
from lovageyoke.fleet import follower as fleet_follower
from lovageyoke.fleet import messages
from lovageyoke.fleet import snapshot
from lovageyoke.store import revisions

pytestmark = pytest.mark.anyio


def stale_reads(
    store: revision_store.RevisionStore,
    listings: dict[str, revisions.Listing],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Lets stale reads of some prefixes return earlier listings."""
    read = store.list_items

    async def list_items(prefix: str, stale: bool = False) -> revisions.Listing:
        listing = await read(prefix, stale)
        return listings.get(prefix, listing) if stale else listing

    monkeypatch.setattr(store, "list_items", list_items)


@pytest.mark.parametrize("older", ["config", "up/"])
async def test_a_start_with_two_reads_of_unequal_age_loses_no_change(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    monkeypatch: pytest.MonkeyPatch,
    older: str,
) -> None:
    earlier = await store.list_items(older)
    store.put("config", b"5")
    store.remove("up/u1")
    store.put("up/u3", b"x")
    stale_reads(store, {older: earlier}, monkeypatch)
    await harness.start_alone()
    await harness.follower.step()
    assert_that(harness.versions[-1], matchers.Equals(5))
    assert_that(harness.upstreams, matchers.Equals(["u2", "u3"]))


async def test_a_listing_older_than_a_snapshot_brings_no_server_back(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    earlier = await store.list_items("up/")
    stale_reads(store, {"up/": earlier}, monkeypatch)
    store.remove("up/u2")
    entry = snapshot.Entry(
        "up/u1", positions.at(3), conftest.decode_upstream("up/u1", b"x")
    )
    whole = snapshot.Snapshot(positions.at(store.revision), 0, (entry,))
    for part in snapshot.pack(whole):
        harness.replica.add_snapshot_part(part, clock.now_ms())
    clock.advance(harness.follower.bootstrap_timeout_ms)
    await harness.follower.read_all(stale=True)
    assert_that(harness.upstreams, matchers.Equals(["u1"]))
    assert_that(
        harness.replica.position.revision, matchers.Equals(store.revision)
    )


async def test_a_listing_between_two_writes_brings_no_server_back(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
) -> None:
    await harness.start_alone()
    store.put("up/u2", b"x")
    store.put("up/u2", b"draining")
    between = await store.list_items("up/")
    store.remove("up/u2")
    await harness.follower.read_all(stale=False)
    registry = harness.replica.registry
    registry.apply_listing(between, 0.0)
    found = [each.upstream_id for each in registry.upstreams()]
    assert_that(found, matchers.Equals(["u1"]))


async def test_a_snapshot_whose_configuration_is_lost_tells_its_version(
    store: revision_store.RevisionStore,
    harness: conftest.FollowerHarness,
    clock: manual_clock.ManualClock,
) -> None:
    await harness.start_alone()
    sender = conftest.FollowerHarness(
        store, harness.follower.members, clock, harness.replica.log
    )
    store.put("config", b"5")
    await sender.start_alone()
    request = messages.SnapshotRequest(harness.replica.position)
    update, *parts = sender.replica.snapshot_for(request, clock.now_ms())
    assert isinstance(update, messages.ConfigurationUpdate)
    assert_that(zlib.decompress(update.packed), matchers.Equals(b"5"))
    for part in parts:
        assert isinstance(part, messages.SnapshotPart)
        harness.replica.add_snapshot_part(part, clock.now_ms())
    harness.replica.behind_since_ms(clock.now_ms())
    clock.advance(fleet_follower.PEER_TIMEOUT_MS + 200.0)
    await harness.follower.step()
    assert_that(harness.versions[-1], matchers.Equals(5))
