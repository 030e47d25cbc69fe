"""Load reports and failures are sent only to peers that lack them."""

from __future__ import annotations

from collections.abc import Iterator
import os
import random

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import manual_clock
from fakes import nodes
from lovageyoke.fleet import members as fleet_members
from lovageyoke.fleet import messages
from lovageyoke.hop import attempt as hop_attempt
from lovageyoke.hop import pool as hop_pool
from lovageyoke.node import state as node_state
from lovageyoke.observe import events
from lovageyoke.platform import headers
from lovageyoke.routing import load_view
from lovageyoke.routing import model
from lovageyoke.routing import probe_interval


@pytest.fixture
def node(
    clock: manual_clock.ManualClock,
) -> Iterator[node_state.NodeState]:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    own = messages.Peer("n1", "127.0.0.1", 1, "127.0.0.1:2", "a")
    created = node_state.NodeState(
        settings=nodes.settings(),
        clock=clock,
        rng=random.Random(1),  # noqa: S311
        log=events.EventLog(clock, "n1", descriptor),
        client=hop_attempt.UpstreamClient(
            headers.NAMES, hop_pool.ConnectionPool(), clock
        ),
        decode_load=headers.decode_load,
        decode_rate_limit=headers.decode_rate_limit,
        decode_cold_time=headers.decode_cold_time,
        members=fleet_members.Members(messages.MemberState(own)),
    )
    created.apply_upstreams(
        [
            model.Upstream(f"i-{index}", 1, "maps", "127.0.0.1", index, "a", 6)
            for index in range(3)
        ]
    )
    yield created
    os.close(descriptor)


def record_own_report(node: node_state.NodeState, pace: float = 1.0) -> None:
    view = node.loads.by_id["i-0"]
    report = load_view.LoadReport(2, 0, 6, pace)
    node.reports.record_report(view, report, node.clock.now_ms())


def report_of(upstream_id: str, **values: int) -> messages.Report:
    fields = {"running": 3, "waiting": 0, "slots": 6, "pace_percent": 100}
    fields.update({"age_ms": 0, **values})
    return messages.Report(load_view.short_id(upstream_id), **fields)


def test_a_report_is_sent_once(node: node_state.NodeState) -> None:
    record_own_report(node)
    (report,) = node.reports.reports_to_send(node.clock.now_ms())
    number = load_view.short_id("i-0")
    expected = messages.Report(number, 2, 0, 6, 100, 0)
    assert_that(report, matchers.Equals(expected))
    again = node.reports.reports_to_send(node.clock.now_ms())
    assert_that(again, matchers.Equals(()))


def test_only_a_collector_forwards_received_reports(
    node: node_state.NodeState,
) -> None:
    now_ms = node.clock.now_ms()
    node.reports.record_peer_report(report_of("i-0"), now_ms, is_local=True)
    assert_that(node.reports.reports_to_send(now_ms), matchers.Equals(()))
    node.members.collecting_since_ms = now_ms
    node.reports.record_peer_report(report_of("i-1"), now_ms, is_local=True)
    node.reports.record_peer_report(report_of("i-2"), now_ms, is_local=False)
    assert_that(node.reports.reports_to_send(now_ms), matchers.HasLength(2))
    (remote,) = node.reports.remote_reports_to_send(now_ms, limit=40)
    number = load_view.short_id("i-1")
    assert_that(remote.number, matchers.Equals(number))


def test_reports_above_the_limit_remain_queued(
    node: node_state.NodeState,
) -> None:
    now_ms = node.clock.now_ms()
    node.members.collecting_since_ms = now_ms
    for index in range(3):
        node.reports.record_peer_report(
            report_of(f"i-{index}"), now_ms, is_local=True
        )
    first = node.reports.remote_reports_to_send(now_ms, limit=2)
    second = node.reports.remote_reports_to_send(now_ms, limit=2)
    assert_that(len(first), matchers.Equals(2))
    assert_that(len(second), matchers.Equals(1))


def test_an_echoed_own_report_keeps_requests_sent_since(
    node: node_state.NodeState, clock: manual_clock.ManualClock
) -> None:
    record_own_report(node)
    view = node.loads.by_id["i-0"]
    view.own_in_flight += 2
    clock.advance(4.0)
    node.reports.record_peer_report(
        report_of("i-0", running=2), clock.now_ms(), is_local=True
    )
    assert_that(view.load(), matchers.Equals(4))


def test_echoed_own_failures_are_counted_once(
    node: node_state.NodeState,
) -> None:
    now_ms = node.clock.now_ms()
    view = node.loads.by_id["i-0"]
    view.record_outcome(True, now_ms)
    node.reports.record_failure(view)
    once = view.failure_rate
    (sent,) = node.reports.reports_to_send(now_ms)
    assert_that(sent.failures, matchers.Equals(1))
    node.reports.record_peer_report(sent, now_ms, is_local=True)
    assert_that(view.failure_rate, matchers.Equals(once))
    node.reports.record_peer_report(sent, now_ms, is_local=True)
    assert_that(view.failure_rate, matchers.GreaterThan(once))


def test_a_large_pace_change_requests_a_heartbeat(
    node: node_state.NodeState, clock: manual_clock.ManualClock
) -> None:
    record_own_report(node)
    node.reports.reports_to_send(clock.now_ms())
    assert_that(node.heartbeat_requested.is_set(), matchers.Equals(False))
    clock.advance(50.0)
    record_own_report(node, pace=4.0)
    assert_that(node.heartbeat_requested.is_set(), matchers.Equals(True))


def test_upstreams_with_the_same_number_are_not_reported() -> None:
    # These two ids have the same CRC.
    ids = ("plumless", "buckeroo")
    numbers = {load_view.short_id(each) for each in ids}
    assert_that(numbers, matchers.HasLength(1))
    loads = load_view.LoadView()
    loads.replace_upstreams(
        [
            model.Upstream(each, 1, "maps", "127.0.0.1", 1, "a", 6)
            for each in (*ids, "other")
        ],
        0.0,
    )
    found = {each.upstream.upstream_id for each in loads.by_short_id.values()}
    assert_that(found, matchers.Equals({"other"}))


def test_a_service_is_not_idle_just_after_the_process_started(
    node: node_state.NodeState, clock: manual_clock.ManualClock
) -> None:
    clock.advance(500.0)
    started = node.requests_per_s("maps", clock.now_ms())
    period_ms = probe_interval.interval_ms(160.0, 3, started, 60.0)
    assert_that(period_ms, matchers.LessThan(probe_interval.MAX_INTERVAL_MS))
    clock.advance(20_000.0)
    idle = node.requests_per_s("maps", clock.now_ms())
    assert_that(idle, matchers.LessThan(0.1))
    for _ in range(20):
        node.retry_budget("maps").record_request(clock.now_ms())
    busy = node.requests_per_s("maps", clock.now_ms())
    assert_that(busy, matchers.GreaterThan(2.0))
