"""Tests of rendezvous hashing and the fixed membership."""

from __future__ import annotations

import collections

import attrs
from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools import assertions
from testtools import matchers

from lovageyoke.membership import api
from lovageyoke.membership import rendezvous
from lovageyoke.membership import static

IDS = st.lists(st.text(min_size=1), min_size=2, max_size=12, unique=True)


@given(IDS, st.integers(0, 1_000), st.data())
def test_only_shards_of_a_removed_entry_move(ids, shard, data):
    removed = data.draw(st.sampled_from(ids))
    before = rendezvous.owner(str(shard), ids)
    after = rendezvous.owner(str(shard), [i for i in ids if i != removed])
    assertions.assert_that(after == before, matchers.Equals(before != removed))
    assertions.assert_that(
        rendezvous.ranked(str(shard), ids)[0], matchers.Equals(before)
    )


def test_shards_spread_over_the_entries():
    ids = [f"entry-{number}" for number in range(16)]
    counts = collections.Counter(
        rendezvous.owner(str(shard), ids) for shard in range(1_600)
    )
    assertions.assert_that(min(counts.values()), matchers.GreaterThan(60))
    assertions.assert_that(max(counts.values()), matchers.LessThan(140))


def member(entry_id, state=api.MemberState.ALIVE):
    return api.Member(entry_id, 1, "127.0.0.1:1", "127.0.0.1:2", "a", state)


def test_leaving_entries_own_nothing_and_dead_ones_are_not_listed():
    view = static.StaticMembership("a", (member("a"), member("b")))
    view.replace(member("b", api.MemberState.LEAVING))
    owners = {view.owner(shard) for shard in range(50)}
    assertions.assert_that(owners, matchers.Equals({"a"}))
    view.replace(attrs.evolve(member("b"), state=api.MemberState.DEAD))
    assertions.assert_that(view.members(), matchers.Equals((member("a"),)))
    assertions.assert_that(view.probe_divisor(0.0), matchers.Equals(2))


def test_an_entry_must_be_among_its_members():
    with pytest.raises(ValueError, match="zed"):
        static.StaticMembership("zed", (member("a"),))
