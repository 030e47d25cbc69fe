"""Requests are assigned to client accounts by API keys, which stay secret."""

from __future__ import annotations

import asyncio
import json
import os

import pytest
from tests.node import conftest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.hop import messages

pytestmark = pytest.mark.anyio

MILL = {"name": "mill", "api_keys": ["mill-1", "mill-2"], "priority": 0}
LOOM = {"name": "loom", "api_keys": ["loom-1"]}
FORGED = ("X-Tenant-Id", "loom")


def key(value: str) -> tuple[str, str]:
    return "Api-Key", value


@pytest.fixture
async def accounts(
    harness: conftest.ProcessHarness,
) -> conftest.ProcessHarness:
    """A process whose configuration has two accounts."""
    await configure(harness, 4, MILL, LOOM)
    return harness


@pytest.fixture
def log_reader(accounts: conftest.ProcessHarness) -> int:
    """Redirects the log to a pipe; returns the end to read."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    accounts.node.log.descriptor = writer
    return reader


async def configure(
    harness: conftest.ProcessHarness, version: int, *accounts: dict[str, object]
) -> None:
    value = conftest.configuration(version, accounts=accounts)
    harness.store.put("op/config", value)
    await harness.wait_until(lambda: harness.version() == version)


def sent(harness: conftest.ProcessHarness) -> messages.Request:
    (request,) = [each.last for each in harness.upstreams if each.last]
    return request


def values(request: messages.Request, header: bytes) -> list[bytes]:
    return [value for name, value in request.headers if name == header]


@pytest.mark.parametrize("api_key", ["mill-1", "mill-2"])
async def test_upstreams_get_the_name_of_the_account_but_not_the_key(
    accounts: conftest.ProcessHarness, api_key: str
) -> None:
    answer = await accounts.send_request(headers=[key(api_key), FORGED])
    assert_that(answer.status_code, matchers.Equals(200))
    names = values(sent(accounts), b"x-tenant-id")
    assert_that(names, matchers.Equals([b"mill"]))
    assert_that(values(sent(accounts), b"api-key"), matchers.Equals([]))


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [FORGED],
        [key("")],
        [key("mill-3-secret")],
        [key("mill-1, mill-1")],
        [key("mill-1"), key("mill-1")],
        [key("mill-1"), key("loom-1")],
    ],
)
async def test_a_request_without_one_known_key_is_refused(
    accounts: conftest.ProcessHarness,
    log_reader: int,
    headers: list[tuple[str, str]],
) -> None:
    answer = await accounts.send_request(headers=headers)
    assert_that(answer.status_code, matchers.Equals(401))
    assert_that(accounts.arrival_count(), matchers.Equals(0))
    log = os.read(log_reader, 1 << 16)
    lines = [json.loads(each) for each in log.splitlines()]
    (line,) = [each for each in lines if each["event"] == "refused"]
    assert_that(line["kind"], matchers.Equals("unknown-account"))
    assert_that(line["key_digest"], matchers.HasLength(16))
    for _, value in headers:
        if value:
            assert_that(log.decode(), matchers.Not(matchers.Contains(value)))


@pytest.mark.parametrize("api_key", ["mill-1", "unknown"])
async def test_an_anonymous_route_needs_no_key_and_forwards_none(
    accounts: conftest.ProcessHarness, api_key: str
) -> None:
    answer = await accounts.send_request(
        "/load/x", headers=[key(api_key), FORGED]
    )
    assert_that(answer.status_code, matchers.Equals(200))
    assert_that(values(sent(accounts), b"x-tenant-id"), matchers.Equals([]))
    assert_that(values(sent(accounts), b"api-key"), matchers.Equals([]))


async def test_all_headers_are_forwarded_if_there_are_no_accounts(
    harness: conftest.ProcessHarness,
) -> None:
    answer = await harness.send_request(headers=[key("mill-1"), FORGED])
    assert_that(answer.status_code, matchers.Equals(200))
    assert_that(values(sent(harness), b"api-key"), matchers.Equals([b"mill-1"]))
    names = values(sent(harness), b"x-tenant-id")
    assert_that(names, matchers.Equals([b"loom"]))


async def test_an_empty_list_of_accounts_accepts_no_key(
    accounts: conftest.ProcessHarness,
) -> None:
    # Guards against review/7: without accounts left, every key was accepted.
    await configure(accounts, 5)
    for headers in ([], [key("mill-1")], [key("never-held"), FORGED]):
        answer = await accounts.send_request(headers=headers)
        assert_that(answer.status_code, matchers.Equals(401))
    assert_that(accounts.arrival_count(), matchers.Equals(0))
    answer = await accounts.send_request("/load/x", headers=[key("mill-1")])
    assert_that(answer.status_code, matchers.Equals(200))
    assert_that(values(sent(accounts), b"api-key"), matchers.Equals([]))


async def test_a_process_that_starts_with_an_empty_list_accepts_no_key(
    harness: conftest.ProcessHarness,
) -> None:
    # Guards against a start that knows no version with accounts.
    await configure(harness, 4)
    answer = await harness.send_request(headers=[key("mill-1")])
    assert_that(answer.status_code, matchers.Equals(401))


async def test_keys_are_not_forwarded_after_the_last_account(
    accounts: conftest.ProcessHarness,
) -> None:
    # Guards against keys that reach upstreams once no account is configured.
    accounts.store.put("op/config", conftest.configuration(5))
    await accounts.wait_until(lambda: accounts.version() == 5)
    answer = await accounts.send_request(headers=[key("mill-1"), FORGED])
    assert_that(answer.status_code, matchers.Equals(200))
    assert_that(values(sent(accounts), b"api-key"), matchers.Equals([]))
    assert_that(values(sent(accounts), b"x-tenant-id"), matchers.Equals([]))


async def test_keys_change_with_the_configuration(
    accounts: conftest.ProcessHarness,
) -> None:
    await configure(accounts, 5, {**MILL, "api_keys": ["mill-2", "mill-3"]})
    statuses = [
        (await accounts.send_request(headers=[key(each)])).status_code
        for each in ("mill-1", "mill-2", "mill-3", "loom-1")
    ]
    assert_that(statuses, matchers.Equals([401, 200, 200, 401]))


async def test_a_rejected_configuration_changes_no_key_and_logs_none(
    accounts: conftest.ProcessHarness, log_reader: int
) -> None:
    doubled = {**LOOM, "api_keys": ["mill-1"]}
    value = conftest.configuration(5, accounts=[MILL, doubled])
    accounts.store.put("op/config", value)
    await configure(accounts, 6, MILL, LOOM)
    answer = await accounts.send_request(headers=[key("mill-1")])
    assert_that(answer.status_code, matchers.Equals(200))
    log = os.read(log_reader, 1 << 16).decode()
    assert_that(log, matchers.Contains("configuration-rejected"))
    assert_that(log, matchers.Not(matchers.Contains("mill-1")))


@pytest.mark.parametrize(
    ("api_key", "priority"), [("mill-1", 0), ("loom-1", 1)]
)
async def test_the_priority_of_an_account_overrides_that_of_the_route(
    accounts: conftest.ProcessHarness,
    log_reader: int,
    api_key: str,
    priority: int,
) -> None:
    await accounts.fill_upstreams()
    request = asyncio.ensure_future(
        accounts.send_request(headers=[key(api_key)])
    )
    await accounts.wait_until(lambda: accounts.queue_length() == 1)
    (queued,) = accounts.node.queue("maps").queued
    assert_that(queued.priority, matchers.Equals(priority))
    await request
    log = os.read(log_reader, 1 << 16).decode()
    assert_that(log, matchers.Contains(f'"account":"{api_key[:4]}"'))
    assert_that(log, matchers.Not(matchers.Contains(api_key)))
