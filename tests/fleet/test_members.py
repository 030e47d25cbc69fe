"""Failure detection, duty assignment and the addresses for callers."""

from __future__ import annotations

import collections
import random

import attrs
import hypothesis
from hypothesis import strategies as st
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.fleet import directory
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages

LIVE_MS = fleet_members.LIVE_MS
QUERY = directory.AddressQuery("h", "r", "a")


def working_ids(members: fleet_members.Members, now_ms: float) -> list[str]:
    working = members.compute_view(now_ms).working
    return sorted(
        each.peer.node_id for states in working.values() for each in states
    )


def live_ids(members: fleet_members.Members, now_ms: float) -> set[str]:
    return {each.peer.node_id for each in members.compute_view(now_ms).live}


def duty_ids(
    members: fleet_members.Members, domain: str, now_ms: float
) -> list[str]:
    states = members.duty_states(domain, now_ms)
    return sorted(each.peer.node_id for each in states)


def test_a_collector_marks_a_silent_process_gone(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    members.collecting_since_ms = 0.0
    assert_that(
        members.apply_heartbeat(heartbeat_of("n2"), 0.0), matchers.Equals(True)
    )
    assert_that(working_ids(members, 0.0), matchers.Equals(["n1", "n2"]))
    members.changed_ids.clear()
    later_ms = LIVE_MS + 1.0
    members.detect_failures(later_ms)
    assert_that(working_ids(members, later_ms), matchers.Equals(["n1"]))
    assert_that(members.changed_ids, matchers.Equals({"n2"}))
    members.forget_gone(fleet_members.FORGET_MS + 1.0)
    assert_that(members.others, matchers.Equals({}))


def test_a_new_collector_waits_before_it_detects_failures(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    members.apply_heartbeat(heartbeat_of("n2"), 0.0)
    now_ms = 5_000.0
    members.collecting_since_ms = now_ms
    members.detect_failures(now_ms + LIVE_MS)
    assert_that(live_ids(members, now_ms + LIVE_MS), matchers.Equals({"n2"}))
    members.detect_failures(now_ms + LIVE_MS + 1.0)
    gone_ms = now_ms + LIVE_MS + 1.0
    assert_that(live_ids(members, gone_ms), matchers.Equals(set()))


def test_a_heartbeat_of_an_older_start_is_ignored(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    members.apply_heartbeat(heartbeat_of("n2", started_ms=5, ready=False), 0.0)
    members.apply_heartbeat(heartbeat_of("n2", started_ms=4, ready=True), 1.0)
    member = members.others["n2"]
    assert_that(member.state.ready, matchers.Equals(False))
    assert_that(member.heard_ms, matchers.Equals(0.0))


def test_a_process_heard_after_it_was_marked_gone_is_alive(
    members: fleet_members.Members, state_of: conftest.StateOf
) -> None:
    members.record_contact("a", 0.0)
    members.merge(state_of("n2", sequence=5), 0.0)
    members.merge(state_of("n2", sequence=7, gone=True), 1.0)
    members.merge(state_of("n2", sequence=6), 2.0)
    assert_that(live_ids(members, 2.0), matchers.Equals(set()))
    members.merge(state_of("n2", sequence=8), 3.0)
    assert_that(live_ids(members, 3.0), matchers.Equals({"n2"}))


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(1, 3), st.integers(1, 4), st.booleans(), st.booleans()
        ),
        min_size=1,
        max_size=12,
    ),
    st.randoms(use_true_random=False),
)
def test_the_order_of_received_states_does_not_matter(
    found: list[tuple[int, int, bool, bool]], rng: random.Random
) -> None:
    peer = messages.Peer("n2", "10.0.0.2", 1, "n2:80", "a")
    # A process sends only one state per sequence number.
    ready = {key: flag for *key_, flag, _ in found for key in [tuple(key_)]}
    states = [
        messages.MemberState(
            peer, started, sequence, ready[started, sequence], gone=gone
        )
        for started, sequence, _, gone in found
    ]

    def end(order: list[messages.MemberState]) -> messages.MemberState:
        own = messages.Peer("n1", "10.0.0.1", 1, "n1:80", "a")
        members = fleet_members.Members(messages.MemberState(own))
        for each in order:
            members.merge(each, 0.0)
        return members.others["n2"].state

    shuffled = states * 2
    rng.shuffle(shuffled)
    assert_that(end(shuffled), matchers.Equals(end(states)))
    newest = max(states, key=lambda each: each.order)
    assert_that(end(states).order, matchers.Equals(newest.order))


def test_a_domain_without_collector_contact_is_not_live(
    members: fleet_members.Members, state_of: conftest.StateOf
) -> None:
    members.merge(state_of("b1", "b"), 0.0)
    members.record_contact("b", 0.0)
    assert_that(live_ids(members, 0.0), matchers.Equals({"b1"}))
    late_ms = fleet_members.DOMAIN_SILENT_MS + 1.0
    assert_that(live_ids(members, late_ms), matchers.Equals(set()))
    # They may still be sending requests, so the budget still counts them.
    assert_that(members.compute_view(late_ms).size, matchers.Equals(2))
    size = members.compute_view(late_ms + fleet_members.SENDING_MS).size
    assert_that(size, matchers.Equals(1))


def test_watch_ranks_are_unique(
    heartbeat_of: conftest.HeartbeatOf, state_of: conftest.StateOf
) -> None:
    names = [f"n{index}" for index in range(8)]
    ranks = []
    for own in names:
        members = fleet_members.Members(state_of(own))
        for other in names:
            members.apply_heartbeat(heartbeat_of(other), 0.0)
        ranks.append(members.watch_rank(0.0, store_ok=True))
    assert_that(sorted(ranks), matchers.Equals(list(range(8))))


