"""The fleet as a whole keeps to the rate that a cold upstream accepts.

The users' bound holds in any second in which the upstream is cold: 1.5 times
the rate, and 8 requests. All requests are for the cold upstream, as there is
no other one, and far more than it accepts.
"""

from __future__ import annotations

import math

import attrs
import pytest
from tests.fleet import conftest
from tests.fleet import scenarios
from testtools import matchers
from testtools.assertions import assert_that

from fakes import fleet as fleet_fake
from fakes import limited_traffic
from fakes import positions
from lovageyoke.node import cold_starts
from lovageyoke.routing import model
from lovageyoke.routing import rate_share
from lovageyoke.store import revisions

COLD = "u3"
PER_S = 5.0
MOST = 1.5 * PER_S + 8.0
REQUESTS_PER_S = 4.0  # Per process, so that senders always have one.
COLD_MS = 6_000.0  # Longer than that of the users, for more windows.
SIZES = [[6, 5, 5], [50, 40, 40], scenarios.LARGE]
SIZE_IDS = ["16", "130", "311"]
PERIODS_MS = {16: 40.0, 130: 120.0, 311: scenarios.LARGE_PERIOD_MS}


def decode_upstream(key: str, value: bytes) -> model.Upstream:
    """Decodes an upstream of domain-0; the value is its start and cold ms."""
    started_ms, cold_ms = value.split() if b" " in value else (b"1", b"0")
    return attrs.evolve(
        conftest.decode_upstream(key, b"x"),
        failure_domain="domain-0",
        started_ms=int(started_ms),
        cold_ms=float(cold_ms),
    )


def layout_with(cold_per_s: float | None) -> fleet_fake.fleet_layout.Layout:
    def decode_configuration(value: bytes) -> model.Configuration:
        service = model.Service("maps", "/", 0, cold_per_s)
        return attrs.evolve(
            conftest.decode_configuration(value), services={"maps": service}
        )

    return attrs.evolve(
        conftest.LAYOUT,
        decode_upstream=decode_upstream,
        decode_configuration=decode_configuration,
    )


def fleet_with_traffic(
    domains: list[int],
    *,
    cold_per_s: float | None = PER_S,
    upstreams: list[str] | None = None,
) -> tuple[fleet_fake.Fleet, limited_traffic.LimitedTraffic]:
    """Returns a fleet that has run for a while, and its requests."""
    fleet = fleet_fake.Fleet(
        layout_with(cold_per_s),
        domains,
        loss=0.025,
        period_ms=PERIODS_MS[sum(domains)],
    )
    fleet.populate([COLD] if upstreams is None else upstreams)
    fleet.run(2_000.0)
    for process in fleet.processes:
        process.node.rate_limiter.started_ms = -math.inf
    traffic = limited_traffic.LimitedTraffic(
        fleet, COLD, REQUESTS_PER_S * len(fleet.processes)
    )
    return fleet, traffic


def register(
    fleet: fleet_fake.Fleet,
    *watchers: fleet_fake.Process,
    started_ms: int = 2,
    cold_ms: float = COLD_MS,
) -> None:
    """Delivers the entry of a new start of the upstream."""
    revision = (
        max(each.replica.position.revision for each in fleet.running()) + 1
    )
    value = b"%d %d" % (started_ms, cold_ms)
    for watcher in watchers:
        change = revisions.Change(f"up/{COLD}", positions.at(revision), value)
        fleet.deliver_changes(watcher, change)


def knows_cold(process: fleet_fake.Process) -> bool:
    view = process.node.loads.by_id.get(COLD)
    return view is not None and view.is_cold_limited()


def all_know(fleet: fleet_fake.Fleet) -> bool:
    return all(knows_cold(each) for each in fleet.running())


def check_windows(
    traffic: limited_traffic.LimitedTraffic, since_ms: float
) -> None:
    sent = traffic.most_in_window(since_ms, 1_000.0)
    assert_that(sent, matchers.Not(matchers.GreaterThan(MOST)))


