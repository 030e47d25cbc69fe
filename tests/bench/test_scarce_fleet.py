"""Plays loads beyond capacity and checks what callers get, in virtual time."""

from __future__ import annotations

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import scarce_fleet

SEEDS = (1, 2)


@pytest.fixture(scope="module")
def overload() -> list[scarce_fleet.Fleet]:
    load = scarce_fleet.Load()
    return [scarce_fleet.simulate(load, seed) for seed in SEEDS]


def served(fleets: list[scarce_fleet.Fleet], kind: str) -> float:
    """Returns the share of a kind's callers that got a response."""
    results = [each.by_kind[kind] for each in fleets]
    sent = sum(each.sent for each in results)
    return sum(each.served * each.sent for each in results) / sent


def test_crowds_do_not_fill_upstreams(
    overload: list[scarce_fleet.Fleet],
) -> None:
    """Guards against 1 of 5 attempts lost at full upstreams, as was seen."""
    lost = sum(each.upstreams.unanswered for each in overload)
    sends = sum(each.upstreams.sends for each in overload)
    assert_that(lost, matchers.LessThan(0.02 * sends))


def test_most_urgent_kind_is_served_at_1_7_times_the_capacity(
    overload: list[scarce_fleet.Fleet],
) -> None:
    """Guards against urgent requests that compete equally in the fleet."""
    assert_that(served(overload, "booking"), matchers.GreaterThan(0.8))


def test_no_kind_is_starved(overload: list[scarce_fleet.Fleet]) -> None:
    shares = [served(overload, each.name) for each in scarce_fleet.KINDS]
    mean = sum(shares) / len(shares)
    assert_that(min(shares), matchers.GreaterThan(0.25 * mean))


def test_less_urgent_kind_is_not_served_more_often(
    overload: list[scarce_fleet.Fleet],
) -> None:
    """Guards against freed slots that all go to those that wait longest.

    The bound is 5 in 100; the few callers of a run need a margin.
    """
    least = served(overload, "reservation") - 0.1
    assert_that(served(overload, "look-up"), matchers.GreaterThan(least))


def test_busy_account_starves_none() -> None:
    """Guards against an account at 7.5 times its rate taking all capacity."""
    load = scarce_fleet.Load(accounts=8, busy_factor=7.5)
    results = scarce_fleet.simulate(load, 1).by_account
    mean = sum(each.served for each in results.values()) / len(results)
    for each in results.values():
        assert_that(each.served, matchers.GreaterThan(0.25 * mean))


def test_callers_that_repeat_at_once_starve_none() -> None:
    """Guards against immediate repeats that take the place of waiting ones."""
    fleet = scarce_fleet.simulate(scarce_fleet.Load(repeating=0.4), 1)
    assert_that(served([fleet], "booking"), matchers.GreaterThan(0.7))
