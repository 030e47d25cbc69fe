"""Tests of the membership bench."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from lovageyoke.bench import membership_run

BUDGET_BYTES_PER_S = 10_000


@pytest.fixture(scope="module")
def result():
    return membership_run.measure(16, seed=1)


def test_membership_stays_within_its_share_of_the_network(result):
    assertions.assert_that(
        result.wire_bytes_per_s, matchers.LessThan(BUDGET_BYTES_PER_S)
    )


def test_crashes_and_drains_are_noticed_in_time(result):
    assertions.assert_that(result.drain_ms, matchers.LessThan(3_000))
    assertions.assert_that(result.all_suspicion_ms, matchers.LessThan(10_000))
    assertions.assert_that(result.lossy_suspicions, matchers.Equals(0))


def test_false_suspicions_are_counted():
    result = membership_run.measure(8, seed=1, loss=0.9)
    assertions.assert_that(result.lossy_suspicions, matchers.GreaterThan(0))
