"""Snapshots are requested from peers that can answer."""

from __future__ import annotations

import pytest
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import snapshot_sources

COLLECTOR = ("10.9.0.1", 7540)
WATCHER = ("10.9.0.2", 7540)
LARGE = ("10.0.0.1", 7540)  # Of all peers of the fixtures.


@pytest.fixture
def sources(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> snapshot_sources.SnapshotSources:
    large = heartbeat_of("n9", "b", capacity=215)
    members.apply_heartbeat(large, 0.0)
    return snapshot_sources.SnapshotSources(members)


def test_a_peer_that_does_not_answer_is_not_asked_again_at_once(
    sources: snapshot_sources.SnapshotSources,
    heartbeat_of: conftest.HeartbeatOf,
) -> None:
    newer = heartbeat_of(revision=9, capacity=43)
    sources.record_newer(newer, WATCHER, 0.0)
    asked = [sources.next(each) for each in (0.0, 200.0, 400.0)]
    assert_that(asked, matchers.Equals([WATCHER, LARGE, WATCHER]))


def test_a_small_collector_does_not_answer_its_whole_domain(
    sources: snapshot_sources.SnapshotSources,
    heartbeat_of: conftest.HeartbeatOf,
) -> None:
    newer = heartbeat_of(revision=9, capacity=43, collecting=True)
    sources.record_newer(newer, COLLECTOR, 0.0)
    asked = [sources.next(each) for each in (0.0, 200.0)]
    assert_that(asked, matchers.Equals([LARGE, COLLECTOR]))


def test_the_first_request_after_a_pause_goes_to_the_newest_peer(
    sources: snapshot_sources.SnapshotSources,
    heartbeat_of: conftest.HeartbeatOf,
) -> None:
    sources.record_newer(heartbeat_of(revision=9), WATCHER, 0.0)
    sources.next(0.0)
    sources.record_newer(heartbeat_of(revision=8), COLLECTOR, 10.0)
    later_ms = snapshot_sources.PAUSE_MS + 1.0
    assert_that(sources.next(later_ms), matchers.Equals(WATCHER))
    sources.record_newer(heartbeat_of(revision=8), COLLECTOR, 2 * later_ms)
    asked = sources.next(3 * later_ms)
    assert_that(asked, matchers.Equals(COLLECTOR))


def test_no_peer_is_asked_while_none_is_known(
    members: fleet_members.Members,
) -> None:
    found = snapshot_sources.SnapshotSources(members).next(0.0)
    assert_that(found, matchers.Is(None))
