"""Buffered changes are complete after the revision that is given for them."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
from testtools import matchers
from testtools.assertions import assert_that

from fakes import positions
from lovageyoke.fleet import changes as fleet_changes
from lovageyoke.fleet import messages

STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),  # Advance of the revision; several may share one.
        st.sampled_from([0, 300, 900, 5_000]),  # Bytes of the value.
        st.sampled_from([0.0, 10.0, 1_500.0]),  # Time until the change.
    ),
    max_size=60,
)


@hypothesis.given(STEPS)
def test_no_change_after_the_given_revision_is_missing(
    steps: list[tuple[int, int, float]],
) -> None:
    recent = fleet_changes.RecentChanges()
    recent.reset(positions.at(1))
    made = []
    revision = 2
    now_ms = 0.0
    for advance, size, pause_ms in steps:
        revision += advance
        now_ms += pause_ms
        change = messages.EntryChange(
            f"k{len(made)}", positions.at(revision), b"x" * size
        )
        made.append(change)
        recent.add(change, now_ms)
    since, found = recent.for_heartbeat(positions.at(revision), now_ms)
    newer = [each for each in made if each.position > since]
    carried = [each for each in found if each.position > since]
    assert_that(carried, matchers.Equals(newer))
