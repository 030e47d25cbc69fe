"""Processes that are gone keep their place in a failure domain's order."""

from __future__ import annotations

import attrs
from tests.fleet import conftest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.fleet import domain_rank
from lovageyoke.fleet import members as fleet_members

KEYS = [f"u{index}" for index in range(40)]


def positions(
    members: fleet_members.Members, ranks: domain_rank.DomainRanks
) -> list[int | None]:
    return [ranks.position(each, members.domain) for each in KEYS]


def test_processes_that_are_gone_keep_their_place(
    members: fleet_members.Members, state_of: conftest.StateOf
) -> None:
    ranks = domain_rank.DomainRanks(members)
    for name in ("n2", "n3", "n4"):
        members.merge(state_of(name), 0.0)
    before = positions(members, ranks)
    assert_that(set(before), matchers.Equals({0, 1, 2, 3}))
    members.merge(state_of("n2", sequence=2, gone=True), 5.0)
    members.merge(state_of("n9", "b"), 6.0)
    assert_that(positions(members, ranks), matchers.Equals(before))
    assert_that(ranks.size, matchers.Equals(4))
    members.forget_gone(fleet_members.FORGET_MS + 7.0)
    after = positions(members, ranks)
    assert_that(after, matchers.Equals([0] * len(KEYS)))


def test_leaving_processes_and_other_domains_have_no_place(
    members: fleet_members.Members, state_of: conftest.StateOf
) -> None:
    ranks = domain_rank.DomainRanks(members)
    members.merge(state_of("n2", leaving=True), 0.0)
    assert_that(positions(members, ranks), matchers.Equals([0] * len(KEYS)))
    assert_that(ranks.position("u1", "b"), matchers.Is(None))
    members.own = attrs.evolve(members.own, leaving=True)
    assert_that(ranks.position("u1", members.domain), matchers.Is(None))
