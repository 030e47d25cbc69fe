"""A stopping process answers every request that it has accepted."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import time

import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

SLOW_PERCENT = 2_500  # Of the usual duration of a run.
HEAD = (
    "{} {} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {}\r\n"
    "X-Deadline-Ms: 9000\r\nContent-Length: {}\r\n\r\n"
)


@pytest.fixture
async def harness(
    harness: conftest.ProcessHarness,
) -> conftest.ProcessHarness:
    """A process whose requests may take longer than its stop."""
    harness.store.put("op/config", conftest.configuration(4, timeout="9s"))
    await harness.wait_until(lambda: harness.version() == 4)
    return harness


def stop() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


async def open_connection(
    harness: conftest.ProcessHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", harness.front)


async def test_a_queued_request_is_refused_while_its_caller_can_go_elsewhere(
    harness: conftest.ProcessHarness,
) -> None:
    # Guards against review/6: queued requests were cut without an answer.
    await harness.fill_upstreams()
    started_s = time.monotonic()
    waiting = [
        asyncio.ensure_future(
            harness.send_request(path, method, "w", "9000"),
        )
        for path, method in (("/unsafe/x", "POST"), ("/safe/x", "GET"))
    ]
    await harness.wait_until(lambda: harness.queue_length() == len(waiting))
    stop()
    for answer in await asyncio.gather(*waiting):
        assert_that(answer.status_code, matchers.Equals(503))
        outcome = answer.headers["lovageyoke-outcome"]
        assert_that(outcome, matchers.Equals("not-run"))
        retry_s = float(answer.headers["retry-after"])
        assert_that(retry_s, matchers.LessThan(0.2))
    assert_that(harness.arrival_count("w"), matchers.Equals(0))
    assert_that(time.monotonic() - started_s, matchers.LessThan(2.0))


async def test_a_request_that_would_outlast_the_stop_is_not_sent(
    harness: conftest.ProcessHarness,
) -> None:
    # Guards against a run that is cut at the end of the process.
    for each in harness.upstreams:
        each.load = b"0,0,6,%d" % SLOW_PERCENT
    views = harness.node.loads.by_id.values()
    await harness.wait_until(
        lambda: all(
            each.report is not None
            and each.report.slowdown == SLOW_PERCENT / 100.0
            for each in views
        )
    )
    stop()
    await harness.wait_until(lambda: harness.node.leaving)
    answer = await harness.send_request("/unsafe/x", "POST", "x", "9000")
    assert_that(answer.status_code, matchers.Equals(503))
    assert_that(harness.arrival_count("x"), matchers.Equals(0))


async def test_a_request_at_work_at_the_end_gets_an_answer(
    harness: conftest.ProcessHarness,
) -> None:
    # Guards against a connection that ends without a word.
    harness.set_upstream_behavior("hang")
    pending = asyncio.ensure_future(
        harness.send_request("/unsafe/x", "POST", "x", "9000")
    )
    await harness.wait_until(lambda: harness.arrival_count("x") == 1)
    stop()
    answer = await pending
    assert_that(answer.status_code, matchers.Equals(502))
    outcome = answer.headers["lovageyoke-outcome"]
    assert_that(outcome, matchers.Equals("unknown"))


async def test_requests_behind_one_at_work_are_refused_at_the_end(
    harness: conftest.ProcessHarness,
) -> None:
    # Guards against pipelined requests that are cut without an answer.
    harness.set_upstream_behavior("hang")
    reader, writer = await open_connection(harness)
    for name in ("one", "two"):
        head = HEAD.format("POST", "/unsafe/x", name, 1)
        writer.write(head.encode() + b"x")
    await harness.wait_until(lambda: harness.arrival_count("one") == 1)
    stop()
    received = await reader.read(-1)
    statuses = re.findall(rb"HTTP/1.1 (\d+) ", received)
    assert_that(statuses, matchers.Equals([b"502", b"503"]))
    assert_that(harness.arrival_count("two"), matchers.Equals(0))
    writer.close()


async def test_a_request_that_is_still_being_received_is_refused_at_the_end(
    harness: conftest.ProcessHarness,
) -> None:
    # Guards against a body in transit that is cut without an answer.
    reader, writer = await open_connection(harness)
    writer.write(HEAD.format("POST", "/unsafe/x", "x", 9).encode() + b"part")
    await writer.drain()
    stop()
    received = await reader.readuntil(b"\r\n\r\n")
    assert_that(received, matchers.StartsWith(b"HTTP/1.1 503 "))
    writer.close()


async def test_a_second_signal_does_not_prolong_the_stop(
    harness: conftest.ProcessHarness,
) -> None:
    stop()
    await harness.wait_until(lambda: harness.node.leaving)
    first = harness.node.shutdown
    await asyncio.sleep(0.05)
    stop()
    await asyncio.sleep(0.05)
    assert_that(harness.node.shutdown, matchers.Is(first))
