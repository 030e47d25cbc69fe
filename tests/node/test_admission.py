"""Refusals of a process whose upstreams have no capacity."""

from __future__ import annotations

import httpx
import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

pytestmark = pytest.mark.anyio

DEADLINE_MS = 600


async def test_refused_caller_is_told_to_return_in_the_time_it_has_left(
    harness: conftest.ProcessHarness,
) -> None:
    """Guards against a Retry-After that callers don't honour."""
    await harness.fill_upstreams()
    answer = await harness.send_request(deadline=str(DEADLINE_MS))
    assert_that(answer.status_code, matchers.Equals(503))
    retry_after_ms = 1_000.0 * float(answer.headers["retry-after"])
    assert_that(retry_after_ms <= DEADLINE_MS / 3.0, matchers.Equals(True))
    assert_that(harness.run_count(), matchers.Equals(0))


async def test_metrics_count_refusals_by_reason_and_priority(
    harness: conftest.ProcessHarness,
) -> None:
    await harness.fill_upstreams()
    await harness.send_request(deadline=str(DEADLINE_MS))
    async with httpx.AsyncClient() as client:
        page = await client.get(f"http://127.0.0.1:{harness.metrics}/metrics")
    assert_that(
        page.text, matchers.Contains('admission_refused_total{of="expired_p1"}')
    )
