"""Counts of messages and store calls of a fleet of 3 x 78 processes.

They guard against work that grows with the square of the fleet: with 0.3 of a
core for each process it delayed starts by seconds and drains beyond their
bound.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator

import pytest
from tests.fleet import conftest
from tests.fleet import reporting
from tests.fleet import scenarios
from testtools import matchers
from testtools.assertions import assert_that

from fakes import fleet as fleet_fake
from fakes import virtual_time
from lovageyoke.errors import exceptions
from lovageyoke.fleet import codec
from lovageyoke.fleet import link as fleet_link
from lovageyoke.fleet import messages

SPREAD_MS = 2_000.0  # Processes that were killed together restart within this.
LOSS = 0.02
READY_BOUND_MS = 2_000.0
STEP_MS = 50.0


class Traffic:
    """Counts of sent messages and of the member states in them.

    Attributes:
        messages: Messages by audience.
        states: States of processes by audience, without those of senders.
    """

    def __init__(self) -> None:
        self.messages: collections.Counter[str] = collections.Counter()
        self.states: collections.Counter[str] = collections.Counter()

    def record(self, datagram: bytes, audience: str) -> None:
        message = codec.decode(datagram)
        self.messages[audience] += 1
        if isinstance(message, messages.Heartbeat | messages.Introduction):
            self.states[audience] += len(message.members)


@pytest.fixture
def traffic(monkeypatch: pytest.MonkeyPatch) -> Iterator[Traffic]:
    counted = Traffic()
    send = fleet_link.PeerLink.send

    def record(
        link: fleet_link.PeerLink,
        datagram: bytes,
        address: fleet_link.Address,
        audience: str,
    ) -> None:
        counted.record(datagram, audience)
        send(link, datagram, address, audience)

    monkeypatch.setattr(fleet_link.PeerLink, "send", record)
    return counted


@pytest.fixture
def store() -> virtual_time.SharedStore:
    made = virtual_time.SharedStore()
    made.put("config", b"1")
    for name in reporting.UPSTREAMS:
        made.put(f"up/{name}", b"x")
    return made


def fleet_with(store: virtual_time.SharedStore) -> fleet_fake.Fleet:
    return fleet_fake.Fleet(
        conftest.LAYOUT,
        reporting.DOMAINS,
        large_each=reporting.LARGE_EACH,
        period_ms=reporting.PERIOD_MS,
        loss=LOSS,
        start_spread_ms=SPREAD_MS,
        store=store,
    )


def run_until_ready(fleet: fleet_fake.Fleet, timeout_ms: float) -> list[float]:
    """Runs a start; returns how long each process took to have all state."""
    end_ms = fleet.clock.now_ms() + timeout_ms
    after_ms: dict[str, float] = {}
    while len(after_ms) < len(fleet.processes):
        now_ms = fleet.clock.now_ms()
        assert now_ms < end_ms, f"{len(after_ms)} ready in {timeout_ms} ms"
        for each in fleet.running():
            if each.replica.is_complete and each.node_id not in after_ms:
                started_ms = each.follower.started_ms
                after_ms[each.node_id] = now_ms - started_ms
        fleet.run(STEP_MS)
    return sorted(after_ms.values())


def calls(store: virtual_time.SharedStore) -> int:
    return store.totals.total() - store.totals["watch"]


def test_a_start_of_all_reads_the_store_a_few_times(
    store: virtual_time.SharedStore,
) -> None:
    fleet = fleet_with(store)
    run_until_ready(fleet, SPREAD_MS + READY_BOUND_MS)
    assert_that(calls(store), matchers.LessThan(20))
    # All are killed and start again.
    store.totals.clear()
    for each in fleet.processes:
        each.start()
    after_ms = run_until_ready(fleet, SPREAD_MS + READY_BOUND_MS)
    assert_that(calls(store), matchers.LessThan(20))
    middle_ms = after_ms[len(after_ms) // 2]
    assert_that(middle_ms, matchers.LessThan(400.0))


def test_a_start_of_all_during_an_outage_makes_few_store_calls(
    store: virtual_time.SharedStore,
) -> None:
    fleet = fleet_with(store)
    store.error = exceptions.PlatformUnavailableError("refused")
    fleet.run(5_000.0)
    assert_that(calls(store), matchers.LessThan(250))
    store.error = None
    run_until_ready(fleet, READY_BOUND_MS)


def test_a_start_of_all_sends_each_state_a_bounded_number_of_times(
    store: virtual_time.SharedStore, traffic: Traffic
) -> None:
    fleet = fleet_with(store)
    fleet.run(SPREAD_MS + READY_BOUND_MS)
    assert_that(scenarios.all_converged(fleet), matchers.Equals(True))
    pairs = len(fleet.processes) ** 2
    # Each process joins and becomes ready; both are sent three times.
    total = traffic.states.total()
    assert_that(total / pairs, matchers.LessThan(9.5))
    introduced = traffic.states["introductions"]
    assert_that(introduced / pairs, matchers.LessThan(2.7))
    seeds = traffic.messages["seeds"] / len(fleet.processes)
    assert_that(seeds, matchers.LessThan(6.0))


def test_an_idle_fleet_sends_few_messages(
    store: virtual_time.SharedStore,
) -> None:
    fleet = fleet_with(store)
    fleet.run(SPREAD_MS + READY_BOUND_MS)
    fleet.received_counts.clear()
    fleet.run(1_000.0)
    collecting = [each for each in fleet.processes if each.is_collector()]
    assert_that(collecting, matchers.HasLength(len(reporting.DOMAINS)))
    received = fleet.received_counts
    ordinary = [each for each in fleet.processes if each.capacity < 100]
    counts = sorted(received[each.address] for each in ordinary)
    assert_that(counts[len(counts) // 2], matchers.LessThan(55))
    # The third in rank also receives the heartbeats of the second.
    assert_that(counts[-1], matchers.LessThan(85))
    # Each process sends a heartbeat each period.
    size = max(reporting.DOMAINS)
    own = size * 1_000.0 / reporting.PERIOD_MS
    collector = max(received[each.address] for each in collecting)
    assert_that(collector, matchers.LessThan(1.1 * own + 200))