def test_a_process_that_the_store_refuses_ranks_last(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    for index in range(2, 6):
        members.apply_heartbeat(heartbeat_of(f"n{index}"), 0.0)
    assert_that(members.watch_rank(0.0, store_ok=False), matchers.Equals(4))
    alike = members.watch_rank(0.0, store_ok=None)
    assert_that(alike, matchers.Equals(members.watch_rank(0.0, store_ok=True)))


def test_duties_stay_in_their_failure_domain_while_it_has_a_process(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    for name, domain in [("b1", "b"), ("b2", "b"), ("n2", "a")]:
        members.apply_heartbeat(heartbeat_of(name, domain), 0.0)
    assert_that(duty_ids(members, "b", 0.0), matchers.Equals(["b1", "b2"]))
    members.apply_heartbeat(
        heartbeat_of("b1", "b", leaving=True, sequence=2), 1.0
    )
    assert_that(duty_ids(members, "b", 1.0), matchers.Equals(["b2"]))
    left = duty_ids(members, "c", 1.0)
    assert_that(left, matchers.Equals(["b2", "n1", "n2"]))


def test_only_duties_of_a_removed_process_move(
    state_of: conftest.StateOf,
) -> None:
    states = [state_of(f"n{index}") for index in range(6)]
    keys = [f"u{index}" for index in range(200)]
    before = {each: fleet_members.duty_owner(each, states) for each in keys}
    after = {each: fleet_members.duty_owner(each, states[1:]) for each in keys}
    moved = [each for each in keys if before[each] != after[each]]
    assert_that({before[each] for each in moved}, matchers.Equals({"n0"}))
    for state in states:
        name = state.peer.node_id
        share = list(before.values()).count(name) / len(keys)
        assert_that(share, matchers.GreaterThan(0.05))


def test_duties_are_proportional_to_capacity(
    state_of: conftest.StateOf,
) -> None:
    states = [state_of("large", capacity=215)]
    states += [state_of(f"small-{index}", capacity=43) for index in range(5)]
    owners = collections.Counter(
        fleet_members.duty_owner(f"u{index}", states) for index in range(2_000)
    )
    assert_that(owners["large"] / 2_000, matchers.GreaterThan(0.44))
    assert_that(owners["large"] / 2_000, matchers.LessThan(0.56))


def test_callers_get_ready_processes_nearby(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    members.apply_heartbeat(heartbeat_of("n2"), 0.0)
    members.apply_heartbeat(heartbeat_of("n3", ready=False), 0.0)
    members.apply_heartbeat(heartbeat_of("n4", leaving=True), 0.0)
    members.apply_heartbeat(heartbeat_of("far", "b"), 0.0)
    found = directory.addresses(members, QUERY, True, 0.0, random.Random(1))  # noqa: S311
    assert_that(found, matchers.Equals(["n1:80", "n2:80"]))


def test_callers_get_remote_processes_if_few_are_nearby(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    members.apply_heartbeat(heartbeat_of("far", "b"), 0.0)
    found = directory.addresses(members, QUERY, False, 0.0, random.Random(1))  # noqa: S311
    assert_that(found, matchers.Equals(["far:80"]))


def test_the_list_of_addresses_is_bounded_and_weighted_by_capacity(
    members: fleet_members.Members, heartbeat_of: conftest.HeartbeatOf
) -> None:
    for index in range(200):
        capacity = 215 if index < 20 else 43
        members.apply_heartbeat(
            heartbeat_of(f"m{index}", capacity=capacity), 0.0
        )
    large = {f"m{index}:80" for index in range(20)}
    included = 0
    for seed in range(50):
        rng = random.Random(seed)  # noqa: S311
        found = directory.addresses(members, QUERY, True, 0.0, rng)
        assert_that(found, matchers.HasLength(directory.MAX_ADDRESSES))
        included += len(large & set(found))
    # Without weights each would be in about a third of the answers.
    assert_that(included / 50 / 20, matchers.GreaterThan(0.7))


def test_the_processes_of_the_duty_s_domain_have_the_first_positions(
    members: fleet_members.Members, state_of: conftest.StateOf
) -> None:
    states = [state_of(f"n{index}", "ab"[index % 2]) for index in range(2, 8)]
    for each in states:
        members.merge(each, 0.0)
        members.others[each.peer.node_id].heard_ms = 0.0
    assert_that(members.duty_position("u", "a", 4, 0.0), matchers.LessThan(4))
    assert_that(members.duty_position("u", "b", 3, 0.0), matchers.Is(None))
    remote = members.duty_position("u", "b", 7, 0.0)
    assert remote is not None
    assert_that(remote, matchers.GreaterThan(2))
    positions = set()
    for own in [members.own, *states]:
        other = fleet_members.Members(own)
        for each in [members.own, *states]:
            other.merge(each, 0.0)
            if each is not own:
                other.others[each.peer.node_id].heard_ms = 0.0
        positions.add(other.duty_position("u", "a", 7, 0.0))
    assert_that(positions, matchers.Equals(set(range(7))))


def test_a_leaving_process_has_no_duty(
    members: fleet_members.Members,
) -> None:
    members.own = attrs.evolve(members.own, leaving=True)
    assert_that(members.duty_position("u", "a", 4, 0.0), matchers.Is(None))
