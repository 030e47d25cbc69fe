"""Pipelined requests run concurrently if they are safe; responses in order."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import handlers
from lovageyoke.hop import api
from lovageyoke.hop import messages
from lovageyoke.hop import pipeline
from lovageyoke.hop import server as hop_server

pytestmark = pytest.mark.anyio

TIMEOUT_S = 5.0
STREAM_CHUNK = b"s" * 50_000
SETTLE_S = 0.05


class Handler(handlers.Handler):
    """Responds to each request when the test releases its target.

    A target that starts with ``/stream`` gets a streamed response of
    several chunks, one that starts with ``/abort`` is aborted in the middle,
    and one that starts with ``/whole`` is streamed at once.
    """

    def __init__(self) -> None:
        super().__init__(self.respond_when_released)
        self.overlaps = True
        self.released: dict[bytes, asyncio.Event] = {}
        self.written_chunks = 0

    def event(self, target: bytes) -> asyncio.Event:
        return self.released.setdefault(target, asyncio.Event())

    async def respond_when_released(
        self, request: messages.Request
    ) -> messages.Response:
        await self.event(request.target).wait()
        return handlers.ok(request.target + b";")

    async def handle(
        self, request: messages.Request, caller: api.ResponseWriter
    ) -> None:
        if request.target.startswith(b"/whole"):
            self.requests.append(request)
            caller.start_response(messages.Response(200, b"OK", [], b""))
            caller.write_body(STREAM_CHUNK)
            caller.write_body(STREAM_CHUNK)
            caller.end_response()
            return
        if not request.target.startswith((b"/stream", b"/abort")):
            await super().handle(request, caller)
            return
        self.requests.append(request)
        caller.start_response(messages.Response(200, b"OK", [], b""))
        for _ in range(4):
            caller.write_body(STREAM_CHUNK)
            self.written_chunks += 1
            await caller.wait_writable()
        if request.target.startswith(b"/abort"):
            caller.abort()
        else:
            caller.end_response()


class Client:
    """A connection that pipelines requests."""

    def __init__(self) -> None:
        self.handler = Handler()
        self.listener = handlers.Listener(self.handler)

    async def open(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.listener.port, limit=2**20
        )

    def send(self, *requests: bytes) -> None:
        """Sends requests, each a method and a target."""
        for each in requests:
            self.writer.write(
                each + b" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
            )

    def release(self, *targets: bytes) -> None:
        for each in targets:
            self.handler.event(each).set()

    def started(self) -> list[bytes]:
        return [each.target for each in self.handler.requests]

    async def wait_for_started(self, *targets: bytes) -> None:
        """Waits for requests to be handled, and for no others."""
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.handler.requests) < len(targets):  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        await asyncio.sleep(SETTLE_S)
        assert_that(self.started(), matchers.Equals(list(targets)))

    async def read_to(self, end: bytes) -> bytes:
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.readuntil(end)

    async def read_all(self) -> bytes:
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.read()

    def connection(self) -> hop_server.CallerConnection:
        (connection,) = self.listener.connections.open
        return connection


@pytest.fixture
async def client() -> AsyncIterator[Client]:
    client = Client()
    async with client.listener:
        await client.open()
        yield client
        client.writer.close()


async def test_safe_requests_run_concurrently_and_are_answered_in_order(
    client: Client,
) -> None:
    client.send(b"GET /a", b"GET /b", b"HEAD /c", b"GET /d")
    await client.wait_for_started(b"/a", b"/b", b"/c", b"/d")
    client.release(b"/d", b"/c", b"/b")
    await asyncio.sleep(SETTLE_S)
    client.release(b"/a")
    answer = await client.read_to(b"/d;")
    places = [answer.index(each) for each in (b"/a;", b"/b;", b"/d;")]
    assert_that(places, matchers.Equals(sorted(places)))
    assert_that(answer.count(b"HTTP/1.1 200"), matchers.Equals(4))
    assert_that(answer, matchers.Not(matchers.Contains(b"/c;")))


async def test_an_unsafe_request_runs_alone(client: Client) -> None:
    client.send(b"GET /a", b"GET /b", b"POST /c", b"GET /d", b"GET /e")
    await client.wait_for_started(b"/a", b"/b")
    client.release(b"/b")
    await asyncio.sleep(SETTLE_S)
    client.release(b"/a")
    await client.wait_for_started(b"/a", b"/b", b"/c")
    client.release(b"/c")
    await client.wait_for_started(b"/a", b"/b", b"/c", b"/d", b"/e")
    client.release(b"/d", b"/e")
    answer = await client.read_to(b"/e;")
    targets = (b"/a;", b"/b;", b"/c;", b"/d;", b"/e;")
    places = [answer.index(each) for each in targets]
    assert_that(places, matchers.Equals(sorted(places)))


async def test_requests_whose_handler_forbids_it_do_not_overlap(
    client: Client,
) -> None:
    client.handler.overlaps = False
    client.send(b"GET /a", b"GET /b")
    await client.wait_for_started(b"/a")
    client.release(b"/a")
    await client.wait_for_started(b"/a", b"/b")


async def test_only_so_many_requests_of_a_connection_are_parsed(
    client: Client,
) -> None:
    # One read may hold thousands of small requests.
    targets = [b"/%d" % number for number in range(200)]
    client.send(*(b"GET " + each for each in targets))
    most = pipeline.MAX_PIPELINED
    await client.wait_for_started(*targets[:most])
    exchanges = client.connection().pipeline.exchanges
    assert_that(exchanges, matchers.HasLength(most))
    client.release(*targets)
    answer = await client.read_to(b"/199;")
    assert_that(answer.count(b"HTTP/1.1 200"), matchers.Equals(200))
    assert_that(client.started(), matchers.Equals(targets))


async def test_nothing_behind_a_response_that_closes_is_handled(
    client: Client,
) -> None:
    client.send(b"GET /a")
    client.writer.write(b"GET /b HTTP/1.1\r\nConnection: close\r\n\r\n")
    client.send(b"GET /c", b"GET /d")
    await client.wait_for_started(b"/a", b"/b")
    client.send(b"GET /e")
    await asyncio.sleep(SETTLE_S)
    client.release(b"/a", b"/b")
    answer = await client.read_all()
    assert_that(answer, matchers.EndsWith(b"/b;"))
    assert_that(client.started(), matchers.Equals([b"/a", b"/b"]))


async def test_a_leaving_process_closes_after_the_last_pipelined_response(
    client: Client,
) -> None:
    client.send(b"GET /a", b"GET /b", b"GET /c")
    await client.wait_for_started(b"/a", b"/b", b"/c")
    client.handler.is_leaving = True
    client.release(b"/a", b"/b", b"/c")
    answer = await client.read_all()
    assert_that(answer, matchers.EndsWith(b"/c;"))
    assert_that(answer.count(b"connection: close"), matchers.Equals(1))


async def test_a_caller_that_goes_cancels_all_its_safe_requests(
    client: Client,
) -> None:
    client.send(b"GET /a", b"GET /b", b"GET /c", b"POST /d")
    await client.wait_for_started(b"/a", b"/b", b"/c")
    client.writer.close()
    async with asyncio.timeout(TIMEOUT_S):
        while client.handler.cancelled < 3:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
    await asyncio.sleep(SETTLE_S)
    assert_that(client.started(), matchers.Not(matchers.Contains(b"/d")))
    assert_that(client.listener.connections.in_flight, matchers.Equals(0))


async def test_a_malformed_message_is_rejected_after_earlier_responses(
    client: Client,
) -> None:
    client.send(b"GET /a", b"GET /b")
    client.writer.write(b"nonsense\r\n\r\n")
    client.send(b"GET /c")
    await client.wait_for_started(b"/a", b"/b")
    client.release(b"/a", b"/b")
    answer = await client.read_all()
    starts = [answer.index(b"/a;"), answer.index(b"/b;")]
    starts.append(answer.index(b"HTTP/1.1 400"))
    assert_that(starts, matchers.Equals(sorted(starts)))
    assert_that(client.started(), matchers.Equals([b"/a", b"/b"]))


async def test_a_streamed_response_is_held_until_its_turn(
    client: Client,
) -> None:
    client.send(b"GET /a", b"GET /stream", b"GET /b")
    await client.wait_for_started(b"/a", b"/stream", b"/b")
    client.release(b"/b")
    await asyncio.sleep(SETTLE_S)
    # The upstream isn't read any further.
    assert_that(client.handler.written_chunks, matchers.Equals(1))
    client.release(b"/a")
    answer = await client.read_to(b"/b;")
    assert_that(answer.index(b"/a;"), matchers.LessThan(answer.index(b"sss")))
    assert_that(answer.count(STREAM_CHUNK), matchers.Equals(4))
    assert_that(answer, matchers.Contains(b"\r\n0\r\n\r\nHTTP/1.1 200 OK"))


async def test_a_streamed_response_may_be_complete_before_its_turn(
    client: Client,
) -> None:
    client.send(b"GET /a", b"GET /whole", b"GET /b")
    await client.wait_for_started(b"/a", b"/whole", b"/b")
    client.release(b"/b", b"/a")
    answer = await client.read_to(b"/b;")
    assert_that(answer.index(b"/a;"), matchers.LessThan(answer.index(b"sss")))
    assert_that(answer.count(STREAM_CHUNK), matchers.Equals(2))
    assert_that(answer, matchers.Contains(b"\r\n0\r\n\r\nHTTP/1.1 200 OK"))
    connection = client.connection()
    assert_that(connection.pipeline.held_bytes, matchers.Equals(0))
    assert_that(connection.pipeline.request_bytes, matchers.Equals(0))


async def test_an_aborted_response_leaves_earlier_ones_complete(
    client: Client,
) -> None:
    client.send(b"GET /a", b"GET /abort", b"GET /b")
    await client.wait_for_started(b"/a", b"/abort", b"/b")
    client.release(b"/a", b"/b")
    answer = b""
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)) as end:
        answer = await client.read_to(b"\r\n0\r\n\r\n")
    if isinstance(end.value, asyncio.IncompleteReadError):
        answer = end.value.partial
        assert_that(answer, matchers.Contains(b"/a;"))
    assert_that(answer, matchers.Not(matchers.Contains(b"/b;")))


async def test_100_continue_follows_the_earlier_responses(
    client: Client,
) -> None:
    client.send(b"GET /a")
    client.writer.write(
        b"POST /p HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
    )
    await client.wait_for_started(b"/a")
    client.release(b"/a", b"/p")
    answer = await client.read_to(b"100 Continue\r\n\r\n")
    assert_that(answer, matchers.Contains(b"/a;"))
    client.writer.write(b"abc")
    assert_that(await client.read_to(b"/p;"), matchers.Contains(b"200 OK"))
