"""Callers' connections keep to the memory budget and to their number."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import socket

import attrs
import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import handlers
from lovageyoke.hop import connection_set
from lovageyoke.hop import messages
from lovageyoke.limits import memory_budget
from lovageyoke.routing import model

pytestmark = pytest.mark.anyio

TIMEOUT_S = 5.0
SETTLE_S = 0.1
LIMIT_BYTES = 1_000_000
BODY_BYTES = 500_000
LIMITS = model.CallerLimits(
    body_bytes=BODY_BYTES, header_timeout_ms=9_000.0, idle_timeout_ms=400.0
)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


def post(length: int, extra: bytes = b"") -> bytes:
    head = b"POST /p HTTP/1.1\r\nHost: h\r\n%bContent-Length: %d\r\n\r\n"
    return head % (extra, length)


class Server:
    """A listener with a small budget; its handler waits for ``released``."""

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.released.set()
        self.response_bytes = 2
        self.handler = handlers.Handler(self.respond, LIMITS)
        self.listener = handlers.Listener(self.handler)
        self.budget = memory_budget.MemoryBudget(LIMIT_BYTES)
        self.connections = self.listener.connections
        self.connections.budget = self.budget
        self.writers: list[asyncio.StreamWriter] = []

    async def respond(self, request: messages.Request) -> messages.Response:
        del request
        await self.released.wait()
        return handlers.ok(b"o" * self.response_bytes)

    async def open(
        self, data: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.listener.port
        )
        self.writers.append(writer)
        writer.write(data)
        await asyncio.sleep(SETTLE_S)
        return reader, writer

    async def wait_until_unused(self) -> None:
        """Waits until nothing is counted any more."""
        for writer in self.writers:
            writer.close()
        async with asyncio.timeout(TIMEOUT_S):
            while self.budget.used_bytes or self.budget.holders:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        assert_that(self.budget.large, matchers.Equals(set()))


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    created = Server()
    async with created.listener:
        yield created
        await created.wait_until_unused()


async def read_all(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(TIMEOUT_S):
        return await reader.read()


async def test_the_largest_unfinished_body_is_refused_before_it_is_complete(
    server: Server,
) -> None:
    small = await server.open(post(150_000) + b"x" * 100_000)
    large = await server.open(post(BODY_BYTES) + b"x" * 450_000)
    last = await server.open(post(300_000) + b"x" * 200_000)
    answer = await read_all(large[0])
    assert_that(answer, matchers.StartsWith(b"HTTP/1.1 503 "))
    assert_that(answer.lower(), matchers.Contains(b"\r\nretry-after: "))
    assert_that(server.handler.requests, matchers.Equals([]))
    assert_that(server.budget.relieved, matchers.Equals({"request refused": 1}))
    small[1].write(b"x" * 50_000)
    last[1].write(b"x" * 100_000)
    for reader, _ in (small, last):
        async with asyncio.timeout(TIMEOUT_S):
            assert_that(await reader.readline(), matchers.Contains(b" 200 "))


async def test_a_refused_body_is_read_until_the_caller_has_the_response(
    server: Server,
) -> None:
    # Regression: a connection that was closed with unread bytes was reset,
    # and the response was lost.
    reader, writer = await server.open(post(10 * BODY_BYTES))
    for _ in range(20):
        writer.write(b"x" * 10_000)
        await asyncio.sleep(0.005)
    answer = await read_all(reader)
    assert_that(answer, matchers.StartsWith(b"HTTP/1.1 413 "))


async def test_a_complete_request_is_not_given_up(server: Server) -> None:
    server.released.clear()
    running = await server.open(post(BODY_BYTES) + b"x" * BODY_BYTES)
    unfinished = await server.open(post(BODY_BYTES) + b"x" * 400_000)
    answer = await read_all(unfinished[0])
    assert_that(answer, matchers.StartsWith(b"HTTP/1.1 503 "))
    ordinary = await server.open(GET)
    server.released.set()
    for reader, _ in (running, ordinary):
        async with asyncio.timeout(TIMEOUT_S):
            assert_that(await reader.readline(), matchers.Contains(b" 200 "))


async def test_an_unsafe_request_is_counted_until_it_has_run(
    server: Server,
) -> None:
    server.released.clear()
    _, writer = await server.open(post(BODY_BYTES) + b"x" * BODY_BYTES)
    writer.close()
    await asyncio.sleep(SETTLE_S)
    assert_that(server.connections.open, matchers.Equals(set()))
    assert_that(server.budget.used_bytes, matchers.GreaterThan(BODY_BYTES))
    server.released.set()


async def test_a_caller_that_reads_no_responses_is_disconnected(
    server: Server,
) -> None:
    server.response_bytes = 100_000
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, ("127.0.0.1", server.listener.port))
    await loop.sock_sendall(client, GET * 500)
    await asyncio.sleep(SETTLE_S)
    handled = len(server.handler.requests)
    assert_that(handled, matchers.LessThan(100))
    async with asyncio.timeout(TIMEOUT_S):
        while server.connections.open:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    assert_that(len(server.handler.requests), matchers.Equals(handled))
    assert_that(server.budget.peak_bytes, matchers.LessThan(LIMIT_BYTES))
    client.close()


async def test_a_caller_that_reads_slowly_stays_connected(
    server: Server,
) -> None:
    server.response_bytes = 400_000
    server.handler.caller_limits = attrs.evolve(LIMITS, idle_timeout_ms=800.0)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, ("127.0.0.1", server.listener.port))
    await loop.sock_sendall(client, GET * 20)
    read_bytes = 0
    end = loop.time() + 2.0
    while loop.time() < end:
        read_bytes += len(await loop.sock_recv(client, 20_000))
        await asyncio.sleep(0.02)
    assert_that(server.connections.open, matchers.HasLength(1))
    # More than the socket's buffers held when the reading started.
    assert_that(read_bytes, matchers.GreaterThan(100_000))
    client.close()


async def test_responses_that_wait_for_their_turn_are_counted(
    server: Server,
) -> None:
    server.handler.overlaps = True
    server.response_bytes = 400_000
    first = True

    async def respond(request: messages.Request) -> messages.Response:
        nonlocal first
        if first:
            first = False
            await asyncio.sleep(TIMEOUT_S)
        return handlers.ok(b"o" * server.response_bytes)

    server.handler.respond = respond
    await server.open(GET * 4)
    await asyncio.sleep(SETTLE_S)
    assert_that(
        server.budget.relieved, matchers.Equals({"connection closed": 1})
    )


async def test_the_longest_idle_connections_make_room_for_new_ones(
    server: Server,
) -> None:
    server.handler.caller_limits = attrs.evolve(
        LIMITS, idle_timeout_ms=60_000.0
    )
    server.connections.most_open = 3
    server.released.clear()
    busy = await server.open(GET)
    oldest = await server.open(b"")
    other = await server.open(b"")
    newest = await server.open(GET)
    assert_that(await read_all(oldest[0]), matchers.Equals(b""))
    server.released.set()
    for reader, writer in (busy, newest, other):
        writer.write(GET)
        async with asyncio.timeout(TIMEOUT_S):
            assert_that(await reader.readline(), matchers.Contains(b" 200 "))
    assert_that(server.connections.evicted, matchers.Equals(1))
    assert_that(server.connections.refused, matchers.Equals(0))


async def test_a_connection_that_discards_a_refused_body_makes_room(
    server: Server,
) -> None:
    server.connections.most_open = 1
    await server.open(post(10 * BODY_BYTES) + b"x" * 1_000)
    reader, _ = await server.open(GET)
    async with asyncio.timeout(TIMEOUT_S):
        assert_that(await reader.readline(), matchers.Contains(b" 200 "))


async def test_a_connection_is_refused_if_none_is_idle(server: Server) -> None:
    server.connections.most_open = 1
    server.released.clear()
    busy = await server.open(GET)
    refused = await server.open(GET)
    try:
        answer = await read_all(refused[0])
    except ConnectionError:
        answer = b""
    assert_that(answer, matchers.Equals(b""))
    assert_that(server.connections.refused, matchers.Equals(1))
    server.released.set()
    async with asyncio.timeout(TIMEOUT_S):
        assert_that(await busy[0].readline(), matchers.Contains(b" 200 "))


async def test_an_ordinary_request_changes_nothing_in_the_budget(
    server: Server,
) -> None:
    # Every connection is counted with one, so that it costs no time.
    await server.open(GET)
    assert_that(
        server.budget.peak_bytes, matchers.Equals(connection_set.ORDINARY_BYTES)
    )
