"""Processes discover each other in the store if they know no live peer."""

from __future__ import annotations

import json
import random

import pytest
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import manual_clock
from fakes import revision_store
from lovageyoke.errors import exceptions
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.fleet import registration
from lovageyoke.observe import events
from lovageyoke.store import positions as store_positions
from lovageyoke.store import revisions

pytestmark = pytest.mark.anyio

LEASE_MS = 60_000.0


class SkippingClock(manual_clock.ManualClock):
    """Clock whose time passes while somebody sleeps."""

    async def sleep_ms(self, duration_ms: float) -> None:
        self.advance(duration_ms)


def decode(value: bytes) -> messages.Peer:
    try:
        return messages.Peer(*json.loads(value))
    except ValueError as error:
        raise exceptions.DecodeError("no process") from error


@pytest.fixture
def discovery(
    store: revision_store.RevisionStore,
    members: fleet_members.Members,
    clock: manual_clock.ManualClock,
    log: events.EventLog,
) -> registration.PeerDiscovery:
    store.put("vm/n7", json.dumps(["n7", "h", 1, "f", "b"]).encode())
    store.put("vm/bad", b"no JSON")
    return registration.PeerDiscovery(
        store=store,
        prefix="vm/",
        decode=decode,
        members=members,
        clock=clock,
        log=log,
    )


async def test_a_process_without_peers_polls_the_store(
    discovery: registration.PeerDiscovery,
    store: revision_store.RevisionStore,
    members: fleet_members.Members,
) -> None:
    assert_that(discovery.should_poll(), matchers.Equals(True))
    await discovery.poll()
    assert_that(set(members.others), matchers.Equals({"n7"}))
    assert_that(store.call_names, matchers.Equals(["stale-list"]))


async def test_a_process_with_a_collector_makes_no_store_call(
    discovery: registration.PeerDiscovery,
    members: fleet_members.Members,
    heartbeat_of: conftest.HeartbeatOf,
    clock: manual_clock.ManualClock,
) -> None:
    members.apply_heartbeat(heartbeat_of("n2", collecting=True), clock.now_ms())
    assert_that(discovery.should_poll(), matchers.Equals(False))
    # A collector polls for peers that a partition may have separated.
    members.collecting_since_ms = clock.now_ms()
    assert_that(discovery.should_poll(), matchers.Equals(True))
    pause_ms = discovery.pause_ms()
    assert_that(pause_ms, matchers.Equals(registration.DISCOVERY_AGAIN_MS))


async def test_a_listed_entry_does_not_replace_a_heard_state(
    discovery: registration.PeerDiscovery,
    members: fleet_members.Members,
    state_of: conftest.StateOf,
) -> None:
    members.merge(state_of("n7", "b", sequence=4, ready=True), 0.0)
    await discovery.poll()
    state = members.others["n7"].state
    assert_that(state.ready, matchers.Equals(True))


async def test_a_failed_poll_is_retried(
    discovery: registration.PeerDiscovery,
    store: revision_store.RevisionStore,
    members: fleet_members.Members,
) -> None:
    store.error = exceptions.PlatformUnavailableError("down")
    await discovery.poll()
    assert_that(members.others, matchers.Equals({}))
    pause_ms = discovery.pause_ms()
    assert_that(pause_ms, matchers.Equals(registration.DISCOVERY_RETRY_MS))


@pytest.fixture
def registered(
    store: revision_store.RevisionStore, log: events.EventLog
) -> registration.Registration:
    return registration.Registration(
        store=store,
        key="vm/n1",
        value=b"n1",
        ttl_ms=LEASE_MS,
        clock=SkippingClock(),
        log=log,
        rng=random.Random(1),  # noqa: S311
        known_era=lambda: store.era,
    )


async def test_a_lease_of_an_earlier_era_is_not_renewed(
    store: revision_store.RevisionStore, registered: registration.Registration
) -> None:
    # Guards against a process that keeps alive a lease that a restored store
    # has given to another, while its own entry is gone.
    copy = store.copy()
    await registered.register()
    first = registered.lease
    store.restore(copy)
    other = await store.grant_lease(LEASE_MS)
    assert first is not None
    assert_that(other.lease_id, matchers.Equals(first.lease_id))
    await registered.renew()
    assert_that(store.leases, matchers.Equals({other.lease_id: 0}))
    await registered.register()
    assert registered.lease is not None
    assert_that(registered.lease.era, matchers.Equals(store.era))
    assert_that(registered.lease, matchers.Not(matchers.Equals(other)))
    assert_that("vm/n1" in store.items, matchers.Equals(True))


async def test_an_entry_is_not_left_under_a_lease_of_an_earlier_era(
    store: revision_store.RevisionStore,
    registered: registration.Registration,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a return between the grant of a lease and the write.
    commit = store.commit
    used: list[revisions.Lease | None] = []

    async def commit_after_return(
        writes: list[revisions.Write],
    ) -> store_positions.Position:
        if not used:
            store.restore(store.copy())
            await store.grant_lease(LEASE_MS)
        used.append(writes[0].lease)
        return await commit(writes)

    monkeypatch.setattr(store, "commit", commit_after_return)
    await registered.register()
    assert_that(used, matchers.HasLength(2))
    assert_that(registered.lease, matchers.Equals(used[-1]))
    assert registered.lease is not None
    assert_that(registered.lease.era, matchers.Equals(store.era))


async def test_a_lease_is_renewed_before_it_expires(
    store: revision_store.RevisionStore, registered: registration.Registration
) -> None:
    await registered.register()
    began_ms = registered.clock.now_ms()
    await registered.renew()
    assert registered.lease is not None
    assert_that(store.leases, matchers.Equals({registered.lease.lease_id: 1}))
    waited_ms = registered.clock.now_ms() - began_ms
    assert_that(waited_ms, matchers.LessThan(LEASE_MS / 2.0))
