"""The budget spreads messages over the VM's link."""

from __future__ import annotations

import math

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import manual_clock
from lovageyoke.fleet import collectors
from lovageyoke.fleet import link_budget

LINK_BYTES_PER_S = 625_000.0
PEERS = 81


@pytest.fixture
def budget(clock: manual_clock.ManualClock) -> link_budget.LinkBudget:
    return link_budget.LinkBudget(clock, LINK_BYTES_PER_S)


def send(budget: link_budget.LinkBudget, size: int, count: int) -> None:
    for _ in range(count):
        budget.record(size)


def test_heartbeats_of_the_allowed_size_stay_within_the_link(
    budget: link_budget.LinkBudget, clock: manual_clock.ManualClock
) -> None:
    size = int(budget.heartbeat_bytes(PEERS))
    sent = 0
    start_ms = clock.now_ms()
    while clock.now_ms() - start_ms < 10_000.0:
        send(budget, size, PEERS)
        sent += PEERS * (size + link_budget.HEADER_BYTES)
        delay_ms = budget.heartbeat_delay_ms()
        assert_that(delay_ms, matchers.LessThan(collectors.SILENT_MS / 2.0))
        clock.advance(delay_ms)
    share = sent / (10.0 * LINK_BYTES_PER_S)
    assert_that(share, matchers.LessThan(link_budget.PEER_SHARE + 0.01))


def test_other_messages_wait_while_many_are_ahead(
    budget: link_budget.LinkBudget, clock: manual_clock.ManualClock
) -> None:
    assert_that(budget.has_room(), matchers.Equals(True))
    send(budget, 10_000, 10)
    assert_that(budget.has_room(), matchers.Equals(False))
    clock.advance(budget.delay_ms())
    assert_that(budget.has_room(), matchers.Equals(True))


def test_a_large_configuration_is_not_sent_to_a_whole_domain(
    budget: link_budget.LinkBudget,
) -> None:
    assert_that(budget.allows_broadcast(1_000, PEERS), matchers.Equals(True))
    assert_that(budget.allows_broadcast(30_000, PEERS), matchers.Equals(False))
    assert_that(budget.allows_broadcast(30_000, 2), matchers.Equals(True))


def test_an_unknown_link_limits_nothing(
    clock: manual_clock.ManualClock,
) -> None:
    budget = link_budget.LinkBudget(clock, 0.0)
    send(budget, 60_000, 1_000)
    assert_that(budget.delay_ms(), matchers.Equals(0.0))
    assert_that(budget.heartbeat_bytes(PEERS), matchers.Equals(math.inf))
    assert_that(budget.allows_broadcast(60_000, 311), matchers.Equals(True))
