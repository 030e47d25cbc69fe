"""Token buckets of accounts: depth, shares and what is admitted."""

from __future__ import annotations

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.limits import account_use
from lovageyoke.limits import quota
from lovageyoke.routing import model

TOLERANCE = quota.Tolerance(5_000.0, 0.1, 20.0)


def limit(per_s: float, burst: float) -> quota.Quota:
    account = model.ClientAccount("mill", (), None, per_s, burst)
    return quota.quota_of(account, TOLERANCE)


@pytest.mark.parametrize("per_s", [0.01, 1.0, 1e6])
@pytest.mark.parametrize("burst", [0.0, 50.0, 1e6])
def test_a_bucket_leaves_room_for_late_counts(
    per_s: float, burst: float
) -> None:
    # Guards against a depth that uses up the tolerated excess.
    excess = 0.1 * (5.0 * per_s + burst) + 20.0
    depth = limit(per_s, burst).depth
    assert_that(depth, matchers.GreaterThan(burst + 0.3 * excess))
    assert_that(depth, matchers.LessThan(burst + 0.7 * excess))


def test_a_bucket_without_tolerance_admits_a_request() -> None:
    account = model.ClientAccount("mill", (), None, 0.1, 0.0)
    strict = quota.quota_of(account, quota.Tolerance(5_000.0, 0.0, 0.0))
    assert_that(strict.depth, matchers.Equals(1.0))


def test_tokens_are_added_up_to_the_depth() -> None:
    bucket = quota.Bucket(quota.Quota(2.0, 10.0), 0.0, 0.0)
    assert_that(bucket.advance(3_000.0), matchers.Equals(6.0))
    assert_that(bucket.advance(60_000.0), matchers.Equals(10.0))
    bucket.set_quota(quota.Quota(1.0, 4.0), 60_000.0)
    assert_that(bucket.level, matchers.Equals(4.0))


def test_a_smaller_share_takes_tokens_and_a_larger_one_brings_none() -> None:
    # Guards against groups that each keep all tokens after a partition.
    bucket = quota.Bucket(quota.Quota(2.0, 10.0), 8.0, 0.0)
    bucket.set_share(0.25, 0.0)
    assert_that(bucket.level, matchers.Equals(2.0))
    assert_that(bucket.advance(1_000.0), matchers.Equals(2.5))
    bucket.set_share(1.0, 1_000.0)
    assert_that(bucket.level, matchers.Equals(2.5))
    bucket.level = -3.0
    bucket.set_share(0.5, 1_000.0)
    assert_that(bucket.level, matchers.Equals(-3.0))


@pytest.mark.parametrize(
    ("level", "demand_per_s", "expected"),
    [
        (0.0, 10.0, 1.0),
        (0.0, 40.0, 0.25),
        (5.0, 40.0, 0.5),
        (-5.0, 40.0, 0.0),
        (-50.0, 40.0, 0.0),
    ],
)
def test_tokens_are_used_up_within_the_horizon(
    level: float, demand_per_s: float, expected: float
) -> None:
    ratio = quota.admission_ratio(level, 10.0, demand_per_s, 500.0)
    assert_that(ratio, matchers.Equals(expected))


def test_demand_is_a_decaying_rate() -> None:
    demand = quota.Demand()
    for at_ms in range(0, 3_000, 20):
        demand.record(1.0, float(at_ms), 300.0)
    rate = demand.per_s(2_990.0, 300.0)
    assert_that(abs(rate - 50.0), matchers.LessThan(2.0))
    assert_that(demand.per_s(6_000.0, 300.0), matchers.LessThan(0.1))


def use_of(tokens: float) -> account_use.AccountUse:
    bucket = quota.Bucket(quota.Quota(10.0, 20.0), tokens, 0.0)
    return account_use.AccountUse("mill", 1, bucket, 0.5, 0.5)


def test_a_share_of_the_requests_is_admitted_exactly() -> None:
    use = use_of(0.0)
    admitted = sum(use.takes_share(0.3) for _ in range(100))
    assert_that(admitted, matchers.Equals(30))
    assert_that(use.takes_share(1.0), matchers.Equals(True))


def test_tokens_told_long_ago_are_taken_for_used() -> None:
    # Guards against processes that all use the same tokens while no collector
    # reports more.
    use = use_of(0.0)
    use.reported_tokens, use.reported_ms = 10.0, 0.0

    def level(now_ms: float) -> float:
        return use.reported_level(
            now_ms, heard_ms=0.0, oldest_ms=-500.0, horizon_ms=200.0
        )

    assert_that(level(50.0), matchers.Equals(10.5))
    assert_that(level(460.0), matchers.LessThan(2.0))
    use.unreported.extend([(20.0, 1), (30.0, 1), (40.0, -1)])
    assert_that(level(50.0), matchers.Equals(9.5))
    use.drop_reported(25.0)
    assert_that(level(50.0), matchers.Equals(10.5))
