"""The shares of a cold upstream's rate add up to no more than it survives."""

from __future__ import annotations

import math

import hypothesis
from hypothesis import strategies as st
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.routing import cold_rate

OVER = 1.5
SLACK = 8.0


def most_in_a_second(per_s: float, processes: int, most: float) -> int:
    """Returns the most requests that a group sends in a closed second."""
    senders = cold_rate.sender_count(per_s, processes, most)
    interval_ms = cold_rate.interval_ms(per_s, 0, processes, most)
    return senders * (math.floor(1_000.0 / interval_ms) + 1)


@hypothesis.given(per_s=st.floats(0.01, 500.0), processes=st.integers(1, 999))
def test_all_senders_together_stay_within_the_bound(
    per_s: float, processes: int
) -> None:
    most = OVER * per_s + SLACK
    sent = most_in_a_second(per_s, processes, most)
    assert_that(sent, matchers.Not(matchers.GreaterThan(most)))


@hypothesis.given(
    per_s=st.floats(0.01, 10.0),
    processes=st.tuples(st.integers(1, 300), st.integers(1, 300)),
)
def test_two_groups_that_know_nothing_of_each_other_stay_within_it(
    per_s: float, processes: tuple[int, int]
) -> None:
    most = OVER * per_s + SLACK
    large = [each for each in processes if each > most / 2.0]
    sent = sum(most_in_a_second(per_s, each, most) for each in large)
    assert_that(sent, matchers.Not(matchers.GreaterThan(most)))


def test_the_senders_use_the_whole_rate() -> None:
    intervals = [
        cold_rate.interval_ms(5.0, each, 43, OVER * 5.0 + SLACK)
        for each in range(43)
    ]
    sent_per_s = sum(1_000.0 / each for each in intervals)
    assert_that(round(sent_per_s, 6), matchers.Equals(5.0))


def test_processes_of_other_domains_send_nothing() -> None:
    interval_ms = cold_rate.interval_ms(5.0, None, 43, 15.5)
    assert_that(interval_ms, matchers.Equals(math.inf))
