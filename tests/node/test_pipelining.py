"""Pipelined look-ups reach the upstreams concurrently."""

from __future__ import annotations

import asyncio

import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

pytestmark = pytest.mark.anyio


def request(method: bytes, path: bytes, identity: bytes) -> bytes:
    return (
        b"%b %b HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %b\r\n"
        b"X-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    ) % (method, path, identity)


async def responses(
    harness: conftest.ProcessHarness, data: bytes, count: int
) -> list[bytes]:
    """Sends data on one connection; returns the response's identities."""
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.front)
    try:
        writer.write(data)
        found = []
        async with asyncio.timeout(conftest.WAIT_S):
            while len(found) < count:
                head = await reader.readuntil(b"\r\n\r\n")
                assert_that(head, matchers.StartsWith(b"HTTP/1.1 200 "))
                fields = dict(
                    line.split(b": ", 1)
                    for line in head.lower().split(b"\r\n")[1:-2]
                )
                await reader.readexactly(int(fields[b"content-length"]))
                found.append(fields[b"x-request-id"])
        return found
    finally:
        writer.close()


async def test_pipelined_safe_requests_run_concurrently(
    harness: conftest.ProcessHarness,
) -> None:
    harness.set_upstream_behavior("hang")
    identities = [b"p%d" % number for number in range(6)]
    data = b"".join(request(b"GET", b"/safe/x", each) for each in identities)
    pending = asyncio.ensure_future(responses(harness, data, 6))
    names = [each.decode() for each in identities]
    await harness.wait_until(
        lambda: all(harness.arrival_count(each) for each in names)
    )
    pending.cancel()
    await harness.wait_until(lambda: not harness.process.connections.open)
    await harness.wait_until(lambda: harness.process.connections.in_flight == 0)


async def test_pipelined_responses_keep_their_order(
    harness: conftest.ProcessHarness,
) -> None:
    # The first look-up takes 200 ms, those behind it far less.
    harness.upstreams[0].actions = ["slow"]
    harness.upstreams[1].actions = ["slow"]
    identities = [b"p%d" % number for number in range(8)]
    data = b"".join(request(b"GET", b"/safe/x", each) for each in identities)
    found = await responses(harness, data, 8)
    assert_that(found, matchers.Equals(identities))


async def test_a_pipelined_unsafe_request_runs_alone(
    harness: conftest.ProcessHarness,
) -> None:
    harness.set_upstream_behavior("slow")
    data = (
        request(b"GET", b"/safe/x", b"a")
        + request(b"POST", b"/unsafe/x", b"b")
        + request(b"GET", b"/unsafe/x", b"c")
        + request(b"GET", b"/safe/x", b"d")
    )
    pending = asyncio.ensure_future(responses(harness, data, 4))
    for earlier, later in (("a", "b"), ("b", "c"), ("c", "d")):
        await harness.wait_until(
            lambda name=earlier: harness.run_count(name) == 1
        )
        assert_that(harness.arrival_count(later), matchers.Equals(0))
    found = await pending
    assert_that(found, matchers.Equals([b"a", b"b", b"c", b"d"]))
