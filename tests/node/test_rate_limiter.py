"""Rate limits that upstreams state are recorded, logged and kept."""

from __future__ import annotations

import json
import math
import os

import attrs
import httpx
import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

pytestmark = pytest.mark.anyio


@pytest.fixture
def log_reader(harness: conftest.ProcessHarness) -> int:
    """Redirects the log to a pipe; returns the end to read."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    harness.node.log.descriptor = writer
    return reader


def logged(reader: int, kind: str) -> list[dict[str, object]]:
    lines = [json.loads(each) for each in os.read(reader, 1 << 16).splitlines()]
    return [each for each in lines if each["event"] == kind]


def set_limits(harness: conftest.ProcessHarness, *limits: bytes) -> None:
    for each in harness.upstreams:
        each.limits = list(limits)


async def test_limits_are_logged_when_stated_changed_and_ended(
    harness: conftest.ProcessHarness, log_reader: int
) -> None:
    harness.upstreams[1].always = "shed"
    harness.node.rate_limiter.started_ms = -math.inf
    harness.upstreams[0].limits = [b"1000"]
    await harness.send_request(identity="r1")
    harness.upstreams[0].limits = [b"2000"]
    await harness.send_request(identity="r2")
    harness.upstreams[0].limits = []
    await harness.send_request(identity="r3")
    lines = logged(log_reader, "rate-limit")
    changes = [(each["before_per_s"], each["per_s"]) for each in lines]
    expected = [(None, 1_000.0), (1_000.0, 2_000.0), (2_000.0, None)]
    assert_that(changes, matchers.Equals(expected))
    named = {(each["upstream"], each["source"]) for each in lines}
    assert_that(named, matchers.Equals({("i-0", "response")}))


async def test_a_retry_waits_for_the_next_send_that_a_limit_permits(
    harness: conftest.ProcessHarness,
) -> None:
    limited, other = harness.upstreams
    harness.node.rate_limiter.started_ms = -math.inf
    limited.limits = [b"20"]
    await harness.wait_until_limited("i-0")
    other.always = "shed"
    for number in range(8):
        answer = await harness.send_request(identity=f"again-{number}")
        assert_that(answer.status_code, matchers.Equals(200))


async def test_limits_in_health_checks_are_logged(
    harness: conftest.ProcessHarness, log_reader: int
) -> None:
    harness.upstreams[0].limits = [b"7"]
    harness.upstreams[0].limits_checks = True
    limiter = harness.node.rate_limiter
    await harness.wait_until(lambda: limiter.limited_count() == 1)
    (line,) = logged(log_reader, "rate-limit")
    assert_that(line["source"], matchers.Equals("health-check"))
    async with httpx.AsyncClient() as client:
        page = await client.get(f"http://127.0.0.1:{harness.metrics}/metrics")
    assert_that(
        page.text, matchers.Contains("lovageyoke_upstreams_rate_limited 1")
    )


@pytest.mark.parametrize("value", [b"", b"inf", b"1e400", b"-3", b"x" * 900])
async def test_a_malformed_limit_changes_nothing_and_is_logged_once(
    harness: conftest.ProcessHarness, log_reader: int, value: bytes
) -> None:
    set_limits(harness, value)
    for index in range(6):
        answer = await harness.send_request(identity=f"r{index}")
        assert_that(answer.status_code, matchers.Equals(200))
    lines = logged(log_reader, "rate-limit-malformed")
    upstreams = sorted(str(each["upstream"]) for each in lines)
    assert_that(len(upstreams), matchers.Equals(len(set(upstreams))))
    assert_that(upstreams, matchers.Not(matchers.HasLength(0)))
    assert_that(harness.node.rate_limiter.limited_count(), matchers.Equals(0))


async def test_limits_of_removed_upstreams_are_forgotten(
    harness: conftest.ProcessHarness,
) -> None:
    set_limits(harness, b"1000")
    await harness.send_request()
    limiter = harness.node.rate_limiter
    assert_that(limiter.limited_count(), matchers.Equals(1))
    harness.node.apply_upstreams([])
    assert_that(limiter.views, matchers.Equals({}))


async def test_the_limit_of_an_upstream_that_comes_back_holds(
    harness: conftest.ProcessHarness,
) -> None:
    # Guards against requests without a limit after an entry has lapsed.
    set_limits(harness, b"1000")
    await harness.send_request()
    node = harness.node
    upstreams = [each.upstream for each in node.loads.by_id.values()]
    node.apply_upstreams([])
    node.apply_upstreams(upstreams)
    assert_that(node.rate_limiter.limited_count(), matchers.Equals(1))
    started_again = [
        attrs.evolve(each, started_ms=each.started_ms + 1) for each in upstreams
    ]
    node.apply_upstreams(started_again)
    assert_that(node.rate_limiter.limited_count(), matchers.Equals(0))


def check_windows(arrived_s: list[float], per_s: float) -> None:
    """Checks the users' bound on requests in any four seconds."""
    for index, end_s in enumerate(arrived_s):
        inside = sum(each > end_s - 4.0 for each in arrived_s[: index + 1])
        allowed = 1.5 * 4.0 * per_s + 5.0
        assert_that(inside, matchers.Not(matchers.GreaterThan(allowed)))


