"""Changes reach every process in time despite process and network faults."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies as st
import pytest
from tests.fleet import scenarios

from lovageyoke.fleet import members as fleet_members
from lovageyoke.limits import shutdown


@pytest.mark.parametrize(
    "fault", ["kill", "pause", "inbound-cut", "outbound-cut"]
)
@pytest.mark.parametrize(
    "domains", [scenarios.SMALL, [20, 20, 20]], ids=["14", "60"]
)
def test_changes_reach_all_despite_failed_collectors(
    domains: list[int], fault: str
) -> None:
    fleet = scenarios.fleet_of(domains, loss=0.01)
    failed = [fleet.collectors(f"domain-{index}")[0] for index in range(3)]
    addresses = {each.address for each in failed}
    for each in failed:
        if fault == "kill":
            each.stop()
        elif fault == "pause":
            each.paused = True
    if fault == "inbound-cut":
        fleet.cut = lambda _, receiver: receiver in addresses
    elif fault == "outbound-cut":
        fleet.cut = lambda sender, _: sender in addresses
    watcher = next(each for each in fleet.running() if each not in failed)
    scenarios.drain(fleet, watcher)
    scenarios.configure(fleet, watcher, 2)

    def reached() -> bool:
        others = [each for each in fleet.running() if each not in failed]
        return all(
            "u3" not in each.upstreams and each.versions[-1] == 2
            for each in others
        )

    fleet.run_until(reached, scenarios.CHANGE_BOUND_MS)
    # The failed collectors return while their successors are still active.
    for each in failed:
        each.paused = False
        if not each.is_running:
            each.start()
    fleet.cut = lambda *_: False
    fleet.run_until(
        lambda: (
            scenarios.all_drained(fleet) and scenarios.all_at_version(fleet, 2)
        ),
        scenarios.CHANGE_BOUND_MS,
    )
    fleet.run_until(
        lambda: scenarios.all_converged(fleet), scenarios.FAILURE_BOUND_MS
    )
    scenarios.check_monotonic(fleet)
    fleet.run_until(
        lambda: all(
            len(fleet.collectors(f"domain-{index}")) == 1 for index in range(3)
        ),
        scenarios.JOIN_BOUND_MS,
    )


def test_a_leaving_collector_is_replaced_immediately() -> None:
    fleet = scenarios.fleet_of(scenarios.SMALL)
    (collector,) = fleet.collectors("domain-0")
    collector.node.shutdown = shutdown.Shutdown(fleet.clock.now_ms(), 6_000.0)
    collector.messenger.send_heartbeats()
    fleet.run(100.0)
    collector.stop()
    watcher = fleet.processes[-1]
    scenarios.drain(fleet, watcher)
    fleet.run_until(lambda: scenarios.all_drained(fleet), 300.0)


def test_failures_and_restarts_are_detected_by_all() -> None:
    fleet = scenarios.fleet_of([20, 20, 20], loss=0.025)
    lost = [fleet.processes[index] for index in (5, 25, 45)]
    for each in lost:
        each.stop()
    fleet.run_until(
        lambda: scenarios.all_converged(fleet), scenarios.FAILURE_BOUND_MS
    )
    for each in lost:
        each.start()
    fleet.run_until(
        lambda: scenarios.all_converged(fleet), scenarios.JOIN_BOUND_MS
    )
    fleet.run_until(
        lambda: all(each.replica.is_complete for each in lost),
        scenarios.JOIN_BOUND_MS,
    )


def test_a_failed_domain_is_not_live() -> None:
    fleet = scenarios.fleet_of(scenarios.SMALL)
    for each in fleet.processes:
        if each.domain == "domain-1":
            each.stop()
    fleet.run_until(
        lambda: scenarios.all_converged(fleet), scenarios.FAILURE_BOUND_MS
    )


def test_a_partitioned_fleet_merges_again() -> None:
    fleet = scenarios.fleet_of(scenarios.SMALL)
    apart = {fleet.processes[4].address, fleet.processes[5].address}
    fleet.cut = lambda sender, receiver: (
        (sender in apart) != (receiver in apart)
    )
    fleet.run(fleet_members.FORGET_MS * 2.0)
    fleet.cut = lambda *_: False
    fleet.run_until(
        lambda: scenarios.all_converged(fleet), scenarios.FAILURE_BOUND_MS
    )


@hypothesis.settings(max_examples=12)
@hypothesis.given(
    seed=st.integers(0, 10_000), period_ms=st.sampled_from([40, 400])
)
def test_state_is_monotonic_under_random_faults(
    seed: int, period_ms: int
) -> None:
    rng = random.Random(seed)  # noqa: S311
    fleet = scenarios.fleet_of(
        scenarios.SMALL,
        seed=seed,
        loss=rng.uniform(0.0, 0.1),
        duplicates=0.1,
        delay_ms=rng.uniform(1.0, 60.0),
        period_ms=float(period_ms),
    )
    version = 1
    cut: set[tuple[str, int]] = set()
    fleet.cut = lambda sender, receiver: sender in cut and receiver not in cut
    for _ in range(12):
        process = rng.choice(fleet.processes)
        action = rng.choice(["kill", "pause", "cut", "heal", "start", "change"])
        if action == "kill" and len(fleet.running()) > 4:
            process.stop()
        elif action == "pause":
            process.paused = not process.paused
        elif action == "cut":
            cut.add(process.address)
        elif action == "heal":
            cut.clear()
        elif action == "start" and not process.is_running:
            process.start()
        else:
            version += 1
            able = [each for each in fleet.running() if not each.paused]
            scenarios.configure(
                fleet, rng.choice(able or fleet.running()), version
            )
        fleet.run(rng.uniform(10.0, 1_500.0))
    cut.clear()
    for each in fleet.processes:
        each.paused = False
        if not each.is_running:
            each.start()
    fleet.run_until(
        lambda: scenarios.all_converged(fleet), 2 * scenarios.FAILURE_BOUND_MS
    )
    newest = max(each.versions[-1] for each in fleet.running() if each.versions)
    fleet.run_until(
        lambda: scenarios.all_at_version(fleet, newest),
        2 * scenarios.CHANGE_BOUND_MS,
    )
    scenarios.check_monotonic(fleet)
