"""Odd entries, datagrams and failing tasks don't stop a process."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

pytestmark = pytest.mark.anyio

ENTRY = {
    "service": "maps",
    "address": "127.0.0.9:80",
    "zone": "east-a",
    "slots": 6,
    "state": "ready",
}


def entry(**changes: object) -> bytes:
    return json.dumps({**ENTRY, **changes}).encode()


@pytest.mark.parametrize(
    "value",
    [
        b"[" * 4_000,
        entry(address="127.0.0.9:99999"),
        entry(address="127.0.0.9:" + "9" * 4_200),
        entry(address="a\0b:80"),
        entry(address="\ud800:80"),
        entry(slots=10**400),
        entry(extra="a" * 1_000_000, slots=None),
    ],
    ids=["nested", "port", "digits", "nul", "surrogate", "slots", "large"],
)
async def test_an_odd_entry_does_not_end_a_process_or_fail_requests(
    harness: conftest.ProcessHarness, value: bytes
) -> None:
    process = harness.process
    assert process is not None
    rejected = process.replica.registry.rejected
    harness.store.put("servers/i-other-writer", value)
    await harness.wait_until(
        lambda: process.replica.registry.rejected > rejected
    )
    for index in range(6):
        answer = await harness.send_request(
            "/unsafe/x", "POST", identity=f"r{index}"
        )
        assert_that(answer.status_code, matchers.Equals(200))
    harness.store.put("op/config", conftest.configuration(9))
    await harness.wait_until(lambda: harness.version() == 9)


async def test_an_invalid_configuration_leaves_the_earlier_one(
    harness: conftest.ProcessHarness,
) -> None:
    raw = json.loads(conftest.configuration(8))
    raw["listeners"][0]["rule_set"][1]["action"]["service"] = "unknown"
    harness.store.put("op/config", json.dumps(raw).encode())
    harness.store.put("op/config", conftest.configuration(9))
    await harness.wait_until(lambda: harness.version() == 9)
    raw["version"] = "r10"
    harness.store.put("op/config", json.dumps(raw).encode())
    harness.store.put("servers/i-7", entry())
    await harness.wait_until(lambda: "i-7" in harness.node.loads.by_id)
    assert_that(harness.version(), matchers.Equals(9))


async def test_a_foreign_datagram_does_not_end_a_process(
    harness: conftest.ProcessHarness,
) -> None:
    process = harness.process
    assert process is not None
    transport = process.messenger.link.transport
    assert transport is not None
    address = transport.get_extra_info("sockname")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in (b"", b"\x81" * 1_000, b"\xff", b"GET / HTTP/1.1"):
            sender.sendto(datagram, address)
    await harness.wait_until(lambda: process.messenger.link.malformed >= 3)
    answer = await harness.send_request()
    assert_that(answer.status_code, matchers.Equals(200))


async def test_an_error_of_one_task_does_not_end_the_process(
    harness: conftest.ProcessHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    process = harness.process
    assert process is not None
    step = process.follower.step
    failures = 0

    async def fail_twice() -> None:
        nonlocal failures
        if failures < 2:
            failures += 1
            raise ZeroDivisionError
        await step()

    monkeypatch.setattr(process.follower, "step", fail_twice)
    async with asyncio.timeout(5.0):
        await harness.wait_until(lambda: failures == 2)
        harness.store.put("op/config", conftest.configuration(9))
        await harness.wait_until(lambda: harness.version() == 9)
    answer = await harness.send_request()
    assert_that(answer.status_code, matchers.Equals(200))
