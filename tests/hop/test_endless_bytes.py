"""Bytes without end are bounded, and copies of answers answer nothing."""

from __future__ import annotations

import asyncio
import gc
from typing import Any
import weakref

import pytest
from testtools import matchers
from testtools.assertions import assert_that

from fakes import manual_clock
from lovageyoke.errors import exceptions
from lovageyoke.errors import kinds
from lovageyoke.hop import api
from lovageyoke.hop import connection as hop_connection
from lovageyoke.hop import messages
from lovageyoke.hop import server as hop_server
from lovageyoke.routing import model

pytestmark = pytest.mark.anyio

PIECE = b"a" * 8_192
PIECES = 4_000  # More than any limit.
MOST_HEAD_PIECES = 2 * hop_connection.MAX_HEAD_BYTES // len(PIECE)
MOST_BODY_PIECES = 2 * hop_connection.STREAMING_THRESHOLD_BYTES // len(PIECE)
OK = b"HTTP/1.1 200 OK\r\n"


class Transport(asyncio.Transport):
    """Records what a protocol writes and whether it closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def write(self, data: Any) -> None:
        self.written += data

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True

    def close(self) -> None:
        self.closed = True

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        del high, low

    def get_write_buffer_size(self) -> int:
        return 0


class Handler(api.RequestHandler):
    """Accepts nothing but has the default limits."""

    async def handle(
        self, request: messages.Request, caller: api.ResponseWriter
    ) -> None:
        raise NotImplementedError

    def report_error(self, request: messages.Request, error: Exception) -> None:
        raise NotImplementedError

    def limits(self) -> model.CallerLimits:
        return model.CallerLimits()

    def may_cancel(self, request: messages.Request) -> bool:
        raise NotImplementedError

    def leaving(self) -> bool:
        return False


@pytest.fixture
async def connection() -> hop_connection.ClientConnection:
    opened = hop_connection.ClientConnection(b"x-id")
    opened.connection_made(Transport())
    return opened


def feed_until_closed(
    protocol: hop_connection.ClientConnection | hop_server.CallerConnection,
    begin: bytes,
    piece: bytes = PIECE,
) -> int:
    """Feeds bytes until the protocol closes; returns how many pieces."""
    transport = protocol.transport
    assert isinstance(transport, Transport)
    protocol.data_received(begin)
    for number in range(PIECES):
        if transport.closed:
            return number
        protocol.data_received(piece)
    raise AssertionError("not closed")


@pytest.mark.parametrize(
    ("begin", "most"),
    [
        (b"HTTP/1.1 200 O", MOST_HEAD_PIECES),
        (OK + b"X-Trace: ", MOST_HEAD_PIECES),
        (OK + b"X-Trace", MOST_HEAD_PIECES),
        (
            OK + b"Transfer-Encoding: chunked\r\n\r\n5;",
            MOST_HEAD_PIECES,
        ),
        (
            OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: ",
            MOST_HEAD_PIECES,
        ),
        (OK + b"X-Id: one\r\n\r\n", MOST_BODY_PIECES),
    ],
    ids=["reason", "value", "name", "extension", "trailer", "body"],
)
async def test_an_endless_part_of_a_response_closes_the_connection(
    connection: hop_connection.ClientConnection, begin: bytes, most: int
) -> None:
    future = connection.send_request(b"GET / HTTP/1.1\r\n\r\n", b"", b"one")
    pieces = feed_until_closed(connection, begin)
    assert_that(pieces, matchers.LessThan(most))
    with pytest.raises(exceptions.UpstreamError) as raised:
        await future
    assert_that(
        raised.value.kind,
        matchers.MatchesAny(
            matchers.Equals(kinds.ErrorKind.UPSTREAM_PROTOCOL),
            matchers.Equals(kinds.ErrorKind.RESPONSE_TRUNCATED),
        ),
    )


@pytest.mark.parametrize(
    "piece",
    [b"HTTP/1.1 103 Early\r\n\r\n", b"HTTP/1.1 100 \r\nX: 1\r\n\r\n"],
)
async def test_endless_interim_responses_close_the_connection(
    connection: hop_connection.ClientConnection, piece: bytes
) -> None:
    future = connection.send_request(b"GET / HTTP/1.1\r\n\r\n", b"", b"one")
    pieces = feed_until_closed(connection, piece, piece)
    assert_that(pieces, matchers.Equals(hop_connection.MAX_INTERIM_RESPONSES))
    with pytest.raises(exceptions.UpstreamError):
        await future


async def test_a_lost_connection_frees_its_parser_without_the_collector(
    connection: hop_connection.ClientConnection,
) -> None:
    future = connection.send_request(b"GET / HTTP/1.1\r\n\r\n", b"", b"one")
    connection.data_received(OK + b"X-Trace: " + PIECE)
    connection.connection_lost(None)
    future.exception()
    gc.disable()
    try:
        freed = weakref.ref(connection)
        del connection
        assert_that(freed() is None or freed().parser, matchers.Is(None))
    finally:
        gc.enable()


@pytest.mark.parametrize(
    "begin",
    [
        b"GET /" + PIECE,
        b"GET / HTTP/1.1\r\nX-Trace: ",
        b"GET / HTTP/1.1\r\nX-Trace",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
    ],
    ids=["target", "value", "name", "extension", "trailer"],
)
async def test_an_endless_part_of_a_request_is_refused(begin: bytes) -> None:
    caller = hop_server.CallerConnection(
        Handler(), manual_clock.ManualClock(), hop_server.ConnectionSet()
    )
    transport = Transport()
    caller.connection_made(transport)
    pieces = feed_until_closed(caller, begin)
    most = 2 * model.CallerLimits().header_bytes // len(PIECE)
    assert_that(pieces, matchers.Not(matchers.GreaterThan(most)))
    assert_that(transport.written, matchers.StartsWith(b"HTTP/1.1 431 "))


REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nX-Id: one\r\nX-Not-Executed: 1\r\n"
    b"Connection: close\r\n\r\n"
)
SUCCESS = b"HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nforeign"


@pytest.mark.parametrize("copy", [REFUSAL, SUCCESS], ids=["refusal", "success"])
async def test_a_late_copy_without_a_length_does_not_answer_the_next_request(
    connection: hop_connection.ClientConnection, copy: bytes
) -> None:
    first = connection.send_request(b"GET / HTTP/1.1\r\n\r\n", b"", b"one")
    connection.data_received(
        b"HTTP/1.1 503 Busy\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n"
    )
    await first
    second = connection.send_request(b"GET / HTTP/1.1\r\n\r\n", b"", b"two")
    connection.data_received(copy)
    connection.eof_received()
    connection.connection_lost(None)
    with pytest.raises(exceptions.UpstreamError) as raised:
        await second
    assert_that(
        raised.value.kind, matchers.Equals(kinds.ErrorKind.UPSTREAM_RESET)
    )


COPY = (
    b"HTTP/1.1 200 OK\r\nX-Load: 1,0,6\r\nX-Id: one\r\n"
    b"Content-Length: 2\r\n\r\nab"
)
NEXT = b"HTTP/1.1 500 Failed\r\nX-Id: two\r\nContent-Length: 0\r\n\r\n"


async def test_a_copy_cut_short_never_turns_a_failure_into_a_success() -> None:
    for size in range(1, len(COPY)):
        connection = hop_connection.ClientConnection(b"x-id")
        connection.connection_made(Transport())
        first = connection.send_request(b"GET / HTTP/1.1\r\n\r\n", b"", b"one")
        connection.data_received(COPY)
        await first
        second = connection.send_request(b"GET / HTTP/1.1\r\n\r\n", b"", b"two")
        connection.data_received(COPY[:size] + NEXT)
        connection.eof_received()
        connection.connection_lost(None)
        try:
            answer = await second
        except exceptions.UpstreamError:
            continue
        assert_that(answer.status, matchers.Equals(500))
