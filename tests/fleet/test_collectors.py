"""Collector selection, heartbeat recipients and queue counts."""

from __future__ import annotations

import pytest
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.fleet import collectors
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import queue_counts
from lovageyoke.fleet import state_updates
from lovageyoke.fleet import transmissions

SILENT_MS = collectors.SILENT_MS


@pytest.fixture
def members(
    state_of: conftest.StateOf, heartbeat_of: conftest.HeartbeatOf
) -> fleet_members.Members:
    """A small process with a large and a small peer in its domain."""
    made = fleet_members.Members(state_of("n1", capacity=43))
    made.apply_heartbeat(
        heartbeat_of("large", capacity=215, collecting=True), 0.0
    )
    made.apply_heartbeat(heartbeat_of("n2", capacity=42), 0.0)
    return made


def names(peers: list[object]) -> list[str]:
    return [each.node_id for each in peers]  # type: ignore[attr-defined]


def test_the_process_with_most_capacity_collects(
    members: fleet_members.Members,
) -> None:
    states = collectors.candidates(members, "a")
    order = [each.peer.node_id for each in states]
    assert_that(order, matchers.Equals(["large", "n1", "n2"]))
    collects = collectors.should_collect(members, 100.0, 0.0)
    assert_that(collects, matchers.Equals(False))


