"""Server connections: strict parsing, response order and cancellation."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import attrs
import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import handlers
from lovageyoke.hop import messages
from lovageyoke.routing import model

pytestmark = pytest.mark.anyio

LIMITS = model.CallerLimits(
    header_bytes=500,
    body_bytes=100,
    header_timeout_ms=200.0,
    idle_timeout_ms=300.0,
)


class ServerFixture:
    """Listener whose responses are controlled by a test."""

    def __init__(self) -> None:
        self.handler = handlers.Handler(self.respond, LIMITS)
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        self.error: Exception | None = None
        self.listener = handlers.Listener(self.handler)

    async def respond(self, request: messages.Request) -> messages.Response:
        await self.may_respond.wait()
        if self.error is not None:
            raise self.error
        return handlers.ok(request.target + b":" + request.body)

    async def open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.listener.port)

    async def wait_for_request(self) -> None:
        while not self.handler.requests:  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    async def exchange(self, data: bytes) -> bytes:
        reader, writer = await self.open()
        writer.write(data)
        async with asyncio.timeout(3.0):
            answer = await reader.read(-1)
        writer.close()
        return answer


@pytest.fixture
async def server() -> AsyncIterator[ServerFixture]:
    server = ServerFixture()
    async with server.listener:
        yield server


def get(target: bytes = b"/a", extra: bytes = b"") -> bytes:
    return b"GET %b HTTP/1.1\r\nHost: h\r\n%b\r\n" % (target, extra)


CLOSE = b"Connection: close\r\n"


async def test_request_gets_response(server: ServerFixture) -> None:
    answer = await server.exchange(get(extra=CLOSE))
    assert_that(answer, matchers.StartsWith(b"HTTP/1.1 200 OK\r\n"))
    assert_that(answer, matchers.EndsWith(b"\r\n\r\n/a:"))


async def test_pipelined_responses_are_in_order(server: ServerFixture) -> None:
    answer = await server.exchange(get(b"/a") + get(b"/b") + get(b"/c", CLOSE))
    places = [answer.index(each) for each in (b"/a:", b"/b:", b"/c:")]
    assert_that(places, matchers.Equals(sorted(places)))


async def test_chunked_body_is_reassembled(server: ServerFixture) -> None:
    answer = await server.exchange(
        b"POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        b"Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert_that(answer, matchers.EndsWith(b"/p:abcde"))


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (get(extra=b"X: " + b"y" * 600 + b"\r\n"), b"431"),
        (
            b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n"
            + b"z" * 200,
            b"413",
        ),
        (
            b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (b"GET /slow HTTP/1.1\r\nHost:", b"408"),
    ],
)
async def test_unacceptable_request_is_rejected(
    server: ServerFixture, data: bytes, status: bytes
) -> None:
    answer = await server.exchange(data)
    assert_that(answer, matchers.StartsWith(b"HTTP/1.1 " + status))
    assert_that(server.handler.requests, matchers.Equals([]))


async def test_idle_connection_is_closed(server: ServerFixture) -> None:
    answer = await server.exchange(get())
    assert_that(answer, matchers.EndsWith(b"/a:"))


async def test_a_new_connection_is_not_closed_before_its_first_byte() -> None:
    async def respond(request: messages.Request) -> messages.Response:
        return handlers.ok(request.target)

    limits = attrs.evolve(
        LIMITS, header_timeout_ms=100.0, idle_timeout_ms=20_000.0
    )
    listener = handlers.Listener(handlers.Handler(respond, limits))
    async with listener:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port
        )
        await asyncio.sleep(0.3)
        writer.write(get(extra=CLOSE))
        async with asyncio.timeout(3.0):
            answer = await reader.read(-1)
        writer.close()
    assert_that(answer, matchers.StartsWith(b"HTTP/1.1 200 OK\r\n"))


async def test_cancellable_request_is_cancelled_on_disconnect(
    server: ServerFixture,
) -> None:
    server.may_respond.clear()
    _, writer = await server.open()
    writer.write(get())
    await server.wait_for_request()
    writer.close()
    while server.handler.cancelled == 0:  # noqa: ASYNC110
        await asyncio.sleep(0.01)


async def test_uncancellable_request_continues_on_disconnect(
    server: ServerFixture,
) -> None:
    server.may_respond.clear()
    _, writer = await server.open()
    writer.write(b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
    await server.wait_for_request()
    writer.close()
    while server.listener.connections.open:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    server.may_respond.set()
    await asyncio.sleep(0.05)
    assert_that(server.handler.cancelled, matchers.Equals(0))


async def test_handler_exception_gives_500_and_is_reported(
    server: ServerFixture,
) -> None:
    server.error = KeyError("x")
    answer = await server.exchange(get(extra=CLOSE))
    assert_that(answer, matchers.StartsWith(b"HTTP/1.1 500"))
    assert_that(server.handler.failures, matchers.HasLength(1))


async def test_leaving_process_closes_connections_after_response(
    server: ServerFixture,
) -> None:
    server.handler.is_leaving = True
    answer = await server.exchange(get())
    assert_that(answer.lower(), matchers.Contains(b"connection: close"))
