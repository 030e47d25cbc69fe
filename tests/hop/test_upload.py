"""A large body reaches its upstream completely and isn't copied."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import hashlib
import random

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from lovageyoke.hop import body_writer
from lovageyoke.hop import connection as hop_connection
from lovageyoke.limits import memory_budget

pytestmark = pytest.mark.anyio

TIMEOUT_S = 10.0
BODY = random.Random(1).randbytes(12_000_000)  # noqa: S311
HEAD = b"POST /u HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(BODY)
ANSWER = b"HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 2\r\n\r\nok"


class Upstream:
    """Answers before it reads the body, if told to.

    Attributes:
        answers_early: Whether it answers as soon as it has the head.
        reads: Cleared to let it stop reading after the head.
        received: The body.
        ended: Whether the connection was closed after the body.
    """

    def __init__(self) -> None:
        self.answers_early = True
        self.reads = asyncio.Event()
        self.reads.set()
        self.received = b""
        self.ended = asyncio.Event()
        self.port = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if self.answers_early:
            writer.write(ANSWER)
        await self.reads.wait()
        while len(self.received) < len(BODY):
            piece = await reader.read(200_000)
            if not piece:
                break
            self.received += piece
        if not self.answers_early:
            writer.write(ANSWER)
        rest = await reader.read()
        self.received += rest
        self.ended.set()
        writer.close()


@pytest.fixture
async def upstream() -> AsyncIterator[Upstream]:
    created = Upstream()
    server = await asyncio.start_server(created.serve, "127.0.0.1", 0)
    created.port = server.sockets[0].getsockname()[1]
    yield created
    server.close()


@pytest.fixture
def budget() -> memory_budget.MemoryBudget:
    return memory_budget.MemoryBudget(100_000_000)


async def connect(
    upstream: Upstream, budget: memory_budget.MemoryBudget
) -> hop_connection.ClientConnection:
    return await hop_connection.connect(
        "127.0.0.1", upstream.port, b"x-id", 1_000.0, budget
    )


async def wait_until_ended(upstream: Upstream) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        await upstream.ended.wait()
    digests = [
        hashlib.sha256(each).hexdigest() for each in (upstream.received, BODY)
    ]
    assert_that(digests[0], matchers.Equals(digests[1]))


async def test_an_upstream_that_answers_early_gets_exactly_the_rest(
    upstream: Upstream, budget: memory_budget.MemoryBudget
) -> None:
    upstream.reads.clear()
    connection = await connect(upstream, budget)
    async with asyncio.timeout(TIMEOUT_S):
        response = await connection.send_request(HEAD, BODY, b"one")
    assert_that(response.body, matchers.Equals(b"ok"))
    assert_that(connection.usable(), matchers.Equals(False))
    connection.close()
    assert_that(budget.used_bytes, matchers.GreaterThan(0))
    upstream.reads.set()
    await wait_until_ended(upstream)
    assert_that(budget.used_bytes, matchers.Equals(0))


async def test_a_connection_is_reusable_after_a_complete_large_body(
    upstream: Upstream, budget: memory_budget.MemoryBudget
) -> None:
    upstream.answers_early = False
    connection = await connect(upstream, budget)
    async with asyncio.timeout(TIMEOUT_S):
        await connection.send_request(HEAD, BODY, b"one")
    assert_that(connection.usable(), matchers.Equals(True))
    connection.close()
    await wait_until_ended(upstream)


async def test_a_large_body_is_not_copied_to_the_write_buffer(
    upstream: Upstream, budget: memory_budget.MemoryBudget
) -> None:
    upstream.reads.clear()
    connection = await connect(upstream, budget)
    connection.send_request(HEAD, BODY, b"one")
    await asyncio.sleep(0.2)
    assert connection.transport is not None
    assert_that(
        connection.transport.get_write_buffer_size(),
        matchers.LessThan(3 * body_writer.PIECE_BYTES),
    )
    connection.abort()


async def test_an_upstream_that_answers_and_reads_no_more_is_disconnected(
    upstream: Upstream,
    budget: memory_budget.MemoryBudget,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(body_writer, "REST_TIMEOUT_S", 0.2)
    upstream.reads.clear()
    connection = await connect(upstream, budget)
    async with asyncio.timeout(TIMEOUT_S):
        await connection.send_request(HEAD, BODY, b"one")
        connection.close()
        while not connection.closed:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    assert_that(budget.used_bytes, matchers.Equals(0))
    upstream.reads.set()