async def test_an_upstream_gets_no_more_requests_than_it_accepts(
    harness: conftest.ProcessHarness,
) -> None:
    limited = harness.upstreams[0]
    limited.limits = [b"2"]
    await harness.wait_until_limited("i-0")
    limited.arrived_s.clear()
    for index in range(80):
        answer = await harness.send_request(identity=f"again-{index}")
        assert_that(answer.status_code, matchers.Equals(200))
    check_windows(limited.arrived_s, per_s=2.0)


async def test_retries_count_as_requests_to_a_limited_upstream(
    harness: conftest.ProcessHarness,
) -> None:
    harness.node.rate_limiter.started_ms = -math.inf
    limited, other = harness.upstreams
    limited.limits = [b"2"]
    await harness.wait_until_limited("i-0")
    other.always = "shed"
    limited.arrived_s.clear()
    number = 0
    while number < 40 or len(limited.arrived_s) < 3:
        await harness.send_request(identity=f"again-{number}", deadline="300")
        number += 1
    check_windows(limited.arrived_s, per_s=2.0)


async def test_requests_that_no_upstream_accepts_are_refused_at_once(
    harness: conftest.ProcessHarness,
    log_reader: int,
) -> None:
    harness.node.rate_limiter.started_ms = -math.inf
    set_limits(harness, b"0.5")
    await harness.wait_until_limited("i-0")
    await harness.wait_until_limited("i-1")
    await harness.send_request(identity="use")
    # A limit that has not been used yet may permit the next send at any time.
    now_ms = harness.node.clock.now_ms()
    for view in harness.node.rate_limiter.views.values():
        harness.node.rate_limiter.limit_of(view).share.last_sent_ms = now_ms
    answer = await harness.send_request(identity="late", deadline="1000")
    assert_that(answer.status_code, matchers.Equals(503))
    assert_that(answer.elapsed.total_seconds(), matchers.LessThan(0.4))
    retry_after_s = float(answer.headers["retry-after"])
    assert_that(retry_after_s, matchers.GreaterThan(0.9))
    assert_that(harness.arrival_count("late"), matchers.Equals(0))
    (line,) = [
        each
        for each in logged(log_reader, "request")
        if each["request"] == "late"
    ]
    assert_that(str(line["story"]), matchers.Contains("rate-limited i-0"))


async def test_an_answer_of_another_upstream_states_no_limit(
    harness: conftest.ProcessHarness,
) -> None:
    set_limits(harness, b"1")
    for each in harness.upstreams:
        each.upstream_id = f"new-{each.upstream_id}"
    await harness.send_request()
    limiter = harness.node.rate_limiter
    assert_that(limiter.limited_count(), matchers.Equals(0))
