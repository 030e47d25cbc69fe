"""Cold upstreams get no more requests than their service allows."""

from __future__ import annotations

import json
import math
import os

import httpx
import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.routing import cold_rate

pytestmark = pytest.mark.anyio

PER_S = 5.0
MOST = 1.5 * PER_S + 8.0


def cold_configuration(version: int) -> bytes:
    raw = json.loads(conftest.configuration(version))
    raw["clusters"][0] |= {"cold_start": "3s", "cold_per_s": PER_S}
    return json.dumps(raw).encode()


@pytest.fixture
async def cold_harness(
    harness: conftest.ProcessHarness,
) -> conftest.ProcessHarness:
    """A process whose service has a rate for cold upstreams."""
    harness.node.rate_limiter.started_ms = -math.inf
    harness.store.put("op/config", cold_configuration(4))
    await harness.wait_until(lambda: harness.version() == 4)
    return harness


def is_cold(harness: conftest.ProcessHarness, upstream_id: str) -> bool:
    view = harness.node.loads.by_id.get(upstream_id)
    return view is not None and view.is_cold_limited()


def check_seconds(arrived_s: list[float], most: float = MOST) -> None:
    """Checks the users' bound on requests in any second."""
    for index, end_s in enumerate(arrived_s):
        inside = sum(each >= end_s - 1.0 for each in arrived_s[: index + 1])
        assert_that(inside, matchers.Not(matchers.GreaterThan(most)))


async def test_a_cold_upstream_gets_few_requests_until_it_is_warm(
    cold_harness: conftest.ProcessHarness,
) -> None:
    cold = cold_harness.upstreams[0]
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    cold_harness.node.log.descriptor = writer
    cold_harness.store.put("servers/i-0", cold.entry(cold_remaining="1500ms"))
    await cold_harness.wait_until(lambda: is_cold(cold_harness, "i-0"))
    async with httpx.AsyncClient() as client:
        page = await client.get(
            f"http://127.0.0.1:{cold_harness.metrics}/metrics"
        )
    assert_that(page.text, matchers.Contains("lovageyoke_upstreams_cold 1"))
    number = 0
    cold.arrived_s.clear()
    while is_cold(cold_harness, "i-0"):
        answer = await cold_harness.send_request(identity=f"r{number}")
        assert_that(answer.status_code, matchers.Equals(200))
        number += 1
    check_seconds(cold.arrived_s)
    kinds = [
        json.loads(each)["event"]
        for each in os.read(reader, 1 << 16).splitlines()
    ]
    assert_that(kinds, matchers.Contains("upstream-cold"))
    assert_that(kinds, matchers.Contains("upstream-warm"))


async def test_a_health_check_limits_an_upstream_that_is_cold_again(
    cold_harness: conftest.ProcessHarness,
) -> None:
    for each in cold_harness.upstreams:
        each.cold_left = b"2500"
    await cold_harness.wait_until(
        lambda: is_cold(cold_harness, "i-0") and is_cold(cold_harness, "i-1")
    )
    for each in cold_harness.upstreams:
        each.arrived_s.clear()
    for number in range(30):
        await cold_harness.send_request(identity=f"r{number}", deadline="300")
    for each in cold_harness.upstreams:
        # One process uses the rate itself, with the jitter of one arrival.
        check_seconds(each.arrived_s, most=PER_S + 2.0)
    for each in cold_harness.upstreams:
        each.cold_left = b"0"
    await cold_harness.wait_until(
        lambda: (
            not (is_cold(cold_harness, "i-0") or is_cold(cold_harness, "i-1"))
        )
    )


async def test_a_rate_that_is_configured_later_limits_cold_upstreams(
    harness: conftest.ProcessHarness,
) -> None:
    entry = harness.upstreams[0].entry(cold_remaining="60000ms")
    harness.store.put("servers/i-0", entry)
    await harness.wait_until(
        lambda: harness.node.loads.by_id["i-0"].cold is not None
    )
    assert_that(is_cold(harness, "i-0"), matchers.Equals(False))
    harness.store.put("op/config", cold_configuration(4))
    await harness.wait_until(lambda: is_cold(harness, "i-0"))
    harness.store.put("op/config", conftest.configuration(5))
    await harness.wait_until(lambda: not is_cold(harness, "i-0"))


async def test_the_bounds_of_the_settings_hold_for_the_shares(
    cold_harness: conftest.ProcessHarness,
) -> None:
    limiter = cold_harness.node.rate_limiter
    most = limiter.cold_over * PER_S + limiter.cold_slack
    assert_that(most, matchers.Equals(MOST))
    cold_harness.store.put(
        "servers/i-0", cold_harness.upstreams[0].entry(cold_remaining="60s")
    )
    await cold_harness.wait_until(lambda: is_cold(cold_harness, "i-0"))
    limiter.update_shares(cold_harness.node.clock.now_ms())
    limit = cold_harness.node.loads.by_id["i-0"].rate_limit
    assert limit is not None
    expected_ms = cold_rate.interval_ms(PER_S, 0, 1, most)
    assert_that(limit.share.interval_ms, matchers.Equals(expected_ms))