def halves(fleet: fleet_fake.Fleet) -> fleet_fake.Cut:
    """Returns a cut through the middle of each failure domain."""
    odd = {each.address for each in fleet.processes[1::2]}
    return lambda sender, receiver: (sender in odd) != (receiver in odd)


def between_domains(fleet: fleet_fake.Fleet) -> fleet_fake.Cut:
    domains = {each.address: each.domain for each in fleet.processes}
    return lambda sender, receiver: domains[sender] != domains[receiver]


CUTS = {"halves": halves, "domains": between_domains}


@pytest.mark.parametrize("domains", SIZES, ids=SIZE_IDS)
def test_a_new_upstream_gets_no_more_than_it_accepts_while_cold(
    domains: list[int],
) -> None:
    fleet, traffic = fleet_with_traffic(domains, upstreams=[])
    begin_ms = fleet.clock.now_ms()
    register(fleet, fleet.processes[2])
    fleet.run_until(lambda: all_know(fleet), scenarios.CHANGE_BOUND_MS)
    end_ms = begin_ms + COLD_MS
    fleet.run(end_ms - fleet.clock.now_ms())
    check_windows(traffic, begin_ms)
    accepted = PER_S * COLD_MS / 1_000.0
    share = traffic.sent_since(begin_ms) / accepted
    assert_that(share, matchers.GreaterThan(0.3))
    fleet.run(scenarios.CHANGE_BOUND_MS)
    limits = {each.node.cold_starts.cold_count() for each in fleet.running()}
    assert_that(limits, matchers.Equals({0}))


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("domains", SIZES, ids=SIZE_IDS)
def test_the_bound_holds_for_all_sides_of_a_partition_together(
    domains: list[int], cut: str
) -> None:
    fleet, traffic = fleet_with_traffic(domains, upstreams=[])
    fleet.cut = CUTS[cut](fleet)
    fleet.run(4_000.0)
    begin_ms = fleet.clock.now_ms()
    register(fleet, *fleet.processes[::3])
    fleet.run(COLD_MS)
    check_windows(traffic, begin_ms)
    assert_that(traffic.sent_since(begin_ms), matchers.GreaterThan(5))


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("domains", SIZES[:2], ids=SIZE_IDS[:2])
def test_the_bound_holds_after_a_restart_of_all_in_a_partition(
    domains: list[int], cut: str
) -> None:
    # The sides know nothing of each other.
    fleet, traffic = fleet_with_traffic(domains, upstreams=[])
    fleet.cut = CUTS[cut](fleet)
    for each in fleet.processes:
        each.start()
    for each in fleet.processes[::3]:
        each.replica.apply_read(
            revisions.Listing((), positions.at(9)),
            revisions.Listing(
                (revisions.Item("config", b"1", positions.at(1)),),
                positions.at(9),
            ),
            fleet.clock.now_ms(),
            stale=True,
        )
    fleet.run(2_000.0)
    begin_ms = fleet.clock.now_ms()
    register(fleet, *fleet.processes[::3], cold_ms=9_000.0)
    fleet.run(9_000.0)
    check_windows(traffic, begin_ms)


@pytest.mark.parametrize("domains", SIZES, ids=SIZE_IDS)
def test_an_upstream_that_becomes_cold_again_is_limited_at_once(
    domains: list[int],
) -> None:
    fleet, traffic = fleet_with_traffic(domains)
    checker = fleet.processes[3]
    view = checker.node.loads.by_id[COLD]
    now_ms = fleet.clock.now_ms()
    checker.node.cold_starts.record_check(view, COLD_MS, now_ms - 4.0)
    assert_that(knows_cold(checker), matchers.Equals(True))
    checker.messenger.send_heartbeats()
    fleet.run_until(lambda: all_know(fleet), scenarios.CHANGE_BOUND_MS)
    begin_ms = fleet.clock.now_ms()
    fleet.run(now_ms + COLD_MS - begin_ms)
    check_windows(traffic, begin_ms)
    ends = {
        each.node.loads.by_id[COLD].cold.end_ms  # type: ignore[union-attr]
        for each in fleet.running()
    }
    # Messages that relay the time don't prolong it.
    late_ms = max(ends) - now_ms - COLD_MS
    assert_that(late_ms, matchers.LessThan(400.0))
    assert_that(min(ends), matchers.Not(matchers.LessThan(now_ms + COLD_MS)))


