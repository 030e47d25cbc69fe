"""Competition between processes for capacity that all of them see."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.limits import shared_capacity

AMOUNTS = strategies.floats(0.0, 500.0)


@hypothesis.given(AMOUNTS, AMOUNTS, AMOUNTS, AMOUNTS)
def test_no_class_is_starved_nor_takes_more_than_is_free(
    free: float, ahead: float, level: float, behind: float
) -> None:
    """Guards against starvation and against crowds at few free slots."""
    level = max(level, 1.0)
    all_tries = ahead + level + behind
    chance = shared_capacity.probability(free, ahead, level, all_tries)
    assert_that(
        chance >= min(1.0, 0.25 * free / all_tries), matchers.Equals(True)
    )
    assert_that(chance * level <= free + 1e-6, matchers.Equals(True))
    assert_that(0.0 <= chance <= 1.0, matchers.Equals(True))


@hypothesis.given(AMOUNTS, AMOUNTS, AMOUNTS, strategies.floats(0.0, 50.0))
def test_more_urgent_competitors_never_raise_the_chance(
    free: float, ahead: float, level: float, more: float
) -> None:
    level = max(level, 1.0)
    before = shared_capacity.probability(free, ahead, level, ahead + level)
    after = shared_capacity.probability(
        free, ahead + more, level, ahead + more + level
    )
    assert_that(after <= before + 1e-9, matchers.Equals(True))


def test_counts_are_compared_by_urgency() -> None:
    own = shared_capacity.urgency(late=False, priority=1)
    counts = [("s", 4), ("other", 9)]
    for late, priority, count in [
        (False, 0, 2),
        (False, 1, 3),
        (False, 2, 5),
        (True, 0, 7),
    ]:
        key = shared_capacity.urgency(late, priority).key("s")
        counts.append((key, count))
    waiting = shared_capacity.Waiting.from_counts(counts, "s", own)
    expected = shared_capacity.Waiting(total=17, ahead=2, level=3)
    assert_that(waiting, matchers.Equals(expected))


def test_processes_that_state_no_urgency_count_as_equal() -> None:
    """Guards against crowds while an earlier version runs in the fleet."""
    own = shared_capacity.urgency(late=False, priority=1)
    waiting = shared_capacity.Waiting.from_counts([("s", 4)], "s", own)
    assert_that(waiting.level, matchers.Equals(4))
