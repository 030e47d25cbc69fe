"""A process whose memory is short refuses bodies, and says so."""

from __future__ import annotations

import asyncio

import httpx
import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

pytestmark = pytest.mark.anyio

POST = (
    b"POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"
    b"Content-Length: 1000000\r\n\r\n"
)


async def test_a_refused_body_is_counted(
    harness: conftest.ProcessHarness,
) -> None:
    harness.node.client.budget.limit_bytes = 400_000
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.front)
    writer.write(POST + b"x" * 500_000)
    async with asyncio.timeout(conftest.WAIT_S):
        answer = await reader.read()
    writer.close()
    assert_that(answer, matchers.StartsWith(b"HTTP/1.1 503 "))
    assert_that(answer, matchers.Contains(b"lovageyoke-outcome: not-run"))
    served = await harness.send_request()
    assert_that(served.status_code, matchers.Equals(200))
    url = f"http://127.0.0.1:{harness.metrics}/metrics"
    async with httpx.AsyncClient() as client:
        text = (await client.get(url)).text
    assert_that(
        text,
        matchers.Contains(
            'lovageyoke_memory_short_total{done="request refused"} 1'
        ),
    )
    assert_that(text, matchers.Contains("lovageyoke_held_bytes_limit 400000"))


async def test_the_readiness_address_takes_no_large_body(
    harness: conftest.ProcessHarness,
) -> None:
    async with httpx.AsyncClient() as client:
        answer = await client.post(harness.readiness_url, content=b"x" * 2_000)
        assert_that(answer.status_code, matchers.Equals(413))
        answer = await client.get(harness.readiness_url)
    assert_that(answer.status_code, matchers.Equals(200))


async def test_a_large_body_is_forwarded_unchanged(
    harness: conftest.ProcessHarness,
) -> None:
    body = bytes(number % 251 for number in range(1_000_003))
    async with httpx.AsyncClient(timeout=conftest.WAIT_S) as client:
        answer = await client.post(
            f"http://127.0.0.1:{harness.front}/unsafe/x",
            headers={"Host": "h.example", "X-Request-Id": "r1"},
            content=body,
        )
    assert_that(answer.status_code, matchers.Equals(200))
    (sent,) = [each.last for each in harness.upstreams if each.last]
    assert_that(bytes(sent.body) == body, matchers.Equals(True))
