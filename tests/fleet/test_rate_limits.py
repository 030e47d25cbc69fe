"""The fleet as a whole keeps to the rate that an upstream accepts.

The users' bound holds from three seconds after the first statement on, for
any window of four seconds: 1.5 times what the limit allows, and 5 requests.
"""

from __future__ import annotations

import math

import attrs
import pytest
from tests.fleet import scenarios
from testtools import matchers
from testtools.assertions import assert_that

from fakes import fleet as fleet_fake
from fakes import limited_traffic
from lovageyoke.fleet import messages

LIMITED = "u3"
STABLE_MS = 3_000.0
SIZES = [[6, 5, 5], [40, 40, 40]]
SIZE_IDS = ["16", "120"]
PER_UPSTREAM_PER_S = 8.0
DURATION_MS = 12_000.0
PERIODS_MS = {16: 40.0, 120: 120.0, 311: scenarios.LARGE_PERIOD_MS}


def limited_fleet(
    domains: list[int],
    per_s: float,
    *,
    upstreams: list[str] = scenarios.UPSTREAMS,
    requests_per_s: float | None = None,
    loss: float = 0.025,
) -> tuple[fleet_fake.Fleet, limited_traffic.LimitedTraffic]:
    """Returns a fleet that has just heard the first statement."""
    fleet = scenarios.fleet_of(
        domains,
        upstreams=upstreams,
        loss=loss,
        period_ms=PERIODS_MS[sum(domains)],
    )
    for process in fleet.processes:
        process.node.rate_limiter.started_ms = -math.inf
    traffic = limited_traffic.LimitedTraffic(
        fleet, LIMITED, requests_per_s or PER_UPSTREAM_PER_S * len(upstreams)
    )
    traffic.state_limit(per_s)
    fleet.run_until(lambda: set(traffic.limits()) != {None}, 5_000.0)
    return fleet, traffic


def check_windows(
    traffic: limited_traffic.LimitedTraffic, since_ms: float, per_s: float
) -> None:
    most = traffic.most_in_window(since_ms, limited_traffic.WINDOW_MS)
    allowed = limited_traffic.allowed(per_s)
    assert_that(most, matchers.Not(matchers.GreaterThan(allowed)))


@pytest.mark.parametrize(
    ("domains", "per_s"),
    [
        ([6, 5, 5], 0.3),
        ([6, 5, 5], 2.6),
        ([6, 5, 5], 30.0),
        ([40, 40, 40], 2.6),
        (scenarios.LARGE, 0.3),
    ],
)
def test_a_fleet_sends_no_more_than_an_upstream_accepts(
    domains: list[int], per_s: float
) -> None:
    fleet, traffic = limited_fleet(domains, per_s)
    stated_ms = fleet.clock.now_ms()
    fleet.run_until(lambda: traffic.all_know(per_s), scenarios.CHANGE_BOUND_MS)
    fleet.run(9_000.0)
    check_windows(traffic, stated_ms + STABLE_MS, per_s)


@pytest.mark.parametrize("domains", SIZES, ids=SIZE_IDS)
def test_a_limit_is_used_when_no_other_upstream_is_left(
    domains: list[int],
) -> None:
    per_s = 5.0
    fleet, traffic = limited_fleet(
        domains, per_s, upstreams=[LIMITED], requests_per_s=20.0 * len(domains)
    )
    fleet.run(STABLE_MS)
    begin_ms = fleet.clock.now_ms()
    fleet.run(DURATION_MS)
    check_windows(traffic, begin_ms, per_s)
    accepted = per_s * DURATION_MS / 1_000.0
    share = traffic.sent_since(begin_ms) / accepted
    assert_that(share, matchers.GreaterThan(0.3))


@pytest.mark.parametrize("domains", SIZES, ids=SIZE_IDS)
def test_all_learn_of_a_changed_and_an_ended_limit(
    domains: list[int],
) -> None:
    fleet, traffic = limited_fleet(domains, 8.0)
    fleet.run(STABLE_MS)
    traffic.state_limit(4.0)
    fleet.run_until(lambda: 4.0 in traffic.limits(), 20_000.0)
    fleet.run_until(lambda: traffic.all_know(4.0), scenarios.CHANGE_BOUND_MS)
    traffic.state_limit(None)
    fleet.run_until(lambda: None in traffic.limits(), 20_000.0)
    fleet.run_until(lambda: traffic.all_know(None), scenarios.CHANGE_BOUND_MS)


def test_a_limit_of_zero_is_not_kept_forever() -> None:
    fleet, traffic = limited_fleet([6, 5, 5], 0.0)
    begin_ms = fleet.clock.now_ms() + STABLE_MS
    fleet.run(10_000.0)
    check_windows(traffic, begin_ms, 0.0)
    traffic.state_limit(None)
    fleet.run_until(lambda: traffic.all_know(None), 40_000.0)


def test_restarts_and_joins_do_not_add_requests() -> None:
    per_s = 2.6
    fleet, traffic = limited_fleet([6, 5, 5], per_s)
    begin_ms = fleet.clock.now_ms() + STABLE_MS
    fleet.run(STABLE_MS)
    for index in range(10):
        fleet.add(f"domain-{index % 3}")
    fleet.run(4_000.0)
    for process in fleet.processes[:6]:
        process.start()
        fleet.run(700.0)
    for process in fleet.processes[8:12]:
        process.stop()
    fleet.run(6_000.0)
    check_windows(traffic, begin_ms, per_s)


def test_a_new_start_of_an_upstream_has_no_limit() -> None:
    fleet, _ = limited_fleet([6, 5, 5], 2.6)
    fleet.run(STABLE_MS)
    node = fleet.processes[0].node
    view = node.loads.by_id[LIMITED]
    old = messages.RateLimitReport(
        LIMITED, view.upstream.started_ms - 1, 0.0, 0
    )
    before = view.rate_limit
    assert before is not None
    node.rate_limiter.record_peer_report(old, fleet.clock.now_ms(), True)
    assert_that(before.per_s, matchers.Equals(2.6))
    node.apply_upstreams([])
    node.apply_upstreams([view.upstream])
    assert_that(node.loads.by_id[LIMITED].rate_limit, matchers.Is(before))
    node.apply_upstreams([])
    started_ms = view.upstream.started_ms + 1
    node.apply_upstreams([attrs.evolve(view.upstream, started_ms=started_ms)])
    assert_that(node.loads.by_id[LIMITED].rate_limit, matchers.Is(None))