def test_the_next_candidate_takes_over_after_a_timeout(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    now_ms = SILENT_MS + 1.0
    members.apply_heartbeat(heartbeat_of("n2", capacity=42, sequence=2), now_ms)
    collects = collectors.should_collect(members, now_ms, 0.0)
    assert_that(collects, matchers.Equals(True))
    members.apply_heartbeat(
        heartbeat_of("large", capacity=215, collecting=True, sequence=2), now_ms
    )
    collects = collectors.should_collect(members, now_ms, 0.0)
    assert_that(collects, matchers.Equals(False))


@pytest.mark.parametrize(
    ("after_ms", "most"),
    [(SILENT_MS + 1.0, 2), (2_001.0, 8), (2_251.0, 14), (2_501.0, 28)],
)
def test_not_all_of_a_large_domain_take_over_at_once(
    state_of: conftest.StateOf,
    heartbeat_of: conftest.HeartbeatOf,
    after_ms: float,
    most: int,
) -> None:
    heartbeats = [heartbeat_of(f"n{index}") for index in range(82)]
    fleet = []
    for own in heartbeats:
        made = fleet_members.Members(own.sender)
        first = heartbeat_of("first", capacity=215, collecting=True)
        made.apply_heartbeat(first, 0.0)
        for each in heartbeats:
            made.apply_heartbeat(each, 0.0)
        made.apply_heartbeat(heartbeat_of("near", capacity=1), after_ms)
        fleet.append(made)
    collecting = [
        each for each in fleet if collectors.should_collect(each, after_ms, 0.0)
    ]
    assert_that(len(collecting), matchers.LessThan(most))


def test_every_candidate_is_contacted_while_nobody_collects(
    heartbeat_of: conftest.HeartbeatOf,
) -> None:
    heartbeats = [heartbeat_of(f"n{index}") for index in range(82)]
    contacted = set()
    for own in heartbeats:
        made = fleet_members.Members(own.sender)
        for each in heartbeats:
            made.apply_heartbeat(each, 0.0)
        for turn in range(3):
            peers = collectors.local_targets(made, turn, 0.0)
            contacted.update(each.node_id for each in peers)
    assert_that(len(contacted), matchers.GreaterThan(60))


def test_a_leaving_or_slow_collector_is_replaced_immediately(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    for sequence, change in [(2, {"leaving": True}), (3, {"capacity": 0})]:
        heartbeat = heartbeat_of(
            "large", **{"capacity": 215, "sequence": sequence, **change}
        )
        members.apply_heartbeat(heartbeat, 1.0)
        collects = collectors.should_collect(members, 1.0, 0.0)
        assert_that(collects, matchers.Equals(True))


def test_an_isolated_process_does_not_collect(
    state_of: conftest.StateOf, heartbeat_of: conftest.HeartbeatOf
) -> None:
    members = fleet_members.Members(state_of("n1", capacity=215))
    assert_that(
        collectors.should_collect(members, 9_000.0, 0.0), matchers.Equals(True)
    )
    members.apply_heartbeat(heartbeat_of("n2"), 9_000.0)
    assert_that(
        collectors.should_collect(members, 9_000.0, 0.0), matchers.Equals(True)
    )
    later_ms = 9_001.0 + collectors.ISOLATED_MS
    assert_that(
        collectors.should_collect(members, later_ms, 0.0),
        matchers.Equals(False),
    )


def test_a_process_sends_to_its_collector_and_the_standby(
    members: fleet_members.Members,
) -> None:
    found = collectors.local_targets(members, 1, 0.0)
    assert_that(names(found), matchers.Equals(["large", "n2"]))


def test_without_a_collector_the_others_are_tried_round_robin(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    for index in range(3, 6):
        members.apply_heartbeat(heartbeat_of(f"n{index}", capacity=10), 0.0)
    late_ms = SILENT_MS + 1.0
    tried = {
        name
        for turn in range(8)
        for name in names(collectors.local_targets(members, turn, late_ms))
    }
    everybody = {"large", "n2", "n3", "n4", "n5"}
    assert_that(tried, matchers.Equals(everybody))


def test_a_collector_sends_to_its_domain_and_one_of_each_other(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    members.collecting_since_ms = 0.0
    members.apply_heartbeat(heartbeat_of("b1", "b", collecting=True), 0.0)
    members.apply_heartbeat(heartbeat_of("b2", "b"), 0.0)
    local = collectors.local_targets(members, 1, 0.0)
    assert_that(sorted(names(local)), matchers.Equals(["large", "n2"]))
    remote = collectors.remote_targets(members, 1, 0.0)
    assert_that(names(remote), matchers.Equals(["b1"]))
    both = collectors.remote_targets(members, collectors.STANDBY_EVERY, 0.0)
    assert_that(names(both), matchers.Equals(["b1", "b2"]))


def test_queue_counts_are_summed_over_the_domains(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    members.collecting_since_ms = 0.0
    members.apply_heartbeat(
        heartbeat_of("n2", sequence=2, waiting=(("maps", 1),)), 0.0
    )
    members.apply_heartbeat(
        heartbeat_of("b1", "b", collecting=True, waiting=(("maps", 7),)), 0.0
    )
    own = (("maps", 1), ("other", 1))
    near = dict(queue_counts.of_domain(members, own, 0.0))
    assert_that(near, matchers.Equals({"maps": 2, "other": 1}))
    fleet = dict(queue_counts.of_fleet(members, own, 0.0))
    assert_that(fleet, matchers.Equals({"maps": 9, "other": 1}))


def test_a_process_uses_the_count_of_its_collector(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    members.apply_heartbeat(
        heartbeat_of(
            "large",
            capacity=215,
            sequence=2,
            collecting=True,
            waiting=(("maps", 9),),
        ),
        1.0,
    )
    fleet = dict(queue_counts.of_fleet(members, (("other", 1),), 1.0))
    assert_that(fleet, matchers.Equals({"maps": 9, "other": 1}))


def test_changed_states_are_repeated_and_others_sent_round_robin(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    members.apply_heartbeat(heartbeat_of("b1", "b"), 0.0)
    updates = state_updates.StateUpdates(members, own_domain_only=True)
    updates.queue({"n2", "b1"})
    for _ in range(transmissions.TRANSMISSIONS):
        sent = [
            each.peer.node_id for each in updates.next_states(round_robin=False)
        ]
        assert_that(sent, matchers.Equals(["n2"]))
    assert_that(updates.next_states(round_robin=False), matchers.Equals(()))
    sent = {each.peer.node_id for each in updates.next_states(round_robin=True)}
    assert_that(sent, matchers.Equals({"large", "n2"}))
