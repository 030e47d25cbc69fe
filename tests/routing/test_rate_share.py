"""The shares of all senders together stay below an upstream's limit."""

from __future__ import annotations

import math

import hypothesis
from hypothesis import strategies as st
import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.routing import rate_share

WINDOW_MS = 4_000.0


def settled_share(interval_ms: float) -> rate_share.RateShare:
    share = rate_share.RateShare()
    share.update(interval_ms, 0.0, phase=0.0, settled=True)
    return share


@hypothesis.given(per_s=st.floats(0.0, 500.0), processes=st.integers(1, 2_000))
def test_all_bursts_in_one_window_stay_within_the_users_bound(
    per_s: float, processes: int
) -> None:
    senders = rate_share.sender_count(per_s, processes)
    interval_ms = rate_share.interval_ms(per_s, 0, processes)
    most = senders * (WINDOW_MS // interval_ms + 1)
    assert_that(most, matchers.LessThan(1.5 * 4.0 * per_s + 5.0))


def test_only_the_first_processes_send() -> None:
    intervals = [rate_share.interval_ms(2.6, each, 16) for each in range(16)]
    senders = [each for each in intervals if math.isfinite(each)]
    assert_that(senders, matchers.HasLength(6))
    sent_per_s = sum(1_000.0 / each for each in senders)
    assert_that(round(sent_per_s, 6), matchers.Equals(2.6))
    leaving = rate_share.interval_ms(2.6, None, 16)
    assert_that(leaving, matchers.Equals(math.inf))


def test_a_process_that_never_sent_is_no_sender() -> None:
    share = settled_share(math.inf)
    assert_that(share.wait_ms(0.0), matchers.Equals(math.inf))
    assert_that(share.sends_within(1_000.0, 0.0), matchers.Equals(0.0))


def test_sends_are_spaced() -> None:
    share = settled_share(500.0)
    assert_that(share.wait_ms(0.0), matchers.Equals(0.0))
    share.last_sent_ms = 100.0
    assert_that(share.wait_ms(200.0), matchers.Equals(400.0))
    assert_that(share.sends_within(1_400.0, 200.0), matchers.Equals(3.0))
    share.update(1_000.0, 200.0, phase=0.5, settled=True)
    assert_that(share.wait_ms(200.0), matchers.Equals(900.0))


@pytest.mark.parametrize(
    ("before", "settled"), [(math.inf, True), (math.inf, False), (None, False)]
)
def test_a_new_sender_waits_for_the_previous_one(
    before: float | None, settled: bool
) -> None:
    share = rate_share.RateShare(interval_ms=before)
    share.update(500.0, 0.0, phase=0.0, settled=settled)
    expected = matchers.Equals(rate_share.HANDOVER_MS)
    assert_that(share.wait_ms(0.0), expected)


def test_an_ended_limit_permits_every_send() -> None:
    share = settled_share(math.inf)
    share.update(None, 10.0, phase=0.0, settled=True)
    assert_that(share.wait_ms(10.0), matchers.Equals(0.0))