def test_the_end_of_a_cold_time_reaches_all() -> None:
    fleet, _ = fleet_with_traffic(SIZES[0])
    register(fleet, fleet.processes[2])
    fleet.run_until(lambda: all_know(fleet), scenarios.CHANGE_BOUND_MS)
    fleet.run(500.0)
    checker = fleet.processes[3]
    view = checker.node.loads.by_id[COLD]
    now_ms = fleet.clock.now_ms()
    checker.node.cold_starts.record_check(view, 0.0, now_ms - 4.0)
    fleet.run_until(
        lambda: not any(knows_cold(each) for each in fleet.running()),
        scenarios.CHANGE_BOUND_MS,
    )


def test_new_starts_under_one_id_share_one_rate() -> None:
    fleet, traffic = fleet_with_traffic(SIZES[1], upstreams=[])
    begin_ms = fleet.clock.now_ms()
    for started_ms in range(2, 7):
        register(fleet, fleet.processes[2], started_ms=started_ms)
        fleet.run(1_300.0)
    check_windows(traffic, begin_ms)


def test_restarts_and_joins_in_a_cold_time_do_not_add_requests() -> None:
    fleet, traffic = fleet_with_traffic(SIZES[1], upstreams=[])
    begin_ms = fleet.clock.now_ms()
    register(fleet, fleet.processes[60], cold_ms=12_000.0)
    for index in range(8):
        fleet.add("domain-0")
        fleet.processes[index].start()
        fleet.processes[10 + index].stop()
        fleet.run(600.0)
    fleet.run(6_000.0)
    check_windows(traffic, begin_ms)


def test_a_process_that_has_just_started_waits_for_its_share() -> None:
    fleet, _ = fleet_with_traffic(SIZES[0], upstreams=[])
    for process in fleet.processes:
        process.node.rate_limiter.started_ms = fleet.clock.now_ms()
    register(fleet, fleet.processes[2])
    fleet.run_until(lambda: all_know(fleet), scenarios.CHANGE_BOUND_MS)
    now_ms = fleet.clock.now_ms()
    for process in fleet.running():
        process.node.rate_limiter.update_shares(now_ms)
        wait_ms = process.node.loads.by_id[COLD].rate_wait_ms(now_ms)
        least_ms = rate_share.HANDOVER_MS - scenarios.CHANGE_BOUND_MS
        assert_that(wait_ms, matchers.GreaterThan(least_ms))


def test_a_service_without_a_cold_rate_is_served_as_before() -> None:
    fleet, traffic = fleet_with_traffic(SIZES[0], cold_per_s=None)
    register(fleet, fleet.processes[2])
    fleet.run(1_000.0)
    begin_ms = fleet.clock.now_ms()
    fleet.run(2_000.0)
    assert_that(traffic.sent_since(begin_ms), matchers.GreaterThan(MOST * 2))
    views = [each.node.loads.by_id[COLD] for each in fleet.running()]
    assert_that({each.rate_limit for each in views}, matchers.Equals({None}))


def test_limits_are_forgotten_after_the_cold_time() -> None:
    # Guards against upstreams that are looked through with each request.
    fleet, _ = fleet_with_traffic(SIZES[0], upstreams=[])
    register(fleet, fleet.processes[2], cold_ms=500.0)
    fleet.run(500.0 + scenarios.CHANGE_BOUND_MS + cold_starts.REPORT_END_MS)
    for process in fleet.running():
        node = process.node
        node.cold_starts.expire(fleet.clock.now_ms())
        assert_that(node.rate_limiter.views, matchers.Equals({}))
        assert_that(node.cold_starts.tracked, matchers.Equals({}))
