"""Weighted choice among upstreams by latency and free capacity.

Models upstreams of six slots that are seven times slower for a third of the
time, and processes that share slightly stale reports.
"""

from __future__ import annotations

import collections
import math
import random

from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.routing import load_view
from lovageyoke.routing import model
from lovageyoke.routing import placement
from lovageyoke.routing import rate_limit

WORK = placement.WorkEstimate(service_ms=100.0, answer_kb=1.0, contention=1.7)
DOWNLOAD = placement.WorkEstimate(service_ms=100.0, answer_kb=90.0)


def view(
    name: str,
    running: int = 0,
    slowdown: float = 1.0,
    domain: str = "a",
    draining: bool = False,
) -> load_view.UpstreamView:
    upstream = model.Upstream(
        name, 1, "maps", "10.0.0.1", 80, domain, 6, draining
    )
    known = load_view.UpstreamView(upstream, added_ms=0.0)
    known.apply_report(load_view.LoadReport(running, 0, 6, slowdown), 0.0)
    return known


def evaluate(
    views: list[load_view.UpstreamView], work: placement.WorkEstimate = WORK
) -> list[placement.Candidate]:
    return placement.evaluate_all(
        views, work, failure_domain="a", default_slowdown=2.0, now_ms=0.0
    )


def choose_many(
    views: list[load_view.UpstreamView], work: placement.WorkEstimate = WORK
) -> collections.Counter[str]:
    rng = random.Random(1)  # noqa: S311
    choices = evaluate(views, work)
    counter: collections.Counter[str] = collections.Counter()
    for _ in range(1_000):
        choice = placement.choose_weighted(choices, rng)
        assert choice is not None
        counter[choice.view.upstream.upstream_id] += 1
    return counter


def test_slow_upstream_gets_almost_no_requests() -> None:
    counts = choose_many([view("slow", slowdown=7.0), view("fast", running=3)])
    assert_that(counts["slow"], matchers.LessThan(5))


def test_equal_upstreams_share_by_free_capacity() -> None:
    counts = choose_many([view("empty"), view("half", running=2)])
    assert_that(counts["half"], matchers.GreaterThan(250))
    assert_that(counts["half"], matchers.LessThan(420))


def test_one_free_upstream_is_not_overloaded() -> None:
    views = [view(f"u{index}", running=2) for index in range(9)]
    counts = choose_many([*views, view("free")])
    assert_that(counts["free"], matchers.LessThan(250))


def test_large_responses_stay_in_their_failure_domain() -> None:
    counts = choose_many([view("near"), view("far", domain="b")], DOWNLOAD)
    assert_that(counts["far"], matchers.LessThan(20))


def test_large_request_bodies_stay_in_their_failure_domain() -> None:
    upload = placement.WorkEstimate(100.0, 0.4, request_kb=90.0)
    counts = choose_many([view("near"), view("far", domain="b")], upload)
    assert_that(counts["far"], matchers.LessThan(20))


def test_large_response_uses_a_much_faster_remote_upstream() -> None:
    counts = choose_many(
        [view("near", slowdown=7.0), view("far", domain="b")], DOWNLOAD
    )
    assert_that(counts["far"], matchers.GreaterThan(900))


def test_contention_limits_the_free_capacity() -> None:
    crowded = view("u", running=4)
    assert_that(placement.free_capacity(crowded, WORK), matchers.Equals(0.0))
    harmless = placement.WorkEstimate(100.0, 1.0, contention=1.0)
    assert_that(
        placement.free_capacity(crowded, harmless), matchers.Equals(2.0)
    )


def test_contention_leaves_both_slots_of_a_small_upstream_in_use() -> None:
    """Guards against a capacity halved by rounding down to one request."""
    small = load_view.UpstreamView(
        model.Upstream("u", 1, "maps", "10.0.0.1", 80, "a", 2), added_ms=0.0
    )
    mild = placement.WorkEstimate(100.0, 1.0, contention=1.4)
    assert_that(placement.capacity(small, mild), matchers.Equals(2))
    assert_that(placement.capacity(small, WORK), matchers.Equals(1))


def test_free_capacity_filter_needs_room_and_a_timely_response() -> None:
    choices = evaluate(
        [view("full", running=6), view("slow", slowdown=7.0), view("good")]
    )
    good = placement.with_free_capacity(choices, max_ms=300.0)
    names = [each.view.upstream.upstream_id for each in good]
    assert_that(names, matchers.Equals(["good"]))


def test_late_requests_avoid_scarce_fast_upstreams() -> None:
    choices = evaluate(
        [view("quick", running=3), view("full", running=6), view("slow", 0, 7)]
    )
    assert_that(
        placement.is_scarce(choices, target_ms=300.0),
        matchers.Equals(True),
    )
    left = placement.too_slow(choices, target_ms=300.0)
    names = {each.view.upstream.upstream_id for each in left}
    assert_that(names, matchers.Equals({"slow"}))


def test_fast_upstreams_with_free_capacity_are_not_scarce() -> None:
    choices = evaluate([view("quick"), view("busy", running=4)])
    assert_that(
        placement.is_scarce(choices, target_ms=300.0),
        matchers.Equals(False),
    )


def test_draining_upstream_is_not_a_candidate() -> None:
    assert_that(evaluate([view("u", draining=True)]), matchers.Equals([]))


def test_failing_upstream_is_avoided() -> None:
    failing = view("failing")
    for _ in range(4):
        failing.record_outcome(True, 0.0)
    counts = choose_many([failing, view("sound")])
    assert_that(counts["failing"], matchers.LessThan(10))


def test_local_upstream_of_equal_cost_is_preferred() -> None:
    small = placement.WorkEstimate(100.0, 0.1)
    counts = choose_many([view("near"), view("far", domain="b")], small)
    assert_that(counts["near"], matchers.GreaterThan(700))
    assert_that(counts["far"], matchers.GreaterThan(100))


def limited_view(wait_ms: float) -> load_view.UpstreamView:
    limited = view("limited")
    limited.rate_limit = rate_limit.RateLimit(rate_limit.Statement(2.0, 0.0))
    limited.rate_limit.share.update(
        wait_ms or 1.0, 0.0, phase=0.0, settled=True
    )
    limited.rate_limit.share.last_sent_ms = 0.0 if wait_ms else -10.0
    return limited


def test_a_rate_limited_upstream_counts_as_one_request_or_none() -> None:
    (now,) = evaluate([limited_view(0.0)])
    assert_that((now.free, now.capacity), matchers.Equals((1.0, 1.0)))
    (later,) = evaluate([limited_view(500.0)])
    assert_that(later.free, matchers.Equals(0.0))
    assert_that(later.latency_ms, matchers.GreaterThan(500.0))


def test_a_process_without_a_share_has_no_use_of_a_limited_upstream() -> None:
    assert_that(evaluate([limited_view(math.inf)]), matchers.Equals([]))


def test_scarcity_does_not_count_on_a_limited_upstream() -> None:
    choices = evaluate([view("full", running=6), limited_view(500.0)])
    assert_that(
        placement.is_scarce(choices, target_ms=300.0), matchers.Equals(True)
    )
