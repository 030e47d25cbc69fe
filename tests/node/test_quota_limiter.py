"""Requests above an account's quota are refused, and only those that run count.

The quotas of a whole fleet are tested in ``tests/fleet/test_quotas.py``.
"""

from __future__ import annotations

import asyncio
import json
import os

import attrs
import httpx
import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

pytestmark = pytest.mark.anyio

KEY = [("Api-Key", "mill-1")]


@pytest.fixture
async def limited(
    harness: conftest.ProcessHarness,
) -> conftest.ProcessHarness:
    """A process with an account whose quota has no tolerance."""
    harness.bounds = attrs.evolve(
        harness.bounds, quota_over=0.0, quota_slack=0.0
    )
    assert harness.process is not None
    harness.process.reload()
    await limit(harness, 4, 0.01)
    return harness


async def limit(
    harness: conftest.ProcessHarness, version: int, per_s: float
) -> None:
    account = {
        "name": "mill",
        "api_keys": ["mill-1"],
        "per_s": per_s,
        "burst": 2,
    }
    value = conftest.configuration(version, accounts=[account])
    harness.store.put("op/config", value)
    await harness.wait_until(lambda: harness.version() == version)


@pytest.fixture
def log_reader(limited: conftest.ProcessHarness) -> int:
    """Redirects the log to a pipe; returns the end to read."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    limited.node.log.descriptor = writer
    return reader


async def statuses(
    harness: conftest.ProcessHarness, count: int, path: str = "/safe/x"
) -> list[int]:
    answers = [
        await harness.send_request(path, identity=f"r{index}", headers=KEY)
        for index in range(count)
    ]
    return [each.status_code for each in answers]


async def test_requests_above_the_quota_are_refused_and_logged(
    limited: conftest.ProcessHarness, log_reader: int
) -> None:
    answered = await statuses(limited, 5)
    assert_that(answered.count(200), matchers.Equals(2))
    assert_that(answered[2:], matchers.Equals([429] * 3))
    assert_that(limited.arrival_count("r4"), matchers.Equals(0))
    async with httpx.AsyncClient() as client:
        page = await client.get(f"http://127.0.0.1:{limited.metrics}/metrics")
    for line in ('quota_refused_total{account="mill"} 3', "accounts_limited 1"):
        assert_that(page.text, matchers.Contains(line))
    use = limited.node.quotas.accounts.by_name["mill"]
    use.last_refused_ms -= 5_000.0
    await limited.wait_until(lambda: not use.limited)
    lines = [json.loads(each) for each in os.read(log_reader, 1 << 16).split()]
    quota = [each for each in lines if each["event"].startswith("quota")]
    assert_that(
        [each["event"] for each in quota],
        matchers.Equals(["quota-limited", "quota-limiting-ended"]),
    )
    assert_that(quota[1]["refused"], matchers.Equals(3))
    refused = [each for each in lines if each["event"] == "refused"]
    assert_that(
        {each["account"] for each in refused}, matchers.Equals({"mill"})
    )


async def test_a_request_is_admitted_after_its_retry_after(
    limited: conftest.ProcessHarness,
) -> None:
    await limit(limited, 5, 4.0)
    waits = 0
    while waits < 3:
        answer = await limited.send_request(headers=KEY)
        if answer.status_code == 429:
            waits += 1
            wait_s = float(answer.headers["retry-after"])
            assert_that(wait_s, matchers.LessThan(2.0))
            await asyncio.sleep(wait_s)
            answer = await limited.send_request(headers=KEY)
            assert_that(answer.status_code, matchers.Equals(200))


async def test_requests_that_did_not_run_are_refunded(
    limited: conftest.ProcessHarness,
) -> None:
    # Guards against an overload that uses up the quotas.
    limited.set_upstream_behavior("shed")
    assert_that(set(await statuses(limited, 5)), matchers.Equals({503}))
    for each in limited.upstreams:
        each.always = None
    assert_that(await statuses(limited, 2), matchers.Equals([200, 200]))


async def test_a_waiting_request_whose_caller_has_left_is_refunded(
    limited: conftest.ProcessHarness,
) -> None:
    await limited.fill_upstreams()
    pending = asyncio.ensure_future(limited.send_request(headers=KEY))
    await limited.wait_until(lambda: limited.queue_length() == 1)
    use = limited.node.quotas.accounts.by_name["mill"]
    assert_that(use.admitted, matchers.Equals(1))
    pending.cancel()
    await limited.wait_until(lambda: use.admitted == 0)


async def test_requests_that_ran_are_not_refunded(
    limited: conftest.ProcessHarness,
) -> None:
    limited.set_upstream_behavior("fail")
    answered = await statuses(limited, 4, "/unsafe/x")
    assert_that(answered[2:], matchers.Equals([429, 429]))


async def test_other_requests_of_the_process_are_not_limited(
    limited: conftest.ProcessHarness,
) -> None:
    assert_that(
        await statuses(limited, 6, "/load/x"), matchers.Equals([200] * 6)
    )
