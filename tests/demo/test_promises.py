"""Tests that each promise of the demonstration can be seen to break."""

from __future__ import annotations

import attrs
import pytest
from testtools import assertions
from testtools import matchers

from lovageyoke.config import document
from lovageyoke.demo import promises
from lovageyoke.demo import traffic


def answer(identity="a", status=200, outcome="", body=b"ok"):
    return traffic.BookingAnswer(identity, status, outcome, body)


def audit_record(plan_id="p1"):
    return document.AuditRecord(
        "maps", "squares", 1, document.Action.CREATE, plan_id, "anna", 0, ()
    )


def make_record(bookings, failed=0, digest=None):
    record = traffic.Record(bookings=list(bookings))
    reads = record.latencies_of("map read")
    reads.count = 3
    reads.failed = failed
    record.scan_digests.append(digest or traffic.expected_scan_digest())
    record.scan_lengths.append(traffic.SCAN_BYTES)
    return record


HELD = promises.Observed(
    record=make_record([answer(), answer()]),
    runs={"a": 1},
    probe_times_ms={"maps": [0.0, 600.0, 1_200.0]},
    probes_per_s=2.0,
    drained_served=(4, 4),
    versions={"entry-1": {"maps": 1}, "entry-2": {"maps": 1}},
    confirmed=("p1",),
    audited=(audit_record(),),
)
BREAKS = {
    "a booking runs at most once": {"runs": {"a": 2}},
    "a confirmed booking has run": {"runs": {}},
    "an answer of not-run is true": {
        "record": make_record([answer(status=503, outcome="not-run")])
    },
    "a repeated booking gets the first one's answer": {
        "record": make_record([answer(), answer(body=b"other")])
    },
    "map reads are answered while an upstream stalls": {
        "record": make_record([answer(), answer()], failed=1)
    },
    "downloads arrive whole while their upstream drains": {
        "record": make_record([answer(), answer()], digest="damaged")
    },
    "a draining upstream gets no new work after 3 s": {
        "drained_served": (4, 5)
    },
    "probes stay within their budget": {
        "probe_times_ms": {"maps": [0.0, 10.0, 999.0]}
    },
    "the confirmed configuration is in force on every entry": {
        "versions": {"entry-1": {"maps": 2}, "entry-2": {"maps": 1}}
    },
    "every confirmed plan has one audit record": {
        "audited": (audit_record(), audit_record())
    },
}


def broken(observed):
    return {each.name for each in promises.judge(observed) if not each.held}


def test_all_promises_hold_when_nothing_went_wrong():
    assertions.assert_that(broken(HELD), matchers.Equals(set()))
    assertions.assert_that(
        {each.name for each in promises.judge(HELD)},
        matchers.Equals(set(BREAKS)),
    )


@pytest.mark.parametrize("name", sorted(BREAKS))
def test_a_broken_promise_is_named(name):
    observed = attrs.evolve(HELD, **BREAKS[name])
    assertions.assert_that(broken(observed), matchers.Contains(name))
