"""Much traffic between processes is logged."""

from __future__ import annotations

import json
import os
import pathlib

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import manual_clock
from lovageyoke.fleet import link as fleet_link
from lovageyoke.fleet import link_budget
from lovageyoke.node import link_usage
from lovageyoke.observe import events

LINK_BYTES_PER_S = 625_000.0


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    return tmp_path / "log"


@pytest.fixture
def usage(
    clock: manual_clock.ManualClock, file: pathlib.Path
) -> link_usage.LinkUsage:
    descriptor = os.open(file, os.O_CREAT | os.O_WRONLY)
    log = events.EventLog(clock, "n1", descriptor)
    budget = link_budget.LinkBudget(clock, LINK_BYTES_PER_S)
    link = fleet_link.PeerLink(
        lambda message, address: None, lambda detail: None, budget
    )
    now_ms = clock.now_ms()
    return link_usage.LinkUsage(link, LINK_BYTES_PER_S, log, now_ms)


def test_bytes_beyond_a_share_of_the_link_are_logged(
    usage: link_usage.LinkUsage,
    clock: manual_clock.ManualClock,
    file: pathlib.Path,
) -> None:
    usage.link.sent_bytes = {"home": 300_000}
    clock.advance(1_000.0)
    usage.check(clock.now_ms())
    assert_that(file.read_text(), matchers.Equals(""))
    usage.link.sent_bytes = {"home": 600_000, "snapshots": 100_000}
    clock.advance(1_000.0)
    usage.check(clock.now_ms())
    logged = json.loads(file.read_text())
    assert_that(logged["event"], matchers.Equals("link-busy"))
    sent = {"home": 300_000, "snapshots": 100_000}
    assert_that(logged["sent_bytes"], matchers.Equals(sent))
    assert_that(logged["link_bytes"], matchers.Equals(625_000))
