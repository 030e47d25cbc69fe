"""A stopping process accepts only what it can answer."""

from __future__ import annotations

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.limits import shutdown


@pytest.mark.parametrize(
    ("arrived_ms", "wait_ms", "accepted"),
    [
        (2_900.0, 8_500.0, True),
        (3_100.0, 1_500.0, True),
        (3_700.0, 1_500.0, True),
        (3_900.0, 1_500.0, False),
        (4_900.0, 1_500.0, False),
        (5_200.0, 100.0, True),
        (5_390.0, 100.0, False),
    ],
)
def test_late_requests_must_be_due_before_the_end(
    arrived_ms: float, wait_ms: float, accepted: bool
) -> None:
    stop = shutdown.Shutdown(started_ms=0.0, grace_ms=6_000.0)
    found = stop.accepts(arrived_ms, arrived_ms + wait_ms)
    assert_that(found, matchers.Equals(accepted))


def test_upstreams_must_respond_before_the_end() -> None:
    stop = shutdown.Shutdown(started_ms=0.0, grace_ms=6_000.0)
    assert_that(stop.answers_due_ms, matchers.LessThan(stop.end_ms))


def test_a_short_grace_leaves_time_to_refuse() -> None:
    stop = shutdown.Shutdown(started_ms=0.0, grace_ms=2_000.0)
    assert_that(stop.accepts(1_100.0, 2_000.0), matchers.Equals(False))
